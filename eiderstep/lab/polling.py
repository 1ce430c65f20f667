"""What following a registry costs: bytes and CPU of a poll, and the requests of sixty call servers."""

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
from eiderstep.lab.registry import APP, EPOCH
from eiderstep.registry.client import Follower, RegistryClient
from eiderstep.registry.decode import JsonReader
from eiderstep.registry.pace import Ask
from eiderstep.standin.eureka import Record, Table, hash_of, render
from eiderstep.standin.eureka_wire import Eureka

SECOND = 1_000_000_000
SERVERS = 60
CHANGES = 0.05  # seconds between two changes that the delta holds
RETENTION = 10.0
POLL = 5.0


def records(own: int, others: int, now: int) -> list[Record]:
    """A registry's table: `own` exchanges and `others` instances of 40 other apps."""
    made = []
    for n in range(own + others):
        app = APP if n < own else f"OTHER{n % 40}"
        keys = {"exchange": str(n % 60_000), "district": str(n % 3), "started": str(now - 3_600_000)}
        made.append(
            Record(
                app, f"host{n}.example:{app.lower()}:{5060 + n % 9000}", "127.0.0.1", 5060 + n % 9000, keys,
                dirty=now, updated=now, registered=now, renewed=now, duration=86_400,
            )
        )  # fmt: skip
    return made


def _fill(table: Table, own: int, others: int) -> None:
    for record in records(own, others, table.epoch()):
        table.register(record, replicated=True)


def _standin(pipe: Connection, own: int, others: int) -> None:
    """A registry in a process of its own, in which one exchange changes every `CHANGES`."""

    async def run() -> None:
        loop = asyncio.get_running_loop()
        table = Table(loop, lambda: EPOCH + int(loop.time() * 1000), retention=RETENTION)
        _fill(table, own, others)
        table.recent.clear()
        server = Eureka(loop, table, etags=False)
        pipe.send(await server.listen())
        turn = 0
        while not pipe.poll():
            await asyncio.sleep(CHANGES)
            turn += 1
            old = list(table.leases.values())[turn % own]
            new = copy(old)
            new.status, new.dirty = ("DOWN" if old.status == "UP" else "UP"), table.epoch()
            table.register(new, replicated=True)

    asyncio.run(run())


def poll_cost(own: int, others: int, what: Ask, polls: int, form: str) -> dict[str, float]:
    """CPU (ms) and bytes of a poll of the client alone; the registry runs in another process."""
    near, far = multiprocessing.Pipe()
    child = multiprocessing.get_context("spawn").Process(target=_standin, args=(far, own, others))
    child.start()
    loop = uvloop.new_event_loop()
    try:
        settings = Registry(addresses=[near.recv()], app=APP, follow=1, full_every=0, form=form)
        client = RegistryClient(loop, settings, lambda *_: None, lambda *_: None, Random(1))
        follower = Follower(client, 0)
        loop.run_until_complete(follower.turn())
        client.polls, client.bytes = {Ask.FULL: 0, Ask.DELTA: 0}, {Ask.FULL: 0, Ask.DELTA: 0}
        began = time.process_time()
        for _ in range(polls):
            if what is Ask.FULL:
                follower.pace.full_at = -1
            loop.run_until_complete(follower.turn())
        took = time.process_time() - began
        asked = client.polls[what]
        if asked < polls * 0.9:
            raise RuntimeError(f"{asked} of {polls} polls were {what.value}")
        return {"bytes": client.bytes[what] / asked, "ms": 1000 * took / polls}
    finally:
        near.send("stop")
        child.join()
        loop.close()


def reading_memory(own: int, others: int) -> dict[str, float]:
    """Bytes of a JSON list, and the most that its reader holds beyond what it keeps, by tracemalloc."""
    told = records(own, others, EPOCH)
    body = render(told, "json", 1, hash_of(told))
    pieces = [body[i : i + 65536] for i in range(0, len(body), 65536)]
    tracemalloc.start()
    into = JsonReader(APP)
    for piece in pieces:
        into.feed(piece)
    into.finish()
    kept, peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return {"answer": len(body), "kept": kept, "beyond": peak - kept}


