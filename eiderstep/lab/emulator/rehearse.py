"""Playing a scenario: the day, the bound beside it, its measures, and whether its expectations held."""

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
from eiderstep.engine.timers import Mind
from eiderstep.lab import day as days
from eiderstep.lab.emulator.scenario import Draws, Expect, Scenario, load
from eiderstep.lab.script import SECOND, VIRTUAL, Trouble
from eiderstep.lab.world import Log

ALLOWED = 60_000_000  # callbacks: some hundred times what a day takes
NARROW = 2.0  # seconds of a window of recovery
BACK = 0.9  # of the share served before the troubles
STAYS = 2  # windows that it must stay so
# Parts that the time of a simulated call is booked to, by where the code is.
PARTS = (
    ("decide.py", "module"), ("eiderstep/engine", "engine"), ("eiderstep/sip", "sip"),
    ("eiderstep/server", "server"), ("eiderstep/standin", "stand-ins"), ("eiderstep/audit", "audit"),
    ("eiderstep/lab", "lab"), ("asyncio", "loop"), ("eiderstep", "rest"),
)  # fmt: skip


@dataclass
class Rehearsal:
    """What a scenario came to.  `digest`: SHA-256 of the capture, a record a line."""

    scenario: Scenario
    draws: Draws
    result: days.Result
    bound: float | None
    measures: dict[str, float]
    digest: str
    seconds: float  # CPU time of the play itself
    parts: dict[str, float] = field(default_factory=dict)  # CPU seconds, where it was profiled

    @property
    def failed(self) -> list[tuple[Expect, float]]:
        """Expectations that did not hold, and the figure found."""
        found = []
        for expect in self.scenario.expect:
            value = self.measures.get(expect.what, float("nan"))
            low = expect.least is not None and not value >= expect.least
            if low or (expect.most is not None and not value <= expect.most):
                found.append((expect, value))
        return found

    @property
    def good(self) -> bool:
        return self.result.good and not self.failed

    def as_json(self) -> dict[str, Any]:
        """Plain data, in a fixed order; the same on every machine but for `cpu`."""
        return {
            **self.result.as_json(),
            "good": self.good,
            "bound": None if self.bound is None else round(self.bound, 4),
            "measures": {k: round(v, 4) for k, v in self.measures.items()},
            "draws": {k: self.draws.made[k] for k in sorted(self.draws.made)},
            "failed": [
                {"what": e.what, "least": e.least, "most": e.most, "found": round(v, 4)}
                for e, v in self.failed
            ],
            "digest": self.digest,
            "cpu": {"seconds": round(self.seconds, 2), **{k: round(v, 2) for k, v in self.parts.items()}},
        }  # fmt: skip


def digest(capture: Capture) -> str:
    """One figure for all that passed the call servers' sockets."""
    sum_ = hashlib.sha256()
    for r in capture:
        sum_.update(f"{r.time} {r.node} {r.label} {r.peer} {r.way} {r.data}\n".encode())
    return sum_.hexdigest()


def ends(trouble: Trouble) -> int:
    """When a trouble of a script is over (ns of the day)."""
    over = trouble.at + trouble.lasts
    if trouble.kind in ("deploy", "ageing"):
        each = trouble.lasts + trouble.gap
        over = trouble.at + each * (len(trouble.exchanges) if trouble.kind == "deploy" else 1)
    return over


def recovery(scenario: Scenario, result: days.Result) -> float:
    """Seconds after the last trouble until service is back and stays; else the rest of the day."""
    if not scenario.troubles:
        return 0.0
    over = max(ends(t) for t in scenario.troubles) / SECOND
    first = min(t.at for t in scenario.troubles) / SECOND
    windows = result.windows(NARROW)
    calm = [share for at, share in windows if at + NARROW <= first] or [1.0]
    wanted = BACK * sum(calm) / len(calm)
    after = [(at, share) for at, share in windows if at >= over and at + NARROW <= scenario.length / SECOND]
    for i, (at, _) in enumerate(after):
        if all(share >= wanted for _, share in after[i : i + STAYS]):
            return max(at - over, 0.0)
    return max(scenario.length / SECOND - over, 0.0)


