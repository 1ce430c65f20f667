"""Measures the cost of TLS: calls per CPU-second against plain TCP, and sixty peers that reconnect at once.

`python -m eiderstep.lab.secure [SECONDS] [ROUNDS]` prints a page for bench/results/trust.md.
"""

from __future__ import annotations

import asyncio
import ssl
import sys
import tempfile
import time
from functools import partial
from pathlib import Path
from statistics import median
from typing import Any

import msgspec
import uvloop

from eiderstep.config.dump import dump
from eiderstep.config.schema import Caller, SipTls, Trust
from eiderstep.lab.bench import (
    CALLER_CONNECTIONS,
    CALLS_IN_FLIGHT,
    ChildProcess,
    called_numbers,
    server_settings,
)
from eiderstep.lab.load import LoadGenerator
from eiderstep.server.tls import Credentials, TlsConnection
from eiderstep.sip.message import request
from eiderstep.sip.parser import Parser
from eiderstep.trust.authority import Authority

PEER_COUNT = 6
RECONNECTING_PEERS = 60
LOAD_IDENTITY = "load.bench"


def issue_keys(folder: Path, peer_count: int) -> None:
    """Creates a CA and keys for the server (x0), each peer and the callers."""
    ca = Authority.create(folder, "bench", time.time())
    for name in [f"x{n}.bench" for n in range(peer_count + 1)] + [LOAD_IDENTITY]:
        ca.issue(name, time.time())


def tls_settings(folder: Path, name: str) -> SipTls:
    """Returns TLS settings with the key and certificate of this name."""
    ca, cert, key = (str(folder / file) for file in ("ca.pem", f"{name}.pem", f"{name}.key"))
    return SipTls(listen="127.0.0.1:0", ca=ca, cert=cert, key=key)


def start_server(
    folder: Path, ports: list[int], use_tls: bool, peer_count: int
) -> tuple[ChildProcess, int, int]:
    """Starts a call server in its own process; returns it with its plain and its TLS port (0 without TLS)."""
    settings = server_settings(ports, 10_000)
    if use_tls:
        callers = [Caller(name="load", identity=LOAD_IDENTITY, networks=["127.0.0.0/8"])]
        trust = Trust(tls=tls_settings(folder, "x0.bench"), plain_exchanges=False, callers=callers)
        settings = msgspec.structs.replace(settings, trust=trust)
    script = folder / f"bench-{use_tls}-{peer_count}.star"
    script.write_text(dump(settings))
    child = ChildProcess("-m", "eiderstep", "serve", str(script))
    while '"serving"' not in child.first_line:
        assert child.process.stdout is not None
        child.first_line = child.process.stdout.readline()
    first_entry = msgspec.json.decode(child.first_line)
    return (
        child,
        int(first_entry["address"].rpartition(":")[2]),
        int(first_entry.get("tls", ":0").rpartition(":")[2]),
    )


def measure_calls_per_cpu(folder: Path, use_tls: bool, seconds: float) -> float:
    """Returns the server's calls per CPU-second with callers and links all over TLS or all over plain TCP."""
    tls_arguments = [str(folder)] if use_tls else []
    answerers = ChildProcess("-m", "eiderstep.lab.load", "answerers", str(PEER_COUNT), *tls_arguments)
    ports = [int(p) for p in answerers.first_line.split()]
    child, plain_port, tls_port = start_server(folder, ports, use_tls, PEER_COUNT)

    async def run() -> float:
        load = LoadGenerator(called_numbers(PEER_COUNT))
        tls_context = Credentials(tls_settings(folder, LOAD_IDENTITY)).client_context if use_tls else None
        await load.connect("127.0.0.1", tls_port if use_tls else plain_port, CALLER_CONNECTIONS, tls_context)
        await load.run_closed_loop(1.0, CALLS_IN_FLIGHT)
        cpu_before, completed_before = child.cpu_seconds(), load.completed
        await load.run_closed_loop(seconds, CALLS_IN_FLIGHT)
        if load.turned_away:
            raise RuntimeError(f"{load.turned_away} calls were turned away")
        return (load.completed - completed_before) / max(child.cpu_seconds() - cpu_before, 1e-9)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())
    finally:
        child.stop()
        answerers.stop()


class PeerLink(asyncio.Protocol):
    """One exchange that connects, shows its certificate and sends OPTIONS to learn whether it is accepted."""

    def __init__(self, context: ssl.SSLContext, session: ssl.SSLSession | None, name: str) -> None:
        self.tls, self.parser = TlsConnection(context, False, session), Parser()
        self.transport: Any = None
        self.name, self.probe_sent = name, False
        self.accepted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(self.tls.start())

    def data_received(self, data: bytes) -> None:
        decrypted = self.tls.feed(data)
        self.transport.write(self.tls.pending_output())
        if self.tls.handshake_done and not self.probe_sent:
            self.probe_sent = True
            probe = request(
                "OPTIONS", "sip:x@x", via=f"SIP/2.0/TCP s;branch=z9hG4bK{self.name}",
                sender="<sip:s@s>;tag=1", to="<sip:x@x>", call_id=self.name, cseq=1,
            )  # fmt: skip
            self.transport.write(self.tls.write(probe.encode()))
        if self.parser.feed(decrypted) and not self.accepted.done():
            self.accepted.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.accepted.done():
            self.accepted.set_exception(ConnectionError("connection closed before OPTIONS was answered"))


