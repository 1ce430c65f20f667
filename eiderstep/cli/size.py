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
    from eiderstep.sizing.summary import Group, Wanted

app = typer.Typer(
    no_args_is_help=True, help="Is a trunk group too small, and how many circuits does it need?"
)
Settings = Annotated[Path, typer.Argument(help="The settings, a Starlark script with sizing(...).")]
Days = Annotated[float, typer.Option(help="Only the last so many days of measurements; 0 for all.")]
Busy = Annotated[
    bool, typer.Option("--busy-hour", help="For the busiest hour of the day instead of all hours.")
]
Json = Annotated[bool, typer.Option("--json", help="The same as JSON.")]
WIDE = 160  # columns, where the output is no terminal
HOUR = 3600 * 1_000_000_000


def _read(path: Path, days: float, busy: bool, only: int | None = None) -> tuple[Wanted, dict[int, Group]]:
    # Here, not at the top: a call server starts without the numbers libraries, and need not have them.
    from eiderstep.sizing import summary

    settings = load_settings(path)
    sizing = settings.sizing
    if sizing is None:
        raise typer.BadParameter(f"{path} measures nothing; allowed: settings with sizing(store = ...)")
    if not Path(sizing.store).is_file():
        raise typer.BadParameter(f"sizing.store: found {sizing.store!r}, no file; has the call server run?")
    names = [c.name for c in settings.classes]
    wanted = summary.Wanted(
        names, [c.width for c in settings.classes], [sizing.targets.get(n, sizing.target) for n in names],
        sizing.module, sizing.price,
    )  # fmt: skip
    try:
        store = Store(Path(sizing.store), read_only=True)
    except sqlite3.Error as problem:
        raise typer.BadParameter(f"sizing.store: {sizing.store} cannot be read: {problem}") from None
    groups = {}
    with contextlib.closing(store):
        numbers = store.groups()
        if only is not None and only not in numbers:
            raise typer.BadParameter(
                f"found group {only}; allowed: {', '.join(map(str, numbers)) or 'none yet'}"
            )
        for number in numbers if only is None else [only]:
            buckets = store.buckets(number)
            if days and buckets:
                since = buckets[-1].start + buckets[-1].length - int(days * 24 * HOUR)
                buckets = [b for b in buckets if b.start >= since]
            groups[number] = summary.summarize(number, buckets, wanted, busy)
    return wanted, groups


def _holds(path: Path) -> dict[tuple[int, int], HdrHistogram]:
    sizing = load_settings(path).sizing
    assert sizing is not None
    with contextlib.closing(Store(Path(sizing.store), read_only=True)) as store:
        return {key: HdrHistogram.decode(data) for key, data in store.holds().items()}


def _table(title: str, columns: list[str], rows: list[list[str]]) -> None:
    table = Table(title=title)
    for column in columns:
        table.add_column(column)
    for row in rows:
        table.add_row(*row)
    console = Console()
    Console(width=console.width if console.is_terminal else WIDE).print(table)


