"""Stores the results of experiments in SQLite: what was played, by which code, with which settings.

A run is identified by its experiment, its job (scenario, seed, count of call servers, decision module, fixed
draws and left-out troubles) and the version of the code.  An experiment that was interrupted therefore
resumes with the missing runs, and one that is run again on the same code has nothing to do.
"""

from __future__ import annotations

import hashlib
import json
import sqlite3
from collections.abc import Iterator
from dataclasses import asdict, dataclass, field
from functools import cache
from pathlib import Path
from typing import Any

STORE_FORMAT = 1
TABLES = """
CREATE TABLE IF NOT EXISTS experiment (name TEXT PRIMARY KEY, plan TEXT NOT NULL, began TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS run (
  experiment TEXT NOT NULL REFERENCES experiment(name), key TEXT NOT NULL, job TEXT NOT NULL, code TEXT NOT
  NULL, status TEXT NOT NULL, service REAL, bound REAL, good INTEGER, digest TEXT, cpu REAL, result TEXT NOT
  NULL, PRIMARY KEY (experiment, key, code)
);
"""


@dataclass(frozen=True)
class Job:
    """One play.  `scenario`: GROUP/NAME within its folder; `text`: digest of its script."""

    scenario: str
    text: str
    seed: int
    servers: int = -1  # exchanges with a call server; 0: all, -1: as scripted
    mind: str = "module"  # the decision module, by its name in `baselines.DECISION_MODULES`
    fixed: dict[str, Any] = field(default_factory=dict)  # draws set by name
    without: tuple[int, ...] = ()  # numbers of the troubles left out

    @property
    def key(self) -> str:
        """A digest of all fields, which identifies the job."""
        return hashlib.sha256(json.dumps(asdict(self), sort_keys=True).encode()).hexdigest()[:24]

    @property
    def setting(self) -> str:
        """All that differs from the script, except scenario and seed, as a label for tables."""
        parts = [] if self.mind == "module" else [self.mind]
        parts += [] if self.servers < 0 else [f"{self.servers or 'all'} servers"]
        parts += [f"{name}={value}" for name, value in sorted(self.fixed.items())]
        parts += [f"without {i}" for i in self.without]
        return ", ".join(parts) or "as scripted"


@dataclass(frozen=True)
class Run:
    """The result of a job.

    `status`: "done", "endless" or "failed"; `result`: that of `Rehearsal.as_json` if done, else the reason
    under "why".
    """

    job: Job
    code: str
    status: str
    result: dict[str, Any]

    @property
    def service(self) -> float | None:
        return float(self.result["service"]["service"]) if self.status == "done" else None

    @property
    def rules_kept(self) -> bool:
        """Whether no rule was broken, all callers were answered and no call, circuit or error was left.

        Does not cover the expectations of the scenario.
        """
        result = self.result
        return self.status == "done" and not (
            result["breaches"]
            or result["unanswered"]
            or result["left_calls"]
            or result["left_circuits"]
            or result["errors"]
        )


@cache
def code_version() -> str:
    """A digest of the package's source files and their paths within it, wherever it is installed."""
    root = Path(__file__).resolve().parents[2]
    digest = hashlib.sha256()
    for path in sorted(root.rglob("*.py")):
        digest.update(path.relative_to(root).as_posix().encode() + b"\0" + path.read_bytes())
    return digest.hexdigest()[:12]


class StoreError(ValueError):
    """The store cannot be opened, or an experiment cannot be found in it or continued."""


