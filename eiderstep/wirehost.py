"""Adapter between the simulator and the decision module: JSON lines on standard input and output.

Each line is an array that begins with the name of a message.  The input consists of batches, from BATCH with
the time (ns) to END; each is answered by actions and an ACK.  Each server named by ENLIST has its own
Controller; servers share only this process.  The adapter translates messages and decides nothing.
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

# Codes of the simulator's messages.
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
REDIALLED, IN_TRANSIT, WAS_CUT = 2, 8, 16  # bits of the marks of a SUBMIT
BEYOND_FULL_NOTE = 18  # the note of an ENDED that stands for Cause.BEYOND_FULL


class WireError(Exception):
    """The input violates the protocol between simulator and adapter."""


def read_entry(row: Message) -> io.OfficeEntry:
    """One row of an office list: name, zone, -, number, state, -, start time."""
    return io.OfficeEntry(
        office=row[0],
        zone=row[1] or 0,
        number=row[3] if row[3] is not None else -1,
        state=STATES[row[4]],
        started=(row[6] or 0) if len(row) > 6 else 0,
    )


def read_offer(values: Message) -> io.CallOffered:
    """A SUBMIT: a call is offered."""
    marks = values[9] or 0
    return io.CallOffered(
        call=values[0],
        class_no=values[1],
        expires=values[4],
        called_number=values[3] or "",
        dest=values[6] if values[6] is not None else -1,
        width=values[7] or 1,
        hint=values[8] if values[8] is not None else -1,
        transit=bool(marks & IN_TRANSIT),
        redialled=bool(marks & REDIALLED),
        was_cut=bool(marks & WAS_CUT),
    )


def read_ended(values: Message) -> io.AttemptEnded:
    """An ENDED: an attempt is over.

    The low four bits of the note are the cause, the rest is the wait (ms) named by a full processor.
    """
    note = values[1] or 0
    beyond_full = note == BEYOND_FULL_NOTE
    cause = io.Cause.BEYOND_FULL if beyond_full else CAUSES.get(note % 16, io.Cause.NONE)
    wait = note // 16 * 1_000_000 if cause is io.Cause.PROCESSOR_FULL else 0
    return io.AttemptEnded(
        call=values[0],
        leg=values[2] or 0,
        office=values[5],
        outcome=OUTCOMES[values[4]],
        cause=cause,
        call_over=bool(values[3]),
        elapsed=values[6] or 0,
        retry_after=wait,
        report=read_report(values[7]) if len(values) > 7 else None,
    )


def read_office_heard(values: Message) -> io.OfficeHeard:
    """A PROBE_DONE: the end of a probe or, unsolicited, a changed number of free circuits."""
    return io.OfficeHeard(
        values[0], values[1] == 0 and not values[2], values[1] == 0, values[2] or 0, read_report(values[3])
    )


def read_peer_message(values: Message) -> io.PeerSays:
    """A NEIGHBOUR_SAYS: a message from another controller, in base 64."""
    import base64

    return io.PeerSays(values[0], base64.b64decode(values[1] or ""))


READERS: dict[str, Callable[[Message], io.Event]] = {
    "SUBMIT": read_offer,
    "GONE": lambda values: io.CallGone(values[0]),
    "NEIGHBOUR_SAYS": read_peer_message,
    "PROBE_DONE": read_office_heard,
    "ALARM": lambda values: io.TimerDue(values[0]),
    "STREAMING": lambda values: io.CallStands(values[0], values[3] or 0, values[2], values[1] or 0),
    "ENDED": read_ended,
}


def write_action(server: str, action: io.Action) -> Message:
    """The message for one action of a server."""
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
    """The controllers of one process, by server, and the numbered office lists that UPDATE refers to."""

    def __init__(self) -> None:
        self.controllers: dict[str, Controller] = {}
        self.office_lists: dict[int, tuple[io.OfficeEntry, ...]] = {}

    def handle_batch(self, now: int, messages: Iterable[Message]) -> list[Message]:
        """Pass each controller its events in their order and return the replies; start and stop controllers.

        A controller that raises an exception is dropped and reported by GIVE_IN.  Raises WireError for an
        unknown message.
        """
        replies: list[Message] = []
        queued: dict[str, list[io.Event]] = {}
        for message in messages:
            name, values = message[0], message[1:]
            if name == "SNAPSHOT_ROWS":
                self.office_lists[values[0]] = tuple(read_entry(row) for row in values[1])
                continue
            server = values[0]
            if name == "ENLIST":
                self._flush(now, server, queued, replies)
                try:
                    self.controllers[server] = Controller(read_settings(values[2] or {}), values[1] or 0)
                except Exception as error:
                    self._drop_controller(server, error, replies)
            elif name == "TEARDOWN":
                self._flush(now, server, queued, replies)
                self.controllers.pop(server, None)
            elif name == "UPDATE":
                kind = KINDS[values[2]]
                rows = () if kind is io.ListKind.FAILED else self.office_lists.get(values[3], ())
                queued.setdefault(server, []).append(io.OfficeList(kind, rows))
            elif name in READERS:
                queued.setdefault(server, []).append(READERS[name](values[1:]))
            else:
                raise WireError(f"unknown message {name!r}")
        for server in list(queued):
            self._flush(now, server, queued, replies)
        return replies

    def _flush(
        self, now: int, server: str, queued: dict[str, list[io.Event]], replies: list[Message]
    ) -> None:
        events = queued.pop(server, None)
        controller = self.controllers.get(server)
        if not events or controller is None:
            return
        try:
            replies.extend(write_action(server, action) for action in controller.handle(now, events))
        except Exception as error:
            self._drop_controller(server, error, replies)

    def _drop_controller(self, server: str, error: Exception, replies: list[Message]) -> None:
        self.controllers.pop(server, None)
        replies.append(["GIVE_IN", server, f"{type(error).__name__}: {error}"])


def parse_line(line: str, number: int) -> Message:
    """The message on one line of the input.  Raises WireError with the line number."""
    try:
        message = json.loads(line)
    except ValueError as error:
        raise WireError(f"line {number} is not JSON: {error}") from None
    if not isinstance(message, list) or not message or not isinstance(message[0], str):
        raise WireError(f"line {number} is not an array that begins with the name of a message")
    return message


def run_batches(source: TextIO, sink: TextIO) -> None:
    """Read batches until the input ends and write the replies of each.  Raises WireError."""
    host = Host()
    now: int | None = None
    batch: list[Message] = []
    encode = json.JSONEncoder(separators=(",", ":"), ensure_ascii=False).encode
    for number, line in enumerate(source, 1):
        if not line.strip():
            continue
        message = parse_line(line, number)
        try:
            if message[0] == "BATCH":
                if now is not None:
                    raise WireError("expected END before the next BATCH")
                now, batch = int(message[1]), []
            elif now is None:
                raise WireError(f"expected BATCH; found {message[0]}")
            elif message[0] == "END":
                replies = host.handle_batch(now, batch)
                sink.write("".join(encode(reply) + "\n" for reply in replies) + '["ACK"]\n')
                sink.flush()
                now = None
            else:
                batch.append(message)
        except (WireError, LookupError, TypeError, ValueError, AttributeError) as error:
            text = str(error) if isinstance(error, WireError) else f"malformed message: {error!r}"
            raise WireError(f"batch ending at line {number}: {text}") from None
    if now is not None:
        raise WireError("the input ended before the END of a batch")


def main() -> int:
    """Run the adapter.  Returns 2, with one line on standard error, if the input violates the protocol."""
    source = open(sys.stdin.fileno(), encoding="utf-8", closefd=False)
    sink = open(sys.stdout.fileno(), "w", encoding="utf-8", newline="\n", closefd=False)
    try:
        run_batches(source, sink)
    except (WireError, UnicodeDecodeError) as error:
        print(f"wirehost: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
