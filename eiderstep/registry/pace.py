"""When which registry is asked, and for what: jitter, back-off, failover, bounds on whole lists.  No I/O.

Dangers: sixty call servers that ask in step; all of them returning at once to a registry that is just back;
a registry whose hash never fits and so has to send its whole list at each poll; two followers that fail over
to the one address.  Each draw comes from the `Random` handed in, so that a run can be repeated.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

JITTER = 0.25  # of the poll, either way
CAP = 4  # back-off at most so many polls
FULL_CAP = 32  # whole lists for want of a fitting hash at least once in so many polls


class Ask(Enum):
    """What to ask for."""

    FULL = "full"
    DELTA = "delta"


@dataclass
class Address:
    """What is known of one address (ns)."""

    failed_at: int = -1
    held_by: int = -1  # the follower that asks it


class Addresses:
    """Which address each follower asks: in the settings' order, never two on one while another is free.

    After a failure it moves to the one that failed longest ago.  Harms where a registry is better than the
    next: it does not go back by itself before that one fails.
    """

    def __init__(self, names: list[str]) -> None:
        self.known = {name: Address() for name in names}

    def pick(self, follower: int) -> str:
        """The address to ask now."""
        for name, address in self.known.items():
            if address.held_by == follower:
                return name
        free = [name for name, address in self.known.items() if address.held_by < 0]
        name = min(free or list(self.known), key=lambda n: self.known[n].failed_at)
        self.known[name].held_by = follower
        return name

    def failed(self, now: int, name: str) -> None:
        """Leave it, if there is another to go to."""
        address = self.known[name]
        address.failed_at = now
        if any(a.held_by < 0 for a in self.known.values()):
            address.held_by = -1


class Pace:
    """One follower's times.  `poll`, `full_every` in ns."""

    def __init__(self, poll: int, full_every: int, rng: Random) -> None:
        self.poll, self.full_every, self.rng = poll, full_every, rng
        self.failures = 0
        self.full_at = -1  # when the last whole list was taken
        self.table_of = ""  # the address that the table held came from
        self.mismatched = 0
        self.hurried_at = -1

    def what(self, now: int, name: str) -> Ask:
        """A delta fits only the table of the same registry, and only while it is not too old."""
        if self.full_at < 0 or self.table_of != name:
            return Ask.FULL
        if self.full_every and now - self.full_at >= self.full_every:
            return Ask.FULL
        # Danger: a hash that never fits.  Whole lists then come at 1, 2, 4, ... polls.  Harms where it is a
        # fault that the next whole list would have mended: it waits that long.
        gap = min(2 ** (self.mismatched - 1), FULL_CAP) if self.mismatched else 0
        if gap and now - self.full_at >= (gap - 0.5) * self.poll:
            return Ask.FULL
        return Ask.DELTA

    def taken(self, now: int, name: str, what: Ask, fits: bool) -> int:
        """An answer was used: when to ask next (ns from now)."""
        returned = self.failures > 0
        self.failures = 0
        self.mismatched = 0 if fits else self.mismatched + 1
        if what is Ask.FULL:
            self.full_at, self.table_of = now, name
        if not fits and self.mismatched == 1 and what is Ask.DELTA:
            return int(self.poll * self.rng.random() / 4)  # once at once, spread over the followers
        if returned:
            # Danger: those that were waiting for it stay in step from its return on.
            return int(self.poll * (0.5 + self.rng.random()))
        return int(self.poll * (1 + JITTER * (2 * self.rng.random() - 1)))

    def failed(self, moved: bool) -> int:
        """Nothing came of it: when to try again.  The first failover is quick, the rest is spread wide."""
        self.failures += 1
        if self.failures == 1 and moved:
            return int(self.poll * self.rng.random() / 8)
        most = self.poll * min(2 ** (self.failures - 1), CAP)
        return int(most * (0.5 + self.rng.random() / 2))

    def hurry(self, now: int) -> bool:
        """A second opinion is wanted: may it be asked for now?  Once a poll at most."""
        if self.hurried_at >= 0 and now - self.hurried_at < self.poll:
            return False
        self.hurried_at = now
        self.full_at = -1
        return True
