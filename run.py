"""Start bayford from a checkout: the libraries that the deploy file built lie under target/deps."""

import importlib.util
import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
SCRIPT = HERE / "deploy" / "policy.star"
# The build has compiled all that is imported. Where nothing may be written beside the sources, they were
# compiled anew at every start, and a controller that was killed took half as long again to come back. Only if
# the compiled ones are there: with the prefix set, none beside the sources are looked at.
sys.pycache_prefix = str(HERE / "target" / "pycache")
if not Path(importlib.util.cache_from_source(str(HERE / "bayford" / "cli.py"))).exists():
    sys.pycache_prefix = None
sys.path[:0] = [str(HERE), str(HERE / "target" / "deps")]

from bayford.cli import main  # noqa: E402 - only now is it on the path

if __name__ == "__main__":
    # `run.py --config FILE` is what the deploy file calls; the full command line is `python -m bayford`.
    script = ["--script", str(SCRIPT)] if SCRIPT.exists() and "--script" not in sys.argv else []
    sys.exit(main(["serve", *sys.argv[1:], *script]))
