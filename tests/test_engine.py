"""The SIP engine without sockets: message crossings, lost connections, glare, stop and rejected requests."""

from __future__ import annotations

import gc

import pytest

from eiderstep import interface as io
from eiderstep.config.schema import CallClass, Peer, Route
from eiderstep.engine import effects as fx
from eiderstep.engine.calls import Attempt, AttemptState, Call
from eiderstep.sip.dialog import make_ack
from eiderstep.sip.message import Message, request
from eiderstep.sip.parser import BadMessage
from tests.sip_rig import (
    CALLER,
    MS,
    SECOND,
    Rig,
    caller_bye,
    cancel_of,
    far_bye,
    far_response,
    has_no,
    only_message,
)


def record_events(rig: Rig) -> list[io.Event]:
    """Record all events that the module gets from now on."""
    recorded: list[io.Event] = []
    handle = rig.engine.controller.handle

    def spy(now: int, events: list[io.Event]) -> list[io.Action]:
        recorded.extend(events)
        return handle(now, events)

    rig.engine.controller.handle = spy  # type: ignore[method-assign]
    return recorded


def test_a_call_from_set_up_to_release() -> None:
    rig = Rig()
    recorded = record_events(rig)
    invite, set_up, ok = rig.establish_call()
    assert set_up.get("session-id") == invite.get("session-id") and set_up.get("max-forwards") == "69"
    assert "tgrp=0-1;trunk-context=t" in set_up.get("contact") and rig.free_circuits() == 7
    outgoing = rig.deliver(CALLER, caller_bye(invite, ok))
    release = only_message(outgoing, "BYE")
    assert rig.free_circuits() == 7, "the circuit stays busy until the far end has answered the BYE"
    rig.deliver(11, far_response(release, 200))
    assert (
        rig.free_circuits() == 8
        and not rig.engine.calls
        and not rig.engine.dialogs
        and not rig.engine.legs_by_flow
    )
    kinds = [type(e) for e in recorded]
    assert kinds.count(io.CallStands) == 1 and kinds.count(io.AttemptEnded) == 1
    ended = next(e for e in recorded if isinstance(e, io.AttemptEnded))
    assert ended.outcome is io.Outcome.RELEASED and ended.call_over


