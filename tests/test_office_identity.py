"""When an office that has lost its links is taken for the one of before."""

import pytest

from eiderstep.node.office_identity import NEWS_DELAY, REDIAL_TIME, SIMULTANEOUS, LinkLoss, OfficeIdentities

MS = 1_000_000
SECOND = 1000 * MS
NOW = 1_000 * SECOND
OFFICE = "s-one"


def in_doubt() -> OfficeIdentities:
    """Identities with an office of 40 circuits whose links were all lost at NOW."""
    identities = OfficeIdentities()
    identities.group_reported(OFFICE, 40, 3, 3)
    identities.link_lost(NOW, OFFICE, LinkLoss.BY_OFFICE, 1)
    identities.link_lost(NOW, OFFICE, LinkLoss.BY_OFFICE, 0)
    assert identities.in_doubt(OFFICE)
    return identities


@pytest.mark.parametrize(
    ("loss", "links_left", "doubtful"),
    [
        (LinkLoss.BY_OFFICE, 0, True),
        (LinkLoss.BY_OFFICE, 1, False),
        (LinkLoss.CLOSED_HERE, 0, False),
        (LinkLoss.SILENT, 0, True),
        (LinkLoss.SILENT, 1, True),
        (LinkLoss.SILENT_BESIDE_LIVE_LINK, 1, False),
    ],
)
def test_losses_that_put_an_office_in_doubt(loss: LinkLoss, links_left: int, doubtful: bool) -> None:
    identities = OfficeIdentities()
    identities.link_lost(NOW, OFFICE, loss, links_left)
    assert identities.in_doubt(OFFICE) == doubtful


@pytest.mark.parametrize(
    ("gap", "doubtful"),
    [
        (0, True),
        (SIMULTANEOUS, True),
        (SIMULTANEOUS + 1, False),
        (REDIAL_TIME - 1, False),
        (REDIAL_TIME, True),
    ],
)
def test_links_lost_one_by_one_do_not_show_that_the_process_ended(gap: int, doubtful: bool) -> None:
    identities = OfficeIdentities()
    identities.link_lost(NOW, OFFICE, LinkLoss.BY_OFFICE, 1)
    identities.link_lost(NOW + gap, OFFICE, LinkLoss.BY_OFFICE, 0)
    assert identities.in_doubt(OFFICE) == doubtful


def test_refused_link_puts_an_office_in_doubt_that_had_links_before() -> None:
    identities = OfficeIdentities()
    identities.link_refused(OFFICE)
    assert not identities.in_doubt(OFFICE)  # it was never linked
    identities.link_lost(NOW, OFFICE, LinkLoss.CLOSED_HERE, 0)
    identities.link_refused(OFFICE)
    assert identities.in_doubt(OFFICE)


@pytest.mark.parametrize(
    ("size", "in_use", "standing", "same"),
    [(40, 3, 3, True), (40, 9, 3, True), (40, 2, 3, False), (40, 0, 0, False), (30, 3, 3, False)],
)
def test_group_with_the_calls_of_before_confirms(size: int, in_use: int, standing: int, same: bool) -> None:
    identities = in_doubt()
    assert identities.group_reported(OFFICE, size, in_use, standing) == same
    assert identities.in_doubt(OFFICE) != same
    assert not identities.group_reported(OFFICE, 40, 3, 3) or not same


def test_change_log_that_tells_of_no_other_office_confirms() -> None:
    identities = in_doubt()
    assert identities.list_heard(NOW + 60 * SECOND) == []  # without a link nobody has accepted one
    identities.link_up(NOW + SECOND, OFFICE)
    identities.link_up(NOW + 2 * SECOND, OFFICE)
    assert identities.list_heard(NOW + SECOND + NEWS_DELAY - 1) == []
    assert identities.list_heard(NOW + SECOND + NEWS_DELAY) == [OFFICE]
    assert not identities.in_doubt(OFFICE)


def test_second_silent_link_does_not_start_the_doubt_anew_while_a_new_link_is_open() -> None:
    identities = OfficeIdentities()
    identities.link_lost(NOW, OFFICE, LinkLoss.SILENT, 1)
    identities.link_up(NOW + 100 * MS, OFFICE)
    identities.link_lost(NOW + 200 * MS, OFFICE, LinkLoss.SILENT, 1)
    assert identities.list_heard(NOW + 100 * MS + NEWS_DELAY) == [OFFICE]


def test_doubt_starts_anew_when_the_new_link_is_lost_too() -> None:
    identities = in_doubt()
    identities.link_up(NOW + SECOND, OFFICE)
    identities.link_lost(NOW + 2 * SECOND, OFFICE, LinkLoss.SILENT, 0)
    assert identities.list_heard(NOW + 60 * SECOND) == []


def test_list_entry_confirms_and_the_end_of_an_office_forgets_it() -> None:
    assert in_doubt().confirm(OFFICE)
    assert not OfficeIdentities().confirm(OFFICE)
    identities = in_doubt()
    identities.forget(OFFICE)
    assert not identities.in_doubt(OFFICE)
    identities.link_refused(OFFICE)
    assert not identities.in_doubt(OFFICE)
