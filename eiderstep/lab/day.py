"""Playing a day: traffic and troubles by the script, then the books: service, rules, circuits."""

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

QUIET = 0.2  # seconds between the world's last release and the look at its circuits


@dataclass
class Result:
    """What a day came to."""

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
    fell: list[int]
    counts: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    attacks: int = 0  # messages of strangers that were sent
    samples: list[Sample] = field(default_factory=list)
    world: Stage | None = None

    def windows(self, length: float) -> list[tuple[float, float]]:
        """The share of worth served, by when calls were asked for: beginning of the window (s), share."""
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
        """From the moment a server heard of a departure to its last set-up there (ms)."""
        late = list(self.verdict.departures.values())
        p99 = quantile(late, 0.99)
        return {"heard": len(late), "p99_ms": round(p99, 1), "worst_ms": round(max(late, default=0.0), 1)}

    @property
    def good(self) -> bool:
        """No rule broken, every caller answered, nothing left behind."""
        return self.verdict.kept and not (
            self.unanswered or self.left_calls or self.left_circuits or self.errors
        )

    def as_json(self) -> dict[str, Any]:
        """Plain data, in a fixed order."""
        return {
            "title": self.title, "seed": self.seed, "servers": self.servers, "clock": self.clock,
            "good": self.good,
            "service": {k: round(v, 4) for k, v in self.service.items()},
            "breaches": [str(b) for b in self.verdict.breaches],
            "calls": self.verdict.calls, "answered": self.verdict.answered, "stood": self.verdict.stood,
            "set_ups": self.verdict.set_ups, "asks": self.asks, "tries": self.tries,
            "finals": {str(k): v for k, v in sorted(self.finals.items())},
            "unanswered": self.unanswered, "left_calls": self.left_calls, "left_circuits": self.left_circuits,
            "circuit_faults": self.circuit_faults[:20], "fell": self.fell,
            "set_up_ms": {"p50": round(self.p50_ms, 2), "p99": round(self.p99_ms, 2)},
            "departures": self.departures, "attacks": self.attacks,
            "counts": dict(sorted(self.counts.items())), "errors": self.errors[:20],
        }  # fmt: skip


class Player:
    """Runs one world through one day."""

    def __init__(self, world: Stage) -> None:
        self.world, self.day, self.loop = world, world.day, world.loop
        self.rng = Random(world.seed ^ 0xDA7)
        self.bursts: list[tuple[float, float, float, float]] = []  # from, to, rise (s), factor
        self.shifts: list[dict[int, float]] = []  # where calls go, by each trouble that shifts it
        self.idle: list[Any] = []
        self.samples: list[Sample] = []
        self.over = False

    async def play(self) -> None:
        """The day from its first call to its last release."""
        world, day = self.world, self.day
        await world.build()
        world.began = self.loop.time()
        tasks = [
            self.loop.create_task(self._traffic(site.callers, site.number)) for site in world.sites.values()
        ]
        if day.traffic.transit or day.traffic.incoming:
            tasks.append(self.loop.create_task(self._from_others()))
        self._sample()
        for trouble in day.troubles:
            self.loop.call_at(world.began + trouble.at / SECOND, self._begin, trouble)
        await asyncio.sleep(day.length / SECOND)
        self.over = True
        for task in tasks:
            task.cancel()
        for site in world.sites.values():
            site.callers.quiet = True
        await asyncio.sleep(day.callers.patience / SECOND + 0.1)
        for site in world.sites.values():
            for one in list(site.callers.standing.values()):
                site.callers._hang_up(one)
            site.callers.pump()
        for exchange in world.exchanges.values():
            for onward in list(exchange.legs_out.values()):
                exchange._drop(onward)
            exchange.pump()
        await asyncio.sleep(day.settle / SECOND)

    async def stop(self) -> None:
        """Orderly stops, then everything is shut."""
        world = self.world
        for site in world.sites.values():
            site.server.stop()
        for site in world.sites.values():
            await site.server.stopped
            for one in site.lists:
                one.close()
            site.callers.die()
        for exchange in world.exchanges.values():
            exchange.die()
        for proxy in world.proxies.values():
            proxy.close()
        for wire in self.idle:
            wire.close()
        for stranger in world.strangers:
            stranger.close()
        await asyncio.sleep(QUIET)

    def _sample(self) -> None:
        self.samples.append(take(self.world))
        if not self.over:
            self.loop.call_later(EVERY, self._sample)

    # -- traffic -------------------------------------------------------------------------------------------

    async def _traffic(self, callers: Any, here: int) -> None:
        """Poisson arrivals, whereto by lot."""
        day, rng = self.day, Random(self.rng.getrandbits(64))
        classes, shares = self.world.classes(), day.traffic.shares
        others = [n for n in range(day.fleet.count) if n != here]
        at = self.loop.time()
        while not self.over:
            conditions = self.world.conditions
            floods = [conditions.of(n, "flood") for n in others]
            rate = day.traffic.rate * self.rate_now() * sum(floods) / len(others)
            at += rng.expovariate(rate)
            await asyncio.sleep(max(at - self.loop.time(), 0.0))
            at = max(at, self.loop.time() - 1.0)
            cls = rng.choices(classes, shares)[0]
            shifts = [prod(shift[n] for shift in self.shifts) for n in others]
            weights = [w * shift for w, shift in zip(floods, shifts, strict=True)]
            dest = rng.choices(others, weights)[0]
            hot = conditions.of(dest, "hot")
            if hot and rng.random() < hot:
                callers.offer(cls, self.world.hot_number(dest))
            else:
                callers.offer(cls, self.world.number_of(dest, rng))

    async def _from_others(self) -> None:
        """Calls of stand-in exchanges: in transit over a call server, or to its own subscribers."""
        day, world, rng = self.day, self.world, Random(self.rng.getrandbits(64))
        transit, incoming = day.traffic.transit, day.traffic.incoming
        standins = [n for n in world.exchanges if n not in world.servers]
        while not self.over and standins:
            await asyncio.sleep(rng.expovariate(transit + incoming))
            cls = rng.choices(day.classes, day.traffic.shares)[0]
            one, via = rng.choice(standins), rng.choice(world.servers)
            through = rng.random() < transit / (transit + incoming) and len(standins) > 1
            dest = rng.choice([n for n in standins if n != one]) if through else via
            exchange = world.exchanges[one]
            if not exchange.dead:
                exchange.place(
                    dest, via, world.number_of(dest, rng), cls.name, cls.width, day.callers.patience / SECOND,
                    rng.expovariate(SECOND / cls.mean_hold),
                )  # fmt: skip

    # -- troubles ------------------------------------------------------------------------------------------

    def _begin(self, trouble: Trouble) -> None:
        TROUBLES[trouble.kind](self, trouble)

    def after(self, trouble: Trouble, what: Callable[[], object]) -> None:
        """Do something once a trouble is over."""
        self.loop.call_later(trouble.lasts / SECOND, what)

    def rate_now(self) -> float:
        """Times the usual calls, of all bursts that go on."""
        now, factor = self.loop.time(), 1.0
        for began, ends, rise, most in self.bursts:
            if began <= now < ends:
                part = min(now - began, ends - now) / rise if rise else 1.0
                factor *= 1 + (most - 1) * min(part, 1.0)
        return factor


