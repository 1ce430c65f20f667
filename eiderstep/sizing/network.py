"""Erlang's fixed point over a network with alternates and trunk reservation, and sizes for the whole of it.

Each group is offered its pair's calls and, with `reserve` circuits left free, overflow of other pairs that
come over one tandem, any at random (Kelly 1986; Katz 1967; reservation after Krupp 1982).  Groups are taken
as independent and overflow as Poisson: good where there are many alternates with little each, too low where
one alternate carries most of a pair.  Without reservation the point need not be unique; the one reached
from an empty network is given.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

import numpy as np

from eiderstep.sizing import mixed
from eiderstep.sizing.mixed import Stream
from eiderstep.sizing.recommend import circuits_for

Pair = tuple[int, int]
ROUNDS = 400
DAMPING = 0.6
SETTLED = 1e-9


def pair(one: int, other: int) -> Pair:
    return (one, other) if one < other else (other, one)


@dataclass(frozen=True)
class Network:
    """`loads`: erlangs of calls by class for each pair, both directions together.  `circuits`: groups."""

    nodes: Sequence[int]
    widths: Sequence[int]
    loads: Mapping[Pair, Sequence[float]]
    circuits: Mapping[Pair, int]
    reserve: int = 2
    alternates: bool = True

    def tandems(self, of: Pair) -> list[int]:
        """Who has groups to both."""
        one, other = of
        return [
            k for k in self.nodes
            if k not in of and self.circuits.get(pair(one, k), 0) and self.circuits.get(pair(k, other), 0)
        ]  # fmt: skip


@dataclass
class Point:
    """The fixed point: by pair and class the share of calls that find no way, and of each group its
    losses."""

    lost: dict[Pair, list[float]] = field(default_factory=dict)
    direct: dict[Pair, list[float]] = field(default_factory=dict)
    overflow: dict[Pair, list[float]] = field(default_factory=dict)
    offered: dict[Pair, list[float]] = field(default_factory=dict)  # overflow offered to each group, by class
    rounds: int = 0
    settled: bool = False

    def worst(self) -> float:
        return max((x for losses in self.lost.values() for x in losses), default=0.0)


def fixed_point(net: Network) -> Point:
    """Iterate, damped, until no loss moves by more than `SETTLED`."""
    count, groups = len(net.widths), [p for p, n in net.circuits.items() if n > 0]
    ways = {p: net.tandems(p) if net.alternates else [] for p in net.loads}
    point = Point()
    nothing = [1.0] * count
    for p in groups:
        point.direct[p], point.overflow[p] = [0.0] * count, [0.0] * count
    zero = [0.0] * count
    for point.rounds in range(1, ROUNDS + 1):
        extra = {p: [0.0] * count for p in groups}
        for p, loads in net.loads.items():
            blocked = point.direct.get(p, nothing)
            for k in ways[p]:
                first, second = pair(p[0], k), pair(k, p[1])
                for c in range(count):
                    share = loads[c] * blocked[c] / len(ways[p])
                    extra[first][c] += share * (1.0 - point.overflow[second][c])
                    extra[second][c] += share * (1.0 - point.overflow[first][c])
        moved = 0.0
        for p in groups:
            loads = net.loads.get(p, zero)
            streams = [Stream(loads[c], net.widths[c]) for c in range(count)]
            streams += [
                Stream(extra[p][c], net.widths[c], min(net.reserve, net.circuits[p])) for c in range(count)
            ]
            found = mixed.blocking(net.circuits[p], streams)
            for into, new in ((point.direct[p], found[:count]), (point.overflow[p], found[count:])):
                for c in range(count):
                    step = DAMPING * (new[c] - into[c])
                    moved = max(moved, abs(step))
                    into[c] += step
        point.offered = extra
        if moved < SETTLED:
            point.settled = True
            break
    for p, _ in net.loads.items():
        blocked, losses = point.direct.get(p, nothing), []
        for c in range(count):
            through = [
                (1.0 - point.overflow[pair(p[0], k)][c]) * (1.0 - point.overflow[pair(k, p[1])][c])
                for k in ways[p]
            ]
            losses.append(blocked[c] * (1.0 - (float(np.mean(through)) if through else 0.0)))
        point.lost[p] = losses
    return point


@dataclass(frozen=True)
class Plan:
    """Circuits by group, their number, and the fixed point with them."""

    circuits: dict[Pair, int]
    cost: float
    point: Point


def size(
    net: Network, targets: Sequence[float], module: int = 1, costs: Mapping[Pair, float] | None = None,
    rounds: int = 10_000,
) -> Plan:  # fmt: skip
    """Sizes for all groups at once, at which no pair's class loses more than its target.

    Up, then down.  Up: the group whose pair is furthest over its target grows by a module, until none is
    over; a pair without a group of its own grows the tandem legs that lose most.  Down: modules are taken
    away again, dearest first, where all targets still hold, until none can go.  A local optimum; see the
    tests for how it stands against exhaustive search.  Raises ValueError where a pair has no way at all.
    """
    circuits = dict(net.circuits)
    prices = costs or {}

    def at(sizes: dict[Pair, int]) -> Point:
        return fixed_point(Network(net.nodes, net.widths, net.loads, sizes, net.reserve, net.alternates))

    def over(point: Point) -> dict[Pair, float]:
        found = {
            p: max(
                lost - t
                for lost, t, load in zip(point.lost[p], targets, net.loads[p], strict=True)
                if load > 0
            )
            for p in net.loads
            if any(net.loads[p])
        }
        return {p: excess for p, excess in found.items() if excess > 0}

    for p, n in circuits.items():  # a start: each group for itself at ten times the target
        loads = net.loads.get(p)
        if n > 0 and loads is not None and any(loads):
            loose = [min(10 * t, 0.3) for t in targets]
            circuits[p] = max(circuits_for(loads, net.widths, loose, 1.0, module), module)
        elif n > 0:
            circuits[p] = module
    point = at(circuits)
    for _ in range(rounds):
        wanting = over(point)
        if not wanting:
            break
        # Danger: one module a round is a fixed point a round, minutes at sixty exchanges.  All that are over
        # grow together; what that is too much goes again below.
        for p in wanting:
            grow = [p] if circuits.get(p, 0) else _legs(net, p, point)
            if not grow:
                raise ValueError(f"pair {p}: no group and no tandem with groups to both")
            for group in grow:
                circuits[group] += module
        point = at(circuits)
    else:
        raise ValueError(f"no sizes found in {rounds} rounds")
    for p in sorted(circuits, key=lambda g: (-prices.get(g, 1.0), g)):
        while circuits[p] > module:
            fewer = circuits | {p: circuits[p] - module}
            tried = at(fewer)
            if over(tried):
                break
            circuits, point = fewer, tried
    return Plan(circuits, sum(n * prices.get(p, 1.0) for p, n in circuits.items()), point)


def _legs(net: Network, p: Pair, point: Point) -> list[Pair]:
    """The legs of the tandem way that loses least: growing it helps most for its price."""
    ways = net.tandems(p)
    if not ways:
        return []
    best = min(ways, key=lambda k: sum(point.overflow[pair(p[0], k)]) + sum(point.overflow[pair(k, p[1])]))
    return [pair(p[0], best), pair(best, p[1])]
