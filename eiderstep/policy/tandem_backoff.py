"""Backoff of a tandem for a destination to which it turned a call back.  No I/O, no clock.  Times in ns."""

from __future__ import annotations

from typing import NamedTuple

BACKOFF_START = 0.05  # mean holding times; doubles with each further call turned back
BACKOFF_CAP = 8.0  # times the first backoff, of a tandem over which a call has stood there

Pair = tuple[int, int]  # numbers of tandem and destination


class _Backoff(NamedTuple):
    """A backoff: when it ends and how long it lasts."""

    ends_at: int
    length: float


class TandemBackoffs:
    """Which tandems have turned calls back, and over which a call has stood.

    Without a backoff most calls over tandems tried blindly would be turned back.  The cost: a tandem whose
    groups soon have free circuits again is avoided for too long.
    """

    def __init__(self) -> None:
        self._backoffs: dict[Pair, _Backoff] = {}
        self._proven: set[Pair] = set()

    def ends_at(self, pair: Pair) -> int:
        """When the backoff of a pair ends; 0 if it has none."""
        backoff = self._backoffs.get(pair)
        return backoff.ends_at if backoff is not None else 0

    def has_turned_back(self, pair: Pair) -> bool:
        """Whether the tandem has turned a call back since one last stood over it."""
        return pair in self._backoffs

    def is_proven(self, pair: Pair) -> bool:
        """Whether a call has stood over the tandem."""
        return pair in self._proven

    def record_success(self, pair: Pair) -> None:
        """A call stands over the tandem."""
        self._backoffs.pop(pair, None)
        self._proven.add(pair)

    def record_refusal(self, now: int, pair: Pair, mean_hold: int) -> None:
        """The tandem turned a call back; `mean_hold`: mean holding time of its class."""
        first = BACKOFF_START * mean_hold
        previous = self._backoffs.get(pair)
        length = max(2 * previous.length if previous is not None else 0.0, first)
        if pair in self._proven:
            length = min(length, BACKOFF_CAP * first)
        self._backoffs[pair] = _Backoff(now + int(length), length)
