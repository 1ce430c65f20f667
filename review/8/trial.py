"""Offices' descriptions hold letters outside ASCII; each call is to stand once, its description unchanged."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from stage import TROUBLE, Bench, Caller, CannotRun, Message, Office, OfficeWire, Record, isup, run

CALLS = 5
WORDS = "Gespräch über Nottingham\r\n".encode() if TROUBLE else b"call over Nottingham\r\n"


class Describing(Office):
    """An office that answers every call at once, with a description that names it and the call."""

    def __init__(self, name: str, number: int, record: Record, out: dict[str, set[str]]) -> None:
        super().__init__(name, number)
        self.record, self.out = record, out
        self.broken: list[str] = []

    def describe(self, call: str) -> bytes:
        return f"{self.name} {call} ".encode() + WORDS

    def handle_message(self, connection: OfficeWire, message: Message) -> None:
        if message.kind in (isup.IAM, isup.REL):
            self.record(f"{self.name} got {message}")
        if message.kind == isup.REL:
            self.out.get(message.call, set()).discard(self.name)
        super().handle_message(connection, message)

    def answer_call(self, connection: OfficeWire, message: Message) -> None:
        """Answer; the attempt is out until this office releases it or the call server gives it up."""
        call, others = message.call, self.out.setdefault(message.call, set())
        if others:
            self.broken.append(f"{call} comes to {self.name} while it stands at {sorted(others)}")
            self.record(self.broken[-1])
        others.add(self.name)
        self.standing_calls.add(call)
        self.record(f"{self.name} answers {call}: {self.describe(call)!r}")
        connection.send(Message(isup.ANM, call, {isup.DESCRIPTION: self.describe(call)}))
        self.send_states()


async def trial(bench: Bench) -> bool:
    record = bench.record
    out: dict[str, set[str]] = {}
    offices = [Describing(f"s-{name}", number, record, out) for number, name in ((1, "one"), (2, "two"))]
    bench.offices += offices
    for office in offices:
        await office.listen()
    bench.changelog.append_event(*(office.list_entry() for office in offices), whole=True)
    server = bench.server()
    await server.start()
    caller = await Caller.dial(server.port)
    wrong = 0
    for number in range(CALLS):
        call = f"{number + 1:016x}"
        record(f"the caller sends set-up {call}")
        caller.send_set_up(call, 1, give_up_ms=3000)
        try:
            message = await caller.receive(5)
        except TimeoutError:
            raise CannotRun(f"{call} got no answer") from None
        record(f"the caller got {message}")
        allowed = [office.describe(call) for office in offices]
        if message.kind != isup.ANM or message.parameters.get(isup.DESCRIPTION) not in allowed:
            wrong += 1
            record(f"{call} was answered by {sorted(out.get(call, set()))}, and its caller did not get that")
        await asyncio.sleep(1)
    await asyncio.sleep(1)
    broken = [line for office in offices for line in office.broken]
    record(f"{len(broken)} times a call came to an office while it stood at another one; "
           f"{wrong} of {CALLS} callers did not get the answer that an office gave")  # fmt: skip
    record(f"standing now: { {call: sorted(names) for call, names in out.items()} }")
    return not broken and not wrong


run(__file__, trial)
