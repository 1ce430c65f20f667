"""Keeps the own call server's entry in the registry, over the addresses in turn."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep.config.schema import Registry
from eiderstep.registry.http import Failed, Link, Times, Trace
from eiderstep.registry.lease import Entry, Held, Lease, Order

SECOND = 1_000_000_000
Note = Callable[[str, dict[str, Any]], None]


class Registrant:
    """One entry, one request at a time.  `epoch`: the wall clock in ms, handed in."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Registry, address: str, number: int, note: Note,
        rng: Random, epoch: Callable[[], int], trace: Trace | None = None,
    ) -> None:  # fmt: skip
        assert settings.lease is not None
        mine = settings.lease
        host, _, port = address.rpartition(":")
        self.loop, self.settings, self.note, self.epoch = loop, settings, note, epoch
        times = Times.of(settings)
        self.links = [Link(loop, name, times, settings.tls, trace) for name in settings.addresses]
        self.at = 0
        born = epoch()
        # Others may follow us by the same keys as we follow the exchanges.
        metadata = {settings.number_key: str(number), settings.started_key: str(born)} | mine.metadata
        vip = mine.vip or mine.app.lower()
        entry = Entry(mine.app, mine.id, host, int(port), vip, mine.renew, mine.duration, metadata)
        self.lease = Lease(entry, rng, born)
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.may_cancel = asyncio.Event()
        self.over = loop.create_future()

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def start(self) -> None:
        self.task = self.loop.create_task(self._run())

    def leave(self) -> None:
        """The stop has begun: DOWN at once.  The entry itself goes with `cancel`."""
        self.lease.leave(self.now(), self.epoch())
        self.wake.set()

    def cancel(self) -> None:
        """All is answered and released: the entry may go."""
        self.may_cancel.set()
        self.wake.set()

    def stop(self) -> None:
        """Gone at once; the entry stays until its lease is over."""
        if self.task is not None:
            self.task.cancel()
        for link in self.links:
            link.close()

    async def send(self, order: Order) -> int:
        """One request, to the address that answered last.  Returns the status.  Raises Failed."""
        headers = {"Accept": "application/json"}
        if order.body:
            headers["Content-Type"] = "application/json"
        path = f"{self.settings.path}{order.path}"
        try:
            answer = await self.links[self.at].ask(order.method, path, headers, order.body)
        except Failed:
            self.at = (self.at + 1) % len(self.links)
            raise
        if answer.status >= 500:
            self.at = (self.at + 1) % len(self.links)
        return answer.status

    async def _run(self) -> None:
        lease = self.lease
        while True:
            if lease.state is Held.DOWN:
                await self.may_cancel.wait()
            order = lease.order()
            if order is None:
                break
            was = lease.state
            try:
                status = await self.send(order)
            except Failed as problem:
                if lease.state is was:
                    lease.failed(self.now())
                self.note("registration failed", {"what": was.name, "why": str(problem)})
            else:
                if lease.state is was:
                    lease.answered(self.now(), status, self.epoch())
                if lease.state is not was or status >= 400:
                    self.note("registration", {"was": was.name, "status": status, "now": lease.state.name})
            wait = (lease.due - self.now()) / SECOND
            if wait > 0 and lease.state is not Held.OVER:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake.wait(), wait)
                self.wake.clear()
        for link in self.links:
            link.close()
        self.over.set_result(None)
