"""A Eureka registry's tables: leases, what is shown of them and when, deltas, peers.  Wire: eureka_wire.py.

As in the original, what is answered comes from a cache: a change is shown `lag` after it was made, reaches
the other peers `replication` later, and stays in the delta for `retention`.  Leases that are over are evicted
unless too many are (Eureka's own self-preservation).
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from copy import copy
from dataclasses import dataclass, field
from typing import Any
from xml.sax.saxutils import escape

import msgspec

PRESERVED = 0.85  # of the leases must be renewed, or none is evicted


@dataclass
class Record:
    """One registered instance.  Times in ms of the registry's clock; `dirty` of the instance's."""

    app: str
    id: str
    host: str
    port: int
    metadata: dict[str, str] = field(default_factory=dict)
    status: str = "UP"
    override: str = ""
    vip: str = ""
    dirty: int = 0
    updated: int = 0
    registered: int = 0
    renewed: int = 0
    renew: int = 30
    duration: int = 90
    action: str = "ADDED"

    @property
    def shown(self) -> str:
        return self.override or self.status


def as_json(record: Record) -> dict[str, Any]:
    """In the form of Eureka's JSON codec: numbers as strings here and there, `$` and `@` from its XML."""
    return {
        "instanceId": record.id, "hostName": record.host, "app": record.app, "ipAddr": record.host,
        "status": record.shown, "overriddenStatus": record.override or "UNKNOWN",
        "port": {"$": record.port, "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1,
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn",
        },
        "leaseInfo": {
            "renewalIntervalInSecs": record.renew, "durationInSecs": record.duration,
            "registrationTimestamp": record.registered, "lastRenewalTimestamp": record.renewed,
            "evictionTimestamp": 0, "serviceUpTimestamp": record.registered,
        },
        "metadata": record.metadata or {"@class": "java.util.Collections$EmptyMap"},
        "homePageUrl": f"http://{record.host}:{record.port}/",
        "statusPageUrl": f"http://{record.host}:{record.port}/info",
        "healthCheckUrl": f"http://{record.host}:{record.port}/health",
        "vipAddress": record.vip or record.app.lower(), "secureVipAddress": record.vip or record.app.lower(),
        "isCoordinatingDiscoveryServer": "false", "lastUpdatedTimestamp": str(record.updated),
        "lastDirtyTimestamp": str(record.dirty), "actionType": record.action,
    }  # fmt: skip


def _element(name: str, value: Any) -> str:
    if not isinstance(value, dict):
        return f"<{name}>{escape(str(value))}</{name}>"
    marks = "".join(f' {key[1:]}="{escape(str(v))}"' for key, v in value.items() if key.startswith("@"))
    if "$" in value:
        return f"<{name}{marks}>{escape(str(value['$']))}</{name}>"
    inner = "".join(_element(key, v) for key, v in value.items() if not key.startswith("@"))
    return f"<{name}{marks}>{inner}</{name}>"


def render(
    records: list[Record], form: str, version: int, hashcode: str, root: str = "applications"
) -> bytes:
    """An answer.  `root`: applications, or application or instance for one."""
    if root == "instance":
        one = as_json(records[0])
        return (
            msgspec.json.encode({"instance": one}) if form == "json" else _element("instance", one).encode()
        )
    apps: dict[str, list[dict[str, Any]]] = {}
    for record in records:
        apps.setdefault(record.app, []).append(as_json(record))
    if form == "json":
        shown: list[dict[str, Any]] = [{"name": name, "instance": found} for name, found in apps.items()]
        if root == "application":
            return msgspec.json.encode({"application": shown[0]})
        head = {"versions__delta": str(version), "apps__hashcode": hashcode, "application": shown}
        return msgspec.json.encode({"applications": head})
    parts = []
    for name, found in apps.items():
        inside = "".join(_element("instance", one) for one in found)
        parts.append(f"<application><name>{escape(name)}</name>{inside}</application>")
    if root == "application":
        return parts[0].encode()
    head_xml = f"<versions__delta>{version}</versions__delta><apps__hashcode>{hashcode}</apps__hashcode>"
    return f"<applications>{head_xml}{''.join(parts)}</applications>".encode()