def quantile(values: list[float], share: float) -> float:
    """A quantile of a list, 0 for none."""
    ordered = sorted(values)
    return ordered[min(int(share * len(ordered)), len(ordered) - 1)] if ordered else 0.0


async def _run(world: Stage) -> Result:
    player = Player(world)
    await player.play()
    far_circuits = world.circuits_at_standins()
    left = None if world.folder is not None else world.left()
    await player.stop()
    left_calls, left_circuits, counts = left or world.left()  # processes say it when they stop
    day = world.day
    asks = [ask for site in world.sites.values() for ask in site.callers.asks]
    took = [t for site in world.sites.values() for t in site.callers.took]
    finals: dict[int, int] = {}
    for site in world.sites.values():
        for status, count in site.callers.finals.items():
            finals[status] = finals.get(status, 0) + count
    weights = Weights(*day.weights, length=day.window / SECOND)
    everyone = [*world.exchanges.values(), *world.past]
    return Result(
        title=day.title,
        seed=world.seed,
        servers=len(world.servers),
        clock="virtual" if isinstance(world.loop, VirtualLoop) else "sockets",
        service=service(asks, weights, world.began),
        verdict=judge(world.captured(), world.facts()),
        finals=finals,
        unanswered=sum(
            not world.excused(site.server.settings.name, at)
            for site in world.sites.values()
            for at in site.callers.unanswered
        ),
        left_calls=left_calls,
        left_circuits=left_circuits + far_circuits,
        circuit_faults=[f for e in everyone for f in e.tally.circuit_faults],
        p50_ms=1000 * quantile(took, 0.5),
        p99_ms=1000 * quantile(took, 0.99),
        tries=sum(a.tries if a.tries < 90 else a.tries - 98 for a in asks),
        asks=len(asks),
        fell=[e.plant.number for e in everyone if e.tally.fell],
        counts=counts,
        attacks=sum(sum(s.sent.values()) for s in world.strangers),
        samples=player.samples,
        world=world,
        errors=[m for e in everyone for m in e.malformed]
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
    """Play a day on the virtual loop, or in real time over loopback sockets.

    `mind`: decides in place of the module; `allowed`: callbacks of a virtual day, 0 for any number.  Raises
    Endless when they are used up.
    """
    loop: asyncio.AbstractEventLoop = uvloop.new_event_loop() if sockets else VirtualLoop(allowed=allowed)
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as spare:
        try:
            world = Stage(loop, day, seed, log, servers, (keep or Path(spare)) if processes else None, mind)
            result = loop.run_until_complete(_run(world))
            return result, world.captured()
        finally:
            cancel_rest(loop)
            asyncio.set_event_loop(None)
            loop.close()


def cancel_rest(loop: asyncio.AbstractEventLoop) -> None:
    """End what still runs, so that closing the loop leaves nothing unawaited."""
    rest = asyncio.all_tasks(loop)
    for task in rest:
        task.cancel()
    if rest:
        loop.run_until_complete(asyncio.gather(*rest, return_exceptions=True))
