"""A virtual-time event loop with in-memory transports: the same server classes, no sockets, no waiting.

Time jumps to the next timer as soon as nothing is ready, so that a simulated minute costs only the work done
in it.  Timers of one moment run in the order in which they were set, so with one seed two runs are alike to
the byte.  In the manner of Twisted's trial clock and FoundationDB's simulation.  Connections are in
memory.py; what runs on a host that is paused or busy waits there (emulator/hosts.py).
"""

from __future__ import annotations

import asyncio
import heapq
from collections import deque
from collections.abc import Callable
from contextvars import Context
from typing import Any

from eiderstep.lab.emulator.hosts import HERE
from eiderstep.lab.memory import MemoryDatagrams, MemoryServer, MemoryTransport, Network

START = 1000.0  # seconds; a clock that begins at nought hides bugs with unset times
FIRST_PORT, PORTS = 20000, 40000  # of one loopback address
SWEPT = 500  # cancelled timers from which they are swept out, once they are half of all


class Deadlock(RuntimeError):
    """Nothing is ready and no timer is set, but the run is not over."""


class Endless(RuntimeError):
    """The run took more callbacks than it was allowed."""


class VirtualLoop(asyncio.BaseEventLoop):
    """An asyncio loop whose time is `time()` and nobody else's.

    `allowed`: callbacks after which a run that does not end raises `Endless`; counted and not timed, so
    that a run ends at the same point on any machine.  The loop's own turn is written anew here: the one of
    `BaseEventLoop` keeps timers of one moment in no certain order and asks a selector for files.
    """

    _ready: deque[asyncio.Handle]

    def __init__(self, network: Network | None = None, allowed: int = 0) -> None:
        super().__init__()
        self.network = network or Network()
        self.allowed, self.ran = allowed, 0
        self.now = START
        self.timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self.set_timers = self.cancelled_timers = 0
        self.listeners: dict[str, MemoryServer] = {}
        self.datagrams: dict[str, MemoryDatagrams] = {}
        self.transports: dict[MemoryTransport, None] = {}
        self.lose_datagram: Callable[[str, bytes], bool] | None = None
        self.place = "lab"
        self._made = 0  # addresses given out
        self.set_exception_handler(self._note_error)
        self.errors: list[str] = []

    def _note_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """A callback failed: the run goes on, as it would on a real loop, and its result says so."""
        self.errors.append(f"{context.get('message')}: {context.get('exception')!r}")

    # -- time ----------------------------------------------------------------------------------------------

    def time(self) -> float:
        return self.now

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable[..., object], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        handle._scheduled = True  # type: ignore[attr-defined]
        self.set_timers += 1
        heapq.heappush(self.timers, (when, self.set_timers, handle))
        return handle

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        self.cancelled_timers += 1
        if self.cancelled_timers > SWEPT and self.cancelled_timers * 2 > len(self.timers):
            self.timers = [timer for timer in self.timers if not timer[2].cancelled()]
            heapq.heapify(self.timers)
            self.cancelled_timers = 0

    def _run_once(self) -> None:
        """One turn: what is due becomes ready, and all that is ready runs, on hosts that run."""
        ready, timers = self._ready, self.timers
        while timers and timers[0][2].cancelled():
            heapq.heappop(timers)
            self.cancelled_timers -= 1
        if not ready:
            if not timers:
                raise Deadlock("nothing is ready and no timer is set")
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
        self.ran += count
        if self.allowed and self.ran > self.allowed:
            self.allowed = 0  # what is cancelled at the end may still run
            raise Endless(f"over {self.ran} callbacks at {self.now:.3f} s")
        for _ in range(count):
            one = ready.popleft()
            if not one._cancelled:
                host = one._context.get(HERE)  # type: ignore[attr-defined]
                if host is None or not host.holds(one):
                    one._run()

    def close(self) -> None:
        self.timers.clear()
        super().close()

    # -- places and sockets --------------------------------------------------------------------------------

    def at(self, place: str) -> VirtualLoop:
        """Say from which place the sockets made next are: `loop.at("nottingham")`."""
        self.place = place
        return self

    def free_address(self, host: str = "") -> str:
        """One that nobody had yet; past the ports of one loopback address there is the next, but where the
        host is given: there ports go on beyond what TCP has."""
        self._made += 1
        if host and host != "127.0.0.1":
            return f"{host}:{FIRST_PORT + self._made}"
        return f"127.0.{self._made // PORTS}.1:{FIRST_PORT + self._made % PORTS}"

    def _bind(self, host: str, port: int) -> str:
        return self.free_address(host) if not port else f"{host}:{port}"

    async def create_server(  # type: ignore[override]
        self, factory: Callable[[], Any], host: str = "127.0.0.1", port: int = 0, **_: Any
    ) -> MemoryServer:
        address = self._bind(host, port)
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
        away = self.network.delay(place, server.place if server else place)
        await asyncio.sleep(2 * away)
        server = self.listeners.get(address)
        if server is None:
            raise ConnectionRefusedError(f"nobody listens at {address}")
        mine, theirs = factory(), server.context.run(server.factory)
        here = self.free_address(local_addr[0] if local_addr else "")
        near = MemoryTransport(self, mine, place, here, address)
        far = server.context.run(MemoryTransport, self, theirs, server.place, address, here)
        near.other, far.other = far, near
        self.transports[near] = self.transports[far] = None
        # The far end's system takes the connection, whether or not the process there runs just now.
        if far.host is not None and far.host.until > self.now:
            self.call_soon(theirs.connection_made, far, context=far.context)
        else:
            far.context.run(theirs.connection_made, far)
        mine.connection_made(near)
        return near, mine

    async def create_datagram_endpoint(  # type: ignore[override]
        self, factory: Callable[[], Any], local_addr: tuple[str, int] | None = None, **_: Any
    ) -> tuple[MemoryDatagrams, Any]:
        address = self._bind(*(local_addr or ("127.0.0.1", 0)))
        protocol = factory()
        transport = MemoryDatagrams(self, protocol, self.place, address)
        self.datagrams[address] = transport
        protocol.connection_made(transport)
        return transport, protocol

    def forget(self, transport: MemoryTransport) -> None:
        self.transports.pop(transport, None)
