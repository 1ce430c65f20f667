"""Follows the registry: polls each address of its own pace, and hands what the view believes to the server.

One follower for each of `follow` addresses; each holds the table of the registry that it asks.  An answer is
used only once it is whole: half an answer, a slow one or one that is no list leaves everything as it was.
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
from eiderstep.registry.decode import Bounds, Reader, Unfit, reader
from eiderstep.registry.http import Answer, Failed, Link, Times, Trace
from eiderstep.registry.model import Listing
from eiderstep.registry.pace import Addresses, Ask, Pace
from eiderstep.registry.table import Applied, Picture, Table
from eiderstep.registry.view import Policy, View

SECOND = 1_000_000_000
OK, NOT_MODIFIED, MISSING = 200, 304, 404
ACCEPT = {"json": "application/json", "xml": "application/xml"}
PART = {"app": "apps", "vip": "vips"}

News = Callable[[io.ListKind, tuple[io.OfficeEntry, ...]], None]
Note = Callable[[str, dict[str, Any]], None]


def policy(settings: Registry) -> Policy:
    """The view's figures as the settings have them."""
    return Policy(
        settings.number_key, settings.district_key, settings.started_key,
        settings.loss_share, settings.loss_least, settings.hold,
    )  # fmt: skip


def date_of(headers: dict[str, str]) -> int:
    """The registry's own time, by its Date (ms), 0 without one that can be read."""
    try:
        return int(parsedate_to_datetime(headers.get("date", "")).timestamp() * 1000)
    except (ValueError, OverflowError):
        return 0


class Follower:
    """One registry address after another, one request at a time."""

    def __init__(self, client: RegistryClient, number: int) -> None:
        settings = client.settings
        self.client, self.number = client, number
        self.pace = Pace(settings.poll, settings.full_every, client.rng)
        self.table = Table()
        self.tags: dict[str, str] = {}  # path to the ETag of the answer that the table is
        self.wake = asyncio.Event()
        self.links: dict[str, Link] = {}

    def link(self, name: str) -> Link:
        if name not in self.links:
            s = self.client.settings
            self.links[name] = Link(self.client.loop, name, Times.of(s), s.tls, self.client.trace)
        return self.links[name]

    async def run(self) -> None:
        """Ask, wait, ask again."""
        client = self.client
        while True:
            wait = await self.turn()
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self.wake.wait(), wait / SECOND)
            self.wake.clear()
            client.tick()

    async def turn(self) -> int:
        """One request and what comes of it; returns how long to wait (ns)."""
        client = self.client
        name = client.addresses.pick(self.number)
        now = client.now()
        partial = client.settings.ask != "all"
        what = Ask.FULL if partial else self.pace.what(now, name)
        if what is Ask.FULL and self.pace.table_of != name:
            self.table, self.tags = Table(), {}
        try:
            answer = await self.get(name, what)
            applied, picture = self.apply(answer, what, partial)
        except (Failed, Unfit) as problem:
            now = client.now()
            client.addresses.failed(now, name)
            client.failed(name, str(problem))
            return self.pace.failed(client.addresses.pick(self.number) != name)
        now = client.now()
        client.polls[what] += 1
        client.bytes[what] += answer.bytes
        first = self.pace.mismatched == 0  # said once, not at each poll that goes the same way
        if applied is Applied.STALE:
            if first:
                client.note("registry answers with what is older", {"registry": name})
        else:
            client.heard(name, picture)
        if applied is Applied.MISMATCH and first:
            client.note("registry's hash does not fit", {"registry": name, "asked": what.value})
        return self.pace.taken(now, name, what, fits=applied is Applied.TAKEN)

    def path(self, what: Ask) -> str:
        s = self.client.settings
        if s.ask != "all":
            return f"{s.path}/{PART[s.ask]}/{quote(s.app if s.ask == 'app' else s.vip, safe='')}"
        return f"{s.path}/apps" + ("/delta" if what is Ask.DELTA else "")

    async def get(self, name: str, what: Ask) -> Answer:
        """Raises Failed."""
        settings, path = self.client.settings, self.path(what)
        headers = {"Accept": ACCEPT[settings.form], "Accept-Encoding": "gzip"}
        if path in self.tags:
            headers["If-None-Match"] = self.tags[path]
        bounds = Bounds(answer=settings.answer, instances=settings.instances)

        def open_sink(status: int, got: dict[str, str]) -> Reader | None:
            return reader(got.get("content-type", ""), settings.app, bounds) if status == OK else None

        answer = await self.link(name).ask("GET", path, headers, open_sink=open_sink)
        if answer.status == MISSING and settings.ask != "all":
            return answer  # the app has no instance: an empty list, and the view's to believe
        if answer.status not in (OK, NOT_MODIFIED):
            raise Failed(f"status {answer.status}")
        return answer

    def apply(self, answer: Answer, what: Ask, partial: bool) -> tuple[Applied, Picture]:
        """Raises Unfit."""
        path = self.path(what)
        if answer.status == NOT_MODIFIED:
            applied, picture = Applied.TAKEN, Picture(dict(self.table.instances), {}, False, self.table.clock)
        else:
            listing = answer.sink.finish() if answer.sink is not None else Listing()
            if what is Ask.FULL:
                applied, picture = self.table.full(listing, partial)
                self.tags = {}
            else:
                applied, picture = self.table.delta(listing)
                self.tags.pop(self.path(Ask.FULL), None)  # the table is not that answer any more
            tag = answer.headers.get("etag", "")
            if tag and len(tag) < 256 and applied is Applied.TAKEN:
                self.tags[path] = tag
        clock = max(picture.clock, date_of(answer.headers))
        return applied, Picture(picture.instances, picture.gone, picture.full, clock)


