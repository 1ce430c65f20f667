"""`python -m eiderstep`."""

from eiderstep.cli import main

main()
