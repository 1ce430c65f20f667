"""The call table on the platform's wire: each crossing ends in one answer, one end, and nothing held."""

import pytest

from eiderstep import interface as io
from eiderstep.engine import effects as fx
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from tests.node_rig import (
    CALLER,
    HERE,
    LINK,
    MS,
    OTHER,
    SECOND,
    SPARE,
    THERE,
    A,
    B,
    Table,
    answer,
    release,
    set_up,
)  # fmt: skip

OUT, CAUSES = io.Outcome, io.Cause


def ends(table: Table) -> list[tuple[object, object, bool]]:
    return [
        (e.outcome, e.cause, e.settled)
        for e in table.heard(io.AttemptEnded)
        if isinstance(e, io.AttemptEnded)
    ]


def test_a_call_from_its_set_up_to_its_release() -> None:
    table = Table()
    [(flow, sent)] = table.offered()
    [offer] = table.heard(io.CallOffered)
    assert isinstance(offer, io.CallOffered)
    assert (offer.class_no, offer.dest, offer.width, offer.expires) == (0, 1, 1, table.now + 1500 * MS)
    # Class, number and description pass on as they came; the wait is the attempt's; no figures.
    came = set_up().parameters
    passed = {c: came[c] for c in (isup.CLASS, isup.NUMBER, isup.DESCRIPTION)} | {isup.PATIENCE: b"900"}
    assert (flow, sent) == (LINK, Message(isup.IAM, A, passed))
    table.now += 30 * MS
    assert table.calls.office_spoke(table.now, LINK, answer())
    assert table.take() == [(CALLER, answer())]
    assert table.heard(io.CallStands) == [io.CallStands(A, 0, HERE, 30 * MS)]
    table.after(1000)
    assert table.calls.office_spoke(table.now, LINK, release(report="x0:4;x1:40;queue:3"))
    assert table.take() == [(CALLER, release()), (LINK, Message(isup.RLC, A))]
    assert table.calls.caller_spoke(table.now, CALLER, Message(isup.RLC, A))
    [end] = table.heard(io.AttemptEnded)
    assert isinstance(end, io.AttemptEnded)
    assert (end.outcome, end.settled, end.took) == (OUT.RELEASED, True, 1030 * MS)
    assert end.report == io.LoadReport(free=4, size=40, waiting=3.0)
    assert table.empty()


@pytest.mark.parametrize(
    ("cause", "note", "outcome", "why"),
    [
        (34, "atb", OUT.TURNED_AWAY, CAUSES.NO_CIRCUIT), (34, "rtb", OUT.TURNED_AWAY, CAUSES.TANDEM_REFUSED),
        (34, "racc", OUT.TURNED_AWAY, CAUSES.BEYOND_FULL),
        (34, "acc", OUT.TURNED_AWAY, CAUSES.PROCESSOR_FULL),
        (17, "sub", OUT.FAULT, CAUSES.NUMBER_BUSY), (47, "", OUT.FAULT, CAUSES.NONE),
        (102, "acc", OUT.NOT_SENT, CAUSES.PROCESSOR_FULL), (41, "", OUT.CUT, CAUSES.NONE),
        (16, "", OUT.CUT, CAUSES.NONE), (88, "odd", OUT.CUT, CAUSES.NONE),
    ],
)  # fmt: skip
def test_a_release_before_the_answer_is_the_attempts_end(
    cause: int, note: str, outcome: io.Outcome, why: io.Cause
) -> None:
    table = Table()
    table.offered()
    assert table.calls.office_spoke(table.now, LINK, release(cause=cause, note=note))
    assert table.take(io.Refuse(A, 1700 * MS)) == [
        (CALLER, Message(isup.REL, A, {isup.CAUSE: b"\x2a", isup.PAUSE: b"1700"}))
    ]
    assert ends(table) == [(outcome, why, False)]
    assert table.empty()


def test_abandoned_is_failed_and_what_is_out_for_it_is_given_up() -> None:
    table = Table()
    table.offered()
    sent = table.take(io.Abandon(A))
    assert sent == []  # no event, nothing said
    table.calls.events.append(io.TimerDue(1))
    assert table.take() == [(CALLER, release(cause=31)), (LINK, release())]
    assert ends(table) == [(OUT.CANCELLED, CAUSES.NONE, True)]
    assert table.empty()


