"""Drives the SIP engine in tests: messages in, messages out, with a simulated clock and no sockets."""

from __future__ import annotations

from eiderstep.config.schema import CallClass, Caller, Cold, Peer, Route, Rules, ServerSettings
from eiderstep.engine.core import Engine
from eiderstep.engine.effects import Effect
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import Parser
from eiderstep.trust.party import Party

MS, SECOND = 1_000_000, 1_000_000_000
CALLER, SECOND_CALLER = 1, 2  # flows


def settings(**changes: object) -> ServerSettings:
    base: dict[str, object] = {
        "number": 0, "listen": "127.0.0.1:5060", "context": "t",
        "classes": [
            CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=10 * SECOND),
            CallClass(name="wide", aim=SECOND, give_up=9 * SECOND, mean_hold=10 * SECOND, width=3, worth=3.0),
        ],
        "peers": [
            Peer(number=1, address="10.0.0.1:1", circuits=8),
            Peer(number=2, address="10.0.0.2:1", circuits=8),
        ],
        "dial_plan": [Route(prefix=str(n), exchange=n) for n in range(3)],
        "rules": Rules(answer_margin=50 * MS, release_wait=500 * MS, cold=Cold(), probes=True, attempts=4),
    }  # fmt: skip
    return ServerSettings(**{**base, **changes})  # type: ignore[arg-type]


