"""The call table: whatever messages cross, a call gets one answer and one end, and nothing is left behind."""

import pytest

from eiderstep import interface as io
from eiderstep.engine import effects as fx
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.node.calls import CallTable
from eiderstep.node.ended_references import MAX_REFERENCES, EndedReferences
from eiderstep.node.office_identity import LinkLoss
from tests.node_rig import (
    CALL_A,
    CALL_B,
    CALLER,
    LINK,
    MS,
    OFFICE,
    OTHER_CALLER,
    OTHER_LINK,
    OTHER_OFFICE,
    SECOND,
    SETTINGS,
    START,
    CallTableRig,
    ScriptedController,
    answer,
    release,
    set_up,
)  # fmt: skip

Outcome, Cause = io.Outcome, io.Cause


def attempt_ends(table: CallTableRig) -> list[tuple[object, object, bool]]:
    return [
        (event.outcome, event.cause, event.call_over)
        for event in table.take_events(io.AttemptEnded)
        if isinstance(event, io.AttemptEnded)
    ]


def test_call_from_set_up_to_release() -> None:
    table = CallTableRig()
    [(flow, set_up_sent)] = table.offer()
    [offer] = table.take_events(io.CallOffered)
    assert isinstance(offer, io.CallOffered)
    assert (offer.class_no, offer.dest, offer.width, offer.expires) == (0, 1, 1, table.now + 1500 * MS)
    # Class, number and description are forwarded unchanged, the wait is the attempt's, 185 is dropped.
    received = set_up().parameters
    forwarded = {code: received[code] for code in (isup.CLASS, isup.NUMBER, isup.DESCRIPTION)} | {
        isup.GIVE_UP_TIME: b"900"
    }
    assert (flow, set_up_sent) == (LINK, Message(isup.IAM, CALL_A, forwarded))
    table.now += 30 * MS
    assert table.calls.handle_office_message(table.now, LINK, answer())
    assert table.flush() == [(CALLER, answer())]
    assert table.take_events(io.CallStands) == [io.CallStands(CALL_A, 0, OFFICE, 30 * MS)]
    table.advance(1000)
    assert table.calls.handle_office_message(table.now, LINK, release(report="x0:4;x1:40;queue:3"))
    assert table.flush() == [(CALLER, release()), (LINK, Message(isup.RLC, CALL_A))]
    assert table.calls.handle_caller_message(table.now, CALLER, Message(isup.RLC, CALL_A))
    [end] = table.take_events(io.AttemptEnded)
    assert isinstance(end, io.AttemptEnded)
    assert (end.outcome, end.call_over, end.elapsed) == (Outcome.RELEASED, True, 1030 * MS)
    assert end.report == io.LoadReport(free=4, size=40, waiting=3.0)
    assert table.holds_nothing()


@pytest.mark.parametrize(
    ("cause", "diagnostic", "outcome", "why"),
    [
        (34, "atb", Outcome.TURNED_AWAY, Cause.NO_CIRCUIT),
        (34, "rtb", Outcome.TURNED_AWAY, Cause.TANDEM_REFUSED),
        (34, "racc", Outcome.TURNED_AWAY, Cause.BEYOND_FULL),
        (34, "acc", Outcome.TURNED_AWAY, Cause.PROCESSOR_FULL),
        (17, "sub", Outcome.FAULT, Cause.NUMBER_BUSY),
        (47, "", Outcome.FAULT, Cause.NONE),
        (102, "acc", Outcome.NOT_SENT, Cause.PROCESSOR_FULL),
        (41, "", Outcome.CUT, Cause.NONE),
        (16, "", Outcome.CUT, Cause.NONE),
        (88, "odd", Outcome.CUT, Cause.NONE),
    ],
)
def test_release_before_the_answer_ends_the_attempt(
    cause: int, diagnostic: str, outcome: io.Outcome, why: io.Cause
) -> None:
    table = CallTableRig()
    table.offer()
    assert table.calls.handle_office_message(table.now, LINK, release(cause=cause, diagnostic=diagnostic))
    assert table.flush(io.Refuse(CALL_A, 1700 * MS)) == [
        (CALLER, Message(isup.REL, CALL_A, {isup.CAUSE: b"\x2a", isup.PAUSE: b"1700"}))
    ]
    assert attempt_ends(table) == [(outcome, why, False)]
    assert table.holds_nothing()


