"""Estimates a group's offered load, with its confidence interval, from buckets and judges the group's size.

A bucket holds each class's counts over one span of time of one group.  Three effects make a measured load too
low or too high; each is corrected separately.

- *Outages.*  While a group is out of service or short of circuits, its tries come late, as redials, or not at
  all.  Such buckets are censored: their time is filled in from uncensored buckets of the same hour of the
  day, or of all hours if that hour has none.  The cost: a rush that coincides with an outage is not counted.
- *Redials.*  Only first tries are load; a blocked call that is tried three times is one call.  If redials are
  not counted separately, `erlang.first_try_load` computes the load without them.
- *Refusals for other causes.*  A full processor says nothing about circuits, so tries that it refused count
  as load but not as blocking.

Sources: Iversen (2015) chapter 13 on measurement; Hayward for peaked traffic; Cox and Lewis (1966) on the
index of dispersion.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from enum import Enum

import numpy as np
from scipy import stats

from eiderstep.sizing import mixed
from eiderstep.sizing.bucket import Bucket
from eiderstep.sizing.erlang import first_try_load
from eiderstep.sizing.mixed import Stream

SECOND = 1_000_000_000
HOUR = 3600 * SECOND  # ns
HOURS_PER_DAY = 24
CONFIDENCE = 0.90  # level of the intervals
MAX_LOAD = 1e5  # erlangs; upper limit of an interval
BURST_WINDOW_HOLDS = 8  # mean holding times; arrivals are counted over spans of this length to detect bursts
MIN_TRIES = 5  # first tries; a class with fewer is not judged
PEAKED_ABOVE = 1.2  # peakedness above which Hayward's scaling is applied


@dataclass(frozen=True)
class Load:
    """Estimated load of one class in erlangs, with its interval.

    `rate` is in first tries per second, `hold` the mean holding time in seconds, `dispersion` the index of
    dispersion of the arrivals, `first_tries` the number of them in uncensored buckets.
    """

    load: float
    low: float
    high: float
    rate: float
    hold: float
    dispersion: float
    first_tries: int


class Verdict(Enum):
    """The judgement of a group's size."""

    TOO_SMALL = "too small"
    UNLUCKY = "unlucky"
    ENOUGH = "enough"
    CANNOT_TELL = "cannot tell yet"


@dataclass(frozen=True)
class Judgement:
    """The verdict on a group and its reason.

    `expected` holds each class's blocking at the low end, the middle and the high end of its load, `measured`
    its measured blocking (None: no tries).  `hours_more` is how many more hours of measurement
    a verdict probably takes.
    """

    verdict: Verdict
    reason: str
    expected: list[tuple[float, float, float]]
    measured: list[float | None]
    hours_more: float | None = None
    loads: list[Load] = field(default_factory=list)
    other_streams: list[Stream] = field(default_factory=list)  # load of other exchange pairs


def estimate_loads(
    buckets: Sequence[Bucket], classes: int, redials_counted_apart: bool = True,
    redial_probability: float = 0.0,
) -> list[Load]:  # fmt: skip
    """The load of each class.

    `redials_counted_apart`: redials are not among the first tries.  Otherwise `redial_probability` is the
    probability that a blocked call is redialled.
    """
    return [_estimate_load(buckets, c, redials_counted_apart, redial_probability) for c in range(classes)]


def _estimate_load(
    buckets: Sequence[Bucket], cls: int, redials_counted_apart: bool, redial_probability: float
) -> Load:
    uncensored = [bucket for bucket in buckets if not bucket.censored and len(bucket.classes) > cls]
    seconds = sum(bucket.length for bucket in uncensored) / SECOND
    class_counts = [bucket.classes[cls] for bucket in uncensored]
    tries = sum(counts.first for counts in class_counts)
    ended = sum(counts.held for counts in class_counts)
    # The mean over ended calls alone is too short, since long calls that still stand are missing from it.
    # For such a censored sample the estimate is the total standing time divided by the number of ended calls.
    hold = sum(counts.standing for counts in class_counts) / ended / SECOND if ended else 0.0
    if not seconds or not tries or not ended:
        return Load(0.0, 0.0, _load_bound_without_tries(seconds, hold), 0.0, hold, 1.0, tries)
    rate = _first_try_rate(buckets, uncensored, cls)
    load = rate * hold
    if not redials_counted_apart and redial_probability:
        circuits = uncensored[-1].circuits
        load = first_try_load(circuits, load, redial_probability)
    dispersion_index = dispersion(
        *_join_short_buckets(
            [counts.first for counts in class_counts],
            [bucket.length for bucket in uncensored],
            BURST_WINDOW_HOLDS * hold,
        )
    )
    # Relative variance of rate times hold: that of the counts follows from the dispersion, that of the
    # holding times from their measured squares.
    mean_square = sum(counts.hold_squared for counts in class_counts) / ended
    mean_hold = sum(counts.hold for counts in class_counts) / ended / SECOND
    hold_variation = max(mean_square / mean_hold**2 - 1.0, 0.0) if mean_hold else 0.0
    relative_error = math.sqrt(dispersion_index / tries + hold_variation / ended)
    low, high = _load_interval(load, relative_error, tries)
    return Load(load, low, high, load / hold, hold, dispersion_index, tries)


