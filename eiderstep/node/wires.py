"""Protocol classes: connections from callers and links to offices."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any, cast

from eiderstep.isup.message import Message
from eiderstep.isup.parser import Parser, Unreadable

if TYPE_CHECKING:
    from eiderstep.node.server import Node

UNSENT = 256 * 1024  # bytes that a peer may leave unread


class Wire(asyncio.BufferedProtocol):
    """One TCP connection; `office` is empty for a caller's.

    Danger: read whole, what one peer has written is a quarter of a megabyte at a time, and all others wait
    while it is worked through.  All share one small buffer, so each has its turn after `Node.buffer` bytes.
    """

    def __init__(self, node: Node, office: str = "") -> None:
        self.node, self.office = node, office
        self.flow = node.next_flow()
        self.parser = Parser()
        self.transport: asyncio.Transport | None = None
        self.source = ""
        self.heard_at = self.begun_at = self.tested_at = 0  # ns; the second: of a message not whole yet
        self.closing_at = 0
        self.lost = False
        self.over: asyncio.Future[None] | None = None  # of a link: done when it is lost

    def connection_made(self, transport: Any) -> None:
        self.transport = cast(asyncio.Transport, transport)
        self.heard_at = self.node.now()
        if self.office:
            # Danger: what an office sends first may be read before whoever dialled goes on; it is the state
            # of the group, or the end of a call.  So the link counts from here.
            self.over = self.node.loop.create_future()
            self.node.link_up(self)
            return
        name = transport.get_extra_info("peername")
        self.source = str(name[0]) if name else "?"
        self.node.caller_came(self)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.node.buffer

    def buffer_updated(self, size: int) -> None:
        self.data_received(bytes(self.node.buffer[:size]))

    def data_received(self, data: bytes) -> None:
        if self.closing_at:
            return
        self.heard_at = self.node.now()
        items: list[Message | Unreadable] = self.parser.feed(data)
        if not self.parser.held:
            self.begun_at = 0
        elif items or not self.begun_at:
            self.begun_at = self.heard_at
        if items:
            self.node.came(self, items)

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.node.lost(self)
        if self.over is not None and not self.over.done():
            self.over.set_result(None)

    def send(self, data: bytes) -> None:
        """Danger: a peer that reads nothing makes us hold all we have for it: over the limit it is cut."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.write(data)
            if self.transport.get_write_buffer_size() > UNSENT:
                self.node.log("warning", "peer reads nothing", peer=self.office or self.source)
                self.transport.abort()

    def pause(self, length: int) -> None:
        """Read nothing for so long (ns)."""
        if self.transport is not None and not self.transport.is_closing():
            self.transport.pause_reading()
            self.node.loop.call_later(length / 1e9, self._read_on)

    def _read_on(self) -> None:
        if self.transport is not None and not self.lost and not self.transport.is_closing():
            self.transport.resume_reading()

    def close(self) -> None:
        """Close once all is written; nothing more is read."""
        if self.transport is not None and not self.transport.is_closing():
            self.closing_at = self.node.now()
            self.transport.close()

    def abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
