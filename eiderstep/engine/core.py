"""The call engine: sans-I/O, no clock, no routing decision.

In: messages, lost and new connections, news of the register, the time.  Out: `out` (flow, bytes) and the
effects that `flush` returns.  Every call is offered to `Controller.handle` and every action of it is carried
out as it stands.  Requests that come in: requests.py; what is read from an INVITE: offers.py; what the
module's words mean in SIP: mapping.py.
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
from eiderstep.engine.legs import OPEN
from eiderstep.engine.requests import Requests
from eiderstep.engine.timers import Mind
from eiderstep.sip import fields
from eiderstep.sip.dialog import Dialog, acknowledge
from eiderstep.sip.message import Message, in_angle, request, response
from eiderstep.sip.parser import BadMessage
from eiderstep.sip.transaction import Answer, NewRequest, NoAnswer, State, Transaction
from eiderstep.trust.party import Party
from eiderstep.trust.rules import Act, refusal

NEVER = 2**63
BEGINNING = ("INVITE", "OPTIONS", "NOTIFY", "REGISTER", "SUBSCRIBE", "MESSAGE")


class ProbeOut:
    """An OPTIONS that the module asked for."""

    __slots__ = ("office", "sent_at")

    def __init__(self, office: str, sent_at: int) -> None:
        self.office, self.sent_at = office, sent_at


class Engine(Requests):
    """One exchange's calls.  `here` is the `host:port` that goes into Via and Contact."""

    def __init__(
        self, settings: ServerSettings, here: str, mind: Mind | None = None, ids: Random | None = None
    ) -> None:
        """`mind`: decides in place of the module.  `ids`: source of identities, the seed's if None."""
        super().__init__(settings, here, ids)
        decider: Mind = mind or Controller
        self.controller = decider(settings.module(), settings.seed)
        self.offices: dict[str, int] = {}
        self.current: dict[int, str] = {}
        self.finished = False

    # -- inputs --------------------------------------------------------------------------------------------

    def begin(self, now: int) -> None:
        """Start with the exchanges that the settings name, as last seen: the register tells what is stale."""
        if self.settings.lines:
            self.effects.append(fx.Dial(self.settings.lines))
        self.news(now, io.ListKind.REMEMBERED, self.settings.named())

    def message(self, now: int, flow: int, item: Message | BadMessage, reliable: bool = True) -> None:
        """A message, or what is wrong with one, from a connection."""
        if refusal(Act.ANYTHING, self.who(flow)):
            self._stranger(flow, item)
            return
        if isinstance(item, BadMessage):
            self._bad(flow, item)
            return
        self.transactions.receive(now, flow, item, reliable)
        self._take(now)

    def over_rate(self, now: int, flow: int, item: Message | BadMessage, reliable: bool, wait: int) -> None:
        """A message of a source that is over its rate: what begins something is told to come back, at once
        and without state; what ends something, or answers, is taken."""
        if isinstance(item, BadMessage) or item.status or item.method not in BEGINNING:
            self.message(now, flow, item, reliable)
            return
        self._count("over its rate")
        self._log("warning", "over its rate", flow=flow)
        self._stateless(flow, item, 503, wait)

    def link_up(self, now: int, address: str, flow: int) -> None:
        """A connection that we dialled stands."""
        self.links[address] = flow
        if flow not in self.parties:
            self.meet(flow, self.at_link(address))
        self._measure_link(now, self.offices.get(address, -1))
        self._log("info", "link up", address=address)

    def at_link(self, address: str) -> Party:
        """Who answers at an address that we dial over a plain link: the exchange that the list has there."""
        number = self.offices.get(address, -1)
        own = self.book.own if address == self.settings.lines else None
        return Party(frozenset([number] if number >= 0 else []), own, address)

    def flow_lost(self, now: int, flow: int) -> None:
        """A connection is lost: what was open on it fails, what stood on it is cut."""
        for address, mine in list(self.links.items()):
            if mine == flow:
                del self.links[address]
                self._measure_link(now, self.offices.get(address, -1))
                if address in self.offices or address == self.settings.lines:
                    self.effects.append(fx.Dial(address))
                self._log("warning", "link lost", address=address, standing=len(self.on_flow.get(flow, ())))
        self.transactions.broken(now, flow)
        self._take(now)
        for leg in list(self.on_flow.pop(flow, {})):
            self._cut(now, leg, fields.NETWORK_OUT, lost=True)
        self.parties.pop(flow, None)

    def news(self, now: int, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        """The register's word.  Entries of exchanges that we share no group with are passed over."""
        kept = tuple(e for e in entries if e.number in self.ledgers or e.number == self.settings.number)
        if kind not in (io.ListKind.CHANGES, io.ListKind.FAILED):
            named = {e.office for e in kept}
            for office in [o for o in self.offices if o not in named]:
                self._unlist(office)
        for entry in kept:
            if entry.state is io.OfficeState.GONE:
                self._unlist(entry.office)
            elif entry.number != self.settings.number:
                if entry.office not in self.offices:
                    self.effects.append(fx.Dial(entry.office))
                self.offices[entry.office] = entry.number
                flow = self.links.get(entry.office, -1)
                if flow >= 0 and not self.who(flow).proven:
                    self.meet(flow, self.at_link(entry.office))  # the address may be another exchange's now
                if entry.state is io.OfficeState.UP:
                    self.current[entry.number] = entry.office
                    self.told.pop(entry.number, None)
                    self.dirty.add(entry.number)
        self.book.heard(self.offices)
        for entry in kept if self.meter is not None else ():
            self._measure_link(now, entry.number)
        self.events.append(io.OfficeList(kind, kept))

    def resize(self, now: int, number: int, circuits: int) -> None:
        """The group toward an exchange has that many circuits from now on; standing calls keep theirs."""
        ledger = self.ledgers[number]
        ledger.resize(circuits)
        self.dirty.add(number)
        if self.meter is not None:
            self.meter.resized(now, number, circuits)
        self._log("info", "group resized", peer=number, circuits=circuits)

    def due(self, now: int) -> None:
        """Run what is due."""
        self.transactions.due(now)
        self._take(now)
        self.timers.run(now)

    def next_due(self) -> int | None:
        """When `due` is wanted next (ns)."""
        mine, theirs = self.timers.next_due() or NEVER, self.transactions.next_due() or NEVER
        return min(mine, theirs) if min(mine, theirs) < NEVER else None

    def stop(self, now: int) -> None:
        """An orderly stop: new calls are told to come back, those taken get their answer, the rest drains."""
        if not self.stopping:
            self.stopping = True
            self._at(now + self.settings.limits.drain, self._drain_over)

    def flush(self, now: int) -> list[fx.Effect]:
        """Hand the events of this moment to the module, carry out its actions, until nothing is left."""
        while True:
            if self.dirty:
                self._tell_circuits(now)
            if not self.events:
                break
            events, self.events = self.events, []
            for action in self.controller.handle(now, events):
                ACTIONS[type(action)](self, now, action)
        if self.stopping and not self.calls and not self.finished:
            self.finished = True
            self.effects.append(fx.Finished())
        effects, self.effects = self.effects, []
        return effects

    def busy_circuits(self) -> int:
        """Circuits that this end holds busy, over all groups."""
        return sum(len(ledger.busy) for ledger in self.ledgers.values())

    def _tell_circuits(self, now: int) -> None:
        for number in sorted(self.dirty):
            office, ledger = self.current.get(number), self.ledgers[number]
            if self.meter is not None:
                self.meter.level(now, number, len(ledger.busy), ledger.size)
            figures = (ledger.free, ledger.size)
            if office is not None and self.told.get(number) != figures:
                self.told[number] = figures
                self.events.append(io.OfficeHeard(office, True, True, 0, mapping.report(ledger, None)))
        self.dirty.clear()

    def _measure_link(self, now: int, number: int) -> None:
        if self.meter is not None:
            self.meter.link(now, number, self.current.get(number, "") in self.links)

    def _measure_send(self, call: Call, number: int) -> None:
        """Where a set-up goes, as the meter wants it: its own group, an alternate for want of circuits, or
        another exchange's group."""
        meter = self.meter
        assert meter is not None
        if call.transit or number != call.dest:
            meter.for_other(number, call.cls)
        if not call.transit and number != call.dest and not call.counted and self._no_circuits(call):
            call.counted = True
            meter.blocked(call.dest, call.cls, call.redial, True)

    def _no_circuits(self, call: Call) -> bool:
        own = self.ledgers.get(call.dest)
        return own is not None and own.total > 0 and own.free < call.width

    def _measure_loss(self, now: int, call: Call) -> None:
        """A call is turned away: for want of circuits of its own group, or for another cause."""
        meter = self.meter
        assert meter is not None
        if call.transit or call.local:
            return
        if not call.counted:
            if not call.legs and self._no_circuits(call):
                meter.blocked(call.dest, call.cls, call.redial, False)
            else:
                meter.refused(call.dest, call.cls)
        meter.gave_up(now, call.cls, call.invite.uri)

    def _unlist(self, office: str) -> None:
        number = self.offices.pop(office, None)
        if number is not None:
            self.effects.append(fx.HangUp(office))
            if self.current.get(number) == office:
                del self.current[number]

    def _take(self, now: int) -> None:
        events = self.transactions.events
        while events:
            found, events[:] = events[:], []
            for event in found:
                if isinstance(event, NewRequest):
                    self._request(now, event.tx, event.message)
                elif isinstance(event, Answer):
                    self._answer(now, event.tx, event.message)
                    if event.tx.state is State.TERMINATED:
                        if isinstance(event.tx.owner, Attempt) and event.tx.owner.tx is event.tx:
                            event.tx.owner.tx = None
                        event.tx.owner = None
                elif isinstance(event, NoAnswer):
                    self._no_answer(now, event.tx, event.broken)
                    event.tx.owner = None
                elif 200 <= event.message.status < 300 and event.message.cseq_method == "INVITE":
                    self._late_success(now, event.flow, event.message)

    def _answer(self, now: int, tx: Transaction, message: Message) -> None:
        owner = tx.owner
        if isinstance(owner, ProbeOut):
            if message.status >= 200:
                self._probed(now, owner, message)
        elif isinstance(owner, Attempt) and tx is owner.tx:
            self._attempt_answer(now, tx, owner, message)
        elif isinstance(owner, Call | Attempt) and message.status >= 200:
            self._released(owner)  # our BYE was answered

    def _attempt_answer(self, now: int, tx: Transaction, attempt: Attempt, message: Message) -> None:
        if message.status < 200:
            self._press(now, attempt)
            return
        call = attempt.call
        if attempt.timer is not None:
            attempt.timer.call_off()
        if message.status < 300:
            assert attempt.invite is not None
            self.out.append((tx.flow, acknowledge(attempt.invite, message, self._via(tx.flow)).encode()))
            if attempt.dialog is not None:
                return  # the same 2xx again
            attempt.dialog = Dialog.of_client(attempt.invite, message, tx.flow)
            self.dialogs[attempt.invite.call_id, attempt.invite.from_tag] = attempt
            self._stand_on(tx.flow, attempt)
            slim(attempt.invite)
            if attempt.state in OPEN and call.state is CallState.OFFERED:
                self._stands(now, call, attempt, message)
            else:
                # Danger: the far end holds a call that nobody wants, and its circuits.  Given up, crossed by
                # the caller's CANCEL, or lost a glare: it is acknowledged, then released.
                self._count("answer after give-up")
                told = attempt.state in OPEN
                self._hang_up(now, attempt, fields.reason(fields.NORMAL))
                if told:
                    self._attempt_over(now, attempt, io.Outcome.CANCELLED, io.Cause.NONE, None, 0)
            return
        outcome, cause, wait = mapping.outcome(message)
        was = attempt.state
        self._free(attempt)
        attempt.state = AttemptState.OVER
        if was in OPEN:
            call.beyond_full = cause is io.Cause.PROCESSOR_FULL
            # Danger: called off by us because its circuits were lost, which the module does not know, it may
            # be refused before the CANCEL gets there; told of a refusal, the module sends the next at once,
            # and the release is not awaited (rule 5).  Hurts by that wait where the far end had let go.
            crossed = attempt.cut and not attempt.pressed
            if was is AttemptState.CANCELLING and (message.status == 487 or crossed):
                outcome, cause = io.Outcome.CANCELLED, io.Cause.NONE
            if call.local:
                self._relay_failure(now, call, message)
            else:
                self._attempt_over(now, attempt, outcome, cause, message, wait)
        self._tidy(call)

    def _stands(self, now: int, call: Call, attempt: Attempt, message: Message) -> None:
        attempt.state = AttemptState.STANDING
        answer = response(call.invite, 200, call.tag)
        answer.set("contact", self._contact())
        if call.local:
            fields.add_load(answer, fields.read_load(message))
        if message.body:
            answer.body = message.body
            answer.set("content-type", message.get("content-type"))
        call.state = CallState.STANDING
        if self.meter is not None and not (call.local or call.transit):
            self.meter.stands(now, call.dest, call.cls)
        if call.trying is not None:
            call.trying.call_off()
        call.dialog = Dialog.of_server(call.invite, answer, call.flow)
        self.dialogs[call.invite.call_id, call.tag] = call
        self._stand_on(call.flow, call)
        self.transactions.respond(now, call.tx, answer)
        slim(call.invite)
        if self.verbose:
            self._log("debug", "call stands", call.name, office=attempt.office, leg=attempt.leg)
        if not call.local:
            self.events.append(io.CallStands(call.name, attempt.leg, attempt.office, now - attempt.sent_at))

    def _relay_failure(self, now: int, call: Call, message: Message) -> None:
        answer = response(call.invite, message.status if message.status != 487 else 480, call.tag)
        for name in ("reason", "retry-after", fields.PAUSE):
            answer.set(name, message.get(name) or None)
        fields.add_load(answer, fields.read_load(message))
        self._final(now, call, answer)

    def _no_answer(self, now: int, tx: Transaction, broken: bool) -> None:
        owner = tx.owner
        if isinstance(owner, ProbeOut):
            self._probed(now, owner, None)
        elif isinstance(owner, Call) and tx is owner.tx:
            if owner.state is CallState.OFFERED:
                self._gone(now, owner)
                self._finish(now, owner)
            elif owner.state is CallState.STANDING and not broken:
                self._log("warning", "answer never acknowledged", owner.name)
                self._cut(now, owner, fields.TEMPORARY, lost=False)
        elif isinstance(owner, Attempt) and tx is owner.tx:
            was, owner.state = owner.state, AttemptState.OVER
            self._forget(owner, tx.flow)
            self._free(owner)
            if was in OPEN:
                # A lost connection is a reset; a transaction that timed out is silence.
                outcome = io.Outcome.CUT if broken else io.Outcome.NO_ANSWER
                if owner.call.local:
                    self._final(now, owner.call, response(owner.call.invite, 480, owner.call.tag))
                else:
                    self._attempt_over(now, owner, outcome, io.Cause.NONE, None, 0)
            self._tidy(owner.call)
        elif isinstance(owner, Call | Attempt):
            if not broken:
                self._log(
                    "warning", "release never answered", self._name(owner), circuits=len(owner.circuits)
                )
            self._released(owner)

    def _late_success(self, now: int, flow: int, message: Message) -> None:
        """A 2xx of a set-up that is forgotten: acknowledged and released, or it stands there for ever."""
        leg = self.dialogs.get((message.call_id, message.from_tag))
        ours = leg.dialog.flow if leg is not None and leg.dialog is not None else -1
        own = flow in (ours, self.forgotten.get((message.call_id, message.from_tag), -1))
        if refusal(Act.LATE, self.who(flow), own=own):
            self._count("not believed: 200")
            return
        target = in_angle(message.get("contact")) or in_angle(message.get("to"))
        invite = Message("INVITE", target, 0, "", dict(message.headers))
        self.out.append((flow, acknowledge(invite, message, self._via(flow)).encode()))
        if leg is not None and leg.dialog is not None and leg.dialog.remote == message.get("to"):
            return  # the 2xx of a call that stands, again
        self._count("answer after give-up")
        dialog = Dialog(message.call_id, message.get("from"), message.get("to"), target, flow, message.cseq)
        bye = dialog.request("BYE", self._via(flow))
        bye.set("reason", fields.reason(fields.NORMAL))
        self._ask(now, flow, bye)

    # -- the module's actions ------------------------------------------------------------------------------

    def _send(self, now: int, action: io.Send) -> None:
        call = self.calls.get(action.call)
        number = self.offices.get(action.office, -1)
        if call is None or call.state is not CallState.OFFERED:
            # Its end stood in the batch that the module has just answered: nothing goes out.
            if self.told.pop(number, None) is not None:  # the module has taken circuits off: it is told anew
                self.dirty.add(number)
            self.events.append(
                io.AttemptEnded(action.call, 0, action.office, io.Outcome.NOT_SENT, io.Cause.NONE, True, 0)
            )
            return
        if self.meter is not None:
            self._measure_send(call, number)
        leg, call.legs = call.legs, call.legs + 1
        attempt = Attempt(call, leg, action.office, number, now, action.until)
        ledger, flow = self.ledgers.get(number), self.links.get(action.office)
        if number in self.told:  # the module has taken these off the free ones itself
            free, size = self.told[number]
            self.told[number] = (free - call.width, size)
        if ledger is not None:
            self.dirty.add(number)
        if flow is None or ledger is None:
            attempt.state = AttemptState.OVER
            self._attempt_over(now, attempt, io.Outcome.UNREACHABLE, io.Cause.NONE, None, 0)
            return
        attempt.circuits = ledger.seize(call.width, attempt)
        if not attempt.circuits:
            attempt.state = AttemptState.OVER
            self._attempt_over(now, attempt, io.Outcome.NOT_SENT, io.Cause.NO_CIRCUIT, None, 0)
            return
        attempt.ledger = ledger
        call.attempt = attempt
        self._transmit_invite(now, call, attempt, flow)

    def _transmit_invite(self, now: int, call: Call, attempt: Attempt, flow: int) -> None:
        incoming = call.invite
        user = incoming.uri.partition(":")[2].partition("@")[0].partition(";")[0]
        invite = request(
            "INVITE", f"sip:{user}@{attempt.office}", via=self._via(flow),
            sender=f"<sip:{self.settings.name}@{self.here}>;tag={self._id()}",
            to=f"<sip:{user}@{attempt.office}>",
            call_id=f"{self._id()}@{self.here}", cseq=1, hops=int(incoming.get("max-forwards", "70")) - 1,
        )  # fmt: skip
        headers = invite.headers
        headers["session-id"] = [call.session]
        headers[self.reader.class_header] = [self.settings.classes[call.cls].name]
        headers[fields.PATIENCE] = [str(max(attempt.until - now, 0) // fields.MS)]
        if attempt.ledger is not None:
            group = fields.group_name(self.settings.number, attempt.number)
            headers["contact"] = [fields.trunk_contact(self.here, group, self.settings.context)]
            headers[fields.CIRCUITS] = [fields.write_circuits(attempt.circuits)]
        else:
            headers["contact"] = [self._contact()]
        if incoming.body:
            headers["content-type"] = [incoming.get("content-type")]
            invite.body = incoming.body
        attempt.invite = invite
        attempt.tx = self._ask(now, flow, invite)
        attempt.tx.owner = attempt
        attempt.timer = self._at(attempt.until, lambda at: self._until(at, attempt))
        if self.verbose:
            self._log("debug", "set-up sent", call.name, office=attempt.office, leg=attempt.leg)

    def _until(self, now: int, attempt: Attempt) -> None:
        """The attempt's time is up: the module is told, the far end called off, its circuits stay seized."""
        if attempt.state not in OPEN:
            return
        attempt.state = AttemptState.GIVEN_UP
        self._call_off(now, attempt)
        if attempt.call.local:
            self._final(now, attempt.call, response(attempt.call.invite, 480, attempt.call.tag))
        else:
            self._attempt_over(now, attempt, io.Outcome.NO_ANSWER, io.Cause.NONE, None, 0)

    def _cancel(self, now: int, action: io.Cancel) -> None:
        call = self.calls.get(action.call)
        attempt = call.attempt if call is not None else None
        if attempt is None or attempt.leg != action.leg or attempt.state is not AttemptState.OUT:
            return
        attempt.state = AttemptState.CANCELLING
        self._call_off(now, attempt)

    def _refuse(self, now: int, action: io.Refuse) -> None:
        call = self.calls.get(action.call)
        if call is None:
            return
        if self.meter is not None:
            self._measure_loss(now, call)
        self._log("debug", "call refused", call.name, pause=action.pause)
        self._final(
            now, call, mapping.refusal(call.invite, call.tag, action.pause, call.transit, call.beyond_full)
        )

    def _abandon(self, now: int, action: io.Abandon) -> None:
        call = self.calls.get(action.call)
        if call is None:
            return
        if self.meter is not None:
            self._measure_loss(now, call)
        self._log("debug", "call abandoned", call.name)
        self._final(now, call, mapping.failure(call.invite, call.tag, call.legs > 0, call.transit))

    def _set_timer(self, now: int, action: io.SetTimer) -> None:
        token = action.token
        self._at(action.due, lambda at: self.events.append(io.TimerDue(token)))

    def _probe(self, now: int, action: io.Probe) -> None:
        flow = self.links.get(action.office)
        probe = ProbeOut(action.office, now)
        if flow is None:
            self._probed(now, probe, None)
            return
        options = request(
            "OPTIONS", f"sip:{action.office}", via=self._via(flow), to=f"<sip:{action.office}>",
            sender=f"<sip:{self.settings.name}@{self.here}>;tag={self._id()}",
            call_id=f"{self._id()}@{self.here}", cseq=1,
        )  # fmt: skip
        self._ask(now, flow, options).owner = probe

    def _probed(self, now: int, probe: ProbeOut, message: Message | None) -> None:
        ledger = self.ledgers.get(self.offices.get(probe.office, -1))
        answered = message is not None and message.status < 300
        self.events.append(
            io.OfficeHeard(
                probe.office, False, answered, now - probe.sent_at, mapping.report(ledger, message)
            )
        )

    def _subscribe(self, now: int, action: io.Subscribe) -> None:
        self.effects.append(fx.AskRegister())

    def _note(self, now: int, action: io.Note) -> None:
        self._log("warning", action.text)

    def _drain_over(self, now: int) -> None:
        """The stop has waited long enough for the calls that still stand."""
        for call in list(self.calls.values()):
            if call.state is CallState.STANDING:
                self._cut(now, call, fields.TEMPORARY, lost=False)


def slim(invite: Message) -> None:
    """Keep of an INVITE what a standing call still needs: who and which.  Thousands of them stand."""
    invite.headers = {name: invite.headers[name] for name in ("from", "to", "call-id", "cseq")}
    invite.body = b""


ACTIONS: dict[type, Callable[[Engine, int, Any], None]] = {
    io.Send: Engine._send,
    io.Refuse: Engine._refuse,
    io.Abandon: Engine._abandon,
    io.Cancel: Engine._cancel,
    io.SetTimer: Engine._set_timer,
    io.Probe: Engine._probe,
    io.Subscribe: Engine._subscribe,
    io.Note: Engine._note,
}
