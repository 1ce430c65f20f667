"""Tests of the emulator: hosts, conditions, processors, links, scenarios, and overlapping troubles."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from msgspec.structs import replace

from eiderstep.config.load import ConfigError
from eiderstep.lab import day as days
from eiderstep.lab.clock import CallbackLimitExceeded, VirtualLoop
from eiderstep.lab.emulator import rehearse as lab
from eiderstep.lab.emulator.conditions import COMBINATIONS, Conditions
from eiderstep.lab.emulator.hosts import Host
from eiderstep.lab.emulator.scenario import Draws, Scenario, list_scenarios, load
from eiderstep.lab.emulator.troubles import TROUBLES
from eiderstep.lab.script import MS, SECOND, TROUBLE_KINDS, Trouble
from eiderstep.sip.message import split_address
from eiderstep.standin.processor import WARM_UP_SHAPES, Processor, ProcessorConfig, warm_up_progress

ROOT = Path(__file__).resolve().parent.parent
SCENARIOS = ROOT / "scenarios"

SHORT = """
title = "short"
group = "traffic"
length = s(6)
classes = usual_classes()
rules = usual_rules()
traffic = traffic(rate = draw("rate", 8, 12), shares = [0.71, 0.09, 0.20])
fleet = fleet(count = 4, circuits = 20)
troubles = [
    trouble(kind = "slow", at = s(1), lasts = s(draw("lasts", 1, 3)), exchanges = [1], factor = draw("factor", 2.0, 40.0)),
    trouble(kind = "delay", at = s(1), lasts = s(2), exchanges = [2], factor = 5.0),
]
expect = [expect(what = "service", least = 0.1)]
"""  # noqa: E501


@pytest.fixture
def short(tmp_path: Path) -> Path:
    path = tmp_path / "traffic" / "short.star"
    path.parent.mkdir()
    path.write_text(SHORT)
    return path


def run_virtual(
    test: Callable[[VirtualLoop], Coroutine[Any, Any, None]], loop: VirtualLoop | None = None
) -> None:
    """Run a test on a virtual loop, and check that no callback failed."""
    loop = loop or VirtualLoop()
    try:
        loop.run_until_complete(test(loop))
        assert loop.errors == []
    finally:
        loop.close()


# -- loop and hosts --------------------------------------------------------------------------------------


def test_timers_due_at_the_same_time_run_in_the_order_they_were_set() -> None:
    ran: list[int] = []

    async def run(loop: VirtualLoop) -> None:
        due = loop.time() + 1
        handles = [loop.call_at(due, ran.append, n) for n in range(1500)]
        for n in range(1500):
            if n % 3:
                handles[n].cancel()
        assert len(loop.timers) < 1500, "cancelled timers must be removed from the heap"
        await asyncio.sleep(2)

    run_virtual(run)
    assert ran == list(range(0, 1500, 3))


def test_endless_run_is_stopped_at_the_same_callback_each_time() -> None:
    ends = []
    for _ in range(2):
        loop = VirtualLoop(max_callbacks=5000)

        async def forever() -> None:
            while True:
                await asyncio.sleep(0.001)

        with pytest.raises(CallbackLimitExceeded):
            loop.run_until_complete(forever())
        ends.append((loop.callbacks_run, loop.time()))
        loop.max_callbacks = 0
        days.cancel_remaining_tasks(loop)
        loop.close()
    assert ends[0] == ends[1]


def test_free_addresses_are_unique_and_have_valid_ports() -> None:
    loop = VirtualLoop()
    addresses = [loop.free_address() for _ in range(100_000)]
    loop.close()
    assert len(set(addresses)) == len(addresses)
    assert all(0 < split_address(address)[1] < 65536 for address in addresses)


class Recorder(asyncio.Protocol):
    """Records what arrives, with the time, and sends it back if `echo`."""

    def __init__(self, loop: VirtualLoop, received: list[tuple[float, bytes]], echo: bool) -> None:
        self.loop, self.received, self.echo = loop, received, echo

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.received.append((round(self.loop.time(), 4), data))
        if self.echo:
            self.transport.write(data)


async def connect_to_echo_server(
    loop: VirtualLoop, host: Host, received: list[tuple[float, bytes]], echoed: list[tuple[float, bytes]]
) -> Any:
    """Start an echo server on a host and connect to it; returns the client's transport."""
    with host.as_current():
        server = await loop.create_server(lambda: Recorder(loop, received, True))
    transport, _ = await loop.create_connection(
        lambda: Recorder(loop, echoed, False), *server.sockets[0].getsockname()
    )
    return transport


