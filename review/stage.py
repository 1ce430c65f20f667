"""Stand-ins and checks that the cases 6 to 10 share: call servers started by the `run` line, and a record."""

from __future__ import annotations

import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

ROOT = Path(__file__).resolve().parent.parent
sys.path.insert(0, str(ROOT))

from eiderstep.isup import message as isup  # noqa: E402
from eiderstep.isup.message import Message  # noqa: E402
from eiderstep.standin.platform import HOST, Caller, ChangeLog, Office, OfficeWire  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
RUN_LINE = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text())["run"]
MS = 1_000_000
SECOND = 1000 * MS
taken_ports: set[int] = set()
SLACK = 0.05  # seconds that each time limit is longer on sockets


class CannotRun(Exception):
    """The case could not be played; says nothing of the rule."""


class Record:
    """record.txt: one line for what was sent, answered and run, with the seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.file = (folder / "record.txt").open("w")
        self.start = time.time()

    def __call__(self, text: str) -> None:
        print(f"{time.time() - self.start:8.3f} {text}", file=self.file, flush=True)


def settings(**overrides: Any) -> dict[str, Any]:
    """Settings as the wire page shows them for a small deployment."""
    value: dict[str, Any] = {
        "callers": {"marks_retry": False},
        "caps": {
            "cancel": True, "conn_idle": 600 * SECOND, "dial_timeout": 500 * MS, "max_open": 20000,
            "max_retry_after": 2 * SECOND, "may_probe": False, "multiplex": 1048576, "peers": False,
            "retry_after": True, "second_copies": False, "send_cap": 6,
        },
        "classes": [
            {
                "aim": 1200 * MS, "dedup_window": 5 * SECOND, "effect": "read_like", "give_up": 9 * SECOND,
                "key_scope": "all", "late_share": 0.25, "name": "voice", "stream": True, "worth": 1.0,
            }
        ],
        "discovery": "pushed", "family": "trunks",
        "family_info": {
            "class_cells": [], "gives_wait": False, "hints_route": False, "layout": "network",
            "mean_hold": [11400 * MS], "peer_load": "answers", "release": 500 * MS, "retransmit": 0,
            "self_no": 0, "widths": [1],
        },
        "kinds": ["standard-1c"],
        "obligations": {
            "answer_slack": 20 * MS, "ask_every": 10 * SECOND, "cold": 14 * SECOND, "cold_share": 0.31,
            "fall_multiple": 4.0, "stop_sending_within": 500 * MS, "tip_after": 2 * SECOND,
        },
        "ordinal": 0, "peers_total": 4,
        "report": {"columns": ["idle", "circuits", "waiting", "max_rate"], "source": "answers"},
        "stages": ["lookup-fleet"], "tenants": [], "tick": 5 * MS, "value_by": "request",
        "weight_source": "none", "zones": ["birmingham", "nottingham", "leicester"],
    }  # fmt: skip
    for key, new in overrides.items():
        value[key] = value[key] | new if isinstance(value.get(key), dict) else new
    return value


def free_port() -> int:
    """A port outside the usual range of outgoing connections, which could take it before it is used."""
    while True:
        port = random.randrange(10_000, 32_000)
        with socket.socket() as probe:
            probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                probe.bind((HOST, port))
            except OSError:
                continue
        if port not in taken_ports:
            taken_ports.add(port)
            return port


class Guard:
    """A process that ends the others where this one is killed and can't do so itself."""

    def __init__(self, folder: Path) -> None:
        guard = str(Path(__file__).with_name("guard.py"))
        self.process = subprocess.Popen(
            [sys.executable, guard, str(folder)], stdin=subprocess.PIPE, start_new_session=True
        )

    def tell(self, sign: str, process: int) -> None:
        assert self.process.stdin is not None
        self.process.stdin.write(f"{sign}{process}\n".encode())
        self.process.stdin.flush()

    def close(self) -> None:
        assert self.process.stdin is not None
        self.process.stdin.close()
        self.process.wait()


