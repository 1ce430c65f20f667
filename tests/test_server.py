"""The call server on a virtual loop, and its process on a real one."""

from __future__ import annotations

import asyncio
import json
import signal
import subprocess
import sys
from collections.abc import Coroutine
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from eiderstep.config.dump import dump
from eiderstep.config.schema import (
    CallClass,
    Limits,
    Peer,
    Register,
    Route,
    ServerSettings,
    SourceLimits,
    Timers,
)
from eiderstep.lab.clock import VirtualLoop
from eiderstep.server.node import CallServer
from eiderstep.server.register import EventStream, RegisterClient
from eiderstep.sip.dialog import acknowledge
from eiderstep.sip.message import Message, request, split_address
from eiderstep.sip.parser import parse_datagram
from eiderstep.sip.transaction import Times
from eiderstep.standin.callers import Callers, Class, Manners
from eiderstep.standin.exchange import Exchange, Plant
from eiderstep.standin.register import Entry
from eiderstep.standin.register import Register as RegisterStandin

SECOND = 1_000_000_000
PLAIN = Class("plain", 1.0, 1.0, 2.0)
SETTINGS = ServerSettings(
    number=0, listen="127.0.0.1:0", context="standin", peers=[], dial_plan=[Route(prefix="4", exchange=0)],
    classes=[CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=2 * SECOND)],
)  # fmt: skip


def on_virtual_loop(work: Coroutine[Any, Any, None], loop: VirtualLoop) -> None:
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(work)
    finally:
        asyncio.set_event_loop(None)
    assert not loop.errors


class Log:
    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, Any]]] = []

    def __call__(self, level: str, event: str, call: str, fields: dict[str, Any]) -> None:
        self.lines.append((event, fields))

    def events(self) -> list[str]:
        return [event for event, _ in self.lines]


async def pair(
    loop: VirtualLoop, log: Log, udp: bool = False, udp_too: bool = False, **changes: Any
) -> tuple[CallServer, Exchange]:
    """A call server 0 and a stand-in exchange 1 with a group of 20."""
    plant = Plant(number=1, circuits={0: 20}, numbers={"4001": 1}, busy_lines=0.0)
    exchange = Exchange(loop, plant, Random(1), None)
    exchange.host = "127.1.0.2"
    await exchange.listen(exchange.host)
    if udp:
        await exchange.listen_udp()
    peer = Peer(number=1, address=exchange.address, circuits=20)
    plan = [Route(prefix="4001", exchange=1)]
    settings = replace_struct(SETTINGS, peers=[peer], dial_plan=plan, udp_peers=udp, udp=udp_too, **changes)
    server = CallServer(loop, settings, log)
    await server.start()
    return server, exchange


def replace_struct(settings: ServerSettings, **changes: Any) -> ServerSettings:
    return msgspec.structs.replace(settings, **changes)


MANY = Limits(
    first_message=5 * SECOND,
    connections=10_100,
    source=SourceLimits(connections=20_000, silent=20_000, reserved=0.0),
)


def test_ten_thousand_half_open_connections_do_not_stand_in_the_way() -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await pair(loop, log, limits=MANY)
        host, _, port = server.address.rpartition(":")
        idle = [await loop.create_connection(asyncio.Protocol, host, int(port)) for _ in range(10_000)]
        for transport, _ in idle[::2]:
            transport.write(b"INVITE sip:half")
        callers = Callers(loop, server.address, Random(1), Manners(leaves_early=0.0))
        await callers.connect()
        asks = [callers.offer(PLAIN, "40011234") for _ in range(5)]
        await asyncio.sleep(1)
        assert [a.outcome for a in asks] == ["stands"] * 5
        await asyncio.sleep(8)
        assert sum(t.is_closing() for t, _ in idle) == 10_000, "they are closed once their time is up"
        assert len(callers.flows_up) == 4, "those that have spoken are not"
        over = [await loop.create_connection(asyncio.Protocol, host, int(port)) for _ in range(10_200)]
        await asyncio.sleep(0.1)
        assert sum(t.is_closing() for t, _ in over) > 90, "no more than the limit"
        server.kill()
        exchange.die()

    on_virtual_loop(run(), loop)
    assert 0 < log.events().count("idle connection closed") < 20, "one source, and it provokes them"