def _first_try_rate(buckets: Sequence[Bucket], uncensored: Sequence[Bucket], cls: int) -> float:
    """First tries per second over all buckets; censored ones take the rate of their hour of the day.

    Hours without an uncensored bucket take the mean rate.
    """
    by_hour: dict[int, list[float]] = {}
    for bucket in uncensored:
        sums = by_hour.setdefault(_hour_of_day(bucket), [0.0, 0.0])
        sums[0] += bucket.classes[cls].first
        sums[1] += bucket.length / SECOND
    total_tries = sum(sums[0] for sums in by_hour.values())
    total_seconds = sum(sums[1] for sums in by_hour.values())
    mean_rate = total_tries / total_seconds
    for bucket in buckets:
        if bucket.censored:
            hour_sums = by_hour.get(_hour_of_day(bucket))
            seconds = bucket.length / SECOND
            total_tries += seconds * (
                hour_sums[0] / hour_sums[1] if hour_sums and hour_sums[1] else mean_rate
            )
            total_seconds += seconds
    return total_tries / total_seconds


def _hour_of_day(bucket: Bucket) -> int:
    return bucket.start // HOUR % HOURS_PER_DAY


def _load_bound_without_tries(seconds: float, hold: float) -> float:
    """Upper bound of the load (erlangs) of a class without tries in that many seconds.

    At this load, a span without any try has a probability of 5%.
    """
    return -math.log((1 - CONFIDENCE) / 2) / seconds * hold if seconds else math.inf


def _load_interval(load: float, relative_error: float, tries: int) -> tuple[float, float]:
    """Confidence interval by the gamma distribution with that mean and relative standard deviation.

    Exact for counts, approximate for the product of a count and a mean holding time.
    """
    shape = 1.0 / max(relative_error, 1e-9) ** 2
    tail_probability = (1 - CONFIDENCE) / 2
    low = float(stats.gamma.ppf(tail_probability, shape)) / shape
    # The upper limit takes one more try, as in the exact interval of a count.
    high = float(stats.gamma.ppf(1 - tail_probability, shape + shape / tries)) / shape
    return load * low, load * high


def _join_short_buckets(
    counts: Sequence[int], lengths: Sequence[int], least_seconds: float
) -> tuple[list[int], list[int]]:
    """Join neighbouring counts into spans of at least `least_seconds`; return their counts and lengths (ns).

    Within buckets that are shorter than the bursts, peaked arrivals look like Poisson traffic, and the group
    would be sized too small.
    """
    joined_counts, joined_lengths = [0], [0]
    for count, length in zip(counts, lengths, strict=True):
        if joined_lengths[-1] >= least_seconds * SECOND:
            joined_counts.append(0)
            joined_lengths.append(0)
        joined_counts[-1] += count
        joined_lengths[-1] += length
    if len(joined_counts) > 1 and joined_lengths[-1] < least_seconds * SECOND:
        del joined_counts[-1], joined_lengths[-1]  # the remainder is too short for a span
    return joined_counts, joined_lengths


def dispersion(counts: Sequence[int], lengths: Sequence[int]) -> float:
    """Index of dispersion: variance over mean of the counts, 1 for Poisson traffic.

    The result is at least 1, and 1 if there are fewer than 8 counts.  `lengths` (ns) scale the counts to
    equal spans.  Each count is compared with the mean of its neighbours, so that slow changes of the load
    cancel: otherwise a load that drifts through the day would look peaked.  The cost: bursts that last longer
    than a few spans are not detected.
    """
    if len(counts) < 8:
        return 1.0
    counts_array = np.array(counts, dtype=float)
    lengths_array = np.array(lengths, dtype=float)
    scaled = counts_array * lengths_array.mean() / lengths_array
    if scaled.mean() <= 0:
        return 1.0
    # x[i] - (x[i-1] + x[i+1]) / 2 of independent counts has 3/2 of their variance.
    deviations = scaled[1:-1] - (scaled[:-2] + scaled[2:]) / 2
    return max(float((deviations**2).mean() / 1.5 / scaled.mean()), 1.0)


