"""Releases that wait for a connection, or that a lost connection may not have delivered."""

from eiderstep.node.pending_releases import LOSS_WINDOW, MAX_PENDING_TIME, PendingReleases

NOW = 10**15
OFFICE, DATA = "s-one", b"release"


def written(references: tuple[str, ...] = ("a",), flow: int = 1) -> PendingReleases:
    releases = PendingReleases()
    for reference in references:
        releases.mark_written(NOW, flow, OFFICE, reference, DATA)
    return releases


def test_release_waits_for_a_connection_for_a_limited_time() -> None:
    for age, expected in ((MAX_PENDING_TIME, [("a", DATA)]), (MAX_PENDING_TIME + 1, [])):
        releases = PendingReleases()
        releases.add(NOW, OFFICE, "a", DATA)
        assert releases.take_pending(NOW + age, OFFICE) == expected
        assert not releases


def test_release_written_shortly_before_its_connection_is_lost_is_sent_again() -> None:
    releases = written()
    assert releases.connection_lost(NOW + LOSS_WINDOW, 1) == {OFFICE}
    assert releases.take_pending(NOW + LOSS_WINDOW, OFFICE) == [("a", DATA)]
    assert written().connection_lost(NOW + LOSS_WINDOW + 1, 1) == set()


def test_confirmed_and_withdrawn_releases_are_not_sent_again() -> None:
    releases = written(("a", "b", "c"))
    releases.confirm(1, "a")
    releases.confirm(2, "b")  # on another connection
    releases.withdraw("b", (2, 1))
    assert releases.connection_lost(NOW, 1) == {OFFICE}
    assert releases.take_pending(NOW, OFFICE) == [("c", DATA)]


def test_releases_past_their_time_leave_nothing() -> None:
    releases = written(("a", "b"))
    releases.add(NOW, "s-two", "c", DATA)
    releases.add(NOW + 1, "s-two", "d", DATA)
    releases.discard_expired(NOW + LOSS_WINDOW)
    assert releases.unconfirmed and releases.pending
    releases.discard_expired(NOW + LOSS_WINDOW + 1)
    assert not releases.unconfirmed
    releases.discard_expired(NOW + MAX_PENDING_TIME + 1)
    assert set(releases.pending["s-two"]) == {"d"}
    releases.discard_expired(NOW + MAX_PENDING_TIME + 2)
    assert not releases
    confirmed = written()
    confirmed.confirm(1, "a")
    assert not confirmed