class RegistryClient:
    """All followers and the one view."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Registry, news: News, note: Note, rng: Random,
        remembered: tuple[io.OfficeEntry, ...] = (), trace: Trace | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.settings, self.news, self.note, self.rng = loop, settings, news, note, rng
        self.trace = trace
        self.view = View(policy(settings), remembered)
        self.addresses = Addresses(list(settings.addresses))
        self.polls = {Ask.FULL: 0, Ask.DELTA: 0}
        self.bytes = {Ask.FULL: 0, Ask.DELTA: 0}
        self.failing: dict[str, str] = {}
        self.followers: list[Follower] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.timer: asyncio.TimerHandle | None = None

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def start(self) -> None:
        """Follow from now on."""
        for number in range(min(self.settings.follow, len(self.settings.addresses))):
            follower = Follower(self, number)
            follower.link(self.addresses.pick(number))  # key files that cannot be used are told at once
            self.followers.append(follower)
        self.tasks = [self.loop.create_task(follower.run()) for follower in self.followers]

    def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        for follower in self.followers:
            for link in follower.links.values():
                link.close()

    def ask(self) -> None:
        """The module wants to be told, or what one registry says wants a second opinion."""
        now = self.now()
        for follower in self.followers:
            if follower.pace.hurry(now):
                follower.wake.set()

    def heard(self, name: str, picture: Picture) -> None:
        if self.failing.pop(name, None) is not None:
            self.note("registry answers again", {"registry": name})
        self._told(self.view.heard(self.now(), name, picture))

    def failed(self, name: str, why: str) -> None:
        if self.failing.get(name) != why:
            self.failing[name] = why
            self.note("registry not heard", {"registry": name, "why": why})
        self._told(self.view.lost(self.now(), name, why))

    def tick(self) -> None:
        """What the view does by time alone."""
        due = self.view.next_due()
        if due is not None and due <= self.now():
            self._told(self.view.due(self.now()))

    def _told(self, news: list[tuple[io.ListKind, tuple[io.OfficeEntry, ...]]]) -> None:
        for kind, entries in news:
            self.news(kind, entries)
        for said in self.view.notes:
            self.note(said.event, said.fields)
        self.view.notes.clear()
        if self.view.doubt:
            self.view.doubt = False
            self.ask()
        due = self.view.next_due()
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        if due is not None:
            self.timer = self.loop.call_at(due / SECOND + 0.001, self.tick)
