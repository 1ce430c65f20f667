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

from eiderstep.audit import AuditReport, Capture, audit_capture
from eiderstep.engine.timers import ControllerFactory
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.emulator.emulated_world import EmulatedWorld
from eiderstep.lab.emulator.samples import SAMPLE_INTERVAL, Sample, take_sample
from eiderstep.lab.emulator.troubles import TROUBLES
from eiderstep.lab.script import SECOND, Day, Trouble
from eiderstep.lab.world import Log
from eiderstep.standin.callers import ServiceWeights, service_score

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
    audit_report: AuditReport
    finals: dict[int, int]
    unanswered: int
    left_calls: int
    left_circuits: int
    circuit_faults: list[str]
    p50_ms: float
    p99_ms: float
    tries: int
    offered_calls: int
    collapsed: list[int]
    counts: dict[str, int] = field(default_factory=dict)
    errors: list[str] = field(default_factory=list)
    attacks: int = 0  # messages sent by strangers
    samples: list[Sample] = field(default_factory=list)
    world: EmulatedWorld | None = None

    def share_by_window(self, length: float) -> list[tuple[float, float]]:
        """The served share of worth in windows of `length` seconds: start of the window (s), share.

        A call belongs to the window of its first try.
        """
        if self.world is None:
            return []
        sums: dict[int, list[float]] = {}
        for site in self.world.sites.values():
            for intent in site.callers.intents:
                if intent.created_at >= self.world.started_at:
                    window = sums.setdefault(
                        int((intent.created_at - self.world.started_at) / length), [0.0, 0.0]
                    )
                    window[0] += intent.earned_worth
                    window[1] += intent.call_class.worth
        return [(i * length, served / asked) for i, (served, asked) in sorted(sums.items())]

    @property
    def departures(self) -> dict[str, float]:
        """Time from the report of a departure to a server until its last set-up to that exchange (ms)."""
        delays_ms = list(self.audit_report.departures.values())
        p99 = quantile(delays_ms, 0.99)
        return {
            "heard": len(delays_ms),
            "p99_ms": round(p99, 1),
            "worst_ms": round(max(delays_ms, default=0.0), 1),
        }

    @property
    def passed(self) -> bool:
        """No rule broken, no call unanswered, no calls or circuits left, no errors."""
        return self.audit_report.passed and not (
            self.unanswered or self.left_calls or self.left_circuits or self.errors
        )

    def as_json(self) -> dict[str, Any]:
        """The result as JSON-compatible data, in a fixed order."""
        return {
            "title": self.title, "seed": self.seed, "servers": self.servers, "clock": self.clock,
            "good": self.passed,
            "service": {k: round(v, 4) for k, v in self.service.items()},
            "breaches": [str(b) for b in self.audit_report.breaches],
            "calls": self.audit_report.calls, "answered": self.audit_report.answered,
            "stood": self.audit_report.stood,
            "set_ups": self.audit_report.set_ups, "asks": self.offered_calls, "tries": self.tries,
            "finals": {str(k): v for k, v in sorted(self.finals.items())},
            "unanswered": self.unanswered, "left_calls": self.left_calls, "left_circuits": self.left_circuits,
            "circuit_faults": self.circuit_faults[:20], "fell": self.collapsed,
            "set_up_ms": {"p50": round(self.p50_ms, 2), "p99": round(self.p99_ms, 2)},
            "departures": self.departures, "attacks": self.attacks,
            "counts": dict(sorted(self.counts.items())), "errors": self.errors[:20],
        }  # fmt: skip


