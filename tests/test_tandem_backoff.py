"""Backoff of tandems that turned calls back."""

from eiderstep.policy.tandem_backoff import TandemBackoffs

SECOND = 1_000_000_000
MEAN_HOLD = 10 * SECOND
FIRST = SECOND // 2  # 0.05 mean holding times
PAIR, OTHER_PAIR = (1, 2), (1, 3)


def refuse(backoffs: TandemBackoffs, times: int) -> int:
    """Turn calls back at time 0; return the length of the last backoff."""
    for _ in range(times):
        backoffs.record_refusal(0, PAIR, MEAN_HOLD)
    return backoffs.ends_at(PAIR)


def test_backoff_doubles_with_each_call_turned_back() -> None:
    assert [refuse(TandemBackoffs(), times) for times in (1, 2, 3, 6)] == [
        FIRST,
        2 * FIRST,
        4 * FIRST,
        32 * FIRST,
    ]


def test_backoff_of_a_proven_tandem_is_capped() -> None:
    backoffs = TandemBackoffs()
    backoffs.record_success(PAIR)
    assert backoffs.is_proven(PAIR) and not backoffs.is_proven(OTHER_PAIR)
    assert refuse(backoffs, 9) == 8 * FIRST


def test_success_ends_the_backoff_of_its_pair_only() -> None:
    backoffs = TandemBackoffs()
    refuse(backoffs, 3)
    backoffs.record_refusal(0, OTHER_PAIR, MEAN_HOLD)
    assert backoffs.has_turned_back(PAIR)
    backoffs.record_success(PAIR)
    assert (backoffs.ends_at(PAIR), backoffs.has_turned_back(PAIR)) == (0, False)
    assert backoffs.ends_at(OTHER_PAIR) == FIRST
    assert refuse(backoffs, 1) == FIRST
