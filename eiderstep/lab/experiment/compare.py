"""Compares two sides of an experiment: paired differences of service with confidence intervals.

A pair is two plays of one scenario with one seed, one of each side, so that the plays differ only in what the
sides differ in.  The mean has two intervals: Student's t, where the differences of at least two pairs vary,
and the bootstrap over all pairs, which makes no assumption about the distribution and is seeded.
"""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import numpy as np
from scipy import stats

from eiderstep.lab.experiment.store import Run

CONFIDENCE = 0.95
BOOTSTRAP_SAMPLES = 4000


@dataclass(frozen=True)
class Difference:
    """Difference between two sides over `pairs` pairs of plays.

    `first`, `second`: mean service of each side; `low`, `high`: bootstrap interval of second minus first.
    """

    name: str
    pairs: int
    first: float
    second: float
    low: float
    high: float
    student_interval: tuple[float, float] | None
    pairs_worse: int  # pairs in which the second side is lower
    plays_with_breaches: tuple[int, int]  # plays that broke a rule, on each side

    @property
    def mean(self) -> float:
        return self.second - self.first

    @property
    def verdict(self) -> str:
        """The conclusion from the bootstrap interval, in a few words."""
        if self.pairs < 2:
            return "one pair tells nothing"
        if self.low > 0:
            return "better"
        return "worse" if self.high < 0 else "no difference seen"


def pair_runs(first: Iterable[Run], second: Iterable[Run]) -> dict[tuple[str, int], tuple[Run, Run]]:
    """Pairs of completed runs that both sides have, by scenario and seed."""
    first_runs = {(r.job.scenario, r.job.seed): r for r in first if r.status == "done"}
    second_runs = {(r.job.scenario, r.job.seed): r for r in second if r.status == "done"}
    return {
        key: (first_runs[key], second_runs[key]) for key in sorted(first_runs.keys() & second_runs.keys())
    }


def difference(name: str, pairs: Sequence[tuple[Run, Run]], seed: int = 1) -> Difference:
    """The difference over some pairs; `seed` is that of the bootstrap.  Raises ValueError for no pairs."""
    if not pairs:
        raise ValueError(f"{name}: no scenario and seed that both sides have played")
    first = np.array([run.service for run, _ in pairs], dtype=float)
    second = np.array([run.service for _, run in pairs], dtype=float)
    differences = second - first
    rng = np.random.default_rng(seed)
    means = differences[rng.integers(0, len(differences), (BOOTSTRAP_SAMPLES, len(differences)))].mean(axis=1)
    low, high = np.quantile(means, [(1 - CONFIDENCE) / 2, (1 + CONFIDENCE) / 2])
    student_interval = None
    if len(differences) > 1 and differences.std() > 0:
        interval = stats.t.interval(
            CONFIDENCE, len(differences) - 1, differences.mean(), stats.sem(differences)
        )
        student_interval = (float(interval[0]), float(interval[1]))
    return Difference(
        name, len(pairs), float(first.mean()), float(second.mean()), float(low), float(high),
        student_interval, int((differences < 0).sum()),
        (sum(not run.rules_kept for run, _ in pairs), sum(not run.rules_kept for _, run in pairs)),
    )  # fmt: skip


def compare(first: Iterable[Run], second: Iterable[Run]) -> list[Difference]:
    """The difference of each scenario, and last that of all of them.  Raises ValueError for no pairs."""
    pairs = pair_runs(first, second)
    names = sorted({scenario for scenario, _ in pairs})
    by_name = [(name, [pair for (s, _), pair in pairs.items() if s == name]) for name in names]
    return [difference(name, p) for name, p in by_name] + [difference("all", list(pairs.values()))]


def rank_correlations(one: Sequence[float], other: Sequence[float]) -> tuple[float, float]:
    """Spearman's and Kendall's rank correlation of two series."""
    return float(stats.spearmanr(one, other).statistic), float(stats.kendalltau(one, other).statistic)
