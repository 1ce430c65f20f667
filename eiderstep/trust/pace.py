"""Leaky bucket for rate limits, and rate limiting of log lines.  No I/O, no clock.  Times in ns."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Hashable

SECOND = 1_000_000_000
MAX_KEYS = 1024


class LeakyBucket:
    """A leaky bucket used as a meter: drains at `rate` a second; `level` is what has not drained yet."""

    __slots__ = ("level", "rate", "updated_at")

    def __init__(self, rate: float) -> None:
        self.rate = rate
        self.level, self.updated_at = 0.0, 0

    def add(self, now: int, weight: int = 1) -> float:
        """Add `weight`; returns how many seconds the bucket needs to drain."""
        self.level = max(self.level - (now - self.updated_at) / SECOND * self.rate, 0.0) + weight
        self.updated_at = now
        return self.level / self.rate


class LogRateLimiter:
    """Limits log lines to `burst` for each key and `period` (ns), and counts the suppressed ones.

    A log line for each message of an attacker would fill the disk and cost more than the message.  Of the
    suppressed lines only the count is logged.
    """

    def __init__(self, burst: int = 5, period: int = 10 * SECOND) -> None:
        self.burst, self.period = burst, period
        self.windows: OrderedDict[Hashable, list[int]] = OrderedDict()  # start, passed, suppressed

    def count_line(self, now: int, key: Hashable) -> int:
        """Count one line; returns the number suppressed in the last period, or -1 to suppress this one."""
        window = self.windows.get(key)
        if window is None:
            if len(self.windows) >= MAX_KEYS:
                self.windows.popitem(last=False)
            self.windows[key] = [now, 1, 0]
            return 0
        if now - window[0] >= self.period:
            suppressed = window[2]
            window[:] = [now, 1, 0]
            self.windows.move_to_end(key)
            return suppressed
        if window[1] < self.burst:
            window[1] += 1
            return 0
        window[2] += 1
        return -1
