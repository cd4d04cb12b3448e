"""`python -m bayford`."""

import sys

from bayford.cli import main

sys.exit(main())
