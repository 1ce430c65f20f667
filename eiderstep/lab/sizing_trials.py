"""Validates the sizing: measures known loads, installs the advised sizes, measures again, counts intervals.

`run_validation` uses several processes, takes minutes and is not part of the tests.  Its results are in
bench/results.
"""

from __future__ import annotations

import os
import platform
import time
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
from random import Random

from eiderstep.lab.arrivals import DAY, Outage, Redials, TrafficKind, daily_profile, simulate_group
from eiderstep.lab.sizing_runs import Case, run_case
from eiderstep.sizing import network
from eiderstep.sizing.bucket import Bucket
from eiderstep.sizing.estimate import estimate_loads
from eiderstep.sizing.meter import Meter
from eiderstep.sizing.report import render_page
from eiderstep.sizing.summary import SizingGoals, summarize

SECOND = 1_000_000_000
HOLD_S = 6.0  # mean holding time
CALLS_BEFORE, CALLS_AFTER = 1500, 5000  # calls measured before and after the advised size is installed
LONG_HOLD_S = 120.0  # mean holding time in cases of whole days
MAX_SECONDS = 12_000.0  # limit of a case's parts: at one call per hour they would take weeks
LOSS_TOLERANCE = 0.01  # how far the loss may exceed its target: one percentage point
SEEDS_PER_GROUP = 60


def _make_case(
    name: str, kinds: Sequence[TrafficKind], circuits: int, redials: int = 0, outage: bool = False
) -> Case:
    rate = sum(k.load / k.mean_hold for k in kinds)
    seconds = min(max(CALLS_BEFORE / rate, 25 * HOLD_S), MAX_SECONDS)
    outages = (Outage(seconds * 0.5, seconds * 0.7, 0.4, 0.6),) if outage else ()
    after = min(max(CALLS_AFTER / rate, 25 * HOLD_S), MAX_SECONDS)
    return Case(name, tuple(kinds), circuits, seconds, redials, outages, seconds_after_resize=after)


def cases() -> list[Case]:
    """Returns loads that need 1 to 200 circuits, of each kind of source, on groups too small or too large."""
    all_cases = []
    for i, load in enumerate((0.015, 0.15, 0.5, 1.4, 3, 5, 8, 12, 20, 35, 60, 100, 140, 180)):
        # A large group that is too small keeps hundreds of calls waiting in the module: minutes per run.
        size_factor = 0.8 if i % 2 and load < 100 else 1.3
        all_cases.append(
            _make_case(f"Poisson {load:g}", [TrafficKind(load, HOLD_S)], max(int(load * size_factor), 1))
        )
    for load in (1, 3, 8, 20, 50):
        all_cases.append(
            _make_case(f"peaked {load:g}", [TrafficKind(load, HOLD_S, dispersion=3.0)], int(load) + 1)
        )
    for load in (0.8, 2, 4, 8, 20, 50):
        callers = max(int(load * 2.5), 2)
        all_cases.append(
            _make_case(
                f"smooth {load:g} of {callers}", [TrafficKind(load, HOLD_S, callers=callers)], int(load) + 1
            )
        )
    for narrow, wide in ((1, 0.3), (3, 0.5), (6, 2), (12, 3), (30, 6), (60, 15)):
        kinds = [TrafficKind(narrow, HOLD_S), TrafficKind(wide, HOLD_S, width=3)]
        all_cases.append(_make_case(f"narrow {narrow:g}, wide {wide:g}", kinds, int(narrow + 3 * wide) + 3))
    all_cases.append(_make_case("wide alone 0.3", [TrafficKind(0.3, HOLD_S, width=3)], 4))
    for load in (0.5, 2, 5, 12, 40):
        all_cases.append(
            _make_case(f"redials {load:g}", [TrafficKind(load, HOLD_S)], max(int(load * 0.9), 1), redials=3)
        )
    for load in (2, 5, 12, 40):
        all_cases.append(
            _make_case(
                f"outage {load:g}", [TrafficKind(load, HOLD_S)], max(int(load), 1), redials=3, outage=True
            )
        )
    for load, circuits in ((2, 2), (8, 6)):
        kind = TrafficKind(load, LONG_HOLD_S)
        name, profile = f"two days of a wave, {load:g}", daily_profile(0.5)
        all_cases.append(
            Case(name, (kind,), circuits, 2 * DAY, profile=profile,
                 seconds_after_resize=2 * DAY, busy_hour=True)
        )  # fmt: skip
    return all_cases


@dataclass(frozen=True)
class TrialResult:
    """The result of one case; losses are shares of first tries, by class."""

    case: Case
    advised_circuits: int
    losses_before: list[float]
    losses_after: list[float]
    rules_kept: bool  # and no callback of the run failed
    left_over: int
    cut: int

    @property
    def passed(self) -> bool:
        """Whether no class exceeds its loss target by more than `LOSS_TOLERANCE`, no rule is broken, no call
        or circuit is left over, and the new size cut no call."""
        over = any(lost > self.case.target_loss + LOSS_TOLERANCE for lost in self.losses_after)
        cut_by_outage = bool(self.case.outages)
        return not over and self.rules_kept and not self.left_over and (cut_by_outage or not self.cut)


