"""Entry point of `python -m eiderstep`."""

from eiderstep.cli import main

main()
