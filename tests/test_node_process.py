"""The real process on loopback, against stand-ins that spoil, reset, fall silent and flood it."""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from typing import Any

import pytest

from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.standin.platform import HOST, Caller, ChangeLog, Office
from tests.rig import ROOT, run_module

SETTINGS: dict[str, Any] = {
    "callers": {"marks_retry": False},
    "caps": {
        "cancel": True, "dial_timeout": 500_000_000, "max_open": 20000, "max_retry_after": 2_000_000_000,
        "may_probe": False, "peers": False, "retry_after": True, "send_cap": 6,
    },
    "classes": [{"aim": 1_000_000_000, "give_up": 3_000_000_000, "name": "voice", "worth": 1.0}],
    "discovery": "pushed",
    "family_info": {
        "layout": "network", "mean_hold": [2_400_000_000], "release": 100_000_000, "self_no": 0,
        "widths": [1],
    },
    "obligations": {"answer_slack": 5_000_000, "stop_sending_within": 500_000_000},
    "peers_total": 3,
}  # fmt: skip


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind((HOST, 0))
        port: int = probe.getsockname()[1]
        return port


class World:
    """Two offices, a change log and the process under test."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.offices = [Office("s-one", 1), Office("s-two", 2)]
        self.log = ChangeLog()
        self.port = free_port()
        self.process: subprocess.Popen[bytes] | None = None
        self.callers: list[Caller] = []

    async def open(self) -> None:
        for office in self.offices:
            await office.open()
        await self.log.open()
        self.log.tell(*(office.entry() for office in self.offices), whole=True)

    def configure(self, **more: Any) -> Path:
        path = self.folder / "config.json"
        told = {
            "name": "n0", "listen": f"{HOST}:{self.port}", "seed": "8c1f30d27a5be964",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "changelog": f"{HOST}:{self.log.port}", "known": self.log.answer(0), "settings": SETTINGS,
        } | more  # fmt: skip
        path.write_text(json.dumps(told))
        return path

    async def start(self) -> None:
        path = self.configure()
        self.process = subprocess.Popen(
            [sys.executable, "-m", "eiderstep.node"], cwd=ROOT, stderr=(self.folder / "log").open("ab"),
            env={**os.environ, "NODE_CONFIG": str(path)},
        )  # fmt: skip
        await self.until(lambda: self.said("info serving"))

    def said(self, line: str) -> bool:
        return line in self.text()

    def text(self) -> str:
        return (self.folder / "log").read_text()

    async def until(self, what: Callable[[], bool], seconds: float = 20.0) -> None:
        """Wait for an event; the time is only a bound."""
        async with asyncio.timeout(seconds):
            while not what():
                assert self.process is None or self.process.poll() is None, self.text()
                await asyncio.sleep(0.005)

    async def caller(self) -> Caller:
        caller = await Caller.dial(self.port)
        self.callers.append(caller)
        return caller

    async def ended(self) -> int:
        assert self.process is not None
        return await asyncio.to_thread(self.process.wait, 20)

    def close(self) -> None:
        if self.process is not None:
            self.process.kill()
            self.process.wait()
        for caller in self.callers:
            caller.transport.abort()
        for office in self.offices:
            office.kill()
        self.log.close()


@contextlib.asynccontextmanager
async def world(folder: Path) -> AsyncIterator[World]:
    made = World(folder)
    await made.open()
    try:
        await made.start()
        yield made
    finally:
        made.close()


Scene = Callable[[World], Coroutine[Any, Any, None]]


def play(folder: Path, scene: Scene) -> None:
    async def run() -> None:
        async with world(folder) as made:
            await scene(made)

    asyncio.run(run())


def name(number: int) -> str:
    return f"{number:016x}"


async def call(caller: Caller, number: int, dest: int = 1, **more: Any) -> Message:
    caller.ask(name(number), dest, **more)
    return await caller.hear()


def test_calls_stand_are_released_both_ways_and_survive_connections(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        one = w.offices[0]
        caller = await w.caller()
        caller.send(Message(isup.TEST, name(1), {isup.CAUSE: b"\0"}))
        assert (await caller.hear()) == Message(isup.TESTED, name(1), {isup.CAUSE: b"\1"})
        for number in (10, 11, 12):
            stood = await call(caller, number)
            described = f"s-one {name(number)}\r\n".encode()
            assert stood == Message(isup.ANM, name(number), {isup.DESCRIPTION: described})
        one.release(name(10))
        assert (await caller.hear()).kind == isup.REL
        (await w.caller()).send(Message(isup.REL, name(11), {isup.CAUSE: b"\x10"}))
        await w.until(lambda: name(11) not in one.standing)
        old = list(one.wires)
        for wire in old:
            wire.transport.abort()
        await w.until(lambda: bool(one.wires) and one.wires[-1] not in old)
        one.release(name(12))  # on a link that its set-up never saw
        assert (await caller.hear()).call == name(12)

    play(tmp_path, scene)


def test_spoilt_and_doubled_answers(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        one, caller = w.offices[0], await w.caller()
        spoils: list[Callable[[Any, Message], None]] = [
            lambda wire, m: wire.transport.write(b"\xff" * 100),
            lambda wire, m: wire.transport.write(
                b"\x00\x40\x09" + bytes.fromhex(m.call) + b"\xc3\xff\xff" + b"x" * 80
            ),
            lambda wire, m: wire.send(Message(isup.ANM, m.call, {isup.DESCRIPTION: b"\x80\x81"})),
            lambda wire, m: wire.transport.abort(),
        ]
        for number, spoil in enumerate(spoils, 20):

            def once(wire: Any, m: Message, spoil: Callable[[Any, Message], None] = spoil) -> None:
                one.reply = one.answer
                spoil(wire, m)

            one.reply = once
            stood = await call(caller, number)  # the reset is told, the release awaited, the next one stands
            assert stood.kind == isup.ANM
            described = stood.parameters[isup.DESCRIPTION]  # of whichever office it went to then
            assert described in [f"{o.name} {name(number)}\r\n".encode() for o in w.offices]

        def doubled(wire: Any, m: Message) -> None:
            wire.send(Message(isup.ANM, name(99), {isup.DESCRIPTION: b"nobody's\r\n"}))
            one.answer(wire, m)
            one.answer(wire, m)

        one.reply = doubled
        assert (await call(caller, 30)).call == name(30)
        one.reply = one.answer
        assert (await call(caller, 31)).call == name(31)  # and nothing between
        assert caller.heard.empty()

    play(tmp_path, scene)


def test_hostile_callers_are_turned_away_and_harm_nobody(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        good = await w.caller()
        assert (await call(good, 39)).kind == isup.ANM
        for data in (b"\x00\x00", b"\xff\xff" + b"x" * 70_000, b"\x00\x09\x7b", b"\x00\x09\x09" + bytes(8)):
            bad = await w.caller()
            bad.transport.write(data)
            await asyncio.wait_for(bad.closed, 3)
        bad = await w.caller()
        for number in range(1000, 1300):  # hundreds, taken back at once
            bad.ask(name(number), 1)
            bad.send(Message(isup.REL, name(number), {isup.CAUSE: b"\x10"}))
        bad.ask(name(2000), 1, wait=-1)
        refused = await bad.hear()
        assert (refused.call, refused.cause) == (name(2000), isup.INVALID)
        silent = [await w.caller() for _ in range(220)]  # more than there are descriptors for
        half = await w.caller()
        half.transport.write(b"\x00\x40\x01half")
        for number in range(40, 60):
            assert (await call(good, number)).kind == isup.ANM
        await asyncio.wait_for(asyncio.gather(*(c.closed for c in [*silent, half])), 6)
        assert (await call(good, 60)).kind == isup.ANM
        assert (await call(await w.caller(), 61)).kind == isup.ANM
        assert not w.offices[0].standing & {name(n) for n in range(1000, 1300)}

    play(tmp_path, scene)


def test_an_office_that_dies_and_one_that_falls_silent(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        one, two = w.offices
        caller = await w.caller()
        assert (await call(caller, 70, 1)).kind == isup.ANM
        assert (await call(caller, 71, 2)).kind == isup.ANM
        one.kill()
        cut = await caller.hear()
        assert (cut.kind, cut.call, cut.cause) == (isup.REL, name(70), isup.TEMPORARY)
        two.deaf = True
        assert two.server is not None
        two.server.close()  # cut off: open connections stay open, new ones never come up
        late = await call(caller, 72, 2, wait=1200)
        assert (late.kind, late.call) == (isup.REL, name(72))  # given up, and answered in time
        cut = await caller.hear(9)
        assert (cut.call, cut.cause) == (name(71), isup.TEMPORARY)

    play(tmp_path, scene)


@pytest.mark.parametrize("fault", ["", "cut", "silent"])
def test_a_drain_is_heard_through_a_change_log_in_trouble(tmp_path: Path, fault: str) -> None:
    async def scene(w: World) -> None:
        one, caller = w.offices[0], await w.caller()
        assert (await call(caller, 80)).kind == isup.ANM
        w.log.fault = fault
        polls = len(w.log.polls)
        w.log.tell(one.entry("draining"))
        if fault:
            await w.until(lambda: len(w.log.polls) > polls + 1)
            w.log.fault = ""
        await w.until(lambda: w.said("office 1 drains or is gone"))
        before = one.count(isup.IAM)
        assert (await call(caller, 81, wait=400)).kind == isup.REL
        assert one.count(isup.IAM) == before
        one.release(name(80))  # what stands there goes on to its end
        assert (await caller.hear()).call == name(80)

    play(tmp_path, scene)


def test_a_new_configuration_moves_the_change_log(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        assert w.process is not None
        old, w.log = w.log, ChangeLog()
        await w.log.open()
        w.log.events = list(old.events)
        (w.folder / "config.json").write_text('{"half": ')
        w.process.send_signal(signal.SIGHUP)
        await w.until(lambda: w.said("configuration not read"))
        assert (await call(await w.caller(), 84)).kind == isup.ANM  # the old one stays
        w.configure()  # whole by now: read without another signal
        await w.until(lambda: w.said("info configuration read"))
        w.process.send_signal(signal.SIGHUP)
        w.process.send_signal(signal.SIGHUP)
        await w.until(lambda: bool(w.log.polls))
        old.close()
        assert w.log.polls[0] == 1  # the numbers go on
        w.log.tell(w.offices[1].entry("draining"))
        await w.until(lambda: w.said("office 2 drains or is gone"))
        assert (await call(await w.caller(), 85)).kind == isup.ANM

    play(tmp_path, scene)


def test_sigterm_answers_what_is_open_and_what_still_comes(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        assert w.process is not None
        one, caller = w.offices[0], await w.caller()
        assert (await call(caller, 90)).kind == isup.ANM
        held: list[tuple[Any, Message]] = []
        one.reply = lambda wire, m: held.append((wire, m))
        caller.ask(name(91), 1, wait=3000)
        await w.until(lambda: bool(held))
        w.process.send_signal(signal.SIGTERM)
        await w.until(lambda: w.said("info stopping"))
        one.reply = one.answer
        assert (await call(await w.caller(), 92)).kind == isup.ANM  # on a new connection
        one.answer(*held[0])
        assert (await caller.hear()).call == name(91)
        assert await w.ended() == 0
        assert one.standing == {name(90), name(91), name(92)}  # what stands goes on without us

    play(tmp_path, scene)


def test_started_anew_it_is_told_what_stands(tmp_path: Path) -> None:
    async def scene(w: World) -> None:
        assert w.process is not None
        one, caller = w.offices[0], await w.caller()
        for number in (95, 96):
            assert (await call(caller, number)).kind == isup.ANM
        w.process.kill()
        w.process.wait()
        w.process = None
        await w.until(lambda: not one.wires)
        (w.folder / "log").write_text("")
        await w.start()
        one.release(name(96))  # before anybody has told of it
        caller = await w.caller()
        for number in (95, 96):
            caller.ask(name(number), 1, figures="dest:1;width:1;via:-1;at:s-one")
        assert (await caller.hear()).call == name(96)
        one.release(name(95))
        assert (await caller.hear()).call == name(95)

    play(tmp_path, scene)


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ({"listen": "nowhere"}, "listen is 'nowhere'; allowed: host:port"),
        ({"changelog": None}, "changelog is None; allowed: host:port"),
        ({"seed": "xyz"}, "seed is 'xyz'; allowed: hexadecimal digits"),
        ({"limits": {"sockets": 3}}, "limits.sockets is 3; allowed: 64 to"),
        ({"settings": {"classes": []}}, "settings.classes is no list of objects"),
        ({"settings": {"classes": [{"name": "a"}, {"name": "a"}]}}, "a name is absent or there twice"),
        ({"settings": SETTINGS | {"family_info": {"widths": [1, 2]}}}, "settings: 2 widths for 1 classes"),
        ({"settings": {"classes": [{"name": "a"}]}}, "each class needs a width"),
        ({"known": {"results": [{"seq": 1}]}}, "known: a result without seq, fleet or hosts"),
    ],
)
def test_a_configuration_that_cannot_be_used_ends_the_start(
    tmp_path: Path, change: dict[str, Any], said: str
) -> None:
    path = World(tmp_path).configure(**{"known": {"seq": 0, "results": []}} | change)
    env = {**os.environ, "NODE_CONFIG": str(path)}
    done = run_module("eiderstep.node", environ=env)
    assert done.returncode == 2
    assert said in done.stderr
    assert len(done.stderr.splitlines()) == 1


@pytest.mark.parametrize("path", [None, "/nowhere/config.json"])
def test_no_configuration_ends_the_start(path: str | None) -> None:
    env = {k: v for k, v in os.environ.items() if k != "NODE_CONFIG"} | (
        {"NODE_CONFIG": path} if path else {}
    )
    done = run_module("eiderstep.node", environ=env)
    assert (done.returncode, len(done.stderr.splitlines())) == (2, 1)
    assert "NODE_CONFIG" in done.stderr


def test_what_the_node_imports() -> None:
    """Danger: memory under `run` is short; an import by way of another room costs megabytes for nothing."""
    probe = "import sys, eiderstep.node.__main__; print(*sorted(m for m in sys.modules))"
    done = subprocess.run([sys.executable, "-c", probe], cwd=ROOT, capture_output=True, text=True, check=True)
    loaded = set(done.stdout.split())
    for heavy in ("typer", "starlark", "structlog", "msgspec", "sqlite3", "hdrh", "numpy", "cryptography"):
        assert heavy not in loaded
    ours = {m.split(".")[1] for m in loaded if m.startswith("eiderstep.")}
    assert ours == {"decide", "engine", "interface", "isup", "node", "reading", "registry", "server", "trust"}
    assert not {m for m in loaded if m.startswith(("eiderstep.sip", "eiderstep.lab", "eiderstep.config"))}
