"""What callers may cost: connections, silence, floods.  No I/O, no clock, no office, no route."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable

from eiderstep.trust.pace import Bucket

SECOND = 1_000_000_000
MS = 1_000_000
SPEAK = 2_500 * MS  # a connection has to say a whole message within this
SHARE = 0.6  # of the descriptors: connections from callers; the rest is for all else
RATE = 1000  # messages a second of one source, as many at once; the busiest honest one is far below
ALL = 3000  # of all sources together, as many at once; beyond it those over their part are read slowly
PART = 200  # messages above the rate that a source may have then
LONGEST_PAUSE = SECOND // 4  # without reading: a hostile one, too, has its refusals in time
SOURCES = 4096  # remembered at most


class Door:
    """One connection from a caller."""

    __slots__ = ("came", "source", "spoke")

    def __init__(self, source: str, now: int) -> None:
        self.source, self.came = source, now
        self.spoke = False


class Bounds:
    """All connections from callers, the longest unused first."""

    def __init__(self, sockets: int) -> None:
        self.most = max(int(sockets * SHARE), 16)
        self.doors: OrderedDict[int, Door] = OrderedDict()
        self.sources: OrderedDict[str, Bucket] = OrderedDict()
        self.all = Bucket(ALL)

    def came(self, now: int, flow: int, source: str, weight: Callable[[int], int]) -> int | None:
        """A connection came in.  Which one is closed for it, None where there is room; itself, if none may.

        `weight` of a flow: 0 where no call hangs on it, 1 where calls stand, 2 where a set-up is open.

        Danger: hundreds that say nothing, or that keep a connection for good, would use up the descriptors,
        and no caller, office or change log could be spoken with.  Those that have said nothing go first, then
        those longest unused; one with a set-up open never goes.
        """
        self.doors[flow] = Door(source, now)
        if len(self.doors) <= self.most:
            return None
        silent = next((f for f, door in self.doors.items() if not door.spoke and f != flow), None)
        if silent is not None:
            return silent
        light = min((f for f in self.doors if f != flow), key=weight, default=flow)
        return light if weight(light) < 2 else flow

    def spoke(self, flow: int) -> None:
        """A whole message came on it."""
        door = self.doors.get(flow)
        if door is not None:
            door.spoke = True
            self.doors.move_to_end(flow)

    def pour(self, now: int, flow: int, count: int) -> int:
        """So many messages came on it; how long it is not read now (ns).

        Danger: one that writes at full speed has the process busy with what it refuses, and calls of others
        wait for seconds.  Not read, it waits itself, in its own kernel's buffer.  Hurts a source that has
        over a thousand messages a second to say, by up to a quarter of a second at a time.
        """
        door = self.doors.get(flow)
        if door is None:
            return 0
        bucket = self.sources.get(door.source)
        if bucket is None:
            if len(self.sources) >= SOURCES:
                self.sources.popitem(last=False)
            bucket = self.sources[door.source] = Bucket(RATE)
        self.sources.move_to_end(door.source)
        bucket.pour(now, count)
        self.all.pour(now, count)
        over = max(bucket.level - RATE, min(self.all.level - ALL, bucket.level - PART), 0.0)
        return min(int(over / RATE * SECOND), LONGEST_PAUSE)

    def closed(self, flow: int) -> None:
        self.doors.pop(flow, None)

    def late(self, now: int) -> list[int]:
        """Connections whose time to say something is over."""
        return [f for f, door in self.doors.items() if not door.spoke and now - door.came >= SPEAK]
