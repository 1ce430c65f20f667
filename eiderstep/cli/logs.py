"""Log output through structlog, as JSON lines or for a console; lines of a call carry its id."""

from __future__ import annotations

import sys
from typing import Any

import structlog

from eiderstep.server.connections import Logger


def make_logger(console: bool, verbose: bool = False) -> Logger:
    """Configure structlog; return the function that the server, the engine and the lab log through.

    Its arguments are level, event, call id (empty: none) and fields.  `verbose` also passes level debug.
    """
    renderer: Any = structlog.dev.ConsoleRenderer() if console else structlog.processors.JSONRenderer()
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            renderer,
        ],
        wrapper_class=structlog.make_filtering_bound_logger(10 if verbose else 20),
        logger_factory=structlog.WriteLoggerFactory(file=sys.stdout),
    )
    bound = structlog.get_logger()

    def log(level: str, event: str, call: str, fields: dict[str, Any]) -> None:
        getattr(bound, level)(event, **({"call": call} if call else {}), **fields)
        sys.stdout.flush()

    return log