RESPONSES = [
    (503, "Q.850;cause=34", "", io.Outcome.TURNED_AWAY, io.Cause.NO_CIRCUIT),
    (503, "Q.850;cause=44", "", io.Outcome.TURNED_AWAY, io.Cause.NO_CIRCUIT),
    (503, "Q.850;cause=42", "2", io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
    (503, "", "", io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
    (503, "Eiderstep;cause=2", "", io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED),
    (503, "Eiderstep;cause=18", "", io.Outcome.TURNED_AWAY, io.Cause.BEYOND_FULL),
    (486, "", "", io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    (480, "Q.850;cause=17", "", io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    (502, "Q.850;cause=27", "", io.Outcome.FAULT, io.Cause.NONE),
    (404, "", "", io.Outcome.FAULT, io.Cause.NONE),
    (487, "", "", io.Outcome.CANCELLED, io.Cause.NONE),
]


@pytest.mark.parametrize(("status", "reason", "wait", "outcome", "cause"), RESPONSES)
def test_refusal_is_reported_with_outcome_cause_and_wait(
    status: int, reason: str, wait: str, outcome: io.Outcome, cause: io.Cause
) -> None:
    rig = Rig()
    recorded = record_events(rig)
    _, set_up = rig.offer_call()
    refusal = far_response(set_up, status)
    refusal.set("reason", reason or None)
    refusal.set("retry-after", wait or None)
    refusal.headers["via"] = [refusal.get("via") + ';oc=12;oc-algo="rate"']
    refusal.set("eiderstep-waiting", "5")
    outgoing = rig.deliver(11, refusal)
    assert only_message(outgoing, "ACK").branch == set_up.branch
    ended = next(e for e in recorded if isinstance(e, io.AttemptEnded))
    assert (ended.outcome, ended.cause, ended.retry_after) == (outcome, cause, 2 * SECOND if wait else 0)
    assert ended.report == io.LoadReport(free=8, size=8, waiting=5.0, max_rate=12.0)


def test_a_200_that_crosses_the_callers_cancel_is_released() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call()
    rig.deliver(11, far_response(set_up, 100))
    outgoing = rig.deliver(CALLER, cancel_of(invite))
    assert (
        only_message(outgoing, "CANCEL").branch == set_up.branch
        and only_message(outgoing, 487).call_id == invite.call_id
    )
    outgoing = rig.deliver(11, far_response(set_up, 200))  # sent before the CANCEL arrived
    assert only_message(outgoing, "ACK") and only_message(outgoing, "BYE")
    rig.deliver(11, far_response(only_message(outgoing, "BYE"), 200))
    assert rig.final_statuses(invite) == [487] and rig.free_circuits() == 8 and not rig.engine.calls


def test_a_200_after_the_attempt_timed_out_is_acknowledged_and_released() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call(give_up_time="1")
    rig.deliver(11, far_response(set_up, 100))
    outgoing = rig.advance(2.0)
    assert (
        only_message(outgoing, "CANCEL")
        and rig.final_statuses(invite) in ([504], [503])
        and rig.free_circuits() == 7
    )
    outgoing = rig.deliver(11, far_response(set_up, 200))
    release = only_message(outgoing, "BYE")
    assert only_message(outgoing, "ACK") and release.to_tag
    rig.deliver(11, far_response(release, 200))
    assert rig.free_circuits() == 8 and len(rig.final_statuses(invite)) == 1 and not rig.engine.calls


def test_a_200_to_a_dropped_set_up_is_released() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call(give_up_time="1")
    rig.deliver(11, far_response(set_up, 100))
    rig.advance(40.0)  # no final response within 64 x T1 after the CANCEL: the circuits are freed
    assert rig.free_circuits() == 8 and not rig.engine.calls and len(rig.final_statuses(invite)) == 1
    outgoing = rig.deliver(11, far_response(set_up, 200))
    assert only_message(outgoing, "ACK") and only_message(outgoing, "BYE").to_tag


def test_a_retransmitted_200_is_acknowledged_and_the_call_goes_on() -> None:
    rig = Rig()
    invite, set_up, _ = rig.establish_call()
    outgoing = rig.deliver(11, far_response(set_up, 200))
    assert (
        [m.method for _, m in outgoing] == ["ACK"]
        and rig.final_statuses(invite) == [200]
        and rig.free_circuits() == 7
    )
    forked = far_response(set_up, 200)
    forked.headers["to"] = [set_up.get("to") + ";tag=another"]
    assert [m.method for _, m in rig.deliver(11, forked)] == ["ACK", "BYE"], (
        "a 200 of another far end (forked) is released"
    )
    assert rig.free_circuits() == 7 and len(rig.engine.calls) == 1


def test_ended_calls_are_freed_without_the_garbage_collector() -> None:
    rig = Rig()
    gc.collect()
    gc.disable()
    try:
        for end in ("release", "refuse", "cancel"):
            invite, set_up = rig.offer_call()
            if end == "refuse":
                rig.deliver(11, far_response(set_up, 486))
                rig.deliver(CALLER, acknowledged(invite, rig))
            elif end == "cancel":
                rig.deliver(11, far_response(set_up, 100))
                rig.deliver(CALLER, cancel_of(invite))
                rig.deliver(CALLER, acknowledged(invite, rig))
                rig.deliver(11, far_response(set_up, 487))
                rig.advance(40.0)  # until the timers set with the CANCEL have run
            else:
                ok = only_message(rig.deliver(11, far_response(set_up, 200)), 200)
                rig.deliver(CALLER, acknowledged(invite, rig))
                rig.deliver(
                    11, far_response(only_message(rig.deliver(CALLER, caller_bye(invite, ok)), "BYE"), 200)
                )
            remaining = [o for o in gc.get_objects() if isinstance(o, Call | Attempt)]
            assert not remaining, (end, remaining)
    finally:
        gc.enable()


def acknowledged(invite: Message, rig: Rig) -> Message:
    """The ACK of the final response that the caller got."""
    final = next(m for _, m in reversed(rig.sent) if m.status >= 200 and m.call_id == invite.call_id)
    success = final.status < 300
    via = "SIP/2.0/TCP c;branch=z9hG4bKack" + invite.call_id if success else invite.get("via")
    return make_ack(invite, final, via)


def test_crossing_byes_end_the_call_once() -> None:
    rig = Rig()
    recorded = record_events(rig)
    invite, set_up, ok = rig.establish_call()
    own_bye = only_message(rig.deliver(CALLER, caller_bye(invite, ok)), "BYE")
    outgoing = rig.deliver(11, far_bye(set_up))
    assert [m.status for _, m in outgoing] == [200] and rig.free_circuits() == 8
    rig.deliver(11, far_response(own_bye, 481))
    assert sum(isinstance(e, io.AttemptEnded) for e in recorded) == 1 and not rig.engine.calls
    assert [m.status for _, m in rig.deliver(CALLER, caller_bye(invite, ok, 3))] == [481]


def test_re_invite_that_crosses_a_bye_is_rejected() -> None:
    rig = Rig()
    invite, set_up, ok = rig.establish_call()
    re_invite = rig.invite()
    re_invite.headers |= {
        "call-id": [invite.call_id],
        "from": [invite.get("from")],
        "to": [ok.get("to")],
        "cseq": ["2 INVITE"],
    }
    assert [m.status for _, m in rig.deliver(CALLER, re_invite)] == [488], (
        "a re-INVITE is rejected and the call goes on"
    )
    outgoing = rig.deliver(11, far_bye(set_up))
    assert only_message(outgoing, "BYE").call_id == invite.call_id
    late_invite = rig.invite()
    late_invite.headers |= {
        "call-id": [invite.call_id],
        "from": [invite.get("from")],
        "to": [ok.get("to")],
        "cseq": ["3 INVITE"],
    }
    assert [m.status for _, m in rig.deliver(CALLER, late_invite)][-1] in (481, 488)


def test_bye_with_a_failure_cause_is_reported_as_cut() -> None:
    for reason, outcome in (("Q.850;cause=38", io.Outcome.CUT), ("Q.850;cause=16", io.Outcome.RELEASED)):
        rig = Rig()
        recorded = record_events(rig)
        _, set_up, _ = rig.establish_call()
        outgoing = rig.deliver(11, far_bye(set_up, reason))
        assert only_message(outgoing, "BYE").get("reason") == reason and rig.free_circuits() == 8
        assert [e.outcome for e in recorded if isinstance(e, io.AttemptEnded)] == [outcome]


def test_link_lost_before_the_answer_is_reported_as_cut() -> None:
    rig = Rig()
    recorded = record_events(rig)
    invite, _ = rig.offer_call()
    rig.engine.flow_lost(rig.now, 11)
    rig.flush()
    ended = next(e for e in recorded if isinstance(e, io.AttemptEnded))
    assert ended.outcome is io.Outcome.CUT and not ended.call_over and rig.free_circuits() == 8
    assert any(isinstance(e, fx.Dial) and e.address == "10.0.0.1:1" for e in rig.effects[-3:])
    sent = [(rig.now, m) for _, m in rig.advance(0.499) if m.method == "INVITE"]
    assert not sent, "the next attempt waits for the release"
    rig.advance(5.0)
    assert len(rig.final_statuses(invite)) == 1


def test_lost_connection_cuts_all_500_standing_calls() -> None:
    group = Peer(number=1, address="10.0.0.1:1", circuits=600)
    rig = Rig(peers=[group], dial_plan=[Route(prefix="1", exchange=1)], links=(1,))
    recorded = record_events(rig)
    invites = [rig.establish_call()[0] for _ in range(500)]
    assert rig.free_circuits() == 100 and len(rig.engine.legs_by_flow[11]) == 500
    rig.engine.flow_lost(rig.now, 11)
    outgoing = rig.flush()
    assert sorted(m.call_id for _, m in outgoing if m.method == "BYE") == sorted(m.call_id for m in invites)
    cut = [e for e in recorded if isinstance(e, io.AttemptEnded) and e.outcome is io.Outcome.CUT]
    assert len(cut) == 500 and rig.free_circuits() == 600
    rig.deliver(CALLER, *[far_response(m, 200) for _, m in outgoing if m.method == "BYE"])
    assert not rig.engine.calls and not rig.engine.dialogs and not rig.engine.legs_by_flow


def test_repeated_invite_is_absorbed_or_rejected_as_merged() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call()
    assert has_no(rig.deliver(CALLER, invite), "INVITE"), (
        "a retransmission with the same branch is absorbed by the transaction"
    )
    merged = Message("INVITE", invite.uri, 0, "", {k: v[:] for k, v in invite.headers.items()})
    merged.headers["via"] = ["SIP/2.0/TCP other;branch=z9hG4bKother"]
    assert [m.status for _, m in rig.deliver(CALLER, merged)] == [482], (
        "another branch is a merged request (RFC 3261, 8.2.2.2)"
    )
    rig.deliver(11, far_response(set_up, 200))
    assert rig.final_statuses(invite) == [482, 200]  # one for each transaction


def test_lost_caller_connection_ends_a_waiting_call() -> None:
    quick = CallClass(name="plain", aim=3 * SECOND, give_up=9 * SECOND, mean_hold=SECOND)
    rig = Rig(classes=[quick])
    recorded = record_events(rig)
    for _ in range(4):
        rig.establish_call("1000")
    # All circuits that are not busy are blocked, so a further call finds none and waits.
    rig.engine.trunk_groups[1].block(set(range(8)) - set(rig.engine.trunk_groups[1].busy))
    rig.engine.trunk_groups[2].block(range(8))
    rig.engine.changed_groups |= {1, 2}
    rig.flush()
    invite = rig.invite()
    outgoing = rig.deliver(3, invite)
    assert has_no(outgoing, "INVITE") and invite.get("session-id") in rig.engine.calls
    rig.engine.flow_lost(rig.now, 3)
    rig.flush()
    assert isinstance(recorded[-1], io.CallGone) and invite.get("session-id") not in rig.engine.calls
    assert has_no(rig.advance(5.0), "INVITE") and not rig.final_statuses(invite)


def test_glare_is_decided_for_the_controlling_exchange() -> None:
    rig = Rig()
    # Exchange 1, which has the higher number, controls the even circuits and exchange 0 the odd ones.
    invite, set_up = rig.offer_call()
    assert set_up.get("eiderstep-circuits") == "1", "circuits controlled by this end are selected first"
    outgoing = rig.deliver(21, rig.transit_invite(1, "1"))
    lost = only_message(outgoing, 503)
    assert "Q.850;cause=44" in lost.get("reason") and has_no(outgoing, "INVITE"), (
        "this end controls circuit 1, so the peer's call is refused"
    )
    for _ in range(3):
        rig.establish_call()
    last = rig.offer_call()[1]
    assert last.get("eiderstep-circuits") == "6", (
        "with no own circuit left, the highest of the peer's is selected"
    )
    outgoing = rig.deliver(21, rig.transit_invite(1, "6"))
    assert only_message(outgoing, "INVITE").get("contact").find("0-2") > 0, (
        "the peer controls circuit 6, so its call goes on"
    )
    recorded = record_events(rig)
    rig.deliver(11, far_response(last, 503, reason="Q.850;cause=44"))
    ended = next(e for e in recorded if isinstance(e, io.AttemptEnded))
    assert ended.cause is io.Cause.NO_CIRCUIT
    assert 6 in rig.engine.trunk_groups[1].busy, "the circuit stays busy with the peer's call"


def test_standing_calls_survive_when_their_office_drains_and_is_unlisted() -> None:
    rig = Rig()
    _, set_up, _ = rig.establish_call()
    entry = io.OfficeEntry("10.0.0.1:1", 1, io.OfficeState.DRAINING)
    rig.engine.update_offices(rig.now, io.ListKind.CHANGES, (entry,))
    rig.flush()
    assert all(flow != 11 for flow, m in rig.deliver(CALLER, rig.invite()) if m.method == "INVITE")
    assert rig.engine.calls, "the standing call goes on"
    other = io.OfficeEntry("10.0.0.2:1", 2, io.OfficeState.UP)
    rig.engine.update_offices(rig.now, io.ListKind.COMPLETE, (other,))
    rig.flush()
    assert "10.0.0.1:1" not in rig.engine.offices and rig.free_circuits() == 7
    assert only_message(rig.deliver(11, far_bye(set_up)), "BYE")


def test_timeout_at_the_deadline_gives_one_final_response() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call(give_up_time="2")
    rig.advance(1.95)  # 50 ms, the answer margin, before the caller's give-up time
    assert len(rig.final_statuses(invite)) == 1
    rig.deliver(11, far_response(set_up, 200))
    assert len(rig.final_statuses(invite)) == 1 and rig.engine.calls, (
        "the call waits for the response to its BYE"
    )


def test_calls_that_time_out_during_a_stall_get_one_final_response() -> None:
    rig = Rig()
    calls = [rig.offer_call(give_up_time="1")[0] for _ in range(3)]
    rig.now += 2 * SECOND
    rig.engine.run_timers(rig.now)
    rig.flush()
    assert all(len(rig.final_statuses(m)) == 1 for m in calls)
    assert all(c.attempt.state is AttemptState.GIVEN_UP for c in rig.engine.calls.values() if c.attempt)


def test_cancel_and_retry_wait_for_a_provisional_response() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call()
    rig.engine._cancel(rig.now, io.Cancel(invite.get("session-id"), 0))
    assert has_no(rig.flush(), "CANCEL")
    assert has_no(rig.advance(1.0), "INVITE"), "no CANCEL was sent, so the attempt is still pending"
    assert only_message(rig.deliver(11, far_response(set_up, 100)), "CANCEL")
    outgoing = rig.deliver(11, far_response(set_up, 487))
    assert has_no(outgoing, "INVITE") and rig.free_circuits() == 8
    outgoing = rig.advance(0.6)
    assert only_message(outgoing, "INVITE"), (
        "retried after the cancelled attempt has ended and the release wait has passed"
    )


def test_a_200_that_crosses_the_modules_cancel_establishes_the_call() -> None:
    rig = Rig()
    invite, set_up = rig.offer_call()
    rig.deliver(11, far_response(set_up, 100))
    rig.engine._cancel(rig.now, io.Cancel(invite.get("session-id"), 0))
    assert only_message(rig.flush(), "CANCEL")
    assert only_message(
        rig.deliver(11, far_response(set_up, 200)), 200
    ).call_id == invite.call_id and rig.final_statuses(invite) == [200]
    assert has_no(rig.advance(2.0), "INVITE")


def test_blocked_circuits_cut_only_the_calls_on_them() -> None:
    rig = Rig()
    recorded = record_events(rig)
    (one_call, first, _), _ = rig.establish_call(), rig.establish_call()
    notify = request(
        "NOTIFY", "sip:x@10.0.0.9", via="SIP/2.0/TCP p;branch=z9hG4bKn1", sender="<sip:p@p>;tag=p",
        to="<sip:x@x>", call_id="n1", cseq=1,
    )  # fmt: skip
    notify.set("contact", "<sip:trunk;tgrp=0-1;trunk-context=t@10.0.0.1>")
    notify.set("event", "eiderstep-circuits")
    notify.set("eiderstep-circuits", f"{first.get('eiderstep-circuits')},4-6")
    outgoing = rig.deliver(21, notify)
    released = [m for _, m in outgoing if m.method == "BYE"]
    assert {m.call_id for m in released} == {one_call.call_id, first.call_id}
    ended = [e for e in recorded if isinstance(e, io.AttemptEnded)]
    assert [e.outcome for e in ended] == [io.Outcome.CUT] and ended[0].report is not None
    assert ended[0].report.size == rig.engine.trunk_groups[1].size == 4


def test_probe_sends_options_and_reports_the_response() -> None:
    rig = Rig()
    recorded = record_events(rig)
    rig.engine._probe(rig.now, io.Probe("10.0.0.1:1"))
    options = only_message(rig.flush(), "OPTIONS")
    rig.now += 30 * MS
    rig.deliver(11, far_response(options, 200, eiderstep_waiting="3"))
    heard = next(e for e in recorded if isinstance(e, io.OfficeHeard))
    assert (
        heard.answered and not heard.unsolicited and heard.elapsed == 30 * MS and heard.report.waiting == 3.0
    )
    rig.engine._probe(rig.now, io.Probe("10.0.0.7:1"))
    rig.flush()
    assert isinstance(recorded[-1], io.OfficeHeard) and not recorded[-1].answered, (
        "without a link the probe is reported as unanswered"
    )


def test_stop_answers_offered_calls_drains_and_finishes() -> None:
    rig = Rig()
    (invite, set_up, ok), (held, _) = rig.establish_call(), rig.offer_call()
    rig.engine.stop(rig.now)
    rig.flush()
    late_invite = rig.invite()
    refused = only_message(rig.deliver(CALLER, late_invite), 503)
    assert refused.get("retry-after") and not any(isinstance(e, fx.Finished) for e in rig.effects)
    rig.advance(3.0)
    assert len(rig.final_statuses(held)) == 1, "an offered call gets its final response"
    outgoing = rig.deliver(CALLER, caller_bye(invite, ok))
    rig.deliver(11, far_response(only_message(outgoing, "BYE"), 200))
    assert set_up and rig.final_statuses(invite) == [200]
    outgoing = rig.advance(40.0)
    assert any(isinstance(e, fx.Finished) for e in rig.effects)


REJECTED_REQUESTS = [
    ({"number": "999"}, {}, 404), ({"number": "abc"}, {}, 404), ({"number": "0000"}, {}, 404),
    ({"class_name": "unheard-of"}, {}, 400),
    ({}, {"require": "100rel"}, 420), ({}, {"max-forwards": "0"}, 483),
    ({}, {"contact": "<sip:t;tgrp=0-7;trunk-context=t@x>"}, 403),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=other@x>"}, 403),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>"}, 400),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>", "eiderstep-circuits": "1,1"}, 400),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>", "eiderstep-circuits": "1,2"}, 400),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>", "eiderstep-circuits": "99"}, 503),
]  # fmt: skip


