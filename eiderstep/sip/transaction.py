"""Transactions (RFC 3261 section 17, with RFC 6026's Accepted state), one state table, no I/O and no clock.

`Transactions` takes messages and times and leaves three things behind: bytes to send (`out`), what its user
should know (`events`), and when it wants to be called again (`next_due`).  Over a reliable transport nothing
is resent and the waits for stray resends (timers D, I, J, K) are nought, as the RFC has it.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from eiderstep.sip.message import COOKIE, Message

MS = 1_000_000


@dataclass(frozen=True, slots=True)
class Times:
    """The base times of section 17.1.1.1 (ns).  Short ones serve tests and fast links."""

    t1: int = 500 * MS
    t2: int = 4000 * MS
    t4: int = 5000 * MS

    @property
    def give_up(self) -> int:
        """64 x T1: timers B, F, H, J, L and M."""
        return 64 * self.t1


class State(Enum):
    """All states of the four machines."""

    __hash__ = object.__hash__  # Enum hashes its name, in Python, at each look into the table

    CALLING = auto()
    TRYING = auto()
    PROCEEDING = auto()
    ACCEPTED = auto()
    COMPLETED = auto()
    CONFIRMED = auto()
    TERMINATED = auto()


class Kind(Enum):
    """The four machines: who asked, and whether it was an INVITE."""

    __hash__ = object.__hash__  # Enum hashes its name, in Python, at each look into the table

    CLIENT_INVITE = auto()
    CLIENT = auto()
    SERVER_INVITE = auto()
    SERVER = auto()


class Input(Enum):
    """What can happen to a transaction."""

    __hash__ = object.__hash__  # Enum hashes its name, in Python, at each look into the table

    PROVISIONAL = auto()  # received by a client, sent by a server
    SUCCESS = auto()
    FAILURE = auto()
    REPEAT = auto()  # the request came again
    ACK = auto()
    RESEND_DUE = auto()  # timers A, E, G
    GIVE_UP_DUE = auto()  # timers B, F, H
    LINGER_DUE = auto()  # timers D, I, J, K, L, M
    BROKEN = auto()  # the transport failed


class Do(Enum):
    """What a transition asks for."""

    __hash__ = object.__hash__  # Enum hashes its name, in Python, at each look into the table

    TELL = auto()  # hand the message to the user
    RESEND = auto()  # the last message again
    ACK = auto()  # acknowledge a final response that is no success
    STOP_RESEND = auto()
    ARM_RESEND = auto()  # timer G starts with the final response
    ARM_GIVE_UP = auto()
    LINGER = auto()  # wait for stray resends, nought where the transport is reliable
    LINGER_LONG = auto()  # timers L and M of RFC 6026
    TIMED_OUT = auto()
    FAILED = auto()


S, N, D = State, Input, Do
TABLE: dict[Kind, dict[tuple[State, Input], tuple[State, tuple[Do, ...]]]] = {
    Kind.CLIENT_INVITE: {
        (S.CALLING, N.PROVISIONAL): (S.PROCEEDING, (D.STOP_RESEND, D.TELL)),
        (S.CALLING, N.SUCCESS): (S.ACCEPTED, (D.STOP_RESEND, D.TELL, D.LINGER_LONG)),
        (S.CALLING, N.FAILURE): (S.COMPLETED, (D.STOP_RESEND, D.ACK, D.TELL, D.LINGER)),
        (S.CALLING, N.RESEND_DUE): (S.CALLING, (D.RESEND,)),
        (S.CALLING, N.GIVE_UP_DUE): (S.TERMINATED, (D.TIMED_OUT,)),
        (S.CALLING, N.BROKEN): (S.TERMINATED, (D.FAILED,)),
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, (D.TELL,)),
        (S.PROCEEDING, N.SUCCESS): (S.ACCEPTED, (D.TELL, D.LINGER_LONG)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.ACK, D.TELL, D.LINGER)),
        (S.PROCEEDING, N.BROKEN): (S.TERMINATED, (D.FAILED,)),
        (S.ACCEPTED, N.SUCCESS): (S.ACCEPTED, (D.TELL,)),  # again, or a fork: the user acknowledges each
        (S.ACCEPTED, N.LINGER_DUE): (S.TERMINATED, ()),
        (S.COMPLETED, N.FAILURE): (S.COMPLETED, (D.ACK,)),
        (S.COMPLETED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
    Kind.CLIENT: {
        (S.TRYING, N.PROVISIONAL): (S.PROCEEDING, (D.TELL,)),
        (S.TRYING, N.SUCCESS): (S.COMPLETED, (D.STOP_RESEND, D.TELL, D.LINGER)),
        (S.TRYING, N.FAILURE): (S.COMPLETED, (D.STOP_RESEND, D.TELL, D.LINGER)),
        (S.TRYING, N.RESEND_DUE): (S.TRYING, (D.RESEND,)),
        (S.TRYING, N.GIVE_UP_DUE): (S.TERMINATED, (D.TIMED_OUT,)),
        (S.TRYING, N.BROKEN): (S.TERMINATED, (D.FAILED,)),
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, (D.TELL,)),
        (S.PROCEEDING, N.SUCCESS): (S.COMPLETED, (D.STOP_RESEND, D.TELL, D.LINGER)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.STOP_RESEND, D.TELL, D.LINGER)),
        (S.PROCEEDING, N.RESEND_DUE): (S.PROCEEDING, (D.RESEND,)),
        (S.PROCEEDING, N.GIVE_UP_DUE): (S.TERMINATED, (D.TIMED_OUT,)),
        (S.PROCEEDING, N.BROKEN): (S.TERMINATED, (D.FAILED,)),
        (S.COMPLETED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
    Kind.SERVER_INVITE: {
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, ()),
        (S.PROCEEDING, N.REPEAT): (S.PROCEEDING, (D.RESEND,)),
        (S.PROCEEDING, N.SUCCESS): (S.ACCEPTED, (D.ARM_RESEND, D.ARM_GIVE_UP)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.ARM_RESEND, D.ARM_GIVE_UP)),
        (S.PROCEEDING, N.BROKEN): (S.TERMINATED, (D.FAILED,)),
        (S.ACCEPTED, N.REPEAT): (S.ACCEPTED, (D.RESEND,)),
        (S.ACCEPTED, N.RESEND_DUE): (S.ACCEPTED, (D.RESEND,)),
        (S.ACCEPTED, N.ACK): (S.CONFIRMED, (D.STOP_RESEND, D.LINGER_LONG)),
        (S.ACCEPTED, N.GIVE_UP_DUE): (S.TERMINATED, (D.TIMED_OUT,)),
        (S.ACCEPTED, N.BROKEN): (S.TERMINATED, (D.FAILED,)),
        (S.COMPLETED, N.REPEAT): (S.COMPLETED, (D.RESEND,)),
        (S.COMPLETED, N.RESEND_DUE): (S.COMPLETED, (D.RESEND,)),
        (S.COMPLETED, N.ACK): (S.CONFIRMED, (D.STOP_RESEND, D.LINGER)),
        (S.COMPLETED, N.GIVE_UP_DUE): (S.TERMINATED, ()),
        (S.COMPLETED, N.BROKEN): (S.TERMINATED, ()),
        (S.CONFIRMED, N.REPEAT): (S.CONFIRMED, ()),
        (S.CONFIRMED, N.ACK): (S.CONFIRMED, ()),
        (S.CONFIRMED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
    Kind.SERVER: {
        (S.TRYING, N.PROVISIONAL): (S.PROCEEDING, ()),
        (S.TRYING, N.SUCCESS): (S.COMPLETED, (D.LINGER,)),
        (S.TRYING, N.FAILURE): (S.COMPLETED, (D.LINGER,)),
        (S.TRYING, N.REPEAT): (S.TRYING, ()),
        (S.TRYING, N.BROKEN): (S.TERMINATED, ()),
        (S.PROCEEDING, N.PROVISIONAL): (S.PROCEEDING, ()),
        (S.PROCEEDING, N.REPEAT): (S.PROCEEDING, (D.RESEND,)),
        (S.PROCEEDING, N.SUCCESS): (S.COMPLETED, (D.LINGER,)),
        (S.PROCEEDING, N.FAILURE): (S.COMPLETED, (D.LINGER,)),
        (S.PROCEEDING, N.BROKEN): (S.TERMINATED, ()),
        (S.COMPLETED, N.REPEAT): (S.COMPLETED, (D.RESEND,)),
        (S.COMPLETED, N.LINGER_DUE): (S.TERMINATED, ()),
    },
}
FIRST = {
    Kind.CLIENT_INVITE: S.CALLING, Kind.SERVER_INVITE: S.PROCEEDING,
    Kind.CLIENT: S.TRYING, Kind.SERVER: S.TRYING,
}  # fmt: skip
SENDS_FIRST = (Kind.CLIENT_INVITE, Kind.CLIENT)
# The flow is part of the key.  Danger: a response, a CANCEL or an ACK over another connection than the
# request's would be believed from whoever sends it, and a branch used in advance would swallow an honest
# request.  Hurts nobody over TCP: a lost connection ends its transactions.  Over UDP a flow is an address.
Key = tuple[int, str, str, str]
NOTHING = Message("", "", 0, "", {})  # stands for the request of a transaction that is over


class Transaction:
    """One transaction.  `owner` is its user's to set; `last` is what a resend repeats."""

    __slots__ = (
        "flow",
        "gap",
        "key",
        "kind",
        "last",
        "lingers",
        "owner",
        "reliable",
        "request",
        "resend_at",
        "state",
    )

    def __init__(self, kind: Kind, key: Key, flow: int, reliable: bool, request: Message) -> None:
        self.kind, self.key, self.flow, self.reliable, self.request = kind, key, flow, reliable, request
        self.state = FIRST[kind]
        self.last = b""
        self.gap = self.resend_at = self.lingers = 0
        self.owner: object = None


