"""A call server in a process of its own, with the face that `lab.world` knows a server by."""

from __future__ import annotations

import asyncio
import json
import signal
import sys
from collections.abc import Callable
from pathlib import Path
from random import Random
from typing import Any

from eiderstep.audit import Capture
from eiderstep.config.dump import dump
from eiderstep.config.schema import ServerSettings
from eiderstep.standin.stranger import Victim, told

START_TIME = 20.0  # seconds for a process to say where it serves


class ProcessServer:
    """`eiderstep serve` as a child.  What it says of itself is read from its log."""

    engine: Any = None

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: ServerSettings, folder: Path, log: Any
    ) -> None:
        self.loop, self.settings, self.folder, self.log = loop, settings, folder, log
        self.address = ""
        self.child: asyncio.subprocess.Process | None = None
        self.stopped = loop.create_future()
        self.serving = loop.create_future()
        self.left = {"calls": -1, "circuits": -1}  # -1: it never said
        self.counts: dict[str, int] = {}
        self.capture_file = folder / f"{settings.name}.capture.jsonl"

    async def start(self) -> None:
        script = self.folder / f"{self.settings.name}.star"
        script.write_text(dump(self.settings), encoding="utf-8")
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "eiderstep", "serve", str(script), "--capture", str(self.capture_file),
            stdout=asyncio.subprocess.PIPE, limit=1 << 20,
        )  # fmt: skip
        self.reader = self.loop.create_task(self._read())
        self.address = await asyncio.wait_for(self.serving, START_TIME)

    async def _read(self) -> None:
        assert self.child is not None and self.child.stdout is not None
        async for line in self.child.stdout:
            try:
                said = json.loads(line)
            except ValueError:
                said = {"event": line.decode("utf-8", "replace").strip()}
            event = said.pop("event", "")
            if event == "serving":
                self.serving.set_result(said["address"])
            elif event == "stopping":
                self.left = {"calls": said["calls"], "circuits": said["circuits"]}
            elif event == "stopped":
                self.counts = said.get("counts", {})
            self.log(
                said.pop("level", "info"), event, said.pop("call", ""), said | {"node": self.settings.name}
            )
        await self.child.wait()
        if not self.serving.done():
            self.serving.set_exception(
                RuntimeError(f"{self.settings.name} ended with {self.child.returncode}")
            )
        if not self.stopped.done():
            self.stopped.set_result(None)

    def stop(self) -> None:
        """SIGTERM."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGTERM)

    def pause(self, seconds: float) -> None:
        """The process stalls: SIGSTOP, then SIGCONT."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGSTOP)
            self.loop.call_later(seconds, self.child.send_signal, signal.SIGCONT)

    def captured(self) -> Capture:
        """What passed its sockets; complete once it has stopped."""
        return Capture.read(self.capture_file)


class StrangerProcess:
    """Attackers in a process of their own, so that what they cost the lab delays no exchange in it."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, server: str, hosts: dict[str, list[str]],
        victims: Callable[[], list[Victim]], rng: Random, rate: float,
    ) -> None:  # fmt: skip
        self.loop, self.server, self.hosts, self.victims, self.rng = loop, server, hosts, victims, rng
        self.rate = rate
        self.sent: dict[str, int] = {}
        self.process: asyncio.subprocess.Process | None = None

    async def run(self, seconds: float) -> None:
        """Attack for so long; what the attackers know of calls is told them twice a second."""
        pipe = asyncio.subprocess.PIPE
        words = [self.server, json.dumps(self.hosts), str(self.rate), str(seconds)]
        words.append(str(self.rng.randrange(2**31)))
        command = [sys.executable, "-m", "eiderstep.standin.stranger", *words]
        self.process = one = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
        assert one.stdin is not None and one.stdout is not None
        ends = self.loop.time() + seconds + 1
        while self.loop.time() < ends and one.returncode is None:
            one.stdin.write(told(self.victims()).encode())
            await asyncio.sleep(0.5)
        one.stdin.close()
        line = await one.stdout.readline()
        self.sent = json.loads(line)["sent"] if line else {}
        await one.wait()

    def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
