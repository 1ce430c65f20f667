"""The records of the call table: a call and its attempt."""

from __future__ import annotations

from enum import Enum, auto

from eiderstep import interface as io
from eiderstep.engine.timers import Entry
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message


class CallState(Enum):
    """OFFERED -> STANDING -> OVER, or OFFERED -> OVER."""

    OFFERED = auto()  # an answer is owed
    STANDING = auto()
    OVER = auto()


class AttemptState(Enum):
    """WAITING -> OUT -> OVER, or OVER from either; an attempt whose call stands is over."""

    WAITING = auto()  # for a link
    OUT = auto()
    OVER = auto()


class Call:
    """One call, from its set-up to its release.  `flow`: the caller's connection that it came on."""

    __slots__ = (
        "attempt", "expires", "flow", "guard", "legs", "name", "office", "passed", "source", "state", "width",
    )  # fmt: skip

    def __init__(self, message: Message, offer: io.CallOffered | None, flow: int) -> None:
        self.name, self.flow = message.call, flow
        self.expires = offer.expires if offer is not None else 0
        self.width = offer.width if offer is not None else 0
        self.state = CallState.OFFERED
        self.passed: dict[int, bytes] = message.parameters if offer is not None else {}  # type: ignore[assignment]
        self.legs = 0
        self.attempt: Attempt | None = None
        self.office = self.source = ""
        self.guard: Entry | None = None

    def set_up(self, wait: int) -> bytes:
        """The set-up for an office: class, number and description as they came, our own wait (ms)."""
        passed = {isup.CLASS: self.passed[isup.CLASS], isup.PATIENCE: str(wait).encode()}
        passed |= {c: self.passed[c] for c in (isup.NUMBER, isup.DESCRIPTION) if c in self.passed}
        return Message(isup.IAM, self.name, passed).encode()

    def slim(self) -> None:
        """Keep what a standing call still needs.  Thousands of them stand."""
        self.passed = {}


class Attempt:
    """One set-up sent on."""

    __slots__ = ("call", "flow", "leg", "office", "sent_at", "state", "timer", "until")

    def __init__(self, call: Call, leg: int, office: str, sent_at: int, until: int) -> None:
        self.call, self.leg, self.office, self.sent_at, self.until = call, leg, office, sent_at, until
        self.state = AttemptState.WAITING
        self.flow = -1  # the link that it went out on; below 0 where it never left
        self.timer: Entry | None = None