def test_frozen_host_receives_everything_in_order_after_the_freeze() -> None:
    received: list[tuple[float, bytes]] = []
    echoed: list[tuple[float, bytes]] = []
    ticks: list[float] = []

    async def run(loop: VirtualLoop) -> None:
        host, other = Host(loop, "one"), Host(loop, "other")
        transport = await connect_to_echo_server(loop, host, received, echoed)
        with host.as_current():
            loop.call_later(0.5, lambda: ticks.append(loop.time()))
        with other.as_current():
            loop.call_later(0.5, lambda: ticks.append(loop.time()))
        began = loop.time()
        host.pause(3.0)
        host.pause(1.0)  # ends before the first pause does
        for n in range(5):
            transport.write(b"%d" % n)
            await asyncio.sleep(0.2)
        # The operating system accepts connections while the process is frozen.
        late, _ = await loop.create_connection(lambda: Recorder(loop, echoed, False), "127.0.0.1", 20001)
        late.write(b"new")
        assert received == []
        await asyncio.sleep(3)
        assert [data for _, data in received] == [b"0", b"1", b"2", b"3", b"4", b"new"]
        assert all(at == round(began + 3.0, 4) for at, _ in received)
        assert [round(t - began, 3) for t in ticks] == [0.5, 3.0], "only the frozen host's timers wait"
        assert len(echoed) == 6

    run_virtual(run)


def test_arriving_bytes_wait_for_a_busy_processor_and_timers_do_not() -> None:
    received: list[tuple[float, bytes]] = []

    async def run(loop: VirtualLoop) -> None:
        processor = Processor(ProcessorConfig(10.0), loop.time, lambda after, what: None, None)
        host = Host(loop, "one", processor)
        transport = await connect_to_echo_server(loop, host, received, [])
        began = loop.time()
        for _ in range(5):
            transport.write(b"INVITE sip:x")
        ticks: list[float] = []
        with host.as_current():
            loop.call_later(0.01, lambda: ticks.append(loop.time() - began))
        await asyncio.sleep(1)
        gaps = [
            round(later - earlier, 3)
            for (earlier, _), (later, _) in zip(received, received[1:], strict=False)
        ]
        assert gaps == [0.02] * 4, "reading an INVITE is a fifth of a set-up, which takes a tenth of a second"
        assert ticks == [pytest.approx(0.01)]
        processor.slow_factor = 10.0
        transport.write(b"INVITE sip:x")
        sent_at = loop.time()
        await asyncio.sleep(0.1)
        assert len(received) == 5
        await asyncio.sleep(0.2)
        assert received[5][0] - sent_at == pytest.approx(0.2005, abs=0.001)
        await asyncio.sleep(1)  # the echoed INVITE is a set-up and therefore work too
        processor.slow_factor = 1.0
        host.hang(1.0)
        host.hang(0.5)  # ends before the first hang does
        assert host.queueing_delay() == pytest.approx(1.0)
        await asyncio.sleep(0.5)
        host.hang(1.0)
        transport.write(b"INVITE sip:x")
        sent_at = loop.time()
        await asyncio.sleep(2)
        assert received[6][0] - sent_at == pytest.approx(1.02, abs=0.001), (
            "it waits for the end of the last hang and is then read itself"
        )

    run_virtual(run)


def test_lost_segments_arrive_late_and_in_order() -> None:
    received: list[tuple[float, bytes]] = []

    async def run(loop: VirtualLoop) -> None:
        loop.set_place("here")
        with Host(loop, "far").as_current():
            server = await loop.create_server(lambda: Recorder(loop, received, False))
        loop.set_place("there")
        transport, _ = await loop.create_connection(
            lambda: Recorder(loop, [], False), *server.sockets[0].getsockname()
        )
        loop.network.loss_shares["there", "here"] = 0.3
        for n in range(200):
            transport.write(b"%03d" % n)
            await asyncio.sleep(0.01)
        await asyncio.sleep(10)

    run_virtual(run)
    assert [data for _, data in received] == [b"%03d" % n for n in range(200)]
    assert len({at for at, _ in received}) < 150, "some segments must wait for a lost one before them"


# -- conditions and processors ---------------------------------------------------------------------------