@dataclass(frozen=True, slots=True)
class NewRequest:
    """A request that began a transaction."""

    tx: Transaction
    message: Message


@dataclass(frozen=True, slots=True)
class Answer:
    """A response to one of our requests."""

    tx: Transaction
    message: Message


@dataclass(frozen=True, slots=True)
class NoAnswer:
    """No final response came in 64 x T1, no ACK for our 2xx, or (`broken`) the transport failed."""

    tx: Transaction
    broken: bool


@dataclass(frozen=True, slots=True)
class Stray:
    """A message of no transaction: the ACK of a 2xx, or a response that is too late."""

    flow: int
    message: Message


TxEvent = NewRequest | Answer | NoAnswer | Stray


class Transactions:
    """All transactions of one element.  A flow is a whole number that names a connection or a UDP peer."""

    def __init__(self, times: Times | None = None) -> None:
        self.times = times or Times()
        self.out: list[tuple[int, bytes]] = []
        self.events: list[TxEvent] = []
        self.clients: dict[Key, Transaction] = {}
        self.servers: dict[Key, Transaction] = {}
        self.by_flow: dict[int, dict[Key, Transaction]] = {}
        self._accepted: dict[tuple[str, str, int], Transaction] = {}  # 2xx that wait for their ACK
        self._heap: list[tuple[int, int, Transaction, Input]] = []
        self._count = 0

    # -- what the user does --------------------------------------------------------------------------------

    def send(self, now: int, flow: int, message: Message, reliable: bool = True) -> Transaction:
        """Begin a client transaction."""
        invite = message.method == "INVITE"
        key = (flow, message.branch, "c", message.method)
        tx = Transaction(Kind.CLIENT_INVITE if invite else Kind.CLIENT, key, flow, reliable, message)
        self.clients[key] = tx
        self.by_flow.setdefault(flow, {})[key] = tx
        tx.last = message.encode()
        self.out.append((flow, tx.last))
        self._arm(tx, now + self.times.give_up, N.GIVE_UP_DUE)
        if not reliable:
            self._arm_resend(tx, now)
        return tx

    def respond(self, now: int, tx: Transaction, message: Message) -> bool:
        """Send a response; False where the transaction is over or had its final one."""
        kind = N.PROVISIONAL if message.status < 200 else N.SUCCESS if message.status < 300 else N.FAILURE
        if (tx.state, kind) not in TABLE[tx.kind]:
            return False
        tx.last = message.encode()
        self.out.append((tx.flow, tx.last))
        self._step(now, tx, kind, None)
        return True

    def forget(self, tx: Transaction) -> None:
        """End a transaction whose outcome nobody waits for any more."""
        self._end(tx)

    # -- what happens --------------------------------------------------------------------------------------

    def receive(self, now: int, flow: int, message: Message, reliable: bool = True) -> None:
        """Take a message from the network."""
        if message.status:
            found = self.clients.get((flow, message.branch, "c", message.cseq_method))
            if found is None:
                self.events.append(Stray(flow, message))
                return
            code = message.status
            self._step(
                now, found, N.PROVISIONAL if code < 200 else N.SUCCESS if code < 300 else N.FAILURE, message
            )
            return
        method = "INVITE" if message.method == "ACK" else message.method
        key = self.server_key(flow, message, method)
        found = self.servers.get(key)
        if message.method == "ACK":
            found = found or self._acknowledged(flow, message)
            if found is not None:
                self._step(now, found, N.ACK, message)
            self.events.append(Stray(flow, message))
            return
        if found is not None:
            self._step(now, found, N.REPEAT, message)
            return
        tx = Transaction(
            Kind.SERVER_INVITE if method == "INVITE" else Kind.SERVER, key, flow, reliable, message
        )
        self.servers[key] = tx
        self.by_flow.setdefault(flow, {})[key] = tx
        self.events.append(NewRequest(tx, message))

    @staticmethod
    def server_key(flow: int, message: Message, method: str) -> Key:
        """Section 17.2.3; without the magic cookie the dialog's own marks stand in for the branch."""
        branch = message.branch
        if not branch.startswith(COOKIE):
            branch = f"{message.call_id} {message.cseq} {message.from_tag}"
        return (flow, branch, message.get("via").partition(";")[0].partition(" ")[2].strip().lower(), method)

    def _acknowledged(self, flow: int, ack: Message) -> Transaction | None:
        """The 2xx that an ACK is for: it has a branch of its own, so the dialog tells."""
        found = self._accepted.get((ack.call_id, ack.from_tag, ack.cseq))
        return found if found is not None and found.flow == flow else None

    def broken(self, now: int, flow: int) -> None:
        """A connection is lost: all that was open on it fails (section 18.4)."""
        for tx in list(self.by_flow.pop(flow, {}).values()):
            self._step(now, tx, N.BROKEN, None)
            self._end(tx)

    def due(self, now: int) -> None:
        """Run the timers that are due."""
        while self._heap and self._heap[0][0] <= now:
            at, _, tx, what = heapq.heappop(self._heap)
            if what is N.RESEND_DUE:
                if tx.resend_at != at:
                    continue
                self._step(now, tx, what, None)
                if tx.resend_at and tx.state is not S.TERMINATED:
                    self._arm_resend(tx, now)
            elif what is not N.LINGER_DUE or tx.lingers == at:
                self._step(now, tx, what, None)

    def next_due(self) -> int | None:
        """When `due` is wanted next; entries of transactions that are over fall away here."""
        while self._heap and self._heap[0][2].state is S.TERMINATED:
            heapq.heappop(self._heap)
        return self._heap[0][0] if self._heap else None

    # -- the machine ---------------------------------------------------------------------------------------

    def _arm(self, tx: Transaction, at: int, what: Input) -> None:
        self._count += 1
        heapq.heappush(self._heap, (at, self._count, tx, what))

    def _arm_resend(self, tx: Transaction, now: int) -> None:
        """Timers A, E and G: doubling gaps, all but A up to T2."""
        cap = self.times.give_up if tx.kind is Kind.CLIENT_INVITE else self.times.t2
        slow = tx.kind is Kind.CLIENT and tx.state is S.PROCEEDING
        tx.gap = cap if slow else min(2 * tx.gap or self.times.t1, cap)
        tx.resend_at = now + tx.gap
        self._arm(tx, tx.resend_at, N.RESEND_DUE)

    def _step(self, now: int, tx: Transaction, what: Input, message: Message | None) -> None:
        found = TABLE[tx.kind].get((tx.state, what))
        if found is None:
            return
        tx.state, todo = found
        for do in todo:
            DOERS[do](self, now, tx, message)
        if tx.state is S.TERMINATED:
            self._end(tx)

    def _tell(self, now: int, tx: Transaction, message: Message | None) -> None:
        assert message is not None
        self.events.append(Answer(tx, message))

    def _resend(self, now: int, tx: Transaction, message: Message | None) -> None:
        if tx.last:
            self.out.append((tx.flow, tx.last))

    def _ack(self, now: int, tx: Transaction, message: Message | None) -> None:
        assert message is not None
        ack = Message("ACK", tx.request.uri, 0, "", {
            "via": tx.request.headers["via"][:1], "max-forwards": ["70"], "from": [tx.request.get("from")],
            "to": [message.get("to")], "call-id": [tx.request.call_id], "cseq": [f"{tx.request.cseq} ACK"],
        })  # fmt: skip
        self.out.append((tx.flow, ack.encode()))

    def _stop_resend(self, now: int, tx: Transaction, message: Message | None) -> None:
        tx.resend_at = 0

    def _start_resend(self, now: int, tx: Transaction, message: Message | None) -> None:
        if tx.state is S.ACCEPTED:
            request = tx.request
            self._accepted[request.call_id, request.from_tag, request.cseq] = tx
        if not tx.reliable:
            self._arm_resend(tx, now)

    def _start_give_up(self, now: int, tx: Transaction, message: Message | None) -> None:
        self._arm(tx, now + self.times.give_up, N.GIVE_UP_DUE)

    def _linger(self, now: int, tx: Transaction, message: Message | None) -> None:
        wait = self.times.t4 if tx.kind is not Kind.SERVER else self.times.give_up
        if tx.kind is Kind.CLIENT_INVITE:
            wait = self.times.give_up  # timer D is over 32 s
        self._linger_for(now, tx, 0 if tx.reliable else wait)

    def _linger_long(self, now: int, tx: Transaction, message: Message | None) -> None:
        self._linger_for(now, tx, 0 if tx.reliable else self.times.give_up)

    def _linger_for(self, now: int, tx: Transaction, wait: int) -> None:
        if wait == 0:
            tx.state = S.TERMINATED
            return
        tx.lingers = now + wait
        self._arm(tx, tx.lingers, N.LINGER_DUE)

    def _timed_out(self, now: int, tx: Transaction, message: Message | None) -> None:
        self.events.append(NoAnswer(tx, False))

    def _failed(self, now: int, tx: Transaction, message: Message | None) -> None:
        self.events.append(NoAnswer(tx, True))

    def _end(self, tx: Transaction) -> None:
        tx.state = S.TERMINATED
        table = self.clients if tx.kind in SENDS_FIRST else self.servers
        if table.get(tx.key) is tx:
            del table[tx.key]
        if tx.kind is Kind.SERVER_INVITE:
            self._accepted.pop((tx.request.call_id, tx.request.from_tag, tx.request.cseq), None)
        flow = self.by_flow.get(tx.flow)
        if flow is not None:
            flow.pop(tx.key, None)
            if not flow:
                del self.by_flow[tx.flow]
        tx.last, tx.request = b"", NOTHING  # its timers keep it in the heap for 64 x T1 yet


DOERS: dict[Do, Callable[[Transactions, int, Transaction, Message | None], None]] = {
    Do.TELL: Transactions._tell,
    Do.RESEND: Transactions._resend,
    Do.ACK: Transactions._ack,
    Do.STOP_RESEND: Transactions._stop_resend,
    Do.ARM_RESEND: Transactions._start_resend,
    Do.ARM_GIVE_UP: Transactions._start_give_up,
    Do.LINGER: Transactions._linger,
    Do.LINGER_LONG: Transactions._linger_long,
    Do.TIMED_OUT: Transactions._timed_out,
    Do.FAILED: Transactions._failed,
}
