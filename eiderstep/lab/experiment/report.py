"""Renders an experiment as one self-contained HTML page with tables and an inline SVG chart."""

from __future__ import annotations

import io
from collections.abc import Sequence
from typing import Any

import jinja2
import matplotlib
from markupsafe import Markup

matplotlib.use("Agg")
from matplotlib import pyplot

from eiderstep.lab.experiment.compare import Difference, compare
from eiderstep.lab.experiment.store import Run

PAGE = """<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{ name }}</title> <style> body { font: 15px/1.45
sans-serif; max-width: 72em; margin: 2em auto; color: #222 } table { border-collapse: collapse; margin: 1em
0 } th, td { padding: .2em .7em; border-bottom: 1px solid #ddd } td.n, th.n { text-align: right } tr.bad td
{ background: #fbe9e7 } h2 { margin-top: 2em } svg { max-width: 100%; height: auto } </style></head><body>
<h1>{{ name }}</h1> <p>{{ runs|length }} plays, code {{ codes|join(", ") }}.  Virtual time, simulated
callers and exchanges.  Service is worth served in time over worth asked for, with the worst window and
class as the scenario weighs them; the bound is what capacity would have allowed, had the troubles been
known.</p> <h2>By scenario</h2> <table><tr><th>scenario</th><th>setting</th><th class="n">plays</th><th
class="n">service</th> <th class="n">lowest</th><th class="n">bound</th><th class="n">p99, ms</th><th
class="n">tries a call</th> <th class="n">back after, s</th><th>rules</th><th>expected</th></tr> {% for r in
rows %}<tr{% if r.broken or r.missed %} class="bad"{% endif %}><td>{{ r.scenario }}</td> <td>{{ r.setting
}}</td><td class="n">{{ r.plays }}</td><td class="n">{{ r.service }}</td> <td class="n">{{ r.lowest
}}</td><td class="n">{{ r.bound }}</td><td class="n">{{ r.p99 }}</td> <td class="n">{{ r.tries }}</td><td
class="n">{{ r.back }}</td> <td>{{ "broken in %d" % r.broken if r.broken else "kept" }}</td> <td>{{ "missed
in %d" % r.missed if r.missed else "yes" }}</td></tr> {% endfor %}</table> {{ chart }} {% for title,
differences in comparisons %} <h2>{{ title }}</h2> <table><tr><th>scenario</th><th class="n">pairs</th><th
class="n">first</th><th class="n">second</th> <th class="n">second less first</th><th
class="n">95%</th><th></th></tr> {% for d in differences %}<tr><td>{{ d.name }}</td><td class="n">{{ d.pairs
}}</td> <td class="n">{{ "%.3f"|format(d.first) }}</td><td class="n">{{ "%.3f"|format(d.second) }}</td> <td
class="n">{{ "%+.3f"|format(d.mean) }}</td> <td class="n">{{ "%+.3f to %+.3f"|format(d.low, d.high)
}}</td><td>{{ d.verdict }}</td></tr> {% endfor %}</table>{% endfor %} {% if troubled %}<h2>What went
wrong</h2><ul> {% for r in troubled %}<li>{{ r.job.scenario }}, seed {{ r.job.seed }}, {{ r.job.setting }}:
{{ wrong(r) }}</li> {%
endfor %}</ul>{% endif %} </body></html>
"""


def describe_failure(run: Run) -> str:
    """Why a run is not good, in a few words."""
    result = run.result
    if run.status != "done":
        return f"{run.status}: {result.get('why', '')}"
    left = [
        f"{result[key]} {key.replace('_', ' ')}"
        for key in ("unanswered", "left_calls", "left_circuits")
        if result[key]
    ]
    missed = [f"{f['what']} is {f['found']}" for f in result["failed"]]
    return "; ".join([*result["breaches"][:3], *left, *result["errors"][:1], *missed]) or "no reason recorded"


