"""What the measurements of all groups come to, as plain rows for tables and reports.  No I/O."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, replace

from eiderstep.sizing.bucket import Bucket
from eiderstep.sizing.erlang import erlang_b
from eiderstep.sizing.estimate import DAY_HOURS, HOUR, Judgement, blocking, judge, peakedness
from eiderstep.sizing.recommend import Advice, advise

SECOND = 1_000_000_000


@dataclass(frozen=True)
class Wanted:
    """What the settings say: names and widths of the classes, targets, module of circuits, price of one."""

    classes: Sequence[str]
    widths: Sequence[int]
    targets: Sequence[float]
    module: int = 1
    price: float = 1.0


@dataclass(frozen=True)
class Group:
    """One group's summary."""

    number: int
    circuits: int
    hours: float
    censored: float  # share of the time
    occupancy: float  # circuits busy over circuits in service
    full: float  # share of the time
    judgement: Judgement
    advice: Advice | None
    peaked: float
    busy_hour: int | None  # of the day, by first tries
    buckets: Sequence[Bucket]  # what it was judged by
    every: Sequence[Bucket]  # all hours of the day


def summarize(number: int, buckets: Sequence[Bucket], wanted: Wanted, busy_hour: bool = False) -> Group:
    """One group.  `busy_hour`: size it for the hour of the day in which it has most first tries."""
    hour = busiest(buckets)
    used = (
        [b for b in buckets if b.start // HOUR % DAY_HOURS == hour]
        if busy_hour and hour is not None
        else buckets
    )
    found = judge(used, wanted.widths, wanted.targets, names=wanted.classes)
    span = sum(b.length for b in used)
    service = sum(b.in_service for b in used)
    circuits = buckets[-1].circuits if buckets else 0
    advice = None
    if any(x.seen for x in found.loads) and all(x.hold or not x.seen for x in found.loads):
        advice = advise(
            found.loads, circuits, wanted.widths, wanted.targets, wanted.module, wanted.price, found.others
        )
    return Group(
        number, circuits, span / HOUR,
        sum(b.length for b in used if b.censored) / span if span else 0.0,
        sum(b.busy for b in used) / service if service else 0.0,
        sum(b.full for b in used) / span if span else 0.0,
        found, advice, peakedness(found.loads), hour, used, buckets,
    )  # fmt: skip


def busiest(buckets: Sequence[Bucket]) -> int | None:
    """The hour of the day with the highest rate of first tries in uncensored time; None without any."""
    tries: dict[int, list[float]] = {}
    for b in buckets:
        if not b.censored:
            sums = tries.setdefault(b.start // HOUR % DAY_HOURS, [0.0, 0.0])
            sums[0] += sum(c.first for c in b.classes)
            sums[1] += b.length
    rates = {hour: n / span for hour, (n, span) in tries.items() if span}
    return max(rates, key=lambda h: (rates[h], -h)) if any(rates.values()) else None


def by_hour(buckets: Sequence[Bucket]) -> dict[int, float]:
    """First tries an hour by hour of the day, uncensored time alone."""
    sums: dict[int, list[float]] = {}
    for b in buckets:
        if not b.censored:
            held = sums.setdefault(b.start // HOUR % DAY_HOURS, [0.0, 0.0])
            held[0] += sum(c.first for c in b.classes)
            held[1] += b.length / HOUR
    return {hour: n / span for hour, (n, span) in sorted(sums.items()) if span}


def curve(
    group: Group, wanted: Wanted, sizes: Sequence[int]
) -> list[tuple[int, list[float], list[float], list[float]]]:
    """For each size the blocking of each class at the low end, the middle and the high end of the load."""
    found = group.judgement.loads
    rows = []
    for size in sizes:
        low, middle, high = (
            blocking(
                size, [getattr(x, name) for x in found], wanted.widths, group.peaked, group.judgement.others
            )
            for name in ("low", "load", "high")
        )
        rows.append((size, low, middle, high))
    return rows


def sizes_around(group: Group, count: int = 24) -> list[int]:
    """Sizes worth a look: about the one that is there and the one advised."""
    marks = [group.circuits] + ([group.advice.low, group.advice.high] if group.advice else [])
    low, high = max(min(marks) - 3, 0), max(marks) + 3
    step = max((high - low) // count, 1)
    return sorted({*range(low, high + 1, step), group.circuits})


def explain(group: Group, wanted: Wanted) -> list[str]:
    """The way from the counts to the verdict, a line a step."""
    found, good = group.judgement, [b for b in group.buckets if not b.censored]
    lines = [
        f"group toward exchange {group.number}: {group.circuits} circuits, {group.hours:.1f} hours in "
        f"{len(group.buckets)} buckets, {100 * group.censored:.1f}% of the time censored by outages",
        f"busy {100 * group.occupancy:.1f}% of circuit-time, all busy {100 * group.full:.2f}% of the time",
    ]
    for c, name in enumerate(wanted.classes):
        if c >= len(found.loads) or not found.loads[c].seen:
            lines.append(f"class {name}: no tries seen")
            continue
        load = found.loads[c]
        counts = [b.classes[c] for b in good if len(b.classes) > c]
        redials, refused = sum(k.redials for k in counts), sum(k.refused for k in counts)
        lost = sum(k.blocked_first for k in counts)
        low, middle, high = found.expected[c]
        lines.append(
            f"class {name}: {load.seen} first tries ({load.rate:.4f} a second with censored time filled in), "
            f"{redials} redials kept out, {refused} refused for other causes than circuits"
        )
        lines.append(
            f"  mean holding time {load.hold:.1f} s, width {wanted.widths[c]}; load {load.load:.2f} erlangs, "
            f"90% interval {load.low:.2f} to {load.high:.2f}; index of dispersion {load.dispersion:.2f}"
        )
        lines.append(
            f"  {lost} first tries found no circuit ({_share(found.measured[c])}); expected at this size "
            f"{middle:.4f}, {low:.4f} to {high:.4f}; wanted {wanted.targets[c]:g}"
        )
    for stream in found.others:
        lines.append(f"other pairs send {stream.load:.2f} erlangs of width {stream.width} over it")
    if group.peaked > 1.0:
        lines.append(
            f"peakedness {group.peaked:.2f}" + (", by Hayward's scaling" if group.peaked > 1.2 else "")
        )
    single = len(found.loads) == 1 and wanted.widths[0] == 1 and group.peaked <= 1.2
    if single and group.circuits and math.isfinite(found.loads[0].load):
        lines.append(f"Erlang B({group.circuits}, {found.loads[0].load:.2f}) = "
                     f"{erlang_b(group.circuits, found.loads[0].load):.4f}")  # fmt: skip
    lines.append(f"verdict: {found.verdict.value}: {found.why}")
    if found.hours_more is not None:
        lines.append(f"about {found.hours_more:.1f} hours more would tell")
    if group.advice is not None:
        a = group.advice
        lines.append(
            f"advised: {a.circuits} circuits ({a.low} to {a.high} by the interval), cost {a.cost:+g}; "
            f"{a.overflow_now:.2f} erlangs leave for alternates now, {a.overflow_then:.2f} then"
        )
    return lines


def _share(value: float | None) -> str:
    return "none seen" if value is None else f"{value:.4f}"


def matrix(groups: Mapping[int, Group]) -> list[tuple[int, list[float]]]:
    """The traffic matrix's row of this exchange: erlangs by class toward each other one."""
    return [(number, [x.load for x in group.judgement.loads]) for number, group in sorted(groups.items())]


def scaled(group: Group, factor: float) -> Group:
    """The same group under so many times its load."""
    loads = [
        replace(x, load=x.load * factor, low=x.low * factor, high=x.high * factor)
        for x in group.judgement.loads
    ]
    return replace(group, judgement=replace(group.judgement, loads=loads))
