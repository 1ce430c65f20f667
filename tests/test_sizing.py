"""Tests of trunk group sizing.

Loss formulas are compared with exact arithmetic and published tables.  Estimation, verdicts and advice run on
simulated or constructed buckets, the meter and the store on their own, and all of it through the call server.
"""

from __future__ import annotations

import itertools
import json
import math
import sqlite3
from dataclasses import replace
from fractions import Fraction
from pathlib import Path
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from typer.testing import CliRunner

from eiderstep.cli import app
from eiderstep.lab import sizing_runs as lab
from eiderstep.lab.arrivals import Outage, Redials, TrafficKind, daily_profile, simulate_group
from eiderstep.sizing import erlang, mixed, network, overflow
from eiderstep.sizing.bucket import Bucket, Counts
from eiderstep.sizing.estimate import Load, Verdict, dispersion, estimate_loads, judge
from eiderstep.sizing.meter import Meter
from eiderstep.sizing.mixed import Stream
from eiderstep.sizing.network import Network, pair
from eiderstep.sizing.recommend import advise, circuits_for
from eiderstep.sizing.store import Store
from eiderstep.sizing.summary import SizingGoals, explain, summarize

SECOND = 1_000_000_000
HOUR = 3600 * SECOND


# -- formulas ----------------------------------------------------------------------------------------------


def exact_erlang_b(n: int, a: Fraction) -> Fraction:
    """Erlang's formula in exact fractions."""
    terms = [a**k / math.factorial(k) for k in range(n + 1)]
    return terms[-1] / sum(terms)


@pytest.mark.parametrize("n", [0, 1, 2, 3, 10, 60, 200])
@pytest.mark.parametrize("a", [Fraction(1, 100), Fraction(1), Fraction(17, 3), Fraction(90), Fraction(400)])
def test_erlang_b_matches_exact_arithmetic(n: int, a: Fraction) -> None:
    exact = float(exact_erlang_b(n, a))
    assert erlang.erlang_b(n, float(a)) == pytest.approx(exact, rel=1e-12)
    if exact > 1e-250:
        assert erlang.erlang_b_real(n, float(a)) == pytest.approx(exact, rel=1e-10)


ERLANG_B_TABLE = {  # by blocking: circuits and the erlangs that they carry, as in textbooks
    0.01: {1: 0.0101, 2: 0.1526, 3: 0.4555, 5: 1.3608, 10: 4.4612, 20: 12.031, 50: 37.901, 100: 84.064},
    0.02: {1: 0.0204, 2: 0.2235, 5: 1.6571, 10: 5.0840, 20: 13.182, 50: 40.255, 100: 87.972},
    0.05: {1: 0.0526, 2: 0.3813, 5: 2.2185, 10: 6.2157, 20: 15.249, 50: 44.533},
}  # fmt: skip


@pytest.mark.parametrize("target", ERLANG_B_TABLE)
def test_inverse_functions_match_published_table(target: float) -> None:
    for n, load in ERLANG_B_TABLE[target].items():
        found = erlang.load_for(n, target)
        assert float(f"{found:.5g}") == pytest.approx(load, abs=0.6 * 10 ** -(4 if load < 10 else 3))
        assert erlang.erlang_b(n, found) == pytest.approx(target, rel=1e-11)
        assert erlang.circuits_for(found * 0.9999, target) == n
        assert erlang.circuits_for_real(found, target) == pytest.approx(n, abs=1e-6)


@settings(deadline=None)
@given(st.floats(0.05, 150), st.floats(0.1, 80))
def test_erlang_b_for_real_circuits_satisfies_recursion(n: float, a: float) -> None:
    """B(n+1) = a B(n) / (n + 1 + a B(n)) also holds for real n, and B decreases with n."""
    b, more = erlang.erlang_b_real(n, a), erlang.erlang_b_real(n + 1, a)
    assert more == pytest.approx(a * b / (n + 1 + a * b), rel=1e-9)
    assert more < b or b < 1e-300


