"""Stand-ins of the platform's offices, change log and callers on loopback, with faults that a test injects.

They use only the platform's published messages and nothing of the call server's internals.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Callable
from typing import Any, cast

from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.isup.parser import FramingError, Parser

HOST = "127.0.0.1"
SLOW_RESPONSE_DELAY = 2.0  # seconds
SetUpHandler = Callable[["OfficeWire", Message], None]


class _Connection(asyncio.Protocol):
    """A TCP connection with a parser; `closed` is a future that is done once the connection is lost."""

    transport: asyncio.Transport

    def __init__(self) -> None:
        self.parser = Parser()
        self.closed = asyncio.get_running_loop().create_future()

    def connection_made(self, transport: Any) -> None:
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, data: bytes) -> None:
        for item in self.parser.feed(data):
            self.handle_item(item)

    def handle_item(self, item: Message | FramingError) -> None:
        raise NotImplementedError

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.closed.done():
            self.closed.set_result(None)

    def send(self, message: Message) -> None:
        self.transport.write(message.encode())


class OfficeWire(_Connection):
    """One connection from a call server to an office."""

    def __init__(self, office: Office) -> None:
        super().__init__()
        self.office = office

    def connection_made(self, transport: Any) -> None:
        super().connection_made(transport)
        self.office.connections.append(self)
        self.office.links_opened += 1
        if self.office.closes_links:
            self.transport.close()
        else:
            self.send_state()

    def connection_lost(self, exc: Exception | None) -> None:
        super().connection_lost(exc)
        self.office.connections.remove(self)

    def send_state(self) -> None:
        """Send the state of the trunk group: the first message of a link, repeated on every change."""
        free = self.office.size - len(self.office.standing_calls)
        report = f"x0:{free};x1:{self.office.size};queue:0;qps:100"
        self.send(Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: report.encode()}))

    def handle_item(self, item: Message | FramingError) -> None:
        assert isinstance(item, Message), "the call server sent a message that cannot be parsed"
        self.office.handle_message(self, item)


class Office:
    """One office with `size` circuits.  It answers every call unless a test sets another handler."""

    def __init__(self, name: str, number: int, size: int = 40) -> None:
        self.name, self.number, self.size = name, number, size
        self.on_set_up: SetUpHandler = self.answer_call
        self.connections: list[OfficeWire] = []
        self.received: list[Message] = []
        self.standing_calls: set[str] = set()
        self.ignores_messages = False
        self.closes_links = False  # closes each new link at once
        self.links_opened = 0
        self.server: asyncio.Server | None = None
        self.port = 0

    async def listen(self) -> None:
        self.server = await asyncio.get_running_loop().create_server(
            lambda: OfficeWire(self), HOST, self.port
        )
        self.port = self.server.sockets[0].getsockname()[1]

    def kill(self) -> None:
        """Behave as a killed process: connections are reset, new ones refused, and standing calls lost."""
        if self.server is not None:
            self.server.close()
        for connection in list(self.connections):
            connection.transport.abort()
        self.standing_calls.clear()

    def list_entry(self, health: str = "ready") -> dict[str, Any]:
        """Return the office as an entry of the change log."""
        return {
            "host": self.name, "dial": f"{HOST}:{self.port}", "site": "east", "class": "std",
            "block": self.number, "health": health, "share": 1.0, "born_ms": 0,
        }  # fmt: skip

    def handle_message(self, connection: OfficeWire, message: Message) -> None:
        if self.ignores_messages:
            return
        if message.kind == isup.TEST:
            connection.send(Message(isup.TEST_RESULT, message.call, {isup.CAUSE: b"\1"}))
            return
        self.received.append(message)
        if message.kind == isup.IAM:
            self.on_set_up(connection, message)
        elif message.kind == isup.REL:
            self.standing_calls.discard(message.call)
            self.send_states()

    def send_states(self) -> None:
        """Report the number of free circuits on up to four links."""
        for connection in self.connections[:4]:
            connection.send_state()

    def answer_call(self, connection: OfficeWire, message: Message) -> None:
        """Answer a set-up; the call stands."""
        self.standing_calls.add(message.call)
        described = f"{self.name} {message.call}\r\n".encode()
        connection.send(Message(isup.ANM, message.call, {isup.DESCRIPTION: described}))
        self.send_states()

    def refuse_with(self, cause: int) -> SetUpHandler:
        """Return a handler that refuses set-ups with a Q.850 cause."""
        return lambda connection, message: connection.send(
            Message(isup.REL, message.call, {isup.CAUSE: bytes((cause,))})
        )

    def release_call(self, call: str, cause: int = isup.NORMAL_CLEARING) -> None:
        """Release a standing call on the newest link."""
        self.standing_calls.discard(call)
        self.connections[-1].send(Message(isup.REL, call, {isup.CAUSE: bytes((cause,))}))
        self.send_states()

    def count_received(self, kind: int) -> int:
        """Return how many messages of a kind were received."""
        return sum(message.kind == kind for message in self.received)


class ChangeLog:
    """The change log: numbered events over HTTP long polls.

    `fault`: "cut" closes the connection in the middle of a response, "silent" never responds, "slow" sends
    each response `SLOW_RESPONSE_DELAY` later, "hurried" responds at once, events or not.
    """

    def __init__(self) -> None:
        self.events: list[dict[str, Any]] = []
        self.polled_since: list[int] = []  # the event number that each poll started from
        self.fault = ""
        self.server: asyncio.Server | None = None
        self.port = 0
        self.event_added = asyncio.Event()
        self.writers: list[asyncio.StreamWriter] = []

    async def listen(self) -> None:
        self.server = await asyncio.start_server(self._serve, HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def close(self) -> None:
        if self.server is not None:
            self.server.close()
        for writer in self.writers:
            writer.close()

    def append_event(self, *hosts: dict[str, Any], whole: bool = False) -> None:
        """Append an event.  `whole`: the hosts are the full list, not a change."""
        seq = len(self.events) + 1
        self.events.append({"seq": seq, "fleet": {"seq": seq, "whole": whole, "hosts": list(hosts)}})
        self.event_added.set()

    def events_since(self, since: int) -> dict[str, Any]:
        """Return the response to a poll: the events after number `since`."""
        return {"seq": len(self.events), "results": self.events[since:]}

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        try:
            while head := await reader.readuntil(b"\r\n\r\n"):
                query = dict(p.split("=") for p in head.split()[1].decode().partition("?")[2].split("&"))
                since, timeout = int(query["since"]), int(query["timeout"]) / 1000
                self.polled_since.append(since)
                if self.fault == "silent":
                    await asyncio.sleep(3600)
                if len(self.events) <= since and self.fault != "hurried":
                    self.event_added.clear()
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.event_added.wait(), timeout)
                response = self.events_since(since)
                if self.fault == "slow":
                    await asyncio.sleep(SLOW_RESPONSE_DELAY)
                body = json.dumps(response).encode()
                data = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % len(body) + body
                if self.fault == "cut" and self.events[since:]:
                    writer.write(data[:-20])
                    break
                writer.write(data)
        except (asyncio.IncompleteReadError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


class Caller(_Connection):
    """One connection of a caller, with a queue of received messages."""

    def __init__(self) -> None:
        super().__init__()
        self.received: asyncio.Queue[Message | FramingError] = asyncio.Queue()

    def handle_item(self, item: Message | FramingError) -> None:
        self.received.put_nowait(item)

    @classmethod
    async def dial(cls, port: int) -> Caller:
        _, connection = await asyncio.get_running_loop().create_connection(cls, HOST, port)
        return connection

    def send_set_up(
        self, call: str, dest: int, give_up_ms: int = 2000, routing_data: str = "", **more: bytes
    ) -> None:
        """Send a set-up with a give-up time in ms.

        `more`: further parameters by the lower-case names of `isup` constants.
        """
        parameters = {
            isup.CLASS: b"voice", isup.GIVE_UP_TIME: str(give_up_ms).encode(), isup.NUMBER: call.encode(),
            isup.ROUTING_DATA: (routing_data or f"dest:{dest};width:1;via:-1").encode(),
            isup.DESCRIPTION: f"caller {call}\r\n".encode(),
        }  # fmt: skip
        parameters |= {getattr(isup, name.upper()): value for name, value in more.items()}
        self.send(Message(isup.IAM, call, parameters))

    async def receive(self, seconds: float = 10.0) -> Message:
        """Return the next received message.  Raises TimeoutError after that many seconds."""
        item = await asyncio.wait_for(self.received.get(), seconds)
        assert isinstance(item, Message)
        return item