class Player:
    """Plays one day in one world."""

    def __init__(self, world: EmulatedWorld) -> None:
        self.world, self.day, self.loop = world, world.day, world.loop
        self.rng = Random(world.seed ^ 0xDA7)
        self.bursts: list[tuple[float, float, float, float]] = []  # start, end, rise time (s), peak factor
        self.shifts: list[dict[int, float]] = []  # weights of destinations, for each active `shift` trouble
        self.idle_connections: list[Any] = []  # connections opened by the `half_open` trouble
        self.samples: list[Sample] = []
        self.finished = False

    async def play(self) -> None:
        """Play the day from its first call to its last release."""
        world, day = self.world, self.day
        await world.build()
        world.started_at = self.loop.time()
        tasks = [
            self.loop.create_task(self._offer_calls(site.callers, site.number))
            for site in world.sites.values()
        ]
        if day.traffic.transit or day.traffic.incoming:
            tasks.append(self.loop.create_task(self._offer_standin_calls()))
        self._record_sample()
        for trouble in day.troubles:
            self.loop.call_at(world.started_at + trouble.at / SECOND, self._start_trouble, trouble)
        await asyncio.sleep(day.length / SECOND)
        self.finished = True
        for task in tasks:
            task.cancel()
        for site in world.sites.values():
            site.callers.redials_disabled = True
        await asyncio.sleep(day.callers.patience / SECOND + 0.1)
        for site in world.sites.values():
            for call in list(site.callers.standing_attempts.values()):
                site.callers._hang_up(call)
            site.callers.process_events()
        for exchange in world.exchanges.values():
            for leg in list(exchange.outbound_legs.values()):
                exchange._drop_outbound(leg)
            exchange.process_events()
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
            site.callers.kill()
        for exchange in world.exchanges.values():
            exchange.kill()
        for proxy in world.proxies.values():
            proxy.close()
        for connection in self.idle_connections:
            connection.close()
        for stranger in world.strangers:
            stranger.close()
        await asyncio.sleep(STOP_SETTLE_S)

    def _record_sample(self) -> None:
        self.samples.append(take_sample(self.world))
        if not self.finished:
            self.loop.call_later(SAMPLE_INTERVAL, self._record_sample)

    # -- traffic -------------------------------------------------------------------------------------------

    async def _offer_calls(self, callers: Any, own_number: int) -> None:
        """Offer the calls of one exchange's callers: Poisson arrivals, random destinations."""
        day, rng = self.day, Random(self.rng.getrandbits(64))
        classes, shares = self.world.classes(), day.traffic.shares
        others = [n for n in range(day.fleet.count) if n != own_number]
        next_at = self.loop.time()
        while not self.finished:
            conditions = self.world.conditions
            floods = [conditions.combined_value(n, "flood") for n in others]
            rate = day.traffic.rate * self.burst_factor() * sum(floods) / len(others)
            next_at += rng.expovariate(rate)
            await asyncio.sleep(max(next_at - self.loop.time(), 0.0))
            # After a stall of the process, at most the arrivals of the last second are made up for.
            next_at = max(next_at, self.loop.time() - 1.0)
            cls = rng.choices(classes, shares)[0]
            shifts = [prod(shift[n] for shift in self.shifts) for n in others]
            weights = [flood * shift for flood, shift in zip(floods, shifts, strict=True)]
            dest = rng.choices(others, weights)[0]
            hot = conditions.combined_value(dest, "hot")
            if hot and rng.random() < hot:
                callers.offer_call(cls, self.world.hot_number(dest))
            else:
                callers.offer_call(cls, self.world.random_number(dest, rng))

    async def _offer_standin_calls(self) -> None:
        """Offer calls from stand-in exchanges: in transit over a call server, or to its own subscribers."""
        day, world, rng = self.day, self.world, Random(self.rng.getrandbits(64))
        transit, incoming = day.traffic.transit, day.traffic.incoming
        standins = [n for n in world.exchanges if n not in world.servers]
        while not self.finished and standins:
            await asyncio.sleep(rng.expovariate(transit + incoming))
            cls = rng.choices(day.classes, day.traffic.shares)[0]
            origin, via = rng.choice(standins), rng.choice(world.servers)
            is_transit = rng.random() < transit / (transit + incoming) and len(standins) > 1
            dest = rng.choice([n for n in standins if n != origin]) if is_transit else via
            exchange = world.exchanges[origin]
            if not exchange.killed:
                exchange.place_call(
                    dest, via, world.random_number(dest, rng), cls.name, cls.width,
                    day.callers.patience / SECOND,
                    rng.expovariate(SECOND / cls.mean_hold),
                )  # fmt: skip

    # -- troubles ------------------------------------------------------------------------------------------

    def _start_trouble(self, trouble: Trouble) -> None:
        TROUBLES[trouble.kind](self, trouble)

    def call_when_over(self, trouble: Trouble, function: Callable[[], object]) -> None:
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


