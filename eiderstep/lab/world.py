"""One day's world: call servers, stand-ins, proxies and registers on one event loop, virtual or real."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from eiderstep.audit import Away, Capture, ColdStart, Facts, Stall
from eiderstep.config.schema import (
    Caller,
    Limits,
    Peer,
    Register,
    Registry,
    Route,
    ServerSettings,
    Sizing,
    Trust,
)
from eiderstep.engine.timers import Mind
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.emulator.conditions import Conditions
from eiderstep.lab.emulator.hosts import Host
from eiderstep.lab.process import ProcessServer, StrangerProcess
from eiderstep.lab.registry import APP, REPLICATION, EurekaSite
from eiderstep.lab.script import SECOND, Day
from eiderstep.server.node import CallServer
from eiderstep.sip.message import split_address
from eiderstep.standin.callers import Callers, Class, Manners
from eiderstep.standin.exchange import Exchange, Plant
from eiderstep.standin.processor import Making, Processor
from eiderstep.standin.proxy import Proxy
from eiderstep.standin.register import Entry
from eiderstep.standin.register import Register as RegisterStandin
from eiderstep.standin.stranger import Stranger, Victim

MEASURED = 10 * SECOND  # a bucket of a measured day
PATIENT = 3600 * SECOND  # callers of a group of one circuit may say nothing for minutes
NUMBERS = 1000  # subscribers of one exchange that are called
AMPLE = 100_000.0  # set-ups a second: lines beside a processor that the emulator runs
LOOK_TIME = 0.1  # seconds that a caller may wait longer for the look at its call than the queue it found
Log = Callable[[str, str, str, dict[str, Any]], None]


@dataclass
class Site:
    """One exchange with a call server of the product: its server, its register, its callers."""

    number: int
    lists: list[RegisterStandin | EurekaSite]
    server: CallServer | ProcessServer
    callers: Callers


def host_of(number: int) -> str:
    """The loopback address of an exchange: who connects from there is that exchange."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


def callers_host(number: int) -> str:
    """That of its callers."""
    return f"127.2.{number // 250}.{number % 250 + 1}"