class ResultStore:
    """The store.  Only one process writes to it; each run is stored atomically."""

    def __init__(self, path: Path) -> None:
        """Open the store, and create it if it does not exist.  Raises StoreError."""
        self.path = path
        try:
            path.parent.mkdir(parents=True, exist_ok=True)
            self.db = sqlite3.connect(path, isolation_level=None)
            version = self.db.execute("PRAGMA user_version").fetchone()[0]
            if version not in (0, STORE_FORMAT):
                raise StoreError(f"{path}: found format {version}; allowed: {STORE_FORMAT}")
            if self.db.execute("PRAGMA quick_check").fetchone()[0] != "ok":
                raise StoreError(f"{path}: database is damaged; move it away and run the experiment again")
            self.db.execute("PRAGMA journal_mode=WAL")
            self.db.executescript(TABLES)
            self.db.execute(f"PRAGMA user_version={STORE_FORMAT}")
        except (OSError, sqlite3.Error) as error:
            raise StoreError(f"{path}: {error}") from None

    def close(self) -> None:
        self.db.close()

    def begin_experiment(self, name: str, plan: dict[str, Any], started_at: str) -> None:
        """Create an experiment, or resume the one of that name.

        Raises StoreError if that one has another plan.
        """
        text = json.dumps(plan, sort_keys=True)
        row = self.db.execute("SELECT plan FROM experiment WHERE name=?", (name,)).fetchone()
        if row is None:
            self.db.execute("INSERT INTO experiment VALUES (?, ?, ?)", (name, text, started_at))
        elif row[0] != text:
            raise StoreError(
                f"experiment {name!r} was begun with another plan; allowed: the same, or a new name"
            )

    def add(self, experiment: str, run: Run) -> None:
        """Store a run, in place of an earlier one of the same job and code."""
        result = run.result
        self.db.execute(
            "INSERT OR REPLACE INTO run VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?, ?, ?)",
            (
                experiment, run.job.key, json.dumps(asdict(run.job), sort_keys=True), run.code, run.status,
                run.service, result.get("bound"), int(bool(result.get("good"))), result.get("digest"),
                result.get("cpu", {}).get("seconds"), json.dumps(result),
            ),
        )  # fmt: skip

    def completed_keys(self, experiment: str, code: str) -> set[str]:
        """Keys of the jobs that this version of the code has completed; failed ones are to be run again."""
        rows = self.db.execute(
            "SELECT key FROM run WHERE experiment=? AND code=? AND status!='failed'", (experiment, code)
        )
        return {row[0] for row in rows}

    def experiments(self) -> list[tuple[str, str, int, int]]:
        """Name, start time, number of runs, and how many of these are not good, of each experiment."""
        return [
            (str(name), str(started_at), int(count), int(bad or 0))
            for name, started_at, count, bad in self.db.execute(
                "SELECT name, began, count(key), sum(good=0) FROM experiment LEFT JOIN run "
                "ON run.experiment=experiment.name GROUP BY name ORDER BY began, name"
            )
        ]

    def plan(self, name: str) -> dict[str, Any]:
        """The plan of an experiment.  Raises StoreError if there is no such experiment."""
        row = self.db.execute("SELECT plan FROM experiment WHERE name=?", (name,)).fetchone()
        if row is None:
            names = ", ".join(experiment[0] for experiment in self.experiments()) or "none"
            raise StoreError(f"no experiment {name!r}; allowed: {names}")
        return dict(json.loads(row[0]))

    def runs(self, experiment: str, code: str = "") -> Iterator[Run]:
        """The runs of an experiment, by scenario, setting and seed.  Raises StoreError.

        `code`: only those of this version of the code; if empty, the newest run of each job.
        """
        self.plan(experiment)
        rows = self.db.execute(
            "SELECT job, code, status, result FROM run WHERE experiment=?1 AND ?2 IN ('', code) "
            "ORDER BY rowid",
            (experiment, code),
        )
        newest: dict[str, Run] = {}
        for job_text, version, status, result in rows:
            fields = json.loads(job_text)
            fields["without"] = tuple(fields["without"])
            job = Job(**fields)
            newest[job.key] = Run(job, version, status, json.loads(result))
        yield from sorted(newest.values(), key=lambda r: (r.job.scenario, r.job.setting, r.job.seed))
