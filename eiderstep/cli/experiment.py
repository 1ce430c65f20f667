"""`eiderstep experiment run|list|compare|report|hunt`."""

from __future__ import annotations

import json
import os
import sys
from collections.abc import Sequence
from datetime import UTC, datetime
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer

from eiderstep.cli.rehearse import parse_overrides

if TYPE_CHECKING:
    from eiderstep.lab.experiment.compare import Difference
    from eiderstep.lab.experiment.store import ResultStore, Run

app = typer.Typer(
    no_args_is_help=True,
    help="Run, store, compare and report grids of rehearsals; search for the worst draws.",
)
StoreOption = Annotated[Path, typer.Option(help="The SQLite file of results.")]
DEFAULT_STORE = Path("experiments.db")
FolderOption = Annotated[Path, typer.Option(help="Folder of scenarios, as GROUP/NAME.star.")]
DEFAULT_FOLDER = Path("scenarios")
ProcessesOption = Annotated[int, typer.Option(min=1, max=256, help="Plays that run at once.")]
CPU_COUNT = os.cpu_count() or 1


def parse_ranges(ranges: str, option: str) -> list[int]:
    """Parse a list such as `1-5,8`.  Raises BadParameter, which names the option."""
    numbers: list[int] = []
    for part in ranges.split(","):
        first, dash, last = part.strip().partition("-")
        try:
            low, high = int(first), int(last if dash else first)
        except ValueError:
            low, high = 1, 0
        if low > high:
            raise typer.BadParameter(
                f"found {ranges!r}; allowed: numbers and ranges such as 1-5,8", param_hint=option
            )
        numbers += range(low, high + 1)
    return numbers


def open_results(path: Path) -> ResultStore:
    from eiderstep.lab.experiment.store import ResultStore, StoreError

    try:
        return ResultStore(path)
    except StoreError as problem:
        raise typer.BadParameter(str(problem), param_hint="--store") from None


def load_runs(results: ResultStore, name: str, code: str = "") -> list[Run]:
    from eiderstep.lab.experiment.store import StoreError

    try:
        return list(results.runs(name, code))
    except StoreError as problem:
        raise typer.BadParameter(str(problem)) from None


@app.command("run")
def run(
    name: Annotated[str, typer.Argument(help="The experiment; one that was interrupted is resumed.")],
    scenario: Annotated[
        list[str] | None, typer.Option(help="A scenario or a group; may be repeated; default: all.")
    ] = None,
    seeds: Annotated[str, typer.Option(help="Seeds and ranges of seeds, such as 1-5,8.")] = "1-3",
    servers: Annotated[
        str, typer.Option(help="Numbers of call servers, such as scripted,1,3,all.")
    ] = "scripted",
    minds: Annotated[str, typer.Option(help="What decides the routes: module, direct, random.")] = "module",
    sets: Annotated[
        list[str] | None, typer.Option("--set", help="NAME=VALUE;... : one more variant, with these draws.")
    ] = None,
    processes: ProcessesOption = CPU_COUNT,
    folder: FolderOption = DEFAULT_FOLDER,
    store: StoreOption = DEFAULT_STORE,
    most: Annotated[int, typer.Option(help="Stop after this many plays; 0: play all.")] = 0,
) -> None:
    """Play a grid of scenarios, seeds, fleets and settings; exit 1 if a play is not good."""
    from rich.progress import Progress

    from eiderstep.lab.baselines import DECISION_MODULES
    from eiderstep.lab.experiment.runner import Grid
    from eiderstep.lab.experiment.runner import run_grid as play
    from eiderstep.lab.experiment.store import StoreError

    deciders = [decider.strip() for decider in minds.split(",")]
    for decider in deciders:
        if decider not in DECISION_MODULES:
            raise typer.BadParameter(
                f"found {decider!r}; allowed: {', '.join(DECISION_MODULES)}", param_hint="--minds"
            )
    fleets = {"scripted": -1, "all": 0}
    settings = [{}, *(parse_overrides(assignments.split(";")) for assignments in sets or [])]
    grid = Grid(
        str(folder), scenario or [], parse_ranges(seeds, "--seeds"),
        [fleets[f] if f in fleets else parse_ranges(f, "--servers")[0] for f in servers.split(",")],
        deciders, settings,
    )  # fmt: skip
    results = open_results(store)
    not_good = 0
    begun = datetime.now(UTC).isoformat(timespec="seconds")
    with Progress(disable=not sys.stderr.isatty()) as progress:
        bar = progress.add_task(name)

        def report_progress(run: Run, done_count: int, total: int) -> None:
            nonlocal not_good
            good = run.status == "done" and run.result["good"]
            not_good += not good
            progress.update(bar, completed=done_count, total=total)
            service = "" if run.service is None else f"{run.service:.3f}"
            failure = "" if good else f"  NOT GOOD {run.status} {run.result.get('why', '')}"
            print(
                f"{done_count}/{total} {run.job.scenario} seed {run.job.seed} {run.job.setting} "
                f"{service}{failure}",
                flush=True,
            )

        try:
            played = play(results, name, grid, processes, begun, report_progress, most)
        except (StoreError, ValueError) as problem:
            raise typer.BadParameter(str(problem)) from None
    print(f"{name}: {played} played, {not_good} not good")
    sys.exit(1 if not_good else 0)


@app.command("list")
def show(store: StoreOption = DEFAULT_STORE) -> None:
    """List the experiments in the store."""
    for name, began, count, not_good in open_results(store).experiments():
        print(f"{name}: begun {began}, {count} plays, {not_good} not good")


