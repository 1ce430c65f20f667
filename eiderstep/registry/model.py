"""Instances as Eureka's REST API tells them, and the hash by which two tables are compared.

Names are those of the published API (Netflix Eureka, "Eureka REST operations").  Times in an instance are
integer milliseconds of somebody else's clock: `dirty` and the metadata are the instance's own, `registered`,
`renewed` and `updated` the registry's.  They are compared only with figures of the same clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from enum import StrEnum

LAST_PORT = 65535
TEXT_LIMIT = 256  # characters of a name or an address that are believed to be one


class Status(StrEnum):
    """InstanceStatus.  A word that is none of these is read as UNKNOWN, as Eureka's own client does."""

    UP = "UP"
    DOWN = "DOWN"
    STARTING = "STARTING"
    OUT_OF_SERVICE = "OUT_OF_SERVICE"
    UNKNOWN = "UNKNOWN"


class Action(StrEnum):
    """ActionType: what a delta says has become of an instance."""

    ADDED = "ADDED"
    MODIFIED = "MODIFIED"
    DELETED = "DELETED"


STATUSES = {status.value: status for status in Status}
ACTIONS = {action.value: action for action in Action}


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance.  `address` is `host:port`, empty where the answer gives none that can be dialled."""

    app: str
    id: str
    status: Status
    action: Action = Action.ADDED
    address: str = ""
    dirty: int = 0
    updated: int = 0
    registered: int = 0
    renewed: int = 0
    duration: int = 0  # of the lease, ms
    metadata: Mapping[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Listing:
    """One whole answer: the watched app's instances, and of the others only what the hash needs."""

    instances: dict[str, Instance] = field(default_factory=dict)
    others: dict[tuple[str, str], tuple[Status, Action]] = field(default_factory=dict)
    version: int | None = None
    hashcode: str | None = None
    skipped: int = 0  # instances without an id
    clock: int = 0  # the newest time of the registry's own clock that the answer holds (ms)


def hash_code(statuses: Iterable[Status]) -> str:
    """`apps__hashcode`: counts by status, in the order of the names: `DOWN_2_UP_58_`."""
    counts: dict[str, int] = {}
    for status in statuses:
        counts[status.value] = counts.get(status.value, 0) + 1
    return "".join(f"{name}_{count}_" for name, count in sorted(counts.items()))


def whole(text: object) -> int:
    """A whole number as the API gives it (number, or digits in a string), 0 for anything else."""
    if isinstance(text, int):
        return max(int(text), 0)
    if isinstance(text, str) and text.isascii() and text.isdigit() and len(text) < 20:  # fits 64 bits
        return int(text)
    return 0


def status_of(word: object) -> Status:
    """A status by its name in any case; UNKNOWN for anything else."""
    return STATUSES.get(word.strip().upper(), Status.UNKNOWN) if isinstance(word, str) else Status.UNKNOWN


def action_of(word: object) -> Action:
    """What a delta says of an instance; a list says nothing, and so ADDED."""
    return ACTIONS.get(word.strip().upper(), Action.ADDED) if isinstance(word, str) else Action.ADDED


def _word(row: Mapping[str, object], name: str) -> str:
    value = row.get(name)
    return value.strip() if isinstance(value, str) and len(value) <= TEXT_LIMIT else ""


def instance(row: Mapping[str, object], app: str = "") -> Instance | None:
    """A flat row (`status`, `leaseInfo.durationInSecs`, ...) as an instance; None without an id.

    An old client registers without `instanceId`: then its host is its name, as in Eureka itself.
    """
    name = _word(row, "instanceId") or _word(row, "hostName")
    if not name:
        return None
    host = _word(row, "ipAddr") or _word(row, "hostName")
    port = 0
    for which in ("port", "securePort"):
        enabled = str(row.get(f"{which}.@enabled", "true")).lower() == "true"
        if enabled and not port:
            port = whole(row.get(f"{which}.$", row.get(which)))
    good = bool(host) and not any(c.isspace() for c in host) and 0 < port <= LAST_PORT
    return Instance(
        app=(_word(row, "app") or app).upper(),
        id=name,
        status=status_of(row.get("status")),
        action=action_of(row.get("actionType")),
        address=f"{host}:{port}" if good else "",
        dirty=whole(row.get("lastDirtyTimestamp")),
        updated=whole(row.get("lastUpdatedTimestamp")),
        registered=whole(row.get("leaseInfo.registrationTimestamp")),
        renewed=whole(row.get("leaseInfo.lastRenewalTimestamp")),
        duration=1000 * whole(row.get("leaseInfo.durationInSecs")),
        metadata={
            key[len("metadata.") :]: str(value)
            for key, value in row.items()
            if key.startswith("metadata.") and isinstance(value, str | int)
        },
    )
