"""The numbered circuits of a trunk group, kept alike at both ends.

A circuit is seized at the send of a set-up, by its number, and freed by the far end's final word or by the
release.  Both ends can seize one circuit at a moment; then the end that controls it keeps it (ITU-T Q.764,
2.9.1.4: the exchange with the higher number controls the even circuits).  Each end takes circuits it
controls first, from the bottom, and others from the top, so that this stays rare.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol


class Owner(Protocol):
    """What holds circuits; compared by identity."""

    @property
    def seized_here(self) -> bool:
        """Whether this end chose the circuits."""

    @property
    def releasing(self) -> bool:
        """Whether this end has asked for the release and only its answer is awaited."""


class Ledger:
    """One group toward one peer.

    `free` is exact at every moment: circuits that are neither busy nor blocked.
    """

    def __init__(self, size: int, own: int, peer: int) -> None:
        self.total, self.peer = size, peer
        self.parity = 0 if own > peer else 1  # the circuits that this end controls
        self.busy: dict[int, Owner] = {}
        self.yielded: dict[int, list[Owner]] = {}  # owners that lost a circuit to a claim, latest last
        self.blocked: set[int] = set()
        self.withdrawn: set[int] = set()  # beyond the group's size by now; no call is cut
        self._ours = [c for c in range(size) if c % 2 == self.parity]
        self._theirs = [-c for c in range(size) if c % 2 != self.parity]
        heapq.heapify(self._theirs)
        self._listed = set(range(size))  # numbers that stand in one of the heaps
        self._busy_blocked = 0

    @property
    def size(self) -> int:
        """Circuits in service."""
        return self.total - len(self.blocked)

    @property
    def free(self) -> int:
        return self.total - len(self.busy) - len(self.blocked) + self._busy_blocked

    def controls(self, circuit: int) -> bool:
        return circuit % 2 == self.parity

    def seize(self, width: int, owner: Owner) -> tuple[int, ...]:
        """Take so many circuits, or none: an empty tuple where too few are free."""
        if width < 1 or self.free < width:
            return ()
        taken: list[int] = []
        for heap in (self._ours, self._theirs):
            while heap and len(taken) < width:
                circuit = abs(heapq.heappop(heap))
                self._listed.discard(circuit)
                if circuit not in self.busy and circuit not in self.blocked:
                    self.busy[circuit] = owner
                    taken.append(circuit)
        return tuple(taken)

    def claim(self, circuits: Iterable[int], owner: Owner) -> tuple[bool, list[Owner]]:
        """The far end says that it seized these.

        Returns whether the claim holds, and the owners on this side that lose circuits to it.  A claim fails
        on a circuit out of range or blocked, one that an earlier claim of the far end holds, or one seized
        here that this end controls.
        """
        wanted = list(circuits)
        losers: list[Owner] = []
        for circuit in wanted:
            if not 0 <= circuit < self.total or circuit in self.blocked:
                return False, []
            holder = self.busy.get(circuit)
            if holder is None or holder is owner:
                continue
            # Danger: the answer to our release can be overtaken, on the other connection, by a set-up on the
            # circuit that it frees.  The far end has seen our release, or it would not use the circuit.
            if not holder.releasing and (self.controls(circuit) or not holder.seized_here):
                return False, []
            losers.append(holder)
        for circuit in wanted:
            holder = self.busy.get(circuit)
            if holder is not None and holder is not owner:
                self.yielded.setdefault(circuit, []).append(holder)
            self.busy[circuit] = owner
        return True, list({id(loser): loser for loser in losers}.values())

    def release(self, circuits: Iterable[int], owner: Owner) -> None:
        """Give back what the owner still holds of these; the rest is another's and stays.

        Danger: one that yielded a circuit may hold it again once the claimant is gone, where its set-up met
        the far end after that: so it gets it back, and the circuit is free when both are done.  Hurts
        nothing but that a circuit whose set-up was refused is busy until that refusal comes.
        """
        for circuit in circuits:
            before = self.yielded.get(circuit, [])
            if self.busy.get(circuit) is not owner:
                if owner in before:
                    before.remove(owner)
            elif before:
                self.busy[circuit] = before.pop()
            else:
                del self.busy[circuit]
                if circuit in self.blocked:
                    self._busy_blocked -= 1
                else:
                    self._list(circuit)
            if not before:
                self.yielded.pop(circuit, None)

    def block(self, circuits: Iterable[int]) -> list[Owner]:
        """Circuits lost: returns the owners of calls on them, whose calls are cut."""
        owners: dict[int, Owner] = {}
        for circuit in circuits:
            if 0 <= circuit < self.total and circuit not in self.blocked:
                self.blocked.add(circuit)
                if circuit in self.busy:
                    self._busy_blocked += 1
                    owners[id(self.busy[circuit])] = self.busy[circuit]
        return list(owners.values())

    def unblock(self, circuits: Iterable[int]) -> None:
        for circuit in circuits:
            if circuit in self.blocked and circuit not in self.withdrawn:
                self.blocked.discard(circuit)
                if circuit in self.busy:
                    self._busy_blocked -= 1
                else:
                    self._list(circuit)

    def resize(self, size: int) -> None:
        """The group has that many circuits from now on, the lowest numbers.

        Danger: a call on a circuit that goes would be cut.  It keeps it until it ends; the circuit is not
        seized again.  Hurts where the circuits go in truth before their calls have ended.
        """
        for circuit in range(self.total, size):
            self._list(circuit)
        self.total = max(self.total, size)
        back = {c for c in self.withdrawn if c < size}
        self.withdrawn -= back
        self.unblock(sorted(back))
        self.block(c for c in range(size, self.total))
        self.withdrawn |= set(range(size, self.total))

    def owners(self) -> list[Owner]:
        """All that hold circuits, each once, in the order of their circuits."""
        return list({id(o): o for _, o in sorted(self.busy.items(), key=lambda item: item[0])}.values())

    def _list(self, circuit: int) -> None:
        if circuit not in self._listed:
            self._listed.add(circuit)
            if self.controls(circuit):
                heapq.heappush(self._ours, circuit)
            else:
                heapq.heappush(self._theirs, -circuit)


RANGES = 1024  # in one message
LAST = 65535  # the highest number of a circuit


def read_ranges(text: str) -> list[tuple[int, int]]:
    """Circuit numbers as `0-3,7`: first and last of each range, in order and merged.  Raises ValueError.

    Danger: written out as numbers, 4 KB of `0-65535,0-65535,...` are 30 million of them, seconds and a
    gigabyte.  Ranges stay ranges; what they cover is bounded by the group's size (`within`).
    """
    if len(text) > 16 * RANGES or text.count(",") >= RANGES:
        raise ValueError(f"over {RANGES} ranges")
    found: list[tuple[int, int]] = []
    for part in text.split(","):
        low, sep, high = part.strip().partition("-")
        if not all(n.isascii() and n.isdigit() and len(n) <= 5 for n in (low, high if sep else low)):
            raise ValueError(f"circuits {part[:20]!r} are no range")
        first, last = int(low), int(high if sep else low)
        if not first <= last <= LAST:
            raise ValueError(f"circuits {part[:20]!r} are no range")
        found.append((first, last))
    merged: list[tuple[int, int]] = []
    for first, last in sorted(found):
        if merged and first <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
        else:
            merged.append((first, last))
    return merged


def within(ranges: list[tuple[int, int]], size: int) -> set[int]:
    """The circuits of merged ranges in a group of that size."""
    return {circuit for first, last in ranges for circuit in range(first, min(last + 1, size))}


def write_ranges(circuits: Iterable[int]) -> str:
    """The shortest such text."""
    runs: list[list[int]] = []
    for circuit in sorted(set(circuits)):
        if runs and runs[-1][1] == circuit - 1:
            runs[-1][1] = circuit
        else:
            runs.append([circuit, circuit])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in runs)
