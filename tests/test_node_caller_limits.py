"""Limits on callers' connections and message rates."""

import pytest

from eiderstep.node.caller_limits import (
    FIRST_MESSAGE_TIMEOUT,
    MAX_READ_PAUSE,
    REFUSAL_COST,
    SOURCE_ALLOWANCE,
    SOURCE_RATE,
    TOTAL_RATE,
    CallerLimits,
)

SECOND = 1_000_000_000


def limits_at_capacity(weights: dict[int, int]) -> CallerLimits:
    """Limits at capacity with the flows in `weights`, each of which has sent a message."""
    limits = CallerLimits(64)
    limits.max_connections = len(weights)
    for flow in weights:
        assert limits.admit(0, flow, "x", lambda other: weights[other]) is None
        limits.message_received(flow)
    return limits


def test_callers_get_a_share_of_the_descriptors() -> None:
    assert CallerLimits(256).max_connections == 153


@pytest.mark.parametrize(
    ("sockets", "links", "allowed"),
    [(256, 94, 130), (256, 0, 153), (256, 500, 85), (1024, 94, 614), (1024, 500, 492), (64, 10, 22)],
)
def test_descriptors_are_left_for_links_and_the_change_log(sockets: int, links: int, allowed: int) -> None:
    # Guards against callers that take the descriptors with which the change log has to be reached.
    limits = CallerLimits(sockets)
    limits.reserve_links(links)
    assert limits.max_connections == allowed


def test_connections_beyond_a_new_reservation_are_closed_but_none_with_an_open_set_up() -> None:
    limits = CallerLimits(64)
    weights = {flow: (2, 0, 1)[flow % 3] for flow in range(32)}
    for flow in weights:
        assert limits.admit(0, flow, "x", lambda other: weights[other]) is None
    assert limits.surplus(lambda flow: weights[flow]) == []
    limits.reserve_links(100)
    surplus = limits.surplus(lambda flow: weights[flow])
    assert surplus == [1, 4, 7, 10, 13, 16, 19, 22, 25, 28, 31]  # 21 are left


def test_connections_of_the_source_with_most_are_evicted_first() -> None:
    # Guards against closing the connections of usual callers while another source holds hundreds.
    limits = CallerLimits(256)
    limits.max_connections = 4
    for flow, source in ((1, "usual"), (2, "many"), (3, "many"), (4, "many")):
        limits.admit(0, flow, source, lambda flow: 0)
        limits.message_received(flow)
    assert limits.admit(0, 5, "other", lambda flow: 0) == 2
    limits.remove(2)
    assert limits.connections_by_source["many"] == 2
    for flow in (2, 3, 4):  # one of them for the second time
        limits.remove(flow)
    assert limits.connections_by_source == {"usual": 1, "other": 1}


def test_oldest_silent_connection_is_evicted_first() -> None:
    limits = limits_at_capacity({1: 0, 2: 0})
    limits.max_connections = 4
    for flow in (3, 4):
        assert limits.admit(0, flow, "x", lambda flow: 0) is None
    assert limits.admit(0, 5, "x", lambda flow: 0) == 3
    limits.remove(3)
    assert limits.admit(0, 6, "x", lambda flow: 0) == 4


def test_least_recently_used_connection_without_calls_is_evicted_next() -> None:
    weights = {1: 2, 2: 1, 3: 0, 4: 0, 5: 0}
    limits = limits_at_capacity({flow: weights[flow] for flow in (1, 2, 3, 4)})
    limits.message_received(3)
    assert limits.admit(0, 5, "x", lambda flow: weights[flow]) == 4


def test_connection_with_standing_calls_is_evicted_but_none_with_an_open_set_up() -> None:
    weights = {1: 2, 2: 1, 3: 0}
    assert limits_at_capacity({1: 2, 2: 1}).admit(0, 3, "x", lambda flow: weights[flow]) == 2
    weights = {1: 2, 2: 2, 3: 0}
    assert limits_at_capacity({1: 2, 2: 2}).admit(0, 3, "x", lambda flow: weights[flow]) == 3


def test_connection_without_a_message_times_out() -> None:
    limits = limits_at_capacity({1: 0})
    limits.max_connections = 9
    limits.admit(SECOND, 2, "x", lambda flow: 0)
    assert limits.silent_connections(SECOND + FIRST_MESSAGE_TIMEOUT - 1) == []
    assert limits.silent_connections(SECOND + FIRST_MESSAGE_TIMEOUT) == [2]
    limits.message_received(2)
    assert limits.silent_connections(9 * SECOND) == []


def limits_with_connections(*sources: str) -> CallerLimits:
    limits = CallerLimits(1024)
    for flow, source in enumerate(sources):
        limits.admit(0, flow, source, lambda flow: 0)
    return limits


def test_source_over_its_rate_is_paused_on_all_its_connections() -> None:
    limits = limits_with_connections("flood", "flood", "calm")
    assert limits.charge_messages(SECOND, 0, SOURCE_RATE) == 0
    assert limits.charge_messages(SECOND, 1, 100) == SECOND // 10
    assert limits.charge_messages(SECOND, 0, 10 * SOURCE_RATE) == MAX_READ_PAUSE
    assert limits.charge_messages(SECOND, 2, 100) == 0
    assert limits.charge_messages(60 * SECOND, 0, SOURCE_RATE) == 0  # the backlog has drained


def test_over_the_total_rate_each_source_is_paused_for_its_excess() -> None:
    limits = limits_with_connections(*(f"flood {n}" for n in range(10)), "calm")
    for flow in range(6):
        assert limits.charge_messages(SECOND, flow, TOTAL_RATE // 6) == 0
    assert limits.charge_messages(SECOND, 10, SOURCE_ALLOWANCE) == 0  # the calm one is within its allowance
    assert limits.charge_messages(SECOND, 7, SOURCE_ALLOWANCE + 100) == SECOND // 10
    assert limits.charge_messages(SECOND, 99, 10 * SOURCE_RATE) == 0  # not a caller's flow


def test_refusals_count_against_their_source() -> None:
    """Guards against a caller that sends the same again as soon as it is refused."""
    limits = limits_with_connections("flood", "calm")
    refused = SOURCE_RATE // (1 + REFUSAL_COST)
    assert limits.charge_messages(SECOND, 0, refused) == 0
    limits.charge_refusals(SECOND, 0, refused)
    limits.charge_refusals(SECOND, 99, refused)  # not a caller's flow
    assert limits.charge_messages(SECOND, 0, 101) == SECOND // 10
    assert limits.charge_messages(SECOND, 1, 101) == 0


def test_number_of_tracked_sources_is_bounded() -> None:
    limits = limits_with_connections(*(f"{n}" for n in range(5000)))
    for flow in range(5000):
        limits.charge_messages(SECOND, flow, 1)
    assert len(limits.source_buckets) == 4096