def test_the_attempts_time_is_up_and_its_answer_crosses_our_giving_up() -> None:
    table = Table()
    table.offered()
    assert table.after(900) == [(LINK, release())]
    assert ends(table) == [(OUT.NO_ANSWER, CAUSES.NONE, False)]
    assert table.calls.office_spoke(table.now, LINK, answer())
    assert table.take(io.Abandon(A)) == []  # the late answer tells the module nothing
    assert table.heard(io.CallStands) == []
    assert table.calls.counts["answers dropped"] == 1


def test_an_answer_read_after_its_time_is_given_up_not_passed_on() -> None:
    table = Table()
    table.offered()
    table.now += 901 * MS  # a stall: the timer has not run yet
    assert table.calls.office_spoke(table.now, LINK, answer())
    assert table.take() == [(LINK, release())]
    assert ends(table) == [(OUT.NO_ANSWER, CAUSES.NONE, False)]
    assert table.after(0) == []


def test_a_cancelled_attempt_frees_the_call_for_another() -> None:
    table = Table()
    table.offered()
    table.calls.events.append(io.TimerDue(1))
    assert table.take(io.Cancel(A, 0)) == [(LINK, release())]
    assert ends(table) == [(OUT.CANCELLED, CAUSES.NONE, False)]
    table.calls.events.append(io.TimerDue(2))
    [(flow, again)] = table.take(io.Send(A, HERE, 0))
    assert (flow, again.kind) == (LINK, isup.IAM)
    table.calls.events.append(io.TimerDue(3))
    assert table.take(io.Cancel(A, 0)) == []  # the first one is over; the second is not touched
    assert table.calls.office_spoke(table.now, LINK, answer())
    assert table.take() == [(CALLER, answer())]


def test_never_two_attempts_of_a_call() -> None:
    table = Table()
    table.offered()
    table.calls.events.append(io.TimerDue(1))
    assert table.take(io.Send(A, HERE, 0)) == []
    assert ends(table) == [(OUT.NOT_SENT, CAUSES.NONE, True)]


def test_second_answers_and_unknown_ids_reach_nobody() -> None:
    table = Table()
    table.standing()
    for message in (answer(), answer(B)):
        assert table.calls.office_spoke(table.now, LINK, message)
    assert table.take() == []
    assert table.calls.counts["answers dropped"] == 2


def test_a_spoilt_answer_is_not_passed_on_and_its_link_is_of_no_use() -> None:
    table = Table()
    table.offered(A)
    table.offered(B)
    assert not table.calls.office_spoke(table.now, LINK, answer(A, b"words\xff"))
    table.calls.link_lost(table.now, LINK)
    assert table.take() == []
    assert ends(table) == [(OUT.CUT, CAUSES.NONE, False)] * 2  # each set-up on it, once


def test_a_lost_link_ends_its_set_ups_once_and_not_what_stands() -> None:
    table = Table()
    table.standing(A)
    table.offered(B)
    table.calls.link_lost(table.now, LINK)
    table.calls.link_lost(table.now, LINK)
    table.take()
    assert ends(table) == [(OUT.CUT, CAUSES.NONE, False)]
    table.calls.link_up(table.now, HERE, SPARE)  # the end comes on the next link
    assert table.calls.office_spoke(table.now, SPARE, release(A))
    assert (CALLER, release(A)) in table.take()


def test_a_silent_link_tells_nothing_of_its_set_ups() -> None:
    table = Table()
    table.offered()
    table.calls.link_lost(table.now, LINK, silent=True)
    table.take()
    assert ends(table) == [(OUT.NO_ANSWER, CAUSES.NONE, False)]


def test_without_a_link_a_set_up_waits_for_one() -> None:
    table = Table()
    assert table.offered(office=THERE) == []
    assert table.effects[-1] == fx.Dial(THERE)
    table.calls.link_up(table.now, THERE, SPARE)
    [(flow, sent)] = table.take()
    assert (flow, sent.kind) == (SPARE, isup.IAM)
    assert table.after(500) == []
    assert ends(table) == []


@pytest.mark.parametrize("refused", [True, False])
def test_a_set_up_whose_link_never_came_up_never_ran(refused: bool) -> None:
    table = Table()
    table.offered(office=THERE)
    if refused:
        table.calls.unreachable(table.now, THERE)
        table.take()
    else:
        table.after(500)
    assert ends(table) == [(OUT.UNREACHABLE, CAUSES.NONE, False)]
    table.calls.link_up(table.now, THERE, SPARE)
    assert table.take() == []  # nothing goes out late


