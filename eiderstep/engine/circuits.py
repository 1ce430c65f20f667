"""The numbered circuits of a trunk group, as seen by one of its two exchanges.

A circuit is seized by number when a set-up is sent, and freed by the final response or by the release.  Both
exchanges can seize the same circuit at the same time (glare, or dual seizure); then the end that controls the
circuit keeps it (ITU-T Q.764, 2.9.1.4: the exchange with the higher number controls the even circuits).  To
keep glare rare, each end selects the circuits that it controls first, from the lowest number up, and then the
others from the highest number down.
"""

from __future__ import annotations

import heapq
from collections.abc import Iterable
from typing import Protocol


class Owner(Protocol):
    """Holder of circuits: a call or an attempt.  Compared by identity."""

    @property
    def seized_here(self) -> bool:
        """Whether this end selected the circuits; otherwise the far end did."""

    @property
    def releasing(self) -> bool:
        """Whether this end has sent the release and only waits for the response to it."""


class TrunkGroup:
    """Circuit states of the trunk group toward one peer exchange.

    `free` is exact at all times: the number of circuits that are neither busy nor blocked.
    """

    def __init__(self, size: int, own_number: int, peer: int) -> None:
        self.total, self.peer = size, peer
        self.parity = 0 if own_number > peer else 1  # of the circuit numbers that this end controls
        self.busy: dict[int, Owner] = {}
        self.yielded: dict[int, list[Owner]] = {}  # owners that lost the circuit to a claim, latest last
        self.blocked: set[int] = set()
        self.withdrawn: set[int] = set()  # removed by a resize; calls on them are not cut
        # Heaps of circuits that may be free.  Entries are checked when taken, since a circuit can become busy
        # (by a claim) or blocked while it is listed here.
        self._controlled = [c for c in range(size) if c % 2 == self.parity]
        self._uncontrolled = [-c for c in range(size) if c % 2 != self.parity]
        heapq.heapify(self._uncontrolled)
        self._in_heaps = set(range(size))  # circuits that are in one of the heaps
        self._busy_blocked = 0

    @property
    def size(self) -> int:
        """Number of circuits in service (not blocked)."""
        return self.total - len(self.blocked)

    @property
    def free(self) -> int:
        return self.total - len(self.busy) - len(self.blocked) + self._busy_blocked

    def controls(self, circuit: int) -> bool:
        """Whether this end keeps the circuit in a glare."""
        return circuit % 2 == self.parity

    def seize(self, width: int, owner: Owner) -> tuple[int, ...]:
        """Seize `width` circuits; returns an empty tuple, seizing none, if fewer are free."""
        if width < 1 or self.free < width:
            return ()
        taken: list[int] = []
        for heap in (self._controlled, self._uncontrolled):
            while heap and len(taken) < width:
                circuit = abs(heapq.heappop(heap))
                self._in_heaps.discard(circuit)
                if circuit not in self.busy and circuit not in self.blocked:
                    self.busy[circuit] = owner
                    taken.append(circuit)
        return tuple(taken)

    def claim(self, circuits: Iterable[int], owner: Owner) -> tuple[bool, list[Owner]]:
        """Record that the far end has seized these circuits.

        Returns whether the claim is accepted, and the owners that lose circuits to it.  A claim is
        rejected if one of its circuits is out of range, blocked, held by an earlier claim of the far end, or
        seized here and controlled by this end.
        """
        wanted = list(circuits)
        losers: list[Owner] = []
        for circuit in wanted:
            if not 0 <= circuit < self.total or circuit in self.blocked:
                return False, []
            holder = self.busy.get(circuit)
            if holder is None or holder is owner:
                continue
            # The response to our release can be overtaken by a set-up on the freed circuit that arrives over
            # the other connection.  The far end must have processed our release, or it would not have seized
            # the circuit, so a claim on a circuit that is being released is accepted.
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
        """Free those of the circuits that the owner still holds; circuits now held by others are left alone.

        An owner that yielded a circuit gets it back when the claimant releases it, because its set-up may
        have reached the far end after the claimant's call had ended there and have been accepted on that
        circuit.  The circuit becomes free when both have released it.  Cost: a circuit whose set-up was
        refused stays busy until that refusal arrives.
        """
        for circuit in circuits:
            earlier_owners = self.yielded.get(circuit, [])
            if self.busy.get(circuit) is not owner:
                if owner in earlier_owners:
                    earlier_owners.remove(owner)
            elif earlier_owners:
                self.busy[circuit] = earlier_owners.pop()
            else:
                del self.busy[circuit]
                if circuit in self.blocked:
                    self._busy_blocked -= 1
                else:
                    self._add_to_heap(circuit)
            if not earlier_owners:
                self.yielded.pop(circuit, None)

    def block(self, circuits: Iterable[int]) -> list[Owner]:
        """Take circuits out of service; returns the owners that hold them, whose calls must be cut."""
        owners: dict[int, Owner] = {}
        for circuit in circuits:
            if 0 <= circuit < self.total and circuit not in self.blocked:
                self.blocked.add(circuit)
                if circuit in self.busy:
                    self._busy_blocked += 1
                    owners[id(self.busy[circuit])] = self.busy[circuit]
        return list(owners.values())

    def unblock(self, circuits: Iterable[int]) -> None:
        """Put blocked circuits back into service, except those that a resize has removed."""
        for circuit in circuits:
            if circuit in self.blocked and circuit not in self.withdrawn:
                self.blocked.discard(circuit)
                if circuit in self.busy:
                    self._busy_blocked -= 1
                else:
                    self._add_to_heap(circuit)

    def resize(self, size: int) -> None:
        """Change the number of circuits in the group; circuits 0 to `size` - 1 remain.

        Calls on removed circuits are not cut: they keep their circuit until they end, and it is not seized
        again.  This is wrong only if the circuits are physically removed before those calls have ended.
        """
        for circuit in range(self.total, size):
            self._add_to_heap(circuit)
        self.total = max(self.total, size)
        restored = {c for c in self.withdrawn if c < size}
        self.withdrawn -= restored
        self.unblock(sorted(restored))
        self.block(c for c in range(size, self.total))
        self.withdrawn |= set(range(size, self.total))

    def owners(self) -> list[Owner]:
        """All owners of busy circuits, each once, in order of their circuits."""
        return list({id(o): o for _, o in sorted(self.busy.items(), key=lambda item: item[0])}.values())

    def _add_to_heap(self, circuit: int) -> None:
        if circuit not in self._in_heaps:
            self._in_heaps.add(circuit)
            if self.controls(circuit):
                heapq.heappush(self._controlled, circuit)
            else:
                heapq.heappush(self._uncontrolled, -circuit)


