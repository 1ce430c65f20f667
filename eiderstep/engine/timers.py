"""Shared base of the call tables for SIP and for the platform's protocol: timers and the decision interface.

The timers have no clock of their own; the caller passes the time, in ns.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from typing import Protocol

from eiderstep import interface as io


class DecisionModule(Protocol):
    """Interface of the decision module, which lab code can replace by another implementation."""

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]: ...


ControllerFactory = Callable[[io.Settings, int], DecisionModule]  # called with settings and seed


class Timer:
    """A timer.  Once cancelled it stays in the heap, but no longer references its callback."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[int], None]) -> None:
        self.callback: Callable[[int], None] | None = callback

    def cancel(self) -> None:
        """Cancel the timer; no effect if it has run."""
        self.callback = None


class Timers:
    """Callbacks in order of their due time (ns); those due at one time run in the order of scheduling."""

    __slots__ = ("sequence", "heap")

    def __init__(self) -> None:
        self.heap: list[tuple[int, int, Timer]] = []
        self.sequence = 0

    def schedule(self, due: int, callback: Callable[[int], None]) -> Timer:
        """Schedule a callback, which gets the time at which it runs; `cancel` of the result cancels it."""
        self.sequence += 1
        timer = Timer(callback)
        heapq.heappush(self.heap, (due, self.sequence, timer))
        return timer

    def run_due(self, now: int) -> None:
        """Run all callbacks that are due."""
        while self.heap and self.heap[0][0] <= now:
            callback = heapq.heappop(self.heap)[2].callback
            if callback is not None:
                callback(now)

    def next_due(self) -> int | None:
        """Due time of the earliest timer (ns), None if there is none."""
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
        return self.heap[0][0] if self.heap else None
