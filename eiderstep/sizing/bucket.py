"""What is measured of one trunk group in one span of time."""

from __future__ import annotations

from dataclasses import dataclass

CENSORED = 0.01  # of a bucket out or short of circuits: its counts say too little of the load


@dataclass(frozen=True)
class Counts:
    """One class in one bucket.

    `held` calls ended, having stood `hold` ns in all; `standing` is the time (ns) that calls stood within the
    bucket, whether they ended or not.
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
    hold_squared: float = 0.0  # summed, s^2


@dataclass(frozen=True)
class Bucket:
    """One group's span: start (ns since 1970), length, and circuit-time busy and in service (ns)."""

    start: int
    length: int
    circuits: int
    busy: int
    in_service: int
    out: int = 0  # ns without a link
    full: int = 0  # ns with no circuit free
    classes: tuple[Counts, ...] = ()

    @property
    def censored(self) -> bool:
        """Whether an outage keeps the load from being seen in it."""
        nominal = self.circuits * self.length
        short = nominal - self.in_service if nominal else 0
        return self.out > CENSORED * self.length or short > CENSORED * nominal
