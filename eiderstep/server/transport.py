"""asyncio protocols for SIP over TCP, TLS and UDP, with an optional trace of all bytes."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from eiderstep.sip.message import Message
from eiderstep.sip.parser import BadMessage, Limits, Parser, parse_datagram

if TYPE_CHECKING:
    from eiderstep.server.tls import TlsConnection

NO_FUTURE: Any = None  # `ready` of a plain connection, which is never awaited
# Arguments: time (ns), label of the connection, peer address, "in" | "out" | "up" | "down", bytes.
Trace = Callable[[int, str, str, str, bytes], None]


class ConnectionOwner(Protocol):
    """The part of the call server that the protocol classes use."""

    limits: Limits
    trace: Trace | None
    loop: asyncio.AbstractEventLoop

    def now(self) -> int: ...
    def handshake_started(self, connection: StreamConnection) -> bool: ...
    def authentication_failed(self, connection: StreamConnection, reason: str) -> None: ...
    def handshake_received(self, connection: StreamConnection, data: bytes) -> None: ...
    def connection_ready(self, connection: StreamConnection) -> None: ...
    def connection_closed(self, connection: StreamConnection) -> None: ...
    def messages_received(self, flow: int, items: list[Message | BadMessage], reliable: bool) -> None: ...


class StreamConnection(asyncio.Protocol):
    """One TCP connection, plain or with TLS.  `dialled` is the address that we dialled, empty if inbound.

    With TLS, `owner.connection_ready` is called once the handshake is complete, and messages are parsed from
    the decrypted bytes.
    """

    def __init__(
        self, owner: ConnectionOwner, flow: int, dialled: str = "", tls: TlsConnection | None = None
    ) -> None:
        self.owner, self.flow, self.dialled, self.tls = owner, flow, dialled, tls
        self.parser = Parser(owner.limits)
        self.transport: asyncio.Transport | None = None
        self.peer = dialled
        self.peer_host = ""  # the peer's address without its port
        self.write_paused = self.rejected = False
        self.queued_chunks = 0  # chunks of handshake bytes in the owner's queue
        self.partial_since = 0.0  # arrival of an incomplete message (s), 0 where there is none
        self.label = ""
        self.ready: asyncio.Future[None] = owner.loop.create_future() if tls is not None else NO_FUTURE

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        # uvloop's transport is not a subclass of asyncio.Transport.
        self.transport = transport = cast(asyncio.Transport, transport)
        name = transport.get_extra_info("peername")
        self.peer_host = str(name[0]) if name else ""
        self.peer = self.dialled or (f"{name[0]}:{name[1]}" if name else "?")
        self.label = f"{'to' if self.dialled else 'from'} {self.peer} #{self.flow}"
        if self.tls is None:
            self._report_ready()
        elif not self.owner.handshake_started(self):
            self.rejected = True
            self.abort()
        elif not self.tls.server_side:
            transport.write(self.tls.start())

    def _report_ready(self) -> None:
        if self.owner.trace is not None:
            self.owner.trace(self.owner.now(), self.label, self.peer, "up", b"")
        self.owner.connection_ready(self)

    def data_received(self, data: bytes) -> None:
        if self.rejected:
            return
        if self.tls is None:
            self._plain_received(data)
        elif self.tls.handshake_done and not self.queued_chunks:
            self._plain_received(self._decrypt(self.tls, data))
        else:
            self.queued_chunks += 1
            if self.transport is not None:
                self.transport.pause_reading()  # holds at most one chunk in the queue
            self.owner.handshake_received(self, data)

    def process_handshake(self, data: bytes) -> None:
        """Process queued bytes: handshake data and whatever followed it in the same chunk."""
        self.queued_chunks -= 1
        if self.tls is not None and not self.rejected and self.transport is not None:
            if not self.transport.is_closing():
                self._plain_received(self._decrypt(self.tls, data))
            if not self.queued_chunks and not self.transport.is_closing():
                self.transport.resume_reading()

    def _plain_received(self, data: bytes) -> None:
        if not data:
            return
        if self.owner.trace is not None:
            self.owner.trace(self.owner.now(), self.label, self.peer, "in", data)
        items = self.parser.feed(data)
        if not self.parser.buffer:
            self.partial_since = 0.0
        elif items or not self.partial_since:
            self.partial_since = self.owner.now() / 1e9
        if items:
            self.owner.messages_received(self.flow, items, True)

    def _decrypt(self, tls: TlsConnection, data: bytes) -> bytes:
        """Pass received bytes through TLS; returns the decrypted ones, empty during the handshake."""
        assert self.transport is not None
        was_done = tls.handshake_done
        plain = tls.feed(data)
        if pending := tls.pending_output():
            self.transport.write(pending)
        if tls.handshake_done and not was_done:
            self._report_ready()
            if self.rejected:
                return b""
            if not self.ready.done():
                self.ready.set_result(None)
        if tls.failure:
            if tls.handshake_done:
                self.abort()
            else:
                self.owner.authentication_failed(self, tls.failure)
        elif tls.closed:
            self.transport.close()
        return plain

    def connection_lost(self, exc: Exception | None) -> None:
        if self.tls is None or (self.tls.handshake_done and not self.rejected):
            if self.owner.trace is not None:
                self.owner.trace(self.owner.now(), self.label, self.peer, "down", b"")
        if self.tls is not None and not self.ready.done():
            self.ready.set_exception(ConnectionError("connection lost during the TLS handshake"))
            self.ready.exception()  # marks it as retrieved, as there may be no waiter
        self.owner.connection_closed(self)

    def pause_writing(self) -> None:
        self.write_paused = True

    def resume_writing(self) -> None:
        self.write_paused = False

    def send(self, data: bytes) -> None:
        """Write the bytes of one batch of messages."""
        if self.transport is not None and not self.transport.is_closing():
            if self.owner.trace is not None:
                self.owner.trace(self.owner.now(), self.label, self.peer, "out", data)
            self.transport.write(data if self.tls is None else self.tls.write(data))

    def abort(self) -> None:
        """Close at once and drop unsent bytes."""
        self.partial_since = 0.0
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        """Close after sending all buffered bytes; with TLS after close_notify."""
        if self.transport is not None:
            if self.tls is not None and self.tls.handshake_done and not self.transport.is_closing():
                self.transport.write(self.tls.close_notify())
            self.transport.close()


class DatagramSocket(asyncio.DatagramProtocol):
    """The UDP socket.  Each peer address is a separate flow, whose number `flow_of` returns."""

    def __init__(self, owner: ConnectionOwner, flow_of: Callable[[tuple[str, int]], int]) -> None:
        self.owner, self.flow_of = owner, flow_of
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.owner.trace is not None:
            self.owner.trace(self.owner.now(), f"udp {addr[0]}:{addr[1]}", f"{addr[0]}:{addr[1]}", "in", data)
        item = parse_datagram(data, self.owner.limits)
        if item is not None:
            self.owner.messages_received(self.flow_of(addr), [item], False)

    def send(self, addr: tuple[str, int], data: bytes) -> None:
        if self.transport is not None:
            if self.owner.trace is not None:
                peer = f"{addr[0]}:{addr[1]}"
                self.owner.trace(self.owner.now(), f"udp {peer}", peer, "out", data)
            self.transport.sendto(data, addr)