def run_trial(case: Case) -> TrialResult:
    """Plays one case; its seed is derived from its name."""
    outcome = run_case(case, Random(case.name).getrandbits(32))
    assert outcome.advice is not None
    classes = range(len(case.kinds))
    return TrialResult(
        case, outcome.advice.circuits, [outcome.loss_share(outcome.buckets, c) for c in classes],
        [outcome.loss_share(outcome.buckets_after_resize, c) for c in classes],
        outcome.audit_report.passed and not outcome.errors,
        outcome.left_calls + outcome.left_circuits, outcome.cut_calls,
    )  # fmt: skip


INTERVAL_GROUPS: dict[str, tuple[tuple[TrafficKind, ...], int, float, Redials | None, tuple[Outage, ...]]] = {
    "Poisson 0.6 on 2": ((TrafficKind(0.6),), 2, 8, None, ()),
    "Poisson 8 on 12": ((TrafficKind(8),), 12, 4, None, ()),
    "Poisson 60 on 60": ((TrafficKind(60),), 60, 2, None, ()),
    "peaked 10 on 14": ((TrafficKind(10, dispersion=4),), 14, 8, None, ()),
    "smooth 8 of 20 on 12": ((TrafficKind(8, callers=20),), 12, 4, None, ()),
    "narrow 10, wide 2 on 20": ((TrafficKind(10), TrafficKind(2, width=3)), 20, 4, None, ()),
    "redials 12 on 11": ((TrafficKind(12),), 11, 4, Redials(0.7), ()),
    "outage 12 on 14": ((TrafficKind(12),), 14, 8, Redials(0.7), (Outage(3600, 3 * 3600, 0.3, 0.4),)),
}


def check_interval(job: tuple[str, int]) -> tuple[str, list[tuple[bool, float, float]]]:
    """Runs one simulated group with one seed; `job` is the name of the group and the seed.

    Returns the name and by class: whether the confidence interval contains the true load, the ratio of the
    estimated to the true load, and the ratio of the naive estimate to the true load.  The naive estimate is
    the rate of all tries, redials and tries during an outage included, times the mean holding time of the
    calls that ended.
    """
    name, seed = job
    kinds, circuits, hours, redials, outages = INTERVAL_GROUPS[name]
    meter, buckets = Meter({1: circuits}, len(kinds), 0), list[Bucket]()

    def collect_buckets(time_s: float) -> None:
        buckets.extend(b for _, b in meter.close_buckets(int(time_s * SECOND), int(time_s * SECOND)))

    simulate_group(kinds, circuits, hours * 3600, seed, meter, redials, outages, on_period=collect_buckets)
    results = []
    for class_index, (kind, estimate) in enumerate(
        zip(kinds, estimate_loads(buckets, len(kinds)), strict=True)
    ):
        counts = [b.classes[class_index] for b in buckets]
        measured_seconds = sum(b.length for b in buckets) / SECOND
        ended = max(sum(count.held for count in counts), 1)
        naive_load = (
            sum(count.first + count.redials for count in counts)
            / measured_seconds
            * sum(count.hold for count in counts)
            / ended
            / SECOND
        )
        results.append(
            (estimate.low <= kind.load <= estimate.high, estimate.load / kind.load, naive_load / kind.load)
        )
    return name, results


def example_report(seed: int = 1) -> str:
    """Returns a report on ten days of three simulated groups: one too small, one with an outage, one
    lightly loaded."""
    wanted = SizingGoals(["single-record", "multi-leg-call"], [1, 3], [0.02, 0.03], module=6)
    outage = Outage(3.4 * DAY, 3.6 * DAY, 0.25, 0.5)
    simulated = {
        1: ([TrafficKind(9, 120), TrafficKind(1.2, 120, width=3)], 18, None, ()),
        2: ([TrafficKind(6, 120), TrafficKind(0.8, 120, width=3)], 24, Redials(0.6), (outage,)),
        3: ([TrafficKind(3, 120), TrafficKind(0.3, 120, width=3)], 18, None, ()),
    }  # fmt: skip
    reports = {}
    for number, (kinds, circuits, redials, outages) in simulated.items():
        meter, buckets = Meter({1: circuits}, len(kinds), 0), list[Bucket]()

        def collect_buckets(time_s: float, meter: Meter = meter, buckets: list[Bucket] = buckets) -> None:
            buckets.extend(b for _, b in meter.close_buckets(int(time_s * SECOND), int(time_s * SECOND)))

        simulate_group(
            kinds, circuits, 10 * DAY, seed + number, meter, redials, outages,
            daily_profile(0.5), collect_buckets,
            period=900.0,
        )  # fmt: skip
        reports[number] = summarize(number, buckets, wanted, busy_hour=True)
    return render_page(0, reports, wanted)


