"""One small test for each failure found; the bound is stated in each."""

from dataclasses import replace

from eiderstep import interface as io
from eiderstep.decide import LossSystem
from tests import rig
from tests.rig import MS, SECOND, Rig, addr, refused, sends


def test_blocked_calls_wait_for_a_circuit_most_worth_first() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=0)
    assert not r.call(0)[2:] and not refused(r.call(2))
    freed = sends(r.circuits(1, free=1))
    assert [a.call for a in freed] == ["c2"], "one circuit, and the class of most worth has it"
    late = refused(r.run(r.now + 2 * SECOND))
    assert io.Refuse("c1", SECOND) in late, "refused when it can no longer stand in time"


def test_transit_is_never_held() -> None:
    r = Rig(rig.settings())
    r.circuits(1, free=0)
    assert refused(r.call(0, transit=True, hint=2))


def test_tandem_that_turned_a_call_back_rests_for_that_destination() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2))
    r.circuits(1, free=0)
    r.circuits(2, free=20)
    first = sends(r.call(0))[0]
    r.end(first.call, io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED)
    assert not sends(r.call(0)), "not asked again at once"
    again = sends(r.run(r.now + SECOND) + r.call(0))
    assert addr(2) in [a.office for a in again], "and asked again within a second"


def test_redials_past_their_aim_respect_the_reserve() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=0)
    r.call(0, number="n/1")
    assert refused(r.run(r.now + 2 * SECOND))
    r.circuits(1, free=3)
    assert refused(r.call(0, number="n/1")), "its worth is mostly gone"
    assert sends(r.call(0, number="n/2"))
    r.circuits(1, free=20)
    assert sends(r.call(0, number="n/1")), "but it passes where there is plenty"
    r.run(r.now + 20 * SECOND)
    assert not r.c.refusals, "refused numbers are forgotten"


def test_unanswered_setups_tell_of_a_jam_before_any_answer_does() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2))
    for n in (1, 2):
        r.circuits(n, free=20)
        first = sends(r.call(0, dest=n))[0].call
        r.stand(first)
        r.end(first, io.Outcome.RELEASED, settled=True)
    r.call(0, dest=1)
    r.run(r.now + SECOND)
    got = sum(bool(sends(r.call(0, dest=1))) for _ in range(10))
    assert got <= 2, "an office that has not answered for a second is spared"
    assert sends(r.call(0, dest=2)), "and the others are not"


def test_a_fresh_answer_outweighs_a_report_that_may_be_old() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=30)
    first, second, third = (sends(r.call(2))[0].call for _ in range(3))
    r.stand(first)  # sets the shortest response time
    r.stand(second)
    jam = io.LoadReport(free=30, size=30, waiting=50.0, max_rate=10.0)
    r.end(second, io.Outcome.RELEASED, settled=True, report=jam)
    r.stand(third)
    call = sends(r.call(0))[0].call
    r.stand(call)
    r.run(r.now + 900 * MS)
    assert sum(bool(sends(r.call(0))) for _ in range(30)) <= 2, "without own answers the report counts"


def test_cut_calls_marked_as_repeats_are_not_taken_for_late() -> None:
    r = Rig(rig.settings(redials_marked=True), numbers=(0, 1))
    r.circuits(1, free=3)
    assert refused(r.call(0, redialled=True)), "a late redial leaves the reserve alone"
    assert sends(r.call(0, redialled=True, was_cut=True)), "a cut call has its aim anew"


def test_a_crowd_sent_at_once_is_paced_before_any_answer_is_due() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=200, size=200)
    at_once = sum(bool(sends(r.call(0, was_cut=True))) for _ in range(100))
    assert at_once <= 15, "a mass of cut calls does not all go out in one moment"
    turned_away = len(r.answered)
    assert 50 <= turned_away <= 90, "those that answers can't reach in time are refused at once"
    r.run(r.now + 100 * MS)
    for call in list(r.out):
        r.stand(call, 100 * MS)
    assert sends(r.circuits(1, free=180, size=200)), "and the rest goes when answers come"


