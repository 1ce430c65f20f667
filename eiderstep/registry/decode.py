"""Answers of the registry read as they arrive, JSON or XML, one instance at a time.

What is held is one instance and the listing: instances of other apps leave only their status.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Protocol
from xml.parsers import expat

import msgspec

from eiderstep.registry.model import (
    TEXT_LIMIT,
    Instance,
    Listing,
    action_of,
    instance,
    status_of,
    whole,
)

DEPTH = 16  # of nesting; an instance of the API has 5
ROW = 1 << 16  # bytes of one instance
SKELETON = 1 << 22  # bytes of an answer without its instances
# To the next bracket that is not within a string; possessive, so that a piece without one costs one pass.
TO_BRACKET = re.compile(rb'[^{}\[\]"]*+(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"[^{}\[\]"]*+)*+[{}\[\]]', re.DOTALL)
NAMED_INSTANCE = re.compile(rb'"instance"\s*:\s*.$', re.DOTALL)
OPENING = frozenset(b"{[")
ROOTS = ("applications", "application", "instance")


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
        self.room()
        self.keep(found)

    def room(self) -> None:
        if len(self.listing.instances) + len(self.listing.others) >= self.bounds.instances:
            raise Unfit(f"over {self.bounds.instances} instances")

    def other(self, app: str, name: object, status: object, action: object) -> None:
        """An instance of another app: the hash needs its status, nobody its rest."""
        if not isinstance(name, str) or not name or len(name) > TEXT_LIMIT or len(app) > TEXT_LIMIT:
            self.listing.skipped += 1
            return
        self.room()
        self.listing.others[app, name] = (status_of(status), action_of(action))

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


class _Row(msgspec.Struct):
    """What is read of an instance's JSON; the rest is passed over by the decoder."""

    instanceId: Any = None
    hostName: Any = None
    app: Any = None
    ipAddr: Any = None
    status: Any = None
    port: Any = None
    securePort: Any = None
    leaseInfo: Any = None
    metadata: Any = None
    lastDirtyTimestamp: Any = None
    lastUpdatedTimestamp: Any = None
    actionType: Any = None


class JsonReader:
    """The JSON form: cut into instances by its brackets, each decoded by msgspec.

    What remains without them, `{"applications":{...,"application":[{"name":"A","instance":[0,0]}]}}`, is
    decoded at the end: it has the hash, and shows whether the answer was whole and the API's.  An event
    parser (ijson over yajl) does the same at several times the CPU, for which calls beside it have to wait.
    Eureka's two JSON codecs differ in whether a list of one is a list: both are read.
    """

    def __init__(self, app: str, bounds: Bounds | None = None) -> None:
        self.into = _Collector(app, bounds or Bounds())
        self.rest = b""
        self.at = 0  # in `rest`: what is before has been looked at
        self.start = 0  # in `rest`: the instance being read
        self.inside = 0  # brackets open within it, 0 outside
        self.depth = self.list_depth = 0  # brackets open outside; those of a list of instances
        self.skeleton: list[bytes] = []
        self.size = 0

    def feed(self, data: bytes) -> None:
        """Raises Unfit."""
        self.into.count(data)
        if not self.skeleton and not self.rest and data.strip() and data.lstrip()[:1] not in (b"{", b"["):
            raise Unfit(f"not JSON: it begins with {data.lstrip()[:12]!r}")
        buffer, at, to_bracket = self.rest + data, self.at, TO_BRACKET.match
        while found := to_bracket(buffer, at):
            end = found.end()
            opens = buffer[end - 1] in OPENING
            if not self.inside:
                self._outside(buffer, at, end, opens)
            elif opens:
                self.inside += 1
            else:
                self.inside -= 1
                if not self.inside:
                    self._instance(buffer[self.start : end])
            at = end
            if self.inside + self.depth > DEPTH:
                raise Unfit(f"nested over {DEPTH} deep")
        cut = self.start if self.inside else at
        self.rest, self.at, self.start = buffer[cut:], at - cut, 0
        if len(self.rest) > ROW:
            raise Unfit(f"an instance, or a value, of over {ROW} bytes")

    def _outside(self, buffer: bytes, at: int, end: int, opens: bool) -> None:
        piece = buffer[at:end]
        named = opens and NAMED_INSTANCE.search(piece) is not None
        if opens and piece.endswith(b"{") and (named or (self.list_depth and self.depth == self.list_depth)):
            self.inside, self.start = 1, end - 1
            piece = piece[:-1] + b"0"
        elif opens:
            self.depth += 1
            if named:
                self.list_depth = self.depth
        else:
            if self.depth == self.list_depth:
                self.list_depth = 0
            self.depth -= 1
        self.skeleton.append(piece)
        self.size += len(piece)
        if self.size > SKELETON:
            raise Unfit(f"over {SKELETON} bytes beside the instances")

    def _instance(self, data: bytes) -> None:
        try:
            told = DECODE_ROW(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise Unfit(f"not JSON: {_first(problem)}") from None
        into = self.into
        if isinstance(told.app, str) and told.app.upper() != into.app:
            into.other(told.app.upper(), told.instanceId or told.hostName, told.status, told.actionType)
            return
        for name in ROW_NAMES:
            value = getattr(told, name)
            if isinstance(value, dict):
                for key, inner in value.items():
                    into.set(f"{name}.{key}", inner)
            elif value is not None:
                into.set(name, value)
        into.add()

    def finish(self) -> Listing:
        """Raises Unfit for half an answer."""
        if self.inside or self.depth:
            raise Unfit("half an answer")
        try:
            told = msgspec.json.decode(b"".join(self.skeleton) + self.rest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            what = "half an answer" if "truncated" in str(problem) else "not JSON"
            raise Unfit(f"{what}: {_first(problem)}") from None
        if not isinstance(told, dict) or not any(root in told for root in ROOTS):
            raise Unfit("JSON, but nothing that the API answers")
        head = told.get("applications")
        for name in ("versions__delta", "apps__hashcode"):
            if isinstance(head, dict) and isinstance(head.get(name), str | int):
                self.into.head(name, head[name])
        return self.into.listing


ROW_NAMES = _Row.__struct_fields__
DECODE_ROW = msgspec.json.Decoder(_Row).decode


class XmlReader:
    """The XML form, by expat.  A document type is refused: entities could grow without bound."""

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
        if not self.path and name not in ROOTS:
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
