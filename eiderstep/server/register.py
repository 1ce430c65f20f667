"""The register's client: the list of exchanges as server-sent events over HTTP, parsed by httptools.

Each event's data is a JSON object `{"gen", "kind", "entries"}` (docs/protocol.md).  The first after a
connection is the whole list.  It keeps asking, with a pause that doubles and is jittered; while the register
is silent what was last told stays in force.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import httptools
import msgspec

from eiderstep import interface as io
from eiderstep.config.schema import Register
from eiderstep.server.wire import Trace
from eiderstep.sip.message import split_address

SECOND = 1_000_000_000
PAUSE_CAP = 8.0  # times the first pause
EVENT_LIMIT = 1 << 22  # bytes of one event
LAST_NUMBER = 65535  # of an exchange
STATES = {"up": io.OfficeState.UP, "draining": io.OfficeState.DRAINING, "gone": io.OfficeState.GONE}
KINDS = {"complete": io.ListKind.COMPLETE, "changes": io.ListKind.CHANGES}

News = Callable[[io.ListKind, tuple[io.OfficeEntry, ...]], None]
Note = Callable[[str, dict[str, Any]], None]


class Row(msgspec.Struct):
    """One exchange, as the register tells it; `age` is how long it has run (s), None for long."""

    office: str
    number: int
    state: str
    age: float | None = None
    zone: int = 0


class Event(msgspec.Struct):
    """One event of the stream."""

    gen: int
    kind: str
    entries: list[Row]


def entry(row: Row, now: int) -> io.OfficeEntry | None:
    """A row in the module's terms; None for one that cannot be used."""
    state = STATES.get(row.state)
    try:
        split_address(row.office)
    except ValueError:
        return None
    # Danger: JSON has 1e999, which is no length of time; the error would end the stream's callback for good.
    # Found by fuzzing.  Hurts nobody: an exchange that has run for longer than our clock is an old one.
    if state is None or not 0 <= row.number <= LAST_NUMBER or (row.age is not None and row.age != row.age):
        return None
    young = row.age is not None and 0 <= row.age * SECOND < now
    started = max(now - int((row.age or 0.0) * SECOND), 1) if young else 0
    return io.OfficeEntry(row.office, row.number, state, started, row.zone)


class EventStream:
    """Bytes of a response body in, events out (the WHATWG's event-stream format, fields `data` alone)."""

    def __init__(self) -> None:
        self.rest = b""
        self.data: list[bytes] = []

    def feed(self, chunk: bytes) -> list[bytes]:
        lines = (self.rest + chunk).split(b"\n")
        self.rest = lines.pop()
        found: list[bytes] = []
        for whole in lines:
            line = whole.rstrip(b"\r")
            if not line:
                if self.data:
                    found.append(b"\n".join(self.data))
                    self.data = []
            elif line.startswith(b"data:"):
                self.data.append(line[5:].lstrip(b" "))
        if len(self.rest) + sum(map(len, self.data)) > EVENT_LIMIT:
            raise ValueError(f"an event of over {EVENT_LIMIT} bytes")
        return found


class _Stream(asyncio.Protocol):
    """One connection to the register."""

    def __init__(self, client: RegisterClient) -> None:
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.stream = EventStream()
        self.transport: asyncio.Transport | None = None
        self.over = client.loop.create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        settings = self.client.settings
        ask = f"GET {settings.path} HTTP/1.1\r\nHost: {settings.address}\r\nAccept: text/event-stream\r\n\r\n"
        transport.write(ask.encode())

    def data_received(self, data: bytes) -> None:
        client = self.client
        client.heard_at = client.loop.time()
        if client.trace is not None:
            client.trace(client.now(), "register", client.settings.address, "in", data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError, msgspec.MsgspecError) as problem:
            self.fail(
                f"not understood: {problem.__context__ or problem}"
            )  # httptools wraps what a callback raises

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.fail(f"status {self.parser.get_status_code()}")

    def on_body(self, body: bytes) -> None:
        for event in self.stream.feed(body):
            self.client.take(msgspec.json.decode(event, type=Event))

    def on_message_complete(self) -> None:
        self.fail("the stream ended")

    def fail(self, why: str) -> None:
        if not self.over.done():
            self.over.set_result(why)
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.over.done():
            self.over.set_result("the connection was lost")


class RegisterClient:
    """Follows the register for as long as it runs."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Register, news: News, note: Note, rng: Random,
        trace: Trace | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.settings, self.news, self.note, self.rng = loop, settings, news, note, rng
        self.trace = trace
        self.heard_at = 0.0
        self.gen = -1
        self.wanted = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.fresh = False

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def start(self) -> None:
        """Follow from now on; where the register tells on request only, wait to be asked."""
        if not self.settings.on_request:
            self.wanted.set()
        self.task = self.loop.create_task(self._run())

    def ask(self) -> None:
        """The module wants to be told."""
        self.wanted.set()

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def take(self, event: Event) -> None:
        """One event; a gap in the numbers means that the list held is not the register's any more."""
        kind = KINDS.get(event.kind)
        if kind is None:
            raise ValueError(f"kind {event.kind!r}; allowed: complete, changes")
        if kind is io.ListKind.CHANGES and event.gen != self.gen + 1:
            raise ValueError(f"change {event.gen} after {self.gen}")
        self.gen, self.fresh = event.gen, True
        now = self.now()
        entries = tuple(e for row in event.entries if (e := entry(row, now)) is not None)
        if len(entries) < len(event.entries):
            self.note("register names what cannot be used", {"rows": len(event.entries) - len(entries)})
        self.news(kind, entries)

    async def _run(self) -> None:
        pause = first = self.settings.retry / SECOND
        while True:
            await self.wanted.wait()
            self.fresh = False
            why = await self._follow()
            self.note("register lost", {"why": why})
            self.news(io.ListKind.FAILED, ())
            if self.settings.on_request:
                self.wanted.clear()
                continue
            pause = first if self.fresh else min(2 * pause, PAUSE_CAP * first)
            await asyncio.sleep(pause * (1 + self.rng.random() / 2))

    async def _follow(self) -> str:
        """One connection, from its dial to its end; returns why it ended."""
        host, port = split_address(self.settings.address, 80)
        silence = self.settings.silence / SECOND
        try:
            _, stream = await asyncio.wait_for(
                self.loop.create_connection(lambda: _Stream(self), host, port), silence
            )
        except (TimeoutError, OSError) as problem:
            return f"not reached: {problem or 'no answer'}"
        self.heard_at = self.loop.time()
        while not stream.over.done():
            left = self.heard_at + silence - self.loop.time()
            if left <= 0:
                stream.fail(f"silent for {silence:g} s")
                break
            await asyncio.wait([stream.over], timeout=left)
        return str(stream.over.result())
