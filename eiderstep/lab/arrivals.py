"""Seeded call arrivals of known offered load, and a simulated trunk group to offer them to.

Traffic is Poisson, peaked or smooth, with an optional daily profile and several call widths.  A source yields
the times of first tries (s) without end.  Only a smooth source depends on what becomes of its calls: it has a
finite number of callers, and a caller in a call makes no other.
"""

from __future__ import annotations

import heapq
import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random

from eiderstep.sizing.meter import Meter

DAY = 86_400.0
Profile = Callable[[float], float]


def constant_profile(at: float) -> float:
    """The constant profile: the mean rate at all times."""
    return 1.0


@dataclass(frozen=True)
class DailyWave:
    """A cosine with a period of one day, between 1 - `depth` and 1 + `depth`, highest at the hour `peak`."""

    depth: float
    peak: float

    def __call__(self, at: float) -> float:
        return 1.0 + self.depth * math.cos(2 * math.pi * (at / DAY - self.peak / 24))


def daily_profile(depth: float = 0.6, peak: float = 11.0) -> Profile:
    """A profile with a cosine wave over the day."""
    return DailyWave(depth, peak)


def linear_growth(growth_per_day: float) -> Profile:
    """A profile that grows linearly by this share of the initial load per day."""
    return lambda at: 1.0 + growth_per_day * at / DAY


@dataclass(frozen=True)
class TrafficKind:
    """One class of calls.

    `load`: offered load in erlangs of calls.  `mean_hold`: mean holding time (s).  `width`: circuits per
    call.  `dispersion`: index of dispersion of the arrivals, 1 for Poisson.  `callers`: number of callers of
    a smooth source, 0 for other sources.
    """

    load: float
    mean_hold: float = 60.0
    width: int = 1
    dispersion: float = 1.0
    callers: int = 0


class ArrivalSource:
    """Generates the times of the first tries of one kind of calls."""

    def __init__(
        self, kind: TrafficKind, rng: Random, profile: Profile = constant_profile, profile_max: float = 2.0
    ) -> None:
        """`profile_max`: an upper bound of the profile."""
        self.kind, self.rng, self.profile, self.profile_max = kind, rng, profile, profile_max
        self.last_arrival = 0.0
        self.busy_callers = 0  # callers in a call; used by a smooth source
        self.burst_end = 0.0  # end of the current burst; used by a peaked source
        rate = kind.load / kind.mean_hold
        if kind.dispersion > 1:
            # An interrupted Poisson process that is on for a third of the time.  Its index of dispersion is
            # 1 + 2 r g / (g + w)^2, where r is the rate of calls while on, g the rate of leaving the on
            # state, and w the rate of entering it.
            on_share = 1 / 3
            self.burst_rate = rate / on_share
            time_constant = (kind.dispersion - 1) / (
                2 * self.burst_rate * (1 - on_share)
            )  # 1 / (on + off rates)
            self.on_mean, self.off_mean = time_constant / (1 - on_share), time_constant / on_share
        self.rate = rate

    def next_arrival(self) -> float:
        """The time of the next first try (s); infinite while all callers of a smooth source are in a call."""
        kind, rng = self.kind, self.rng
        if not self.rate:
            return math.inf
        if kind.callers:
            # The rate of each idle caller is set so that all callers together offer the intended load.
            idle = max(kind.callers - self.busy_callers, 0)
            caller_rate = self.rate / (kind.callers - kind.load) if kind.callers > kind.load else self.rate
            self.last_arrival = self.last_arrival + rng.expovariate(caller_rate * idle) if idle else math.inf
            return self.last_arrival
        while True:
            if kind.dispersion > 1:
                self._next_in_bursts()
            else:
                self.last_arrival += rng.expovariate(self.rate * self.profile_max)
            if rng.random() * self.profile_max <= self.profile(self.last_arrival):
                return self.last_arrival

    def _next_in_bursts(self) -> None:
        while True:
            step = self.rng.expovariate(self.burst_rate * self.profile_max)
            if self.last_arrival + step <= self.burst_end:
                self.last_arrival += step
                return
            burst_start = max(self.last_arrival, self.burst_end) + self.rng.expovariate(1 / self.off_mean)
            self.last_arrival = burst_start
            self.burst_end = burst_start + self.rng.expovariate(1 / self.on_mean)


@dataclass(frozen=True)
class Redials:
    """A blocked caller redials with probability `share` after a mean wait of `mean_wait` seconds."""

    share: float = 0.0
    mean_wait: float = 20.0


@dataclass(frozen=True)
class Outage:
    """A loss of circuits from `since` until `until` (s).

    `circuits_share`: the share of circuits left.  `reach_share`: the share of first tries that still reach
    the group.
    """

    since: float
    until: float
    circuits_share: float = 0.0
    reach_share: float = 1.0


