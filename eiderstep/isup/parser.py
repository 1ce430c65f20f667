"""Incremental parser: turns chunks of a byte stream into messages and stops at the first error."""

from __future__ import annotations

from eiderstep.isup.message import HEADER_LENGTH, MAX_LENGTH, TYPES, Message


class FramingError:
    """A framing error.  Nothing after it on that connection can be parsed.  `reason`: what was found."""

    __slots__ = ("reason",)

    def __init__(self, reason: str) -> None:
        self.reason = reason


class Parser:
    """Parser for the messages of one connection.

    The length field is the only message delimiter, so the stream cannot be resynchronised after an invalid
    one.  The length is checked as soon as its two bytes have arrived, which limits the memory that a sender
    can occupy to one message of the largest allowed length.
    """

    __slots__ = ("failed", "remainder")

    def __init__(self) -> None:
        self.remainder = b""
        self.failed = False

    def feed(self, data: bytes) -> list[Message | FramingError]:
        """Return the messages that `data` completes, in order; after a `FramingError`, nothing."""
        if self.failed:
            return []
        buffer = self.remainder + data if self.remainder else data
        items: list[Message | FramingError] = []
        offset, buffer_end = 0, len(buffer)
        while buffer_end - offset >= 2:
            size = buffer[offset] << 8 | buffer[offset + 1]
            if not HEADER_LENGTH <= size <= MAX_LENGTH:
                return self._fail(items, f"length {size}; allowed: {HEADER_LENGTH} to {MAX_LENGTH}")
            if buffer_end - offset >= 3 and buffer[offset + 2] not in TYPES:
                return self._fail(items, f"unknown message type {buffer[offset + 2]}")
            message_end = offset + 2 + size
            if message_end > buffer_end:
                break
            parameters = self._parse_parameters(buffer, offset + 2 + HEADER_LENGTH, message_end)
            if isinstance(parameters, str):
                return self._fail(items, parameters)
            items.append(Message(buffer[offset + 2], buffer[offset + 3 : offset + 11].hex(), parameters))
            offset = message_end
        self.remainder = buffer[offset:]
        return items

    @staticmethod
    def _parse_parameters(buffer: bytes, offset: int, message_end: int) -> dict[int, bytes] | str:
        parameters: dict[int, bytes] = {}
        while offset < message_end:
            if message_end - offset < 3:
                return "truncated parameter header"
            code, size = buffer[offset], buffer[offset + 1] << 8 | buffer[offset + 2]
            offset += 3
            if size > message_end - offset:
                return f"parameter {code}: length {size}, but {message_end - offset} bytes are left"
            if code in parameters:
                return f"duplicate parameter {code}"
            parameters[code] = buffer[offset : offset + size]
            offset += size
        return parameters

    def _fail(self, items: list[Message | FramingError], reason: str) -> list[Message | FramingError]:
        self.failed, self.remainder = True, b""
        items.append(FramingError(reason))
        return items
