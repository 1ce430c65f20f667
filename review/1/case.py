"""A planned restart while calls in transit keep arriving."""

from __future__ import annotations

import asyncio
import random
import signal
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

RATE = 40  # calls in transit a second; the pages: about 50 calls a second reach the busiest call server
WAIT_MS = 1000  # how long a caller waits for the answer
ANSWER_DELAY = 0.15  # seconds; an office's time for a set-up
KILL_AFTER = (
    4.0  # seconds from SIGTERM to SIGKILL; the pages: longest deadline (at most 3 s) and 0.7 s or more
)
GRACE = 0.7  # seconds after SIGTERM from which a request unanswered at SIGKILL is lost
CROSSING = 0.05  # seconds; a set-up that crosses a close is sent once more


class Call:
    def __init__(self, name: str, wire: s.Wire) -> None:
        self.name, self.wire, self.sent_at, self.answered_at, self.again = name, wire, time.time(), 0.0, False


async def case(record: s.Record, folder: Path, trouble: bool) -> bool:
    change_log = s.ChangeLog(record)
    await change_log.listen()
    offices = [s.Office(record, f"s-0000000{n}", n, 100, ANSWER_DELAY) for n in (1, 2, 3)]
    for office in offices:
        office.hold = 2.0
        await office.listen()
    change_log.tell(*(office.entry() for office in offices), whole=True)
    server = s.CallServer(record, folder, change_log)
    calls: dict[str, Call] = {}
    wires: list[s.Wire] = []
    standing = [0]

    def heard(wire: s.Wire, message: s.Message) -> None:
        call = calls.get(message.call)
        if call is None or message.kind not in (s.ANSWER, s.RELEASE):
            return
        if not call.answered_at:
            call.answered_at = time.time()
            standing[0] += message.kind == s.ANSWER
            record(f"{s.NAMES[message.kind]} {message.cause or ''} for {message.call}")
        elif message.kind == s.RELEASE:
            wire.send(s.Message(s.HEARD, message.call))

    async def place(name: str) -> bool:
        """Send one set-up on an open connection, or on a new one; False if no connection is accepted."""
        for _ in range(len(wires)):
            wire = wires.pop(0)
            if wire.open:
                wires.append(wire)
                break
        else:
            try:
                wires.append(await server.connect(heard))
            except OSError:
                return False
        calls[name] = Call(name, wires[-1])
        wires[-1].send(s.set_up(name, WAIT_MS, f"dest:{1 + int(name, 16) % 3};width:1;via:1;transit:1"))
        record(f"set-up in transit {name} sent")
        return True

    try:
        await server.start()
        for _ in range(4):
            wires.append(await server.connect(heard))
        began, number, terminated, killed_at, ended_at = time.time(), 0, 0.0, 0.0, 0.0
        due = began
        length = 8.0 if not trouble else 60.0
        while time.time() < began + length:
            due += random.uniform(0.5, 1.5) / RATE
            await asyncio.sleep(max(due - time.time(), 0))
            if trouble and not terminated and time.time() > began + 3:
                terminated = server.send_signal(signal.SIGTERM)
            if terminated and not server.running():
                ended_at = time.time()
                record("the call server has ended by itself")
                break
            if terminated and time.time() - terminated >= KILL_AFTER:
                killed_at = server.send_signal(signal.SIGKILL)
                break
            number += 1
            await place(f"{0xC0FFEE0000000000 + number:016x}")
        if not terminated:
            await asyncio.sleep(WAIT_MS / 1000 + 0.5)
        end = killed_at or ended_at or time.time()
        await asyncio.sleep(0.2)
        if standing[0] < RATE:
            raise s.Unusable(f"only {standing[0]} calls stood before the end")
        lost = []
        for call in calls.values():
            if call.answered_at:
                continue
            if ended_at and call.sent_at > end - CROSSING:
                continue  # crossed the close
            if killed_at and call.sent_at <= terminated + GRACE:
                continue
            lost.append(call)
        for call in lost:
            since = f"{call.sent_at - terminated:.3f} s after SIGTERM" if terminated else ""
            record(f"lost: {call.name}, sent {since}, never answered")
        record(f"{len(calls)} set-ups, {standing[0]} stood, {len(lost)} lost")
        return not lost
    finally:
        server.end()


if __name__ == "__main__":
    s.main(Path(__file__).resolve().parent, case)
