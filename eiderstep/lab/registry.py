"""A day's exchanges in a Eureka registry: two peers, leases kept by the living, lies by the script.

Stands where `standin.register.Register` stands, so that a world tells the one or the other of a change.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, replace

from eiderstep.standin.eureka import Record, Table
from eiderstep.standin.eureka_wire import Eureka
from eiderstep.standin.register import Entry

APP = "EXCHANGES"
EPOCH = 1_764_547_200_000  # ms: what the registry's clock shows when the loop's shows nought
RENEW, DURATION = 2, 6  # seconds
REPLICATION = 0.05
LONG_AGO = 3600.0


@dataclass
class Living:
    """One exchange as it registers itself."""

    entry: Entry
    id: str
    lives: int = 0
    renews: bool = True


class EurekaSite:
    """The registry that one call server follows."""

    def __init__(self, loop: asyncio.AbstractEventLoop, lag: float, skew: float = 0.0) -> None:
        """`lag`: how late a change is shown.  `skew`: how far the exchanges' clocks are ahead (s)."""
        self.loop, self.skew = loop, skew
        self.tables = [Table(loop, self.epoch, lag, REPLICATION) for _ in range(2)]
        for table in self.tables:
            table.peers = [other for other in self.tables if other is not table]
        self.peers = [Eureka(loop, table) for table in self.tables]
        self.living: dict[str, Living] = {}
        self.closed = False

    def epoch(self) -> int:
        return EPOCH + int(self.loop.time() * 1000)

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
            await peer.listen(sweep=1.0)
        self._beat()

    # -- the exchanges -------------------------------------------------------------------------------------

    def preset(self, entry: Entry) -> None:
        """One that has long been registered."""
        lag, self.lag = self.lag, 0.0
        living = self.living[entry.office] = Living(entry, f"x{entry.number}:{entry.office}")
        for table in self.tables:
            table.register(self._record(living), replicated=True)
        self.lag = lag

    def change(self, entry: Entry) -> None:
        """What an exchange does: register, say that it goes, cancel."""
        living = self.living.get(entry.office)
        if living is None:
            living = self.living[entry.office] = Living(entry, f"x{entry.number}:{entry.office}")
        if entry.state == "gone":
            living.renews = False
            self._of(living).cancel(APP, living.id)
            return
        if entry.state == "up" and not living.renews:
            living.lives += 1
            if living.lives % 2:  # every other restart under a new id, with the old number and address
                living.id = f"x{entry.number}.{living.lives}:{entry.office}"
        if entry.state != "up":  # it still is what it was; who tells of it need not know since when
            entry = replace(entry, started=living.entry.started)
        living.entry, living.renews = entry, True
        self._register(living)

    def died(self, number: int) -> None:
        """Without a word: its lease runs out."""
        for living in self.living.values():
            if living.entry.number == number:
                living.renews = False

    def _of(self, living: Living) -> Table:
        return self.tables[living.entry.number % len(self.tables)]

    def _register(self, living: Living) -> None:
        self._of(living).register(self._record(living))

    def _record(self, living: Living) -> Record:
        entry = living.entry
        started = self.loop.time() - LONG_AGO if entry.started is None else entry.started
        if entry.started is None:
            started -= self.loop.time() % LONG_AGO  # the same at each call
        host, _, port = entry.office.rpartition(":")
        metadata = {
            "exchange": str(entry.number), "district": str(entry.zone),
            "started": str(EPOCH + int((started + self.skew) * 1000)),
        }  # fmt: skip
        status = "UP" if entry.state == "up" else "DOWN"
        return Record(
            APP, living.id, host, int(port), metadata, status,
            dirty=self.epoch() + int(self.skew * 1000), renew=RENEW, duration=DURATION,
        )  # fmt: skip

    def _beat(self) -> None:
        """Renewals; who is not known any more registers again."""
        if self.closed:
            return
        for living in self.living.values():
            if living.renews and not self._of(living).renew(APP, living.id):
                self._register(living)
        self.loop.call_later(RENEW, self._beat)

    # -- what a script does to it --------------------------------------------------------------------------

    def lie(self, lie: str, victims: list[int], peers: list[int]) -> None:
        """Begin a lie at some of the peers, or end it with an empty one."""
        ids = frozenset(v.id for v in self.living.values() if v.entry.number in victims)
        for number in peers or range(len(self.peers)):
            self.peers[number].tell_lies(lie, ids)

    def fall_silent(self, seconds: float) -> None:
        self.lie("silence", [], [])
        self.loop.call_later(seconds, self.lie, "", [], [])

    def close(self) -> None:
        self.closed = True
        for peer in self.peers:
            peer.close()
