"""Runs a grid of jobs in several processes.

Each result is stored when its job completes, so that an interruption loses only the jobs in progress.
"""

from __future__ import annotations

import hashlib
import signal
from collections.abc import Callable, Iterator, Sequence
from concurrent.futures import FIRST_COMPLETED, ProcessPoolExecutor, wait
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from eiderstep.config.load import ConfigError
from eiderstep.lab.baselines import DECISION_MODULES
from eiderstep.lab.clock import CallbackLimitExceeded
from eiderstep.lab.emulator.rehearse import MAX_CALLBACKS, play
from eiderstep.lab.emulator.scenario import list_scenarios, load
from eiderstep.lab.experiment.store import Job, ResultStore, Run, code_version

WALL_TIMEOUT_SECONDS = 900  # for one play


@dataclass(frozen=True)
class Grid:
    """What to play: each scenario with each seed, count of call servers, decision module and set of draws."""

    folder: str
    scenarios: Sequence[str] = ()  # names or groups; empty: all of the folder
    seeds: Sequence[int] = (1,)
    servers: Sequence[int] = (-1,)  # as in `Job`
    minds: Sequence[str] = ("module",)
    settings: Sequence[dict[str, Any]] = field(default_factory=lambda: [{}])  # draws set by name

    def scenario_paths(self) -> list[Path]:
        """The files of the scenarios, by name.  Raises ValueError that names a scenario that is not found."""
        root, files = Path(self.folder), list_scenarios(Path(self.folder))
        names = {p.relative_to(root).with_suffix("").as_posix(): p for p in files}
        if not files:
            raise ValueError(f"found no scenario in {root}; allowed: a folder of GROUP/NAME.star")
        selected: dict[str, Path] = {}
        for wanted in self.scenarios or [""]:
            matching = {
                name: path
                for name, path in names.items()
                if not wanted or name == wanted or name.startswith(wanted.rstrip("/") + "/")
            }
            if not matching:
                raise ValueError(f"found {wanted!r}; allowed: {', '.join(names)}, or a group of them")
            selected |= matching
        return [selected[name] for name in sorted(selected)]

    def jobs(self) -> Iterator[Job]:
        """All combinations, the seeds varying fastest.  Raises ValueError as `scenario_paths` does."""
        root = Path(self.folder)
        for path in self.scenario_paths():
            name = path.relative_to(root).with_suffix("").as_posix()
            digest = hashlib.sha256(path.read_bytes()).hexdigest()[:12]
            for servers in self.servers:
                for mind in self.minds:
                    for fixed in self.settings:
                        for seed in self.seeds:
                            yield Job(name, digest, seed, servers, mind, dict(fixed))


class _WallTimeout(BaseException):
    """A play exceeded its wall-clock time.  A BaseException, so that no `except Exception` catches it."""


def _raise_wall_timeout(number: int, frame: object) -> None:
    raise _WallTimeout


def run_job(
    folder: str,
    job: Job,
    code: str,
    max_callbacks: int = MAX_CALLBACKS,
    wall_timeout: int = WALL_TIMEOUT_SECONDS,
) -> Run:
    """Play one job in the current process.  Raises no Exception: a failure is the result of the run.

    A scenario that does not end is stopped after `max_callbacks` callbacks, which is at the same point on any
    machine; one that hangs within a callback is stopped after `wall_timeout` seconds.
    """
    signal.signal(signal.SIGALRM, _raise_wall_timeout)
    signal.alarm(wall_timeout)
    try:
        path = Path(folder) / f"{job.scenario}.star"
        scenario, draws = load(path, job.seed, job.fixed, job.without)
        servers = None if job.servers < 0 else job.servers
        rehearsal, _ = play(
            scenario,
            draws,
            servers=servers,
            controller_factory=DECISION_MODULES[job.mind],
            max_callbacks=max_callbacks,
        )
        return Run(job, code, "done", rehearsal.as_json())
    except CallbackLimitExceeded as error:
        return Run(job, code, "endless", {"why": str(error)})
    except _WallTimeout:
        return Run(job, code, "endless", {"why": f"over {wall_timeout} s"})
    except ConfigError as error:
        return Run(job, code, "failed", {"why": str(error)})
    except Exception as error:  # one play that fails must not end the experiment
        return Run(job, code, "failed", {"why": f"{type(error).__name__}: {error}"})
    finally:
        signal.alarm(0)


class JobPool:
    """Processes that play the jobs of a hunt; each result is also stored."""

    def __init__(self, folder: str, processes: int, results: ResultStore, name: str) -> None:
        self.folder, self.results, self.name = folder, results, name
        self.pool = ProcessPoolExecutor(processes)
        self.code = code_version()

    def __enter__(self) -> JobPool:
        return self

    def __exit__(self, *_: object) -> None:
        self.pool.shutdown(cancel_futures=True)

    def play(self, jobs: Sequence[Job]) -> list[Run]:
        """Play jobs in parallel; returns the runs in the order of the jobs."""
        futures = [self.pool.submit(run_job, self.folder, job, self.code) for job in jobs]
        runs = [future.result() for future in futures]
        for completed in runs:
            self.results.add(self.name, completed)
        return runs


def run_grid(
    results: ResultStore,
    name: str,
    grid: Grid,
    processes: int,
    started_at: str,
    on_result: Callable[[Run, int, int], None] = lambda *_: None,
    max_plays: int = 0,
) -> int:
    """Play the jobs of a grid that have no stored result yet; returns how many were played.

    `started_at`: start time to store for a new experiment; `on_result` gets each run, the number of completed
    jobs and the number of all jobs; `max_plays`: stop after so many plays, 0 for no limit.  Raises StoreError
    if an experiment of that name has another plan, ValueError if a scenario is not found.
    """
    jobs = list(grid.jobs())
    plan = {
        "folder": grid.folder, "scenarios": list(grid.scenarios), "seeds": list(grid.seeds),
        "servers": list(grid.servers), "minds": list(grid.minds), "settings": list(grid.settings),
    }  # fmt: skip
    results.begin_experiment(name, plan, started_at)
    code = code_version()
    completed = results.completed_keys(name, code)
    pending_jobs = [job for job in jobs if job.key not in completed]
    if max_plays:
        pending_jobs = pending_jobs[:max_plays]
    done_count = len(jobs) - len(pending_jobs)
    with ProcessPoolExecutor(processes) as pool:
        pending = {pool.submit(run_job, grid.folder, job, code) for job in pending_jobs}
        try:
            while pending:
                ready, pending = wait(pending, return_when=FIRST_COMPLETED)
                for future in ready:
                    played = future.result()
                    results.add(name, played)
                    done_count += 1
                    on_result(played, done_count, len(jobs))
        finally:
            for future in pending:
                future.cancel()
    return len(pending_jobs)
