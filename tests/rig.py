"""A settings builder, a driver that checks the five rules on every reply, and modules run as processes."""

from __future__ import annotations

import subprocess
import sys
from collections.abc import Mapping
from dataclasses import replace
from pathlib import Path

from eiderstep import interface as io
from eiderstep.decide import Controller

ROOT = Path(__file__).resolve().parent.parent
SECOND = 1_000_000_000
MS = 1_000_000

PLAIN = io.CallClass(worth=1.0, width=1, aim=1200 * MS, give_up=9 * SECOND, mean_hold=10 * SECOND)
WIDE = replace(PLAIN, worth=2.0, width=3)
DEAR = replace(PLAIN, worth=5.0, mean_hold=8 * SECOND)


def run_module(
    name: str, text: str = "", environ: Mapping[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    """`python -m name` to its end."""
    return subprocess.run(
        [sys.executable, "-m", name], input=text, env=environ, cwd=ROOT, capture_output=True, text=True,
        timeout=60, check=False,
    )  # fmt: skip


def settings(**changes: object) -> io.Settings:
    base = io.Settings(
        classes=(PLAIN, WIDE, DEAR),
        own_number=0,
        controllers=4,
        attempt_cap=4,
        may_cancel=True,
        may_pause=True,
        max_pause=2 * SECOND,
        answer_slack=20 * MS,
        drain_grace=500 * MS,
        cold_multiple=2.0,
        cold_window=2 * SECOND,
        cold_share=0.3,
        cold_time=12 * SECOND,
        release_wait=500 * MS,
    )
    return replace(base, **changes)  # type: ignore[arg-type]


def entry(number: int, state: io.OfficeState = io.OfficeState.UP, started: int = 0) -> io.OfficeEntry:
    return io.OfficeEntry(f"10.0.0.{number}:1", number, state, started)


def addr(number: int) -> str:
    return f"10.0.0.{number}:1"


class Rig:
    """One controller, its clock, and the books that the five rules are checked against."""

    def __init__(self, s: io.Settings, seed: int = 1, numbers: tuple[int, ...] = (0, 1, 2, 3)) -> None:
        self.s = s
        self.c = Controller(s, seed)
        self.now = 1000 * SECOND
        self.names = 0
        self.timers: list[tuple[int, int]] = []
        self.expires: dict[str, int] = {}
        self.answered: dict[str, int] = {}
        self.out: dict[str, tuple[int, str]] = {}
        self.legs: dict[str, int] = {}
        self.not_before: dict[str, int] = {}
        self.stopped: dict[str, int] = {}
        self.cold: dict[str, int] = {}
        self.cold_sends: dict[str, list[int]] = {}
        self.told(io.ListKind.COMPLETE, *(entry(n) for n in numbers))

    def give(self, *events: io.Event) -> list[io.Action]:
        for event in events:
            self._before(event)
        actions = self.c.handle(self.now, list(events))
        for action in actions:
            self._after(action)
        return actions

    def _before(self, event: io.Event) -> None:
        if isinstance(event, io.CallOffered):
            self.expires[event.call] = event.expires
        elif isinstance(event, io.CallGone):
            self.answered.setdefault(event.call, self.now)
        elif isinstance(event, io.AttemptEnded):
            self.out.pop(event.call, None)
            if event.settled:
                self.answered.setdefault(event.call, self.now)
            if event.outcome in (io.Outcome.NO_ANSWER, io.Outcome.CUT, io.Outcome.CANCELLED):
                self.not_before[event.call] = self.now + self.s.release_wait
        elif isinstance(event, io.OfficeList) and event.kind is not io.ListKind.FAILED:
            named = {e.office for e in event.entries}
            for e in event.entries:
                if e.state is io.OfficeState.UP:
                    self.stopped.pop(e.office, None)
                    if e.started:
                        self.cold[e.office] = e.started
                else:
                    self.stopped.setdefault(e.office, self.now)
            if event.kind is not io.ListKind.CHANGES:
                for n in range(40):
                    if addr(n) not in named:
                        self.stopped.setdefault(addr(n), self.now)

    def _after(self, action: io.Action) -> None:
        if isinstance(action, io.SetTimer):
            self.timers.append((action.due, action.token))
        elif isinstance(action, io.Refuse | io.Abandon):
            assert action.call not in self.answered, "a second final answer"
            assert self.now <= self.expires[action.call] + self.s.answer_slack, "answered too late"
            self.answered[action.call] = self.now
        elif isinstance(action, io.Send):
            assert action.call in self.expires and action.call not in self.answered, "sent after the end"
            assert action.call not in self.out, "two attempts out"
            leg = self.legs.get(action.call, 0)
            assert leg < self.s.attempt_cap, "attempt cap"
            assert action.office not in self.stopped, "sent to a drained or gone office"
            assert self.now >= self.not_before.get(action.call, 0), "release not awaited"
            assert action.office != addr(self.s.own_number)
            self.legs[action.call] = leg + 1
            self.out[action.call] = (leg, action.office)
            started = self.cold.get(action.office)
            if started is not None and self.now - started < self.s.cold_time:
                sends = self.cold_sends.setdefault(action.office, [])
                sends.append(self.now)

    def told(self, kind: io.ListKind, *entries: io.OfficeEntry) -> list[io.Action]:
        return self.give(io.OfficeList(kind, entries))

    def circuits(self, number: int, free: int, size: int = 30) -> list[io.Action]:
        return self.give(io.OfficeHeard(addr(number), True, True, 0, io.LoadReport(free=free, size=size)))

    def offer(self, cls: int = 0, dest: int = 1, patience: int = 3 * SECOND, **kw: object) -> io.CallOffered:
        self.names += 1
        width = self.s.classes[cls].width
        offer = io.CallOffered(f"c{self.names}", cls, dest, width, self.now + patience)
        return replace(offer, **kw)  # type: ignore[arg-type]

    def call(self, cls: int = 0, dest: int = 1, patience: int = 3 * SECOND, **kw: object) -> list[io.Action]:
        return self.give(self.offer(cls, dest, patience, **kw))

    def stand(self, call: str, took: int = 20 * MS) -> list[io.Action]:
        leg, office = self.out[call]
        return self.give(io.CallStands(call, leg, office, took))

    def end(
        self,
        call: str,
        outcome: io.Outcome,
        cause: io.Cause = io.Cause.NONE,
        settled: bool = False,
        report: io.LoadReport | None = None,
        took: int = 20 * MS,
    ) -> list[io.Action]:
        leg, office = self.out[call]
        return self.give(io.AttemptEnded(call, leg, office, outcome, cause, settled, took, 0, report))

    def run(self, until: int) -> list[io.Action]:
        """Let the clock run and deliver the timers that fall due."""
        actions: list[io.Action] = []
        while True:
            self.timers.sort()
            if not self.timers or self.timers[0][0] > until:
                break
            due, token = self.timers.pop(0)
            self.now = max(self.now, due)
            actions += self.give(io.TimerDue(token))
        self.now = max(self.now, until)
        return actions


def sends(actions: list[io.Action]) -> list[io.Send]:
    return [a for a in actions if isinstance(a, io.Send)]


def refused(actions: list[io.Action]) -> list[io.Action]:
    return [a for a in actions if isinstance(a, io.Refuse | io.Abandon)]
