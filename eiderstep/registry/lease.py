"""State machine of this call server's own registration: the next request, and what a response means.  No I/O.

    NEW --register 204--> HELD --heartbeat 200--> HELD
    HELD --heartbeat 404--> NEW   the registry lost the entry: register again with a new lastDirtyTimestamp
    HELD --leave--> LEAVING --register as DOWN--> DOWN --cancel 200 or 404--> OVER
    any  --no response, 5xx--> the same state, retried later

DOWN is registered before the entry is cancelled, because callers keep the last list that they received: an
entry cancelled without it stays UP in their copies, and one that is not cancelled stays until its lease
expires.  After a 4xx response the retry waits for up to a whole heartbeat interval.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from random import Random
from typing import Any
from urllib.parse import quote, urlencode

import msgspec

OK, NOT_FOUND, SERVER_ERROR = 200, 404, 500
FIRST_RETRY_SHARE = 0.1  # of a renewal interval; doubles up to a whole interval


class LeaseState(Enum):
    """State of the registration; see the diagram in the module's docstring."""

    NEW = auto()
    HELD = auto()
    LEAVING = auto()
    DOWN = auto()
    OVER = auto()


@dataclass(frozen=True)
class Registration:
    """The instance to register.  `renew` and `duration` are in seconds, as in the API."""

    app: str
    id: str
    host: str
    port: int
    vip: str
    renew: int
    duration: int
    metadata: dict[str, str]


@dataclass(frozen=True)
class Request:
    """A request to send to the registry."""

    method: str
    path: str
    body: bytes = b""


def registration_body(entry: Registration, status: str, dirty_ms: int) -> bytes:
    """The body of a registration request, in the JSON form of the API."""
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
        "lastDirtyTimestamp": str(dirty_ms), "lastUpdatedTimestamp": str(dirty_ms),
    }  # fmt: skip
    return msgspec.json.encode({"instance": info})


class Lease:
    """The lease of one registration.

    `now` and `next_request_at` are in ns.  `wall_ms` is the wall clock in ms, read by the caller; `dirty_ms`
    is the lastDirtyTimestamp of the registration, on the same clock.
    """

    def __init__(self, entry: Registration, rng: Random, wall_ms: int) -> None:
        self.entry, self.rng = entry, rng
        self.state = LeaseState.NEW
        self.dirty_ms = wall_ms
        self.failures = 0
        self.next_request_at = 0
        self.registrations = 0

    @property
    def path(self) -> str:
        return f"/apps/{quote(self.entry.app, safe='')}/{quote(self.entry.id, safe='')}"

    def next_request(self) -> Request | None:
        """The request that the current state calls for; None once the registration is over."""
        if self.state is LeaseState.NEW:
            return Request(
                "POST",
                f"/apps/{quote(self.entry.app, safe='')}",
                registration_body(self.entry, "UP", self.dirty_ms),
            )
        if self.state is LeaseState.HELD:
            query = urlencode({"status": "UP", "lastDirtyTimestamp": self.dirty_ms})
            return Request("PUT", f"{self.path}?{query}")
        if self.state is LeaseState.LEAVING:
            return Request(
                "POST",
                f"/apps/{quote(self.entry.app, safe='')}",
                registration_body(self.entry, "DOWN", self.dirty_ms),
            )
        if self.state is LeaseState.DOWN:
            return Request("DELETE", self.path)
        return None

    def on_response(self, now: int, status: int, wall_ms: int) -> None:
        """Takes the status of the response to the last request."""
        success = OK <= status < 300
        if self.state is LeaseState.HELD and status == NOT_FOUND:
            self.state, self.dirty_ms, self.next_request_at = (
                LeaseState.NEW, max(wall_ms, self.dirty_ms + 1), now,
            )  # fmt: skip
            return
        if self.state is LeaseState.DOWN and (success or status == NOT_FOUND):
            self.state = LeaseState.OVER
            return
        if not success:
            self.on_failure(now, refused=status < SERVER_ERROR)
            return
        self.failures = 0
        if self.state is LeaseState.LEAVING:
            self.state, self.next_request_at = LeaseState.DOWN, now
            return
        self.registrations += self.state is LeaseState.NEW
        self.state = LeaseState.HELD
        self.next_request_at = now + int(self.entry.renew * 1e9 * (0.9 + 0.1 * self.rng.random()))

    def on_failure(self, now: int, refused: bool = False) -> None:
        """Schedules a retry after no response or an error: exponential backoff up to one renewal interval,
        so that retries still fall within the lease."""
        self.failures += 1
        share = 1.0 if refused else min(FIRST_RETRY_SHARE * 2 ** (self.failures - 1), 1.0)
        self.next_request_at = now + int(self.entry.renew * 1e9 * share * (0.5 + self.rng.random() / 2))

    def leave(self, now: int, wall_ms: int) -> None:
        """Starts an orderly deregistration; an entry that was never registered is over at once."""
        if self.state is LeaseState.NEW and not self.registrations:
            self.state = LeaseState.OVER
        elif self.state in (LeaseState.NEW, LeaseState.HELD):
            self.state, self.dirty_ms, self.next_request_at = (
                LeaseState.LEAVING, max(wall_ms, self.dirty_ms + 1), now,
            )  # fmt: skip

    def override_request(self, status: str) -> Request:
        """The request that sets the operators' status override, or removes it if `status` is empty."""
        if status:
            return Request("PUT", f"{self.path}/status?{urlencode({'value': status})}")
        return Request("DELETE", f"{self.path}/status?{urlencode({'value': 'UP'})}")
