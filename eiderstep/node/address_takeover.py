"""Finds offices whose address now belongs to another office.  No I/O, no clock."""

from __future__ import annotations

from collections.abc import Collection, Iterable
from dataclasses import dataclass

from eiderstep import interface as io


@dataclass(frozen=True, slots=True)
class ListedOffice:
    """An office of the list and the address (host:port) at which it listens."""

    entry: io.OfficeEntry
    address: str

    @property
    def office(self) -> str:
        """Name of the office."""
        return self.entry.office

    @property
    def started(self) -> int:
        """When the office started (ns); 0: long ago or unknown."""
        return self.entry.started


def find_takeovers(listed: Iterable[ListedOffice], gone: Collection[str]) -> dict[str, ListedOffice]:
    """Map each office whose address a later one has taken to the latest office at that address.

    One process at a time listens at an address, so the start of a later one there proves that the earlier one
    accepts nothing any more, whether the list has told its end or not.  `gone`: names of offices that are
    gone, which are replaced by others and replace none.
    """
    by_address: dict[str, list[ListedOffice]] = {}
    for office in listed:
        by_address.setdefault(office.address, []).append(office)
    takeovers: dict[str, ListedOffice] = {}
    for offices in by_address.values():
        present = [office for office in offices if office.office not in gone]
        latest = max(present, key=lambda office: office.started, default=None)
        if latest is not None:
            takeovers |= {o.office: latest for o in offices if o.started < latest.started}
    return takeovers
