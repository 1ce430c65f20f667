"""Blocking of calls of several widths on one trunk group, with and without trunk reservation.

Without reservation: Kaufman (1981) and Roberts (1981), exact for Poisson classes that share a group
completely.  With reservation: Roberts' approximation (1983), exact only if all classes have the same mean
holding time.  For two streams of one circuit (`reservation_blocking`) the recursion is the birth-death chain
itself, exact if both have the same mean holding time.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt


@dataclass(frozen=True)
class Stream:
    """One class of calls: load in erlangs of calls, circuits per call, circuits that it must leave free."""

    load: float
    width: int = 1
    reserve: int = 0


def state_distribution(n: int, streams: Sequence[Stream]) -> npt.NDArray[np.float64]:
    """Probability of each number of busy circuits, 0 to n.

    The unnormalised values are rescaled as they grow, so that large loads cause no floating-point overflow.
    Raises ValueError for arguments out of range.
    """
    if n < 0:
        raise ValueError(f"circuits: found {n}; allowed: not below 0")
    for stream in streams:
        if stream.load < 0 or stream.width < 1 or stream.reserve < 0:
            raise ValueError(f"found {stream}; allowed: load >= 0, width >= 1, reserve >= 0")
    q = np.zeros(n + 1)
    q[0] = 1.0
    for busy in range(1, n + 1):
        total = 0.0
        for stream in streams:
            previous = busy - stream.width
            if previous >= 0 and busy <= n - stream.reserve:
                total += stream.load * stream.width * q[previous]
        q[busy] = total / busy
        if q[busy] > 1e200:
            q[: busy + 1] /= q[busy]
    distribution: npt.NDArray[np.float64] = q / q.sum()
    return distribution


def blocking(n: int, streams: Sequence[Stream]) -> list[float]:
    """Blocking of each class."""
    q = state_distribution(n, streams)
    return [float(q[max(n - s.width - s.reserve + 1, 0) :].sum()) for s in streams]


def reservation_blocking(n: int, direct: float, overflow: float, reserve: int) -> tuple[float, float]:
    """Blocking of direct and of overflow calls, where overflow calls must leave `reserve` circuits free."""
    if not 0 <= reserve <= n:
        raise ValueError(f"reserve: found {reserve}; allowed: 0 to {n}")
    found = blocking(n, [Stream(direct), Stream(overflow, 1, reserve)])
    return found[0], found[1]