def test_an_office_off_the_list_is_not_sent_to() -> None:
    table = Table()
    table.calls.news(io.ListKind.CHANGES, (io.OfficeEntry(THERE, 2, io.OfficeState.GONE),))
    assert table.offered(office=THERE) == []
    assert ends(table) == [(OUT.UNREACHABLE, CAUSES.NONE, False)]


def test_the_caller_gives_up() -> None:
    table = Table()
    table.offered()
    assert table.calls.caller_spoke(table.now, CALLER, release())
    assert table.take(io.Refuse(A)) == [(LINK, release())]  # no answer is owed
    assert table.heard(io.CallGone) == [io.CallGone(A)]
    assert ends(table) == [(OUT.CANCELLED, CAUSES.NONE, True)]
    assert table.empty()


def test_the_callers_connection_goes_with_a_set_up_open_and_a_call_standing() -> None:
    table = Table()
    table.standing(A)
    table.offered(B)
    table.calls.caller_lost(table.now, CALLER)
    assert table.take() == [(LINK, release(B))]
    # What stands goes on; its end finds the next connection from there.
    assert table.calls.office_spoke(table.now, LINK, release(A))
    assert table.take() == [(LINK, Message(isup.RLC, A))]
    table.calls.caller_came(OTHER, "caller")
    table.calls.caller_spoke(table.now, OTHER, Message(isup.TEST, B))
    assert (OTHER, release(A)) in table.take()
    assert table.empty()


def test_what_no_connection_takes_is_forgotten_in_the_end() -> None:
    table = Table()
    table.standing(A)
    table.calls.caller_lost(table.now, CALLER)
    table.calls.link_lost(table.now, LINK)
    table.calls.office_lost(table.now, HERE)
    table.take()
    assert len(table.calls.owed.owed) == 2
    assert table.empty()


def test_a_callers_release_on_another_connection_ends_the_call() -> None:
    table = Table()
    table.standing()
    table.calls.caller_came(OTHER, "caller")
    assert table.calls.caller_spoke(table.now, OTHER, release())
    assert table.take() == [(LINK, release())]
    assert ends(table) == [(OUT.CANCELLED, CAUSES.NONE, True)]
    assert table.calls.caller_spoke(table.now, OTHER, release())  # again: nothing to end
    assert table.take() == []
    assert not table.calls.calls


def test_a_dead_office_cuts_what_stood_there() -> None:
    table = Table()
    table.standing()
    table.calls.link_lost(table.now, LINK)
    table.calls.office_lost(table.now, HERE)
    assert table.take() == [(CALLER, release(cause=41))]
    assert ends(table) == [(OUT.CUT, CAUSES.NONE, True)]
    table.calls.link_up(table.now, HERE, SPARE)  # it was only out of reach: it hears that the call is over
    assert table.take() == [(SPARE, release(cause=41))]


def test_a_call_without_end_is_ended() -> None:
    table = Table()
    table.standing()
    sent = table.after(30 * 2 * SECOND / MS)
    assert sent == [(LINK, release(cause=102)), (CALLER, release(cause=102))]
    assert table.empty()


def test_at_names_a_call_that_stands_and_its_end_comes_through() -> None:
    table = Table()
    at = set_up(figures=f"dest:1;width:1;via:-1;at:{HERE}")
    assert table.calls.caller_spoke(table.now, CALLER, at)
    assert table.take() == []  # it wants no answer
    assert table.calls.office_spoke(table.now, LINK, release())
    assert (CALLER, release()) in table.take()
    assert table.mind.heard == [e for e in table.mind.heard if not isinstance(e, io.AttemptEnded)]
    assert table.empty()


def test_at_after_its_release() -> None:
    table = Table()
    assert table.calls.office_spoke(table.now, LINK, release())
    table.take()
    assert table.calls.caller_spoke(table.now, CALLER, set_up(figures=f"at:{HERE}"))
    assert (CALLER, release()) in table.take()
    assert not table.calls.ends
    assert table.empty()


def test_at_for_an_office_that_is_gone() -> None:
    table = Table()
    assert table.calls.caller_spoke(table.now, CALLER, set_up(figures="at:s-gone"))
    assert table.take() == [(CALLER, release(cause=41))]
    assert table.empty()


