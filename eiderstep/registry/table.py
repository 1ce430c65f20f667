"""One registry's table as its full lists and deltas build it; reconciled by `apps__hashcode`.

A delta repeats what changed in the last minutes, so it is applied any number of times.  After each, the hash
over the own table must be the one that the answer names; if not, something was missed and the whole list is
wanted.  No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from eiderstep.registry.model import Action, Instance, Listing, Status, hash_code


class Applied(Enum):
    """What became of an answer."""

    TAKEN = "taken"
    MISMATCH = "hash mismatch"  # taken, but the whole list is wanted
    STALE = "older than what is held"  # not taken


@dataclass(frozen=True)
class Picture:
    """What one registry says now.  `gone`: ids that this answer says have left, with what was last held of
    each; `full`: the answer was the whole list; `clock` the registry's own time (ms)."""

    instances: dict[str, Instance]
    gone: dict[str, Instance]
    full: bool
    clock: int


class Table:
    """One registry's instances of one app, and the statuses of all the others."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.others: dict[tuple[str, str], Status] = {}
        self.version: int | None = None
        self.clock = 0
        self.listed = False  # a full list has been taken
        self.mismatches = 0  # in a row

    def hash(self) -> str:
        return hash_code([*(i.status for i in self.instances.values()), *self.others.values()])

    def full(self, listing: Listing, partial: bool = False) -> tuple[Applied, Picture]:
        """A full list takes the place of what is held.  `partial`: of one app or vip, so without a hash."""
        before = self.instances
        self.instances = {
            name: found for name, found in listing.instances.items() if found.action is not Action.DELETED
        }
        self.others = {
            key: status for key, (status, action) in listing.others.items() if action is not Action.DELETED
        }
        self.version = listing.version if listing.version is not None else self.version
        self.clock = max(self.clock, listing.clock)
        self.listed = True
        wrong = not partial and listing.hashcode is not None and listing.hashcode != self.hash()
        self.mismatches = self.mismatches + 1 if wrong else 0
        gone = {name: found for name, found in before.items() if name not in self.instances}
        return Applied.MISMATCH if wrong else Applied.TAKEN, self._picture(gone, full=True)

    def delta(self, listing: Listing) -> tuple[Applied, Picture]:
        """A delta changes what is held.

        Danger: one that was made before the full list that is held (another connection was quicker, or a
        cache is old) takes back what is newer.  Its version is lower: it is passed over.  Versions start
        anew with the registry; a full list then sets the new count.
        """
        if not self.listed:
            return Applied.MISMATCH, self._picture({}, full=False)
        if listing.version is not None and self.version is not None and listing.version < self.version:
            self.mismatches += 1
            return Applied.STALE, self._picture({}, full=False)
        gone: dict[str, Instance] = {}
        for name, found in listing.instances.items():
            held = self.instances.get(name)
            if held is not None and found.dirty < held.dirty:
                continue  # the delta's queue still holds an earlier life of it
            if found.action is Action.DELETED:
                if held is not None:
                    gone[name] = self.instances.pop(name)
            else:
                self.instances[name] = _kept_renewal(held, found)
        for key, (status, action) in listing.others.items():
            if action is Action.DELETED:
                self.others.pop(key, None)
            else:
                self.others[key] = status
        self.version = listing.version if listing.version is not None else self.version
        self.clock = max(self.clock, listing.clock)
        wrong = listing.hashcode is not None and listing.hashcode != self.hash()
        self.mismatches = self.mismatches + 1 if wrong else 0
        return Applied.MISMATCH if wrong else Applied.TAKEN, self._picture(gone, full=False)

    def _picture(self, gone: dict[str, Instance], full: bool) -> Picture:
        return Picture(dict(self.instances), gone, full, self.clock)


def _kept_renewal(held: Instance | None, found: Instance) -> Instance:
    """A delta's entry is of the moment of the change: its renewal may be older than the one held."""
    if held is None or held.renewed <= found.renewed:
        return found
    return replace(found, renewed=held.renewed)
