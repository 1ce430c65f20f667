"""`eiderstep size measure|recommend|explain|what-if|report`."""

from __future__ import annotations

import contextlib
import json
import sqlite3
import sys
from pathlib import Path
from typing import TYPE_CHECKING, Annotated, Any

import typer
from hdrh.histogram import HdrHistogram
from rich.console import Console
from rich.table import Table

from eiderstep.config import load_settings
from eiderstep.sizing.store import Store

if TYPE_CHECKING:
    from eiderstep.sizing.summary import GroupSummary, SizingGoals

app = typer.Typer(
    no_args_is_help=True, help="Tell whether a trunk group is too small and how many circuits it needs."
)
Settings = Annotated[Path, typer.Argument(help="The settings, a Starlark script with sizing(...).")]
Days = Annotated[float, typer.Option(help="Use only this many last days of measurements; 0: all.")]
BusyHourOption = Annotated[
    bool, typer.Option("--busy-hour", help="Size for the busiest hour of the day, not for all hours.")
]
JsonOption = Annotated[bool, typer.Option("--json", help="Print the result as JSON.")]
NON_TERMINAL_WIDTH = 160  # columns, where the output is not a terminal
HOUR = 3600 * 1_000_000_000  # ns


def _summarize_groups(
    path: Path, days: float, busy_hour: bool, only_group: int | None = None
) -> tuple[SizingGoals, dict[int, GroupSummary]]:
    # Imported here, so that a call server starts without numpy and scipy, which need not be installed there.
    from eiderstep.sizing import summary

    settings = load_settings(path)
    sizing = settings.sizing
    if sizing is None:
        raise typer.BadParameter(
            f"{path} has no sizing(...), so nothing is measured; allowed: settings with sizing(store = ...)"
        )
    if not Path(sizing.store).is_file():
        raise typer.BadParameter(f"sizing.store: found {sizing.store!r}, no file; has the call server run?")
    class_names = [c.name for c in settings.classes]
    goals = summary.SizingGoals(
        class_names, [c.width for c in settings.classes],
        [sizing.targets.get(name, sizing.target) for name in class_names], sizing.module, sizing.price,
    )  # fmt: skip
    try:
        store = Store(Path(sizing.store), read_only=True)
    except sqlite3.Error as problem:
        raise typer.BadParameter(f"sizing.store: {sizing.store} cannot be read: {problem}") from None
    groups = {}
    with contextlib.closing(store):
        numbers = store.groups()
        if only_group is not None and only_group not in numbers:
            raise typer.BadParameter(
                f"found group {only_group}; allowed: {', '.join(map(str, numbers)) or 'none yet'}"
            )
        for number in numbers if only_group is None else [only_group]:
            buckets = store.buckets(number)
            if days and buckets:
                since = buckets[-1].start + buckets[-1].length - int(days * 24 * HOUR)
                buckets = [b for b in buckets if b.start >= since]
            groups[number] = summary.summarize(number, buckets, goals, busy_hour)
    return goals, groups


def _read_holding_times(path: Path) -> dict[tuple[int, int], HdrHistogram]:
    sizing = load_settings(path).sizing
    assert sizing is not None
    with contextlib.closing(Store(Path(sizing.store), read_only=True)) as store:
        return {key: HdrHistogram.decode(data) for key, data in store.read_holding_times().items()}


def _print_table(title: str, columns: list[str], rows: list[list[str]]) -> None:
    table = Table(title=title)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    console = Console()
    Console(width=console.width if console.is_terminal else NON_TERMINAL_WIDTH).print(table)


@app.command()
def measure(
    settings: Settings, days: Days = 0.0, busy_hour: BusyHourOption = False, as_json: JsonOption = False
) -> None:
    """Show what was measured of each group: loads with intervals, blocking measured and expected."""
    goals, groups = _summarize_groups(settings, days, busy_hour)
    if as_json:
        _print_json(goals, groups)
        return
    rows = []
    for group in groups.values():
        for c, name in enumerate(goals.classes):
            load = group.judgement.loads[c]
            low, middle, high = group.judgement.expected[c]
            blocking = group.judgement.measured[c]
            blocking_text = "-" if blocking is None else f"{blocking:.4f}"
            load_text = f"{load.load:.2f} ({load.low:.2f} to {load.high:.2f})"
            rows.append([
                str(group.number), str(group.circuits), f"{group.hours:.1f}",
                f"{100 * group.censored_share:.0f}%", name, str(load.first_tries), load_text,
                f"{load.hold:.1f}", blocking_text,
                f"{middle:.4f} ({low:.4f} to {high:.4f})",
            ])  # fmt: skip
    _print_table(
        "measured",
        [
            "toward",
            "circuits",
            "hours",
            "censored",
            "class",
            "first tries",
            "erlangs",
            "hold s",
            "lost",
            "expected",
        ],
        rows,
    )