async def connect_peers(
    port: int, keys: list[Credentials], sessions: list[ssl.SSLSession | None]
) -> tuple[float, list[PeerLink]]:
    """Connects all peers at once; returns the seconds until the last one is accepted, and the links."""
    loop, began = asyncio.get_running_loop(), time.perf_counter()
    pairs = zip(keys, sessions, strict=True)
    links = [PeerLink(k.client_context, s, f"{n}-{began}") for n, (k, s) in enumerate(pairs)]
    connections = [loop.create_connection(partial(_return_link, link), "127.0.0.1", port) for link in links]
    await asyncio.gather(*connections)
    await asyncio.gather(*(link.accepted for link in links))
    return time.perf_counter() - began, links


def _return_link(link: PeerLink) -> PeerLink:
    return link


async def run_peers_process(port: int, folder: Path) -> None:
    """Connects all peers twice, with full and then with resumed handshakes, each time on a line of input.

    Runs in a separate process, so that the CPU time of the peers' handshakes delays no caller.  Prints
    "ready", then the seconds of each time.
    """
    keys = [Credentials(tls_settings(folder, f"x{n + 1}.bench")) for n in range(RECONNECTING_PEERS)]
    sessions: list[ssl.SSLSession | None] = [None] * RECONNECTING_PEERS
    print("ready", flush=True)
    for handshakes in ("whole", "resumed"):
        await asyncio.to_thread(sys.stdin.readline)
        seconds, links = await connect_peers(port, keys, sessions)
        if not all(link.tls.resumed is (handshakes == "resumed") for link in links):
            raise RuntimeError(f"not all TLS handshakes were {handshakes}")
        sessions = [link.tls.session for link in links]
        for link in links:
            link.transport.close()
        print(f"{seconds:.4f}", flush=True)


def measure_reconnection(folder: Path) -> dict[str, tuple[float, float, float]]:
    """Measures the reconnection of all peers while 200 calls per second are set up.

    Returns by phase the seconds until all peers are accepted, and p50 and p99 of the set-up times (ms).
    """
    answerers = ChildProcess("-m", "eiderstep.lab.load", "answerers", str(RECONNECTING_PEERS), str(folder))
    ports = [int(p) for p in answerers.first_line.split()]
    child, _, port = start_server(folder, ports, True, RECONNECTING_PEERS)
    peers_process = ChildProcess("-m", "eiderstep.lab.secure", "crowd", str(port), str(folder))
    pipes = peers_process.process
    assert pipes.stdin is not None and pipes.stdout is not None

    def connect_all() -> float:
        assert pipes.stdin is not None and pipes.stdout is not None
        pipes.stdin.write("go\n")
        pipes.stdin.flush()
        return float(pipes.stdout.readline())

    async def run() -> dict[str, tuple[float, float, float]]:
        results: dict[str, tuple[float, float, float]] = {}
        load = LoadGenerator(called_numbers(RECONNECTING_PEERS))
        await load.connect(
            "127.0.0.1",
            port,
            CALLER_CONNECTIONS,
            Credentials(tls_settings(folder, LOAD_IDENTITY)).client_context,
        )
        await load.run_closed_loop(1.0, CALLS_IN_FLIGHT)
        for phase in ("calm", "whole handshakes", "resumed"):
            load.set_up_times.clear()
            calls = asyncio.create_task(load.run_open_loop(1.5, 200.0))
            await asyncio.sleep(0.5)
            seconds = 0.0 if phase == "calm" else await asyncio.to_thread(connect_all)
            await calls
            set_up_times = sorted(load.set_up_times)
            results[phase] = (
                seconds,
                1000 * median(set_up_times),
                1000 * set_up_times[int(0.99 * len(set_up_times))],
            )
            await asyncio.sleep(0.5)
        return results

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())
    finally:
        for process in (peers_process, child, answerers):
            process.stop()


def main() -> None:
    """Runs the rounds, plain and TLS in turns, then the reconnection."""
    if sys.argv[1:2] == ["crowd"]:
        asyncio.run(run_peers_process(int(sys.argv[2]), Path(sys.argv[3])))
        return
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    with tempfile.TemporaryDirectory() as temp_folder:
        folder = Path(temp_folder)
        issue_keys(folder, RECONNECTING_PEERS)
        print("| round | plain, calls per CPU-second | TLS | ratio |\n| --- | --- | --- | --- |")
        ratios: list[float] = []
        for n in range(rounds):
            plain, tls = (
                measure_calls_per_cpu(folder, False, seconds),
                measure_calls_per_cpu(folder, True, seconds),
            )
            ratios.append(tls / plain)
            print(f"| {n + 1} | {plain:.0f} | {tls:.0f} | {tls / plain:.2f} |", flush=True)
        print(f"\nMedian ratio {median(ratios):.2f}, {min(ratios):.2f} to {max(ratios):.2f}.\n")
        print("| sixty peers reconnect at once | seconds until all are accepted | set-ups p50 ms | p99 ms |")
        print("| --- | --- | --- | --- |")
        for phase, (seconds_until_accepted, p50, p99) in measure_reconnection(folder).items():
            print(f"| {phase} | {seconds_until_accepted:.2f} | {p50:.1f} | {p99:.1f} |")


if __name__ == "__main__":
    main()
