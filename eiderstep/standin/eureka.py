"""The lease table of a Eureka peer: leases, response cache, deltas and replication, without HTTP.

As in Netflix Eureka, responses come from a cache: a change appears in them `lag` seconds after it was made,
reaches the other peers after `replication` seconds, and stays in the delta for `retention` seconds.  Expired
leases are evicted unless too many have expired (Eureka's self-preservation).
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

RENEWAL_THRESHOLD = 0.85  # share of leases; no lease is evicted while fewer are renewed (self-preservation)


@dataclass
class InstanceRecord:
    """One registered instance and its lease."""

    app: str
    id: str
    host: str
    port: int
    metadata: dict[str, str] = field(default_factory=dict)
    status: str = "UP"
    status_override: str = ""
    vip: str = ""
    dirty_timestamp: int = 0  # ms of the instance's clock
    updated_at: int = 0  # ms of the registry's clock
    registered_at: int = 0  # ms of the registry's clock
    renewed_at: int = 0  # ms of the registry's clock
    renewal_interval: int = 30  # seconds
    lease_duration: int = 90  # seconds
    action: str = "ADDED"

    @property
    def effective_status(self) -> str:
        """The status that responses contain: the operators' override if there is one."""
        return self.status_override or self.status


def instance_json(record: InstanceRecord) -> dict[str, Any]:
    """Return an instance as Eureka's JSON codec has it: some numbers as strings, `$` and `@` from its XML."""
    return {
        "instanceId": record.id, "hostName": record.host, "app": record.app, "ipAddr": record.host,
        "status": record.effective_status, "overriddenStatus": record.status_override or "UNKNOWN",
        "port": {"$": record.port, "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1,
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn",
        },
        "leaseInfo": {
            "renewalIntervalInSecs": record.renewal_interval, "durationInSecs": record.lease_duration,
            "registrationTimestamp": record.registered_at, "lastRenewalTimestamp": record.renewed_at,
            "evictionTimestamp": 0, "serviceUpTimestamp": record.registered_at,
        },
        "metadata": record.metadata or {"@class": "java.util.Collections$EmptyMap"},
        "homePageUrl": f"http://{record.host}:{record.port}/",
        "statusPageUrl": f"http://{record.host}:{record.port}/info",
        "healthCheckUrl": f"http://{record.host}:{record.port}/health",
        "vipAddress": record.vip or record.app.lower(), "secureVipAddress": record.vip or record.app.lower(),
        "isCoordinatingDiscoveryServer": "false", "lastUpdatedTimestamp": str(record.updated_at),
        "lastDirtyTimestamp": str(record.dirty_timestamp), "actionType": record.action,
    }  # fmt: skip


def _xml_element(name: str, value: Any) -> str:
    if not isinstance(value, dict):
        return f"<{name}>{escape(str(value))}</{name}>"
    attributes = "".join(f' {key[1:]}="{escape(str(v))}"' for key, v in value.items() if key.startswith("@"))
    if "$" in value:
        return f"<{name}{attributes}>{escape(str(value['$']))}</{name}>"
    inner = "".join(_xml_element(key, v) for key, v in value.items() if not key.startswith("@"))
    return f"<{name}{attributes}>{inner}</{name}>"


def render_response(
    records: list[InstanceRecord], form: str, version: int, hashcode: str, root: str = "applications"
) -> bytes:
    """Return a response body.  `form`: "json" or "xml"; `root`: applications, application or instance."""
    if root == "instance":
        instance = instance_json(records[0])
        return (
            msgspec.json.encode({"instance": instance})
            if form == "json"
            else _xml_element("instance", instance).encode()
        )
    apps: dict[str, list[dict[str, Any]]] = {}
    for record in records:
        apps.setdefault(record.app, []).append(instance_json(record))
    if form == "json":
        applications: list[dict[str, Any]] = [
            {"name": name, "instance": instances} for name, instances in apps.items()
        ]
        if root == "application":
            return msgspec.json.encode({"application": applications[0]})
        content = {"versions__delta": str(version), "apps__hashcode": hashcode, "application": applications}
        return msgspec.json.encode({"applications": content})
    parts = []
    for name, instances in apps.items():
        inner = "".join(_xml_element("instance", instance) for instance in instances)
        parts.append(f"<application><name>{escape(name)}</name>{inner}</application>")
    if root == "application":
        return parts[0].encode()
    head_xml = f"<versions__delta>{version}</versions__delta><apps__hashcode>{hashcode}</apps__hashcode>"
    return f"<applications>{head_xml}{''.join(parts)}</applications>".encode()