def test_abandoned_call_is_refused_and_its_attempt_released() -> None:
    table = CallTableRig()
    table.offer()
    sent = table.flush(io.Abandon(CALL_A))
    assert sent == []  # without an event the decider is not called
    table.calls.events.append(io.TimerDue(1))
    assert table.flush() == [(CALLER, release(cause=31)), (LINK, release())]
    assert attempt_ends(table) == [(Outcome.CANCELLED, Cause.NONE, True)]
    assert table.holds_nothing()


def test_answer_that_crosses_the_release_of_a_timed_out_attempt_is_dropped() -> None:
    table = CallTableRig()
    table.offer()
    assert table.advance(900) == [(LINK, release())]
    assert attempt_ends(table) == [(Outcome.NO_ANSWER, Cause.NONE, False)]
    assert table.calls.handle_office_message(table.now, LINK, answer())
    assert table.flush(io.Abandon(CALL_A)) == []  # the late answer causes no event
    assert table.take_events(io.CallStands) == []
    assert table.calls.counters["answers dropped"] == 1


def test_answer_read_after_the_deadline_is_released() -> None:
    table = CallTableRig()
    table.offer()
    table.now += 901 * MS  # after a stall: the timer has not run yet
    assert table.calls.handle_office_message(table.now, LINK, answer())
    assert table.flush() == [(LINK, release())]
    assert attempt_ends(table) == [(Outcome.NO_ANSWER, Cause.NONE, False)]
    assert table.advance(0) == []


def test_call_can_be_sent_again_after_its_attempt_is_cancelled() -> None:
    table = CallTableRig()
    table.offer()
    table.calls.events.append(io.TimerDue(1))
    assert table.flush(io.Cancel(CALL_A, 0)) == [(LINK, release())]
    assert attempt_ends(table) == [(Outcome.CANCELLED, Cause.NONE, False)]
    table.calls.events.append(io.TimerDue(2))
    [(flow, second)] = table.flush(io.Send(CALL_A, OFFICE, 0))
    assert (flow, second.kind) == (LINK, isup.IAM)
    table.calls.events.append(io.TimerDue(3))
    assert table.flush(io.Cancel(CALL_A, 0)) == []  # leg 0 is over; leg 1 is not cancelled
    assert table.calls.handle_office_message(table.now, LINK, answer())
    assert table.flush() == [(CALLER, answer())]


def test_second_concurrent_attempt_of_a_call_is_not_sent() -> None:
    table = CallTableRig()
    table.offer()
    table.calls.events.append(io.TimerDue(1))
    assert table.flush(io.Send(CALL_A, OFFICE, 0)) == []
    assert attempt_ends(table) == [(Outcome.NOT_SENT, Cause.NONE, True)]


def test_second_answers_and_unknown_references_are_dropped() -> None:
    table = CallTableRig()
    table.make_standing()
    for message in (answer(), answer(CALL_B)):
        assert table.calls.handle_office_message(table.now, LINK, message)
    assert table.flush() == []
    assert table.calls.counters["answers dropped"] == 2


def test_invalid_answer_is_not_forwarded_and_closes_the_link() -> None:
    table = CallTableRig()
    table.offer(CALL_A)
    table.offer(CALL_B)
    assert not table.calls.handle_office_message(table.now, LINK, Message(isup.ANM, CALL_A))
    table.calls.link_lost(table.now, LINK)
    assert table.flush() == []
    assert attempt_ends(table) == [(Outcome.CUT, Cause.NONE, False)] * 2  # each set-up on the link, once


@pytest.mark.parametrize("description", ["Gespräch\r\n".encode(), b"\xff\x00\x80", bytes(range(256)), b"\n"])
def test_answer_with_any_bytes_as_description_is_forwarded_unchanged(description: bytes) -> None:
    # Guards against a second attempt of a call that stands, as its description was not ASCII text.
    table = CallTableRig()
    table.offer()
    assert table.calls.handle_office_message(table.now, LINK, answer(description=description))
    assert table.flush() == [(CALLER, answer(description=description))]
    assert table.take_events(io.CallStands) == [io.CallStands(CALL_A, 0, OFFICE, 0)]