def test_own_processor_down_is_not_blamed_on_the_far_office() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2))
    for n in (1, 2):
        r.circuits(n, free=20)
    call = sends(r.call(2))[0].call
    assert not refused(r.end(call, io.Outcome.NOT_SENT, io.Cause.PROCESSOR_FULL)), "the call is held"
    assert sum(bool(sends(r.call(0, dest=2))) for _ in range(30)) <= 3, "only trials while it is down"
    for _ in range(10):
        for a in sends(r.run(r.now + 100 * MS)):
            r.stand(a.call)
        for call in list(r.out):
            r.end(call, io.Outcome.RELEASED, settled=True)
    assert sends(r.call(0, dest=2)) and sends(r.call(0, dest=1)), "and all goes on within a second"


def test_a_named_wait_is_kept() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=20)
    call = sends(r.call(0))[0].call
    leg, office = r.out[call]
    full = (io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL)
    r.give(io.AttemptEnded(call, leg, office, *full, settled=False, took=MS, named_wait=3 * SECOND))
    r.run(r.now + 2900 * MS)
    assert sum(bool(sends(r.call(0))) for _ in range(30)) <= 3
    for _ in range(30):
        for trial in list(r.out):
            r.end(trial, io.Outcome.TURNED_AWAY, io.Cause.NUMBER_BUSY)
        r.run(r.now + 100 * MS)
    assert sends(r.call(0))


def test_the_warm_machine_serves_until_it_drains() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=20)
    new = io.OfficeEntry("10.0.0.30:1", 1, io.OfficeState.UP, r.now)
    r.told(io.ListKind.CHANGES, new)
    assert [a.office for a in sends(r.call(0))] == [addr(1)]
    r.told(io.ListKind.CHANGES, rig.entry(1, io.OfficeState.DRAINING))
    assert [a.office for a in sends(r.call(0))] == [new.office]


def test_several_silent_offices_get_trials_only_and_come_back_within_seconds() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2, 3))
    for n in (1, 2, 3):
        r.circuits(n, free=30)
    got = {1: 0, 2: 0, 3: 0}
    start = r.now

    def offer(until: int, silent: tuple[int, ...]) -> None:
        while r.now < until:
            for n in (1, 2, 3):
                asked = r.circuits(n, free=30) + r.call(0, dest=n)
                if n == 3:
                    asked += r.run(r.now + 100 * MS)
                for a in sends(asked):
                    got[int(a.office.split(":")[0].split(".")[-1])] += 1
                    if a.office not in map(addr, silent):
                        r.stand(a.call)
                        r.end(a.call, io.Outcome.RELEASED, settled=True)
            for call, (leg, office) in list(r.out.items()):
                if r.now >= r.expires[call]:
                    over = call in r.answered
                    nothing = (io.Outcome.NO_ANSWER, io.Cause.NONE)
                    r.give(io.AttemptEnded(call, leg, office, *nothing, settled=over, took=SECOND))

    offer(start + 4 * SECOND, ())
    got.update({1: 0, 2: 0, 3: 0})
    offer(r.now + 10 * SECOND, (1, 2))
    assert got[1] + got[2] <= 30, "of 200 calls to silent offices few go out"
    assert got[3] >= 90, "the office that answers keeps its calls"
    offer(r.now + 6 * SECOND, ())
    got.update({1: 0, 2: 0, 3: 0})
    offer(r.now + 2 * SECOND, ())
    assert min(got.values()) >= 18, "nobody had to tell the module that the trouble was over"


def test_overload_keeps_the_valuable_class() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=400, size=400)
    passed = {0: 0, 2: 0}
    for i in range(600):
        cls = 2 if i % 10 == 0 else 0
        office = r.c.offices[addr(1)]
        office.reduce, office.wait_at = 0.6, r.now
        for a in sends(r.call(cls)):
            passed[cls] += 1
            r.stand(a.call, 20 * MS)
            r.end(a.call, io.Outcome.RELEASED, settled=True)
        r.run(r.now + 10 * MS)
    assert passed[2] >= 55, "the class of most worth is not thinned while others can be"
    assert 120 <= passed[0] <= 300, "and the rest by what was asked"


