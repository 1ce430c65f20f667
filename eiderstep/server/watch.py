"""Whether this process has run all the time, and the collector that must not stop it."""

from __future__ import annotations

import gc

SECOND = 1_000_000_000
BEAT = 0.1  # seconds between two looks at whether we have run
STALLED = SECOND // 4  # a gap between them from which we have not
WAKING = SECOND // 10  # for that long after it what we read may have waited for us


class StallWatch:
    """Looks at the gaps between beats.  Times in ns."""

    def __init__(self, stalled: int = STALLED, waking: int = WAKING) -> None:
        self.stalled, self.waking = stalled, waking
        self.beaten = self.asleep = self.awake = 0  # last beat; the last stall, from and until
        self.fresh = 0  # length of a stall that the last look was the first to see

    def beat(self, now: int) -> None:
        """We run now."""
        self.beaten = now

    def waited(self, now: int) -> int:
        """How long what is read now may have lain unread (ns): a stall's length, right after one.

        Danger: a process that was frozen finds set-ups of callers whose time has run meanwhile; counted from
        the reading, they are answered too late.  Covers pauses of the host, of the garbage collector, of a
        callback that took long.  Hurts where a call came at the end of a stall: it is held to be older than
        it is, and is refused earlier than need be.
        """
        self.fresh = 0
        if self.beaten and now - self.beaten > self.stalled:
            if self.awake != now:
                self.fresh = now - self.beaten
            self.asleep, self.awake = self.beaten, now
            self.beaten = now
        return now - self.asleep if self.awake and now <= self.awake + self.waking else 0


def settle_collector() -> None:
    """What the start made is kept out of collections, and full ones are made rare.

    Danger: a full collection among thousands of standing calls stops the loop for tenths of a second.
    What is over is freed by its count alone; the collector is for what slips through: small young
    collections, often, and full ones rarely.  Hurts where memory is short and something does slip through.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(2_000, 10, 1_000)
