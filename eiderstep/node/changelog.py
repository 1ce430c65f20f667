"""The change log followed: numbered changes of the list of offices, asked for by long polls."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any

from eiderstep import interface as io
from eiderstep.node import mapping
from eiderstep.registry.http import Failed, Link, Times

SECOND = 1_000_000_000
WAIT = 1.0  # seconds that the change log may hold a poll; what a silent one hides counts as told 2 s after it
SPARE = 0.5  # seconds beyond that in which the answer has to be whole
AGAIN = 0.1, 0.5  # seconds before the next poll after one that failed: first, at most
LARGEST = 1 << 20  # bytes of an answer
Told = Callable[[io.ListKind, tuple[io.OfficeEntry, ...], dict[str, str]], None]


class Book:
    """What the events say, without I/O: each is taken once, in the order of its number."""

    def __init__(self, tell: Told) -> None:
        self.tell = tell
        self.seq = 0

    def take(self, answer: Any, first: bool = False) -> None:
        """An answer of the change log, or `known` of the configuration (`first`).  Raises mapping.BadList.

        All of it is read before any of it counts.
        """
        results = answer.get("results") if isinstance(answer, dict) else None
        if not isinstance(results, list):
            raise mapping.BadList("no results")
        news = []
        for row in results:
            result = row if isinstance(row, dict) else {}
            seq, fleet = result.get("seq"), result.get("fleet")
            hosts = fleet.get("hosts") if isinstance(fleet, dict) else None
            if not isinstance(seq, int) or not isinstance(fleet, dict) or not isinstance(hosts, list):
                raise mapping.BadList("a result without seq, fleet or hosts")
            if seq > self.seq:
                read = [mapping.entry(host) for host in hosts]
                news.append((seq, bool(fleet.get("whole")), read))
        for seq, whole, read in sorted(news, key=lambda item: item[0]):
            kind = io.ListKind.COMPLETE if whole else io.ListKind.CHANGES
            if whole and first:
                kind = io.ListKind.REMEMBERED
            self.seq = seq
            self.tell(kind, tuple(e for e, _ in read), {e.office: dial for e, dial in read})


class _Body:
    def __init__(self) -> None:
        self.data = b""

    def opened(self, status: int, headers: dict[str, str]) -> _Body:
        return self

    def feed(self, data: bytes) -> None:
        self.data += data
        if len(self.data) > LARGEST:
            raise ValueError(f"an answer of over {LARGEST} bytes")


class ChangeLog:
    """Polls one address until it is told another.

    Danger: a change log that breaks off or falls silent hides drains; what it would have told counts as told
    soon.  So a poll is short, has to be whole soon after, and the next one follows at once.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, book: Book, address: str, log: Callable[..., None]
    ) -> None:
        self.loop, self.book, self.address, self.log = loop, book, address, log
        self.link: Link | None = None
        self.task: asyncio.Task[None] | None = None

    def follow(self, address: str = "") -> None:
        """Poll from now on, at another address if one is given."""
        self.address = address or self.address
        self.stop()
        self.task = self.loop.create_task(self._poll())

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()
        if self.link is not None:
            self.link.close()

    async def _poll(self) -> None:
        self.link = Link(self.loop, self.address, Times(SPARE, WAIT + SPARE, WAIT + SPARE))
        pause = AGAIN[0]
        while True:
            body = _Body()
            path = f"/changes?since={self.book.seq}&timeout={int(WAIT * 1000)}"
            try:
                answer = await self.link.ask("GET", path, {}, open_sink=body.opened)
                if answer.status != 200:
                    raise Failed(f"status {answer.status}")
                self.book.take(json.loads(body.data))
                pause = AGAIN[0]
                continue
            except (Failed, ValueError, RecursionError) as problem:
                self.log("warning", "change log failed", why=str(problem), address=self.address)
            if self.link.wire is not None:
                self.link.wire.fail("not understood")  # a broken answer may go on: nothing more is read of it
            await asyncio.sleep(pause)
            pause = min(2 * pause, AGAIN[1])
