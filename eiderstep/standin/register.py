"""The exchange register: pushes its list as server-sent events over HTTP, late, or falls silent."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass
from typing import Any

import httptools
import msgspec


@dataclass
class Entry:
    """One exchange.  `started` is when it started on the loop's clock, None for long ago."""

    office: str
    number: int
    state: str = "up"
    started: float | None = None
    zone: int = 0


class _Client(asyncio.Protocol):
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
        self.push("complete", list(register.entries.values()))
        register.clients.append(self)

    def push(self, kind: str, entries: list[Entry]) -> None:
        """One event; ages are told as of now."""
        now = self.register.loop.time()
        rows = [
            {
                "office": e.office, "number": e.number, "state": e.state, "zone": e.zone,
                "age": None if e.started is None else now - e.started,
            }
            for e in entries
        ]  # fmt: skip
        event = msgspec.json.encode({"gen": self.register.gen, "kind": kind, "entries": rows})
        self.chunk(b"data: " + event + b"\n\n")

    def chunk(self, data: bytes) -> None:
        if not self.transport.is_closing():
            self.transport.write(f"{len(data):x}\r\n".encode() + data + b"\r\n")

    def connection_lost(self, exc: Exception | None) -> None:
        if self in self.register.clients:
            self.register.clients.remove(self)


class Register:
    """The list, its followers, and what a script makes of it."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lag: float = 1.0, beat: float = 2.0) -> None:
        self.loop, self.lag, self.beat = loop, lag, beat
        self.entries: dict[str, Entry] = {}
        self.clients: list[_Client] = []
        self.gen = 0
        self.silent = False
        self.status = 200
        self.server: Any = None
        self.address = ""
        self.closed = False

    async def listen(self) -> str:
        self.server = await self.loop.create_server(lambda: _Client(self), "127.0.0.1", 0)
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        self._beat()
        return self.address

    def _beat(self) -> None:
        """A comment now and then, so that a follower can tell silence from calm."""
        if not self.closed:
            if not self.silent:
                for client in self.clients:
                    client.chunk(b": still here\n\n")
            self.loop.call_later(self.beat, self._beat)

    def preset(self, entry: Entry) -> None:
        """One that has long been listed."""
        self.entries[entry.office] = entry

    def died(self, number: int) -> None:
        """An exchange has died without a word: nothing here notices."""

    def change(self, entry: Entry) -> None:
        """News of one exchange, which followers hear after the lag."""

        def tell() -> None:
            if entry.state == "gone":
                self.entries.pop(entry.office, None)
            else:
                self.entries[entry.office] = entry
            self.gen += 1
            if not self.silent:
                for client in list(self.clients):
                    client.push("changes", [entry])

        if self.lag:
            self.loop.call_later(self.lag, tell)
        else:
            tell()

    def fall_silent(self, seconds: float) -> None:
        """Nothing is said for a while; then its followers find a gap and ask anew."""
        self.silent = True
        self.loop.call_later(seconds, self._speak)

    def _speak(self) -> None:
        self.silent = False
        for client in list(self.clients):
            client.transport.close()

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        for client in list(self.clients):
            client.transport.close()
