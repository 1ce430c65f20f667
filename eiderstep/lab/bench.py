"""Measures one call server beside a bare relay: calls per CPU-second, added set-up time, memory, shares.

The relay forwards the same six messages of a call (INVITE, 100, 200, ACK, BYE, 200) unread; it is the floor
that a speed is stated against.  Both run in processes of their own, in one run, one after the other.
"""

from __future__ import annotations

import asyncio
import gc
import os
import platform
import shutil
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from importlib.metadata import version
from pathlib import Path
from typing import Any

import msgspec
import uvloop
from hdrh.histogram import HdrHistogram

from eiderstep.config.dump import dump
from eiderstep.config.schema import (
    CallClass,
    Limits,
    Peer,
    Route,
    Rules,
    ServerSettings,
    Sizing,
    SourceLimits,
)
from eiderstep.lab.load import Load
from eiderstep.sip import parser

MS, SECOND = 1_000_000, 1_000_000_000
CONNECTIONS = 8
WINDOW = 32
TICK = os.sysconf("SC_CLK_TCK")
PAGE = os.sysconf("SC_PAGE_SIZE")


@dataclass
class Figures:
    """One subject's measurements."""

    peak: float = 0.0  # calls a second, closed loop
    per_cpu: float = 0.0  # calls per CPU-second, in the closed loop
    same: float = 0.0  # calls per CPU-second in the open loop, at half the server's peak
    p50: float = 0.0  # ms, at half the server's peak
    p99: float = 0.0
    shares: dict[str, float] = field(default_factory=dict)
    memory: float = 0.0  # bytes a standing call
    turned_away: int = 0