def measures(scenario: Scenario, result: days.Result, top: float | None) -> dict[str, float]:
    """All figures that a script may expect something of."""
    found = {k: result.service[k] for k in ("service", "whole", "worst_window", "worst_class")}
    if top:
        found["of_bound"] = result.service["service"] / top
    found["set_up_p99_ms"] = result.p99_ms
    found["tries_per_call"] = result.tries / max(result.asks, 1)
    found["recovery_s"] = recovery(scenario, result)
    return found


def top_of(result: days.Result, scenario: Scenario) -> float | None:
    """The bound of the day that was played."""
    from eiderstep.lab.emulator import bound as lp  # needs numpy and scipy, which a plain day does not

    world = result.world
    assert world is not None
    names = [c.name for c in scenario.classes]
    plan = lp.Plan(
        length=scenario.length / SECOND,
        kinds=[
            lp.Kind(c.worth, c.width, c.mean_hold / SECOND, c.late_share) for c in scenario.classes
        ],
        circuits={
            (a, b): world.circuits(a, b)
            for a in range(scenario.fleet.count)
            for b in range(a + 1, scenario.fleet.count)
        },
        refuse_past=scenario.fleet.refuse_past / SECOND,
        weights=scenario.weights,
        window=scenario.window / SECOND,
        own_work=frozenset(world.servers) if scenario.fleet.own_work else frozenset(),
    )  # fmt: skip
    by_prefix = world.numbers()
    asked = [
        lp.Asked(ask.born - world.began, site.number, names.index(ask.cls.name), by_prefix[ask.number[:4]])
        for site in world.sites.values()
        for ask in site.callers.asks
        if ask.born >= world.began
    ]
    return lp.bound(plan, asked, result.samples)


def play(
    scenario: Scenario,
    draws: Draws,
    log: Log = lambda *_: None,
    servers: int | None = None,
    sockets: bool = False,
    processes: bool = False,
    mind: Mind | None = None,
    with_bound: bool = True,
    profiled: bool = False,
    keep: Path | None = None,
    allowed: int = ALLOWED,
) -> tuple[Rehearsal, Capture]:
    """One play.  `servers`: how many exchanges have a call server, 0 for all, None for what the script says.

    Raises ValueError where a trouble cannot be played over sockets, and Endless after `allowed` callbacks.
    """
    if sockets:
        wrong = sorted({t.kind for t in scenario.troubles} & VIRTUAL)
        if wrong or scenario.fleet.own_work:
            said = ", ".join(wrong + ["own_work"] * scenario.fleet.own_work)
            raise ValueError(f"found {said}; allowed over sockets: what needs no emulated host or link")
    count = scenario.servers if servers is None else servers
    numbers = tuple(range(count or scenario.fleet.count))
    profile = cProfile.Profile() if profiled else None
    began = process_time()
    if profile is not None:
        profile.enable()
    try:
        result, capture = days.play(
            scenario, draws.seed, log, numbers, sockets, processes, keep, mind, 0 if sockets else allowed
        )
    finally:
        if profile is not None:
            profile.disable()
    took = process_time() - began
    top = top_of(result, scenario) if with_bound else None
    found = Rehearsal(
        scenario, draws, result, top, measures(scenario, result, top), digest(capture), took,
        parts(profile) if profile is not None else {},
    )  # fmt: skip
    return found, capture


def rehearse(
    path: Path, seed: int, fixed: Mapping[str, Any] | None = None, without: Sequence[int] = (), **how: Any
) -> Rehearsal:
    """A scenario from its file, drawn and played."""
    scenario, draws = load(path, seed, fixed, without)
    return play(scenario, draws, **how)[0]


def parts(profile: cProfile.Profile) -> dict[str, float]:
    """CPU seconds by part of the program, from functions' own times; what is built in goes to its callers."""
    sums: dict[str, float] = {}

    def part(file: str) -> str:
        place = file.replace("\\", "/")
        return next((name for key, name in PARTS if key in place), "library")

    stats: Any = pstats.Stats(profile)
    for (file, _, _), (_, _, own, _, callers) in stats.stats.items():
        if file != "~":
            sums[part(file)] = sums.get(part(file), 0.0) + own
            continue
        for (caller, _, _), (_, _, spent, _) in callers.items():
            name = part(caller) if caller != "~" else "library"
            sums[name] = sums.get(name, 0.0) + spent
    return dict(sorted(sums.items(), key=lambda item: -item[1]))
