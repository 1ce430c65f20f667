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

from eiderstep.audit import AuditReport, audit_capture
from eiderstep.config.schema import CallClass, Rules
from eiderstep.lab.arrivals import ArrivalSource, Outage, Profile, TrafficKind, constant_profile
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.day import cancel_remaining_tasks
from eiderstep.lab.emulator.emulated_world import EmulatedWorld
from eiderstep.lab.script import CallerSettings, Day, Fleet, Traffic
from eiderstep.lab.world import METER_BUCKET
from eiderstep.sizing.bucket import Bucket
from eiderstep.sizing.estimate import HOUR, HOURS_PER_DAY, estimate_loads
from eiderstep.sizing.recommend import Advice, advise
from eiderstep.sizing.store import Store
from eiderstep.sizing.summary import busiest_hour
from eiderstep.standin.callers import Callers

MS, SECOND = 1_000_000, 1_000_000_000
PROCESSOR_CAPACITY = 20_000.0  # set-ups per second of the stand-in's processor
REDIAL_WAITS = (2 * SECOND, 6 * SECOND)  # least and longest time before a redial (ns)
WARM_UP_HOLDING_TIMES = 8  # until the group has filled


@dataclass(frozen=True)
class Case:
    """One group under one load; times are in seconds."""

    name: str
    kinds: tuple[TrafficKind, ...]
    circuits: int
    seconds: float
    redials: int = 0  # how often a caller whose call failed redials
    outages: tuple[Outage, ...] = ()
    profile: Profile = constant_profile
    target_loss: float = 0.02  # share of first tries that may be lost
    seconds_after_resize: float = 0.0  # further seconds with the advised number of circuits
    busy_hour: bool = False  # size for and judge only the hour of the day with most first tries


@dataclass
class Outcome:
    """The measured buckets of a case, and the audit report."""

    buckets: list[Bucket]
    audit_report: AuditReport
    left_calls: int
    left_circuits: int
    advice: Advice | None = None
    buckets_after_resize: list[Bucket] = field(default_factory=list)  # with the advised number of circuits
    cut_calls: int = 0  # number of cut calls
    errors: list[str] = field(default_factory=list)

    @staticmethod
    def loss_share(buckets: Sequence[Bucket], class_index: int) -> float:
        """Returns the share of a class's first tries that found no free circuit."""
        first_tries = sum(b.classes[class_index].first for b in buckets)
        return (
            sum(b.classes[class_index].blocked_first for b in buckets) / first_tries if first_tries else 0.0
        )


