"""How long set-ups rely on the list of offices while the change log is not heard."""

from eiderstep import interface as io
from eiderstep.node.list_validity import SEND_MARGIN, ListValidity
from tests import rig
from tests.rig import MS, SECOND, Rig, address, final_answers, sends

START = 1_000 * SECOND
GRACE = SECOND // 2
WAIT = SECOND  # that a poll allows the change log


def validity() -> ListValidity:
    return ListValidity(GRACE, START)


def limit(heard_until: int) -> int:
    return heard_until + 7 * SECOND + GRACE - SEND_MARGIN


def test_list_of_the_configuration_is_valid_from_the_start_of_the_process() -> None:
    assert validity().valid_until == limit(START)


def test_answer_without_events_confirms_the_list_up_to_the_end_of_its_wait() -> None:
    heard = validity()
    heard.answered(START + SECOND, WAIT, START + 2 * SECOND, had_events=False)
    assert heard.valid_until == limit(START + 2 * SECOND)
    heard.answered(START + 3 * SECOND, WAIT, START + 9 * SECOND, had_events=False)  # slow, made unknown when
    assert heard.valid_until == limit(START + 4 * SECOND)


def test_answer_with_events_or_before_its_time_confirms_the_list_up_to_the_question() -> None:
    heard = validity()
    heard.answered(START + SECOND, WAIT, START + 5 * SECOND, had_events=True)
    assert heard.valid_until == limit(START + SECOND)
    heard.answered(START + 2 * SECOND, WAIT, START + 2 * SECOND + 10 * MS, had_events=False)
    assert heard.valid_until == limit(START + 2 * SECOND)
    heard.answered(START + 3 * SECOND, 0, START + 3 * SECOND + 10 * MS, had_events=False)
    assert heard.valid_until == limit(START + 3 * SECOND)


def test_answer_that_others_have_overtaken_does_not_shorten_the_validity() -> None:
    heard = validity()
    heard.answered(START + 5 * SECOND, WAIT, START + 6 * SECOND, had_events=False)
    heard.answered(START + SECOND, WAIT, START + 7 * SECOND, had_events=True)
    assert heard.valid_until == limit(START + 6 * SECOND)
    assert heard.age(START + 8 * SECOND) == 2 * SECOND


def test_break_confirms_the_list_and_a_move_limits_it_to_four_seconds() -> None:
    heard = validity()
    heard.broke_off(START + SECOND)
    assert heard.valid_until == limit(START + SECOND)
    heard.moved(START + 2 * SECOND)
    assert heard.valid_until == START + 2 * SECOND + 4 * SECOND + GRACE - SEND_MARGIN
    late = validity()
    late.moved(START + 60 * SECOND)  # the list was older already
    assert late.valid_until == limit(START)


def outdated_rig() -> Rig:
    """A controller with two offices whose list becomes outdated in a second."""
    server = Rig(rig.build_settings(), numbers=(0, 1, 2))
    for number in (1, 2):
        server.report_circuits(number, free=20)
    server.handle(io.ListConfirmed(server.now + SECOND))
    return server


def test_nothing_is_sent_to_any_office_while_the_list_is_outdated() -> None:
    # Guards against set-ups to an office whose drain counts as told, though the change log is down.
    server = outdated_rig()
    assert sends(server.offer_call())
    server.run_until(server.now + SECOND)
    for dest in (1, 2):
        assert not sends(server.offer_call(dest=dest))
    assert final_answers(server.offer_call(transit=True, hint=2))


def test_held_calls_are_sent_as_soon_as_the_list_is_confirmed() -> None:
    server = outdated_rig()
    server.run_until(server.now + SECOND)
    assert not final_answers(server.offer_call(dest=1) + server.offer_call(dest=2))
    server.run_until(server.now + 100 * MS)
    sent = sends(server.handle(io.ListConfirmed(server.now + SECOND)))
    assert {action.office for action in sent} == {address(1), address(2)}


def test_calls_are_refused_at_once_in_a_long_outage() -> None:
    server = outdated_rig()
    server.run_until(server.now + 20 * SECOND)
    assert final_answers(server.offer_call())


def test_without_a_confirmation_the_list_is_valid_without_limit() -> None:
    server = Rig(rig.build_settings(), numbers=(0, 1))
    server.report_circuits(1, free=20)
    server.run_until(server.now + 3600 * SECOND)
    assert sends(server.offer_call())
