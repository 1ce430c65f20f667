"""Input and output of the decision module (eiderstep/decide.py): settings, events and actions.

Plain data without logic.  Times and lengths of time are integer nanoseconds.  None means that a figure is not
known.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto


class OfficeState(Enum):
    """State of an office in the office list."""

    UP = auto()
    DRAINING = auto()
    GONE = auto()


class ListKind(Enum):
    """How an office list relates to the one received before."""

    CHANGES = auto()  # changed entries only
    COMPLETE = auto()
    REMEMBERED = auto()  # complete, but stored before the start of this process: may be stale
    FAILED = auto()  # a request for the list failed; the previous list still applies


class Outcome(Enum):
    """How an attempt ended, whether its call stood or not."""

    RELEASED = auto()  # the call stood and has ended
    FAULT = auto()  # all lines of the number are busy, or a signalling fault
    TURNED_AWAY = auto()  # refused for lack of a circuit or because of load; see Cause
    NO_ANSWER = auto()
    UNREACHABLE = auto()  # no connection to the office
    CUT = auto()  # the call stood and lost its circuits
    CANCELLED = auto()  # by the controller
    NOT_SENT = auto()


class Cause(Enum):
    """Why an attempt failed, if the office gave a reason."""

    NONE = auto()
    NO_CIRCUIT = auto()  # no free circuit in the group to the office
    TANDEM_REFUSED = auto()  # the tandem could not send the call on
    BEYOND_FULL = auto()  # the tandem accepted the call, the destination's processor was full
    PROCESSOR_FULL = auto()
    NUMBER_BUSY = auto()


@dataclass(frozen=True, slots=True)
class CallClass:
    """One class of calls, with its mean figures."""

    worth: float  # of a call set up within the aim
    width: int  # circuits per call
    aim: int  # set-up time that earns the full worth
    give_up: int
    mean_hold: int
    late_share: float = 0.0  # share of the worth that a call set up after the aim still earns
    pools: tuple[int, ...] | None = None  # pools of agents that have the skill; None: any office


@dataclass(frozen=True, slots=True)
class Settings:
    """Settings of one controller, fixed for its lifetime."""

    classes: tuple[CallClass, ...]
    own_number: int = -1  # of the own exchange; -1: none
    pooled: bool = False  # offices are pools of agents: no transit
    controllers: int = 1  # that share the budget of a cold office
    ordinal: int = 0  # of this controller among them, from 0
    attempt_cap: int = 1
    may_probe: bool = False
    may_message: bool = False  # to other controllers
    may_cancel: bool = False
    may_pause: bool = False  # a refusal may carry a pause, up to max_pause
    max_pause: int = 0
    list_on_request: bool = False  # the office list is sent only after a Subscribe
    ask_every: int = 0
    answer_slack: int = 0  # tolerance around a call's expiry for its final answer
    drain_grace: int = 0  # after the report of a drain, within which sending must have stopped
    # Rule 4: during cold_time from its start, a cold office gets from all controllers together, in any
    # cold_window, at most cold_multiple * cold_share times the set-ups that a warm office takes.
    cold_multiple: float = 1.0
    cold_window: int = 0
    cold_share: float = 1.0
    cold_time: int = 0
    release_wait: int = 0  # after an attempt without an answer, a cut or a cancel, before the next attempt
    retransmit_interval: int = (
        0  # retransmission interval of the signalling transport; 0: it does not retransmit
    )
    redials_marked: bool = False  # callers mark their redials


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Figures of an office.  Those of the group are exact, those of the processor are late and noisy."""

    free: int | None = None  # circuits of the group between the own exchange and the office
    size: int | None = None  # circuits of that group in service
    active: float | None = None  # set-ups in work at the processor
    waiting: float | None = None  # set-ups in the processor's queue
    cpu_used: float | None = None  # share of the processor's time in use
    wait: int | None = None  # mean wait of a set-up at the processor
    max_rate: float | None = None  # set-ups a second that the processor can take
    reduction: float | None = None  # share of the load that the office asks to be spared


