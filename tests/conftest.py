"""The tests import `bayford` from the checkout and the fakes from this folder."""

import sys
from pathlib import Path

import pytest

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE)]

from fakes.cluster import Cluster  # noqa: E402 (the path comes first)
from fakes.scenarios import started_cluster  # noqa: E402
from hypothesis import settings  # noqa: E402

# The same examples in every run, and no verdict that depends on how busy the machine is.
settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")


@pytest.fixture
def cluster() -> Cluster:
    """One controller that leads, and two machines whose heartbeats it gets."""
    return started_cluster()
