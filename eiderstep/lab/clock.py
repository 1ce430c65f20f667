"""An event loop in virtual time with in-memory transports, for running the server classes without sockets.

When no callback is ready, time jumps to the next timer, so a simulated minute costs only the work done in it.
Timers with the same time run in the order in which they were set, so two runs with one seed give the same
bytes.  The approach is that of Twisted's trial clock and FoundationDB's simulation.  virtual_network.py
has the connections.  Callbacks of a paused or busy host are queued by that host (emulator/hosts.py).
"""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from contextvars import Context
from typing import Any

from eiderstep.lab.emulator.hosts import CURRENT_HOST
from eiderstep.lab.virtual_network import MemoryDatagrams, MemoryServer, MemoryTransport, VirtualNetwork

START_S = 1000.0  # start of the clock; a start at 0 would hide errors with times that were never set
FIRST_PORT, PORTS = 20000, 40000  # port range of one loopback address
MIN_CANCELLED_TO_SWEEP = 500  # cancelled timers are removed above this count, if they are over half of all


class Deadlock(RuntimeError):
    """The run is not finished, but no callback is ready and no timer is set."""


class CallbackLimitExceeded(RuntimeError):
    """The run exceeded its limit of callbacks."""


class VirtualLoop(asyncio.BaseEventLoop):
    """An asyncio event loop with its own virtual clock.

    `max_callbacks`: limit of callbacks, 0 for none; a run that exceeds it raises `CallbackLimitExceeded`.
    Callbacks are counted, instead of time, so that a run ends at the same point on any machine.  `_run_once`
    replaces that of `BaseEventLoop`, which does not define the order of timers with the same time and polls a
    selector.
    """

    _ready: deque[asyncio.Handle]

    def __init__(self, network: VirtualNetwork | None = None, max_callbacks: int = 0) -> None:
        super().__init__()
        self.network = network or VirtualNetwork()
        self.max_callbacks, self.callbacks_run = max_callbacks, 0
        self.now = START_S
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.timers_set = self.cancelled_timers = 0
        self.listeners: dict[str, MemoryServer] = {}
        self.datagrams: dict[str, MemoryDatagrams] = {}
        self.transports: dict[MemoryTransport, None] = {}
        self.lose_datagram: Callable[[str, bytes], bool] | None = None
        self.place = "lab"
        self._addresses_issued = 0
        self.set_exception_handler(self._record_error)
        self.errors: list[str] = []

    def _record_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """Record the failure of a callback for the result.  As on a real loop, the run continues."""
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    # -- time ----------------------------------------------------------------------------------------------

    def time(self) -> float:
        return self.now

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        handle._scheduled = True  # type: ignore[attr-defined]
        self.timers_set += 1
        heapq.heappush(self.timers, (when, self.timers_set, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.cancelled_timers += 1
        if self.cancelled_timers > MIN_CANCELLED_TO_SWEEP and self.cancelled_timers * 2 > len(self.timers):
            self.timers = [timer for timer in self.timers if not timer[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    def _run_once(self) -> None:
        """Move due timers to the ready queue, then run all ready callbacks whose host is running."""
        ready, timers = self._ready, self.timers
        while timers and timers[0][2].cancelled():
            heapq.heappop(timers)
            self.cancelled_timers -= 1
        if not ready:
            if not timers:
                raise Deadlock("no callback is ready and no timer is set")
            self.now = max(self.now, timers[0][0])
        now = self.now
        while timers and timers[0][0] <= now:
            handle = heapq.heappop(timers)[2]
            handle._scheduled = False  # type: ignore[attr-defined]
            if handle.cancelled():
                self.cancelled_timers -= 1
            else:
                ready.append(handle)
        count = len(ready)
        self.callbacks_run += count
        if self.max_callbacks and self.callbacks_run > self.max_callbacks:
            self.max_callbacks = 0  # tasks that are cancelled at the end may still run
            raise CallbackLimitExceeded(
                f"limit of callbacks exceeded: {self.callbacks_run} run by {self.now:.3f} s"
            )
        for _ in range(count):
            ready_handle = ready.popleft()
            if not ready_handle._cancelled:
                host = ready_handle._context.get(CURRENT_HOST)  # type: ignore[attr-defined]
                if host is None or not host.hold_if_frozen(ready_handle):
                    ready_handle._run()

    def close(self) -> None:
        self.timers.clear()
        super().close()

    # -- places and sockets --------------------------------------------------------------------------------

    def set_place(self, place: str) -> VirtualLoop:
        """Set the place in the network of the sockets created next: `loop.set_place("nottingham")`."""
        self.place = place
        return self

    def free_address(self, host: str = "") -> str:
        """An unused address.

        When the ports of one loopback address are used up, the next loopback address is taken.  If `host` is
        given, port numbers go on beyond the range of TCP instead.
        """
        self._addresses_issued += 1
        if host and host != "127.0.0.1":
            return f"{host}:{FIRST_PORT + self._addresses_issued}"
        return f"127.0.{self._addresses_issued // PORTS}.1:{FIRST_PORT + self._addresses_issued % PORTS}"

    def _bind_address(self, host: str, port: int) -> str:
        return self.free_address(host) if not port else f"{host}:{port}"

    async def create_server(  # type: ignore[override]
        self, factory: Callable[[], Any], host: str = "127.0.0.1", port: int = 0, **_: Any
    ) -> MemoryServer:
        address = self._bind_address(host, port)
        if address in self.listeners:
            raise OSError(f"{address} is in use")
        server = self.listeners[address] = MemoryServer(self, address, self.place, factory)
        return server

    async def create_connection(  # type: ignore[override]
        self, factory: Callable[[], Any], host: str = "", port: int = 0,
        local_addr: tuple[str, int] | None = None, **_: Any,
    ) -> tuple[MemoryTransport, Any]:  # fmt: skip
        place, address = self.place, f"{host}:{port}"
        server = self.listeners.get(address)
        one_way_delay = self.network.delay(place, server.place if server else place)
        await asyncio.sleep(2 * one_way_delay)
        server = self.listeners.get(address)
        if server is None:
            raise ConnectionRefusedError(f"no listener at {address}")
        near_protocol, far_protocol = factory(), server.context.run(server.factory)
        near_address = self.free_address(local_addr[0] if local_addr else "")
        near = MemoryTransport(self, near_protocol, place, near_address, address)
        far = server.context.run(MemoryTransport, self, far_protocol, server.place, address, near_address)
        near.far_end, far.far_end = far, near
        self.transports[near] = self.transports[far] = None
        # The operating system of the far end accepts the connection even if the process there is paused.
        if far.host is not None and far.host.frozen_until > self.now:
            self.call_soon(far_protocol.connection_made, far, context=far.context)
        else:
            far.context.run(far_protocol.connection_made, far)
        near_protocol.connection_made(near)
        return near, near_protocol

    async def create_datagram_endpoint(  # type: ignore[override]
        self, factory: Callable[[], Any], local_addr: tuple[str, int] | None = None, **_: Any
    ) -> tuple[MemoryDatagrams, Any]:
        address = self._bind_address(*(local_addr or ("127.0.0.1", 0)))
        protocol = factory()
        transport = MemoryDatagrams(self, protocol, self.place, address)
        self.datagrams[address] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def remove_transport(self, transport: MemoryTransport) -> None:
        self.transports.pop(transport, None)
