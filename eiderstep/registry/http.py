"""HTTP/1.1 client of one address: a persistent connection, one request in flight, a streamed response.

A registry cannot block or exhaust the call server: there are timeouts for connecting, between two bytes and
for the whole response, and a gzip'd body is decompressed in small chunks, so that the sink can limit its
size.  Every error is raised as `RequestFailed` with a message for the log.
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

if TYPE_CHECKING:  # the platform's call server is built without the settings' library
    from eiderstep.config.schema import Registry, Tls

SECOND = 1_000_000_000
CHUNK_BYTES = 1 << 15  # of the decompressed body, read at a time
MAX_HEADERS = 64
Trace = Callable[[int, str, str, str, bytes], None]


class RequestFailed(Exception):
    """The request got no usable response."""


class Sink(Protocol):
    """Receives the body in chunks.  `feed` raises ValueError for a body that it does not accept."""

    def feed(self, data: bytes) -> None: ...


@dataclass(frozen=True)
class RequestTimeouts:
    """Timeouts in seconds."""

    connect: float
    idle: float  # between two bytes of a response
    total: float  # for a whole response

    @classmethod
    def of(cls, settings: Registry) -> RequestTimeouts:
        """The timeouts in the settings."""
        return cls(settings.dial / SECOND, settings.silence / SECOND, settings.whole / SECOND)


@dataclass
class Response:
    """A response; its body has been passed to the sink."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    received_bytes: int = 0  # headers and body, before decompression
    sink: Any = None


def client_context(tls: Tls) -> ssl.SSLContext:
    """A client context that trusts only `tls.ca`, with the client certificate if there is one.

    Raises OSError (and so ssl.SSLError) for files that cannot be used.
    """
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.load_verify_locations(tls.ca)
    if tls.cert:
        context.load_cert_chain(tls.cert, tls.key)
    return context


class _Connection(asyncio.Protocol):
    """One TCP or TLS connection, with at most one request in flight."""

    def __init__(self, client: HttpClient, label: str) -> None:
        self.client, self.label = client, label
        self.transport: Any = None
        self.parser: Any = None
        self.pending: asyncio.Future[Response] | None = None
        self.response = Response()
        self.open_sink: Callable[[int, dict[str, str]], Any] | None = None
        self.decompressor: Any = None
        self.closed = self.complete = self.keep_alive = False
        self.ends_with_connection = False  # the response has no length of its own (RFC 9112, 6.3)
        self.answered = False  # at least one request
        self.last_data_at = 0.0
        self.unread_chunks: deque[bytes] = deque()  # of the body, as received

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self._trace("up", b"")

    def _trace(self, direction: str, data: bytes) -> None:
        link = self.client
        if link.trace is not None:
            link.trace(int(link.loop.time() * SECOND), self.label, link.address, direction, data)

    def send(self, data: bytes, open_sink: Callable[[int, dict[str, str]], Any]) -> asyncio.Future[Response]:
        self.pending = self.client.loop.create_future()
        self.response, self.open_sink, self.decompressor = Response(), open_sink, None
        self.complete = self.ends_with_connection = False
        self.unread_chunks.clear()
        self.parser = httptools.HttpResponseParser(self)
        self.last_data_at = self.client.loop.time()
        self._trace("out", data)
        self.transport.write(data)
        return self.pending

    def data_received(self, data: bytes) -> None:
        self._trace("in", data)
        self.last_data_at = self.client.loop.time()
        if self.pending is None or self.pending.done():
            self.abort("received data while no request was pending")
            return
        self.response.received_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade, ValueError, zlib.error) as problem:
            # httptools wraps the exceptions that its callbacks raise
            self.abort(f"invalid response: {problem.__context__ or problem}")

    def on_header(self, name: bytes, value: bytes) -> None:
        if len(self.response.headers) >= MAX_HEADERS:
            raise ValueError(f"over {MAX_HEADERS} headers")
        self.response.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        response = self.response
        response.status = self.parser.get_status_code()
        # The parser forgets it with the end of the message, which may come before the body has been read.
        self.keep_alive = self.parser.should_keep_alive()
        self.ends_with_connection = not response.headers.keys() & {"content-length", "transfer-encoding"}
        if self.open_sink is not None:
            response.sink = self.open_sink(response.status, response.headers)
        encoding = response.headers.get("content-encoding", "identity").lower()
        if encoding in ("gzip", "x-gzip"):
            self.decompressor = zlib.decompressobj(16 + zlib.MAX_WBITS)
        elif encoding != "identity":
            raise ValueError(f"Content-Encoding {encoding[:40]}; allowed: gzip, identity")

    def on_body(self, body: bytes) -> None:
        if self.response.sink is not None:
            if not self.unread_chunks:
                self.client.loop.call_soon(self._read_chunk)
                self.transport.pause_reading()
            self.unread_chunks.append(body)

    def _read_chunk(self) -> None:
        """Passes one chunk of the body to the sink and schedules the next.

        A few kilobytes can decompress to megabytes, which would block all calls on the event loop while they
        are read, or to gigabytes.  In chunks, other work runs in between and the sink can enforce its size
        limit.  The cost: a response takes longer by the time that other work takes.
        """
        if self.pending is None or self.pending.done() or not self.unread_chunks:
            return
        try:
            chunk = self.unread_chunks[0]
            if self.decompressor is None:
                self.response.sink.feed(chunk[:CHUNK_BYTES])
                rest = chunk[CHUNK_BYTES:]
            else:
                self.response.sink.feed(self.decompressor.decompress(chunk, CHUNK_BYTES))
                rest = self.decompressor.unconsumed_tail
        except (ValueError, zlib.error) as problem:
            self.abort(f"invalid response: {problem}")
            return
        if rest:
            self.unread_chunks[0] = rest
        else:
            self.unread_chunks.popleft()
        if self.unread_chunks:
            self.client.loop.call_soon(self._read_chunk)
            return
        self.last_data_at = self.client.loop.time()
        if not self.closed:
            self.transport.resume_reading()
        if self.complete:
            self._finish()

    def on_message_complete(self) -> None:
        self.complete = True
        if not self.unread_chunks:
            self._finish()

    def _finish(self) -> None:
        if self.decompressor is not None and self.response.sink is not None and not self.decompressor.eof:
            self.abort("truncated gzip body")
            return
        if self.pending is not None and not self.pending.done():
            self.answered = True
            self.pending.set_result(self.response)
        if not self.keep_alive and not self.closed:
            self.transport.close()

    def abort(self, reason: str) -> None:
        if self.pending is not None and not self.pending.done():
            self.pending.set_exception(RequestFailed(reason))
        if self.transport is not None:
            self.transport.abort()

    def connection_lost(self, exc: Exception | None) -> None:
        self.closed = True
        self._trace("down", b"")
        if self.complete:
            return  # the response is complete; its remaining chunks are still being read
        if exc is None and self.ends_with_connection:
            self.on_message_complete()
            return
        if self.pending is not None and not self.pending.done():
            if self.answered:
                self.client.broke_off_at = self.client.loop.time()
            when = " before the response was complete" if self.response.received_bytes else ""
            self.pending.set_exception(RequestFailed(f"connection lost{when}"))


