"""`eiderstep fuzz TARGET`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def fuzz(
    target: Annotated[
        str, typer.Argument(help="sip, engine, eureka-json, eureka-xml, register, settings; all.")
    ],
    minutes: Annotated[float, typer.Option(help="How long, for each target.")] = 1.0,
    corpus: Annotated[Path, typer.Option(help="Inputs kept, a folder a target.")] = Path("tests/corpus"),
    seed: Annotated[int, typer.Option(help="Of the fuzzer.")] = 1,
    planted: Annotated[str, typer.Option(help="Plant a fault first: the fuzzer must find it.")] = "",
) -> None:
    """Fuzz what comes from outside.  Exit 1 where something was found; with --planted, where nothing was."""
    from eiderstep.lab.fuzz.run import fuzz as run
    from eiderstep.lab.fuzz.targets import TARGETS

    bad = False
    for name in TARGETS if target == "all" else [target]:
        try:
            report = run(name, corpus / name, max(int(minutes * 60), 1), seed, planted)
        except ValueError as problem:
            raise typer.BadParameter(str(problem), param_hint="target") from None
        by = f"coverage {report.coverage}" if report.coverage else "no coverage"
        print(f"{name}: {report.executions} executions, {by}, {report.corpus} inputs kept")
        if report.found or report.why:
            print(f"  found: {report.why}")
            print("".join(f"  {file}\n" for file in report.found), end="")
        if planted:
            bad = bad or not report.found
        else:
            bad = bad or bool(report.found or report.why) or report.executions == 0
    raise typer.Exit(1 if bad else 0)
