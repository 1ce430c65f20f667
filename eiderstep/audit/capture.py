"""Captures of all bytes sent and received on a call server's sockets."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One chunk of bytes, or the opening or closing of a connection.

    `time` is in ns.  `node` is the name of the call server.  `label` names the connection: "to ADDRESS #n" if
    the server opened it, "from ADDRESS #n" if the peer did.  `event` is "in" or "out" for bytes, "up" or
    "down" for an opened or closed connection, and "killed" if the server process itself ended.
    """

    time: int
    node: str
    label: str
    peer: str
    event: str
    data: str  # the bytes, decoded as latin-1


class Capture:
    """Records in the order in which they were added."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def tracer(self, node: str) -> Tracer:
        return Tracer(self, node)

    def add(self, time: int, node: str, label: str, peer: str, event: str, data: bytes) -> None:
        self.records.append(Record(time, node, label, peer, event, data.decode("latin-1")))

    def write(self, path: Path) -> None:
        """Write one JSON record per line."""
        encode = msgspec.json.Encoder().encode
        with path.open("wb") as sink:
            for record in self.records:
                sink.write(encode(record) + b"\n")

    @classmethod
    def read(cls, path: Path) -> Capture:
        """Read a file made by `write`.  Raises ValueError with the number of the first invalid line."""
        capture, decoder = cls(), msgspec.json.Decoder(Record)
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                capture.records.append(decoder.decode(line))
            except msgspec.MsgspecError as problem:
                raise ValueError(f"{path}:{number}: not a capture record: {problem}") from None
        return capture

    @classmethod
    def merged(cls, captures: list[Capture]) -> Capture:
        """Merge the captures of several servers, ordered by time."""
        combined = cls()
        combined.records = sorted((r for c in captures for r in c.records), key=lambda r: r.time)
        return combined

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records)


class Tracer:
    """Adds the records of one call server to a capture; the server calls it for each chunk."""

    def __init__(self, capture: Capture, node: str) -> None:
        self.capture, self.node = capture, node

    def __call__(self, time: int, label: str, peer: str, event: str, data: bytes) -> None:
        self.capture.add(time, self.node, label, peer, event, data)
