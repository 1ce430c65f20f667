"""Blocking of peaked traffic, such as the overflow of one group that is offered to another.

Sources: Kosten (1937) and Riordan for the overflow's mean and variance; Wilkinson (BSTJ 35, 1956) for the
equivalent random group; Rapp (1964) for a start; Hayward's approximation (Fredericks, BSTJ 59, 1980);
Fredericks and Hayward for several widths.  `z` is peakedness, variance over mean; Hayward holds for smooth
traffic (z < 1) as well, Wilkinson only for z >= 1.
"""

from __future__ import annotations

from collections.abc import Sequence

from scipy import optimize

from eiderstep.sizing.erlang import erlang_b_real


def overflow_moments(n: float, a: float) -> tuple[float, float]:
    """Mean and variance of the overflow of `n` circuits offered `a` erlangs of Poisson traffic."""
    mean = a * erlang_b_real(n, a)
    if mean == 0:
        return 0.0, 0.0
    return mean, mean * (1.0 - mean + a / (n + 1.0 - a + mean))


def equivalent_group(mean: float, variance: float) -> tuple[float, float]:
    """The equivalent random group: load and (real) circuits whose overflow has that mean and variance.

    Requires variance >= mean > 0.  Rapp's closed form is off by some percent; it is the starting point from
    which both equations are solved.  Raises ValueError if there is no solution.
    """
    if mean <= 0 or variance < mean * (1 - 1e-12):
        raise ValueError(f"found mean {mean}, variance {variance}; allowed: variance >= mean > 0")
    z = max(variance / mean, 1.0)
    if z < 1.0 + 1e-9:
        return mean, 0.0
    load = variance + 3.0 * z * (z - 1.0)

    def circuits(a: float) -> float:
        return max(a * (mean + z) / (mean + z - 1.0) - mean - 1.0, 0.0)

    def mean_error(a: float) -> float:
        return overflow_moments(circuits(a), a)[0] - mean

    if mean_error(load) == 0:
        return load, circuits(load)
    for step in range(1, 150):  # widen around Rapp's start, which is close if much overflows
        low, high = max(load / 1.03**step, mean), load * 1.03**step
        if mean_error(low) * mean_error(high) <= 0:
            found = float(optimize.brentq(mean_error, low, high, xtol=1e-12, rtol=1e-13))
            return found, circuits(found)
    raise ValueError(f"no equivalent group for mean {mean}, variance {variance}")


def wilkinson(n: int, mean: float, variance: float) -> float:
    """Blocking of peaked traffic on `n` circuits, by the equivalent random group method."""
    if mean == 0:
        return 0.0
    a, equivalent_circuits = equivalent_group(mean, variance)
    return a * erlang_b_real(equivalent_circuits + n, a) / mean


def hayward(n: float, mean: float, z: float) -> float:
    """Blocking of peaked traffic by scaling: B(n/z, mean/z).

    Within some percent of Wilkinson's method for 0.3 < z < 5.
    """
    if z <= 0:
        raise ValueError(f"peakedness: found {z}; allowed: above 0")
    return erlang_b_real(n / z, mean / z)


def fredericks(n: int, streams: Sequence[tuple[float, int, float]]) -> list[float]:
    """Blocking of each of several streams (load, width, peakedness) on one group.

    Computes the blocking of all traffic in circuits by Fredericks and Hayward and divides it among the
    streams: each is blocked in proportion to its peakedness in circuits, width times z, since a wide call
    seizes its circuits as a batch.  Good near the working point (blocking of some percent), poor for a group
    that is only one or two calls wide.
    """
    mean = sum(load * width for load, width, _ in streams)
    variance = sum(load * width * width * z for load, width, z in streams)
    if mean == 0:
        return [0.0 for _ in streams]
    z = variance / mean
    total_blocking = hayward(n, mean, z)
    return [min(total_blocking * width * stream_z / z, 1.0) for _, width, stream_z in streams]


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
