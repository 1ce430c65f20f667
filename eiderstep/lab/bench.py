"""Benchmarks one call server against a plain relay: calls per CPU-second, set-up time, memory, time shares.

The relay forwards the same six messages of a call (INVITE, 100, 200, ACK, BYE, 200) without reading them; its
speed is the baseline of the ratios.  Both run in separate processes, in one run, one after the other.
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
from eiderstep.lab.load import LoadGenerator
from eiderstep.sip import parser

MS, SECOND = 1_000_000, 1_000_000_000
CALLER_CONNECTIONS = 8
CALLS_IN_FLIGHT = 32
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


@dataclass
class Measurements:
    """Measurements of the call server or of the relay."""

    peak_rate: float = 0.0  # calls per second, closed loop
    calls_per_cpu_closed: float = 0.0  # calls per CPU-second, closed loop
    calls_per_cpu_open: float = 0.0  # calls per CPU-second, open loop at half the server's peak rate
    p50_ms: float = 0.0  # set-up time at half the server's peak rate
    p99_ms: float = 0.0
    time_shares: dict[str, float] = field(default_factory=dict)
    bytes_per_call: float = 0.0  # per standing call
    turned_away: int = 0


def server_settings(ports: list[int], calls: int) -> ServerSettings:
    """Settings of a server with peers on these ports; its groups are large enough that no call is blocked."""
    call_class = CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=100 * MS)
    peers = [
        Peer(number=i + 1, address=f"127.0.0.1:{port}", circuits=calls // len(ports) + 500)
        for i, port in enumerate(ports)
    ]
    return ServerSettings(
        number=0,
        listen="127.0.0.1:0",
        context="bench",
        classes=[call_class],
        peers=peers,
        dial_plan=[Route(prefix=f"{4000 + p.number}", exchange=p.number) for p in peers],
        rules=Rules(answer_margin=50 * MS),
        limits=Limits(source=SourceLimits(messages=1_000_000)),  # all callers share one source address
    )


class ChildProcess:
    """A child process of the benchmark; the constructor waits for its first line of output."""

    def __init__(self, *command: str) -> None:
        self.process = subprocess.Popen(
            [sys.executable, *command], stdin=subprocess.PIPE, stdout=subprocess.PIPE, text=True
        )
        assert self.process.stdout is not None
        self.first_line = self.process.stdout.readline()

    def cpu_seconds(self) -> float:
        """Returns the CPU time used so far."""
        stat = Path(f"/proc/{self.process.pid}/stat").read_text().rpartition(")")[2].split()
        return (int(stat[11]) + int(stat[12])) / CLOCK_TICKS_PER_SECOND

    def rss_bytes(self) -> int:
        """Returns the resident set size."""
        return int(Path(f"/proc/{self.process.pid}/statm").read_text().split()[1]) * PAGE_BYTES

    def stop(self) -> None:
        """Terminates the process and waits for its end."""
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.terminate()
        self.process.wait()


def called_numbers(peer_count: int) -> list[str]:
    """Returns 50 numbers of each exchange, the exchanges in turns."""
    return [f"{4000 + i + 1}{n:04d}" for n in range(50) for i in range(peer_count)]


def _start_server(ports: list[int], calls: int, folder: Path) -> tuple[ChildProcess, int]:
    script = folder / "bench.star"
    script.write_text(dump(server_settings(ports, calls)))
    child = ChildProcess("-m", "eiderstep", "serve", str(script))
    while '"serving"' not in child.first_line:
        assert child.process.stdout is not None
        child.first_line = child.process.stdout.readline()
    port = int(child.first_line.partition('"address": "127.0.0.1:')[2].partition('"')[0])
    return child, port


def _run_load(port: int, peer_count: int, work: Callable[[LoadGenerator], Any]) -> LoadGenerator:
    async def run() -> LoadGenerator:
        load = LoadGenerator(called_numbers(peer_count))
        await load.connect("127.0.0.1", port, CALLER_CONNECTIONS)
        await work(load)
        return load

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        return runner.run(run())


def _measure(child: ChildProcess, port: int, peer_count: int, seconds: float, rate: float) -> Measurements:
    """Measures peak rate and CPU cost in a closed loop, then set-up times in an open loop.

    `rate` is that of the open loop; 0 stands for half the peak rate just measured.
    """
    measured = Measurements()

    async def run_closed(load: LoadGenerator) -> None:
        await load.run_closed_loop(1.0, CALLS_IN_FLIGHT)  # warm-up
        cpu_before, completed_before = child.cpu_seconds(), load.completed
        measured.peak_rate = await load.run_closed_loop(seconds, CALLS_IN_FLIGHT)
        measured.calls_per_cpu_closed = (load.completed - completed_before) / max(
            child.cpu_seconds() - cpu_before, 1e-9
        )

    measured.turned_away = _run_load(port, peer_count, run_closed).turned_away
    open_rate = rate or measured.peak_rate / 2
    cpu_before = child.cpu_seconds()
    load = _run_load(port, peer_count, lambda load: load.run_open_loop(seconds, open_rate))
    measured.calls_per_cpu_open = load.completed / max(child.cpu_seconds() - cpu_before, 1e-9)
    histogram = HdrHistogram(1, 60_000_000, 3)  # microseconds
    for set_up_time in load.set_up_times:
        histogram.record_value(max(int(set_up_time * 1e6), 1))
    measured.p50_ms, measured.p99_ms = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 99))
    return measured


def _bytes_per_standing_call(ports: list[int], peer_count: int, standing: int, folder: Path) -> float:
    child, port = _start_server(ports, standing, folder)
    try:
        _run_load(port, peer_count, lambda load: load.run_closed_loop(1.0, CALLS_IN_FLIGHT))
        rss_before = child.rss_bytes()
        rss_after = 0

        async def establish(load: LoadGenerator) -> None:
            nonlocal rss_after
            await load.establish_calls(standing)
            await asyncio.sleep(0.5)
            rss_after = child.rss_bytes()

        load = _run_load(port, peer_count, establish)
        if load.turned_away:
            raise RuntimeError(f"{load.turned_away} of {standing} calls were turned away")
        return (rss_after - rss_before) / standing
    finally:
        child.stop()


def time_shares(peer_count: int, seconds: float) -> dict[str, float]:
    """Returns exclusive shares of the server's CPU time by component, measured in this process.

    Each timed method reads the clock twice, which costs time too; the shares are of the CPU time of this run.
    The timed classes stay patched.
    """
    from eiderstep.decide import Controller
    from eiderstep.engine.core import Engine
    from eiderstep.server.call_server import CallServer
    from eiderstep.sip.parser import Parser
    from eiderstep.sip.transaction import TransactionLayer
    from eiderstep.sizing.meter import Meter

    seconds_by_label: dict[str, float] = {}
    nested_seconds: list[list[float]] = []

    def instrument(owner: type, name: str, label: str) -> None:
        method = getattr(owner, name)

        def wrapper(*arguments: Any, **keywords: Any) -> Any:
            started = time.perf_counter()
            nested_seconds.append([0.0])
            try:
                return method(*arguments, **keywords)
            finally:
                elapsed = time.perf_counter() - started
                nested = nested_seconds.pop()[0]
                seconds_by_label[label] = seconds_by_label.get(label, 0.0) + elapsed - nested
                if nested_seconds:
                    nested_seconds[-1][0] += elapsed

        setattr(owner, name, wrapper)

    answerers = ChildProcess("-m", "eiderstep.lab.load", "answerers", str(peer_count))
    ports = [int(p) for p in answerers.first_line.split()]
    child = None
    folder = tempfile.mkdtemp()
    for owner, name, label in (
        (Controller, "handle", "module"), (Parser, "feed", "parser"), (Engine, "handle_message", "engine"),
        (Engine, "flush", "engine"), (Engine, "run_timers", "engine"),
        (TransactionLayer, "receive", "transactions"), (TransactionLayer, "send", "transactions"),
        (TransactionLayer, "respond", "transactions"), (CallServer, "messages_received", "server"),
        (Meter, "record_try", "meter"), (Meter, "record_call_standing", "meter"),
        (Meter, "record_call_ended", "meter"), (Meter, "set_circuit_counts", "meter"),
        (Meter, "record_blocked", "meter"), (Meter, "record_refused", "meter"),
        (Meter, "record_failed_call", "meter"), (Meter, "close_buckets", "meter"),
    ):  # fmt: skip
        instrument(owner, name, label)

    async def run() -> float:
        nonlocal child
        loop = asyncio.get_running_loop()
        settings = msgspec.structs.replace(
            server_settings(ports, 1000), sizing=Sizing(store=f"{folder}/meter.db")
        )
        server = CallServer(loop, settings, lambda *_: None)
        await server.start()
        child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "eiderstep.lab.bench", server.address, str(peer_count), str(seconds)
        )
        started = time.process_time()
        await child.wait()
        return time.process_time() - started

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            total_seconds = runner.run(run())
    finally:
        answerers.stop()
        shutil.rmtree(folder)
    result = {label: spent / total_seconds for label, spent in sorted(seconds_by_label.items())}
    result["sockets and loop"] = max(1 - sum(result.values()), 0.0)
    return result


def describe_machine() -> str:
    """Returns processor, cores, versions of Python and uvloop, and whether the package is compiled."""
    model = "unknown processor"
    for line in Path("/proc/cpuinfo").read_text().splitlines():
        if line.startswith("model name"):
            model = line.partition(":")[2].strip()
            break
    compiled = "compiled" if not str(parser.__file__).endswith(".py") else "plain Python"
    python = f"Python {platform.python_version()}, uvloop {version('uvloop')}"
    return f"{compiled}, {model}, {os.cpu_count()} cores, {python}"


def run_benchmark(seconds: float, standing: int, sizes: list[int]) -> str:
    """Runs the benchmark for each number of exchanges; returns a Markdown table."""
    rows = [
        f"Measured on {describe_machine()}; {seconds:g} s per part, "
        f"{CALLS_IN_FLIGHT} calls in flight in the closed loop, "
        f"{CALLER_CONNECTIONS} caller connections, {standing} standing calls.",
        "",
        "| exchanges | subject | calls per CPU-second, open loop | ratio to relay "
        "| calls per CPU-second, closed loop | ratio to relay | peak, calls/s | p50 ms | p99 ms "
        "| KiB per standing call |",
        "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |",
    ]
    notes: list[str] = []
    with tempfile.TemporaryDirectory() as temp_folder:
        for size in sizes:
            peer_count = size - 1
            answerers = ChildProcess("-m", "eiderstep.lab.load", "answerers", str(peer_count))
            ports = [int(p) for p in answerers.first_line.split()]
            try:
                child, port = _start_server(ports, 1000, Path(temp_folder))
                measured = _measure(child, port, peer_count, seconds, 0.0)
                child.stop()
                relay = ChildProcess("-m", "eiderstep.lab.load", "relay", f"127.0.0.1:{ports[0]}")
                baseline = _measure(relay, int(relay.first_line), peer_count, seconds, measured.peak_rate / 2)
                relay.stop()
                measured.bytes_per_call = _bytes_per_standing_call(
                    ports, peer_count, standing, Path(temp_folder)
                )
            finally:
                answerers.stop()
            gc.collect()
            open_ratio, closed_ratio = (
                measured.calls_per_cpu_open / baseline.calls_per_cpu_open,
                measured.calls_per_cpu_closed / baseline.calls_per_cpu_closed,
            )
            rows.append(
                f"| {size} | call server | {measured.calls_per_cpu_open:.0f} | {open_ratio:.3f} "
                f"| {measured.calls_per_cpu_closed:.0f} | {closed_ratio:.3f} "
                f"| {measured.peak_rate:.0f} | {measured.p50_ms:.2f} | {measured.p99_ms:.2f} "
                f"| {measured.bytes_per_call / 1024:.2f} |"
            )
            rows.append(
                f"| {size} | relay | {baseline.calls_per_cpu_open:.0f} | 1 "
                f"| {baseline.calls_per_cpu_closed:.0f} | 1 | {baseline.peak_rate:.0f} "
                f"| {baseline.p50_ms:.2f} | {baseline.p99_ms:.2f} | |"
            )
            added = (
                f"{measured.p50_ms - baseline.p50_ms:.2f} ms at p50, "
                f"{measured.p99_ms - baseline.p99_ms:.2f} ms at p99"
            )
            shares_text = ", ".join(
                f"{k} {v:.0%}" for k, v in time_shares_in_subprocess(peer_count, min(seconds, 5.0)).items()
            )
            notes.append(
                f"- {size} exchanges: added set-up time at half the peak rate {added}; "
                f"turned away {measured.turned_away}; time shares: {shares_text}"
            )
    return "\n".join([*rows, "", *notes])


def time_shares_in_subprocess(peer_count: int, seconds: float) -> dict[str, float]:
    """Runs `time_shares` in a subprocess, since it patches the classes that it times."""
    code = (
        f"import json; from eiderstep.lab.bench import time_shares; "
        f"print(json.dumps(time_shares({peer_count}, {seconds})))"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return msgspec.json.decode(completed.stdout.splitlines()[-1], type=dict[str, float])


if __name__ == "__main__":  # makes the calls for `time_shares`
    address, peer_count, seconds = sys.argv[1:4]
    _run_load(
        int(address.rpartition(":")[2]),
        int(peer_count),
        lambda load: load.run_closed_loop(float(seconds), CALLS_IN_FLIGHT),
    )
