"""The simulated processor of an exchange: a single server with a queue, warm-up, ageing and hangs."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

WARM_UP_SHAPES = ("linear", "late", "stepped", "by work")


@dataclass(frozen=True)
class ProcessorConfig:
    """The configuration of a processor.  Times in seconds.

    `warm_up`: how the capacity grows from `cold_share` to the full capacity: linearly over `cold_time`; late
    (most of it in the last third, as when caches fill); in four steps; or by the work done, complete after
    `cold_time` worth of work at full capacity.
    """

    capacity: float = 60.0  # set-ups a second when warm
    cold_share: float = 0.3  # of the capacity, right after a start
    cold_time: float = 0.0
    warm_up: str = "linear"
    answers_first: bool = False  # answers and releases are served before set-ups


def warm_up_progress(shape: str, age: float) -> float:
    """Return the progress from cold to warm, 0 to 1, at `age`, the elapsed share of the warm-up time."""
    age = min(max(age, 0.0), 1.0)
    if shape == "late":
        return age**3
    if shape == "stepped":
        return int(age * 4) / 4
    return age


@dataclass(eq=False)
class WorkItem:
    """One item of work.  `units`: its size, 1 being a set-up; `dropped`: cancelled while it waited."""

    units: float
    action: Callable[[], None]
    is_set_up: bool
    dropped: bool = False


@dataclass(eq=False)
class Processor:
    """A single server with a queue.

    `now()` returns seconds, and `schedule(seconds, action)` runs an action after a delay.
    """

    config: ProcessorConfig
    now: Callable[[], float]
    schedule: Callable[[float, Callable[[], object]], None]
    started_at: float | None  # time of the start; None: long ago, the processor is warm
    slow_factor: float = 1.0  # factor on the time of all work
    hung: bool = False  # queues work and does none
    ageing: tuple[float, float] | None = None  # its start, and the time in which service times double
    queue: deque[WorkItem] = field(default_factory=deque)
    priority_queue: deque[WorkItem] = field(default_factory=deque)  # answers and releases, if they go first
    queued_units: float = 0.0
    completed_units: float = 0.0
    busy: bool = False

    def capacity(self) -> float:
        """Return the present capacity in set-ups a second."""
        config, share = self.config, 1.0
        if self.started_at is not None and config.cold_time:
            if config.warm_up == "by work":
                age = self.completed_units / (config.capacity * config.cold_time)
            else:
                age = (self.now() - self.started_at) / config.cold_time
            share = config.cold_share + (1 - config.cold_share) * warm_up_progress(config.warm_up, age)
        return config.capacity * share / self.slowdown()

    def slowdown(self) -> float:
        """Return the factor on service times from the faults "slow" and "ageing"."""
        factor = self.slow_factor
        if self.ageing is not None:
            start, doubling_time = self.ageing
            factor *= 2.0 ** max((self.now() - start) / doubling_time, 0.0)
        return factor

    def queue_wait(self) -> float:
        """Return how long a set-up that arrives now would wait (s)."""
        return self.queued_units / self.capacity()

    def queued_set_ups(self) -> int:
        """Return the number of set-ups in the queue."""
        return sum(1 for item in self.queue if item.is_set_up and not item.dropped)

    def enqueue(
        self, units: float, action: Callable[[], None], set_up: bool = False, first: bool = False
    ) -> WorkItem:
        """Queue work and return its item.  `first`: the work is an answer or a release."""
        item = WorkItem(units, action, set_up)
        (self.priority_queue if first and self.config.answers_first else self.queue).append(item)
        self.queued_units += units
        self.start_next()
        return item

    def drop(self, item: WorkItem) -> None:
        """Cancel queued work; work in service is finished."""
        if not item.dropped and (item in self.queue or item in self.priority_queue):
            item.dropped = True
            self.queued_units -= item.units

    def start_next(self) -> None:
        """Start on the next item, if there is one and the processor is neither busy nor hung."""
        while not (self.busy or self.hung) and (self.priority_queue or self.queue):
            item = (self.priority_queue or self.queue).popleft()
            if item.dropped:
                continue
            self.busy = True
            self.queued_units -= item.units
            if not (self.priority_queue or self.queue):
                self.queued_units = 0.0  # removes accumulated rounding errors
            self.schedule(item.units / self.capacity(), lambda item=item: self._finish(item))  # type: ignore[misc]

    def _finish(self, item: WorkItem) -> None:
        self.busy = False
        if self.hung:
            self.priority_queue.appendleft(item)
            self.queued_units += item.units
            return
        self.completed_units += item.units
        item.action()
        self.start_next()
