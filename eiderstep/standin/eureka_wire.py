"""A Eureka registry on a socket: the REST API over `eureka.Table`, and scripted lies."""

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

from eiderstep.standin.eureka import Record, Table, hash_of, render

LIES = {
    "lists_gone": "departures are never shown",
    "drops_living": "the victims are left out of every answer",
    "goes_back": "every other answer is the one of when the lie began, with its version",
    "wrong_hash": "a hash that never fits",
    "half_answer": "the connection ends in the middle of the body",
    "html": "200 with a page of HTML",
    "html_as_json": "the same, called JSON",
    "drip": "a few bytes at a time",
    "silence": "no answer at all",
    "refuse": "connections are reset",
    "storm": "503 to everything",
    "empty": "a list of nothing",
    "restart": "a restart with an empty table",
    "unnamed": "the victims' metadata are malformed",
}
HTML = b"<!DOCTYPE html><html><body><h1>It works</h1></body></html>\n"
DRIP = 16  # bytes
DRIP_GAP = 0.2  # seconds


class _Client(asyncio.Protocol):
    def __init__(self, server: Eureka) -> None:
        self.server = server
        self.transport: Any = None
        self.dripping: asyncio.TimerHandle | None = None
        self._fresh()

    def _fresh(self) -> None:
        self.parser = httptools.HttpRequestParser(self)
        self.url, self.body, self.headers = b"", b"", {}  # type: ignore[var-annotated]

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        self.server.clients.append(self)
        if self.server.lie == "refuse":
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
        self.server.asked(self, method, url, headers, body)

    def answer(self, status: int, body: bytes = b"", kind: str = "application/json", **more: str) -> None:
        server = self.server
        head = [f"HTTP/1.1 {status} {'OK' if status < 300 else 'No'}", f"Content-Length: {len(body)}"]
        head.append(f"Date: {formatdate(server.table.epoch() / 1000, usegmt=True)}")
        if body:
            head.append(f"Content-Type: {kind}")
        head += [f"{name.replace('_', '-')}: {value}" for name, value in more.items()]
        data = "\r\n".join(head).encode() + b"\r\n\r\n" + body
        server.bytes += len(data)
        if server.lie == "half_answer" and body:
            self.transport.write(data[: len(data) - len(body) // 2])
            self.transport.close()
        elif server.lie == "drip":
            self._drip(data)
        elif not self.transport.is_closing():
            self.transport.write(data)

    def _drip(self, data: bytes) -> None:
        if data and not self.transport.is_closing():
            self.transport.write(data[:DRIP])
            self.dripping = self.server.loop.call_later(DRIP_GAP, self._drip, data[DRIP:])

    def connection_lost(self, exc: Exception | None) -> None:
        if self.dripping is not None:
            self.dripping.cancel()
        if self in self.server.clients:
            self.server.clients.remove(self)


class Eureka:
    """One registry on one socket.  `lie` is one of LIES or empty; `victims` are ids."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, table: Table, path: str = "/eureka", etags: bool = True
    ) -> None:
        self.loop, self.table, self.path, self.etags = loop, table, path, etags
        self.lie = ""
        self.victims: frozenset[str] = frozenset()
        self.frozen: tuple[list[Record], int] | None = None
        self.clients: list[_Client] = []
        self.requests: list[tuple[float, str, str]] = []
        self.bytes = 0
        self.turn = 0
        self.packed: dict[tuple[Any, ...], bytes] = {}
        self.server: Any = None
        self.address = ""
        self.closed = False

    async def listen(self, context: ssl.SSLContext | None = None, sweep: float = 0.0) -> str:
        """`sweep`: evict so often (s), 0 for never."""
        extra: dict[str, Any] = {"ssl": context} if context is not None else {}
        self.server = await self.loop.create_server(lambda: _Client(self), "127.0.0.1", 0, **extra)
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        if sweep:
            self._sweep(sweep)
        return self.address

    def _sweep(self, gap: float) -> None:
        if not self.closed:
            self.table.evict()
            self.loop.call_later(gap, self._sweep, gap)

    def tell_lies(self, lie: str, victims: frozenset[str] = frozenset()) -> None:
        """Begin a lie, or end it with an empty one."""
        if lie and lie not in LIES:
            raise ValueError(f"lie {lie!r}; allowed: {', '.join(LIES)}")
        self.lie, self.victims = lie, victims
        self.table.keeps_gone = lie == "lists_gone"
        self.frozen = ([copy(r) for r in self.table.shown.values()], self.table.version)
        if lie == "restart":
            self.table.restart()
            self.lie = ""
            self.drop_all()
        elif lie == "refuse":
            self.drop_all()

    def drop_all(self) -> None:
        for client in list(self.clients):
            client.transport.abort()

    # -- requests ------------------------------------------------------------------------------------------

    def asked(self, client: _Client, method: str, url: str, headers: dict[str, str], body: bytes) -> None:
        self.requests.append((self.loop.time(), method, url))
        if self.lie == "silence":
            return
        if self.lie == "storm":
            client.answer(503)
            return
        if self.lie in ("html", "html_as_json"):
            client.answer(200, HTML, "text/html" if self.lie == "html" else "application/json")
            return
        path, _, query = url.partition("?")
        parts = [unquote(p) for p in path.removeprefix(self.path).strip("/").split("/")]
        args = {name: values[0] for name, values in parse_qs(query).items()}
        if not path.startswith(self.path):
            client.answer(404)
        elif method == "GET":
            self._get(client, parts, headers)
        else:
            client.answer(self._change(method, parts, args, body))

    def _change(self, method: str, parts: list[str], args: dict[str, str], body: bytes) -> int:
        table = self.table
        if method == "POST" and parts[0] == "apps" and len(parts) == 2:
            try:
                table.register(self._record(body, parts[1]))
            except (KeyError, TypeError, ValueError, msgspec.MsgspecError):
                return 400
            return 204
        if parts[0] != "apps" or len(parts) < 3:
            return 405
        app, name = parts[1].upper(), parts[2]
        what: Callable[[], bool]
        if parts[3:] == ["status"]:
            status = args.get("value", "") if method == "PUT" else ""
            what = lambda: table.override(app, name, status)  # noqa: E731
        elif parts[3:] == ["metadata"] and method == "PUT":
            what = lambda: self._metadata(app, name, args)  # noqa: E731
        elif method == "PUT" and len(parts) == 3:
            what = lambda: table.renew(app, name)  # noqa: E731
        elif method == "DELETE" and len(parts) == 3:
            what = lambda: table.cancel(app, name)  # noqa: E731
        else:
            return 405
        return 200 if what() else 404

    def _metadata(self, app: str, name: str, args: dict[str, str]) -> bool:
        held = self.table.leases.get((app, name))
        if held is None:
            return False
        changed = copy(held)
        changed.metadata = held.metadata | args
        self.table.register(changed)
        return True

    def _record(self, body: bytes, app: str) -> Record:
        told = msgspec.json.decode(body, type=dict[str, Any])["instance"]
        lease = told.get("leaseInfo", {})
        if str(told["app"]).upper() != app.upper():
            raise ValueError("another app than the path's")
        return Record(
            app.upper(), str(told["instanceId"]), str(told["ipAddr"]), int(told["port"]["$"]),
            {str(k): str(v) for k, v in told.get("metadata", {}).items()}, str(told["status"]),
            vip=str(told.get("vipAddress", "")), dirty=int(told["lastDirtyTimestamp"]),
            renew=int(lease.get("renewalIntervalInSecs", 30)), duration=int(lease.get("durationInSecs", 90)),
        )  # fmt: skip

    # -- lists ---------------------------------------------------------------------------------------------

    def _picture(self) -> tuple[list[Record], list[Record], int, str]:
        """What is shown now: the list, the delta, version and hash, as the lie has them."""
        table = self.table
        shown, delta, version = list(table.shown.values()), table.changed(), table.version
        self.turn += 1
        if self.lie == "goes_back" and self.frozen is not None and self.turn % 2:
            shown, version = self.frozen
            delta = shown
        elif self.lie == "empty":
            shown, delta = [], []
        elif self.lie == "drops_living":
            shown = [r for r in shown if r.id not in self.victims]
            delta = [r for r in delta if r.id not in self.victims]
            for one in self.victims:
                gone = next((r for r in table.shown.values() if r.id == one), None)
                if gone is not None:
                    mark = copy(gone)
                    mark.action = "DELETED"
                    delta.append(mark)
        elif self.lie == "unnamed":
            for records in (shown, delta):
                for i, r in enumerate(records):
                    if r.id in self.victims:
                        records[i] = copy(r)
                        records[i].metadata = {"exchange": "sixty-one", "district": "", "started": "now"}
        return shown, delta, version, "WRONG_1_" if self.lie == "wrong_hash" else hash_of(shown)

    def _get(self, client: _Client, parts: list[str], headers: dict[str, str]) -> None:
        form = "xml" if "xml" in headers.get("accept", "") else "json"
        pack = "gzip" in headers.get("accept-encoding", "")
        shown, delta, version, hashcode = self._picture()
        root, records = "applications", shown
        if parts == ["apps", "delta"]:
            records = delta
        elif parts[0] == "apps" and len(parts) == 2:
            records, root = [r for r in shown if r.app == parts[1].upper()], "application"
        elif (parts[0] == "apps" and len(parts) == 3) or (parts[0] == "instances" and len(parts) == 2):
            records, root = [r for r in shown if r.id == parts[-1]], "instance"
        elif parts[0] in ("vips", "svips") and len(parts) == 2:
            records = [r for r in shown if (r.vip or r.app.lower()) == parts[1]]
            hashcode = hash_of(records)
        elif parts != ["apps"]:
            client.answer(404)
            return
        if root != "applications" and not records:
            client.answer(404)
            return
        self.send(client, "/".join(parts), records, (form, pack, version, hashcode, root), headers)

    def send(
        self, client: _Client, what: str, records: list[Record], shape: tuple[str, bool, int, str, str],
        headers: dict[str, str],
    ) -> None:  # fmt: skip
        """An answer, made once for all who ask for the same."""
        form, pack, version, hashcode, root = shape
        tag = f'"{what}-{self.table.stamp}-{version}-{hashcode}-{len(records)}"'
        if self.etags and not self.lie and headers.get("if-none-match") == tag:
            client.answer(304, ETag=tag)
            return
        key = (tag, shape) if not self.lie else None
        body = self.packed.get(key) if key is not None else None
        if body is None:
            body = render(records, form, version, hashcode, root)
            if pack:
                body = gzip.compress(body, 6, mtime=0)
            if key is not None:
                if len(self.packed) > 16:
                    self.packed.clear()
                self.packed[key] = body
        more = {"Content_Encoding": "gzip"} if pack else {}
        if self.etags and not self.lie:
            more["ETag"] = tag
        client.answer(200, body, f"application/{form}", **more)

    def close(self) -> None:
        self.closed = True
        if self.server is not None:
            self.server.close()
        self.drop_all()
