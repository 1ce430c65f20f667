"""Detection of stalls of this process, and tuning of the garbage collector to avoid them."""

from __future__ import annotations

import gc

SECOND = 1_000_000_000
HEARTBEAT_INTERVAL_S = 0.1
STALL_THRESHOLD = SECOND // 4  # a longer gap between two heartbeats counts as a stall (ns)
RECOVERY_TIME = SECOND // 10  # how long after a stall messages read may have been queued during it (ns)


class StallDetector:
    """Detects stalls by the gaps between heartbeats.  Times in ns."""

    def __init__(self, threshold: int = STALL_THRESHOLD, recovery_time: int = RECOVERY_TIME) -> None:
        self.threshold, self.recovery_time = threshold, recovery_time
        self.last_beat = self.stall_start = self.stall_end = 0
        self.new_stall = 0  # length of a stall that the last call of `read_delay` detected

    def heartbeat(self, now: int) -> None:
        """Record a heartbeat."""
        self.last_beat = now

    def read_delay(self, now: int) -> int:
        """How long messages that are read now may have been queued (ns): the time since the stall began.

        Returns 0 unless a stall has just ended.  After a stall of the process (a paused host, a garbage
        collection, a long callback), the set-ups in the socket buffers are already old.  If their time limit
        counted from the reading, they would be answered too late.  A call that arrived at the end of the
        stall is taken to be older than it is, and may be refused early.
        """
        self.new_stall = 0
        if self.last_beat and now - self.last_beat > self.threshold:
            if self.stall_end != now:
                self.new_stall = now - self.last_beat
            self.stall_start, self.stall_end = self.last_beat, now
            self.last_beat = now
        return now - self.stall_start if self.stall_end and now <= self.stall_end + self.recovery_time else 0


def tune_garbage_collector() -> None:
    """Exclude the objects created at start from garbage collection, and make full collections rare.

    A full collection with thousands of standing calls stops the loop for tenths of a second.  Reference
    counting frees nearly all objects; the collector is needed only for cycles, so collections of the young
    generation are small and frequent and full ones rare.  The cost: cycles that reach the oldest generation
    occupy memory for longer.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 10, 1_000)
