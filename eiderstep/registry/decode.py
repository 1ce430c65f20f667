"""Incremental decoders of registry responses, JSON or XML, one instance at a time.

Memory holds one raw instance and the listing; of instances of other apps only the status is kept.
"""

from __future__ import annotations

import re
from dataclasses import dataclass
from typing import Any, Protocol
from xml.parsers import expat

import msgspec

from eiderstep.registry.model import (
    MAX_NAME_CHARS,
    Instance,
    Listing,
    instance_from_row,
    parse_action,
    parse_int,
    parse_status,
)

MAX_DEPTH = 16  # of nesting; an instance of the API has 5 levels
MAX_INSTANCE_BYTES = 1 << 16
MAX_SKELETON_BYTES = 1 << 22  # of a response without its instances
# Matches up to the next bracket outside strings.  Possessive quantifiers prevent backtracking, so that input
# without a bracket costs one pass.
NEXT_BRACKET = re.compile(rb'[^{}\[\]"]*+(?:"[^"\\]*+(?:\\.[^"\\]*+)*+"[^{}\[\]"]*+)*+[{}\[\]]', re.DOTALL)
INSTANCE_KEY = re.compile(rb'"instance"\s*:\s*.$', re.DOTALL)
OPENING_BRACKETS = frozenset(b"{[")
ROOT_NAMES = ("applications", "application", "instance")


class InvalidResponse(ValueError):
    """The response is not in the API's format, is truncated, or exceeds a limit."""


@dataclass(frozen=True)
class ResponseLimits:
    """Limits on a response."""

    max_bytes: int = 64 << 20  # bytes of the decompressed body
    max_fields: int = 256  # per instance
    max_value_chars: int = 4096  # characters per value
    max_instances: int = 100_000


class Reader(Protocol):
    """Takes the body in pieces and returns the listing at its end.  Both methods raise InvalidResponse."""

    def feed(self, data: bytes) -> None: ...
    def finish(self) -> Listing: ...


class _ListingBuilder:
    """Builds the listing from the fields of one instance after the other, and enforces the limits."""

    def __init__(self, app: str, limits: ResponseLimits) -> None:
        self.app, self.limits = app.upper(), limits
        self.listing = Listing()
        self.received_bytes = 0
        self.row: dict[str, object] = {}

    def count_bytes(self, data: bytes) -> None:
        self.received_bytes += len(data)
        if self.received_bytes > self.limits.max_bytes:
            raise InvalidResponse(f"response of over {self.limits.max_bytes} bytes")

    def set_field(self, name: str, value: object) -> None:
        if len(self.row) >= self.limits.max_fields:
            raise InvalidResponse(f"instance with over {self.limits.max_fields} fields")
        if isinstance(value, str) and len(value) > self.limits.max_value_chars:
            raise InvalidResponse(f"value of over {self.limits.max_value_chars} characters")
        self.row[name] = value

    def finish_row(self, app: str = "") -> None:
        """Adds the instance whose fields have been set; `app` is used if it names none itself."""
        row, self.row = self.row, {}
        found = instance_from_row(row, app)
        if found is None:
            self.listing.skipped += 1
            return
        self.check_instance_limit()
        self.add_instance(found)

    def check_instance_limit(self) -> None:
        if len(self.listing.instances) + len(self.listing.others) >= self.limits.max_instances:
            raise InvalidResponse(f"over {self.limits.max_instances} instances")

    def add_other_app(self, app: str, name: object, status: object, action: object) -> None:
        """Adds an instance of another app, of which only the hash needs the status."""
        if not isinstance(name, str) or not name or len(name) > MAX_NAME_CHARS or len(app) > MAX_NAME_CHARS:
            self.listing.skipped += 1
            return
        self.check_instance_limit()
        self.listing.others[app, name] = (parse_status(status), parse_action(action))

    def add_instance(self, found: Instance) -> None:
        listing = self.listing
        listing.clock_ms = max(listing.clock_ms, found.updated_ms, found.renewed_ms, found.registered_ms)
        if found.app == self.app:
            held = listing.instances.get(found.id)
            # A delta can list one id twice, an earlier incarnation after the later one.
            if held is None or found.dirty_ms >= held.dirty_ms:
                listing.instances[found.id] = found
        else:
            listing.others[found.app, found.id] = (found.status, found.action)

    def set_list_field(self, name: str, value: object) -> None:
        """Sets a field of the list itself: `versions__delta`, or else `apps__hashcode`."""
        if name == "versions__delta":
            text = str(value)
            self.listing.version = parse_int(text) if text.isascii() and text.isdigit() else None
        else:
            self.listing.hashcode = str(value) if len(str(value)) <= self.limits.max_value_chars else None


