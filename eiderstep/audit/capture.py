"""Captures: every byte that passed a call server's sockets, with time, connection, peer and direction."""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path

import msgspec


class Record(msgspec.Struct, array_like=True, frozen=True):
    """One chunk of bytes, or the beginning ("up") or end ("down") of a connection.

    `time` in ns; `node` the call server; `label` the connection, "to ADDRESS #n" where the server dialled it;
    `way` "in", "out", "up", "down", or "killed" for the end of the server itself.
    """

    time: int
    node: str
    label: str
    peer: str
    way: str
    data: str  # bytes as latin-1


class Capture:
    """Records in the order in which they were made."""

    def __init__(self) -> None:
        self.records: list[Record] = []

    def tracer(self, node: str) -> Tracer:
        return Tracer(self, node)

    def add(self, time: int, node: str, label: str, peer: str, way: str, data: bytes) -> None:
        self.records.append(Record(time, node, label, peer, way, data.decode("latin-1")))

    def write(self, path: Path) -> None:
        """JSON, a record a line."""
        encode = msgspec.json.Encoder().encode
        with path.open("wb") as sink:
            for record in self.records:
                sink.write(encode(record) + b"\n")

    @classmethod
    def read(cls, path: Path) -> Capture:
        """Raises ValueError naming the line that is no record."""
        capture, decoder = cls(), msgspec.json.Decoder(Record)
        for number, line in enumerate(path.read_bytes().splitlines(), 1):
            try:
                capture.records.append(decoder.decode(line))
            except msgspec.MsgspecError as problem:
                raise ValueError(f"{path}:{number}: not a record: {problem}") from None
        return capture

    @classmethod
    def merged(cls, captures: list[Capture]) -> Capture:
        """Captures of several servers as one, in order of time."""
        whole = cls()
        whole.records = sorted((r for c in captures for r in c.records), key=lambda r: r.time)
        return whole

    def __iter__(self) -> Iterator[Record]:
        return iter(self.records)


class Tracer:
    """What a call server calls for each chunk."""

    def __init__(self, capture: Capture, node: str) -> None:
        self.capture, self.node = capture, node

    def __call__(self, time: int, label: str, peer: str, way: str, data: bytes) -> None:
        self.capture.add(time, self.node, label, peer, way, data)
