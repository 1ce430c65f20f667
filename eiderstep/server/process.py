"""The process around one call server: event loop, signals, log and capture file."""

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
from eiderstep.server.call_server import CallServer
from eiderstep.server.connections import Logger
from eiderstep.server.transport import Trace
from eiderstep.server.watch import tune_garbage_collector


class CaptureFile:
    """Writes each traced chunk as a JSON line, which `eiderstep.audit` reads.

    Writes are buffered, so a crash loses the last lines.
    """

    def __init__(self, path: Path, node: str) -> None:
        self.file = path.open("wb", buffering=1 << 20)
        self.node_name, self.encode = node, msgspec.json.Encoder().encode

    def __call__(self, time: int, label: str, peer: str, event: str, data: bytes) -> None:
        row = (time, self.node_name, label, peer, event, data.decode("latin-1"))
        self.file.write(self.encode(row) + b"\n")

    def close(self) -> None:
        self.file.close()


def serve(
    settings: ServerSettings, log: Logger, capture: Path | None, verbose: bool,
    read_settings: Callable[[], ServerSettings],
) -> None:  # fmt: skip
    """Serve until SIGTERM or SIGINT, then stop gracefully; a second signal ends the drain at once.

    On SIGHUP the settings are read again for the sizes of trunk groups, and keys are reloaded.
    """
    trace = CaptureFile(capture, settings.name) if capture is not None else None

    async def run() -> None:
        await _serve(settings, log, trace, verbose, read_settings)

    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(run())
    finally:
        if trace is not None:
            trace.close()


async def _serve(
    settings: ServerSettings, log: Logger, trace: Trace | None, verbose: bool,
    read_settings: Callable[[], ServerSettings],
) -> None:  # fmt: skip
    loop = asyncio.get_running_loop()
    server = CallServer(loop, settings, log, trace, lambda: int(time.time() * 1000), id_source=SystemRandom())
    stop_requested = False

    def on_stop_signal() -> None:
        """Stop gracefully at the first signal, at once at the second; during the start, only note it."""
        nonlocal stop_requested
        if server.engine is None:
            stop_requested = True
        elif server.engine.stopping:
            server.finish_stop()
        else:
            server.stop()

    def on_reload_signal() -> None:
        try:
            server.resize_groups(read_settings())
            server.reload_credentials()
        except ConfigError as problem:
            log("error", "settings could not be read", "", {"why": str(problem)})

    loop.add_signal_handler(signal.SIGHUP, on_reload_signal)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, on_stop_signal)
    await server.start()
    assert server.engine is not None
    server.engine.verbose = verbose
    tune_garbage_collector()
    if stop_requested:
        server.stop()
    await server.stopped
