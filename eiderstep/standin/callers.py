"""Simulated callers: place, hold and end calls, redial after a refusal or a cut, and measure the service.

Service follows the operators' definition: the worth of the calls that were answered within their aim and not
cut, divided by the worth offered.  A caller's redials count as part of its first attempt.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from eiderstep.sip import fields
from eiderstep.sip.dialog import Dialog, make_ack, make_cancel
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.transaction import Transaction, TransactionKind, TransactionState
from eiderstep.standin.element import Element

MS = 1_000_000
ARRIVAL_DELAY = 0.001  # seconds until a sent INVITE has reached its own exchange


@dataclass(frozen=True)
class CallerClass:
    """Properties of a call class, as the callers see them.  Times in seconds."""

    name: str
    worth: float
    aim: float
    holding_time: float
    late_share: float = 0.25


@dataclass(frozen=True)
class CallerBehaviour:
    """How callers behave.  Times in seconds."""

    give_up_time: float = 3.0
    max_redials: int = 2
    redial_wait: tuple[float, float] = (0.5, 2.0)
    pause_obeyed_share: float = 0.7  # share of callers that wait as long as Retry-After says
    early_hang_up_share: float = 0.0  # share of attempts hung up before the answer
    sends_marks: bool = False  # whether redials carry the mark "redialled"


@dataclass(eq=False)
class CallIntent:
    """One caller's wish to reach a number, over all its attempts (ITU-T E.600: call intent)."""

    call_class: CallerClass
    number: str
    created_at: float
    attempts: int = 0
    aim_start: float = 0.0  # the aim is counted from here: the first attempt, or the redial after a cut
    earned_worth: float = 0.0
    was_cut: bool = False
    outcome: str = ""


@dataclass(eq=False)
class CallAttempt:
    """One INVITE of a call intent."""

    intent: CallIntent
    invite: Message
    tx: Transaction
    sent_at: float
    state: str = "asked"  # "asked", "standing", "over"
    dialog: Dialog | None = None
    final_statuses: list[int] = field(default_factory=list)
    cancel_wanted: bool = False  # a CANCEL is sent once a provisional response allows it


