"""Summaries of the groups' measurements, verdicts and advice for tables and reports.  No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from eiderstep.sizing.bucket import Bucket
from eiderstep.sizing.erlang import erlang_b
from eiderstep.sizing.estimate import HOUR, HOURS_PER_DAY, Judgement, blocking, group_peakedness, judge
from eiderstep.sizing.recommend import Advice, advise

SECOND = 1_000_000_000


@dataclass(frozen=True)
class SizingGoals:
    """Settings of the sizing: class names, widths and blocking targets; module and price of circuits."""

    classes: Sequence[str]
    widths: Sequence[int]
    targets: Sequence[float]
    module: int = 1
    price: float = 1.0


@dataclass(frozen=True)
class GroupSummary:
    """Measured figures, judgement and advice of one group."""

    number: int
    circuits: int
    hours: float
    censored_share: float  # of the time
    occupancy: float  # circuits busy over circuits in service
    full_share: float  # of the time, with no circuit free
    judgement: Judgement
    advice: Advice | None
    peakedness: float
    busy_hour: int | None  # hour of the day (0 to 23) with the most first tries
    buckets: Sequence[Bucket]  # those on which the judgement is based
    all_buckets: Sequence[Bucket]  # of all hours of the day


def summarize(
    number: int, buckets: Sequence[Bucket], goals: SizingGoals, busy_hour: bool = False
) -> GroupSummary:
    """Judge and size one group; `busy_hour`: only for the hour of the day with the most first tries."""
    peak_hour = busiest_hour(buckets)
    judged_buckets = (
        [bucket for bucket in buckets if bucket.start // HOUR % HOURS_PER_DAY == peak_hour]
        if busy_hour and peak_hour is not None
        else buckets
    )
    judgement = judge(judged_buckets, goals.widths, goals.targets, names=goals.classes)
    length = sum(bucket.length for bucket in judged_buckets)
    service_time = sum(bucket.in_service for bucket in judged_buckets)
    circuits = buckets[-1].circuits if buckets else 0
    advice = None
    if any(load.first_tries for load in judgement.loads) and all(
        load.hold or not load.first_tries for load in judgement.loads
    ):
        advice = advise(
            judgement.loads,
            circuits,
            goals.widths,
            goals.targets,
            goals.module,
            goals.price,
            judgement.other_streams,
        )
    return GroupSummary(
        number, circuits, length / HOUR,
        sum(bucket.length for bucket in judged_buckets if bucket.censored) / length if length else 0.0,
        sum(bucket.busy for bucket in judged_buckets) / service_time if service_time else 0.0,
        sum(bucket.full for bucket in judged_buckets) / length if length else 0.0,
        judgement, advice, group_peakedness(judgement.loads), peak_hour, judged_buckets, buckets,
    )  # fmt: skip


def busiest_hour(buckets: Sequence[Bucket]) -> int | None:
    """The hour of the day with the highest rate of first tries in uncensored time; None without any."""
    sums_by_hour: dict[int, list[float]] = {}
    for bucket in buckets:
        if not bucket.censored:
            sums = sums_by_hour.setdefault(bucket.start // HOUR % HOURS_PER_DAY, [0.0, 0.0])
            sums[0] += sum(counts.first for counts in bucket.classes)
            sums[1] += bucket.length
    rates = {hour: tries / span for hour, (tries, span) in sums_by_hour.items() if span}
    return max(rates, key=lambda hour: (rates[hour], -hour)) if any(rates.values()) else None


def first_tries_by_hour(buckets: Sequence[Bucket]) -> dict[int, float]:
    """First tries per hour for each hour of the day, in uncensored time only."""
    sums_by_hour: dict[int, list[float]] = {}
    for bucket in buckets:
        if not bucket.censored:
            sums = sums_by_hour.setdefault(bucket.start // HOUR % HOURS_PER_DAY, [0.0, 0.0])
            sums[0] += sum(counts.first for counts in bucket.classes)
            sums[1] += bucket.length / HOUR
    return {hour: tries / hours for hour, (tries, hours) in sorted(sums_by_hour.items()) if hours}


def blocking_curves(
    group: GroupSummary, goals: SizingGoals, sizes: Sequence[int]
) -> list[tuple[int, list[float], list[float], list[float]]]:
    """Rows of a size and each class's blocking at the low end, the estimate and the high end of its load."""
    class_loads = group.judgement.loads
    rows = []
    for size in sizes:
        low, middle, high = (
            blocking(
                size,
                [getattr(load, name) for load in class_loads],
                goals.widths,
                group.peakedness,
                group.judgement.other_streams,
            )
            for name in ("low", "load", "high")
        )
        rows.append((size, low, middle, high))
    return rows


