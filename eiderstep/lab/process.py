"""Call servers and strangers in separate processes, with the interface that `lab.world` expects of them."""

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
from eiderstep.standin.stranger import Victim, victims_to_json

START_TIMEOUT_S = 20.0  # for a process to log the address that it listens on


class ProcessServer:
    """Runs `eiderstep serve` as a child process and reads its state from its log."""

    engine: Any = None

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: ServerSettings, folder: Path, log: Any
    ) -> None:
        self.loop, self.settings, self.folder, self.log = loop, settings, folder, log
        self.address = ""
        self.child: asyncio.subprocess.Process | None = None
        self.stopped = loop.create_future()
        self.serving = loop.create_future()
        self.remaining = {"calls": -1, "circuits": -1}  # -1: not reported
        self.counts: dict[str, int] = {}
        self.capture_file = folder / f"{settings.name}.capture.jsonl"

    async def start(self) -> None:
        script = self.folder / f"{self.settings.name}.star"
        script.write_text(dump(self.settings), encoding="utf-8")
        self.child = await asyncio.create_subprocess_exec(
            sys.executable, "-m", "eiderstep", "serve", str(script), "--capture", str(self.capture_file),
            stdout=asyncio.subprocess.PIPE, limit=1 << 20,
        )  # fmt: skip
        self.log_reader = self.loop.create_task(self._read_log())
        self.address = await asyncio.wait_for(self.serving, START_TIMEOUT_S)

    async def _read_log(self) -> None:
        assert self.child is not None and self.child.stdout is not None
        async for line in self.child.stdout:
            try:
                entry = json.loads(line)
            except ValueError:
                entry = {"event": line.decode("utf-8", "replace").strip()}
            event = entry.pop("event", "")
            if event == "serving":
                self.serving.set_result(entry["address"])
            elif event == "stopping":
                self.remaining = {"calls": entry["calls"], "circuits": entry["circuits"]}
            elif event == "stopped":
                self.counts = entry.get("counts", {})
            self.log(
                entry.pop("level", "info"), event, entry.pop("call", ""), entry | {"node": self.settings.name}
            )
        await self.child.wait()
        if not self.serving.done():
            self.serving.set_exception(
                RuntimeError(
                    f"{self.settings.name} exited with status {self.child.returncode} before it was serving"
                )
            )
        if not self.stopped.done():
            self.stopped.set_result(None)

    def stop(self) -> None:
        """Send SIGTERM."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGTERM)

    def pause(self, seconds: float) -> None:
        """Stall the process: send SIGSTOP, and SIGCONT after `seconds`."""
        if self.child is not None and self.child.returncode is None:
            self.child.send_signal(signal.SIGSTOP)
            self.loop.call_later(seconds, self.child.send_signal, signal.SIGCONT)

    def captured(self) -> Capture:
        """The traffic on its sockets; complete once the process has stopped."""
        return Capture.read(self.capture_file)


class StrangerProcess:
    """Runs strangers in a separate process, so that their load does not delay the exchanges of the lab."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, server: str, hosts: dict[str, list[str]],
        victims: Callable[[], list[Victim]], rng: Random, rate: float,
    ) -> None:  # fmt: skip
        self.loop, self.server, self.hosts, self.victims, self.rng = loop, server, hosts, victims, rng
        self.rate = rate
        self.sent: dict[str, int] = {}
        self.process: asyncio.subprocess.Process | None = None

    async def run(self, seconds: float) -> None:
        """Attack for `seconds`; the process gets the current standing calls twice per second."""
        pipe = asyncio.subprocess.PIPE
        arguments = [self.server, json.dumps(self.hosts), str(self.rate), str(seconds)]
        arguments.append(str(self.rng.randrange(2**31)))
        command = [sys.executable, "-m", "eiderstep.standin.stranger", *arguments]
        self.process = process = await asyncio.create_subprocess_exec(*command, stdin=pipe, stdout=pipe)
        assert process.stdin is not None and process.stdout is not None
        end = self.loop.time() + seconds + 1
        while self.loop.time() < end and process.returncode is None:
            process.stdin.write(victims_to_json(self.victims()).encode())
            await asyncio.sleep(0.5)
        process.stdin.close()
        line = await process.stdout.readline()
        self.sent = json.loads(line)["sent"] if line else {}
        await process.wait()

    def close(self) -> None:
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
