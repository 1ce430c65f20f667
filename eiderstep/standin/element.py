"""Base class of the SIP stand-ins: sockets, parser and transactions; subclasses implement the handlers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

from eiderstep.sip.message import Message, split_address
from eiderstep.sip.parser import BadMessage, Parser, parse_datagram
from eiderstep.sip.transaction import (
    BaseTimes,
    NewRequest,
    ResponseReceived,
    Transaction,
    TransactionFailed,
    TransactionLayer,
)

SECOND = 1_000_000_000  # ns


class Connection(asyncio.Protocol):
    """One TCP connection of an element."""

    def __init__(self, element: Element, flow: int) -> None:
        self.element, self.flow, self.parser = element, flow, Parser()
        self.transport: Any = None
        self.split_delay = 0.0  # seconds between the two halves of the next write; 0: not split
        self.queued_writes: list[bytes] | None = None  # second half and what follows, while one is pending

    def write(self, data: bytes) -> None:
        """Send, or queue behind a message of which the second half is still to be sent."""
        if self.queued_writes is not None:
            self.queued_writes.append(data)
        elif self.split_delay:
            half = len(data) // 2
            self.queued_writes = [data[half:]]
            self.transport.write(data[:half])
            self.element.call_later(self.split_delay, self._write_rest)
            self.split_delay = 0.0
        else:
            self.transport.write(data)

    def split_next_write(self, seconds: float) -> None:
        """Send the next message on this connection in two halves, that many seconds apart."""
        self.split_delay = seconds

    def _write_rest(self) -> None:
        rest, self.queued_writes = self.queued_writes or [], None
        if not self.transport.is_closing():
            self.transport.write(b"".join(rest))

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.element.connection_by_flow[self.flow] = self

    def data_received(self, data: bytes) -> None:
        self.element.handle_items(self.flow, self.parser.feed(data))

    def connection_lost(self, exc: Exception | None) -> None:
        self.element.handle_connection_lost(self.flow)


class UdpSocket(asyncio.DatagramProtocol):
    """The UDP socket of an element: each remote address is a flow."""

    def __init__(self, element: Element) -> None:
        self.element = element
        self.flow_by_address: dict[Any, int] = {}
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def flow_of(self, address: Any) -> int:
        """Return the flow of a remote address, a new one for a new address."""
        if address not in self.flow_by_address:
            self.element.flow_count += 1
            self.flow_by_address[address] = self.element.flow_count
            self.element.udp_address_by_flow[self.element.flow_count] = address
        return self.flow_by_address[address]

    def datagram_received(self, data: bytes, addr: Any) -> None:
        item = parse_datagram(data)
        if item is not None:
            self.element.handle_items(self.flow_of(addr), [item])


class Element:
    """Listens at one address, connects to others, and runs SIP transactions over both.

    A killed element no longer receives, sends or runs anything.  `malformed` describes received messages that
    could not be parsed.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, name: str, rng: Random, times: BaseTimes | None = None
    ) -> None:
        self.loop, self.name, self.rng = loop, name, rng
        self.transactions = TransactionLayer(times)
        self.connection_by_flow: dict[int, Connection] = {}
        self.udp_socket: UdpSocket | None = None
        self.udp_address_by_flow: dict[int, Any] = {}
        self.flow_by_address: dict[str, int] = {}
        self.server: Any = None
        self.address = ""
        self.local_host = ""  # source address of outgoing connections; empty: any
        self.flow_count = self.id_count = 0
        self.timer: asyncio.TimerHandle | None = None
        self.killed = False
        self.malformed: list[str] = []

    def now(self) -> int:
        """Return the loop's time in ns."""
        return int(self.loop.time() * SECOND)

    def new_id(self) -> str:
        self.id_count += 1
        return f"{self.name}-{self.id_count:x}"

    def via(self) -> str:
        return f"SIP/2.0/TCP {self.address};branch=z9hG4bK{self.new_id()}"

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Listen for TCP connections; return the address."""
        self.server = await self.loop.create_server(self._accept, host, port, backlog=256)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    async def listen_udp(self) -> str:
        """Open a UDP socket, whose flows are unreliable transports; return the address."""
        host, port = split_address(self.address) if self.address else ("127.0.0.1", 0)
        _, self.udp_socket = await self.loop.create_datagram_endpoint(
            lambda: UdpSocket(self), local_addr=(host, port)
        )
        bound = self.udp_socket.transport.get_extra_info("sockname")
        self.address = f"{bound[0]}:{bound[1]}"
        return self.address

    def _accept(self) -> Connection:
        self.flow_count += 1
        return Connection(self, self.flow_count)

    async def dial(self, address: str) -> int:
        """Connect to an address and return the flow.  Raises OSError."""
        self.flow_count += 1
        flow = self.flow_count
        host, port = split_address(address)
        options: dict[str, Any] = {"local_addr": (self.local_host, 0)} if self.local_host else {}
        await self.loop.create_connection(lambda: Connection(self, flow), host, port, **options)
        self.flow_by_address[address] = flow
        return flow

    def handle_items(self, flow: int, items: list[Message | BadMessage]) -> None:
        if self.killed:
            return
        for item in items:
            if isinstance(item, BadMessage):
                self.malformed.append(item.text)
                continue
            self.transactions.receive(self.now(), flow, item, flow not in self.udp_address_by_flow)
        self.process_events()

    def handle_connection_lost(self, flow: int) -> None:
        self.connection_by_flow.pop(flow, None)
        for address in [a for a, f in self.flow_by_address.items() if f == flow]:
            del self.flow_by_address[address]
        if not self.killed:
            self.transactions.connection_lost(self.now(), flow)
            self.on_connection_lost(flow)
            self.process_events()

    def process_events(self) -> None:
        """Pass pending events to the handlers, write pending messages, and set the timer."""
        layer = self.transactions
        while layer.events:
            events, layer.events[:] = layer.events[:], []
            for event in events:
                if isinstance(event, NewRequest):
                    self.on_request(event.tx, event.message)
                elif isinstance(event, ResponseReceived):
                    self.on_response(event.tx, event.message)
                elif isinstance(event, TransactionFailed):
                    self.on_transaction_failed(event.tx, event.transport_failed)
        messages, layer.out[:] = layer.out[:], []
        for flow, data in messages:
            connection = self.connection_by_flow.get(flow)
            if connection is not None and not connection.transport.is_closing():
                connection.write(data)
            elif flow in self.udp_address_by_flow and self.udp_socket is not None:
                self.udp_socket.transport.sendto(data, self.udp_address_by_flow[flow])
        due = layer.next_due()
        if self.timer is not None:
            self.timer.cancel()
        self.timer = None if due is None else self.loop.call_at(due / SECOND + 1e-6, self._run_due_timers)

    def _run_due_timers(self) -> None:
        if not self.killed:
            self.transactions.run_due_timers(self.now())
            self.process_events()

    def call_later(self, seconds: float, action: Callable[[], object]) -> None:
        """Run `action` after a delay, unless the element has been killed by then."""

        def run() -> None:
            if not self.killed:
                action()
                self.process_events()

        self.loop.call_later(seconds, run)

    def kill(self) -> None:
        """Behave as a killed process: reset all connections and answer nothing from now on."""
        self.killed = True
        if self.server is not None:
            self.server.close()
        for connection in list(self.connection_by_flow.values()):
            connection.transport.abort()
        self.connection_by_flow.clear()

    # -- for subclasses ------------------------------------------------------------------------------------

    def on_request(self, tx: Transaction, message: Message) -> None:
        raise NotImplementedError

    def on_response(self, tx: Transaction, message: Message) -> None:
        raise NotImplementedError

    def on_transaction_failed(self, tx: Transaction, transport_failed: bool) -> None:
        """A request got no final response, or a 2xx no ACK.  `transport_failed`: the connection was lost."""

    def on_connection_lost(self, flow: int) -> None:
        """The connection of `flow` was lost."""