def test_engset_matches_exact_arithmetic() -> None:
    for n, sources, idle_load in ((1, 2, Fraction(1, 2)), (3, 7, Fraction(2, 5)), (10, 40, Fraction(1, 3))):

        def time_congestion(count: int, n: int = n, idle_load: Fraction = idle_load) -> float:
            terms = [math.comb(count, k) * idle_load**k for k in range(n + 1)]
            return float(terms[-1] / sum(terms))

        found = erlang.engset(n, sources, float(idle_load))
        assert found[0] == pytest.approx(time_congestion(sources), rel=1e-12)
        assert found[1] == pytest.approx(time_congestion(sources - 1), rel=1e-12)
    assert erlang.engset(5, 5, 3.0) == (erlang.engset(5, 5, 3.0)[0], 0.0), (
        "with a circuit for each source no call is blocked"
    )
    assert erlang.engset(4, 100_000, 2e-5)[1] == pytest.approx(erlang.erlang_b(4, 2.0), rel=1e-4)


@settings(deadline=None)
@given(st.integers(1, 80), st.floats(0.01, 150), st.floats(0, 0.98))
def test_extended_b_solves_fixed_point_and_is_inverted(n: int, a: float, redial_probability: float) -> None:
    blocking, total_load = erlang.extended_b(n, a, redial_probability)
    assert total_load == pytest.approx(a / (1 - redial_probability * blocking), rel=1e-9)
    assert erlang.first_try_load(n, total_load, redial_probability) == pytest.approx(a, rel=1e-9)