class Table:
    """One peer's leases and what it shows."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, epoch: Callable[[], int], lag: float = 0.0,
        replication: float = 0.05, retention: float = 180.0,
    ) -> None:  # fmt: skip
        self.loop, self.epoch = loop, epoch
        self.lag, self.replication, self.retention = lag, replication, retention
        self.leases: dict[tuple[str, str], Record] = {}
        self.shown: dict[tuple[str, str], Record] = {}
        self.recent: deque[tuple[float, Record]] = deque()
        self.version = 1
        self.stamp = 0  # moves with anything that an answer shows
        self.peers: list[Table] = []
        self.keeps_gone = False  # a lie: departures are never shown
        self.evictions = 0

    # -- what clients do -----------------------------------------------------------------------------------

    def register(self, record: Record, replicated: bool = False) -> None:
        """POST: a new lease, or a new word on one; an older `dirty` than the one held changes nothing."""
        key = (record.app, record.id)
        held = self.leases.get(key)
        if held is not None and held.dirty > record.dirty:
            return
        mine = copy(record)
        mine.registered = mine.renewed = mine.updated = self.epoch()
        mine.override = held.override if held is not None else ""
        mine.action = "ADDED"
        self.leases[key] = mine
        self._show(mine)
        self._replicate(replicated, lambda peer: peer.register(record, True))

    def renew(self, app: str, name: str, replicated: bool = False) -> bool:
        """PUT: False is 404, register anew."""
        held = self.leases.get((app, name))
        if held is None:
            return False
        held.renewed = self.epoch()
        shown = self.shown.get((app, name))
        if shown is not None:
            shown.renewed = held.renewed
            self.stamp += 1
        self._replicate(replicated, lambda peer: peer.renew(app, name, True))
        return True

    def override(self, app: str, name: str, status: str, replicated: bool = False) -> bool:
        """PUT or DELETE of the status: the operators' word, empty to take it back."""
        held = self.leases.get((app, name))
        if held is None:
            return False
        held.override, held.updated, held.action = status, self.epoch(), "MODIFIED"
        self._show(held)
        self._replicate(replicated, lambda peer: peer.override(app, name, status, True))
        return True

    def cancel(self, app: str, name: str, replicated: bool = False) -> bool:
        """DELETE: the lease ends."""
        held = self.leases.pop((app, name), None)
        if held is None:
            return False
        held.updated, held.action = self.epoch(), "DELETED"
        self._show(held)
        self._replicate(replicated, lambda peer: peer.cancel(app, name, True))
        return True

    def evict(self) -> int:
        """End the leases that are over; none where that is most of them."""
        now = self.epoch()
        over = [key for key, r in self.leases.items() if now - r.renewed > 1000 * r.duration]
        if len(over) > (1 - PRESERVED) * len(self.leases) + 1:
            return 0
        for key in over:
            self.cancel(*key, replicated=True)
        self.evictions += len(over)
        return len(over)

    def restart(self) -> None:
        """Back with an empty table."""
        self.leases.clear()
        self.shown.clear()
        self.recent.clear()
        self.version, self.stamp = 1, self.stamp + 1

    # -- what is shown of it -------------------------------------------------------------------------------

    def _replicate(self, replicated: bool, what: Callable[[Table], object]) -> None:
        for peer in [] if replicated else self.peers:
            self.loop.call_later(self.replication, what, peer)

    def _show(self, record: Record) -> None:
        picture = copy(record)
        if self.lag:
            self.loop.call_later(self.lag, self._shown, picture)
        else:
            self._shown(picture)

    def _shown(self, record: Record) -> None:
        key = (record.app, record.id)
        if record.action == "DELETED":
            if self.keeps_gone:
                return
            self.shown.pop(key, None)
        else:
            self.shown[key] = record
        self.recent.append((self.loop.time(), record))
        self.version += 1
        self.stamp += 1

    def changed(self) -> list[Record]:
        """What the delta holds: the last word on each instance that changed of late."""
        while self.recent and self.recent[0][0] < self.loop.time() - self.retention:
            self.recent.popleft()
        last = {(r.app, r.id): r for _, r in self.recent}
        return list(last.values())


def hash_of(records: list[Record]) -> str:
    """`apps__hashcode` of what is shown."""
    counts: dict[str, int] = {}
    for record in records:
        counts[record.shown] = counts.get(record.shown, 0) + 1
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))