@pytest.mark.parametrize(("invite_arguments", "headers", "status"), REJECTED_REQUESTS)
def test_unacceptable_invites_get_the_right_status(
    invite_arguments: dict[str, str], headers: dict[str, str], status: int
) -> None:
    rig = Rig()
    other = rig.offer_call()[0]
    bad = rig.invite(**invite_arguments)
    for name, value in headers.items():
        bad.set(name, value)
    outgoing = rig.deliver(21 if "tgrp=0-1" in headers.get("contact", "") else CALLER, bad)
    assert [m.status for _, m in outgoing if m.status >= 200] == [status] and has_no(outgoing, "INVITE")
    assert other.get("session-id") in rig.engine.calls, "other calls are not affected"


def test_other_methods_and_malformed_messages() -> None:
    rig = Rig()
    for method, status in (("REGISTER", 405), ("FLY", 501), ("BYE", 481), ("CANCEL", 481), ("OPTIONS", 200)):
        message = rig.invite()
        message.method = method
        message.headers["cseq"] = [f"1 {method}"]
        assert [m.status for _, m in rig.deliver(CALLER, message)] == [status], method
    bad = BadMessage(400, "no cseq", False, rig.invite())
    rig.engine.handle_message(rig.now, CALLER, bad)
    assert [m.status for _, m in rig.flush()] == [400] and rig.engine.counts["malformed"] == 1
    rig.engine.handle_message(rig.now, CALLER, BadMessage(400, "lost", True))
    rig.flush()
    assert isinstance(rig.effects[-1], fx.CloseFlow)