@given(
    st.lists(
        st.tuples(st.sampled_from(sorted(COMBINATIONS)), st.floats(0, 1), st.integers(0, 5)), max_size=30
    )
)
def test_values_return_to_their_defaults_in_whatever_order_conditions_end(
    drawn: list[tuple[str, float, int]],
) -> None:
    conditions = Conditions()
    begun = [(conditions.begin(1, kind, value), order) for kind, value, order in drawn]
    for kind, (_, default) in COMBINATIONS.items():
        if all(condition.kind != kind for condition, _ in begun):
            assert conditions.combined_value(1, kind) == default
    for condition, _ in sorted(begun, key=lambda pair: pair[1]):
        conditions.end(condition)
        conditions.end(condition)
    assert all(conditions.combined_value(1, kind) == default for kind, (_, default) in COMBINATIONS.items())


def test_conditions_of_one_kind_are_combined_by_its_rule() -> None:
    conditions = Conditions()
    first, second = conditions.begin(1, "slow", 3.0), conditions.begin(1, "slow", 4.0)
    assert conditions.combined_value(1, "slow") == 12.0 and conditions.combined_value(2, "slow") == 1.0
    conditions.end(first)
    assert conditions.combined_value(1, "slow") == 4.0
    conditions.end(second)
    conditions.begin(1, "lose_answers", 0.5)
    conditions.begin(1, "lose_answers", 0.5)
    conditions.begin(1, "circuits", 0.2)
    conditions.begin(1, "circuits", 0.7)
    assert (
        conditions.combined_value(1, "lose_answers") == 0.75
        and conditions.combined_value(1, "circuits") == 0.2
    )
    with pytest.raises(KeyError):
        conditions.begin(1, "no such thing")


@pytest.mark.parametrize("shape", WARM_UP_SHAPES)
def test_warm_up_rises_monotonically_from_cold_to_warm(shape: str) -> None:
    steps = [warm_up_progress(shape, n / 50) for n in range(-5, 60)]
    assert steps == sorted(steps) and steps[0] == 0 and steps[-1] == 1


def test_processor_works_in_order_or_takes_answers_first() -> None:
    def run_processor(first: bool) -> tuple[list[str], float]:
        done: list[str] = []
        loop = VirtualLoop()

        async def run(loop: VirtualLoop) -> None:
            processor = Processor(
                ProcessorConfig(10.0, answers_first=first),
                loop.time,
                loop.call_later,  # type: ignore[arg-type]
                None,
            )
            for name in "abc":
                processor.enqueue(1.0, lambda name=name: done.append(name), set_up=True)  # type: ignore[misc]
            unwanted = processor.enqueue(1.0, lambda: done.append("dropped"), set_up=True)
            processor.enqueue(0.5, lambda: done.append("answer"), first=True)
            assert processor.queued_set_ups() == 3 and processor.queue_wait() == pytest.approx(0.35)
            processor.drop(unwanted)
            assert processor.queued_set_ups() == 2 and processor.queue_wait() == pytest.approx(0.25)
            await asyncio.sleep(0.05)
            processor.hung = True
            await asyncio.sleep(5)
            assert done == []
            processor.hung = False
            processor.start_next()
            began = loop.time()
            while len(done) < 4:
                await asyncio.sleep(0.01)
            took.append(loop.time() - began)

        took: list[float] = []
        run_virtual(run, loop)
        return done, took[0]

    assert run_processor(False)[0] == ["a", "b", "c", "answer"]
    assert run_processor(True)[0] == ["a", "answer", "b", "c"]
    assert run_processor(True)[1] == pytest.approx(0.35, abs=0.02), "dropped work must cost no time"


def test_ageing_processor_halves_its_capacity_per_doubling_time() -> None:
    now = [0.0]
    processor = Processor(ProcessorConfig(100.0), lambda: now[0], lambda after, what: None, None)
    processor.ageing = (0.0, 5.0)
    assert [round(processor.capacity(), 1) for now[0] in (0.0, 5.0, 15.0)] == [100.0, 50.0, 12.5]


# -- scenarios -------------------------------------------------------------------------------------------


def test_draws_depend_only_on_seed_and_name() -> None:
    one, other = Draws(5), Draws(5)
    other.draw("something else", 0.0, 1.0)
    assert one.draw("a", 1.0, 100.0) == other.draw("a", 1.0, 100.0) != Draws(6).draw("a", 1.0, 100.0)
    assert Draws(5, {"a": 7}).draw("a", 1, 10) == 7
    assert all(2 <= Draws(n).draw("a", 2, 5) <= 5 for n in range(50))
    with pytest.raises(ValueError, match="made twice"):
        one.draw("a", 1.0, 9.0)
    with pytest.raises(ValueError, match="lower end first"):
        one.draw("b", 9.0, 1.0)


