"""A count of events with exponential decay.  No I/O, no clock."""

from __future__ import annotations

import math

SECOND = 1_000_000_000


class DecayingCount:
    """A count of events with exponential decay."""

    def __init__(self, half_life: float) -> None:
        self.half_life, self.value, self.updated_at = max(half_life, 1.0), 0.0, 0

    def read(self, now: int) -> float:
        """The count, decayed to `now`."""
        self.value *= 0.5 ** ((now - self.updated_at) / self.half_life)
        self.updated_at = now
        return self.value

    def rate(self, now: int) -> float:
        """Recent events per second."""
        return self.read(now) * math.log(2) / self.half_life * SECOND

    def mean_interval(self, now: int, minimum: float) -> float:
        """Recent time between two events (ns), at least `minimum`; used as a time constant for their content.

        A pair that sees a call in five seconds gets a report in five seconds.  If that report decayed within
        one second, most of the time none would be in force and the queue of an overloaded processor would
        never empty.  The cost: a report applies too long where the overload ends between two reports.
        """
        return max(minimum, SECOND / self.rate(now))

    def add(self, now: int, amount: float = 1.0) -> None:
        self.value = self.read(now) + amount
