"""Poll schedule: when each registry address is asked and for what (jitter, backoff, failover).  No I/O.

It prevents four overloads: call servers that poll in step (an installation may have sixty); all of them
returning at the same moment to a registry that has just recovered; a registry whose hash never matches and
that would have to send its full list at each poll; and two followers that fail over to the same address.
Every draw comes from the `Random` passed in, so that a run can be repeated.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum
from random import Random

JITTER_SHARE = 0.25  # of the poll interval, either way
MAX_BACKOFF_POLLS = 4  # longest backoff, in poll intervals
MAX_FULL_GAP_POLLS = 32  # longest gap between full lists while the hash does not match, in poll intervals


class PollKind(Enum):
    """Which list to request."""

    FULL = "full"
    DELTA = "delta"


@dataclass
class AddressState:
    """State of one registry address (ns)."""

    failed_at: int = -1
    used_by: int = -1  # the number of the follower that polls it, -1 for none


class AddressPool:
    """Assigns registry addresses to followers, in the order of the settings.

    Two followers share an address only if no other is free.  After a failure a follower moves to the address
    whose last failure is the oldest.  It does not return by itself to a preferred address that has recovered
    before its current one fails.
    """

    def __init__(self, names: list[str]) -> None:
        self.states = {name: AddressState() for name in names}

    def pick(self, follower: int) -> str:
        """The address that this follower polls now."""
        for name, address in self.states.items():
            if address.used_by == follower:
                return name
        free = [name for name, address in self.states.items() if address.used_by < 0]
        name = min(free or list(self.states), key=lambda candidate: self.states[candidate].failed_at)
        self.states[name].used_by = follower
        return name

    def mark_failed(self, now: int, name: str) -> None:
        """Records a failure, and releases the address if another one is free."""
        address = self.states[name]
        address.failed_at = now
        if any(other.used_by < 0 for other in self.states.values()):
            address.used_by = -1


class PollSchedule:
    """The poll times of one follower.  `poll` (the interval) and `full_every` in ns."""

    def __init__(self, poll: int, full_every: int, rng: Random) -> None:
        self.poll, self.full_every, self.rng = poll, full_every, rng
        self.failures = 0
        self.last_full_at = -1  # when the last full list was taken; -1 requests one
        self.table_address = ""  # the address that the table's full list came from
        self.mismatches = 0  # responses in a row after which the hash did not match
        self.expedited_at = -1

    def next_kind(self, now: int, name: str) -> PollKind:
        """Whether to request a full list or a delta from `name`.

        A delta applies only to a table of the same registry that is younger than `full_every`.
        """
        if self.last_full_at < 0 or self.table_address != name:
            return PollKind.FULL
        if self.full_every and now - self.last_full_at >= self.full_every:
            return PollKind.FULL
        # Full lists are requested 1, 2, 4, ... polls apart while the hash does not match, so that a registry
        # whose hash never matches need not send one at each poll.  The cost: a mismatch that the next full
        # list would have repaired lasts for that long.
        gap = min(2 ** (self.mismatches - 1), MAX_FULL_GAP_POLLS) if self.mismatches else 0
        if gap and now - self.last_full_at >= (gap - 0.5) * self.poll:
            return PollKind.FULL
        return PollKind.DELTA

    def on_response(self, now: int, name: str, kind: PollKind, hash_matches: bool) -> int:
        """Records a usable response and returns the delay until the next poll (ns)."""
        recovered = self.failures > 0
        self.failures = 0
        self.mismatches = 0 if hash_matches else self.mismatches + 1
        if kind is PollKind.FULL:
            self.last_full_at, self.table_address = now, name
        if not hash_matches and self.mismatches == 1 and kind is PollKind.DELTA:
            # The first mismatch requests a full list early, spread over the followers.
            return int(self.poll * self.rng.random() / 4)
        if recovered:
            # Clients that waited for the same registry would otherwise poll in step after its recovery.
            return int(self.poll * (0.5 + self.rng.random()))
        return int(self.poll * (1 + JITTER_SHARE * (2 * self.rng.random() - 1)))

    def on_failure(self, address_changed: bool) -> int:
        """Records a failed poll and returns the delay until the next one (ns).

        The first failover is quick; later retries use exponential backoff with wide jitter.
        """
        self.failures += 1
        if self.failures == 1 and address_changed:
            return int(self.poll * self.rng.random() / 8)
        longest = self.poll * min(2 ** (self.failures - 1), MAX_BACKOFF_POLLS)
        return int(longest * (0.5 + self.rng.random() / 2))

    def expedite(self, now: int) -> bool:
        """Requests a full list out of turn, at most once per poll interval; False if that is exhausted."""
        if self.expedited_at >= 0 and now - self.expedited_at < self.poll:
            return False
        self.expedited_at = now
        self.last_full_at = -1
        return True