def test_lost_link_ends_its_set_ups_once_and_keeps_standing_calls() -> None:
    table = CallTableRig()
    table.make_standing(CALL_A)
    table.offer(CALL_B)
    table.calls.link_lost(table.now, LINK)
    table.calls.link_lost(table.now, LINK)
    table.flush()
    assert attempt_ends(table) == [(Outcome.CUT, Cause.NONE, False)]
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)  # the release comes on the next link
    assert table.calls.handle_office_message(table.now, OTHER_LINK, release(CALL_A))
    assert (CALLER, release(CALL_A)) in table.flush()


def test_set_ups_of_a_lost_link_are_released_over_another_one() -> None:
    # Guards against a call that stands at an office for ever, as its answer was lost with the link.
    table = CallTableRig()
    table.offer(CALL_A)
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)
    table.calls.link_lost(table.now, LINK)
    assert table.flush() == [(OTHER_LINK, release(CALL_A))]
    assert table.calls.handle_office_message(table.now, OTHER_LINK, Message(isup.RLC, CALL_A))
    table.calls.link_lost(table.now, OTHER_LINK)
    table.calls.link_up(table.now, OFFICE, LINK)
    assert table.flush() == []  # a confirmed release is not sent again


def test_release_of_a_lost_attempt_waits_for_a_link_and_precedes_the_next_attempt() -> None:
    # Guards against a call that stands at an office for ever, and against ending the call's next attempt.
    table = CallTableRig()
    table.offer(CALL_A)
    table.calls.link_lost(table.now, LINK)
    table.flush()
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)
    assert table.flush() == [(OTHER_LINK, release(CALL_A))]
    table.calls.identities.confirm(OFFICE)
    table.calls.events.append(io.TimerDue(1))
    [(_, again)] = table.flush(io.Send(CALL_A, OFFICE, table.now + 900 * MS))
    assert again.kind == isup.IAM
    assert table.calls.handle_office_message(table.now, OTHER_LINK, answer(CALL_A))
    table.flush()
    table.calls.link_up(table.now, OFFICE, LINK)
    table.calls.link_lost(table.now, OTHER_LINK)
    assert table.flush() == []  # the release of the first attempt is not sent any more


def test_release_of_a_timed_out_attempt_is_sent_again_if_its_link_is_lost() -> None:
    # Guards against a call that stands at an office for ever, as answer and release were lost with the link.
    table = CallTableRig()
    table.offer(CALL_A)
    assert table.advance(900) == [(LINK, release(CALL_A))]
    table.calls.link_lost(table.now, LINK)
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)
    assert table.flush() == [(OTHER_LINK, release(CALL_A))]


def test_set_ups_on_a_silent_link_end_without_answer() -> None:
    table = CallTableRig()
    table.offer()
    table.calls.link_lost(table.now, LINK, LinkLoss.SILENT)
    table.flush()
    assert attempt_ends(table) == [(Outcome.NO_ANSWER, Cause.NONE, False)]


def test_set_up_waits_for_a_link() -> None:
    table = CallTableRig()
    assert table.offer(office=OTHER_OFFICE) == []
    assert table.effects[-1] == fx.Dial(OTHER_OFFICE)
    table.calls.link_up(table.now, OTHER_OFFICE, OTHER_LINK)
    [(flow, set_up_sent)] = table.flush()
    assert (flow, set_up_sent.kind) == (OTHER_LINK, isup.IAM)
    assert table.advance(500) == []
    assert attempt_ends(table) == []


@pytest.mark.parametrize("kind", [io.ListKind.CHANGES, io.ListKind.COMPLETE])
def test_set_up_that_waits_for_a_link_is_not_sent_to_an_office_that_drains(kind: io.ListKind) -> None:
    # Guards against a set-up after the grace of a drain, where links take longer to come up than that.
    table = CallTableRig()
    table.offer(office=OTHER_OFFICE)
    entries = (
        io.OfficeEntry(OTHER_OFFICE, 2, io.OfficeState.DRAINING),
        io.OfficeEntry(OFFICE, 1, io.OfficeState.UP),
    )
    table.controller.events.clear()
    table.calls.update_offices(table.now, kind, entries)
    table.flush()
    assert [type(event) for event in table.controller.events] == [io.OfficeList, io.AttemptEnded]
    assert attempt_ends(table) == [(Outcome.NOT_SENT, Cause.NONE, False)]
    table.calls.link_up(table.now, OTHER_OFFICE, OTHER_LINK)
    assert table.flush() == []


