"""`python -m eiderstep.node`: the process around one call server on the users' platform."""

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
    """Serve until SIGTERM or SIGINT has been obeyed.  Raises ConfigError."""
    loop = asyncio.get_running_loop()
    node = Node(loop, config, environ)
    loop.add_signal_handler(signal.SIGHUP, node.reread)
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, node.stop)
    await node.start()
    await node.stopped


def main() -> int:
    """Run; a configuration that cannot be used ends the start with one line on standard error."""
    try:
        config = configuration.read(os.environ)
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(serve(config, os.environ))
    except ConfigError as problem:
        print(f"eiderstep.node: {problem}", file=sys.stderr)
        return 2
    return 0


if __name__ == "__main__":
    sys.exit(main())
