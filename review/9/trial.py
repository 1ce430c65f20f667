"""A call's caller closes its idle connection; the call ends while another caller's connection is open."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import SLACK, TROUBLE, Bench, Office, dial_from, isup, run

CALL = "c0ffee0000000001"


async def trial(bench: Bench) -> bool:
    office = Office("s-one", 1)
    bench.offices.append(office)
    await office.listen()
    bench.changelog.append_event(office.list_entry(), whole=True)
    server = bench.server()
    await server.start()
    record = bench.record

    # One caller, and another one at an address of its own, as another exchange's call server has.
    first, other = await dial_from("127.0.0.2", server.port), await dial_from("127.0.0.3", server.port)
    first.send_set_up(CALL, 1, give_up_ms=3000)
    answer = await first.receive()
    record(f"127.0.0.2 got {answer}")
    assert answer.kind == isup.ANM
    answered_at = time.time()
    received: list[tuple[float, str]] = []

    async def read(name: str, caller: object) -> None:
        while True:
            message = await caller.receive(200)  # type: ignore[attr-defined]
            record(f"{name} got {message}")
            received.append((time.time(), message.call if message.kind == isup.REL else ""))

    readers = [asyncio.create_task(read("127.0.0.3", other)), asyncio.create_task(read("127.0.0.2", first))]
    closed, released_at, number = False, 0.0, 0
    refuse = office.refuse_with(isup.USER_BUSY)
    office.on_set_up = refuse
    # The other caller goes on calling a busy number: its connection is in use, without a standing call.
    while time.time() - answered_at < 20:
        await asyncio.sleep(0.5)
        passed = time.time() - answered_at
        if TROUBLE and not closed and passed >= 4:
            record("127.0.0.2 closes its connection: no call on it for 4 s")
            first.transport.close()
            closed = True
        if not released_at and passed >= 6:
            record(f"the office releases {CALL}")
            released_at = time.time()
            office.release_call(CALL)
        number += 1
        call = f"b{number:015x}"
        record(f"127.0.0.3 sends set-up {call}")
        other.send_set_up(call, 1, give_up_ms=3000)
    for reader in readers:
        reader.cancel()
    times = [at for at, call in received if call == CALL]
    if not times:
        record(f"no release of {CALL} was sent, on any connection of callers, in {20 - 6} s")
        return False
    record(f"release sent {times[0] - released_at:.3f} s after the office's")
    return times[0] - released_at <= 1 + SLACK


run(__file__, trial)