class CallServer:
    """One call server, started by the `run` line of the deploy file."""

    def __init__(
        self, folder: Path, name: str, record: Record, known: dict[str, Any], changelog: str,
        given: dict[str, Any], guard: Guard, sockets: int = 1024, limit_descriptors: bool = False,
    ) -> None:  # fmt: skip
        self.folder, self.name, self.record, self.sockets = folder, name, record, sockets
        self.known, self.changelog, self.given = known, changelog, given
        self.limit_descriptors, self.guard = limit_descriptors, guard
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.log = folder / f"{name}.log"

    def write_config(self) -> Path:
        path = self.folder / f"{self.name}.json"
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": self.sockets}
        path.write_text(json.dumps({
            "name": self.name, "listen": f"{HOST}:{self.port}", "seed": os.urandom(8).hex(), "limits": limits,
            "changelog": self.changelog, "known": self.known, "settings": self.given,
        }))  # fmt: skip
        return path

    async def start(self) -> None:
        """Start the process and wait until it passes a test."""
        environ = os.environ | {
            "NODE_NAME": self.name, "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_CONFIG": str(self.write_config()),
        }  # fmt: skip
        limit = f"ulimit -n {self.sockets}; " if self.limit_descriptors else ""
        self.process = subprocess.Popen(
            ["/bin/sh", "-c", limit + RUN_LINE], cwd=ROOT, env=environ, stdin=subprocess.DEVNULL,
            stdout=self.log.open("ab"), stderr=subprocess.STDOUT,
        )  # fmt: skip
        self.guard.tell("+", self.process.pid)
        self.record(f"started call server {self.name} pid {self.process.pid}")
        deadline = time.time() + 30
        while True:
            if self.process.poll() is not None or time.time() > deadline:
                raise CannotRun(f"call server {self.name} not ready: {self.log.read_text()[-300:]}")
            try:
                caller = await Caller.dial(self.port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            caller.send(Message(isup.TEST, f"{1:016x}", {isup.CAUSE: b"\0"}))
            try:
                await caller.receive(5)
            except TimeoutError:
                raise CannotRun(f"call server {self.name} answered no test") from None
            finally:
                caller.transport.abort()
            self.record(f"call server {self.name} is ready")
            return

    def signal(self, number: signal.Signals) -> None:
        assert self.process is not None
        self.record(f"{number.name} to call server {self.name}")
        self.process.send_signal(number)

    async def stopped(self, seconds: float) -> None:
        assert self.process is not None
        await asyncio.to_thread(self.process.wait, seconds)
        self.guard.tell("-", self.process.pid)

    def close(self) -> None:
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
            self.process.wait()
            self.guard.tell("-", self.process.pid)


class Bench:
    """What a case starts, closed at its end."""

    def __init__(self, folder: Path, record: Record) -> None:
        self.folder, self.record, self.guard = folder, record, Guard(folder)
        self.changelog = ChangeLog()
        self.servers: list[CallServer] = []
        self.offices: list[Office] = []
        self.children: list[subprocess.Popen[Any]] = []

    def server(self, name: str = "n0", **options: Any) -> CallServer:
        given = options.pop("given", settings())
        known = self.changelog.events_since(0)
        address = f"{HOST}:{self.changelog.port}"
        server = CallServer(self.folder, name, self.record, known, address, given, self.guard, **options)
        self.servers.append(server)
        return server

    def close(self) -> None:
        for server in self.servers:
            server.close()
            if server.log.exists():
                for line in server.log.read_text().splitlines()[:200]:
                    self.record(f"log of {server.name}: {line}")
        for child in self.children:
            if child.poll() is None:
                child.kill()
                child.wait()
        for office in self.offices:
            office.kill()
        self.changelog.close()
        self.guard.close()


async def dial_from(host: str, port: int) -> Caller:
    """A caller's connection from another loopback address."""
    loop = asyncio.get_running_loop()
    _, caller = await loop.create_connection(Caller, HOST, port, local_addr=(host, 0))
    return caller


def run(case: str, trial: Callable[[Bench], Awaitable[bool]], seconds: float = 110) -> None:
    """Play a case: exit with 1 if the rule was broken, 0 if it held, 2 if the case could not run."""
    record = Record(Path(case).resolve().parent)
    record(f"trouble: {TROUBLE}")

    async def play(folder: Path) -> bool:
        bench = Bench(folder, record)
        task = asyncio.current_task()
        assert task is not None
        for number in (signal.SIGTERM, signal.SIGINT):  # ended from outside: end what was started
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        try:
            async with asyncio.timeout(seconds):
                await bench.changelog.listen()
                return await trial(bench)
        finally:
            bench.close()

    with tempfile.TemporaryDirectory() as folder:
        try:
            held = asyncio.run(play(Path(folder)))
        except (CannotRun, OSError, TimeoutError, AssertionError, asyncio.CancelledError) as error:
            record(f"the case could not run: {type(error).__name__} {error}")
            sys.exit(2)
    record("the rule held" if held else "the rule was broken")
    sys.exit(0 if held else 1)


__all__ = [
    "HOST", "MS", "SECOND", "SLACK", "TROUBLE", "Bench", "CallServer", "Caller", "CannotRun", "ChangeLog",
    "Message", "Office", "OfficeWire", "Record", "dial_from", "free_port", "isup", "run", "settings",
]  # fmt: skip
