"""The call table for the platform's protocol.  Performs no I/O, reads no clock, makes no routing decision.

Input: messages from callers and offices, connections and links opened or lost, the list of offices, the time.
Output: `outgoing` (flow, bytes) and the effects that `flush` returns.  Each set-up is offered to the routing
module, and each action of the module is carried out.  A flow is the number that the host gives a connection.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable, Sequence
from typing import Any

from eiderstep import interface as io
from eiderstep.decide import Controller
from eiderstep.engine import effects as fx
from eiderstep.engine.timers import ControllerFactory, Timers
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.node import mapping
from eiderstep.node.caller_connections import CallerConnections
from eiderstep.node.ended_references import EndedReferences
from eiderstep.node.group_states import GroupStates
from eiderstep.node.memory_budget import DEFAULT_MEMORY_MB, MESSAGE_OVERHEAD, MemoryBudget
from eiderstep.node.office_identity import LinkLoss, OfficeIdentities
from eiderstep.node.pending_releases import PendingReleases
from eiderstep.node.records import Attempt, AttemptState, Call, CallState
from eiderstep.node.reported_calls import ReportedCalls

MS = 1_000_000
SECOND = 1000 * MS
OUTCOMES_THAT_MAY_HAVE_RUN = (io.Outcome.NO_ANSWER, io.Outcome.CUT, io.Outcome.CANCELLED)
SILENT_LOSSES = (LinkLoss.SILENT, LinkLoss.SILENT_BESIDE_LIVE_LINK)
OPEN_STATES = (AttemptState.WAITING, AttemptState.SENT)
MAX_REMEMBERED_ENDS = 4096  # releases of unknown calls, kept for an `at` report that arrives after one
MAX_HOLDING_TIMES = 30  # in mean holding times; one call in 10^13 stands longer


class CallTable:
    """The calls of one call server.  `flush` passes events to the module and carries out its actions."""

    def __init__(
        self, settings: io.Settings, class_names: Sequence[str], dial_timeout: int, seed: int,
        controller_factory: ControllerFactory | None = None, max_calls: int = 20_000, started_at: int = 0,
        memory: MemoryBudget | None = None,
    ) -> None:  # fmt: skip
        """`dial_timeout`: how long a set-up waits for a link; `max_calls`: limit of calls held;
        `started_at`: when this process started (ns); `memory`: limit of the set-ups held."""
        self.memory = memory or MemoryBudget(DEFAULT_MEMORY_MB)
        self.dial_timeout, self.max_calls, self.started_at = dial_timeout, max_calls, started_at
        self.setup_reader = mapping.SetUpReader(settings, class_names)
        self.controller = (controller_factory or Controller)(settings, seed)
        self.calls: dict[str, Call] = {}
        self.offices: dict[str, int] = {}  # on the list, including draining ones: when they started (ns)
        self.list_valid_until: int | None = None  # ns; None: without limit
        self.links_by_office: dict[str, list[int]] = {}  # flows, by office
        self.office_by_link: dict[int, str] = {}  # by flow
        self.attempts_by_link: dict[int, dict[str, Attempt]] = {}  # attempts sent, by flow and call reference
        self.links_under_test: set[int] = (
            set()
        )  # flows of links that have sent nothing since they were tested
        self.waiting_for_link: dict[str, list[Attempt]] = {}  # attempts without a link, by office
        self.callers = CallerConnections()
        self.standing_by_office: dict[str, set[str]] = {}  # standing calls, by office
        self.group_states = GroupStates()
        self.reported_calls = ReportedCalls(max_calls)
        self.pending_releases = PendingReleases()
        self.identities = OfficeIdentities()
        self.ended_references = EndedReferences(settings.release_wait)
        self.unknown_call_ends: OrderedDict[str, int] = OrderedDict()  # causes of releases of unknown calls
        self.timers = Timers()
        self.refusals: Counter[int] = Counter()  # sent since `take_refusals`, by flow
        self.events: list[io.Event] = []
        self.effects: list[fx.Effect] = []
        self.outgoing: list[tuple[int, bytes]] = []
        self.counters: dict[str, int] = {}
        self.max_standing_time = MAX_HOLDING_TIMES * max(c.mean_hold for c in settings.classes)

    # -- callers -------------------------------------------------------------------------------------------

    def caller_connected(self, flow: int, source: str) -> None:
        """Register a caller's connection.  Releases pending for its source follow its first message."""
        self.callers.connect(flow, source)

    def handle_caller_message(self, now: int, flow: int, message: Message, unread_time: int = 0) -> bool:
        """Handle a caller's message; return False if the connection has to be closed.

        `unread_time`: how long the message may have lain unread (ns).
        """
        self._send_pending_releases(now, self.callers.source(flow), flow)
        if message.kind == isup.IAM:
            return self._handle_set_up(now, flow, message, unread_time)
        if message.kind == isup.REL:
            self._handle_caller_release(now, message)
        elif message.kind == isup.TEST:
            result = {isup.CAUSE: b"\1"}
            self.outgoing.append((flow, Message(isup.TEST_RESULT, message.call, result).encode()))
        elif message.kind == isup.RLC:
            self.pending_releases.confirm(flow, message.call)
        elif message.kind != isup.ACM:
            self._count("unfit from callers")
            return False
        return True

    def caller_left(self, now: int, flow: int) -> None:
        """A caller has closed its connection, and what it wrote before may still be unread.

        It has given up its set-ups, read or not.  Releases, confirmations and reports are taken as before.
        """
        self.callers.mark_closed(flow)
        for reference in self.callers.open_set_ups(flow):
            self._withdraw_set_up(now, self.calls[reference])

    def caller_disconnected(self, now: int, flow: int) -> None:
        """Withdraw the open set-ups of a lost caller connection; its standing calls continue."""
        self.caller_left(now, flow)
        self.callers.disconnect(flow)
        self._resend_lost_releases(now, flow)

    def _handle_set_up(self, now: int, flow: int, message: Message, unread_time: int) -> bool:
        """Handle a set-up or a report of a standing call; return False if the connection has to be closed."""
        try:
            offer = self.setup_reader.parse(now - unread_time, message)
        except mapping.InvalidSetUp as error:
            self._count("unfit set-ups")
            self._log("info", "invalid set-up refused", why=str(error), flow=flow)
            return self._refuse_unless_open(flow, message.call, isup.INVALID)
        existing = self.calls.get(message.call)
        if existing is None and len(self.calls) >= self.max_calls:
            self._count("calls at their limit")
            self._refuse_set_up(flow, message.call, isup.EQUIPMENT_CONGESTION)
            return True
        if isinstance(offer, mapping.StandingReport):
            self._adopt_standing_call(now, flow, message, offer, existing)
            return True
        if self.callers.is_closed_by_caller(flow):
            self._count("set-ups of callers that left")
            return True
        if existing is not None:
            self._count("ids used twice")
            return self._refuse_unless_open(flow, message.call, isup.TEMPORARY_FAILURE)
        self._take_set_up(now, flow, message, offer)
        return True

    def _refuse_unless_open(self, flow: int, reference: str, cause: int) -> bool:
        """Refuse a set-up; return False, and send nothing, if its reference is open on the same connection.

        The caller would take the refusal for that of the first set-up, so the connection is closed.  The
        cost: a caller that uses a reference twice by mistake loses the connection.
        """
        if self.callers.has_open_set_up(flow, reference):
            return False
        self._refuse_set_up(flow, reference, cause)
        return True

    def _take_set_up(self, now: int, flow: int, message: Message, offer: io.CallOffered) -> None:
        """Offer a set-up with a reference that no call has to the module, or refuse it."""
        if not self.ended_references.allow(now, message.call, offer.transit):
            self._count("ids used again")
            self._refuse_set_up(flow, message.call, isup.TEMPORARY_FAILURE)
            return
        call = Call(message, offer, flow)
        size = MESSAGE_OVERHEAD + sum(len(value) for value in call.forwarded.values())
        if not self.memory.take(size):
            self._count("set-ups at their memory limit")
            self._refuse_set_up(flow, message.call, isup.EQUIPMENT_CONGESTION)
            return
        call.memory_used = size
        self.calls[message.call] = call
        self.callers.add_set_up(flow, message.call)
        self.events.append(offer)

    def _adopt_standing_call(
        self, now: int, flow: int, message: Message, report: mapping.StandingReport, existing: Call | None
    ) -> None:
        """Adopt a call that a caller reports as standing at an office (`at`) after a restart of this process.

        If the office's release arrived before the report, the call would never end here; so the releases of
        unknown calls are remembered, and the reported call is released at once.
        """
        if existing is not None:
            if existing.state is CallState.STANDING and existing.flow not in self.callers:
                self.callers.detach(existing.flow, existing.reference)
                self._attach_to_caller(existing, flow)
                existing.source = self.callers.source(flow)
            return
        office, end_cause = report.office, self.unknown_call_ends.pop(message.call, None)
        if end_cause is not None or office not in self.offices:
            self.outgoing.append(
                (
                    flow,
                    isup.encode_release(
                        message.call, isup.TEMPORARY_FAILURE if end_cause is None else end_cause
                    ),
                )
            )
            if end_cause is not None:
                self._release_to_office(now, office, message.call, end_cause)
            return
        source = self.callers.source(flow)
        if not self.reported_calls.may_add(source):
            self._count("reported calls at their limit")
            self._refuse_set_up(flow, message.call, isup.EQUIPMENT_CONGESTION)
            return
        call = self.calls[message.call] = Call(message, None, flow)
        self.reported_calls.add(message.call, office, source, report.width)
        self._start_standing(now, call, office, placed_at=self.started_at)  # an earlier process set it up

    def cut_vanished_calls(self, now: int) -> None:
        """Cut reported calls that an office lost when it restarted; to be called several times a second."""
        for reference in self.reported_calls.find_ended(now, lambda office: self._circuits_left(now, office)):
            self._count("reported calls gone")
            self._cut_call(now, reference, isup.TEMPORARY_FAILURE)

    def _circuits_left(self, now: int, office: str) -> int | None:
        """Circuits in use to an office without those of calls set up here.

        None if they are not known, or if a call that was set up before the office started would be too long.
        """
        in_use = self.group_states.in_use(office)
        if in_use is None or now - self.offices.get(office, 0) > self.max_standing_time:
            return None
        own = (
            self.calls[reference].width
            for reference in self.standing_by_office.get(office, ())
            if reference not in self.reported_calls
        )
        return in_use - sum(own)

    def _handle_caller_release(self, now: int, message: Message) -> None:
        """Withdraw a set-up or end a standing call; the caller may use any of its connections."""
        call = self.calls.get(message.call)
        if call is None:
            self._remember_end(message.call, message.cause or isup.NORMAL_CLEARING)
        elif call.state is CallState.OFFERED:
            self._withdraw_set_up(now, call)
        else:
            self._end_standing_call(
                now, call, io.Outcome.CANCELLED, message.cause or isup.NORMAL_CLEARING, True, False
            )

    def _refuse_set_up(self, flow: int, reference: str, cause: int, pause: int = 0) -> None:
        """Send a refusal; `pause`: the time (ms) that the caller should stay away, 0 for none."""
        self.refusals[flow] += 1
        self.outgoing.append((flow, isup.encode_release(reference, cause, pause)))

    def take_refusals(self) -> Counter[int]:
        """Return the number of refusals since the last call, by the caller's flow."""
        refusals, self.refusals = self.refusals, Counter()
        return refusals

    def _withdraw_set_up(self, now: int, call: Call) -> None:
        """Report to the module that the caller has given up, and close the set-up without an answer."""
        self.events.append(io.CallGone(call.reference))
        self._close_set_up(now, call)

    def _close_set_up(self, now: int, call: Call) -> None:
        """Remove a call that is not standing, and give up its open attempt."""
        call.state = CallState.OVER
        self._discard_parameters(call)
        self.calls.pop(call.reference, None)
        self.callers.remove_set_up(call.flow, call.reference)
        if call.attempt is not None and call.attempt.state in OPEN_STATES:
            self._give_up_attempt(now, call.attempt, io.Outcome.CANCELLED, True)

    # -- offices -------------------------------------------------------------------------------------------

    def update_offices(self, now: int, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        """Apply a change of the list of offices."""
        before = set(self.offices)
        if kind not in (io.ListKind.CHANGES, io.ListKind.FAILED):
            self.offices.clear()
        for entry in entries:
            if entry.state is io.OfficeState.GONE:
                self.offices.pop(entry.office, None)
            else:
                self.offices[entry.office] = entry.started
        for office in before - self.offices.keys():
            self.group_states.forget(office)
            self.identities.forget(office)
        self.events.append(io.OfficeList(kind, entries))
        self._end_waiting_set_ups(now, kind, entries)
        for entry in entries:
            if entry.state is io.OfficeState.UP and self.identities.confirm(entry.office):
                self._send_waiting_set_ups(now, entry.office)

    def _end_waiting_set_ups(self, now: int, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        """End the set-ups that wait for a link to an office that drains or is gone; none of them was sent."""
        up = {entry.office for entry in entries if entry.state is io.OfficeState.UP}
        listed = {entry.office for entry in entries}
        concerned = listed if kind is io.ListKind.CHANGES else set(self.waiting_for_link)
        for office in concerned - up:
            for attempt in self.waiting_for_link.pop(office, ()):
                if attempt.state is AttemptState.WAITING:
                    self._end_attempt(now, attempt, io.Outcome.NOT_SENT, io.Cause.NONE, None, False)

    def confirm_list(self, now: int, heard_until: int, valid_until: int) -> None:
        """The list holds all events until `heard_until`; set-ups may rely on it until `valid_until` (ns)."""
        self.list_valid_until = valid_until
        self.events.append(io.ListConfirmed(valid_until))
        for office in self.identities.list_heard(heard_until):
            self._send_waiting_set_ups(now, office)

    def link_up(self, now: int, office: str, flow: int) -> None:
        """Register a new link to an office and send the set-ups that wait for one.

        Where another process may listen at the office's address, they wait on."""
        self.office_by_link[flow] = office
        self.attempts_by_link[flow] = {}
        self.group_states.link_up(office)
        self.links_by_office.setdefault(office, []).append(flow)
        self._send_pending_releases(now, office, flow)
        self.identities.link_up(now, office)
        if not self.identities.in_doubt(office):
            self._send_waiting_set_ups(now, office)

    def _send_waiting_set_ups(self, now: int, office: str) -> None:
        """Send the set-ups that wait for a usable link to an office."""
        flows = self.links_by_office.get(office)
        if not flows:
            return
        for attempt in self.waiting_for_link.pop(office, ()):
            if attempt.state is not AttemptState.WAITING:
                continue
            if self.list_valid_until is not None and now >= self.list_valid_until:
                self._end_attempt(now, attempt, io.Outcome.NOT_SENT, io.Cause.NONE, None, False)
            else:
                self._send_set_up(now, attempt, min(flows, key=self._link_load))

    def link_lost(self, now: int, flow: int, loss: LinkLoss = LinkLoss.BY_OFFICE) -> None:
        """End each set-up sent on a lost link once; standing calls continue.

        An answer may be lost with its link, or be unreadable.  Such a call stands at the office, which the
        end of the link does not change, so each set-up is released there over another link as well.
        On a link that was silent they end as unanswered rather than cut.
        """
        office = self.office_by_link.pop(flow, "")
        self.links_under_test.discard(flow)
        flows = self.links_by_office.get(office, [])
        if flow in flows:
            flows.remove(flow)
        if not flows:
            self.links_by_office.pop(office, None)
            self.group_states.links_lost(office)
        if office in self.offices:
            self.identities.link_lost(now, office, loss, len(flows))
        elif not flows:
            self.group_states.forget(office)  # it is gone, and reported until now
        outcome = io.Outcome.NO_ANSWER if loss in SILENT_LOSSES else io.Outcome.CUT
        for attempt in self.attempts_by_link.pop(flow, {}).values():
            if attempt.state is AttemptState.SENT:
                self._end_attempt(now, attempt, outcome, io.Cause.NONE, None, False)
                self._release_to_office(now, office, attempt.call.reference, isup.NORMAL_CLEARING)
        self._resend_lost_releases(now, flow)

    def office_unreachable(self, now: int, office: str) -> None:
        """End the set-ups that wait for a link to an office, as no link came up; none of them was sent."""
        for attempt in self.waiting_for_link.pop(office, ()):
            if attempt.state is AttemptState.WAITING:
                self._end_attempt(now, attempt, io.Outcome.UNREACHABLE, io.Cause.NONE, None, False)

    def office_restarted(self, now: int, office: str, started: int) -> None:
        """Cut the calls that were set up at an office before it restarted at `started`.

        The list reports a restart only after the office may have taken new calls, which are therefore kept.
        """
        for reference in list(self.standing_by_office.get(office, ())):
            if self.calls[reference].placed_at < started:
                self._cut_call(now, reference, isup.TEMPORARY_FAILURE)

    def hand_over_calls(self, office: str, successor: str, started: int) -> None:
        """Move the calls that were set up under the name of an office after its successor had started.

        They stand at the successor.  A call that its caller reported as standing at the office does not.
        """
        references = self.standing_by_office.get(office, set())
        moved = {r for r in references if self.calls[r].attempt and self.calls[r].placed_at >= started}
        if not moved:
            return
        references -= moved
        if not references:
            del self.standing_by_office[office]
        self.standing_by_office.setdefault(successor, set()).update(moved)
        for reference in moved:
            self.calls[reference].office = successor

    def hand_over_links(self, office: str, successor: str) -> None:
        """Move the links of an office, and the set-ups sent on them, to the office that is really there."""
        self.group_states.links_lost(office)
        self.identities.forget(office)
        for flow in self.links_by_office.pop(office, []):
            self.links_by_office.setdefault(successor, []).append(flow)
            self.office_by_link[flow] = successor
            for attempt in self.attempts_by_link[flow].values():
                attempt.office = successor

    def link_refused(self, now: int, office: str) -> None:
        """An office without links has refused one: its process has ended, and with it its calls."""
        self.identities.link_refused(office)
        self.office_failed(now, office)

    def office_failed(self, now: int, office: str) -> None:
        """Cut the calls standing at an office that is dead, or counts as dead after OFFICE_TIMEOUT."""
        for reference in list(self.standing_by_office.get(office, ())):
            self._cut_call(now, reference, isup.TEMPORARY_FAILURE)

    def handle_office_message(self, now: int, flow: int, message: Message) -> bool:
        """Handle an office's message; return False if the link has to be closed."""
        office = self.office_by_link.get(flow)
        if office is None:
            return False
        self.links_under_test.discard(flow)
        kind, call = message.kind, self.calls.get(message.call)
        if kind == isup.GROUP_STATE:
            report_bytes = message.parameters.get(isup.LOAD_REPORT, b"")
            if self.group_states.is_copy(office, report_bytes, flow):
                return True
            report = mapping.load_report(message)
            if report is None:
                return False
            self.group_states.record_state(office, report_bytes, flow)
            self.group_states.apply_report(office, report)
            self._check_identity(now, office, report)
            self.events.append(io.OfficeHeard(office, True, True, 0, report))
        elif kind == isup.ANM:
            return self._handle_answer(now, flow, message)
        elif kind == isup.REL:
            attempt = self.attempts_by_link[flow].get(message.call)
            if attempt is not None and attempt.state is AttemptState.SENT:
                return self._handle_refusal(now, attempt, message)
            if call is not None and call.state is CallState.STANDING and call.office == office:
                cut = message.cause != isup.NORMAL_CLEARING
                outcome = io.Outcome.CUT if cut else io.Outcome.RELEASED
                report = mapping.load_report(message)
                self._end_standing_call(
                    now, call, outcome, message.cause or isup.TEMPORARY_FAILURE, False, True, report
                )
            elif call is None:
                self._remember_end(message.call, message.cause or isup.NORMAL_CLEARING)
            self.outgoing.append((flow, Message(isup.RLC, message.call).encode()))
        elif kind == isup.RLC:
            self.pending_releases.confirm(flow, message.call)
        elif kind in (isup.IAM, isup.TEST):
            self._count("unfit from offices")
            return False
        return True

    def _check_identity(self, now: int, office: str, report: io.LoadReport) -> None:
        """Send the waiting set-ups if the state of an office's group shows that it is the one of before."""
        if report.free is None or report.size is None:
            return
        standing = sum(self.calls[reference].width for reference in self.standing_by_office.get(office, ()))
        if self.identities.group_reported(office, report.size, report.size - report.free, standing):
            self._send_waiting_set_ups(now, office)

    def _handle_answer(self, now: int, flow: int, message: Message) -> bool:
        """Pass an answer on to the caller; return False if the link has to be closed.

        A second answer, one with an unknown reference, and one that crossed our release of the attempt are
        dropped.  In the last case the office has our release on its way.
        """
        attempt = self.attempts_by_link[flow].get(message.call)
        if attempt is None or attempt.state is not AttemptState.SENT:
            self._count("answers dropped")
            return True
        if now >= attempt.deadline:
            self._attempt_timed_out(now, attempt)
            return True
        description = message.parameters.get(isup.DESCRIPTION, b"")
        if not description:
            self._count("answers spoilt")
            return False
        call = attempt.call
        attempt.state = AttemptState.OVER
        self._remove_from_link(attempt)
        self.events.append(io.CallStands(call.reference, attempt.leg, attempt.office, now - attempt.sent_at))
        report = mapping.load_report(message)
        if report is not None and isup.LOAD_REPORT in message.parameters:
            self.events.append(io.OfficeHeard(attempt.office, False, True, now - attempt.sent_at, report))
        answer = Message(isup.ANM, call.reference, {isup.DESCRIPTION: description})
        self.outgoing.append((call.flow, answer.encode()))
        self.callers.remove_set_up(call.flow, call.reference)
        self._start_standing(now, call, attempt.office, attempt.sent_at)
        return True

    def _handle_refusal(self, now: int, attempt: Attempt, message: Message) -> bool:
        report = mapping.load_report(message)
        if report is None or message.cause is None:
            self._count("releases spoilt")
            return False
        outcome, cause = mapping.attempt_outcome(message)
        self._end_attempt(now, attempt, outcome, cause, report, False)
        return True

    # -- standing calls ------------------------------------------------------------------------------------

    def _start_standing(self, now: int, call: Call, office: str, placed_at: int) -> None:
        call.state, call.office, call.source = CallState.STANDING, office, self.callers.source(call.flow)
        call.placed_at = placed_at
        self._discard_parameters(call)
        self.standing_by_office.setdefault(office, set()).add(call.reference)
        self._attach_to_caller(call, call.flow)
        call.limit_timer = self.timers.schedule(
            now + self.max_standing_time, lambda at: self._end_overlong_call(at, call)
        )

    def _discard_parameters(self, call: Call) -> None:
        """Drop what is needed for further attempts only."""
        self.memory.give_back(call.memory_used)
        call.memory_used = 0
        call.discard_parameters()

    def _attach_to_caller(self, call: Call, flow: int) -> None:
        call.flow = flow
        self.callers.attach(flow, call.reference)

    def connection_weight(self, flow: int) -> int:
        """Weight of a caller's connection, by the calls that it carries."""
        return self.callers.weight(flow)

    def discard_expired(self, now: int) -> None:
        """Drop pending releases past their time; to be called regularly."""
        self.pending_releases.discard_expired(now)

    def _end_overlong_call(self, now: int, call: Call) -> None:
        """End a call whose release was lost or that a false `at` invented; it would be held for ever."""
        self._count("ended as too long")
        self._cut_call(now, call.reference, isup.RECOVERY)

    def _cut_call(self, now: int, reference: str, cause: int) -> None:
        """End a standing call from here, with a release to both sides."""
        self._end_standing_call(now, self.calls[reference], io.Outcome.CUT, cause, True, True)

    def _end_standing_call(
        self, now: int, call: Call, outcome: io.Outcome, cause: int, to_office: bool, to_caller: bool,
        report: io.LoadReport | None = None,
    ) -> None:  # fmt: skip
        """End a standing call, and release it towards the sides that do not know of the end yet."""
        call.state = CallState.OVER
        del self.calls[call.reference]
        self.ended_references.add(now, call.reference)
        self.reported_calls.remove(call.reference)
        if call.limit_timer is not None:
            call.limit_timer.cancel()
        self.callers.detach(call.flow, call.reference)
        references = self.standing_by_office[call.office]
        references.discard(call.reference)
        if not references:
            del self.standing_by_office[call.office]
        if call.attempt is not None:
            duration, leg = now - call.attempt.sent_at, call.attempt.leg
            self.events.append(
                io.AttemptEnded(
                    call.reference, leg, call.office, outcome, io.Cause.NONE, True, duration, report=report
                )
            )
        if to_office:
            self._release_to_office(now, call.office, call.reference, cause)
        if to_caller:
            self._release_to_caller(now, call, cause)

    def _release_to_office(self, now: int, office: str, reference: str, cause: int) -> None:
        self.pending_releases.add(now, office, reference, isup.encode_release(reference, cause))
        flows = self.links_by_office.get(office)
        if flows:
            self._send_pending_releases(now, office, flows[-1])

    def _release_to_caller(self, now: int, call: Call, cause: int) -> None:
        """Send a release on the connection that carries the call, else on another of its source, else on one
        with standing calls; else keep it until its source connects."""
        self.pending_releases.add(
            now, call.source, call.reference, isup.encode_release(call.reference, cause)
        )
        flow = call.flow if call.flow in self.callers else self.callers.find(call.source)
        if flow is not None:
            self._send_pending_releases(now, call.source, flow)

    def _send_pending_releases(self, now: int, destination: str, flow: int) -> None:
        for reference, data in self.pending_releases.take_pending(now, destination):
            self.outgoing.append((flow, data))
            self.pending_releases.mark_written(now, flow, destination, reference, data)

    def _resend_lost_releases(self, now: int, flow: int) -> None:
        """Send releases that may have been lost with a connection again on another one."""
        for destination in self.pending_releases.connection_lost(now, flow):
            flows = self.links_by_office.get(destination)
            other_flow = (
                flows[-1]
                if flows
                else self.callers.find(destination)
                if destination not in self.offices
                else None
            )
            if other_flow is not None:
                self._send_pending_releases(now, destination, other_flow)

    def _remember_end(self, reference: str, cause: int) -> None:
        self.unknown_call_ends[reference] = cause
        self.unknown_call_ends.move_to_end(reference)
        if len(self.unknown_call_ends) > MAX_REMEMBERED_ENDS:
            self.unknown_call_ends.popitem(last=False)

    # -- attempts ------------------------------------------------------------------------------------------

    def _send_set_up(self, now: int, attempt: Attempt, flow: int) -> None:
        call = attempt.call
        self.pending_releases.withdraw(call.reference, self.links_by_office.get(attempt.office, ()))
        attempt.state, attempt.flow = AttemptState.SENT, flow
        self.attempts_by_link[flow][call.reference] = attempt
        wait_ms = max((attempt.deadline - now) // MS, 1)
        self.outgoing.append((flow, call.encode_set_up(wait_ms)))

    def _remove_from_link(self, attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.cancel()
        self.attempts_by_link.get(attempt.flow, {}).pop(attempt.call.reference, None)

    def _attempt_timed_out(self, now: int, attempt: Attempt) -> None:
        """Give up an attempt whose deadline has passed."""
        if attempt.state in OPEN_STATES:
            self._give_up_attempt(now, attempt, io.Outcome.NO_ANSWER, False)

    def _give_up_attempt(self, now: int, attempt: Attempt, outcome: io.Outcome, call_over: bool) -> None:
        if attempt.state is AttemptState.SENT:
            reference = attempt.call.reference
            data = isup.encode_release(reference, isup.NORMAL_CLEARING)
            self.outgoing.append((attempt.flow, data))
            self.pending_releases.mark_written(now, attempt.flow, attempt.office, reference, data)
        self._end_attempt(now, attempt, outcome, io.Cause.NONE, None, call_over)

    def _end_attempt(
        self, now: int, attempt: Attempt, outcome: io.Outcome, cause: io.Cause,
        report: io.LoadReport | None, call_over: bool,
    ) -> None:  # fmt: skip
        """End an attempt that was not answered.  Every such attempt ends here."""
        self._remove_from_link(attempt)
        call = attempt.call
        if attempt.state is AttemptState.SENT and outcome in OUTCOMES_THAT_MAY_HAVE_RUN:
            self.ended_references.add(now, call.reference)
        attempt.state = AttemptState.OVER
        if call.attempt is attempt:
            call.attempt = None
        call_over = call_over or call.state is not CallState.OFFERED
        duration = now - attempt.sent_at
        if attempt.flow < 0:
            report = self.group_states.give_back(attempt.office, call.width) or report
        self.group_states.apply_report(attempt.office, report)
        self.events.append(
            io.AttemptEnded(
                call.reference, attempt.leg, attempt.office, outcome, cause, call_over, duration, 0, report
            )
        )

    def begin_shutdown(self, ends_at: int) -> None:
        """Have every open set-up answered by the end of this process (ns)."""
        self.events.append(io.ShutdownBegun(ends_at))

    def count_open_set_ups(self) -> int:
        """Number of set-ups without a final answer."""
        return self.callers.count_open_set_ups()

    # -- the module's actions ------------------------------------------------------------------------------

    def run_timers(self, now: int) -> None:
        """Run the timers that have expired."""
        self.timers.run_due(now)

    def next_due(self) -> int | None:
        """When `run_timers` has to be called next (ns); None without timers."""
        return self.timers.next_due()

    def flush(self, now: int) -> list[fx.Effect]:
        """Pass the collected events to the module and carry out its actions, until no events are left."""
        while self.events:
            events, self.events = self.events, []
            for action in self.controller.handle(now, events):
                ACTION_HANDLERS[type(action)](self, now, action)
        effects, self.effects = self.effects, []
        return effects

    def _send(self, now: int, action: io.Send) -> None:
        call = self.calls.get(action.call)
        if call is None or call.state is not CallState.OFFERED or call.attempt is not None:
            # The call ended, or has an attempt, by the events that the module has just handled: send nothing.
            leg = call.attempt_count if call is not None else 0
            report = io.LoadReport(free=self.group_states.free(action.office))
            none, not_sent = io.Cause.NONE, io.Outcome.NOT_SENT
            self.events.append(
                io.AttemptEnded(action.call, leg, action.office, not_sent, none, True, 0, 0, report)
            )
            return
        deadline = min(action.until or call.expires, call.expires)
        attempt = call.attempt = Attempt(call, call.attempt_count, action.office, now, deadline)
        call.attempt_count += 1
        self.group_states.seize(action.office, call.width)
        if deadline <= now or action.office not in self.offices:
            outcome = io.Outcome.NO_ANSWER if deadline <= now else io.Outcome.UNREACHABLE
            self._end_attempt(now, attempt, outcome, io.Cause.NONE, None, False)
            return
        attempt.timer = self.timers.schedule(deadline, lambda at: self._attempt_timed_out(at, attempt))
        flows = self.links_by_office.get(action.office)
        if flows and not self.identities.in_doubt(action.office):
            self._send_set_up(now, attempt, min(flows, key=self._link_load))
            return
        if self.group_states.in_use(action.office) is not None:
            # The state of its group did not show that the office is the one of before.
            self._end_attempt(now, attempt, io.Outcome.NOT_SENT, io.Cause.NONE, None, False)
            return
        self.waiting_for_link.setdefault(action.office, []).append(attempt)
        self.effects.append(fx.Dial(action.office))
        self.timers.schedule(now + self.dial_timeout, lambda at: self._link_wait_expired(at, attempt))

    def _link_load(self, flow: int) -> tuple[bool, int]:
        return flow in self.links_under_test, len(self.attempts_by_link[flow])

    def oldest_set_up(self, flow: int) -> int | None:
        """When the oldest unanswered set-up on a link was sent (ns); None if there is none."""
        return next((attempt.sent_at for attempt in self.attempts_by_link.get(flow, {}).values()), None)

    def _link_wait_expired(self, now: int, attempt: Attempt) -> None:
        if attempt.state is AttemptState.WAITING:
            has_link = attempt.office in self.links_by_office  # but is in doubt
            outcome = io.Outcome.NOT_SENT if has_link else io.Outcome.UNREACHABLE
            self._end_attempt(now, attempt, outcome, io.Cause.NONE, None, False)

    def _refuse(self, now: int, action: io.Refuse) -> None:
        self._reject_call(now, action.call, isup.EQUIPMENT_CONGESTION, action.pause // MS)

    def _abandon(self, now: int, action: io.Abandon) -> None:
        self._reject_call(now, action.call, isup.UNSPECIFIED, 0)

    def _reject_call(self, now: int, reference: str, cause: int, pause: int) -> None:
        call = self.calls.get(reference)
        if call is None or call.state is not CallState.OFFERED:
            return
        if call.flow in self.callers:
            self._refuse_set_up(call.flow, reference, cause, pause)
        self._close_set_up(now, call)

    def _cancel(self, now: int, action: io.Cancel) -> None:
        call = self.calls.get(action.call)
        attempt = call.attempt if call is not None else None
        if attempt is not None and attempt.leg == action.leg and attempt.state in OPEN_STATES:
            self._give_up_attempt(now, attempt, io.Outcome.CANCELLED, False)

    def _set_timer(self, now: int, action: io.SetTimer) -> None:
        token = action.token
        self.timers.schedule(action.due, lambda at: self.events.append(io.TimerDue(token)))

    def _probe(self, now: int, action: io.Probe) -> None:
        """Report a probe as unanswered: the platform has no message for it, and its settings allow none."""
        self.events.append(io.OfficeHeard(action.office, False, False, 0, io.LoadReport()))

    def _subscribe(self, now: int, action: io.Subscribe) -> None:
        """Do nothing: the change log is polled all the time."""

    def _note(self, now: int, action: io.Note) -> None:
        self._log("warning", action.text)

    def _log(self, level: str, event: str, call: str = "", **fields: Any) -> None:
        self.effects.append(fx.Log(level, event, call, fields))

    def _count(self, counter: str) -> None:
        self.counters[counter] = self.counters.get(counter, 0) + 1


ACTION_HANDLERS: dict[type, Callable[[CallTable, int, Any], None]] = {
    io.Send: CallTable._send,
    io.Refuse: CallTable._refuse,
    io.Abandon: CallTable._abandon,
    io.Cancel: CallTable._cancel,
    io.SetTimer: CallTable._set_timer,
    io.Probe: CallTable._probe,
    io.Subscribe: CallTable._subscribe,
    io.Note: CallTable._note,
}
