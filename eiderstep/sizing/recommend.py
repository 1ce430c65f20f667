"""Advises the number of circuits of one group, with an interval, the cost and the effect on its overflow."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from eiderstep.sizing.estimate import Load, blocking, group_peakedness
from eiderstep.sizing.mixed import Stream

MAX_CIRCUITS = 20_000  # largest size that is tried


@dataclass(frozen=True)
class Advice:
    """Advised size of a group.

    `circuits` is for the estimated load, `low` and `high` for the ends of its interval.  `blocking` is that
    of each class with the advised number, `cost` the price of the change.  `overflow_now` and `overflow_then`
    are the overflow (erlangs, in circuits) with the present and with the advised number.
    """

    circuits: int
    low: int
    high: int
    blocking: list[float]
    cost: float
    overflow_now: float
    overflow_then: float


def circuits_for(
    loads: Sequence[float], widths: Sequence[int], targets: Sequence[float], peakedness: float,
    module: int = 1, other_streams: Sequence[Stream] = (),
) -> int:  # fmt: skip
    """The fewest circuits, in whole modules, with which each class that has a load meets its target.

    The blocking of a wide class is not monotone in the size, so the next sizes, up to the largest width, must
    meet the targets as well.  Raises ValueError if no size up to `MAX_CIRCUITS` does.
    """
    for cls, target in enumerate(targets):
        if not 0 < target < 1:
            raise ValueError(f"target of class {cls}: found {target}; allowed: above 0, below 1")
    if not any(loads):
        return 0
    offered_load = sum(a * w for a, w in zip(loads, widths, strict=True)) + sum(
        s.load * s.width for s in other_streams
    )

    def meets_targets(size: int) -> bool:
        blocked = blocking(size, loads, widths, peakedness, other_streams)
        return all(x <= t for x, t, a in zip(blocked, targets, loads, strict=True) if a > 0)

    step, n = max(int(offered_load / 4), 1), max(widths)
    while True:
        while not meets_targets(n):
            n += step
            if n > MAX_CIRCUITS:
                raise ValueError(f"no size up to {MAX_CIRCUITS} circuits meets the targets")
        if step == 1:
            break
        n, step = max(n - step, *widths), max(step // 4, 1)
    while not all(meets_targets(n + k) for k in range(max(widths))):
        n += 1
    return -(-n // module) * module


def advise(
    class_loads: Sequence[Load], circuits: int, widths: Sequence[int], targets: Sequence[float],
    module: int = 1, price: float = 1.0, other_streams: Sequence[Stream] = (),
) -> Advice:  # fmt: skip
    """Advise a size for one group that now has `circuits`; `price` is that of one circuit."""
    peakedness = group_peakedness(class_loads)
    estimated_loads = [load.load for load in class_loads]
    size = circuits_for(estimated_loads, widths, targets, peakedness, module, other_streams)
    low = circuits_for([load.low for load in class_loads], widths, targets, peakedness, module, other_streams)
    high = circuits_for(
        [min(load.high, 1e5) for load in class_loads], widths, targets, peakedness, module, other_streams
    )

    def overflow_load(n: int) -> float:
        losses = blocking(n, estimated_loads, widths, peakedness, other_streams)
        return sum(a * w * b for a, w, b in zip(estimated_loads, widths, losses, strict=True))

    return Advice(
        size, low, high, blocking(size, estimated_loads, widths, peakedness, other_streams),
        price * (size - circuits), overflow_load(circuits), overflow_load(size),
    )  # fmt: skip
