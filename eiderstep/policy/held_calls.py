"""Calls held until a route opens, in the order in which they are served.  No I/O, no clock.

Hundreds of callers may ask for the same destination at once, so the work for one call must not grow with the
number of calls held: a position in a queue is found by bisection, and a queue is read from its front.
"""

from __future__ import annotations

from bisect import bisect_left
from collections.abc import Iterable
from heapq import merge
from itertools import islice
from typing import Generic, NamedTuple, Protocol, TypeVar


class HoldableCall(Protocol):
    """What the queues need to know of a call.  All but `queue` stay as they are while the call is held."""

    width: int  # circuits
    first_try_at: int  # ns
    arrival_order: int  # unique
    queue: int | None  # key of the queue in which the call is held
    hold_rank: tuple[bool, float]  # calls of the least rank are served first


class CallsAhead(NamedTuple):
    """Calls that are served before a given one, and the circuits that they need."""

    calls: int
    circuits: int


CallT = TypeVar("CallT", bound=HoldableCall)
Age = tuple[int, int]  # time of the first try (ns), arrival order
BucketKey = tuple[tuple[bool, float], int]  # rank, width
Entry = tuple[tuple[bool, float], Age, CallT]  # rank, age, call; ages are unique


class _Bucket(Generic[CallT]):
    """Held calls of one rank and width, oldest first."""

    __slots__ = ("ages", "calls")

    def __init__(self) -> None:
        self.ages: list[Age] = []
        self.calls: list[CallT] = []

    def add(self, call: CallT) -> None:
        index = bisect_left(self.ages, _age(call))
        self.ages.insert(index, _age(call))
        self.calls.insert(index, call)

    def remove(self, call: CallT) -> None:
        index = bisect_left(self.ages, _age(call))
        del self.ages[index], self.calls[index]


class HeldCalls(Generic[CallT]):
    """Queues of held calls by key: by rank, then by age."""

    def __init__(self) -> None:
        self._queues: dict[int, dict[BucketKey, _Bucket[CallT]]] = {}

    def __len__(self) -> int:
        return sum(len(bucket.calls) for queue in self._queues.values() for bucket in queue.values())

    def add(self, queue: int, call: CallT) -> None:
        """Hold a call in a queue."""
        call.queue = queue
        buckets = self._queues.setdefault(queue, {})
        buckets.setdefault((call.hold_rank, call.width), _Bucket()).add(call)

    def remove(self, call: CallT) -> None:
        """Stop holding a call; no effect if it is not held."""
        if call.queue is None:
            return
        buckets, key = self._queues[call.queue], (call.hold_rank, call.width)
        buckets[key].remove(call)
        if not buckets[key].calls:
            del buckets[key]
        if not buckets:
            del self._queues[call.queue]
        call.queue = None

    def ahead_of(self, queue: int, call: CallT) -> CallsAhead:
        """The calls of a queue that are served before a call, which may be held there or not."""
        count = circuits = 0
        for (rank, width), bucket in self._queues.get(queue, {}).items():
            if rank > call.hold_rank:
                continue
            ahead = len(bucket.ages) if rank < call.hold_rank else bisect_left(bucket.ages, _age(call))
            count += ahead
            circuits += ahead * width
        return CallsAhead(count, circuits)

    def first(self, queues: Iterable[int], limit: int | None = None) -> list[CallT]:
        """The first calls of several queues, at most `limit` of each, in the order of all of them."""
        ordered = merge(*(islice(self._in_order(queue), limit) for queue in queues))
        return [call for _, _, call in ordered]

    def _in_order(self, queue: int) -> Iterable[Entry[CallT]]:
        buckets = self._queues.get(queue, {})
        return merge(*(_entries(rank, bucket) for (rank, _), bucket in buckets.items()))


def _age(call: HoldableCall) -> Age:
    return call.first_try_at, call.arrival_order


def _entries(rank: tuple[bool, float], bucket: _Bucket[CallT]) -> Iterable[Entry[CallT]]:
    return ((rank, age, call) for age, call in zip(bucket.ages, bucket.calls, strict=True))
