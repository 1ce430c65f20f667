"""Records of the call table: a call and its current attempt."""

from __future__ import annotations

from enum import Enum, auto

from eiderstep import interface as io
from eiderstep.engine.timers import Timer
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message

FORWARDED = (isup.CLASS, isup.NUMBER, isup.DESCRIPTION)  # parameters passed on unchanged


class CallState(Enum):
    """OFFERED -> STANDING -> OVER, or OFFERED -> OVER."""

    OFFERED = auto()  # the set-up is still to be answered or refused
    STANDING = auto()
    OVER = auto()


class AttemptState(Enum):
    """WAITING -> SENT -> OVER, or WAITING -> OVER; the attempt of a standing call is OVER."""

    WAITING = auto()  # for a link
    SENT = auto()
    OVER = auto()


class Call:
    """One call, from its set-up to its release.  `flow`: the caller's connection that carries it."""

    __slots__ = (
        "attempt", "attempt_count", "expires", "flow", "forwarded", "limit_timer", "memory_used", "office",
        "placed_at", "reference", "source", "state", "width",
    )  # fmt: skip

    def __init__(self, message: Message, offer: io.CallOffered | None, flow: int) -> None:
        self.reference, self.flow = message.call, flow
        self.expires = offer.expires if offer is not None else 0
        self.width = offer.width if offer is not None else 0
        self.state = CallState.OFFERED
        # Parameters that go to the office; a set-up may have two hundred others.
        self.forwarded: dict[int, bytes] = {}
        if offer is not None:
            self.forwarded = {c: message.parameters[c] for c in FORWARDED if c in message.parameters}
        self.memory_used = 0  # bytes taken from the memory budget
        self.attempt_count = 0
        self.attempt: Attempt | None = None
        self.office = self.source = ""
        # Ns; of a standing call: when its set-up was sent or, for a reported one, the latest possible time.
        self.placed_at = 0
        self.limit_timer: Timer | None = None

    def encode_set_up(self, wait_ms: int) -> bytes:
        """Encode the set-up for an office: class, number and description as received, and `wait_ms`."""
        parameters = {isup.CLASS: self.forwarded[isup.CLASS], isup.GIVE_UP_TIME: str(wait_ms).encode()}
        return Message(isup.IAM, self.reference, parameters | self.forwarded).encode()

    def discard_parameters(self) -> None:
        """Drop the set-up parameters, which a standing call no longer needs; thousands of calls may stand."""
        self.forwarded = {}


class Attempt:
    """One attempt: a set-up that is sent to an office or waits for a link.  Times in ns."""

    __slots__ = ("call", "deadline", "flow", "leg", "office", "sent_at", "state", "timer")

    def __init__(self, call: Call, leg: int, office: str, sent_at: int, deadline: int) -> None:
        self.call, self.leg, self.office, self.sent_at, self.deadline = call, leg, office, sent_at, deadline
        self.state = AttemptState.WAITING
        self.flow = -1  # the link that it was sent on; negative if it has not been sent
        self.timer: Timer | None = None
