"""Keeps buckets in SQLite, so that they survive a restart; old buckets are joined to longer ones.

A bucket is identified by the order in which it was added, not by its time, so that no bucket is overwritten
when the wall clock is set back.  A damaged file is renamed and a new one created, since the call server must
start even if measurements are lost.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import astuple, fields
from pathlib import Path

from eiderstep.sizing.bucket import Bucket, Counts

HOUR = 3600 * 1_000_000_000  # ns
# Minimum age and length (ns) of joined buckets: as measured (usually minutes) for a day, quarters of an hour
# for a month, hours after that.
DOWNSAMPLING = ((24 * HOUR, HOUR // 4), (31 * 24 * HOUR, HOUR))
COUNT_COLUMNS = [f.name for f in fields(Counts)]
SCHEMA = f"""
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS bucket (
  id INTEGER PRIMARY KEY, grp INTEGER NOT NULL, start INTEGER NOT NULL, length INTEGER NOT NULL,
  circuits INTEGER NOT NULL, busy INTEGER NOT NULL, in_service INTEGER NOT NULL, out INTEGER NOT NULL,
  full INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS counts (
  bucket INTEGER NOT NULL REFERENCES bucket(id) ON DELETE CASCADE, cls INTEGER NOT NULL,
  {", ".join(f"{name} {'REAL' if name == 'hold_squared' else 'INTEGER'} NOT NULL" for name in COUNT_COLUMNS)},
  PRIMARY KEY (bucket, cls)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS holds (
  grp INTEGER NOT NULL, cls INTEGER NOT NULL, histogram BLOB NOT NULL, PRIMARY KEY (grp, cls)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_group ON bucket (grp, start);
"""


class Store:
    """One SQLite file of measurements."""

    def __init__(self, path: Path, read_only: bool = False) -> None:
        """Open the file, or create it; raises OSError or sqlite3.Error if that is impossible.

        `read_only`: for a reader beside the call server that writes the file; a damaged file is then left in
        place and raises DatabaseError.  Otherwise it is renamed, and its new path is kept as an attribute.
        """
        self.path = path
        self.damaged_path: Path | None = None
        if read_only:
            self.db = sqlite3.connect(f"{path.absolute().as_uri()}?mode=ro", uri=True, isolation_level=None)
            (check_result,) = self.db.execute("PRAGMA quick_check").fetchone()
            if check_result != "ok":
                self.db.close()
                raise sqlite3.DatabaseError(check_result)
            return
        try:
            self.db = self._open()
        except sqlite3.DatabaseError as problem:
            if isinstance(problem, sqlite3.OperationalError) or not path.exists():
                raise  # disk full, no permission or no folder: a new file would fail as well
            self.damaged_path = self._move_aside()
            self.db = self._open()

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, isolation_level=None)
        try:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=NORMAL")
            db.execute("PRAGMA foreign_keys=ON")
            (check_result,) = db.execute("PRAGMA quick_check").fetchone()
            if check_result != "ok":
                raise sqlite3.DatabaseError(check_result)
            db.executescript(SCHEMA)
        except sqlite3.Error:
            db.close()
            raise
        return db

    def _move_aside(self) -> Path:
        """Rename the damaged file, delete its journal files and return the new path."""
        number = 0
        while (damaged_path := self.path.with_name(f"{self.path.name}.damaged-{number}")).exists():
            number += 1
        self.path.rename(damaged_path)
        for suffix in ("-wal", "-shm"):
            self.path.with_name(self.path.name + suffix).unlink(missing_ok=True)
        return damaged_path

    def write_meta(self, **meta: str) -> None:
        """Store values by name that describe the file, such as the number of the exchange."""
        self.db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", list(meta.items()))

    def read_meta(self) -> dict[str, str]:
        """The stored values that describe the file, by name."""
        return dict(self.db.execute("SELECT name, value FROM meta").fetchall())

    def add_buckets(self, closed: Iterable[tuple[int, Bucket]]) -> None:
        """Add the buckets, given with their groups, in one transaction."""
        with self._transaction():
            for group, bucket in closed:
                self._insert(group, bucket)

    @contextlib.contextmanager
    def _transaction(self) -> Iterator[None]:
        """A transaction, rolled back on any exception: one left open would make every later one fail."""
        self.db.execute("BEGIN")
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            self.db.execute("ROLLBACK")
            raise

    def _insert(self, group: int, bucket: Bucket, row_id: int | None = None) -> None:
        """Insert one bucket with its counts; `row_id` sets its place in the order (None: last)."""
        bucket_row = (
            row_id, group, bucket.start, bucket.length, bucket.circuits, bucket.busy, bucket.in_service,
            bucket.out, bucket.full,
        )  # fmt: skip
        cursor = self.db.execute("INSERT INTO bucket VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", bucket_row)
        placeholders = ", ".join("?" * (2 + len(COUNT_COLUMNS)))
        count_rows = [(cursor.lastrowid, cls, *astuple(counts)) for cls, counts in enumerate(bucket.classes)]
        self.db.executemany(f"INSERT INTO counts VALUES ({placeholders})", count_rows)

    def write_holding_times(self, encoded: Mapping[tuple[int, int], bytes]) -> None:
        """Store holding times by group and class as encoded HDR histograms, replacing earlier ones."""
        self.db.executemany(
            "INSERT OR REPLACE INTO holds VALUES (?, ?, ?)",
            [(*key, histogram) for key, histogram in encoded.items()],
        )

    def read_holding_times(self) -> dict[tuple[int, int], bytes]:
        """The stored holding times by group and class, as encoded HDR histograms."""
        return {
            (group, cls): histogram
            for group, cls, histogram in self.db.execute("SELECT grp, cls, histogram FROM holds")
        }

    def groups(self) -> list[int]:
        """The groups that have buckets, by the number of the far exchange."""
        return [row[0] for row in self.db.execute("SELECT DISTINCT grp FROM bucket ORDER BY grp")]

    def buckets(
        self, group: int, since: int = 0, until: int = 2**62, shorter_than: int = 2**62
    ) -> list[Bucket]:  # fmt: skip
        """A group's buckets that start from `since` to before `until` (ns since 1970), in the order added.

        Only those shorter than `shorter_than` ns.
        """
        bucket_rows = self.db.execute(
            "SELECT id, start, length, circuits, busy, in_service, out, full FROM bucket"
            " WHERE grp = ? AND start >= ? AND start < ? AND length < ? ORDER BY id",
            (group, since, until, shorter_than),
        ).fetchall()
        counts: dict[int, list[Counts]] = {}
        count_columns = ", ".join(f"c.{name}" for name in COUNT_COLUMNS)
        for row in self.db.execute(
            f"SELECT c.bucket, {count_columns} FROM counts c JOIN bucket b ON b.id = c.bucket"
            " WHERE b.grp = ? AND b.start >= ? AND b.start < ? AND b.length < ? ORDER BY c.bucket, c.cls",
            (group, since, until, shorter_than),
        ):
            counts.setdefault(row[0], []).append(Counts(*row[1:]))
        bucket_fields = [field.name for field in fields(Bucket)][:-1]
        return [
            Bucket(**dict(zip(bucket_fields, row[1:], strict=True)), classes=tuple(counts.get(row[0], ())))
            for row in bucket_rows
        ]

    def downsample(self, now: int) -> int:
        """Join old buckets to longer ones; return how many fewer there are.  `now`: ns since 1970.

        Only neighbours with the same number of circuits and the same censored state are joined, so that an
        outage remains visible.
        """
        count_before = self.db.execute("SELECT COUNT(*) FROM bucket").fetchone()[0]
        for min_age, span in DOWNSAMPLING:
            for group in self.groups():
                self._downsample_group(group, now - min_age, span)
        count_after = self.db.execute("SELECT COUNT(*) FROM bucket").fetchone()[0]
        return int(count_before - count_after)

    def _downsample_group(self, group: int, start_before: int, span: int) -> None:
        """Join a group's buckets that start before `start_before` (ns) within each `span`.

        Buckets that already fill a span are skipped, to keep this fast: the call server blocks on it each
        hour.
        """
        ids = [
            row[0] for row in self.db.execute(
                "SELECT id FROM bucket WHERE grp = ? AND start < ? AND length < ? ORDER BY id",
                (group, start_before, span),
            )
        ]  # fmt: skip
        runs: list[list[tuple[int, Bucket]]] = []
        for row_id, bucket in zip(ids, self.buckets(group, 0, start_before, span), strict=True):
            previous = runs[-1][-1][1] if runs else None
            if (
                previous is not None
                and previous.start // span == bucket.start // span and previous.start <= bucket.start
                and (previous.circuits, previous.censored, len(previous.classes))
                == (bucket.circuits, bucket.censored, len(bucket.classes))
            ):  # fmt: skip
                runs[-1].append((row_id, bucket))
            else:
                runs.append([(row_id, bucket)])
        with self._transaction():
            for run in runs:
                if len(run) > 1:
                    self._replace_by_joined(group, run)

    def _replace_by_joined(self, group: int, run: Sequence[tuple[int, Bucket]]) -> None:
        """Replace a run of buckets by one, which takes the place of the first in the order."""
        self.db.executemany("DELETE FROM bucket WHERE id = ?", [(row_id,) for row_id, _ in run])
        self._insert(group, join_buckets([bucket for _, bucket in run]), run[0][0])

    def close(self) -> None:
        self.db.close()


def join_buckets(buckets: Sequence[Bucket]) -> Bucket:
    """Join consecutive buckets of one group: times and counts are summed."""
    first = buckets[0]
    classes = tuple(
        Counts(*(sum(values) for values in zip(*(astuple(b.classes[cls]) for b in buckets), strict=True)))
        for cls in range(len(first.classes))
    )
    return Bucket(
        first.start, sum(b.length for b in buckets), buckets[-1].circuits, sum(b.busy for b in buckets),
        sum(b.in_service for b in buckets), sum(b.out for b in buckets), sum(b.full for b in buckets),
        classes,
    )  # fmt: skip
