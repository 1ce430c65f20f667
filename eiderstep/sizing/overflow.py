"""Overflow is peaked: how much of it a second group loses.

Kosten (1937) and Riordan for the overflow's mean and variance; Wilkinson (BSTJ 35, 1956) for the equivalent
random group; Rapp (1964) for a start; Hayward's approximation (Fredericks, BSTJ 59, 1980); Fredericks and
Hayward for several widths.  `z` is peakedness, variance over mean; Hayward holds for smooth traffic (z < 1)
as well, Wilkinson for z >= 1 only.
"""

from __future__ import annotations

from collections.abc import Sequence

from scipy import optimize

from eiderstep.sizing.erlang import erlang_b_real


def overflow(n: float, a: float) -> tuple[float, float]:
    """Mean and variance of what `n` circuits turn away of `a` erlangs of Poisson traffic."""
    mean = a * erlang_b_real(n, a)
    if mean == 0:
        return 0.0, 0.0
    return mean, mean * (1.0 - mean + a / (n + 1.0 - a + mean))


def equivalent(mean: float, variance: float) -> tuple[float, float]:
    """The load and (real) circuits whose overflow has that mean and variance.  variance >= mean > 0.

    Rapp's closed form is off by some percent; from it both equations are solved.
    """
    if mean <= 0 or variance < mean * (1 - 1e-12):
        raise ValueError(f"found mean {mean}, variance {variance}; allowed: variance >= mean > 0")
    z = max(variance / mean, 1.0)
    if z < 1.0 + 1e-9:
        return mean, 0.0
    load = variance + 3.0 * z * (z - 1.0)

    def circuits(a: float) -> float:
        return max(a * (mean + z) / (mean + z - 1.0) - mean - 1.0, 0.0)

    def off(a: float) -> float:
        return overflow(circuits(a), a)[0] - mean

    if off(load) == 0:
        return load, circuits(load)
    for spread in range(1, 150):  # Rapp's start is near where much overflows: widen until it lies between
        low, high = max(load / 1.03**spread, mean), load * 1.03**spread
        if off(low) * off(high) <= 0:
            found = float(optimize.brentq(off, low, high, xtol=1e-12, rtol=1e-13))
            return found, circuits(found)
    raise ValueError(f"no equivalent group for mean {mean}, variance {variance}")


def wilkinson(n: int, mean: float, variance: float) -> float:
    """Share of peaked traffic that `n` circuits lose, by the equivalent random group."""
    if mean == 0:
        return 0.0
    a, before = equivalent(mean, variance)
    return a * erlang_b_real(before + n, a) / mean


def hayward(n: float, mean: float, z: float) -> float:
    """The same by scaling: B(n/z, mean/z).  Within some percent of Wilkinson for 0.3 < z < 5."""
    if z <= 0:
        raise ValueError(f"peakedness: found {z}; allowed: above 0")
    return erlang_b_real(n / z, mean / z)


def fredericks(n: int, streams: Sequence[tuple[float, int, float]]) -> list[float]:
    """Blocking of each of several streams (load, width, peakedness) on one group.

    Fredericks and Hayward for the whole in circuits, then shared out: a stream is blocked in proportion to
    its peakedness in circuits, width times z, which is what a wide call's batch of circuits amounts to.
    Good near the working point (blocking of some percent), poor for a group a call or two wide.
    """
    mean = sum(load * width for load, width, _ in streams)
    variance = sum(load * width * width * z for load, width, z in streams)
    if mean == 0:
        return [0.0 for _ in streams]
    z = variance / mean
    whole = hayward(n, mean, z)
    return [min(whole * width * peaked / z, 1.0) for _, width, peaked in streams]


def peaked_circuits_for(mean: float, z: float, target: float, module: int = 1) -> int:
    """The fewest circuits, in whole modules, for peaked or smooth traffic, by Hayward."""
    if not 0 < target < 1:
        raise ValueError(f"target: found {target}; allowed: above 0, below 1")
    if mean <= 0:
        return 0
    low, high = 0, max(int(mean), 1)
    while hayward(high, mean, z) > target:
        low, high = high, high * 2
    while low < high:
        middle = (low + high) // 2
        if hayward(middle, mean, z) > target:
            low = middle + 1
        else:
            high = middle
    return -(-high // module) * module
