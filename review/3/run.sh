#!/bin/sh
# Exit 0: the rule held; 1: it was broken; 2: the case could not run.  TROUBLE=0: without the disruption.
cd "$(dirname "$0")/../.." || exit 2
test -x .venv/bin/python || exit 2
.venv/bin/python review/3/case.py
code=$?
test "$code" -le 1 && exit "$code"
exit 2
