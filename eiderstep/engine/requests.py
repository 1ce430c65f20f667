"""Handlers of incoming requests, one for each method."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from random import Random

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.engine import effects as fx
from eiderstep.engine import invites, mapping
from eiderstep.engine.calls import Attempt, AttemptState, Call, CallState
from eiderstep.engine.circuits import circuits_in_ranges, read_ranges
from eiderstep.engine.legs import CallTable
from eiderstep.sip import fields
from eiderstep.sip.message import Message, response
from eiderstep.sip.parser import BadMessage
from eiderstep.sip.transaction import Transaction
from eiderstep.trust.rules import Permission, violated_rule

TRYING_DELAY = 200_000_000  # ns (RFC 3261, section 17.2.1)


class RequestHandler(CallTable):
    """Handles requests of callers and peers; `Engine` adds responses and the module's actions."""

    def __init__(self, settings: ServerSettings, own_address: str, id_source: Random | None = None) -> None:
        super().__init__(settings, own_address, id_source)
        self.reader = invites.InviteReader(settings)
        self.links: dict[str, int] = {}  # flows by address
        self.stopping = False
        self.queueing_delay = (
            0  # ns that the current input may have been queued unread; a call is that much older
        )

    def _transmit_invite(self, now: int, call: Call, attempt: Attempt, flow: int) -> None:
        """Send the INVITE of an attempt; implemented by `Engine`."""
        raise NotImplementedError

    def _reject_malformed(self, flow: int, problem: BadMessage) -> None:
        """Log and count a malformed message, and answer it with a 4xx if a response can be built."""
        self._count("malformed")
        self._log("warning", "malformed message", why=problem.text, status=problem.status, flow=flow)
        message = problem.message
        if message is not None and message.method not in ("", "?", "ACK") and "via" in message.headers:
            self._respond_statelessly(flow, message, problem.status)
        if problem.fatal:
            self.effects.append(fx.CloseFlow(flow, problem.text))

    def _reject_unknown_sender(self, flow: int, item: Message | BadMessage) -> None:
        """Answer an unknown sender's request with a stateless 403 (RFC 3261, section 8.2.7); drop the rest.

        A transaction for each message would hold memory for 64 x T1, and a log line for each would fill the
        disk (the server limits the rate of this one).  Over UDP there is no response, because the source
        address may be forged and its owner would be flooded.  Cost: a legitimate sender that the settings do
        not name gets no more than a 403.
        """
        self._count("strangers")
        if flow in self.unreliable_flows:
            return
        message = item.message if isinstance(item, BadMessage) else item
        self._log("warning", "stranger refused", flow=flow, method=message.method[:20] if message else "")
        if message is not None and message.method not in ("", "?", "ACK") and "via" in message.headers:
            self._respond_statelessly(flow, message, 403)
        if isinstance(item, BadMessage) and item.fatal:
            self.effects.append(fx.CloseFlow(flow, item.text))

    def _respond_statelessly(self, flow: int, message: Message, status: int, wait: int = 0) -> None:
        answer = response(message, status, self._new_id())
        fields.write_wait(answer, wait)
        self.out.append((flow, answer.encode()))

    def _require_allowed(
        self, permission: Permission, flow: int, exchange: int = -1, own: bool = False, subject: str = ""
    ) -> None:
        """Raise RequestRejected if the trust rules do not allow the request to the sender.

        `exchange` and `own`: see `trust.rules.violated_rule`.  `subject` names the request in the count and
        the error.
        """
        rule = violated_rule(permission, self.party_of(flow), exchange, own)
        if rule is not None:
            subject = subject or permission.name.lower()
            self._count(f"not believed: {subject}")
            text = (
                "no such call"
                if permission is Permission.WITHIN
                else f"{subject} not allowed from {self.party_of(flow)}"
            )
            raise invites.RequestRejected(rule.status, text)

    def _leg_of_dialog(self, flow: int, message: Message, tag: str) -> Call | Attempt:
        """The leg of a request's dialog.

        Raises RequestRejected if there is none, or if the sender is not the peer of that dialog.
        """
        leg = self.dialogs.get((message.call_id, tag))
        if leg is None or leg.dialog is None:
            raise invites.RequestRejected(481, "no such call")
        self._require_allowed(
            Permission.WITHIN, flow, own=self.same_peer(flow, leg.dialog.flow), subject=message.method
        )
        return leg

    def _dispatch_request(self, now: int, tx: Transaction, message: Message) -> None:
        handler = REQUEST_HANDLERS.get(message.method)
        try:
            if handler is None:
                known = message.method in invites.KNOWN_METHODS
                raise invites.RequestRejected(
                    405 if known else 501,
                    f"method {message.method[:20]!r} is not supported",
                    allow=", ".join(invites.SUPPORTED_METHODS),
                )
            handler(self, now, tx, message)
        except invites.RequestRejected as rejected:
            self._count("unfit")
            labels = {"status": rejected.status, "why": rejected.text, "flow": tx.flow}
            self._log("info", "request not served", message.get("session-id"), **labels)
            answer = response(message, rejected.status, self._new_id())
            for name, value in rejected.headers.items():
                answer.set(name, value)
            self.transactions.respond(now, tx, answer)

    def _handle_invite(self, now: int, tx: Transaction, message: Message) -> None:
        if message.to_tag:
            self._leg_of_dialog(tx.flow, message, message.to_tag)
            raise invites.RequestRejected(488, "re-INVITE is not supported")
        request_key = (message.call_id, message.from_tag, message.cseq)
        if request_key in self.calls_by_request:
            raise invites.RequestRejected(
                482, "merged request: this INVITE has already arrived with another branch"
            )
        limits = self.settings.limits
        if self.stopping or len(self.calls) >= limits.calls:
            raise invites.RequestRejected(
                503, "the server is stopping" if self.stopping else "the call table is full", retry_after="1"
            )
        source = self.party_of(tx.flow).source
        if self.call_count_by_source.get(source, 0) >= limits.source.calls:
            self._count("calls over the limit of a source")
            raise invites.RequestRejected(
                503, f"the source has reached its limit of {limits.source.calls} calls", retry_after="1"
            )
        call_request = self.reader.read(message)
        self._check_permissions(tx.flow, message, call_request)
        if call_request.dest == self.settings.number and self.settings.lines is None:
            raise invites.RequestRejected(404, "this exchange has no subscriber lines")
        name = message.get("session-id").partition(";")[0]
        if not name or name in self.calls:
            name = f"{name or 'call'}-{self._new_id()}"
        expires = max(
            now - self.queueing_delay + call_request.give_up_time - self.settings.rules.answer_margin, now
        )
        call = Call(
            name,
            tx.flow,
            tx,
            message,
            self._new_id(),
            call_request.class_no,
            call_request.width,
            call_request.dest,
            expires,
        )
        if call_request.via_exchange >= 0:
            group = self.trunk_groups[call_request.via_exchange]
            accepted, losers = group.claim(call_request.circuits, call)
            if not accepted:
                self._count("glare lost")
                raise invites.RequestRejected(
                    503,
                    f"circuits {call_request.circuits} are out of range, blocked or already seized",
                    reason=fields.reason(fields.REQUESTED_CIRCUIT_NOT_AVAILABLE),
                )
            if losers:
                self._count("glare yielded")
            call.group, call.circuits, call.transit = group, call_request.circuits, True
            self.changed_groups.add(call_request.via_exchange)
        tx.owner = call
        # No 100 is needed if the response comes within 200 ms (RFC 3261, section 17.2.1).  Over UDP it is
        # sent at once, because it stops the retransmission of the INVITE.
        if tx.reliable:
            call.trying_timer = self._schedule(now + TRYING_DELAY, lambda at: self._send_trying(at, call))
        else:
            self._send_trying(now, call)
        self.calls[name] = self.calls_by_request[request_key] = call
        call.source = source
        self.call_count_by_source[source] = self.call_count_by_source.get(source, 0) + 1
        if self.verbose:
            self._log("debug", "call offered", name, dest=call_request.dest, transit=call.transit)
        if call_request.dest == self.settings.number:
            self._route_to_own_lines(now, call)
            return
        if self.meter is not None and not call.transit:
            call.redial = self.meter.record_try(
                now, call_request.dest, call_request.class_no, message.uri, call_request.redialled
            )
        self.events.append(
            io.CallOffered(
                name,
                call_request.class_no,
                call_request.dest,
                call_request.width,
                expires,
                call_request.number,
                call_request.hint,
                call.transit,
                call_request.redialled,
                call_request.was_cut,
            )
        )

    def _check_permissions(self, flow: int, message: Message, call_request: invites.CallRequest) -> None:
        """Raise RequestRejected if the sender may not request this call, or not with these headers."""
        if call_request.via_exchange >= 0:
            self._require_allowed(Permission.TRANSIT, flow, call_request.via_exchange)
            party = self.party_of(flow)
            if len(party.exchanges) > 1:  # several at one address; the group named here settles which
                self.set_party(flow, replace(party, exchanges=frozenset([call_request.via_exchange])))
        else:
            self._require_allowed(Permission.CALL, flow)
            if message.get(fields.CIRCUITS_HEADER):
                self._require_allowed(Permission.CIRCUITS, flow, subject="circuits without a group")
        if message.get(fields.MARKS_HEADER):
            self._require_allowed(Permission.MARKS, flow)
        if message.get(fields.ADVICE_HEADER):
            self._require_allowed(Permission.ADVICE, flow)
        caller = self.party_of(flow).caller
        class_allowed = (
            caller is not None and self.settings.classes[call_request.class_no].name in caller.classes
        )
        self._require_allowed(Permission.CLASS, flow, own=class_allowed)

    def _send_trying(self, now: int, call: Call) -> None:
        if call.state is CallState.OFFERED:
            self.transactions.respond(now, call.tx, response(call.invite, 100))

    def _route_to_own_lines(self, now: int, call: Call) -> None:
        """Send a call for an own subscriber on to `lines`; with one route there is nothing to decide."""
        call.to_own_lines = True
        address = self.settings.lines or ""
        if call.expires <= now:
            # No time is left before the answer margin.  The deadline timer would run at the next tick, too
            # late, so the call is rejected here.
            self._reject_call(now, call, response(call.invite, 480, call.tag))
            return
        attempt = call.attempt = Attempt(call, 0, address, -1, now, call.expires)
        if address not in self.links:
            attempt.state = AttemptState.ENDED
            self._reject_call(now, call, response(call.invite, 480, call.tag))
            return
        self._transmit_invite(now, call, attempt, self.links[address])

    def _handle_cancel(self, now: int, tx: Transaction, message: Message) -> None:
        target = self.transactions.servers.get(self.transactions.server_key(tx.flow, message, "INVITE"))
        if target is None:
            raise invites.RequestRejected(481, "no transaction matches the CANCEL")
        self.transactions.respond(now, tx, response(message, 200, self._new_id()))
        call = target.owner
        if isinstance(call, Call) and call.state is CallState.OFFERED:
            self._report_caller_gone(now, call)
            self._reject_call(now, call, response(call.invite, 487, call.tag))

    def _handle_bye(self, now: int, tx: Transaction, message: Message) -> None:
        leg = self._leg_of_dialog(tx.flow, message, message.to_tag)
        assert leg.dialog is not None
        if not leg.dialog.accept_request(message):
            raise invites.RequestRejected(500, "CSeq is not higher than in the last request")
        self.transactions.respond(now, tx, response(message, 200))
        self._end_leg(leg)
        outcome = io.Outcome.CUT if mapping.was_cut(message) else io.Outcome.RELEASED
        reason = message.get("reason") or fields.reason(fields.NORMAL_CLEARING)
        if isinstance(leg, Call):
            if leg.attempt is not None:
                self._send_bye(now, leg.attempt, reason)
            self._end_standing_call(now, leg, outcome)
        else:
            if leg.call.attempt is leg and leg.call.state is CallState.STANDING:
                self._send_bye(now, leg.call, reason)
                self._end_standing_call(now, leg.call, outcome)

    def _handle_options(self, now: int, tx: Transaction, message: Message) -> None:
        invites.check_extensions_and_hops(message)
        answer = response(message, 200, self._new_id())
        answer.set("allow", ", ".join(invites.SUPPORTED_METHODS))
        self.transactions.respond(now, tx, answer)

    def _handle_notify(self, now: int, tx: Transaction, message: Message) -> None:
        """Replace a trunk group's set of blocked circuits (docs/protocol.md) and cut the calls on them."""
        if message.get("event") != fields.CIRCUITS_HEADER:
            raise invites.RequestRejected(
                489, f"event {message.get('event')[:40]!r}; allowed: {fields.CIRCUITS_HEADER}"
            )
        number = self.reader.trunk_exchange(message)
        if number < 0:
            raise invites.RequestRejected(400, "the Contact names no trunk group")
        self._require_allowed(Permission.CIRCUITS, tx.flow, number)
        group = self.trunk_groups[number]
        text = message.get(fields.CIRCUITS_HEADER)
        try:
            blocked = circuits_in_ranges(read_ranges(text), group.total) if text else set()
        except ValueError:
            raise invites.RequestRejected(
                400, f"circuits {text[:40]!r} are not ranges such as 0-3,7"
            ) from None
        self.transactions.respond(now, tx, response(message, 200, self._new_id()))
        group.unblock(sorted(group.blocked - blocked))
        self.changed_groups.add(number)
        self._log("warning", "circuits blocked", peer=number, blocked=len(blocked), size=group.size)
        for owner in group.block(sorted(blocked)):
            if isinstance(owner, Call | Attempt):
                self._cut_leg(now, owner, fields.NETWORK_OUT_OF_ORDER, lost=False)


REQUEST_HANDLERS: dict[str, Callable[[RequestHandler, int, Transaction, Message], None]] = {
    "INVITE": RequestHandler._handle_invite,
    "CANCEL": RequestHandler._handle_cancel,
    "BYE": RequestHandler._handle_bye,
    "OPTIONS": RequestHandler._handle_options,
    "NOTIFY": RequestHandler._handle_notify,
}
