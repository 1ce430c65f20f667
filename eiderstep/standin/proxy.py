"""A TCP proxy between two elements that discards or delays data and resets or refuses connections.

It does not interpret the data.
"""

from __future__ import annotations

import asyncio
from typing import Any

from eiderstep.sip.message import split_address


class _Side(asyncio.Protocol):
    """One side of a proxied connection."""

    def __init__(self, proxy: Proxy, is_client_side: bool = False) -> None:
        self.proxy, self.is_client_side = proxy, is_client_side
        self.transport: Any = None
        self.other_side: _Side | None = None
        self.buffered: list[bytes] = []  # data received before the target is connected

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.proxy.sides.append(self)
        if self.is_client_side:
            self.proxy.loop.create_task(self.proxy.connect_target(self))

    def data_received(self, data: bytes) -> None:
        if self.proxy.drop:
            return
        if self.other_side is None:
            self.buffered.append(data)
        elif self.proxy.delay:
            other = self.other_side
            self.proxy.loop.call_later(self.proxy.delay, lambda: other.forward(data))
        else:
            self.other_side.forward(data)

    def forward(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(data)

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.proxy.sides:
            self.proxy.sides.remove(self)
        if self.other_side is not None and not self.other_side.transport.is_closing():
            self.other_side.transport.abort() if exc else self.other_side.transport.close()


class Proxy:
    """Listens at `address` and forwards connections to `target`.

    `host`: the address to listen on; `source_host`: the source address of connections to the target, so that
    the target sees the address of the client.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, target: str, host: str = "127.0.0.1", source_host: str = ""
    ) -> None:
        self.loop, self.target, self.host, self.source_host = loop, target, host, source_host
        self.drop = False  # data are discarded, connections stay open
        self.delay = 0.0  # seconds, each way
        self.refuse = False  # new connections are closed at once
        self.sides: list[_Side] = []
        self.server: Any = None
        self.address = ""

    async def listen(self) -> str:
        self.server = await self.loop.create_server(self._accept, self.host, 0)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def _accept(self) -> _Side:
        return _Side(self, is_client_side=True)

    async def connect_target(self, client_side: _Side) -> None:
        """Connect the other side of a new client connection; abort that connection if this fails."""
        while self.drop and not self.refuse:
            await asyncio.sleep(0.05)  # the target is not reached while data are discarded
        if self.refuse or client_side.transport.is_closing():
            client_side.transport.abort()
            return
        target_side = _Side(self)
        try:
            options: dict[str, Any] = {"local_addr": (self.source_host, 0)} if self.source_host else {}
            await self.loop.create_connection(lambda: target_side, *split_address(self.target), **options)
        except OSError:
            client_side.transport.abort()
            return
        client_side.other_side, target_side.other_side = target_side, client_side
        buffered, client_side.buffered = client_side.buffered, []
        for data in buffered:
            target_side.forward(data)

    def reset(self) -> None:
        """Reset every connection."""
        for side in list(self.sides):
            side.transport.abort()

    def reset_and_refuse(self) -> None:
        """Reset every connection, and refuse new ones from now on."""
        self.refuse = True
        self.reset()

    def stop_refusing(self) -> None:
        """Accept new connections again; `drop` and `delay` are left as they are."""
        self.refuse = False

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for side in list(self.sides):
            side.transport.close()
