"""Follows a Eureka registry: polls its addresses and passes on the merged list of exchanges.

There is one follower for each of `follow` addresses, and each keeps the table of the registry that it polls.
A response is used only once it is complete: a truncated, slow or invalid one changes nothing.
"""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import Callable
from email.utils import parsedate_to_datetime
from random import Random
from typing import Any
from urllib.parse import quote

from eiderstep import interface as io
from eiderstep.config.schema import Registry
from eiderstep.registry.decode import InvalidResponse, Reader, ResponseLimits, reader_for
from eiderstep.registry.http import HttpClient, RequestFailed, RequestTimeouts, Response, Trace
from eiderstep.registry.model import Listing
from eiderstep.registry.poll_schedule import AddressPool, PollKind, PollSchedule
from eiderstep.registry.table import ApplyResult, RegistryTable, Snapshot
from eiderstep.registry.view import Policy, View

SECOND = 1_000_000_000
OK, NOT_MODIFIED, NOT_FOUND = 200, 304, 404
ACCEPT = {"json": "application/json", "xml": "application/xml"}
COLLECTIONS = {"app": "apps", "vip": "vips"}

OnUpdate = Callable[[io.ListKind, tuple[io.OfficeEntry, ...]], None]
OnNote = Callable[[str, dict[str, Any]], None]


def policy(settings: Registry) -> Policy:
    """The view's policy from the settings."""
    return Policy(
        settings.number_key, settings.district_key, settings.started_key,
        settings.loss_share, settings.loss_least, settings.hold,
    )  # fmt: skip


def parse_date(headers: dict[str, str]) -> int:
    """The registry's time from the Date header (ms); 0 if it is missing or invalid."""
    try:
        return int(parsedate_to_datetime(headers.get("date", "")).timestamp() * 1000)
    except (ValueError, OverflowError):
        return 0


class RegistryFollower:
    """Polls one registry address at a time, with failover, one request at a time."""

    def __init__(self, client: RegistryClient, number: int) -> None:
        settings = client.settings
        self.client, self.number = client, number
        self.schedule = PollSchedule(settings.poll, settings.full_every, client.rng)
        self.table = RegistryTable()
        self.etags: dict[str, str] = {}  # by path: the ETag of the response that the table equals
        self.wake = asyncio.Event()
        self.http_clients: dict[str, HttpClient] = {}

    def http_client(self, name: str) -> HttpClient:
        if name not in self.http_clients:
            settings = self.client.settings
            self.http_clients[name] = HttpClient(
                self.client.loop, name, RequestTimeouts.of(settings), settings.tls, self.client.trace
            )
        return self.http_clients[name]

    async def run(self) -> None:
        """Polls until cancelled."""
        client = self.client
        while True:
            wait = await self.poll_once()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), wait / SECOND)
            self.wake.clear()
            client.on_timer()

    async def poll_once(self) -> int:
        """Sends one request and handles its result; returns the delay until the next one (ns)."""
        client = self.client
        name = client.addresses.pick(self.number)
        now = client.now()
        partial = client.settings.ask != "all"
        kind = PollKind.FULL if partial else self.schedule.next_kind(now, name)
        if kind is PollKind.FULL and self.schedule.table_address != name:
            self.table, self.etags = RegistryTable(), {}
        try:
            response = await self.fetch(name, kind)
            applied, snapshot = self.apply_response(response, kind, partial)
        except (RequestFailed, InvalidResponse) as problem:
            now = client.now()
            client.addresses.mark_failed(now, name)
            client.on_failure(name, str(problem))
            return self.schedule.on_failure(client.addresses.pick(self.number) != name)
        now = client.now()
        client.poll_counts[kind] += 1
        client.received_bytes[kind] += response.received_bytes
        first = self.schedule.mismatches == 0  # log once, not at each poll with the same result
        if applied is ApplyResult.STALE:
            if first:
                client.note("registry answered with an older version", {"registry": name})
        else:
            client.on_snapshot(name, snapshot)
        if applied is ApplyResult.MISMATCH and first:
            client.note("registry hash mismatch", {"registry": name, "asked": kind.value})
        return self.schedule.on_response(now, name, kind, hash_matches=applied is ApplyResult.TAKEN)

    def path(self, kind: PollKind) -> str:
        settings = self.client.settings
        if settings.ask != "all":
            return (
                f"{settings.path}/{COLLECTIONS[settings.ask]}/"
                f"{quote(settings.app if settings.ask == 'app' else settings.vip, safe='')}"
            )
        return f"{settings.path}/apps" + ("/delta" if kind is PollKind.DELTA else "")

    async def fetch(self, name: str, kind: PollKind) -> Response:
        """Requests a list from the address `name`.  Raises Failed."""
        settings, path = self.client.settings, self.path(kind)
        headers = {"Accept": ACCEPT[settings.form], "Accept-Encoding": "gzip"}
        if path in self.etags:
            headers["If-None-Match"] = self.etags[path]
        bounds = ResponseLimits(max_bytes=settings.answer, max_instances=settings.instances)

        def open_sink(status: int, response_headers: dict[str, str]) -> Reader | None:
            return (
                reader_for(response_headers.get("content-type", ""), settings.app, bounds)
                if status == OK
                else None
            )

        response = await self.http_client(name).request("GET", path, headers, open_sink=open_sink)
        if response.status == NOT_FOUND and settings.ask != "all":
            return response  # no instance of the app: an empty list, left to the rules of the view
        if response.status not in (OK, NOT_MODIFIED):
            raise RequestFailed(f"status {response.status}")
        return response

    def apply_response(
        self, response: Response, kind: PollKind, partial: bool
    ) -> tuple[ApplyResult, Snapshot]:
        """Applies a response to the table.  Raises InvalidResponse."""
        path = self.path(kind)
        if response.status == NOT_MODIFIED:
            applied, snapshot = (
                ApplyResult.TAKEN, Snapshot(dict(self.table.instances), {}, False, self.table.clock_ms),
            )  # fmt: skip
        else:
            listing = response.sink.finish() if response.sink is not None else Listing()
            if kind is PollKind.FULL:
                applied, snapshot = self.table.apply_full(listing, partial)
                self.etags = {}
            else:
                applied, snapshot = self.table.apply_delta(listing)
                self.etags.pop(self.path(PollKind.FULL), None)  # the table no longer equals that full list
            etag = response.headers.get("etag", "")
            if etag and len(etag) < 256 and applied is ApplyResult.TAKEN:
                self.etags[path] = etag
        clock_ms = max(snapshot.clock_ms, parse_date(response.headers))
        return applied, Snapshot(snapshot.instances, snapshot.departed, snapshot.full, clock_ms)


