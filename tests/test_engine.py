"""The hard crossings, one by one, without a socket."""

from __future__ import annotations

import gc

import pytest

from eiderstep import interface as io
from eiderstep.config.schema import CallClass, Peer, Route
from eiderstep.engine import effects as fx
from eiderstep.engine.calls import Attempt, AttemptState, Call
from eiderstep.sip.dialog import acknowledge
from eiderstep.sip.message import Message, request
from eiderstep.sip.parser import BadMessage
from tests.sip_rig import CALLER, MS, SECOND, Rig, answer, bye, cancel_of, far_bye, none, one


def events_of(r: Rig) -> list[io.Event]:
    """All that the module is told from here on."""
    heard: list[io.Event] = []
    handle = r.engine.controller.handle

    def spy(now: int, events: list[io.Event]) -> list[io.Action]:
        heard.extend(events)
        return handle(now, events)

    r.engine.controller.handle = spy  # type: ignore[method-assign]
    return heard


def test_a_call_from_set_up_to_release() -> None:
    r = Rig()
    heard = events_of(r)
    mine, set_up, ok = r.stand()
    assert set_up.get("session-id") == mine.get("session-id") and set_up.get("max-forwards") == "69"
    assert "tgrp=0-1;trunk-context=t" in set_up.get("contact") and r.free() == 7
    fresh = r.give(CALLER, bye(mine, ok))
    out = one(fresh, "BYE")
    assert r.free() == 7, "the circuit is the far end's until it has answered the release"
    r.give(11, answer(out, 200))
    assert r.free() == 8 and not r.engine.calls and not r.engine.dialogs and not r.engine.on_flow
    kinds = [type(e) for e in heard]
    assert kinds.count(io.CallStands) == 1 and kinds.count(io.AttemptEnded) == 1
    ended = next(e for e in heard if isinstance(e, io.AttemptEnded))
    assert ended.outcome is io.Outcome.RELEASED and ended.settled


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
def test_what_the_module_is_told_of_a_refusal(
    status: int, reason: str, wait: str, outcome: io.Outcome, cause: io.Cause
) -> None:
    r = Rig()
    heard = events_of(r)
    _, set_up = r.call()
    refusal = answer(set_up, status)
    refusal.set("reason", reason or None)
    refusal.set("retry-after", wait or None)
    refusal.headers["via"] = [refusal.get("via") + ';oc=12;oc-algo="rate"']
    refusal.set("eiderstep-waiting", "5")
    fresh = r.give(11, refusal)
    assert one(fresh, "ACK").branch == set_up.branch
    ended = next(e for e in heard if isinstance(e, io.AttemptEnded))
    assert (ended.outcome, ended.cause, ended.named_wait) == (outcome, cause, 2 * SECOND if wait else 0)
    assert ended.report == io.LoadReport(free=8, size=8, waiting=5.0, max_rate=12.0)


def test_cancel_crosses_the_200() -> None:
    r = Rig()
    mine, set_up = r.call()
    r.give(11, answer(set_up, 100))
    fresh = r.give(CALLER, cancel_of(mine))
    assert one(fresh, "CANCEL").branch == set_up.branch and one(fresh, 487).call_id == mine.call_id
    fresh = r.give(11, answer(set_up, 200))  # sent before the CANCEL got there
    assert one(fresh, "ACK") and one(fresh, "BYE")
    r.give(11, answer(one(fresh, "BYE"), 200))
    assert r.finals(mine) == [487] and r.free() == 8 and not r.engine.calls


def test_a_200_after_the_attempt_was_given_up_is_acknowledged_and_released() -> None:
    r = Rig()
    mine, set_up = r.call(patience="1")
    r.give(11, answer(set_up, 100))
    fresh = r.run(2.0)
    assert one(fresh, "CANCEL") and r.finals(mine) in ([504], [503]) and r.free() == 7
    fresh = r.give(11, answer(set_up, 200))
    release = one(fresh, "BYE")
    assert one(fresh, "ACK") and release.to_tag
    r.give(11, answer(release, 200))
    assert r.free() == 8 and len(r.finals(mine)) == 1 and not r.engine.calls


def test_a_200_of_a_set_up_that_is_forgotten_is_released_too() -> None:
    r = Rig()
    mine, set_up = r.call(patience="1")
    r.give(11, answer(set_up, 100))
    r.run(40.0)  # no final word in 64 x T1 after the CANCEL: the circuits come back
    assert r.free() == 8 and not r.engine.calls and len(r.finals(mine)) == 1
    fresh = r.give(11, answer(set_up, 200))
    assert one(fresh, "ACK") and one(fresh, "BYE").to_tag


