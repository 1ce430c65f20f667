"""Stand-ins of the platform for the review cases: change log, offices, callers, start of a call server.

Written from PROTOCOL.md and DEPLOY.md alone; needs the standard library only.  All addresses are loopback.
"""

from __future__ import annotations

import asyncio
import contextlib
import ctypes
import json
import os
import random
import resource
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
HOST = "127.0.0.1"
SECOND = 1_000_000_000
SET_UP, PROGRESS, ANSWER, RELEASE, HEARD, STATE, TEST, TESTED = 1, 6, 9, 12, 16, 43, 52, 53
NAMES = {
    1: "set-up",
    6: "progress",
    9: "answer",
    12: "release",
    16: "heard",
    43: "state",
    52: "test",
    53: "tested",
}
CLASS, WAIT, NUMBER, FIGURES, PAUSE, NOTE, REPORT, CAUSE, DESCRIPTION = (
    180,
    181,
    184,
    185,
    186,
    187,
    189,
    194,
    195,
)
HELD, BROKEN, NOT_RUN = 0, 1, 2


class Unusable(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, as lines with seconds since the start."""

    def __init__(self, path: Path) -> None:
        self.file = path.open("w")
        self.began = time.time()

    def __call__(self, text: str) -> None:
        self.file.write(f"{time.time() - self.began:8.3f} {text}\n")
        self.file.flush()


class Message:
    def __init__(self, kind: int, call: str, parameters: dict[int, bytes] | None = None) -> None:
        self.kind, self.call, self.parameters = kind, call, parameters or {}

    @property
    def cause(self) -> int:
        return self.parameters.get(CAUSE, b"\0")[0]

    def encode(self) -> bytes:
        body = bytes((self.kind,)) + bytes.fromhex(self.call)
        for code, value in self.parameters.items():
            body += bytes((code,)) + len(value).to_bytes(2, "big") + value
        return len(body).to_bytes(2, "big") + body


def release(call: str, cause: int) -> Message:
    return Message(RELEASE, call, {CAUSE: bytes((cause,))})


def set_up(call: str, wait_ms: int, figures: str, class_name: str = "single-record") -> Message:
    return Message(
        SET_UP,
        call,
        {
            CLASS: class_name.encode(),
            WAIT: str(wait_ms).encode(),
            NUMBER: call.encode(),
            FIGURES: figures.encode(),
            DESCRIPTION: f"caller {call}".encode(),
        },
    )


class Wire(asyncio.Protocol):
    """One connection; every complete message goes to `on_message`."""

    def __init__(
        self,
        on_message: Callable[[Wire, Message], None],
        on_open: Callable[[Wire], None] | None = None,
        on_close: Callable[[Wire], None] | None = None,
    ) -> None:
        self.on_message, self.on_open, self.on_close = on_message, on_open, on_close
        self.buffer = b""
        self.open = False
        self.closed_at = 0.0

    def connection_made(self, transport: Any) -> None:
        self.transport: asyncio.Transport = transport
        self.open = True
        if self.on_open:
            self.on_open(self)

    def data_received(self, data: bytes) -> None:
        self.buffer += data
        offset = 0
        while len(self.buffer) - offset >= 2:
            size = int.from_bytes(self.buffer[offset : offset + 2], "big")
            if len(self.buffer) - offset - 2 < size:
                break
            body = self.buffer[offset + 2 : offset + 2 + size]
            offset += 2 + size
            parameters, at = {}, 9
            while at < size:
                length = int.from_bytes(body[at + 1 : at + 3], "big")
                parameters[body[at]] = body[at + 3 : at + 3 + length]
                at += 3 + length
            self.on_message(self, Message(body[0], body[1:9].hex(), parameters))
        self.buffer = self.buffer[offset:]

    def connection_lost(self, exc: Exception | None) -> None:
        self.open, self.closed_at = False, time.time()
        if self.on_close:
            self.on_close(self)

    def send(self, message: Message) -> None:
        if self.open:
            self.transport.write(message.encode())


class Office:
    """One office.  It answers each set-up after `delay` s; a call stands until somebody releases it."""

    def __init__(self, record: Record, name: str, number: int, size: int = 80, delay: float = 0.02) -> None:
        self.record, self.name, self.number, self.size, self.delay = record, name, number, size, delay
        self.hold = 0.0  # seconds until the office releases a call; 0: never
        self.wires: list[Wire] = []
        self.waiting: dict[str, asyncio.TimerHandle] = {}  # unanswered set-ups
        self.wire_of: dict[str, Wire] = {}
        self.standing: set[str] = set()
        self.set_ups: list[tuple[float, str]] = []  # time of arrival and call
        self.unsent_releases: dict[str, int] = {}  # ended calls: to be told again on the next connection
        self.hangs = False  # takes set-ups and answers none
        self.born_ms, self.port = 0, 0
        self.quiet = False  # does not write each set-up into the record
        self.gone = False  # the machine has vanished: reads and says nothing, accepts nothing
        self.fillers: list[socket.socket] = []
        self.loop = asyncio.get_running_loop()

    async def listen(self) -> None:
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.socket.bind((HOST, 0))
        self.socket.listen(16)
        self.socket.setblocking(False)
        self.port = self.socket.getsockname()[1]
        self.loop.add_reader(self.socket.fileno(), self._accept)

    def _accept(self) -> None:
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted, _ = self.socket.accept()
                self.loop.create_task(self._serve(accepted))

    async def _serve(self, accepted: socket.socket) -> None:
        await self.loop.connect_accepted_socket(
            lambda: Wire(self._message, self._opened, self._closed), accepted
        )

    def entry(self, health: str = "ready") -> dict[str, Any]:
        return {
            "host": self.name,
            "dial": f"{HOST}:{self.port}",
            "site": "birmingham",
            "class": "standard-1c",
            "block": self.number,
            "health": health,
            "share": 1,
            "born_ms": self.born_ms,
        }

    def _opened(self, wire: Wire) -> None:
        self.wires.append(wire)
        self._state(wire)
        for call, cause in self.unsent_releases.items():
            wire.send(release(call, cause))
        self.unsent_releases.clear()

    def _closed(self, wire: Wire) -> None:
        if wire in self.wires:
            self.wires.remove(wire)
        for call in [c for c, w in self.wire_of.items() if w is wire and c in self.waiting]:
            self.waiting.pop(call).cancel()  # a close gives up the set-ups open on it

    def _state(self, wire: Wire) -> None:
        report = f"x0:{self.size - len(self.standing)};x1:{self.size};queue:0;qps:200"
        wire.send(Message(STATE, "0" * 16, {REPORT: report.encode()}))

    def _states(self) -> None:
        for wire in self.wires[:4]:
            self._state(wire)

    def _message(self, wire: Wire, message: Message) -> None:
        if message.kind == TEST:
            wire.send(Message(TESTED, message.call, {CAUSE: b"\1"}))
        elif message.kind == SET_UP:
            self.set_ups.append((time.time(), message.call))
            if not self.quiet:
                self.record(f"{self.name} got set-up {message.call}")
            if self.hangs:
                return
            self.wire_of[message.call] = wire
            self.waiting[message.call] = self.loop.call_later(self.delay, self._answer, wire, message.call)
        elif message.kind == RELEASE:
            if message.call in self.waiting:
                self.waiting.pop(message.call).cancel()
            if message.call in self.standing:
                self.standing.discard(message.call)
                self._states()
            wire.send(Message(HEARD, message.call))

    def _answer(self, wire: Wire, call: str) -> None:
        self.waiting.pop(call, None)
        if len(self.standing) >= self.size:
            wire.send(Message(RELEASE, call, {CAUSE: bytes((34,)), NOTE: b"atb"}))
            return
        self.standing.add(call)
        wire.send(Message(ANSWER, call, {DESCRIPTION: f"{self.name} {call}".encode()}))
        if not self.quiet:
            self.record(f"{self.name} answered {call}")
        self._states()
        if self.hold:
            self.loop.call_later(self.hold, self.end, call)

    def end(self, call: str, cause: int = 16) -> None:
        """The call has come to its end."""
        if call not in self.standing or self.gone:
            return
        self.standing.discard(call)
        wire = self.wire_of.pop(call, None)
        if wire is None or not wire.open:
            wire = next((w for w in self.wires if w.open), None)
        if wire is not None:
            wire.send(release(call, cause))
        self.unsent_releases[call] = cause
        self._states()

    def vanish(self) -> None:
        """The machine vanishes: open connections stay open and silent, new ones never come up.

        The queue of the listening socket is filled with own connections, so the kernel drops further ones.
        """
        self.record(f"{self.name} vanishes with {len(self.standing)} calls standing")
        self.gone = True
        self.loop.remove_reader(self.socket.fileno())
        self._accept()
        self.socket.listen(0)
        for wire in self.wires:
            wire.transport.pause_reading()
        for timer in self.waiting.values():
            timer.cancel()
        self.waiting.clear()
        for _ in range(4):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex((HOST, self.port))
            self.fillers.append(filler)

    def hand_over(self, successor: Office) -> None:
        """The address comes up again as `successor`, a new machine that knows nothing of the old calls."""
        for wire in list(self.wires):
            wire.transport.abort()
        own = {filler.getsockname() for filler in self.fillers}
        for filler in self.fillers:
            filler.close()
        self.socket.listen(16)
        successor.socket, successor.port = self.socket, self.port
        with contextlib.suppress(BlockingIOError):
            while True:
                accepted, peer = successor.socket.accept()
                if peer in own:
                    accepted.close()
                else:
                    self.loop.create_task(successor._serve(accepted))
        self.loop.add_reader(successor.socket.fileno(), successor._accept)
        self.record(f"{successor.name} listens at the address of {self.name}")


class ChangeLog:
    """The change log over HTTP/1.1 long polls.  `lag`: seconds by which each answer comes later."""

    def __init__(self, record: Record) -> None:
        self.record = record
        self.events: list[dict[str, Any]] = []
        self.lag = 0.0
        self.added = asyncio.Event()
        self.polls = 0
        self.cut_off = 0  # answers that the call server did not wait for

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def tell(self, *hosts: dict[str, Any], whole: bool = False) -> float:
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": list(hosts)}})
        self.record(
            f"change log holds event {seq}: " + ", ".join(f"{h['host']} {h['health']}" for h in hosts)
        )
        self.added.set()
        return time.time()

    def since(self, number: int) -> dict[str, Any]:
        return {"seq": len(self.events), "results": self.events[number:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = dict(p.split("=") for p in head.split()[1].decode().partition("?")[2].split("&"))
                since, wait = int(query["since"]), min(int(query["timeout"]) / 1000, 5.0)
                self.polls += 1
                asked = time.time()
                if self.lag:
                    self.record(f"change log is asked: since={since} timeout={query['timeout']}")
                while len(self.events) <= since and time.time() < asked + wait:
                    self.added.clear()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.added.wait(), asked + wait - time.time())
                body = json.dumps(self.since(since)).encode()
                if self.lag:
                    await asyncio.sleep(self.lag)
                    if reader.at_eof() or writer.is_closing():
                        self.cut_off += 1
                        self.record(
                            f"change log's answer after {time.time() - asked:.2f} s: nobody waits any more"
                        )
                        break
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
                if self.lag:
                    self.record(f"change log answers after {time.time() - asked:.2f} s: {body.decode()[:60]}")
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of a small deployment: names, units and form as in WIRE section 6, times scaled (DAYS)."""
    classes = [
        {"name": "single-record", "aim": SECOND // 2, "give_up": 3 * SECOND, "worth": 1.0},
        {"name": "multi-leg-call", "aim": 800_000_000, "give_up": 3 * SECOND, "worth": 3.0},
        {"name": "account-summary", "aim": 800_000_000, "give_up": 3 * SECOND, "worth": 2.0},
    ]
    for row in classes:
        row |= {"effect": "read_like", "key_scope": "all", "late_share": 0.25, "stream": True}
    return {
        "callers": {"marks_retry": False},
        "caps": {
            "cancel": True,
            "conn_idle": 600 * SECOND,
            "dial_timeout": SECOND // 2,
            "max_open": 20000,
            "max_retry_after": 2 * SECOND,
            "may_probe": False,
            "multiplex": 1048576,
            "peers": False,
            "retry_after": True,
            "second_copies": False,
            "send_cap": 6,
        },
        "classes": classes,
        "discovery": "pushed",
        "family": "trunks",
        "family_info": {
            "class_cells": [],
            "gives_wait": False,
            "hints_route": False,
            "layout": "network",
            "mean_hold": [3 * SECOND, 3 * SECOND, 3 * SECOND],
            "peer_load": "answers",
            "release": SECOND // 2,
            "retransmit": 0,
            "self_no": 0,
            "widths": [1, 3, 1],
        },
        "obligations": {
            "answer_slack": 20_000_000,
            "ask_every": 10 * SECOND,
            "cold": 14 * SECOND,
            "cold_share": 0.31,
            "fall_multiple": 4.0,
            "stop_sending_within": SECOND // 2,
            "tip_after": 2 * SECOND,
        },
        "ordinal": 0,
        "peers_total": 4,
        "report": {"columns": ["idle", "circuits", "waiting", "max_rate"], "source": "answers"},
        "tenants": [],
        "zones": ["birmingham", "nottingham", "leicester"],
    } | changes


def prepare_child(descriptors: int) -> None:
    """In a child before its program starts: limit its descriptors, and let it end with this process."""
    resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, descriptors))
    ctypes.CDLL(None).prctl(1, signal.SIGKILL, 0, 0, 0)  # PR_SET_PDEATHSIG


