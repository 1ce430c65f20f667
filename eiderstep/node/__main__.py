"""`python -m eiderstep.node`: the process that runs one call server on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys
from collections.abc import Mapping

import uvloop

from eiderstep.node import config as configuration
from eiderstep.node.config import Config, ConfigError
from eiderstep.node.server import Node


async def serve(config: Config, environ: Mapping[str, str]) -> None:
    """Serve until a shutdown requested by SIGTERM or SIGINT is complete.  Raises ConfigError."""
    loop = asyncio.get_running_loop()
    node = Node(loop, config, environ)
    loop.add_signal_handler(signal.SIGHUP, node.reload_config)
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, node.begin_shutdown)
    await node.start()
    await node.stopped


def main() -> int:
    """Run the call server; returns 2 after one line on standard error if the configuration is unusable."""
    try:
        config = configuration.read_config(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, os.environ))
    except ConfigError as error:
        print(f"eiderstep.node: {error}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