def test_a_200_that_comes_again_is_acknowledged_and_the_call_stands_on() -> None:
    r = Rig()
    mine, set_up, _ = r.stand()
    fresh = r.give(11, answer(set_up, 200))
    assert [m.method for _, m in fresh] == ["ACK"] and r.finals(mine) == [200] and r.free() == 7
    forked = answer(set_up, 200)
    forked.headers["to"] = [set_up.get("to") + ";tag=another"]
    assert [m.method for _, m in r.give(11, forked)] == ["ACK", "BYE"], "another far end answered too"
    assert r.free() == 7 and len(r.engine.calls) == 1


def test_what_is_over_is_freed_without_the_collector() -> None:
    r = Rig()
    gc.collect()
    gc.disable()
    try:
        for end in ("release", "refuse", "cancel"):
            mine, set_up = r.call()
            if end == "refuse":
                r.give(11, answer(set_up, 486))
                r.give(CALLER, acknowledged(mine, r))
            elif end == "cancel":
                r.give(11, answer(set_up, 100))
                r.give(CALLER, cancel_of(mine))
                r.give(CALLER, acknowledged(mine, r))
                r.give(11, answer(set_up, 487))
                r.run(40.0)  # the timers that watched over the CANCEL
            else:
                ok = one(r.give(11, answer(set_up, 200)), 200)
                r.give(CALLER, acknowledged(mine, r))
                r.give(11, answer(one(r.give(CALLER, bye(mine, ok)), "BYE"), 200))
            left = [o for o in gc.get_objects() if isinstance(o, Call | Attempt)]
            assert not left, (end, left)
    finally:
        gc.enable()


def acknowledged(invite: Message, r: Rig) -> Message:
    """The ACK of the final answer that the caller got."""
    final = next(m for _, m in reversed(r.sent) if m.status >= 200 and m.call_id == invite.call_id)
    success = final.status < 300
    via = "SIP/2.0/TCP c;branch=z9hG4bKack" + invite.call_id if success else invite.get("via")
    return acknowledge(invite, final, via)


def test_bye_crosses_bye() -> None:
    r = Rig()
    heard = events_of(r)
    mine, set_up, ok = r.stand()
    ours = one(r.give(CALLER, bye(mine, ok)), "BYE")
    fresh = r.give(11, far_bye(set_up))
    assert [m.status for _, m in fresh] == [200] and r.free() == 8
    r.give(11, answer(ours, 481))
    assert sum(isinstance(e, io.AttemptEnded) for e in heard) == 1 and not r.engine.calls
    assert [m.status for _, m in r.give(CALLER, bye(mine, ok, 3))] == [481]


def test_bye_crosses_a_re_invite() -> None:
    r = Rig()
    mine, set_up, ok = r.stand()
    again = r.invite()
    again.headers |= {
        "call-id": [mine.call_id],
        "from": [mine.get("from")],
        "to": [ok.get("to")],
        "cseq": ["2 INVITE"],
    }
    assert [m.status for _, m in r.give(CALLER, again)] == [488], (
        "sessions are not changed; the call stands on"
    )
    fresh = r.give(11, far_bye(set_up))
    assert one(fresh, "BYE").call_id == mine.call_id
    late = r.invite()
    late.headers |= {
        "call-id": [mine.call_id],
        "from": [mine.get("from")],
        "to": [ok.get("to")],
        "cseq": ["3 INVITE"],
    }
    assert [m.status for _, m in r.give(CALLER, late)][-1] in (481, 488)


def test_the_far_end_cuts_and_the_module_knows_it_from_a_release() -> None:
    for reason, outcome in (("Q.850;cause=38", io.Outcome.CUT), ("Q.850;cause=16", io.Outcome.RELEASED)):
        r = Rig()
        heard = events_of(r)
        _, set_up, _ = r.stand()
        fresh = r.give(11, far_bye(set_up, reason))
        assert one(fresh, "BYE").get("reason") == reason and r.free() == 8
        assert [e.outcome for e in heard if isinstance(e, io.AttemptEnded)] == [outcome]


