"""The SIP call engine.  It does no I/O, reads no clock and makes no routing decision.

Input: messages, new and lost connections, updates of the list of exchanges, and the time (ns).
Output: bytes to send in `out`, as (flow, bytes), and the effects that `flush` returns.

Every call is offered to the decision module (`Controller.handle`), and each of its actions is carried out
unchanged.  Incoming requests are handled in requests.py, INVITEs are read in invites.py, and mapping.py
translates between SIP and the terms of the module.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.decide import Controller
from eiderstep.engine import effects as fx
from eiderstep.engine import mapping
from eiderstep.engine.calls import Attempt, AttemptState, Call, CallState
from eiderstep.engine.legs import OPEN_STATES
from eiderstep.engine.requests import RequestHandler
from eiderstep.engine.timers import ControllerFactory
from eiderstep.sip import fields
from eiderstep.sip.dialog import Dialog, make_ack
from eiderstep.sip.message import Message, address_uri, request, response
from eiderstep.sip.parser import BadMessage
from eiderstep.sip.transaction import (
    NewRequest,
    ResponseReceived,
    Transaction,
    TransactionFailed,
    TransactionState,
)
from eiderstep.trust.party import Party
from eiderstep.trust.rules import Permission, violated_rule

NEVER = 2**63  # ns, later than any due time
# Requests that start something new; they are refused when a source is over its rate.
STARTING_METHODS = ("INVITE", "OPTIONS", "NOTIFY", "REGISTER", "SUBSCRIBE", "MESSAGE")


class PendingProbe:
    """An OPTIONS request sent for a `Probe` of the module."""

    __slots__ = ("office", "sent_at")

    def __init__(self, office: str, sent_at: int) -> None:
        self.office, self.sent_at = office, sent_at


class Engine(RequestHandler):
    """The calls of one exchange.  `own_address`: the `host:port` that goes into Via and Contact."""

    def __init__(
        self,
        settings: ServerSettings,
        own_address: str,
        controller_factory: ControllerFactory | None = None,
        id_source: Random | None = None,
    ) -> None:
        """`controller_factory`: `Controller` if None.  `id_source`: see `CallTable`."""
        super().__init__(settings, own_address, id_source)
        make_controller: ControllerFactory = controller_factory or Controller
        self.controller = make_controller(settings.decision_settings(), settings.seed)
        self.offices: dict[str, int] = {}  # exchange numbers by address
        self.current_office: dict[int, str] = {}  # address last listed as up, by exchange number
        self.finished = False

    # -- inputs --------------------------------------------------------------------------------------------

    def start(self, now: int) -> None:
        """Start with the exchanges of the settings.  They may be stale until the register sends its list."""
        if self.settings.lines:
            self.effects.append(fx.Dial(self.settings.lines))
        self.update_offices(now, io.ListKind.REMEMBERED, self.settings.configured_offices())

    def handle_message(self, now: int, flow: int, item: Message | BadMessage, reliable: bool = True) -> None:
        """Handle a message from a connection, or the report of a malformed one."""
        if violated_rule(Permission.ANYTHING, self.party_of(flow)):
            self._reject_unknown_sender(flow, item)
            return
        if isinstance(item, BadMessage):
            self._reject_malformed(flow, item)
            return
        self.transactions.receive(now, flow, item, reliable)
        self._process_transaction_events(now)

    def handle_over_rate(
        self, now: int, flow: int, item: Message | BadMessage, reliable: bool, wait: int
    ) -> None:
        """Handle a message of a source that is over its rate limit.

        A request that starts something new gets a stateless 503 with the wait (ns); other requests and
        responses are handled as usual.
        """
        if isinstance(item, BadMessage) or item.status or item.method not in STARTING_METHODS:
            self.handle_message(now, flow, item, reliable)
            return
        self._count("over its rate")
        self._log("warning", "over its rate", flow=flow)
        self._respond_statelessly(flow, item, 503, wait)

    def link_up(self, now: int, address: str, flow: int) -> None:
        """Register an open connection that this end has made to `address`."""
        self.links[address] = flow
        if flow not in self.parties:
            self.set_party(flow, self.party_at_link(address))
        self._measure_link(now, self.offices.get(address, -1))
        self._log("info", "link up", address=address)

    def party_at_link(self, address: str) -> Party:
        """The party at an address to which a link without TLS is opened: the exchange listed there."""
        number = self.offices.get(address, -1)
        caller = self.party_directory.own_lines if address == self.settings.lines else None
        return Party(frozenset([number] if number >= 0 else []), caller, address)

    def flow_lost(self, now: int, flow: int) -> None:
        """Handle the loss of a connection: its transactions fail and its standing calls are cut."""
        for address, link_flow in list(self.links.items()):
            if link_flow == flow:
                del self.links[address]
                self._measure_link(now, self.offices.get(address, -1))
                if address in self.offices or address == self.settings.lines:
                    self.effects.append(fx.Dial(address))
                self._log(
                    "warning", "link lost", address=address, standing=len(self.legs_by_flow.get(flow, ()))
                )
        self.transactions.connection_lost(now, flow)
        self._process_transaction_events(now)
        for leg in list(self.legs_by_flow.pop(flow, {})):
            self._cut_leg(now, leg, fields.NETWORK_OUT_OF_ORDER, lost=True)
        self.parties.pop(flow, None)

    def update_offices(self, now: int, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        """Apply an update of the list of exchanges.

        Entries of exchanges to which there is no trunk group are ignored.
        """
        kept = tuple(e for e in entries if e.number in self.trunk_groups or e.number == self.settings.number)
        if kind not in (io.ListKind.CHANGES, io.ListKind.FAILED):
            named = {e.office for e in kept}
            for office in [o for o in self.offices if o not in named]:
                self._remove_office(office)
        for entry in kept:
            if entry.state is io.OfficeState.GONE:
                self._remove_office(entry.office)
            elif entry.number != self.settings.number:
                if entry.office not in self.offices:
                    self.effects.append(fx.Dial(entry.office))
                self.offices[entry.office] = entry.number
                flow = self.links.get(entry.office, -1)
                if flow >= 0 and not self.party_of(flow).authenticated:
                    # The address may now belong to another exchange.
                    self.set_party(flow, self.party_at_link(entry.office))
                if entry.state is io.OfficeState.UP:
                    self.current_office[entry.number] = entry.office
                    self.reported_circuits.pop(entry.number, None)
                    self.changed_groups.add(entry.number)
        self.party_directory.update_listed_hosts(self.offices)
        for entry in kept if self.meter is not None else ():
            self._measure_link(now, entry.number)
        self.events.append(io.OfficeList(kind, kept))

    def resize_group(self, now: int, number: int, circuits: int) -> None:
        """Change the number of circuits toward an exchange; standing calls keep their circuits."""
        group = self.trunk_groups[number]
        group.resize(circuits)
        self.changed_groups.add(number)
        if self.meter is not None:
            self.meter.set_group_size(now, number, circuits)
        self._log("info", "group resized", peer=number, circuits=circuits)

    def run_timers(self, now: int) -> None:
        """Run all timers that are due."""
        self.transactions.run_due_timers(now)
        self._process_transaction_events(now)
        self.timers.run_due(now)

    def next_due(self) -> int | None:
        """When `due` must be called next (ns), None if no timer is set."""
        timer_due, transaction_due = self.timers.next_due() or NEVER, self.transactions.next_due() or NEVER
        return min(timer_due, transaction_due) if min(timer_due, transaction_due) < NEVER else None

    def stop(self, now: int) -> None:
        """Start a graceful stop.

        New calls get a 503 with Retry-After, offered calls get their final response, and standing calls are
        cut if they have not ended after the drain time.
        """
        if not self.stopping:
            self.stopping = True
            self._schedule(now + self.settings.limits.drain, self._cut_after_drain)

    def flush(self, now: int) -> list[fx.Effect]:
        """Pass pending events to the module and carry out its actions until no event is left.

        Returns the effects for the server to carry out.
        """
        while True:
            if self.changed_groups:
                self._report_circuits(now)
            if not self.events:
                break
            events, self.events = self.events, []
            for action in self.controller.handle(now, events):
                ACTION_HANDLERS[type(action)](self, now, action)
        if self.stopping and not self.calls and not self.finished:
            self.finished = True
            self.effects.append(fx.Finished())
        effects, self.effects = self.effects, []
        return effects

    def busy_circuits(self) -> int:
        """Number of busy circuits over all trunk groups."""
        return sum(len(group.busy) for group in self.trunk_groups.values())

    def _report_circuits(self, now: int) -> None:
        """Report changed circuit figures of trunk groups to the module and the meter."""
        for number in sorted(self.changed_groups):
            office, group = self.current_office.get(number), self.trunk_groups[number]
            if self.meter is not None:
                self.meter.set_circuit_counts(now, number, len(group.busy), group.size)
            figures = (group.free, group.size)
            if office is not None and self.reported_circuits.get(number) != figures:
                self.reported_circuits[number] = figures
                self.events.append(io.OfficeHeard(office, True, True, 0, mapping.load_report(group, None)))
        self.changed_groups.clear()

    def _measure_link(self, now: int, number: int) -> None:
        if self.meter is not None:
            self.meter.set_link_up(now, number, self.current_office.get(number, "") in self.links)

    def _measure_send(self, call: Call, number: int) -> None:
        """Record in the meter that a group carries a transit call, or a call for another destination.

        A call that overflows because its direct route has too few free circuits counts as blocked, once.
        """
        meter = self.meter
        assert meter is not None
        if call.transit or number != call.dest:
            meter.record_other_pair_call(number, call.class_no)
        if not call.transit and number != call.dest and not call.loss_counted and self._group_exhausted(call):
            call.loss_counted = True
            meter.record_blocked(call.dest, call.class_no, call.redial, True)

    def _group_exhausted(self, call: Call) -> bool:
        """Whether the direct route of a call has too few free circuits for it."""
        direct = self.trunk_groups.get(call.dest)
        return direct is not None and direct.total > 0 and direct.free < call.width

    def _measure_loss(self, now: int, call: Call) -> None:
        """Record in the meter that a call was turned away, for lack of circuits or for another cause."""
        meter = self.meter
        assert meter is not None
        if call.transit or call.to_own_lines:
            return
        if not call.loss_counted:
            if not call.attempts_made and self._group_exhausted(call):
                meter.record_blocked(call.dest, call.class_no, call.redial, False)
            else:
                meter.record_refused(call.dest, call.class_no)
        meter.record_failed_call(now, call.class_no, call.invite.uri)

    def _remove_office(self, office: str) -> None:
        """Remove an address that is no longer listed; calls on an open link to it go on."""
        number = self.offices.pop(office, None)
        if number is not None:
            self.effects.append(fx.StopDialling(office))
            if self.current_office.get(number) == office:
                del self.current_office[number]

    def _process_transaction_events(self, now: int) -> None:
        events = self.transactions.events
        while events:
            batch, events[:] = events[:], []
            for event in batch:
                if isinstance(event, NewRequest):
                    self._dispatch_request(now, event.tx, event.message)
                elif isinstance(event, ResponseReceived):
                    self._handle_response(now, event.tx, event.message)
                    if event.tx.state is TransactionState.TERMINATED:
                        if isinstance(event.tx.owner, Attempt) and event.tx.owner.tx is event.tx:
                            event.tx.owner.tx = None
                        event.tx.owner = None
                elif isinstance(event, TransactionFailed):
                    self._transaction_failed(now, event.tx, event.transport_failed)
                    event.tx.owner = None
                elif 200 <= event.message.status < 300 and event.message.cseq_method == "INVITE":
                    self._handle_stray_success(now, event.flow, event.message)

    def _handle_response(self, now: int, tx: Transaction, message: Message) -> None:
        owner = tx.owner
        if isinstance(owner, PendingProbe):
            if message.status >= 200:
                self._report_probe(now, owner, message)
        elif isinstance(owner, Attempt) and tx is owner.tx:
            self._handle_set_up_response(now, tx, owner, message)
        elif isinstance(owner, Call | Attempt) and message.status >= 200:
            self._release_done(owner)  # our BYE was answered

    def _handle_set_up_response(self, now: int, tx: Transaction, attempt: Attempt, message: Message) -> None:
        if message.status < 200:
            self._send_pending_cancel(now, attempt)
            return
        call = attempt.call
        if attempt.deadline_timer is not None:
            attempt.deadline_timer.cancel()
        if message.status < 300:
            assert attempt.invite is not None
            self.out.append((tx.flow, make_ack(attempt.invite, message, self._via(tx.flow)).encode()))
            if attempt.dialog is not None:
                return  # a retransmitted 2xx
            attempt.dialog = Dialog.for_uac(attempt.invite, message, tx.flow)
            self.dialogs[attempt.invite.call_id, attempt.invite.from_tag] = attempt
            self._attach_leg(tx.flow, attempt)
            strip_invite(attempt.invite)
            if attempt.state in OPEN_STATES and call.state is CallState.OFFERED:
                self._establish_call(now, call, attempt, message)
            else:
                # The 2xx came after the attempt timed out, was cancelled or lost its circuits in a glare.  It
                # is acknowledged and the call released, or the far end would hold the call and its circuits.
                self._count("answer after give-up")
                was_open = attempt.state in OPEN_STATES
                self._send_bye(now, attempt, fields.reason(fields.NORMAL_CLEARING))
                if was_open:
                    self._report_attempt_end(now, attempt, io.Outcome.CANCELLED, io.Cause.NONE, None, 0)
            return
        outcome, cause, wait = mapping.read_outcome(message)
        previous_state = attempt.state
        self._release_circuits(attempt)
        attempt.state = AttemptState.ENDED
        if previous_state in OPEN_STATES:
            call.next_processor_full = cause is io.Cause.PROCESSOR_FULL
            # An attempt that was cancelled because its circuits were lost can be refused before the CANCEL
            # arrives.  The module does not know of the CANCEL: told of a refusal, it would send the next
            # attempt at once, without the wait for the release that rule 5 demands.  So the end is reported
            # as cancelled.  Cost: that wait, even if the far end had already released the attempt.
            crossed_cancel = attempt.cancelled_by_loss and not attempt.cancel_pending
            if previous_state is AttemptState.CANCELLING and (message.status == 487 or crossed_cancel):
                outcome, cause = io.Outcome.CANCELLED, io.Cause.NONE
            if call.to_own_lines:
                self._relay_failure(now, call, message)
            else:
                self._report_attempt_end(now, attempt, outcome, cause, message, wait)
        self._drop_if_ended(call)

    def _establish_call(self, now: int, call: Call, attempt: Attempt, message: Message) -> None:
        """Answer the caller with a 200 and record that the call stands."""
        attempt.state = AttemptState.STANDING
        answer = response(call.invite, 200, call.tag)
        answer.set("contact", self._contact())
        if call.to_own_lines:
            fields.add_overload_report(answer, fields.read_overload_report(message))
        if message.body:
            answer.body = message.body
            answer.set("content-type", message.get("content-type"))
        call.state = CallState.STANDING
        if self.meter is not None and not (call.to_own_lines or call.transit):
            self.meter.record_call_standing(now, call.dest, call.class_no)
        if call.trying_timer is not None:
            call.trying_timer.cancel()
        call.dialog = Dialog.for_uas(call.invite, answer, call.flow)
        self.dialogs[call.invite.call_id, call.tag] = call
        self._attach_leg(call.flow, call)
        self.transactions.respond(now, call.tx, answer)
        strip_invite(call.invite)
        if self.verbose:
            self._log("debug", "call stands", call.name, office=attempt.office, leg=attempt.leg)
        if not call.to_own_lines:
            self.events.append(io.CallStands(call.name, attempt.leg, attempt.office, now - attempt.sent_at))

    def _relay_failure(self, now: int, call: Call, message: Message) -> None:
        """Reject a call for an own subscriber with the failure response of `lines`."""
        answer = response(call.invite, message.status if message.status != 487 else 480, call.tag)
        for name in ("reason", "retry-after", fields.PAUSE_HEADER):
            answer.set(name, message.get(name) or None)
        fields.add_overload_report(answer, fields.read_overload_report(message))
        self._reject_call(now, call, answer)

    def _transaction_failed(self, now: int, tx: Transaction, transport_failed: bool) -> None:
        """Handle a transaction that timed out, or whose connection was lost (`transport_failed`)."""
        owner = tx.owner
        if isinstance(owner, PendingProbe):
            self._report_probe(now, owner, None)
        elif isinstance(owner, Call) and tx is owner.tx:
            if owner.state is CallState.OFFERED:
                self._report_caller_gone(now, owner)
                self._finish_call(now, owner)
            elif owner.state is CallState.STANDING and not transport_failed:
                self._log("warning", "answer never acknowledged", owner.name)
                self._cut_leg(now, owner, fields.TEMPORARY_FAILURE, lost=False)
        elif isinstance(owner, Attempt) and tx is owner.tx:
            previous_state, owner.state = owner.state, AttemptState.ENDED
            self._record_dropped(owner, tx.flow)
            self._release_circuits(owner)
            if previous_state in OPEN_STATES:
                # A lost connection counts as cut, a transaction timeout as no answer.
                outcome = io.Outcome.CUT if transport_failed else io.Outcome.NO_ANSWER
                if owner.call.to_own_lines:
                    self._reject_call(now, owner.call, response(owner.call.invite, 480, owner.call.tag))
                else:
                    self._report_attempt_end(now, owner, outcome, io.Cause.NONE, None, 0)
            self._drop_if_ended(owner.call)
        elif isinstance(owner, Call | Attempt):
            if not transport_failed:
                self._log(
                    "warning", "release never answered", self._call_name(owner), circuits=len(owner.circuits)
                )
            self._release_done(owner)

    def _handle_stray_success(self, now: int, flow: int, message: Message) -> None:
        """Acknowledge and release a 2xx to a set-up without a transaction.

        Otherwise the call would stand at the far end for ever.
        """
        leg = self.dialogs.get((message.call_id, message.from_tag))
        dialog_flow = leg.dialog.flow if leg is not None and leg.dialog is not None else -1
        own = flow in (dialog_flow, self.dropped_set_ups.get((message.call_id, message.from_tag), -1))
        if violated_rule(Permission.LATE, self.party_of(flow), own=own):
            self._count("not believed: 200")
            return
        target = address_uri(message.get("contact")) or address_uri(message.get("to"))
        invite = Message("INVITE", target, 0, "", dict(message.headers))
        self.out.append((flow, make_ack(invite, message, self._via(flow)).encode()))
        if leg is not None and leg.dialog is not None and leg.dialog.remote == message.get("to"):
            return  # a retransmitted 2xx of a standing call
        self._count("answer after give-up")
        dialog = Dialog(message.call_id, message.get("from"), message.get("to"), target, flow, message.cseq)
        bye = dialog.request("BYE", self._via(flow))
        bye.set("reason", fields.reason(fields.NORMAL_CLEARING))
        self._send_request(now, flow, bye)

    # -- actions of the module -----------------------------------------------------------------------------

    def _send(self, now: int, action: io.Send) -> None:
        call = self.calls.get(action.call)
        number = self.offices.get(action.office, -1)
        if call is None or call.state is not CallState.OFFERED:
            # The call had ended before the module decided on the same batch of events: nothing is sent.
            # The module has already subtracted the circuits, so the figures are reported again.
            if self.reported_circuits.pop(number, None) is not None:
                self.changed_groups.add(number)
            self.events.append(
                io.AttemptEnded(action.call, 0, action.office, io.Outcome.NOT_SENT, io.Cause.NONE, True, 0)
            )
            return
        if self.meter is not None:
            self._measure_send(call, number)
        leg, call.attempts_made = call.attempts_made, call.attempts_made + 1
        attempt = Attempt(call, leg, action.office, number, now, action.until)
        group, flow = self.trunk_groups.get(number), self.links.get(action.office)
        if number in self.reported_circuits:  # the module subtracts the circuits of its own set-ups itself
            free, size = self.reported_circuits[number]
            self.reported_circuits[number] = (free - call.width, size)
        if group is not None:
            self.changed_groups.add(number)
        if flow is None or group is None:
            attempt.state = AttemptState.ENDED
            self._report_attempt_end(now, attempt, io.Outcome.UNREACHABLE, io.Cause.NONE, None, 0)
            return
        attempt.circuits = group.seize(call.width, attempt)
        if not attempt.circuits:
            attempt.state = AttemptState.ENDED
            self._report_attempt_end(now, attempt, io.Outcome.NOT_SENT, io.Cause.NO_CIRCUIT, None, 0)
            return
        attempt.group = group
        call.attempt = attempt
        self._transmit_invite(now, call, attempt, flow)

    def _transmit_invite(self, now: int, call: Call, attempt: Attempt, flow: int) -> None:
        """Send the INVITE of an attempt, with the caller's body and the remaining time."""
        incoming = call.invite
        user = incoming.uri.partition(":")[2].partition("@")[0].partition(";")[0]
        invite = request(
            "INVITE", f"sip:{user}@{attempt.office}", via=self._via(flow),
            sender=f"<sip:{self.settings.name}@{self.own_address}>;tag={self._new_id()}",
            to=f"<sip:{user}@{attempt.office}>",
            call_id=f"{self._new_id()}@{self.own_address}", cseq=1,
            max_forwards=int(incoming.get("max-forwards", "70")) - 1,
        )  # fmt: skip
        headers = invite.headers
        headers["session-id"] = [call.session_id]
        headers[self.reader.class_header] = [self.settings.classes[call.class_no].name]
        headers[fields.PATIENCE_HEADER] = [str(max(attempt.deadline - now, 0) // fields.MS)]
        if attempt.group is not None:
            group_name = fields.group_name(self.settings.number, attempt.number)
            headers["contact"] = [fields.trunk_contact(self.own_address, group_name, self.settings.context)]
            headers[fields.CIRCUITS_HEADER] = [fields.write_circuits(attempt.circuits)]
        else:
            headers["contact"] = [self._contact()]
        if incoming.body:
            headers["content-type"] = [incoming.get("content-type")]
            invite.body = incoming.body
        attempt.invite = invite
        attempt.tx = self._send_request(now, flow, invite)
        attempt.tx.owner = attempt
        attempt.deadline_timer = self._schedule(
            attempt.deadline, lambda at: self._attempt_timed_out(at, attempt)
        )
        if self.verbose:
            self._log("debug", "set-up sent", call.name, office=attempt.office, leg=attempt.leg)

    def _attempt_timed_out(self, now: int, attempt: Attempt) -> None:
        """Cancel an attempt at its deadline and report it as unanswered.

        Its circuits stay seized until the final response.
        """
        if attempt.state not in OPEN_STATES:
            return
        attempt.state = AttemptState.GIVEN_UP
        self._request_cancel(now, attempt)
        if attempt.call.to_own_lines:
            self._reject_call(now, attempt.call, response(attempt.call.invite, 480, attempt.call.tag))
        else:
            self._report_attempt_end(now, attempt, io.Outcome.NO_ANSWER, io.Cause.NONE, None, 0)

    def _cancel(self, now: int, action: io.Cancel) -> None:
        call = self.calls.get(action.call)
        attempt = call.attempt if call is not None else None
        if attempt is None or attempt.leg != action.leg or attempt.state is not AttemptState.PENDING:
            return
        attempt.state = AttemptState.CANCELLING
        self._request_cancel(now, attempt)

    def _refuse(self, now: int, action: io.Refuse) -> None:
        call = self.calls.get(action.call)
        if call is None:
            return
        if self.meter is not None:
            self._measure_loss(now, call)
        self._log("debug", "call refused", call.name, pause=action.pause)
        self._reject_call(
            now,
            call,
            mapping.refusal_response(
                call.invite, call.tag, action.pause, call.transit, call.next_processor_full
            ),
        )

    def _abandon(self, now: int, action: io.Abandon) -> None:
        call = self.calls.get(action.call)
        if call is None:
            return
        if self.meter is not None:
            self._measure_loss(now, call)
        self._log("debug", "call abandoned", call.name)
        self._reject_call(
            now, call, mapping.failure_response(call.invite, call.tag, call.attempts_made > 0, call.transit)
        )

    def _set_timer(self, now: int, action: io.SetTimer) -> None:
        token = action.token
        self._schedule(action.due, lambda at: self.events.append(io.TimerDue(token)))

    def _probe(self, now: int, action: io.Probe) -> None:
        flow = self.links.get(action.office)
        probe = PendingProbe(action.office, now)
        if flow is None:
            self._report_probe(now, probe, None)
            return
        options = request(
            "OPTIONS", f"sip:{action.office}", via=self._via(flow), to=f"<sip:{action.office}>",
            sender=f"<sip:{self.settings.name}@{self.own_address}>;tag={self._new_id()}",
            call_id=f"{self._new_id()}@{self.own_address}", cseq=1,
        )  # fmt: skip
        self._send_request(now, flow, options).owner = probe

    def _report_probe(self, now: int, probe: PendingProbe, message: Message | None) -> None:
        group = self.trunk_groups.get(self.offices.get(probe.office, -1))
        answered = message is not None and message.status < 300
        self.events.append(
            io.OfficeHeard(
                probe.office, False, answered, now - probe.sent_at, mapping.load_report(group, message)
            )
        )

    def _subscribe(self, now: int, action: io.Subscribe) -> None:
        self.effects.append(fx.SubscribeToRegister())

    def _note(self, now: int, action: io.Note) -> None:
        self._log("warning", action.text)

    def _cut_after_drain(self, now: int) -> None:
        """Cut the calls that still stand at the end of the drain time."""
        for call in list(self.calls.values()):
            if call.state is CallState.STANDING:
                self._cut_leg(now, call, fields.TEMPORARY_FAILURE, lost=False)


def strip_invite(invite: Message) -> None:
    """Drop all of an INVITE but the headers that identify its dialog, to save memory in standing calls."""
    invite.headers = {name: invite.headers[name] for name in ("from", "to", "call-id", "cseq")}
    invite.body = b""


ACTION_HANDLERS: dict[type, Callable[[Engine, int, Any], None]] = {
    io.Send: Engine._send,
    io.Refuse: Engine._refuse,
    io.Abandon: Engine._abandon,
    io.Cancel: Engine._cancel,
    io.SetTimer: Engine._set_timer,
    io.Probe: Engine._probe,
    io.Subscribe: Engine._subscribe,
    io.Note: Engine._note,
}