def network_rows() -> list[str]:
    """Sizes networks of twelve and sixty exchanges; returns table rows with seconds taken and circuits."""
    lines = []
    for count, looks in ((12, 1_000_000), (60, 150)):
        rng = Random(1)
        pairs = [(a, b) for a in range(count) for b in range(a + 1, count)]
        pair_loads = {pair: [rng.uniform(1, 12), rng.uniform(0, 1.5)] for pair in pairs}
        groups = {pair: 1 for pair in pairs if rng.random() < 0.9}
        began = time.perf_counter()
        plan = network.size_groups(
            network.Network(range(count), [1, 3], pair_loads, groups), [0.02, 0.05], max_removal_trials=looks
        )
        took = time.perf_counter() - began
        worst = [max(lost[c] for lost in plan.point.lost.values()) for c in range(2)]
        lines.append(
            f"| {count} | {len(groups)} of {len(pairs)} pairs | {took:.1f} | {plan.cost:.0f} | "
            f"{worst[0]:.4f}, {worst[1]:.4f} |"
        )
    return lines


PAGE_TEMPLATE = """# Validation of trunk group sizing

Machine: {machine}.  `eiderstep size prove`.

## Known loads through the real call server, in virtual time

A group is measured for about {before} calls, the advised size is installed at both ends while calls stand,
and the group is measured again for about {after} calls.  A case passes if at most 2% of first tries are lost,
with a tolerance of one percentage point, no rule is broken, no call or circuit is left over and the new size
cuts no call.  Losses are listed by class.

| load, erlangs | circuits before | loss before | advised circuits | loss after | passed |
| --- | --- | --- | --- | --- | --- |
{trials}

Passed: {good} of {of}.

## Intervals

Simulated groups, {seeds} seeds each: how often the 90% interval contains the true load, and the ratios of the
estimated load and of a naive estimate to the true load.  The naive estimate counts every try and ignores
outages.

| group | runs | coverage | estimate / true | naive / true |
| --- | --- | --- | --- | --- |
{counted}

All: {held} of {total}, {cover:.3f}.

## Networks

Two classes (widths 1 and 3, loss targets 2% and 5%), alternate routes over one tandem, two circuits reserved.
For sixty exchanges the search is limited to 150 evaluations.

| exchanges | groups | seconds | circuits | worst pair's loss by class |
| --- | --- | --- | --- | --- |
{networks}
"""


def run_validation(processes: int) -> tuple[str, bool]:
    """Runs everything; returns the page, and whether all cases pass and 85 to 95% of the intervals contain
    the true load."""
    with ProcessPoolExecutor(processes) as pool:
        results = list(pool.map(run_trial, sorted(cases(), key=lambda c: -c.circuits)))
        runs = list(
            pool.map(
                check_interval, [(g, s) for g in INTERVAL_GROUPS for s in range(SEEDS_PER_GROUP)], chunksize=8
            )
        )
    rows = []
    for result in sorted(results, key=lambda result: result.advised_circuits):
        loss_after = ", ".join(f"{x:.4f}" for x in result.losses_after)
        loss_before = ", ".join(f"{x:.4f}" for x in result.losses_before)
        verdict = "yes" if result.passed else "NO"
        rows.append(
            f"| {result.case.name} | {result.case.circuits} | {loss_before} "
            f"| {result.advised_circuits} | {loss_after} | {verdict} |"
        )
    counted = []
    held = total = 0
    for name in INTERVAL_GROUPS:
        group_runs = [r for n, r in runs if n == name]
        for c in range(len(group_runs[0])):
            covered = sum(r[c][0] for r in group_runs)
            held, total = held + covered, total + len(group_runs)
            estimate_ratio, naive_ratio = (sum(r[c][k] for r in group_runs) / len(group_runs) for k in (1, 2))
            counted.append(
                f"| {name}, class {c} | {len(group_runs)} | {covered / len(group_runs):.3f} "
                f"| {estimate_ratio:.3f} | {naive_ratio:.3f} |"
            )
    passed = sum(result.passed for result in results)
    coverage = held / total
    machine = f"{platform.machine()}, {os.cpu_count()} cores, Python {platform.python_version()}"
    text = PAGE_TEMPLATE.format(
        machine=machine, before=CALLS_BEFORE, after=CALLS_AFTER, trials="\n".join(rows),
        good=passed, of=len(results),
        seeds=SEEDS_PER_GROUP, counted="\n".join(counted), held=held, total=total, cover=coverage,
        networks="\n".join(network_rows()),
    )  # fmt: skip
    return text, passed == len(results) and 0.85 <= coverage <= 0.95
