"""The TCP protocol class for connections from callers and links to offices."""

from __future__ import annotations

import asyncio
import socket
from typing import Any, Protocol, cast

from eiderstep.isup.message import Message
from eiderstep.isup.parser import FramingError, Parser

# Bytes read from one connection before all others have their turn; of a caller some twenty set-ups, since a
# flood on several connections adds up.
LINK_READ_SIZE, CALLER_READ_SIZE = 16 * 1024, 2 * 1024
MAX_UNSENT = 256 * 1024  # bytes that may wait for a peer that does not read


# States of a TCP connection (tcp_states.h of Linux).
TCP_ESTABLISHED, TCP_CLOSE, TCP_CLOSE_WAIT = 1, 7, 8


def tcp_state(tcp_socket: Any) -> int | None:
    """The state of a TCP connection; None where the system does not tell."""
    try:
        return int(tcp_socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0])
    except (OSError, ValueError, AttributeError):  # ValueError: uvloop has closed the socket
        return None


class ConnectionHost(Protocol):
    """What a connection needs of the call server that it belongs to."""

    loop: asyncio.AbstractEventLoop
    read_buffer: memoryview

    def now(self) -> int: ...
    def next_flow(self) -> int: ...
    def log(self, level: str, event: str, **fields: Any) -> None: ...
    def caller_connected(self, connection: Connection) -> None: ...
    def link_up(self, connection: Connection) -> None: ...
    def connection_lost(self, connection: Connection) -> None: ...
    def messages_received(self, connection: Connection, items: list[Message | FramingError]) -> None: ...
    def hold_partial_message(self, connection: Connection, size: int) -> None: ...


class Connection(asyncio.BufferedProtocol):
    """One TCP connection; `office` is empty for a caller's connection.

    An unlimited read can return a quarter of a megabyte from one peer, and all other connections wait while
    it is processed.  So each read is limited; all connections share the buffer of their host.
    """

    def __init__(self, host: ConnectionHost, office: str = "") -> None:
        self.host, self.office = host, office
        self.flow = host.next_flow()
        self.parser = Parser()
        self.transport: asyncio.Transport | None = None
        self.source = ""
        # ns.  `partial_since`: since when an incomplete message has been buffered, 0 if none is.
        self.connected_at = self.last_received_at = self.partial_since = self.tested_at = 0
        self.partial_size = 0  # bytes of an incomplete message that the host holds memory for
        self.closing_at = 0  # ns; when `close` was called, 0 before
        self.is_lost = self.is_paused = False
        self.tells_state = False  # whether the system tells the state of a new connection as it is
        self.closed: asyncio.Future[None] | None = None  # only for links: done when the link is lost

    def connection_made(self, transport: Any) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.connected_at = self.last_received_at = self.host.now()
        if self.office:
            # The office's first message (a group state or a release) may be read before the dialling task
            # resumes.  So the link is registered here, or that message would be discarded.
            self.closed = self.host.loop.create_future()
            self.host.link_up(self)
            return
        self.tells_state = self._tcp_state() in (TCP_ESTABLISHED, TCP_CLOSE_WAIT)
        peer_name = transport.get_extra_info("peername")
        self.source = str(peer_name[0]) if peer_name else "?"
        self.host.caller_connected(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.host.read_buffer[: LINK_READ_SIZE if self.office else CALLER_READ_SIZE]

    def buffer_updated(self, size: int) -> None:
        self.data_received(bytes(self.host.read_buffer[:size]))

    def data_received(self, data: bytes) -> None:
        if self.closing_at:
            return
        self.last_received_at = self.host.now()
        items: list[Message | FramingError] = self.parser.feed(data)
        if not self.parser.remainder:
            self.partial_since = 0
        elif items or not self.partial_since:
            self.partial_since = self.last_received_at
        if items:
            self.host.messages_received(self, items)
        if not self.office and len(self.parser.remainder) != self.partial_size:
            self.host.hold_partial_message(self, len(self.parser.remainder))

    def discard_partial_message(self) -> None:
        """Drop an incomplete message; nothing more can be read after that."""
        self.parser = Parser()
        self.partial_since = 0

    def connection_lost(self, exc: Exception | None) -> None:
        self.is_lost = True
        self.host.connection_lost(self)
        if self.closed is not None and not self.closed.done():
            self.closed.set_result(None)

    def send(self, data: bytes) -> None:
        """Write `data`; abort if more than MAX_UNSENT bytes wait because the peer does not read."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > MAX_UNSENT:
                self.host.log("warning", "peer reads nothing", peer=self.office or self.source)
                self.transport.abort()

    def pause_reading(self, duration: int) -> None:
        """Stop reading for `duration` (ns)."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.is_paused = True
            self.host.loop.call_later(duration / 1e9, self._resume_reading)

    def peer_has_closed(self) -> bool:
        """Whether the peer has closed the connection, though data from it may still be unread.

        The end of the stream is read only after all data, which may take long for a connection that is read
        slowly.  False where the system does not tell.
        """
        return self.tells_state and self._tcp_state() in (TCP_CLOSE, TCP_CLOSE_WAIT)

    def _tcp_state(self) -> int | None:
        return tcp_state(self.transport.get_extra_info("socket")) if self.transport is not None else None

    def _resume_reading(self) -> None:
        self.is_paused = False
        if self.transport is not None and not self.is_lost and not self.transport.is_closing():
            self.transport.resume_reading()

    def close(self) -> None:
        """Close once all data is written; nothing more is read."""
        if self.transport is not None and not self.transport.is_closing():
            self.closing_at = self.host.now()
            self.transport.close()

    def abort(self) -> None:
        """Close at once; data not yet written is discarded."""
        if self.transport is not None:
            self.transport.abort()
