"""What the engine asks of its host.  Bytes to send are in `Engine.out`, as (flow, bytes)."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import Any


@dataclass(frozen=True, slots=True)
class Dial:
    """Keep a connection to this address."""

    address: str


@dataclass(frozen=True, slots=True)
class HangUp:
    """No connection to this address is wanted any more; what stands on it goes on until it ends."""

    address: str


@dataclass(frozen=True, slots=True)
class CloseFlow:
    """Close a connection; `why` goes to the log."""

    flow: int
    why: str


@dataclass(frozen=True, slots=True)
class AskRegister:
    """The module asks to be told of list changes."""


@dataclass(frozen=True, slots=True)
class Log:
    """One event for the log; `call` is the call's id, or empty."""

    level: str
    event: str
    call: str = ""
    fields: dict[str, Any] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Finished:
    """All calls are over after a stop was asked for."""


Effect = Dial | HangUp | CloseFlow | AskRegister | Log | Finished