@app.command()
def measure(settings: Settings, days: Days = 0.0, busy_hour: Busy = False, as_json: Json = False) -> None:
    """What was measured of each group: loads with intervals, blocking measured and expected."""
    wanted, groups = _read(settings, days, busy_hour)
    if as_json:
        _print_json(wanted, groups)
        return
    rows = []
    for group in groups.values():
        for c, name in enumerate(wanted.classes):
            load = group.judgement.loads[c]
            low, middle, high = group.judgement.expected[c]
            seen = group.judgement.measured[c]
            lost = "-" if seen is None else f"{seen:.4f}"
            erlangs = f"{load.load:.2f} ({load.low:.2f} to {load.high:.2f})"
            rows.append([
                str(group.number), str(group.circuits), f"{group.hours:.1f}", f"{100 * group.censored:.0f}%",
                name, str(load.seen), erlangs, f"{load.hold:.1f}", lost,
                f"{middle:.4f} ({low:.4f} to {high:.4f})",
            ])  # fmt: skip
    _table(
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
def recommend(settings: Settings, days: Days = 0.0, busy_hour: Busy = False, as_json: Json = False) -> None:
    """The verdict on each group and how many circuits it needs."""
    wanted, groups = _read(settings, days, busy_hour)
    if as_json:
        _print_json(wanted, groups)
        return
    rows = []
    for group in groups.values():
        found, a = group.judgement, group.advice
        more = f", {found.hours_more:.1f} h more" if found.hours_more is not None else ""
        advised = ["-"] * 3 if a is None else [
            f"{a.circuits} ({a.low} to {a.high})", f"{a.cost:+g}",
            f"{a.overflow_now:.2f} -> {a.overflow_then:.2f}",
        ]  # fmt: skip
        rows.append([str(group.number), str(group.circuits), found.verdict.value + more, *advised, found.why])
    _table("advised", ["toward", "circuits", "verdict", "advised", "cost", "overflow, erlangs", "why"], rows)


@app.command()
def explain(
    settings: Settings, group: Annotated[int, typer.Argument(help="The exchange that the group leads to.")],
    days: Days = 0.0, busy_hour: Busy = False,
) -> None:  # fmt: skip
    """The way from the counts to the verdict on one group."""
    from eiderstep.sizing import summary

    wanted, groups = _read(settings, days, busy_hour, group)
    holds = _holds(settings)
    print("\n".join(summary.explain(groups[group], wanted)))
    for c, name in enumerate(wanted.classes):
        held = holds.get((group, c))
        if held is not None:
            p50, p90, p99 = (held.get_value_at_percentile(p) / 1000 for p in (50, 90, 99))
            print(f"class {name}: calls stood {p50:.1f} s at p50, {p90:.1f} s at p90, {p99:.1f} s at p99")


@app.command("what-if")
def what_if(
    settings: Settings, group: Annotated[int, typer.Argument(help="The exchange that the group leads to.")],
    circuits: Annotated[int, typer.Argument(min=0, max=20_000, help="A size to try.")],
    factor: Annotated[float, typer.Option(min=0.0, max=100.0, help="The load times this.")] = 1.0,
    days: Days = 0.0, busy_hour: Busy = False,
) -> None:  # fmt: skip
    """What each class would lose with another size, or another load."""
    from eiderstep.sizing import summary

    wanted, groups = _read(settings, days, busy_hour, group)
    held = summary.scaled(groups[group], factor)
    rows = []
    for size, low, middle, high in summary.curve(held, wanted, sorted({held.circuits, circuits})):
        for c, name in enumerate(wanted.classes):
            rows.append(
                [
                    str(size),
                    name,
                    f"{middle[c]:.4f} ({low[c]:.4f} to {high[c]:.4f})",
                    f"{wanted.targets[c]:g}",
                ]
            )
    _table(f"group toward {group}", ["circuits", "class", "lost", "wanted"], rows)


@app.command()
def report(
    settings: Settings, out: Annotated[Path, typer.Option(help="The page to write.")], days: Days = 0.0,
    busy_hour: Busy = False,
) -> None:  # fmt: skip
    """A page with tables, the blocking measured against the curve, and the traffic by hour."""
    from eiderstep.sizing import report as pages

    wanted, groups = _read(settings, days, busy_hour)
    out.write_text(pages.page(load_settings(settings).number, groups, wanted), encoding="utf-8")
    print(f"{out}: {len(groups)} groups")


@app.command()
def prove(
    out: Annotated[Path | None, typer.Option(help="Write the page here as well.")] = None,
    processes: Annotated[int, typer.Option(min=1, max=256, help="Processes.")] = 7,
    example: Annotated[Path | None, typer.Option(help="Write an example report here, and no more.")] = None,
) -> None:
    """Known loads measured, sized and measured again in virtual time; minutes.  Exit 1 where one fails."""
    from eiderstep.lab import trials

    if example is not None:
        example.write_text(trials.example(), encoding="utf-8")
        return
    page, good = trials.proof(processes)
    if out is not None:
        out.write_text(page, encoding="utf-8")
    print(page)
    sys.exit(0 if good else 1)


def _print_json(wanted: Wanted, groups: dict[int, Group]) -> None:
    print(json.dumps([_plain(wanted, group) for group in groups.values()]))


def _plain(wanted: Wanted, group: Group) -> dict[str, Any]:
    found, a = group.judgement, group.advice
    return {
        "toward": group.number, "circuits": group.circuits, "hours": group.hours, "censored": group.censored,
        "occupancy": group.occupancy, "verdict": found.verdict.value, "why": found.why,
        "hours_more": found.hours_more, "peakedness": group.peaked, "busy_hour": group.busy_hour,
        "classes": [
            {
                "class": name, "erlangs": x.load, "low": x.low, "high": x.high, "hold": x.hold,
                "first_tries": x.seen,
                "lost": found.measured[c], "expected": found.expected[c][1], "target": wanted.targets[c],
            }
            for c, (name, x) in enumerate(zip(wanted.classes, found.loads, strict=True))
        ],
        "advised": None if a is None else {
            "circuits": a.circuits, "low": a.low, "high": a.high, "cost": a.cost,
            "overflow_now": a.overflow_now, "overflow_then": a.overflow_then,
        },
    }  # fmt: skip
