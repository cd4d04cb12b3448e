#!/usr/bin/env bash
# Prepares everything that the cases start beside the controllers: the project's stand-ins and the review's own.
# All of them are Python sources; compiling them shows that they can be loaded with the libraries of the build.
set -euo pipefail
cd "$(dirname "$0")/.."
[ -d target/deps ] || { echo "target/deps is missing: run the build line of deploy/service.toml" >&2; exit 2; }
PYTHONPATH=.:target/deps:review PYTHONDONTWRITEBYTECODE= python3 -X pycache_prefix=target/review-pycache -c '
import standins.cloud, standins.ports, standins.workers
import lib.deployment, lib.state, lib.site
'
