"""Buckets kept in SQLite: they survive a restart, and are thinned with age.

A bucket is known by the order in which it came, not by its time: a wall clock that is set back must not write
over what is there.  A file that is not whole is put aside under another name and begun anew: measurements are
worth less than a call server that starts.
"""

from __future__ import annotations

import contextlib
import sqlite3
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import astuple, fields
from pathlib import Path

from eiderstep.sizing.bucket import Bucket, Counts

HOUR = 3600 * 1_000_000_000
# Buckets older than this (ns) are joined to spans of that: minutes for a day, quarters for a month, hours.
THINNING = ((24 * HOUR, HOUR // 4), (31 * 24 * HOUR, HOUR))
COUNTS = [f.name for f in fields(Counts)]
SCHEMA = f"""
CREATE TABLE IF NOT EXISTS meta (name TEXT PRIMARY KEY, value TEXT NOT NULL);
CREATE TABLE IF NOT EXISTS bucket (
  id INTEGER PRIMARY KEY, grp INTEGER NOT NULL, start INTEGER NOT NULL, length INTEGER NOT NULL,
  circuits INTEGER NOT NULL, busy INTEGER NOT NULL, in_service INTEGER NOT NULL, out INTEGER NOT NULL,
  full INTEGER NOT NULL);
CREATE TABLE IF NOT EXISTS counts (
  bucket INTEGER NOT NULL REFERENCES bucket(id) ON DELETE CASCADE, cls INTEGER NOT NULL,
  {", ".join(f"{name} {'REAL' if name == 'hold_squared' else 'INTEGER'} NOT NULL" for name in COUNTS)},
  PRIMARY KEY (bucket, cls)) WITHOUT ROWID;
CREATE TABLE IF NOT EXISTS holds (
  grp INTEGER NOT NULL, cls INTEGER NOT NULL, histogram BLOB NOT NULL, PRIMARY KEY (grp, cls)) WITHOUT ROWID;
CREATE INDEX IF NOT EXISTS by_group ON bucket (grp, start);
"""


class Store:
    """One file.  Raises OSError or sqlite3.Error where it cannot be had at all."""

    def __init__(self, path: Path, read_only: bool = False) -> None:
        """`read_only`: beside the call server that writes it; a damaged file is then an error and stays."""
        self.path = path
        self.put_aside: Path | None = None
        if read_only:
            self.db = sqlite3.connect(f"{path.absolute().as_uri()}?mode=ro", uri=True, isolation_level=None)
            (said,) = self.db.execute("PRAGMA quick_check").fetchone()
            if said != "ok":
                self.db.close()
                raise sqlite3.DatabaseError(said)
            return
        try:
            self.db = self._open()
        except sqlite3.DatabaseError as problem:
            if isinstance(problem, sqlite3.OperationalError) or not path.exists():
                raise  # no room, no right, no folder: another file would not help
            self.put_aside = self._aside()
            self.db = self._open()

    def _open(self) -> sqlite3.Connection:
        db = sqlite3.connect(self.path, isolation_level=None)
        try:
            db.execute("PRAGMA journal_mode=WAL")
            db.execute("PRAGMA synchronous=NORMAL")
            db.execute("PRAGMA foreign_keys=ON")
            (said,) = db.execute("PRAGMA quick_check").fetchone()
            if said != "ok":
                raise sqlite3.DatabaseError(said)
            db.executescript(SCHEMA)
        except sqlite3.Error:
            db.close()
            raise
        return db

    def _aside(self) -> Path:
        number = 0
        while (to := self.path.with_name(f"{self.path.name}.damaged-{number}")).exists():
            number += 1
        self.path.rename(to)
        for more in ("-wal", "-shm"):
            self.path.with_name(self.path.name + more).unlink(missing_ok=True)
        return to

    def describe(self, **meta: str) -> None:
        """Names that a reader needs: classes, widths, the exchange."""
        self.db.executemany("INSERT OR REPLACE INTO meta VALUES (?, ?)", list(meta.items()))

    def meta(self) -> dict[str, str]:
        return dict(self.db.execute("SELECT name, value FROM meta").fetchall())

    def add(self, closed: Iterable[tuple[int, Bucket]]) -> None:
        """Buckets of one moment, all or none."""
        with self._whole():
            for group, bucket in closed:
                self._insert(group, bucket)

    @contextlib.contextmanager
    def _whole(self) -> Iterator[None]:
        """All that is written within, or none of it.

        Danger: one that is left open by an error makes every later one fail.
        """
        self.db.execute("BEGIN")
        try:
            yield
            self.db.execute("COMMIT")
        except BaseException:
            self.db.execute("ROLLBACK")
            raise

    def _insert(self, group: int, bucket: Bucket, place: int | None = None) -> None:
        """`place`: its id, and so its place in the order; the next one if None."""
        row = (
            place, group, bucket.start, bucket.length, bucket.circuits, bucket.busy, bucket.in_service,
            bucket.out, bucket.full,
        )  # fmt: skip
        made = self.db.execute("INSERT INTO bucket VALUES (?, ?, ?, ?, ?, ?, ?, ?, ?)", row)
        places = ", ".join("?" * (2 + len(COUNTS)))
        rows = [(made.lastrowid, c, *astuple(counts)) for c, counts in enumerate(bucket.classes)]
        self.db.executemany(f"INSERT INTO counts VALUES ({places})", rows)

    def keep_holds(self, encoded: Mapping[tuple[int, int], bytes]) -> None:
        """Holding times by group and class, as HDR histograms, in place of those held."""
        self.db.executemany(
            "INSERT OR REPLACE INTO holds VALUES (?, ?, ?)", [(*key, data) for key, data in encoded.items()]
        )

    def holds(self) -> dict[tuple[int, int], bytes]:
        """What `keep_holds` was given last."""
        return {(g, c): data for g, c, data in self.db.execute("SELECT grp, cls, histogram FROM holds")}

    def groups(self) -> list[int]:
        return [row[0] for row in self.db.execute("SELECT DISTINCT grp FROM bucket ORDER BY grp")]

    def buckets(
        self, group: int, since: int = 0, until: int = 2**62, shorter: int = 2**62
    ) -> list[Bucket]:  # fmt: skip
        """A group's buckets that begin within and are `shorter` (ns), in the order in which they came."""
        found = self.db.execute(
            "SELECT id, start, length, circuits, busy, in_service, out, full FROM bucket"
            " WHERE grp = ? AND start >= ? AND start < ? AND length < ? ORDER BY id",
            (group, since, until, shorter),
        ).fetchall()
        counts: dict[int, list[Counts]] = {}
        names = ", ".join(f"c.{name}" for name in COUNTS)
        for row in self.db.execute(
            f"SELECT c.bucket, {names} FROM counts c JOIN bucket b ON b.id = c.bucket"
            " WHERE b.grp = ? AND b.start >= ? AND b.start < ? AND b.length < ? ORDER BY c.bucket, c.cls",
            (group, since, until, shorter),
        ):
            counts.setdefault(row[0], []).append(Counts(*row[1:]))
        numbers = [f.name for f in fields(Bucket)][:-1]
        return [
            Bucket(**dict(zip(numbers, row[1:], strict=True)), classes=tuple(counts.get(row[0], ())))
            for row in found
        ]

    def thin(self, now: int) -> int:
        """Join old buckets to longer ones; returns how many are fewer.  `now`: ns since 1970.

        Only neighbours that are alike in size and in being censored are joined: an outage stays an outage.
        """
        before = self.db.execute("SELECT COUNT(*) FROM bucket").fetchone()[0]
        for age, span in THINNING:
            for group in self.groups():
                self._thin(group, now - age, span)
        after = self.db.execute("SELECT COUNT(*) FROM bucket").fetchone()[0]
        return int(before - after)

    def _thin(self, group: int, older: int, span: int) -> None:
        """Those that fill a span already are passed over: the call server waits for this each hour."""
        ids = [
            row[0] for row in self.db.execute(
                "SELECT id FROM bucket WHERE grp = ? AND start < ? AND length < ? ORDER BY id",
                (group, older, span),
            )
        ]  # fmt: skip
        runs: list[list[tuple[int, Bucket]]] = []
        for name, bucket in zip(ids, self.buckets(group, 0, older, span), strict=True):
            last = runs[-1][-1][1] if runs else None
            if (
                last is not None and last.start // span == bucket.start // span and last.start <= bucket.start
                and (last.circuits, last.censored, len(last.classes))
                == (bucket.circuits, bucket.censored, len(bucket.classes))
            ):  # fmt: skip
                runs[-1].append((name, bucket))
            else:
                runs.append([(name, bucket)])
        with self._whole():
            for run in runs:
                if len(run) > 1:
                    self._replace(group, run)

    def _replace(self, group: int, run: Sequence[tuple[int, Bucket]]) -> None:
        """The joined bucket takes the first one's place in the order."""
        self.db.executemany("DELETE FROM bucket WHERE id = ?", [(name,) for name, _ in run])
        self._insert(group, joined([bucket for _, bucket in run]), run[0][0])

    def close(self) -> None:
        self.db.close()


def joined(buckets: Sequence[Bucket]) -> Bucket:
    """Several buckets of one group as one."""
    first = buckets[0]
    classes = tuple(
        Counts(*(sum(values) for values in zip(*(astuple(b.classes[c]) for b in buckets), strict=True)))
        for c in range(len(first.classes))
    )
    return Bucket(
        first.start, sum(b.length for b in buckets), buckets[-1].circuits, sum(b.busy for b in buckets),
        sum(b.in_service for b in buckets), sum(b.out for b in buckets), sum(b.full for b in buckets),
        classes,
    )  # fmt: skip
