"""An engine with calls that stand, and liars beside them: a sequence of messages from bytes.

Each step is a flow, an attack of the stand-in's table (or bytes as they are) and some bytes changed in it.
After each: the victim's call and its circuits as before, ledgers exact, nothing without bound.  An insider
speaks for exchange 2; what it does to the group of exchange 2 is its own.
"""

from __future__ import annotations

import time
from dataclasses import replace

from eiderstep.config.schema import CallClass, Caller, Peer, Route, ServerSettings, Trust
from eiderstep.engine.calls import Attempt, Call
from eiderstep.engine.core import Engine
from eiderstep.sip.dialog import acknowledge
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import Parser
from eiderstep.standin.stranger import ATTACKS, Victim, coded
from eiderstep.trust.party import Party

SECOND = 1_000_000_000
CALLER, ONE, TWO = 1, 11, 12  # the victim's caller, links to exchanges
LIARS = (90, 3, 22, 12)  # nobody, another caller, exchange 2 dialled in, our link to exchange 2
STEPS = 24
LONGEST = 0.25  # seconds of CPU for one message: far over what any takes, far under what a blow-up does
NAMES = sorted(ATTACKS)


def site() -> ServerSettings:
    return ServerSettings(
        number=0, listen="127.0.0.1:5060", context="t",
        classes=[CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=10 * SECOND)],
        peers=[Peer(number=n, address=f"10.0.0.{n}:1", circuits=8) for n in (1, 2)],
        dial_plan=[Route(prefix=str(n), exchange=n) for n in (1, 2)],
        trust=Trust(callers=[Caller(name="own", networks=["127.0.0.0/8"])]),
    )  # fmt: skip


class Beside:
    """One engine, a call of flow 1 to exchange 1 that stands, and what must stay."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.engine = Engine(site(), "10.0.0.9:5060")
        self.parsers: dict[int, Parser] = {}
        self.engine.begin(self.now)
        for flow in (CALLER, 3):
            self.engine.meet(flow, Party(caller=Caller(name="own"), source="c"))
        self.engine.meet(22, Party(frozenset([2]), source="x2"))
        for number in (1, 2):
            self.engine.link_up(self.now, f"10.0.0.{number}:1", 10 + number)
        self.flush()
        self.victim = self._stand()
        self.own = replace(self.victim, group="0-2")  # the same lies about the insider's own group
        self.before = self.picture()

    def _stand(self) -> Victim:
        invite = request(
            "INVITE", "sip:1000@x", via="SIP/2.0/TCP c;branch=z9hG4bKc", sender="<sip:c@c>;tag=c",
            to="<sip:1000@x>", call_id="victim", cseq=1,
        )  # fmt: skip
        invite.set("contact", "<sip:c@c>")
        invite.set("eiderstep-class", "plain")
        set_up = next(m for f, m in self.give(CALLER, invite.encode()) if m.method == "INVITE")
        answer = response(set_up, 200, "far")
        answer.set("contact", "<sip:far@x>")
        ok = next(m for f, m in self.give(ONE, answer.encode()) if f == CALLER and m.status == 200)
        self.give(CALLER, acknowledge(invite, ok, "SIP/2.0/TCP c;branch=z9hG4bKa").encode())
        return Victim(invite, ok.get("to"), set_up, answer.get("to"), "0-1", "1000", "plain", "t")

    def flush(self) -> list[tuple[int, Message]]:
        """What the engine sends; each of it can be read again."""
        self.engine.flush(self.now)
        fresh: list[tuple[int, Message]] = []
        for flow, data in self.engine.out:
            for item in self.parsers.setdefault(flow, Parser()).feed(data):
                if isinstance(item, Message):
                    fresh.append((flow, item))
        self.engine.out.clear()
        return fresh

    def give(self, flow: int, data: bytes) -> list[tuple[int, Message]]:
        for item in Parser().feed(data):
            self.engine.message(self.now, flow, item)
        return self.flush()

    def picture(self) -> object:
        """The victim's call, and the group it stands on."""
        engine = self.engine
        leg = engine.dialogs.get(("victim", _tag(self.victim.to)))
        far = engine.dialogs.get((self.victim.set_up.call_id, self.victim.set_up.from_tag))
        assert isinstance(leg, Call) and isinstance(far, Attempt), "the victim's call is gone"
        ledger = engine.ledgers[1]
        mine = {c for c, owner in ledger.busy.items() if owner is far}
        return leg.state, far.state, mine, frozenset(ledger.blocked), engine.links.get("10.0.0.1:1")

    def play(self, data: bytes) -> None:
        """Steps from bytes: liar, attack, number of changes, their places and values."""
        at, n = 0, 0

        def byte() -> int:
            nonlocal at
            at += 1
            return data[at - 1] if at <= len(data) else 0

        while at < len(data) and n < STEPS:
            n += 1
            flow, which = LIARS[byte() % len(LIARS)], byte()
            if which == 255:
                size = byte()
                made = bytearray(data[at : at + size])
                at += size
            else:
                about = self.victim if which < 128 else self.own
                made = bytearray(coded(ATTACKS[NAMES[which % len(NAMES)]].made(about, n)))
            changes = byte()
            for _ in range(changes % 8 if changes >= 128 else 0):
                place = (byte() * 256 + byte()) % max(len(made), 1)
                made[place : place + 1] = bytes([byte()])
            self.now += byte() * SECOND // 64
            if (due := self.engine.next_due()) is not None and due <= self.now:
                self.engine.due(self.now)
                self.flush()
            began = time.process_time()
            self.give(flow, bytes(made))
            took = time.process_time() - began
            assert took < LONGEST, f"{took:.2f} s for one message of {len(made)} bytes"
            self.check()

    def check(self) -> None:
        """What holds whatever came."""
        engine = self.engine
        assert self.picture() == self.before, "the victim's call or its group changed"
        for ledger in engine.ledgers.values():
            out = len(ledger.blocked - ledger.busy.keys())
            assert ledger.free == ledger.total - len(ledger.busy) - out, "a ledger that is not exact"
            for circuit, owner in ledger.busy.items():
                assert isinstance(owner, Call | Attempt) and circuit in owner.circuits, "held by nobody"
                assert 0 <= circuit < ledger.total, "no circuit of the group"
            assert 0 <= ledger.free <= ledger.size <= ledger.total
        assert len(engine.transactions.servers) <= 2 * STEPS and len(engine.transactions.clients) <= 4 * STEPS
        assert len(engine.calls) <= STEPS + 1


def _tag(value: str) -> str:
    return value.rpartition(";tag=")[2]