def sizes_to_plot(group: GroupSummary, count: int = 24) -> list[int]:
    """About `count` sizes around the present and the advised one."""
    marked_sizes = [group.circuits] + ([group.advice.low, group.advice.high] if group.advice else [])
    low, high = max(min(marked_sizes) - 3, 0), max(marked_sizes) + 3
    step = max((high - low) // count, 1)
    return sorted({*range(low, high + 1, step), group.circuits})


def explain(group: GroupSummary, goals: SizingGoals) -> list[str]:
    """Explain how the verdict follows from the counts, one step per line."""
    judgement, uncensored = group.judgement, [bucket for bucket in group.buckets if not bucket.censored]
    lines = [
        f"group toward exchange {group.number}: {group.circuits} circuits, {group.hours:.1f} hours in "
        f"{len(group.buckets)} buckets, {100 * group.censored_share:.1f}% of the time censored by outages",
        f"busy {100 * group.occupancy:.1f}% of circuit-time, "
        f"all busy {100 * group.full_share:.2f}% of the time",
    ]
    for cls, name in enumerate(goals.classes):
        if cls >= len(judgement.loads) or not judgement.loads[cls].first_tries:
            lines.append(f"class {name}: no tries seen")
            continue
        load = judgement.loads[cls]
        class_counts = [bucket.classes[cls] for bucket in uncensored if len(bucket.classes) > cls]
        redials, refused = (
            sum(counts.redials for counts in class_counts),
            sum(counts.refused for counts in class_counts),
        )
        blocked = sum(counts.blocked_first for counts in class_counts)
        low, middle, high = judgement.expected[cls]
        lines.append(
            f"class {name}: {load.first_tries} first tries "
            f"({load.rate:.4f} a second with censored time filled in), "
            f"{redials} redials not counted, {refused} refused for other causes than circuits"
        )
        lines.append(
            f"  mean holding time {load.hold:.1f} s, width {goals.widths[cls]}; "
            f"load {load.load:.2f} erlangs, 90% interval {load.low:.2f} to {load.high:.2f}; "
            f"index of dispersion {load.dispersion:.2f}"
        )
        lines.append(
            f"  {blocked} first tries found no circuit ({_format_share(judgement.measured[cls])}); "
            f"expected at this size {middle:.4f}, {low:.4f} to {high:.4f}; wanted {goals.targets[cls]:g}"
        )
    for stream in judgement.other_streams:
        lines.append(f"other pairs send {stream.load:.2f} erlangs of width {stream.width} over it")
    if group.peakedness > 1.0:
        lines.append(
            f"peakedness {group.peakedness:.2f}"
            + (", by Hayward's scaling" if group.peakedness > 1.2 else "")
        )
    single_circuit_class = len(judgement.loads) == 1 and goals.widths[0] == 1 and group.peakedness <= 1.2
    if single_circuit_class and group.circuits and math.isfinite(judgement.loads[0].load):
        lines.append(f"Erlang B({group.circuits}, {judgement.loads[0].load:.2f}) = "
                     f"{erlang_b(group.circuits, judgement.loads[0].load):.4f}")  # fmt: skip
    lines.append(f"verdict: {judgement.verdict.value}: {judgement.reason}")
    if judgement.hours_more is not None:
        lines.append(f"about {judgement.hours_more:.1f} more hours of measurement should decide it")
    if group.advice is not None:
        advice = group.advice
        lines.append(
            f"advised: {advice.circuits} circuits ({advice.low} to {advice.high} by the interval), "
            f"cost {advice.cost:+g}; {advice.overflow_now:.2f} erlangs overflow to alternates now, "
            f"{advice.overflow_then:.2f} with the advised size"
        )
    return lines


def _format_share(value: float | None) -> str:
    return "none seen" if value is None else f"{value:.4f}"


def loads_by_exchange(groups: Mapping[int, GroupSummary]) -> list[tuple[int, list[float]]]:
    """This exchange's row of the traffic matrix: the loads by class (erlangs) toward each other exchange."""
    return [
        (number, [load.load for load in group.judgement.loads]) for number, group in sorted(groups.items())
    ]


def scale_load(group: GroupSummary, factor: float) -> GroupSummary:
    """The same group with its loads multiplied by `factor`."""
    loads = [
        replace(load, load=load.load * factor, low=load.low * factor, high=load.high * factor)
        for load in group.judgement.loads
    ]
    return replace(group, judgement=replace(group.judgement, loads=loads))