def test_settings_that_cannot_be_served() -> None:
    for changes in ({"classes": ()}, {"cold_share": 0.0}, {"classes": (replace(rig.PLAIN, aim=0),)}):
        try:
            Rig(rig.settings(**changes))
        except ValueError:
            continue
        raise AssertionError(changes)


def test_a_thin_class_passes_until_its_window_holds_a_few_releases() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    for releases in range(1, 6):
        system = r.c.groups[1].systems[0] = LossSystem(rig.PLAIN.mean_hold)
        system.alpha.add(r.now, 1e6)
        for _ in range(releases):
            system.note((r.now, 10.0, 9, 1))
        system.note((r.now, 100.0, 9, 0))
        r.circuits(1, free=1)
        assert bool(sends(r.call(0))) == (releases < 4), releases


def test_a_pair_without_a_group_goes_over_a_tandem_as_its_planned_route() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2, 3))
    r.circuits(1, free=0, size=0)
    r.circuits(2, free=8)
    assert [a.office for a in sends(r.call(2))] == [addr(2)], "and no attempt is spent on the direct route"
    assert refused(r.call(0, transit=True, hint=3)), "as a tandem we have nothing to offer there"


def test_held_calls_of_a_pair_without_a_group_go_when_a_tandem_has_room() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2))
    r.circuits(1, free=0, size=0)
    r.circuits(2, free=0)
    assert not refused(r.call(2)), "held, not refused"
    assert [a.office for a in sends(r.circuits(2, free=10))] == [addr(2)]
    assert not any(r.c.waiting.values())


def test_tandems_that_never_carried_a_call_there_are_tried_last() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2, 3))
    r.circuits(1, free=0, size=0)
    for n in (2, 3):
        r.circuits(n, free=20)
    vain = []
    for i in range(20):  # tandem 2 has no group to office 1 and turns every call back
        r.circuits(3, free=20)
        got = sends(r.call(0))
        while got and got[0].office == addr(2):
            vain.append(i)
            got = sends(r.end(got[0].call, io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED))
        assert got[0].office == addr(3)
        r.stand(got[0].call)
        r.end(got[0].call, io.Outcome.RELEASED, settled=True)
        r.run(r.now + 5 * SECOND)
    assert len(vain) <= 1, "asked in vain once at most while another tandem carries"


def test_a_centres_advice_is_the_first_tandem_tried() -> None:
    for seed in range(5):
        r = Rig(rig.settings(), seed=seed, numbers=(0, 1, 2, 3, 4))
        r.circuits(1, free=0, size=0)
        for n in (2, 3, 4):
            r.circuits(n, free=20)
        assert [a.office for a in sends(r.call(0, hint=4))] == [addr(4)]
        r.circuits(4, free=0)
        assert [a.office for a in sends(r.call(0, hint=4))] != [addr(4)], "not where the own leg is full"
        assert sends(r.call(0, hint=77)), "nor where nobody knows of it"


def test_the_reserve_of_a_thin_group_lets_planned_transit_pass() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2, 3))
    r.circuits(1, free=4, size=6)
    assert refused(r.call(0, transit=True, hint=2)) == [], "one widest class stays free"
    r.circuits(1, free=3, size=6)
    assert refused(r.call(0, transit=True, hint=2)), "which is the floor where every pair has a group"
    r.circuits(3, free=0, size=0)
    r.circuits(1, free=3, size=6)
    assert sends(r.call(0, transit=True, hint=2)), "where some have none, transit is mostly planned"
    r.circuits(1, free=2, size=6)
    assert refused(r.call(0, transit=True, hint=2)), "but a reserve stays"