def free_port() -> int:
    """A free port below the range from which the kernel takes ports for outgoing connections."""
    while True:
        port = random.randrange(20000, 30000)
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind((HOST, port))
            return port


class CallServer:
    """The process that the `run` line of deploy/balancer.toml starts."""

    def __init__(
        self, record: Record, folder: Path, change_log: ChangeLog, memory_mb: int = 192, sockets: int = 1024
    ) -> None:
        self.record, self.folder, self.change_log = record, folder, change_log
        self.memory_mb, self.sockets = memory_mb, sockets
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0

    def write_config(self) -> Path:
        path = self.folder / "config.json"
        config = {
            "name": "n0",
            "listen": f"{HOST}:{self.port}",
            "seed": f"8c1f30d27a5be9{self.starts:02x}",
            "limits": {"cores": 1.0, "memory_mb": self.memory_mb, "sockets": self.sockets},
            "changelog": f"{HOST}:{self.change_log.port}",
            "known": self.change_log.since(0),
            "settings": settings(),
        }
        path.write_text(json.dumps(config))
        return path

    async def start(self) -> None:
        self.starts += 1
        with (ROOT / "deploy" / "balancer.toml").open("rb") as file:
            command = tomllib.load(file)["run"]
        scratch = self.folder / f"tmp{self.starts}"
        scratch.mkdir()
        environ = os.environ | {
            "NODE_NAME": "n0",
            "NODE_LISTEN": f"{HOST}:{self.port}",
            "NODE_CONFIG": str(self.write_config()),
            "TMPDIR": str(scratch),
        }
        self.log = self.folder / f"log{self.starts}"
        with self.log.open("wb") as log:
            self.process = subprocess.Popen(
                ["/bin/sh", "-c", command],
                cwd=ROOT,
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
                preexec_fn=lambda: prepare_child(self.sockets),  # noqa: PLW1509
            )
        for _ in range(300):  # the front takes in a call server once it has passed a test
            if self.process.poll() is not None:
                raise Unusable(f"the call server ended with {self.process.returncode} at its start")
            with contextlib.suppress(OSError, TimeoutError):
                heard = asyncio.get_running_loop().create_future()
                wire = await self.connect(
                    lambda wire, message, heard=heard: heard.done() or heard.set_result(message)
                )
                wire.send(Message(TEST, "0" * 15 + "1", {CAUSE: b"\0"}))
                await asyncio.wait_for(heard, 2)
                wire.transport.close()
                self.record("call server passed a test: it is ready")
                return
            await asyncio.sleep(0.1)
        raise Unusable("the call server is not ready after 30 s")

    async def connect(
        self, on_message: Callable[[Wire, Message], None], source: str = HOST, on_close: Any = None
    ) -> Wire:
        _, wire = await asyncio.get_running_loop().create_connection(
            lambda: Wire(on_message, None, on_close), HOST, self.port, local_addr=(source, 0)
        )
        return wire

    def send_signal(self, number: signal.Signals) -> float:
        assert self.process is not None
        self.record(f"{number.name} goes to the call server")
        self.process.send_signal(number)
        return time.time()

    def running(self) -> bool:
        return self.process is not None and self.process.poll() is None

    async def ended(self, seconds: float) -> bool:
        until = time.time() + seconds
        while self.running() and time.time() < until:
            await asyncio.sleep(0.005)
        return not self.running()

    def resident_mb(self) -> float:
        assert self.process is not None
        with contextlib.suppress(OSError):
            for line in Path(f"/proc/{self.process.pid}/status").read_text().splitlines():
                if line.startswith("VmRSS:"):
                    return int(line.split()[1]) / 1024
        return 0.0

    def end(self) -> None:
        """End the process, with all that it may have started."""
        if self.process is None:
            return
        with contextlib.suppress(ProcessLookupError):
            os.killpg(self.process.pid, signal.SIGKILL)
        self.process.wait()
        for line in self.log.read_text().splitlines()[-25:]:
            self.record(f"call server's log: {line}")