CALLERS_NET = "127.2.0.0/16"


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
        mind: Mind | None = None,
    ) -> None:
        """`folder`: call servers run in processes of their own and leave their captures there.

        `mind`: decides in place of the module (baselines).
        """
        self.mind = mind
        self.loop, self.day, self.seed, self.log = loop, day, seed, log
        self.rng = Random(seed)
        self.capture = Capture()
        self.servers, self.folder = servers, folder
        self.exchanges: dict[int, Exchange] = {}
        self.past: list[Exchange] = []
        self.proxies: dict[tuple[int, int], Proxy] = {}
        self.sites: dict[int, Site] = {}
        self.starts: list[tuple[int, float]] = []
        self.stalls: list[Stall] = []
        self.conditions = Conditions()
        self.hosts: dict[int, Host] = {}  # of the exchanges' own processes; virtual time only
        self.control: dict[int, Host] = {}  # of the call servers
        self.kept: dict[tuple[int, int], float] = {}  # share of its circuits that a group was told to keep
        self.lives: dict[int, int] = {}  # of call servers that were killed and came back
        self.measure: Path | None = None  # a folder: call servers measure their groups into it
        self.away: list[Away] = []
        self.left_at: dict[int, int] = {}  # exchanges that are away, and since when (ns)
        self.strangers: list[Stranger | StrangerProcess] = []
        self.known: dict[int, tuple[float, list[Victim]]] = {}  # what strangers know, and since when
        self.began = 0.0

    # -- building ------------------------------------------------------------------------------------------

    @contextmanager
    def on(self, number: int, control: bool = False) -> Iterator[None]:
        """Sockets made within belong to that exchange, and run on its host or on its call server's."""
        host = (self.control if control else self.hosts).get(number)
        self.place(number)
        if host is None:
            yield
        else:
            with host.on():
                yield

    def place(self, number: int) -> None:
        """Sockets made from here on are at that exchange."""
        if isinstance(self.loop, VirtualLoop):
            self.loop.at(f"x{number}")

    def numbers(self) -> dict[str, int]:
        """Exchanges by the prefix of their numbers."""
        return {prefix(n): n for n in range(self.day.fleet.count)}

    def linked(self, one: int, other: int) -> bool:
        return sorted((one, other)) not in [sorted(pair) for pair in self.day.fleet.unlinked]

    def circuits(self, one: int, other: int) -> int:
        """A group is as large as the script says for each call server that loads it."""
        loads = (one in self.servers) + (other in self.servers)
        return self.day.fleet.circuits * max(loads, 1) if self.linked(one, other) else 0

    def plant(self, number: int, alone: bool) -> Plant:
        fleet, cold = self.day.fleet, self.day.rules.cold
        others = [n for n in range(fleet.count) if n != number]
        beside = alone and fleet.own_work  # its call server's host has the processor
        return Plant(
            number=number,
            circuits={} if alone else {n: self.circuits(number, n) for n in others},
            numbers=self.numbers(),
            context=self.day.name,
            capacity=AMPLE if beside else fleet.capacity,
            refuse_past=fleet.refuse_past / SECOND,
            names_wait=fleet.names_wait,
            report=fleet.report,
            refresh=fleet.refresh / SECOND,
            cold_share=cold.share,
            cold_time=cold.time / SECOND,
            fall_multiple=cold.multiple if fleet.can_fall and cold.time else 0.0,
            fall_window=cold.window / SECOND,
            busy_lines=fleet.busy_lines,
            warm_up=fleet.warm_up,
            answers_first=fleet.answers_first,
            releases_wait=fleet.releases_wait and not beside,
            drops_cancelled=fleet.drops_cancelled,
        )

    async def build(self) -> None:
        """Everything listens, then the links are made, then the servers start."""
        fleet = self.day.fleet
        if isinstance(self.loop, VirtualLoop):
            for one in range(fleet.count):
                for other in range(fleet.count):
                    if one % fleet.districts != other % fleet.districts:
                        self.loop.network.delays[f"x{one}", f"x{other}"] = fleet.delay / SECOND
        for number in range(fleet.count):
            self.exchanges[number] = await self.start_exchange(number, None)
        for one in range(fleet.count):
            for other in range(fleet.count):
                if one != other and (one in self.servers or other in self.servers):
                    self.place(other)
                    proxy = Proxy(self.loop, self.exchanges[other].address, host_of(other), host_of(one))
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
        if isinstance(self.loop, VirtualLoop):
            self.hosts[number] = Host(self.loop, f"x{number}")
        # The lines of a call server are at the address in its settings; others are reached over proxies.
        before = self.exchanges.get(number) if alone else None
        host, port = split_address(before.address) if before is not None else (host_of(number), 0)
        with self.on(number):
            rng = Random(self.rng.getrandbits(64))
            exchange = Exchange(self.loop, self.plant(number, alone), rng, started)
            exchange.host = host
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
        with self.on(number):
            await self.exchanges[number].join(neighbours)

    def settings(self, number: int, lists: list[RegisterStandin | EurekaSite]) -> ServerSettings:
        fleet, day = self.day.fleet, self.day
        others = [n for n in range(fleet.count) if n != number]
        return ServerSettings(
            number=number,
            listen=f"{host_of(number)}:0",
            trust=Trust(callers=[Caller(name="own", networks=[CALLERS_NET])]),
            context=day.name,
            name=self.node(number),
            classes=day.classes,
            peers=[
                Peer(
                    number=n, address=self.proxies[number, n].address, zone=n % fleet.districts,
                    circuits=self.circuits(number, n),
                )
                for n in others
            ],
            dial_plan=[Route(prefix=p, exchange=n) for p, n in self.numbers().items()],
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
            seed=self.seed * 1009 + number + 7919 * self.lives.get(number, 0),
        )  # fmt: skip

    def node(self, number: int) -> str:
        """The call server's name; one that comes back after its death has another."""
        life = self.lives.get(number, 0)
        return f"server-{number}" + (f".{life}" if life else "")

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
        server = await self.start_server(number, lists)
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
        callers.host = callers_host(number)
        control = self.control.get(number)
        if control is not None and control.processor is not None:
            # The look at a call waits its turn at the exchange's processor; the caller's time runs from it.
            callers.look_wait = lambda: self.control[number].backlog() + LOOK_TIME
        return Site(number, lists, server, callers)

    async def start_server(
        self, number: int, lists: list[RegisterStandin | EurekaSite], started: float | None = None
    ) -> CallServer | ProcessServer:
        """The call server of an exchange.  `started`: the time of this start, None for long ago."""
        settings = self.settings(number, lists)
        if self.folder is not None:
            one = ProcessServer(self.loop, settings, self.folder, self.log)
            await one.start()
            return one
        if isinstance(self.loop, VirtualLoop):
            self.control[number] = Host(self.loop, settings.name, self.own_processor(started))
        with self.on(number, control=True):
            server = CallServer(
                self.loop, settings, self.log, self.capture.tracer(settings.name), mind=self.mind
            )
            await server.start()
        return server

    def own_processor(self, started: float | None) -> Processor | None:
        """That of an exchange whose control is a call server of the product."""
        fleet, cold = self.day.fleet, self.day.rules.cold
        if not fleet.own_work:
            return None
        making = Making(fleet.capacity, cold.share, cold.time / SECOND, fleet.warm_up)
        return Processor(making, self.loop.time, lambda after, what: None, started)

    # -- traffic -------------------------------------------------------------------------------------------

    def classes(self) -> list[Class]:
        return [
            Class(c.name, c.worth, c.aim / SECOND, c.mean_hold / SECOND, c.late_share)
            for c in self.day.classes
        ]

    def hot_number(self, dest: int) -> str:
        """The one that too many want: beside those that `number_of` draws."""
        return f"{prefix(dest)}{NUMBERS:04d}"

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
                if server.engine is None:  # killed, and not back
                    continue
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

    def _back(self, number: int) -> None:
        since = self.left_at.pop(number, None)
        if since is not None:
            offices = frozenset(p.address for pair, p in self.proxies.items() if pair[1] == number)
            self.away.append(Away(offices, since, int(self.loop.time() * SECOND)))

    def excused(self, node: str, at: float) -> bool:
        """Whether an answer that was due then (s) fell into a stall of its server."""
        return any(s.since <= at * SECOND <= s.until and s.node in ("", node) for s in self.stalls)

    def facts(self) -> Facts:
        """What only the day knows; no exchange goes or comes back any more."""
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
