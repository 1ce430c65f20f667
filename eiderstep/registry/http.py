"""HTTP/1.1 to one registry address: one connection kept, one request out, the answer streamed.

Everything that a registry may do to us is bounded here: the time to connect, between two bytes and for the
whole answer, and the size of what a gzip'd body unpacks to (by the reader that it is fed to, in small
pieces).  What goes wrong is `Failed`, with words for the log.
"""

from __future__ import annotations

import asyncio
import ssl
import zlib
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any, Protocol

import httptools

if TYPE_CHECKING:  # the platform's call server has no room for the settings' library
    from eiderstep.config.schema import Registry, Tls

SECOND = 1_000_000_000
PIECE = 1 << 15  # bytes read at a time, once unpacked
HEADERS = 64
Trace = Callable[[int, str, str, str, bytes], None]


class Failed(Exception):
    """No answer that can be used."""


class Sink(Protocol):
    """Where a body goes.  May raise ValueError."""

    def feed(self, data: bytes) -> None: ...


@dataclass(frozen=True)
class Times:
    """Bounds in seconds: to connect, between two bytes, for the whole answer."""

    dial: float
    silence: float
    whole: float

    @classmethod
    def of(cls, settings: Registry) -> Times:
        """As the settings have them."""
        return cls(settings.dial / SECOND, settings.silence / SECOND, settings.whole / SECOND)


@dataclass
class Answer:
    """A whole answer; its body has gone to the sink."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    bytes: int = 0  # as they came, head and all
    sink: Any = None


def context(tls: Tls) -> ssl.SSLContext:
    """A client's context: that CA and no other, our key if it is asked for.  Raises OSError, ssl.SSLError."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    made.minimum_version = ssl.TLSVersion.TLSv1_2
    made.load_verify_locations(tls.ca)
    if tls.cert:
        made.load_cert_chain(tls.cert, tls.key)
    return made


class _Wire(asyncio.Protocol):
    """One connection."""

    def __init__(self, link: Link, label: str) -> None:
        self.link, self.label = link, label
        self.transport: Any = None
        self.parser: Any = None
        self.asked: asyncio.Future[Answer] | None = None
        self.answer = Answer()
        self.open_sink: Callable[[int, dict[str, str]], Any] | None = None
        self.unpack: Any = None
        self.lost = self.whole = False
        self.heard_at = 0.0
        self.pieces: deque[bytes] = deque()  # of the body, as they came, not read yet

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._trace("up", b"")

    def _trace(self, way: str, data: bytes) -> None:
        link = self.link
        if link.trace is not None:
            link.trace(int(link.loop.time() * SECOND), self.label, link.address, way, data)

    def send(self, data: bytes, open_sink: Callable[[int, dict[str, str]], Any]) -> asyncio.Future[Answer]:
        self.asked = self.link.loop.create_future()
        self.answer, self.open_sink, self.unpack = Answer(), open_sink, None
        self.whole = False
        self.pieces.clear()
        self.parser = httptools.HttpResponseParser(self)
        self.heard_at = self.link.loop.time()
        self._trace("out", data)
        self.transport.write(data)
        return self.asked

    def data_received(self, data: bytes) -> None:
        self._trace("in", data)
        self.heard_at = self.link.loop.time()
        if self.asked is None or self.asked.done():
            self.fail("bytes that nobody asked for")
            return
        self.answer.bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError, zlib.error) as problem:
            # httptools wraps what a callback raises
            self.fail(f"not understood: {problem.__context__ or problem}")

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.answer.headers) >= HEADERS:
            raise ValueError(f"over {HEADERS} headers")
        self.answer.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        answer = self.answer
        answer.status = self.parser.get_status_code()
        if self.open_sink is not None:
            answer.sink = self.open_sink(answer.status, answer.headers)
        packed = answer.headers.get("content-encoding", "identity").lower()
        if packed in ("gzip", "x-gzip"):
            self.unpack = zlib.decompressobj(16 + zlib.MAX_WBITS)
        elif packed != "identity":
            raise ValueError(f"Content-Encoding {packed[:40]}; allowed: gzip, identity")

    def on_body(self, body: bytes) -> None:
        if self.answer.sink is not None:
            if not self.pieces:
                self.link.loop.call_soon(self._read)
                self.transport.pause_reading()
            self.pieces.append(body)

    def _read(self) -> None:
        """One piece of the body, then the loop's other work.

        Danger: a few kilobytes that unpack to megabytes stop every call beside them for as long as it takes
        to read them, or unpack to gigabytes.  Piece by piece others get their turn and the sink's bound
        comes first.  Hurts by the time that an answer waits for others, which is theirs.
        """
        if self.asked is None or self.asked.done() or not self.pieces:
            return
        try:
            body = self.pieces[0]
            if self.unpack is None:
                self.answer.sink.feed(body[:PIECE])
                rest = body[PIECE:]
            else:
                self.answer.sink.feed(self.unpack.decompress(body, PIECE))
                rest = self.unpack.unconsumed_tail
        except (ValueError, zlib.error) as problem:
            self.fail(f"not understood: {problem}")
            return
        if rest:
            self.pieces[0] = rest
        else:
            self.pieces.popleft()
        if self.pieces:
            self.link.loop.call_soon(self._read)
            return
        self.heard_at = self.link.loop.time()
        if not self.lost:
            self.transport.resume_reading()
        if self.whole:
            self._over()

    def on_message_complete(self) -> None:
        self.whole = True
        if not self.pieces:
            self._over()

    def _over(self) -> None:
        if self.unpack is not None and self.answer.sink is not None and not self.unpack.eof:
            self.fail("a gzip'd body cut short")
            return
        if self.asked is not None and not self.asked.done():
            self.asked.set_result(self.answer)
        if not self.parser.should_keep_alive() and not self.lost:
            self.transport.close()

    def fail(self, why: str) -> None:
        if self.asked is not None and not self.asked.done():
            self.asked.set_exception(Failed(why))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self._trace("down", b"")
        if self.whole:
            return  # all of it has come; the rest of it is being read
        if self.asked is not None and not self.asked.done():
            half = " after half an answer" if self.answer.bytes else ""
            self.asked.set_exception(Failed(f"the connection was lost{half}"))


