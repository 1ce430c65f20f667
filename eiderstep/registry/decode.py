"""Answers of the registry read as they arrive, JSON or XML, one instance at a time.

What is held is one instance and the listing: instances of other apps leave only their status.  The parsers
are ijson (over yajl) and expat; neither sees a byte of what a bound forbids.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any, Protocol
from xml.parsers import expat

import ijson

from eiderstep.registry.model import Instance, Listing, instance, whole

DEPTH = 16  # of nesting; an instance of the API has 5
SCALARS = ("string", "number", "boolean", "null")
# Eureka's two JSON codecs differ in whether a list of one is a list.
BASES = frozenset(
    f"{root}{apps}.instance{one}"
    for root, apps in (
        ("applications.", "application.item"),
        ("applications.", "application"),
        ("", "application"),
    )
    for one in ("", ".item")
) | {"instance"}  # fmt: skip


class Unfit(ValueError):
    """An answer that is none: not the format, cut short, or over a bound."""


@dataclass(frozen=True)
class Bounds:
    """What an answer may hold."""

    answer: int = 64 << 20  # bytes, once unpacked
    fields: int = 256  # of one instance
    text: int = 4096  # characters of one value
    instances: int = 100_000


class Reader(Protocol):
    """Bytes in; the listing once it is whole."""

    def feed(self, data: bytes) -> None: ...
    def finish(self) -> Listing: ...


class _Collector:
    """Rows to the listing, within the bounds."""

    def __init__(self, app: str, bounds: Bounds) -> None:
        self.app, self.bounds = app.upper(), bounds
        self.listing = Listing()
        self.bytes = 0
        self.row: dict[str, object] = {}
        self.whole = False

    def count(self, data: bytes) -> None:
        self.bytes += len(data)
        if self.bytes > self.bounds.answer:
            raise Unfit(f"an answer of over {self.bounds.answer} bytes")

    def set(self, name: str, value: object) -> None:
        if len(self.row) >= self.bounds.fields:
            raise Unfit(f"an instance of over {self.bounds.fields} fields")
        if isinstance(value, str) and len(value) > self.bounds.text:
            raise Unfit(f"a value of over {self.bounds.text} characters")
        self.row[name] = value

    def add(self, app: str = "") -> None:
        row, self.row = self.row, {}
        found = instance(row, app)
        if found is None:
            self.listing.skipped += 1
            return
        if len(self.listing.instances) + len(self.listing.others) >= self.bounds.instances:
            raise Unfit(f"over {self.bounds.instances} instances")
        self.keep(found)

    def keep(self, found: Instance) -> None:
        listing = self.listing
        listing.clock = max(listing.clock, found.updated, found.renewed, found.registered)
        if found.app == self.app:
            held = listing.instances.get(found.id)
            # A delta can name one id twice, an earlier life of it after the later one.
            if held is None or found.dirty >= held.dirty:
                listing.instances[found.id] = found
        else:
            listing.others[found.app, found.id] = (found.status, found.action)

    def head(self, name: str, value: object) -> None:
        if name == "versions__delta":
            text = str(value)
            self.listing.version = whole(text) if text.isascii() and text.isdigit() else None
        else:
            self.listing.hashcode = str(value) if len(str(value)) <= self.bounds.text else None


class JsonReader:
    """The JSON form, as `ijson` events."""

    def __init__(self, app: str, bounds: Bounds | None = None) -> None:
        self.into = _Collector(app, bounds or Bounds())
        self.events: Any = ijson.sendable_list()
        self.parser = ijson.parse_coro(self.events, use_float=True)
        self.base = ""  # the prefix of the instance being read
        self.depth = 0

    def feed(self, data: bytes) -> None:
        """Raises Unfit."""
        if not data:
            return  # to the parser that would be the end; unpacking can yield nothing yet
        self.into.count(data)
        try:
            self.parser.send(data)
        except (ijson.JSONError, UnicodeDecodeError) as problem:
            raise Unfit(f"not JSON: {_first(problem)}") from None
        self._take()

    def _take(self) -> None:
        into = self.into
        base = self.base
        for prefix, event, value in self.events:
            if event in SCALARS:
                if base:
                    into.set(prefix[len(base) + 1 :], value)
                elif prefix in ("applications.versions__delta", "applications.apps__hashcode"):
                    into.head(prefix[len("applications.") :], value)
                into.whole = into.whole or not self.depth  # a bare value: whole, and of no use
            elif event in ("start_map", "start_array"):
                self.depth += 1
                if self.depth > DEPTH:
                    raise Unfit(f"nested over {DEPTH} deep")
                if not base and event == "start_map" and prefix in BASES:
                    base = prefix
            elif event in ("end_map", "end_array"):
                self.depth -= 1
                if event == "end_map" and prefix == base and base:
                    into.add()
                    base = ""
                into.whole = self.depth == 0
            elif self.depth == 1 and value not in ("applications", "application", "instance"):
                raise Unfit(f"JSON, but {str(value)[:40]!r} is nothing that the API answers")
        self.base = base
        del self.events[:]

    def finish(self) -> Listing:
        """Raises Unfit for half an answer."""
        try:
            self.parser.close()
        except ijson.JSONError as problem:
            raise Unfit(f"half an answer: {_first(problem)}") from None
        self._take()
        if not self.into.whole:
            raise Unfit("half an answer")
        return self.into.listing


class XmlReader:
    """The XML form, by expat.  A document type is refused: entities could grow without bound."""

    ROOTS = ("applications", "application", "instance")

    def __init__(self, app: str, bounds: Bounds | None = None) -> None:
        self.into = _Collector(app, bounds or Bounds())
        self.path: list[str] = []
        self.text: list[str] = []
        self.length = 0
        self.inside = 0  # the depth of the instance being read, 0 outside
        self.app = ""
        self.parser = expat.ParserCreate()
        self.parser.buffer_text = True
        self.parser.StartElementHandler = self._start
        self.parser.EndElementHandler = self._end
        self.parser.CharacterDataHandler = self._chars
        self.parser.StartDoctypeDeclHandler = self._doctype

    def _doctype(self, *_: object) -> None:
        raise Unfit("an XML document type; allowed: none")

    def feed(self, data: bytes) -> None:
        """Raises Unfit."""
        self.into.count(data)
        try:
            self.parser.Parse(data, False)
        except expat.ExpatError as problem:
            raise Unfit(f"not XML: {problem}") from None

    def _start(self, name: str, attributes: dict[str, str]) -> None:
        if not self.path and name not in self.ROOTS:
            raise Unfit(f"XML, but <{name[:40]}> is nothing that the API answers")
        self.path.append(name)
        if len(self.path) > DEPTH:
            raise Unfit(f"nested over {DEPTH} deep")
        self.text, self.length = [], 0
        if self.inside:
            for key, value in attributes.items():
                self.into.set(f"{'.'.join(self.path[self.inside :])}.@{key}", value)
        elif name == "instance":
            self.inside = len(self.path)

    def _chars(self, data: str) -> None:
        self.length += len(data)
        if self.length > self.into.bounds.text:
            raise Unfit(f"a value of over {self.into.bounds.text} characters")
        self.text.append(data)

    def _end(self, name: str) -> None:
        text = "".join(self.text).strip()
        self.text, self.length = [], 0
        if self.inside and len(self.path) == self.inside:
            self.inside = 0
            self.into.add(self.app)
        elif self.inside:
            if text:
                self.into.set(".".join(self.path[self.inside :]), text)
        elif name in ("versions__delta", "apps__hashcode"):
            self.into.head(name, text)
        elif name == "name" and self.path[-2:-1] == ["application"]:
            self.app = text
        self.path.pop()

    def finish(self) -> Listing:
        """Raises Unfit for half an answer."""
        try:
            self.parser.Parse(b"", True)
        except expat.ExpatError as problem:
            raise Unfit(f"half an answer: {problem}") from None
        return self.into.listing


def _first(problem: BaseException) -> str:
    lines = str(problem).strip().splitlines()
    return lines[0][:80] if lines else type(problem).__name__


def reader(content_type: str, app: str, bounds: Bounds | None = None) -> Reader:
    """The reader for a Content-Type.  Raises Unfit: a 200 with a proxy's HTML is no answer."""
    kind = content_type.partition(";")[0].strip().lower()
    if kind in ("application/json", "text/json") or kind.endswith("+json"):
        return JsonReader(app, bounds)
    if kind in ("application/xml", "text/xml"):
        return XmlReader(app, bounds)
    raise Unfit(f"Content-Type {kind[:60] or 'missing'}; allowed: application/json, application/xml")
