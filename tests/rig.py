"""Test helpers: settings, a driver that checks the five rules on each action, modules run as processes."""

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
VALUABLE = replace(PLAIN, worth=5.0, mean_hold=8 * SECOND)


def run_module(
    name: str, text: str = "", environ: Mapping[str, str] | None = None
) -> subprocess.CompletedProcess[str]:
    """Run `python -m name` and wait for it to end."""
    return subprocess.run(
        [sys.executable, "-m", name], input=text, env=environ, cwd=ROOT, capture_output=True, text=True,
        timeout=60, check=False,
    )  # fmt: skip


def build_settings(**changes: object) -> io.Settings:
    """Settings with three classes and four controllers, with these fields changed."""
    base = io.Settings(
        classes=(PLAIN, WIDE, VALUABLE),
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


def office_entry(number: int, state: io.OfficeState = io.OfficeState.UP, started: int = 0) -> io.OfficeEntry:
    return io.OfficeEntry(f"10.0.0.{number}:1", number, state, started)


def address(number: int) -> str:
    """The name under which the office of that number is listed."""
    return f"10.0.0.{number}:1"


class Rig:
    """One controller and its clock, with records of events and actions to check the five rules against."""

    def __init__(self, settings: io.Settings, seed: int = 1, numbers: tuple[int, ...] = (0, 1, 2, 3)) -> None:
        self.settings = settings
        self.controller = Controller(settings, seed)
        self.now = 1000 * SECOND
        self.call_count = 0
        self.timers: list[tuple[int, int]] = []
        self.expires: dict[str, int] = {}
        self.answered_at: dict[str, int] = {}  # calls that need no answer (any more)
        self.attempts: dict[str, tuple[int, str]] = {}  # in progress or standing: leg and office
        self.attempt_counts: dict[str, int] = {}
        self.not_before: dict[str, int] = {}
        self.stopped_at: dict[str, int] = {}
        self.cold_started_at: dict[str, int] = {}
        self.cold_sends: dict[str, list[int]] = {}
        self.update_list(io.ListKind.COMPLETE, *(office_entry(n) for n in numbers))

    def handle(self, *events: io.Event) -> list[io.Action]:
        """Pass the events to the controller and check its actions."""
        for event in events:
            self._record_event(event)
        actions = self.controller.handle(self.now, list(events))
        for action in actions:
            self._check_action(action)
        return actions

    def _record_event(self, event: io.Event) -> None:
        if isinstance(event, io.CallOffered):
            self.expires[event.call] = event.expires
        elif isinstance(event, io.CallGone):
            self.answered_at.setdefault(event.call, self.now)
        elif isinstance(event, io.AttemptEnded):
            self.attempts.pop(event.call, None)
            if event.call_over:
                self.answered_at.setdefault(event.call, self.now)
            if event.outcome in (io.Outcome.NO_ANSWER, io.Outcome.CUT, io.Outcome.CANCELLED):
                self.not_before[event.call] = self.now + self.settings.release_wait
        elif isinstance(event, io.OfficeList) and event.kind is not io.ListKind.FAILED:
            named = {e.office for e in event.entries}
            for entry in event.entries:
                if entry.state is io.OfficeState.UP:
                    self.stopped_at.pop(entry.office, None)
                    if entry.started:
                        self.cold_started_at[entry.office] = entry.started
                else:
                    self.stopped_at.setdefault(entry.office, self.now)
            if event.kind is not io.ListKind.CHANGES:
                for n in range(40):
                    if address(n) not in named:
                        self.stopped_at.setdefault(address(n), self.now)

    def _check_action(self, action: io.Action) -> None:
        if isinstance(action, io.SetTimer):
            self.timers.append((action.due, action.token))
        elif isinstance(action, io.Refuse | io.Abandon):
            assert action.call not in self.answered_at, "a call got a second final answer"
            assert self.now <= self.expires[action.call] + self.settings.answer_slack, (
                "a call was answered later than its expiry and the slack allow"
            )
            self.answered_at[action.call] = self.now
        elif isinstance(action, io.Send):
            assert action.call in self.expires and action.call not in self.answered_at, (
                "a set-up was sent for an unknown or answered call"
            )
            assert action.call not in self.attempts, "a call has two attempts at a time"
            leg = self.attempt_counts.get(action.call, 0)
            assert leg < self.settings.attempt_cap, "a call has more attempts than the cap allows"
            assert action.office not in self.stopped_at, (
                "a set-up was sent to an office that drains or is gone"
            )
            assert self.now >= self.not_before.get(action.call, 0), (
                "a set-up was sent before the release wait was over"
            )
            assert action.office != address(self.settings.own_number)
            self.attempt_counts[action.call] = leg + 1
            self.attempts[action.call] = (leg, action.office)
            started = self.cold_started_at.get(action.office)
            if started is not None and self.now - started < self.settings.cold_time:
                sends = self.cold_sends.setdefault(action.office, [])
                sends.append(self.now)

    def update_list(self, kind: io.ListKind, *entries: io.OfficeEntry) -> list[io.Action]:
        return self.handle(io.OfficeList(kind, entries))

    def report_circuits(self, number: int, free: int, size: int = 30) -> list[io.Action]:
        return self.handle(
            io.OfficeHeard(address(number), True, True, 0, io.LoadReport(free=free, size=size))
        )

    def make_offer(
        self, class_no: int = 0, dest: int = 1, expires_in: int = 3 * SECOND, **changes: object
    ) -> io.CallOffered:
        self.call_count += 1
        width = self.settings.classes[class_no].width
        offer = io.CallOffered(f"c{self.call_count}", class_no, dest, width, self.now + expires_in)
        return replace(offer, **changes)  # type: ignore[arg-type]

    def offer_call(
        self, class_no: int = 0, dest: int = 1, expires_in: int = 3 * SECOND, **changes: object
    ) -> list[io.Action]:
        return self.handle(self.make_offer(class_no, dest, expires_in, **changes))

    def answer_call(self, call: str, elapsed: int = 20 * MS) -> list[io.Action]:
        leg, office = self.attempts[call]
        return self.handle(io.CallStands(call, leg, office, elapsed))

    def end_attempt(
        self,
        call: str,
        outcome: io.Outcome,
        cause: io.Cause = io.Cause.NONE,
        call_over: bool = False,
        report: io.LoadReport | None = None,
        elapsed: int = 20 * MS,
    ) -> list[io.Action]:
        leg, office = self.attempts[call]
        return self.handle(io.AttemptEnded(call, leg, office, outcome, cause, call_over, elapsed, 0, report))

    def run_until(self, until: int) -> list[io.Action]:
        """Advance the clock and deliver the timers that fall due."""
        actions: list[io.Action] = []
        while True:
            self.timers.sort()
            if not self.timers or self.timers[0][0] > until:
                break
            due, token = self.timers.pop(0)
            self.now = max(self.now, due)
            actions += self.handle(io.TimerDue(token))
        self.now = max(self.now, until)
        return actions


def sends(actions: list[io.Action]) -> list[io.Send]:
    return [a for a in actions if isinstance(a, io.Send)]


def final_answers(actions: list[io.Action]) -> list[io.Action]:
    """Refusals and abandoned calls."""
    return [a for a in actions if isinstance(a, io.Refuse | io.Abandon)]