class _Row(msgspec.Struct):
    """The fields read from an instance's JSON; the decoder skips all others."""

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
    """Reads the JSON form: splits it into instances at its brackets and decodes each with msgspec.

    What remains without the instances, the skeleton
    `{"applications":{...,"application":[{"name":"A","instance":[0,0]}]}}`, is decoded at the end: it holds
    the hash, and shows whether the response was complete and of the API's format.  An event parser (ijson
    over yajl) does the same at several times the CPU time, which delays calls on the same event loop.
    Eureka's two JSON codecs differ in whether they write a list of one element as a list; both are read.
    """

    def __init__(self, app: str, limits: ResponseLimits | None = None) -> None:
        self.builder = _ListingBuilder(app, limits or ResponseLimits())
        self.rest = b""
        self.position = 0  # in `rest`: the end of what has been scanned
        self.start = 0  # in `rest`: the start of the instance being read
        self.instance_depth = 0  # brackets open within the instance being read, 0 outside
        self.depth = self.list_depth = 0  # brackets open outside instances; `depth` of a list of instances
        self.skeleton: list[bytes] = []
        self.skeleton_bytes = 0

    def feed(self, data: bytes) -> None:
        """Raises InvalidResponse."""
        self.builder.count_bytes(data)
        if not self.skeleton and not self.rest and data.strip() and data.lstrip()[:1] not in (b"{", b"["):
            raise InvalidResponse(f"not JSON: it begins with {data.lstrip()[:12]!r}")
        buffer, position, next_bracket = self.rest + data, self.position, NEXT_BRACKET.match
        while found := next_bracket(buffer, position):
            end = found.end()
            opens = buffer[end - 1] in OPENING_BRACKETS
            if not self.instance_depth:
                self._scan_skeleton(buffer, position, end, opens)
            elif opens:
                self.instance_depth += 1
            else:
                self.instance_depth -= 1
                if not self.instance_depth:
                    self._decode_instance(buffer[self.start : end])
            position = end
            if self.instance_depth + self.depth > MAX_DEPTH:
                raise InvalidResponse(f"nested over {MAX_DEPTH} levels deep")
        cut = self.start if self.instance_depth else position
        self.rest, self.position, self.start = buffer[cut:], position - cut, 0
        if len(self.rest) > MAX_INSTANCE_BYTES:
            raise InvalidResponse(f"instance or value of over {MAX_INSTANCE_BYTES} bytes")

    def _scan_skeleton(self, buffer: bytes, position: int, end: int, opens: bool) -> None:
        piece = buffer[position:end]
        after_key = opens and INSTANCE_KEY.search(piece) is not None
        if (
            opens
            and piece.endswith(b"{")
            and (after_key or (self.list_depth and self.depth == self.list_depth))
        ):
            self.instance_depth, self.start = 1, end - 1
            piece = piece[:-1] + b"0"
        elif opens:
            self.depth += 1
            if after_key:
                self.list_depth = self.depth
        else:
            if self.depth == self.list_depth:
                self.list_depth = 0
            self.depth -= 1
        self.skeleton.append(piece)
        self.skeleton_bytes += len(piece)
        if self.skeleton_bytes > MAX_SKELETON_BYTES:
            raise InvalidResponse(f"over {MAX_SKELETON_BYTES} bytes outside the instances")

    def _decode_instance(self, data: bytes) -> None:
        try:
            decoded = DECODE_ROW(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            raise InvalidResponse(f"not JSON: {_first_line(problem)}") from None
        builder = self.builder
        if isinstance(decoded.app, str) and decoded.app.upper() != builder.app:
            builder.add_other_app(
                decoded.app.upper(),
                decoded.instanceId or decoded.hostName,
                decoded.status,
                decoded.actionType,
            )
            return
        for name in ROW_FIELDS:
            value = getattr(decoded, name)
            if isinstance(value, dict):
                for key, inner in value.items():
                    builder.set_field(f"{name}.{key}", inner)
            elif value is not None:
                builder.set_field(name, value)
        builder.finish_row()

    def finish(self) -> Listing:
        """Returns the listing.  Raises InvalidResponse if the response is truncated or not one of the API."""
        if self.instance_depth or self.depth:
            raise InvalidResponse("truncated response")
        try:
            decoded = msgspec.json.decode(b"".join(self.skeleton) + self.rest)
        except (msgspec.MsgspecError, UnicodeDecodeError) as problem:
            what = "truncated response" if "truncated" in str(problem) else "not JSON"
            raise InvalidResponse(f"{what}: {_first_line(problem)}") from None
        if not isinstance(decoded, dict) or not any(root in decoded for root in ROOT_NAMES):
            raise InvalidResponse("JSON without any root of the API: applications, application, instance")
        applications = decoded.get("applications")
        for name in ("versions__delta", "apps__hashcode"):
            if isinstance(applications, dict) and isinstance(applications.get(name), str | int):
                self.builder.set_list_field(name, applications[name])
        return self.builder.listing


ROW_FIELDS = _Row.__struct_fields__
DECODE_ROW = msgspec.json.Decoder(_Row).decode


class XmlReader:
    """Reads the XML form with expat.

    A document type is refused, because its entities could expand without bound.
    """

    def __init__(self, app: str, limits: ResponseLimits | None = None) -> None:
        self.builder = _ListingBuilder(app, limits or ResponseLimits())
        self.path: list[str] = []
        self.text: list[str] = []
        self.text_chars = 0
        self.instance_depth = 0  # length of `path` at the instance being read, 0 outside
        self.app = ""
        self.parser = expat.ParserCreate()
        self.parser.buffer_text = True
        self.parser.StartElementHandler = self._start
        self.parser.EndElementHandler = self._end
        self.parser.CharacterDataHandler = self._chars
        self.parser.StartDoctypeDeclHandler = self._doctype

    def _doctype(self, *_: object) -> None:
        raise InvalidResponse("found an XML document type; allowed: none")

    def feed(self, data: bytes) -> None:
        """Raises InvalidResponse."""
        self.builder.count_bytes(data)
        try:
            self.parser.Parse(data, False)
        except expat.ExpatError as problem:
            raise InvalidResponse(f"not XML: {problem}") from None

    def _start(self, name: str, attributes: dict[str, str]) -> None:
        if not self.path and name not in ROOT_NAMES:
            raise InvalidResponse(
                f"XML with root <{name[:40]}>; allowed: applications, application, instance"
            )
        self.path.append(name)
        if len(self.path) > MAX_DEPTH:
            raise InvalidResponse(f"nested over {MAX_DEPTH} levels deep")
        self.text, self.text_chars = [], 0
        if self.instance_depth:
            for key, value in attributes.items():
                self.builder.set_field(f"{'.'.join(self.path[self.instance_depth :])}.@{key}", value)
        elif name == "instance":
            self.instance_depth = len(self.path)

    def _chars(self, data: str) -> None:
        self.text_chars += len(data)
        if self.text_chars > self.builder.limits.max_value_chars:
            raise InvalidResponse(f"value of over {self.builder.limits.max_value_chars} characters")
        self.text.append(data)

    def _end(self, name: str) -> None:
        text = "".join(self.text).strip()
        self.text, self.text_chars = [], 0
        if self.instance_depth and len(self.path) == self.instance_depth:
            self.instance_depth = 0
            self.builder.finish_row(self.app)
        elif self.instance_depth:
            if text:
                self.builder.set_field(".".join(self.path[self.instance_depth :]), text)
        elif name in ("versions__delta", "apps__hashcode"):
            self.builder.set_list_field(name, text)
        elif name == "name" and self.path[-2:-1] == ["application"]:
            self.app = text
        self.path.pop()

    def finish(self) -> Listing:
        """Returns the listing.  Raises InvalidResponse if the response is truncated."""
        try:
            self.parser.Parse(b"", True)
        except expat.ExpatError as problem:
            raise InvalidResponse(f"truncated response: {problem}") from None
        return self.builder.listing


def _first_line(problem: BaseException) -> str:
    lines = str(problem).strip().splitlines()
    return lines[0][:80] if lines else type(problem).__name__


def reader_for(content_type: str, app: str, limits: ResponseLimits | None = None) -> Reader:
    """The reader for a Content-Type.  Raises InvalidResponse for any other, such as a proxy's HTML."""
    media_type = content_type.partition(";")[0].strip().lower()
    if media_type in ("application/json", "text/json") or media_type.endswith("+json"):
        return JsonReader(app, limits)
    if media_type in ("application/xml", "text/xml"):
        return XmlReader(app, limits)
    raise InvalidResponse(
        f"Content-Type {media_type[:60] or 'missing'}; allowed: application/json, application/xml"
    )
