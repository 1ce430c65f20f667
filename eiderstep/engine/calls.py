"""Records of the call table: `Call` for the incoming leg, `Attempt` for an outgoing one."""

from __future__ import annotations

from enum import Enum, auto
from typing import Any

from eiderstep.engine.circuits import TrunkGroup
from eiderstep.sip.dialog import Dialog
from eiderstep.sip.message import Message
from eiderstep.sip.transaction import Transaction


class CallState(Enum):
    """OFFERED -> STANDING -> ENDED, or OFFERED -> ENDED."""

    OFFERED = auto()  # no final response sent to the caller yet
    STANDING = auto()
    ENDED = auto()  # rejected, abandoned by the caller, or released


class AttemptState(Enum):
    """State of an outgoing set-up.  In PENDING and CANCELLING the module still expects a result."""

    PENDING = auto()  # no final response yet
    CANCELLING = auto()  # cancelled; the end has not been reported to the module yet
    GIVEN_UP = auto()  # the end was reported to the module; the final response is still outstanding
    STANDING = auto()
    RELEASING = auto()  # BYE sent; the circuits are released when its response arrives
    ENDED = auto()


class Call:
    """One call, from its INVITE to its release.

    It owns the circuits that the originating exchange seized for a call in transit.  `dest`: the destination
    exchange; `expires`: when the final response is due at the latest (ns); `tag`: the To tag set by this end;
    `next_processor_full`: the last attempt failed because the processor of the next exchange was full.
    """

    __slots__ = (
        "attempt", "next_processor_full", "circuits", "class_no", "loss_counted", "dest", "dialog",
        "expires", "flow", "invite", "attempts_made", "group", "to_own_lines", "name", "redial", "session_id",
        "source", "state", "tag", "transit", "trying_timer", "tx", "width",
    )  # fmt: skip
    seized_here = False
    releasing = False

    def __init__(
        self, name: str, flow: int, tx: Transaction, invite: Message, tag: str, class_no: int, width: int,
        dest: int, expires: int,
    ) -> None:  # fmt: skip
        self.name, self.flow, self.tx, self.invite, self.tag = name, flow, tx, invite, tag
        self.class_no, self.width, self.dest, self.expires = class_no, width, dest, expires
        self.source = ""  # key under which the per-source call limit counts this call
        self.session_id = invite.get("session-id") or name
        self.state = CallState.OFFERED
        self.attempt: Attempt | None = None
        self.attempts_made = 0
        self.group: TrunkGroup | None = None
        self.circuits: tuple[int, ...] = ()
        self.dialog: Dialog | None = None
        self.trying_timer: Any = None  # sends the 100 Trying
        self.transit = self.to_own_lines = self.next_processor_full = False
        self.redial = self.loss_counted = False  # used by the traffic meter only


class Attempt:
    """One outgoing set-up.  It owns the circuits that it seized.

    `number`: the next exchange, -1 for the own lines; `sent_at` and `deadline` in ns.
    """

    __slots__ = (
        "call", "circuits", "cancelled_by_loss", "dialog", "invite", "leg", "group", "number", "office",
        "cancel_pending", "sent_at", "state", "deadline_timer", "tx", "deadline",
    )  # fmt: skip
    seized_here = True

    def __init__(self, call: Call, leg: int, office: str, number: int, sent_at: int, deadline: int) -> None:
        self.call, self.leg, self.office, self.number = call, leg, office, number
        self.sent_at, self.deadline = sent_at, deadline
        self.state = AttemptState.PENDING
        self.group: TrunkGroup | None = None
        self.circuits: tuple[int, ...] = ()
        self.tx: Transaction | None = None
        self.invite: Message | None = None
        self.dialog: Dialog | None = None
        self.deadline_timer: Any = None
        self.cancelled_by_loss = False  # cancelled because its circuits or its connection were lost
        self.cancel_pending = False  # send a CANCEL as soon as a provisional response allows it

    @property
    def releasing(self) -> bool:
        return self.state is AttemptState.RELEASING
