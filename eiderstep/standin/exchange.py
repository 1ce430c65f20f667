"""A simulated exchange: a processor with one queue, trunk groups to its neighbours, and subscriber lines.

The processor works off set-ups and releases one at a time.  A set-up that would wait longer than a limit is
refused, which costs work too.  After a start the processor has part of its capacity and warms up; if it gets
more set-ups than it can take while cold, it crashes and stays down.  A script changes `Faults` at run time.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random

from eiderstep.sip import fields
from eiderstep.sip.dialog import Dialog, make_ack, make_cancel
from eiderstep.sip.message import Message, request, response, uri_parts
from eiderstep.sip.transaction import Transaction, TransactionKind, TransactionState
from eiderstep.standin.element import Element
from eiderstep.standin.processor import Processor, ProcessorConfig, WorkItem

SPLIT_ANSWER_DELAY = 0.4  # seconds between the two halves of an answer


@dataclass(frozen=True)
class ExchangeConfig:
    """The configuration of a simulated exchange.  Times in seconds."""

    number: int
    group_sizes: dict[int, int]  # size of the trunk group by neighbour
    dial_plan: dict[str, int]  # dial plan: exchange by number prefix
    context: str = "standin"
    capacity: float = 60.0  # set-ups a second when warm
    max_wait: float = 2.0  # set-ups that would wait longer are refused
    sends_pause: bool = False  # refusals contain Retry-After
    report_kind: str = "rate"  # load reports: "rate" (with the queue length), "loss" or "none"
    report_interval: float = 0.3  # interval at which load reports are renewed
    cold_share: float = 0.3
    cold_time: float = 0.0
    warm_up: str = "linear"
    answers_first: bool = False  # answers and releases go before set-ups that wait
    queues_releases: bool = False  # a release takes effect when its work is done, not when the BYE arrives
    drops_cancelled: bool = False  # a set-up cancelled while it waits costs no work
    crash_multiple: float = 0.0  # crashes while cold above this multiple of its capacity; 0: never
    crash_window: float = 2.0  # set-ups are counted over this time
    release_work: float = 0.15  # of a set-up's work
    busy_share: float = 0.0  # share of calls that find the subscriber busy


@dataclass
class Faults:
    """The faults injected at the moment."""

    mute: bool = False  # set-ups get no response, not even a 100
    lost_answer_share: float = 0.0  # share of final responses that are not sent
    split_answer_share: float = (
        0.0  # share of final responses with the second half `SPLIT_ANSWER_DELAY` later
    )
    report_delay: float = 0.0  # seconds that load reports are older than they should be
    refuse_status: int = 0  # status that every set-up gets at once; 0: none
    line_limits: dict[str, int] = field(default_factory=dict)  # lines of numbers that have only a few


class TrunkGroup:
    """The numbered circuits to one neighbour, as this end sees them."""

    def __init__(self, size: int, own: int, neighbour: int) -> None:
        self.size, self.blocked = size, set[int]()
        self.holders: dict[int, object] = {}  # leg by circuit
        self.displaced: dict[
            int, list[object]
        ] = {}  # legs whose circuit the far end took over, until they end
        self.controls_even = own > neighbour  # ITU-T Q.764, 2.9.1.4: the higher code controls even circuits
        self.resize(size)

    def resize(self, size: int) -> None:
        """Change the number of circuits; calls on removed circuits keep them until they end."""
        self.size, even = size, self.controls_even
        self.seizure_order = sorted(
            range(size), key=lambda c: ((c % 2 == 0) != even, c if (c % 2 == 0) == even else -c)
        )

    def controls(self, circuit: int) -> bool:
        """Whether this end keeps the circuit at glare."""
        return (circuit % 2 == 0) == self.controls_even

    def seize(self, width: int, owner: object) -> tuple[int, ...]:
        """Seize `width` free circuits and return them, or none if there are too few."""
        free = [c for c in self.seizure_order if c not in self.holders and c not in self.blocked][:width]
        if len(free) < width:
            return ()
        for circuit in free:
            self.holders[circuit] = owner
        return tuple(free)

    def assign(self, circuit: int, owner: object) -> None:
        """Give a circuit to a leg that the far end seized it for, even if it is busy."""
        if circuit in self.holders:
            self.displaced.setdefault(circuit, []).append(self.holders[circuit])
        self.holders[circuit] = owner

    def release(self, owner: object) -> None:
        """Free the circuits of a leg; a circuit goes back to the leg displaced last, if there is one."""
        for owners in self.displaced.values():
            if owner in owners:
                owners.remove(owner)
        for circuit in [c for c, holder in self.holders.items() if holder is owner]:
            del self.holders[circuit]
            if self.displaced.get(circuit):
                self.holders[circuit] = self.displaced[circuit].pop()


@dataclass(eq=False)
class InboundLeg:
    """The incoming leg of a call through or into this exchange."""

    tx: Transaction
    invite: Message
    tag: str
    neighbour: int
    circuits: tuple[int, ...]
    dialog: Dialog | None = None
    outbound: OutboundLeg | None = None
    state: str = "asked"  # "asked", "standing", "releasing", "over"
    answer_lost: bool = False  # an injected fault kept the final response from being sent
    work: WorkItem | None = None
    limited_number: str = ""  # the called number, if it has only a few lines and one is taken


@dataclass(eq=False)
class OutboundLeg:
    """The outgoing leg of a transit call (`inbound` set) or of a call of this exchange's own subscribers."""

    inbound: InboundLeg | None
    neighbour: int
    invite: Message | None = None
    tx: Transaction | None = None
    dialog: Dialog | None = None
    state: str = "out"  # "out", "standing", "over"
    abandoned: bool = False
    cancel_sent: bool = False
    holding_time: float = 0.0
    on_end: Callable[[str], None] | None = None


