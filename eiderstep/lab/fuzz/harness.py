"""Test harness of the fuzzer: an engine with a standing call, attacked with messages made from input bytes.

Each step chooses a sender, an attack from the stand-in's table (or raw bytes), and bytes to change in it.
After each step the victim's call and its circuits must be unchanged, the circuit counts exact, and the
numbers of transactions and calls bounded.  One attacker is authenticated as exchange 2; what it does to the
group of exchange 2 is allowed.
"""

from __future__ import annotations

import time
from dataclasses import replace

from eiderstep.config.schema import CallClass, Caller, Peer, Route, ServerSettings, Trust
from eiderstep.engine.calls import Attempt, Call
from eiderstep.engine.core import Engine
from eiderstep.sip.dialog import make_ack
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import Parser
from eiderstep.standin.stranger import ATTACKS, Victim, encode_message
from eiderstep.trust.party import Party

SECOND = 1_000_000_000
CALLER_FLOW, EXCHANGE_1_FLOW, EXCHANGE_2_FLOW = 1, 11, 12  # the victim's caller, links to the exchanges
# An unknown sender, another caller, a link that exchange 2 opened, our link to exchange 2.
ATTACKER_FLOWS = (90, 3, 22, 12)
MAX_STEPS = 24
MAX_CPU_SECONDS = 0.25  # for one message: well above normal cost, well below that of superlinear processing
ATTACK_NAMES = sorted(ATTACKS)


def harness_settings() -> ServerSettings:
    """Returns the settings of an engine with two exchanges and one network of callers."""
    return ServerSettings(
        number=0, listen="127.0.0.1:5060", context="t",
        classes=[CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=10 * SECOND)],
        peers=[Peer(number=n, address=f"10.0.0.{n}:1", circuits=8) for n in (1, 2)],
        dial_plan=[Route(prefix=str(n), exchange=n) for n in (1, 2)],
        trust=Trust(callers=[Caller(name="own", networks=["127.0.0.0/8"])]),
    )  # fmt: skip