def test_refusal_that_crosses_the_cancel_for_lost_circuits_is_retried_after_the_release_wait() -> None:
    """A set-up is cancelled because its circuits are lost, and refused before the CANCEL arrives.

    In the scenario mass_cut (seed 103, three servers) the next attempt was sent at once, with the CANCEL of
    the first still in flight.
    """
    rig = Rig()
    invite, set_up = rig.offer_call()
    group = rig.engine.trunk_groups[1]
    for owner in group.block(range(8)):
        rig.engine._cut_leg(rig.now, owner, 38, lost=False)  # type: ignore[arg-type]
    outgoing = rig.deliver(11, far_response(set_up, 100), far_response(set_up, 503, reason="Q.850;cause=44"))
    assert only_message(outgoing, "CANCEL") and has_no(outgoing, "INVITE")
    assert has_no(rig.advance(0.45), "INVITE")
    assert (
        only_message(rig.advance(0.2), "INVITE").call_id != set_up.call_id
        and rig.final_statuses(invite) == []
    )


def test_call_to_own_lines_without_time_left_is_rejected_at_once() -> None:
    """Left to its timer, which runs at the next tick, the rejection would come too late."""
    rig = Rig(lines="10.0.0.9:9")
    rig.engine.link_up(rig.now, "10.0.0.9:9", 30)
    invite = rig.invite("0000", give_up_time="0.05")
    outgoing = rig.deliver(CALLER, invite)
    assert rig.final_statuses(invite) == [480] and has_no(outgoing, "INVITE") and not rig.engine.calls
    assert only_message(rig.deliver(CALLER, rig.invite("0000", give_up_time="0.06")), "INVITE")