@dataclass
class Counters:
    """Counters of one exchange.  `circuit_faults` lists seizures of circuits that are busy at this end."""

    set_ups: int = 0
    answered: int = 0
    refused: int = 0
    circuit_faults: list[str] = field(default_factory=list)
    crashed: bool = False
    own_attempts: int = 0
    own_answered: int = 0


class Exchange(Element):
    """One run of an exchange; a restart makes a new object with the same configuration."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: ExchangeConfig, rng: Random, started_at: float | None
    ) -> None:
        super().__init__(loop, f"x{config.number}", rng)
        self.config, self.started_at = config, started_at
        self.faults, self.counters = Faults(), Counters()
        self.neighbour_addresses: dict[int, str] = {}
        self.trunk_groups = {n: TrunkGroup(size, config.number, n) for n, size in config.group_sizes.items()}
        self.inbound_legs: dict[tuple[str, str], InboundLeg] = {}  # by Call-ID and local tag
        self.outbound_legs: dict[tuple[str, str], OutboundLeg] = {}  # by Call-ID and local tag
        self.legs_by_branch: dict[str, InboundLeg] = {}  # by branch of the INVITE, to match a CANCEL
        processor_config = ProcessorConfig(
            config.capacity, config.cold_share, config.cold_time, config.warm_up, config.answers_first
        )
        self.processor = Processor(processor_config, loop.time, self.call_later, started_at)
        self.reports: deque[tuple[float, fields.OverloadReport]] = (
            deque()
        )  # with their times; the first one is sent
        self.last_report_at = -1e9  # seconds
        self.calls_by_number: dict[str, int] = {}  # standing calls to each number with only a few lines
        self.recent_set_ups: deque[float] = deque()
        self.draining = False

    # -- the processor -------------------------------------------------------------------------------------

    def resume(self) -> None:
        """End a hang: the processor goes on with its queue."""
        self.faults.mute = self.processor.hung = False
        self.processor.start_next()

    def load_report(self) -> fields.OverloadReport:
        """Return the load report to send; as in real exchanges it is renewed only at intervals."""
        now, processor = self.loop.time(), self.processor
        if now - self.last_report_at >= self.config.report_interval:
            self.last_report_at, report = now, fields.OverloadReport()
            if self.config.report_kind == "rate":
                rate = round(processor.capacity(), 3)
                report = fields.OverloadReport(
                    max_rate=rate, queued_set_ups=float(processor.queued_set_ups())
                )
            elif self.config.report_kind == "loss":
                excess = processor.queue_wait() / self.config.max_wait
                report = fields.OverloadReport(reduction=round(min(max(excess - 0.25, 0.0), 0.95), 2))
            self.reports.append((now, report))
        while len(self.reports) > 1 and self.reports[1][0] <= now - self.faults.report_delay:
            self.reports.popleft()
        return self.reports[0][1]

    def _overloaded_while_cold(self) -> bool:
        """Whether a cold exchange got more set-ups within the window than it survives."""
        config, now = self.config, self.loop.time()
        if not config.crash_multiple or self.started_at is None or now - self.started_at > config.cold_time:
            return False
        self.recent_set_ups.append(now)
        while self.recent_set_ups[0] < now - config.crash_window:
            self.recent_set_ups.popleft()
        return (
            len(self.recent_set_ups)
            > config.crash_multiple * self.processor.capacity() * config.crash_window + 3
        )

    # -- requests ------------------------------------------------------------------------------------------

    def on_request(self, tx: Transaction, message: Message) -> None:
        if message.method == "INVITE":
            self._handle_invite(tx, message)
        elif message.method == "CANCEL":
            self.transactions.respond(self.now(), tx, response(message, 200))
            leg = self.legs_by_branch.get(message.branch)
            if leg is not None and (leg.state == "asked" or leg.answer_lost):
                if self.config.drops_cancelled and leg.work is not None:
                    self.processor.drop(leg.work)
                self._send_final(leg, response(leg.invite, 487, leg.tag))
                if leg.outbound is not None:
                    self._drop_outbound(leg.outbound)
        elif message.method == "BYE":
            self._handle_bye(tx, message)
        elif message.method == "OPTIONS":
            self.processor.enqueue(
                0.05, lambda: self._respond_with_load(tx, response(message, 200, self.new_id()))
            )
        else:
            self.transactions.respond(self.now(), tx, response(message, 405, self.new_id()))

    def _respond_with_load(self, tx: Transaction, answer: Message) -> None:
        fields.add_overload_report(answer, self.load_report())
        self.transactions.respond(self.now(), tx, answer)
        self.process_events()

    def _handle_invite(self, tx: Transaction, message: Message) -> None:
        self.counters.set_ups += 1
        if self._overloaded_while_cold():
            self.counters.crashed = True
            self.kill()
            return
        if not self.faults.mute:
            self.transactions.respond(self.now(), tx, response(message, 100))
        neighbour, circuits = self._neighbour_of(message), ()
        leg = InboundLeg(tx, message, self.new_id(), neighbour, circuits)
        self.legs_by_branch[message.branch] = leg
        if neighbour >= 0:
            fault = self._claim_circuits(leg, message)
            if fault:
                if "busy" in fault:  # glare and circuits just taken out of service are not counted as faults
                    self.counters.circuit_faults.append(f"{self.loop.time():.3f} {fault}")
                self._refuse(leg, 503, fields.reason(fields.REQUESTED_CIRCUIT_NOT_AVAILABLE, fault))
                return
        if self.faults.refuse_status:
            self._refuse(leg, self.faults.refuse_status, "")
        elif self.processor.queue_wait() > self.config.max_wait:
            self.processor.enqueue(0.2, lambda: self._refuse_overloaded(leg))
        else:
            leg.work = self.processor.enqueue(1.0, lambda: self._route_set_up(leg), set_up=True)

    def _neighbour_of(self, message: Message) -> int:
        """Return the exchange at the far end of the trunk group in the Contact, -1 if there is none."""
        group, _ = fields.read_trunk_group(message)
        if not group:
            return -1
        first, _, second = group.partition("-")
        return int(second) if int(first) == self.config.number else int(first)

    def _claim_circuits(self, leg: InboundLeg, message: Message) -> str:
        """Mark the circuits that the far end seized as busy; return the reason if one cannot be taken."""
        trunk_group = self.trunk_groups.get(leg.neighbour)
        circuits = fields.read_circuits(message.get(fields.CIRCUITS_HEADER))
        if trunk_group is None:
            return f"no group with {leg.neighbour}"
        for circuit in circuits:
            holder = trunk_group.holders.get(circuit)
            if circuit >= trunk_group.size or circuit in trunk_group.blocked:
                return f"circuit {circuit} is not in service"
            if holder is not None and isinstance(holder, OutboundLeg) and holder.state == "out":
                if trunk_group.controls(circuit):
                    return f"glare on circuit {circuit}"
            elif holder is not None and getattr(holder, "state", "") != "releasing":
                return f"circuit {circuit} of group {leg.neighbour} is busy here"
        for circuit in circuits:
            trunk_group.assign(circuit, leg)
        leg.circuits = circuits
        return ""

    def _refuse_overloaded(self, leg: InboundLeg) -> None:
        answer = response(leg.invite, 503, leg.tag)
        answer.set("reason", fields.reason(fields.EQUIPMENT_CONGESTION))
        if self.config.sends_pause:
            fields.write_wait(answer, int(self.processor.queue_wait() * 1e9))
        self.counters.refused += 1
        self._send_final(leg, answer)

    def _refuse(self, leg: InboundLeg, status: int, reason: str) -> None:
        answer = response(leg.invite, status, leg.tag)
        answer.set("reason", reason or None)
        self._send_final(leg, answer)

    def _route_set_up(self, leg: InboundLeg) -> None:
        if leg.state != "asked":
            return
        number = uri_parts(leg.invite.uri)[0].partition(";")[0]
        dest = next(
            (
                exchange
                for prefix, exchange in sorted(self.config.dial_plan.items())
                if number.startswith(prefix)
            ),
            -1,
        )
        if dest == self.config.number:
            lines = self.faults.line_limits.get(number, 0)
            if lines and self.calls_by_number.get(number, 0) < lines:
                leg.limited_number = number
                self.calls_by_number[number] = self.calls_by_number.get(number, 0) + 1
                self._answer_call(leg)
            elif lines or self.rng.random() < self.config.busy_share:
                self._refuse(leg, 486, fields.reason(fields.USER_BUSY))
            else:
                self._answer_call(leg)
        elif dest < 0 or dest not in self.trunk_groups or leg.neighbour < 0:
            self._refuse(leg, 404, "")
        else:
            outbound = OutboundLeg(leg, dest)
            leg.outbound = outbound
            if not self._send_outbound(outbound, leg.invite):
                self._refuse(
                    leg,
                    503,
                    fields.reason(fields.TANDEM_REFUSED, "no circuit beyond", fields.PRIVATE_PROTOCOL),
                )

    def _answer_call(self, leg: InboundLeg) -> None:
        answer = response(leg.invite, 200, leg.tag)
        answer.set("contact", f"<sip:x{self.config.number}@{self.address}>")
        leg.dialog = Dialog.for_uas(leg.invite, answer, leg.tx.flow)
        leg.state = "standing"
        self.inbound_legs[leg.invite.call_id, leg.tag] = leg
        self.counters.answered += 1
        self._send_final(leg, answer)

    def _send_final(self, leg: InboundLeg, answer: Message) -> None:
        """Send the final response of a set-up; a failure frees its circuits."""
        if answer.status >= 300:
            leg.state = "over"
            self._free_leg(leg)
        if self.rng.random() < self.faults.lost_answer_share and answer.status != 487:
            leg.answer_lost = True
            self.legs_by_branch[leg.invite.branch] = leg  # the caller may still send a CANCEL
            return
        fields.add_overload_report(answer, self.load_report())
        if (
            self.faults.split_answer_share
            and self.rng.random() < self.faults.split_answer_share
            and leg.tx.flow in self.connection_by_flow
        ):
            self.connection_by_flow[leg.tx.flow].split_next_write(SPLIT_ANSWER_DELAY)
        self.transactions.respond(self.now(), leg.tx, answer)
        self.process_events()

    def _free_leg(self, leg: InboundLeg) -> None:
        self.legs_by_branch.pop(leg.invite.branch, None)
        self.inbound_legs.pop((leg.invite.call_id, leg.tag), None)
        if leg.limited_number:
            self.calls_by_number[leg.limited_number] -= 1
            leg.limited_number = ""
        if leg.neighbour in self.trunk_groups:
            self.trunk_groups[leg.neighbour].release(leg)

    # -- outgoing legs: transit calls and calls of own subscribers -----------------------------------------

    def _send_outbound(self, outbound: OutboundLeg, template: Message) -> bool:
        """Seize circuits and send an INVITE with the fields of `template`.  False if that is not possible."""
        trunk_group = self.trunk_groups[outbound.neighbour]
        address = self.neighbour_addresses.get(outbound.neighbour, "")
        width = len(fields.read_circuits(template.get(fields.CIRCUITS_HEADER)))
        flow = self.flow_by_address.get(address)
        if flow is None or not trunk_group.seize(width, outbound):
            return False
        circuits = [circuit for circuit, holder in trunk_group.holders.items() if holder is outbound]
        invite = request(
            "INVITE", template.uri, via=self.via(), sender=f"<sip:x@{self.address}>;tag={self.new_id()}",
            to=f"<{template.uri}>", call_id=self.new_id(), cseq=1,
        )  # fmt: skip
        group = fields.group_name(self.config.number, outbound.neighbour)
        invite.set("contact", fields.trunk_contact(self.address, group, self.config.context))
        invite.set(fields.CIRCUITS_HEADER, fields.write_circuits(tuple(circuits)))
        for name in (fields.CLASS_HEADER, fields.PATIENCE_HEADER, "session-id"):
            invite.set(name, template.get(name) or None)
        outbound.invite = invite
        outbound.tx = self.transactions.send(self.now(), flow, invite)
        outbound.tx.owner = outbound
        return True

    def place_call(
        self, dest: int, via: int, number: str, class_name: str, width: int, give_up_time: float,
        holding_time: float, on_end: Callable[[str], None] | None = None,
    ) -> None:  # fmt: skip
        """Place a call of an own subscriber, sent to the neighbour `via`.  Times in seconds.

        `on_end` is called once with how the set-up ended.
        """
        self.counters.own_attempts += 1
        outbound = OutboundLeg(None, via, holding_time=holding_time, on_end=on_end)
        template = Message("INVITE", f"sip:{number}@{self.address}", 0, "", {
            fields.CLASS_HEADER: [class_name], fields.PATIENCE_HEADER: [str(int(give_up_time * 1000))],
            fields.CIRCUITS_HEADER: [fields.write_circuits(tuple(range(width)))],
            "session-id": [f"{self.rng.getrandbits(128):032x}"],
        })  # fmt: skip
        if not self._send_outbound(outbound, template):
            self._report_end(outbound, "no circuit")
        else:
            self.call_later(
                give_up_time, lambda: self._drop_outbound(outbound) if outbound.state == "out" else None
            )
        self.process_events()

    def _report_end(self, outbound: OutboundLeg, outcome: str) -> None:
        if outbound.on_end is not None:
            on_end, outbound.on_end = outbound.on_end, None
            on_end(outcome)

    def _drop_outbound(self, outbound: OutboundLeg) -> None:
        """Cancel a pending set-up, or release a standing call."""
        if outbound.state == "out" and outbound.tx is not None and outbound.invite is not None:
            if outbound.tx.state is TransactionState.PROCEEDING and not outbound.cancel_sent:
                outbound.cancel_sent = True
                self.transactions.send(self.now(), outbound.tx.flow, make_cancel(outbound.invite))
            outbound.abandoned = True
        elif outbound.state == "standing" and outbound.dialog is not None:
            outbound.state = "releasing"
            bye = outbound.dialog.request("BYE", self.via())
            self.transactions.send(self.now(), outbound.dialog.flow, bye).owner = outbound

    def on_response(self, tx: Transaction, message: Message) -> None:
        owner = tx.owner
        if isinstance(owner, InboundLeg) and message.status >= 200:  # response to a BYE from this end
            owner.state = "over"
            self._free_leg(owner)
        if isinstance(owner, OutboundLeg) and message.status < 200 and owner.abandoned:
            self._drop_outbound(owner)  # RFC 3261, 9.1: the provisional response allows the CANCEL
        if not isinstance(owner, OutboundLeg) or message.status < 200:
            return
        if tx.kind is not TransactionKind.CLIENT_INVITE:
            self._end_outbound(owner, "released")
            return
        assert owner.invite is not None
        if message.status >= 300:
            self._end_outbound(owner, f"refused {message.status}")
            if owner.inbound is not None and owner.inbound.state == "asked":
                protocol, cause = fields.read_reason(message)
                full = protocol == "Q.850" and cause == fields.EQUIPMENT_CONGESTION
                reported_cause = fields.BEYOND_FULL if full else fields.TANDEM_REFUSED
                self._refuse(
                    owner.inbound, 503, fields.reason(reported_cause, "beyond", fields.PRIVATE_PROTOCOL)
                )
            return
        ack = make_ack(owner.invite, message, self.via())
        self.transactions.out.append((tx.flow, ack.encode()))
        owner.dialog = Dialog.for_uac(owner.invite, message, tx.flow)
        self.outbound_legs[owner.invite.call_id, owner.invite.from_tag] = owner
        owner.state = "standing"
        if owner.abandoned or (owner.inbound is not None and owner.inbound.state != "asked"):
            self._drop_outbound(owner)
        elif owner.inbound is not None:
            self._answer_call(owner.inbound)
        else:
            self.counters.own_answered += 1
            self._report_end(owner, "stands")
            self.call_later(owner.holding_time, lambda: self._drop_outbound(owner))

    def _end_outbound(self, outbound: OutboundLeg, outcome: str) -> None:
        outbound.state = "over"
        self.trunk_groups[outbound.neighbour].release(outbound)
        if outbound.invite is not None:
            self.outbound_legs.pop((outbound.invite.call_id, outbound.invite.from_tag), None)
        self._report_end(outbound, outcome)

    def on_transaction_failed(self, tx: Transaction, transport_failed: bool) -> None:
        owner = tx.owner
        if isinstance(owner, InboundLeg):
            self._free_leg(owner)
        elif isinstance(owner, OutboundLeg):
            self._end_outbound(owner, "lost")
            if owner.inbound is not None and owner.inbound.state == "asked":
                self._refuse(
                    owner.inbound,
                    503,
                    fields.reason(fields.TANDEM_REFUSED, "lost beyond", fields.PRIVATE_PROTOCOL),
                )

    def _handle_bye(self, tx: Transaction, message: Message) -> None:
        key = (message.call_id, message.to_tag)
        leg, outbound = self.inbound_legs.get(key), self.outbound_legs.get(key)
        if leg is None and outbound is None:
            self.transactions.respond(self.now(), tx, response(message, 481))
            return
        if not self.config.queues_releases:
            self._complete_release(tx, message)
            self.processor.enqueue(self.config.release_work, lambda: None, first=True)
        else:
            self.processor.enqueue(
                self.config.release_work, lambda: self._complete_release(tx, message), first=True
            )

    def _complete_release(self, tx: Transaction, message: Message) -> None:
        """Answer the BYE, free the circuits at this end, and release the other leg of a transit call."""
        self.transactions.respond(self.now(), tx, response(message, 200))
        key = (message.call_id, message.to_tag)
        leg, outbound = self.inbound_legs.get(key), self.outbound_legs.get(key)
        if leg is not None:
            leg.state = "over"
            self._free_leg(leg)
            if leg.outbound is not None:
                self._drop_outbound(leg.outbound)
        if outbound is not None:
            self._end_outbound(
                outbound, "cut" if fields.read_reason(message)[1] != fields.NORMAL_CLEARING else "released"
            )
            if outbound.inbound is not None:
                self.hang_up(outbound.inbound, fields.NORMAL_CLEARING)

    # -- faults and commands of a script -------------------------------------------------------------------

    def hang_up(self, leg: InboundLeg, cause: int) -> None:
        """Release a standing call from this end, with a Q.850 cause."""
        if leg.dialog is None or leg.state != "standing":
            return
        leg.state = "releasing"
        bye = leg.dialog.request("BYE", self.via())
        bye.set("reason", fields.reason(cause))
        self.transactions.send(self.now(), leg.dialog.flow, bye).owner = leg

    def standing_legs(self) -> list[InboundLeg]:
        """Return the incoming legs whose calls stand."""
        return [leg for leg in self.inbound_legs.values() if leg.state == "standing"]

    def cut_calls(self, share: float) -> int:
        """Cut a share of the standing calls; return how many."""
        legs = self.standing_legs()
        sampled = self.rng.sample(legs, round(share * len(legs)))
        for leg in sampled:
            self.hang_up(leg, fields.NETWORK_OUT_OF_ORDER)
        self.process_events()
        return len(sampled)

    def block_circuits(self, neighbour: int, keep: float) -> None:
        """Leave this share of a group's circuits in service, and tell the far end which ones are blocked."""
        trunk_group = self.trunk_groups[neighbour]
        lost = lost_circuits(trunk_group.size, keep)
        trunk_group.blocked = set(lost)
        address = self.neighbour_addresses.get(neighbour, "")
        if address in self.flow_by_address:
            notify_blocked(self, address, (self.config.number, neighbour), self.config.context, lost)

    def on_connection_lost(self, flow: int) -> None:
        """Release the legs on the connection; calls that stood there are cut."""
        for leg in [leg for leg in self.inbound_legs.values() if leg.tx.flow == flow]:
            leg.state = "over"
            self._free_leg(leg)
            if leg.outbound is not None:
                self._drop_outbound(leg.outbound)
        for leg in [
            leg for leg in self.legs_by_branch.values() if leg.tx.flow == flow and leg.state == "asked"
        ]:
            leg.state = "over"
            self._free_leg(leg)
            if leg.outbound is not None:
                self._drop_outbound(leg.outbound)
        for outbound in [
            leg for leg in self.outbound_legs.values() if leg.dialog is not None and leg.dialog.flow == flow
        ]:
            self._end_outbound(outbound, "cut")
            if outbound.inbound is not None:
                self.hang_up(outbound.inbound, fields.NETWORK_OUT_OF_ORDER)

    async def connect_neighbours(self, neighbours: dict[int, str]) -> None:
        """Connect to the neighbours, and reconnect for as long as the exchange runs."""
        self.neighbour_addresses = neighbours
        for address in neighbours.values():
            self._keep_connected(address)

    def _keep_connected(self, address: str) -> None:
        async def run() -> None:
            while not self.killed:
                if address not in self.flow_by_address:
                    with contextlib.suppress(OSError):
                        await self.dial(address)
                await asyncio.sleep(0.25)

        self.loop.create_task(run())


def lost_circuits(size: int, keep: float) -> list[int]:
    """Return the circuits that a group loses which keeps this share: scattered, and the same at both ends."""
    return sorted(range(size), key=lambda c: (c * 7919) % 10007)[: round((1 - keep) * size)]


def notify_blocked(
    element: Element, address: str, pair: tuple[int, int], context: str, lost: list[int]
) -> None:
    """Send a call server the full set of a group's circuits that are out of service."""
    notify = request(
        "NOTIFY", f"sip:{address}", via=element.via(), to=f"<sip:trunks@{address}>",
        sender=f"<sip:{element.name}@{element.address}>;tag={element.new_id()}", call_id=element.new_id(),
        cseq=1,
    )  # fmt: skip
    group = fields.group_name(*pair)
    notify.set("contact", fields.trunk_contact(element.address, group, context))
    notify.set("event", fields.CIRCUITS_HEADER)
    notify.set(fields.CIRCUITS_HEADER, ",".join(map(str, sorted(lost))))
    element.transactions.send(element.now(), element.flow_by_address[address], notify)
    element.process_events()