def test_set_up_that_waits_for_a_link_is_not_sent_once_the_list_is_outdated() -> None:
    table = CallTableRig()
    table.calls.confirm_list(table.now, table.now, table.now + 100 * MS)
    table.offer(office=OTHER_OFFICE)
    table.now += 100 * MS
    table.calls.link_up(table.now, OTHER_OFFICE, OTHER_LINK)
    assert table.flush() == []
    assert attempt_ends(table) == [(Outcome.NOT_SENT, Cause.NONE, False)]


@pytest.mark.parametrize("refused", [True, False])
def test_set_up_without_a_link_ends_as_unreachable(refused: bool) -> None:
    table = CallTableRig()
    table.offer(office=OTHER_OFFICE)
    if refused:
        table.calls.office_unreachable(table.now, OTHER_OFFICE)
        table.flush()
    else:
        table.advance(500)
    assert attempt_ends(table) == [(Outcome.UNREACHABLE, Cause.NONE, False)]
    table.calls.link_up(table.now, OTHER_OFFICE, OTHER_LINK)
    assert table.flush() == []  # the ended set-up is not sent


def test_set_up_is_not_sent_to_an_unlisted_office() -> None:
    table = CallTableRig()
    table.calls.update_offices(
        table.now, io.ListKind.CHANGES, (io.OfficeEntry(OTHER_OFFICE, 2, io.OfficeState.GONE),)
    )
    assert table.offer(office=OTHER_OFFICE) == []
    assert attempt_ends(table) == [(Outcome.UNREACHABLE, Cause.NONE, False)]


def test_caller_gives_up() -> None:
    table = CallTableRig()
    table.offer()
    assert table.calls.handle_caller_message(table.now, CALLER, release())
    assert table.flush(io.Refuse(CALL_A)) == [(LINK, release())]  # no answer to the caller
    assert table.take_events(io.CallGone) == [io.CallGone(CALL_A)]
    assert attempt_ends(table) == [(Outcome.CANCELLED, Cause.NONE, True)]
    assert table.holds_nothing()


def test_loss_of_a_caller_connection_with_an_open_set_up_and_a_standing_call() -> None:
    table = CallTableRig()
    table.make_standing(CALL_A)
    table.offer(CALL_B)
    table.calls.caller_disconnected(table.now, CALLER)
    assert table.flush() == [(LINK, release(CALL_B))]
    # The standing call continues; its release is sent on the next connection from that source.
    assert table.calls.handle_office_message(table.now, LINK, release(CALL_A))
    assert table.flush() == [(LINK, Message(isup.RLC, CALL_A))]
    table.calls.caller_connected(OTHER_CALLER, "caller")
    table.calls.handle_caller_message(table.now, OTHER_CALLER, Message(isup.TEST, CALL_B))
    assert (OTHER_CALLER, release(CALL_A)) in table.flush()
    assert table.holds_nothing()


def test_undeliverable_releases_expire() -> None:
    table = CallTableRig()
    table.make_standing(CALL_A)
    table.calls.caller_disconnected(table.now, CALLER)
    table.calls.link_lost(table.now, LINK)
    table.calls.office_failed(table.now, OFFICE)
    table.flush()
    assert len(table.calls.pending_releases.pending) == 2
    assert table.holds_nothing()


def test_release_on_another_connection_of_the_caller_ends_the_call() -> None:
    table = CallTableRig()
    table.make_standing()
    table.calls.caller_connected(OTHER_CALLER, "caller")
    assert table.calls.handle_caller_message(table.now, OTHER_CALLER, release())
    assert table.flush() == [(LINK, release())]
    assert attempt_ends(table) == [(Outcome.CANCELLED, Cause.NONE, True)]
    assert table.calls.handle_caller_message(table.now, OTHER_CALLER, release())  # a duplicate
    assert table.flush() == []
    assert not table.calls.calls


def test_calls_at_a_dead_office_are_cut() -> None:
    table = CallTableRig()
    table.make_standing()
    table.calls.link_lost(table.now, LINK)
    table.calls.office_failed(table.now, OFFICE)
    assert table.flush() == [(CALLER, release(cause=41))]
    assert attempt_ends(table) == [(Outcome.CUT, Cause.NONE, True)]
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)  # it was only unreachable: it receives the release
    assert table.flush() == [(OTHER_LINK, release(cause=41))]


