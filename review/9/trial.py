"""An office's process dies and starts again while a call server is down; callers report their calls to it."""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import SLACK, TROUBLE, Bench, Caller, CannotRun, Message, Office, free_port, isup, run, settings

CALLS = 10
OFFICES = 8  # one of them ends
RELEASE_LIMIT = 8.0  # seconds from a call's end, if no release could be sent
WATCHED = 20.0  # seconds after the calls' end


class Restartable(Office):
    """An office whose process may be started again at its address."""

    born = 0.0

    def list_entry(self, health: str = "ready") -> dict[str, Any]:
        return super().list_entry(health) | {"born_ms": int(self.born * 1000)}


async def trial(bench: Bench) -> bool:
    record = bench.record
    office = Restartable("s-one", 1)
    bench.offices += [office, *(Office(f"s-{number}", number) for number in range(2, OFFICES + 1))]
    office.port = free_port()
    for each in bench.offices:
        await each.listen()
    bench.changelog.append_event(*(each.list_entry() for each in bench.offices), whole=True)
    server = bench.server(given=settings(peers_total=2))
    # The other call server is not killed and has no calls.
    await bench.server(
        "n1", given=settings(peers_total=2, ordinal=1, family_info={"self_no": OFFICES})
    ).start()
    await server.start()
    caller = await Caller.dial(server.port)
    calls = [f"{number + 1:016x}" for number in range(CALLS)]
    for call in calls:
        caller.send_set_up(call, 1, give_up_ms=3000)
        if (await caller.receive()).kind != isup.ANM:
            raise CannotRun("a call does not stand")
    record(f"{CALLS} calls stand at s-one")
    await asyncio.sleep(1)

    server.signal(signal.SIGKILL)
    await server.stopped(5)
    await asyncio.sleep(0.5)
    ended_at = time.time()
    if TROUBLE:
        record("the process of s-one dies; its calls are cut")
        office.kill()
        await asyncio.sleep(0.5)
        office.born = time.time()
        await office.listen()
        bench.changelog.append_event(office.list_entry())
        record("s-one runs again; the change log holds its start")
    await asyncio.sleep(0.5)
    server.known = bench.changelog.events_since(0)
    await server.start()
    caller = await Caller.dial(server.port)
    released: dict[str, float] = {}

    async def read() -> None:
        while True:
            message: Message = await caller.receive(200)
            record(f"the caller got {message}")
            if message.kind == isup.REL:
                released.setdefault(message.call, time.time())

    reader = asyncio.create_task(read())
    for call in calls:
        caller.send_set_up(call, 1, give_up_ms=3000, routing_data="dest:1;width:1;via:-1;at:s-one")
        record(f"the caller reports that {call} stands at s-one")
    if not TROUBLE:
        await asyncio.sleep(2)
        ended_at = time.time()
        for call in calls:
            office.release_call(call)
    await asyncio.sleep(max(0.0, ended_at + WATCHED - time.time()))
    reader.cancel()
    for call, at in released.items():
        record(f"{call} released {at - ended_at:.3f} s after its end")
    late = [call for call in calls if released.get(call, 1e18) > ended_at + RELEASE_LIMIT + SLACK]
    record(f"{len(late)} of {CALLS} calls not released within {RELEASE_LIMIT} s of their end")
    record(f"calls that stand at s-one: {len(office.standing_calls)}")
    return not late


run(__file__, trial)
