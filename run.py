"""Start bayford from a checkout: the libraries that the deploy file built lie under target/deps."""

import sys
from pathlib import Path

HERE = Path(__file__).resolve().parent
SCRIPT = HERE / "deploy" / "policy.star"
sys.path[:0] = [str(HERE), str(HERE / "target" / "deps")]

from bayford.cli import main  # noqa: E402

if __name__ == "__main__":
    # `run.py --config FILE` is what the deploy file calls; the full command line is `python -m bayford`.
    script = ["--script", str(SCRIPT)] if SCRIPT.exists() and "--script" not in sys.argv else []
    sys.exit(main(["serve", *sys.argv[1:], *script]))
