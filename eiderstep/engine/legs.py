"""The call table: legs with their dialogs and circuits, and the release of both legs when one of them ends.

Base of `RequestHandler` (requests.py) and `Engine` (core.py).  Handles neither actions of the module nor the
contents of INVITEs.
"""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.engine import effects as fx
from eiderstep.engine import mapping
from eiderstep.engine.calls import Attempt, AttemptState, Call, CallState
from eiderstep.engine.circuits import TrunkGroup
from eiderstep.engine.timers import Timer, Timers
from eiderstep.sip import fields
from eiderstep.sip.dialog import make_cancel
from eiderstep.sip.message import Message, response
from eiderstep.sip.transaction import BaseTimes, Transaction, TransactionLayer, TransactionState
from eiderstep.sizing.meter import Meter
from eiderstep.trust.party import UNKNOWN_PARTY, Party, PartyDirectory, same_exchange

MAX_DROPPED_SET_UPS = 4096  # remembered set-ups that were dropped without a final response
OPEN_STATES = (AttemptState.PENDING, AttemptState.CANCELLING)  # end not yet reported to the module


class CallTable:
    """The call table.  `own_address`: the `host:port` that goes into Via and Contact."""

    def __init__(self, settings: ServerSettings, own_address: str, id_source: Random | None = None) -> None:
        """`id_source`: random source of tags, branches and Call-IDs.

        If these could be guessed, or were repeated after a restart, others could send requests within
        standing calls.  In service `id_source` must therefore be the system's random source.  The
        default, derived from the seed, is for reproducible lab runs only.
        """
        self.settings, self.own_address = settings, own_address
        self.id_source = id_source or Random(settings.seed ^ 0x5EED)
        times = settings.timers
        self.transactions = TransactionLayer(BaseTimes(times.t1, times.t2, times.t4))
        self.out = self.transactions.out
        self.calls: dict[str, Call] = {}
        self.dialogs: dict[tuple[str, str], Call | Attempt] = {}  # by Call-ID and the tag of this end
        self.call_count_by_source: dict[str, int] = {}  # calls in the table
        self.calls_by_request: dict[tuple[str, str, int], Call] = {}  # by Call-ID, From tag and CSeq
        self.legs_by_flow: dict[int, dict[Call | Attempt, None]] = {}  # legs with a dialog, by flow
        self.trunk_groups = {
            p.number: TrunkGroup(p.circuits, settings.number, p.number) for p in settings.peers
        }
        self.reported_circuits: dict[int, tuple[int, int]] = {}  # (free, in service) as last reported
        self.changed_groups: set[int] = set(self.trunk_groups)
        self.unreliable_flows: set[int] = set()  # flows over UDP
        self.events: list[io.Event] = []
        self.effects: list[fx.Effect] = []
        self.verbose = False
        self.meter: Meter | None = None
        self.counts: dict[str, int] = {}
        self.timers = Timers()
        self.party_directory = PartyDirectory(settings)
        self.dropped_set_ups: dict[tuple[str, str], int] = {}  # flow of each, latest last
        self.parties: dict[int, Party] = {}  # by flow; a flow without an entry is UNKNOWN_PARTY

    def _new_id(self) -> str:
        """A new tag, branch or Call-ID part: 64 random bits (RFC 3261, section 19.3 requires 32)."""
        return f"{self.id_source.getrandbits(64):016x}"

    def set_party(self, flow: int, party: Party) -> None:
        """Set who is at the other end of a flow; called before the first message from there."""
        self.parties[flow] = party

    def party_of(self, flow: int) -> Party:
        """The party at the other end of a flow, UNKNOWN_PARTY if it is unknown."""
        return self.parties.get(flow, UNKNOWN_PARTY)

    def same_peer(self, flow: int, other: int) -> bool:
        """Whether both flows lead to the same far end.

        They do if they are one connection, or if an exchange has opened a new connection before the loss of
        its old one was noticed.
        """
        return flow == other or same_exchange(self.party_of(flow), self.party_of(other))

    def _via(self, flow: int) -> str:
        transport = "UDP" if flow in self.unreliable_flows else "TCP"
        return f"SIP/2.0/{transport} {self.own_address};branch=z9hG4bK{self._new_id()}"

    def _send_request(self, now: int, flow: int, message: Message) -> Transaction:
        """Start a client transaction on a flow."""
        return self.transactions.send(now, flow, message, flow not in self.unreliable_flows)

    def _contact(self) -> str:
        return f"<sip:{self.settings.name}@{self.own_address}>"

    def _schedule(self, due: int, callback: Callable[[int], None]) -> Timer:
        """Schedule a callback; `cancel` of the result cancels it."""
        return self.timers.schedule(due, callback)

    def _log(self, level: str, event: str, call: str = "", **more: Any) -> None:
        if level != "debug" or self.verbose:
            self.effects.append(fx.Log(level, event, call, more))

    def _count(self, counter: str) -> None:
        self.counts[counter] = self.counts.get(counter, 0) + 1

    def _release_circuits(self, leg: Call | Attempt) -> None:
        if leg.group is not None and leg.circuits:
            leg.group.release(leg.circuits, leg)
            leg.circuits = ()
            self.changed_groups.add(leg.group.peer)

    def _attach_leg(self, flow: int, leg: Call | Attempt) -> None:
        self.legs_by_flow.setdefault(flow, {})[leg] = None

    def _detach_leg(self, leg: Call | Attempt) -> None:
        """Remove a leg whose dialog has ended from its flow."""
        if leg.dialog is not None:
            legs = self.legs_by_flow.get(leg.dialog.flow)
            if legs is not None:
                legs.pop(leg, None)
                if not legs:
                    del self.legs_by_flow[leg.dialog.flow]

    def _cancel_timed_out(self, now: int, attempt: Attempt) -> None:
        """No final response within the release wait after a CANCEL: report the attempt as cancelled."""
        if attempt.state is AttemptState.CANCELLING:
            attempt.state = AttemptState.GIVEN_UP
            self._report_attempt_end(now, attempt, io.Outcome.CANCELLED, io.Cause.NONE, None, 0)

    def _final_response_timed_out(self, now: int, attempt: Attempt) -> None:
        """No final response within 64 x T1 after a CANCEL: drop the set-up (RFC 3261, section 9.1).

        Otherwise its circuits would stay seized for ever.  If the far end still holds them, it refuses the
        next set-up on them, which costs one attempt.
        """
        if attempt.state is AttemptState.GIVEN_UP and attempt.tx is not None:
            self._count("set-ups never ended")
            self._log("warning", "no final response after CANCEL", attempt.call.name, office=attempt.office)
            self._record_dropped(attempt, attempt.tx.flow)
            self.transactions.discard(attempt.tx)
            attempt.state = AttemptState.ENDED
            self._release_circuits(attempt)
            self._drop_if_ended(attempt.call)

    def _record_dropped(self, attempt: Attempt, flow: int) -> None:
        """Remember a set-up that was dropped without a final response.

        If a 2xx to it arrives later, `_handle_stray_success` releases the call.
        """
        if attempt.invite is not None:
            if len(self.dropped_set_ups) >= MAX_DROPPED_SET_UPS:
                del self.dropped_set_ups[next(iter(self.dropped_set_ups))]
            self.dropped_set_ups[attempt.invite.call_id, attempt.invite.from_tag] = flow

    def _request_cancel(self, now: int, attempt: Attempt) -> None:
        """Cancel an attempt: now if a provisional response has arrived, else when one does."""
        attempt.cancel_pending = True
        tx = attempt.tx
        if tx is not None and tx.state is TransactionState.PROCEEDING:
            self._send_pending_cancel(now, attempt)

    def _send_pending_cancel(self, now: int, attempt: Attempt) -> None:
        """Send a requested CANCEL.  Only allowed after a provisional response (RFC 3261, section 9.1)."""
        if attempt.cancel_pending and attempt.tx is not None and attempt.invite is not None:
            attempt.cancel_pending = False
            self._send_request(now, attempt.tx.flow, make_cancel(attempt.invite))
            # If the end were reported at once, the module could send the next attempt while the far end can
            # still answer this one; if only the final response reported it, a lost response would hold the
            # call.  So it is reported with the final response, at the latest one release wait after the
            # CANCEL.  Cost: a call whose 487 is lost waits twice as long.
            self._schedule(
                now + self.settings.rules.release_wait, lambda at: self._cancel_timed_out(at, attempt)
            )
            self._schedule(
                now + self.transactions.times.transaction_timeout,
                lambda at: self._final_response_timed_out(at, attempt),
            )

    def _reject_call(self, now: int, call: Call, answer: Message) -> None:
        """Send the final response to a call that is not established."""
        if call.state is CallState.OFFERED:
            self.transactions.respond(now, call.tx, answer)
            self._finish_call(now, call)

    def _finish_call(self, now: int, call: Call) -> None:
        """End the call toward its caller.  A pending attempt is cancelled and reported when it ends."""
        call.state = CallState.ENDED
        if call.trying_timer is not None:
            call.trying_timer.cancel()
        self._release_circuits(call)
        attempt = call.attempt
        if attempt is not None and attempt.state is AttemptState.PENDING:
            attempt.state = AttemptState.CANCELLING
            self._request_cancel(now, attempt)
        self._drop_if_ended(call)

    def _report_attempt_end(
        self, now: int, attempt: Attempt, outcome: io.Outcome, cause: io.Cause, message: Message | None,
        wait: int,
    ) -> None:  # fmt: skip
        """Report the end of an attempt to the module, with the circuit figures of the group."""
        call = attempt.call
        if call.to_own_lines:
            return
        group = self.trunk_groups.get(attempt.number)
        self.events.append(
            io.AttemptEnded(
                call.name,
                attempt.leg,
                attempt.office,
                outcome,
                cause,
                call.state is CallState.ENDED,
                now - attempt.sent_at,
                wait,
                mapping.load_report(group, message),
            )
        )
        if group is not None and attempt.number in self.reported_circuits:
            self.reported_circuits[attempt.number] = (group.free, group.size)
        self._drop_if_ended(call)

    @staticmethod
    def _call_name(leg: Call | Attempt) -> str:
        return leg.name if isinstance(leg, Call) else leg.call.name

    def _send_bye(self, now: int, leg: Call | Attempt, reason: str) -> None:
        """Send a BYE on a leg.  Its circuits are released when the response arrives."""
        if leg.dialog is None:
            return
        if isinstance(leg, Attempt):
            if leg.state in (AttemptState.RELEASING, AttemptState.ENDED):
                return
            leg.state = AttemptState.RELEASING
        bye = leg.dialog.request("BYE", self._via(leg.dialog.flow))
        bye.set("reason", reason)
        self._send_request(now, leg.dialog.flow, bye).owner = leg

    def _release_done(self, leg: Call | Attempt) -> None:
        """Our BYE was answered, or its transaction failed: release the circuits."""
        self._end_leg(leg)
        if isinstance(leg, Attempt):
            self._drop_if_ended(leg.call)

    def _end_leg(self, leg: Call | Attempt) -> None:
        """Release the circuits of a leg and remove its dialog."""
        self._release_circuits(leg)
        self._detach_leg(leg)
        if isinstance(leg, Attempt):
            leg.state = AttemptState.ENDED
            if leg.invite is not None:
                self.dialogs.pop((leg.invite.call_id, leg.invite.from_tag), None)
        else:
            self.dialogs.pop((leg.invite.call_id, leg.tag), None)

    def _end_standing_call(self, now: int, call: Call, outcome: io.Outcome) -> None:
        """End a standing call and report it to the module, once."""
        if call.state is CallState.STANDING:
            call.state = CallState.ENDED
            if (
                self.meter is not None
                and call.attempt is not None
                and not (call.to_own_lines or call.transit)
            ):
                self.meter.record_call_ended(now, call.dest, call.class_no, now - call.attempt.sent_at)
            if call.attempt is not None:
                self._report_attempt_end(now, call.attempt, outcome, io.Cause.NONE, None, 0)
        self._drop_if_ended(call)

    def _cut_leg(self, now: int, leg: Call | Attempt, cause: int, lost: bool) -> None:
        """Cut a call because circuits or the connection of this leg are lost.

        `lost`: the connection is lost, so nothing can be sent on this leg.
        """
        call = leg if isinstance(leg, Call) else leg.call
        reason = fields.reason(cause, "cut")
        if isinstance(leg, Attempt) and leg.state in OPEN_STATES:
            # The end is reported when the far end has released the attempt.
            leg.state, leg.cancelled_by_loss = AttemptState.CANCELLING, True
            self._request_cancel(now, leg)
            return
        if isinstance(leg, Call) and leg.state is CallState.OFFERED:
            self._report_caller_gone(now, leg)
            self._reject_call(now, leg, response(leg.invite, 503, leg.tag))
            return
        if lost:
            self._end_leg(leg)
        else:
            self._send_bye(now, leg, reason)
        if call.state is CallState.STANDING:
            other = call.attempt if leg is call else call
            if other is not None:
                self._send_bye(now, other, reason)
            self._end_standing_call(now, call, io.Outcome.CUT)
        self._drop_if_ended(call)

    def _drop_if_ended(self, call: Call) -> None:
        """Remove a call from the table once the call and its attempt have ended."""
        attempt = call.attempt
        if call.state is CallState.ENDED and (attempt is None or attempt.state is AttemptState.ENDED):
            if self.calls.get(call.name) is call:
                # Break the reference cycles, so that the objects are freed now by reference counting and not
                # only by a later run of the garbage collector.
                call.tx.owner = None
                call.attempt = None
                del self.calls[call.name]
                remaining = self.call_count_by_source.get(call.source, 0) - 1
                if remaining > 0:
                    self.call_count_by_source[call.source] = remaining
                else:
                    self.call_count_by_source.pop(call.source, None)
                self.calls_by_request.pop((call.invite.call_id, call.invite.from_tag, call.invite.cseq), None)

    def _report_caller_gone(self, now: int, call: Call) -> None:
        """Report that the caller has left before the call was answered."""
        self._log("debug", "caller gone", call.name)
        if not call.to_own_lines:
            self.events.append(io.CallGone(call.name))
