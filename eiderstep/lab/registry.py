"""Keeps the exchanges of a test day registered in a stand-in Eureka registry of two peers.

Exchanges that are alive renew their leases; day scripts can make the peers give wrong answers.
`StandinRegistry` has the same interface as `standin.register.Register`, so a world can report changes to
either.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from eiderstep.standin.eureka import InstanceRecord, LeaseTable
from eiderstep.standin.eureka_server import EurekaServer
from eiderstep.standin.register import Entry

APP_NAME = "EXCHANGES"
EPOCH_MS = 1_764_547_200_000  # ms; the registry's clock at loop time 0
RENEWAL_INTERVAL_S, LEASE_DURATION_S = 2, 6
REPLICATION_DELAY_S = 0.05
WARM_AGE_S = 3600.0  # least age of an exchange whose start time is not known


@dataclass
class Registration:
    """The registration of one exchange.  `renews`: the exchange is alive and renews its lease."""

    entry: Entry
    id: str
    restarts: int = 0
    renews: bool = True


class StandinRegistry:
    """The registry that one call server polls."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lag: float, skew: float = 0.0) -> None:
        """`lag`: delay until a change is visible (s).  `skew`: the lead of the exchanges' clocks (s)."""
        self.loop, self.skew = loop, skew
        self.tables = [LeaseTable(loop, self.now_ms, lag, REPLICATION_DELAY_S) for _ in range(2)]
        for table in self.tables:
            table.peers = [other for other in self.tables if other is not table]
        self.peers = [EurekaServer(loop, table) for table in self.tables]
        self.registrations: dict[str, Registration] = {}
        self.closed = False

    def now_ms(self) -> int:
        """The time of the registry's clock."""
        return EPOCH_MS + int(self.loop.time() * 1000)

    @property
    def lag(self) -> float:
        return self.tables[0].lag

    @lag.setter
    def lag(self, lag: float) -> None:
        for table in self.tables:
            table.lag = lag

    @property
    def addresses(self) -> list[str]:
        return [peer.address for peer in self.peers]

    async def listen(self) -> None:
        for peer in self.peers:
            await peer.listen(eviction_interval=1.0)
        self._renew_leases()

    # -- the exchanges -------------------------------------------------------------------------------------

    def add_running(self, entry: Entry) -> None:
        """Register an exchange as one that has been running for a long time."""
        lag, self.lag = self.lag, 0.0
        registration = self.registrations[entry.office] = Registration(
            entry, f"x{entry.number}:{entry.office}"
        )
        for table in self.tables:
            table.register(self._record(registration), replicated=True)
        self.lag = lag

    def update_exchange(self, entry: Entry) -> None:
        """Report a change of an exchange's state: it registers, changes its status, or cancels."""
        registration = self.registrations.get(entry.office)
        if registration is None:
            registration = self.registrations[entry.office] = Registration(
                entry, f"x{entry.number}:{entry.office}"
            )
        if entry.state == "gone":
            registration.renews = False
            self._primary_table(registration).cancel(APP_NAME, registration.id)
            return
        if entry.state == "up" and not registration.renews:
            registration.restarts += 1
            if (
                registration.restarts % 2
            ):  # every other restart has a new id, with the same number and address
                registration.id = f"x{entry.number}.{registration.restarts}:{entry.office}"
        if entry.state != "up":  # it is the same process; the caller need not know its start time
            entry = replace(entry, started=registration.entry.started)
        registration.entry, registration.renews = entry, True
        self._send_registration(registration)

    def exchange_died(self, number: int) -> None:
        """An exchange died without cancelling its registration: its lease expires."""
        for registration in self.registrations.values():
            if registration.entry.number == number:
                registration.renews = False

    def _primary_table(self, registration: Registration) -> LeaseTable:
        return self.tables[registration.entry.number % len(self.tables)]

    def _send_registration(self, registration: Registration) -> None:
        self._primary_table(registration).register(self._record(registration))

    def _record(self, registration: Registration) -> InstanceRecord:
        entry = registration.entry
        started = self.loop.time() - WARM_AGE_S if entry.started is None else entry.started
        if entry.started is None:
            started -= self.loop.time() % WARM_AGE_S  # gives the same start time at each call
        host, _, port = entry.office.rpartition(":")
        metadata = {
            "exchange": str(entry.number), "district": str(entry.zone),
            "started": str(EPOCH_MS + int((started + self.skew) * 1000)),
        }  # fmt: skip
        status = "UP" if entry.state == "up" else "DOWN"
        return InstanceRecord(
            APP_NAME, registration.id, host, int(port), metadata, status,
            dirty_timestamp=self.now_ms() + int(self.skew * 1000), renewal_interval=RENEWAL_INTERVAL_S,
            lease_duration=LEASE_DURATION_S,
        )  # fmt: skip

    def _renew_leases(self) -> None:
        """Renew all leases.  An exchange that the registry no longer knows registers again."""
        if self.closed:
            return
        for registration in self.registrations.values():
            if registration.renews and not self._primary_table(registration).renew(APP_NAME, registration.id):
                self._send_registration(registration)
        self.loop.call_later(RENEWAL_INTERVAL_S, self._renew_leases)

    # -- troubles of a day script --------------------------------------------------------------------------

    def give_wrong_answers(self, lie: str, victims: list[int], peers: list[int]) -> None:
        """Make some of the peers (all if `peers` is empty) give the wrong answers `lie`; "" ends this."""
        ids = frozenset(
            registration.id
            for registration in self.registrations.values()
            if registration.entry.number in victims
        )
        for number in peers or range(len(self.peers)):
            self.peers[number].set_fault(lie, ids)

    def stop_answering(self, seconds: float) -> None:
        self.give_wrong_answers("silence", [], [])
        self.loop.call_later(seconds, self.give_wrong_answers, "", [], [])

    def close(self) -> None:
        self.closed = True
        for peer in self.peers:
            peer.close()