def test_call_beyond_the_maximum_duration_is_ended() -> None:
    table = CallTableRig()
    table.make_standing()
    sent = table.advance(30 * 2 * SECOND / MS)
    assert sent == [(LINK, release(cause=102)), (CALLER, release(cause=102))]
    assert table.holds_nothing()


def test_reported_standing_call_is_adopted_and_its_release_forwarded() -> None:
    table = CallTableRig()
    report = set_up(pairs=f"dest:1;width:1;via:-1;at:{OFFICE}")
    assert table.calls.handle_caller_message(table.now, CALLER, report)
    assert table.flush() == []  # a report is not answered
    assert table.calls.handle_office_message(table.now, LINK, release())
    assert (CALLER, release()) in table.flush()
    assert table.controller.events == [
        event for event in table.controller.events if not isinstance(event, io.AttemptEnded)
    ]
    assert table.holds_nothing()


def test_report_of_a_standing_call_after_its_release() -> None:
    table = CallTableRig()
    assert table.calls.handle_office_message(table.now, LINK, release())
    table.flush()
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(pairs=f"at:{OFFICE}"))
    assert (CALLER, release()) in table.flush()
    assert not table.calls.unknown_call_ends
    assert table.holds_nothing()


def test_report_of_a_standing_call_at_a_gone_office() -> None:
    table = CallTableRig()
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(pairs="at:s-gone"))
    assert table.flush() == [(CALLER, release(cause=41))]
    assert table.holds_nothing()


def test_report_of_a_known_call_moves_it_only_from_a_lost_connection() -> None:
    table = CallTableRig()
    table.make_standing()
    table.calls.caller_connected(OTHER_CALLER, "caller")
    report = set_up(pairs=f"at:{OFFICE}")
    table.calls.handle_caller_message(table.now, OTHER_CALLER, report)
    assert table.calls.calls[CALL_A].flow == CALLER
    table.calls.caller_disconnected(table.now, CALLER)
    table.calls.handle_caller_message(table.now, OTHER_CALLER, report)
    assert table.calls.handle_office_message(table.now, LINK, release())
    assert (OTHER_CALLER, release()) in table.flush()


def test_class_and_office_names_outside_ascii_are_understood() -> None:
    # Guards against refusing every set-up of a class that the settings name with such letters.
    calls = CallTable(SETTINGS, ("données", "wide"), 500 * MS, 1, ScriptedController)
    calls.update_offices(START, io.ListKind.REMEMBERED, (io.OfficeEntry("büro-1", 1, io.OfficeState.UP),))
    calls.caller_connected(CALLER, "caller")
    messages = [
        set_up(CALL_A, class_name="données".encode()),
        set_up(CALL_B, pairs="dest:1;width:1;via:-1;at:büro-1"),
    ]
    for message in messages:
        assert calls.handle_caller_message(START, CALLER, message)
    assert calls.outgoing == []
    assert calls.standing_by_office == {"büro-1": {CALL_B}}


def test_reuse_of_the_reference_of_an_open_call() -> None:
    """On another connection the set-up is refused; on the connection of the first one, it is closed."""
    table = CallTableRig()
    table.offer()
    table.calls.caller_connected(OTHER_CALLER, "stranger")
    assert table.calls.handle_caller_message(table.now, OTHER_CALLER, set_up(description=b"other words"))
    assert table.flush() == [(OTHER_CALLER, release(cause=41))]
    assert not table.calls.handle_caller_message(table.now, CALLER, set_up(description=b"other words"))
    assert table.calls.handle_office_message(table.now, LINK, answer())
    assert table.flush() == [(CALLER, answer())]


@pytest.mark.parametrize("answered", [False, True])
def test_reference_that_comes_again_after_its_caller_left_does_not_run_twice(answered: bool) -> None:
    # Guards against a second run, also before the release wait of the first attempt is over.
    table = CallTableRig()
    if answered:
        table.make_standing()
        table.calls.handle_caller_message(table.now, CALLER, release())
    else:
        table.offer()
        table.calls.caller_disconnected(table.now, CALLER)
    table.flush()
    table.take_events(io.CallOffered)
    table.calls.caller_connected(OTHER_CALLER, "caller")
    for _ in range(3):
        table.now += SECOND
        assert table.calls.handle_caller_message(table.now, OTHER_CALLER, set_up())
        assert table.flush() == [(OTHER_CALLER, release(cause=41))]
    assert table.take_events(io.CallOffered) == []


