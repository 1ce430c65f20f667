"""What TLS costs: calls a CPU-second beside plain links, in turns; and sixty peers that come back at once.

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
from eiderstep.lab.bench import CONNECTIONS, WINDOW, Child, numbers, settings
from eiderstep.lab.load import Load
from eiderstep.server.tls import Keys, Tls
from eiderstep.sip.message import request
from eiderstep.sip.parser import Parser
from eiderstep.trust.authority import Authority

PEERS = 6
CROWD = 60
LOAD = "load.bench"


def made_keys(folder: Path, peers: int) -> None:
    """A CA, and a key for the server (x0), each peer, and the callers."""
    ca = Authority.make(folder, "bench", time.time())
    for name in [f"x{n}.bench" for n in range(peers + 1)] + [LOAD]:
        ca.issue(name, time.time())


def tls_of(folder: Path, name: str) -> SipTls:
    ca, cert, key = (str(folder / file) for file in ("ca.pem", f"{name}.pem", f"{name}.key"))
    return SipTls(listen="127.0.0.1:0", ca=ca, cert=cert, key=key)


def server(folder: Path, ports: list[int], secure: bool, peers: int) -> tuple[Child, int, int]:
    """A call server in its own process; its plain and its TLS port."""
    made = settings(ports, 10_000)
    if secure:
        callers = [Caller(name="load", identity=LOAD, networks=["127.0.0.0/8"])]
        trust = Trust(tls=tls_of(folder, "x0.bench"), plain_exchanges=False, callers=callers)
        made = msgspec.structs.replace(made, trust=trust)
    script = folder / f"bench-{secure}-{peers}.star"
    script.write_text(dump(made))
    child = Child("-m", "eiderstep", "serve", str(script))
    while '"serving"' not in child.first_line:
        assert child.process.stdout is not None
        child.first_line = child.process.stdout.readline()
    said = msgspec.json.decode(child.first_line)
    return child, int(said["address"].rpartition(":")[2]), int(said.get("tls", ":0").rpartition(":")[2])


def side(folder: Path, secure: bool, seconds: float) -> float:
    """Calls a CPU-second of the server, callers and links alike plain or over TLS."""
    more = [str(folder)] if secure else []
    answerers = Child("-m", "eiderstep.lab.load", "answerers", str(PEERS), *more)
    ports = [int(p) for p in answerers.first_line.split()]
    child, plain, tls = server(folder, ports, secure, PEERS)

    async def run() -> float:
        load = Load(numbers(PEERS))
        context = Keys(tls_of(folder, LOAD)).client if secure else None
        await load.connect("127.0.0.1", tls if secure else plain, CONNECTIONS, context)
        await load.closed(1.0, WINDOW)
        before, done = child.cpu(), load.done
        await load.closed(seconds, WINDOW)
        if load.turned_away:
            raise RuntimeError(f"{load.turned_away} calls were turned away")
        return (load.done - done) / max(child.cpu() - before, 1e-9)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())
    finally:
        child.end()
        answerers.end()


class Peer(asyncio.Protocol):
    """One exchange that dials in, proves itself, and asks whether it is heard."""

    def __init__(self, context: ssl.SSLContext, session: ssl.SSLSession | None, name: str) -> None:
        self.tls, self.parser = Tls(context, False, session), Parser()
        self.transport: Any = None
        self.name, self.asked = name, False
        self.stands: asyncio.Future[None] = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        transport.write(self.tls.start())

    def data_received(self, data: bytes) -> None:
        plain = self.tls.feed(data)
        self.transport.write(self.tls.wanted())
        if self.tls.done and not self.asked:
            self.asked = True
            ask = request(
                "OPTIONS", "sip:x@x", via=f"SIP/2.0/TCP s;branch=z9hG4bK{self.name}",
                sender="<sip:s@s>;tag=1", to="<sip:x@x>", call_id=self.name, cseq=1,
            )  # fmt: skip
            self.transport.write(self.tls.write(ask.encode()))
        if self.parser.feed(plain) and not self.stands.done():
            self.stands.set_result(None)

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.stands.done():
            self.stands.set_exception(ConnectionError("shut out"))


async def crowd(
    port: int, keys: list[Keys], sessions: list[ssl.SSLSession | None]
) -> tuple[float, list[Peer]]:
    """All at once; seconds until the last one stands."""
    loop, began = asyncio.get_running_loop(), time.perf_counter()
    pairs = zip(keys, sessions, strict=True)
    made = [Peer(k.client, s, f"{n}-{began}") for n, (k, s) in enumerate(pairs)]
    dials = [loop.create_connection(partial(_same, one), "127.0.0.1", port) for one in made]
    await asyncio.gather(*dials)
    await asyncio.gather(*(one.stands for one in made))
    return time.perf_counter() - began, made


def _same(one: Peer) -> Peer:
    return one


async def crowd_apart(port: int, folder: Path) -> None:
    """A process of its own, so that its handshakes hold up the server alone: a line in, seconds out."""
    keys = [Keys(tls_of(folder, f"x{n + 1}.bench")) for n in range(CROWD)]
    sessions: list[ssl.SSLSession | None] = [None] * CROWD
    print("ready", flush=True)
    for what in ("whole", "resumed"):
        await asyncio.to_thread(sys.stdin.readline)
        seconds, peers = await crowd(port, keys, sessions)
        if not all(p.tls.resumed is (what == "resumed") for p in peers):
            raise RuntimeError(f"handshakes were not {what}")
        sessions = [p.tls.session for p in peers]
        for one in peers:
            one.transport.close()
        print(f"{seconds:.4f}", flush=True)


def back_at_once(folder: Path) -> dict[str, tuple[float, float, float]]:
    """Seconds until all sixty stand, whole and resumed; p50 and p99 (ms) of honest set-ups meanwhile."""
    answerers = Child("-m", "eiderstep.lab.load", "answerers", str(CROWD), str(folder))
    ports = [int(p) for p in answerers.first_line.split()]
    child, _, port = server(folder, ports, True, CROWD)
    apart = Child("-m", "eiderstep.lab.secure", "crowd", str(port), str(folder))
    pipes = apart.process
    assert pipes.stdin is not None and pipes.stdout is not None

    def ask() -> float:
        assert pipes.stdin is not None and pipes.stdout is not None
        pipes.stdin.write("go\n")
        pipes.stdin.flush()
        return float(pipes.stdout.readline())

    async def run() -> dict[str, tuple[float, float, float]]:
        found: dict[str, tuple[float, float, float]] = {}
        load = Load(numbers(CROWD))
        await load.connect("127.0.0.1", port, CONNECTIONS, Keys(tls_of(folder, LOAD)).client)
        await load.closed(1.0, WINDOW)
        for what in ("calm", "whole handshakes", "resumed"):
            load.took.clear()
            honest = asyncio.create_task(load.open(1.5, 200.0))
            await asyncio.sleep(0.5)
            seconds = 0.0 if what == "calm" else await asyncio.to_thread(ask)
            await honest
            took = sorted(load.took)
            found[what] = (seconds, 1000 * median(took), 1000 * took[int(0.99 * len(took))])
            await asyncio.sleep(0.5)
        return found

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            return runner.run(run())
    finally:
        for one in (apart, child, answerers):
            one.end()


def main() -> None:
    """Rounds in turn, and the crowd."""
    if sys.argv[1:2] == ["crowd"]:
        asyncio.run(crowd_apart(int(sys.argv[2]), Path(sys.argv[3])))
        return
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else 5.0
    rounds = int(sys.argv[2]) if len(sys.argv) > 2 else 5
    with tempfile.TemporaryDirectory() as spare:
        folder = Path(spare)
        made_keys(folder, CROWD)
        print("| round | plain, calls a CPU-second | TLS | ratio |\n| --- | --- | --- | --- |")
        ratios: list[float] = []
        for n in range(rounds):
            plain, tls = side(folder, False, seconds), side(folder, True, seconds)
            ratios.append(tls / plain)
            print(f"| {n + 1} | {plain:.0f} | {tls:.0f} | {tls / plain:.2f} |", flush=True)
        print(f"\nMedian ratio {median(ratios):.2f}, {min(ratios):.2f} to {max(ratios):.2f}.\n")
        print("| sixty peers at once | seconds until all stand | honest set-ups p50 ms | p99 ms |")
        print("| --- | --- | --- | --- |")
        for what, (took, p50, p99) in back_at_once(folder).items():
            print(f"| {what} | {took:.2f} | {p50:.1f} | {p99:.1f} |")


if __name__ == "__main__":
    main()