class Callers(Element):
    """All callers of one exchange, sharing a few connections to its call server."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, server: str, rng: Random, behaviour: CallerBehaviour,
        connections: int = 4, name: str = "callers",
    ) -> None:  # fmt: skip
        super().__init__(loop, name, rng)
        self.server_address, self.behaviour, self.connection_count = server, behaviour, connections
        self.address = "127.0.0.1:9"
        self.open_flows: list[int] = []
        self.intents: list[CallIntent] = []
        self.standing_attempts: dict[tuple[str, str], CallAttempt] = {}
        self.set_up_times: list[float] = []
        self.final_counts: dict[int, int] = {}
        self.give_up_times: list[float] = []  # give-up times of attempts that got no final response
        self.redials_disabled = False  # no more redials
        # Seconds that a call which arrives now waits for the exchange's processor; None: no such wait.
        self.processor_wait: Callable[[], float] | None = None

    async def connect(self) -> None:
        for _ in range(self.connection_count):
            flow = await self.dial(self.server_address)
            self.open_flows.append(flow)

    def offer_call(self, call_class: CallerClass, number: str) -> CallIntent:
        """Start the first attempt of a new caller."""
        intent = CallIntent(call_class, number, self.loop.time(), aim_start=self.loop.time())
        self.intents.append(intent)
        self._start_attempt(intent)
        return intent

    def _start_attempt(self, intent: CallIntent) -> None:
        intent.attempts += 1
        if not self.open_flows:
            self._schedule_redial(intent, 0.0)
            return
        flow = self.open_flows[self.rng.randrange(len(self.open_flows))]
        uri = f"sip:{intent.number}@{self.server_address}"
        give_up_time = self.behaviour.give_up_time
        invite = request(
            "INVITE", uri, via=self.via(), sender=f"<sip:caller@{self.address}>;tag={self.new_id()}",
            to=f"<{uri}>", call_id=self.new_id(), cseq=1,
        )  # fmt: skip
        invite.set("contact", f"<sip:caller@{self.address}>")
        invite.set("expires", str(-(-int(give_up_time * 1000) // 1000)))
        invite.set(fields.PATIENCE_HEADER, str(int(give_up_time * 1000)))
        invite.set(fields.CLASS_HEADER, intent.call_class.name)
        invite.set("session-id", f"{self.rng.getrandbits(128):032x}")
        marks = (["redialled"] if self.behaviour.sends_marks and intent.attempts > 1 else []) + (
            ["cut"] if intent.was_cut else []
        )
        invite.set(fields.MARKS_HEADER, ",".join(marks) or None)
        tx = self.transactions.send(self.now(), flow, invite)
        attempt = CallAttempt(intent, invite, tx, self.loop.time())
        tx.owner = attempt
        if self.rng.random() < self.behaviour.early_hang_up_share:
            self.call_later(self.rng.random() * give_up_time / 2, lambda: self._hang_up_early(attempt))
        if self.processor_wait is None:
            self.call_later(give_up_time + 0.02, lambda: self._give_up(attempt))
        else:
            # The processor's wait is read when the INVITE has arrived, as later work queues behind this call.
            processor_wait = self.processor_wait
            self.call_later(
                ARRIVAL_DELAY,
                lambda: self.call_later(
                    give_up_time + 0.02 + processor_wait(), lambda: self._give_up(attempt)
                ),
            )
        self.process_events()

    def _hang_up_early(self, attempt: CallAttempt) -> None:
        """Hang up before the answer, without a redial."""
        if attempt.state == "asked":
            attempt.intent.outcome = attempt.intent.outcome or "left"
            attempt.intent.attempts = 99  # above every limit of redials
            self._request_cancel(attempt)

    def _request_cancel(self, attempt: CallAttempt) -> None:
        attempt.cancel_wanted = True  # RFC 3261, 9.1: no CANCEL before a provisional response
        if attempt.tx.state is TransactionState.PROCEEDING:
            self._send_cancel(attempt)

    def _send_cancel(self, attempt: CallAttempt) -> None:
        if attempt.cancel_wanted:
            attempt.cancel_wanted = False
            self.transactions.send(self.now(), attempt.tx.flow, make_cancel(attempt.invite))

    def _give_up(self, attempt: CallAttempt) -> None:
        if attempt.state == "asked" and not attempt.final_statuses:
            self.give_up_times.append(attempt.sent_at + self.behaviour.give_up_time)
            attempt.state = "over"
            self._request_cancel(attempt)
            self._schedule_redial(attempt.intent, 0.0)

    def _schedule_redial(self, intent: CallIntent, pause: float) -> None:
        if intent.attempts > self.behaviour.max_redials or self.redials_disabled:
            intent.outcome = intent.outcome or "given up"
            return
        wait = self.rng.uniform(*self.behaviour.redial_wait)
        if pause and self.rng.random() < self.behaviour.pause_obeyed_share:
            wait = max(wait, pause)
        self.call_later(wait, lambda: self._start_attempt(intent))

    def on_response(self, tx: Transaction, message: Message) -> None:
        attempt = tx.owner
        if not isinstance(attempt, CallAttempt) or tx.kind is not TransactionKind.CLIENT_INVITE:
            return
        if message.status < 200:
            self._send_cancel(attempt)
            return
        if message.status < 300:
            ack = make_ack(attempt.invite, message, self.via())
            self.transactions.out.append((tx.flow, ack.encode()))
            if attempt.dialog is not None:
                return
        attempt.final_statuses.append(message.status)
        self.final_counts[message.status] = self.final_counts.get(message.status, 0) + 1
        if message.status >= 300:
            if attempt.state == "asked":
                attempt.state = "over"
                self._schedule_redial(attempt.intent, fields.read_wait(message) / 1e9)
            return
        attempt.dialog = Dialog.for_uac(attempt.invite, message, tx.flow)
        self.standing_attempts[attempt.invite.call_id, attempt.invite.from_tag] = attempt
        now, intent = self.loop.time(), attempt.intent
        if attempt.state != "asked" or intent.attempts > 90:
            attempt.state = "standing"
            self._hang_up(attempt)
            return
        attempt.state = "standing"
        self.set_up_times.append(now - attempt.sent_at)
        intent.earned_worth = intent.call_class.worth * (
            1.0 if now - intent.aim_start <= intent.call_class.aim else intent.call_class.late_share
        )
        intent.outcome = "stands"
        self.call_later(
            self.rng.expovariate(1 / intent.call_class.holding_time), lambda: self._hang_up(attempt)
        )

    def _hang_up(self, attempt: CallAttempt) -> None:
        if attempt.state == "standing" and attempt.dialog is not None:
            attempt.state = "over"
            self.standing_attempts.pop((attempt.invite.call_id, attempt.invite.from_tag), None)
            bye = attempt.dialog.request("BYE", self.via())
            bye.set("reason", fields.reason(fields.NORMAL_CLEARING))
            self.transactions.send(self.now(), attempt.dialog.flow, bye)

    def on_request(self, tx: Transaction, message: Message) -> None:
        attempt = self.standing_attempts.pop((message.call_id, message.to_tag), None)
        expected = message.method == "BYE" and attempt is not None
        self.transactions.respond(self.now(), tx, response(message, 200 if expected else 481))
        if expected and attempt is not None:
            attempt.state = "over"
            if fields.read_reason(message)[1] != fields.NORMAL_CLEARING:
                self._handle_cut(attempt.intent)

    def _handle_cut(self, intent: CallIntent) -> None:
        """Take back the worth of a cut call; a redial earns it again if the call stands within its aim."""
        intent.earned_worth, intent.was_cut, intent.outcome = 0.0, True, "cut"
        if intent.attempts <= self.behaviour.max_redials and not self.redials_disabled:
            wait = self.rng.uniform(*self.behaviour.redial_wait)
            intent.aim_start = self.loop.time() + wait
            self.call_later(wait, lambda: self._start_attempt(intent))

    def on_transaction_failed(self, tx: Transaction, transport_failed: bool) -> None:
        attempt = tx.owner
        if isinstance(attempt, CallAttempt) and attempt.state == "asked":
            attempt.state = "over"
            self._schedule_redial(attempt.intent, 0.0)

    def on_connection_lost(self, flow: int) -> None:
        """Count the calls of the connection as cut."""
        if flow in self.open_flows:
            self.open_flows.remove(flow)
            for attempt in [
                candidate
                for candidate in self.standing_attempts.values()
                if candidate.dialog is not None and candidate.dialog.flow == flow
            ]:
                self.standing_attempts.pop((attempt.invite.call_id, attempt.invite.from_tag), None)
                attempt.state = "over"
                self._handle_cut(attempt.intent)

    def break_connection(self, index: int) -> None:
        """Abort the connection at `index`, with the calls and attempts on it."""
        if index < len(self.open_flows):
            connection = self.connection_by_flow.get(self.open_flows[index])
            if connection is not None:
                connection.transport.abort()


@dataclass(frozen=True)
class ServiceWeights:
    """Weights of the parts of the service score, and the length of its windows (s)."""

    whole: float = 0.6
    window: float = 0.2
    by_class: float = 0.2
    window_length: float = 10.0


def service_score(intents: list[CallIntent], weights: ServiceWeights, start: float) -> dict[str, float]:
    """Return the parts of the service score and their weighted sum, each 0 to 1.

    Call intents created before `start` are left out.
    """

    def earned_share(part: list[CallIntent]) -> float:
        offered = sum(intent.call_class.worth for intent in part)
        return sum(intent.earned_worth for intent in part) / offered if offered else 1.0

    counted = [intent for intent in intents if intent.created_at >= start]
    windows: dict[int, list[CallIntent]] = {}
    classes: dict[str, list[CallIntent]] = {}
    for intent in counted:
        windows.setdefault(int((intent.created_at - start) / weights.window_length), []).append(intent)
        classes.setdefault(intent.call_class.name, []).append(intent)
    whole = earned_share(counted)
    worst_window = min((earned_share(part) for part in windows.values()), default=1.0)
    worst_class = min((earned_share(part) for part in classes.values()), default=1.0)
    total = weights.whole * whole + weights.window * worst_window + weights.by_class * worst_class
    result = {"service": total, "whole": whole, "worst_window": worst_window, "worst_class": worst_class}
    return result | {f"class {name}": earned_share(part) for name, part in sorted(classes.items())}
