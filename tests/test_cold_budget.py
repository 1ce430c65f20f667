"""The budget of a cold office: fleets of any size keep it together, and use it."""

import math

import pytest

from eiderstep import interface as io
from eiderstep.policy.cold_budget import COLD_BUDGET_SHARE, ColdBudget

MS = 1_000_000
SECOND = 1000 * MS
STARTED = 1_000 * SECOND
RATE = 18.7  # set-ups a second of a warm office


def settings(controllers: int, ordinal: int, **changes: float) -> io.Settings:
    return io.Settings(
        classes=(), controllers=controllers, ordinal=ordinal, cold_multiple=changes.get("multiple", 4.0),
        cold_window=2 * SECOND, cold_share=0.31, cold_time=14 * SECOND,
    )  # fmt: skip


def saturate(controllers: int, rate: float = RATE) -> list[int]:
    """Times (ns since the start) of the set-ups that controllers with endless demand send."""
    budgets = [ColdBudget(settings(controllers, ordinal), STARTED) for ordinal in range(controllers)]
    sent = []
    for age in range(0, 14 * SECOND, 10 * MS):
        for budget in budgets:
            while budget.allows(STARTED + age, rate):
                budget.record_send(STARTED + age)
                sent.append(age)
    return sent


def fleet_budget(rate: float = RATE) -> float:
    """Set-ups that a cold office bears in a window."""
    return 4 * 0.31 * rate * 2


# Parts of 0.1 to 5.3 set-ups in a window, among them some just above and just below a whole number.
@pytest.mark.parametrize("controllers", [7, 12, 13, 18, 19, 24, 35, 36, 37, 38, 48, 60, 120, 370])
def test_fleet_stays_within_the_limit_of_a_cold_office_and_uses_its_budget(controllers: int) -> None:
    # Guards against parts that are rounded up: all controllers together sent up to twice the budget.
    sent = saturate(controllers)
    budget = fleet_budget()
    worst = max(sum(at - 2 * SECOND < other <= at for other in sent) for at in sorted(set(sent)))
    assert worst <= budget + 2 * math.sqrt(budget) + 2
    due = COLD_BUDGET_SHARE * budget * 14 / 2
    assert 0.9 * due <= len(sent) <= 1.1 * due


def test_part_just_above_a_whole_number_is_not_rounded_up() -> None:
    sent = saturate(36)  # 1.03 set-ups in a window each
    assert sum(at < 2 * SECOND for at in sent) <= COLD_BUDGET_SHARE * fleet_budget() + 1


def test_next_open_is_when_a_set_up_is_allowed_again() -> None:
    for controllers in (7, 24, 36, 60):
        budget, now = ColdBudget(settings(controllers, 3), STARTED), STARTED
        while now < STARTED + 9 * SECOND:
            while budget.allows(now, RATE):
                budget.record_send(now)
            now = budget.next_open(now, RATE)
            assert not budget.allows(now - 2 * MS, RATE)
            assert budget.allows(now, RATE)


def test_warm_office_has_no_budget_and_a_budget_of_nothing_allows_nothing() -> None:
    assert ColdBudget(settings(36, 0), 0).allows(STARTED, RATE)
    assert ColdBudget(settings(36, 0), STARTED).allows(STARTED + 14 * SECOND, RATE)
    nothing = ColdBudget(settings(36, 0, multiple=0.0), STARTED)
    assert not nothing.allows(STARTED + SECOND, RATE)
    assert nothing.next_open(STARTED + SECOND, RATE) > STARTED + 14 * SECOND