class HttpClient:
    """Sends requests to one address, one at a time, over a connection that is kept open and reopened."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, address: str, times: RequestTimeouts, tls: Tls | None = None,
        trace: Trace | None = None,
    ) -> None:  # fmt: skip
        """Raises OSError (and so ssl.SSLError) for TLS files that cannot be used."""
        self.loop, self.address, self.times, self.trace = loop, address, times, trace
        self.context = client_context(tls) if tls is not None else None
        self.server_name = tls.name or None if tls is not None else None
        self.connection: _Connection | None = None
        self.connections_made = 0
        # When the far end last ended a connection on which it had answered, under a request (loop time).
        self.broke_off_at: float | None = None

    async def request(
        self,
        method: str,
        path: str,
        headers: dict[str, str],
        body: bytes = b"",
        open_sink: Callable[[int, dict[str, str]], Any] = lambda status, headers: None,
    ) -> Response:
        """Sends a request and returns its response.  Raises Failed.

        `open_sink` gets the status and the headers and returns the sink for the body, or None to discard it.
        If the far end has closed a kept connection without sending any byte of a response, the request is
        sent once more over a new one: all requests of the API may be repeated.
        """
        lines = [f"{method} {path} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method in ("POST", "PUT"):
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join(lines).encode() + b"\r\n\r\n" + body
        reused = self.connection is not None and not self.connection.closed
        try:
            return await self._send_once(data, open_sink)
        except RequestFailed:
            if (
                not reused
                or self.connection is None
                or self.connection.response.received_bytes
                or not self.connection.closed
            ):
                raise
            return await self._send_once(data, open_sink)

    async def _send_once(self, data: bytes, open_sink: Callable[[int, dict[str, str]], Any]) -> Response:
        connection = self.connection
        if connection is None or connection.closed or connection.transport.is_closing():
            connection = self.connection = await self._connect()
        times, loop = self.times, self.loop
        pending = connection.send(data, open_sink)
        deadline = loop.time() + times.total
        try:
            while not pending.done():
                now = loop.time()
                timeout_at = min(connection.last_data_at + times.idle, deadline)
                if now >= timeout_at:
                    over_deadline = now >= deadline
                    idle_message = f"no data received for {times.idle:g} s"
                    connection.abort(
                        f"response not complete after {times.total:g} s" if over_deadline else idle_message
                    )
                    break
                await asyncio.wait([pending], timeout=timeout_at - now)
        finally:
            # If the caller is cancelled (by a stop during a poll), a later loss of the connection would set
            # an exception that is never retrieved, which asyncio logs as an error.
            if not pending.cancel() and not pending.cancelled():
                pending.exception()
        return pending.result()

    async def _connect(self) -> _Connection:
        self.connections_made += 1
        host, _, port = self.address.rpartition(":")
        label = f"registry {self.address} #{self.connections_made}"
        extra: dict[str, Any] = {}
        if self.context is not None:
            extra = {"ssl": self.context, "server_hostname": self.server_name or host}
        try:
            connecting = self.loop.create_connection(
                lambda: _Connection(self, label), host, int(port), **extra
            )
            _, connection = await asyncio.wait_for(connecting, self.times.connect)
        except (TimeoutError, OSError) as problem:
            raise RequestFailed(f"could not connect: {problem or 'timeout'}") from None
        if connection.closed:
            raise RequestFailed("connection lost")
        return connection

    def close(self) -> None:
        if self.connection is not None and not self.connection.closed:
            self.connection.transport.close()