def test_a_peer_that_dies_between_set_up_and_answer_is_a_reset() -> None:
    r = Rig()
    heard = events_of(r)
    mine, _ = r.call()
    r.engine.flow_lost(r.now, 11)
    r.flush()
    ended = next(e for e in heard if isinstance(e, io.AttemptEnded))
    assert ended.outcome is io.Outcome.CUT and not ended.settled and r.free() == 8
    assert any(isinstance(e, fx.Dial) and e.address == "10.0.0.1:1" for e in r.effects[-3:])
    sent = [(r.now, m) for _, m in r.run(0.499) if m.method == "INVITE"]
    assert not sent, "the release is awaited"
    r.run(5.0)
    assert len(r.finals(mine)) == 1


def test_a_connection_lost_with_500_calls_standing() -> None:
    group = Peer(number=1, address="10.0.0.1:1", circuits=600)
    r = Rig(peers=[group], dial_plan=[Route(prefix="1", exchange=1)], links=(1,))
    heard = events_of(r)
    mine = [r.stand()[0] for _ in range(500)]
    assert r.free() == 100 and len(r.engine.on_flow[11]) == 500
    r.engine.flow_lost(r.now, 11)
    fresh = r.flush()
    assert sorted(m.call_id for _, m in fresh if m.method == "BYE") == sorted(m.call_id for m in mine)
    cut = [e for e in heard if isinstance(e, io.AttemptEnded) and e.outcome is io.Outcome.CUT]
    assert len(cut) == 500 and r.free() == 600
    r.give(CALLER, *[answer(m, 200) for _, m in fresh if m.method == "BYE"])
    assert not r.engine.calls and not r.engine.dialogs and not r.engine.on_flow


def test_the_same_invite_twice() -> None:
    r = Rig()
    mine, set_up = r.call()
    assert none(r.give(CALLER, mine), "INVITE"), "the same branch: a resend, which the transaction takes"
    copy = Message("INVITE", mine.uri, 0, "", {k: v[:] for k, v in mine.headers.items()})
    copy.headers["via"] = ["SIP/2.0/TCP other;branch=z9hG4bKother"]
    assert [m.status for _, m in r.give(CALLER, copy)] == [482], "another branch: merged (section 8.2.2.2)"
    r.give(11, answer(set_up, 200))
    assert r.finals(mine) == [482, 200]  # one for each transaction


def test_a_caller_that_vanishes_while_its_call_is_held() -> None:
    quick = CallClass(name="plain", aim=3 * SECOND, give_up=9 * SECOND, mean_hold=SECOND)
    r = Rig(classes=[quick])
    heard = events_of(r)
    for _ in range(4):
        r.stand("1000")
    # Every other circuit is lost, so a further call finds none and waits.
    r.engine.ledgers[1].block(set(range(8)) - set(r.engine.ledgers[1].busy))
    r.engine.ledgers[2].block(range(8))
    r.engine.dirty |= {1, 2}
    r.flush()
    mine = r.invite()
    fresh = r.give(3, mine)
    assert none(fresh, "INVITE") and mine.get("session-id") in r.engine.calls
    r.engine.flow_lost(r.now, 3)
    r.flush()
    assert isinstance(heard[-1], io.CallGone) and mine.get("session-id") not in r.engine.calls
    assert none(r.run(5.0), "INVITE") and not r.finals(mine)


def test_both_ends_seize_one_circuit() -> None:
    r = Rig()
    # Exchange 0 is the lower number, so exchange 1 controls the even circuits, exchange 0 the odd ones.
    mine, set_up = r.call()
    assert set_up.get("eiderstep-circuits") == "1", "own circuits first"
    fresh = r.give(21, r.from_peer(1, "1"))
    lost = one(fresh, 503)
    assert "Q.850;cause=44" in lost.get("reason") and none(fresh, "INVITE"), "we control it: theirs yields"
    for _ in range(3):
        r.stand()
    last = r.call()[1]
    assert last.get("eiderstep-circuits") == "6", "no own circuit left: from the top of theirs"
    fresh = r.give(21, r.from_peer(1, "6"))
    assert one(fresh, "INVITE").get("contact").find("0-2") > 0, "they control it: ours yields, theirs goes on"
    heard = events_of(r)
    r.give(11, answer(last, 503, reason="Q.850;cause=44"))
    ended = next(e for e in heard if isinstance(e, io.AttemptEnded))
    assert ended.cause is io.Cause.NO_CIRCUIT
    assert 6 in r.engine.ledgers[1].busy, "the circuit is the other call's, not free"