def test_at_for_a_call_that_we_hold_moves_it_only_from_a_lost_connection() -> None:
    table = Table()
    table.standing()
    table.calls.caller_came(OTHER, "caller")
    at = set_up(figures=f"at:{HERE}")
    table.calls.caller_spoke(table.now, OTHER, at)
    assert table.calls.calls[A].flow == CALLER
    table.calls.caller_lost(table.now, CALLER)
    table.calls.caller_spoke(table.now, OTHER, at)
    assert table.calls.office_spoke(table.now, LINK, release())
    assert (OTHER, release()) in table.take()


def test_an_open_id_again() -> None:
    """On another connection it is refused and harms nobody; on its own, the connection is of no use."""
    table = Table()
    table.offered()
    table.calls.caller_came(OTHER, "stranger")
    assert table.calls.caller_spoke(table.now, OTHER, set_up(description=b"other words"))
    assert table.take() == [(OTHER, release(cause=41))]
    assert not table.calls.caller_spoke(table.now, CALLER, set_up(description=b"other words"))
    assert table.calls.office_spoke(table.now, LINK, answer())
    assert table.take() == [(CALLER, answer())]


@pytest.mark.parametrize(
    "message",
    [
        set_up(wait=0), set_up(wait=10**9), set_up(patience=b"-5"), set_up(patience=b"soon"),
        set_up(klass=b"no such"), set_up(number=b""), set_up(number=b"x" * 65), set_up(number=b"a b"),
        set_up(figures="dest:-1;width:1"), set_up(figures="dest:1.5;width:1"), set_up(figures="dest:70000"),
        set_up(figures="dest:1;width:3"), set_up(figures="dest:1;width:-1"), set_up(figures="dest:x"),
        set_up(figures="?"), set_up(figures="dest:1;width:1" + ";y:1" * 3000), set_up(call="0" * 16),
    ],
)  # fmt: skip
def test_unfit_set_ups_are_refused_at_once(message: Message) -> None:
    table = Table()
    assert table.calls.caller_spoke(table.now, CALLER, message)
    assert table.take() == [(CALLER, release(message.call, cause=100))]
    assert table.heard(io.CallOffered) == []
    assert table.empty()


@pytest.mark.parametrize("text", ["x0", "x0:?", "\x7f"])
def test_a_report_that_cannot_be_read_ends_the_link(text: str) -> None:
    table = Table()
    state = Message(isup.STATE, isup.NO_CALL, {isup.REPORT: text.encode()})
    assert not table.calls.office_spoke(table.now, LINK, state)


def test_a_groups_state_is_unasked_news() -> None:
    table = Table()
    table.mind.heard.clear()
    state = Message(isup.STATE, isup.NO_CALL, {isup.REPORT: b"x0:7;x1:40;queue:-1;qps:-1"})
    assert table.calls.office_spoke(table.now, LINK, state)
    table.take()
    assert table.mind.heard == [io.OfficeHeard(HERE, True, True, 0, io.LoadReport(free=7, size=40))]


def test_a_test_passes_and_what_no_caller_says_ends_the_connection() -> None:
    table = Table()
    assert table.calls.caller_spoke(table.now, CALLER, Message(isup.TEST, B, {isup.CAUSE: b"\0"}))
    assert table.take() == [(CALLER, Message(isup.TESTED, B, {isup.CAUSE: b"\1"}))]
    for kind in (isup.ANM, isup.STATE, isup.TESTED):
        assert not table.calls.caller_spoke(table.now, CALLER, Message(kind, B))
    for kind in (isup.IAM, isup.TEST):
        assert not table.calls.office_spoke(table.now, LINK, Message(kind, B))


def test_what_waited_in_the_socket_is_as_old_as_the_stall() -> None:
    table = Table()
    table.calls.caller_spoke(table.now, CALLER, set_up(), waited=200 * MS)
    table.take()
    [offer] = table.heard(io.CallOffered)
    assert isinstance(offer, io.CallOffered)
    assert offer.expires == table.now + 1300 * MS


def test_a_release_written_to_a_connection_that_is_lost_goes_out_again() -> None:
    """Bytes on a connection that is reset reach nobody; until the far end has heard, it is owed."""
    table = Table()
    table.standing(A)
    table.standing(B)
    assert table.calls.office_spoke(table.now, LINK, release(A))
    assert table.calls.office_spoke(table.now, LINK, release(B))
    table.take()
    table.calls.caller_spoke(table.now, CALLER, Message(isup.RLC, A))  # it has heard this one
    table.calls.caller_came(OTHER, "caller")
    table.calls.caller_lost(table.now, CALLER)
    assert table.take() == [(OTHER, release(B))]
    table.now += 3 * SECOND
    table.calls.forget(table.now)
    table.calls.caller_lost(table.now, OTHER)  # long enough ago: it has arrived
    assert table.empty()


