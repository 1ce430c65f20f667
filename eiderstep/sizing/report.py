"""Renders the sizing report: one self-contained HTML page with embedded plots."""

from __future__ import annotations

import base64
import io
from collections.abc import Mapping

import jinja2
import matplotlib

matplotlib.use("Agg")

from matplotlib.figure import Figure  # noqa: E402

from eiderstep.sizing import summary  # noqa: E402
from eiderstep.sizing.summary import GroupSummary, SizingGoals  # noqa: E402

TEMPLATE = """<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Trunk groups of exchange {{ number }}</title>
<style>
body { font: 15px/1.45 sans-serif; max-width: 72em; margin: 2em auto; padding: 0 1em; color: #222 }
table { border-collapse: collapse; margin: 1em 0 }
td, th { padding: .25em .7em; border-bottom: 1px solid #ccc; text-align: right }
th:first-child, td:first-child { text-align: left }
img { max-width: 100% }
.small { color: #b00 }
.enough { color: #070 }
</style></head><body>
<h1>Trunk groups of exchange {{ number }}</h1>
<p>Loads are erlangs of calls with 90% intervals; lost is the share of first tries that found no circuit.</p>
<table><tr><th>toward</th><th>circuits</th><th>hours</th><th>censored</th><th>busy</th><th>verdict</th>
<th>advised</th><th>cost</th></tr>
{% for g in groups %}<tr><td><a href="#g{{ g.number }}">exchange {{ g.number }}</a></td>
<td>{{ g.circuits }}</td>
<td>{{ "%.1f"|format(g.hours) }}</td><td>{{ "%.1f"|format(100 * g.censored_share) }}%</td>
<td>{{ "%.0f"|format(100 * g.occupancy) }}%</td>
{% set verdict = g.judgement.verdict.value %}
<td class="{{ 'small' if verdict == 'too small' else 'enough' }}">{{ verdict }}</td>
<td>{% if g.advice %}{{ g.advice.circuits }} ({{ g.advice.low }} to {{ g.advice.high }})
{%- else %}-{% endif %}</td>
<td>{% if g.advice %}{{ "%+g"|format(g.advice.cost) }}{% else %}-{% endif %}</td></tr>
{% endfor %}</table>
<h2>Traffic from exchange {{ number }}, erlangs</h2>
<table><tr><th>toward</th>{% for c in goals.classes %}<th>{{ c }}</th>{% endfor %}</tr>
{% for other, loads in loads_by_exchange %}<tr><td>exchange {{ other }}</td>
{% for a in loads %}<td>{{ "%.2f"|format(a) }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% for g in groups %}<h2 id="g{{ g.number }}">Toward exchange {{ g.number }}</h2>
<ul>{% for line in lines[g.number] %}<li>{{ line }}</li>{% endfor %}</ul>
<img alt="blocking against circuits, and first tries by hour, toward exchange {{ g.number }}"
src="data:image/png;base64,{{ plots[g.number] }}">
{% endfor %}</body></html>
"""


def render_page(number: int, groups: Mapping[int, GroupSummary], goals: SizingGoals) -> str:
    """Render the page on all groups of the exchange `number`."""
    template = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(TEMPLATE)
    return template.render(
        number=number, groups=list(groups.values()), goals=goals,
        loads_by_exchange=summary.loads_by_exchange(groups),
        lines={n: summary.explain(g, goals) for n, g in groups.items()},
        plots={n: plot_png(g, goals) for n, g in groups.items()},
    )  # fmt: skip


def plot_png(group: GroupSummary, goals: SizingGoals) -> str:
    """Plot blocking by size, with its interval and the measured value, and first tries by hour.

    Returns the PNG in base64.
    """
    figure = Figure(figsize=(10, 3.6), dpi=90, layout="constrained")
    blocking_axes, tries_axes = figure.subplots(1, 2)
    rows = summary.blocking_curves(group, goals, summary.sizes_to_plot(group))
    sizes = [row[0] for row in rows]
    for cls, name in enumerate(goals.classes):
        if not group.judgement.loads[cls].first_tries:
            continue
        (curve,) = blocking_axes.plot(sizes, [row[2][cls] for row in rows], label=f"{name}, by the formulas")
        blocking_axes.fill_between(
            sizes,
            [row[1][cls] for row in rows],
            [row[3][cls] for row in rows],
            alpha=0.2,
            color=curve.get_color(),
        )
        blocking_axes.axhline(goals.targets[cls], linestyle=":", color=curve.get_color())
        measured_blocking = group.judgement.measured[cls]
        if measured_blocking is not None:
            blocking_axes.plot(
                [group.circuits], [measured_blocking], "o", color=curve.get_color(), label=f"{name}, measured"
            )
    blocking_axes.set(
        xlabel="circuits", ylabel="lost", title=f"toward exchange {group.number}", ylim=(0, None)
    )
    if blocking_axes.lines:
        blocking_axes.legend(fontsize="small")
    tries_by_hour = summary.first_tries_by_hour(group.all_buckets)
    tries_axes.bar(list(tries_by_hour), list(tries_by_hour.values()))
    tries_axes.set(xlabel="hour of the day", ylabel="first tries an hour", xlim=(-0.6, 23.6))
    png = io.BytesIO()
    figure.savefig(png, format="png", metadata={"Software": None})
    return base64.b64encode(png.getvalue()).decode()
