"""An incremental parser: chunks in, whole messages out, one `Unreadable` at the end of a spoilt stream."""

from __future__ import annotations

from eiderstep.isup.message import HEAD, LARGEST, TYPES, Message


class Unreadable:
    """What cannot be read; nothing after it on that connection can be."""

    __slots__ = ("why",)

    def __init__(self, why: str) -> None:
        self.why = why


class Parser:
    """Messages of one connection.

    Danger: a length is all that tells where the next message begins, so after one that cannot be right there
    is nothing to go on with.  It is judged from its two bytes, before anything is kept for it: what a sender
    can make us hold is one message.
    """

    __slots__ = ("broken", "held")

    def __init__(self) -> None:
        self.held = b""
        self.broken = False

    def feed(self, data: bytes) -> list[Message | Unreadable]:
        """The messages that are whole now, in order.  After `Unreadable` nothing more comes."""
        if self.broken:
            return []
        buffer = self.held + data if self.held else data
        found: list[Message | Unreadable] = []
        at, end = 0, len(buffer)
        while end - at >= 2:
            size = buffer[at] << 8 | buffer[at + 1]
            if not HEAD <= size <= LARGEST:
                return self._spoilt(found, f"length {size}; allowed: {HEAD} to {LARGEST}")
            if end - at >= 3 and buffer[at + 2] not in TYPES:
                return self._spoilt(found, f"message type {buffer[at + 2]}")
            stop = at + 2 + size
            if stop > end:
                break
            parameters = self._parameters(buffer, at + 2 + HEAD, stop)
            if isinstance(parameters, str):
                return self._spoilt(found, parameters)
            found.append(Message(buffer[at + 2], buffer[at + 3 : at + 11].hex(), parameters))
            at = stop
        self.held = buffer[at:]
        return found

    @staticmethod
    def _parameters(buffer: bytes, at: int, stop: int) -> dict[int, bytes] | str:
        parameters: dict[int, bytes] = {}
        while at < stop:
            if stop - at < 3:
                return "a parameter cut short"
            code, size = buffer[at], buffer[at + 1] << 8 | buffer[at + 2]
            at += 3
            if size > stop - at:
                return f"parameter {code} of {size} bytes where {stop - at} are left"
            if code in parameters:
                return f"parameter {code} twice"
            parameters[code] = buffer[at : at + size]
            at += size
        return parameters

    def _spoilt(self, found: list[Message | Unreadable], why: str) -> list[Message | Unreadable]:
        self.broken, self.held = True, b""
        found.append(Unreadable(why))
        return found
