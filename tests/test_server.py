"""The call server on a virtual event loop, and its process on a real one."""

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
from eiderstep.server.call_server import CallServer
from eiderstep.server.register import EventStream, RegisterClient
from eiderstep.sip.dialog import make_ack
from eiderstep.sip.message import Message, request, split_address
from eiderstep.sip.parser import parse_datagram
from eiderstep.sip.transaction import BaseTimes
from eiderstep.standin.callers import CallerBehaviour, CallerClass, Callers
from eiderstep.standin.exchange import Exchange, ExchangeConfig
from eiderstep.standin.register import Entry
from eiderstep.standin.register import Register as RegisterStandin

SECOND = 1_000_000_000
PLAIN = CallerClass("plain", 1.0, 1.0, 2.0)
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


async def start_server_and_exchange(
    loop: VirtualLoop, log: Log, udp: bool = False, udp_too: bool = False, **changes: Any
) -> tuple[CallServer, Exchange]:
    """Call server 0 and stand-in exchange 1 with a trunk group of 20 circuits."""
    config = ExchangeConfig(number=1, group_sizes={0: 20}, dial_plan={"4001": 1}, busy_share=0.0)
    exchange = Exchange(loop, config, Random(1), None)
    exchange.local_host = "127.1.0.2"
    await exchange.listen(exchange.local_host)
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


HALF_OPEN_LIMITS = Limits(
    first_message=5 * SECOND,
    connections=10_100,
    source=SourceLimits(connections=20_000, silent=20_000, reserved=0.0),
)


def test_ten_thousand_half_open_connections_do_not_block_calls() -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await start_server_and_exchange(loop, log, limits=HALF_OPEN_LIMITS)
        host, _, port = server.address.rpartition(":")
        half_open = [await loop.create_connection(asyncio.Protocol, host, int(port)) for _ in range(10_000)]
        for transport, _ in half_open[::2]:
            transport.write(b"INVITE sip:half")
        callers = Callers(loop, server.address, Random(1), CallerBehaviour(early_hang_up_share=0.0))
        await callers.connect()
        offers = [callers.offer_call(PLAIN, "40011234") for _ in range(5)]
        await asyncio.sleep(1)
        assert [offer.outcome for offer in offers] == ["stands"] * 5
        await asyncio.sleep(8)
        assert sum(t.is_closing() for t, _ in half_open) == 10_000, (
            "half-open connections are closed after `first_message`"
        )
        assert len(callers.open_flows) == 4, "connections that have sent messages stay open"
        excess = [await loop.create_connection(asyncio.Protocol, host, int(port)) for _ in range(10_200)]
        await asyncio.sleep(0.1)
        assert sum(t.is_closing() for t, _ in excess) > 90, "connections above the limit are closed"
        server.kill()
        exchange.kill()

    on_virtual_loop(run(), loop)
    assert 0 < log.events().count("idle connection closed") < 20, (
        "log lines that one source provokes are rate-limited"
    )


def test_connection_reset_on_accept_is_not_used_as_link() -> None:
    loop, log = VirtualLoop(), Log()

    class ResettingPeer(asyncio.Protocol):
        def connection_made(self, transport: Any) -> None:
            loop.call_soon(transport.abort)

    async def run() -> None:
        listener = await loop.create_server(ResettingPeer, "127.0.0.1", 0)
        name = listener.sockets[0].getsockname()
        peer = Peer(number=1, address=f"{name[0]}:{name[1]}", circuits=4)
        server = CallServer(loop, replace_struct(SETTINGS, peers=[peer]), log)
        await server.start()
        await asyncio.sleep(5)
        assert server.engine is not None and not server.engine.links and server.dial_tasks
        server.kill()

    on_virtual_loop(run(), loop)
    assert "link up" not in log.events()


def test_calls_over_udp_with_a_third_of_datagrams_lost() -> None:
    loop, log = VirtualLoop(), Log()
    loss_rng = Random(7)
    loop.lose_datagram = lambda address, data: loss_rng.random() < 0.33

    async def run() -> None:
        timers = Timers(t1=100_000_000, t2=800_000_000, t4=SECOND)
        server, exchange = await start_server_and_exchange(loop, log, udp=True, timers=timers)
        exchange.transactions.times = BaseTimes(timers.t1, timers.t2, timers.t4)
        callers = Callers(
            loop,
            server.address,
            Random(2),
            CallerBehaviour(early_hang_up_share=0.0, give_up_time=8.0, max_redials=0),
        )
        await callers.connect()
        offers = []
        for _ in range(60):
            offers.append(callers.offer_call(PLAIN, "40011234"))
            await asyncio.sleep(0.4)
        await asyncio.sleep(30)
        assert server.engine is not None
        standing = sum(a.outcome == "stands" for a in offers)
        finals = sum(callers.final_counts.values())
        assert finals == len(offers) and standing > 40, (finals, standing, callers.final_counts)
        assert not server.engine.calls and server.engine.trunk_groups[1].free == 20
        assert not exchange.trunk_groups[0].holders and not exchange.counters.circuit_faults
        server.kill()
        exchange.kill()

    on_virtual_loop(run(), loop)


