"""In-memory connections, listeners and datagram sockets of the virtual loop, with delays and packet loss."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from contextvars import Context, copy_context
from random import Random
from typing import TYPE_CHECKING, Any

from eiderstep.lab.emulator.hosts import CURRENT_HOST

if TYPE_CHECKING:
    from eiderstep.lab.clock import VirtualLoop

RETRANSMIT_TIMEOUT_S = 0.2  # the minimum TCP retransmission timeout on common systems


class VirtualNetwork:
    """One-way delays (s) and loss shares between places, which are named by `VirtualLoop.set_place`.

    A lost TCP segment arrives `RETRANSMIT_TIMEOUT_S` late; the timeout doubles with each further loss of it,
    and the segments sent after it wait for it.  A lost datagram is dropped.
    """

    def __init__(self, delay: float = 0.0005) -> None:
        self.default_delay = delay
        self.delays: dict[tuple[str, str], float] = {}
        self.loss_shares: dict[tuple[str, str], float] = {}
        self.extra_delays: dict[str, float] = {}  # s, added by a trouble to each path from or to the place
        self.rng = Random(0x10C4)

    def delay(self, source: str, destination: str) -> float:
        """Returns the one-way delay without losses (s)."""
        extra_delays = self.extra_delays
        extra = (
            max(extra_delays.get(source, 0.0), extra_delays.get(destination, 0.0))
            if extra_delays and source != destination
            else 0.0
        )
        return self.delays.get((source, destination), self.default_delay) + extra

    def draw_loss(self, source: str, destination: str) -> bool:
        """Draws whether the packet sent now is lost."""
        loss_share = self.loss_shares.get((source, destination), 0.0) if self.loss_shares else 0.0
        return loss_share > 0 and self.rng.random() < loss_share

    def draw_retransmit_delay(self, source: str, destination: str) -> float:
        """Draws the time that losses and retransmissions add to a segment (s)."""
        total, timeout = 0.0, RETRANSMIT_TIMEOUT_S
        while self.loss_shares and total < 16 * RETRANSMIT_TIMEOUT_S and self.draw_loss(source, destination):
            total, timeout = total + timeout, 2 * timeout
        return total


class MemoryTransport(asyncio.Transport):
    """One end of an in-memory connection.  Bytes arrive in order, after the delay between the two places."""

    def __init__(
        self, loop: VirtualLoop, protocol: asyncio.Protocol, place: str, own_address: str, peer_address: str
    ) -> None:
        super().__init__({"peername": _host_and_port(peer_address), "sockname": _host_and_port(own_address)})
        self.loop, self.protocol, self.place = loop, protocol, place
        self.host, self.context = CURRENT_HOST.get(), copy_context()
        self.far_end: MemoryTransport | None = None
        self.closing = self.disconnected = self.reading_paused = False
        self.last_arrival = 0.0
        self.unread: list[bytes] = []
        self.deliveries: deque[Callable[[], None]] = deque()

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if self.closing or self.disconnected or not data:
            return
        other = self.far_end
        assert other is not None
        if self.host is not None:
            self.host.queue_sent(bytes(data))
        retransmit_delay = self.loop.network.draw_retransmit_delay(self.place, other.place)
        self._schedule(lambda: other._receive(bytes(data)), retransmit_delay)

    def _schedule(self, delivery: Callable[[], None], retransmit_delay: float = 0.0) -> None:
        other = self.far_end
        assert other is not None
        arrival = self.loop.time() + self.loop.network.delay(self.place, other.place) + retransmit_delay
        self.last_arrival = max(self.last_arrival, arrival)
        self.deliveries.append(delivery)  # a delay that gets shorter must not let bytes overtake earlier ones
        self.loop.call_at(self.last_arrival, self._run_next, context=other.context)

    def _run_next(self) -> None:
        self.deliveries.popleft()()

    def _receive(self, data: bytes) -> None:
        host = self.host
        if host is not None and host.processor is not None:
            self.loop.call_at(host.queue_arrival(data), self._deliver, data, context=self.context)
        else:
            self._deliver(data)

    def _deliver(self, data: bytes) -> None:
        if self.disconnected:
            return
        if self.reading_paused:
            self.unread.append(data)
        else:
            self.protocol.data_received(data)

    def _far_end_closed(self) -> None:
        """Handles the close of the far end, which arrives after the data it sent."""
        if self.host is not None and self.host.processor is not None:
            self.loop.call_at(self.host.queue_arrival(b""), self._disconnect, None, context=self.context)
        else:
            self._disconnect(None)

    def close(self) -> None:
        if not self.closing:
            self.closing = True
            other = self.far_end
            if other is not None:
                self._schedule(other._far_end_closed)
            self.loop.call_soon(self._disconnect, None, context=self.context)

    def abort(self) -> None:
        """Resets the connection at once, at both ends."""
        if not self.disconnected:
            self.closing = True
            other = self.far_end
            self._disconnect(ConnectionResetError("reset"))
            if other is not None:
                self.loop.call_soon(other._disconnect, ConnectionResetError("reset"), context=other.context)

    def _disconnect(self, error: Exception | None) -> None:
        if not self.disconnected:
            self.disconnected = self.closing = True
            self.loop.remove_transport(self)
            self.protocol.connection_lost(error)

    def is_closing(self) -> bool:
        return self.closing

    def pause_reading(self) -> None:
        self.reading_paused = True

    def resume_reading(self) -> None:
        self.reading_paused = False
        unread, self.unread = self.unread, []
        for data in unread:
            self._deliver(data)

    def get_write_buffer_size(self) -> int:
        return 0

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None:
        """Does nothing: written data is in flight at once and never buffered."""

    def get_protocol(self) -> asyncio.BaseProtocol:
        return self.protocol


def _host_and_port(address: str) -> tuple[str, int]:
    host, _, port = address.rpartition(":")
    return host, int(port)


class MemoryServer:
    """A listening socket, as `create_server` returns it."""

    def __init__(self, loop: VirtualLoop, address: str, place: str, factory: Callable[[], Any]) -> None:
        self.loop, self.address, self.place, self.factory = loop, address, place, factory
        self.context: Context = copy_context()
        self.sockets = [_ListeningSocket(address)]

    def close(self) -> None:
        if self.loop.listeners.get(self.address) is self:
            del self.loop.listeners[self.address]

    async def wait_closed(self) -> None:
        return


class _ListeningSocket:
    def __init__(self, address: str) -> None:
        self.address = address

    def getsockname(self) -> tuple[str, int]:
        return _host_and_port(self.address)


class MemoryDatagrams(asyncio.DatagramTransport):
    """A datagram socket; the network or `VirtualLoop.lose_datagram` may drop what it sends."""

    def __init__(self, loop: VirtualLoop, protocol: Any, place: str, address: str) -> None:
        super().__init__({"sockname": _host_and_port(address)})
        self.loop, self.protocol, self.place, self.address = loop, protocol, place, address
        self.context: Context = copy_context()

    def sendto(self, data: Any, addr: Any = None) -> None:
        other = self.loop.datagrams.get(f"{addr[0]}:{addr[1]}")
        if other is None:
            return
        if self.loop.lose_datagram is not None and self.loop.lose_datagram(self.address, bytes(data)):
            return
        if self.loop.network.draw_loss(self.place, other.place):
            return
        arrival = self.loop.time() + self.loop.network.delay(self.place, other.place)
        received = other.protocol.datagram_received
        self.loop.call_at(arrival, received, bytes(data), _host_and_port(self.address), context=other.context)

    def close(self) -> None:
        if self.loop.datagrams.get(self.address) is self:
            del self.loop.datagrams[self.address]

    def is_closing(self) -> bool:
        return self.address not in self.loop.datagrams
