"""`eiderstep serve SETTINGS`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer

from eiderstep.cli.logs import make_logger
from eiderstep.config import load_settings
from eiderstep.server import process


def serve(
    settings: Annotated[Path, typer.Argument(help="The settings, a Starlark script.")],
    capture: Annotated[
        Path | None, typer.Option(help="Write every byte of every socket to this file.")
    ] = None,
    console: Annotated[bool, typer.Option(help="Log as readable text in place of JSON lines.")] = False,
    verbose: Annotated[bool, typer.Option(help="Log each step of each call.")] = False,
) -> None:
    """Run a call server until SIGTERM; then answer the pending calls, drain and exit."""
    loaded = load_settings(settings)
    process.serve(loaded, make_logger(console, verbose), capture, verbose, lambda: load_settings(settings))
