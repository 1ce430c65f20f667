"""SIP transactions (RFC 3261 section 17 with the Accepted state of RFC 6026), without I/O or a clock.

`TransactionLayer` is driven with messages and the current time.  It yields bytes to send (`out`), events for
its user (`events`) and the time of its next timer (`next_due`).  Over a reliable transport nothing is
retransmitted and timers D, I, J and K, which absorb retransmissions, are zero as the RFC requires.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from eiderstep.sip.message import MAGIC_COOKIE, Message

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class BaseTimes:
    """The base times of section 17.1.1.1 (ns).  Shorter ones are for tests and fast links."""

    t1: int = 500 * MS
    t2: int = 4000 * MS
    t4: int = 5000 * MS

    @property
    def transaction_timeout(self) -> int:
        """Transaction timeout, 64 x T1: timers B, F, H, J, L and M."""
        return 64 * self.t1


class TransactionState(Enum):
    """The states of the four state machines of a transaction."""

    __hash__ = object.__hash__  # faster table lookups: Enum hashes its name in Python code

    CALLING = auto()
    TRYING = auto()
    PROCEEDING = auto()
    ACCEPTED = auto()
    COMPLETED = auto()
    CONFIRMED = auto()
    TERMINATED = auto()


class TransactionKind(Enum):
    """The four state machines: client or server side, INVITE or another method."""

    __hash__ = object.__hash__  # faster table lookups: Enum hashes its name in Python code

    CLIENT_INVITE = auto()
    CLIENT = auto()
    SERVER_INVITE = auto()
    SERVER = auto()


class Input(Enum):
    """Inputs of the state machines."""

    __hash__ = object.__hash__  # faster table lookups: Enum hashes its name in Python code

    PROVISIONAL = auto()  # this and the next two: response received by a client or sent by a server
    SUCCESS = auto()
    FAILURE = auto()
    RETRANSMISSION = auto()  # of the request, received by a server
    ACK = auto()
    RETRANSMIT_DUE = auto()  # timers A, E, G
    TIMEOUT_DUE = auto()  # timers B, F, H
    LINGER_DUE = auto()  # timers D, I, J, K, L, M
    TRANSPORT_FAILED = auto()


class Action(Enum):
    """Actions of a transition."""

    __hash__ = object.__hash__  # faster table lookups: Enum hashes its name in Python code

    REPORT_RESPONSE = auto()
    RETRANSMIT = auto()  # the last message sent
    SEND_ACK = auto()  # for a final response other than 2xx
    STOP_RETRANSMITS = auto()
    START_RETRANSMITS = auto()  # timer G starts with the final response
    START_TIMEOUT = auto()
    LINGER = auto()  # wait for retransmissions (timers D, I, J, K); no wait on a reliable transport
    LINGER_LONG = auto()  # timers L and M of RFC 6026
    REPORT_TIMEOUT = auto()
    REPORT_TRANSPORT_FAILURE = auto()


S, N, D = TransactionState, Input, Action  # short names for the table below
TRANSITIONS: dict[
    TransactionKind, dict[tuple[TransactionState, Input], tuple[TransactionState, tuple[Action, ...]]]
] = {
    TransactionKind.CLIENT_INVITE: {
        (S.CALLING, N.PROVISIONAL): (S.PROCEEDING, (D.STOP_RETRANSMITS, D.REPORT_RESPONSE)),
        (S.CALLING, N.SUCCESS): (S.ACCEPTED, (D.STOP_RETRANSMITS, D.REPORT_RESPONSE, D.LINGER_LONG)),
        (S.CALLING, N.FAILURE): (S.COMPLETED, (D.STOP_RETRANSMITS, D.SEND_ACK, D.REPORT_RESPONSE, D.LINGER)),
        (S.CALLING, N.RETRANSMIT_DUE): (S.CALLING, (D.RETRANSMIT,)),
        (S.CALLING, N.TIMEOUT_DUE): (S.TERMINATED, (D.REPORT_TIMEOUT,)),
        (S.CALLING, N.TRANSPORT_FAILED): (S.TERMINATED, (D.REPORT_TRANSPORT_FAILURE,)),
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, (D.REPORT_RESPONSE,)),
        (S.PROCEEDING, N.SUCCESS): (S.ACCEPTED, (D.REPORT_RESPONSE, D.LINGER_LONG)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.SEND_ACK, D.REPORT_RESPONSE, D.LINGER)),
        (S.PROCEEDING, N.TRANSPORT_FAILED): (S.TERMINATED, (D.REPORT_TRANSPORT_FAILURE,)),
        (S.ACCEPTED, N.SUCCESS): (S.ACCEPTED, (D.REPORT_RESPONSE,)),  # repeat or fork: user sends each ACK
        (S.ACCEPTED, N.LINGER_DUE): (S.TERMINATED, ()),
        (S.COMPLETED, N.FAILURE): (S.COMPLETED, (D.SEND_ACK,)),
        (S.COMPLETED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
    TransactionKind.CLIENT: {
        (S.TRYING, N.PROVISIONAL): (S.PROCEEDING, (D.REPORT_RESPONSE,)),
        (S.TRYING, N.SUCCESS): (S.COMPLETED, (D.STOP_RETRANSMITS, D.REPORT_RESPONSE, D.LINGER)),
        (S.TRYING, N.FAILURE): (S.COMPLETED, (D.STOP_RETRANSMITS, D.REPORT_RESPONSE, D.LINGER)),
        (S.TRYING, N.RETRANSMIT_DUE): (S.TRYING, (D.RETRANSMIT,)),
        (S.TRYING, N.TIMEOUT_DUE): (S.TERMINATED, (D.REPORT_TIMEOUT,)),
        (S.TRYING, N.TRANSPORT_FAILED): (S.TERMINATED, (D.REPORT_TRANSPORT_FAILURE,)),
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, (D.REPORT_RESPONSE,)),
        (S.PROCEEDING, N.SUCCESS): (S.COMPLETED, (D.STOP_RETRANSMITS, D.REPORT_RESPONSE, D.LINGER)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.STOP_RETRANSMITS, D.REPORT_RESPONSE, D.LINGER)),
        (S.PROCEEDING, N.RETRANSMIT_DUE): (S.PROCEEDING, (D.RETRANSMIT,)),
        (S.PROCEEDING, N.TIMEOUT_DUE): (S.TERMINATED, (D.REPORT_TIMEOUT,)),
        (S.PROCEEDING, N.TRANSPORT_FAILED): (S.TERMINATED, (D.REPORT_TRANSPORT_FAILURE,)),
        (S.COMPLETED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
    TransactionKind.SERVER_INVITE: {
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, ()),
        (S.PROCEEDING, N.RETRANSMISSION): (S.PROCEEDING, (D.RETRANSMIT,)),
        (S.PROCEEDING, N.SUCCESS): (S.ACCEPTED, (D.START_RETRANSMITS, D.START_TIMEOUT)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.START_RETRANSMITS, D.START_TIMEOUT)),
        (S.PROCEEDING, N.TRANSPORT_FAILED): (S.TERMINATED, (D.REPORT_TRANSPORT_FAILURE,)),
        (S.ACCEPTED, N.RETRANSMISSION): (S.ACCEPTED, (D.RETRANSMIT,)),
        (S.ACCEPTED, N.RETRANSMIT_DUE): (S.ACCEPTED, (D.RETRANSMIT,)),
        (S.ACCEPTED, N.ACK): (S.CONFIRMED, (D.STOP_RETRANSMITS, D.LINGER_LONG)),
        (S.ACCEPTED, N.TIMEOUT_DUE): (S.TERMINATED, (D.REPORT_TIMEOUT,)),
        (S.ACCEPTED, N.TRANSPORT_FAILED): (S.TERMINATED, (D.REPORT_TRANSPORT_FAILURE,)),
        (S.COMPLETED, N.RETRANSMISSION): (S.COMPLETED, (D.RETRANSMIT,)),
        (S.COMPLETED, N.RETRANSMIT_DUE): (S.COMPLETED, (D.RETRANSMIT,)),
        (S.COMPLETED, N.ACK): (S.CONFIRMED, (D.STOP_RETRANSMITS, D.LINGER)),
        (S.COMPLETED, N.TIMEOUT_DUE): (S.TERMINATED, ()),
        (S.COMPLETED, N.TRANSPORT_FAILED): (S.TERMINATED, ()),
        (S.CONFIRMED, N.RETRANSMISSION): (S.CONFIRMED, ()),
        (S.CONFIRMED, N.ACK): (S.CONFIRMED, ()),
        (S.CONFIRMED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
    TransactionKind.SERVER: {
        (S.TRYING, N.PROVISIONAL): (S.PROCEEDING, ()),
        (S.TRYING, N.SUCCESS): (S.COMPLETED, (D.LINGER,)),
        (S.TRYING, N.FAILURE): (S.COMPLETED, (D.LINGER,)),
        (S.TRYING, N.RETRANSMISSION): (S.TRYING, ()),
        (S.TRYING, N.TRANSPORT_FAILED): (S.TERMINATED, ()),
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, ()),
        (S.PROCEEDING, N.RETRANSMISSION): (S.PROCEEDING, (D.RETRANSMIT,)),
        (S.PROCEEDING, N.SUCCESS): (S.COMPLETED, (D.LINGER,)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.LINGER,)),
        (S.PROCEEDING, N.TRANSPORT_FAILED): (S.TERMINATED, ()),
        (S.COMPLETED, N.RETRANSMISSION): (S.COMPLETED, (D.RETRANSMIT,)),
        (S.COMPLETED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
}
INITIAL_STATE = {
    TransactionKind.CLIENT_INVITE: S.CALLING, TransactionKind.SERVER_INVITE: S.PROCEEDING,
    TransactionKind.CLIENT: S.TRYING, TransactionKind.SERVER: S.TRYING,
}  # fmt: skip
CLIENT_KINDS = (TransactionKind.CLIENT_INVITE, TransactionKind.CLIENT)
# The flow is part of the key.  Without it any other connection could send a response, a CANCEL or an ACK for
# the transaction, and could block a genuine request by sending one with its branch in advance.  Over TCP this
# costs nothing, as the loss of a connection ends its transactions.  Over UDP a flow is the peer's address.
TransactionKey = tuple[int, str, str, str]
NO_REQUEST = Message("", "", 0, "", {})  # replaces the request of a terminated transaction


class Transaction:
    """One transaction.  `owner` is set by the user; `last_sent` is the message that is retransmitted."""

    __slots__ = (
        "flow",
        "retransmit_interval",
        "key",
        "kind",
        "last_sent",
        "linger_until",
        "owner",
        "reliable",
        "request",
        "retransmit_at",
        "state",
    )

    def __init__(
        self, kind: TransactionKind, key: TransactionKey, flow: int, reliable: bool, request: Message
    ) -> None:
        self.kind, self.key, self.flow, self.reliable, self.request = kind, key, flow, reliable, request
        self.state = INITIAL_STATE[kind]
        self.last_sent = b""
        self.retransmit_interval = self.retransmit_at = self.linger_until = 0
        self.owner: object = None


@dataclass(frozen=True, slots=True)
class NewRequest:
    """A request that created a server transaction."""

    tx: Transaction
    message: Message


@dataclass(frozen=True, slots=True)
class ResponseReceived:
    """A response to a request of a client transaction."""

    tx: Transaction
    message: Message


@dataclass(frozen=True, slots=True)
class TransactionFailed:
    """No final response, or no ACK for a 2xx sent, within 64 x T1, or the transport failed."""

    tx: Transaction
    transport_failed: bool


@dataclass(frozen=True, slots=True)
class StrayMessage:
    """A message that matches no transaction: the ACK of a 2xx, or a late response."""

    flow: int
    message: Message


TransactionEvent = NewRequest | ResponseReceived | TransactionFailed | StrayMessage


class TransactionLayer:
    """The transaction layer of one SIP element.  A flow is the number of a connection or a UDP peer."""

    def __init__(self, times: BaseTimes | None = None) -> None:
        self.times = times or BaseTimes()
        self.out: list[tuple[int, bytes]] = []
        self.events: list[TransactionEvent] = []
        self.clients: dict[TransactionKey, Transaction] = {}
        self.servers: dict[TransactionKey, Transaction] = {}
        self.by_flow: dict[int, dict[TransactionKey, Transaction]] = {}
        self._awaiting_ack: dict[tuple[str, str, int], Transaction] = {}  # by Call-ID, From tag, CSeq
        self._timer_heap: list[tuple[int, int, Transaction, Input]] = []
        self._timer_count = 0

    # -- calls of the user ---------------------------------------------------------------------------------

    def send(self, now: int, flow: int, message: Message, reliable: bool = True) -> Transaction:
        """Send a request and start its client transaction."""
        invite = message.method == "INVITE"
        key = (flow, message.branch, "c", message.method)
        tx = Transaction(
            TransactionKind.CLIENT_INVITE if invite else TransactionKind.CLIENT, key, flow, reliable, message
        )
        self.clients[key] = tx
        self.by_flow.setdefault(flow, {})[key] = tx
        tx.last_sent = message.encode()
        self.out.append((flow, tx.last_sent))
        self._start_timer(tx, now + self.times.transaction_timeout, Input.TIMEOUT_DUE)
        if not reliable:
            self._schedule_retransmit(tx, now)
        return tx

    def respond(self, now: int, tx: Transaction, message: Message) -> bool:
        """Send a response; False if the transaction has ended or has sent its final response."""
        response_class = (
            Input.PROVISIONAL
            if message.status < 200
            else Input.SUCCESS
            if message.status < 300
            else Input.FAILURE
        )
        if (tx.state, response_class) not in TRANSITIONS[tx.kind]:
            return False
        tx.last_sent = message.encode()
        self.out.append((tx.flow, tx.last_sent))
        self._apply(now, tx, response_class, None)
        return True

    def discard(self, tx: Transaction) -> None:
        """End a transaction whose outcome is no longer needed; it reports no more events."""
        self._terminate(tx)

    # -- messages, timers ----------------------------------------------------------------------------------

    def receive(self, now: int, flow: int, message: Message, reliable: bool = True) -> None:
        """Handle a message from the network."""
        if message.status:
            existing = self.clients.get((flow, message.branch, "c", message.cseq_method))
            if existing is None:
                self.events.append(StrayMessage(flow, message))
                return
            code = message.status
            self._apply(
                now,
                existing,
                Input.PROVISIONAL if code < 200 else Input.SUCCESS if code < 300 else Input.FAILURE,
                message,
            )
            return
        method = "INVITE" if message.method == "ACK" else message.method
        key = self.server_key(flow, message, method)
        existing = self.servers.get(key)
        if message.method == "ACK":
            existing = existing or self._find_by_2xx_ack(flow, message)
            if existing is not None:
                self._apply(now, existing, Input.ACK, message)
            self.events.append(StrayMessage(flow, message))
            return
        if existing is not None:
            self._apply(now, existing, Input.RETRANSMISSION, message)
            return
        tx = Transaction(
            TransactionKind.SERVER_INVITE if method == "INVITE" else TransactionKind.SERVER,
            key,
            flow,
            reliable,
            message,
        )
        self.servers[key] = tx
        self.by_flow.setdefault(flow, {})[key] = tx
        self.events.append(NewRequest(tx, message))

    @staticmethod
    def server_key(flow: int, message: Message, method: str) -> TransactionKey:
        """Key by section 17.2.3.  Without the magic cookie, Call-ID, CSeq and From tag replace the branch."""
        branch = message.branch
        if not branch.startswith(MAGIC_COOKIE):
            branch = f"{message.call_id} {message.cseq} {message.from_tag}"
        return (flow, branch, message.get("via").partition(";")[0].partition(" ")[2].strip().lower(), method)

    def _find_by_2xx_ack(self, flow: int, ack: Message) -> Transaction | None:
        """The transaction of the 2xx that an ACK is for, by dialog, as this ACK has a branch of its own."""
        tx = self._awaiting_ack.get((ack.call_id, ack.from_tag, ack.cseq))
        return tx if tx is not None and tx.flow == flow else None

    def connection_lost(self, now: int, flow: int) -> None:
        """A connection is lost: all transactions on it fail (section 18.4)."""
        for tx in list(self.by_flow.pop(flow, {}).values()):
            self._apply(now, tx, Input.TRANSPORT_FAILED, None)
            self._terminate(tx)

    def run_due_timers(self, now: int) -> None:
        """Run the timers that are due at `now`."""
        while self._timer_heap and self._timer_heap[0][0] <= now:
            at, _, tx, timer = heapq.heappop(self._timer_heap)
            if timer is Input.RETRANSMIT_DUE:
                if tx.retransmit_at != at:
                    continue
                self._apply(now, tx, timer, None)
                if tx.retransmit_at and tx.state is not TransactionState.TERMINATED:
                    self._schedule_retransmit(tx, now)
            elif timer is not Input.LINGER_DUE or tx.linger_until == at:
                self._apply(now, tx, timer, None)

    def next_due(self) -> int | None:
        """When to call `run_due_timers` next, None if no timer runs.  Drops timers of ended transactions."""
        while self._timer_heap and self._timer_heap[0][2].state is TransactionState.TERMINATED:
            heapq.heappop(self._timer_heap)
        return self._timer_heap[0][0] if self._timer_heap else None

    # -- state machines ------------------------------------------------------------------------------------

    def _start_timer(self, tx: Transaction, at: int, timer: Input) -> None:
        self._timer_count += 1
        heapq.heappush(self._timer_heap, (at, self._timer_count, tx, timer))

    def _schedule_retransmit(self, tx: Transaction, now: int) -> None:
        """Timers A, E and G: the interval doubles, up to T2 except for timer A."""
        cap = self.times.transaction_timeout if tx.kind is TransactionKind.CLIENT_INVITE else self.times.t2
        at_cap = tx.kind is TransactionKind.CLIENT and tx.state is TransactionState.PROCEEDING
        tx.retransmit_interval = cap if at_cap else min(2 * tx.retransmit_interval or self.times.t1, cap)
        tx.retransmit_at = now + tx.retransmit_interval
        self._start_timer(tx, tx.retransmit_at, Input.RETRANSMIT_DUE)

    def _apply(self, now: int, tx: Transaction, event: Input, message: Message | None) -> None:
        """Make the transition for an input, if the state has one."""
        transition = TRANSITIONS[tx.kind].get((tx.state, event))
        if transition is None:
            return
        tx.state, actions = transition
        for action in actions:
            ACTION_HANDLERS[action](self, now, tx, message)
        if tx.state is TransactionState.TERMINATED:
            self._terminate(tx)

    def _report_response(self, now: int, tx: Transaction, message: Message | None) -> None:
        assert message is not None
        self.events.append(ResponseReceived(tx, message))

    def _retransmit(self, now: int, tx: Transaction, message: Message | None) -> None:
        if tx.last_sent:
            self.out.append((tx.flow, tx.last_sent))

    def _send_ack(self, now: int, tx: Transaction, message: Message | None) -> None:
        assert message is not None
        ack = Message("ACK", tx.request.uri, 0, "", {
            "via": tx.request.headers["via"][:1], "max-forwards": ["70"], "from": [tx.request.get("from")],
            "to": [message.get("to")], "call-id": [tx.request.call_id], "cseq": [f"{tx.request.cseq} ACK"],
        })  # fmt: skip
        self.out.append((tx.flow, ack.encode()))

    def _stop_retransmits(self, now: int, tx: Transaction, message: Message | None) -> None:
        tx.retransmit_at = 0

    def _start_retransmits(self, now: int, tx: Transaction, message: Message | None) -> None:
        if tx.state is TransactionState.ACCEPTED:
            request = tx.request
            self._awaiting_ack[request.call_id, request.from_tag, request.cseq] = tx
        if not tx.reliable:
            self._schedule_retransmit(tx, now)

    def _start_timeout(self, now: int, tx: Transaction, message: Message | None) -> None:
        self._start_timer(tx, now + self.times.transaction_timeout, Input.TIMEOUT_DUE)

    def _linger(self, now: int, tx: Transaction, message: Message | None) -> None:
        wait = self.times.t4 if tx.kind is not TransactionKind.SERVER else self.times.transaction_timeout
        if tx.kind is TransactionKind.CLIENT_INVITE:
            wait = self.times.transaction_timeout  # timer D is at least 32 s, 64 x T1 by default
        self._linger_for(now, tx, 0 if tx.reliable else wait)

    def _linger_long(self, now: int, tx: Transaction, message: Message | None) -> None:
        self._linger_for(now, tx, 0 if tx.reliable else self.times.transaction_timeout)

    def _linger_for(self, now: int, tx: Transaction, wait: int) -> None:
        if wait == 0:
            tx.state = TransactionState.TERMINATED
            return
        tx.linger_until = now + wait
        self._start_timer(tx, tx.linger_until, Input.LINGER_DUE)

    def _report_timeout(self, now: int, tx: Transaction, message: Message | None) -> None:
        self.events.append(TransactionFailed(tx, False))

    def _report_transport_failure(self, now: int, tx: Transaction, message: Message | None) -> None:
        self.events.append(TransactionFailed(tx, True))

    def _terminate(self, tx: Transaction) -> None:
        tx.state = TransactionState.TERMINATED
        table = self.clients if tx.kind in CLIENT_KINDS else self.servers
        if table.get(tx.key) is tx:
            del table[tx.key]
        if tx.kind is TransactionKind.SERVER_INVITE:
            self._awaiting_ack.pop((tx.request.call_id, tx.request.from_tag, tx.request.cseq), None)
        on_flow = self.by_flow.get(tx.flow)
        if on_flow is not None:
            on_flow.pop(tx.key, None)
            if not on_flow:
                del self.by_flow[tx.flow]
        tx.last_sent, tx.request = (
            b"",
            NO_REQUEST,
        )  # frees memory: its timers stay up to 64 x T1 longer


ACTION_HANDLERS: dict[Action, Callable[[TransactionLayer, int, Transaction, Message | None], None]] = {
    Action.REPORT_RESPONSE: TransactionLayer._report_response,
    Action.RETRANSMIT: TransactionLayer._retransmit,
    Action.SEND_ACK: TransactionLayer._send_ack,
    Action.STOP_RETRANSMITS: TransactionLayer._stop_retransmits,
    Action.START_RETRANSMITS: TransactionLayer._start_retransmits,
    Action.START_TIMEOUT: TransactionLayer._start_timeout,
    Action.LINGER: TransactionLayer._linger,
    Action.LINGER_LONG: TransactionLayer._linger_long,
    Action.REPORT_TIMEOUT: TransactionLayer._report_timeout,
    Action.REPORT_TRANSPORT_FAILURE: TransactionLayer._report_transport_failure,
}