def make_day(case: Case) -> Day:
    """Returns the case as a day script with two exchanges."""
    classes = [
        CallClass(
            name=f"kind-{class_index}", aim=SECOND, give_up=9 * SECOND,
            mean_hold=int(kind.mean_hold * SECOND),
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
        callers=CallerSettings(redials=case.redials, leaves=0.0, heeds=1.0, marks=True, waits=REDIAL_WAITS),
        rules=Rules(attempts=2, longest_pause=2 * SECOND, redials_marked=True),
    )  # fmt: skip


class _LoadDriver:
    """Offers the calls of a case and takes circuits out of service during its outages."""

    def __init__(self, world: EmulatedWorld, case: Case, seed: int) -> None:
        self.world, self.case = world, case
        self.rng = Random(seed)
        self.advice: Advice | None = None

    async def run(self) -> None:
        world, case, loop = self.world, self.case, self.world.loop
        await world.build()
        began = world.started_at = loop.time()
        tasks = [
            loop.create_task(
                self._offer_calls(
                    class_index, ArrivalSource(kind, Random(self.rng.getrandbits(64)), case.profile), began
                )
            )
            for class_index, kind in enumerate(case.kinds)
        ]
        for outage in case.outages:
            loop.call_at(began + outage.since, world.set_circuit_share, 1, 0, outage.circuits_share)
            loop.call_at(began + outage.until, world.set_circuit_share, 1, 0, 1.0)
        await asyncio.sleep(case.seconds)
        if case.seconds_after_resize:
            self._install_advised_size()
            await asyncio.sleep(case.seconds_after_resize)
        for task in tasks:
            task.cancel()
        callers = world.sites[0].callers
        callers.redials_disabled = True
        await asyncio.sleep((world.day.callers.patience + REDIAL_WAITS[1]) / SECOND + 0.1)  # the last redials
        for call in list(callers.standing_attempts.values()):
            callers._hang_up(call)
        callers.process_events()
        await asyncio.sleep(5.0)

    def _install_advised_size(self) -> None:
        """Reads the measurements and installs the advised number of circuits, as an operator would."""
        case, world = self.case, self.world
        assert world.measurement_folder is not None
        store = Store(world.measurement_folder / "0.db", read_only=True)
        widths = [kind.width for kind in case.kinds]
        class_loads = estimate_loads(
            judged_buckets(case, store.buckets(1), warm_up_seconds(case), case.seconds), len(widths)
        )
        store.close()
        self.advice = advise(class_loads, case.circuits, widths, [case.target_loss] * len(widths))
        world.resize_group(1, 0, self.advice.circuits)

    async def _offer_calls(self, class_index: int, source: ArrivalSource, began: float) -> None:
        world, loop = self.world, self.world.loop
        callers, call_class = world.sites[0].callers, world.classes()[class_index]
        while True:
            if source.kind.callers:
                # Busy callers make no calls; the next arrival is redrawn once their number may have changed.
                now = source.last_arrival = loop.time() - began
                source.busy_callers = count_busy_callers(callers, call_class.name)
                arrival = source.next_arrival()
                recheck_interval = source.kind.mean_hold / source.kind.callers / 4
                if arrival - now > recheck_interval:
                    await asyncio.sleep(recheck_interval)
                    continue
            else:
                arrival = source.next_arrival()
            await asyncio.sleep(max(began + arrival - loop.time(), 0.0))
            if any(
                o.since <= arrival < o.until and self.rng.random() >= o.reach_share for o in self.case.outages
            ):
                continue
            callers.offer_call(call_class, world.random_number(1, self.rng))


def count_busy_callers(callers: Callers, class_name: str) -> int:
    """Counts the callers of a class that have a standing call or one in set-up.

    Callers in set-up must not count as idle: they would call again, more callers would be busy than exist,
    and the source, with a negative number of idle callers, would call without end.
    """
    count = sum(call.intent.call_class.name == class_name for call in callers.standing_attempts.values())
    earliest = callers.loop.time() - callers.behaviour.give_up_time - 0.1
    for request in reversed(callers.intents):
        if request.created_at < earliest:
            break
        count += request.call_class.name == class_name and not request.outcome
    return count


def run_case(case: Case, seed: int) -> Outcome:
    """Plays a case.  The buckets leave out the first holding times, in which the group fills."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        with tempfile.TemporaryDirectory() as folder:
            world = EmulatedWorld(loop, make_day(case), seed, lambda *_: None)
            world.measurement_folder = Path(folder)
            driver = _LoadDriver(world, case, seed)
            loop.run_until_complete(driver.run())
            left_calls, left_circuits, _ = world.remaining()
            site = world.sites[0]
            site.server.stop()
            loop.run_until_complete(site.server.stopped)
            store = Store(Path(folder) / "0.db")
            buckets = store.buckets(1)
            store.close()
            requests = world.sites[0].callers.intents
            cancel_remaining_tasks(loop)
            return Outcome(
                judged_buckets(case, buckets, warm_up_seconds(case), case.seconds),
                audit_capture(world.captured(), world.audit_facts()),
                left_calls, left_circuits, driver.advice,
                judged_buckets(
                    case, buckets, case.seconds + warm_up_seconds(case),
                    case.seconds + case.seconds_after_resize
                ),
                sum(request.was_cut for request in requests), list(loop.errors),
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
    hour = busiest_hour(buckets_between(buckets, warm_up_seconds(case), case.seconds))
    return [b for b in judged if b.start // HOUR % HOURS_PER_DAY == hour]


def warm_up_seconds(case: Case) -> float:
    """Returns the time that the group takes to fill (s)."""
    return WARM_UP_HOLDING_TIMES * max(kind.mean_hold for kind in case.kinds)


def buckets_between(buckets: Sequence[Bucket], since: float, until: float) -> list[Bucket]:
    """Returns the buckets that lie wholly between two times of the run (s)."""
    first = math.ceil(since * SECOND / METER_BUCKET)
    end = int(until * SECOND / METER_BUCKET)
    return list(buckets[first:end])