def exact_mixed_blocking(n: int, streams: list[Stream]) -> list[float]:
    """Blocking by the product form, summed over every combination of calls."""
    weights: dict[int, float] = {}
    for calls in itertools.product(*(range(n // s.width + 1) for s in streams)):
        busy = sum(k * s.width for k, s in zip(calls, streams, strict=True))
        if busy <= n:
            weight = math.prod(s.load**k / math.factorial(k) for k, s in zip(calls, streams, strict=True))
            weights[busy] = weights.get(busy, 0.0) + weight
    total = sum(weights.values())
    return [sum(w for b, w in weights.items() if b + s.width > n) / total for s in streams]


@pytest.mark.parametrize("n", [0, 1, 2, 3, 4, 11, 30])
def test_kaufman_roberts_matches_product_form(n: int) -> None:
    streams = [Stream(2.5), Stream(0.7, 2), Stream(1.1, 3)]
    assert mixed.blocking(n, streams) == pytest.approx(exact_mixed_blocking(n, streams), rel=1e-9)
    assert mixed.blocking(n, [Stream(4.0)]) == pytest.approx([erlang.erlang_b(n, 4.0)], rel=1e-12)
    distribution = mixed.state_distribution(2000, [Stream(1800.0), Stream(300.0, 3)])
    assert distribution.sum() == pytest.approx(1.0) and (distribution >= 0).all()


def test_reservation_matches_birth_death_chain() -> None:
    n, direct, overflow_load, reserve = 4, 2.0, 3.0, 2
    rates = [direct + (overflow_load if x < n - reserve else 0.0) for x in range(n)]
    weights = [1.0]
    for x in range(n):
        weights.append(weights[-1] * rates[x] / (x + 1))
    found = mixed.reservation_blocking(n, direct, overflow_load, reserve)
    assert found == pytest.approx(
        (weights[n] / sum(weights), sum(weights[n - reserve :]) / sum(weights)), rel=1e-12
    )
    assert mixed.reservation_blocking(6, 3.0, 2.0, 0) == pytest.approx(
        (erlang.erlang_b(6, 5.0),) * 2, rel=1e-12
    )
    assert mixed.blocking(n, [Stream(direct), Stream(overflow_load, 1, reserve)]) == pytest.approx(
        found, rel=1e-12
    )


@settings(deadline=None, max_examples=40)
@given(st.integers(1, 60), st.floats(0.3, 1.6))
def test_equivalent_group_recovers_original_group(n: int, tightness: float) -> None:
    a = n * tightness
    mean, variance = overflow.overflow_moments(n, a)
    if mean < 1e-6:
        return
    load, circuits = overflow.equivalent_group(mean, variance)
    assert load == pytest.approx(a, rel=1e-5) and circuits == pytest.approx(n, rel=1e-5, abs=1e-4)
    assert overflow.wilkinson(3, mean, variance) == pytest.approx(
        a * erlang.erlang_b(n + 3, a) / mean, rel=1e-4
    )


def test_hayward_and_fredericks_approximations() -> None:
    assert overflow.hayward(12, 8.0, 1.0) == pytest.approx(erlang.erlang_b(12, 8.0), rel=1e-10)
    assert overflow.hayward(12, 8.0, 0.6) < erlang.erlang_b(12, 8.0) < overflow.hayward(12, 8.0, 2.0)
    mean, variance = overflow.overflow_moments(30, 28.0)
    for n in (4, 8, 12):
        exact = overflow.wilkinson(n, mean, variance)
        assert overflow.hayward(n, mean, variance / mean) == pytest.approx(exact, abs=0.08)
    n = overflow.peaked_circuits_for(10.0, 2.5, 0.01)
    assert overflow.hayward(n, 10.0, 2.5) <= 0.01 < overflow.hayward(n - 1, 10.0, 2.5)
    assert overflow.peaked_circuits_for(10.0, 2.5, 0.01, module=24) % 24 == 0
    losses = overflow.fredericks(30, [(12.0, 1, 1.0), (2.0, 3, 1.0)])
    exact_losses = mixed.blocking(30, [Stream(12.0), Stream(2.0, 3)])
    assert losses == pytest.approx(exact_losses, rel=0.35)


OUT_OF_RANGE_CALLS = [
    lambda: erlang.erlang_b(-1, 1.0), lambda: erlang.erlang_b(3, -0.1), lambda: erlang.load_for(5, 1.0),
    lambda: erlang.load_for(0, 0.1), lambda: erlang.circuits_for(5.0, 0.0),
    lambda: erlang.extended_b(3, 1.0, 1.0), lambda: erlang.engset(3, -1, 0.1),
    lambda: mixed.state_distribution(3, [Stream(1.0, 0)]), lambda: mixed.reservation_blocking(3, 1, 1, 4),
    lambda: overflow.equivalent_group(1.0, 0.5), lambda: overflow.hayward(3, 1.0, 0.0),
    lambda: circuits_for([1.0], [1], [0.0], 1.0),
]  # fmt: skip


@pytest.mark.parametrize("what", OUT_OF_RANGE_CALLS, ids=range(len(OUT_OF_RANGE_CALLS)))
def test_arguments_out_of_range_raise_value_error(what: object) -> None:
    with pytest.raises(ValueError, match="found .*allowed"):
        what()  # type: ignore[operator]


# -- networks ----------------------------------------------------------------------------------------------


def symmetric_network(circuits: int = 6, load: float = 3.0, reserve: int = 1) -> Network:
    pairs = [pair(a, b) for a in range(3) for b in range(a)]
    return Network(range(3), [1], {p: [load] for p in pairs}, dict.fromkeys(pairs, circuits), reserve)


def test_fixed_point_of_symmetric_network() -> None:
    """By symmetry one equation remains: B = B(n, a, overflow of the two other pairs)."""
    point = network.fixed_point(symmetric_network())
    assert point.converged
    direct_blocking, overflow_blocking = (
        next(iter(point.direct.values()))[0],
        next(iter(point.overflow.values()))[0],
    )
    overflow_load = 2 * 3.0 * direct_blocking * (1 - overflow_blocking)
    assert mixed.reservation_blocking(6, 3.0, overflow_load, 1) == pytest.approx(
        (direct_blocking, overflow_blocking), rel=1e-6
    )
    lost = next(iter(point.lost.values()))[0]
    assert lost == pytest.approx(direct_blocking * (1 - (1 - overflow_blocking) ** 2), rel=1e-6)
    no_alternates = Network(
        range(3), [1], symmetric_network().loads, symmetric_network().circuits, alternates=False
    )
    assert network.fixed_point(no_alternates).worst() == pytest.approx(erlang.erlang_b(6, 3.0), rel=1e-6)


def test_network_sizes_are_close_to_exhaustive_search() -> None:
    pairs = [(0, 1), (0, 2), (1, 2)]
    for seed in range(4):
        rng = Random(seed)
        net = Network(range(3), [1], {p: [rng.uniform(0.5, 4.0)] for p in pairs}, dict.fromkeys(pairs, 1))
        target = [0.03]
        plan = network.size_groups(net, target)
        assert plan.point.worst() <= target[0]
        fewest = min(
            sum(sizes) for sizes in itertools.product(range(1, 11), repeat=3)
            if sum(sizes) <= plan.cost
            and network.fixed_point(
                Network(net.nodes, net.widths, net.loads, dict(zip(pairs, sizes, strict=True)), net.reserve)
            ).worst() <= target[0]
        )  # fmt: skip
        assert plan.cost <= fewest + 1, (plan.circuits, fewest)


def test_pair_without_group_is_sized_over_tandem() -> None:
    net = Network(range(3), [1], {(0, 1): [2.0], (0, 2): [1.0], (1, 2): [1.0]}, {(0, 2): 1, (1, 2): 1}, 0)
    plan = network.size_groups(net, [0.02])
    assert plan.point.lost[0, 1][0] <= 0.02 and set(plan.circuits) == {(0, 2), (1, 2)}
    with pytest.raises(ValueError, match="no way|no group"):
        network.size_groups(Network(range(3), [1], {(0, 1): [2.0]}, {(0, 2): 1}), [0.02])


# -- estimation --------------------------------------------------------------------------------------------


def simulate_buckets(
    kinds: list[TrafficKind], circuits: int, hours: float, seed: int, **options: object
) -> list[Bucket]:
    """Buckets of a simulated group; the simulation uses none of the formulas under test."""
    meter, buckets = Meter({1: circuits}, len(kinds), 0), list[Bucket]()

    def roll(at: float) -> None:
        buckets.extend(b for _, b in meter.close_buckets(int(at * SECOND), int(at * SECOND)))

    simulate_group(kinds, circuits, hours * 3600, seed, meter, on_period=roll, **options)  # type: ignore[arg-type]
    return buckets


def test_load_estimate_is_unaffected_by_outage_and_redials() -> None:
    """Guards against counting redials and outage time as load.

    All tries times the holding time would overestimate this load by a third or more.
    """
    buckets = simulate_buckets(
        [TrafficKind(12)], 11, 12, 5, redials=Redials(0.7), outages=[Outage(3600, 4 * 3600, 0.3, 0.4)]
    )
    (load,) = estimate_loads(buckets, 1)
    assert load.low <= 12 <= load.high and load.high - load.low < 2.5
    tries_per_second = sum(b.classes[0].first + b.classes[0].redials for b in buckets) / (12 * 3600)
    assert tries_per_second * load.hold > 12 * 1.25
    uncensored_tries = sum(b.classes[0].first + b.classes[0].redials for b in buckets if not b.censored)
    seconds = sum(b.length for b in buckets if not b.censored) / SECOND
    without_redials = erlang.first_try_load(11, uncensored_tries / seconds * load.hold, 0.7)
    assert without_redials == pytest.approx(12, rel=0.1), (
        "redials that are not counted apart are removed from the load"
    )


@pytest.mark.parametrize(
    "kinds, circuits, hours, verdict",
    [
        ([TrafficKind(8)], 8, 8, Verdict.TOO_SMALL),
        ([TrafficKind(8)], 20, 8, Verdict.ENOUGH),
        ([TrafficKind(8)], 15, 0.4, Verdict.CANNOT_TELL),
        ([TrafficKind(0.3)], 1, 12, Verdict.TOO_SMALL),
        ([TrafficKind(0.02)], 3, 40, Verdict.ENOUGH),
        ([TrafficKind(1, width=3)], 4, 8, Verdict.TOO_SMALL),
        ([TrafficKind(0.0)], 4, 8, Verdict.CANNOT_TELL),
        ([TrafficKind(10, dispersion=6)], 17, 12, Verdict.TOO_SMALL),
    ],
)  # fmt: skip
def test_verdicts_on_simulated_groups(
    kinds: list[TrafficKind], circuits: int, hours: float, verdict: Verdict
) -> None:
    found = judge(simulate_buckets(kinds, circuits, hours, 3), [k.width for k in kinds], [0.02])
    assert found.verdict is verdict, found
    if verdict is Verdict.CANNOT_TELL:
        assert found.hours_more is None or found.hours_more > 0


def hour_bucket(hour: int, first: int, blocked: int = 0, **overrides: int) -> Bucket:
    """One hour of a group of ten circuits whose calls stand 100 s."""
    held = first - blocked
    counts = Counts(
        first=first, blocked_first=blocked, held=held, hold=held * 100 * SECOND, standing=held * 100 * SECOND,
        hold_squared=held * 2.0e4,
    )  # fmt: skip
    group_figures = {"circuits": 10, "busy": 0, "in_service": 10 * HOUR} | overrides
    return Bucket(hour * HOUR, HOUR, classes=(counts,), **group_figures)


def test_unlucky_losses_are_distinguished_from_too_small_group() -> None:
    """4% of the calls are lost in two bad hours, but the load explains at most 2%: the size is sufficient."""
    buckets = [hour_bucket(h, 120) for h in range(40)] + [
        hour_bucket(40, 120, 100),
        hour_bucket(41, 120, 110),
    ]
    found = judge(buckets, [1], [0.02])
    assert found.verdict is Verdict.UNLUCKY and (found.measured[0] or 0) > 0.02, found


def test_no_verdict_from_censored_or_empty_buckets() -> None:
    all_censored = judge([hour_bucket(h, 100, 60, in_service=4 * HOUR) for h in range(9)], [1], [0.02])
    assert all_censored.verdict is Verdict.CANNOT_TELL and "censored" in all_censored.reason
    assert judge([], [1], [0.02]).verdict is Verdict.CANNOT_TELL
    no_tries = judge([hour_bucket(h, 0) for h in range(9)], [1], [0.02])
    assert no_tries.verdict is Verdict.CANNOT_TELL and no_tries.measured == [None]


def test_refusals_for_other_causes_count_as_load_but_not_as_blocking() -> None:
    counts = Counts(first=360, refused=300, held=60, hold=60 * 100 * SECOND, standing=60 * 100 * SECOND)
    buckets = [Bucket(h * HOUR, HOUR, 10, 0, 10 * HOUR, classes=(counts,)) for h in range(24)]
    found = judge(buckets, [1], [0.02])
    assert found.measured == [0.0] and found.loads[0].load == pytest.approx(10.0)
    assert found.verdict is Verdict.TOO_SMALL, "calls refused for other causes count as load"


def test_fully_blocked_class_is_too_small_without_advice() -> None:
    counts = Counts(first=50, blocked_first=50)
    buckets = [Bucket(h * HOUR, HOUR, 2, 0, 2 * HOUR, classes=(counts,)) for h in range(4)]
    found = summarize(1, buckets, SizingGoals(["wide"], [3], [0.02]))
    assert found.judgement.verdict is Verdict.TOO_SMALL and "none of 200" in found.judgement.reason
    assert found.advice is None, "without a holding time there is no load to size for"
    no_call_ended = judge([Bucket(0, HOUR, 9, 0, 9 * HOUR, classes=(Counts(first=9),))], [1], [0.02])
    assert no_call_ended.verdict is Verdict.CANNOT_TELL and "ended" in no_call_ended.reason


def test_load_of_other_pairs_is_included_in_size() -> None:
    def hour(h: int, others: int) -> Bucket:
        own = hour_bucket(h, 36)
        return replace(own, classes=(replace(own.classes[0], for_others=others),))

    own_only = summarize(1, [hour(h, 0) for h in range(24)], SizingGoals(["a"], [1], [0.02]))
    with_others = summarize(1, [hour(h, 360) for h in range(24)], SizingGoals(["a"], [1], [0.02]))
    assert own_only.advice is not None and with_others.advice is not None
    assert own_only.advice.circuits == circuits_for([1.0], [1], [0.02], 1.0)
    assert with_others.advice.circuits == circuits_for([11.0], [1], [0.02], 1.0)
    assert own_only.judgement.verdict is Verdict.ENOUGH, "ten circuits are enough for one erlang"
    assert with_others.judgement.verdict is Verdict.TOO_SMALL, (
        "ten circuits are too few for eleven erlangs, including those of other pairs"
    )
    assert any(
        "other pairs send 10.00 erlangs" in line
        for line in explain(with_others, SizingGoals(["a"], [1], [0.02]))
    )


def test_outage_in_busy_hour_is_filled_in_from_other_days() -> None:
    def day(number: int, censored: bool) -> list[Bucket]:
        overrides = {"in_service": 2 * HOUR} if censored else {}
        return [
            hour_bucket(24 * number + h, 30 if censored and h == 11 else 360 if h == 11 else 90,
                        **(overrides if h == 11 else {}))
            for h in range(24)
        ]  # fmt: skip

    without_outage = estimate_loads(day(0, False) + day(1, False), 1)[0]
    with_outage = estimate_loads(day(0, False) + day(1, True), 1)[0]
    assert with_outage.rate == pytest.approx(without_outage.rate, rel=1e-9)


def test_drifting_load_is_not_classified_as_peaked() -> None:
    rng = Random(1)
    steady = [sum(rng.random() < 0.02 for _ in range(5000)) for _ in range(400)]
    drifting = [sum(rng.random() < 0.01 + 0.00005 * i for _ in range(5000)) for i in range(400)]
    assert dispersion(steady, [1] * 400) < 1.2 and dispersion(drifting, [1] * 400) < 1.2
    bursts = [n if i % 2 else 0 for i, n in enumerate(steady)]
    assert dispersion(bursts, [1] * 400) > 20


def test_advised_size_meets_target_and_one_circuit_fewer_does_not() -> None:
    for found, widths in (
        ([Load(8, 7, 9, 0, 0, 1.0, 500)], [1]),
        ([Load(5.3, 5.2, 5.4, 0, 0, 1.0, 500)], [1]),
        ([Load(6, 5, 7, 0, 0, 1.0, 500), Load(1.5, 1, 2, 0, 0, 1.0, 90)], [1, 3]),
        ([Load(6, 5, 7, 0, 0, 4.0, 500)], [1]),
    ):
        targets = [0.02] * len(widths)
        advice = advise(found, 5, widths, targets, price=2.0)
        assert advice.low <= advice.circuits <= advice.high and max(advice.blocking) <= 0.02
        assert advice.cost == 2.0 * (advice.circuits - 5)
        fewer = advise(found, advice.circuits - 1, widths, targets)
        assert fewer.circuits > advice.circuits - 1 and advice.overflow_then < advice.overflow_now
        assert advise(found, 5, widths, targets, module=24).circuits % 24 == 0
    assert advise([Load(0, 0, 0, 0, 0, 1.0, 0)], 4, [1], [0.01]).circuits == 0


def test_daily_variation_does_not_bias_load_estimate() -> None:
    (load,) = estimate_loads(simulate_buckets([TrafficKind(10)], 30, 48, 2, profile=daily_profile()), 1)
    assert load.load == pytest.approx(10, rel=0.06)


# -- meter and store ---------------------------------------------------------------------------------------


def test_meter_integrates_times_and_recognises_redials_by_number() -> None:
    meter = Meter({1: 10}, 1, 0, redial_window=60 * SECOND)
    assert not meter.record_try(0, 1, 0, "sip:1", False)
    meter.record_blocked(1, 0, False, True)
    meter.record_failed_call(0, 0, "sip:1")
    assert meter.record_try(5 * SECOND, 1, 0, "sip:1", False), (
        "a call to a number refused 5 s ago is a redial"
    )
    assert not meter.record_try(6 * SECOND, 1, 0, "sip:1", False), (
        "a refusal makes only one later call a redial"
    )
    assert meter.record_try(7 * SECOND, 1, 0, "sip:9", True), "a call marked by its caller is a redial"
    meter.set_circuit_counts(10 * SECOND, 1, 10, 10)
    meter.record_call_standing(10 * SECOND, 1, 0)
    meter.set_circuit_counts(20 * SECOND, 1, 4, 8)
    meter.set_link_up(30 * SECOND, 1, False)
    meter.record_call_ended(40 * SECOND, 1, 0, 30 * SECOND)
    ((_, found),) = meter.close_buckets(60 * SECOND, 100 * SECOND)
    assert (found.start, found.length) == (40 * SECOND, 60 * SECOND)
    assert found.busy == (10 * 10 + 4 * 40) * SECOND and found.in_service == (10 * 20 + 8 * 40) * SECOND
    assert (found.full, found.out, found.censored) == (10 * SECOND, 30 * SECOND, True)
    (counts,) = found.classes
    assert (counts.first, counts.redials, counts.blocked_first, counts.overflowed) == (2, 2, 1, 1)
    assert (counts.held, counts.hold, counts.standing) == (1, 30 * SECOND, 30 * SECOND)
    assert meter.holding_times(1, 0).get_value_at_percentile(50) == pytest.approx(30_000, rel=0.02)
    assert list(meter.close_buckets(60 * SECOND, 0)) == []
    restarted = Meter({1: 10}, 1, 0)
    restarted.restore_holding_times(
        meter.encode_holding_times()
        | {(9, 0): b"of a group that is gone", (1, 0): meter.encode_holding_times()[1, 0]}
    )
    restarted.record_call_ended(0, 1, 0, 30 * SECOND)
    assert restarted.holding_times(1, 0).get_total_count() == 2, "holding times are kept over a restart"
    restarted.restore_holding_times({(1, 0): b"damaged"})
    assert restarted.holding_times(1, 0).get_total_count() == 2
    for n in range(20_000):
        meter.record_failed_call(61 * SECOND, 0, f"sip:{n}")
    assert len(meter.refused_at) == 10_000, "the list of refused numbers is bounded"


def test_store_survives_restart_and_clock_set_back(tmp_path: Path) -> None:
    path = tmp_path / "m.db"
    store = Store(path)
    store.write_meta(exchange="4")
    store.add_buckets([(1, hour_bucket(5, 10)), (2, hour_bucket(5, 20))])
    store.add_buckets([(1, hour_bucket(3, 30))])  # clock set back two hours: added, nothing overwritten
    store.add_buckets([(1, hour_bucket(5, 40))])
    store.write_holding_times({(1, 0): b"first"})
    store.write_holding_times({(1, 0): b"latest", (2, 0): b"other"})
    store.close()
    store = Store(path)
    assert store.read_holding_times() == {(1, 0): b"latest", (2, 0): b"other"}
    assert store.read_meta() == {"exchange": "4"} and store.groups() == [1, 2]
    assert [b.classes[0].first for b in store.buckets(1)] == [10, 30, 40]
    assert store.buckets(2) == [hour_bucket(5, 20)]
    assert [b.classes[0].first for b in store.buckets(1, since=4 * HOUR)] == [10, 40]


def test_downsampling_keeps_sums_and_outages(tmp_path: Path) -> None:
    store = Store(tmp_path / "m.db")
    minute = HOUR // 60
    for n in range(3 * 24 * 60):
        out = minute if 100 <= n < 110 else 0
        counts = (Counts(first=2, held=1, hold=SECOND, standing=SECOND),)
        store.add_buckets([(1, Bucket(n * minute, minute, 10, 5 * minute, 10 * minute, out, classes=counts))])
    before = store.buckets(1)
    fewer = store.downsample(3 * 24 * HOUR)
    after = store.buckets(1)
    assert fewer == len(before) - len(after) and len(after) < 1440 + 200 + 20
    for name in ("length", "busy", "in_service", "out"):
        assert sum(getattr(b, name) for b in before) == sum(getattr(b, name) for b in after)
    assert sum(b.classes[0].first for b in after) == 2 * 3 * 24 * 60
    assert sum(b.length for b in after if b.censored) == 10 * minute
    assert [b.start for b in after] == sorted(b.start for b in after)
    assert store.downsample(3 * 24 * HOUR) == 0, "a second run finds nothing to join"


@pytest.mark.parametrize("damage", ["garbage", "truncated", "overwritten"])
def test_damaged_store_is_renamed_and_recreated(tmp_path: Path, damage: str) -> None:
    path = tmp_path / "m.db"
    store = Store(path)
    for h in range(200):
        store.add_buckets([(1, hour_bucket(h, 10))])
    store.db.execute("PRAGMA wal_checkpoint(TRUNCATE)")
    store.close()
    intact = path.read_bytes()
    path.write_bytes({
        "garbage": b"not a database at all" * 300,
        "truncated": intact[: len(intact) // 2],
        "overwritten": intact[:5000] + b"\xff" * 20_000 + intact[25_000:],
    }[damage])  # fmt: skip
    recreated = Store(path)
    assert recreated.damaged_path is not None and recreated.damaged_path.exists() and recreated.groups() == []
    recreated.add_buckets([(1, hour_bucket(1, 5))])
    assert len(recreated.buckets(1)) == 1


def test_store_in_missing_folder_raises_error(tmp_path: Path) -> None:
    with pytest.raises(sqlite3.Error):
        Store(tmp_path / "nowhere" / "m.db")


# -- through the real call server --------------------------------------------------------------------------


CASES = [
    lab.Case("one circuit", (TrafficKind(0.4, mean_hold=3),), 1, 240),
    lab.Case("wide on four", (TrafficKind(0.5, mean_hold=3, width=3),), 4, 240),
    lab.Case("redials and an outage", (TrafficKind(5, mean_hold=3),), 5, 240, redials=2,
             outages=(Outage(80, 120, 0.4),)),
]  # fmt: skip


@pytest.mark.parametrize("case", CASES, ids=lambda c: c.name)
def test_call_server_measures_the_offered_load(case: lab.Case) -> None:
    outcome = lab.run_case(case, 2)
    assert outcome.audit_report.passed and not (outcome.left_calls or outcome.left_circuits or outcome.errors)
    found = estimate_loads(outcome.buckets, len(case.kinds))
    for load, kind in zip(found, case.kinds, strict=True):
        assert load.low * 0.9 <= kind.load <= load.high * 1.1 and load.hold == pytest.approx(
            kind.mean_hold, rel=0.35
        )
    judged = judge(outcome.buckets, [k.width for k in case.kinds], [0.02])
    assert judged.verdict in (Verdict.TOO_SMALL, Verdict.CANNOT_TELL)
    assert any(b.censored for b in outcome.buckets) == bool(case.outages)


@pytest.mark.parametrize("circuits", [4, 30])
def test_resizing_to_advised_size_cuts_no_standing_calls(circuits: int) -> None:
    """One group grows, one shrinks: no call is cut, no circuit stays busy and no rule is broken."""
    case = lab.Case("resized", (TrafficKind(6, mean_hold=3),), circuits, 240, seconds_after_resize=150)
    outcome = lab.run_case(case, 4)
    assert outcome.audit_report.passed and not (outcome.left_calls or outcome.left_circuits or outcome.errors)
    assert outcome.advice is not None and 9 <= outcome.advice.circuits <= 13 and not outcome.cut_calls
    assert {b.circuits for b in outcome.buckets_after_resize} == {outcome.advice.circuits}
    assert outcome.loss_share(outcome.buckets_after_resize, 0) < 0.08


SETTINGS_SCRIPT = """
number = 0
listen = "127.0.0.1:0"
context = "midlands"
classes = [call_class(name = "a", aim = s(1), give_up = s(9), mean_hold = s(100))]
peers = [peer(number = n, address = "127.0.0.1:%d" % (7000 + n), circuits = 10) for n in (1, 2)]
dial_plan = [route(prefix = "1", exchange = 1)]
sizing = sizing(store = "{store}", target = 0.02, module = 6)
"""


def test_size_commands_only_read_the_store(tmp_path: Path) -> None:
    store_path, settings_path = tmp_path / "m.db", tmp_path / "site.star"
    settings_path.write_text(SETTINGS_SCRIPT.replace("{store}", str(store_path)))
    runner = CliRunner()
    no_store = runner.invoke(app, ["size", "measure", str(settings_path)])
    assert no_store.exit_code == 2 and "has the call server run" in no_store.output
    store = Store(store_path)
    for h in range(48):
        store.add_buckets([(1, hour_bucket(h, 360, 90)), (2, hour_bucket(h, 30))])
    before = store.buckets(1)
    groups = json.loads(runner.invoke(app, ["size", "recommend", str(settings_path), "--json"]).output)
    assert [g["verdict"] for g in groups] == ["too small", "enough"]
    assert groups[0]["advised"]["circuits"] == 18 and groups[0]["advised"]["cost"] == 8
    explanation = runner.invoke(app, ["size", "explain", str(settings_path), "1"]).output
    assert "load 10.00 erlangs" in explanation and "Erlang B(10, 10.00) = 0.2146" in explanation
    what_if = runner.invoke(app, ["size", "what-if", str(settings_path), "1", "17", "--factor", "0.5"]).output
    assert "17" in what_if and "0.0184" in what_if, "0.0184 is the blocking of five erlangs on ten circuits"
    unknown_group = runner.invoke(app, ["size", "explain", str(settings_path), "7"])
    assert unknown_group.exit_code == 2 and "allowed: 1, 2" in unknown_group.output
    html_path = tmp_path / "page.html"
    assert runner.invoke(app, ["size", "report", str(settings_path), "--out", str(html_path)]).exit_code == 0
    html = html_path.read_text()
    assert html.count("data:image/png;base64,") == 2 and "too small" in html and "http" not in html
    assert store.buckets(1) == before
    store.close()
    store_path.write_bytes(b"no database" * 500)
    damaged = runner.invoke(app, ["size", "measure", str(settings_path)])
    message = " ".join(damaged.output.replace("\u2502", " ").split())
    assert damaged.exit_code == 2 and "cannot be read: file is not a database" in message
    assert store_path.exists() and len(list(tmp_path.glob("m.db.damaged*"))) == 0, (
        "a read-only command does not rename a damaged store"
    )
