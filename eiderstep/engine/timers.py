"""A heap of timers without a clock, and what decides: what every call table stands on, whatever its wire."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

from eiderstep import interface as io


class Decider(Protocol):
    """What a call table asks: the module, or in a lab something to compare it with."""

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]: ...


Mind = Callable[[io.Settings, int], Decider]  # from settings and seed


class Entry:
    """A timer.  Called off it stays in the heap, but holds nothing alive."""

    __slots__ = ("what",)

    def __init__(self, what: Callable[[int], None]) -> None:
        self.what: Callable[[int], None] | None = what

    def call_off(self) -> None:
        self.what = None


class Timers:
    """Things to do at a time (ns), earliest first, and of one time in the order in which they were set."""

    __slots__ = ("entries", "heap")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Entry]] = []
        self.entries = 0

    def at(self, due: int, what: Callable[[int], None]) -> Entry:
        """Do something at a time; the entry can be called off."""
        self.entries += 1
        entry = Entry(what)
        heapq.heappush(self.heap, (due, self.entries, entry))
        return entry

    def run(self, now: int) -> None:
        """Do what is due."""
        while self.heap and self.heap[0][0] <= now:
            what = heapq.heappop(self.heap)[2].what
            if what is not None:
                what(now)

    def next_due(self) -> int | None:
        """When `run` is wanted next (ns)."""
        while self.heap and self.heap[0][2].what is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None
