"""Where a call server has its list of exchanges from: the register, a registry, or one behind the other."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Protocol

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.registry.choice import Choice
from eiderstep.registry.client import RegistryClient
from eiderstep.registry.registrant import Registrant
from eiderstep.server.register import RegisterClient
from eiderstep.server.wire import Trace

SECOND = 1_000_000_000
News = list[tuple[io.ListKind, tuple[io.OfficeEntry, ...]]]


class Follower(Protocol):
    """What the lists need of the call server."""

    loop: asyncio.AbstractEventLoop
    settings: ServerSettings
    log: Callable[[str, str, str, dict[str, Any]], None]
    trace: Trace | None
    rng: Random
    address: str
    epoch: Callable[[], int]

    def now(self) -> int: ...
    def news(self, told: News) -> None: ...


class Lists:
    """Follows what the settings name, and keeps our own entry."""

    def __init__(self, server: Follower) -> None:
        self.server, settings = server, server.settings
        self.register: RegisterClient | None = None
        self.registry: RegistryClient | None = None
        self.registrant: Registrant | None = None
        both = settings.register is not None and settings.registry is not None
        self.choice = Choice(settings.list_from, settings.fallback_after) if both else None
        self.choice_timer: asyncio.TimerHandle | None = None

    def follow(self) -> None:
        """Follow from now on."""
        server, settings = self.server, self.server.settings
        if settings.register is not None:
            self.register = RegisterClient(
                server.loop, settings.register, partial(self._news, "register"), self._note, server.rng,
                server.trace,
            )  # fmt: skip
            self.register.start()
        if settings.registry is not None:
            self.registry = RegistryClient(
                server.loop, settings.registry, partial(self._news, "registry"), self._note,
                Random(settings.seed ^ 0xE0EA), settings.named(), server.trace,
            )  # fmt: skip
            self.registry.start()
            if settings.registry.lease is not None:
                self.registrant = Registrant(
                    server.loop, settings.registry, server.address, settings.number, self._note,
                    Random(settings.seed ^ 0x1EA5E), server.epoch,
                )  # fmt: skip
                self.registrant.start()

    def unfollow(self) -> None:
        """News are of no use any more."""
        if self.register is not None:
            self.register.stop()
        if self.registry is not None:
            self.registry.stop()
        if self.choice_timer is not None:
            self.choice_timer.cancel()

    def ask(self) -> None:
        """The module asks to be told."""
        if self.register is not None:
            self.register.ask()
        if self.registry is not None:
            self.registry.ask()

    def _news(self, source: str, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        if self.choice is None:
            self.server.news([(kind, entries)])
            return
        was = self.choice.on_fallback
        self.server.news(self.choice.heard(self.server.now(), source, kind, entries))
        self._chosen(was)

    def _chosen(self, was: bool) -> None:
        """Log a change of the list in force, and wake when the fallback is due."""
        choice = self.choice
        assert choice is not None
        if choice.on_fallback != was:
            self._note("list of exchanges changes", {"fallback": choice.on_fallback})
        if self.choice_timer is not None:
            self.choice_timer.cancel()
            self.choice_timer = None
        due = choice.next_due()
        if due is not None:
            self.choice_timer = self.server.loop.call_at(due / SECOND + 0.001, self._choice_due)

    def _choice_due(self) -> None:
        assert self.choice is not None
        was = self.choice.on_fallback
        self.server.news(self.choice.due(self.server.now()))
        self._chosen(was)

    def _note(self, event: str, fields: dict[str, Any]) -> None:
        self.server.log("warning", event, "", fields)
