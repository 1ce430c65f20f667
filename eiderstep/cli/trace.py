"""`eiderstep trace CALL`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def trace(
    call: Annotated[
        str, typer.Argument(help="A Session-ID or a prefix of one, a Call-ID, or a called number.")
    ],
    capture: Annotated[list[Path], typer.Option(help="Capture file; may be repeated, one for each server.")],
    spans: Annotated[Path | None, typer.Option(help="Write the spans of all calls to this file.")] = None,
) -> None:
    """Show a call's path through the call servers as a ladder diagram."""
    from eiderstep.audit import Capture
    from eiderstep.lab import traces

    try:
        paths = traces.call_paths(Capture.merged([Capture.read(file) for file in capture]))
    except (OSError, ValueError) as problem:
        raise typer.BadParameter(str(problem), param_hint="--capture") from None
    try:
        chosen = traces.find_call(paths, call)
    except ValueError as problem:
        raise typer.BadParameter(str(problem), param_hint="CALL") from None
    print(traces.ladder(chosen))
    if spans is not None:
        print(f"{traces.write_spans(paths.values(), spans)} spans of {len(paths)} calls in {spans}")
