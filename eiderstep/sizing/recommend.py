"""How many circuits: for one group with its interval, cost and what it does to its neighbours."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from eiderstep.sizing.estimate import Load, blocking, peakedness
from eiderstep.sizing.mixed import Stream

MOST = 20_000


@dataclass(frozen=True)
class Advice:
    """Circuits for the load as estimated, at the low and at the high end of its interval, and each class's
    blocking with the advised number.  `overflow`: erlangs of circuits that leave for alternates, now and
    then."""

    circuits: int
    low: int
    high: int
    blocking: list[float]
    cost: float
    overflow_now: float
    overflow_then: float


def circuits_for(
    loads: Sequence[float], widths: Sequence[int], targets: Sequence[float], peaked: float, module: int = 1,
    extra: Sequence[Stream] = (),
) -> int:  # fmt: skip
    """The fewest circuits, in whole modules, at which each class that has a load meets its target.

    A wide class's blocking is not monotone in the size: the next `width` sizes must hold as well.
    """
    for c, target in enumerate(targets):
        if not 0 < target < 1:
            raise ValueError(f"target of class {c}: found {target}; allowed: above 0, below 1")
    if not any(loads):
        return 0
    offered = sum(a * w for a, w in zip(loads, widths, strict=True)) + sum(s.load * s.width for s in extra)

    def fits(size: int) -> bool:
        lost = blocking(size, loads, widths, peaked, extra)
        return all(x <= t for x, t, a in zip(lost, targets, loads, strict=True) if a > 0)

    step, n = max(int(offered / 4), 1), max(widths)
    while True:
        while not fits(n):
            n += step
            if n > MOST:
                raise ValueError(f"no size up to {MOST} circuits meets the targets")
        if step == 1:
            break
        n, step = max(n - step, *widths), max(step // 4, 1)
    while not all(fits(n + k) for k in range(max(widths))):
        n += 1
    return -(-n // module) * module


def advise(
    found: Sequence[Load], circuits: int, widths: Sequence[int], targets: Sequence[float], module: int = 1,
    price: float = 1.0, extra: Sequence[Stream] = (),
) -> Advice:  # fmt: skip
    """For one group.  `circuits`: what it has now; `price` of a circuit."""
    peaked = peakedness(found)
    middle = [x.load for x in found]
    size = circuits_for(middle, widths, targets, peaked, module, extra)
    low = circuits_for([x.low for x in found], widths, targets, peaked, module, extra)
    high = circuits_for([min(x.high, 1e5) for x in found], widths, targets, peaked, module, extra)

    def leaves(n: int) -> float:
        lost = blocking(n, middle, widths, peaked, extra)
        return sum(a * w * b for a, w, b in zip(middle, widths, lost, strict=True))

    return Advice(
        size, low, high, blocking(size, middle, widths, peaked, extra), price * (size - circuits),
        leaves(circuits), leaves(size),
    )  # fmt: skip
