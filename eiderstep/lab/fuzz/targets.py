"""What is fuzzed, and what must hold whatever comes: a target takes bytes and raises where it does not."""

from __future__ import annotations

from collections.abc import Callable

import msgspec

from eiderstep.config.bounds import ConfigError
from eiderstep.config.load import load_text
from eiderstep.lab.fuzz.beside import Beside
from eiderstep.registry.decode import Bounds, JsonReader, XmlReader
from eiderstep.server.register import Event, EventStream, entry
from eiderstep.sip.message import Message
from eiderstep.sip.parser import BadMessage, Limits, Parser, parse_datagram

Target = Callable[[bytes], None]
SMALL = Limits(line=512, head=2048, headers=32, body=256)
BOUNDS = Bounds(answer=1 << 16, fields=32, text=256, instances=64)


def sip(data: bytes) -> None:
    """The parser: the same whatever the pieces, bounded, and what it takes can be written and read again."""
    whole = Parser(SMALL)
    found = whole.feed(data)
    pieces, cut = Parser(SMALL), (data[0] if data else 0) % 64 + 1
    again: list[Message | BadMessage] = []
    for at in range(0, len(data), cut):
        again += pieces.feed(data[at : at + cut])
        assert len(pieces.buffer) <= SMALL.head + SMALL.body + cut + 4, "holds more than one message"
    # A head that is too long may be seen in another piece, and so by another word; the messages are the same.
    assert [said(x) for x in found if isinstance(x, Message)] == [
        said(x) for x in again if isinstance(x, Message)
    ]
    assert whole.dead == pieces.dead or not whole.dead
    for item in found:
        if isinstance(item, Message):
            (copy,) = Parser().feed(item.encode())
            assert isinstance(copy, Message), f"what was taken cannot be written: {copy!r}"
            assert (copy.method, copy.status, copy.body) == (item.method, item.status, item.body)
            assert copy.headers.keys() - {"content-length"} == item.headers.keys() - {"content-length"}
            assert (item.cseq, item.call_id, item.branch, item.to_tag) == (
                copy.cseq, copy.call_id, copy.branch, copy.to_tag,
            )  # fmt: skip
    parse_datagram(data, SMALL)


def said(item: Message | BadMessage) -> str:
    return item.encode().decode("latin-1") if isinstance(item, Message) else str(item.status)


def engine(data: bytes) -> None:
    """The engine under messages of liars, beside a call that stands."""
    Beside().play(data)


def eureka_json(data: bytes) -> None:
    """A registry's answer in JSON: a listing within its bounds, or a ValueError."""
    _reader(JsonReader("X", BOUNDS), data)


def eureka_xml(data: bytes) -> None:
    """The same in XML."""
    _reader(XmlReader("X", BOUNDS), data)


def _reader(reader: JsonReader | XmlReader, data: bytes) -> None:
    try:
        for at in range(0, len(data), 97):
            reader.feed(data[at : at + 97])
        listing = reader.finish()
    except ValueError:
        return
    assert len(listing.instances) <= BOUNDS.instances


def register(data: bytes) -> None:
    """The register's stream: entries that the module can be told, or an error that the client knows."""
    stream = EventStream()
    try:
        for at in range(0, len(data), 61):
            for event in stream.feed(data[at : at + 61]):
                told = msgspec.json.decode(event, type=Event)
                for row in told.entries:
                    made = entry(row, 10**15)
                    assert made is None or (made.number >= 0 and 0 <= made.started <= 10**15)
    except (ValueError, msgspec.MsgspecError):
        return


def settings(data: bytes) -> None:
    """A settings script: settings, or one line that says what is wrong."""
    try:
        load_text(data.decode("utf-8", "replace"), "s.star")
    except ConfigError as problem:
        assert str(problem).startswith("s.star:")


TARGETS: dict[str, Target] = {
    "sip": sip,
    "engine": engine,
    "eureka-json": eureka_json,
    "eureka-xml": eureka_xml,
    "register": register,
    "settings": settings,
}