def split_by_setting(runs: Sequence[Run], first: str, second: str) -> tuple[list[Run], list[Run]]:
    """The runs of each of two settings, named as by `Job.setting`.  Raises BadParameter."""
    settings = sorted({r.job.setting for r in runs})
    for setting in (first, second):
        if setting not in settings:
            message = f"found {setting!r}; allowed: {'; '.join(settings)}"
            raise typer.BadParameter(message, param_hint="settings")
    return [r for r in runs if r.job.setting == first], [r for r in runs if r.job.setting == second]


@app.command("compare")
def compare(
    name: Annotated[str, typer.Argument(help="The experiment.")],
    first: Annotated[str, typer.Option(help="The setting of the first side.")] = "as scripted",
    second: Annotated[str, typer.Option(help="The setting of the second side.")] = "",
    codes: Annotated[str, typer.Option(help="Compare two versions of the code instead: OLD,NEW.")] = "",
    other: Annotated[str, typer.Option(help="Compare with this experiment instead.")] = "",
    store: StoreOption = DEFAULT_STORE,
) -> None:
    """Compare the service of two sides, paired by scenario and seed, with 95% intervals."""
    from eiderstep.lab.experiment.compare import compare as compare_runs

    results = open_results(store)
    if codes:
        old, _, new = codes.partition(",")
        first_runs, second_runs = load_runs(results, name, old), load_runs(results, name, new)
    elif other:
        first_runs, second_runs = load_runs(results, name), load_runs(results, other)
    else:
        first_runs, second_runs = split_by_setting(load_runs(results, name), first, second)
    try:
        differences = compare_runs(first_runs, second_runs)
    except ValueError as problem:
        raise typer.BadParameter(str(problem)) from None
    print_differences(differences)


def print_differences(differences: list[Difference]) -> None:
    from rich.console import Console
    from rich.table import Table

    table = Table()
    for title in ("scenario", "pairs", "first", "second", "second less first", "95%", "", "rules broken"):
        table.add_column(title, justify="left" if title in ("scenario", "") else "right")
    for d in differences:
        table.add_row(
            d.name, str(d.pairs), f"{d.first:.3f}", f"{d.second:.3f}", f"{d.mean:+.3f}",
            f"{d.low:+.3f} to {d.high:+.3f}", d.verdict,
            f"{d.plays_with_breaches[0]}, {d.plays_with_breaches[1]}",
        )  # fmt: skip
    Console(width=120).print(table)


@app.command("report")
def report(
    name: Annotated[str, typer.Argument(help="The experiment.")],
    out: Annotated[Path, typer.Option(help="The HTML file.")] = Path("experiment.html"),
    store: StoreOption = DEFAULT_STORE,
) -> None:
    """Write one self-contained HTML page that needs no network."""
    from eiderstep.lab.experiment.report import render_page

    try:
        html = render_page(name, load_runs(open_results(store), name))
    except ValueError as problem:
        raise typer.BadParameter(str(problem)) from None
    out.write_text(html, encoding="utf-8")
    print(out)


@app.command("hunt")
def hunt(
    scenario: Annotated[str, typer.Argument(help="The scenario, as GROUP/NAME.")],
    budget: Annotated[int, typer.Option(min=2, help="Plays that the search may use.")] = 40,
    seed: Annotated[int, typer.Option(help="The first seed of the plays, and the seed of the search.")] = 1,
    servers: Annotated[int, typer.Option(help="Call servers; 0: all, -1: as scripted.")] = -1,
    processes: ProcessesOption = CPU_COUNT,
    folder: FolderOption = DEFAULT_FOLDER,
    store: StoreOption = DEFAULT_STORE,
    as_json: Annotated[bool, typer.Option("--json", help="Print the result as JSON.")] = False,
) -> None:
    """Search for the draws with the worst result, then minimise them; exit 1 if they break a rule."""
    from eiderstep.lab.emulator.scenario import load
    from eiderstep.lab.experiment.hunt import BROKEN_BADNESS, Hunt
    from eiderstep.lab.experiment.runner import Grid, JobPool

    grid = Grid(str(folder), [scenario], [seed], [servers])
    try:
        paths = grid.scenario_paths()
    except ValueError as problem:
        raise typer.BadParameter(str(problem)) from None
    if len(paths) != 1:
        raise typer.BadParameter(f"found {scenario!r}, {len(paths)} scenarios; allowed: one")
    (path,), (job,) = paths, grid.jobs()
    plan, draws = load(path, seed)
    results = open_results(store)
    name = f"hunt {scenario} {seed}"
    results.begin_experiment(
        name, {"hunt": scenario, "seed": seed}, datetime.now(UTC).isoformat(timespec="seconds")
    )
    with JobPool(str(folder), processes, results, name) as pool:
        search = Hunt(pool.play, draws.ranges, len(plan.troubles), seed)
        worst = search.search(job, budget, processes)
        found = search.shrink(worst)
    summary: dict[str, Any] = {
        "scenario": scenario, "seed": found.job.seed, "why": found.reason, "badness": round(found.badness, 4),
        "service": found.run.service, "bound": found.run.result.get("bound"), "draws": found.draws,
        "without": list(found.job.without), "breaches": found.run.result.get("breaches", [])[:5],
        "played": found.play_count, "history": found.history,
    }  # fmt: skip
    if as_json:
        print(json.dumps(summary))
    else:
        print("\n".join(f"  {line}" for line in found.history))
        print(f"{scenario}: {found.reason} {found.badness:.3f} after {found.play_count} plays")
        options = [f"--seed {found.job.seed}"] + [f"--without {index}" for index in found.job.without]
        options += [f"--set '{draw}={json.dumps(value)}'" for draw, value in found.draws.items()]
        print(f"again: eiderstep rehearse {path} {' '.join(options)}")
    sys.exit(1 if found.badness >= BROKEN_BADNESS else 0)
