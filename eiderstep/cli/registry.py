"""`eiderstep registry show|watch|status|cost`."""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Coroutine
from pathlib import Path
from typing import Annotated, Any, TypeVar

import typer
import uvloop

from eiderstep import interface as io
from eiderstep.config import load_settings
from eiderstep.config.schema import Registry, ServerSettings
from eiderstep.lab import registry_cost
from eiderstep.registry import diagnostics
from eiderstep.registry.http import RequestFailed

app = typer.Typer(no_args_is_help=True, help="Inspect and change the list of exchanges in a Eureka registry.")
T = TypeVar("T")
Settings = Annotated[Path, typer.Argument(help="The settings, a Starlark script.")]
STATUSES = ("UP", "DOWN", "OUT_OF_SERVICE", "STARTING", "UNKNOWN")


def _load(path: Path) -> tuple[ServerSettings, Registry, tuple[io.OfficeEntry, ...]]:
    settings = load_settings(path)
    if settings.registry is None:
        raise typer.BadParameter(f"{path} names no registry; allowed: settings with registry(...)")
    return settings, settings.registry, settings.configured_offices()


def _run_coroutine(coroutine: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(coroutine)


@app.command()
def show(
    settings: Settings,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Query each registry once; show the answers and the resulting state of each exchange, with the reason.

    Exit 1 if no registry answers.
    """
    _, registry, named = _load(settings)

    async def ask_all() -> dict[str, Any]:
        return await diagnostics.poll_all(registry, named, asyncio.get_running_loop())

    result = _run_coroutine(ask_all())
    print(json.dumps(result) if as_json else _format_survey(result))
    sys.exit(0 if any(r["answers"] for r in result["registries"]) else 1)


def _format_survey(result: dict[str, Any]) -> str:
    lines = []
    for registry in result["registries"]:
        counts = (
            ", ".join(f"{count} {status}" for status, count in sorted(registry["instances"].items()))
            or "no instance of this network"
        )
        answer = (
            f"version {registry['version']}, {counts}, {registry['others']} of other apps, "
            f"hash {registry['hash']}"
        )
        lines.append(
            f"{registry['address']}: {answer if registry['answers'] else 'no answer: ' + registry['why']}"
        )
    for exchange in result["exchanges"]:
        says = ", ".join(f"{registry_name} {status}" for registry_name, status in exchange["says"].items())
        believed = f"exchange {exchange['exchange']} at {exchange['address']} {exchange['believed']}"
        lines.append(f"{believed}: {exchange['why']}" + (f" ({says}; id {exchange['id']})" if says else ""))
    lines += [f"note: {json.dumps(note)}" for note in result["notes"]]
    return "\n".join(lines)


@app.command()
def watch(settings: Settings) -> None:
    """Follow the list as a call server does; print each change and each note as a JSON line until Ctrl-C."""
    _, registry, named = _load(settings)

    def print_line(line: dict[str, Any]) -> None:
        print(json.dumps(line), flush=True)

    async def follow() -> None:
        await diagnostics.watch_updates(registry, named, asyncio.get_running_loop(), print_line)

    try:
        _run_coroutine(follow())
    except KeyboardInterrupt:
        return


@app.command()
def status(
    settings: Settings,
    word: Annotated[str, typer.Argument(help="UP, OUT_OF_SERVICE, ...; 'clear' removes the override.")],
) -> None:
    """Override the status of this call server's own registry entry, or remove the override."""
    server_settings, registry, _ = _load(settings)
    if registry.lease is None:
        raise typer.BadParameter(
            "registry has no lease, so this server has no entry of its own; allowed: settings with a lease"
        )
    if word not in (*STATUSES, "clear"):
        raise typer.BadParameter(f"found {word!r}; allowed: {', '.join(STATUSES)}, clear")

    async def set_status() -> int:
        loop = asyncio.get_running_loop()
        return await diagnostics.set_status_override(
            registry, server_settings.number, "" if word == "clear" else word, loop
        )

    try:
        answer = _run_coroutine(set_status())
    except RequestFailed as problem:
        print(f"eiderstep: no registry accepted the status: {problem}", file=sys.stderr)
        sys.exit(1)
    print(f"the registry answered {answer}")
    sys.exit(0 if answer < 300 else 1)


@app.command()
def cost(
    out: Annotated[Path | None, typer.Option(help="Also write the table to this file.")] = None,
    polls: Annotated[int, typer.Option(help="Number of polls of each kind.")] = 100,
) -> None:
    """Measure bytes and CPU per poll, and the poll rate of 60 call servers in calm and after an outage."""
    table = registry_cost.cost_report(polls)
    if out is not None:
        out.write_text(table)
    print(table)
