"""Offers a known load to the real call server in virtual time and returns what its measurements show.

There are two exchanges and one group between them: the call server's, and a stand-in whose processor is so
fast that calls are lost for lack of circuits only.  The decision module, engine, meter and store are the
real ones.
"""

from __future__ import annotations

import asyncio
import math
import tempfile
from collections.abc import Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random

from eiderstep.audit import Verdict, judge
from eiderstep.config.schema import CallClass, Rules
from eiderstep.lab.arrivals import Kind, Outage, Profile, Source, flat
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.day import cancel_rest
from eiderstep.lab.emulator.stage import Stage
from eiderstep.lab.script import CallersPart, Day, Fleet, Traffic
from eiderstep.lab.world import MEASURED
from eiderstep.sizing.bucket import Bucket
from eiderstep.sizing.estimate import DAY_HOURS, HOUR, loads
from eiderstep.sizing.recommend import Advice, advise
from eiderstep.sizing.store import Store
from eiderstep.sizing.summary import busiest
from eiderstep.standin.callers import Callers

MS, SECOND = 1_000_000, 1_000_000_000
PROCESSOR_CAPACITY = 20_000.0  # set-ups per second of the stand-in's processor
REDIAL_WAITS = (2 * SECOND, 6 * SECOND)  # least and longest time before a redial (ns)
WARM_UP_HOLDING_TIMES = 8  # until the group has filled


@dataclass(frozen=True)
class Case:
    """One group under one load; times are in seconds."""

    name: str
    kinds: tuple[Kind, ...]
    circuits: int
    seconds: float
    redials: int = 0  # how often a caller whose call failed redials
    outages: tuple[Outage, ...] = ()
    profile: Profile = flat
    target_loss: float = 0.02  # share of first tries that may be lost
    after: float = 0.0  # further seconds with the advised number of circuits
    busy_hour: bool = False  # size for and judge only the hour of the day with most first tries


@dataclass
class Outcome:
    """The measured buckets of a case, and the verdict of the audit."""

    buckets: list[Bucket]
    verdict: Verdict
    left_calls: int
    left_circuits: int
    advised: Advice | None = None
    after: list[Bucket] = field(default_factory=list)  # with the advised number of circuits
    cut: int = 0  # number of cut calls
    errors: list[str] = field(default_factory=list)

    @staticmethod
    def lost(buckets: Sequence[Bucket], class_index: int) -> float:
        """Returns the share of a class's first tries that found no free circuit."""
        first_tries = sum(b.classes[class_index].first for b in buckets)
        return (
            sum(b.classes[class_index].blocked_first for b in buckets) / first_tries if first_tries else 0.0
        )


def make_day(case: Case) -> Day:
    """Returns the case as a day script with two exchanges."""
    classes = [
        CallClass(
            name=f"kind-{class_index}", aim=SECOND, give_up=9 * SECOND, mean_hold=int(kind.hold * SECOND),
            width=kind.width,
        )
        for class_index, kind in enumerate(case.kinds)
    ]  # fmt: skip
    fleet = Fleet(
        count=2,
        districts=1,
        circuits=case.circuits,
        capacity=PROCESSOR_CAPACITY,
        busy_lines=0.0,
        can_fall=False,
        delay=0,
    )
    return Day(
        title=case.name, name="sizing", length=int(case.seconds * SECOND), classes=classes, fleet=fleet,
        traffic=Traffic(rate=1.0, shares=[1.0 for _ in classes]),
        callers=CallersPart(redials=case.redials, leaves=0.0, heeds=1.0, marks=True, waits=REDIAL_WAITS),
        rules=Rules(attempts=2, longest_pause=2 * SECOND, redials_marked=True),
    )  # fmt: skip


