"""Running a target: by atheris, guided by coverage, where it is installed; else by hypothesis, blindly.

Each run is a process of its own: `python -m eiderstep.lab.fuzz.run TARGET FOLDER SECONDS SEED PLANTED`.
"""

from __future__ import annotations

import contextlib
import re
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from hypothesis.strategies import SearchStrategy


@dataclass
class Report:
    """What a run came to.  `coverage`: edges of the project's code seen by atheris, 0 without it."""

    target: str
    executions: int
    coverage: int
    corpus: int
    found: list[str]  # files with the inputs that broke it
    why: str


def fuzz(target: str, corpus: Path, seconds: int, seed: int = 1, planted: str = "") -> Report:
    """Fuzz a target for so long, beginning with what the corpus has; findings are files beside it.

    Raises ValueError for a target that is none.
    """
    from eiderstep.lab.fuzz.seeds import seeds
    from eiderstep.lab.fuzz.targets import TARGETS

    if target not in TARGETS:
        raise ValueError(f"found target {target!r}; allowed: {', '.join(TARGETS)}")
    corpus.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as spare:
        work, out = Path(spare, "work"), Path(spare, "found")
        work.mkdir()
        out.mkdir()
        for n, data in enumerate(seeds(target)):
            (work / f"seed-{n}").write_bytes(data)
        command = [sys.executable, "-m", "eiderstep.lab.fuzz.run", target, str(work), str(seconds), str(seed)]
        command += [planted, str(out), str(corpus)]
        done = subprocess.run(command, capture_output=True, text=True, errors="replace", check=False)
        said = done.stderr + done.stdout
        found = []
        for file in sorted(out.iterdir()):
            kept = corpus.parent / f"found-{target}-{file.name}"[:80]
            if not planted:
                kept.write_bytes(file.read_bytes())
            found.append(str(kept))
        counts = [int(n) for n in re.findall(r"(?:^#|Done |executions: )(\d+)", said, re.MULTILINE)]
        covers = [int(n) for n in re.findall(r"cov: (\d+)", said)]
        why = ""
        if done.returncode or found:
            lines = [
                x
                for x in said.splitlines()
                if re.match(r"\s*(=== Uncaught|\w*(Error|Exception|Unfit|Key)\b)", x)
            ]
            why = " ".join(lines[:2])[:300] or said.strip().splitlines()[-1][:300]
        kept_files = len(list(corpus.iterdir()))
        return Report(target, max(counts, default=0), max(covers, default=0), kept_files, found, why)


def _by_atheris(
    atheris: object, target: str, work: str, seconds: str, seed: str, planted: str, out: str, corpus: str
) -> None:  # fmt: skip
    with atheris.instrument_imports(include=["eiderstep"]):  # type: ignore[attr-defined]
        from eiderstep.lab.fuzz.planted import PLANTED
        from eiderstep.lab.fuzz.seeds import words
        from eiderstep.lab.fuzz.targets import TARGETS
    if planted:
        PLANTED[planted][1]()
    lexicon = Path(work).parent / "words"
    lexicon.write_text("".join('"' + w.replace('"', '\\"') + '"\n' for w in words(target)))
    arguments = [
        sys.argv[0], f"-max_total_time={seconds}", f"-seed={seed}", f"-artifact_prefix={out}/",
        "-max_len=4096", f"-dict={lexicon}", "-rss_limit_mb=2048", "-timeout=20", corpus,
        work,
    ]  # fmt: skip
    atheris.Setup(arguments, TARGETS[target])  # type: ignore[attr-defined]
    atheris.Fuzz()  # type: ignore[attr-defined]


def _by_hypothesis(target: str, work: str, seconds: str, out: str) -> None:
    """Blind: pieces of the seeds, changed and joined."""
    import time

    from hypothesis import HealthCheck, given, settings
    from hypothesis import strategies as st

    from eiderstep.lab.fuzz.targets import TARGETS

    starts = [p.read_bytes() for p in sorted(Path(work).iterdir())]
    piece = st.one_of(st.binary(max_size=64), st.sampled_from(starts), st.sampled_from(starts).flatmap(_cut))
    ends, count = time.monotonic() + float(seconds), 0

    @settings(max_examples=500, deadline=None, database=None, suppress_health_check=list(HealthCheck))
    @given(st.lists(piece, max_size=4).map(b"".join))
    def one(data: bytes) -> None:
        nonlocal count
        count += 1
        try:
            TARGETS[target](data)
        except BaseException:
            Path(out, "crash").write_bytes(data)
            raise

    while time.monotonic() < ends:
        one()
    print(f"executions: {count}")


def _cut(data: bytes) -> SearchStrategy[bytes]:
    from hypothesis import strategies as st

    return st.integers(0, max(len(data) - 1, 0)).map(lambda n: data[:n] + data[n + 1 :])


def main() -> None:
    """The child."""
    target, work, seconds, seed, planted, out, corpus = sys.argv[1:8]
    try:
        import atheris
    except ImportError:
        atheris = None
    if atheris is None:
        if planted:
            from eiderstep.lab.fuzz.planted import PLANTED

            PLANTED[planted][1]()
        with contextlib.suppress(AssertionError):
            _by_hypothesis(target, work, seconds, out)
    else:
        _by_atheris(atheris, target, work, seconds, seed, planted, out, corpus)


if __name__ == "__main__":
    main()
