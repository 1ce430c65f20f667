"""Plays a scenario: runs its day, computes the upper bound and the measures, and checks the expectations."""

from __future__ import annotations

import cProfile
import hashlib
import pstats
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from time import process_time
from typing import Any

from eiderstep.audit import Capture
from eiderstep.engine.timers import ControllerFactory
from eiderstep.lab import day as days
from eiderstep.lab.emulator.scenario import Draws, Expect, Scenario, load
from eiderstep.lab.script import SECOND, VIRTUAL_ONLY_KINDS, Trouble
from eiderstep.lab.world import Log

MAX_CALLBACKS = 60_000_000  # about a hundred times the callbacks of a day
RECOVERY_WINDOW_SECONDS = 2.0
RECOVERED_SHARE = 0.9  # of the service before the troubles
RECOVERED_WINDOWS = 2  # consecutive windows that must reach this share
# Parts of the program to which CPU time is attributed: a piece of the source path, and the name of the part.
PROFILE_PARTS = (
    ("decide.py", "module"), ("eiderstep/policy", "module"),
    ("eiderstep/engine", "engine"), ("eiderstep/sip", "sip"),
    ("eiderstep/server", "server"), ("eiderstep/standin", "stand-ins"), ("eiderstep/audit", "audit"),
    ("eiderstep/lab", "lab"), ("asyncio", "loop"), ("eiderstep", "rest"),
)  # fmt: skip


@dataclass
class Rehearsal:
    """Result of one play of a scenario.  `digest`: SHA-256 of the capture, one line per record."""

    scenario: Scenario
    draws: Draws
    result: days.Result
    bound: float | None
    measures: dict[str, float]
    digest: str
    cpu_seconds: float  # of the play itself
    cpu_by_part: dict[str, float] = field(default_factory=dict)  # seconds; empty without a profile

    @property
    def failed(self) -> list[tuple[Expect, float]]:
        """Expectations that did not hold, each with the measured value."""
        failed = []
        for expect in self.scenario.expect:
            value = self.measures.get(expect.what, float("nan"))
            too_low = expect.least is not None and not value >= expect.least
            if too_low or (expect.most is not None and not value <= expect.most):
                failed.append((expect, value))
        return failed

    @property
    def passed(self) -> bool:
        return self.result.passed and not self.failed

    def as_json(self) -> dict[str, Any]:
        """The result as plain data in a fixed order, the same on every machine except for `cpu`."""
        return {
            **self.result.as_json(),
            "good": self.passed,
            "bound": None if self.bound is None else round(self.bound, 4),
            "measures": {k: round(v, 4) for k, v in self.measures.items()},
            "draws": {k: self.draws.drawn[k] for k in sorted(self.draws.drawn)},
            "failed": [
                {"what": e.what, "least": e.least, "most": e.most, "found": round(v, 4)}
                for e, v in self.failed
            ],
            "digest": self.digest,
            "cpu": {
                "seconds": round(self.cpu_seconds, 2),
                **{k: round(v, 2) for k, v in self.cpu_by_part.items()},
            },
        }  # fmt: skip


def capture_digest(capture: Capture) -> str:
    """SHA-256 of all records of a capture, in hexadecimal."""
    checksum = hashlib.sha256()
    for record in capture:
        checksum.update(
            f"{record.time} {record.node} {record.label} {record.peer} "
            f"{record.event} {record.data}\n".encode()
        )
    return checksum.hexdigest()


def trouble_end(trouble: Trouble) -> int:
    """When a trouble of a script is over, in ns since the beginning of the day."""
    end = trouble.at + trouble.lasts
    if trouble.kind in ("deploy", "ageing"):
        each = trouble.lasts + trouble.gap
        end = trouble.at + each * (len(trouble.exchanges) if trouble.kind == "deploy" else 1)
    return end


def recovery_seconds(scenario: Scenario, result: days.Result) -> float:
    """Seconds from the end of the last trouble until service is lastingly restored.

    Service is restored at the first of `RECOVERED_WINDOWS` windows that all reach `RECOVERED_SHARE` of the
    mean before the first trouble.  If that does not happen, this is the rest of the day.
    """
    if not scenario.troubles:
        return 0.0
    last_end = max(trouble_end(t) for t in scenario.troubles) / SECOND
    first_start = min(t.at for t in scenario.troubles) / SECOND
    windows = result.share_by_window(RECOVERY_WINDOW_SECONDS)
    before = [share for at, share in windows if at + RECOVERY_WINDOW_SECONDS <= first_start] or [1.0]
    target = RECOVERED_SHARE * sum(before) / len(before)
    after = [
        (at, share)
        for at, share in windows
        if at >= last_end and at + RECOVERY_WINDOW_SECONDS <= scenario.length / SECOND
    ]
    for i, (at, _) in enumerate(after):
        if all(share >= target for _, share in after[i : i + RECOVERED_WINDOWS]):
            return max(at - last_end, 0.0)
    return max(scenario.length / SECOND - last_end, 0.0)


