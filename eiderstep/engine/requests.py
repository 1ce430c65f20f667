"""Requests that come in, one handler each; what they mean for calls, circuits and the module's events."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.engine import effects as fx
from eiderstep.engine import mapping, offers
from eiderstep.engine.calls import Attempt, AttemptState, Call, CallState
from eiderstep.engine.circuits import read_ranges, within
from eiderstep.engine.legs import Legs
from eiderstep.sip import fields
from eiderstep.sip.message import Message, response
from eiderstep.sip.parser import BadMessage
from eiderstep.sip.transaction import Transaction
from eiderstep.trust.rules import Act, refusal

TRYING_AFTER = 200_000_000  # ns, section 17.2.1


class Requests(Legs):
    """The side of the engine that callers and far ends speak to."""

    def __init__(self, settings: ServerSettings, here: str, ids: Random | None = None) -> None:
        super().__init__(settings, here, ids)
        self.reader = offers.Reader(settings)
        self.links: dict[str, int] = {}
        self.stopping = False
        self.waited = 0  # how long what comes now may have lain unread (ns): a call is that much older

    def _transmit_invite(self, now: int, call: Call, attempt: Attempt, flow: int) -> None:
        raise NotImplementedError

    def _bad(self, flow: int, problem: BadMessage) -> None:
        """Malformed: the right 4xx where it has what a response needs, else only a line and a count."""
        self._count("malformed")
        self._log("warning", "malformed message", why=problem.text, status=problem.status, flow=flow)
        message = problem.message
        if message is not None and message.method not in ("", "?", "ACK") and "via" in message.headers:
            self._stateless(flow, message, problem.status)
        if problem.fatal:
            self.effects.append(fx.CloseFlow(flow, problem.text))

    def _stranger(self, flow: int, item: Message | BadMessage) -> None:
        """Nobody: a request is answered without any state (section 8.2.7), all else falls away.

        Danger: a transaction for each message of a stranger would hold memory for 64 x T1, and a log line
        for each fill the disk.  Over UDP its address may be another's, whom the answers would flood: there it
        gets none.  Hurts an honest sender that the settings do not name: all it gets is a 403.
        """
        self._count("strangers")
        if flow in self.unreliable:
            return
        message = item.message if isinstance(item, BadMessage) else item
        self._log("warning", "stranger refused", flow=flow, method=message.method[:20] if message else "")
        if message is not None and message.method not in ("", "?", "ACK") and "via" in message.headers:
            self._stateless(flow, message, 403)
        if isinstance(item, BadMessage) and item.fatal:
            self.effects.append(fx.CloseFlow(flow, item.text))

    def _stateless(self, flow: int, message: Message, status: int, wait: int = 0) -> None:
        answer = response(message, status, self._id())
        fields.write_wait(answer, wait)
        self.out.append((flow, answer.encode()))

    def _demand(self, act: Act, flow: int, about: int = -1, own: bool = False, what: str = "") -> None:
        """Raises Unfit where the rules of trust forbid it."""
        rule = refusal(act, self.who(flow), about, own)
        if rule is not None:
            what = what or act.name.lower()
            self._count(f"not believed: {what}")
            said = "no such call" if act is Act.WITHIN else f"{what} from {self.who(flow)}"
            raise offers.Unfit(rule.status, said)

    def _within(self, flow: int, message: Message, tag: str) -> Call | Attempt:
        """The leg of a dialog, for its own peer alone.  Raises Unfit."""
        leg = self.dialogs.get((message.call_id, tag))
        if leg is None or leg.dialog is None:
            raise offers.Unfit(481, "no such call")
        self._demand(Act.WITHIN, flow, own=self.same_peer(flow, leg.dialog.flow), what=message.method)
        return leg

    def _request(self, now: int, tx: Transaction, message: Message) -> None:
        handler = REQUESTS.get(message.method)
        try:
            if handler is None:
                known = message.method in offers.KNOWN_METHODS
                raise offers.Unfit(
                    405 if known else 501, f"method {message.method[:20]!r}", allow=", ".join(offers.METHODS)
                )
            handler(self, now, tx, message)
        except offers.Unfit as unfit:
            self._count("unfit")
            said = {"status": unfit.status, "why": unfit.text, "flow": tx.flow}
            self._log("info", "request not served", message.get("session-id"), **said)
            answer = response(message, unfit.status, self._id())
            for name, value in unfit.headers.items():
                answer.set(name, value)
            self.transactions.respond(now, tx, answer)

    def _invite(self, now: int, tx: Transaction, message: Message) -> None:
        if message.to_tag:
            self._within(tx.flow, message, message.to_tag)
            raise offers.Unfit(488, "sessions are not changed")
        mark = (message.call_id, message.from_tag, message.cseq)
        if mark in self.merged:
            raise offers.Unfit(482, "the same INVITE came before, over another branch")
        limits = self.settings.limits
        if self.stopping or len(self.calls) >= limits.calls:
            raise offers.Unfit(503, "stopping" if self.stopping else "call table full", retry_after="1")
        source = self.who(tx.flow).source
        if self.drawn.get(source, 0) >= limits.source.calls:
            self._count("calls over the limit of a source")
            raise offers.Unfit(503, f"{limits.source.calls} calls of one source", retry_after="1")
        offer = self.reader.read(message)
        self._allowed(tx.flow, message, offer)
        if offer.dest == self.settings.number and self.settings.lines is None:
            raise offers.Unfit(404, "this exchange has no lines of its own")
        name = message.get("session-id").partition(";")[0]
        if not name or name in self.calls:
            name = f"{name or 'call'}-{self._id()}"
        expires = max(now - self.waited + offer.patience - self.settings.rules.answer_margin, now)
        call = Call(name, tx.flow, tx, message, self._id(), offer.cls, offer.width, offer.dest, expires)
        if offer.trunk >= 0:
            ledger = self.ledgers[offer.trunk]
            held, losers = ledger.claim(offer.circuits, call)
            if not held:
                self._count("glare lost")
                raise offers.Unfit(
                    503,
                    f"circuits {offer.circuits} are not to be had",
                    reason=fields.reason(fields.NOT_THIS_CIRCUIT),
                )
            if losers:
                self._count("glare yielded")
            call.ledger, call.circuits, call.transit = ledger, offer.circuits, True
            self.dirty.add(offer.trunk)
        tx.owner = call
        # Section 17.2.1: no 100 where the answer comes within 200 ms; over UDP it stops resends, so at once.
        if tx.reliable:
            call.trying = self._at(now + TRYING_AFTER, lambda at: self._trying(at, call))
        else:
            self._trying(now, call)
        self.calls[name] = self.merged[mark] = call
        call.source = source
        self.drawn[source] = self.drawn.get(source, 0) + 1
        if self.verbose:
            self._log("debug", "call offered", name, dest=offer.dest, transit=call.transit)
        if offer.dest == self.settings.number:
            self._to_lines(now, call)
            return
        if self.meter is not None and not call.transit:
            call.redial = self.meter.tried(now, offer.dest, offer.cls, message.uri, offer.redialled)
        self.events.append(
            io.CallOffered(
                name,
                offer.cls,
                offer.dest,
                offer.width,
                expires,
                offer.number,
                offer.hint,
                call.transit,
                offer.redialled,
                offer.was_cut,
            )
        )

    def _allowed(self, flow: int, message: Message, offer: offers.Offer) -> None:
        """Whether the sender may ask for this call, with these headers.  Raises Unfit."""
        if offer.trunk >= 0:
            self._demand(Act.TRANSIT, flow, offer.trunk)
            who = self.who(flow)
            if len(who.exchanges) > 1:  # several at one address: from here on it is the one that it said
                self.meet(flow, replace(who, exchanges=frozenset([offer.trunk])))
        else:
            self._demand(Act.CALL, flow)
            if message.get(fields.CIRCUITS):
                self._demand(Act.CIRCUITS, flow, what="circuits without a group")
        if message.get(fields.MARKS):
            self._demand(Act.MARKS, flow)
        if message.get(fields.ADVICE):
            self._demand(Act.ADVICE, flow)
        caller = self.who(flow).caller
        named = caller is not None and self.settings.classes[offer.cls].name in caller.classes
        self._demand(Act.CLASS, flow, own=named)

    def _trying(self, now: int, call: Call) -> None:
        if call.state is CallState.OFFERED:
            self.transactions.respond(now, call.tx, response(call.invite, 100))

    def _to_lines(self, now: int, call: Call) -> None:
        """A call for our own subscribers has one place to go; there is nothing to decide."""
        call.local = True
        address = self.settings.lines or ""
        if call.expires <= now:
            # Danger: no time is left but the margin, and a timer falls due on the next tick, past it.
            self._final(now, call, response(call.invite, 480, call.tag))
            return
        attempt = call.attempt = Attempt(call, 0, address, -1, now, call.expires)
        if address not in self.links:
            attempt.state = AttemptState.OVER
            self._final(now, call, response(call.invite, 480, call.tag))
            return
        self._transmit_invite(now, call, attempt, self.links[address])

    def _cancelled(self, now: int, tx: Transaction, message: Message) -> None:
        target = self.transactions.servers.get(self.transactions.server_key(tx.flow, message, "INVITE"))
        if target is None:
            raise offers.Unfit(481, "nothing to cancel")
        self.transactions.respond(now, tx, response(message, 200, self._id()))
        call = target.owner
        if isinstance(call, Call) and call.state is CallState.OFFERED:
            self._gone(now, call)
            self._final(now, call, response(call.invite, 487, call.tag))

    def _bye(self, now: int, tx: Transaction, message: Message) -> None:
        leg = self._within(tx.flow, message, message.to_tag)
        assert leg.dialog is not None
        if not leg.dialog.accepts(message):
            raise offers.Unfit(500, "CSeq is lower than the last")
        self.transactions.respond(now, tx, response(message, 200))
        self._end_leg(leg)
        outcome = io.Outcome.CUT if mapping.was_cut(message) else io.Outcome.RELEASED
        reason = message.get("reason") or fields.reason(fields.NORMAL)
        if isinstance(leg, Call):
            if leg.attempt is not None:
                self._hang_up(now, leg.attempt, reason)
            self._over(now, leg, outcome)
        else:
            if leg.call.attempt is leg and leg.call.state is CallState.STANDING:
                self._hang_up(now, leg.call, reason)
                self._over(now, leg.call, outcome)

    def _options(self, now: int, tx: Transaction, message: Message) -> None:
        offers.require(message)
        answer = response(message, 200, self._id())
        answer.set("allow", ", ".join(offers.METHODS))
        self.transactions.respond(now, tx, answer)

    def _notify(self, now: int, tx: Transaction, message: Message) -> None:
        """The whole set of a group's blocked circuits (docs/protocol.md)."""
        if message.get("event") != fields.CIRCUITS:
            raise offers.Unfit(489, f"event {message.get('event')[:40]!r}; allowed: {fields.CIRCUITS}")
        number = self.reader.trunk(message)
        if number < 0:
            raise offers.Unfit(400, "the Contact names no trunk group")
        self._demand(Act.CIRCUITS, tx.flow, number)
        ledger = self.ledgers[number]
        text = message.get(fields.CIRCUITS)
        try:
            blocked = within(read_ranges(text), ledger.total) if text else set()
        except ValueError:
            raise offers.Unfit(400, f"circuits {text[:40]!r} are no ranges") from None
        self.transactions.respond(now, tx, response(message, 200, self._id()))
        ledger.unblock(sorted(ledger.blocked - blocked))
        self.dirty.add(number)
        self._log("warning", "circuits blocked", peer=number, blocked=len(blocked), size=ledger.size)
        for owner in ledger.block(sorted(blocked)):
            if isinstance(owner, Call | Attempt):
                self._cut(now, owner, fields.NETWORK_OUT, lost=False)


REQUESTS: dict[str, Callable[[Requests, int, Transaction, Message], None]] = {
    "INVITE": Requests._invite,
    "CANCEL": Requests._cancelled,
    "BYE": Requests._bye,
    "OPTIONS": Requests._options,
    "NOTIFY": Requests._notify,
}
