"""Puts the checkout and this folder on the import path, and configures Hypothesis."""

import sys
from pathlib import Path

import pytest

HERE = Path(__file__).resolve().parent
KNOWN_FAILURES = HERE.parent / "KNOWN-RED.txt"  # a line that begins with "tests/" is the id of a test
sys.path[:0] = [str(HERE.parent), str(HERE)]

from fakes.cluster import Cluster  # noqa: E402 (sys.path is set first)
from fakes.scenarios import started_cluster  # noqa: E402
from hypothesis import settings  # noqa: E402

# Every run uses the same examples, and no deadline makes a test fail on a busy machine.
settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """Let the tests listed in KNOWN-RED.txt fail without failing the run. Their results are printed."""
    known_ids = {line for line in KNOWN_FAILURES.read_text().splitlines() if line.startswith("tests/")}
    for item in items:
        if item.nodeid in known_ids:
            item.add_marker(pytest.mark.xfail(reason="listed in KNOWN-RED.txt", strict=False))


@pytest.fixture
def cluster() -> Cluster:
    """A leader and two machines that send it heartbeats."""
    return started_cluster()
