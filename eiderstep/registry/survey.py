"""Ask every registry address once and tell what each says, what is believed and why."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.config.schema import Registry
from eiderstep.registry.client import Follower, RegistryClient
from eiderstep.registry.http import Failed
from eiderstep.registry.registrant import Registrant


def _nobody(*_: Any) -> None:
    """News that goes nowhere."""


async def survey(
    settings: Registry, remembered: tuple[io.OfficeEntry, ...], loop: asyncio.AbstractEventLoop
) -> dict[str, Any]:
    """`{"registries": [...], "exchanges": [...], "notes": [...]}`, plain data."""
    notes: list[dict[str, Any]] = []
    client = RegistryClient(
        loop, settings, _nobody, lambda event, fields: notes.append({"event": event, **fields}), Random(1),
        remembered,
    )  # fmt: skip
    followers = client.followers = [Follower(client, number) for number in range(len(settings.addresses))]
    for follower in followers:
        client.addresses.pick(follower.number)
    await asyncio.gather(*(follower.turn() for follower in followers))
    registries = []
    for name, follower in zip(settings.addresses, followers, strict=True):
        table, source = follower.table, client.view.sources[name]
        counts: dict[str, int] = {}
        for found in table.instances.values():
            counts[found.status.value] = counts.get(found.status.value, 0) + 1
        registries.append({
            "address": name, "answers": source.speaks, "why": source.why, "version": table.version,
            "instances": counts, "others": len(table.others), "hash": table.hash() if table.listed else "",
        })  # fmt: skip
    rows = client.view.explain()
    named = {row["exchange"] for row in rows}
    for entry in remembered:
        if entry.number not in named:
            why = "in the settings, in no list" if client.view.whole else "by the settings: no whole list yet"
            rows.append({
                "exchange": entry.number, "id": "", "address": entry.office, "district": entry.zone,
                "says": {}, "believed": "GONE" if client.view.whole else "UP", "why": why,
            })  # fmt: skip
    client.stop()
    return {"registries": registries, "exchanges": rows, "notes": notes, "counts": client.view.counts}


async def watch(
    settings: Registry, remembered: tuple[io.OfficeEntry, ...], loop: asyncio.AbstractEventLoop,
    tell: Callable[[dict[str, Any]], None],
) -> None:  # fmt: skip
    """Follow as a call server does and tell each change and each note, until cancelled."""

    def news(kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        rows = [{"exchange": e.number, "address": e.office, "state": e.state.name} for e in entries]
        tell({"event": "list", "kind": kind.name, "entries": rows})

    client = RegistryClient(
        loop, settings, news, lambda event, fields: tell({"event": event, **fields}), Random(1), remembered
    )
    client.start()
    try:
        await asyncio.gather(*client.tasks)
    finally:
        client.stop()


async def override(settings: Registry, number: int, status: str, loop: asyncio.AbstractEventLoop) -> int:
    """Set the operators' status of the own entry, or take it back with an empty one.  Raises Failed."""
    assert settings.lease is not None
    registrant = Registrant(loop, settings, "127.0.0.1:0", number, _nobody, Random(1), lambda: 0)
    why = ""
    for _ in settings.addresses:
        try:
            return await registrant.send(registrant.lease.override(status))
        except Failed as problem:
            why = str(problem)
    raise Failed(why)
