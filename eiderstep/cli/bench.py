"""`eiderstep bench`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def bench(
    seconds: Annotated[float, typer.Option(help="Seconds that each part runs.")] = 8.0,
    standing: Annotated[int, typer.Option(help="Standing calls while memory is measured.")] = 20_000,
    exchanges: Annotated[str, typer.Option(help="Fleet sizes, comma-separated.")] = "6,60",
    out: Annotated[Path | None, typer.Option(help="Also write the table to this file.")] = None,
) -> None:
    """Benchmark one call server against a bare relay, over loopback sockets."""
    from eiderstep.lab import bench as lab

    sizes = [int(part) for part in exchanges.split(",")]
    table = lab.run_benchmark(seconds, standing, sizes)
    print(table)
    if out is not None:
        out.write_text(table + "\n")