@app.command()
def recommend(
    settings: Settings, days: Days = 0.0, busy_hour: BusyHourOption = False, as_json: JsonOption = False
) -> None:
    """Show the verdict on each group and how many circuits it needs."""
    goals, groups = _summarize_groups(settings, days, busy_hour)
    if as_json:
        _print_json(goals, groups)
        return
    rows = []
    for group in groups.values():
        judgement, advice = group.judgement, group.advice
        more_hours = f", {judgement.hours_more:.1f} h more" if judgement.hours_more is not None else ""
        advice_cells = ["-"] * 3 if advice is None else [
            f"{advice.circuits} ({advice.low} to {advice.high})", f"{advice.cost:+g}",
            f"{advice.overflow_now:.2f} -> {advice.overflow_then:.2f}",
        ]  # fmt: skip
        rows.append(
            [
                str(group.number),
                str(group.circuits),
                judgement.verdict.value + more_hours,
                *advice_cells,
                judgement.reason,
            ]
        )
    _print_table(
        "advised", ["toward", "circuits", "verdict", "advised", "cost", "overflow, erlangs", "why"], rows
    )


@app.command()
def explain(
    settings: Settings, group: Annotated[int, typer.Argument(help="The exchange that the group leads to.")],
    days: Days = 0.0, busy_hour: BusyHourOption = False,
) -> None:  # fmt: skip
    """Show step by step how the verdict on one group follows from its counts."""
    from eiderstep.sizing import summary

    goals, groups = _summarize_groups(settings, days, busy_hour, group)
    holding_times = _read_holding_times(settings)
    print("\n".join(summary.explain(groups[group], goals)))
    for c, name in enumerate(goals.classes):
        histogram = holding_times.get((group, c))
        if histogram is not None:
            p50, p90, p99 = (histogram.get_value_at_percentile(p) / 1000 for p in (50, 90, 99))
            print(f"class {name}: calls stood {p50:.1f} s at p50, {p90:.1f} s at p90, {p99:.1f} s at p99")


@app.command("what-if")
def what_if(
    settings: Settings, group: Annotated[int, typer.Argument(help="The exchange that the group leads to.")],
    circuits: Annotated[int, typer.Argument(min=0, max=20_000, help="Number of circuits to try.")],
    factor: Annotated[float, typer.Option(min=0.0, max=100.0, help="Multiply the load by this.")] = 1.0,
    days: Days = 0.0, busy_hour: BusyHourOption = False,
) -> None:  # fmt: skip
    """Show the blocking of each class with another size or another load."""
    from eiderstep.sizing import summary

    goals, groups = _summarize_groups(settings, days, busy_hour, group)
    scaled = summary.scale_load(groups[group], factor)
    rows = []
    for size, low, middle, high in summary.blocking_curves(
        scaled, goals, sorted({scaled.circuits, circuits})
    ):
        for c, name in enumerate(goals.classes):
            rows.append(
                [
                    str(size),
                    name,
                    f"{middle[c]:.4f} ({low[c]:.4f} to {high[c]:.4f})",
                    f"{goals.targets[c]:g}",
                ]
            )
    _print_table(f"group toward {group}", ["circuits", "class", "lost", "wanted"], rows)


@app.command()
def report(
    settings: Settings, out: Annotated[Path, typer.Option(help="The HTML file to write.")], days: Days = 0.0,
    busy_hour: BusyHourOption = False,
) -> None:  # fmt: skip
    """Write an HTML page with tables, blocking measured against the curve, and traffic by hour."""
    from eiderstep.sizing import report as html_report

    goals, groups = _summarize_groups(settings, days, busy_hour)
    out.write_text(html_report.render_page(load_settings(settings).number, groups, goals), encoding="utf-8")
    print(f"{out}: {len(groups)} groups")


@app.command()
def prove(
    out: Annotated[Path | None, typer.Option(help="Also write the page to this file.")] = None,
    processes: Annotated[int, typer.Option(min=1, max=256, help="Processes that run at once.")] = 7,
    example: Annotated[Path | None, typer.Option(help="Only write an example report to this file.")] = None,
) -> None:
    """Measure known loads, apply the advice and measure again, in virtual time.  Exit 1 if one fails.

    Takes minutes.
    """
    from eiderstep.lab import sizing_trials

    if example is not None:
        example.write_text(sizing_trials.example_report(), encoding="utf-8")
        return
    page, good = sizing_trials.run_validation(processes)
    if out is not None:
        out.write_text(page, encoding="utf-8")
    print(page)
    sys.exit(0 if good else 1)


def _print_json(goals: SizingGoals, groups: dict[int, GroupSummary]) -> None:
    print(json.dumps([_group_as_json(goals, group) for group in groups.values()]))


def _group_as_json(goals: SizingGoals, group: GroupSummary) -> dict[str, Any]:
    judgement, advice = group.judgement, group.advice
    return {
        "toward": group.number, "circuits": group.circuits, "hours": group.hours,
        "censored": group.censored_share, "occupancy": group.occupancy,
        "verdict": judgement.verdict.value, "why": judgement.reason, "hours_more": judgement.hours_more,
        "peakedness": group.peakedness, "busy_hour": group.busy_hour,
        "classes": [
            {
                "class": name, "erlangs": load.load, "low": load.low, "high": load.high, "hold": load.hold,
                "first_tries": load.first_tries, "lost": judgement.measured[c],
                "expected": judgement.expected[c][1], "target": goals.targets[c],
            }
            for c, (name, load) in enumerate(zip(goals.classes, judgement.loads, strict=True))
        ],
        "advised": None if advice is None else {
            "circuits": advice.circuits, "low": advice.low, "high": advice.high, "cost": advice.cost,
            "overflow_now": advice.overflow_now, "overflow_then": advice.overflow_then,
        },
    }  # fmt: skip