class _LoadDriver:
    """Offers the calls of a case and takes circuits out of service during its outages."""

    def __init__(self, world: Stage, case: Case, seed: int) -> None:
        self.world, self.case = world, case
        self.rng = Random(seed)
        self.advice: Advice | None = None

    async def run(self) -> None:
        world, case, loop = self.world, self.case, self.world.loop
        await world.build()
        began = world.began = loop.time()
        tasks = [
            loop.create_task(
                self._offer_calls(
                    class_index, Source(kind, Random(self.rng.getrandbits(64)), case.profile), began
                )
            )
            for class_index, kind in enumerate(case.kinds)
        ]
        for outage in case.outages:
            loop.call_at(began + outage.since, world.lose_circuits, 1, 0, outage.share)
            loop.call_at(began + outage.until, world.lose_circuits, 1, 0, 1.0)
        await asyncio.sleep(case.seconds)
        if case.after:
            self._install_advised_size()
            await asyncio.sleep(case.after)
        for task in tasks:
            task.cancel()
        callers = world.sites[0].callers
        callers.quiet = True
        await asyncio.sleep((world.day.callers.patience + REDIAL_WAITS[1]) / SECOND + 0.1)  # the last redials
        for call in list(callers.standing.values()):
            callers._hang_up(call)
        callers.pump()
        await asyncio.sleep(5.0)

    def _install_advised_size(self) -> None:
        """Reads the measurements and installs the advised number of circuits, as an operator would."""
        case, world = self.case, self.world
        assert world.measure is not None
        store = Store(world.measure / "0.db", read_only=True)
        widths = [kind.width for kind in case.kinds]
        class_loads = loads(
            judged_buckets(case, store.buckets(1), warm_up_seconds(case), case.seconds), len(widths)
        )
        store.close()
        self.advice = advise(class_loads, case.circuits, widths, [case.target_loss] * len(widths))
        world.resize(1, 0, self.advice.circuits)

    async def _offer_calls(self, class_index: int, source: Source, began: float) -> None:
        world, loop = self.world, self.world.loop
        callers, call_class = world.sites[0].callers, world.classes()[class_index]
        while True:
            if source.kind.callers:
                # Busy callers make no calls; the next arrival is redrawn once their number may have changed.
                now = source.at = loop.time() - began
                source.busy = count_busy_callers(callers, call_class.name)
                arrival = source.next()
                recheck_interval = source.kind.hold / source.kind.callers / 4
                if arrival - now > recheck_interval:
                    await asyncio.sleep(recheck_interval)
                    continue
            else:
                arrival = source.next()
            await asyncio.sleep(max(began + arrival - loop.time(), 0.0))
            if any(
                o.since <= arrival < o.until and self.rng.random() >= o.reaches for o in self.case.outages
            ):
                continue
            callers.offer(call_class, world.number_of(1, self.rng))


def count_busy_callers(callers: Callers, class_name: str) -> int:
    """Counts the callers of a class that have a standing call or one in set-up.

    Callers in set-up must not count as idle: they would call again, more callers would be busy than exist,
    and the source, with a negative number of idle callers, would call without end.
    """
    count = sum(call.ask.cls.name == class_name for call in callers.standing.values())
    earliest = callers.loop.time() - callers.manners.patience - 0.1
    for request in reversed(callers.asks):
        if request.born < earliest:
            break
        count += request.cls.name == class_name and not request.outcome
    return count


def run(case: Case, seed: int) -> Outcome:
    """Plays a case.  The buckets leave out the first holding times, in which the group fills."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        with tempfile.TemporaryDirectory() as folder:
            world = Stage(loop, make_day(case), seed, lambda *_: None)
            world.measure = Path(folder)
            driver = _LoadDriver(world, case, seed)
            loop.run_until_complete(driver.run())
            left_calls, left_circuits, _ = world.left()
            site = world.sites[0]
            site.server.stop()
            loop.run_until_complete(site.server.stopped)
            store = Store(Path(folder) / "0.db")
            buckets = store.buckets(1)
            store.close()
            requests = world.sites[0].callers.asks
            cancel_rest(loop)
            return Outcome(
                judged_buckets(case, buckets, warm_up_seconds(case), case.seconds),
                judge(world.captured(), world.facts()), left_calls, left_circuits, driver.advice,
                judged_buckets(
                    case, buckets, case.seconds + warm_up_seconds(case), case.seconds + case.after
                ),
                sum(request.cut for request in requests), list(loop.errors),
            )  # fmt: skip
    finally:
        asyncio.set_event_loop(None)
        loop.close()


def judged_buckets(case: Case, buckets: Sequence[Bucket], since: float, until: float) -> list[Bucket]:
    """Returns the buckets between two times of the run (s); with `busy_hour`, those of the busy hour only.

    The busy hour is taken from the part of the run before the advised size is installed.
    """
    judged = buckets_between(buckets, since, until)
    if not case.busy_hour:
        return judged
    hour = busiest(buckets_between(buckets, warm_up_seconds(case), case.seconds))
    return [b for b in judged if b.start // HOUR % DAY_HOURS == hour]


def warm_up_seconds(case: Case) -> float:
    """Returns the time that the group takes to fill (s)."""
    return WARM_UP_HOLDING_TIMES * max(kind.hold for kind in case.kinds)


def buckets_between(buckets: Sequence[Bucket], since: float, until: float) -> list[Bucket]:
    """Returns the buckets that lie wholly between two times of the run (s)."""
    first = math.ceil(since * SECOND / MEASURED)
    end = int(until * SECOND / MEASURED)
    return list(buckets[first:end])
