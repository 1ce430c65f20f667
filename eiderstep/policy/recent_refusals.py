"""Refused calls, remembered so that a caller's redial is recognised.  No I/O, no clock.  Times in ns."""

from __future__ import annotations

from heapq import heappop, heappush
from typing import NamedTuple


class CallIdentity(NamedTuple):
    """By which a redial is recognised; several callers of one number count as one."""

    called_number: str
    class_no: int
    dest: int


class RecentRefusals:
    """First tries of callers whose calls were refused, each kept for as long as callers go on trying.

    One entry costs no timer: a flood of calls is refused at a high rate, and each entry lives for seconds.
    """

    def __init__(self) -> None:
        self._first_tries: dict[CallIdentity, tuple[int, int]] = {}  # time of the first try, end of the entry
        self._ends: list[tuple[int, CallIdentity]] = []  # heap

    def __len__(self) -> int:
        return len(self._first_tries)

    def record(self, now: int, identity: CallIdentity, first_try_at: int, keep: int) -> None:
        """Remember a refusal for `keep`, counted from the first refusal of calls with that first try."""
        self._forget_ended(now)
        known = self._first_tries.get(identity)
        if known is not None and known[0] == first_try_at:
            return
        self._first_tries[identity] = (first_try_at, now + keep)
        heappush(self._ends, (now + keep, identity))

    def first_try(self, now: int, identity: CallIdentity) -> int | None:
        """When the caller tried first; None if no refusal of such a call is remembered."""
        self._forget_ended(now)
        known = self._first_tries.get(identity)
        return None if known is None else known[0]

    def forget(self, identity: CallIdentity) -> None:
        """The call was set up: the next one with that identity is a first try."""
        self._first_tries.pop(identity, None)

    def _forget_ended(self, now: int) -> None:
        while self._ends and self._ends[0][0] <= now:
            ends_at, identity = heappop(self._ends)
            known = self._first_tries.get(identity)
            if known is not None and known[1] == ends_at:
                del self._first_tries[identity]
