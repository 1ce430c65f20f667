"""Fault conditions of exchanges, and the combined value of all that are active at once.  No I/O.

Each trouble adds conditions and removes only its own, and the combined values are computed anew from the
conditions that are left.  If a trouble instead set a value at its start and restored the default at its end,
it would undo every other trouble of that kind that still lasts, and a restart in between would lose both.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from dataclasses import dataclass


def _combined_share(shares: Sequence[float]) -> float:
    """The share lost to several losses that are independent of one another."""
    return 1 - math.prod(1 - share for share in shares)


# By kind of condition: the function that combines the values of several, and the value without any.
COMBINATIONS: dict[str, tuple[Callable[[Sequence[float]], float], float]] = {
    "slow": (math.prod, 1.0),  # factor of the normal work
    "hung": (max, 0.0),  # takes set-ups and processes none
    "mute": (max, 0.0),  # sends no response at all, not even a 100
    "lose_answers": (_combined_share, 0.0),  # share of final responses that are never sent
    "tear": (_combined_share, 0.0),  # share of final responses that arrive in two pieces
    "report_late": (sum, 0.0),  # delay of load reports, seconds
    "circuits": (min, 1.0),  # share of each group that is in service
    "cut": (max, 0.0),  # all bytes in both directions are lost
    "delay": (sum, 0.0),  # additional one-way delay, seconds
    "loss": (_combined_share, 0.0),  # share of segments that are lost
    "down": (max, 0.0),  # the process does not run
    "flood": (math.prod, 1.0),  # factor of the normal calls to it
    "lines": (min, 0.0),  # lines of its hot number; 0: it has no hot number
    "doubles": (min, 0.0),  # seconds in which the work of an ageing process doubles; 0: it does not age
    "hot": (_combined_share, 0.0),  # share of the calls to it that are for its hot number
}


@dataclass(eq=False, frozen=True)
class Condition:
    """One fault condition of one exchange.  `kind`: a key of `COMBINATIONS`."""

    number: int
    kind: str
    value: float


class Conditions:
    """The active conditions of all exchanges."""

    def __init__(self) -> None:
        self.active: dict[tuple[int, str], list[Condition]] = {}

    def begin(self, number: int, kind: str, value: float = 1.0) -> Condition:
        """Add a condition.  Raises KeyError for a kind that does not exist."""
        COMBINATIONS[kind]
        condition = Condition(number, kind, value)
        self.active.setdefault((number, kind), []).append(condition)
        return condition

    def end(self, condition: Condition) -> None:
        """Remove a condition; does nothing if it has been removed already."""
        active = self.active.get((condition.number, condition.kind), [])
        if condition in active:
            active.remove(condition)

    def clear(self, number: int, kind: str) -> None:
        """Remove all conditions of a kind, as when the process that had them ends."""
        self.active.pop((number, kind), None)

    def combined_value(self, number: int, kind: str) -> float:
        """The combined value of a kind for an exchange."""
        combine, default = COMBINATIONS[kind]
        active = self.active.get((number, kind))
        return combine([condition.value for condition in active]) if active else default

    def is_active(self, number: int, kind: str) -> bool:
        return bool(self.active.get((number, kind)))