def compute_measures(scenario: Scenario, result: days.Result, upper_bound: float | None) -> dict[str, float]:
    """The measures that a script can state expectations for (`MEASURES`)."""
    found = {k: result.service[k] for k in ("service", "whole", "worst_window", "worst_class")}
    if upper_bound:
        found["of_bound"] = result.service["service"] / upper_bound
    found["set_up_p99_ms"] = result.p99_ms
    found["tries_per_call"] = result.tries / max(result.offered_calls, 1)
    found["recovery_s"] = recovery_seconds(scenario, result)
    return found


def service_bound(result: days.Result, scenario: Scenario) -> float | None:
    """The upper bound of the service of the day that was played; None where it is too large to compute."""
    # Imported here: it needs numpy and scipy, which a play without the bound does not.
    from eiderstep.lab.emulator import bound as lp

    world = result.world
    assert world is not None
    names = [c.name for c in scenario.classes]
    day = lp.DayParameters(
        length=scenario.length / SECOND,
        classes=[
            lp.ClassParameters(c.worth, c.width, c.mean_hold / SECOND, c.late_share)
            for c in scenario.classes
        ],
        circuits={
            (a, b): world.group_size(a, b)
            for a in range(scenario.fleet.count)
            for b in range(a + 1, scenario.fleet.count)
        },
        refuse_past=scenario.fleet.refuse_past / SECOND,
        weights=scenario.weights,
        window=scenario.window / SECOND,
        own_work=frozenset(world.servers) if scenario.fleet.own_work else frozenset(),
    )  # fmt: skip
    by_prefix = world.exchange_by_prefix()
    offered_calls = [
        lp.OfferedCall(
            intent.created_at - world.started_at,
            site.number,
            names.index(intent.call_class.name),
            by_prefix[intent.number[:4]],
        )
        for site in world.sites.values()
        for intent in site.callers.intents
        if intent.created_at >= world.started_at
    ]
    return lp.upper_bound(day, offered_calls, result.samples)


def play(
    scenario: Scenario,
    draws: Draws,
    log: Log = lambda *_: None,
    servers: int | None = None,
    sockets: bool = False,
    processes: bool = False,
    controller_factory: ControllerFactory | None = None,
    with_bound: bool = True,
    profiled: bool = False,
    keep: Path | None = None,
    max_callbacks: int = MAX_CALLBACKS,
) -> tuple[Rehearsal, Capture]:
    """Play a scenario once and evaluate it.

    `servers`: how many exchanges have a call server; 0 for all, None for the number in the script.
    `keep`: folder for the captures of call servers that run in processes of their own.
    Raises ValueError if a trouble cannot be played over sockets, and
    CallbackLimitExceeded after `max_callbacks` callbacks.
    """
    if sockets:
        virtual_only = sorted({t.kind for t in scenario.troubles} & VIRTUAL_ONLY_KINDS)
        if virtual_only or scenario.fleet.own_work:
            found_names = ", ".join(virtual_only + ["own_work"] * scenario.fleet.own_work)
            raise ValueError(
                f"found {found_names}; allowed over sockets: what needs no emulated host or link"
            )
    count = scenario.servers if servers is None else servers
    numbers = tuple(range(count or scenario.fleet.count))
    profile = cProfile.Profile() if profiled else None
    began = process_time()
    if profile is not None:
        profile.enable()
    try:
        result, capture = days.play(
            scenario, draws.seed, log, numbers, sockets, processes, keep, controller_factory,
            0 if sockets else max_callbacks,
        )  # fmt: skip
    finally:
        if profile is not None:
            profile.disable()
    cpu_seconds = process_time() - began
    upper_bound = service_bound(result, scenario) if with_bound else None
    rehearsal = Rehearsal(
        scenario, draws, result, upper_bound, compute_measures(scenario, result, upper_bound),
        capture_digest(capture), cpu_seconds, cpu_seconds_by_part(profile) if profile is not None else {},
    )  # fmt: skip
    return rehearsal, capture


def rehearse(
    path: Path,
    seed: int,
    fixed: Mapping[str, Any] | None = None,
    without: Sequence[int] = (),
    **play_options: Any,
) -> Rehearsal:
    """Load a scenario from its file with the draws of a seed, and play it.  Raises ConfigError."""
    scenario, draws = load(path, seed, fixed, without)
    return play(scenario, draws, **play_options)[0]


def cpu_seconds_by_part(profile: cProfile.Profile) -> dict[str, float]:
    """CPU seconds by part of the program, the largest first.

    Counts the functions' own times; the time of built-in functions is attributed to their callers.
    """
    sums: dict[str, float] = {}

    def part_of(file: str) -> str:
        path = file.replace("\\", "/")
        return next((name for key, name in PROFILE_PARTS if key in path), "library")

    stats: Any = pstats.Stats(profile)
    for (file, _, _), (_, _, own, _, callers) in stats.stats.items():
        if file != "~":
            sums[part_of(file)] = sums.get(part_of(file), 0.0) + own
            continue
        for (caller, _, _), (_, _, spent, _) in callers.items():
            name = part_of(caller) if caller != "~" else "library"
            sums[name] = sums.get(name, 0.0) + spent
    return dict(sorted(sums.items(), key=lambda item: -item[1]))