class RegistryClient:
    """Runs the followers and merges their snapshots in one view.

    List updates go to `on_update`, log notes to `note`.  `configured`: the exchanges in the settings.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Registry, on_update: OnUpdate, note: OnNote,
        rng: Random, configured: tuple[io.OfficeEntry, ...] = (), trace: Trace | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.settings, self.on_update, self.note, self.rng = loop, settings, on_update, note, rng
        self.trace = trace
        self.view = View(policy(settings), configured)
        self.addresses = AddressPool(list(settings.addresses))
        self.poll_counts = {PollKind.FULL: 0, PollKind.DELTA: 0}
        self.received_bytes = {PollKind.FULL: 0, PollKind.DELTA: 0}
        self.failing: dict[str, str] = {}
        self.followers: list[RegistryFollower] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def start(self) -> None:
        """Starts the followers.  Raises OSError for TLS files that cannot be used."""
        for number in range(min(self.settings.follow, len(self.settings.addresses))):
            follower = RegistryFollower(self, number)
            follower.http_client(self.addresses.pick(number))  # reports unusable key files at once
            self.followers.append(follower)
        self.tasks = [self.loop.create_task(follower.run()) for follower in self.followers]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        for follower in self.followers:
            for link in follower.http_clients.values():
                link.close()

    def poll_now(self) -> None:
        """Polls for full lists out of turn: the routing module requests it, or the view needs another
        registry's confirmation."""
        now = self.now()
        for follower in self.followers:
            if follower.schedule.expedite(now):
                follower.wake.set()

    def on_snapshot(self, name: str, snapshot: Snapshot) -> None:
        if self.failing.pop(name, None) is not None:
            self.note("registry answers again", {"registry": name})
        self._publish(self.view.on_snapshot(self.now(), name, snapshot))

    def on_failure(self, name: str, reason: str) -> None:
        if self.failing.get(name) != reason:
            self.failing[name] = reason
            self.note("registry request failed", {"registry": name, "why": reason})
        self._publish(self.view.on_failure(self.now(), name, reason))

    def on_timer(self) -> None:
        """Applies the view's time limits that have passed."""
        timer_at = self.view.next_timer()
        if timer_at is not None and timer_at <= self.now():
            self._publish(self.view.on_timer(self.now()))

    def _publish(self, updates: list[tuple[io.ListKind, tuple[io.OfficeEntry, ...]]]) -> None:
        for kind, entries in updates:
            self.on_update(kind, entries)
        for note in self.view.notes:
            self.note(note.event, note.fields)
        self.view.notes.clear()
        if self.view.second_opinion_wanted:
            self.view.second_opinion_wanted = False
            self.poll_now()
        timer_at = self.view.next_timer()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if timer_at is not None:
            self.timer = self.loop.call_at(timer_at / SECOND + 0.001, self.on_timer)
