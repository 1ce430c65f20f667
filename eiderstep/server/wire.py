"""Protocol classes for SIP over TCP and UDP, and the trace of every byte that passes them."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING, Any, Protocol, cast

from eiderstep.sip.message import Message
from eiderstep.sip.parser import BadMessage, Limits, Parser, parse_datagram

if TYPE_CHECKING:
    from eiderstep.server.tls import Tls

NEVER: Any = None  # a plain connection has nothing to wait for
Trace = Callable[
    [int, str, str, str, bytes], None
]  # ns, connection, peer, "in" | "out" | "up" | "down", bytes


class Host(Protocol):
    """What the protocol classes need of the call server."""

    limits: Limits
    trace: Trace | None
    loop: asyncio.AbstractEventLoop

    def now(self) -> int: ...
    def knocked(self, wire: StreamWire) -> bool: ...
    def unproven(self, wire: StreamWire, why: str) -> None: ...
    def shake(self, wire: StreamWire, data: bytes) -> None: ...
    def opened(self, wire: StreamWire) -> None: ...
    def closed(self, wire: StreamWire) -> None: ...
    def came(self, flow: int, items: list[Message | BadMessage], reliable: bool) -> None: ...


class StreamWire(asyncio.Protocol):
    """One TCP connection, plain or with TLS.  `dialled` is the address we called, empty for an inbound one.

    The host hears of a connection with TLS (`opened`) once both ends are proven, and of plain bytes alone.
    """

    def __init__(self, host: Host, flow: int, dialled: str = "", tls: Tls | None = None) -> None:
        self.host, self.flow, self.dialled, self.tls = host, flow, dialled, tls
        self.parser = Parser(host.limits)
        self.transport: asyncio.Transport | None = None
        self.peer = dialled
        self.host_name = ""  # the far end's address without its port
        self.paused = self.refused = False
        self.waiting = 0  # pieces of a handshake that wait for their turn
        self.begun = 0.0  # when the message began that is not whole yet (s); 0 where none is
        self.label = ""
        self.ready: asyncio.Future[None] = host.loop.create_future() if tls is not None else NEVER

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = transport = cast(asyncio.Transport, transport)  # uvloop's is no subclass of it
        name = transport.get_extra_info("peername")
        self.host_name = str(name[0]) if name else ""
        self.peer = self.dialled or (f"{name[0]}:{name[1]}" if name else "?")
        self.label = f"{'to' if self.dialled else 'from'} {self.peer} #{self.flow}"
        if self.tls is None:
            self._open()
        elif not self.host.knocked(self):
            self.refused = True
            self.abort()
        elif not self.tls.server_side:
            transport.write(self.tls.start())

    def _open(self) -> None:
        if self.host.trace is not None:
            self.host.trace(self.host.now(), self.label, self.peer, "up", b"")
        self.host.opened(self)

    def data_received(self, data: bytes) -> None:
        if self.refused:
            return
        if self.tls is None:
            self._plain(data)
        elif self.tls.done and not self.waiting:
            self._plain(self._through(self.tls, data))
        else:
            self.waiting += 1
            if self.transport is not None:
                self.transport.pause_reading()  # no more of it is held than one piece
            self.host.shake(self, data)

    def shaken(self, data: bytes) -> None:
        """What waited for its turn: bytes of a handshake, and what came behind them."""
        self.waiting -= 1
        if self.tls is not None and not self.refused and self.transport is not None:
            if not self.transport.is_closing():
                self._plain(self._through(self.tls, data))
            if not self.waiting and not self.transport.is_closing():
                self.transport.resume_reading()

    def _plain(self, data: bytes) -> None:
        if not data:
            return
        if self.host.trace is not None:
            self.host.trace(self.host.now(), self.label, self.peer, "in", data)
        items = self.parser.feed(data)
        if not self.parser.buffer:
            self.begun = 0.0
        elif items or not self.begun:
            self.begun = self.host.now() / 1e9
        if items:
            self.host.came(self.flow, items, True)

    def _through(self, tls: Tls, data: bytes) -> bytes:
        """Bytes through TLS; the plain ones, once the far end is proven."""
        assert self.transport is not None
        was = tls.done
        plain = tls.feed(data)
        if wanted := tls.wanted():
            self.transport.write(wanted)
        if tls.done and not was:
            self._open()
            if self.refused:
                return b""
            if not self.ready.done():
                self.ready.set_result(None)
        if tls.failed:
            if tls.done:
                self.abort()
            else:
                self.host.unproven(self, tls.failed)
        elif tls.closed:
            self.transport.close()
        return plain

    def connection_lost(self, exc: Exception | None) -> None:
        if self.tls is None or (self.tls.done and not self.refused):
            if self.host.trace is not None:
                self.host.trace(self.host.now(), self.label, self.peer, "down", b"")
        if self.tls is not None and not self.ready.done():
            self.ready.set_exception(ConnectionError("lost before it was proven"))
            self.ready.exception()  # retrieved: nobody may be waiting
        self.host.closed(self)

    def pause_writing(self) -> None:
        self.paused = True

    def resume_writing(self) -> None:
        self.paused = False

    def send(self, data: bytes) -> None:
        """Write, in one piece for a whole batch of messages."""
        if self.transport is not None and not self.transport.is_closing():
            if self.host.trace is not None:
                self.host.trace(self.host.now(), self.label, self.peer, "out", data)
            self.transport.write(data if self.tls is None else self.tls.write(data))

    def abort(self) -> None:
        """Gone at once, with what is unsent: nobody is owed anything."""
        self.begun = 0.0
        if self.transport is not None:
            self.transport.abort()

    def close(self) -> None:
        if self.transport is not None:
            if self.tls is not None and self.tls.done and not self.transport.is_closing():
                self.transport.write(self.tls.end())
            self.transport.close()


class DatagramWire(asyncio.DatagramProtocol):
    """The UDP socket.  Each peer address is a flow of its own."""

    def __init__(self, host: Host, flow_of: Callable[[tuple[str, int]], int]) -> None:
        self.host, self.flow_of = host, flow_of
        self.transport: asyncio.DatagramTransport | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def datagram_received(self, data: bytes, addr: tuple[str, int]) -> None:
        if self.host.trace is not None:
            self.host.trace(self.host.now(), f"udp {addr[0]}:{addr[1]}", f"{addr[0]}:{addr[1]}", "in", data)
        item = parse_datagram(data, self.host.limits)
        if item is not None:
            self.host.came(self.flow_of(addr), [item], False)

    def send(self, addr: tuple[str, int], data: bytes) -> None:
        if self.transport is not None:
            if self.host.trace is not None:
                peer = f"{addr[0]}:{addr[1]}"
                self.host.trace(self.host.now(), f"udp {peer}", peer, "out", data)
            self.transport.sendto(data, addr)
