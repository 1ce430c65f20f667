"""The machine of an office vanishes; a new office comes up at its address."""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

CALLS = 12  # standing at the office that vanishes
GONE_FOR = 3.5  # seconds until the new office listens; the pages: a zone is lost for 5 s
# Seconds from the loss until the change log tells that the old one is gone and the new one ready.  The site:
# a silent loss is noticed after 5.3 to 12 s, a new office is told 0.56 to 2 s after its start.
TOLD_AFTER = 5.4
LIMIT = 8.0 + 0.05  # seconds from a call's end; the pages: 8 s, and every limit 50 ms longer


async def case(record: s.Record, folder: Path, trouble: bool) -> bool:
    change_log = s.ChangeLog(record)
    await change_log.listen()
    offices = [s.Office(record, f"s-0000000{n}", n) for n in (1, 2, 3)]
    for office in offices:
        await office.listen()
    change_log.tell(*(office.entry() for office in offices), whole=True)
    server = s.CallServer(record, folder, change_log)
    stands: dict[str, float] = {}
    over: dict[str, float] = {}

    def heard(wire: s.Wire, message: s.Message) -> None:
        record(f"caller got {s.NAMES[message.kind]} {message.cause or ''} for {message.call}")
        if message.kind == s.ANSWER:
            stands[message.call] = time.time()
        elif message.kind == s.RELEASE:
            over.setdefault(message.call, time.time())
            wire.send(s.Message(s.HEARD, message.call))

    count = 0

    async def place(wire: s.Wire, dest: int) -> str:
        nonlocal count
        count += 1
        name = f"{0xCA11000000000000 + count:016x}"
        wire.send(s.set_up(name, 1500, f"dest:{dest};width:1;via:-1"))
        await s.until(lambda: name in stands or name in over, 5, "a set-up got no answer")
        return name

    try:
        await server.start()
        caller = await server.connect(heard)
        ours = [await place(caller, 1) for _ in range(CALLS)]
        others = [await place(caller, 2) for _ in range(3)]
        if any(name not in stands for name in ours + others):
            raise s.Unusable("a call did not stand before the disruption")
        await asyncio.sleep(0.5)
        ended = time.time()
        if trouble:
            offices[0].vanish()
            await asyncio.sleep(GONE_FOR)
            successor = s.Office(record, "s-0000000a", 1)
            successor.born_ms = int(time.time() * 1000)
            offices[0].hand_over(successor)
            await asyncio.sleep(max(ended + TOLD_AFTER - time.time(), 0))
            change_log.tell(offices[0].entry("gone"), successor.entry())
        else:
            for name in ours:
                offices[0].end(name)
        limit = LIMIT if trouble else 1.05
        while time.time() < ended + max(limit, 8) + 12:
            await asyncio.sleep(0.1)
            if not caller.open:
                raise s.Unusable("the caller's connection was closed")
            # The caller's connection carries traffic all the time: to an office that nothing happened to.
            await place(caller, 3)
            await asyncio.sleep(0.3)
            if all(name in over for name in ours):
                break
        late = [name for name in ours if over.get(name, 1e18) > ended + limit]
        for name in ours:
            at = (
                f"{over[name] - ended:.2f} s after its end"
                if name in over
                else f"never ({time.time() - ended:.1f} s watched)"
            )
            record(f"call {name} released towards its caller: {at}")
        record(f"{len(late)} of {len(ours)} calls not released within {limit} s of their end")
        return not late
    finally:
        server.end()


if __name__ == "__main__":
    s.main(Path(__file__).resolve().parent, case)