@pytest.mark.parametrize(
    ("old", "new", "message"),
    [
        ("exchanges = [1]", "exchanges = [9]", "found 9; allowed: 1 to 3"),
        ("exchanges = [1]", "district = 7", "found 7; allowed: -1 to 2"),
        ("exchanges = [1]", "exchanges = [1], part = 0.5", "allowed: one of the two"),
        ('kind = "slow"', 'kind = "slower"', "allowed: burst, flood"),
        ("least = 0.1", "", "allowed: least, most, or both"),
        ('what = "service"', 'what = "servis"', "allowed: service, whole"),
        ('group = "traffic"', 'group = "other"', "allowed: traffic, processors"),
        ("length = s(6)", "length = s(6)\nservers = 9", "allowed: up to fleet.count, 4"),
        ('draw("rate", 8, 12)', 'draw("rate", 12, 8)', "allowed: the lower end first"),
    ],
)
def test_invalid_scenario_is_reported_with_its_line(short: Path, old: str, new: str, message: str) -> None:
    assert old in SHORT
    short.write_text(SHORT.replace(old, new))
    with pytest.raises(ConfigError, match=r"short\.star:\d+: ") as caught:
        load(short, 1)
    assert message in str(caught.value)


def test_unknown_draws_and_troubles_are_rejected(short: Path) -> None:
    with pytest.raises(ConfigError, match="allowed: factor, lasts, rate"):
        load(short, 1, {"speed": 2})
    with pytest.raises(ConfigError, match="allowed: 0 to 1"):
        load(short, 1, without=[2])
    scenario, _ = load(short, 1, {"factor": 3.0}, without=[1])
    assert [t.kind for t in scenario.troubles] == ["slow"] and scenario.troubles[0].factor == 3.0


def test_all_scenarios_load_cover_every_trouble_kind_and_draw_within_ranges() -> None:
    paths = list_scenarios(SCENARIOS)
    assert len(paths) >= 25
    kinds: set[str] = set()
    for path in paths:
        for seed in range(4):
            scenario, draws = load(path, seed)
            assert scenario.group == path.parent.name
            kinds |= {t.kind for t in scenario.troubles}
            for name, among in draws.ranges.items():
                if not among.choices:
                    assert among.low <= draws.drawn[name] <= among.high
    assert kinds == set(TROUBLE_KINDS) == set(TROUBLES)


def test_exchanges_drawn_for_a_trouble_stay_when_another_trouble_is_left_out() -> None:
    path = SCENARIOS / "joined" / "month_end.star"
    whole, _ = load(path, 3)
    reduced, _ = load(path, 3, without=[0])
    restart = next(t for t in whole.troubles if t.kind == "restart")
    assert restart.exchanges and all(n % 3 == 1 for n in restart.exchanges)
    assert [t for t in whole.troubles if t.kind != "slow"] == reduced.troubles


def overlapping_troubles(kinds: list[str], rng: Random) -> list[Trouble]:
    """Troubles of these kinds that overlap in time, often on the same exchanges."""
    troubles = []
    for kind in kinds:
        exchanges = sorted(rng.sample([1, 2, 3], rng.randint(1, 3)))
        if kind == "server_pause":
            exchanges = []
        troubles.append(
            Trouble(
                kind=kind, at=int(rng.uniform(0.5, 4) * SECOND), lasts=int(rng.uniform(0.3, 3) * SECOND),
                exchanges=exchanges, share=rng.uniform(0.1, 0.7), gap=300 * MS, rise=100 * MS,
                factor=rng.uniform(2, 5), lie="drops_living" if kind == "registry_lie" else "",
            )
        )  # fmt: skip
    return troubles


@pytest.mark.parametrize("seed", range(10))
def test_overlapping_troubles_leave_no_trace_in_the_world(seed: int, short: Path) -> None:
    """Nine troubles at once, of all kinds over the seeds.

    A trouble that restores a default value at its end, instead of removing its own condition, would undo
    another one that still lasts or leave its own value behind.
    """
    rng = Random(seed)
    kinds = sorted(set(TROUBLE_KINDS) - {"half_open"})
    chosen = [kinds[(seed * 7 + i) % len(kinds)] for i in range(7)] + rng.sample(kinds, 2)
    plan, _ = load(short, seed)
    fleet = replace(plan.fleet, list_from="registry" if "registry_lie" in chosen else "register")
    plan = replace(plan, fleet=fleet, troubles=overlapping_troubles(chosen, rng), length=8 * SECOND)
    result, _ = days.play(plan, seed, lambda *_: None, (0, 1) if seed % 2 else (0,), max_callbacks=4_000_000)
    assert result.passed, (chosen, result.as_json())
    world = result.world
    assert world is not None
    assert all(not active for active in world.conditions.active.values())
    for exchange in world.exchanges.values():
        assert exchange.processor.slow_factor == 1.0 and not exchange.processor.hung
        assert (
            exchange.faults.lost_answer_share == 0.0
            and not exchange.faults.mute
            and not exchange.faults.line_limits
        )
    assert not any(p.drop or p.refuse or p.delay for p in world.proxies.values())
    assert isinstance(world.loop, VirtualLoop) and not world.loop.network.loss_shares
    assert all(share == 1.0 for share in world.circuit_shares.values())


