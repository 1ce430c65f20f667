"""The source of a call server's list of exchanges: register, registry, or one with the other as fallback."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial
from random import Random
from typing import Any, Protocol

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.registry.client import RegistryClient
from eiderstep.registry.registrant import Registrant
from eiderstep.registry.source_selection import SourceSelector
from eiderstep.server.register import RegisterClient
from eiderstep.server.transport import Trace

SECOND = 1_000_000_000
ListUpdates = list[tuple[io.ListKind, tuple[io.OfficeEntry, ...]]]


class ListHost(Protocol):
    """The part of the call server that `ExchangeLists` uses."""

    loop: asyncio.AbstractEventLoop
    settings: ServerSettings
    log: Callable[[str, str, str, dict[str, Any]], None]
    trace: Trace | None
    rng: Random
    address: str
    epoch: Callable[[], int]

    def now(self) -> int: ...
    def list_changed(self, updates: ListUpdates) -> None: ...


class ExchangeLists:
    """Clients of the register and the registry named in the settings, and our own entry in the registry."""

    def __init__(self, server: ListHost) -> None:
        self.server, settings = server, server.settings
        self.register: RegisterClient | None = None
        self.registry: RegistryClient | None = None
        self.registrant: Registrant | None = None
        two_sources = settings.register is not None and settings.registry is not None
        self.source_selector = (
            SourceSelector(settings.list_from, settings.fallback_after) if two_sources else None
        )
        self.fallback_timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Start the clients that the settings name."""
        server, settings = self.server, self.server.settings
        if settings.register is not None:
            self.register = RegisterClient(
                server.loop, settings.register, partial(self._update_received, "register"), self._log_warning,
                server.rng, server.trace,
            )  # fmt: skip
            self.register.start()
        if settings.registry is not None:
            self.registry = RegistryClient(
                server.loop, settings.registry, partial(self._update_received, "registry"), self._log_warning,
                Random(settings.seed ^ 0xE0EA), settings.configured_offices(), server.trace,
            )  # fmt: skip
            self.registry.start()
            if settings.registry.lease is not None:
                self.registrant = Registrant(
                    server.loop, settings.registry, server.address, settings.number, self._log_warning,
                    Random(settings.seed ^ 0x1EA5E), server.epoch,
                )  # fmt: skip
                self.registrant.start()

    def stop(self) -> None:
        """Stop the clients; the registrant is stopped by the call server."""
        if self.register is not None:
            self.register.stop()
        if self.registry is not None:
            self.registry.stop()
        if self.fallback_timer is not None:
            self.fallback_timer.cancel()

    def request_update(self) -> None:
        """Request a list, as the module has asked for one."""
        if self.register is not None:
            self.register.request_list()
        if self.registry is not None:
            self.registry.poll_now()

    def _update_received(self, source: str, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        if self.source_selector is None:
            self.server.list_changed([(kind, entries)])
            return
        was_on_fallback = self.source_selector.on_fallback
        self.server.list_changed(self.source_selector.on_update(self.server.now(), source, kind, entries))
        self._after_update(was_on_fallback)

    def _after_update(self, was_on_fallback: bool) -> None:
        """Log a change of the active list, and set the timer for switching to the fallback."""
        choice = self.source_selector
        assert choice is not None
        if choice.on_fallback != was_on_fallback:
            self._log_warning("active list of exchanges changed", {"fallback": choice.on_fallback})
        if self.fallback_timer is not None:
            self.fallback_timer.cancel()
            self.fallback_timer = None
        due = choice.next_fallback_at()
        if due is not None:
            self.fallback_timer = self.server.loop.call_at(due / SECOND + 0.001, self._fallback_due)

    def _fallback_due(self) -> None:
        assert self.source_selector is not None
        was_on_fallback = self.source_selector.on_fallback
        self.server.list_changed(self.source_selector.check_fallback(self.server.now()))
        self._after_update(was_on_fallback)

    def _log_warning(self, event: str, fields: dict[str, Any]) -> None:
        self.server.log("warning", event, "", fields)