def test_own_stall_is_not_blamed_on_the_offices() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2, 3))
    for n in (1, 2, 3):
        r.circuits(n, free=30)
        for _ in range(3):
            call = sends(r.call(2, dest=n))[0].call
            r.stand(call)
            r.end(call, io.Outcome.RELEASED, settled=True)
    out = [sends(r.call(2, dest=n))[0].call for n in (1, 2, 3) for _ in range(2)]
    r.now += 2 * SECOND  # nothing is heard for two seconds, then all at once, timers first
    offers = [r.offer(2, dest=n) for n in (1, 2, 3)]
    answers = [io.CallStands(c, *r.out[c], took=2 * SECOND) for c in out]
    due = [io.TimerDue(token) for at, token in r.timers if at <= r.now]
    r.timers = [(at, token) for at, token in r.timers if at > r.now]
    got = r.give(*due, *answers, *offers)
    assert not any(isinstance(a, io.Note) for a in got), "no office is called silent for it"
    assert len(sends(got)) == 3, "calls that waited go out, and nothing else does"
    r.run(r.now + 100 * MS)
    assert sends(r.call(2, dest=1)), "the answers' age is not taken for the offices' wait"


def test_a_linked_call_turned_back_is_held_and_not_sent_over_another_tandem() -> None:
    r = Rig(rig.settings(), numbers=(0, 1, 2, 3, 4))
    r.circuits(1, free=0)
    for n in (2, 3):
        r.circuits(n, free=20)
    first = sends(r.call(2))[0]
    back = r.end(first.call, io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED)
    assert not sends(back) and not refused(back)
    assert [a.office for a in sends(r.circuits(1, free=2))] == [addr(1)], "it goes direct once it can"
    r.circuits(4, free=0, size=0)
    first = sends(r.call(2, dest=4))[0]
    assert sends(r.end(first.call, io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED)), "planned: goes on"


def test_a_jam_of_the_own_processor_shows_though_some_office_was_sent_to_just_now() -> None:
    r = Rig(rig.settings(), numbers=tuple(range(12)))
    for n in range(1, 12):
        r.circuits(n, free=30)
    for n in range(1, 5):  # one set-up to each, and one more to a far office every 0.3 s: none is answered
        assert sends(r.call(2, dest=n))
        r.run(r.now + 300 * MS)
    got = sum(bool(sends(r.call(0, dest=n))) for n in range(5, 12) for _ in range(4))
    assert got <= 3, "what no path answers is the own processor's wait"
    r.stand(next(iter(reversed(r.out))), took=20 * MS)  # the last one sent is answered: the others are jammed
    assert all(sends(r.call(0, dest=n)) for n in range(6, 12)), "and the paths that answer are used"


def test_what_a_processor_asked_holds_until_its_next_word_is_due() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=400, size=400)
    asks = io.LoadReport(free=400, size=400, reduce=0.9)
    call = sends(r.call(0))[0].call
    r.stand(call)
    r.end(call, io.Outcome.RELEASED, settled=True, report=asks)
    r.run(r.now + 4 * SECOND)
    got = 0
    for _ in range(20):
        for a in sends(r.call(0)):
            got += 1
            r.stand(a.call)
            r.end(a.call, io.Outcome.RELEASED, settled=True)
    assert got <= 13, "one word in seconds is all that a sparse pair hears: it is not forgotten at once"
    r.run(r.now + 60 * SECOND)
    assert all(sends(r.call(2)) for _ in range(2)), "nor kept for good"


def test_a_blocked_call_waits_only_while_circuits_are_likely_to_be_released_in_time() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=0, size=30)  # three releases a second at the usual holding time
    first = r.call(0)
    assert not refused(first) and not sends(first), "one of thirty circuits is likely to be free in time"
    assert refused(r.call(1)) == [], "and three of them, just"
    crowd = [bool(refused(r.call(0))) for _ in range(12)]
    assert not crowd[0] and crowd[-1], "but not for all: those for whom nothing is left are told at once"
    thin = Rig(rig.settings(), numbers=(0, 1))
    thin.circuits(1, free=0, size=1)  # a release in ten seconds: nothing to wait for
    answer = refused(thin.call(0))
    assert answer == [io.Refuse("c1", thin.s.max_pause)], "and told when to come back"


def test_a_held_call_is_refused_when_its_chance_has_gone_and_not_at_its_deadline() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=0, size=20)
    start = r.now
    r.call(0, patience=9 * SECOND)
    while not r.answered:
        r.run(r.now + 10 * MS)
    assert r.now - start < 1100 * MS, "a release takes half a second: past that the aim cannot be met"


