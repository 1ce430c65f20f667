"""Plays a day script: generates its traffic and troubles, then checks service, rules and circuits."""

from __future__ import annotations

import asyncio
import tempfile
from collections.abc import Callable
from dataclasses import dataclass, field
from math import prod
from pathlib import Path
from random import Random
from typing import Any

import uvloop

from eiderstep.audit import Capture, Verdict, judge
from eiderstep.engine.timers import Mind
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.emulator.samples import EVERY, Sample, take
from eiderstep.lab.emulator.stage import Stage
from eiderstep.lab.emulator.troubles import TROUBLES
from eiderstep.lab.script import SECOND, Day, Trouble
from eiderstep.lab.world import Log
from eiderstep.standin.callers import Weights, service

STOP_SETTLE_S = 0.2  # time for the last connections to close after everything was stopped


@dataclass
class Result:
    """The result of a day.

    `service` holds the served share of worth: total, whole day, worst window and by class.  `unanswered`:
    calls without a final response at their give-up time, outside stalls.  `left_calls` and `left_circuits`:
    calls and circuits still held at the end.  `circuit_faults`: disagreements between the two ends of a
    circuit.  `collapsed`: exchanges that collapsed under too many set-ups while cold.
    """

    title: str
    seed: int
    servers: int
    clock: str
    service: dict[str, float]
    verdict: Verdict
    finals: dict[int, int]
    unanswered: int
    left_calls: int
    left_circuits: int
    circuit_faults: list[str]
    p50_ms: float
    p99_ms: float
    tries: int
    asks: int
    collapsed: list[int]
    counts: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    attacks: int = 0  # messages sent by strangers
    samples: list[Sample] = field(default_factory=list)
    world: Stage | None = None

    def windows(self, length: float) -> list[tuple[float, float]]:
        """The served share of worth in windows of `length` seconds: start of the window (s), share.

        A call belongs to the window of its first try.
        """
        if self.world is None:
            return []
        sums: dict[int, list[float]] = {}
        for site in self.world.sites.values():
            for ask in site.callers.asks:
                if ask.born >= self.world.began:
                    window = sums.setdefault(int((ask.born - self.world.began) / length), [0.0, 0.0])
                    window[0] += ask.earned
                    window[1] += ask.cls.worth
        return [(i * length, served / asked) for i, (served, asked) in sorted(sums.items())]

    @property
    def departures(self) -> dict[str, float]:
        """Time from the report of a departure to a server until its last set-up to that exchange (ms)."""
        delays_ms = list(self.verdict.departures.values())
        p99 = quantile(delays_ms, 0.99)
        return {
            "heard": len(delays_ms),
            "p99_ms": round(p99, 1),
            "worst_ms": round(max(delays_ms, default=0.0), 1),
        }

    @property
    def good(self) -> bool:
        """No rule broken, no call unanswered, no calls or circuits left, no errors."""
        return self.verdict.kept and not (
            self.unanswered or self.left_calls or self.left_circuits or self.errors
        )

    def as_json(self) -> dict[str, Any]:
        """The result as JSON-compatible data, in a fixed order."""
        return {
            "title": self.title, "seed": self.seed, "servers": self.servers, "clock": self.clock,
            "good": self.good,
            "service": {k: round(v, 4) for k, v in self.service.items()},
            "breaches": [str(b) for b in self.verdict.breaches],
            "calls": self.verdict.calls, "answered": self.verdict.answered, "stood": self.verdict.stood,
            "set_ups": self.verdict.set_ups, "asks": self.asks, "tries": self.tries,
            "finals": {str(k): v for k, v in sorted(self.finals.items())},
            "unanswered": self.unanswered, "left_calls": self.left_calls, "left_circuits": self.left_circuits,
            "circuit_faults": self.circuit_faults[:20], "fell": self.collapsed,
            "set_up_ms": {"p50": round(self.p50_ms, 2), "p99": round(self.p99_ms, 2)},
            "departures": self.departures, "attacks": self.attacks,
            "counts": dict(sorted(self.counts.items())), "errors": self.errors[:20],
        }  # fmt: skip


