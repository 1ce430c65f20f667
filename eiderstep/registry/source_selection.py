"""Selects which of two office lists is in force: the primary source's, or the fallback's while it is down.

The fallback's list comes into force only after the primary has failed for `fallback_after`, and the primary's
again only with a complete list.  Otherwise a primary that fails intermittently would make the call server
switch back and forth between two lists of different age.  The cost: exchanges that leave within that time
stay in the list.  No I/O.
"""

from __future__ import annotations

from eiderstep.interface import ListKind, OfficeEntry, OfficeState

ListUpdate = tuple[ListKind, tuple[OfficeEntry, ...]]


class SourceSelector:
    """The list in force of two sources, which the caller names.  Times in ns."""

    def __init__(self, primary: str, fallback_after: int) -> None:
        self.primary, self.fallback_after = primary, fallback_after
        self.entries_by_source: dict[
            str, dict[str, OfficeEntry]
        ] = {}  # from a source's first complete list on
        self.primary_down_since = 0  # -1 while the primary answers; it counts as down until its first list
        self.on_fallback = False

    def on_update(
        self, now: int, name: str, kind: ListKind, entries: tuple[OfficeEntry, ...]
    ) -> list[ListUpdate]:
        """Takes an update from the source `name` and returns the updates to forward to the routing module."""
        if kind is ListKind.FAILED:
            if name != self.primary:
                return []
            if self.primary_down_since < 0:
                self.primary_down_since = now
            return [(kind, entries), *self.check_fallback(now)]
        self._store(name, kind, entries)
        if name != self.primary:
            return [(kind, entries)] if self.on_fallback else self.check_fallback(now)
        if name in self.entries_by_source:
            self.primary_down_since = -1
        if self.on_fallback and name in self.entries_by_source:
            self.on_fallback = False
            return [(ListKind.COMPLETE, tuple(self.entries_by_source[name].values()))]
        return [] if self.on_fallback else [(kind, entries)]

    def check_fallback(self, now: int) -> list[ListUpdate]:
        """Switches to the fallback's list if the primary has been down long enough; else returns nothing."""
        switch_at = self.next_fallback_at()
        if switch_at is None or now < switch_at:
            return []
        self.on_fallback = True
        fallback = next(entries for name, entries in self.entries_by_source.items() if name != self.primary)
        return [(ListKind.COMPLETE, tuple(fallback.values()))]

    def next_fallback_at(self) -> int | None:
        """When the fallback comes into force if the primary stays down; None if that is not pending."""
        fallback_ready = any(name != self.primary for name in self.entries_by_source)
        if self.on_fallback or self.primary_down_since < 0 or not fallback_ready:
            return None
        return self.primary_down_since + self.fallback_after

    def _store(self, name: str, kind: ListKind, entries: tuple[OfficeEntry, ...]) -> None:
        if kind is not ListKind.CHANGES:
            self.entries_by_source[name] = {}
        stored = self.entries_by_source.get(name)
        if stored is None:
            return  # changes received before the first complete list
        for entry in entries:
            if entry.state is OfficeState.GONE:
                stored.pop(entry.office, None)
            else:
                stored[entry.office] = entry
