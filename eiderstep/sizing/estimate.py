"""From what was measured to the load offered, how sure of it, and a verdict on the group.

A bucket is a span of time of one group, and within it each class's counts.  Danger: three things make a
measured load too low or too high, and each is dealt with apart.

- *Outages.*  While a group is out or short of circuits its tries come late, as redials, or not at all.  Such
  buckets are censored: their time is filled in from uncensored ones of the same hour of the day, or of all
  where there are none.  Harms where the outage coincides with a rush: the rush is not seen.
- *Redials.*  Only first tries are load; a blocked call that is tried three times is one call.  Where redials
  are not told apart, they are folded back by the fixed point of `erlang.first_tries`.
- *Refusals of other causes.*  A processor that is full says nothing of circuits: those tries are load, and no
  blocking.  Harms nothing here.

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
from eiderstep.sizing.erlang import first_tries
from eiderstep.sizing.mixed import Stream

SECOND = 1_000_000_000
HOUR = 3600 * SECOND
DAY_HOURS = 24
COVER = 0.90  # of the intervals
MOST = 1e5  # erlangs that are reckoned with
WINDOW = 8  # holding times: the span over which arrivals are looked at for bursts
FEWEST = 5  # calls seen, under which nothing is said
PEAKED = 1.2  # index of dispersion above which arrivals are taken for peaked


@dataclass(frozen=True)
class Load:
    """A class's load in erlangs with its interval; `rate` first tries a second, `hold` seconds."""

    load: float
    low: float
    high: float
    rate: float
    hold: float
    dispersion: float
    seen: int


class Verdict(Enum):
    """What can be said of a group's size."""

    TOO_SMALL = "too small"
    UNLUCKY = "unlucky"
    ENOUGH = "enough"
    CANNOT_TELL = "cannot tell yet"


@dataclass(frozen=True)
class Judgement:
    """The verdict, why, and by class the blocking expected with its interval and measured (None: no
    tries)."""

    verdict: Verdict
    why: str
    expected: list[tuple[float, float, float]]
    measured: list[float | None]
    hours_more: float | None = None
    loads: list[Load] = field(default_factory=list)
    others: list[Stream] = field(default_factory=list)  # what other pairs send over the group


def loads(
    buckets: Sequence[Bucket], classes: int, redials_told: bool = True, redial: float = 0.0
) -> list[Load]:  # fmt: skip
    """Each class's load.  `redials_told`: redials are counted apart; else `redial` is the probability of
    one."""
    return [_load(buckets, c, redials_told, redial) for c in range(classes)]


def _load(buckets: Sequence[Bucket], c: int, redials_told: bool, redial: float) -> Load:
    good = [b for b in buckets if not b.censored and len(b.classes) > c]
    span = sum(b.length for b in good) / SECOND
    counted = [b.classes[c] for b in good]
    tries = sum(k.first for k in counted)
    held = sum(k.held for k in counted)
    # Danger: the mean of the calls that ended is short of the long ones that still stand.  All the time that
    # calls stood over those that ended is the estimate for a censored sample.
    hold = sum(k.standing for k in counted) / held / SECOND if held else 0.0
    if not span or not tries or not held:
        return Load(0.0, 0.0, _silence(span, hold), 0.0, hold, 1.0, tries)
    rate = _rate(buckets, good, c)
    load = rate * hold
    if not redials_told and redial:
        circuits = good[-1].circuits
        load = first_tries(circuits, load, redial)
    spread = dispersion(*_spans([k.first for k in counted], [b.length for b in good], WINDOW * hold))
    # The relative variance of rate times hold: counts are spread as the dispersion says, holds as measured.
    squares = sum(k.hold_squared for k in counted) / held
    mean = sum(k.hold for k in counted) / held / SECOND
    variation = max(squares / mean**2 - 1.0, 0.0) if mean else 0.0
    relative = math.sqrt(spread / tries + variation / held)
    low, high = _interval(load, relative, tries)
    return Load(load, low, high, load / hold, hold, spread, tries)


def _rate(buckets: Sequence[Bucket], good: Sequence[Bucket], c: int) -> float:
    """First tries a second over all of the time, censored spans filled in from their hour of the day."""
    by_hour: dict[int, list[float]] = {}
    for b in good:
        sums = by_hour.setdefault(_hour(b), [0.0, 0.0])
        sums[0] += b.classes[c].first
        sums[1] += b.length / SECOND
    total = sum(s[0] for s in by_hour.values())
    span = sum(s[1] for s in by_hour.values())
    plain = total / span
    for b in buckets:
        if b.censored:
            known = by_hour.get(_hour(b))
            seconds = b.length / SECOND
            total += seconds * (known[0] / known[1] if known and known[1] else plain)
            span += seconds
    return total / span


