"""Emulated hosts: what runs on a host waits while it is paused or its processor is busy, and only that.

The current host is held in a context variable.  Whatever code on a host schedules (timers, tasks, callbacks
of its connections) inherits it, because asyncio copies contexts, so a call server needs no change to be
paused.  A frozen host looks to its neighbours like a long garbage collection, a swapped-out process or a
suspended virtual machine: connections stay open and accept bytes, and nothing is sent back.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from contextvars import Context, ContextVar
from typing import Protocol

from eiderstep.standin.processor import Processor

# Starts of the messages that cost work.
INVITE, BYE, ANSWER = b"INVITE sip:", b"BYE sip:", b"SIP/2.0 200"
# Work units, in which a whole set-up is 1: an INVITE received, an INVITE sent on, a BYE, and a 200 response.
INVITE_IN_WORK, INVITE_OUT_WORK, BYE_WORK, ANSWER_WORK = 0.2, 0.8, 0.15, 0.1


def arrival_work(data: bytes) -> float:
    """Work units of bytes that arrive."""
    return INVITE_IN_WORK * data.count(INVITE) + BYE_WORK * data.count(BYE) + ANSWER_WORK * data.count(ANSWER)


CURRENT_HOST: ContextVar[Host | None] = ContextVar("host", default=None)
NO_HOST = Context()  # for the timers that resume a host: on the host itself they would be held as well


class Clock(Protocol):
    """The part of an event loop that a host uses."""

    def time(self) -> float: ...

    def call_at(
        self, when: float, callback: Callable[..., object], *args: object, context: Context | None = None
    ) -> asyncio.TimerHandle: ...


class Host:
    """One host.  `frozen_until`: nothing runs on it before this time (s).

    `processor`: that of the exchange which is controlled from this host.  Bytes that arrive are queued there
    and then handed to the program; INVITEs that the program sends are work there too.  The program itself,
    its timers and what it sends do not wait, as for a call control that runs beside the exchange's processor.
    """

    def __init__(self, loop: Clock, name: str, processor: Processor | None = None) -> None:
        self.loop, self.name, self.processor = loop, name, processor
        self.frozen_until = self.busy_until = self.hung_until = 0.0
        self.held_handles: deque[asyncio.Handle] = deque()
        self.wake_scheduled = False
        self.work_done = 0.0  # units

    @contextmanager
    def as_current(self) -> Iterator[None]:
        """Makes this the host of whatever is created and scheduled within the context."""
        token = CURRENT_HOST.set(self)
        try:
            yield
        finally:
            CURRENT_HOST.reset(token)

    def pause(self, seconds: float) -> None:
        """Freeze the host from now on; pauses that overlap end with the last."""
        self.frozen_until = max(self.frozen_until, self.loop.time() + seconds)

    def queue_arrival(self, data: bytes) -> float:
        """Queue the work of bytes that arrive now; returns the time at which it is done (s)."""
        return self._queue_work(arrival_work(data))

    def queue_sent(self, data: bytes) -> None:
        """Queue the work of bytes that are sent."""
        self._queue_work(INVITE_OUT_WORK * data.count(INVITE))

    def _queue_work(self, units: float) -> float:
        processor, now = self.processor, self.loop.time()
        if processor is None:
            return now
        if units:
            self.work_done += units
            processor.completed_units += units
            self.busy_until = max(self.busy_until, now) + units / processor.capacity()
        return max(self.busy_until, now)

    def hang(self, seconds: float) -> None:
        """Stop the processor for that long, while the program runs on.

        Hangs that overlap end with the last; queued work is done after it.
        """
        now = self.loop.time()
        added = now + seconds - max(self.hung_until, now)
        if added > 0:
            self.busy_until, self.hung_until = max(self.busy_until, now) + added, now + seconds

    def queueing_delay(self) -> float:
        """How long bytes that arrive now have to wait (s)."""
        now = self.loop.time()
        return max(self.busy_until - now, self.frozen_until - now, 0.0)

    def hold_if_frozen(self, handle: asyncio.Handle) -> bool:
        """Hold back a handle if the host is frozen; returns whether it was held.

        Handles run in their order: while earlier ones are held, later ones are held too.
        """
        if not self.held_handles and self.frozen_until <= self.loop.time():
            return False
        self.held_handles.append(handle)
        if not self.wake_scheduled:
            self.wake_scheduled = True
            self.loop.call_at(self.frozen_until, self._wake, context=NO_HOST)
        return True

    def _wake(self) -> None:
        self.wake_scheduled = False
        while self.held_handles and self.frozen_until <= self.loop.time():
            handle = self.held_handles.popleft()
            if not handle.cancelled():
                handle._run()
        if self.held_handles and not self.wake_scheduled:
            self.wake_scheduled = True
            self.loop.call_at(self.frozen_until, self._wake, context=NO_HOST)
