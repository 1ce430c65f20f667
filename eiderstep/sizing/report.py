"""The report: one HTML page that stands without a network, pictures within it."""

from __future__ import annotations

import base64
import io
from collections.abc import Mapping

import jinja2
import matplotlib

matplotlib.use("Agg")

from matplotlib.figure import Figure  # noqa: E402

from eiderstep.sizing import summary  # noqa: E402
from eiderstep.sizing.summary import Group, Wanted  # noqa: E402

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
<td>{{ "%.1f"|format(g.hours) }}</td><td>{{ "%.1f"|format(100 * g.censored) }}%</td>
<td>{{ "%.0f"|format(100 * g.occupancy) }}%</td>
{% set verdict = g.judgement.verdict.value %}
<td class="{{ 'small' if verdict == 'too small' else 'enough' }}">{{ verdict }}</td>
<td>{% if g.advice %}{{ g.advice.circuits }} ({{ g.advice.low }} to {{ g.advice.high }})
{%- else %}-{% endif %}</td>
<td>{% if g.advice %}{{ "%+g"|format(g.advice.cost) }}{% else %}-{% endif %}</td></tr>
{% endfor %}</table>
<h2>Traffic from exchange {{ number }}, erlangs</h2>
<table><tr><th>toward</th>{% for c in wanted.classes %}<th>{{ c }}</th>{% endfor %}</tr>
{% for other, loads in matrix %}<tr><td>exchange {{ other }}</td>
{% for a in loads %}<td>{{ "%.2f"|format(a) }}</td>{% endfor %}</tr>
{% endfor %}</table>
{% for g in groups %}<h2 id="g{{ g.number }}">Toward exchange {{ g.number }}</h2>
<ul>{% for line in lines[g.number] %}<li>{{ line }}</li>{% endfor %}</ul>
<img alt="blocking against circuits, and first tries by hour, toward exchange {{ g.number }}"
src="data:image/png;base64,{{ pictures[g.number] }}">
{% endfor %}</body></html>
"""


def page(number: int, groups: Mapping[int, Group], wanted: Wanted) -> str:
    """All groups of one exchange."""
    make = jinja2.Environment(autoescape=True, undefined=jinja2.StrictUndefined).from_string(TEMPLATE)
    return make.render(
        number=number, groups=list(groups.values()), wanted=wanted, matrix=summary.matrix(groups),
        lines={n: summary.explain(g, wanted) for n, g in groups.items()},
        pictures={n: picture(g, wanted) for n, g in groups.items()},
    )  # fmt: skip


def picture(group: Group, wanted: Wanted) -> str:
    """Blocking by size with its interval and what was measured; first tries by hour.  PNG in base64."""
    figure = Figure(figsize=(10, 3.6), dpi=90, layout="constrained")
    left, right = figure.subplots(1, 2)
    rows = summary.curve(group, wanted, summary.sizes_around(group))
    sizes = [row[0] for row in rows]
    for c, name in enumerate(wanted.classes):
        if not group.judgement.loads[c].seen:
            continue
        (line,) = left.plot(sizes, [row[2][c] for row in rows], label=f"{name}, by the formulas")
        left.fill_between(
            sizes, [row[1][c] for row in rows], [row[3][c] for row in rows], alpha=0.2, color=line.get_color()
        )
        left.axhline(wanted.targets[c], linestyle=":", color=line.get_color())
        seen = group.judgement.measured[c]
        if seen is not None:
            left.plot([group.circuits], [seen], "o", color=line.get_color(), label=f"{name}, measured")
    left.set(xlabel="circuits", ylabel="lost", title=f"toward exchange {group.number}", ylim=(0, None))
    if left.lines:
        left.legend(fontsize="small")
    hours = summary.by_hour(group.every)
    right.bar(list(hours), list(hours.values()))
    right.set(xlabel="hour of the day", ylabel="first tries an hour", xlim=(-0.6, 23.6))
    sink = io.BytesIO()
    figure.savefig(sink, format="png", metadata={"Software": None})
    return base64.b64encode(sink.getvalue()).decode()
