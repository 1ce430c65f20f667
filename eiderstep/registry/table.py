"""The instances of one registry, built from its full lists and deltas and checked against `apps__hashcode`.

A delta repeats the changes of the last minutes, so the same one may be applied any number of times.  After
each, the hash over this table must equal the hash in the response; otherwise a change was missed and a full
list has to be requested.  No I/O, no clock.
"""

from __future__ import annotations

from dataclasses import dataclass, replace
from enum import Enum

from eiderstep.registry.model import Action, Instance, Listing, Status, hash_code


class ApplyResult(Enum):
    """Result of applying a response to the table."""

    TAKEN = "taken"
    MISMATCH = "hash mismatch"  # applied, but a full list has to be requested
    STALE = "older than what is held"  # not applied


@dataclass(frozen=True)
class Snapshot:
    """What one registry lists after a response.

    `departed` holds the instances that this response removed, as last listed; `full` tells whether the
    response was a full list; `clock_ms` is the registry's own time (ms).
    """

    instances: dict[str, Instance]
    departed: dict[str, Instance]
    full: bool
    clock_ms: int


class RegistryTable:
    """One registry's instances of the followed app, and the statuses of the instances of all other apps."""

    def __init__(self) -> None:
        self.instances: dict[str, Instance] = {}
        self.others: dict[tuple[str, str], Status] = {}
        self.version: int | None = None
        self.clock_ms = 0
        self.has_full_list = False
        self.mismatches = 0  # in a row

    def hash(self) -> str:
        return hash_code([*(i.status for i in self.instances.values()), *self.others.values()])

    def apply_full(self, listing: Listing, partial: bool = False) -> tuple[ApplyResult, Snapshot]:
        """Replaces the table by a full list.  `partial`: the list of one app or vip, which has no hash."""
        before = self.instances
        self.instances = {
            name: found for name, found in listing.instances.items() if found.action is not Action.DELETED
        }
        self.others = {
            key: status for key, (status, action) in listing.others.items() if action is not Action.DELETED
        }
        self.version = listing.version if listing.version is not None else self.version
        self.clock_ms = max(self.clock_ms, listing.clock_ms)
        self.has_full_list = True
        mismatch = not partial and listing.hashcode is not None and listing.hashcode != self.hash()
        self.mismatches = self.mismatches + 1 if mismatch else 0
        departed = {name: found for name, found in before.items() if name not in self.instances}
        return ApplyResult.MISMATCH if mismatch else ApplyResult.TAKEN, self._snapshot(departed, full=True)

    def apply_delta(self, listing: Listing) -> tuple[ApplyResult, Snapshot]:
        """Applies a delta.

        A delta of a lower version than the table's is ignored: it was made before the full list (a faster
        connection or an old cache delivered them out of order) and would undo newer changes.  Versions start
        again when the registry restarts; the next full list then sets the new count.
        """
        if not self.has_full_list:
            return ApplyResult.MISMATCH, self._snapshot({}, full=False)
        if listing.version is not None and self.version is not None and listing.version < self.version:
            self.mismatches += 1
            return ApplyResult.STALE, self._snapshot({}, full=False)
        departed: dict[str, Instance] = {}
        for name, found in listing.instances.items():
            held = self.instances.get(name)
            if held is not None and found.dirty_ms < held.dirty_ms:
                continue  # the delta's queue still holds an earlier incarnation of this instance
            if found.action is Action.DELETED:
                if held is not None:
                    departed[name] = self.instances.pop(name)
            else:
                self.instances[name] = _with_latest_renewal(held, found)
        for key, (status, action) in listing.others.items():
            if action is Action.DELETED:
                self.others.pop(key, None)
            else:
                self.others[key] = status
        self.version = listing.version if listing.version is not None else self.version
        self.clock_ms = max(self.clock_ms, listing.clock_ms)
        mismatch = listing.hashcode is not None and listing.hashcode != self.hash()
        self.mismatches = self.mismatches + 1 if mismatch else 0
        return ApplyResult.MISMATCH if mismatch else ApplyResult.TAKEN, self._snapshot(departed, full=False)

    def _snapshot(self, departed: dict[str, Instance], full: bool) -> Snapshot:
        return Snapshot(dict(self.instances), departed, full, self.clock_ms)


def _with_latest_renewal(held: Instance | None, found: Instance) -> Instance:
    """A delta's entry dates from the change, so its renewal time may be older than the one held."""
    if held is None or held.renewed_ms <= found.renewed_ms:
        return found
    return replace(found, renewed_ms=held.renewed_ms)