async def _play_and_audit(world: EmulatedWorld) -> Result:
    player = Player(world)
    await player.play()
    standin_circuits = world.circuits_at_standins()
    remaining = None if world.folder is not None else world.remaining()
    await player.stop()
    # Separate processes report these figures only when they stop.
    left_calls, left_circuits, counts = remaining or world.remaining()
    day = world.day
    intents = [intent for site in world.sites.values() for intent in site.callers.intents]
    set_up_times = [seconds for site in world.sites.values() for seconds in site.callers.set_up_times]
    finals: dict[int, int] = {}
    for site in world.sites.values():
        for status, count in site.callers.final_counts.items():
            finals[status] = finals.get(status, 0) + count
    weights = ServiceWeights(*day.weights, window_length=day.window / SECOND)
    exchanges = [*world.exchanges.values(), *world.former_exchanges]
    return Result(
        title=day.title,
        seed=world.seed,
        servers=len(world.servers),
        clock="virtual" if isinstance(world.loop, VirtualLoop) else "sockets",
        service=service_score(intents, weights, world.started_at),
        audit_report=audit_capture(world.captured(), world.audit_facts()),
        finals=finals,
        unanswered=sum(
            not world.fell_into_stall(site.server.settings.name, at)
            for site in world.sites.values()
            for at in site.callers.give_up_times
        ),
        left_calls=left_calls,
        left_circuits=left_circuits + standin_circuits,
        circuit_faults=[fault for exchange in exchanges for fault in exchange.counters.circuit_faults],
        p50_ms=1000 * quantile(set_up_times, 0.5),
        p99_ms=1000 * quantile(set_up_times, 0.99),
        # An `attempts` of 99 marks a caller that hung up before the answer; it counts as one try.
        tries=sum(intent.attempts if intent.attempts < 90 else intent.attempts - 98 for intent in intents),
        offered_calls=len(intents),
        collapsed=[exchange.config.number for exchange in exchanges if exchange.counters.crashed],
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
    controller_factory: ControllerFactory | None = None,
    max_callbacks: int = 0,
) -> tuple[Result, Capture]:
    """Play a day on the virtual loop, or in real time over loopback sockets (`sockets`).

    `servers`: the exchanges with a call server.  `processes`: run each of them in a separate process, with
    its files in `keep`.  `controller_factory`: makes the controller used in place of the decision module.
    `max_callbacks`: limit of callbacks of a day on the virtual loop, 0 for no limit; raises
    CallbackLimitExceeded if it is exceeded.
    """
    loop: asyncio.AbstractEventLoop = (
        uvloop.new_event_loop() if sockets else VirtualLoop(max_callbacks=max_callbacks)
    )
    asyncio.set_event_loop(loop)
    with tempfile.TemporaryDirectory() as temporary:
        try:
            world = EmulatedWorld(
                loop,
                day,
                seed,
                log,
                servers,
                (keep or Path(temporary)) if processes else None,
                controller_factory,
            )
            result = loop.run_until_complete(_play_and_audit(world))
            return result, world.captured()
        finally:
            cancel_remaining_tasks(loop)
            asyncio.set_event_loop(None)
            loop.close()


def cancel_remaining_tasks(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel all remaining tasks and wait for them, so that the loop can be closed without warnings."""
    remaining = asyncio.all_tasks(loop)
    for task in remaining:
        task.cancel()
    if remaining:
        loop.run_until_complete(asyncio.gather(*remaining, return_exceptions=True))
