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
from eiderstep.lab import polling
from eiderstep.registry import survey
from eiderstep.registry.http import Failed

app = typer.Typer(no_args_is_help=True, help="The list of exchanges from a Eureka registry.")
T = TypeVar("T")
Settings = Annotated[Path, typer.Argument(help="The settings, a Starlark script.")]
STATUSES = ("UP", "DOWN", "OUT_OF_SERVICE", "STARTING", "UNKNOWN")


def _read(path: Path) -> tuple[ServerSettings, Registry, tuple[io.OfficeEntry, ...]]:
    settings = load_settings(path)
    if settings.registry is None:
        raise typer.BadParameter(f"{path} names no registry; allowed: settings with registry(...)")
    return settings, settings.registry, settings.named()


def _run(what: Coroutine[Any, Any, T]) -> T:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(what)


@app.command()
def show(
    settings: Settings, as_json: Annotated[bool, typer.Option("--json", help="The same as JSON.")] = False
) -> None:
    """Ask every address once: what each says, what is believed, and why.  Exit 1 where none answers."""
    _, registry, named = _read(settings)

    async def ask() -> dict[str, Any]:
        return await survey.survey(registry, named, asyncio.get_running_loop())

    told = _run(ask())
    print(json.dumps(told) if as_json else _shown(told))
    sys.exit(0 if any(r["answers"] for r in told["registries"]) else 1)


def _shown(told: dict[str, Any]) -> str:
    rows = []
    for one in told["registries"]:
        counts = (
            ", ".join(f"{n} {status}" for status, n in sorted(one["instances"].items())) or "nobody of ours"
        )
        said = f"version {one['version']}, {counts}, {one['others']} of other apps, hash {one['hash']}"
        rows.append(f"{one['address']}: {said if one['answers'] else 'no answer: ' + one['why']}")
    for row in told["exchanges"]:
        says = ", ".join(f"{name} {word}" for name, word in row["says"].items())
        head = f"exchange {row['exchange']} at {row['address']} {row['believed']}"
        rows.append(f"{head}: {row['why']}" + (f" ({says}; id {row['id']})" if says else ""))
    rows += [f"note: {json.dumps(note)}" for note in told["notes"]]
    return "\n".join(rows)


@app.command()
def watch(settings: Settings) -> None:
    """Follow as a call server does; a JSON line for each change of the list and each note, until Ctrl-C."""
    _, registry, named = _read(settings)

    def tell(line: dict[str, Any]) -> None:
        print(json.dumps(line), flush=True)

    async def follow() -> None:
        await survey.watch(registry, named, asyncio.get_running_loop(), tell)

    try:
        _run(follow())
    except KeyboardInterrupt:
        return


@app.command()
def status(
    settings: Settings,
    word: Annotated[str, typer.Argument(help="UP, OUT_OF_SERVICE, ...; 'clear' takes it back.")],
) -> None:
    """Set the operators' status of this call server's own entry."""
    told, registry, _ = _read(settings)
    if registry.lease is None:
        raise typer.BadParameter("registry has no lease: this server has no entry of its own")
    if word not in (*STATUSES, "clear"):
        raise typer.BadParameter(f"found {word!r}; allowed: {', '.join(STATUSES)}, clear")

    async def send() -> int:
        loop = asyncio.get_running_loop()
        return await survey.override(registry, told.number, "" if word == "clear" else word, loop)

    try:
        answer = _run(send())
    except Failed as problem:
        print(f"eiderstep: no registry took it: {problem}", file=sys.stderr)
        sys.exit(1)
    print(f"the registry answered {answer}")
    sys.exit(0 if answer < 300 else 1)


@app.command()
def cost(
    out: Annotated[Path | None, typer.Option(help="Write the table here as well.")] = None,
    polls: Annotated[int, typer.Option(help="Polls of each kind.")] = 100,
) -> None:
    """Bytes and CPU of a poll, and what 60 call servers ask of a registry, in calm and after its return."""
    text = polling.report(polls)
    if out is not None:
        out.write_text(text)
    print(text)