def test_reference_of_a_call_in_transit_may_come_again_after_the_release_wait() -> None:
    table = CallTableRig()
    transit = set_up(pairs="dest:1;width:1;via:3;transit:1")
    assert table.calls.handle_caller_message(table.now, CALLER, transit)
    table.flush(io.Send(CALL_A, OFFICE, table.now + 900 * MS))
    table.calls.handle_caller_message(table.now, CALLER, release())
    table.flush()
    table.now += 249 * MS
    assert table.calls.handle_caller_message(table.now, CALLER, transit)
    assert table.flush() == [(CALLER, release(cause=41))]
    table.now += MS
    assert table.calls.handle_caller_message(table.now, CALLER, transit)
    assert table.flush() == []
    assert CALL_A in table.calls.calls


def test_reference_that_no_office_has_run_may_come_again() -> None:
    table = CallTableRig()
    table.offer()
    table.calls.handle_office_message(table.now, LINK, release(cause=34, diagnostic="atb"))
    table.flush(io.Refuse(CALL_A))
    assert table.calls.handle_caller_message(table.now, CALLER, set_up())
    assert CALL_A in table.calls.calls


def test_number_of_remembered_references_is_bounded() -> None:
    ended = EndedReferences(0)
    for number in range(MAX_REFERENCES + 1):
        ended.add(0, f"{number:016x}")
    assert ended.allow(1, f"{0:016x}", False) and not ended.allow(1, f"{1:016x}", False)


@pytest.mark.parametrize(
    "message",
    [
        set_up(wait=0), set_up(wait=10**9), set_up(give_up_time=b"-5"), set_up(give_up_time=b"soon"),
        set_up(class_name=b"no such"), set_up(number=b""), set_up(number=b"x" * 65), set_up(number=b"a b"),
        set_up(number=b"\xff"), set_up(number="a\u200bb".encode()), set_up(class_name=b"voice\xff"),
        set_up(pairs="dest:-1;width:1"), set_up(pairs="dest:1.5;width:1"), set_up(pairs="dest:70000"),
        set_up(pairs="dest:1;width:3"), set_up(pairs="dest:1;width:-1"), set_up(pairs="dest:x"),
        set_up(pairs="?"), set_up(pairs="dest:1;width:1" + ";y:1" * 3000), set_up(call="0" * 16),
    ],
)  # fmt: skip
def test_invalid_set_ups_are_refused_at_once(message: Message) -> None:
    table = CallTableRig()
    assert table.calls.handle_caller_message(table.now, CALLER, message)
    assert table.flush() == [(CALLER, release(message.call, cause=100))]
    assert table.take_events(io.CallOffered) == []
    assert table.holds_nothing()


@pytest.mark.parametrize("text", ["x0", "x0:?", "\x7f"])
def test_malformed_load_report_closes_the_link(text: str) -> None:
    table = CallTableRig()
    state = Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: text.encode()})
    assert not table.calls.handle_office_message(table.now, LINK, state)


def test_group_state_is_reported_as_unsolicited() -> None:
    table = CallTableRig()
    table.controller.events.clear()
    state = Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: b"x0:7;x1:40;queue:-1;qps:-1"})
    assert table.calls.handle_office_message(table.now, LINK, state)
    table.flush()
    assert table.controller.events == [io.OfficeHeard(OFFICE, True, True, 0, io.LoadReport(free=7, size=40))]


def test_connection_test_is_answered_and_unexpected_types_close_the_connection() -> None:
    table = CallTableRig()
    assert table.calls.handle_caller_message(
        table.now, CALLER, Message(isup.TEST, CALL_B, {isup.CAUSE: b"\0"})
    )
    assert table.flush() == [(CALLER, Message(isup.TEST_RESULT, CALL_B, {isup.CAUSE: b"\1"}))]
    for kind in (isup.ANM, isup.GROUP_STATE, isup.TEST_RESULT):
        assert not table.calls.handle_caller_message(table.now, CALLER, Message(kind, CALL_B))
    for kind in (isup.IAM, isup.TEST):
        assert not table.calls.handle_office_message(table.now, LINK, Message(kind, CALL_B))