def test_a_release_to_an_office_whose_link_is_lost_goes_out_again() -> None:
    table = Table()
    table.standing()
    table.calls.caller_spoke(table.now, CALLER, release())
    assert table.take() == [(LINK, release())]
    table.calls.link_lost(table.now, LINK)
    table.calls.link_up(table.now, HERE, SPARE)
    assert table.take() == [(SPARE, release())]


def test_a_release_finds_another_connection_with_calls_where_its_source_has_none() -> None:
    table = Table()
    table.standing(A)
    table.calls.caller_came(OTHER, "elsewhere")
    table.calls.caller_came(OTHER + 1, "silent")
    table.calls.caller_spoke(table.now, OTHER, set_up(B))
    table.take(io.Send(B, HERE, 0))
    table.calls.office_spoke(table.now, LINK, answer(B))
    table.take()
    table.calls.caller_lost(table.now, CALLER)
    table.calls.office_spoke(table.now, LINK, release(A))
    assert (OTHER, release(A)) in table.take()


def test_circuits_of_a_set_up_that_never_left_are_told_again() -> None:
    """The module takes them off as it sends; the office, where nothing changed, says nothing."""
    table = Table()
    state = Message(isup.STATE, isup.NO_CALL, {isup.REPORT: b"idle:7;circuits:40;waiting:-1;max_rate:-1"})
    assert table.calls.office_spoke(table.now, LINK, state)
    table.calls.link_lost(table.now, LINK)
    table.offered()
    table.calls.unreachable(table.now, HERE)
    table.take()
    [end] = table.heard(io.AttemptEnded)
    assert isinstance(end, io.AttemptEnded) and end.report is not None
    assert (end.outcome, end.report.free) == (OUT.UNREACHABLE, 7)


def test_an_office_started_anew_holds_nothing_from_before() -> None:
    table = Table()
    table.standing(A)
    table.now += SECOND
    table.offered(B)
    table.calls.office_spoke(table.now, LINK, answer(B))
    table.take()
    table.calls.born(table.now + SECOND, HERE, table.now - SECOND // 2)
    assert table.take() == [(CALLER, release(A, cause=41)), (LINK, release(A, cause=41))][::-1]
    assert set(table.calls.calls) == {B}


@pytest.mark.parametrize("taken_back", [False, True])
def test_what_hangs_on_a_callers_connection(taken_back: bool) -> None:
    table = Table()
    assert table.calls.calls_on(CALLER) == 0
    table.offered()
    assert table.calls.calls_on(CALLER) == 2
    if taken_back:
        table.calls.caller_spoke(table.now, CALLER, release())
    else:
        table.calls.office_spoke(table.now, LINK, answer())
        assert table.calls.calls_on(CALLER) == 1
        table.calls.office_spoke(table.now, LINK, release())
    assert table.calls.calls_on(CALLER) == 0


def test_calls_held_are_bounded() -> None:
    table = Table()
    table.calls.most = 1
    table.standing(A)
    assert table.calls.caller_spoke(table.now, CALLER, set_up(B))
    assert table.take() == [(CALLER, release(B, cause=42))]
    assert table.calls.caller_spoke(table.now, CALLER, set_up(B, figures=f"at:{HERE}"))
    assert table.take() == [(CALLER, release(B, cause=42))]


def test_a_groups_state_counts_once_whichever_links_bring_it() -> None:
    table = Table()
    table.calls.link_up(table.now, HERE, SPARE)
    table.take()
    table.mind.heard.clear()

    def told(flow: int, free: int) -> int:
        report = f"idle:{free};circuits:40".encode()
        state = Message(isup.STATE, isup.NO_CALL, {isup.REPORT: report})
        assert table.calls.office_spoke(table.now, flow, state)
        table.take()
        return len(table.heard(io.OfficeHeard))

    assert [told(LINK, 7), told(SPARE, 7)] == [1, 0]
    assert [told(SPARE, 6), told(LINK, 6)] == [1, 0]
    assert [told(LINK, 7), told(LINK, 7)] == [1, 1]
    table.calls.link_lost(table.now, LINK)
    assert told(SPARE, 7) == 0
    table.calls.link_up(table.now, HERE, LINK + 9)
    assert told(LINK + 9, 7) == 1
