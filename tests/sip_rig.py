"""The engine driven by hand: messages in, messages out, no socket and no clock but this."""

from __future__ import annotations

from eiderstep.config.schema import CallClass, Caller, Cold, Peer, Route, Rules, ServerSettings
from eiderstep.engine.core import Engine
from eiderstep.engine.effects import Effect
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import Parser
from eiderstep.trust.party import Party

MS, SECOND = 1_000_000, 1_000_000_000
CALLER, PEER = 1, 2  # flows


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
    """One engine; flow 1 is a caller, flows 11 and 12 are the links to exchanges 1 and 2."""

    def __init__(self, links: tuple[int, ...] = (1, 2), **changes: object) -> None:
        self.now = 1000 * SECOND
        self.engine = Engine(settings(**changes), "10.0.0.9:5060")
        self.parsers: dict[int, Parser] = {}
        self.sent: list[tuple[int, Message]] = []
        self.effects: list[Effect] = []
        self.n = 0
        self.engine.begin(self.now)
        for flow in (CALLER, PEER, 3, 4):
            self.engine.meet(flow, Party(caller=Caller(name="own", advice=True), source="c"))
        for number in (1, 2):
            self.engine.meet(20 + number, Party(frozenset([number]), source=f"10.0.0.{number}"))
        for number in links:
            self.engine.link_up(self.now, f"10.0.0.{number}:1", 10 + number)
        self.flush()

    def flush(self) -> list[tuple[int, Message]]:
        """What goes out now."""
        self.effects += self.engine.flush(self.now)
        fresh: list[tuple[int, Message]] = []
        for flow, data in self.engine.out:
            for item in self.parsers.setdefault(flow, Parser()).feed(data):
                assert isinstance(item, Message), item
                fresh.append((flow, item))
        self.engine.out.clear()
        self.sent += fresh
        return fresh

    def give(self, flow: int, *messages: Message) -> list[tuple[int, Message]]:
        for message in messages:
            self.engine.message(self.now, flow, Parser().feed(message.encode())[0])
        return self.flush()

    def run(self, seconds: float) -> list[tuple[int, Message]]:
        """Let time pass, with every timer at its moment."""
        end, fresh = self.now + int(seconds * SECOND), []
        while (due := self.engine.next_due()) is not None and due <= end:
            self.now = max(self.now, due)
            self.engine.due(self.now)
            fresh += self.flush()
        self.now = end
        return fresh

    def invite(
        self, number: str = "1000", cls: str = "plain", patience: str = "3", **headers: str
    ) -> Message:
        """An INVITE of a caller, with an identity of its own."""
        self.n += 1
        message = request(
            "INVITE", f"sip:{number}@10.0.0.9", via=f"SIP/2.0/TCP c;branch=z9hG4bKc{self.n}",
            sender=f"<sip:c@c>;tag=c{self.n}", to=f"<sip:{number}@10.0.0.9>", call_id=f"call{self.n}", cseq=1,
        )  # fmt: skip
        message.set("contact", "<sip:c@c>")
        message.set("eiderstep-class", cls)
        message.set("eiderstep-patience", str(int(float(patience) * 1000)))
        message.set("session-id", f"{self.n:032x}")
        for name, value in headers.items():
            message.set(name.replace("_", "-"), value)
        return message

    def from_peer(self, peer: int, circuits: str, number: str = "2000", **headers: str) -> Message:
        """An INVITE in transit over the group of an exchange."""
        contact = f"<sip:trunk;tgrp=0-{peer};trunk-context=t@10.0.0.{peer}>"
        message = self.invite(number, **headers)
        message.set("contact", contact)
        message.set("eiderstep-circuits", circuits)
        return message

    def call(self, number: str = "1000", **more: str) -> tuple[Message, Message]:
        """A call that is offered; returns the caller's INVITE and the set-up sent on."""
        mine = self.invite(number, **more)
        return mine, one(self.give(CALLER, mine), "INVITE")

    def stand(self, number: str = "1000") -> tuple[Message, Message, Message]:
        """A call that stands; returns both INVITEs and the 200 that the caller got."""
        mine, set_up = self.call(number)
        flow = 10 + int(number[0])
        fresh = self.give(flow, answer(set_up, 100), answer(set_up, 200))
        return mine, set_up, one(fresh, 200)

    def free(self, peer: int = 1) -> int:
        return self.engine.ledgers[peer].free

    def finals(self, invite: Message) -> list[int]:
        """Every final status that the caller of an INVITE got."""
        return [
            m.status for _, m in self.sent
            if m.status >= 200 and m.call_id == invite.call_id and m.cseq_method == "INVITE"
        ]  # fmt: skip


def answer(to: Message, status: int, **headers: str) -> Message:
    """A far end's response."""
    message = response(to, status, f"far{to.call_id[:6]}")
    message.set("contact", "<sip:far@10.0.0.1>")
    for name, value in headers.items():
        message.set(name.replace("_", "-"), value)
    return message


def bye(of: Message, dialog: Message, cseq: int = 2, reason: str = "") -> Message:
    """A BYE of the caller, by its INVITE and the 200 it got."""
    message = request(
        "BYE", "sip:x@10.0.0.9", via=f"SIP/2.0/TCP c;branch=z9hG4bKb{of.call_id}{cseq}",
        sender=of.get("from"), to=dialog.get("to"), call_id=of.call_id, cseq=cseq,
    )  # fmt: skip
    message.set("reason", reason or None)
    return message


def far_bye(set_up: Message, reason: str = "", cseq: int = 1) -> Message:
    """A BYE of the far end on a set-up of ours that stands."""
    tagged = answer(set_up, 200)
    message = request(
        "BYE", "sip:x@10.0.0.9", via=f"SIP/2.0/TCP f;branch=z9hG4bKf{set_up.call_id[:9]}{cseq}",
        sender=tagged.get("to"), to=set_up.get("from"), call_id=set_up.call_id, cseq=cseq,
    )  # fmt: skip
    message.set("reason", reason or None)
    return message


def cancel_of(invite: Message) -> Message:
    from eiderstep.sip.dialog import cancel

    return cancel(invite)


def one(fresh: list[tuple[int, Message]], what: str | int) -> Message:
    """The one message of that method or status."""
    found = [m for _, m in fresh if what in (m.method, m.status) and (m.method or m.cseq_method == "INVITE")]
    assert len(found) == 1, (what, fresh)
    return found[0]


def none(fresh: list[tuple[int, Message]], what: str | int) -> bool:
    return all(what not in (m.method, m.status) for _, m in fresh)