def test_a_link_that_is_reset_at_once_is_no_link() -> None:
    loop, log = VirtualLoop(), Log()

    class Slammer(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            loop.call_soon(transport.abort)

    async def run() -> None:
        door = await loop.create_server(Slammer, "127.0.0.1", 0)
        name = door.sockets[0].getsockname()
        peer = Peer(number=1, address=f"{name[0]}:{name[1]}", circuits=4)
        server = CallServer(loop, replace_struct(SETTINGS, peers=[peer]), log)
        await server.start()
        await asyncio.sleep(5)
        assert server.engine is not None and not server.engine.links and server.dial_tasks
        server.kill()

    on_virtual_loop(run(), loop)
    assert "link up" not in log.events()


def test_udp_to_and_from_a_peer_with_every_third_datagram_lost() -> None:
    loop, log = VirtualLoop(), Log()
    lost = Random(7)
    loop.lose_datagram = lambda address, data: lost.random() < 0.33

    async def run() -> None:
        quick = Timers(t1=100_000_000, t2=800_000_000, t4=SECOND)
        server, exchange = await pair(loop, log, udp=True, timers=quick)
        exchange.transactions.times = Times(quick.t1, quick.t2, quick.t4)
        callers = Callers(loop, server.address, Random(2), Manners(leaves_early=0.0, patience=8.0, redials=0))
        await callers.connect()
        asks = []
        for _ in range(60):
            asks.append(callers.offer(PLAIN, "40011234"))
            await asyncio.sleep(0.4)
        await asyncio.sleep(30)
        assert server.engine is not None
        stood = sum(a.outcome == "stands" for a in asks)
        finals = sum(callers.finals.values())
        assert finals == len(asks) and stood > 40, (finals, stood, callers.finals)
        assert not server.engine.calls and server.engine.ledgers[1].free == 20
        assert not exchange.trunks[0].busy and not exchange.tally.circuit_faults
        server.kill()
        exchange.die()

    on_virtual_loop(run(), loop)


def test_a_caller_over_udp_gets_its_answer_again_until_it_acknowledges() -> None:
    loop, log = VirtualLoop(), Log()
    drops = [3]

    def lose(address: str, data: bytes) -> bool:
        hit = data.startswith(b"SIP/2.0 200") and drops[0] > 0
        drops[0] -= hit
        return hit

    loop.lose_datagram = lose
    heard: list[tuple[float, Message]] = []

    class Phone(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            message = parse_datagram(data)
            assert isinstance(message, Message)
            heard.append((loop.time(), message))

    async def run() -> None:
        server, exchange = await pair(loop, log, udp_too=True, timers=Timers(t1=100_000_000))
        phone, _ = await loop.create_datagram_endpoint(Phone, local_addr=("127.0.0.1", 0))
        there = split_address(server.address)
        invite = request(
            "INVITE", "sip:40011234@x", via="SIP/2.0/UDP p;branch=z9hG4bKu1", sender="<sip:p@p>;tag=p",
            to="<sip:40011234@x>", call_id="u1", cseq=1,
        )  # fmt: skip
        invite.set("eiderstep-class", "plain")
        for _ in range(2):
            phone.sendto(invite.encode(), there)
        await asyncio.sleep(5)
        oks = [(at, m) for at, m in heard if m.status == 200]
        assert drops == [0] and len(oks) > 1, "resent until the ACK, the first three were lost"
        assert exchange.tally.set_ups == 1, "the INVITE came twice, the call is one"
        phone.sendto(acknowledge(invite, oks[0][1], "SIP/2.0/UDP p;branch=z9hG4bKu2").encode(), there)
        await asyncio.sleep(1)
        count = len(heard)
        await asyncio.sleep(20)
        assert len(heard) == count, "acknowledged: nothing more comes"
        server.kill()
        exchange.die()

    on_virtual_loop(run(), loop)


def test_a_far_end_that_resets_each_link_after_a_while_is_not_dialled_without_end() -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await pair(loop, log)
        links = []

        class Resetting(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                links.append(loop.time())
                loop.call_later(0.005, transport.abort)

        exchange.die()
        host, port = split_address(exchange.address)
        await loop.create_server(Resetting, host, port)
        await asyncio.sleep(20)
        cap = 8 * server.settings.limits.redial / SECOND
        assert 2 <= len(links) <= 20 / cap + 6, "the pauses grow, though each link came up"
        server.kill()

    on_virtual_loop(run(), loop)


def test_datagrams_from_everywhere_are_not_remembered_for_ever() -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await pair(loop, log, udp_too=True, limits=Limits(connections=100))
        assert server.datagram_socket is not None
        options = request(
            "OPTIONS", "sip:x", via="SIP/2.0/UDP p;branch=z9hG4bKo", sender="<sip:p@p>;tag=p", to="<sip:x@x>",
            call_id="o", cseq=1,
        )  # fmt: skip
        for n in range(5000):
            options.set("via", f"SIP/2.0/UDP p;branch=z9hG4bK{n}")
            server.datagram_socket.datagram_received(options.encode(), ("127.0.0.1", 30000 + n))
            if n % 50 == 49:
                await asyncio.sleep(40)  # past 64 x T1: the transactions are over
        assert len(server.datagram_flows) == len(server.datagram_peers) <= 101
        server.kill()
        exchange.die()

    on_virtual_loop(run(), loop)


def test_a_register_that_is_silent_late_and_skips_a_change() -> None:
    loop = VirtualLoop()
    news: list[tuple[str, list[str]]] = []
    notes: list[str] = []

    async def run() -> None:
        register = RegisterStandin(loop, lag=0.0)
        await register.listen()
        register.entries["10.0.0.1:1"] = Entry("10.0.0.1:1", 1)
        client = RegisterClient(
            loop, Register(address=register.address, silence=5 * SECOND),
            lambda kind, entries: news.append((kind.name, [e.office for e in entries])),
            lambda event, fields: notes.append(f"{event} {fields.get('why')}"), Random(1),
        )  # fmt: skip
        client.start()
        await asyncio.sleep(1)
        register.change(Entry("10.0.0.2:1", 2, started=loop.time()))
        await asyncio.sleep(1)
        register.gen += 1  # a change that is never told
        register.change(Entry("10.0.0.3:1", 3))
        await asyncio.sleep(3)
        register.fall_silent(20)
        await asyncio.sleep(40)
        register.change(Entry("10.0.0.1:1", 1, "gone"))
        await asyncio.sleep(1)
        client.stop()
        register.close()

    on_virtual_loop(run(), loop)
    kinds = [kind for kind, _ in news]
    assert kinds[:4] == ["COMPLETE", "CHANGES", "FAILED", "COMPLETE"] and "10.0.0.3:1" in news[3][1]
    assert any("change 3 after 1" in n for n in notes) and any("silent for 5 s" in n for n in notes)
    assert kinds[-2:] == ["COMPLETE", "CHANGES"] and news[-1][1] == ["10.0.0.1:1"]


def test_event_streams_in_any_pieces() -> None:
    text = b"data: one\r\n\r\n: note\n\ndata: two\ndata: lines\n\n"
    for size in range(1, len(text)):
        stream, found = EventStream(), []
        for at in range(0, len(text), size):
            found += stream.feed(text[at : at + size])
        assert found == [b"one", b"two\nlines"]


def test_a_process_drains_on_sigterm_and_exits(tmp_path: Path) -> None:
    script = tmp_path / "site.star"
    script.write_text(dump(replace_struct(SETTINGS, limits=Limits(drain=SECOND))))
    child = subprocess.Popen(
        [sys.executable, "-m", "eiderstep", "serve", str(script), "--capture", str(tmp_path / "c.jsonl")],
        stdout=subprocess.PIPE, text=True,
    )  # fmt: skip
    assert child.stdout is not None
    first = json.loads(child.stdout.readline())
    assert first["event"] == "serving" and first["address"].startswith("127.0.0.1:")
    child.send_signal(signal.SIGTERM)
    rest = [json.loads(line)["event"] for line in child.stdout]
    assert child.wait() == 0 and rest == ["stopping", "stopped"]
