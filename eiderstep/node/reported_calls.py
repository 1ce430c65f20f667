"""Standing calls that are known only because their callers reported them.  No I/O, no clock.

After a restart of this process callers report the calls that still stand (`at`).  A report proves nothing:
the office may have restarted meanwhile, and then it never releases the call.  Offices say exactly how many
circuits of their group are in use, so reports that exceed these circuits are wrong.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable

SECOND = 1_000_000_000
# Shares of the call table for reported calls: all of them, and those of one source.
REPORTED_SHARE, REPORTED_SHARE_OF_SOURCE = 1 / 2, 1 / 4
# Ns for which reports have to exceed the circuits in use; releases that are on their way arrive sooner.
EXCESS_CONFIRM_TIME = 1 * SECOND

Key = tuple[str, str]  # office, source


class ReportedCalls:
    """Reported calls by office and source (the address of the caller that reported them)."""

    def __init__(self, max_calls: int) -> None:
        """`max_calls`: size of the call table."""
        self.max_calls = max_calls
        self._keys: dict[str, Key] = {}  # by call reference
        self._circuits: dict[Key, dict[str, int]] = {}  # circuits by call reference
        self._count_by_source: Counter[str] = Counter()
        self._excess_since: dict[Key, int] = {}  # ns

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, reference: str) -> bool:
        return reference in self._keys

    def may_add(self, source: str) -> bool:
        """Whether the table takes one more reported call of a source.

        A reported call may be held for long.  The rest of the table is for set-ups, and one source does not
        crowd out the reports of the others.
        """
        return (
            len(self._keys) < REPORTED_SHARE * self.max_calls
            and self._count_by_source[source] < REPORTED_SHARE_OF_SOURCE * self.max_calls
        )

    def add(self, reference: str, office: str, source: str, circuits: int) -> None:
        """Record a call that a source reports as standing at an office."""
        key = office, source
        self._keys[reference] = key
        self._circuits.setdefault(key, {})[reference] = circuits
        self._count_by_source[source] += 1

    def remove(self, reference: str) -> None:
        """Forget a call; no effect if it was not reported."""
        key = self._keys.pop(reference, None)
        if key is None:
            return
        del self._circuits[key][reference]
        if not self._circuits[key]:
            del self._circuits[key]
        source = key[1]
        self._count_by_source[source] -= 1
        if not self._count_by_source[source]:
            del self._count_by_source[source]

    def find_ended(self, now: int, circuits_left: Callable[[str], int | None]) -> list[str]:
        """Calls that do not stand any more; to be called several times a second.

        `circuits_left`: circuits in use in the group to an office, without those of calls that this process
        set up; None if they are not known, or if the office has not restarted lately.  An office that
        restarted has lost either all calls that were reported or none of them, since its earlier restarts
        were noticed by the process that set them up.  So if the reports of a source exceed the circuits for
        EXCESS_CONFIRM_TIME, all of them are over.
        """
        over: list[str] = []
        excess_since: dict[Key, int] = {}
        for key, circuits in self._circuits.items():
            left = circuits_left(key[0])
            if left is None or sum(circuits.values()) <= left:
                continue
            excess_since[key] = self._excess_since.get(key, now)
            if now - excess_since[key] >= EXCESS_CONFIRM_TIME:
                over += circuits
        self._excess_since = excess_since
        return over
