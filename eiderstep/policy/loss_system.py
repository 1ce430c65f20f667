"""The loss system of one trunk group and class of calls, as in arXiv 2202.02419.  No I/O, no clock."""

from __future__ import annotations

import math
from collections import deque

from eiderstep.policy.decaying_count import DecayingCount

SECOND = 1_000_000_000
WINDOW_HOLDING_TIMES = 3.0  # mean holding times; older intervals say little about the present traffic
WINDOW_MAX_INTERVALS = 256  # bounds the work of one test
MIN_RELEASES = 4  # in the window; the relative error of n releases is 1 / sqrt(n): half or more with fewer
ALPHA_HALF_LIFE = 2.0  # mean holding times; traffic drifts, so earlier exploration counts less


class LossSystem:
    """The calls of one class on one own group, observed at each arrival as in arXiv 2202.02419.

    Each interval between two arrivals records how many of the calls that stood at its beginning survived it
    and how many were released in it.  `releases` and `exposure` (call-seconds) are sums over the window.
    """

    def __init__(self, mean_hold: int) -> None:
        self.window = int(WINDOW_HOLDING_TIMES * mean_hold)
        # End (ns), length (s), survivors, departures.
        self.intervals: deque[tuple[int, float, int, int]] = deque()
        self.last_arrival: int | None = None
        self.releases, self.exposure = 0, 0.0
        # Calls standing now; of those that stood at the last arrival, survivors and departures; arrivals.
        self.standing = self.survivors = self.departures = self.epoch = 0
        self.alpha = DecayingCount(ALPHA_HALF_LIFE * mean_hold)  # explorations, the paper's alpha

    def record_arrival(self, now: int) -> None:
        """Record the interval since the last arrival and drop those that have left the window."""
        if self.last_arrival is not None and now > self.last_arrival and self.survivors + self.departures > 0:
            self.add_interval((now, (now - self.last_arrival) / SECOND, self.survivors, self.departures))
        self.last_arrival, self.survivors, self.departures = now, self.standing, 0
        self.epoch += 1
        while self.intervals and (
            self.intervals[0][0] < now - self.window or len(self.intervals) > WINDOW_MAX_INTERVALS
        ):
            _, gap, survivors, departures = self.intervals.popleft()
            self.releases, self.exposure = self.releases - departures, self.exposure - gap * survivors

    def add_interval(self, interval: tuple[int, float, int, int]) -> None:
        """Add one interval: end (ns), length (s), survivors, departures."""
        self.intervals.append(interval)
        self.releases, self.exposure = self.releases + interval[3], self.exposure + interval[1] * interval[2]

    def record_start(self) -> int:
        """A call stands.  Returns the epoch, which `record_end` needs when the call ends."""
        self.standing += 1
        return self.epoch

    def record_end(self, epoch: int, released: bool) -> None:
        """A call that stood since `epoch` ended, by release or cut.

        A cut call is no survivor and no departure: if it counted as a release, mass cuts would look like
        short holding times and every call would be admitted.
        """
        self.standing -= 1
        if epoch < self.epoch:
            self.survivors -= 1
            self.departures += released

    def has_enough_releases(self) -> bool:
        """Whether the release rate can be estimated; until then every call is admitted.

        On one or two releases the estimate varies so much that it crosses the threshold by chance.  The cost:
        calls admitted meanwhile may take circuits from classes of more worth.
        """
        return self.releases >= MIN_RELEASES

    def rate_exceeds(self, threshold: float) -> bool:
        """The likelihood test: whether the estimated release rate is above the threshold (both per second).

        Intervals for which exp() would overflow are left out; their terms are practically 0.
        """
        terms = (
            (gap, departures)
            for _, gap, _, departures in self.intervals
            if departures and threshold * gap < 700
        )
        return (
            sum(departures * gap / math.expm1(threshold * gap) for gap, departures in terms) > self.exposure
        )