class Player:
    """Plays one day in one world."""

    def __init__(self, world: Stage) -> None:
        self.world, self.day, self.loop = world, world.day, world.loop
        self.rng = Random(world.seed ^ 0xDA7)
        self.bursts: list[tuple[float, float, float, float]] = []  # start, end, rise time (s), peak factor
        self.shifts: list[dict[int, float]] = []  # weights of destinations, for each active `shift` trouble
        self.idle: list[Any] = []  # connections opened by the `half_open` trouble
        self.samples: list[Sample] = []
        self.over = False

    async def play(self) -> None:
        """Play the day from its first call to its last release."""
        world, day = self.world, self.day
        await world.build()
        world.began = self.loop.time()
        tasks = [
            self.loop.create_task(self._offer_calls(site.callers, site.number))
            for site in world.sites.values()
        ]
        if day.traffic.transit or day.traffic.incoming:
            tasks.append(self.loop.create_task(self._offer_standin_calls()))
        self._sample()
        for trouble in day.troubles:
            self.loop.call_at(world.began + trouble.at / SECOND, self._start_trouble, trouble)
        await asyncio.sleep(day.length / SECOND)
        self.over = True
        for task in tasks:
            task.cancel()
        for site in world.sites.values():
            site.callers.quiet = True
        await asyncio.sleep(day.callers.patience / SECOND + 0.1)
        for site in world.sites.values():
            for call in list(site.callers.standing.values()):
                site.callers._hang_up(call)
            site.callers.pump()
        for exchange in world.exchanges.values():
            for leg in list(exchange.legs_out.values()):
                exchange._drop(leg)
            exchange.pump()
        await asyncio.sleep(day.settle / SECOND)

    async def stop(self) -> None:
        """Stop the call servers in an orderly way, then close everything."""
        world = self.world
        for site in world.sites.values():
            site.server.stop()
        for site in world.sites.values():
            await site.server.stopped
            for source in site.lists:
                source.close()
            site.callers.die()
        for exchange in world.exchanges.values():
            exchange.die()
        for proxy in world.proxies.values():
            proxy.close()
        for connection in self.idle:
            connection.close()
        for stranger in world.strangers:
            stranger.close()
        await asyncio.sleep(STOP_SETTLE_S)

    def _sample(self) -> None:
        self.samples.append(take(self.world))
        if not self.over:
            self.loop.call_later(EVERY, self._sample)

    # -- traffic -------------------------------------------------------------------------------------------

    async def _offer_calls(self, callers: Any, own_number: int) -> None:
        """Offer the calls of one exchange's callers: Poisson arrivals, random destinations."""
        day, rng = self.day, Random(self.rng.getrandbits(64))
        classes, shares = self.world.classes(), day.traffic.shares
        others = [n for n in range(day.fleet.count) if n != own_number]
        next_at = self.loop.time()
        while not self.over:
            conditions = self.world.conditions
            floods = [conditions.of(n, "flood") for n in others]
            rate = day.traffic.rate * self.burst_factor() * sum(floods) / len(others)
            next_at += rng.expovariate(rate)
            await asyncio.sleep(max(next_at - self.loop.time(), 0.0))
            # After a stall of the process, at most the arrivals of the last second are made up for.
            next_at = max(next_at, self.loop.time() - 1.0)
            cls = rng.choices(classes, shares)[0]
            shifts = [prod(shift[n] for shift in self.shifts) for n in others]
            weights = [flood * shift for flood, shift in zip(floods, shifts, strict=True)]
            dest = rng.choices(others, weights)[0]
            hot = conditions.of(dest, "hot")
            if hot and rng.random() < hot:
                callers.offer(cls, self.world.hot_number(dest))
            else:
                callers.offer(cls, self.world.number_of(dest, rng))

    async def _offer_standin_calls(self) -> None:
        """Offer calls from stand-in exchanges: in transit over a call server, or to its own subscribers."""
        day, world, rng = self.day, self.world, Random(self.rng.getrandbits(64))
        transit, incoming = day.traffic.transit, day.traffic.incoming
        standins = [n for n in world.exchanges if n not in world.servers]
        while not self.over and standins:
            await asyncio.sleep(rng.expovariate(transit + incoming))
            cls = rng.choices(day.classes, day.traffic.shares)[0]
            origin, via = rng.choice(standins), rng.choice(world.servers)
            is_transit = rng.random() < transit / (transit + incoming) and len(standins) > 1
            dest = rng.choice([n for n in standins if n != origin]) if is_transit else via
            exchange = world.exchanges[origin]
            if not exchange.dead:
                exchange.place(
                    dest, via, world.number_of(dest, rng), cls.name, cls.width, day.callers.patience / SECOND,
                    rng.expovariate(SECOND / cls.mean_hold),
                )  # fmt: skip

    # -- troubles ------------------------------------------------------------------------------------------

    def _start_trouble(self, trouble: Trouble) -> None:
        TROUBLES[trouble.kind](self, trouble)

    def after(self, trouble: Trouble, function: Callable[[], object]) -> None:
        """Call a function when a trouble is over."""
        self.loop.call_later(trouble.lasts / SECOND, function)

    def burst_factor(self) -> float:
        """The product of the factors of all active bursts."""
        now, factor = self.loop.time(), 1.0
        for start, end, rise, peak in self.bursts:
            if start <= now < end:
                ramp = min(now - start, end - now) / rise if rise else 1.0
                factor *= 1 + (peak - 1) * min(ramp, 1.0)
        return factor