class Rig:
    """One engine with simulated connections.

    Flows 1 to 4 are callers, 11 and 12 the links to exchanges 1 and 2, 21 and 22 connections that these
    exchanges have opened.
    """

    def __init__(self, links: tuple[int, ...] = (1, 2), **changes: object) -> None:
        self.now = 1000 * SECOND
        self.engine = Engine(settings(**changes), "10.0.0.9:5060")
        self.parsers: dict[int, Parser] = {}
        self.sent: list[tuple[int, Message]] = []
        self.effects: list[Effect] = []
        self.invites_made = 0
        self.engine.start(self.now)
        for flow in (CALLER, SECOND_CALLER, 3, 4):
            self.engine.set_party(flow, Party(caller=Caller(name="own", advice=True), source="c"))
        for number in (1, 2):
            self.engine.set_party(20 + number, Party(frozenset([number]), source=f"10.0.0.{number}"))
        for number in links:
            self.engine.link_up(self.now, f"10.0.0.{number}:1", 10 + number)
        self.flush()

    def flush(self) -> list[tuple[int, Message]]:
        """The messages that the engine sends now, as (flow, message)."""
        self.effects += self.engine.flush(self.now)
        outgoing: list[tuple[int, Message]] = []
        for flow, data in self.engine.out:
            for item in self.parsers.setdefault(flow, Parser()).feed(data):
                assert isinstance(item, Message), item
                outgoing.append((flow, item))
        self.engine.out.clear()
        self.sent += outgoing
        return outgoing

    def deliver(self, flow: int, *messages: Message) -> list[tuple[int, Message]]:
        """Deliver messages on a flow; returns the messages sent in response."""
        for message in messages:
            self.engine.handle_message(self.now, flow, Parser().feed(message.encode())[0])
        return self.flush()

    def advance(self, seconds: float) -> list[tuple[int, Message]]:
        """Advance the clock, running each timer when it is due; returns the messages sent."""
        end, outgoing = self.now + int(seconds * SECOND), []
        while (due := self.engine.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.engine.run_timers(self.now)
            outgoing += self.flush()
        self.now = end
        return outgoing

    def invite(
        self, number: str = "1000", class_name: str = "plain", give_up_time: str = "3", **headers: str
    ) -> Message:
        """A new INVITE of a caller; `give_up_time` in seconds, `headers` with underscores for hyphens."""
        self.invites_made += 1
        message = request(
            "INVITE", f"sip:{number}@10.0.0.9", via=f"SIP/2.0/TCP c;branch=z9hG4bKc{self.invites_made}",
            sender=f"<sip:c@c>;tag=c{self.invites_made}", to=f"<sip:{number}@10.0.0.9>",
            call_id=f"call{self.invites_made}", cseq=1,
        )  # fmt: skip
        message.set("contact", "<sip:c@c>")
        message.set("eiderstep-class", class_name)
        message.set("eiderstep-patience", str(int(float(give_up_time) * 1000)))
        message.set("session-id", f"{self.invites_made:032x}")
        for name, value in headers.items():
            message.set(name.replace("_", "-"), value)
        return message

    def transit_invite(self, peer: int, circuits: str, number: str = "2000", **headers: str) -> Message:
        """A new INVITE in transit over the trunk group to exchange `peer`."""
        contact = f"<sip:trunk;tgrp=0-{peer};trunk-context=t@10.0.0.{peer}>"
        message = self.invite(number, **headers)
        message.set("contact", contact)
        message.set("eiderstep-circuits", circuits)
        return message

    def offer_call(self, number: str = "1000", **more: str) -> tuple[Message, Message]:
        """Offer a call; returns the caller's INVITE and the INVITE of the set-up sent on."""
        invite = self.invite(number, **more)
        return invite, only_message(self.deliver(CALLER, invite), "INVITE")

    def establish_call(self, number: str = "1000") -> tuple[Message, Message, Message]:
        """Establish a call; returns both INVITEs and the 200 that the caller got."""
        invite, set_up = self.offer_call(number)
        flow = 10 + int(number[0])
        outgoing = self.deliver(flow, far_response(set_up, 100), far_response(set_up, 200))
        return invite, set_up, only_message(outgoing, 200)

    def free_circuits(self, peer: int = 1) -> int:
        """Number of free circuits toward an exchange."""
        return self.engine.trunk_groups[peer].free

    def final_statuses(self, invite: Message) -> list[int]:
        """All final statuses that the caller got to an INVITE."""
        return [
            m.status for _, m in self.sent
            if m.status >= 200 and m.call_id == invite.call_id and m.cseq_method == "INVITE"
        ]  # fmt: skip


def far_response(to: Message, status: int, **headers: str) -> Message:
    """A response of the far end."""
    message = response(to, status, f"far{to.call_id[:6]}")
    message.set("contact", "<sip:far@10.0.0.1>")
    for name, value in headers.items():
        message.set(name.replace("_", "-"), value)
    return message


def caller_bye(of: Message, dialog: Message, cseq: int = 2, reason: str = "") -> Message:
    """The caller's BYE for the call of its INVITE `of`; `dialog` is the 200 that it got."""
    message = request(
        "BYE", "sip:x@10.0.0.9", via=f"SIP/2.0/TCP c;branch=z9hG4bKb{of.call_id}{cseq}",
        sender=of.get("from"), to=dialog.get("to"), call_id=of.call_id, cseq=cseq,
    )  # fmt: skip
    message.set("reason", reason or None)
    return message


def far_bye(set_up: Message, reason: str = "", cseq: int = 1) -> Message:
    """The far end's BYE for a standing call, by the INVITE of its set-up."""
    tagged = far_response(set_up, 200)
    message = request(
        "BYE", "sip:x@10.0.0.9", via=f"SIP/2.0/TCP f;branch=z9hG4bKf{set_up.call_id[:9]}{cseq}",
        sender=tagged.get("to"), to=set_up.get("from"), call_id=set_up.call_id, cseq=cseq,
    )  # fmt: skip
    message.set("reason", reason or None)
    return message


def cancel_of(invite: Message) -> Message:
    from eiderstep.sip.dialog import make_cancel

    return make_cancel(invite)


def only_message(outgoing: list[tuple[int, Message]], what: str | int) -> Message:
    """The only message with that method or status; fails if there is none or more than one."""
    found = [
        m for _, m in outgoing if what in (m.method, m.status) and (m.method or m.cseq_method == "INVITE")
    ]
    assert len(found) == 1, (what, outgoing)
    return found[0]


def has_no(outgoing: list[tuple[int, Message]], what: str | int) -> bool:
    """Whether no message has that method or status."""
    return all(what not in (m.method, m.status) for _, m in outgoing)