def test_a_call_shed_by_what_a_processor_asks_is_answered_at_once() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=400, size=400)
    office = r.c.offices[addr(1)]
    office.reduce, office.wait_at = 0.9, r.now
    got = [r.call(0) for _ in range(30)]
    assert all(sends(a) or refused(a) for a in got), "nothing tells when that will end: none is kept"
    assert sum(bool(refused(a)) for a in got) >= 20


def test_setups_to_an_office_found_silent_are_called_off_and_answered_at_once() -> None:
    r = Rig(rig.settings(), numbers=(0, 1))
    r.circuits(1, free=30)
    calls = [sends(r.call(2, patience=8 * SECOND))[0].call for _ in range(2)]
    start = r.now
    got: list[io.Action] = []
    while len(r.answered) < 2:
        got += r.run(r.now + 10 * MS)
    assert r.now - start < 1300 * MS, "when the breaker opens, not when the caller's time is up"
    assert [a.call for a in got if isinstance(a, io.Cancel)] == calls
    pauses = [a.pause for a in got if isinstance(a, io.Refuse)]
    assert len(pauses) == 2 and all(SECOND <= p <= 2 * SECOND for p in pauses), "then a trial may pass"


def test_sends_given_up_unanswered_tell_no_longer_of_the_own_processor() -> None:
    r = Rig(rig.settings(), numbers=tuple(range(10)))
    for n in range(1, 10):
        r.circuits(n, free=30)
    out = [sends(r.call(2, dest=n, patience=2 * SECOND))[0].call for n in range(1, 6)]
    r.run(r.now + 1900 * MS)
    assert r.c.own_shed() > 0.9
    for call in out:
        r.end(call, io.Outcome.NO_ANSWER)
    assert r.c.own_shed() == 0.0, "after a restart of all there may be no answer for long"
    assert sends(r.call(0, dest=8))


def calm_pair(**changes: object) -> tuple[Rig, io.LoadReport]:
    """An office that answers in 20 ms, and a report by which nothing waits at its processor."""
    r = Rig(rig.settings(**changes), numbers=(0, 1))
    r.circuits(1, free=30)
    for _ in range(4):
        call = sends(r.call(2))[0].call
        r.stand(call)
        r.end(call, io.Outcome.RELEASED, settled=True)
    return r, io.LoadReport(free=30, size=30, reduce=0.0)


def test_a_lost_answer_is_told_by_a_probe_called_off_and_tried_again_in_time() -> None:
    r, calm = calm_pair(may_probe=True)
    start, call = r.now, sends(r.call(2))[0].call
    asked: list[io.Action] = []
    while not asked:
        asked += [a for a in r.run(r.now + 10 * MS) if isinstance(a, io.Probe)]
    got = r.give(io.OfficeHeard(addr(1), False, True, 5 * MS, calm))
    assert io.Cancel(call, 0) in got
    r.end(call, io.Outcome.CANCELLED)
    again = sends(r.run(r.now + r.s.release_wait))
    assert [a.call for a in again] == [call] and r.now - start < r.s.classes[2].aim


def test_a_probe_that_tells_of_a_busy_processor_calls_nothing_off() -> None:
    r, calm = calm_pair(may_probe=True)
    call = sends(r.call(2))[0].call
    probes = [a for a in r.run(r.now + 400 * MS) if isinstance(a, io.Probe)]
    assert len(probes) == 1, "and asks once in an aim"
    busy = replace(calm, reduce=0.5)
    got = r.give(io.OfficeHeard(addr(1), False, True, 5 * MS, busy))
    assert not any(isinstance(a, io.Cancel) for a in got) and call in r.out


def test_a_lost_answer_does_not_shed_its_office_once_a_report_says_that_nothing_waits() -> None:
    r, calm = calm_pair()
    r.call(2)
    r.run(r.now + SECOND)
    r.give()
    assert r.c.shed(r.c.offices[addr(1)]) > 0.9
    r.give(io.OfficeHeard(addr(1), False, True, 5 * MS, calm))
    assert r.c.shed(r.c.offices[addr(1)]) == 0.0