def test_resends_200_over_udp_until_ack() -> None:
    loop, log = VirtualLoop(), Log()
    drops_left = [3]

    def lose(address: str, data: bytes) -> bool:
        dropped = data.startswith(b"SIP/2.0 200") and drops_left[0] > 0
        drops_left[0] -= dropped
        return dropped

    loop.lose_datagram = lose
    received: list[tuple[float, Message]] = []

    class UdpCaller(asyncio.DatagramProtocol):
        def datagram_received(self, data: bytes, addr: Any) -> None:
            message = parse_datagram(data)
            assert isinstance(message, Message)
            received.append((loop.time(), message))

    async def run() -> None:
        server, exchange = await start_server_and_exchange(
            loop, log, udp_too=True, timers=Timers(t1=100_000_000)
        )
        phone, _ = await loop.create_datagram_endpoint(UdpCaller, local_addr=("127.0.0.1", 0))
        server_address = split_address(server.address)
        invite = request(
            "INVITE", "sip:40011234@x", via="SIP/2.0/UDP p;branch=z9hG4bKu1", sender="<sip:p@p>;tag=p",
            to="<sip:40011234@x>", call_id="u1", cseq=1,
        )  # fmt: skip
        invite.set("eiderstep-class", "plain")
        for _ in range(2):
            phone.sendto(invite.encode(), server_address)
        await asyncio.sleep(5)
        oks = [(at, m) for at, m in received if m.status == 200]
        assert drops_left == [0] and len(oks) > 1, (
            "the 200 is resent until the ACK; the first three were dropped"
        )
        assert exchange.counters.set_ups == 1, "the resent INVITE does not start a second call"
        phone.sendto(make_ack(invite, oks[0][1], "SIP/2.0/UDP p;branch=z9hG4bKu2").encode(), server_address)
        await asyncio.sleep(1)
        count = len(received)
        await asyncio.sleep(20)
        assert len(received) == count, "nothing is resent after the ACK"
        server.kill()
        exchange.kill()

    on_virtual_loop(run(), loop)


def test_dials_back_off_when_peer_resets_each_link() -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await start_server_and_exchange(loop, log)
        links = []

        class ResettingPeer(asyncio.Protocol):
            def connection_made(self, transport: Any) -> None:
                links.append(loop.time())
                loop.call_later(0.005, transport.abort)

        exchange.kill()
        host, port = split_address(exchange.address)
        await loop.create_server(ResettingPeer, host, port)
        await asyncio.sleep(20)
        cap = 8 * server.settings.limits.redial / SECOND
        assert 2 <= len(links) <= 20 / cap + 6, "the pauses grow although each link was established"
        server.kill()

    on_virtual_loop(run(), loop)


def test_evicts_flows_of_datagram_sources() -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await start_server_and_exchange(
            loop, log, udp_too=True, limits=Limits(connections=100)
        )
        assert server.datagram_socket is not None
        options = request(
            "OPTIONS", "sip:x", via="SIP/2.0/UDP p;branch=z9hG4bKo", sender="<sip:p@p>;tag=p", to="<sip:x@x>",
            call_id="o", cseq=1,
        )  # fmt: skip
        for n in range(5000):
            options.set("via", f"SIP/2.0/UDP p;branch=z9hG4bK{n}")
            server.datagram_socket.datagram_received(options.encode(), ("127.0.0.1", 30000 + n))
            if n % 50 == 49:
                await asyncio.sleep(40)  # longer than 64 x T1, after which the transactions have ended
        assert len(server.datagram_flows) == len(server.datagram_peers) <= 101
        server.kill()
        exchange.kill()

    on_virtual_loop(run(), loop)


def test_register_client_reconnects_after_gap_and_silence() -> None:
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
        register.update_exchange(Entry("10.0.0.2:1", 2, started=loop.time()))
        await asyncio.sleep(1)
        register.generation += 1  # a change that is not sent
        register.update_exchange(Entry("10.0.0.3:1", 3))
        await asyncio.sleep(3)
        register.stop_answering(20)
        await asyncio.sleep(40)
        register.update_exchange(Entry("10.0.0.1:1", 1, "gone"))
        await asyncio.sleep(1)
        client.stop()
        register.close()

    on_virtual_loop(run(), loop)
    kinds = [kind for kind, _ in news]
    assert kinds[:4] == ["COMPLETE", "CHANGES", "FAILED", "COMPLETE"] and "10.0.0.3:1" in news[3][1]
    assert any("change 3 after 1" in n for n in notes) and any("silent for 5 s" in n for n in notes)
    assert kinds[-2:] == ["COMPLETE", "CHANGES"] and news[-1][1] == ["10.0.0.1:1"]


def test_parses_event_stream_in_chunks_of_any_size() -> None:
    text = b"data: one\r\n\r\n: note\n\ndata: two\ndata: lines\n\n"
    for size in range(1, len(text)):
        stream, found = EventStream(), []
        for at in range(0, len(text), size):
            found += stream.feed(text[at : at + size])
        assert found == [b"one", b"two\nlines"]


def test_process_drains_and_exits_on_sigterm(tmp_path: Path) -> None:
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