class Link:
    """Requests to one address, one after the other."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: str, times: Times, tls: Tls | None = None,
        trace: Trace | None = None,
    ) -> None:  # fmt: skip
        """Raises OSError (and so ssl.SSLError) for key files that cannot be used."""
        self.loop, self.address, self.times, self.trace = loop, address, times, trace
        self.context = context(tls) if tls is not None else None
        self.server_name = tls.name or None if tls is not None else None
        self.wire: _Wire | None = None
        self.dialled = 0

    async def ask(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        open_sink: Callable[[int, dict[str, str]], Any] = lambda status, headers: None,
    ) -> Answer:
        """Raises Failed.

        A kept connection that the far end has closed is dialled anew once, if it said nothing: everything
        that the API offers can be asked twice.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        kept = self.wire is not None and not self.wire.lost
        try:
            return await self._once(data, open_sink)
        except Failed:
            if not kept or self.wire is None or self.wire.answer.bytes or not self.wire.lost:
                raise
            return await self._once(data, open_sink)

    async def _once(self, data: bytes, open_sink: Callable[[int, dict[str, str]], Any]) -> Answer:
        wire = self.wire
        if wire is None or wire.lost or wire.transport.is_closing():
            wire = self.wire = await self._dial()
        times, loop = self.times, self.loop
        asked = wire.send(data, open_sink)
        end = loop.time() + times.whole
        try:
            while not asked.done():
                now = loop.time()
                due = min(wire.heard_at + times.silence, end)
                if now >= due:
                    slow = now >= end
                    silent = f"silent for {times.silence:g} s"
                    wire.fail(f"not whole after {times.whole:g} s" if slow else silent)
                    break
                await asyncio.wait([asked], timeout=due - now)
        finally:
            # Danger: asked for and given up (a stop in the middle of a poll), the loss of the connection
            # would be an error that nobody retrieves.  An answer that came is no worse for being looked at.
            if not asked.cancel() and not asked.cancelled():
                asked.exception()
        return asked.result()

    async def _dial(self) -> _Wire:
        self.dialled += 1
        host, _, port = self.address.rpartition(":")
        label = f"registry {self.address} #{self.dialled}"
        extra: dict[str, Any] = {}
        if self.context is not None:
            extra = {"ssl": self.context, "server_hostname": self.server_name or host}
        try:
            made = self.loop.create_connection(lambda: _Wire(self, label), host, int(port), **extra)
            _, wire = await asyncio.wait_for(made, self.times.dial)
        except (TimeoutError, OSError) as problem:
            raise Failed(f"not reached: {problem or 'no answer'}") from None
        if wire.lost:
            raise Failed("the connection was lost")
        return wire

    def close(self) -> None:
        if self.wire is not None and not self.wire.lost:
            self.wire.transport.close()