def blocking(
    circuits: int, class_loads: Sequence[float], widths: Sequence[int], peakedness: float,
    other_streams: Sequence[Stream] = (),
) -> list[float]:  # fmt: skip
    """Blocking of each class at these loads (erlangs), with Hayward's scaling if arrivals are peaked.

    `other_streams`: load of other exchange pairs on the group.
    """
    if circuits <= 0:
        return [1.0 if a > 0 else 0.0 for a in class_loads]
    streams = [*(Stream(a, w) for a, w in zip(class_loads, widths, strict=True)), *other_streams]
    if peakedness <= PEAKED_ABOVE:
        return mixed.blocking(circuits, streams)[: len(widths)]
    scaled = [Stream(stream.load / peakedness, stream.width) for stream in streams]
    size = circuits / peakedness
    lower_size, upper_size = math.floor(size), math.ceil(size)
    lower_blocking, upper_blocking = mixed.blocking(lower_size, scaled), mixed.blocking(upper_size, scaled)
    fraction = size - lower_size
    interpolated = [
        x ** (1 - fraction) * y**fraction if x > 0 and y > 0 else y
        for x, y in zip(lower_blocking, upper_blocking, strict=True)
    ]
    return interpolated[: len(widths)]


def streams_of_other_pairs(
    buckets: Sequence[Bucket], widths: Sequence[int], class_loads: Sequence[Load]
) -> list[Stream]:
    """Load of other exchange pairs on the group, by class: their tries times the group's own holding time.

    Without it, a group that carries mostly overflow would look far too large.  Tries of other pairs that
    found no circuit free on this group were not sent here and are not counted.
    """
    uncensored = [bucket for bucket in buckets if not bucket.censored]
    seconds = sum(bucket.length for bucket in uncensored) / SECOND
    known_holds = [load.hold for load in class_loads if load.hold]
    streams = []
    for cls, width in enumerate(widths):
        tries = sum(bucket.classes[cls].for_others for bucket in uncensored if len(bucket.classes) > cls)
        hold = class_loads[cls].hold or (sum(known_holds) / len(known_holds) if known_holds else 0.0)
        if seconds and tries and hold:
            streams.append(Stream(tries / seconds * hold, width))
    return streams


