"""Calls that callers report after a restart: those that their office lost end, those that stand do not."""

import pytest

from eiderstep import interface as io
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.node.reported_calls import ReportedCalls
from tests.node_rig import (
    CALLER,
    LINK,
    MS,
    OFFICE,
    OTHER_CALLER,
    OTHER_LINK,
    SECOND,
    START,
    CallTableRig,
    release,
    set_up,
)

SIZE = 40  # circuits of the group
CHECK_INTERVAL_MS = 250
RESTARTED_AT = START - 2 * SECOND  # the office, before the call server


class RestartRig:
    """A call table just after its start, with an office that may have restarted before."""

    def __init__(self, office_started: int = RESTARTED_AT) -> None:
        self.table = CallTableRig()
        self.table.calls.caller_connected(OTHER_CALLER, "other source")
        self.list_office(office_started)

    def list_office(self, started: int) -> None:
        entry = io.OfficeEntry(OFFICE, 1, io.OfficeState.UP, started)
        self.table.calls.update_offices(self.table.now, io.ListKind.CHANGES, (entry,))

    def report(self, first: int, count: int, flow: int = CALLER, class_name: bytes = b"voice") -> None:
        for number in range(first, first + count):
            pairs = f"dest:1;width:1;via:-1;at:{OFFICE}"
            message = set_up(f"{number:016x}", pairs=pairs, class_name=class_name)
            assert self.table.calls.handle_caller_message(self.table.now, flow, message)

    def tell_circuits_in_use(self, used: int, flow: int = LINK) -> None:
        report = f"x0:{SIZE - used};x1:{SIZE};queue:0;qps:100".encode()
        message = Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: report})
        assert self.table.calls.handle_office_message(self.table.now, flow, message)

    def released_within(self, ms: int) -> list[str]:
        """The calls released towards callers while checks run for so long (ms)."""
        released = []
        for _ in range(ms // CHECK_INTERVAL_MS):
            self.table.calls.cut_vanished_calls(self.table.now)
            sent = self.table.advance(CHECK_INTERVAL_MS)
            released += [m.call for flow, m in sent if flow in (CALLER, OTHER_CALLER) and m.kind == isup.REL]
        return released


@pytest.mark.parametrize("used_by_others", [0, 3, 9])
def test_calls_that_the_office_lost_before_the_report_are_released(used_by_others: int) -> None:
    # Guards against calls that stand on for ever, as their office restarted while this process was down.
    rig = RestartRig()
    rig.tell_circuits_in_use(used_by_others)
    rig.report(1, 10)
    assert sorted(rig.released_within(2000)) == [f"{number:016x}" for number in range(1, 11)]
    assert rig.table.holds_nothing()


def test_restart_that_is_told_after_the_report_ends_the_calls() -> None:
    # Guards against calls that stand on for ever, as the list tells their office's restart late.
    rig = RestartRig(office_started=0)
    rig.tell_circuits_in_use(0)
    rig.report(1, 10)
    assert rig.released_within(2000) == []
    rig.list_office(RESTARTED_AT)
    assert len(rig.released_within(2000)) == 10


def test_restart_between_the_start_of_this_process_and_the_report_ends_the_calls() -> None:
    rig = RestartRig(office_started=0)
    rig.table.now += SECOND
    rig.report(1, 10)
    rig.table.calls.office_restarted(rig.table.now + SECOND, OFFICE, START + SECOND // 2)
    assert len(rig.released_within(CHECK_INTERVAL_MS)) == 10


@pytest.mark.parametrize("used", [10, 13])
@pytest.mark.parametrize("office_started", [0, RESTARTED_AT, START - 10 * SECOND])
def test_calls_that_stand_after_the_restart_of_their_office_are_not_cut(
    used: int, office_started: int
) -> None:
    rig = RestartRig(office_started)
    rig.tell_circuits_in_use(used)
    rig.report(1, 10)
    assert rig.released_within(20_000) == []
    assert len(rig.table.calls.reported_calls) == 10


def test_calls_stand_where_the_circuits_are_not_known() -> None:
    rig = RestartRig()
    rig.report(1, 10)
    assert rig.released_within(10_000) == []
    rig.tell_circuits_in_use(0)
    rig.table.calls.link_lost(rig.table.now, LINK)  # what it told may no longer hold
    assert rig.released_within(10_000) == []


def test_office_that_started_longer_ago_than_a_call_lasts_has_lost_none() -> None:
    rig = RestartRig(START - 61 * SECOND)  # 30 mean holding times and a second
    rig.tell_circuits_in_use(0)
    rig.report(1, 10)
    assert rig.released_within(5000) == []


def test_calls_stand_when_the_end_of_others_is_told_a_moment_later() -> None:
    # Guards against cutting calls because releases come after the state of the group on a new link.
    rig = RestartRig()
    rig.tell_circuits_in_use(8)
    rig.report(1, 10)
    assert rig.released_within(750) == []
    for number in (1, 2):
        rig.table.calls.handle_office_message(rig.table.now, LINK, release(f"{number:016x}"))
    assert len(rig.released_within(10_000)) == 2
    assert len(rig.table.calls.reported_calls) == 8


def test_circuits_of_calls_set_up_since_do_not_count_for_reports() -> None:
    rig = RestartRig()
    rig.report(1, 1)
    rig.table.make_standing()
    rig.tell_circuits_in_use(2)
    assert rig.released_within(3000) == []
    rig.tell_circuits_in_use(1)
    assert rig.released_within(2000) == [f"{1:016x}"]


def test_wide_calls_count_with_their_circuits() -> None:
    rig = RestartRig()
    rig.tell_circuits_in_use(5)
    rig.report(1, 2, class_name=b"wide")
    assert len(rig.released_within(2000)) == 2


def test_false_reports_of_one_source_do_not_end_calls_of_another() -> None:
    rig = RestartRig()
    rig.tell_circuits_in_use(10)
    rig.report(1, 10)
    rig.report(100, 50, flow=OTHER_CALLER)
    assert sorted(rig.released_within(2000)) == [f"{number:016x}" for number in range(100, 150)]
    assert len(rig.table.calls.reported_calls) == 10


def test_calls_that_ended_make_room_for_others_of_their_source() -> None:
    reported = ReportedCalls(max_calls=16)  # four of a source
    for number in range(4):
        reported.add(f"{number}", OFFICE, "source", 1)
    assert not reported.may_add("source")
    reported.remove("0")
    assert reported.may_add("source")
    reported.add("4", OFFICE, "source", 1)
    assert not reported.may_add("source")
    for number in range(1, 5):
        reported.remove(f"{number}")
    assert (len(reported), reported.find_ended(START, lambda office: 0)) == (0, [])


def test_state_on_a_second_link_is_taken_too() -> None:
    rig = RestartRig()
    rig.table.calls.link_up(rig.table.now, OFFICE, OTHER_LINK)
    rig.tell_circuits_in_use(0, OTHER_LINK)
    rig.report(1, 1)
    rig.table.now += 100 * MS
    assert len(rig.released_within(2000)) == 1
