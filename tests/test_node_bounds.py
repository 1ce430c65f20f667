"""What callers may cost, decided without I/O."""

from eiderstep.node.bounds import ALL, LONGEST_PAUSE, PART, RATE, SPEAK, Bounds

SECOND = 1_000_000_000


def full(weights: dict[int, int]) -> Bounds:
    """At its limit with the flows that `weights` names, all of which have spoken."""
    bounds = Bounds(64)
    bounds.most = len(weights)
    for flow in weights:
        assert bounds.came(0, flow, "x", lambda f: weights[f]) is None
        bounds.spoke(flow)
    return bounds


def test_a_share_of_the_descriptors_is_for_callers() -> None:
    assert Bounds(256).most == 153


def test_silent_ones_go_first_the_oldest_of_them() -> None:
    bounds = full({1: 0, 2: 0})
    bounds.most = 4
    for flow in (3, 4):
        assert bounds.came(0, flow, "x", lambda f: 0) is None
    assert bounds.came(0, 5, "x", lambda f: 0) == 3
    bounds.closed(3)
    assert bounds.came(0, 6, "x", lambda f: 0) == 4


def test_then_the_longest_unused_without_a_call() -> None:
    weights = {1: 2, 2: 1, 3: 0, 4: 0, 5: 0}
    bounds = full({f: weights[f] for f in (1, 2, 3, 4)})
    bounds.spoke(3)
    assert bounds.came(0, 5, "x", lambda f: weights[f]) == 4


def test_one_where_calls_stand_goes_before_the_new_one_but_none_with_a_set_up_open() -> None:
    weights = {1: 2, 2: 1, 3: 0}
    assert full({1: 2, 2: 1}).came(0, 3, "x", lambda f: weights[f]) == 2
    weights = {1: 2, 2: 2, 3: 0}
    assert full({1: 2, 2: 2}).came(0, 3, "x", lambda f: weights[f]) == 3


def test_a_connection_has_to_speak() -> None:
    bounds = full({1: 0})
    bounds.most = 9
    bounds.came(SECOND, 2, "x", lambda f: 0)
    assert bounds.late(SECOND + SPEAK - 1) == []
    assert bounds.late(SECOND + SPEAK) == [2]
    bounds.spoke(2)
    assert bounds.late(9 * SECOND) == []


def doors(*sources: str) -> Bounds:
    bounds = Bounds(1024)
    for flow, source in enumerate(sources):
        bounds.came(0, flow, source, lambda f: 0)
    return bounds


def test_a_source_over_its_rate_is_not_read_for_a_while_whichever_connection_it_uses() -> None:
    bounds = doors("flood", "flood", "calm")
    assert bounds.pour(SECOND, 0, RATE) == 0
    assert bounds.pour(SECOND, 1, 100) == SECOND // 10
    assert bounds.pour(SECOND, 0, 10 * RATE) == LONGEST_PAUSE
    assert bounds.pour(SECOND, 2, 100) == 0
    assert bounds.pour(60 * SECOND, 0, RATE) == 0  # it has run off


def test_many_sources_together_are_slowed_by_what_each_has_above_its_part() -> None:
    bounds = doors(*(f"flood {n}" for n in range(10)), "calm")
    for flow in range(6):
        assert bounds.pour(SECOND, flow, ALL // 6) == 0
    assert bounds.pour(SECOND, 10, PART) == 0  # the calm one, in the thick of it
    assert bounds.pour(SECOND, 7, PART + 100) == SECOND // 10
    assert bounds.pour(SECOND, 99, 10 * RATE) == 0  # nobody's flow: what we dialled


def test_sources_remembered_are_bounded() -> None:
    bounds = doors(*(f"{n}" for n in range(5000)))
    for flow in range(5000):
        bounds.pour(SECOND, flow, 1)
    assert len(bounds.sources) == 4096
