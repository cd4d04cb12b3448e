"""Starts bayford from a checkout, with the libraries that the build of the deploy file put in target/deps."""

import importlib.util
import sys
from pathlib import Path

ROOT = Path(__file__).resolve().parent
SCRIPT = ROOT / "deploy" / "policy.star"
# Use the bytecode that the build compiled for every imported module. Where the source directories are
# read-only, the modules would otherwise be compiled at every start, and a killed controller would take half
# as long again to restart. The prefix is set only if that bytecode exists, because with a prefix Python
# ignores bytecode stored beside the sources.
sys.pycache_prefix = str(ROOT / "target" / "pycache")
if not Path(importlib.util.cache_from_source(str(ROOT / "bayford" / "cli.py"))).exists():
    sys.pycache_prefix = None
sys.path[:0] = [str(ROOT), str(ROOT / "target" / "deps")]

from bayford.cli import main  # noqa: E402 - importable only after the path is set

if __name__ == "__main__":
    # The deploy file calls `run.py --config FILE`. The full command line is `python -m bayford`.
    script = ["--script", str(SCRIPT)] if SCRIPT.exists() and "--script" not in sys.argv else []
    sys.exit(main(["serve", *sys.argv[1:], *script]))
