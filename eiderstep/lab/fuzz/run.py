"""Runs a fuzz target: with atheris, guided by coverage, if it is installed; else with Hypothesis, unguided.

Each run is a separate process:
`python -m eiderstep.lab.fuzz.run TARGET WORK_FOLDER SECONDS SEED PLANTED FINDINGS_FOLDER CORPUS_FOLDER`.
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
class FuzzReport:
    """The result of a run.  `coverage`: edges of the project's code that atheris reached, 0 without it."""

    target: str
    executions: int
    coverage: int
    corpus_size: int
    findings: list[str]  # files with the inputs on which the target failed
    reason: str


def fuzz_target(target: str, corpus: Path, seconds: int, seed: int = 1, planted: str = "") -> FuzzReport:
    """Fuzzes a target for a time, starting from the corpus; writes findings to files next to the corpus.

    With a planted fault the findings are not kept.  Raises ValueError for an unknown target.
    """
    from eiderstep.lab.fuzz.seeds import seed_inputs
    from eiderstep.lab.fuzz.targets import TARGETS

    if target not in TARGETS:
        raise ValueError(f"found target {target!r}; allowed: {', '.join(TARGETS)}")
    corpus.mkdir(parents=True, exist_ok=True)
    with tempfile.TemporaryDirectory() as temp_folder:
        work_folder, findings_folder = Path(temp_folder, "work"), Path(temp_folder, "found")
        work_folder.mkdir()
        findings_folder.mkdir()
        for n, data in enumerate(seed_inputs(target)):
            (work_folder / f"seed-{n}").write_bytes(data)
        command = [
            sys.executable,
            "-m",
            "eiderstep.lab.fuzz.run",
            target,
            str(work_folder),
            str(seconds),
            str(seed),
        ]
        command += [planted, str(findings_folder), str(corpus)]
        completed = subprocess.run(command, capture_output=True, text=True, errors="replace", check=False)
        output = completed.stderr + completed.stdout
        findings = []
        for file in sorted(findings_folder.iterdir()):
            saved = corpus.parent / f"found-{target}-{file.name}"[:80]
            if not planted:
                saved.write_bytes(file.read_bytes())
            findings.append(str(saved))
        counts = [int(n) for n in re.findall(r"(?:^#|Done |executions: )(\d+)", output, re.MULTILINE)]
        coverages = [int(n) for n in re.findall(r"cov: (\d+)", output)]
        reason = ""
        if completed.returncode or findings:
            lines = [
                line
                for line in output.splitlines()
                if re.match(r"\s*(=== Uncaught|\w*(Error|Exception|Unfit|Key)\b)", line)
            ]
            reason = " ".join(lines[:2])[:300] or output.strip().splitlines()[-1][:300]
        corpus_size = len(list(corpus.iterdir()))
        return FuzzReport(
            target, max(counts, default=0), max(coverages, default=0), corpus_size, findings, reason
        )


def _by_atheris(
    atheris: object, target: str, work: str, seconds: str, seed: str, planted: str,
    findings_folder: str, corpus: str,
) -> None:  # fmt: skip
    with atheris.instrument_imports(include=["eiderstep"]):  # type: ignore[attr-defined]
        from eiderstep.lab.fuzz.planted import PLANTED_FAULTS
        from eiderstep.lab.fuzz.seeds import dictionary_entries
        from eiderstep.lab.fuzz.targets import TARGETS
    if planted:
        PLANTED_FAULTS[planted][1]()
    dictionary = Path(work).parent / "words"
    dictionary.write_text(
        "".join('"' + entry.replace('"', '\\"') + '"\n' for entry in dictionary_entries(target))
    )
    arguments = [
        sys.argv[0], f"-max_total_time={seconds}", f"-seed={seed}", f"-artifact_prefix={findings_folder}/",
        "-max_len=4096", f"-dict={dictionary}", "-rss_limit_mb=2048", "-timeout=20", corpus,
        work,
    ]  # fmt: skip
    atheris.Setup(arguments, TARGETS[target])  # type: ignore[attr-defined]
    atheris.Fuzz()  # type: ignore[attr-defined]


def _by_hypothesis(target: str, work: str, seconds: str, findings_folder: str) -> None:
    """Runs the target without coverage on joined random bytes, seeds, and seeds with one byte removed."""
    import time

    from hypothesis import HealthCheck, given, settings
    from hypothesis import strategies as st

    from eiderstep.lab.fuzz.targets import TARGETS

    seed_data = [path.read_bytes() for path in sorted(Path(work).iterdir())]
    piece = st.one_of(
        st.binary(max_size=64),
        st.sampled_from(seed_data),
        st.sampled_from(seed_data).flatmap(_remove_one_byte),
    )
    deadline, count = time.monotonic() + float(seconds), 0

    @settings(max_examples=500, deadline=None, database=None, suppress_health_check=list(HealthCheck))
    @given(st.lists(piece, max_size=4).map(b"".join))
    def run_target(data: bytes) -> None:
        nonlocal count
        count += 1
        try:
            TARGETS[target](data)
        except BaseException:
            Path(findings_folder, "crash").write_bytes(data)
            raise

    while time.monotonic() < deadline:
        run_target()
    print(f"executions: {count}")


def _remove_one_byte(data: bytes) -> SearchStrategy[bytes]:
    from hypothesis import strategies as st

    return st.integers(0, max(len(data) - 1, 0)).map(lambda n: data[:n] + data[n + 1 :])


def main() -> None:
    """Runs one target in this process; the arguments are those of the module's command line."""
    target, work, seconds, seed, planted, findings_folder, corpus = sys.argv[1:8]
    try:
        import atheris
    except ImportError:
        atheris = None
    if atheris is None:
        if planted:
            from eiderstep.lab.fuzz.planted import PLANTED_FAULTS

            PLANTED_FAULTS[planted][1]()
        with contextlib.suppress(AssertionError):
            _by_hypothesis(target, work, seconds, findings_folder)
    else:
        _by_atheris(atheris, target, work, seconds, seed, planted, findings_folder, corpus)


if __name__ == "__main__":
    main()
