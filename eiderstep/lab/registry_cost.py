"""Measures the cost of following a registry: bytes and CPU per poll, and requests of sixty call servers."""

from __future__ import annotations

import asyncio
import multiprocessing
import os
import platform
import time
import tracemalloc
from copy import copy
from multiprocessing.connection import Connection
from random import Random
from typing import Any

import uvloop

from eiderstep.config.schema import Registry
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.registry import APP_NAME, EPOCH_MS
from eiderstep.registry.client import RegistryClient, RegistryFollower
from eiderstep.registry.decode import JsonReader
from eiderstep.registry.poll_schedule import PollKind
from eiderstep.standin.eureka import InstanceRecord, LeaseTable, apps_hashcode, render_response
from eiderstep.standin.eureka_server import EurekaServer

SECOND = 1_000_000_000
SERVER_COUNT = 60
CHANGE_INTERVAL_S = 0.05  # between two changes of the registry's table
DELTA_RETENTION_S = 10.0
POLL_INTERVAL_S = 5.0


def make_records(own: int, others: int, now: int) -> list[InstanceRecord]:
    """Returns the records of a registry: `own` exchanges and `others` instances of 40 other apps."""
    records = []
    for n in range(own + others):
        app = APP_NAME if n < own else f"OTHER{n % 40}"
        metadata = {"exchange": str(n % 60_000), "district": str(n % 3), "started": str(now - 3_600_000)}
        records.append(
            InstanceRecord(
                app, f"host{n}.example:{app.lower()}:{5060 + n % 9000}", "127.0.0.1", 5060 + n % 9000,
                metadata, dirty_timestamp=now, updated_at=now, registered_at=now, renewed_at=now,
                lease_duration=86_400,
            )
        )  # fmt: skip
    return records


def _fill_table(table: LeaseTable, own: int, others: int) -> None:
    for record in make_records(own, others, table.clock_ms()):
        table.register(record, replicated=True)


