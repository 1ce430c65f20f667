"""What a call server measures of its trunk groups, in buckets of time.  No I/O; imports no numbers library.

Only the open bucket of each group is in memory, and a bounded list of numbers that were refused of late.
Times are integer ns of the caller's clock; the wall clock comes in with `roll`.
"""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from hdrh.histogram import HdrHistogram

from eiderstep.sizing.bucket import Bucket, Counts

REMEMBERED = 10_000  # refused numbers, to know a redial by
HOLD_MOST = 86_400_000  # ms that a holding time is recorded up to
MS, SECOND = 1_000_000, 1_000_000_000


class _Class:
    """One class's open counts."""

    __slots__ = (
        "blocked_first", "blocked_redials", "first", "for_others", "held", "hold", "hold_squared",
        "now", "overflowed", "redials", "refused", "standing",
    )  # fmt: skip

    def __init__(self, now: int = 0) -> None:
        self.now = now  # calls that stand
        self.first = self.redials = self.blocked_first = self.blocked_redials = self.refused = 0
        self.overflowed = self.for_others = self.held = self.hold = self.standing = 0
        self.hold_squared = 0.0

    def counts(self) -> Counts:
        return Counts(**{name: getattr(self, name) for name in self.__slots__ if name != "now"})


class _Group:
    """One group's open bucket and where it stands."""

    def __init__(self, circuits: int, classes: int, now: int) -> None:
        self.circuits = self.in_service = circuits
        self.busy = 0
        self.linked = True
        self.at = now
        self.holds = [HdrHistogram(1, HOLD_MOST, 2) for _ in range(classes)]
        self.classes = [_Class() for _ in range(classes)]
        self.fresh()

    def fresh(self) -> None:
        self.busy_time = self.service_time = self.out = self.full = 0
        self.classes = [_Class(old.now) for old in self.classes]

    def run(self, now: int) -> None:
        """Account for the time since the last change."""
        span = now - self.at
        if span <= 0:
            return
        self.at = now
        self.busy_time += span * self.busy
        self.service_time += span * self.in_service
        for counts in self.classes:
            counts.standing += span * counts.now
        if not self.linked:
            self.out += span
        elif self.busy >= self.in_service:
            self.full += span


class Meter:
    """All groups of one call server.  `groups`: peers and the circuits toward each."""

    def __init__(self, groups: Mapping[int, int], classes: int, now: int, window: int = 60 * SECOND) -> None:
        """`window`: a try for a number refused no longer ago than this is a redial (ns)."""
        self.window = window
        self.groups = {number: _Group(size, classes, now) for number, size in groups.items()}
        self.refused_at: OrderedDict[tuple[str, int], int] = OrderedDict()
        self.opened = now

    def tried(self, now: int, group: int, cls: int, number: str, told: bool) -> bool:
        """A call came; returns whether it is a redial, as told by its caller or known by its number."""
        held = self.groups.get(group)
        redial = told
        if number and not told:
            at = self.refused_at.pop((number, cls), None)
            redial = at is not None and now - at <= self.window
        if held is not None:
            counts = held.classes[cls]
            if redial:
                counts.redials += 1
            else:
                counts.first += 1
        return redial

    def blocked(self, group: int, cls: int, redial: bool, overflowed: bool) -> None:
        """It found too few circuits free on its own group; `overflowed`: it was sent to an alternate."""
        held = self.groups.get(group)
        if held is not None:
            counts = held.classes[cls]
            if redial:
                counts.blocked_redials += 1
            else:
                counts.blocked_first += 1
            counts.overflowed += overflowed

    def refused(self, group: int, cls: int) -> None:
        """It was turned away for another cause than circuits."""
        held = self.groups.get(group)
        if held is not None:
            held.classes[cls].refused += 1

    def gave_up(self, now: int, cls: int, number: str) -> None:
        """Its caller got no call; what comes for that number soon is a redial."""
        if number:
            self.refused_at[number, cls] = now
            while len(self.refused_at) > REMEMBERED:
                self.refused_at.popitem(last=False)

    def for_other(self, group: int, cls: int) -> None:
        """A call of another pair takes this group."""
        held = self.groups.get(group)
        if held is not None:
            held.classes[cls].for_others += 1

    def stands(self, now: int, group: int, cls: int) -> None:
        """A call for that exchange stands, by whatever way it went."""
        held = self.groups.get(group)
        if held is not None:
            held.run(now)
            held.classes[cls].now += 1

    def ended(self, now: int, group: int, cls: int, hold: int) -> None:
        """One of those has ended."""
        held = self.groups.get(group)
        if held is not None:
            held.run(now)
            counts = held.classes[cls]
            counts.now = max(counts.now - 1, 0)
            counts.held += 1
            counts.hold += hold
            counts.hold_squared += (hold / SECOND) ** 2
            held.holds[cls].record_value(min(max(hold // MS, 1), HOLD_MOST))

    def level(self, now: int, group: int, busy: int, in_service: int) -> None:
        """Circuits busy and in service from now on."""
        held = self.groups.get(group)
        if held is not None:
            held.run(now)
            held.busy, held.in_service = busy, in_service

    def resized(self, now: int, group: int, circuits: int) -> None:
        """The group has that many circuits from now on."""
        held = self.groups.get(group)
        if held is not None:
            held.run(now)
            held.circuits = circuits

    def link(self, now: int, group: int, up: bool) -> None:
        """Whether the far exchange is reached at all."""
        held = self.groups.get(group)
        if held is not None:
            held.run(now)
            held.linked = up

    def roll(self, now: int, epoch: int) -> Iterable[tuple[int, Bucket]]:
        """Close the open buckets; `epoch`: the wall clock at `now` (ns since 1970)."""
        length = now - self.opened
        if length <= 0:
            return []
        closed = []
        for number, held in self.groups.items():
            held.run(now)
            closed.append((
                number,
                Bucket(
                    epoch - length, length, held.circuits, held.busy_time, held.service_time,
                    held.out, held.full,
                    tuple(counts.counts() for counts in held.classes),
                ),
            ))  # fmt: skip
            held.fresh()
        self.opened = now
        while self.refused_at:  # what is past the window is no use
            first = next(iter(self.refused_at))
            if now - self.refused_at[first] <= self.window:
                break
            del self.refused_at[first]
        return closed

    def holds(self, group: int, cls: int) -> HdrHistogram:
        """Holding times (ms), to two digits."""
        return self.groups[group].holds[cls]

    def encoded(self) -> dict[tuple[int, int], bytes]:
        """All of them that hold anything, as they are stored."""
        return {
            (number, c): found.encode()
            for number, held in self.groups.items()
            for c, found in enumerate(held.holds)
            if found.get_total_count()
        }

    def resume(self, encoded: Mapping[tuple[int, int], bytes]) -> None:
        """Go on from holding times stored before a restart; what cannot be read is left out."""
        for (number, cls), data in encoded.items():
            held = self.groups.get(number)
            if held is not None and cls < len(held.holds):
                with contextlib.suppress(Exception):  # the library raises whatever its decoder meets
                    held.holds[cls].add(HdrHistogram.decode(data))
