"""How fast things come, and log lines of one event and source at a bounded rate.  No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

SECOND = 1_000_000_000
REMEMBERED = 1024


class Bucket:
    """What came above a rate (a second), as it runs off."""

    __slots__ = ("at", "level", "rate")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.level, self.at = 0.0, 0  # above the rate, and when that was reckoned (ns)

    def pour(self, now: int, weight: int = 1) -> float:
        """So much more: how far it is over its rate then, in seconds of it."""
        self.level = max(self.level - (now - self.at) / SECOND * self.rate, 0.0) + weight
        self.at = now
        return self.level / self.rate


class Thinner:
    """Lets `burst` lines of one key through in each `period`; the next one through tells how many were not.

    Danger: one log line for each message of an attacker fills the disk and costs more than the message.
    Hurts who looks for one certain line among many alike: the count stays, the line does not.
    """

    def __init__(self, burst: int = 5, period: int = 10 * SECOND) -> None:
        self.burst, self.period = burst, period
        self.seen: OrderedDict[Hashable, list[int]] = OrderedDict()  # key: since, let through, held back

    def line(self, now: int, key: Hashable) -> int:
        """How many lines of this key were held back before this one; -1 where this one is held back too."""
        row = self.seen.get(key)
        if row is None:
            if len(self.seen) >= REMEMBERED:
                self.seen.popitem(last=False)
            self.seen[key] = [now, 1, 0]
            return 0
        if now - row[0] >= self.period:
            held = row[2]
            row[:] = [now, 1, 0]
            self.seen.move_to_end(key)
            return held
        if row[1] < self.burst:
            row[1] += 1
            return 0
        row[2] += 1
        return -1