@dataclass(frozen=True, slots=True)
class OfficeEntry:
    """One entry of the office list."""

    office: str  # name of the processor, unique
    number: int  # of the exchange; two processors may have the same for a while
    state: OfficeState
    started: int = 0  # time of its start; 0: long ago or unknown
    zone: int = 0  # district


@dataclass(frozen=True, slots=True)
class OfficeList:
    """A list of offices, complete or changes to the previous one."""

    kind: ListKind
    entries: tuple[OfficeEntry, ...] = ()


@dataclass(frozen=True, slots=True)
class CallOffered:
    """A call to which this controller owes one final answer."""

    call: str
    class_no: int  # index into Settings.classes
    dest: int  # number of the destination's exchange
    width: int  # circuits
    expires: int  # when the caller gives up
    called_number: str = ""  # the number called
    hint: int = -1  # tandem proposed by the routing centre; in transit: the exchange that the call comes from
    transit: bool = False
    redialled: bool = False  # marked by the caller as a redial
    was_cut: bool = False  # the call stood, was cut and is offered again


@dataclass(frozen=True, slots=True)
class CallGone:
    """The caller hung up; no answer is owed any more."""

    call: str


@dataclass(frozen=True, slots=True)
class CallStands:
    """The far end answered: the call stands."""

    call: str
    leg: int  # number of the attempt, from 0
    office: str
    elapsed: int  # time since the set-up was sent


@dataclass(frozen=True, slots=True)
class AttemptEnded:
    """An attempt is over."""

    call: str
    leg: int
    office: str
    outcome: Outcome
    cause: Cause
    call_over: bool  # the call is over too: no answer is owed and no further attempt possible
    elapsed: int
    retry_after: int = 0  # for which a full processor asks to be spared (Retry-After)
    report: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class OfficeHeard:
    """A report on a changed number of free circuits (unsolicited), or the end of a probe."""

    office: str
    unsolicited: bool
    answered: bool  # False: the probe was not answered
    elapsed: int
    report: LoadReport


@dataclass(frozen=True, slots=True)
class TimerDue:
    """A timer set by SetTimer is due."""

    token: int  # as in SetTimer


@dataclass(frozen=True, slots=True)
class PeerSays:
    """A message from another controller."""

    peer: int
    payload: bytes


@dataclass(frozen=True, slots=True)
class ShutdownBegun:
    """This process shuts down: each call needs its final answer by then."""

    ends_at: int


@dataclass(frozen=True, slots=True)
class ListConfirmed:
    """The list of offices is complete; set-ups may rely on it until the given time.

    Without any such event the list is relied on without limit.
    """

    valid_until: int


Event = (
    OfficeList
    | ListConfirmed
    | CallOffered
    | CallGone
    | CallStands
    | AttemptEnded
    | OfficeHeard
    | TimerDue
    | PeerSays
    | ShutdownBegun
)


@dataclass(frozen=True, slots=True)
class Send:
    """Send a set-up for the call to this office; the attempt may last until the given time."""

    call: str
    office: str
    until: int


@dataclass(frozen=True, slots=True)
class Refuse:
    """Final answer: the call is refused."""

    call: str
    pause: int = 0  # after which a redial may succeed (Retry-After); 0: not said


@dataclass(frozen=True, slots=True)
class Abandon:
    """Final answer: the call failed, its time is up."""

    call: str


@dataclass(frozen=True, slots=True)
class Cancel:
    """Cancel an attempt that has not been answered."""

    call: str
    leg: int


@dataclass(frozen=True, slots=True)
class SetTimer:
    """Request a TimerDue with this token at the given time."""

    due: int
    token: int


@dataclass(frozen=True, slots=True)
class Probe:
    """Probe an office; OfficeHeard brings its answer and load report."""

    office: str


@dataclass(frozen=True, slots=True)
class Subscribe:
    """Request the office list and its later changes."""


@dataclass(frozen=True, slots=True)
class Note:
    """A line for the operators."""

    text: str


Action = Send | Refuse | Abandon | Cancel | SetTimer | Probe | Subscribe | Note