def test_a_register_that_names_what_is_gone_and_drains() -> None:
    r = Rig()
    _, set_up, _ = r.stand()
    entry = io.OfficeEntry("10.0.0.1:1", 1, io.OfficeState.DRAINING)
    r.engine.news(r.now, io.ListKind.CHANGES, (entry,))
    r.flush()
    assert all(flow != 11 for flow, m in r.give(CALLER, r.invite()) if m.method == "INVITE")
    assert r.engine.calls, "the standing call goes on"
    gone = io.OfficeEntry("10.0.0.2:1", 2, io.OfficeState.UP)
    r.engine.news(r.now, io.ListKind.COMPLETE, (gone,))
    r.flush()
    assert "10.0.0.1:1" not in r.engine.offices and r.free() == 7
    assert one(r.give(11, far_bye(set_up)), "BYE")


def test_a_time_out_at_the_very_deadline_gets_one_answer() -> None:
    r = Rig()
    mine, set_up = r.call(patience="2")
    r.run(1.95)  # the margin of 50 ms before the caller's time is up
    assert len(r.finals(mine)) == 1
    r.give(11, answer(set_up, 200))
    assert len(r.finals(mine)) == 1 and r.engine.calls, "its release is awaited"


def test_a_stall_of_two_seconds_is_told_by_late_timers_and_answers_all() -> None:
    r = Rig()
    calls = [r.call(patience="1")[0] for _ in range(3)]
    r.now += 2 * SECOND
    r.engine.due(r.now)
    r.flush()
    assert all(len(r.finals(m)) == 1 for m in calls)
    assert all(c.attempt.state is AttemptState.GIVEN_UP for c in r.engine.calls.values() if c.attempt)


def test_without_a_provisional_answer_the_cancel_waits_and_nothing_is_sent_again_before_it() -> None:
    r = Rig()
    mine, set_up = r.call()
    r.engine._cancel(r.now, io.Cancel(mine.get("session-id"), 0))
    assert none(r.flush(), "CANCEL")
    assert none(r.run(1.0), "INVITE"), "not cancelled on the wire, so it is still out"
    assert one(r.give(11, answer(set_up, 100)), "CANCEL")
    fresh = r.give(11, answer(set_up, 487))
    assert none(fresh, "INVITE") and r.free() == 8
    fresh = r.run(0.6)
    assert one(fresh, "INVITE"), "called off and the release awaited: tried again"


def test_a_200_that_crosses_the_modules_cancel_still_counts() -> None:
    r = Rig()
    mine, set_up = r.call()
    r.give(11, answer(set_up, 100))
    r.engine._cancel(r.now, io.Cancel(mine.get("session-id"), 0))
    assert one(r.flush(), "CANCEL")
    assert one(r.give(11, answer(set_up, 200)), 200).call_id == mine.call_id and r.finals(mine) == [200]
    assert none(r.run(2.0), "INVITE")


def test_lost_circuits_cut_their_calls_and_no_others() -> None:
    r = Rig()
    heard = events_of(r)
    (one_call, first, _), _ = r.stand(), r.stand()
    notify = request(
        "NOTIFY", "sip:x@10.0.0.9", via="SIP/2.0/TCP p;branch=z9hG4bKn1", sender="<sip:p@p>;tag=p",
        to="<sip:x@x>", call_id="n1", cseq=1,
    )  # fmt: skip
    notify.set("contact", "<sip:trunk;tgrp=0-1;trunk-context=t@10.0.0.1>")
    notify.set("event", "eiderstep-circuits")
    notify.set("eiderstep-circuits", f"{first.get('eiderstep-circuits')},4-6")
    fresh = r.give(21, notify)
    gone = [m for _, m in fresh if m.method == "BYE"]
    assert {m.call_id for m in gone} == {one_call.call_id, first.call_id}
    ended = [e for e in heard if isinstance(e, io.AttemptEnded)]
    assert [e.outcome for e in ended] == [io.Outcome.CUT] and ended[0].report is not None
    assert ended[0].report.size == r.engine.ledgers[1].size == 4


def test_a_probe_is_an_options_and_its_answer_is_told() -> None:
    r = Rig()
    heard = events_of(r)
    r.engine._probe(r.now, io.Probe("10.0.0.1:1"))
    options = one(r.flush(), "OPTIONS")
    r.now += 30 * MS
    r.give(11, answer(options, 200, eiderstep_waiting="3"))
    told = next(e for e in heard if isinstance(e, io.OfficeHeard))
    assert told.answered and not told.unasked and told.took == 30 * MS and told.report.waiting == 3.0
    r.engine._probe(r.now, io.Probe("10.0.0.7:1"))
    r.flush()
    assert isinstance(heard[-1], io.OfficeHeard) and not heard[-1].answered, "no link: no answer"


