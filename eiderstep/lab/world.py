"""The environment of one test day: call servers, stand-ins, proxies and registers on one event loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from dataclasses import dataclass
from pathlib import Path
from random import Random
from typing import Any

from eiderstep.audit import Capture, ColdStart, Facts, Stall, UnavailablePeriod
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
from eiderstep.engine.timers import ControllerFactory
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.emulator.conditions import Conditions
from eiderstep.lab.emulator.hosts import Host
from eiderstep.lab.process import ProcessServer, StrangerProcess
from eiderstep.lab.registry import APP_NAME, REPLICATION_DELAY_S, StandinRegistry
from eiderstep.lab.script import SECOND, Day
from eiderstep.server.call_server import CallServer
from eiderstep.sip.message import split_address
from eiderstep.standin.callers import CallerBehaviour, CallerClass, Callers
from eiderstep.standin.exchange import Exchange, ExchangeConfig
from eiderstep.standin.processor import Processor, ProcessorConfig
from eiderstep.standin.proxy import Proxy
from eiderstep.standin.register import Entry
from eiderstep.standin.register import Register as RegisterStandin
from eiderstep.standin.stranger import Attacker, Victim

METER_BUCKET = 10 * SECOND  # bucket length of a day whose trunk groups are measured
LONG_FIRST_MESSAGE = 3600 * SECOND  # on a measured group of one circuit a caller may be silent for minutes
SUBSCRIBERS = 1000  # called numbers of one exchange
# Set-ups per second: effectively unlimited, for subscriber lines whose call server's emulated processor sets
# the limit.
UNLIMITED_CAPACITY = 100_000.0
# Seconds that a call may wait for its call server beyond the processor's queueing delay at its arrival.
PROCESSING_MARGIN_S = 0.1
Log = Callable[[str, str, str, dict[str, Any]], None]


@dataclass
class Site:
    """One exchange with an eiderstep call server, with its sources of the exchange list and its callers."""

    number: int
    lists: list[RegisterStandin | StandinRegistry]
    server: CallServer | ProcessServer
    callers: Callers


def exchange_host(number: int) -> str:
    """The loopback address of an exchange; a call server identifies the exchange by it."""
    return f"127.1.{number // 250}.{number % 250 + 1}"


def callers_host(number: int) -> str:
    """The loopback address of the callers of an exchange."""
    return f"127.2.{number // 250}.{number % 250 + 1}"


CALLERS_NET = "127.2.0.0/16"


def number_prefix(number: int) -> str:
    """The leading digits of the numbers of an exchange."""
    return f"{4000 + number}"


class World:
    """All components of a day.

    `servers`: the exchanges with an eiderstep call server; the others are stand-ins.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        day: Day,
        seed: int,
        log: Log,
        servers: tuple[int, ...] = (0,),
        folder: Path | None = None,
        controller_factory: ControllerFactory | None = None,
    ) -> None:
        """`folder`: if set, call servers run in separate processes and write their captures to it.

        `controller_factory`: makes the controller used in place of the decision module (for baselines).
        """
        self.controller_factory = controller_factory
        self.loop, self.day, self.seed, self.log = loop, day, seed, log
        self.rng = Random(seed)
        self.capture = Capture()
        self.servers, self.folder = servers, folder
        self.exchanges: dict[int, Exchange] = {}
        self.former_exchanges: list[Exchange] = []
        self.proxies: dict[tuple[int, int], Proxy] = {}
        self.sites: dict[int, Site] = {}
        self.cold_starts: list[tuple[int, float]] = []
        self.stalls: list[Stall] = []
        self.conditions = Conditions()
        self.hosts: dict[int, Host] = {}  # processes of the exchanges; in virtual time only
        self.control_hosts: dict[int, Host] = {}  # processes of the call servers; in virtual time only
        self.circuit_shares: dict[tuple[int, int], float] = {}  # share of its circuits that a group still has
        self.restarts: dict[int, int] = {}  # number of restarts of each killed call server
        self.measurement_folder: Path | None = None  # folder for the measurements of the trunk groups
        self.unavailable: list[UnavailablePeriod] = []
        self.unavailable_since: dict[int, int] = {}  # unavailable exchanges, and since when (ns)
        self.strangers: list[Attacker | StrangerProcess] = []
        # By call server: when its standing calls were last collected for the strangers, and these calls.
        self.victims_cache: dict[int, tuple[float, list[Victim]]] = {}
        self.started_at = 0.0

    # -- building ------------------------------------------------------------------------------------------

    @contextmanager
    def sockets_at(self, number: int, control: bool = False) -> Iterator[None]:
        """Within this context, new sockets belong to the exchange and run on its host.

        `control`: they run on the host of its call server.
        """
        host = (self.control_hosts if control else self.hosts).get(number)
        self.set_place(number)
        if host is None:
            yield
        else:
            with host.as_current():
                yield

    def set_place(self, number: int) -> None:
        """Assign the sockets created from now on to the exchange's place in the network."""
        if isinstance(self.loop, VirtualLoop):
            self.loop.set_place(f"x{number}")

    def exchange_by_prefix(self) -> dict[str, int]:
        """Exchanges by number prefix."""
        return {number_prefix(n): n for n in range(self.day.fleet.count)}

    def has_group(self, one: int, other: int) -> bool:
        return sorted((one, other)) not in [sorted(pair) for pair in self.day.fleet.unlinked]

    def group_size(self, one: int, other: int) -> int:
        """The size of a trunk group: the script's figure for each call server that sends calls over it."""
        call_servers = (one in self.servers) + (other in self.servers)
        return self.day.fleet.circuits * max(call_servers, 1) if self.has_group(one, other) else 0

    def exchange_config(self, number: int, lines_only: bool) -> ExchangeConfig:
        """`lines_only`: the exchange has a call server, and the stand-in plays only its subscriber lines."""
        fleet, cold = self.day.fleet, self.day.rules.cold
        others = [n for n in range(fleet.count) if n != number]
        separate_processor = lines_only and fleet.own_work  # the processor belongs to the call server's host
        return ExchangeConfig(
            number=number,
            group_sizes={} if lines_only else {n: self.group_size(number, n) for n in others},
            dial_plan=self.exchange_by_prefix(),
            context=self.day.name,
            capacity=UNLIMITED_CAPACITY if separate_processor else fleet.capacity,
            max_wait=fleet.refuse_past / SECOND,
            sends_pause=fleet.names_wait,
            report_kind=fleet.report,
            report_interval=fleet.refresh / SECOND,
            cold_share=cold.share,
            cold_time=cold.time / SECOND,
            crash_multiple=cold.multiple if fleet.can_fall and cold.time else 0.0,
            crash_window=cold.window / SECOND,
            busy_share=fleet.busy_lines,
            warm_up=fleet.warm_up,
            answers_first=fleet.answers_first,
            queues_releases=fleet.releases_wait and not separate_processor,
            drops_cancelled=fleet.drops_cancelled,
        )

    async def build(self) -> None:
        """Start the exchanges, then the proxies, then the call servers, and connect stand-ins and callers."""
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
                    self.set_place(other)
                    proxy = Proxy(
                        self.loop, self.exchanges[other].address, exchange_host(other), exchange_host(one)
                    )
                    proxy.refuse = other in self.servers  # until its call server is running
                    await proxy.listen()
                    self.proxies[one, other] = proxy
        for number in self.servers:
            self.set_place(number)
            self.sites[number] = await self.start_site(number)
        for number, site in self.sites.items():
            for other in range(fleet.count):
                if other != number:
                    self.proxies[other, number].target = site.server.address
                    self.proxies[other, number].stop_refusing()
        for number in range(fleet.count):
            if number not in self.servers:
                await self.connect_standin(number)
        for site in self.sites.values():
            self.set_place(site.number)
            await site.callers.connect()
        if len(self.sites) > 1:
            # The call servers started before the others listened; give them time to connect to each other.
            await asyncio.sleep(2.0)

    async def start_exchange(self, number: int, started: float | None) -> Exchange:
        lines_only = number in self.servers
        if isinstance(self.loop, VirtualLoop):
            self.hosts[number] = Host(self.loop, f"x{number}")
        # The lines of a call server keep the address in its settings; other exchanges are behind proxies.
        previous = self.exchanges.get(number) if lines_only else None
        host, port = split_address(previous.address) if previous is not None else (exchange_host(number), 0)
        with self.sockets_at(number):
            rng = Random(self.rng.getrandbits(64))
            exchange = Exchange(self.loop, self.exchange_config(number, lines_only), rng, started)
            exchange.local_host = host
            await exchange.listen(host, port)
        if started is not None:
            self.cold_starts.append((number, started))
        return exchange

    async def connect_standin(self, number: int) -> None:
        """Connect a stand-in to its neighbours: to call servers over proxies, to other stand-ins directly."""
        neighbours = {}
        for other in self.exchanges:
            if other != number:
                proxy = self.proxies.get((number, other))
                neighbours[other] = proxy.address if proxy is not None else self.exchanges[other].address
        with self.sockets_at(number):
            await self.exchanges[number].connect_neighbours(neighbours)

    def server_settings(self, number: int, lists: list[RegisterStandin | StandinRegistry]) -> ServerSettings:
        fleet, day = self.day.fleet, self.day
        others = [n for n in range(fleet.count) if n != number]
        return ServerSettings(
            number=number,
            listen=f"{exchange_host(number)}:0",
            trust=Trust(callers=[Caller(name="own", networks=[CALLERS_NET])]),
            context=day.name,
            name=self.server_name(number),
            classes=day.classes,
            peers=[
                Peer(
                    number=n, address=self.proxies[number, n].address, zone=n % fleet.districts,
                    circuits=self.group_size(number, n),
                )
                for n in others
            ],
            dial_plan=[Route(prefix=p, exchange=n) for p, n in self.exchange_by_prefix().items()],
            lines=self.exchanges[number].address,
            controllers=max(len(self.servers), 1),
            ordinal=self.servers.index(number),
            rules=day.rules,
            register=next(
                (Register(address=x.address) for x in lists if isinstance(x, RegisterStandin)), None
            ),
            registry=next((self.registry_settings(x) for x in lists if isinstance(x, StandinRegistry)), None),
            list_from="register" if fleet.list_from == "register" else "registry",
            sizing=self.sizing_settings(number),
            limits=Limits(
                first_message=LONG_FIRST_MESSAGE if self.measurement_folder else 3 * SECOND, drain=2 * SECOND
            ),
            seed=self.seed * 1009 + number + 7919 * self.restarts.get(number, 0),
        )  # fmt: skip

    def server_name(self, number: int) -> str:
        """The name of a call server; each restart after a kill gives it a new one."""
        life = self.restarts.get(number, 0)
        return f"server-{number}" + (f".{life}" if life else "")

    def sizing_settings(self, number: int) -> Sizing | None:
        if self.measurement_folder is None:
            return None
        return Sizing(store=str(self.measurement_folder / f"{number}.db"), period=METER_BUCKET)

    def registry_settings(self, site: StandinRegistry) -> Registry:
        fleet = self.day.fleet
        return Registry(
            addresses=site.addresses, app=APP_NAME, poll=fleet.poll, form=fleet.form, hold=fleet.hold,
            dial=SECOND // 2, silence=SECOND, whole=2 * SECOND, full_every=10 * fleet.poll,
        )  # fmt: skip

    def create_list_sources(self) -> list[RegisterStandin | StandinRegistry]:
        """Create the sources of the exchange list.

        A registry is late by its cache time and by half a poll interval on average.  The cache time is set so
        that both together equal the lag of a register, which makes results with either source comparable.
        """
        fleet, sources = self.day.fleet, list[RegisterStandin | StandinRegistry]()
        if fleet.list_from in ("register", "both"):
            sources.append(RegisterStandin(self.loop, fleet.register_lag / SECOND))
        if fleet.list_from in ("registry", "both"):
            cache_lag = (fleet.register_lag - fleet.poll / 2) / SECOND - REPLICATION_DELAY_S / 2
            sources.append(StandinRegistry(self.loop, max(cache_lag, 0.0), fleet.skew))
        return sources

    async def start_site(self, number: int) -> Site:
        lists = self.create_list_sources()
        for source in lists:
            await source.listen()
            for other in self.exchanges:
                if other != number:
                    address = self.proxies[number, other].address
                    source.add_running(Entry(address, other, zone=other % self.day.fleet.districts))
        server = await self.start_server(number, lists)
        caller_settings = self.day.callers
        behaviour = CallerBehaviour(
            give_up_time=caller_settings.patience / SECOND,
            max_redials=caller_settings.redials,
            redial_wait=(caller_settings.waits[0] / SECOND, caller_settings.waits[1] / SECOND),
            pause_obeyed_share=caller_settings.heeds,
            early_hang_up_share=caller_settings.leaves,
            sends_marks=caller_settings.marks,
        )
        callers = Callers(
            self.loop, server.address, Random(self.rng.getrandbits(64)), behaviour,
            caller_settings.connections, f"c{number}",
        )  # fmt: skip
        callers.local_host = callers_host(number)
        control = self.control_hosts.get(number)
        if control is not None and control.processor is not None:
            # A call waits in the queue of the exchange's processor before the call server sees it.  The
            # caller's give-up time starts when it does.
            callers.processor_wait = lambda: self.control_hosts[number].queueing_delay() + PROCESSING_MARGIN_S
        return Site(number, lists, server, callers)

    async def start_server(
        self, number: int, lists: list[RegisterStandin | StandinRegistry], started: float | None = None
    ) -> CallServer | ProcessServer:
        """Start the call server of an exchange.  `started`: loop time of this start, None if it is warm."""
        settings = self.server_settings(number, lists)
        if self.folder is not None:
            process = ProcessServer(self.loop, settings, self.folder, self.log)
            await process.start()
            return process
        if isinstance(self.loop, VirtualLoop):
            self.control_hosts[number] = Host(self.loop, settings.name, self.own_processor(started))
        with self.sockets_at(number, control=True):
            server = CallServer(
                self.loop,
                settings,
                self.log,
                self.capture.tracer(settings.name),
                controller_factory=self.controller_factory,
            )
            await server.start()
        return server

    def own_processor(self, started: float | None) -> Processor | None:
        """The emulated processor of an exchange with an eiderstep call server; None if the day has none."""
        fleet, cold = self.day.fleet, self.day.rules.cold
        if not fleet.own_work:
            return None
        making = ProcessorConfig(fleet.capacity, cold.share, cold.time / SECOND, fleet.warm_up)
        return Processor(making, self.loop.time, lambda delay, callback: None, started)

    # -- traffic -------------------------------------------------------------------------------------------

    def classes(self) -> list[CallerClass]:
        return [
            CallerClass(c.name, c.worth, c.aim / SECOND, c.mean_hold / SECOND, c.late_share)
            for c in self.day.classes
        ]

    def hot_number(self, dest: int) -> str:
        """The number that a `hot_number` trouble directs calls to; `random_number` never returns it."""
        return f"{number_prefix(dest)}{SUBSCRIBERS:04d}"

    def random_number(self, dest: int, rng: Random) -> str:
        return f"{number_prefix(dest)}{rng.randrange(SUBSCRIBERS):04d}"

    # -- results -------------------------------------------------------------------------------------------

    def captured(self) -> Capture:
        """The traffic on the call servers' sockets; complete once they have stopped."""
        captures = [
            site.server.captured() for site in self.sites.values() if isinstance(site.server, ProcessServer)
        ]
        return Capture.merged(captures) if captures else self.capture

    def remaining(self) -> tuple[int, int, dict[str, int]]:
        """The calls and circuits that the servers still hold, and the sums of their counters."""
        calls = circuits = 0
        counts: dict[str, int] = {}
        for site in self.sites.values():
            server = site.server
            if isinstance(server, ProcessServer):
                server_calls, server_circuits, server_counts = (
                    server.remaining["calls"],
                    server.remaining["circuits"],
                    server.counts,
                )
            else:
                if server.engine is None:  # killed and not restarted
                    continue
                server_calls, server_counts = len(server.engine.calls), server.engine.counts
                server_circuits = server.engine.busy_circuits()
            calls, circuits = calls + server_calls, circuits + server_circuits
            for name, count in server_counts.items():
                counts[name] = counts.get(name, 0) + count
        return calls, circuits, counts

    def circuits_at_standins(self) -> int:
        """The number of circuits to call servers that are busy at the stand-ins' end."""
        return sum(
            len(trunk.holders)
            for exchange in self.exchanges.values()
            for neighbour, trunk in exchange.trunk_groups.items()
            if neighbour in self.servers
        )

    def _end_unavailability(self, number: int) -> None:
        since = self.unavailable_since.pop(number, None)
        if since is not None:
            offices = frozenset(proxy.address for pair, proxy in self.proxies.items() if pair[1] == number)
            self.unavailable.append(UnavailablePeriod(offices, since, int(self.loop.time() * SECOND)))

    def fell_into_stall(self, node: str, at: float) -> bool:
        """Whether the deadline `at` (s) of a response fell into a stall of its server."""
        return any(s.since <= at * SECOND <= s.until and s.node in ("", node) for s in self.stalls)

    def audit_facts(self) -> Facts:
        """The facts for the audit.  Ends all open periods of unavailability, so call it after the day."""
        rules = self.day.rules
        for number in list(self.unavailable_since):
            self._end_unavailability(number)
        return Facts(
            release_wait=rules.release_wait,
            drain_grace=rules.drain_grace,
            cold_share=rules.cold.share,
            cold_time=rules.cold.time,
            cold_multiple=rules.cold.multiple,
            cold_window=rules.cold.window,
            stalls=tuple(self.stalls),
            unavailable=tuple(self.unavailable),
            cold_starts=tuple(
                ColdStart(
                    frozenset(p.address for pair, p in self.proxies.items() if pair[1] == number),
                    int(at * SECOND),
                    self.day.fleet.capacity,
                )
                for number, at in self.cold_starts
            ),
        )
