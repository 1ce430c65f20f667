"""Keeps this call server registered, with one registry address at a time and failover to the next."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep.config.schema import Registry
from eiderstep.registry.http import HttpClient, RequestFailed, RequestTimeouts, Trace
from eiderstep.registry.lease import Lease, LeaseState, Registration, Request

SECOND = 1_000_000_000
LogNote = Callable[[str, dict[str, Any]], None]


class Registrant:
    """Sends the requests of one `Lease`, one at a time.  `wall_ms` returns the wall clock in ms."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Registry, address: str, number: int, note: LogNote,
        rng: Random, wall_ms: Callable[[], int], trace: Trace | None = None,
    ) -> None:  # fmt: skip
        assert settings.lease is not None
        own = settings.lease
        host, _, port = address.rpartition(":")
        self.loop, self.settings, self.note, self.wall_ms = loop, settings, note, wall_ms
        times = RequestTimeouts.of(settings)
        self.http_clients = [
            HttpClient(loop, name, times, settings.tls, trace) for name in settings.addresses
        ]
        self.address_index = 0
        started_ms = wall_ms()
        # The same metadata keys as the exchanges use, so that others can follow this server by them.
        metadata = {settings.number_key: str(number), settings.started_key: str(started_ms)} | own.metadata
        vip = own.vip or own.app.lower()
        entry = Registration(own.app, own.id, host, int(port), vip, own.renew, own.duration, metadata)
        self.lease = Lease(entry, rng, started_ms)
        self.wake = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.removal_allowed = asyncio.Event()
        self.finished = loop.create_future()

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def start(self) -> None:
        self.task = self.loop.create_task(self._run())

    def begin_leaving(self) -> None:
        """Registers as DOWN at once; the entry itself is removed only after `allow_removal`."""
        self.lease.leave(self.now(), self.wall_ms())
        self.wake.set()

    def allow_removal(self) -> None:
        """Allows the entry to be removed, once all calls are answered and released."""
        self.removal_allowed.set()
        self.wake.set()

    def stop(self) -> None:
        """Stops without deregistration: the entry stays until its lease expires."""
        if self.task is not None:
            self.task.cancel()
        for link in self.http_clients:
            link.close()

    async def send(self, request: Request) -> int:
        """Sends one request to the address that answered last and returns the status.  Raises Failed.

        After a failure or a 5xx response the following request goes to the next address.
        """
        headers = {"Accept": "application/json"}
        if request.body:
            headers["Content-Type"] = "application/json"
        path = f"{self.settings.path}{request.path}"
        try:
            response = await self.http_clients[self.address_index].request(
                request.method, path, headers, request.body
            )
        except RequestFailed:
            self.address_index = (self.address_index + 1) % len(self.http_clients)
            raise
        if response.status >= 500:
            self.address_index = (self.address_index + 1) % len(self.http_clients)
        return response.status

    async def _run(self) -> None:
        lease = self.lease
        while True:
            if lease.state is LeaseState.DOWN:
                await self.removal_allowed.wait()
            request = lease.next_request()
            if request is None:
                break
            state_sent = lease.state
            try:
                status = await self.send(request)
            except RequestFailed as problem:
                if lease.state is state_sent:
                    lease.on_failure(self.now())
                self.note("registration failed", {"what": state_sent.name, "why": str(problem)})
            else:
                if lease.state is state_sent:
                    lease.on_response(self.now(), status, self.wall_ms())
                if lease.state is not state_sent or status >= 400:
                    self.note(
                        "registration", {"was": state_sent.name, "status": status, "now": lease.state.name}
                    )
            wait = (lease.next_request_at - self.now()) / SECOND
            if wait > 0 and lease.state is not LeaseState.OVER:
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self.wake.wait(), wait)
                self.wake.clear()
        for link in self.http_clients:
            link.close()
        self.finished.set_result(None)
