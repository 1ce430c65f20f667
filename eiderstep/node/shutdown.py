"""Timing of a graceful shutdown.  No I/O, no clock.  Times in ns."""

from __future__ import annotations

from collections.abc import Sequence

from eiderstep import interface as io

MS = 1_000_000
MIN_SERVING_TIME = 1_000 * MS  # callers learn of the shutdown late: new set-ups still come for 0.6 s
# The platform sends SIGKILL no sooner than the longest give-up time, at most this, ...
KILL_MAX_GIVE_UP = 3_000 * MS
KILL_MARGIN = 700 * MS  # ... and this after SIGTERM.
EXIT_TIME = 200 * MS  # reserved before SIGKILL, to write the last answers and to end the process


class ShutdownSchedule:
    """When the process may end after SIGTERM, and when it has to.

    Set-ups keep arriving for as long as the process runs, so a moment without an open set-up may never come.
    Every set-up therefore needs its final answer by `ends_at`.
    """

    def __init__(self, requested_at: int, classes: Sequence[io.CallClass]) -> None:
        longest_give_up = max(call_class.give_up for call_class in classes)
        kill_delay = min(longest_give_up, KILL_MAX_GIVE_UP) + KILL_MARGIN
        self.requested_at = requested_at
        self.ends_at = requested_at + kill_delay - EXIT_TIME
        self.may_end_at = min(requested_at + MIN_SERVING_TIME, self.ends_at)

    def may_end(self, now: int) -> bool:
        """Whether the process may end at a moment without an open set-up."""
        return now >= self.may_end_at
