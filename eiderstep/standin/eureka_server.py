"""The HTTP server of a Eureka peer: the REST API over a lease table, with faults that a script injects."""

from __future__ import annotations

import asyncio
import gzip
import ssl
from collections.abc import Callable
from copy import copy
from email.utils import formatdate
from typing import Any
from urllib.parse import parse_qs, unquote

import httptools
import msgspec

from eiderstep.standin.eureka import InstanceRecord, LeaseTable, apps_hashcode, render_response

REGISTRY_FAULTS = {
    "lists_gone": "removed instances stay in the responses",
    "drops_living": "the affected instances are left out of every response",
    "goes_back": "every other response has the list and version of when the fault began",
    "wrong_hash": "apps__hashcode never matches the list",
    "half_answer": "the connection is closed in the middle of the body",
    "html": "200 with an HTML page",
    "html_as_json": "200 with an HTML page labelled as JSON",
    "drip": "responses are sent a few bytes at a time",
    "silence": "requests are not answered",
    "refuse": "connections are reset",
    "storm": "503 to every request",
    "empty": "an empty list",
    "restart": "a restart with an empty table",
    "unnamed": "the metadata of the affected instances are malformed",
}
HTML = b"<!DOCTYPE html><html><body><h1>It works</h1></body></html>\n"
DRIP_BYTES = 16
DRIP_GAP = 0.2  # seconds


