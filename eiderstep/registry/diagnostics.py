"""Diagnostics: what each registry address lists, which state results for each exchange, and why."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.config.schema import Registry
from eiderstep.registry.client import RegistryClient, RegistryFollower
from eiderstep.registry.http import RequestFailed
from eiderstep.registry.registrant import Registrant


def _ignore(*_: Any) -> None:
    """A callback that discards its arguments."""


async def poll_all(
    settings: Registry, configured: tuple[io.OfficeEntry, ...], loop: asyncio.AbstractEventLoop
) -> dict[str, Any]:
    """Asks every registry address once.

    Returns plain data: `{"registries": [...], "exchanges": [...], "notes": [...], "counts": {...}}`.
    `configured`: the exchanges in the settings.
    """
    notes: list[dict[str, Any]] = []
    client = RegistryClient(
        loop, settings, _ignore, lambda event, fields: notes.append({"event": event, **fields}), Random(1),
        configured,
    )  # fmt: skip
    followers = client.followers = [
        RegistryFollower(client, number) for number in range(len(settings.addresses))
    ]
    for follower in followers:
        client.addresses.pick(follower.number)
    await asyncio.gather(*(follower.poll_once() for follower in followers))
    registries = []
    for name, follower in zip(settings.addresses, followers, strict=True):
        table, registry = follower.table, client.view.registries[name]
        counts: dict[str, int] = {}
        for found in table.instances.values():
            counts[found.status.value] = counts.get(found.status.value, 0) + 1
        registries.append({
            "address": name, "answers": registry.answers, "why": registry.failure, "version": table.version,
            "instances": counts, "others": len(table.others),
            "hash": table.hash() if table.has_full_list else "",
        })  # fmt: skip
    rows = client.view.explain()
    listed_numbers = {row["exchange"] for row in rows}
    for entry in configured:
        if entry.number not in listed_numbers:
            why = (
                "in the settings, in no list"
                if client.view.complete_reported
                else "from the settings: no complete list yet"
            )
            rows.append({
                "exchange": entry.number, "id": "", "address": entry.office, "district": entry.zone,
                "says": {}, "believed": "GONE" if client.view.complete_reported else "UP", "why": why,
            })  # fmt: skip
    client.stop()
    return {"registries": registries, "exchanges": rows, "notes": notes, "counts": client.view.counts}


async def watch_updates(
    settings: Registry, configured: tuple[io.OfficeEntry, ...], loop: asyncio.AbstractEventLoop,
    report: Callable[[dict[str, Any]], None],
) -> None:  # fmt: skip
    """Follows the registry as a call server does and passes each list update and note to `report`."""

    def on_update(kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        rows = [{"exchange": e.number, "address": e.office, "state": e.state.name} for e in entries]
        report({"event": "list", "kind": kind.name, "entries": rows})

    client = RegistryClient(
        loop,
        settings,
        on_update,
        lambda event, fields: report({"event": event, **fields}),
        Random(1),
        configured,
    )
    client.start()
    try:
        await asyncio.gather(*client.tasks)
    finally:
        client.stop()


async def set_status_override(
    settings: Registry, number: int, status: str, loop: asyncio.AbstractEventLoop
) -> int:
    """Sets the status override of this call server's own entry, or removes it if `status` is empty.

    Tries each address in turn and returns the response's status.  Raises Failed with the last failure.
    """
    assert settings.lease is not None
    registrant = Registrant(loop, settings, "127.0.0.1:0", number, _ignore, Random(1), lambda: 0)
    why = ""
    for _ in settings.addresses:
        try:
            return await registrant.send(registrant.lease.override_request(status))
        except RequestFailed as problem:
            why = str(problem)
    raise RequestFailed(why)
