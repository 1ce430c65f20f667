"""The own call server's entry in the registry: what to send next, and what an answer means.  No I/O.

    NEW --register 204--> HELD --heartbeat 200--> HELD
    HELD --heartbeat 404--> NEW   the registry has forgotten us: again, with a new dirty time
    HELD --leave--> LEAVING --register as DOWN--> DOWN --cancel 200 or 404--> OVER
    any  --no answer, 5xx--> the same, later

Danger: to cancel without DOWN first leaves callers with the last list they had; to stop with neither leaves
the entry until its lease is over.  An entry refused by 4xx is tried again no faster than a heartbeat.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

OK, MISSING, SERVER_ERROR = 200, 404, 500
FIRST_RETRY = 0.1  # of a renewal interval; doubles up to a whole one


class Held(Enum):
    """Where the entry stands."""

    NEW = auto()
    HELD = auto()
    LEAVING = auto()
    DOWN = auto()
    OVER = auto()


@dataclass(frozen=True)
class Entry:
    """What is registered.  `renew` and `duration` in seconds, as the API has them."""

    app: str
    id: str
    host: str
    port: int
    vip: str
    renew: int
    duration: int
    metadata: dict[str, str]


@dataclass(frozen=True)
class Order:
    """A request to be sent."""

    method: str
    path: str
    body: bytes = b""


def body(entry: Entry, status: str, dirty: int) -> bytes:
    """The registration, in the JSON form of the API."""
    info: dict[str, Any] = {
        "instanceId": entry.id, "hostName": entry.host, "app": entry.app, "ipAddr": entry.host,
        "status": status, "overriddenstatus": "UNKNOWN",
        "port": {"$": entry.port, "@enabled": "true"}, "securePort": {"$": 443, "@enabled": "false"},
        "countryId": 1,
        "dataCenterInfo": {
            "@class": "com.netflix.appinfo.InstanceInfo$DefaultDataCenterInfo", "name": "MyOwn",
        },
        "leaseInfo": {"renewalIntervalInSecs": entry.renew, "durationInSecs": entry.duration},
        "metadata": entry.metadata, "vipAddress": entry.vip, "secureVipAddress": entry.vip,
        "lastDirtyTimestamp": str(dirty), "lastUpdatedTimestamp": str(dirty),
    }  # fmt: skip
    return msgspec.json.encode({"instance": info})


class Lease:
    """Times in ns; `dirty` times are milliseconds of the wall clock that the caller hands in."""

    def __init__(self, entry: Entry, rng: Random, epoch: int) -> None:
        self.entry, self.rng = entry, rng
        self.state = Held.NEW
        self.dirty = epoch
        self.failures = 0
        self.due = 0
        self.registrations = 0

    @property
    def path(self) -> str:
        return f"/apps/{quote(self.entry.app, safe='')}/{quote(self.entry.id, safe='')}"

    def order(self) -> Order | None:
        """What to send now, None when all is over."""
        if self.state is Held.NEW:
            return Order(
                "POST", f"/apps/{quote(self.entry.app, safe='')}", body(self.entry, "UP", self.dirty)
            )
        if self.state is Held.HELD:
            query = urlencode({"status": "UP", "lastDirtyTimestamp": self.dirty})
            return Order("PUT", f"{self.path}?{query}")
        if self.state is Held.LEAVING:
            return Order(
                "POST", f"/apps/{quote(self.entry.app, safe='')}", body(self.entry, "DOWN", self.dirty)
            )
        if self.state is Held.DOWN:
            return Order("DELETE", self.path)
        return None

    def answered(self, now: int, status: int, epoch: int) -> None:
        """The answer to the last order."""
        good = OK <= status < 300
        if self.state is Held.HELD and status == MISSING:
            self.state, self.dirty, self.due = Held.NEW, max(epoch, self.dirty + 1), now
            return
        if self.state is Held.DOWN and (good or status == MISSING):
            self.state = Held.OVER
            return
        if not good:
            self.failed(now, refused=status < SERVER_ERROR)
            return
        self.failures = 0
        if self.state is Held.LEAVING:
            self.state, self.due = Held.DOWN, now
            return
        self.registrations += self.state is Held.NEW
        self.state = Held.HELD
        self.due = now + int(self.entry.renew * 1e9 * (0.9 + 0.1 * self.rng.random()))

    def failed(self, now: int, refused: bool = False) -> None:
        """No answer, or none of use: again, with growing pauses, but within the lease."""
        self.failures += 1
        share = 1.0 if refused else min(FIRST_RETRY * 2 ** (self.failures - 1), 1.0)
        self.due = now + int(self.entry.renew * 1e9 * share * (0.5 + self.rng.random() / 2))

    def leave(self, now: int, epoch: int) -> None:
        """An orderly stop has begun.  What was never registered needs no leaving."""
        if self.state is Held.NEW and not self.registrations:
            self.state = Held.OVER
        elif self.state in (Held.NEW, Held.HELD):
            self.state, self.dirty, self.due = Held.LEAVING, max(epoch, self.dirty + 1), now

    def override(self, status: str) -> Order:
        """The operators' word over the instance's own; an empty one takes it back."""
        if status:
            return Order("PUT", f"{self.path}/status?{urlencode({'value': status})}")
        return Order("DELETE", f"{self.path}/status?{urlencode({'value': 'UP'})}")
