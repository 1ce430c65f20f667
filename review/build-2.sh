#!/usr/bin/env bash
# Prepares the stand-ins of the cases 6 to 10, after the build of deploy/balancer.toml: they are Python
# and need the packages of that build only.
set -euo pipefail
cd "$(dirname "$0")/.."
.venv/bin/python -m compileall -q eiderstep review/stage.py review/warm.py review/guard.py review/[0-9]*/trial.py
.venv/bin/python -c "import sys; sys.path.insert(0, 'review'); import stage"
