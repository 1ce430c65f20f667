"""One controller's part of the set-up budget of a cold office (rule 4).  No I/O, no clock.  Times in ns."""

from __future__ import annotations

from collections import deque

from eiderstep import interface as io

SECOND = 1_000_000_000
COLD_BUDGET_SHARE = 0.8  # of this controller's part of the budget
TURN_LENGTH = 1 / 2  # windows; a turn that is not used by then lapses
MIN_QUOTA = 1e-9  # set-ups in a window; keeps the time between two turns finite


class ColdBudget:
    """Set-ups that this controller may send to an office until it is warm.

    All controllers divide the budget of a window evenly.  Each may send the whole number of set-ups in its
    part at any time.  If all rounded the rest up, they would send up to twice the budget together, so for the
    rest they take turns in the order of their ordinals: one set-up more in each turn.
    """

    def __init__(self, settings: io.Settings, started: int) -> None:
        """`started`: when the office started; 0 if it is warm."""
        self.settings, self.started = settings, started
        self.sends: deque[int] = deque()  # times of own set-ups in the last window

    def is_cold(self, now: int) -> bool:
        """Whether the office is still cold."""
        return bool(self.started) and now - self.started < self.settings.cold_time

    def record_send(self, now: int) -> None:
        """A set-up was sent to the office."""
        if self.is_cold(now):
            self.sends.append(now)

    def quota(self, rate: float) -> float:
        """Set-ups in a window that are due to this controller; `rate`: set-ups/s of a warm office."""
        settings = self.settings
        budget = settings.cold_multiple * settings.cold_share * rate * settings.cold_window / SECOND
        return COLD_BUDGET_SHARE * budget / settings.controllers

    def mean_interval(self, rate: float) -> int:
        """Mean time between two set-ups that are due to this controller."""
        return int(self.settings.cold_window / max(self.quota(rate), MIN_QUOTA))

    def allows(self, now: int, rate: float) -> bool:
        """Whether a set-up may be sent now."""
        if not self.is_cold(now) or not self.settings.cold_window:
            return True
        while self.sends and self.sends[0] <= now - self.settings.cold_window:
            self.sends.popleft()
        return self._is_open(now, rate)

    def next_open(self, now: int, rate: float) -> int:
        """When a set-up may be sent next, after `allows` has said that none may be sent now.

        The budget opens at the begin of a turn or when a set-up is a window ago.
        """
        period, since_turn = self._turn(now, rate)
        next_turn = now + int(period - since_turn) + 1
        changes = [*(at + self.settings.cold_window for at in self.sends), next_turn]
        return next((at for at in sorted(changes) if self._is_open(at, rate)), max(changes))

    def _is_open(self, now: int, rate: float) -> bool:
        quota = self.quota(rate)
        whole, sent = int(quota), sum(at > now - self.settings.cold_window for at in self.sends)
        if sent < whole:
            return True
        return quota > 0 and sent == whole and self._is_turn(now, rate)

    def _is_turn(self, now: int, rate: float) -> bool:
        """Whether it is this controller's turn; a turn from before the office's start does not count."""
        _, since_turn = self._turn(now, rate)
        return since_turn <= min(now - self.started, self.settings.cold_window * TURN_LENGTH)

    def _turn(self, now: int, rate: float) -> tuple[float, float]:
        """Time between two turns of this controller, and since the last one began."""
        settings = self.settings
        period = settings.cold_window / max(self.quota(rate) % 1.0, MIN_QUOTA)
        offset = settings.ordinal / settings.controllers * period
        return period, (now - self.started - offset) % period