def _run_registry(pipe: Connection, own: int, others: int) -> None:
    """Runs a registry in this process, in which one exchange changes every `CHANGE_INTERVAL_S`."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        table = LeaseTable(loop, lambda: EPOCH_MS + int(loop.time() * 1000), retention=DELTA_RETENTION_S)
        _fill_table(table, own, others)
        table.recent_changes.clear()
        server = EurekaServer(loop, table, etags=False)
        pipe.send(await server.listen())
        change_count = 0
        while not pipe.poll():
            await asyncio.sleep(CHANGE_INTERVAL_S)
            change_count += 1
            record = list(table.leases.values())[change_count % own]
            changed = copy(record)
            changed.status, changed.dirty_timestamp = (
                ("DOWN" if record.status == "UP" else "UP"),
                table.clock_ms(),
            )
            table.register(changed, replicated=True)

    asyncio.run(run())


def measure_poll_cost(own: int, others: int, kind: PollKind, polls: int, form: str) -> dict[str, float]:
    """Returns CPU time (ms) and bytes per poll, of the client only; the registry runs in another process.

    Raises RuntimeError if less than 90% of the polls were of the wanted kind.
    """
    parent_pipe, child_pipe = multiprocessing.Pipe()
    child = multiprocessing.get_context("spawn").Process(target=_run_registry, args=(child_pipe, own, others))
    child.start()
    loop = uvloop.new_event_loop()
    try:
        settings = Registry(addresses=[parent_pipe.recv()], app=APP_NAME, follow=1, full_every=0, form=form)
        client = RegistryClient(loop, settings, lambda *_: None, lambda *_: None, Random(1))
        follower = RegistryFollower(client, 0)
        loop.run_until_complete(follower.poll_once())
        client.poll_counts, client.received_bytes = (
            {PollKind.FULL: 0, PollKind.DELTA: 0},
            {PollKind.FULL: 0, PollKind.DELTA: 0},
        )
        cpu_before = time.process_time()
        for _ in range(polls):
            if kind is PollKind.FULL:
                follower.schedule.last_full_at = -1
            loop.run_until_complete(follower.poll_once())
        cpu_seconds = time.process_time() - cpu_before
        polls_of_kind = client.poll_counts[kind]
        if polls_of_kind < polls * 0.9:
            raise RuntimeError(f"only {polls_of_kind} of {polls} polls asked for kind {kind.value}")
        return {"bytes": client.received_bytes[kind] / polls_of_kind, "ms": 1000 * cpu_seconds / polls}
    finally:
        parent_pipe.send("stop")
        child.join()
        loop.close()


def measure_decoding_memory(own: int, others: int) -> dict[str, float]:
    """Returns the bytes of a JSON list, of its decoded form, and of the peak beyond that while it is decoded.

    Memory is measured with tracemalloc.
    """
    records = make_records(own, others, EPOCH_MS)
    body = render_response(records, "json", 1, apps_hashcode(records))
    pieces = [body[i : i + 65536] for i in range(0, len(body), 65536)]
    tracemalloc.start()
    reader = JsonReader(APP_NAME)
    for piece in pieces:
        reader.feed(piece)
    reader.finish()
    decoded_bytes, peak_bytes = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"answer": len(body), "kept": decoded_bytes, "beyond": peak_bytes - decoded_bytes}


def simulate_outage(
    seed: int = 1, outage_seconds: float = 60.0, other_instances: int = 1940
) -> dict[str, float]:
    """Simulates sixty call servers and two registry peers in virtual time, with an outage of both peers.

    Returns request rates (per second) before, during and after the outage, in which half of the exchanges
    change, and under "late" the number of call servers without the new list a minute after it.
    """
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    tables = [LeaseTable(loop, lambda: EPOCH_MS + int(loop.time() * 1000)) for _ in range(2)]
    peers = [EurekaServer(loop, table) for table in tables]
    rng = Random(seed)

    async def run() -> dict[str, float]:
        for table, peer in zip(tables, peers, strict=True):
            _fill_table(table, 60, other_instances)
            table.recent_changes.clear()
            await peer.listen()
        clients = []
        for _ in range(SERVER_COUNT):
            settings = Registry(
                addresses=[p.address for p in peers], app=APP_NAME, poll=int(POLL_INTERVAL_S * SECOND)
            )
            client = RegistryClient(
                loop, settings, lambda *_: None, lambda *_: None, Random(rng.getrandbits(64))
            )
            client.start()
            clients.append(client)
        phase_starts = [loop.time()]
        await asyncio.sleep(120)
        phase_starts.append(loop.time())
        for peer in peers:
            peer.set_fault("silence")
        for table in tables:
            for record in list(table.leases.values())[:30]:
                changed = copy(record)
                changed.status, changed.dirty_timestamp = "DOWN", table.clock_ms()
                table.register(changed, replicated=True)
        await asyncio.sleep(outage_seconds)
        phase_starts.append(loop.time())
        for peer in peers:
            peer.set_fault("")
        await asyncio.sleep(60)
        phase_starts.append(loop.time())
        views = [c.view for c in clients]
        outdated = sum(sum(e.state.name == "UP" for e in v.entries()) != 30 for v in views)
        for client in clients:
            client.stop()
        requests = sorted(r for peer in peers for r in peer.requests)
        return {"late": outdated, **_request_rates(requests, phase_starts)}

    try:
        return loop.run_until_complete(run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def _request_rates(requests: list[tuple[float, str, str]], phase_starts: list[float]) -> dict[str, float]:
    rates: dict[str, float] = {}
    phases = (
        ("calm", phase_starts[0] + 15, phase_starts[1]),
        ("silent", phase_starts[1], phase_starts[2]),
        ("return", phase_starts[2], phase_starts[3]),
    )
    for name, start, end in phases:
        times = [sent_at for sent_at, _, _ in requests if start <= sent_at < end]
        rates[f"{name} mean"] = len(times) / (end - start)
        rates[f"{name} peak"] = max(
            (sum(sent_at <= other < sent_at + 1 for other in times) for sent_at in times), default=0
        )
        rates[f"{name} whole lists"] = sum(
            start <= sent_at < end and not url.endswith("/delta") for sent_at, _, url in requests
        )
    return rates


def cost_report(polls: int) -> str:
    """Runs all measurements; returns them as a Markdown page."""
    rows = [
        "| instances | format | list | bytes per poll | CPU per poll, ms |",
        "| --- | --- | --- | --- | --- |",
    ]
    for own_count, other_count in ((60, 0), (60, 1940), (2000, 0)):
        for form in ("json", "xml"):
            for kind in (PollKind.FULL, PollKind.DELTA):
                cost: dict[str, Any] = measure_poll_cost(own_count, other_count, kind, polls, form)
                size = f"{own_count} ours, {other_count} others"
                rows.append(f"| {size} | {form} | {kind.value} | {cost['bytes']:.0f} | {cost['ms']:.2f} |")
    memory = [
        "| instances | response, KiB | decoded list, KiB | additional peak while decoding, KiB |",
        "| --- | --- | --- | --- |",
    ]
    for own_count, other_count in ((60, 0), (60, 1940), (60, 19_940)):
        memory_use = measure_decoding_memory(own_count, other_count)
        memory.append(
            f"| {own_count} ours, {other_count} others | {memory_use['answer'] / 1024:.0f} "
            f"| {memory_use['kept'] / 1024:.0f} | {memory_use['beyond'] / 1024:.0f} |"
        )
    rates = simulate_outage()
    outage = [
        "| | requests per second, mean | peak in any second | full lists |",
        "| --- | --- | --- | --- |",
    ]
    for phase in ("calm", "silent", "return"):
        figures = (rates[f"{phase} mean"], rates[f"{phase} peak"], rates[f"{phase} whole lists"])
        outage.append(f"| {phase} | {figures[0]:.1f} | {figures[1]:.0f} | {figures[2]:.0f} |")
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}, uvloop"
    return "\n".join([
        "# Cost of following a Eureka registry", "",
        f"Machine: {machine}.  `eiderstep registry cost`.", "",
        "One poll, compressed with gzip, over loopback; CPU of the client only.  An exchange changes every "
        f"{CHANGE_INTERVAL_S:g} s and a delta holds {DELTA_RETENTION_S:g} s of changes, "
        "far more than in normal operation.", "",
        *rows, "",
        "Memory while a JSON list is decoded (tracemalloc):", "", *memory, "",
        f"{SERVER_COUNT} call servers, two addresses each, poll every {POLL_INTERVAL_S:g} s in virtual time.",
        "Requests at both registries; silent for 60 s, then back with half of the exchanges changed.", "",
        *outage, "",
        f"Call servers without the new list a minute after the return: {rates['late']:.0f}.", "",
    ])  # fmt: skip