def faults(r: Rig, calls: int, mends: int) -> list[int]:
    """Calls to an office where all fail but, of each ten sent again, `mends`; how many sends each had."""
    counts, again = [], 0
    for _ in range(calls):
        r.now += 20 * MS
        r.circuits(1, free=30)
        call, had = sends(r.call(0))[0].call, 1
        while True:
            if had > 1:
                again += 1
                if again % 10 < mends:
                    r.stand(call)
                    r.end(call, io.Outcome.RELEASED, settled=True)
                    break
            if not sends(r.end(call, io.Outcome.FAULT)):
                break
            had += 1
        counts.append(had)
    return counts


def test_a_set_up_that_failed_by_chance_is_sent_again_the_same_way() -> None:
    r = Rig(rig.settings(attempt_cap=6), numbers=(0, 1))
    assert sum(faults(r, 40, mends=3)[20:]) > 40, "three in ten stand: each goes on trying"
    assert max(faults(r, 20, mends=1)) == 6, "and up to the attempt cap"


def test_set_ups_that_fail_every_time_are_soon_not_sent_again() -> None:
    r = Rig(rig.settings(attempt_cap=6), numbers=(0, 1))
    first = faults(r, 10, mends=0)
    assert sum(first) - 10 <= 19, "a bounded number to learn it"
    assert sum(faults(r, 100, mends=0)) <= 100 + 8, "two seconds: a few to see whether it still holds"
    r.now += 60 * SECOND
    assert max(faults(r, 1, mends=0)) == 6, "and it is tried anew once that was long ago"


def test_a_busy_number_is_not_asked_again() -> None:
    r = Rig(rig.settings(attempt_cap=6), numbers=(0, 1))
    r.circuits(1, free=20)
    call = sends(r.call(0))[0].call
    assert refused(r.end(call, io.Outcome.FAULT, io.Cause.NUMBER_BUSY))


def quicker(k: int) -> Rig:
    """The same world with all its times `k` times as short."""
    base = rig.settings()
    classes = tuple(
        replace(c, aim=c.aim // k, give_up=c.give_up // k, mean_hold=c.mean_hold // k) for c in base.classes
    )
    quick = replace(base, classes=classes, release_wait=base.release_wait // k, max_pause=base.max_pause // k)
    return Rig(quick, numbers=(0, 1, 2))


def test_a_world_four_times_as_quick_is_judged_alike() -> None:
    """Told in seconds, word of a full processor outlived its queue where all else was quicker."""
    seen = []
    for k in (1, 4):
        r = quicker(k)
        r.circuits(1, free=20)
        call = sends(r.call(0))[0].call
        said = refused(r.end(call, io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL, took=20 * MS // k))
        office = r.c.offices[addr(1)]
        sheds = []
        for _ in range(12):
            r.now += 200 * MS // k
            r.c.now = r.now
            sheds.append(round(r.c.shed(office), 6))
        assert isinstance(said[0], io.Refuse)
        office.silence(r.now, r.c.rng)
        office.silence(r.now, r.c.rng)
        trial = (office.retry_at - r.now) * k // MS
        seen.append((sheds, said[0].pause * k // MS, trial))
    assert seen[0] == seen[1]
    assert seen[0][0][0] == 0.97 and seen[0][0][-1] < 0.3, "near all is shed at first, little in the end"


def test_a_set_up_that_failed_is_not_sent_again_without_time_for_an_answer() -> None:
    r = Rig(rig.settings(attempt_cap=6), numbers=(0, 1))
    r.circuits(1, free=20)
    first = sends(r.call(0))[0].call
    r.stand(first, took=100 * MS)
    late, timely = (sends(r.call(0, patience=500 * MS))[0].call for _ in range(2))
    r.now += 399 * MS
    assert sends(r.end(timely, io.Outcome.FAULT))
    r.now += 1 * MS
    assert not sends(r.end(late, io.Outcome.FAULT))
