"""Ends what a script started if the script itself is killed: `guard.py FOLDER`, process ids on its input.

`+N` adds a process, `-N` takes one away that has ended.  At the end of its input it kills what is left and
removes the folder.
"""

from __future__ import annotations

import contextlib
import os
import shutil
import signal
import sys

started: set[int] = set()
for line in sys.stdin:
    (started.add if line[0] == "+" else started.discard)(int(line[1:]))
for process in started:
    with contextlib.suppress(ProcessLookupError):
        os.kill(process, signal.SIGKILL)
shutil.rmtree(sys.argv[1], ignore_errors=True)