@dataclass
class Tally:
    """First tries at a simulated group, and those of them that were blocked, by kind, after the warm-up."""

    tries: list[int]
    blocked: list[int]


def simulate_group(
    kinds: Sequence[TrafficKind], circuits: int, seconds: float, seed: int, meter: Meter | None = None,
    redials: Redials | None = None, outages: Sequence[Outage] = (), profile: Profile = constant_profile,
    on_period: Callable[[float], None] | None = None, period: float = 60.0, warm: float = 0.0,
) -> Tally:  # fmt: skip
    """Simulate a full-availability trunk group; blocked calls are cleared or redialled.

    The result comes from the simulated events alone, without any formula.  `meter` gets the same method calls
    as the meter of a call server.  `on_period` is called every `period` seconds of simulated time.  First
    tries before `warm` seconds are left out of the result.
    """
    observer = meter
    rng = Random(seed)
    sources = [ArrivalSource(kind, Random(rng.getrandbits(64)), profile) for kind in kinds]
    queue: list[tuple[float, int, int, int, float]] = []  # time (s), sequence number, event type, kind, value
    sequence = 0
    busy, in_service = 0, circuits
    tally = Tally([0] * len(kinds), [0] * len(kinds))
    redial = redials or Redials()

    def push(at: float, event: int, kind: int, value: float = 0.0) -> None:
        nonlocal sequence
        sequence += 1
        if at < math.inf:
            heapq.heappush(queue, (at, sequence, event, kind, value))

    draw_numbers = [0.0] * len(kinds)

    def draw(kind_index: int, at: float) -> None:
        """Schedule the next try of a smooth source, counted from `at`.  Tries scheduled earlier are void."""
        draw_numbers[kind_index] += 1
        sources[kind_index].last_arrival = at
        push(sources[kind_index].next_arrival(), FIRST_TRY, kind_index, draw_numbers[kind_index])

    for kind_index, source in enumerate(sources):
        if source.kind.callers:
            draw(kind_index, 0.0)
        else:
            push(source.next_arrival(), FIRST_TRY, kind_index)
    for outage in outages:
        push(outage.since, RESIZE, 0, int(circuits * outage.circuits_share))
        push(outage.until, RESIZE, 0, circuits)
    if on_period is not None:
        push(period, PERIOD_END, 0)
    while queue:
        at, _, event, kind_index, value = heapq.heappop(queue)
        if at > seconds:
            break
        now = int(at * 1e9)
        if event in (FIRST_TRY, REDIAL):
            kind = kinds[kind_index]
            if event == FIRST_TRY:
                if kind.callers and value != draw_numbers[kind_index]:
                    continue  # superseded by a later draw
                if not kind.callers:
                    push(sources[kind_index].next_arrival(), FIRST_TRY, kind_index)
                if any(
                    outage.since <= at < outage.until and rng.random() >= outage.reach_share
                    for outage in outages
                ):
                    if kind.callers:
                        draw(kind_index, at)
                    continue
                if at >= warm:
                    tally.tries[kind_index] += 1
            blocked = busy + kind.width > in_service
            if observer is not None:
                observer.record_try(now, 1, kind_index, "", event == REDIAL)
            if blocked:
                if event == FIRST_TRY and at >= warm:
                    tally.blocked[kind_index] += 1
                if observer is not None:
                    observer.record_blocked(1, kind_index, event == REDIAL, False)
                if rng.random() < redial.share:
                    push(at + rng.expovariate(1 / redial.mean_wait), REDIAL, kind_index)
            else:
                busy += kind.width
                hold = rng.expovariate(1 / kind.mean_hold)
                push(at + hold, CALL_END, kind_index, hold)
                if observer is not None:
                    observer.set_circuit_counts(now, 1, busy, in_service)
                    observer.record_call_standing(now, 1, kind_index)
                sources[kind_index].busy_callers += 1
            if kind.callers and event == FIRST_TRY:
                draw(kind_index, at)
        elif event == CALL_END:
            busy -= kinds[kind_index].width
            sources[kind_index].busy_callers -= 1
            # One more caller is idle.  Exponential waits have no memory, so the next try may be drawn again.
            if kinds[kind_index].callers:
                draw(kind_index, at)
            if observer is not None:
                observer.set_circuit_counts(now, 1, busy, in_service)
                observer.record_call_ended(now, 1, kind_index, int(value * 1e9))
        elif event == RESIZE:
            in_service = int(value)
            if observer is not None:
                observer.set_circuit_counts(now, 1, busy, in_service)
        elif on_period is not None:
            on_period(at)
            push(at + period, PERIOD_END, 0)
    return tally


FIRST_TRY, REDIAL, CALL_END, RESIZE, PERIOD_END = range(5)
