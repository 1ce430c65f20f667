"""The adapter: JSON wire on standard input and output, one Controller for each instance.

It translates and decides nothing.  Instances share nothing but this process.
"""

from __future__ import annotations

import json
import sys
from collections.abc import Callable, Iterable
from typing import Any, TextIO

from eiderstep import interface as io
from eiderstep.decide import Controller
from eiderstep.reading import read_report, read_settings

Message = list[Any]

OUTCOMES = {
    0: io.Outcome.RELEASED,
    5: io.Outcome.FAULT,
    11: io.Outcome.TURNED_AWAY,
    110: io.Outcome.NO_ANSWER,
    111: io.Outcome.UNREACHABLE,
    104: io.Outcome.CUT,
    125: io.Outcome.CANCELLED,
    114: io.Outcome.NOT_SENT,
}
CAUSES = {
    0: io.Cause.NONE,
    1: io.Cause.NO_CIRCUIT,
    2: io.Cause.TANDEM_REFUSED,
    3: io.Cause.PROCESSOR_FULL,
    4: io.Cause.NUMBER_BUSY,
}
STATES = {"U": io.OfficeState.UP, "L": io.OfficeState.DRAINING, "D": io.OfficeState.GONE}
KINDS = {
    "Partial": io.ListKind.CHANGES,
    "Complete": io.ListKind.COMPLETE,
    "Persisted": io.ListKind.REMEMBERED,
    "Error": io.ListKind.FAILED,
}
REDIALLED, IN_TRANSIT, WAS_CUT = 2, 8, 16
BEYOND_FULL_NOTE = 18


class WireError(Exception):
    """The input is not the wire that this adapter speaks."""


def read_entry(row: Message) -> io.OfficeEntry:
    """One line of an office list."""
    return io.OfficeEntry(
        office=row[0],
        zone=row[1] or 0,
        number=row[3] if row[3] is not None else -1,
        state=STATES[row[4]],
        started=(row[6] or 0) if len(row) > 6 else 0,
    )


def read_offer(v: Message) -> io.CallOffered:
    """A call handed to us."""
    marks = v[9] or 0
    return io.CallOffered(
        call=v[0],
        class_no=v[1],
        expires=v[4],
        number=v[3] or "",
        dest=v[6] if v[6] is not None else -1,
        width=v[7] or 1,
        hint=v[8] if v[8] is not None else -1,
        transit=bool(marks & IN_TRANSIT),
        redialled=bool(marks & REDIALLED),
        was_cut=bool(marks & WAS_CUT),
    )


def read_ended(v: Message) -> io.AttemptEnded:
    """An attempt's end."""
    note = v[1] or 0
    beyond = note == BEYOND_FULL_NOTE
    cause = io.Cause.BEYOND_FULL if beyond else CAUSES.get(note % 16, io.Cause.NONE)
    wait = note // 16 * 1_000_000 if cause is io.Cause.PROCESSOR_FULL else 0
    return io.AttemptEnded(
        call=v[0],
        leg=v[2] or 0,
        office=v[5],
        outcome=OUTCOMES[v[4]],
        cause=cause,
        settled=bool(v[3]),
        took=v[6] or 0,
        named_wait=wait,
        report=read_report(v[7]) if len(v) > 7 else None,
    )


def read_heard(v: Message) -> io.OfficeHeard:
    """News of an office: unasked news carries circuits only."""
    return io.OfficeHeard(v[0], v[1] == 0 and not v[2], v[1] == 0, v[2] or 0, read_report(v[3]))


def read_peer(v: Message) -> io.PeerSays:
    """A message of another controller."""
    import base64

    return io.PeerSays(v[0], base64.b64decode(v[1] or ""))


READERS: dict[str, Callable[[Message], io.Event]] = {
    "SUBMIT": read_offer,
    "GONE": lambda v: io.CallGone(v[0]),
    "NEIGHBOUR_SAYS": read_peer,
    "PROBE_DONE": read_heard,
    "ALARM": lambda v: io.TimerDue(v[0]),
    "STREAMING": lambda v: io.CallStands(v[0], v[3] or 0, v[2], v[1] or 0),
    "ENDED": read_ended,
}


