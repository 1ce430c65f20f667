"""What callers may cost, decided without I/O."""

from eiderstep.node.bounds import SPEAK, Bounds

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
