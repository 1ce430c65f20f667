"""One of two lists of exchanges is in force: the main one, or while it is away the fallback.  No I/O.

Danger: a main source that comes and goes flaps between two lists that are not equally late.  The fallback
comes in force only after the main one has failed for `after`, and the main one again only with a whole list.
Harms for that time what leaves meanwhile.
"""

from __future__ import annotations

from eiderstep.interface import ListKind, OfficeEntry, OfficeState

News = tuple[ListKind, tuple[OfficeEntry, ...]]


class Choice:
    """Names of the two sources are the caller's.  Times in ns."""

    def __init__(self, main: str, after: int) -> None:
        self.main, self.after = main, after
        self.lists: dict[str, dict[str, OfficeEntry]] = {}  # what each says, once it has said a whole list
        self.away_since = 0  # of the main one; -1 while it speaks.  At the start it has said nothing yet
        self.on_fallback = False

    def heard(self, now: int, name: str, kind: ListKind, entries: tuple[OfficeEntry, ...]) -> list[News]:
        """News of one source; what the module is told of it."""
        if kind is ListKind.FAILED:
            if name != self.main:
                return []
            if self.away_since < 0:
                self.away_since = now
            return [(kind, entries), *self.due(now)]
        self._keep(name, kind, entries)
        if name != self.main:
            return [(kind, entries)] if self.on_fallback else self.due(now)
        if name in self.lists:
            self.away_since = -1
        if self.on_fallback and name in self.lists:
            self.on_fallback = False
            return [(ListKind.COMPLETE, tuple(self.lists[name].values()))]
        return [] if self.on_fallback else [(kind, entries)]

    def due(self, now: int) -> list[News]:
        """The main one has been away for long enough, and the fallback has a list."""
        at = self.next_due()
        if at is None or now < at:
            return []
        self.on_fallback = True
        fallback = next(entries for name, entries in self.lists.items() if name != self.main)
        return [(ListKind.COMPLETE, tuple(fallback.values()))]

    def next_due(self) -> int | None:
        """When the fallback comes in force, should the main one stay away."""
        ready = any(name != self.main for name in self.lists)
        if self.on_fallback or self.away_since < 0 or not ready:
            return None
        return self.away_since + self.after

    def _keep(self, name: str, kind: ListKind, entries: tuple[OfficeEntry, ...]) -> None:
        if kind is not ListKind.CHANGES:
            self.lists[name] = {}
        held = self.lists.get(name)
        if held is None:
            return  # changes before a whole list
        for entry in entries:
            if entry.state is OfficeState.GONE:
                held.pop(entry.office, None)
            else:
                held[entry.office] = entry
