"""One day's world: call servers, stand-ins, proxies and registers on one event loop, virtual or real."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

import msgspec

from eiderstep.audit import Away, Capture, ColdStart, Facts
from eiderstep.config.schema import (
    Limits,
    Peer,
    Register,
    Registry,
    Route,
    ServerSettings,
    Sizing,
)
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.process import ProcessServer
from eiderstep.lab.registry import APP, REPLICATION, EurekaSite
from eiderstep.lab.script import SECOND, Day
from eiderstep.server.node import CallServer
from eiderstep.sip.message import split_address
from eiderstep.standin.callers import Callers, Class, Manners
from eiderstep.standin.exchange import Exchange, Plant, lost_circuits, tell_blocked
from eiderstep.standin.proxy import Proxy
from eiderstep.standin.register import Entry
from eiderstep.standin.register import Register as RegisterStandin

MEASURED = 10 * SECOND  # a bucket of a measured day
PATIENT = 3600 * SECOND  # callers of a group of one circuit may say nothing for minutes
NUMBERS = 1000  # subscribers of one exchange that are called
Log = Callable[[str, str, str, dict[str, Any]], None]


@dataclass
class Site:
    """One exchange with a call server of the product: its server, its register, its callers."""

    number: int
    lists: list[RegisterStandin | EurekaSite]
    server: CallServer | ProcessServer
    callers: Callers


def prefix(number: int) -> str:
    """The digits that the numbers of an exchange begin with."""
    return f"{4000 + number}"


class World:
    """All that runs on a day.  `servers`: the exchanges that the product runs; the rest are stand-ins."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        day: Day,
        seed: int,
        log: Log,
        servers: tuple[int, ...] = (0,),
        folder: Path | None = None,
    ) -> None:
        """`folder`: call servers run in processes of their own and leave their captures there."""
        self.loop, self.day, self.seed, self.log = loop, day, seed, log
        self.rng = Random(seed)
        self.capture = Capture()
        self.servers, self.folder = servers, folder
        self.exchanges: dict[int, Exchange] = {}
        self.past: list[Exchange] = []
        self.proxies: dict[tuple[int, int], Proxy] = {}
        self.sites: dict[int, Site] = {}
        self.starts: list[tuple[int, float]] = []
        self.stalls: list[tuple[int, int]] = []
        self.measure: Path | None = None  # a folder: call servers measure their groups into it
        self.away: list[Away] = []
        self.left_at: dict[int, int] = {}  # exchanges that are away, and since when (ns)
        self.began = 0.0

    # -- building ------------------------------------------------------------------------------------------

    def place(self, number: int) -> None:
        """Sockets made from here on belong to that exchange's district."""
        if isinstance(self.loop, VirtualLoop):
            self.loop.at(f"district {number % self.day.fleet.districts}")

    def linked(self, one: int, other: int) -> bool:
        return sorted((one, other)) not in [sorted(pair) for pair in self.day.fleet.unlinked]

    def circuits(self, one: int, other: int) -> int:
        """A group is as large as the script says for each call server that loads it."""
        loads = (one in self.servers) + (other in self.servers)
        return self.day.fleet.circuits * max(loads, 1) if self.linked(one, other) else 0

    def plant(self, number: int, alone: bool) -> Plant:
        fleet, cold = self.day.fleet, self.day.rules.cold
        others = [n for n in range(fleet.count) if n != number]
        return Plant(
            number=number,
            circuits={} if alone else {n: self.circuits(number, n) for n in others},
            numbers={prefix(n): n for n in range(fleet.count)},
            context=self.day.name,
            capacity=fleet.capacity,
            refuse_past=fleet.refuse_past / SECOND,
            names_wait=fleet.names_wait,
            report=fleet.report,
            refresh=fleet.refresh / SECOND,
            cold_share=cold.share,
            cold_time=cold.time / SECOND,
            fall_multiple=cold.multiple if fleet.can_fall and cold.time else 0.0,
            fall_window=cold.window / SECOND,
            busy_lines=fleet.busy_lines,
        )

    async def build(self) -> None:
        """Everything listens, then the links are made, then the servers start."""
        fleet = self.day.fleet
        if isinstance(self.loop, VirtualLoop):
            for one in range(fleet.districts):
                for other in range(fleet.districts):
                    if one != other:
                        pair = (f"district {one}", f"district {other}")
                        self.loop.network.delays[pair] = fleet.delay / SECOND
        for number in range(fleet.count):
            self.place(number)
            self.exchanges[number] = await self.start_exchange(number, None)
        for one in range(fleet.count):
            for other in range(fleet.count):
                if one != other and (one in self.servers or other in self.servers):
                    self.place(other)
                    proxy = Proxy(self.loop, self.exchanges[other].address)
                    proxy.refuse = other in self.servers  # until its call server serves
                    await proxy.listen()
                    self.proxies[one, other] = proxy
        for number in self.servers:
            self.place(number)
            self.sites[number] = await self.start_site(number)
        for number, site in self.sites.items():
            for other in range(fleet.count):
                if other != number:
                    self.proxies[other, number].target = site.server.address
                    self.proxies[other, number].mend()
        for number in range(fleet.count):
            if number not in self.servers:
                await self.join(number)
        for site in self.sites.values():
            self.place(site.number)
            await site.callers.connect()
        if len(self.sites) > 1:
            await asyncio.sleep(
                2.0
            )  # the servers find one another: they began before there was anybody to dial

    async def start_exchange(self, number: int, started: float | None) -> Exchange:
        alone = number in self.servers
        exchange = Exchange(self.loop, self.plant(number, alone), Random(self.rng.getrandbits(64)), started)
        # The lines of a call server are at the address in its settings; others are reached over proxies.
        before = self.exchanges.get(number) if alone else None
        host, port = split_address(before.address) if before is not None else ("127.0.0.1", 0)
        await exchange.listen(host, port)
        if started is not None:
            self.starts.append((number, started))
        return exchange

    async def join(self, number: int) -> None:
        """A stand-in dials its neighbours: proxies toward call servers, the others directly."""
        neighbours = {}
        for other in self.exchanges:
            if other != number:
                proxy = self.proxies.get((number, other))
                neighbours[other] = proxy.address if proxy is not None else self.exchanges[other].address
        self.place(number)
        await self.exchanges[number].join(neighbours)

    def settings(self, number: int, lists: list[RegisterStandin | EurekaSite]) -> ServerSettings:
        fleet, day = self.day.fleet, self.day
        others = [n for n in range(fleet.count) if n != number]
        return ServerSettings(
            number=number,
            listen="127.0.0.1:0",
            context=day.name,
            name=f"server-{number}",
            classes=day.classes,
            peers=[
                Peer(
                    number=n, address=self.proxies[number, n].address, zone=n % fleet.districts,
                    circuits=self.circuits(number, n),
                )
                for n in others
            ],
            dial_plan=[Route(prefix=prefix(n), exchange=n) for n in range(fleet.count)],
            lines=self.exchanges[number].address,
            controllers=max(len(self.servers), 1),
            ordinal=self.servers.index(number),
            rules=day.rules,
            register=next(
                (Register(address=x.address) for x in lists if isinstance(x, RegisterStandin)), None
            ),
            registry=next((self.registry(x) for x in lists if isinstance(x, EurekaSite)), None),
            list_from="register" if fleet.list_from == "register" else "registry",
            sizing=self.sizing(number),
            limits=Limits(first_message=PATIENT if self.measure else 3 * SECOND, drain=2 * SECOND),
            seed=self.seed * 1009 + number,
        )  # fmt: skip

    def sizing(self, number: int) -> Sizing | None:
        if self.measure is None:
            return None
        return Sizing(store=str(self.measure / f"{number}.db"), period=MEASURED)

    def registry(self, site: EurekaSite) -> Registry:
        fleet = self.day.fleet
        return Registry(
            addresses=site.addresses, app=APP, poll=fleet.poll, form=fleet.form, hold=fleet.hold,
            dial=SECOND // 2, silence=SECOND, whole=2 * SECOND, full_every=10 * fleet.poll,
        )  # fmt: skip

    def lists(self) -> list[RegisterStandin | EurekaSite]:
        """What tells the list.  A registry is late by its cache and by half a poll: both together make up the
        lag of a register, so that the two can be compared."""
        fleet, found = self.day.fleet, list[RegisterStandin | EurekaSite]()
        if fleet.list_from in ("register", "both"):
            found.append(RegisterStandin(self.loop, fleet.register_lag / SECOND))
        if fleet.list_from in ("registry", "both"):
            cache = (fleet.register_lag - fleet.poll / 2) / SECOND - REPLICATION / 2
            found.append(EurekaSite(self.loop, max(cache, 0.0), fleet.skew))
        return found

    async def start_site(self, number: int) -> Site:
        lists = self.lists()
        for one in lists:
            await one.listen()
            for other in self.exchanges:
                if other != number:
                    address = self.proxies[number, other].address
                    one.preset(Entry(address, other, zone=other % self.day.fleet.districts))
        settings = self.settings(number, lists)
        server: CallServer | ProcessServer
        if self.folder is not None:
            server = ProcessServer(self.loop, settings, self.folder, self.log)
        else:
            server = CallServer(self.loop, settings, self.log, self.capture.tracer(settings.name))
        await server.start()
        callers_part = self.day.callers
        manners = Manners(
            patience=callers_part.patience / SECOND,
            redials=callers_part.redials,
            redial_wait=(callers_part.waits[0] / SECOND, callers_part.waits[1] / SECOND),
            heeds_pause=callers_part.heeds,
            leaves_early=callers_part.leaves,
            marks=callers_part.marks,
        )
        callers = Callers(
            self.loop, server.address, Random(self.rng.getrandbits(64)), manners, callers_part.connections,
            f"c{number}",
        )  # fmt: skip
        return Site(number, lists, server, callers)

    # -- what a script does to it --------------------------------------------------------------------------

    def toward(self, number: int) -> list[Proxy]:
        """The proxies on the way between call servers and an exchange."""
        return [p for pair, p in self.proxies.items() if number in pair]

    def tell(self, number: int, state: str, started: float | None = None) -> None:
        """The registers learn of a change."""
        if state == "up":
            self._back(number)
        else:
            self.left_at.setdefault(number, int(self.loop.time() * SECOND))
        for site in self.sites.values():
            if site.number != number:
                address = self.proxies[site.number, number].address
                zone = number % self.day.fleet.districts
                for one in site.lists:
                    one.change(Entry(address, number, state, started, zone))

    def _back(self, number: int) -> None:
        since = self.left_at.pop(number, None)
        if since is not None:
            offices = frozenset(p.address for pair, p in self.proxies.items() if pair[1] == number)
            self.away.append(Away(offices, since, int(self.loop.time() * SECOND)))

    def kill(self, number: int) -> None:
        """The processor dies: what stood there is lost."""
        self.left_at.setdefault(number, int(self.loop.time() * SECOND))
        for site in self.sites.values():
            for one in site.lists:
                one.died(number)
        self.past.append(self.exchanges[number])
        self.exchanges[number].die()
        for pair, proxy in self.proxies.items():
            if pair[1] == number and number not in self.servers:
                proxy.cut()

    async def revive(self, number: int) -> None:
        """It starts again, cold, at the same address."""
        self.place(number)
        exchange = self.exchanges[number] = await self.start_exchange(number, self.loop.time())
        if number in self.servers:
            return
        for pair, proxy in self.proxies.items():
            if pair[1] == number:
                proxy.target = exchange.address
                proxy.mend()
        await self.join(number)
        for other, neighbour in self.exchanges.items():
            if other not in self.servers and other != number:
                old = neighbour.neighbours.get(number)
                neighbour.neighbours[number] = exchange.address
                if old != exchange.address:
                    neighbour._keep(exchange.address)

    def resize(self, number: int, server: int, circuits: int) -> None:
        """The group of a stand-in and a call server gets another size, at both ends."""
        self.exchanges[number].trunks[server].resize(circuits)
        node = self.sites[server].server
        assert isinstance(node, CallServer)
        sizes = {p.number: circuits if p.number == number else p.circuits for p in node.settings.peers}
        peers = [msgspec.structs.replace(p, circuits=sizes[p.number]) for p in node.settings.peers]
        node.resize(msgspec.structs.replace(node.settings, peers=peers))

    def lose_circuits(self, number: int, server: int, keep: float) -> None:
        """The group of an exchange and a call server keeps this share of its circuits."""
        if number not in self.servers:
            self.exchanges[number].block(server, keep)
            return
        lost = lost_circuits(self.circuits(number, server), keep)
        for one in (number, server):  # both ends are call servers: their callers' element tells them
            site = self.sites[one]
            tell_blocked(site.callers, site.server.address, (number, server), self.day.name, lost)

    # -- traffic -------------------------------------------------------------------------------------------

    def classes(self) -> list[Class]:
        return [
            Class(c.name, c.worth, c.aim / SECOND, c.mean_hold / SECOND, c.late_share)
            for c in self.day.classes
        ]

    def number_of(self, dest: int, rng: Random) -> str:
        return f"{prefix(dest)}{rng.randrange(NUMBERS):04d}"

    # -- what came of it -----------------------------------------------------------------------------------

    def captured(self) -> Capture:
        """All that passed the call servers' sockets, once they have stopped."""
        apart = [s.server.captured() for s in self.sites.values() if isinstance(s.server, ProcessServer)]
        return Capture.merged(apart) if apart else self.capture

    def left(self) -> tuple[int, int, dict[str, int]]:
        """Calls and circuits that the servers still hold, and what they counted."""
        calls = circuits = 0
        counts: dict[str, int] = {}
        for site in self.sites.values():
            server = site.server
            if isinstance(server, ProcessServer):
                mine, busy, counted = server.left["calls"], server.left["circuits"], server.counts
            else:
                assert server.engine is not None
                mine, counted = len(server.engine.calls), server.engine.counts
                busy = server.engine.busy_circuits()
            calls, circuits = calls + mine, circuits + busy
            for what, count in counted.items():
                counts[what] = counts.get(what, 0) + count
        return calls, circuits, counts

    def circuits_at_standins(self) -> int:
        """Circuits toward call servers that the far ends hold busy."""
        return sum(
            len(t.busy) for e in self.exchanges.values() for n, t in e.trunks.items() if n in self.servers
        )

    def facts(self) -> Facts:
        rules = self.day.rules
        for number in list(self.left_at):
            self._back(number)
        return Facts(
            release_wait=rules.release_wait,
            drain_grace=rules.drain_grace,
            cold_share=rules.cold.share,
            cold_time=rules.cold.time,
            cold_multiple=rules.cold.multiple,
            cold_window=rules.cold.window,
            stalls=tuple(self.stalls),
            away=tuple(self.away),
            starts=tuple(
                ColdStart(
                    frozenset(p.address for pair, p in self.proxies.items() if pair[1] == number),
                    int(at * SECOND),
                    self.day.fleet.capacity,
                )
                for number, at in self.starts
            ),
        )
