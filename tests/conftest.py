"""The tests import `bayford` from the checkout and the fakes from this folder."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE)]

from hypothesis import settings  # noqa: E402

# The same examples in every run, and no verdict that depends on how busy the machine is.
settings.register_profile("deterministic", derandomize=True, deadline=None, database=None)
settings.load_profile("deterministic")