def test_a_stop_answers_all_drains_and_ends() -> None:
    r = Rig()
    (mine, set_up, ok), (held, _) = r.stand(), r.call()
    r.engine.stop(r.now)
    r.flush()
    late = r.invite()
    refused = one(r.give(CALLER, late), 503)
    assert refused.get("retry-after") and not any(isinstance(e, fx.Finished) for e in r.effects)
    r.run(3.0)
    assert len(r.finals(held)) == 1, "a call that was taken has its answer"
    fresh = r.give(CALLER, bye(mine, ok))
    r.give(11, answer(one(fresh, "BYE"), 200))
    assert set_up and r.finals(mine) == [200]
    fresh = r.run(40.0)
    assert any(isinstance(e, fx.Finished) for e in r.effects)


UNFIT = [
    ({"number": "999"}, {}, 404), ({"number": "abc"}, {}, 404), ({"number": "0000"}, {}, 404),
    ({"cls": "unheard-of"}, {}, 400), ({}, {"require": "100rel"}, 420), ({}, {"max-forwards": "0"}, 483),
    ({}, {"contact": "<sip:t;tgrp=0-7;trunk-context=t@x>"}, 403),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=other@x>"}, 403),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>"}, 400),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>", "eiderstep-circuits": "1,1"}, 400),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>", "eiderstep-circuits": "1,2"}, 400),
    ({}, {"contact": "<sip:t;tgrp=0-1;trunk-context=t@x>", "eiderstep-circuits": "99"}, 503),
]  # fmt: skip


@pytest.mark.parametrize(("made", "headers", "status"), UNFIT)
def test_requests_that_are_not_served_get_the_right_status(
    made: dict[str, str], headers: dict[str, str], status: int
) -> None:
    r = Rig()
    other = r.call()[0]
    bad = r.invite(**made)
    for name, value in headers.items():
        bad.set(name, value)
    fresh = r.give(21 if "tgrp=0-1" in headers.get("contact", "") else CALLER, bad)
    assert [m.status for _, m in fresh if m.status >= 200] == [status] and none(fresh, "INVITE")
    assert other.get("session-id") in r.engine.calls, "others go on"


def test_other_methods_and_malformed_ones() -> None:
    r = Rig()
    for method, status in (("REGISTER", 405), ("FLY", 501), ("BYE", 481), ("CANCEL", 481), ("OPTIONS", 200)):
        message = r.invite()
        message.method = method
        message.headers["cseq"] = [f"1 {method}"]
        assert [m.status for _, m in r.give(CALLER, message)] == [status], method
    bad = BadMessage(400, "no cseq", False, r.invite())
    r.engine.message(r.now, CALLER, bad)
    assert [m.status for _, m in r.flush()] == [400] and r.engine.counts["malformed"] == 1
    r.engine.message(r.now, CALLER, BadMessage(400, "lost", True))
    r.flush()
    assert isinstance(r.effects[-1], fx.CloseFlow)


def test_a_set_up_on_lost_circuits_that_is_refused_first_is_not_sent_again_at_once() -> None:
    """Found on mass_cut, seed 103, three servers: sent again in the same moment, a CANCEL being out."""
    r = Rig()
    mine, set_up = r.call()
    number = r.engine.ledgers[1]
    for owner in number.block(range(8)):
        r.engine._cut(r.now, owner, 38, lost=False)  # type: ignore[arg-type]
    fresh = r.give(11, answer(set_up, 100), answer(set_up, 503, reason="Q.850;cause=44"))
    assert one(fresh, "CANCEL") and none(fresh, "INVITE")
    assert none(r.run(0.45), "INVITE")
    assert one(r.run(0.2), "INVITE").call_id != set_up.call_id and r.finals(mine) == []


def test_a_call_for_our_own_lines_that_has_no_time_left_is_answered_at_once() -> None:
    """On the next tick of the timers it would be too late."""
    r = Rig(lines="10.0.0.9:9")
    r.engine.link_up(r.now, "10.0.0.9:9", 30)
    mine = r.invite("0000", patience="0.05")
    fresh = r.give(CALLER, mine)
    assert r.finals(mine) == [480] and none(fresh, "INVITE") and not r.engine.calls
    assert one(r.give(CALLER, r.invite("0000", patience="0.06")), "INVITE")
