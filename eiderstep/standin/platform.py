"""Stand-ins of the platform's offices, change log and callers, on loopback, with faults that a test asks for.

They speak the platform's published messages and know nothing of the call server's insides.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any, cast

from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.isup.parser import Parser, Unreadable

HOST = "127.0.0.1"
Reply = Callable[["OfficeWire", Message], None]


class _Wire(asyncio.Protocol):
    transport: asyncio.Transport

    def __init__(self) -> None:
        self.parser = Parser()
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for item in self.parser.feed(data):
            self.said(item)

    def said(self, item: Message | Unreadable) -> None:
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)

    def send(self, message: Message) -> None:
        self.transport.write(message.encode())


class OfficeWire(_Wire):
    """One link that a call server dialled."""

    def __init__(self, office: Office) -> None:
        super().__init__()
        self.office = office

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.office.wires.append(self)
        self.state()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.office.wires.remove(self)

    def state(self) -> None:
        """The group's state, first of all and whenever it changes."""
        free = self.office.size - len(self.office.standing)
        report = f"x0:{free};x1:{self.office.size};queue:0;qps:100"
        self.send(Message(isup.STATE, isup.NO_CALL, {isup.REPORT: report.encode()}))

    def said(self, item: Message | Unreadable) -> None:
        assert isinstance(item, Message), "the call server wrote what cannot be read"
        self.office.take(self, item)


class Office:
    """One office.  `reply` is asked for each set-up; by default the call stands."""

    def __init__(self, name: str, number: int, size: int = 40) -> None:
        self.name, self.number, self.size = name, number, size
        self.reply: Reply = self.answer
        self.wires: list[OfficeWire] = []
        self.came: list[Message] = []
        self.standing: set[str] = set()
        self.deaf = False
        self.server: asyncio.Server | None = None
        self.port = 0

    async def open(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: OfficeWire(self), HOST, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """The process dies: its connections are reset, its address refuses."""
        if self.server is not None:
            self.server.close()
        for wire in list(self.wires):
            wire.transport.abort()
        self.standing.clear()

    def entry(self, health: str = "ready") -> dict[str, Any]:
        return {
            "host": self.name, "dial": f"{HOST}:{self.port}", "site": "east", "class": "std",
            "block": self.number, "health": health, "share": 1.0, "born_ms": 0,
        }  # fmt: skip

    def take(self, wire: OfficeWire, message: Message) -> None:
        if self.deaf:
            return
        if message.kind == isup.TEST:
            wire.send(Message(isup.TESTED, message.call, {isup.CAUSE: b"\1"}))
            return
        self.came.append(message)
        if message.kind == isup.IAM:
            self.reply(wire, message)
        elif message.kind == isup.REL:
            self.standing.discard(message.call)
            self.changed()

    def changed(self) -> None:
        """Free circuits changed: told on the links, four at most."""
        for wire in self.wires[:4]:
            wire.state()

    def answer(self, wire: OfficeWire, message: Message) -> None:
        self.standing.add(message.call)
        described = f"{self.name} {message.call}\r\n".encode()
        wire.send(Message(isup.ANM, message.call, {isup.DESCRIPTION: described}))
        self.changed()

    def refuse(self, cause: int) -> Reply:
        return lambda wire, message: wire.send(Message(isup.REL, message.call, {isup.CAUSE: bytes((cause,))}))

    def release(self, call: str, cause: int = isup.NORMAL) -> None:
        """A call that stood here has come to its end."""
        self.standing.discard(call)
        self.wires[-1].send(Message(isup.REL, call, {isup.CAUSE: bytes((cause,))}))
        self.changed()

    def count(self, kind: int) -> int:
        return sum(message.kind == kind for message in self.came)


class ChangeLog:
    """Numbered events by long polls.  `fault`: "cut" breaks off in an answer, "silent" never gives one."""

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.polls: list[int] = []
        self.fault = ""
        self.server: asyncio.Server | None = None
        self.port = 0
        self.changed = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def open(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    def tell(self, *hosts: dict[str, Any], whole: bool = False) -> None:
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": list(hosts)}})
        self.changed.set()

    def answer(self, since: int) -> dict[str, Any]:
        return {"seq": len(self.events), "results": self.events[since:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                asked = dict(p.split("=") for p in head.split()[1].decode().partition("?")[2].split("&"))
                since, wait = int(asked["since"]), int(asked["timeout"]) / 1000
                self.polls.append(since)
                if self.fault == "silent":
                    await asyncio.sleep(3600)
                if len(self.events) <= since:
                    self.changed.clear()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), wait)
                body = json.dumps(self.answer(since)).encode()
                data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                if self.fault == "cut" and self.events[since:]:
                    writer.write(data[:-20])
                    break
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Caller(_Wire):
    """One connection of a caller.  `heard` is a queue of what came."""

    def __init__(self) -> None:
        super().__init__()
        self.heard: asyncio.Queue[Message | Unreadable] = asyncio.Queue()

    def said(self, item: Message | Unreadable) -> None:
        self.heard.put_nowait(item)

    @classmethod
    async def dial(cls, port: int) -> Caller:
        _, wire = await asyncio.get_running_loop().create_connection(cls, HOST, port)
        return wire

    def ask(self, call: str, dest: int, wait: int = 2000, figures: str = "", **more: bytes) -> None:
        """A set-up."""
        said = {
            isup.CLASS: b"voice", isup.PATIENCE: str(wait).encode(), isup.NUMBER: call.encode(),
            isup.FIGURES: (figures or f"dest:{dest};width:1;via:-1").encode(),
            isup.DESCRIPTION: f"caller {call}\r\n".encode(),
        }  # fmt: skip
        said |= {getattr(isup, name.upper()): value for name, value in more.items()}
        self.send(Message(isup.IAM, call, said))

    async def hear(self, seconds: float = 10.0) -> Message:
        item = await asyncio.wait_for(self.heard.get(), seconds)
        assert isinstance(item, Message)
        return item
