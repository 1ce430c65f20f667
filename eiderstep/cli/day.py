"""`eiderstep day SCRIPT`."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from eiderstep.audit import Capture
from eiderstep.lab import day as lab
from eiderstep.lab import script as scripts


def day(
    script: Annotated[Path, typer.Argument(help="The script of the day, in Starlark.")],
    seed: Annotated[int, typer.Option(help="Random seed; the same seed gives the same day.")] = 1,
    servers: Annotated[
        int, typer.Option(help="Number of exchanges that run a call server of their own.")
    ] = 1,
    sockets: Annotated[bool, typer.Option(help="Run in real time over loopback sockets.")] = False,
    processes: Annotated[
        bool, typer.Option(help="With --sockets: run each call server in its own process.")
    ] = False,
    list_from: Annotated[
        str, typer.Option("--list", help="register, registry or both, in place of the script's choice.")
    ] = "",
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
    keep: Annotated[
        Path | None, typer.Option(help="Write result, log, settings and capture to this folder.")
    ] = None,
) -> None:
    """Play a day and judge it; exit 1 if a rule is broken or a call or circuit is left at the end."""
    plan = scripts.load(script)
    if list_from not in ("", "register", "registry", "both"):
        message = f"found {list_from!r}; allowed: register, registry, both"
        raise typer.BadParameter(message, param_hint="--list")
    if list_from:
        plan = msgspec.structs.replace(plan, fleet=msgspec.structs.replace(plan.fleet, list_from=list_from))
    if not 1 <= servers <= plan.fleet.count:
        raise typer.BadParameter(f"found {servers}; allowed: 1 to {plan.fleet.count}", param_hint="--servers")
    if processes and not sockets:
        raise typer.BadParameter(
            "found without --sockets; allowed: together with --sockets", param_hint="--processes"
        )
    log_lines: list[dict[str, Any]] = []

    def log(level: str, event: str, call: str, fields: dict[str, Any]) -> None:
        log_lines.append({"level": level, "event": event, "call": call, **fields})

    if keep is not None:
        keep.mkdir(parents=True, exist_ok=True)
    result, capture = lab.play(plan, seed, log, tuple(range(servers)), sockets, processes, keep)
    summary = result.as_json()
    if keep is not None:
        write_artifacts(keep, summary, log_lines, capture)
    print(json.dumps(summary) if as_json else _format_summary(summary))
    sys.exit(0 if result.passed else 1)


def write_artifacts(
    folder: Path, summary: dict[str, Any], log_lines: list[dict[str, Any]], capture: Capture
) -> None:
    """Write result.json, log.jsonl and capture.jsonl of one play to a folder."""
    folder.mkdir(parents=True, exist_ok=True)
    (folder / "result.json").write_text(json.dumps(summary, indent=1) + "\n")
    (folder / "log.jsonl").write_text("".join(json.dumps(line, default=str) + "\n" for line in log_lines))
    capture.write(folder / "capture.jsonl")


def _format_summary(summary: dict[str, Any]) -> str:
    """The result as text for a terminal."""
    service, finals = summary["service"], summary["finals"]
    worst = f"worst window {service['worst_window']:.3f}, worst class {service['worst_class']:.3f}"
    lines = [
        f"{summary['title']}",
        f"  {summary['servers']} call server(s), seed {summary['seed']}, {summary['clock']} time",
        f"  service {service['service']:.3f}  (whole {service['whole']:.3f}, {worst})",
        *(
            f"    {key.removeprefix('class ')}: {value:.3f}"
            for key, value in service.items()
            if key.startswith("class ")
        ),
        f"  callers {summary['asks']}, tries {summary['tries']}, final answers "
        + ", ".join(f"{count} x {status}" for status, count in finals.items()),
        f"  set-up time p50 {summary['set_up_ms']['p50']} ms, p99 {summary['set_up_ms']['p99']} ms",
        f"  calls taken {summary['calls']}, answered {summary['answered']}, left {summary['left_calls']}, "
        f"circuits left busy {summary['left_circuits']}",
    ]
    if summary["departures"]["heard"]:
        departures = summary["departures"]
        lines.append(
            f"  departures learned from the registry {departures['heard']}; last set-up there after it: "
            f"p99 {departures['p99_ms']} ms, worst {departures['worst_ms']} ms"
        )
    if summary["circuit_faults"]:
        lines.append(
            f"  circuits whose state differed between the two ends: {len(summary['circuit_faults'])}"
        )
    if summary["fell"]:
        lines.append(f"  crashed from overload while cold: exchanges {summary['fell']}")
    lines += [f"  error: {text}" for text in summary["errors"]]
    lines += [f"  BROKEN: {text}" for text in summary["breaches"][:20]]
    lines.append("  all rules kept" if not summary["breaches"] else f"  {len(summary['breaches'])} breaches")
    return "\n".join(lines)
