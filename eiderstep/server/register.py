"""The client of the register: the list of exchanges as server-sent events over HTTP, parsed by httptools.

The data of each event is a JSON object `{"gen", "kind", "entries"}` (docs/protocol.md).  The first event of a
connection is a full snapshot, later ones are deltas.  A lost connection is retried with jittered exponential
backoff; until then the last list received stays in use.
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
from eiderstep.server.transport import Trace
from eiderstep.sip.message import split_address

SECOND = 1_000_000_000
MAX_BACKOFF_FACTOR = 8.0  # longest pause between connections, as a multiple of the first one
MAX_EVENT_BYTES = 1 << 22
MAX_EXCHANGE_NUMBER = 65535
STATES = {"up": io.OfficeState.UP, "draining": io.OfficeState.DRAINING, "gone": io.OfficeState.GONE}
KINDS = {"complete": io.ListKind.COMPLETE, "changes": io.ListKind.CHANGES}

ListHandler = Callable[[io.ListKind, tuple[io.OfficeEntry, ...]], None]
NoteHandler = Callable[[str, dict[str, Any]], None]


class ExchangeRow(msgspec.Struct):
    """One exchange in an event of the register; `age`: time since its start (s), None for long ago."""

    office: str
    number: int
    state: str
    age: float | None = None
    zone: int = 0


class ListEvent(msgspec.Struct):
    """One event of the stream."""

    gen: int
    kind: str
    entries: list[ExchangeRow]


def office_entry(row: ExchangeRow, now: int) -> io.OfficeEntry | None:
    """Convert a row of the register to an OfficeEntry; None for a row that cannot be used."""
    state = STATES.get(row.state)
    try:
        split_address(row.office)
    except ValueError:
        return None
    # `age` may be infinite (JSON allows 1e999); int() of it would raise in the stream's callback and end the
    # stream for good, hence the check against `now`.  An exchange older than our clock started long ago.
    if (
        state is None
        or not 0 <= row.number <= MAX_EXCHANGE_NUMBER
        or (row.age is not None and row.age != row.age)
    ):
        return None
    started_recently = row.age is not None and 0 <= row.age * SECOND < now
    started = max(now - int((row.age or 0.0) * SECOND), 1) if started_recently else 0
    return io.OfficeEntry(row.office, row.number, state, started, row.zone)


class EventStream:
    """Incremental parser of the WHATWG event-stream format; fields other than `data` are ignored."""

    def __init__(self) -> None:
        self.partial_line = b""
        self.data: list[bytes] = []

    def feed(self, chunk: bytes) -> list[bytes]:
        """The data of each event that this chunk completes.  Raises ValueError for too long an event."""
        lines = (self.partial_line + chunk).split(b"\n")
        self.partial_line = lines.pop()
        events: list[bytes] = []
        for raw_line in lines:
            line = raw_line.rstrip(b"\r")
            if not line:
                if self.data:
                    events.append(b"\n".join(self.data))
                    self.data = []
            elif line.startswith(b"data:"):
                self.data.append(line[5:].lstrip(b" "))
        if len(self.partial_line) + sum(map(len, self.data)) > MAX_EVENT_BYTES:
            raise ValueError(f"event exceeds {MAX_EVENT_BYTES} bytes")
        return events


class _Stream(asyncio.Protocol):
    """One connection to the register."""

    def __init__(self, client: RegisterClient) -> None:
        self.client = client
        self.parser = httptools.HttpResponseParser(self)
        self.stream = EventStream()
        self.transport: asyncio.Transport | None = None
        self.ended = client.loop.create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        settings = self.client.settings
        request = (
            f"GET {settings.path} HTTP/1.1\r\nHost: {settings.address}\r\nAccept: text/event-stream\r\n\r\n"
        )
        transport.write(request.encode())

    def data_received(self, data: bytes) -> None:
        client = self.client
        client.last_received = client.loop.time()
        if client.trace is not None:
            client.trace(client.now(), "register", client.settings.address, "in", data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, ValueError, msgspec.MsgspecError) as problem:
            # httptools wraps exceptions of its callbacks.
            self.fail(f"malformed stream: {problem.__context__ or problem}")

    def on_headers_complete(self) -> None:
        if self.parser.get_status_code() != 200:
            self.fail(f"found HTTP status {self.parser.get_status_code()}; allowed: 200")

    def on_body(self, body: bytes) -> None:
        for event in self.stream.feed(body):
            self.client.handle_event(msgspec.json.decode(event, type=ListEvent))

    def on_message_complete(self) -> None:
        self.fail("the stream ended")

    def fail(self, reason: str) -> None:
        if not self.ended.done():
            self.ended.set_result(reason)
        if self.transport is not None:
            self.transport.close()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.ended.done():
            self.ended.set_result("the connection was lost")


class RegisterClient:
    """Keeps a stream from the register open and reconnects when it is lost, until stopped.

    `on_list` receives each list or change, `on_note` log events with their fields.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: Register, on_list: ListHandler, on_note: NoteHandler,
        rng: Random, trace: Trace | None = None,
    ) -> None:  # fmt: skip
        self.loop, self.settings, self.on_list, self.on_note, self.rng = loop, settings, on_list, on_note, rng
        self.trace = trace
        self.last_received = 0.0
        self.generation = -1
        self.requested = asyncio.Event()
        self.task: asyncio.Task[None] | None = None
        self.list_received = False

    def now(self) -> int:
        return int(self.loop.time() * SECOND)

    def start(self) -> None:
        """Start the client; with `on_request`, it connects only after `request_list`."""
        if not self.settings.on_request:
            self.requested.set()
        self.task = self.loop.create_task(self._run())

    def request_list(self) -> None:
        """Request a list; only has an effect with `on_request`."""
        self.requested.set()

    def stop(self) -> None:
        if self.task is not None:
            self.task.cancel()

    def handle_event(self, event: ListEvent) -> None:
        """Process one event.  Raises ValueError for an unknown kind or a gap in the change numbers.

        After a gap the list held here differs from the register's, and the connection is opened anew.
        """
        kind = KINDS.get(event.kind)
        if kind is None:
            raise ValueError(f"found kind {event.kind!r}; allowed: complete, changes")
        if kind is io.ListKind.CHANGES and event.gen != self.generation + 1:
            raise ValueError(f"change {event.gen} after {self.generation}; expected {self.generation + 1}")
        self.generation, self.list_received = event.gen, True
        now = self.now()
        entries = tuple(e for row in event.entries if (e := office_entry(row, now)) is not None)
        if len(entries) < len(event.entries):
            self.on_note("register sent unusable entries", {"rows": len(event.entries) - len(entries)})
        self.on_list(kind, entries)

    async def _run(self) -> None:
        pause = first = self.settings.retry / SECOND
        while True:
            await self.requested.wait()
            self.list_received = False
            why = await self._stream_once()
            self.on_note("connection to register lost", {"why": why})
            self.on_list(io.ListKind.FAILED, ())
            if self.settings.on_request:
                self.requested.clear()
                continue
            pause = first if self.list_received else min(2 * pause, MAX_BACKOFF_FACTOR * first)
            await asyncio.sleep(pause * (1 + self.rng.random() / 2))

    async def _stream_once(self) -> str:
        """Connect once and receive events until the connection ends; returns the reason."""
        host, port = split_address(self.settings.address, 80)
        silence = self.settings.silence / SECOND
        try:
            _, stream = await asyncio.wait_for(
                self.loop.create_connection(lambda: _Stream(self), host, port), silence
            )
        except (TimeoutError, OSError) as problem:
            return f"not reached: {problem or 'no answer'}"
        self.last_received = self.loop.time()
        while not stream.ended.done():
            remaining = self.last_received + silence - self.loop.time()
            if remaining <= 0:
                stream.fail(f"silent for {silence:g} s")
                break
            await asyncio.wait([stream.ended], timeout=remaining)
        return str(stream.ended.result())