def crowd(seed: int = 1, silent: float = 60.0, others: int = 1940) -> dict[str, float]:
    """Sixty call servers on two peers, in virtual time: requests a second in calm, during a minute of silence
    and after the return with half of the exchanges changed."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    tables = [Table(loop, lambda: EPOCH + int(loop.time() * 1000)) for _ in range(2)]
    peers = [Eureka(loop, table) for table in tables]
    rng = Random(seed)

    async def run() -> dict[str, float]:
        for table, peer in zip(tables, peers, strict=True):
            _fill(table, 60, others)
            table.recent.clear()
            await peer.listen()
        clients = []
        for _ in range(SERVERS):
            settings = Registry(addresses=[p.address for p in peers], app=APP, poll=int(POLL * SECOND))
            client = RegistryClient(
                loop, settings, lambda *_: None, lambda *_: None, Random(rng.getrandbits(64))
            )
            client.start()
            clients.append(client)
        marks = [loop.time()]
        await asyncio.sleep(120)
        marks.append(loop.time())
        for peer in peers:
            peer.tell_lies("silence")
        for table in tables:
            for old in list(table.leases.values())[:30]:
                new = copy(old)
                new.status, new.dirty = "DOWN", table.epoch()
                table.register(new, replicated=True)
        await asyncio.sleep(silent)
        marks.append(loop.time())
        for peer in peers:
            peer.tell_lies("")
        await asyncio.sleep(60)
        marks.append(loop.time())
        heard = [c.view for c in clients]
        late = sum(sum(e.state.name == "UP" for e in v.entries()) != 30 for v in heard)
        for client in clients:
            client.stop()
        asked = sorted(r for peer in peers for r in peer.requests)
        return {"late": late, **_rates(asked, marks)}

    try:
        return loop.run_until_complete(run())
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def _rates(asked: list[tuple[float, str, str]], marks: list[float]) -> dict[str, float]:
    found: dict[str, float] = {}
    spans = (
        ("calm", marks[0] + 15, marks[1]),
        ("silent", marks[1], marks[2]),
        ("return", marks[2], marks[3]),
    )
    for name, since, until in spans:
        times = [at for at, _, _ in asked if since <= at < until]
        found[f"{name} mean"] = len(times) / (until - since)
        found[f"{name} peak"] = max((sum(at <= t < at + 1 for t in times) for at in times), default=0)
        found[f"{name} whole lists"] = sum(
            since <= at < until and not url.endswith("/delta") for at, _, url in asked
        )
    return found


def report(polls: int) -> str:
    """The figures as a page."""
    rows = [
        "| instances | form | asked for | bytes a poll | CPU a poll, ms |",
        "| --- | --- | --- | --- | --- |",
    ]
    for own, others in ((60, 0), (60, 1940), (2000, 0)):
        for form in ("json", "xml"):
            for what in (Ask.FULL, Ask.DELTA):
                cost: dict[str, Any] = poll_cost(own, others, what, polls, form)
                size = f"{own} ours, {others} others"
                rows.append(f"| {size} | {form} | {what.value} | {cost['bytes']:.0f} | {cost['ms']:.2f} |")
    memory = [
        "| instances | answer, KiB | kept, KiB | beyond that while reading, KiB |",
        "| --- | --- | --- | --- |",
    ]
    for own, others in ((60, 0), (60, 1940), (60, 19_940)):
        held = reading_memory(own, others)
        memory.append(
            f"| {own} ours, {others} others | {held['answer'] / 1024:.0f} | {held['kept'] / 1024:.0f} "
            f"| {held['beyond'] / 1024:.0f} |"
        )
    rate = crowd()
    crowded = ["| | mean a second | most in any second | whole lists |", "| --- | --- | --- | --- |"]
    for span in ("calm", "silent", "return"):
        figures = (rate[f"{span} mean"], rate[f"{span} peak"], rate[f"{span} whole lists"])
        crowded.append(f"| {span} | {figures[0]:.1f} | {figures[1]:.0f} | {figures[2]:.0f} |")
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}, uvloop"
    return "\n".join([
        "# What following a Eureka registry costs", "",
        f"Machine: {machine}.  `eiderstep registry cost`.", "",
        "One poll, gzip'd, over loopback; CPU of the client alone.  An exchange changes every "
        f"{CHANGES:g} s and a delta holds {RETENTION:g} s of changes, far more than a calm day's.", "",
        *rows, "",
        "Memory while a JSON list is read (tracemalloc):", "", *memory, "",
        f"{SERVERS} call servers, two addresses each, a poll of {POLL:g} s, in virtual time: requests at",
        "both registries together; silent for 60 s, then back with half of the exchanges changed.", "",
        *crowded, "",
        f"Call servers that a minute after the return did not hold the new list: {rate['late']:.0f}.", "",
    ])  # fmt: skip