def test_set_up_read_after_a_stall_expires_earlier_by_its_length() -> None:
    table = CallTableRig()
    table.calls.handle_caller_message(table.now, CALLER, set_up(), unread_time=200 * MS)
    table.flush()
    [offer] = table.take_events(io.CallOffered)
    assert isinstance(offer, io.CallOffered)
    assert offer.expires == table.now + 1300 * MS


def test_release_written_to_a_lost_caller_connection_is_sent_again() -> None:
    """Bytes on a connection that is reset are lost, so a release is kept until the far end confirms it."""
    table = CallTableRig()
    table.make_standing(CALL_A)
    table.make_standing(CALL_B)
    assert table.calls.handle_office_message(table.now, LINK, release(CALL_A))
    assert table.calls.handle_office_message(table.now, LINK, release(CALL_B))
    table.flush()
    table.calls.handle_caller_message(table.now, CALLER, Message(isup.RLC, CALL_A))  # confirms this release
    table.calls.caller_connected(OTHER_CALLER, "caller")
    table.calls.caller_disconnected(table.now, CALLER)
    assert table.flush() == [(OTHER_CALLER, release(CALL_B))]
    table.now += 3 * SECOND
    table.calls.discard_expired(table.now)
    table.calls.caller_disconnected(table.now, OTHER_CALLER)  # written long enough ago to have arrived
    assert table.holds_nothing()


def test_release_written_to_a_lost_link_is_sent_again() -> None:
    table = CallTableRig()
    table.make_standing()
    table.calls.handle_caller_message(table.now, CALLER, release())
    assert table.flush() == [(LINK, release())]
    table.calls.link_lost(table.now, LINK)
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)
    assert table.flush() == [(OTHER_LINK, release())]


def test_release_uses_a_connection_with_calls_if_its_source_has_none() -> None:
    table = CallTableRig()
    table.make_standing(CALL_A)
    table.calls.caller_connected(OTHER_CALLER, "elsewhere")
    table.calls.caller_connected(OTHER_CALLER + 1, "silent")
    table.calls.handle_caller_message(table.now, OTHER_CALLER, set_up(CALL_B))
    table.flush(io.Send(CALL_B, OFFICE, 0))
    table.calls.handle_office_message(table.now, LINK, answer(CALL_B))
    table.flush()
    table.calls.caller_disconnected(table.now, CALLER)
    table.calls.handle_office_message(table.now, LINK, release(CALL_A))
    assert (OTHER_CALLER, release(CALL_A)) in table.flush()


def test_free_circuits_are_reported_again_after_an_unsent_set_up() -> None:
    """The module deducts them when it sends; the office, where nothing changed, reports nothing."""
    table = CallTableRig()
    state = Message(
        isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: b"idle:7;circuits:40;waiting:-1;max_rate:-1"}
    )
    assert table.calls.handle_office_message(table.now, LINK, state)
    table.calls.link_lost(table.now, LINK)
    table.offer()
    table.calls.office_unreachable(table.now, OFFICE)
    table.flush()
    [end] = table.take_events(io.AttemptEnded)
    assert isinstance(end, io.AttemptEnded) and end.report is not None
    assert (end.outcome, end.report.free) == (Outcome.UNREACHABLE, 7)


@pytest.mark.parametrize("kind", [io.ListKind.CHANGES, io.ListKind.COMPLETE])
def test_nothing_is_kept_of_an_office_that_the_list_drops(kind: io.ListKind) -> None:
    table = CallTableRig()
    state = Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: b"x0:7;x1:40"})
    assert table.calls.handle_office_message(table.now, LINK, state)
    table.calls.link_lost(table.now, LINK)
    assert table.calls.identities.in_doubt(OFFICE) and table.calls.group_states.free(OFFICE) == 7
    gone = io.OfficeEntry(OFFICE, 1, io.OfficeState.GONE)
    other = io.OfficeEntry(OTHER_OFFICE, 2, io.OfficeState.UP)
    table.calls.update_offices(table.now, kind, (gone,) if kind is io.ListKind.CHANGES else (other,))
    assert not table.calls.identities.in_doubt(OFFICE) and table.calls.group_states.free(OFFICE) is None


