"""Test rig: a call table with a scripted decider, and builders for messages of callers and offices."""

from __future__ import annotations

from eiderstep import interface as io
from eiderstep.engine import effects as fx
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.isup.parser import Parser
from eiderstep.node.calls import CallTable

MS = 1_000_000
SECOND = 1000 * MS
START = 1_800_000_000 * SECOND
OFFICE, OTHER_OFFICE = "s-here", "s-there"
CALLER, OTHER_CALLER, LINK, OTHER_LINK = 1, 2, 11, 12
CALL_A, CALL_B = "a" * 16, "b" * 16
DESCRIPTION = b"words of the far end\r\n"
SETTINGS = io.Settings(
    classes=(
        io.CallClass(1.0, 1, 300 * MS, 3 * SECOND, 2 * SECOND),
        io.CallClass(3.0, 3, 500 * MS, 3 * SECOND, 2 * SECOND),
    ),
    own_number=0, attempt_cap=6, may_cancel=True, may_pause=True, max_pause=2 * SECOND,
    release_wait=250 * MS,
)  # fmt: skip


class ScriptedController:
    """Records the events passed to it and returns the actions that the test has put into `next_actions`."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.events: list[io.Event] = []
        self.next_actions: list[io.Action] = []

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        self.events += events
        actions, self.next_actions = self.next_actions, []
        return actions


def set_up(
    call: str = CALL_A, wait: int = 1500, pairs: str = "dest:1;width:1;via:-1", **overrides: bytes
) -> Message:
    class_name = overrides.pop("class_name", b"voice")
    parameters = {
        isup.CLASS: class_name, isup.GIVE_UP_TIME: str(wait).encode(), isup.NUMBER: b"7f3a9c21e0b4d655",
        isup.ROUTING_DATA: pairs.encode(), isup.DESCRIPTION: b"words of the caller\r\n",
    }  # fmt: skip
    parameters |= {getattr(isup, name.upper()): value for name, value in overrides.items()}
    return Message(isup.IAM, call, parameters)


def answer(call: str = CALL_A, description: bytes = DESCRIPTION) -> Message:
    return Message(isup.ANM, call, {isup.DESCRIPTION: description})


def release(call: str = CALL_A, cause: int = 16, diagnostic: str = "", report: str = "") -> Message:
    parameters = {isup.CAUSE: bytes((cause,))}
    parameters |= {isup.DIAGNOSTIC: diagnostic.encode()} if diagnostic else {}
    parameters |= {isup.LOAD_REPORT: report.encode()} if report else {}
    return Message(isup.REL, call, parameters)


class CallTableRig:
    """A `CallTable` with two offices, a link to the first and a connection from a caller."""

    def __init__(self, max_calls: int = 20_000) -> None:
        self.now = START
        self.calls = CallTable(
            SETTINGS, ("voice", "wide"), 500 * MS, 1, ScriptedController, max_calls, started_at=START
        )
        assert isinstance(self.calls.controller, ScriptedController)
        self.controller = self.calls.controller
        self.effects: list[fx.Effect] = []
        up = io.OfficeState.UP
        self.calls.update_offices(
            self.now,
            io.ListKind.REMEMBERED,
            (io.OfficeEntry(OFFICE, 1, up), io.OfficeEntry(OTHER_OFFICE, 2, up)),
        )
        self.calls.caller_connected(CALLER, "caller")
        self.calls.link_up(self.now, OFFICE, LINK)
        self.flush()

    def flush(self, *actions: io.Action) -> list[tuple[int, Message]]:
        """Flush, with `actions` as the decider's answer; return the messages sent, with their flows."""
        self.controller.next_actions += actions
        self.effects += self.calls.flush(self.now)
        sent = []
        for flow, data in self.calls.outgoing:
            for item in Parser().feed(data):
                assert isinstance(item, Message)
                sent.append((flow, item))
        self.calls.outgoing.clear()
        return sent

    def advance(self, ms: float) -> list[tuple[int, Message]]:
        """Move the clock forward, run the timers and flush."""
        self.now += int(ms * MS)
        self.calls.run_timers(self.now)
        return self.flush()

    def take_events(self, kind: type) -> list[io.Event]:
        """Remove and return the events of a type that the decider has received."""
        found = [event for event in self.controller.events if isinstance(event, kind)]
        self.controller.events = [event for event in self.controller.events if not isinstance(event, kind)]
        return found

    def offer(self, call: str = CALL_A, office: str = OFFICE) -> list[tuple[int, Message]]:
        """Receive a set-up and send it to an office; return the messages sent."""
        assert self.calls.handle_caller_message(self.now, CALLER, set_up(call))
        return self.flush(io.Send(call, office, self.now + 900 * MS))

    def make_standing(self, call: str = CALL_A) -> None:
        self.offer(call)
        assert self.calls.handle_office_message(self.now, LINK, answer(call))
        self.flush()
        self.controller.events.clear()

    def holds_nothing(self) -> bool:
        """Whether nothing is held of any call after the longest time that a release is kept."""
        calls = self.calls
        calls.discard_expired(self.now + 9 * SECOND)
        held = (
            calls.calls,
            calls.standing_by_office,
            calls.waiting_for_link,
            calls.pending_releases,
            calls.events,
            calls.outgoing,
        )
        return not (any(held) or calls.count_open_set_ups() or any(calls.attempts_by_link.values()))
