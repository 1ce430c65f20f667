"""`eiderstep rehearse SCENARIO`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import typer

from eiderstep.cli.day import write_artifacts

SetOption = Annotated[
    list[str] | None, typer.Option("--set", help="NAME=VALUE in place of a random draw; may be repeated.")
]
WithoutOption = Annotated[
    list[int] | None, typer.Option(help="Leave out the trouble with this index, from 0; may be repeated.")
]


def parse_overrides(sets: list[str] | None) -> dict[str, Any]:
    """Parse the `--set NAME=VALUE` options; values are JSON.  Raises BadParameter."""
    overrides: dict[str, Any] = {}
    for assignment in sets or []:
        name, equals, value = assignment.partition("=")
        try:
            overrides[name.strip()] = json.loads(value)
        except ValueError:
            equals = ""
        if not equals or not name.strip():
            message = (
                f"found {assignment!r}; allowed: NAME=VALUE, the value a number, a text in quotes or a list"
            )
            raise typer.BadParameter(message, param_hint="--set")
    return overrides


def rehearse(
    scenario: Annotated[Path, typer.Argument(help="The script of the scenario, in Starlark.")],
    seed: Annotated[int, typer.Option(help="Random seed of the scenario's draws and of the day.")] = 1,
    sets: SetOption = None,
    without: WithoutOption = None,
    servers: Annotated[int, typer.Option(help="Call servers; 0: all, -1: as scripted.")] = -1,
    sockets: Annotated[bool, typer.Option(help="Run in real time over loopback sockets.")] = False,
    mind: Annotated[
        str, typer.Option(help="What makes the routing decisions: module, direct or random.")
    ] = "module",
    profile: Annotated[
        bool, typer.Option(help="Attribute the CPU time to the parts of the program.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
    keep: Annotated[Path | None, typer.Option(help="Write result, log and capture to this folder.")] = None,
) -> None:
    """Rehearse a scenario; exit 1 if a rule is broken, a call is left at the end or an expectation fails."""
    from eiderstep.lab.baselines import DECISION_MODULES
    from eiderstep.lab.clock import CallbackLimitExceeded
    from eiderstep.lab.emulator import rehearse as lab
    from eiderstep.lab.emulator import scenario as scripts

    if mind not in DECISION_MODULES:
        raise typer.BadParameter(
            f"found {mind!r}; allowed: {', '.join(DECISION_MODULES)}", param_hint="--mind"
        )
    plan, draws = scripts.load(scenario, seed, parse_overrides(sets), without or [])
    if servers > plan.fleet.count:
        raise typer.BadParameter(
            f"found {servers}; allowed: -1 to {plan.fleet.count}", param_hint="--servers"
        )
    log_lines: list[dict[str, Any]] = []

    def log(level: str, event: str, call: str, fields: dict[str, Any]) -> None:
        if keep is not None:
            log_lines.append({"level": level, "event": event, "call": call, **fields})

    try:
        result, capture = lab.play(
            plan,
            draws,
            log,
            None if servers < 0 else servers,
            sockets,
            controller_factory=DECISION_MODULES[mind],
            profiled=profile,
        )
    except ValueError as problem:
        raise typer.BadParameter(str(problem), param_hint="--sockets") from None
    except CallbackLimitExceeded as problem:
        print(f"{plan.title}: did not end: {problem}", file=sys.stderr)
        sys.exit(1)
    summary = result.as_json()
    if keep is not None:
        write_artifacts(keep, summary, log_lines, capture)
    print(json.dumps(summary) if as_json else _format_summary(summary))
    sys.exit(0 if result.passed else 1)


def _format_summary(summary: dict[str, Any]) -> str:
    """The result as text for a terminal."""
    service = summary["measures"]
    bound = "not worked out" if summary["bound"] is None else f"{summary['bound']:.3f}"
    lines = [
        f"{summary['title']}: seed {summary['seed']}, {summary['servers']} call server(s), "
        f"{summary['clock']} time",
        f"  service {service['service']:.3f} (whole {service['whole']:.3f}, worst window "
        f"{service['worst_window']:.3f}, worst class {service['worst_class']:.3f}); bound {bound}",
        f"  callers {summary['asks']}, tries {summary['tries']}, set-ups {summary['set_ups']}, "
        f"p99 {summary['set_up_ms']['p99']} ms, recovered after {service['recovery_s']:.0f} s",
        "  drawn: " + (", ".join(f"{key} {value}" for key, value in summary["draws"].items()) or "nothing"),
    ]
    for expectation in summary["failed"]:
        bounds = [f"{key} {expectation[key]}" for key in ("least", "most") if expectation[key] is not None]
        lines.append(
            f"  NOT as expected: {expectation['what']} is {expectation['found']}, "
            f"wanted {' and '.join(bounds)}"
        )
    lines += [f"  BROKEN: {breach}" for breach in summary["breaches"][:10]]
    for what in ("unanswered", "left_calls", "left_circuits"):
        if summary[what]:
            lines.append(f"  BROKEN: {what.replace('_', ' ')}: {summary[what]}")
    lines += [f"  error: {text}" for text in summary["errors"][:5]]
    cpu = summary["cpu"]
    cpu_shares = ", ".join(f"{key} {value:.1f}" for key, value in cpu.items() if key != "seconds")
    lines.append(f"  CPU {cpu['seconds']:.1f} s" + (f": {cpu_shares}" if cpu_shares else ""))
    lines.append(f"  capture {summary['digest'][:16]}")
    lines.append("  as expected, all rules kept" if summary["good"] else "  NOT GOOD")
    return "\n".join(lines)
