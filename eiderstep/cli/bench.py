"""`eiderstep bench`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def bench(
    seconds: Annotated[float, typer.Option(help="How long each part runs.")] = 8.0,
    standing: Annotated[int, typer.Option(help="Calls that stand while memory is measured.")] = 20_000,
    exchanges: Annotated[str, typer.Option(help="Fleet sizes, between commas.")] = "6,60",
    out: Annotated[Path | None, typer.Option(help="Write the table here, beside printing it.")] = None,
) -> None:
    """Measure one call server beside a bare relay, over loopback sockets."""
    from eiderstep.lab import bench as lab

    sizes = [int(part) for part in exchanges.split(",")]
    table = lab.run(seconds, standing, sizes)
    print(table)
    if out is not None:
        out.write_text(table + "\n")
