"""`eiderstep fuzz TARGET`."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

import typer


def fuzz(
    target: Annotated[
        str, typer.Argument(help="sip, engine, eureka-json, eureka-xml, register, settings or all.")
    ],
    minutes: Annotated[float, typer.Option(help="Minutes for each target.")] = 1.0,
    corpus: Annotated[
        Path, typer.Option(help="Folder of saved inputs, with one sub-folder for each target.")
    ] = Path("tests/corpus"),
    seed: Annotated[int, typer.Option(help="Random seed of the fuzzer.")] = 1,
    planted: Annotated[str, typer.Option(help="Inject this fault first; the fuzzer must find it.")] = "",
) -> None:
    """Fuzz the decoders of outside input.  Exit 1 if a fault was found; with --planted, if none was found."""
    from eiderstep.lab.fuzz.run import fuzz_target
    from eiderstep.lab.fuzz.targets import TARGETS

    failed = False
    for name in TARGETS if target == "all" else [target]:
        try:
            report = fuzz_target(name, corpus / name, max(int(minutes * 60), 1), seed, planted)
        except ValueError as problem:
            raise typer.BadParameter(str(problem), param_hint="target") from None
        coverage = f"coverage {report.coverage}" if report.coverage else "no coverage"
        print(f"{name}: {report.executions} executions, {coverage}, {report.corpus_size} inputs kept")
        if report.findings or report.reason:
            print(f"  found: {report.reason}")
            print("".join(f"  {file}\n" for file in report.findings), end="")
        if planted:
            failed = failed or not report.findings
        else:
            failed = failed or bool(report.findings or report.reason) or report.executions == 0
    raise typer.Exit(1 if failed else 0)
