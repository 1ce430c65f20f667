"""Searches for the draws of a scenario with the worst result, and shrinks them to what causes it.

The worst results are a run that does not end, then a broken rule, then an error, a call without a final
response or a circuit left busy; after these, the gap between service and its upper bound counts.  The search
tries one seed after another, then changes single draws of the worst play found.  Shrinking leaves out
troubles and moves draws toward their low end as long as the result stays about as bad.  This module has no
I/O: the caller supplies `play`, which runs the jobs.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace
from random import Random
from typing import Any

from eiderstep.lab.emulator.scenario import Range
from eiderstep.lab.experiment.store import Job, Run

MIN_KEPT_GAP = 0.8  # share of the gap that must remain after a step of shrinking
HALVING_STEPS = 3  # steps by which a draw is moved toward its low end, each half of the rest
BROKEN_BADNESS = 10.0  # badness of a run that breaks a rule, more than any gap
ENDLESS_BADNESS = 20.0  # badness of a run that does not end

PlayJobs = Callable[[Sequence[Job]], Sequence[Run]]  # plays jobs, perhaps in parallel; results in their order


@dataclass
class HuntResult:
    """A play with its badness; for the result of a search also its history and the number of plays."""

    job: Job
    run: Run
    badness: float
    reason: str
    draws: dict[str, Any]
    history: list[str] = field(default_factory=list)
    play_count: int = 0


def badness(run: Run) -> tuple[float, str]:
    """How bad a run is, 0 or more, and the reason."""
    if run.status == "failed":
        return 0.0, f"cannot be played: {run.result.get('why')}"
    if run.status == "endless":
        return ENDLESS_BADNESS, f"never ends: {run.result.get('why')}"
    result = run.result
    if result["breaches"]:
        return BROKEN_BADNESS + 1, str(result["breaches"][0]).partition(" at ")[0]
    for key in ("errors", "unanswered", "left_calls", "left_circuits"):
        if result[key]:
            return BROKEN_BADNESS, key.replace("_", " ")
    upper_bound = result["bound"] if result["bound"] is not None else 1.0
    return max(upper_bound - result["service"]["service"], 0.0), "gap"


def mutated_draws(draws: Mapping[str, Any], ranges: Mapping[str, Range], rng: Random) -> dict[str, Any]:
    """A copy of the draws with one of them changed.

    A number is drawn anew from its range with probability 0.3, and otherwise moved by a normal deviate with a
    standard deviation of a sixth of the range.
    """
    mutated = dict(draws)
    names = sorted(n for n in ranges if n in mutated and ranges[n].choices[:1] != ("lots",))
    if not names:
        return mutated
    name = rng.choice(names)
    among = ranges[name]
    if among.choices:
        mutated[name] = rng.choice(among.choices)
    elif rng.random() < 0.3:
        mutated[name] = rounded(among, rng.uniform(among.low, among.high))
    else:
        step = rng.gauss(0, (among.high - among.low) / 6)
        mutated[name] = rounded(among, min(max(mutated[name] + step, among.low), among.high))
    return mutated


def rounded(among: Range, value: float) -> float:
    """Round a value as `Draws.draw` does for that range."""
    return round(value) if among.integer else round(value, 6)


class Hunt:
    """One search.  `ranges`: those of the scenario's draws; `troubles`: the number of its troubles."""

    def __init__(self, play: PlayJobs, ranges: Mapping[str, Range], troubles: int, seed: int) -> None:
        self.play, self.ranges, self.trouble_count = play, ranges, troubles
        self.rng = Random(seed)
        self.play_count = 0
        self.history: list[str] = []

    def settable_draws(self, draws: Mapping[str, Any]) -> dict[str, Any]:
        """The draws that can be fixed independently, which excludes lots.

        Lots follow from the seed and from the number drawn: fixed lots would keep their number when a draw
        that determines it is made smaller.
        """
        return {name: v for name, v in draws.items() if self.ranges[name].choices[:1] != ("lots",)}

    def _evaluate(self, jobs: Sequence[Job]) -> list[HuntResult]:
        runs = self.play(jobs)
        self.play_count += len(jobs)
        results = []
        for job, run in zip(jobs, runs, strict=True):
            bad, why = badness(run)
            results.append(HuntResult(job, run, bad, why, self.settable_draws(run.result.get("draws", {}))))
        return results

    def search(self, job: Job, budget: int, batch_size: int) -> HuntResult:
        """The worst of `budget` plays, `batch_size` at a time: one half with new seeds, one half mutated."""
        worst: HuntResult | None = None
        seeds = iter(range(job.seed, job.seed + budget))
        while self.play_count < budget:
            count = min(batch_size, budget - self.play_count)
            if worst is None or self.play_count < budget / 2:
                jobs = [replace(job, seed=next(seeds)) for _ in range(count)]
            else:
                base = worst
                jobs = [
                    replace(base.job, fixed=mutated_draws(base.draws, self.ranges, self.rng))
                    for _ in range(count)
                ]
            for result in self._evaluate(jobs):
                if worst is None or result.badness > worst.badness:
                    worst = result
                    self.history.append(f"play {self.play_count}: {result.reason} {result.badness:.3f}")
        assert worst is not None
        worst.history, worst.play_count = self.history, self.play_count
        return worst

    def _is_as_bad(self, result: HuntResult, reference: HuntResult) -> bool:
        if reference.badness >= BROKEN_BADNESS:
            return result.badness >= BROKEN_BADNESS and result.reason == reference.reason
        return result.badness >= MIN_KEPT_GAP * reference.badness

    def shrink(self, found: HuntResult) -> HuntResult:
        """A result about as bad as the given one, with as few troubles and as low draws as possible."""
        original = smallest = found
        for number in reversed(range(self.trouble_count)):
            if self.trouble_count - len(smallest.job.without) <= 1:
                break
            job = replace(
                smallest.job,
                without=tuple(sorted({*smallest.job.without, number})),
                fixed=smallest.draws,
            )
            (result,) = self._evaluate([job])
            if self._is_as_bad(result, original):
                self.history.append(f"trouble {number} does not matter: {result.badness:.3f}")
                smallest = keep_missing_draws(result, smallest)
        for name, among in sorted(self.ranges.items()):
            if not among.choices and name in smallest.draws:
                smallest = self._shrink_draw(name, among, smallest, original)
        smallest.history, smallest.play_count = self.history, self.play_count
        return smallest

    def _shrink_draw(self, name: str, among: Range, smallest: HuntResult, original: HuntResult) -> HuntResult:
        """Move one draw toward its low end, halving the distance in steps that are all played at once."""
        steps, current = [], smallest.draws[name]
        for _ in range(HALVING_STEPS):
            lower = rounded(among, among.low + (current - among.low) / 2)
            if lower == current:
                break
            steps.append(lower)
            current = lower
        results = self._evaluate(
            [replace(smallest.job, fixed=smallest.draws | {name: step}) for step in steps]
        )
        for step, result in zip(steps, results, strict=True):
            if not self._is_as_bad(result, original):
                break
            self.history.append(f"{name} {smallest.draws[name]} -> {step}: {result.badness:.3f}")
            smallest = keep_missing_draws(result, smallest)
        return smallest


def keep_missing_draws(result: HuntResult, previous: HuntResult) -> HuntResult:
    """Add the previous draws that a play no longer made because the trouble that used them is left out."""
    result.draws = previous.draws | result.draws
    return result
