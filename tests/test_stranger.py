"""Each attack over real sockets, beside standing calls; and that the check for harm detects harm."""

from __future__ import annotations

import asyncio
from random import Random
from typing import Any

import msgspec
import pytest
import uvloop

from eiderstep.config.schema import Caller, Peer, Route, Trust
from eiderstep.server.call_server import CallServer
from eiderstep.sip.message import request
from eiderstep.standin.callers import CallerBehaviour, CallerClass, Callers
from eiderstep.standin.exchange import Exchange, ExchangeConfig
from eiderstep.standin.stranger import (
    ATTACKS,
    CALLER,
    EXCHANGE,
    UNKNOWN,
    Attack,
    Attacker,
    Victim,
    encode_message,
)
from eiderstep.trust.rules import RULES, Permission, Rule
from tests.test_server import SETTINGS, Log

CALLS = 6
LONG = CallerClass("plain", 1.0, 1.0, 600.0)


class Scene:
    """A call server, two exchanges with groups of 20 circuits, callers, and standing calls to exchange 1."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.log = Log()
        self.exchanges: list[Exchange] = []
        self.connection_count = 0

    async def start(self) -> None:
        for number in (1, 2):
            config = ExchangeConfig(
                number=number, group_sizes={0: 20}, dial_plan={f"400{number}": number}, context="t"
            )
            exchange = Exchange(self.loop, config, Random(number), None)
            exchange.local_host = f"127.1.0.{number + 1}"
            await exchange.listen(exchange.local_host)
            self.exchanges.append(exchange)
        settings = msgspec.structs.replace(
            SETTINGS, listen="127.1.0.1:0", context="t", seed=3,
            peers=[Peer(number=n, address=self.exchanges[n - 1].address, circuits=20) for n in (1, 2)],
            dial_plan=[Route(prefix=f"400{n}", exchange=n) for n in (1, 2)],
            trust=Trust(callers=[Caller(name="own", networks=["127.2.0.0/16"])]),
        )  # fmt: skip
        self.server = CallServer(self.loop, settings, self.log)
        await self.server.start()
        self.callers = Callers(
            self.loop, self.server.address, Random(1), CallerBehaviour(early_hang_up_share=0.0)
        )
        self.callers.local_host = "127.2.0.1"
        await self.callers.connect()
        offers = [self.callers.offer_call(LONG, f"40011{n:03}") for n in range(CALLS)]
        while not all(offer.outcome for offer in offers):
            await asyncio.sleep(0.01)
        assert [offer.outcome for offer in offers] == ["stands"] * CALLS
        # ACKs of these calls may still be in flight; wait until there is no open transaction.
        while self.server.engine is None or self.server.engine.transactions.by_flow:
            await asyncio.sleep(0.01)

    def stop(self) -> None:
        self.server.kill()
        for exchange in self.exchanges:
            exchange.kill()
        self.callers.kill()

    def victim(self) -> Victim:
        call = next(iter(self.callers.standing_attempts.values()))
        leg = next(
            leg for leg in self.exchanges[0].standing_legs()
            if leg.invite.get("session-id") == call.invite.get("session-id")
        )  # fmt: skip
        assert call.dialog is not None and leg.dialog is not None
        return Victim(
            call.invite, call.dialog.remote, leg.invite, leg.dialog.local, "0-1", "40011234", "plain", "t",
            "127.1.0.2",
        )  # fmt: skip

    def protected_state(self) -> Any:
        """The state of the call server and both exchanges that no attack may change."""
        engine = self.server.engine
        assert engine is not None
        return (
            sorted(engine.dialogs),
            sorted((c.name, c.state.name) for c in engine.calls.values()),
            {n: (sorted(x.busy), sorted(x.blocked), x.free) for n, x in engine.trunk_groups.items()},
            [sorted(e.trunk_groups[0].holders) for e in self.exchanges],
            [sorted(leg.state for leg in e.inbound_legs.values()) for e in self.exchanges],
            sorted(self.callers.standing_attempts),
            dict(engine.links),
            dict(engine.reported_circuits),
        )

    def circuits_agree(self) -> bool:
        engine = self.server.engine
        assert engine is not None
        return all(
            set(engine.trunk_groups[e.config.number].busy) == set(e.trunk_groups[0].holders)
            for e in self.exchanges
        )

    async def attack(self, attack: Attack, n: int) -> dict[int, int]:
        """Make one attack over a new connection; returns the count of each response status."""
        self.connection_count += 1
        host_suffix = f"{self.connection_count // 250}.{self.connection_count % 250 + 1}"
        host = {UNKNOWN: f"127.3.{host_suffix}", CALLER: f"127.2.{host_suffix}", EXCHANGE: "127.1.0.3"}[
            attack.sender
        ]
        stranger = Attacker(self.loop, self.server.address, {}, list, Random(n), 1.0)
        connection = await stranger.connect(host)
        assert connection is not None
        # The response to an OPTIONS behind the attack shows that the attack was read, unless it closed the
        # connection.
        probe = request("OPTIONS", "sip:x@x", via=f"SIP/2.0/TCP s;branch=z9hG4bKmark{n}",
                       sender="<sip:s@s>;tag=s", to="<sip:x@x>", call_id=f"mark{n}", cseq=1)  # fmt: skip
        connection.transport.write(encode_message(attack.make(self.victim(), n)) + probe.encode())
        probe_status = 403 if attack.sender == UNKNOWN else 200
        expected_count = len(attack.allowed_statuses[:1]) + 1
        while not connection.lost.is_set() and sum(connection.statuses.values()) < expected_count:
            connection.activity.clear()
            await asyncio.wait_for(connection.activity.wait(), 10)
        found = dict(connection.statuses)
        if not connection.lost.is_set():
            found[probe_status] = found.get(probe_status, 0) - 1
        connection.transport.abort()
        return {status: count for status, count in found.items() if count}


async def find_harmful_attacks(names: list[str]) -> list[str]:
    """Attacks that got an unexpected response or changed protected state."""
    scene, found = Scene(), list[str]()
    await scene.start()
    try:
        before = scene.protected_state()
        for n, name in enumerate(names):
            answers = await scene.attack(ATTACKS[name], n)
            allowed = ATTACKS[name].allowed_statuses
            as_expected = sum(answers.values()) == len(allowed[:1]) and set(answers) <= set(allowed)
            if not as_expected or scene.protected_state() != before or not scene.circuits_agree():
                found.append(f"{name}: {answers}")
                before = scene.protected_state()
        for call in list(scene.callers.standing_attempts.values()):
            scene.callers._hang_up(call)
        scene.callers.process_events()
        assert scene.server.engine is not None
        while not found and (
            scene.server.engine.busy_circuits() or scene.exchanges[0].trunk_groups[0].holders
        ):
            await asyncio.sleep(0.01)
    finally:
        scene.stop()
    return found


def run_attacks(names: list[str]) -> list[str]:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(asyncio.wait_for(find_harmful_attacks(names), 60))


def test_attacks_over_sockets_do_no_harm() -> None:
    assert len(ATTACKS) >= 40
    assert run_attacks(sorted(ATTACKS)) == []


REMOVED_RULES = [
    (Permission.CIRCUITS, "circuits out, by another exchange"),
    (Permission.WITHIN, "BYE, by another caller"),
    (Permission.WITHIN, "BYE as the far end, by another exchange"),
    (Permission.TRANSIT, "seizure, by another exchange"),
    (Permission.CALL, "call, by an exchange"),
    (Permission.ANYTHING, "REGISTER, by nobody"),
]


@pytest.mark.parametrize(("act", "name"), REMOVED_RULES, ids=[name for _, name in REMOVED_RULES])
def test_detects_harm_when_a_rule_is_removed(
    monkeypatch: pytest.MonkeyPatch, act: Permission, name: str
) -> None:
    removed = RULES[act]
    monkeypatch.setitem(
        RULES, act, Rule(removed.status, lambda who, about, own: True, removed.threat, removed.cost)
    )
    assert [found.partition(":")[0] for found in run_attacks([name])] == [name]