def _hour(b: Bucket) -> int:
    return b.start // HOUR % DAY_HOURS


def _silence(span: float, hold: float) -> float:
    """The most that a class of which nothing was seen can be: no try in the span has a chance of 5 in 100."""
    return -math.log((1 - COVER) / 2) / span * hold if span else math.inf


def _interval(load: float, relative: float, tries: int) -> tuple[float, float]:
    """By the gamma distribution with that mean and spread: exact for counts, near for their product with
    holds."""
    shape = 1.0 / max(relative, 1e-9) ** 2
    tail = (1 - COVER) / 2
    low = float(stats.gamma.ppf(tail, shape)) / shape
    # One more at the top, as the exact interval of a count has it.
    high = float(stats.gamma.ppf(1 - tail, shape + shape / tries)) / shape
    return load * low, load * high


def _spans(counts: Sequence[int], lengths: Sequence[int], least: float) -> tuple[list[int], list[int]]:
    """Neighbouring counts joined to spans of at least so many seconds.

    Danger: in a bucket shorter than the bursts, arrivals look like Poisson traffic, and the group is sized
    for it.
    """
    joined_counts, joined_lengths = [0], [0]
    for count, length in zip(counts, lengths, strict=True):
        if joined_lengths[-1] >= least * SECOND:
            joined_counts.append(0)
            joined_lengths.append(0)
        joined_counts[-1] += count
        joined_lengths[-1] += length
    if len(joined_counts) > 1 and joined_lengths[-1] < least * SECOND:
        del joined_counts[-1], joined_lengths[-1]  # what is left over is no span
    return joined_counts, joined_lengths


def dispersion(counts: Sequence[int], lengths: Sequence[int]) -> float:
    """Variance over mean of counts in spans of like length, 1 for Poisson; at least 1 where too few to tell.

    Danger: a load that drifts through the day looks peaked.  Each count is set against the mean of its
    neighbours, so that what changes slowly cancels.  Harms where bursts last longer than a few buckets.
    """
    if len(counts) < 8:
        return 1.0
    rates = np.array(counts, dtype=float)
    weights = np.array(lengths, dtype=float)
    scaled = rates * weights.mean() / weights
    if scaled.mean() <= 0:
        return 1.0
    # x[i] - (x[i-1] + x[i+1]) / 2 of independent counts has 3/2 of their variance.
    odd = scaled[1:-1] - (scaled[:-2] + scaled[2:]) / 2
    return max(float((odd**2).mean() / 1.5 / scaled.mean()), 1.0)


def blocking(
    circuits: int, found: Sequence[float], widths: Sequence[int], peaked: float, extra: Sequence[Stream] = ()
) -> list[float]:  # fmt: skip
    """Each class's blocking at these loads, Hayward's scaling where arrivals are peaked.

    `extra`: what other pairs send over the group.
    """
    if circuits <= 0:
        return [1.0 if a > 0 else 0.0 for a in found]
    streams = [*(Stream(a, w) for a, w in zip(found, widths, strict=True)), *extra]
    if peaked <= PEAKED:
        return mixed.blocking(circuits, streams)[: len(widths)]
    scaled = [Stream(s.load / peaked, s.width) for s in streams]
    size = circuits / peaked
    below, above = math.floor(size), math.ceil(size)
    lower, upper = mixed.blocking(below, scaled), mixed.blocking(above, scaled)
    part = size - below
    both = [x ** (1 - part) * y**part if x > 0 and y > 0 else y for x, y in zip(lower, upper, strict=True)]
    return both[: len(widths)]


def others(buckets: Sequence[Bucket], widths: Sequence[int], found: Sequence[Load]) -> list[Stream]:
    """What other pairs send over the group, by class: their tries times the holding time of our own calls.

    Danger: a group that carries mostly overflow looks far too large for its own calls.  Tries that found no
    circuit here were not sent here and are not seen: what is reckoned with is what came.
    """
    good = [b for b in buckets if not b.censored]
    span = sum(b.length for b in good) / SECOND
    known = [x.hold for x in found if x.hold]
    streams = []
    for c, width in enumerate(widths):
        tries = sum(b.classes[c].for_others for b in good if len(b.classes) > c)
        hold = found[c].hold or (sum(known) / len(known) if known else 0.0)
        if span and tries and hold:
            streams.append(Stream(tries / span * hold, width))
    return streams


