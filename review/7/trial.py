"""The change log is down for longer than 7 s; an office begins to drain in the meantime."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import (
    HOST,
    SLACK,
    TROUBLE,
    Bench,
    Caller,
    CannotRun,
    ChangeLog,
    Message,
    Office,
    OfficeWire,
    free_port,
    isup,
    run,
)  # fmt: skip

OUTAGE = 14.0  # seconds
DRAIN_AFTER = 3.0  # seconds from the begin of the outage
TOLD_AT_LATEST = 7.0  # seconds from the begin of the outage
GRACE = 0.5  # seconds, as in the settings


class Counting(Office):
    """An office that notes when set-ups come; it releases its calls at once."""

    def __init__(self, name: str, number: int) -> None:
        super().__init__(name, number)
        self.arrivals: list[float] = []

    def answer_call(self, connection: OfficeWire, message: Message) -> None:
        self.arrivals.append(time.time())
        super().answer_call(connection, message)
        self.release_call(message.call)


async def listen_at(port: int, events: list[dict[str, Any]]) -> ChangeLog:
    """A change log at a given port, with these events."""
    changelog = ChangeLog()
    changelog.events, changelog.port = events, port
    changelog.server = await asyncio.start_server(changelog._serve, HOST, port)
    return changelog


async def trial(bench: Bench) -> bool:
    record = bench.record
    bench.changelog.close()
    bench.changelog = await listen_at(free_port(), [])
    one, two = Counting("s-one", 1), Counting("s-two", 2)
    bench.offices += [one, two]
    for office in bench.offices:
        await office.listen()
    bench.changelog.append_event(*(office.list_entry() for office in bench.offices), whole=True)
    server = bench.server()
    await server.start()
    caller = await Caller.dial(server.port)
    kinds: list[int] = []

    async def read() -> None:
        while True:
            kinds.append((await caller.receive(200)).kind)

    async def call_both() -> None:
        number = 0
        while True:
            number += 1
            caller.send_set_up(f"{number:016x}", 1 + number % 2, give_up_ms=3000)
            await asyncio.sleep(0.05)

    tasks = [asyncio.create_task(read()), asyncio.create_task(call_both())]
    await asyncio.sleep(2)
    begin = time.time()
    if TROUBLE:
        record("the change log is down: its connections are closed, new ones are refused")
        bench.changelog.close()
    await asyncio.sleep(DRAIN_AFTER)
    told = begin + TOLD_AT_LATEST if TROUBLE else time.time()
    bench.changelog.append_event(one.list_entry("draining"))
    record(f"s-one begins to drain; it counts as told in {told - time.time():.3f} s")
    await asyncio.sleep(begin + OUTAGE - time.time())
    if TROUBLE:
        bench.changelog = await listen_at(bench.changelog.port, bench.changelog.events)
        record("the change log is back at its address")
    await asyncio.sleep(3)
    for task in tasks:
        task.cancel()
    since = [round(at - told, 2) for at in one.arrivals]
    late = [at for at in since if at > GRACE + SLACK]
    record(f"set-ups at s-one, seconds after it counts as told: {since}")
    record(f"set-ups at s-two: {len(two.arrivals)}; callers got {kinds.count(isup.ANM)} answers")
    record(f"{len(late)} set-ups at s-one later than {GRACE} s after it counts as told")
    if not one.arrivals:
        raise CannotRun("no set-ups")
    return not late


run(__file__, trial)
