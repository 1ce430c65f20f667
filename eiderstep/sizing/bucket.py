"""Measurements of one trunk group in one span of time (a bucket)."""

from __future__ import annotations

from dataclasses import dataclass

# A bucket is censored if its group was unreachable, or lacked circuits, for more than this share of the
# bucket or of its circuit-time: its counts then understate the load.
MAX_OUTAGE_SHARE = 0.01


@dataclass(frozen=True)
class Counts:
    """Counts of one call class in one bucket; the fields are columns of the store.

    `first` and `redials` count calls by whether they were a first try, `blocked_first` and `blocked_redials`
    those that found too few circuits free on their own group.  `overflowed` of these were sent to an
    alternate.  `refused` were turned away for a cause other than circuits.  `for_others` are calls of other
    exchange pairs over this group.  `held` calls ended, having stood `hold` ns in all; `standing` is the time
    (ns) that calls stood within the bucket, whether they ended or not.
    """

    first: int = 0
    redials: int = 0
    blocked_first: int = 0
    blocked_redials: int = 0
    refused: int = 0
    overflowed: int = 0
    for_others: int = 0
    held: int = 0
    hold: int = 0
    standing: int = 0
    hold_squared: float = 0.0  # sum of the squared holding times, s^2


@dataclass(frozen=True)
class Bucket:
    """One group in one span of time.

    `start` is in ns since 1970, `length` in ns; `busy` and `in_service` are sums of circuit-time in ns.
    """

    start: int
    length: int
    circuits: int
    busy: int
    in_service: int
    out: int = 0  # ns without a link to the far exchange
    full: int = 0  # ns with no circuit free
    classes: tuple[Counts, ...] = ()

    @property
    def censored(self) -> bool:
        """Whether an outage or missing circuits made the counts useless as a measure of the load."""
        nominal_time = self.circuits * self.length
        missing_time = nominal_time - self.in_service if nominal_time else 0
        return self.out > MAX_OUTAGE_SHARE * self.length or missing_time > MAX_OUTAGE_SHARE * nominal_time