class EngineHarness:
    """One engine with a standing call of flow 1 to exchange 1, and the state of it that must not change."""

    def __init__(self) -> None:
        self.now = 1000 * SECOND
        self.engine = Engine(harness_settings(), "10.0.0.9:5060")
        self.parsers: dict[int, Parser] = {}
        self.engine.start(self.now)
        for flow in (CALLER_FLOW, 3):
            self.engine.set_party(flow, Party(caller=Caller(name="own"), source="c"))
        self.engine.set_party(22, Party(frozenset([2]), source="x2"))
        for number in (1, 2):
            self.engine.link_up(self.now, f"10.0.0.{number}:1", 10 + number)
        self.flush_output()
        self.victim = self._establish_call()
        self.insider_victim = replace(self.victim, group="0-2")  # for attacks on the group of exchange 2
        self.initial_state = self.victim_state()

    def _establish_call(self) -> Victim:
        invite = request(
            "INVITE", "sip:1000@x", via="SIP/2.0/TCP c;branch=z9hG4bKc", sender="<sip:c@c>;tag=c",
            to="<sip:1000@x>", call_id="victim", cseq=1,
        )  # fmt: skip
        invite.set("contact", "<sip:c@c>")
        invite.set("eiderstep-class", "plain")
        set_up = next(
            message
            for flow, message in self.deliver(CALLER_FLOW, invite.encode())
            if message.method == "INVITE"
        )
        answer = response(set_up, 200, "far")
        answer.set("contact", "<sip:far@x>")
        ok = next(
            message
            for flow, message in self.deliver(EXCHANGE_1_FLOW, answer.encode())
            if flow == CALLER_FLOW and message.status == 200
        )
        self.deliver(CALLER_FLOW, make_ack(invite, ok, "SIP/2.0/TCP c;branch=z9hG4bKa").encode())
        return Victim(invite, ok.get("to"), set_up, answer.get("to"), "0-1", "1000", "plain", "t")

    def flush_output(self) -> list[tuple[int, Message]]:
        """Takes the engine's output; returns its messages with their flows, as parsed by the receivers."""
        self.engine.flush(self.now)
        received: list[tuple[int, Message]] = []
        for flow, data in self.engine.out:
            for item in self.parsers.setdefault(flow, Parser()).feed(data):
                if isinstance(item, Message):
                    received.append((flow, item))
        self.engine.out.clear()
        return received

    def deliver(self, flow: int, data: bytes) -> list[tuple[int, Message]]:
        """Parses data as received on a flow, passes it to the engine and returns what the engine sends."""
        for item in Parser().feed(data):
            self.engine.handle_message(self.now, flow, item)
        return self.flush_output()

    def victim_state(self) -> object:
        """Returns the state of the victim's call, its circuits, and its group's blocked circuits and link."""
        engine = self.engine
        caller_leg = engine.dialogs.get(("victim", _tag(self.victim.caller_to)))
        far_leg = engine.dialogs.get((self.victim.far_invite.call_id, self.victim.far_invite.from_tag))
        assert isinstance(caller_leg, Call) and isinstance(far_leg, Attempt), (
            "the victim's call must still exist"
        )
        group = engine.trunk_groups[1]
        victim_circuits = {circuit for circuit, owner in group.busy.items() if owner is far_leg}
        return (
            caller_leg.state,
            far_leg.state,
            victim_circuits,
            frozenset(group.blocked),
            engine.links.get("10.0.0.1:1"),
        )

    def run_steps(self, data: bytes) -> None:
        """Runs up to `MAX_STEPS` steps; the bytes select senders, attacks, and offset and value of changes.

        Raises AssertionError if a message takes too much CPU time or breaks an invariant.
        """
        offset, step = 0, 0

        def next_byte() -> int:
            nonlocal offset
            offset += 1
            return data[offset - 1] if offset <= len(data) else 0

        while offset < len(data) and step < MAX_STEPS:
            step += 1
            flow, choice = ATTACKER_FLOWS[next_byte() % len(ATTACKER_FLOWS)], next_byte()
            if choice == 255:
                size = next_byte()
                message = bytearray(data[offset : offset + size])
                offset += size
            else:
                victim = self.victim if choice < 128 else self.insider_victim
                message = bytearray(
                    encode_message(ATTACKS[ATTACK_NAMES[choice % len(ATTACK_NAMES)]].make(victim, step))
                )
            changes = next_byte()
            for _ in range(changes % 8 if changes >= 128 else 0):
                position = (next_byte() * 256 + next_byte()) % max(len(message), 1)
                message[position : position + 1] = bytes([next_byte()])
            self.now += next_byte() * SECOND // 64
            if (next_due := self.engine.next_due()) is not None and next_due <= self.now:
                self.engine.run_timers(self.now)
                self.flush_output()
            cpu_before = time.process_time()
            self.deliver(flow, bytes(message))
            elapsed = time.process_time() - cpu_before
            assert elapsed < MAX_CPU_SECONDS, f"{elapsed:.2f} s for one message of {len(message)} bytes"
            self.check_invariants()

    def check_invariants(self) -> None:
        """Checks what must hold after any input."""
        engine = self.engine
        assert self.victim_state() == self.initial_state, "the victim's call and its group must not change"
        for group in engine.trunk_groups.values():
            idle_blocked = len(group.blocked - group.busy.keys())
            assert group.free == group.total - len(group.busy) - idle_blocked, (
                "the count of free circuits must be exact"
            )
            for circuit, owner in group.busy.items():
                assert isinstance(owner, Call | Attempt) and circuit in owner.circuits, (
                    "the owner of a busy circuit must hold it"
                )
                assert 0 <= circuit < group.total, "a busy circuit must belong to the group"
            assert 0 <= group.free <= group.size <= group.total
        assert (
            len(engine.transactions.servers) <= 2 * MAX_STEPS
            and len(engine.transactions.clients) <= 4 * MAX_STEPS
        )
        assert len(engine.calls) <= MAX_STEPS + 1


def _tag(value: str) -> str:
    return value.rpartition(";tag=")[2]