class LeaseTable:
    """The leases of one peer, and the cache that its responses are made from.

    `clock_ms` returns the registry's clock; `lag`, `replication` and `retention` are seconds.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, clock_ms: Callable[[], int], lag: float = 0.0,
        replication: float = 0.05, retention: float = 180.0,
    ) -> None:  # fmt: skip
        self.loop, self.clock_ms = loop, clock_ms
        self.lag, self.replication_delay, self.delta_retention = lag, replication, retention
        self.leases: dict[tuple[str, str], InstanceRecord] = {}
        self.published: dict[tuple[str, str], InstanceRecord] = {}
        self.recent_changes: deque[tuple[float, InstanceRecord]] = deque()
        self.version = 1
        self.revision = 0  # incremented with every change of what responses contain
        self.peers: list[LeaseTable] = []
        self.hides_removals = False  # injected fault: removed instances stay in the responses
        self.eviction_count = 0

    # -- changes by clients and by eviction ----------------------------------------------------------------

    def register(self, record: InstanceRecord, replicated: bool = False) -> None:
        """POST: create or replace a lease, unless the one held has a later dirty timestamp."""
        key = (record.app, record.id)
        held = self.leases.get(key)
        if held is not None and held.dirty_timestamp > record.dirty_timestamp:
            return
        lease = copy(record)
        lease.registered_at = lease.renewed_at = lease.updated_at = self.clock_ms()
        lease.status_override = held.status_override if held is not None else ""
        lease.action = "ADDED"
        self.leases[key] = lease
        self._schedule_publish(lease)
        self._replicate(replicated, lambda peer: peer.register(record, True))

    def renew(self, app: str, name: str, replicated: bool = False) -> bool:
        """PUT: renew a lease.  False (404) if there is none; the instance then has to register again."""
        held = self.leases.get((app, name))
        if held is None:
            return False
        held.renewed_at = self.clock_ms()
        shown = self.published.get((app, name))
        if shown is not None:
            shown.renewed_at = held.renewed_at
            self.revision += 1
        self._replicate(replicated, lambda peer: peer.renew(app, name, True))
        return True

    def set_status_override(self, app: str, name: str, status: str, replicated: bool = False) -> bool:
        """PUT or DELETE of the status: set the operators' override, or remove it if `status` is empty."""
        held = self.leases.get((app, name))
        if held is None:
            return False
        held.status_override, held.updated_at, held.action = status, self.clock_ms(), "MODIFIED"
        self._schedule_publish(held)
        self._replicate(replicated, lambda peer: peer.set_status_override(app, name, status, True))
        return True

    def cancel(self, app: str, name: str, replicated: bool = False) -> bool:
        """DELETE: end a lease.  False (404) if there is none."""
        held = self.leases.pop((app, name), None)
        if held is None:
            return False
        held.updated_at, held.action = self.clock_ms(), "DELETED"
        self._schedule_publish(held)
        self._replicate(replicated, lambda peer: peer.cancel(app, name, True))
        return True

    def evict_expired(self) -> int:
        """End the expired leases and return how many; none if more have expired than the threshold allows."""
        now = self.clock_ms()
        expired = [
            key for key, lease in self.leases.items() if now - lease.renewed_at > 1000 * lease.lease_duration
        ]
        if len(expired) > (1 - RENEWAL_THRESHOLD) * len(self.leases) + 1:
            return 0
        for key in expired:
            self.cancel(*key, replicated=True)
        self.eviction_count += len(expired)
        return len(expired)

    def restart(self) -> None:
        """Start again with an empty table."""
        self.leases.clear()
        self.published.clear()
        self.recent_changes.clear()
        self.version, self.revision = 1, self.revision + 1

    # -- replication and the response cache ----------------------------------------------------------------

    def _replicate(self, replicated: bool, change: Callable[[LeaseTable], object]) -> None:
        """Apply a change to the other peers, unless it came from one of them."""
        for peer in [] if replicated else self.peers:
            self.loop.call_later(self.replication_delay, change, peer)

    def _schedule_publish(self, record: InstanceRecord) -> None:
        snapshot = copy(record)
        if self.lag:
            self.loop.call_later(self.lag, self._publish, snapshot)
        else:
            self._publish(snapshot)

    def _publish(self, record: InstanceRecord) -> None:
        key = (record.app, record.id)
        if record.action == "DELETED":
            if self.hides_removals:
                return
            self.published.pop(key, None)
        else:
            self.published[key] = record
        self.recent_changes.append((self.loop.time(), record))
        self.version += 1
        self.revision += 1

    def delta(self) -> list[InstanceRecord]:
        """Return the delta: the latest change of each instance that changed within the retention time."""
        while self.recent_changes and self.recent_changes[0][0] < self.loop.time() - self.delta_retention:
            self.recent_changes.popleft()
        latest = {(record.app, record.id): record for _, record in self.recent_changes}
        return list(latest.values())


def apps_hashcode(records: list[InstanceRecord]) -> str:
    """Return `apps__hashcode`: the number of instances by status."""
    counts: dict[str, int] = {}
    for record in records:
        counts[record.effective_status] = counts.get(record.effective_status, 0) + 1
    return "".join(f"{status}_{counts[status]}_" for status in sorted(counts))