def judge(
    buckets: Sequence[Bucket], widths: Sequence[int], targets: Sequence[float], redials_told: bool = True,
    redial: float = 0.0, names: Sequence[str] = (),
) -> Judgement:  # fmt: skip
    """Too small, unlucky, enough, or cannot tell yet."""
    called = list(names) or [str(c) for c in range(len(widths))]
    found = loads(buckets, len(widths), redials_told, redial)
    circuits = buckets[-1].circuits if buckets else 0
    measured: list[float | None] = []
    good = [b for b in buckets if not b.censored]
    for c in range(len(widths)):
        tries = sum(b.classes[c].first for b in good if len(b.classes) > c)
        lost = sum(b.classes[c].blocked_first for b in good if len(b.classes) > c)
        measured.append(lost / tries if tries else None)
    found = [replace(x, high=min(x.high, MOST)) for x in found]  # of a class never seen it may be endless
    peaked, extra = peakedness(found), others(buckets, widths, found)
    curves = [
        blocking(circuits, [getattr(x, name) for x in found], widths, peaked, extra)
        for name in ("low", "load", "high")
    ]
    expected = list(zip(*curves, strict=True))
    seen = [c for c, x in enumerate(found) if x.seen >= FEWEST]
    if not seen:
        span = sum(b.length for b in good) / HOUR
        text = "every bucket was censored" if buckets and not good else "too few calls"
        return Judgement(Verdict.CANNOT_TELL, text, expected, measured, max(span, 1.0), found, extra)
    dark = [c for c in seen if not found[c].hold]
    if dark:
        c = dark[0]
        if measured[c] == 1.0:
            text = f"class {called[c]}: none of {found[c].seen} first tries found a circuit"
            return Judgement(Verdict.TOO_SMALL, text, expected, measured, None, found, extra)
        text = f"class {called[c]}: no call has ended yet"
        return Judgement(Verdict.CANNOT_TELL, text, expected, measured, None, found, extra)
    small = [c for c in seen if expected[c][0] > targets[c]]
    if small:
        c = max(small, key=lambda k: expected[k][0] / targets[k])
        at_least = f"{expected[c][0]:.3f} even at the low end of its load"
        text = f"class {called[c]} loses {at_least}; wanted {targets[c]:g}"
        return Judgement(Verdict.TOO_SMALL, text, expected, measured, None, found, extra)
    wide = [c for c in seen if expected[c][2] > targets[c]]
    if wide:
        hours = _hours_more(
            found, widths, targets, circuits, peaked, extra, sum(b.length for b in good) / HOUR
        )
        c = max(wide, key=lambda k: expected[k][2] / targets[k])
        text = f"class {called[c]} loses {expected[c][0]:.3f} to {expected[c][2]:.3f}; wanted {targets[c]:g}"
        return Judgement(Verdict.CANNOT_TELL, text, expected, measured, hours, found, extra)
    luck = [c for c in seen if (measured[c] or 0.0) > targets[c]]
    if luck:
        c = luck[0]
        text = f"class {called[c]} lost {measured[c]:.3f}, but its load makes {expected[c][2]:.3f} at most"
        return Judgement(Verdict.UNLUCKY, text, expected, measured, None, found, extra)
    return Judgement(Verdict.ENOUGH, "at the high end of every load", expected, measured, None, found, extra)


def peakedness(found: Sequence[Load]) -> float:
    """One figure for a group: the loads' dispersion, weighted, halved beyond 1.

    The index of dispersion over long spans is that of counts; what circuits feel is about half its excess,
    since a holding time sees an exponential window of the arrivals (for an interrupted Poisson stream whose
    bursts are short against a call it is exactly half).
    """
    total = sum(x.load for x in found)
    if not total:
        return 1.0
    return 1.0 + sum(x.load * (x.dispersion - 1.0) for x in found) / total / 2.0


def _hours_more(
    found: Sequence[Load], widths: Sequence[int], targets: Sequence[float], circuits: int, peaked: float,
    extra: Sequence[Stream], hours: float,
) -> float | None:  # fmt: skip
    """How much longer until the interval leaves the target, if the load stays where it seems to be.

    An interval shrinks with the root of the time.  None where the load sits on the target itself.
    """
    for times in (1.5, 2, 3, 4, 6, 8, 12, 16, 24, 32, 64):
        root = math.sqrt(times)
        low = [x.load - (x.load - x.low) / root for x in found]
        high = [x.load + (x.high - x.load) / root for x in found]
        at_low = blocking(circuits, low, widths, peaked, extra)
        at_high = blocking(circuits, high, widths, peaked, extra)
        if all(b <= t for b, t in zip(at_high, targets, strict=True)):
            return hours * (times - 1)
        if any(b > t for b, t in zip(at_low, targets, strict=True)):
            return hours * (times - 1)
    return None
