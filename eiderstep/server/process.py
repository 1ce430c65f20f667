"""The process around one call server: its loop, its signals, its log, its capture file."""

from __future__ import annotations

import asyncio
import signal
import time
from collections.abc import Callable
from pathlib import Path
from random import SystemRandom

import msgspec
import uvloop

from eiderstep.config.load import ConfigError
from eiderstep.config.schema import ServerSettings
from eiderstep.server.doors import Logger
from eiderstep.server.node import CallServer
from eiderstep.server.watch import settle_collector
from eiderstep.server.wire import Trace


class CaptureFile:
    """Writes each chunk as a JSON line, which `eiderstep.audit` reads.  Buffered: it is no journal."""

    def __init__(self, path: Path, node: str) -> None:
        self.sink = path.open("wb", buffering=1 << 20)
        self.node, self.encode = node, msgspec.json.Encoder().encode

    def __call__(self, time: int, label: str, peer: str, way: str, data: bytes) -> None:
        row = (time, self.node, label, peer, way, data.decode("latin-1"))
        self.sink.write(self.encode(row) + b"\n")

    def close(self) -> None:
        self.sink.close()


def serve(
    settings: ServerSettings, log: Logger, capture: Path | None, verbose: bool,
    reread: Callable[[], ServerSettings],
) -> None:  # fmt: skip
    """Serve until SIGTERM or SIGINT, then stop in order; a second signal ends the wait.

    SIGHUP: settings are read anew, and trunk groups take the sizes that they name.
    """
    trace = CaptureFile(capture, settings.name) if capture is not None else None

    async def run() -> None:
        await _serve(settings, log, trace, verbose, reread)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
    finally:
        if trace is not None:
            trace.close()


async def _serve(
    settings: ServerSettings, log: Logger, trace: Trace | None, verbose: bool,
    reread: Callable[[], ServerSettings],
) -> None:  # fmt: skip
    loop = asyncio.get_running_loop()
    server = CallServer(loop, settings, log, trace, lambda: int(time.time() * 1000), ids=SystemRandom())
    early = False

    def asked() -> None:
        """The first signal asks for an orderly stop, one more ends its wait; one may come while it starts."""
        nonlocal early
        if server.engine is None:
            early = True
        elif server.engine.stopping:
            server.end()
        else:
            server.stop()

    def reload() -> None:
        try:
            server.resize(reread())
            server.rekey()
        except ConfigError as problem:
            log("error", "settings not read", "", {"why": str(problem)})

    loop.add_signal_handler(signal.SIGHUP, reload)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, asked)
    await server.start()
    assert server.engine is not None
    server.engine.verbose = verbose
    settle_collector()
    if early:
        server.stop()
    await server.stopped