def judge(
    buckets: Sequence[Bucket], widths: Sequence[int], targets: Sequence[float],
    redials_counted_apart: bool = True, redial_probability: float = 0.0, names: Sequence[str] = (),
) -> Judgement:  # fmt: skip
    """Judge whether a group is large enough for each class's blocking target.

    Too small: a class misses its target even at the low end of its load.  Cannot tell yet: too little was
    measured, or a class misses its target only at the high end.  Unlucky: more calls were lost than the
    target allows, although even the high end of the load meets it.  `names` of the classes are for the
    reason.
    """
    class_names = list(names) or [str(cls) for cls in range(len(widths))]
    class_loads = estimate_loads(buckets, len(widths), redials_counted_apart, redial_probability)
    circuits = buckets[-1].circuits if buckets else 0
    measured: list[float | None] = []
    uncensored = [bucket for bucket in buckets if not bucket.censored]
    for cls in range(len(widths)):
        tries = sum(bucket.classes[cls].first for bucket in uncensored if len(bucket.classes) > cls)
        blocked = sum(bucket.classes[cls].blocked_first for bucket in uncensored if len(bucket.classes) > cls)
        measured.append(blocked / tries if tries else None)
    # The high end is infinite for a class that was never measured.
    class_loads = [replace(load, high=min(load.high, MAX_LOAD)) for load in class_loads]
    peakedness, other_streams = (
        group_peakedness(class_loads),
        streams_of_other_pairs(buckets, widths, class_loads),
    )
    blocking_curves = [
        blocking(circuits, [getattr(load, name) for load in class_loads], widths, peakedness, other_streams)
        for name in ("low", "load", "high")
    ]
    expected = list(zip(*blocking_curves, strict=True))
    judged = [cls for cls, load in enumerate(class_loads) if load.first_tries >= MIN_TRIES]
    if not judged:
        measured_hours = sum(bucket.length for bucket in uncensored) / HOUR
        why = "every bucket was censored" if buckets and not uncensored else "too few calls"
        return Judgement(
            Verdict.CANNOT_TELL, why, expected, measured, max(measured_hours, 1.0), class_loads, other_streams
        )
    without_holds = [cls for cls in judged if not class_loads[cls].hold]
    if without_holds:
        cls = without_holds[0]
        if measured[cls] == 1.0:
            why = (
                f"class {class_names[cls]}: "
                f"none of {class_loads[cls].first_tries} first tries found a circuit"
            )
            return Judgement(Verdict.TOO_SMALL, why, expected, measured, None, class_loads, other_streams)
        why = f"class {class_names[cls]}: no call has ended yet"
        return Judgement(Verdict.CANNOT_TELL, why, expected, measured, None, class_loads, other_streams)
    too_small = [cls for cls in judged if expected[cls][0] > targets[cls]]
    if too_small:
        cls = max(too_small, key=lambda c: expected[c][0] / targets[c])
        lowest = f"{expected[cls][0]:.3f} even at the low end of its load"
        why = f"class {class_names[cls]} loses {lowest}; wanted {targets[cls]:g}"
        return Judgement(Verdict.TOO_SMALL, why, expected, measured, None, class_loads, other_streams)
    uncertain = [cls for cls in judged if expected[cls][2] > targets[cls]]
    if uncertain:
        hours_more = _hours_until_decided(
            class_loads,
            widths,
            targets,
            circuits,
            peakedness,
            other_streams,
            sum(bucket.length for bucket in uncensored) / HOUR,
        )
        cls = max(uncertain, key=lambda c: expected[c][2] / targets[c])
        why = (
            f"class {class_names[cls]} loses {expected[cls][0]:.3f} to {expected[cls][2]:.3f}; "
            f"wanted {targets[cls]:g}"
        )
        return Judgement(Verdict.CANNOT_TELL, why, expected, measured, hours_more, class_loads, other_streams)
    unlucky = [cls for cls in judged if (measured[cls] or 0.0) > targets[cls]]
    if unlucky:
        cls = unlucky[0]
        why = (
            f"class {class_names[cls]} lost {measured[cls]:.3f}, "
            f"but its load makes {expected[cls][2]:.3f} at most"
        )
        return Judgement(Verdict.UNLUCKY, why, expected, measured, None, class_loads, other_streams)
    return Judgement(
        Verdict.ENOUGH, "at the high end of every load", expected, measured, None, class_loads, other_streams
    )


def group_peakedness(class_loads: Sequence[Load]) -> float:
    """Peakedness of a group's traffic: its classes' load-weighted dispersion, the excess over 1 halved.

    The index of dispersion over long spans is that of the counts.  The peakedness of the occupied circuits
    has about half its excess, since a holding time weights the arrivals by an exponential window (exactly
    half for an interrupted Poisson stream whose bursts are short compared with a call).
    """
    total_load = sum(load.load for load in class_loads)
    if not total_load:
        return 1.0
    return 1.0 + sum(load.load * (load.dispersion - 1.0) for load in class_loads) / total_load / 2.0


def _hours_until_decided(
    class_loads: Sequence[Load], widths: Sequence[int], targets: Sequence[float], circuits: int,
    peakedness: float, other_streams: Sequence[Stream], measured_hours: float,
) -> float | None:  # fmt: skip
    """Hours of further measurement until the interval excludes the target, if the load stays as estimated.

    An interval narrows with the square root of the time.  None if 64 times the measured time is not enough,
    that is, if the load is very close to the one that just meets the target.
    """
    for factor in (1.5, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64):
        root = math.sqrt(factor)
        low_loads = [load.load - (load.load - load.low) / root for load in class_loads]
        high_loads = [load.load + (load.high - load.load) / root for load in class_loads]
        blocking_at_low = blocking(circuits, low_loads, widths, peakedness, other_streams)
        blocking_at_high = blocking(circuits, high_loads, widths, peakedness, other_streams)
        if all(blocked <= target for blocked, target in zip(blocking_at_high, targets, strict=True)):
            return measured_hours * (factor - 1)
        if any(blocked > target for blocked, target in zip(blocking_at_low, targets, strict=True)):
            return measured_hours * (factor - 1)
    return None
