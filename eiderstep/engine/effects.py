"""Effects: what the engine asks of the server that runs it.

Bytes to send are not effects; they are in `Engine.out`, as (flow, bytes).
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Dial:
    """Open and keep a connection to this address."""

    address: str


@dataclass(frozen=True, slots=True)
class StopDialling:
    """Stop connecting to this address.  An open connection, with the calls on it, is left as it is."""

    address: str


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close a connection; `reason` tells why."""

    flow: int
    reason: str


@dataclass(frozen=True, slots=True)
class SubscribeToRegister:
    """The module asks for updates of the list of exchanges."""


@dataclass(frozen=True, slots=True)
class Log:
    """One log event; `call` is the call's name, or empty."""

    level: str
    event: str
    call: str = ""
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Finished:
    """All calls have ended after `Engine.stop`."""


Effect = Dial | StopDialling | CloseFlow | SubscribeToRegister | Log | Finished
