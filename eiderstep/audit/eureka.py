"""Reads the responses of a Eureka registry from a capture.  Shares no code with the registry client.

A response counts from the time of its last byte.  It is ignored if it is incomplete, malformed, empty, or a
full list with less than half of the largest number of instances that this registry has listed.
"""

from __future__ import annotations

import zlib
from dataclasses import dataclass
from typing import Any
from xml.etree import ElementTree

import httptools
import msgspec


@dataclass(frozen=True)
class Instance:
    """One instance of a response.

    `office` is its address; `removed` is set if a delta reports it as deleted; `started` is the start time in
    its metadata, unparsed.
    """

    office: str
    up: bool
    removed: bool
    started: str

    @property
    def start_order(self) -> int:
        """The start time as a sort key; -1, older than any valid one, if it is not a number."""
        return int(self.started) if self.started.isascii() and self.started.isdigit() else -1


@dataclass(frozen=True)
class RegistryResponse:
    """One response.

    `is_full`: it is a full list, in which a missing instance is gone; otherwise it is a delta.
    """

    is_full: bool
    instances: dict[str, Instance]


class ResponseStream:
    """The successive connections of one call server to one registry address."""

    def __init__(self) -> None:
        self.requested_paths: list[str] = []  # of pending requests; "" if not a GET
        self.max_instances = 0  # largest full list so far
        self.completed: list[RegistryResponse] = []
        self._reset()

    def _reset(self) -> None:
        self.parser: Any = httptools.HttpResponseParser(self)
        self.headers: dict[str, str] = {}
        self.body = b""

    def feed(self, event: str, data: bytes) -> list[RegistryResponse]:
        """Process one record of the capture; return the responses that it completes."""
        if event == "up":
            self.requested_paths.clear()
            self._reset()
        elif event == "out":
            line = data.split(b"\r\n", 1)[0].decode("latin-1").split(" ")
            self.requested_paths.append(line[1] if line[0] == "GET" and len(line) == 3 else "")
        elif event == "in":
            try:
                self.parser.feed_data(data)
            except httptools.HttpParserError:
                self._reset()
        completed, self.completed = self.completed, []
        return completed

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        status, headers, body = self.parser.get_status_code(), self.headers, self.body
        path = self.requested_paths.pop(0) if self.requested_paths else ""
        self._reset()
        if status != 200 or not path:
            return
        instances = decode_instances(headers, body)
        if instances is None:
            return
        is_full = not path.endswith("/delta")
        if is_full:
            self.max_instances = max(self.max_instances, len(instances))
            if 2 * len(instances) < self.max_instances or not instances:
                return
        self.completed.append(RegistryResponse(is_full, instances))


def decode_instances(headers: dict[str, str], body: bytes) -> dict[str, Instance] | None:
    """The instances of a response by address, or None if the body cannot be decoded.

    Of several instances at one address, the one with the latest start is returned.
    """
    try:
        if headers.get("content-encoding") == "gzip":
            body = zlib.decompress(body, 16 + zlib.MAX_WBITS)
        if "json" in headers.get("content-type", ""):
            instances = _instances_from_json(msgspec.json.decode(body))
        else:
            instances = _instances_from_xml(ElementTree.fromstring(body))
    except (zlib.error, msgspec.MsgspecError, ElementTree.ParseError, KeyError, TypeError, AttributeError):
        return None
    by_office: dict[str, Instance] = {}
    for instance in instances:
        previous = by_office.get(instance.office)
        if previous is None or instance.start_order >= previous.start_order:
            by_office[instance.office] = instance
    return by_office


def _as_list(value: Any) -> list[Any]:
    return value if isinstance(value, list) else [value]


def _instances_from_json(document: Any) -> list[Instance]:
    apps = document["applications"]["application"] if "applications" in document else document["application"]
    instances = []
    for app in _as_list(apps):
        for item in _as_list(app["instance"]):
            office = f"{item['ipAddr']}:{item['port']['$']}"
            removed = item.get("actionType") == "DELETED"
            instances.append(
                Instance(office, item["status"] == "UP", removed, str(item["metadata"].get("started", "")))
            )
    return instances


def _instances_from_xml(root: ElementTree.Element) -> list[Instance]:
    instances = []
    for item in root.iter("instance"):
        office = f"{item.findtext('ipAddr')}:{item.findtext('port')}"
        removed = item.findtext("actionType") == "DELETED"
        instances.append(
            Instance(
                office, item.findtext("status") == "UP", removed, item.findtext("metadata/started") or ""
            )
        )
    return instances
