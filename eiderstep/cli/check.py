"""`eiderstep check SETTINGS`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from eiderstep.config import load_settings


def check(settings: Annotated[Path, typer.Argument(help="The settings, a Starlark script.")]) -> None:
    """Check settings without serving; one line, exit 0 or 2."""
    found = load_settings(settings)
    circuits = sum(p.circuits for p in found.peers)
    print(
        f"{settings}: exchange {found.number}, {len(found.peers)} peers, {circuits} circuits, "
        f"{len(found.classes)} classes, {len(found.dial_plan)} routes: good"
    )
