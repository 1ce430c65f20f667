"""A processor is replaced, its calls are cut and half of them come again: the new processor starts cold."""

from __future__ import annotations

import asyncio
import math
import sys
import time
from collections import Counter
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
import warm
from stage import SECOND, TROUBLE, Bench, Caller, CannotRun, Message, OfficeWire, isup, run, settings

SERVERS = 36  # call servers, one for each exchange
RATE = 18.7  # set-ups a second that a warm processor of this kind takes
WINDOW, MULTIPLE, COLD_SHARE, COLD = 2.0, 4.0, 0.31, 14.0  # as in the settings; seconds
STANDING = 4  # calls of each call server that stand at exchange 0: 140 of the 140 to 160 circuits


class Processor(warm.RatedOffice):
    """The processor of an exchange.  Started late, it is cold and falls over as the fleet page says."""

    def __init__(self, name: str, number: int) -> None:
        super().__init__(name, number, RATE)
        self.born, self.fell, self.arrivals = 0.0, "", []  # type: float, str, list[float]

    def list_entry(self, health: str = "ready") -> dict[str, Any]:
        return super().list_entry(health) | {"born_ms": int(self.born * 1000)}

    def answer_call(self, connection: OfficeWire, message: Message) -> None:
        self.arrivals.append(time.time())
        if self.born and not self.fell:
            self.count()
        super().answer_call(connection, message)

    def count(self) -> None:
        """Compare the set-ups of the last window with what the settings allow, ramping up with age."""
        now = self.arrivals[-1]
        age = now - self.born
        sent = sum(at > now - WINDOW for at in self.arrivals)
        share = min(COLD_SHARE + (1 - COLD_SHARE) * age / COLD, 1.0)
        allowed = MULTIPLE * share * RATE * WINDOW
        limit = allowed + (2 * math.sqrt(allowed) + 2 if allowed >= 30 else 3 * math.sqrt(allowed) + 3)
        if sent > limit:
            self.fell = f"{sent} set-ups in {WINDOW} s at age {age:.3f} s, N {allowed:.1f}, limit {limit:.1f}"


async def read_releases(caller: Caller, counts: Counter[int]) -> None:
    while True:
        counts[(await caller.receive(200)).kind] += 1


async def trial(bench: Bench) -> bool:
    record = bench.record
    children, entries = await asyncio.to_thread(warm.start, list(range(1, SERVERS)), RATE)
    bench.children += children
    old = Processor("s-0ld00000", 0)
    bench.offices.append(old)
    await old.listen()
    bench.changelog.append_event(old.list_entry(), *entries, whole=True)

    # The call servers of the exchanges 1 and up, which call exchange 0.
    def given(ordinal: int) -> dict[str, Any]:
        family = {"self_no": ordinal}
        return settings(peers_total=SERVERS, ordinal=ordinal, family_info=family)

    servers = [bench.server(f"n{number}", given=given(number)) for number in range(1, SERVERS)]
    for group in range(0, len(servers), 6):
        await asyncio.gather(*(server.start() for server in servers[group : group + 6]))
    await asyncio.sleep(2)
    callers = [await Caller.dial(server.port) for server in servers]
    for caller in callers:
        caller.send(Message(isup.TEST, f"{1:016x}", {isup.CAUSE: b"\0"}))
        await caller.receive(5)

    for turn in range(STANDING):  # at less than the warm rate
        for number, caller in enumerate(callers):
            caller.send_set_up(f"{turn + 1:04x}{number:012x}", 0, give_up_ms=3000)
            answer = await caller.receive(5)
            if answer.kind != isup.ANM:
                record(f"call server n{number + 1} answered {answer}")
            await asyncio.sleep(0.055)
    record(f"{len(old.standing_calls)} calls stand at the processor of exchange 0")
    if len(old.standing_calls) < 0.9 * STANDING * len(servers):
        raise CannotRun("too few calls stand")
    counts: Counter[int] = Counter()
    readers = [asyncio.create_task(read_releases(caller, counts)) for caller in callers]
    late = old
    if TROUBLE:
        late = Processor("s-0new0000", 0)
        bench.offices.append(late)
        await late.listen()
        bench.changelog.append_event(old.list_entry("draining"))
        record("the change log tells that the processor drains")
        await asyncio.sleep(2)
        late.born = time.time()
        bench.changelog.append_event(old.list_entry("gone"), late.list_entry())
        old.kill()
        record("the processor ends, its calls are cut; the change log tells its end and a new start")
    before = time.time()
    await asyncio.sleep(0.3)
    record(f"releases at the callers so far: {counts[isup.REL]}")
    for turn in range(STANDING // 2):  # half of the calls come again, within 0.52 s
        for number, caller in enumerate(callers):
            pairs = "dest:0;width:1;via:-1" + (";again:1" if TROUBLE else "")
            caller.send_set_up(f"{turn + 0x100:04x}{number:012x}", 0, give_up_ms=3000, routing_data=pairs)
        record(f"{len(callers)} calls {'come again' if TROUBLE else 'are offered'}")
        await asyncio.sleep(0.1)
    if time.time() - before > 0.6:
        raise CannotRun("the calls that come again were offered too late: the stand-ins lag")
    await asyncio.sleep(4)
    times = [at - before for at in late.arrivals if at > before]
    record(f"set-ups at {late.name}: {len(times)}; seconds since its start: {[round(at, 3) for at in times]}")
    record(f"callers got {counts[isup.ANM]} answers, {counts[isup.REL]} releases")
    for reader in readers:
        reader.cancel()
    if late.fell:
        record(f"the cold processor falls over: {late.fell}; all senders had been told of its start")
    return not late.fell


assert settings()["obligations"]["tip_after"] == int(WINDOW * SECOND)
run(__file__, trial)
