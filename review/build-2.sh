#!/bin/sh
# Builds what the cases of the second review start beside the controllers, after the build of the deploy file.
# The stand-ins are the project's own and those in lib2: Python sources, which need only to compile. Everything
# that this makes is under target/.
cd "$(dirname "$0")/.." || exit 2
exec env PYTHONDONTWRITEBYTECODE= python3 -X pycache_prefix=target/pycache -c '
import compileall, pathlib, sys
sys.path[:0] = [".", "target/deps", "review/lib2"]
import harness, proxy
cases = [str(path) for path in sorted(pathlib.Path("review").glob("[4-8]/*.py"))]
sys.exit(0 if all([compileall.compile_file(path, quiet=1) for path in cases]) else 2)
'
