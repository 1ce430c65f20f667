"""Stand-in of the exchange register: sends its list as server-sent events, with a lag or not at all."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import httptools
import msgspec


@dataclass
class Entry:
    """One exchange in the list.  `started`: its start on the loop's clock (s), None if long ago."""

    office: str
    number: int
    state: str = "up"
    started: float | None = None
    zone: int = 0


class _Connection(asyncio.Protocol):
    def __init__(self, register: Register) -> None:
        self.register = register
        self.parser = httptools.HttpRequestParser(self)
        self.transport: Any = None
        self.url = b""

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_message_complete(self) -> None:
        register = self.register
        if register.silent:
            return
        if register.status != 200:
            self.transport.write(f"HTTP/1.1 {register.status} No\r\nContent-Length: 0\r\n\r\n".encode())
            return
        head = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.transport.write(head.encode())
        self.send_event("complete", list(register.entries.values()))
        register.clients.append(self)

    def send_event(self, kind: str, entries: list[Entry]) -> None:
        """Send one event, with the ages at the time of sending (s)."""
        now = self.register.loop.time()
        rows = [
            {
                "office": entry.office, "number": entry.number, "state": entry.state, "zone": entry.zone,
                "age": None if entry.started is None else now - entry.started,
            }
            for entry in entries
        ]  # fmt: skip
        event = msgspec.json.encode({"gen": self.register.generation, "kind": kind, "entries": rows})
        self.send_chunk(b"data: " + event + b"\n\n")

    def send_chunk(self, data: bytes) -> None:
        """Send one chunk of the HTTP body."""
        if not self.transport.is_closing():
            self.transport.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.register.clients:
            self.register.clients.remove(self)


class Register:
    """The register: its list, its clients, and the faults that a script injects.

    `lag`: seconds until a change is sent; `heartbeat_interval`: seconds between heartbeats; `silent`: nothing
    is sent; `status`: HTTP status of responses, 200 if there is no fault.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, lag: float = 1.0, heartbeat_interval: float = 2.0
    ) -> None:
        self.loop, self.lag, self.heartbeat_interval = loop, lag, heartbeat_interval
        self.entries: dict[str, Entry] = {}
        self.clients: list[_Connection] = []
        self.generation = 0  # version of the list
        self.silent = False
        self.status = 200
        self.server: Any = None
        self.address = ""
        self.closed = False

    async def listen(self) -> str:
        self.server = await self.loop.create_server(lambda: _Connection(self), "127.0.0.1", 0)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        self._send_heartbeats()
        return self.address

    def _send_heartbeats(self) -> None:
        """Send a comment periodically, so that clients can tell a dead register from an unchanged list."""
        if not self.closed:
            if not self.silent:
                for client in self.clients:
                    client.send_chunk(b": still here\n\n")
            self.loop.call_later(self.heartbeat_interval, self._send_heartbeats)

    def add_running(self, entry: Entry) -> None:
        """Add an entry without sending an event, for an exchange listed before the clients connect."""
        self.entries[entry.office] = entry

    def exchange_died(self, number: int) -> None:
        """Do nothing: this register does not notice that an exchange died without signing off."""

    def update_exchange(self, entry: Entry) -> None:
        """Update the entry of one exchange and send it to the clients, after the lag."""

        def apply() -> None:
            if entry.state == "gone":
                self.entries.pop(entry.office, None)
            else:
                self.entries[entry.office] = entry
            self.generation += 1
            if not self.silent:
                for client in list(self.clients):
                    client.send_event("changes", [entry])

        if self.lag:
            self.loop.call_later(self.lag, apply)
        else:
            apply()

    def stop_answering(self, seconds: float) -> None:
        """Send nothing for a while, then close the connections, so that clients get a full list again."""
        self.silent = True
        self.loop.call_later(seconds, self._end_silence)

    def _end_silence(self) -> None:
        self.silent = False
        for client in list(self.clients):
            client.transport.close()

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            client.transport.close()
