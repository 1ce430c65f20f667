"""The call table on the platform's wire: sans-I/O, no clock, no routing.

In: messages of callers and offices, links and connections that come and go, the list of offices, the time.
Out: `out` (flow, bytes) and the effects that `flush` returns.  Each set-up is offered to the module, and each
of its actions is carried out as it stands.  Flows are numbers that the host gives to connections.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Sequence
from itertools import chain
from typing import Any

from eiderstep import interface as io
from eiderstep.decide import Controller
from eiderstep.engine import effects as fx
from eiderstep.engine.timers import Mind, Timers
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.node import mapping
from eiderstep.node.owed import Owed
from eiderstep.node.records import Attempt, AttemptState, Call, CallState

MS = 1_000_000
SECOND = 1000 * MS
OPEN = (AttemptState.WAITING, AttemptState.OUT)
ENDED_KEPT = 4096  # ends of calls that we do not know, remembered for an `at` that crosses them
LONGEST_HOLDS = 30  # mean holding times; one call in ten million millions stands longer


class Calls:
    """One call server's calls.  `flush` hands what happened to the module and carries out what it says."""

    def __init__(
        self, settings: io.Settings, names: Sequence[str], dial_time: int, seed: int,
        mind: Mind | None = None, most: int = 20_000,
    ) -> None:  # fmt: skip
        """`names`: of the classes; `dial_time`: how long a set-up waits for a link; `most`: calls held."""
        self.dial_time, self.most = dial_time, most
        self.reader = mapping.Reader(settings, names)
        self.mind = (mind or Controller)(settings, seed)
        self.calls: dict[str, Call] = {}
        self.offices: set[str] = set()  # on the list, draining ones too
        self.links: dict[str, list[int]] = {}  # flows by office
        self.linked: dict[int, str] = {}  # office by flow
        self.on_link: dict[int, dict[str, Attempt]] = {}  # set-ups out on a flow
        self.doubted: set[int] = set()  # links under test, of which nothing was heard since
        self.waiting: dict[str, list[Attempt]] = {}  # for a link, by office
        self.callers: dict[int, str] = {}  # source by flow
        self.asked: dict[int, set[str]] = {}  # calls that a caller's flow waits for
        self.standing: dict[str, set[str]] = {}  # calls that stand, by office
        self.stood: dict[int, set[str]] = {}  # calls that stand, by the caller's flow
        # Danger: a group's state comes on each link to its office.  The copy on the second one is no news,
        # costs a decision, and gives back circuits that the module took off for what it sent in between.
        # The first word on a new link always counts: what was lost with the old one changed nothing there.
        self.states: dict[str, tuple[bytes, int]] = {}  # the last by office, and the link that it came on
        self.free: dict[str, int] = {}  # circuits to an office: as told last, less those sent for since
        self.owed = Owed()
        self.ends: OrderedDict[str, int] = OrderedDict()  # calls unknown here whose end was told, and cause
        self.timers = Timers()
        self.events: list[io.Event] = []
        self.effects: list[fx.Effect] = []
        self.out: list[tuple[int, bytes]] = []
        self.counts: dict[str, int] = {}
        self.longest = LONGEST_HOLDS * max(c.mean_hold for c in settings.classes)

    # -- callers -------------------------------------------------------------------------------------------

    def caller_came(self, flow: int, source: str) -> None:
        """A connection from a caller.  What is owed to its source goes there once it has spoken."""
        self.callers[flow], self.asked[flow] = source, set()

    def caller_spoke(self, now: int, flow: int, message: Message, waited: int = 0) -> bool:
        """A message of a caller; `waited`: how long it may have lain unread (ns).

        Tells whether the connection is of further use.
        """
        self._pay(now, self.callers[flow], flow)
        if message.kind == isup.IAM:
            return self._set_up(now, flow, message, waited)
        if message.kind == isup.REL:
            self._caller_released(now, message)
        elif message.kind == isup.TEST:
            passed = {isup.CAUSE: b"\1"}
            self.out.append((flow, Message(isup.TESTED, message.call, passed).encode()))
        elif message.kind == isup.RLC:
            self.owed.heard(flow, message.call)
        elif message.kind != isup.ACM:
            self._count("unfit from callers")
            return False
        return True

    def caller_lost(self, now: int, flow: int) -> None:
        """A caller's connection is gone: nobody waits for the set-ups open on it; what stands goes on."""
        self.callers.pop(flow, None)
        for name in self.asked.pop(flow, ()):
            self._gone(now, self.calls[name])
        self._written_off(now, flow)

    def _set_up(self, now: int, flow: int, message: Message, waited: int) -> bool:
        """Danger: a set-up under the id of a call that lives would end that one's attempts or take its
        answer.  It is refused where another connection holds the id; where its own does, a refusal would be
        read as the first one's, so the connection goes.  Hurts a caller that draws one id twice.
        """
        try:
            offer = self.reader.offer(now - waited, message)
        except mapping.Unfit as unfit:
            self._count("unfit set-ups")
            self._log("info", "set-up not served", why=str(unfit), flow=flow)
            if message.call in self.asked.get(flow, ()):
                return False
            self.out.append((flow, isup.release(message.call, isup.INVALID)))
            return True
        held = self.calls.get(message.call)
        if held is None and len(self.calls) >= self.most:
            self._count("calls at their limit")
            self.out.append((flow, isup.release(message.call, isup.CONGESTION)))
            return True
        if isinstance(offer, str):
            self._stands_already(now, flow, message, offer, held)
            return True
        if held is not None:
            self._count("ids used twice")
            if message.call in self.asked.get(flow, ()):
                return False
            self.out.append((flow, isup.release(message.call, isup.TEMPORARY)))
            return True
        self.calls[message.call] = Call(message, offer, flow)
        self.asked[flow].add(message.call)
        self.events.append(offer)
        return True

    def _stands_already(self, now: int, flow: int, message: Message, office: str, held: Call | None) -> None:
        """`at`: a call that stands at an office, told to us who know nothing of it after a restart.

        Danger: its end may have come first, on the link that we opened; then it would stand here for ever.
        """
        if held is not None:
            if held.state is CallState.STANDING and held.flow not in self.callers:
                self._leave(held)
                self._stand_on(held, flow)
                held.source = self.callers[flow]
            return
        ended = self.ends.pop(message.call, None)
        if ended is not None or office not in self.offices:
            self.out.append((flow, isup.release(message.call, isup.TEMPORARY if ended is None else ended)))
            if ended is not None:
                self._to_office(now, office, message.call, ended)
            return
        call = self.calls[message.call] = Call(message, None, flow)
        self._stands(now, call, office)

    def _caller_released(self, now: int, message: Message) -> None:
        """The set-up is given up, or the caller ends a call that stands; on whatever connection."""
        call = self.calls.get(message.call)
        if call is None:
            self._remember_end(message.call, message.cause or isup.NORMAL)
        elif call.state is CallState.OFFERED:
            self._gone(now, call)
        else:
            self._over(now, call, io.Outcome.CANCELLED, message.cause or isup.NORMAL, True, False)

    def _gone(self, now: int, call: Call) -> None:
        """The caller waits no more: no answer is owed, and what is out for it is given up."""
        self.events.append(io.CallGone(call.name))
        self._settled(now, call)

    def _settled(self, now: int, call: Call) -> None:
        """No answer is owed any more: the call goes, and what is out for it is given up."""
        call.state = CallState.OVER
        self.calls.pop(call.name, None)
        waiting = self.asked.get(call.flow)
        if waiting is not None:
            waiting.discard(call.name)
        if call.attempt is not None and call.attempt.state in OPEN:
            self._give_up(now, call.attempt, io.Outcome.CANCELLED, True)

    # -- offices -------------------------------------------------------------------------------------------

    def news(self, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        """The list of offices has changed."""
        if kind not in (io.ListKind.CHANGES, io.ListKind.FAILED):
            self.offices.clear()
        for entry in entries:
            if entry.state is io.OfficeState.GONE:
                self.offices.discard(entry.office)
                self.free.pop(entry.office, None)
                self.states.pop(entry.office, None)
            else:
                self.offices.add(entry.office)
        self.events.append(io.OfficeList(kind, entries))

    def link_up(self, now: int, office: str, flow: int) -> None:
        """A link to an office stands: what waited for one goes out."""
        self.linked[flow] = office
        self.on_link[flow] = {}
        self.states.pop(office, None)
        self.links.setdefault(office, []).append(flow)
        self._pay(now, office, flow)
        for attempt in self.waiting.pop(office, ()):
            if attempt.state is AttemptState.WAITING:
                self._transmit(now, attempt, flow)

    def link_lost(self, now: int, flow: int, silent: bool = False) -> None:
        """A link is gone: each set-up on it ends once, and what stands goes on.

        `silent`: it was given up because nothing came, so nothing was heard of the set-ups either.
        """
        office = self.linked.pop(flow, "")
        self.doubted.discard(flow)
        flows = self.links.get(office, [])
        if flow in flows:
            flows.remove(flow)
        if not flows:
            self.links.pop(office, None)
        outcome = io.Outcome.NO_ANSWER if silent else io.Outcome.CUT
        for attempt in self.on_link.pop(flow, {}).values():
            if attempt.state is AttemptState.OUT:
                self._end(now, attempt, outcome, io.Cause.NONE, None, False)
        self._written_off(now, flow)

    def unreachable(self, now: int, office: str) -> None:
        """No link to an office came up: what waited for one ends, and proves that it never ran."""
        for attempt in self.waiting.pop(office, ()):
            if attempt.state is AttemptState.WAITING:
                self._end(now, attempt, io.Outcome.UNREACHABLE, io.Cause.NONE, None, False)

    def born(self, now: int, office: str, started: int) -> None:
        """An office has started anew: what was set up there before is cut, what came since is not.

        Danger: the list tells of it later than its first calls; cut with the rest, good calls would be lost.
        """
        for name in list(self.standing.get(office, ())):
            attempt = self.calls[name].attempt
            if attempt is not None and attempt.sent_at < started:
                self._cut(now, name, isup.TEMPORARY)

    def office_lost(self, now: int, office: str) -> None:
        """An office is dead, or counts as dead, so long has it been silent: what stood there is cut."""
        for name in list(self.standing.get(office, ())):
            self._cut(now, name, isup.TEMPORARY)

    def office_spoke(self, now: int, flow: int, message: Message) -> bool:
        """A message of an office.  Tells whether the link is of further use."""
        office = self.linked.get(flow)
        if office is None:
            return False
        self.doubted.discard(flow)
        kind, call = message.kind, self.calls.get(message.call)
        if kind == isup.STATE:
            raw = message.parameters.get(isup.REPORT, b"")
            told, by = self.states.get(office, (b"", flow))
            if raw == told and by != flow:
                return True
            report = mapping.report(message)
            if report is None:
                return False
            self.states[office] = (raw, flow)
            self._told(office, report)
            self.events.append(io.OfficeHeard(office, True, True, 0, report))
        elif kind == isup.ANM:
            return self._answer(now, flow, message)
        elif kind == isup.REL:
            attempt = self.on_link[flow].get(message.call)
            if attempt is not None and attempt.state is AttemptState.OUT:
                return self._refused(now, attempt, message)
            if call is not None and call.state is CallState.STANDING and call.office == office:
                cut = message.cause != isup.NORMAL
                outcome = io.Outcome.CUT if cut else io.Outcome.RELEASED
                report = mapping.report(message)
                self._over(now, call, outcome, message.cause or isup.TEMPORARY, False, True, report)
            elif call is None:
                self._remember_end(message.call, message.cause or isup.NORMAL)
            self.out.append((flow, Message(isup.RLC, message.call).encode()))
        elif kind in (isup.IAM, isup.TEST):
            self._count("unfit from offices")
            return False
        return True

    def _answer(self, now: int, flow: int, message: Message) -> bool:
        """Danger: a second answer, one of an id that nobody sent there, or one that crossed our giving up is
        not this call's.  It is dropped; an office that answered what we gave up has our release on its way.
        """
        attempt = self.on_link[flow].get(message.call)
        if attempt is None or attempt.state is not AttemptState.OUT:
            self._count("answers dropped")
            return True
        if now >= attempt.until:
            self._until(now, attempt)
            return True
        description = message.parameters.get(isup.DESCRIPTION, b"")
        if not mapping.readable(description):
            self._count("answers spoilt")
            return False
        call = attempt.call
        attempt.state = AttemptState.OVER
        self._off_link(attempt)
        self.events.append(io.CallStands(call.name, attempt.leg, attempt.office, now - attempt.sent_at))
        report = mapping.report(message)
        if report is not None and isup.REPORT in message.parameters:
            self.events.append(io.OfficeHeard(attempt.office, False, True, now - attempt.sent_at, report))
        passed = Message(isup.ANM, call.name, {isup.DESCRIPTION: description})
        self.out.append((call.flow, passed.encode()))
        self.asked[call.flow].discard(call.name)
        self._stands(now, call, attempt.office)
        return True

    def _refused(self, now: int, attempt: Attempt, message: Message) -> bool:
        report = mapping.report(message)
        if report is None or message.cause is None:
            self._count("releases spoilt")
            return False
        outcome, cause = mapping.outcome(message)
        self._end(now, attempt, outcome, cause, report, False)
        return True

    # -- what stands ---------------------------------------------------------------------------------------

    def _stands(self, now: int, call: Call, office: str) -> None:
        call.state, call.office, call.source = CallState.STANDING, office, self.callers[call.flow]
        call.slim()
        self.standing.setdefault(office, set()).add(call.name)
        self._stand_on(call, call.flow)
        call.guard = self.timers.at(now + self.longest, lambda at: self._too_long(at, call))

    def _stand_on(self, call: Call, flow: int) -> None:
        call.flow = flow
        self.stood.setdefault(flow, set()).add(call.name)

    def _leave(self, call: Call) -> None:
        names = self.stood.get(call.flow, set())
        names.discard(call.name)
        if not names:
            self.stood.pop(call.flow, None)

    def calls_on(self, flow: int) -> int:
        """How much hangs on a caller's connection: 2 for an open set-up, 1 for a call that stands, else 0."""
        return 2 if self.asked.get(flow) else int(flow in self.stood)

    def forget(self, now: int) -> None:
        """Now and then: let go of what nobody came for."""
        self.owed.forget(now)

    def _too_long(self, now: int, call: Call) -> None:
        """Danger: a call whose end was never told, or that an `at` made up, would be held for ever."""
        self._count("ended as too long")
        self._cut(now, call.name, isup.RECOVERY)

    def _cut(self, now: int, name: str, cause: int) -> None:
        """A call that stood is ended from here, towards both sides."""
        self._over(now, self.calls[name], io.Outcome.CUT, cause, True, True)

    def _over(
        self, now: int, call: Call, outcome: io.Outcome, cause: int, to_office: bool, to_caller: bool,
        report: io.LoadReport | None = None,
    ) -> None:  # fmt: skip
        """A call that stood is over; whoever does not know yet is told."""
        call.state = CallState.OVER
        del self.calls[call.name]
        if call.guard is not None:
            call.guard.call_off()
        self._leave(call)
        names = self.standing[call.office]
        names.discard(call.name)
        if not names:
            del self.standing[call.office]
        if call.attempt is not None:
            took, leg = now - call.attempt.sent_at, call.attempt.leg
            self.events.append(
                io.AttemptEnded(
                    call.name, leg, call.office, outcome, io.Cause.NONE, True, took, report=report
                )
            )
        if to_office:
            self._to_office(now, call.office, call.name, cause)
        if to_caller:
            self._to_caller(now, call, cause)

    def _to_office(self, now: int, office: str, name: str, cause: int) -> None:
        self.owed.owe(now, office, name, isup.release(name, cause))
        flows = self.links.get(office)
        if flows:
            self._pay(now, office, flows[-1])

    def _to_caller(self, now: int, call: Call, cause: int) -> None:
        """The release goes where the set-up came from, else to its source, else where callers have calls
        standing, else it waits for its source."""
        self.owed.owe(now, call.source, call.name, isup.release(call.name, cause))
        flow = call.flow if call.flow in self.callers else self._reach(call.source)
        if flow is not None:
            self._pay(now, call.source, flow)

    def _reach(self, source: str) -> int | None:
        """A caller's connection, the newest of that source, else the newest where a call stands."""
        theirs = (flow for flow in reversed(self.callers) if self.callers[flow] == source)
        others = (flow for flow in reversed(self.callers) if flow in self.stood)
        return next(chain(theirs, others), None)

    def _pay(self, now: int, whom: str, flow: int) -> None:
        for name, data in self.owed.take(now, whom):
            self.out.append((flow, data))
            self.owed.sent(now, flow, whom, name, data)

    def _written_off(self, now: int, flow: int) -> None:
        """What was written on a lost connection and may not have arrived goes out on another."""
        for whom in self.owed.lost(now, flow):
            flows = self.links.get(whom)
            other = flows[-1] if flows else self._reach(whom) if whom not in self.offices else None
            if other is not None:
                self._pay(now, whom, other)

    def _remember_end(self, name: str, cause: int) -> None:
        self.ends[name] = cause
        self.ends.move_to_end(name)
        if len(self.ends) > ENDED_KEPT:
            self.ends.popitem(last=False)

    # -- attempts ------------------------------------------------------------------------------------------

    def _transmit(self, now: int, attempt: Attempt, flow: int) -> None:
        call = attempt.call
        attempt.state, attempt.flow = AttemptState.OUT, flow
        self.on_link[flow][call.name] = attempt
        wait = max((attempt.until - now) // MS, 1)
        self.out.append((flow, call.set_up(wait)))

    def _off_link(self, attempt: Attempt) -> None:
        if attempt.timer is not None:
            attempt.timer.call_off()
        self.on_link.get(attempt.flow, {}).pop(attempt.call.name, None)

    def _until(self, now: int, attempt: Attempt) -> None:
        """The attempt's time is up: it is given up, and the module told."""
        if attempt.state in OPEN:
            self._give_up(now, attempt, io.Outcome.NO_ANSWER, False)

    def _give_up(self, now: int, attempt: Attempt, outcome: io.Outcome, settled: bool) -> None:
        if attempt.state is AttemptState.OUT:
            self.out.append((attempt.flow, isup.release(attempt.call.name, isup.NORMAL)))
        self._end(now, attempt, outcome, io.Cause.NONE, None, settled)

    def _end(
        self, now: int, attempt: Attempt, outcome: io.Outcome, cause: io.Cause,
        report: io.LoadReport | None, settled: bool,
    ) -> None:  # fmt: skip
        """The one place where an attempt that never stood ends."""
        self._off_link(attempt)
        attempt.state = AttemptState.OVER
        call = attempt.call
        if call.attempt is attempt:
            call.attempt = None
        settled = settled or call.state is not CallState.OFFERED
        took = now - attempt.sent_at
        if attempt.flow < 0 and attempt.office in self.free:
            self.free[attempt.office] += call.width
            report = io.LoadReport(free=self.free[attempt.office])
        self._told(attempt.office, report)
        self.events.append(
            io.AttemptEnded(call.name, attempt.leg, attempt.office, outcome, cause, settled, took, 0, report)
        )

    def _told(self, office: str, report: io.LoadReport | None) -> None:
        """Danger: the module takes the circuits of a set-up off the free ones as it sends it.  One that never
        left changes nothing at the office, which then says nothing, and they would stay off until other calls
        come or go.  So the figure is kept here too, and told again.  Hurts by what others seized meanwhile.
        """
        if report is not None and report.free is not None:
            self.free[office] = report.free

    # -- the module's actions ------------------------------------------------------------------------------

    def due(self, now: int) -> None:
        """Run what is due."""
        self.timers.run(now)

    def next_due(self) -> int | None:
        """When `due` is wanted next (ns)."""
        return self.timers.next_due()

    def flush(self, now: int) -> list[fx.Effect]:
        """Hand the events of this moment to the module, carry out its actions, until nothing is left."""
        while self.events:
            events, self.events = self.events, []
            for action in self.mind.handle(now, events):
                ACTIONS[type(action)](self, now, action)
        effects, self.effects = self.effects, []
        return effects

    def _send(self, now: int, action: io.Send) -> None:
        call = self.calls.get(action.call)
        if call is None or call.state is not CallState.OFFERED or call.attempt is not None:
            # Its end stood in the batch that the module has just answered: nothing goes out.
            leg = call.legs if call is not None else 0
            report = io.LoadReport(free=self.free.get(action.office))
            none, never = io.Cause.NONE, io.Outcome.NOT_SENT
            self.events.append(
                io.AttemptEnded(action.call, leg, action.office, never, none, True, 0, 0, report)
            )
            return
        until = min(action.until or call.expires, call.expires)
        attempt = call.attempt = Attempt(call, call.legs, action.office, now, until)
        call.legs += 1
        if action.office in self.free:
            self.free[action.office] -= call.width
        if until <= now or action.office not in self.offices:
            outcome = io.Outcome.NO_ANSWER if until <= now else io.Outcome.UNREACHABLE
            self._end(now, attempt, outcome, io.Cause.NONE, None, False)
            return
        attempt.timer = self.timers.at(until, lambda at: self._until(at, attempt))
        flows = self.links.get(action.office)
        if flows:
            self._transmit(now, attempt, min(flows, key=self._burden))
            return
        self.waiting.setdefault(action.office, []).append(attempt)
        self.effects.append(fx.Dial(action.office))
        self.timers.at(now + self.dial_time, lambda at: self._never_dialled(at, attempt))

    def _burden(self, flow: int) -> tuple[bool, int]:
        return flow in self.doubted, len(self.on_link[flow])

    def oldest(self, flow: int) -> int | None:
        """When the set-up was sent that is out longest on a link (ns)."""
        return next((attempt.sent_at for attempt in self.on_link.get(flow, {}).values()), None)

    def _never_dialled(self, now: int, attempt: Attempt) -> None:
        if attempt.state is AttemptState.WAITING:
            self._end(now, attempt, io.Outcome.UNREACHABLE, io.Cause.NONE, None, False)

    def _refuse(self, now: int, action: io.Refuse) -> None:
        self._final(now, action.call, isup.CONGESTION, action.pause // MS)

    def _abandon(self, now: int, action: io.Abandon) -> None:
        self._final(now, action.call, isup.UNSPECIFIED, 0)

    def _final(self, now: int, name: str, cause: int, pause: int) -> None:
        call = self.calls.get(name)
        if call is None or call.state is not CallState.OFFERED:
            return
        if call.flow in self.callers:
            self.out.append((call.flow, isup.release(name, cause, pause)))
        self._settled(now, call)

    def _cancel(self, now: int, action: io.Cancel) -> None:
        call = self.calls.get(action.call)
        attempt = call.attempt if call is not None else None
        if attempt is not None and attempt.leg == action.leg and attempt.state in OPEN:
            self._give_up(now, attempt, io.Outcome.CANCELLED, False)

    def _set_timer(self, now: int, action: io.SetTimer) -> None:
        token = action.token
        self.timers.at(action.due, lambda at: self.events.append(io.TimerDue(token)))

    def _probe(self, now: int, action: io.Probe) -> None:
        """The platform has no message for it: settings allow none, and none is answered."""
        self.events.append(io.OfficeHeard(action.office, False, False, 0, io.LoadReport()))

    def _subscribe(self, now: int, action: io.Subscribe) -> None:
        """The change log is followed all the time."""

    def _note(self, now: int, action: io.Note) -> None:
        self._log("warning", action.text)

    def _log(self, level: str, event: str, call: str = "", **more: Any) -> None:
        self.effects.append(fx.Log(level, event, call, more))

    def _count(self, what: str) -> None:
        self.counts[what] = self.counts.get(what, 0) + 1


ACTIONS: dict[type, Callable[[Calls, int, Any], None]] = {
    io.Send: Calls._send,
    io.Refuse: Calls._refuse,
    io.Abandon: Calls._abandon,
    io.Cancel: Calls._cancel,
    io.SetTimer: Calls._set_timer,
    io.Probe: Calls._probe,
    io.Subscribe: Calls._subscribe,
    io.Note: Calls._note,
}