def test_overlapping_traffic_shifts_end_independently(short: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    plan, _ = load(short, 1)
    shift = Trouble(kind="shift", at=1 * SECOND, lasts=4 * SECOND, gap=SECOND, factor=2.0)
    plan = replace(plan, troubles=[shift, replace(shift, at=2 * SECOND, lasts=1 * SECOND)])
    samples: list[tuple[float, int]] = []

    class SamplingPlayer(days.Player):
        def _record_sample(self) -> None:
            super()._record_sample()
            samples.append((self.loop.time() - self.world.started_at, len(self.shifts)))

    monkeypatch.setattr(days, "Player", SamplingPlayer)
    assert days.play(plan, 1, lambda *_: None)[0].passed
    assert [count for at, count in samples if round(at, 3) in (0.0, 1.5, 2.5, 3.5, 5.5)] == [0, 1, 2, 1, 0]


def test_pause_of_one_call_server_does_not_excuse_the_others(short: Path) -> None:
    """Answers of a frozen call server are due once it runs again; those of the others remain due in time."""
    plan, _ = load(short, 2)
    pause = Trouble(kind="server_pause", at=2 * SECOND, lasts=4 * SECOND, exchanges=[1])
    plan = replace(plan, troubles=[pause], length=10 * SECOND)
    result, capture = days.play(plan, 2, lambda *_: None, (0, 1, 2))
    assert result.passed, result.as_json()
    assert result.world is not None
    began = result.world.started_at
    (stall,) = result.world.stalls
    assert stall.node == "server-1"
    during_pause = [
        r for r in capture if r.event in ("in", "out") and began + 2.01 < r.time / SECOND < began + 5.99
    ]
    assert {r.node for r in during_pause} == {"server-0", "server-2"}


def test_killed_call_server_restarts_under_another_name_and_serves(short: Path) -> None:
    plan, _ = load(short, 2)
    restart = Trouble(kind="restart", at=2 * SECOND, lasts=1 * SECOND, exchanges=[1])
    plan = replace(plan, troubles=[restart], length=10 * SECOND)
    result, capture = days.play(plan, 2, lambda *_: None, (0, 1))
    assert result.passed, result.as_json()
    assert [r.node for r in capture if r.event == "killed"] == ["server-1"]
    assert sum(r.node == "server-1.1" and "SIP/2.0 200" in r.data for r in capture) > 10


def test_result_of_a_seed_does_not_depend_on_the_hash_seed(short: Path) -> None:
    results = []
    for hash_seed in ("0", "1", "4242"):
        process = subprocess.run(
            [sys.executable, "-m", "eiderstep", "rehearse", str(short), "--seed=7", "--servers=0", "--json"],
            env=os.environ | {"PYTHONHASHSEED": hash_seed},
            cwd=ROOT,
            capture_output=True,
            text=True,
            check=True,
        )
        result = json.loads(process.stdout)
        del result["cpu"]
        results.append(result)
    assert results[0] == results[1] == results[2]
    again = lab.rehearse(short, 7, servers=0).as_json()
    assert again["digest"] == results[0]["digest"] and again["service"] == results[0]["service"]
    assert lab.rehearse(short, 8, servers=0).digest != again["digest"]


def test_failed_expectations_are_listed(short: Path) -> None:
    short.write_text(SHORT.replace("least = 0.1", "least = 0.1, most = 0.2"))
    rehearsal = lab.rehearse(short, 1)
    assert rehearsal.result.passed and not rehearsal.passed
    ((expect, value),) = rehearsal.failed
    assert expect.what == "service" and value > 0.2


@settings(max_examples=30, deadline=None)
@given(st.integers(0, 10_000))
def test_any_seed_of_any_scenario_loads_with_exchanges_for_its_troubles(seed: int) -> None:
    path = Random(seed).choice(list_scenarios(SCENARIOS))
    scenario, _ = load(path, seed)
    assert isinstance(scenario, Scenario)
    assert all(t.exchanges or t.kind not in ("slow", "hang", "restart", "deploy") for t in scenario.troubles)