async def until(condition: Callable[[], bool], seconds: float, what: str) -> None:
    """Wait until the condition holds; the case could not run if it does not."""
    limit = time.time() + seconds
    while not condition():
        if time.time() > limit:
            raise Unusable(what)
        await asyncio.sleep(0.01)


async def run_until_signal(case: Awaitable[bool]) -> bool:
    """Run a case for 110 s at most; a signal that would end this process cancels it, so that it cleans up."""
    loop, task = asyncio.get_running_loop(), asyncio.ensure_future(case)
    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        loop.add_signal_handler(number, task.cancel)
    try:
        return await asyncio.wait_for(task, 110)
    except asyncio.CancelledError:
        raise Unusable("ended by a signal") from None


def main(folder: Path, case: Callable[[Record, Path, bool], Awaitable[bool]]) -> None:
    """Run a case, which returns whether the rule held, and exit with its result."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record(f"TROUBLE={int(trouble)}")
    result = NOT_RUN
    with tempfile.TemporaryDirectory() as scratch:
        try:
            held = asyncio.run(run_until_signal(case(record, Path(scratch), trouble)))
            result = HELD if held else BROKEN
        except Exception as problem:  # whatever it is, the rule was not seen to be broken
            record(f"could not run: {type(problem).__name__} {problem}")
    record(
        {
            HELD: "result 0: the rule held",
            BROKEN: "result 1: the rule was broken",
            NOT_RUN: "result 2: not run",
        }[result]
    )
    sys.exit(result)