def write_action(server: str, action: io.Action) -> Message:
    """One action as a wire message."""
    match action:
        case io.Send(call, office, until):
            return ["FORWARD", server, call, until, office]
        case io.Refuse(call, pause):
            return ["BOUNCE", server, call, pause]
        case io.Abandon(call):
            return ["DROP_REQUEST", server, call]
        case io.Cancel(call, leg):
            return ["CALL_OFF", server, call, leg]
        case io.SetTimer(due, token):
            return ["SET_ALARM", server, due, token]
        case io.Probe(office):
            return ["PROBE", server, office]
        case io.Subscribe():
            return ["KEEP_INFORMED", server, True]
        case io.Note(text):
            return ["WRITE_LOG", server, text]


class Host:
    """The instances of one process and the numbered lists that their list events refer to."""

    def __init__(self) -> None:
        self.instances: dict[str, Controller] = {}
        self.tables: dict[int, tuple[io.OfficeEntry, ...]] = {}

    def batch(self, now: int, messages: Iterable[Message]) -> list[Message]:
        """Hand each instance its events, in order, and collect the replies."""
        out: list[Message] = []
        queued: dict[str, list[io.Event]] = {}
        for message in messages:
            name, values = message[0], message[1:]
            if name == "SNAPSHOT_ROWS":
                self.tables[values[0]] = tuple(read_entry(row) for row in values[1])
                continue
            server = values[0]
            if name == "ENLIST":
                self._flush(now, server, queued, out)
                try:
                    self.instances[server] = Controller(read_settings(values[2] or {}), values[1] or 0)
                except Exception as problem:
                    self._give_in(server, problem, out)
            elif name == "TEARDOWN":
                self._flush(now, server, queued, out)
                self.instances.pop(server, None)
            elif name == "UPDATE":
                kind = KINDS[values[2]]
                rows = () if kind is io.ListKind.FAILED else self.tables.get(values[3], ())
                queued.setdefault(server, []).append(io.OfficeList(kind, rows))
            elif name in READERS:
                queued.setdefault(server, []).append(READERS[name](values[1:]))
            else:
                raise WireError(f"unknown message {name!r}")
        for server in list(queued):
            self._flush(now, server, queued, out)
        return out

    def _flush(self, now: int, server: str, queued: dict[str, list[io.Event]], out: list[Message]) -> None:
        events = queued.pop(server, None)
        controller = self.instances.get(server)
        if not events or controller is None:
            return
        try:
            out.extend(write_action(server, action) for action in controller.handle(now, events))
        except Exception as problem:
            self._give_in(server, problem, out)

    def _give_in(self, server: str, problem: Exception, out: list[Message]) -> None:
        self.instances.pop(server, None)
        out.append(["GIVE_IN", server, f"{type(problem).__name__}: {problem}"])


def parse(line: str, number: int) -> Message:
    """One line of the wire, or a plain word on what is wrong with it."""
    try:
        message = json.loads(line)
    except ValueError as problem:
        raise WireError(f"line {number} is not JSON: {problem}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError(f"line {number} is not an array that begins with a name")
    return message


def serve(source: TextIO, sink: TextIO) -> None:
    """Read batches until the input ends; write one reply for each."""
    host = Host()
    clock: int | None = None
    batch: list[Message] = []
    encode = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        message = parse(line, number)
        try:
            if message[0] == "BATCH":
                if clock is not None:
                    raise WireError("BATCH before the last batch's END")
                clock, batch = int(message[1]), []
            elif clock is None:
                raise WireError(f"{message[0]} outside a batch")
            elif message[0] == "END":
                replies = host.batch(clock, batch)
                sink.write("".join(encode(reply) + "\n" for reply in replies) + '["ACK"]\n')
                sink.flush()
                clock = None
            else:
                batch.append(message)
        except (WireError, LookupError, TypeError, ValueError, AttributeError) as problem:
            text = str(problem) if isinstance(problem, WireError) else f"malformed message: {problem!r}"
            raise WireError(f"batch ending at line {number}: {text}") from None
    if clock is not None:
        raise WireError("input ended inside a batch")


def main() -> int:
    """Run the adapter; one plain line on standard error when the input is not the wire."""
    source = open(sys.stdin.fileno(), encoding="utf-8", closefd=False)
    sink = open(sys.stdout.fileno(), "w", encoding="utf-8", newline="\n", closefd=False)
    try:
        serve(source, sink)
    except (WireError, UnicodeDecodeError) as problem:
        print(f"wirehost: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