def settings(ports: list[int], calls: int) -> ServerSettings:
    """A server with these neighbours, its groups large enough that nothing is ever blocked."""
    plain = CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=100 * MS)
    peers = [
        Peer(number=i + 1, address=f"127.0.0.1:{port}", circuits=calls // len(ports) + 500)
        for i, port in enumerate(ports)
    ]
    return ServerSettings(
        number=0,
        listen="127.0.0.1:0",
        context="bench",
        classes=[plain],
        peers=peers,
        dial_plan=[Route(prefix=f"{4000 + p.number}", exchange=p.number) for p in peers],
        rules=Rules(answer_margin=50 * MS),
        limits=Limits(source=SourceLimits(messages=1_000_000)),  # all callers are one source here
    )


class Child:
    """A measured process."""

    def __init__(self, *command: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *command], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.first_line = self.process.stdout.readline()

    def cpu(self) -> float:
        """CPU-seconds so far."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) / TICK

    def rss(self) -> int:
        """Resident bytes."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE

    def end(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.terminate()
        self.process.wait()


def numbers(count: int) -> list[str]:
    return [f"{4000 + i + 1}{n:04d}" for n in range(50) for i in range(count)]


def _server(ports: list[int], calls: int, folder: Path) -> tuple[Child, int]:
    script = folder / "bench.star"
    script.write_text(dump(settings(ports, calls)))
    child = Child("-m", "eiderstep", "serve", str(script))
    while '"serving"' not in child.first_line:
        assert child.process.stdout is not None
        child.first_line = child.process.stdout.readline()
    port = int(child.first_line.partition('"address": "127.0.0.1:')[2].partition('"')[0])
    return child, port


def _loaded(port: int, peers: int, work: Callable[[Load], Any]) -> Load:
    async def run() -> Load:
        load = Load(numbers(peers))
        await load.connect("127.0.0.1", port, CONNECTIONS)
        await work(load)
        return load

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def _measure(child: Child, port: int, peers: int, seconds: float, rate: float) -> Figures:
    """Peak and cost in a closed loop, then set-up times in an open one at `rate` (0: half the peak found)."""
    figures = Figures()

    async def closed(load: Load) -> None:
        await load.closed(1.0, WINDOW)  # warm-up
        before, done = child.cpu(), load.done
        figures.peak = await load.closed(seconds, WINDOW)
        figures.per_cpu = (load.done - done) / max(child.cpu() - before, 1e-9)

    figures.turned_away = _loaded(port, peers, closed).turned_away
    half = rate or figures.peak / 2
    before = child.cpu()
    load = _loaded(port, peers, lambda load: load.open(seconds, half))
    figures.same = load.done / max(child.cpu() - before, 1e-9)
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    for took in load.took:
        histogram.record_value(max(int(took * 1e6), 1))
    figures.p50, figures.p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
    return figures


def _memory(ports: list[int], peers: int, standing: int, folder: Path) -> float:
    child, port = _server(ports, standing, folder)
    try:
        _loaded(port, peers, lambda load: load.closed(1.0, WINDOW))
        before = child.rss()
        after = 0

        async def stand(load: Load) -> None:
            nonlocal after
            await load.stand(standing)
            await asyncio.sleep(0.5)
            after = child.rss()

        load = _loaded(port, peers, stand)
        if load.turned_away:
            raise RuntimeError(f"{load.turned_away} of {standing} calls were turned away")
        return (after - before) / standing
    finally:
        child.end()


def shares(peers: int, seconds: float) -> dict[str, float]:
    """Exclusive shares of the server's time in module, parser, engine and the rest, timed in one process.

    The clock is read around each, which costs some; the shares are of the time that this run took.
    """
    from eiderstep.decide import Controller
    from eiderstep.engine.core import Engine
    from eiderstep.server.node import CallServer
    from eiderstep.sip.parser import Parser
    from eiderstep.sip.transaction import Transactions
    from eiderstep.sizing.meter import Meter

    spent: dict[str, float] = {}
    stack: list[list[float]] = []

    def timed(owner: type, name: str, label: str) -> None:
        original = getattr(owner, name)

        def wrapper(*arguments: Any, **named: Any) -> Any:
            began = time.perf_counter()
            stack.append([0.0])
            try:
                return original(*arguments, **named)
            finally:
                took = time.perf_counter() - began
                inner = stack.pop()[0]
                spent[label] = spent.get(label, 0.0) + took - inner
                if stack:
                    stack[-1][0] += took

        setattr(owner, name, wrapper)

    answerers = Child("-m", "eiderstep.lab.load", "answerers", str(peers))
    ports = [int(p) for p in answerers.first_line.split()]
    child = None
    folder = tempfile.mkdtemp()
    for owner, name, label in (
        (Controller, "handle", "module"), (Parser, "feed", "parser"), (Engine, "message", "engine"),
        (Engine, "flush", "engine"), (Engine, "due", "engine"), (Transactions, "receive", "transactions"),
        (Transactions, "send", "transactions"), (Transactions, "respond", "transactions"),
        (CallServer, "came", "server"), (Meter, "tried", "meter"), (Meter, "stands", "meter"),
        (Meter, "ended", "meter"), (Meter, "level", "meter"), (Meter, "blocked", "meter"),
        (Meter, "refused", "meter"), (Meter, "gave_up", "meter"), (Meter, "roll", "meter"),
    ):  # fmt: skip
        timed(owner, name, label)

    async def run() -> float:
        nonlocal child
        loop = asyncio.get_running_loop()
        measured = msgspec.structs.replace(settings(ports, 1000), sizing=Sizing(store=f"{folder}/meter.db"))
        server = CallServer(loop, measured, lambda *_: None)
        await server.start()
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "eiderstep.lab.bench", server.address, str(peers), str(seconds)
        )
        began = time.process_time()
        await child.wait()
        return time.process_time() - began

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            whole = runner.run(run())
    finally:
        answerers.end()
        shutil.rmtree(folder)
    result = {label: part / whole for label, part in sorted(spent.items())}
    result["sockets and loop"] = max(1 - sum(result.values()), 0.0)
    return result


def machine() -> str:
    """What this was measured on."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    compiled = "compiled" if not str(parser.__file__).endswith(".py") else "plain Python"
    python = f"Python {platform.python_version()}, uvloop {version('uvloop')}"
    return f"{compiled}, {model}, {os.cpu_count()} cores, {python}"


def run(seconds: float, standing: int, sizes: list[int]) -> str:
    """The whole measurement; returns a Markdown table."""
    rows = [
        f"Measured on {machine()}; {seconds:g} s each part, {WINDOW} calls out in the closed loop, "
        f"{CONNECTIONS} caller connections, {standing} standing calls.",
        "",
        "| exchanges | subject | calls a CPU-second at the same rate | of the relay "
        "| the same, closed loop | of the relay | peak, calls/s | p50 ms | p99 ms "
        "| KiB a standing call |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    after: list[str] = []
    with tempfile.TemporaryDirectory() as spare:
        for size in sizes:
            peers = size - 1
            answerers = Child("-m", "eiderstep.lab.load", "answerers", str(peers))
            ports = [int(p) for p in answerers.first_line.split()]
            try:
                child, port = _server(ports, 1000, Path(spare))
                server = _measure(child, port, peers, seconds, 0.0)
                child.end()
                relay = Child("-m", "eiderstep.lab.load", "relay", f"127.0.0.1:{ports[0]}")
                floor = _measure(relay, int(relay.first_line), peers, seconds, server.peak / 2)
                relay.end()
                server.memory = _memory(ports, peers, standing, Path(spare))
            finally:
                answerers.end()
            gc.collect()
            ratio, closed = server.same / floor.same, server.per_cpu / floor.per_cpu
            rows.append(
                f"| {size} | call server | {server.same:.0f} | {ratio:.3f} "
                f"| {server.per_cpu:.0f} | {closed:.3f} | {server.peak:.0f} | "
                f"{server.p50:.2f} | {server.p99:.2f} | {server.memory / 1024:.2f} |"
            )
            rows.append(
                f"| {size} | relay | {floor.same:.0f} | 1 | {floor.per_cpu:.0f} | 1 | {floor.peak:.0f} "
                f"| {floor.p50:.2f} | {floor.p99:.2f} | |"
            )
            added = f"{server.p50 - floor.p50:.2f} ms at p50, {server.p99 - floor.p99:.2f} ms at p99"
            told = ", ".join(f"{k} {v:.0%}" for k, v in shares_apart(peers, min(seconds, 5.0)).items())
            after.append(
                f"- {size} exchanges: added set-up time at half the peak {added}; "
                f"turned away {server.turned_away}; shares: {told}"
            )
    return "\n".join([*rows, "", *after])


def shares_apart(peers: int, seconds: float) -> dict[str, float]:
    """`shares` in a process of its own, since it wraps the classes it times."""
    code = (
        f"import json; from eiderstep.lab.bench import shares; print(json.dumps(shares({peers}, {seconds})))"
    )
    said = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return msgspec.json.decode(said.stdout.splitlines()[-1], type=dict[str, float])


if __name__ == "__main__":  # the callers of `shares`
    place, fleet, length = sys.argv[1:4]
    _loaded(int(place.rpartition(":")[2]), int(fleet), lambda load: load.closed(float(length), WINDOW))