def test_restarted_office_loses_only_earlier_calls() -> None:
    table = CallTableRig()
    table.make_standing(CALL_A)
    table.now += SECOND
    table.offer(CALL_B)
    table.calls.handle_office_message(table.now, LINK, answer(CALL_B))
    table.flush()
    table.calls.office_restarted(table.now + SECOND, OFFICE, table.now - SECOND // 2)
    assert table.flush() == [(CALLER, release(CALL_A, cause=41)), (LINK, release(CALL_A, cause=41))][::-1]
    assert set(table.calls.calls) == {CALL_B}


def test_restarted_office_loses_calls_reported_before() -> None:
    """Guards against keeping a reported call, which has no attempt, for ever."""
    table = CallTableRig()
    report = set_up(CALL_A, pairs=f"dest:1;width:1;via:-1;at:{OFFICE}")
    assert table.calls.handle_caller_message(table.now, CALLER, report)
    table.calls.office_restarted(table.now + SECOND, OFFICE, table.now)
    assert not table.flush()
    table.calls.office_restarted(table.now + SECOND, OFFICE, table.now + 1)
    assert (CALLER, release(CALL_A, cause=41)) in table.flush()


@pytest.mark.parametrize("withdrawn", [False, True])
def test_connection_weight(withdrawn: bool) -> None:
    table = CallTableRig()
    assert table.calls.connection_weight(CALLER) == 0
    table.offer()
    assert table.calls.connection_weight(CALLER) == 2
    if withdrawn:
        table.calls.handle_caller_message(table.now, CALLER, release())
    else:
        table.calls.handle_office_message(table.now, LINK, answer())
        assert table.calls.connection_weight(CALLER) == 1
        table.calls.handle_office_message(table.now, LINK, release())
    assert table.calls.connection_weight(CALLER) == 0


def test_number_of_calls_is_bounded() -> None:
    table = CallTableRig()
    table.calls.max_calls = 1
    table.make_standing(CALL_A)
    assert not table.calls.take_refusals()
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(CALL_B))
    assert table.flush() == [(CALLER, release(CALL_B, cause=42))]
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(CALL_B, pairs=f"at:{OFFICE}"))
    assert table.flush() == [(CALLER, release(CALL_B, cause=42))]
    assert table.calls.take_refusals() == {CALLER: 2} and not table.calls.take_refusals()


def test_reported_calls_leave_room_for_set_ups_and_for_other_sources() -> None:
    """Guards against a caller that fills the table with reports of calls that never stood."""
    table = CallTableRig(max_calls=16)

    def report(number: int, flow: int) -> bool:
        message = set_up(f"{number:016x}", pairs=f"dest:1;width:1;via:-1;at:{OFFICE}")
        assert table.calls.handle_caller_message(table.now, flow, message)
        return not table.flush()

    for flow in (3, 4, 5):
        table.calls.caller_connected(flow, f"source {flow}")
    assert [report(number, 3) for number in range(100, 106)] == [True] * 4 + [False] * 2
    assert [report(number, 4) for number in range(200, 206)] == [True] * 4 + [False] * 2
    assert not report(300, 5)
    table.make_standing()
    table.calls.handle_caller_message(table.now, 3, release(f"{100:016x}"))
    table.flush()
    assert report(301, 5) and not report(106, 3)
    for reference in list(table.calls.calls):
        table.calls.handle_caller_message(table.now, CALLER, release(reference))
    assert not table.calls.reported_calls


def test_group_state_is_applied_once_whichever_link_brings_it() -> None:
    table = CallTableRig()
    table.calls.link_up(table.now, OFFICE, OTHER_LINK)
    table.flush()
    table.controller.events.clear()

    def apply_state(flow: int, free: int) -> int:
        report = f"idle:{free};circuits:40".encode()
        state = Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: report})
        assert table.calls.handle_office_message(table.now, flow, state)
        table.flush()
        return len(table.take_events(io.OfficeHeard))

    assert [apply_state(LINK, 7), apply_state(OTHER_LINK, 7)] == [1, 0]
    assert [apply_state(OTHER_LINK, 6), apply_state(LINK, 6)] == [1, 0]
    assert [apply_state(LINK, 7), apply_state(LINK, 7)] == [1, 1]
    table.calls.link_lost(table.now, LINK)
    assert apply_state(OTHER_LINK, 7) == 0
    table.calls.link_up(table.now, OFFICE, LINK + 9)
    assert apply_state(LINK + 9, 7) == 1