class _Connection(asyncio.Protocol):
    def __init__(self, server: EurekaServer) -> None:
        self.server = server
        self.transport: Any = None
        self.drip_timer: asyncio.TimerHandle | None = None
        self._reset_parser()

    def _reset_parser(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.body, self.headers = b"", b"", {}  # type: ignore[var-annotated]

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.server.connections.append(self)
        if self.server.fault == "refuse":
            transport.abort()

    def data_received(self, data: bytes) -> None:
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            self.transport.close()

    def on_url(self, url: bytes) -> None:
        self.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        self.headers[name.decode().lower()] = value.decode()

    def on_body(self, body: bytes) -> None:
        self.body += body

    def on_message_complete(self) -> None:
        method = self.parser.get_method().decode()
        url, body, headers = self.url.decode(), self.body, self.headers
        self.url, self.body, self.headers = b"", b"", {}
        self.server.handle_request(self, method, url, headers, body)

    def respond(
        self, status: int, body: bytes = b"", content_type: str = "application/json", **extra_headers: str
    ) -> None:
        server = self.server
        head = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'No'}", f"Content-Length: {len(body)}"]
        head.append(f"Date: {formatdate(server.table.clock_ms() / 1000, usegmt=True)}")
        if body:
            head.append(f"Content-Type: {content_type}")
        head += [f"{name.replace('_', '-')}: {value}" for name, value in extra_headers.items()]
        data = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        server.sent_bytes += len(data)
        if server.fault == "half_answer" and body:
            self.transport.write(data[: len(data) - len(body) // 2])
            self.transport.close()
        elif server.fault == "drip":
            self._drip(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def _drip(self, data: bytes) -> None:
        if data and not self.transport.is_closing():
            self.transport.write(data[:DRIP_BYTES])
            self.drip_timer = self.server.loop.call_later(DRIP_GAP, self._drip, data[DRIP_BYTES:])

    def connection_lost(self, exc: Exception | None) -> None:
        if self.drip_timer is not None:
            self.drip_timer.cancel()
        if self in self.server.connections:
            self.server.connections.remove(self)


class EurekaServer:
    """One registry peer on one listening socket.

    `fault` is the injected fault or empty; `affected_ids` are the ids of the instances that it concerns.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, table: LeaseTable, path: str = "/eureka", etags: bool = True
    ) -> None:
        self.loop, self.table, self.path, self.etags = loop, table, path, etags
        self.fault = ""
        self.affected_ids: frozenset[str] = frozenset()
        self.frozen_view: tuple[list[InstanceRecord], int] | None = None
        self.connections: list[_Connection] = []
        self.requests: list[tuple[float, str, str]] = []
        self.sent_bytes = 0
        self.view_count = 0
        self.body_cache: dict[tuple[Any, ...], bytes] = {}
        self.server: Any = None
        self.address = ""
        self.closed = False

    async def listen(self, context: ssl.SSLContext | None = None, eviction_interval: float = 0.0) -> str:
        """Listen and return the address.  Expired leases are evicted at the interval (s), 0 for never."""
        options: dict[str, Any] = {"ssl": context} if context is not None else {}
        self.server = await self.loop.create_server(lambda: _Connection(self), "127.0.0.1", 0, **options)
        bound = self.server.sockets[0].getsockname()
        self.address = f"{bound[0]}:{bound[1]}"
        if eviction_interval:
            self._evict_periodically(eviction_interval)
        return self.address

    def _evict_periodically(self, interval: float) -> None:
        if not self.closed:
            self.table.evict_expired()
            self.loop.call_later(interval, self._evict_periodically, interval)

    def set_fault(self, fault: str, affected_ids: frozenset[str] = frozenset()) -> None:
        """Begin a fault, or end the present one if `fault` is empty.  Raises ValueError if it is unknown."""
        if fault and fault not in REGISTRY_FAULTS:
            raise ValueError(f"lie {fault!r}; allowed: {', '.join(REGISTRY_FAULTS)}")
        self.fault, self.affected_ids = fault, affected_ids
        self.table.hides_removals = fault == "lists_gone"
        self.frozen_view = ([copy(record) for record in self.table.published.values()], self.table.version)
        if fault == "restart":
            self.table.restart()
            self.fault = ""
            self.reset_connections()
        elif fault == "refuse":
            self.reset_connections()

    def reset_connections(self) -> None:
        for connection in list(self.connections):
            connection.transport.abort()

    # -- requests ------------------------------------------------------------------------------------------

    def handle_request(
        self, connection: _Connection, method: str, url: str, headers: dict[str, str], body: bytes
    ) -> None:
        self.requests.append((self.loop.time(), method, url))
        if self.fault == "silence":
            return
        if self.fault == "storm":
            connection.respond(503)
            return
        if self.fault in ("html", "html_as_json"):
            connection.respond(200, HTML, "text/html" if self.fault == "html" else "application/json")
            return
        path, _, query = url.partition("?")
        parts = [unquote(p) for p in path.removeprefix(self.path).strip("/").split("/")]
        args = {name: values[0] for name, values in parse_qs(query).items()}
        if not path.startswith(self.path):
            connection.respond(404)
        elif method == "GET":
            self._handle_get(connection, parts, headers)
        else:
            connection.respond(self._apply_change(method, parts, args, body))

    def _apply_change(self, method: str, parts: list[str], args: dict[str, str], body: bytes) -> int:
        table = self.table
        if method == "POST" and parts[0] == "apps" and len(parts) == 2:
            try:
                table.register(self._decode_record(body, parts[1]))
            except (KeyError, TypeError, ValueError, msgspec.MsgspecError):
                return 400
            return 204
        if parts[0] != "apps" or len(parts) < 3:
            return 405
        app, name = parts[1].upper(), parts[2]
        change: Callable[[], bool]
        if parts[3:] == ["status"]:
            status = args.get("value", "") if method == "PUT" else ""
            change = lambda: table.set_status_override(app, name, status)  # noqa: E731
        elif parts[3:] == ["metadata"] and method == "PUT":
            change = lambda: self._update_metadata(app, name, args)  # noqa: E731
        elif method == "PUT" and len(parts) == 3:
            change = lambda: table.renew(app, name)  # noqa: E731
        elif method == "DELETE" and len(parts) == 3:
            change = lambda: table.cancel(app, name)  # noqa: E731
        else:
            return 405
        return 200 if change() else 404

    def _update_metadata(self, app: str, name: str, args: dict[str, str]) -> bool:
        held = self.table.leases.get((app, name))
        if held is None:
            return False
        changed = copy(held)
        changed.metadata = held.metadata | args
        self.table.register(changed)
        return True

    def _decode_record(self, body: bytes, app: str) -> InstanceRecord:
        instance = msgspec.json.decode(body, type=dict[str, Any])["instance"]
        lease = instance.get("leaseInfo", {})
        if str(instance["app"]).upper() != app.upper():
            raise ValueError("app of the instance differs from the app in the path")
        return InstanceRecord(
            app.upper(), str(instance["instanceId"]), str(instance["ipAddr"]), int(instance["port"]["$"]),
            {str(k): str(v) for k, v in instance.get("metadata", {}).items()}, str(instance["status"]),
            vip=str(instance.get("vipAddress", "")), dirty_timestamp=int(instance["lastDirtyTimestamp"]),
            renewal_interval=int(lease.get("renewalIntervalInSecs", 30)),
            lease_duration=int(lease.get("durationInSecs", 90)),
        )  # fmt: skip

    # -- lists and deltas ----------------------------------------------------------------------------------

    def _current_view(self) -> tuple[list[InstanceRecord], list[InstanceRecord], int, str]:
        """Return the list, the delta, the version and the hash to respond with, as changed by the fault."""
        table = self.table
        listed, delta, version = list(table.published.values()), table.delta(), table.version
        self.view_count += 1
        if self.fault == "goes_back" and self.frozen_view is not None and self.view_count % 2:
            listed, version = self.frozen_view
            delta = listed
        elif self.fault == "empty":
            listed, delta = [], []
        elif self.fault == "drops_living":
            listed = [record for record in listed if record.id not in self.affected_ids]
            delta = [record for record in delta if record.id not in self.affected_ids]
            for instance_id in self.affected_ids:
                dropped = next((r for r in table.published.values() if r.id == instance_id), None)
                if dropped is not None:
                    tombstone = copy(dropped)
                    tombstone.action = "DELETED"
                    delta.append(tombstone)
        elif self.fault == "unnamed":
            for records in (listed, delta):
                for i, record in enumerate(records):
                    if record.id in self.affected_ids:
                        records[i] = copy(record)
                        records[i].metadata = {"exchange": "sixty-one", "district": "", "started": "now"}
        return listed, delta, version, "WRONG_1_" if self.fault == "wrong_hash" else apps_hashcode(listed)

    def _handle_get(self, connection: _Connection, parts: list[str], headers: dict[str, str]) -> None:
        form = "xml" if "xml" in headers.get("accept", "") else "json"
        compress = "gzip" in headers.get("accept-encoding", "")
        listed, delta, version, hashcode = self._current_view()
        root, records = "applications", listed
        if parts == ["apps", "delta"]:
            records = delta
        elif parts[0] == "apps" and len(parts) == 2:
            records, root = [r for r in listed if r.app == parts[1].upper()], "application"
        elif (parts[0] == "apps" and len(parts) == 3) or (parts[0] == "instances" and len(parts) == 2):
            records, root = [r for r in listed if r.id == parts[-1]], "instance"
        elif parts[0] in ("vips", "svips") and len(parts) == 2:
            records = [r for r in listed if (r.vip or r.app.lower()) == parts[1]]
            hashcode = apps_hashcode(records)
        elif parts != ["apps"]:
            connection.respond(404)
            return
        if root != "applications" and not records:
            connection.respond(404)
            return
        self.send_list(
            connection, "/".join(parts), records, (form, compress, version, hashcode, root), headers
        )

    def send_list(
        self, connection: _Connection, path: str, records: list[InstanceRecord],
        shape: tuple[str, bool, int, str, str], headers: dict[str, str],
    ) -> None:  # fmt: skip
        """Respond with a list; bodies are cached, so that equal requests are rendered once.

        `shape`: form, whether to compress, version, hash and root element.
        """
        form, compress, version, hashcode, root = shape
        tag = f'"{path}-{self.table.revision}-{version}-{hashcode}-{len(records)}"'
        if self.etags and not self.fault and headers.get("if-none-match") == tag:
            connection.respond(304, ETag=tag)
            return
        key = (tag, shape) if not self.fault else None
        body = self.body_cache.get(key) if key is not None else None
        if body is None:
            body = render_response(records, form, version, hashcode, root)
            if compress:
                body = gzip.compress(body, 6, mtime=0)
            if key is not None:
                if len(self.body_cache) > 16:
                    self.body_cache.clear()
                self.body_cache[key] = body
        extra_headers = {"Content_Encoding": "gzip"} if compress else {}
        if self.etags and not self.fault:
            extra_headers["ETag"] = tag
        connection.respond(200, body, f"application/{form}", **extra_headers)

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        self.reset_connections()