def quantile(values: list[float], share: float) -> float:
    """A quantile of a list; 0 if the list is empty."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


async def _play_and_audit(world: Stage) -> Result:
    player = Player(world)
    await player.play()
    standin_circuits = world.circuits_at_standins()
    remaining = None if world.folder is not None else world.left()
    await player.stop()
    # Separate processes report these figures only when they stop.
    left_calls, left_circuits, counts = remaining or world.left()
    day = world.day
    asks = [ask for site in world.sites.values() for ask in site.callers.asks]
    set_up_times = [seconds for site in world.sites.values() for seconds in site.callers.took]
    finals: dict[int, int] = {}
    for site in world.sites.values():
        for status, count in site.callers.finals.items():
            finals[status] = finals.get(status, 0) + count
    weights = Weights(*day.weights, length=day.window / SECOND)
    exchanges = [*world.exchanges.values(), *world.past]
    return Result(
        title=day.title,
        seed=world.seed,
        servers=len(world.servers),
        clock="virtual" if isinstance(world.loop, VirtualLoop) else "sockets",
        service=service(asks, weights, world.began),
        verdict=judge(world.captured(), world.facts()),
        finals=finals,
        unanswered=sum(
            not world.fell_into_stall(site.server.settings.name, at)
            for site in world.sites.values()
            for at in site.callers.unanswered
        ),
        left_calls=left_calls,
        left_circuits=left_circuits + standin_circuits,
        circuit_faults=[fault for exchange in exchanges for fault in exchange.tally.circuit_faults],
        p50_ms=1000 * quantile(set_up_times, 0.5),
        p99_ms=1000 * quantile(set_up_times, 0.99),
        # `tries` of 99 marks a caller that hung up before the answer; it counts as one try.
        tries=sum(ask.tries if ask.tries < 90 else ask.tries - 98 for ask in asks),
        asks=len(asks),
        collapsed=[exchange.plant.number for exchange in exchanges if exchange.tally.fell],
        counts=counts,
        attacks=sum(sum(stranger.sent.values()) for stranger in world.strangers),
        samples=player.samples,
        world=world,
        errors=[message for exchange in exchanges for message in exchange.malformed]
        + (world.loop.errors if isinstance(world.loop, VirtualLoop) else []),
    )


def play(
    day: Day,
    seed: int,
    log: Log,
    servers: tuple[int, ...] = (0,),
    sockets: bool = False,
    processes: bool = False,
    keep: Path | None = None,
    mind: Mind | None = None,
    allowed: int = 0,
) -> tuple[Result, Capture]:
    """Play a day on the virtual loop, or in real time over loopback sockets (`sockets`).

    `servers`: the exchanges with a call server.  `processes`: run each of them in a separate process, with
    its files in `keep`.  `mind`: decides in place of the decision module.  `allowed`: limit of callbacks of a
    day on the virtual loop, 0 for no limit; raises Endless if it is exceeded.
    """
    loop: asyncio.AbstractEventLoop = uvloop.new_event_loop() if sockets else VirtualLoop(allowed=allowed)
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            world = Stage(
                loop, day, seed, log, servers, (keep or Path(temporary)) if processes else None, mind
            )
            result = loop.run_until_complete(_play_and_audit(world))
            return result, world.captured()
        finally:
            cancel_rest(loop)
            asyncio.set_event_loop(None)
            loop.close()


def cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all remaining tasks and wait for them, so that the loop can be closed without warnings."""
    remaining = asyncio.all_tasks(loop)
    for task in remaining:
        task.cancel()
    if remaining:
        loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
