#!/bin/sh
# Builds the stand-ins that the cases start: Python that needs the standard library only.
cd "$(dirname "$0")/.." || exit 1
test -x .venv/bin/python || exit 1
.venv/bin/python -m compileall -q review
