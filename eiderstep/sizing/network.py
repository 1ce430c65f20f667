"""Erlang's fixed point over a network with alternates and trunk reservation, and sizes for the whole of it.

Each group is offered its pair's calls and, with `reserve` circuits left free, overflow of other pairs that
come over one tandem, any at random (Kelly 1986; Katz 1967; reservation after Krupp 1982).  Groups are taken
as independent and overflow as Poisson: good where there are many alternates with little each, too low where
one alternate carries most of a pair.  Without reservation the point need not be unique; the one reached
from an empty network is given.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

import numpy as np
import numpy.typing as npt

from eiderstep.sizing.recommend import circuits_for

Pair = tuple[int, int]
Array = npt.NDArray[np.float64]
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
    rounds: int = 0
    settled: bool = False

    def worst(self) -> float:
        return max((x for losses in self.lost.values() for x in losses), default=0.0)


class _Matrices:
    """The network as arrays, a row and a column an exchange, one layer a class."""

    def __init__(self, net: Network) -> None:
        self.row = {node: i for i, node in enumerate(net.nodes)}
        size, count = len(self.row), len(net.widths)
        self.groups = [p for p, n in net.circuits.items() if n > 0]
        self.ends = np.array([(self.row[a], self.row[b]) for a, b in self.groups], dtype=int).reshape(-1, 2)
        self.loads = np.zeros((count, size, size))
        for (a, b), loads in net.loads.items():
            for c, load in enumerate(loads):
                self.loads[c, self.row[a], self.row[b]] = self.loads[c, self.row[b], self.row[a]] = load
        self.linked = np.zeros((size, size))
        for a, b in self.groups:
            self.linked[self.row[a], self.row[b]] = self.linked[self.row[b], self.row[a]] = 1.0
        self.ways = self.linked @ self.linked if net.alternates else np.zeros((size, size))
        np.fill_diagonal(self.ways, 0.0)

    def spread(self, values: Array) -> Array:
        """Values by class and group as a symmetric matrix by class; 0 where there is no group."""
        found = np.zeros_like(self.loads)
        one, other = self.ends.T
        found[:, one, other] = found[:, other, one] = values
        return found

    def overflow_loads(self, direct: Array, free: Array) -> Array:
        """Overflow offered to each group, by class: of each pair, over the tandems that it is a leg to."""
        blocked = np.where(self.linked[None] > 0, self.spread(direct), 1.0)
        share = self.loads * blocked / np.maximum(self.ways, 1.0) * (self.ways > 0)
        # A call of (i, j) over k loads (i, k) as far as (k, j) lets it through, and the other way round.
        onto = share @ free
        both = (onto + onto.transpose(0, 2, 1)) * self.linked[None]
        one, other = self.ends.T
        return np.asarray(both[:, one, other])

    def lost(self, direct: Array, free: Array) -> Array:
        blocked = np.where(self.linked[None] > 0, self.spread(direct), 1.0)
        through = (free @ free) / np.maximum(self.ways, 1.0) * (self.ways > 0)
        return np.asarray(blocked * (1.0 - through))


def fixed_point(net: Network, start: Point | None = None) -> Point:
    """Iterate, damped, until no loss moves by more than `SETTLED`.  `start`: another point of the same
    groups."""
    made, count = _Matrices(net), len(net.widths)
    sizes = np.array([net.circuits[p] for p in made.groups], dtype=int)
    direct, over = np.zeros((count, len(sizes))), np.zeros((count, len(sizes)))
    if start is not None and all(p in start.direct for p in made.groups):
        direct = np.array([start.direct[p] for p in made.groups]).T.reshape(count, -1)
        over = np.array([start.overflow[p] for p in made.groups]).T.reshape(count, -1)
    one, other = made.ends.T
    own = made.loads[:, one, other]
    point = Point()
    for point.rounds in range(1, ROUNDS + 1):
        free = (1.0 - made.spread(over)) * made.linked[None]
        extra = made.overflow_loads(direct, free)
        new_direct, new_over = _losses(sizes, net.widths, own, extra, net.reserve)
        step_direct, step_over = DAMPING * (new_direct - direct), DAMPING * (new_over - over)
        direct, over = direct + step_direct, over + step_over
        moved = max(float(np.abs(step_direct).max(initial=0.0)), float(np.abs(step_over).max(initial=0.0)))
        if moved < SETTLED:
            point.settled = True
            break
    lost = made.lost(direct, (1.0 - made.spread(over)) * made.linked[None])
    for i, p in enumerate(made.groups):
        point.direct[p], point.overflow[p] = direct[:, i].tolist(), over[:, i].tolist()
    for p in net.loads:
        point.lost[p] = lost[:, made.row[p[0]], made.row[p[1]]].tolist()
    return point


def _losses(
    sizes: npt.NDArray[np.int_], widths: Sequence[int], own: Array, extra: Array, reserve: int
) -> tuple[Array, Array]:  # fmt: skip
    """`mixed.blocking` for all groups at once: each class's direct and overflow blocking, by class and
    group."""
    most, count = int(sizes.max(initial=0)), len(widths)
    held = np.minimum(reserve, sizes)
    q = np.zeros((most + 1, len(sizes)))
    q[0] = 1.0
    for x in range(1, most + 1):
        total = np.zeros(len(sizes))
        for c in range(count):
            if x >= widths[c]:
                rate = own[c] + np.where(x <= sizes - held, extra[c], 0.0)
                total += rate * widths[c] * q[x - widths[c]]
        q[x] = np.where(x <= sizes, total / x, 0.0)
        big = q[x] > 1e200
        if big.any():
            q[: x + 1, big] /= q[x, big]
    q /= q.sum(axis=0)
    tail = np.cumsum(q[::-1], axis=0)[::-1]  # what is at x or above; beyond a group's size there is nothing
    every = np.arange(len(sizes))
    direct, over = np.zeros((count, len(sizes))), np.zeros((count, len(sizes)))
    for c, width in enumerate(widths):
        direct[c] = tail[np.maximum(sizes - width + 1, 0), every]
        over[c] = tail[np.maximum(sizes - width - held + 1, 0), every]
    return direct, over


@dataclass(frozen=True)
class Plan:
    """Circuits by group, their price, and the fixed point with them."""

    circuits: dict[Pair, int]
    cost: float
    point: Point


def size(
    net: Network, targets: Sequence[float], module: int = 1, costs: Mapping[Pair, float] | None = None,
    rounds: int = 2_000, looks: int = 1_000_000,
) -> Plan:  # fmt: skip
    """Sizes for all groups at once, at which no pair's class loses more than its target.

    Up, then down.  Up: groups whose pairs are over their target grow by a module, until none is over; a pair
    without a group of its own grows the worst leg of its tandem ways.  Down: modules are taken
    away where all targets still hold, from half of the groups at once, then from fewer, at last one by one,
    dearest first.  `looks` bounds the fixed points of the way down: what is left untried is circuits too
    many, never too few.  A local optimum; see the tests for how it stands against exhaustive search.
    Raises ValueError where a pair has no way at all.
    """
    prices = costs or {}

    def at(sizes: dict[Pair, int], near: Point | None) -> Point:
        return fixed_point(replace(net, circuits=sizes), near)

    def over(point: Point) -> list[Pair]:
        return [
            p for p, loads in net.loads.items()
            if any(a > 0 and lost > t for a, lost, t in zip(loads, point.lost[p], targets, strict=True))
        ]  # fmt: skip

    circuits = _start(net, targets, module)
    point = at(circuits, None)
    for _ in range(rounds):
        wanting = over(point)
        if not wanting:
            break
        # Danger: one module a round is a fixed point a round, minutes at sixty exchanges.  All that are over
        # grow together; what that is too much goes again below.
        for p in wanting:
            grow = [p] if circuits.get(p, 0) else _legs(net, p, point)
            if not grow:
                raise ValueError(
                    f"pair {p}: found no group and no tandem with groups to both; allowed: one of them"
                )
            for group in grow:
                circuits[group] += module
        point = at(circuits, point)
    else:
        raise ValueError(f"no sizes found in {rounds} rounds")
    order = sorted((p for p, n in circuits.items() if n > 0), key=lambda g: (-prices.get(g, 1.0), g))
    batch = max(len(order) // 2, 1)
    while batch and looks > 0:
        fewer_now = False
        for begin in range(0, len(order), batch):
            some = [p for p in order[begin : begin + batch] if circuits[p] > module]
            while some and looks > 0:
                looks -= 1
                fewer = circuits | {p: circuits[p] - module for p in some}
                tried = at(fewer, point)
                if over(tried):
                    break
                circuits, point, fewer_now = fewer, tried, True
                some = [p for p in some if circuits[p] > module]
        if batch == 1 and not fewer_now:
            break
        batch = max(batch // 2, 1)
    return Plan(circuits, sum(n * prices.get(p, 1.0) for p, n in circuits.items()), point)


def _start(net: Network, targets: Sequence[float], module: int) -> dict[Pair, int]:
    """Each group for itself, at ten times the target: the alternates take the rest."""
    found = dict(net.circuits)
    loose = [min(10 * t, 0.3) for t in targets]
    for p, n in net.circuits.items():
        loads = net.loads.get(p)
        if n > 0:
            least = circuits_for(loads, net.widths, loose, 1.0, module) if loads is not None else 0
            found[p] = max(least, module)
    return found


def _legs(net: Network, p: Pair, point: Point) -> list[Pair]:
    """The leg that loses most of all tandem ways: a call takes any of them at random.

    Danger: growing the best way instead never ends, since the others go on losing their share.
    """
    legs = [leg for k in net.tandems(p) for leg in (pair(p[0], k), pair(k, p[1]))]
    return [max(legs, key=lambda leg: (sum(point.overflow[leg]), leg))] if legs else []
