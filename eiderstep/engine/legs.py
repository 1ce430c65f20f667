"""The legs of calls: their dialogs, circuits and ends.  What is done to both sides when one side ends.

`Engine` in core.py stands on this; here nothing of the module's actions and nothing of offers is known.
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
from eiderstep.engine.circuits import Ledger
from eiderstep.engine.timers import Entry, Timers
from eiderstep.sip import fields
from eiderstep.sip.dialog import cancel
from eiderstep.sip.message import Message, response
from eiderstep.sip.transaction import State, Times, Transaction, Transactions
from eiderstep.sizing.meter import Meter
from eiderstep.trust.party import NOBODY, Book, Party, same

FORGOTTEN = 4096  # set-ups remembered whose far end has never answered
OPEN = (AttemptState.OUT, AttemptState.CANCELLING)


class Legs:
    """The call table and what stands on it.  `here` is the `host:port` that goes into Via and Contact."""

    def __init__(self, settings: ServerSettings, here: str, ids: Random | None = None) -> None:
        """`ids`: where identities come from.

        Danger: identities that can be guessed, or that come again after a restart, let others speak within
        calls that stand.  In service they are the system's random bits; only a lab draws them from the seed.
        """
        self.settings, self.here = settings, here
        self.ids = ids or Random(settings.seed ^ 0x5EED)
        times = settings.timers
        self.transactions = Transactions(Times(times.t1, times.t2, times.t4))
        self.out = self.transactions.out
        self.calls: dict[str, Call] = {}
        self.dialogs: dict[tuple[str, str], Call | Attempt] = {}
        self.drawn: dict[str, int] = {}  # calls in the table, by the source that asked for them
        self.merged: dict[tuple[str, str, int], Call] = {}
        self.on_flow: dict[int, dict[Call | Attempt, None]] = {}
        self.ledgers = {p.number: Ledger(p.circuits, settings.number, p.number) for p in settings.peers}
        self.told: dict[int, tuple[int, int]] = {}  # circuits free and in service, as the module has them
        self.dirty: set[int] = set(self.ledgers)
        self.unreliable: set[int] = set()  # flows that are datagrams
        self.events: list[io.Event] = []
        self.effects: list[fx.Effect] = []
        self.verbose = False
        self.meter: Meter | None = None
        self.counts: dict[str, int] = {}
        self.timers = Timers()
        self.book = Book(settings)
        self.forgotten: dict[tuple[str, str], int] = {}  # set-ups dropped without a final word, latest last
        self.parties: dict[int, Party] = {}  # by flow; one that nobody introduced is nobody's

    def _id(self) -> str:
        """64 random bits (section 19.3 asks for 32)."""
        return f"{self.ids.getrandbits(64):016x}"

    def meet(self, flow: int, party: Party) -> None:
        """Who is at the other end of a flow, before the first message from there."""
        self.parties[flow] = party

    def who(self, flow: int) -> Party:
        return self.parties.get(flow, NOBODY)

    def same_peer(self, flow: int, other: int) -> bool:
        """Whether both flows lead to one far end: the same connection, or an exchange that has dialled anew
        while its old connection still counts."""
        return flow == other or same(self.who(flow), self.who(other))

    def _via(self, flow: int) -> str:
        transport = "UDP" if flow in self.unreliable else "TCP"
        return f"SIP/2.0/{transport} {self.here};branch=z9hG4bK{self._id()}"

    def _ask(self, now: int, flow: int, message: Message) -> Transaction:
        """Begin a client transaction on a flow."""
        return self.transactions.send(now, flow, message, flow not in self.unreliable)

    def _contact(self) -> str:
        return f"<sip:{self.settings.name}@{self.here}>"

    def _at(self, due: int, what: Callable[[int], None]) -> Entry:
        """Do something at a time; the entry can be called off."""
        return self.timers.at(due, what)

    def _log(self, level: str, event: str, call: str = "", **more: Any) -> None:
        if level != "debug" or self.verbose:
            self.effects.append(fx.Log(level, event, call, more))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1

    def _free(self, leg: Call | Attempt) -> None:
        if leg.ledger is not None and leg.circuits:
            leg.ledger.release(leg.circuits, leg)
            leg.circuits = ()
            self.dirty.add(leg.ledger.peer)

    def _stand_on(self, flow: int, leg: Call | Attempt) -> None:
        self.on_flow.setdefault(flow, {})[leg] = None

    def _leave(self, leg: Call | Attempt) -> None:
        """The leg's dialog is over."""
        if leg.dialog is not None:
            legs = self.on_flow.get(leg.dialog.flow)
            if legs is not None:
                legs.pop(leg, None)
                if not legs:
                    del self.on_flow[leg.dialog.flow]

    def _silent_cancel(self, now: int, attempt: Attempt) -> None:
        if attempt.state is AttemptState.CANCELLING:
            attempt.state = AttemptState.GIVEN_UP
            self._attempt_over(now, attempt, io.Outcome.CANCELLED, io.Cause.NONE, None, 0)

    def _never_ended(self, now: int, attempt: Attempt) -> None:
        """No final word in 64 x T1 after a CANCEL: the set-up counts as cancelled (section 9.1).

        Danger: its circuits would stay seized for ever.  Hurts where the far end still holds them: it then
        refuses the next set-up on them, which is a call turned away and no more.
        """
        if attempt.state is AttemptState.GIVEN_UP and attempt.tx is not None:
            self._count("set-ups never ended")
            self._log("warning", "set-up never ended", attempt.call.name, office=attempt.office)
            self._forget(attempt, attempt.tx.flow)
            self.transactions.forget(attempt.tx)
            attempt.state = AttemptState.OVER
            self._free(attempt)
            self._tidy(attempt.call)

    def _forget(self, attempt: Attempt, flow: int) -> None:
        """A set-up without a final word is dropped; a 2xx that comes after all is ended (`_late_success`)."""
        if attempt.invite is not None:
            if len(self.forgotten) >= FORGOTTEN:
                del self.forgotten[next(iter(self.forgotten))]
            self.forgotten[attempt.invite.call_id, attempt.invite.from_tag] = flow

    def _call_off(self, now: int, attempt: Attempt) -> None:
        attempt.pressed = True
        tx = attempt.tx
        if tx is not None and tx.state is State.PROCEEDING:
            self._press(now, attempt)

    def _press(self, now: int, attempt: Attempt) -> None:
        """Send the CANCEL once a provisional response allows it (section 9.1)."""
        if attempt.pressed and attempt.tx is not None and attempt.invite is not None:
            attempt.pressed = False
            self._ask(now, attempt.tx.flow, cancel(attempt.invite))
            # Danger: told at once that it is over, the module might send again while the far end still
            # answers; told only by the far end, never where its answers are lost.  So: its word, or one
            # release wait after the CANCEL.  Hurts a call whose 487 is lost: it waits twice as long.
            self._at(now + self.settings.rules.release_wait, lambda at: self._silent_cancel(at, attempt))
            self._at(now + self.transactions.times.give_up, lambda at: self._never_ended(at, attempt))

    def _final(self, now: int, call: Call, answer: Message) -> None:
        """The one final answer that is no success."""
        if call.state is CallState.OFFERED:
            self.transactions.respond(now, call.tx, answer)
            self._finish(now, call)

    def _finish(self, now: int, call: Call) -> None:
        """The call is over for its caller; what is still out is called off, and told of when it ends."""
        call.state = CallState.OVER
        if call.trying is not None:
            call.trying.call_off()
        self._free(call)
        attempt = call.attempt
        if attempt is not None and attempt.state is AttemptState.OUT:
            attempt.state = AttemptState.CANCELLING
            self._call_off(now, attempt)
        self._tidy(call)

    def _attempt_over(
        self, now: int, attempt: Attempt, outcome: io.Outcome, cause: io.Cause, message: Message | None,
        wait: int,
    ) -> None:  # fmt: skip
        call = attempt.call
        if call.local:
            return
        ledger = self.ledgers.get(attempt.number)
        self.events.append(
            io.AttemptEnded(
                call.name,
                attempt.leg,
                attempt.office,
                outcome,
                cause,
                call.state is CallState.OVER,
                now - attempt.sent_at,
                wait,
                mapping.report(ledger, message),
            )
        )
        if ledger is not None and attempt.number in self.told:
            self.told[attempt.number] = (ledger.free, ledger.size)
        self._tidy(call)

    @staticmethod
    def _name(leg: Call | Attempt) -> str:
        return leg.name if isinstance(leg, Call) else leg.call.name

    def _hang_up(self, now: int, leg: Call | Attempt, reason: str) -> None:
        """BYE on one leg; its circuits come back with the answer."""
        if leg.dialog is None:
            return
        if isinstance(leg, Attempt):
            if leg.state in (AttemptState.RELEASING, AttemptState.OVER):
                return
            leg.state = AttemptState.RELEASING
        bye = leg.dialog.request("BYE", self._via(leg.dialog.flow))
        bye.set("reason", reason)
        self._ask(now, leg.dialog.flow, bye).owner = leg

    def _released(self, leg: Call | Attempt) -> None:
        """Our BYE is answered, or never will be: circuits back."""
        self._end_leg(leg)
        if isinstance(leg, Attempt):
            self._tidy(leg.call)

    def _end_leg(self, leg: Call | Attempt) -> None:
        self._free(leg)
        self._leave(leg)
        if isinstance(leg, Attempt):
            leg.state = AttemptState.OVER
            if leg.invite is not None:
                self.dialogs.pop((leg.invite.call_id, leg.invite.from_tag), None)
        else:
            self.dialogs.pop((leg.invite.call_id, leg.tag), None)

    def _over(self, now: int, call: Call, outcome: io.Outcome) -> None:
        """A standing call ends; the module is told once."""
        if call.state is CallState.STANDING:
            call.state = CallState.OVER
            if self.meter is not None and call.attempt is not None and not (call.local or call.transit):
                self.meter.ended(now, call.dest, call.cls, now - call.attempt.sent_at)
            if call.attempt is not None:
                self._attempt_over(now, call.attempt, outcome, io.Cause.NONE, None, 0)
        self._tidy(call)

    def _cut(self, now: int, leg: Call | Attempt, cause: int, lost: bool) -> None:
        """A leg's circuits or connection are gone.  `lost`: nothing can be sent on it any more."""
        call = leg if isinstance(leg, Call) else leg.call
        reason = fields.reason(cause, "cut")
        if isinstance(leg, Attempt) and leg.state in OPEN:
            leg.state, leg.cut = AttemptState.CANCELLING, True  # told of when the far end has let go
            self._call_off(now, leg)
            return
        if isinstance(leg, Call) and leg.state is CallState.OFFERED:
            self._gone(now, leg)
            self._final(now, leg, response(leg.invite, 503, leg.tag))
            return
        if lost:
            self._end_leg(leg)
        else:
            self._hang_up(now, leg, reason)
        if call.state is CallState.STANDING:
            other = call.attempt if leg is call else call
            if other is not None:
                self._hang_up(now, other, reason)
            self._over(now, call, io.Outcome.CUT)
        self._tidy(call)

    def _tidy(self, call: Call) -> None:
        """Drop a call from the table once nothing of it is left."""
        attempt = call.attempt
        if call.state is CallState.OVER and (attempt is None or attempt.state is AttemptState.OVER):
            if self.calls.get(call.name) is call:
                # No cycles: what is over is freed now, by its count, and not some day by the collector.
                call.tx.owner = None
                call.attempt = None
                del self.calls[call.name]
                left = self.drawn.get(call.source, 0) - 1
                if left > 0:
                    self.drawn[call.source] = left
                else:
                    self.drawn.pop(call.source, None)
                self.merged.pop((call.invite.call_id, call.invite.from_tag, call.invite.cseq), None)

    def _gone(self, now: int, call: Call) -> None:
        """The caller has left a call that is not answered yet."""
        self._log("debug", "caller gone", call.name)
        if not call.local:
            self.events.append(io.CallGone(call.name))
