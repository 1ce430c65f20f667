"""Instances as Eureka's REST API represents them, and the hash by which two tables are compared.

Wire names are those of the published API (Netflix Eureka, "Eureka REST operations").  Times of an instance
are integer milliseconds of remote clocks: `dirty_ms` and the metadata are of the instance's own clock,
`registered_ms`, `renewed_ms` and `updated_ms` of the registry's.  Times of different clocks are not compared.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

MAX_PORT = 65535
MAX_NAME_CHARS = 256  # of a name or an address; longer values are treated as missing


class Status(StrEnum):
    """InstanceStatus.  Any other value is read as UNKNOWN, as Eureka's own client does."""

    UP = "UP"
    DOWN = "DOWN"
    STARTING = "STARTING"
    OUT_OF_SERVICE = "OUT_OF_SERVICE"
    UNKNOWN = "UNKNOWN"


class Action(StrEnum):
    """ActionType: the kind of change that a delta reports for an instance."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


STATUSES = {status.value: status for status in Status}
ACTIONS = {action.value: action for action in Action}


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance.  `address` is `host:port`, empty if the response has no valid host and port."""

    app: str
    id: str
    status: Status
    action: Action = Action.ADDED
    address: str = ""
    dirty_ms: int = 0  # lastDirtyTimestamp
    updated_ms: int = 0
    registered_ms: int = 0
    renewed_ms: int = 0
    lease_ms: int = 0  # duration of the lease
    metadata: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Listing:
    """A complete response: the instances of the followed app, and what the hash needs of all others."""

    instances: dict[str, Instance] = field(default_factory=dict)
    others: dict[tuple[str, str], tuple[Status, Action]] = field(default_factory=dict)
    version: int | None = None
    hashcode: str | None = None
    skipped: int = 0  # instances without an id
    clock_ms: int = 0  # the newest time of the registry's own clock in the response (ms)


def hash_code(statuses: Iterable[Status]) -> str:
    """`apps__hashcode`: counts by status, in the order of the names: `DOWN_2_UP_58_`."""
    counts: dict[str, int] = {}
    for status in statuses:
        counts[status.value] = counts.get(status.value, 0) + 1
    return "".join(f"{name}_{count}_" for name, count in sorted(counts.items()))


def parse_int(value: object) -> int:
    """A non-negative integer as the API sends it (number, or digits in a string); 0 for anything else."""
    if isinstance(value, int):
        return max(int(value), 0)
    if isinstance(value, str) and value.isascii() and value.isdigit() and len(value) < 20:  # fits 64 bits
        return int(value)
    return 0


def parse_status(value: object) -> Status:
    """A status by its name in any case; UNKNOWN for anything else."""
    return STATUSES.get(value.strip().upper(), Status.UNKNOWN) if isinstance(value, str) else Status.UNKNOWN


def parse_action(value: object) -> Action:
    """An action by its name in any case; ADDED for anything else, as in a full list, which has none."""
    return ACTIONS.get(value.strip().upper(), Action.ADDED) if isinstance(value, str) else Action.ADDED


def _text(row: Mapping[str, object], name: str) -> str:
    value = row.get(name)
    return value.strip() if isinstance(value, str) and len(value) <= MAX_NAME_CHARS else ""


def instance_from_row(row: Mapping[str, object], app: str = "") -> Instance | None:
    """Builds an instance from a flat row (`status`, `leaseInfo.durationInSecs`, ...); None without an id.

    Old clients register without `instanceId`; their host name is then the id, as in Eureka itself.
    """
    name = _text(row, "instanceId") or _text(row, "hostName")
    if not name:
        return None
    host = _text(row, "ipAddr") or _text(row, "hostName")
    port = 0
    for port_field in ("port", "securePort"):
        enabled = str(row.get(f"{port_field}.@enabled", "true")).lower() == "true"
        if enabled and not port:
            port = parse_int(row.get(f"{port_field}.$", row.get(port_field)))
    valid = bool(host) and not any(c.isspace() for c in host) and 0 < port <= MAX_PORT
    return Instance(
        app=(_text(row, "app") or app).upper(),
        id=name,
        status=parse_status(row.get("status")),
        action=parse_action(row.get("actionType")),
        address=f"{host}:{port}" if valid else "",
        dirty_ms=parse_int(row.get("lastDirtyTimestamp")),
        updated_ms=parse_int(row.get("lastUpdatedTimestamp")),
        registered_ms=parse_int(row.get("leaseInfo.registrationTimestamp")),
        renewed_ms=parse_int(row.get("leaseInfo.lastRenewalTimestamp")),
        lease_ms=1000 * parse_int(row.get("leaseInfo.durationInSecs")),
        metadata={
            key[len("metadata.") :]: str(value)
            for key, value in row.items()
            if key.startswith("metadata.") and isinstance(value, str | int)
        },
    )