MAX_RANGES = 1024  # ranges in one message
MAX_CIRCUIT = 65535  # highest circuit number


def read_ranges(text: str) -> list[tuple[int, int]]:
    """Parse circuit numbers such as `0-3,7` into (first, last) pairs, sorted and merged.

    Ranges are not expanded here: 4 KB of `0-65535,0-65535,...` would be 30 million numbers, which takes
    seconds and a gigabyte of memory.  `circuits_in_ranges` expands them, limited to the size of the group.

    Raises ValueError if the text is malformed or has too many ranges.
    """
    if len(text) > 16 * MAX_RANGES or text.count(",") >= MAX_RANGES:
        raise ValueError(f"more than {MAX_RANGES} ranges of circuits")
    found: list[tuple[int, int]] = []
    for part in text.split(","):
        low, sep, high = part.strip().partition("-")
        if not all(n.isascii() and n.isdigit() and len(n) <= 5 for n in (low, high if sep else low)):
            raise ValueError(f"circuits {part[:20]!r} are not a range of circuit numbers")
        first, last = int(low), int(high if sep else low)
        if not first <= last <= MAX_CIRCUIT:
            raise ValueError(f"circuits {part[:20]!r} are not a range of circuit numbers")
        found.append((first, last))
    merged: list[tuple[int, int]] = []
    for first, last in sorted(found):
        if merged and first <= merged[-1][1] + 1:
            merged[-1] = (merged[-1][0], max(last, merged[-1][1]))
        else:
            merged.append((first, last))
    return merged


def circuits_in_ranges(ranges: list[tuple[int, int]], size: int) -> set[int]:
    """Expand merged ranges to the circuit numbers that exist in a group of `size` circuits."""
    return {circuit for first, last in ranges for circuit in range(first, min(last + 1, size))}


def write_ranges(circuits: Iterable[int]) -> str:
    """Format circuit numbers as the shortest text that `read_ranges` accepts."""
    runs: list[list[int]] = []
    for circuit in sorted(set(circuits)):
        if runs and runs[-1][1] == circuit - 1:
            runs[-1][1] = circuit
        else:
            runs.append([circuit, circuit])
    return ",".join(str(a) if a == b else f"{a}-{b}" for a, b in runs)
