"""`eiderstep check SETTINGS`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from eiderstep.config import load_settings


def check(settings: Annotated[Path, typer.Argument(help="The settings, a Starlark script.")]) -> None:
    """Validate settings without serving: prints one line; exit 0 if they are valid, 2 if not."""
    loaded = load_settings(settings)
    circuits = sum(peer.circuits for peer in loaded.peers)
    print(
        f"{settings}: exchange {loaded.number}, {len(loaded.peers)} peers, {circuits} circuits, "
        f"{len(loaded.classes)} classes, {len(loaded.dial_plan)} routes: good"
    )