def table_rows(runs: Sequence[Run]) -> list[dict[str, Any]]:
    """The figures of the table by scenario, one row for each scenario and setting."""
    grouped: dict[tuple[str, str], list[Run]] = {}
    for run in runs:
        grouped.setdefault((run.job.scenario, run.job.setting), []).append(run)
    rows = []
    for (scenario, setting), group in sorted(grouped.items()):
        done = [r for r in group if r.status == "done"]

        def mean(measure: str, done: list[Run] = done) -> float:
            values = [r.result["measures"][measure] for r in done if measure in r.result["measures"]]
            return sum(values) / len(values) if values else float("nan")

        bounds = [r.result["bound"] for r in done if r.result["bound"] is not None]
        rows.append(
            {
                "scenario": scenario, "setting": setting, "plays": len(group),
                "service": f"{mean('service'):.3f}",
                "lowest": f"{min((r.result['measures']['service'] for r in done), default=float('nan')):.3f}",
                "bound": f"{sum(bounds) / len(bounds):.3f}" if bounds else "",
                "p99": f"{mean('set_up_p99_ms'):.0f}", "tries": f"{mean('tries_per_call'):.2f}",
                "back": f"{mean('recovery_s'):.0f}",
                "broken": sum(not r.rules_kept for r in group),
                "missed": sum(bool(r.result.get("failed")) for r in done),
                "value": mean("service"), "top": sum(bounds) / len(bounds) if bounds else None,
            }
        )  # fmt: skip
    return rows


def draw_chart(table: Sequence[dict[str, Any]]) -> str:
    """A chart of the service of each row and its upper bound, as SVG."""
    figure, axes = pyplot.subplots(figsize=(10, 0.6 + 0.26 * len(table)))
    labels = [r["scenario"] + ("" if r["setting"] == "as scripted" else f" ({r['setting']})") for r in table]
    positions = list(range(len(table)))[::-1]
    axes.barh(positions, [r["value"] for r in table], color="#4c78a8", height=0.7)
    bounds = [(y, r["top"]) for y, r in zip(positions, table, strict=True) if r["top"] is not None]
    axes.plot([bound for _, bound in bounds], [y for y, _ in bounds], "|", color="#d62728", markersize=10)
    axes.set_yticks(positions, labels, fontsize=8)
    axes.set_xlim(0, 1.02)
    axes.set_xlabel("service; the mark is the bound (simulated)")
    figure.tight_layout()
    svg = io.StringIO()
    with matplotlib.rc_context({"svg.hashsalt": "eiderstep"}):
        figure.savefig(svg, format="svg", metadata={"Date": None})
    pyplot.close(figure)
    return svg.getvalue()[svg.getvalue().index("<svg") :]


def compare_settings(runs: Sequence[Run]) -> list[tuple[str, list[Difference]]]:
    """The differences of each setting from the first one ("as scripted", if it was played), with a title."""
    settings = list(
        dict.fromkeys(r.job.setting for r in sorted(runs, key=lambda r: r.job.setting != "as scripted"))
    )
    comparisons = []
    for other in settings[1:]:
        first = [r for r in runs if r.job.setting == settings[0]]
        second = [r for r in runs if r.job.setting == other]
        try:
            comparisons.append((f"{other}, beside {settings[0]}", compare(first, second)))
        except ValueError:
            continue  # no scenario and seed in common
    return comparisons


def render_page(name: str, runs: Sequence[Run]) -> str:
    """Render the report as HTML.  Raises ValueError for an experiment without runs."""
    if not runs:
        raise ValueError(f"experiment {name!r} has no runs yet")
    table = table_rows(runs)
    failed = [r for r in runs if r.status != "done" or not r.result["good"]]
    environment = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined)
    return environment.from_string(PAGE).render(
        name=name, runs=runs, codes=sorted({r.code for r in runs}), rows=table,
        chart=Markup(draw_chart(table)), comparisons=compare_settings(runs),
        troubled=failed[:50], wrong=describe_failure,
    )  # fmt: skip
