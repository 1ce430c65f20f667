"""Calls of several widths on one group, and trunk reservation.

Kaufman (1981) and Roberts (1981): exact for Poisson classes that share a group completely.  With reservation
the recursion is Roberts' approximation (1983), exact only where all classes hold alike; for two streams of
one circuit (`reserved`) it is the birth-death chain itself, exact where both hold equally long.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
import numpy.typing as npt


@dataclass(frozen=True)
class Stream:
    """One class: erlangs of calls, circuits a call, circuits that must stay free behind it."""

    load: float
    width: int = 1
    reserve: int = 0


def states(n: int, streams: Sequence[Stream]) -> npt.NDArray[np.float64]:
    """The distribution of busy circuits, 0 to n.  Rescaled as it grows, so that no load overflows."""
    if n < 0:
        raise ValueError(f"circuits: found {n}; allowed: not below 0")
    for stream in streams:
        if stream.load < 0 or stream.width < 1 or stream.reserve < 0:
            raise ValueError(f"found {stream}; allowed: load >= 0, width >= 1, reserve >= 0")
    q = np.zeros(n + 1)
    q[0] = 1.0
    for x in range(1, n + 1):
        total = 0.0
        for stream in streams:
            before = x - stream.width
            if before >= 0 and x <= n - stream.reserve:
                total += stream.load * stream.width * q[before]
        q[x] = total / x
        if q[x] > 1e200:
            q[: x + 1] /= q[x]
    found: npt.NDArray[np.float64] = q / q.sum()
    return found


def blocking(n: int, streams: Sequence[Stream]) -> list[float]:
    """Each class's blocking."""
    q = states(n, streams)
    return [float(q[max(n - s.width - s.reserve + 1, 0) :].sum()) for s in streams]


def reserved(n: int, direct: float, overflow: float, reserve: int) -> tuple[float, float]:
    """Blocking of direct and of overflow calls, where overflow is let in only with `reserve` left free."""
    if not 0 <= reserve <= n:
        raise ValueError(f"reserve: found {reserve}; allowed: 0 to {n}")
    found = blocking(n, [Stream(direct), Stream(overflow, 1, reserve)])
    return found[0], found[1]
