"""Erlang fixed point of a network with alternate routing and trunk reservation, and sizing of its groups.

Each group is offered the calls of its own pair and overflow calls of other pairs, which must leave `reserve`
circuits free.  An overflow call takes one tandem, chosen at random (Kelly 1986; Katz 1967; reservation after
Krupp 1982).  Groups are treated as independent and overflow as Poisson traffic.  This is accurate if a pair
has many alternates with little traffic each; it underestimates the blocking if one alternate carries most of
a pair.  Without reservation the fixed point need not be unique; the one reached from an empty network is
used.
"""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field, replace

import numpy as np
import numpy.typing as npt

from eiderstep.sizing.recommend import circuits_for

Pair = tuple[int, int]
Array = npt.NDArray[np.float64]
MAX_ITERATIONS = 400
DAMPING = 0.6  # share of each computed step that is taken
CONVERGENCE_TOLERANCE = 1e-9  # largest change of a blocking probability in the last step


def pair(one: int, other: int) -> Pair:
    """The key of two exchanges, the lower number first."""
    return (one, other) if one < other else (other, one)


@dataclass(frozen=True)
class Network:
    """A network of exchanges.

    `loads`: erlangs of calls by class for each pair, both directions together.  `circuits`: the size of each
    group, by pair.  `reserve`: circuits that overflow calls must leave free.  `alternates`: whether a blocked
    call may go over a tandem.
    """

    nodes: Sequence[int]
    widths: Sequence[int]
    loads: Mapping[Pair, Sequence[float]]
    circuits: Mapping[Pair, int]
    reserve: int = 2
    alternates: bool = True

    def tandems(self, ends: Pair) -> list[int]:
        """Exchanges with groups to both ends of the pair."""
        one, other = ends
        return [
            node for node in self.nodes
            if node not in ends
            and self.circuits.get(pair(one, node), 0) and self.circuits.get(pair(node, other), 0)
        ]  # fmt: skip


@dataclass
class FixedPoint:
    """The solution: `lost` is the share of calls that find no route, by pair and class.

    `direct` and `overflow` are the blocking of direct and of overflow calls, by group and class.
    """

    lost: dict[Pair, list[float]] = field(default_factory=dict)
    direct: dict[Pair, list[float]] = field(default_factory=dict)
    overflow: dict[Pair, list[float]] = field(default_factory=dict)
    iterations: int = 0
    converged: bool = False

    def worst(self) -> float:
        """The largest loss of any pair and class."""
        return max((loss for losses in self.lost.values() for loss in losses), default=0.0)


class _Matrices:
    """The network as arrays: a row and a column for each exchange, a layer for each class."""

    def __init__(self, network: Network) -> None:
        self.index = {node: row for row, node in enumerate(network.nodes)}
        node_count, class_count = len(self.index), len(network.widths)
        self.groups = [ends for ends, circuits in network.circuits.items() if circuits > 0]
        self.group_ends = np.array(
            [(self.index[a], self.index[b]) for a, b in self.groups], dtype=int
        ).reshape(-1, 2)
        self.loads = np.zeros((class_count, node_count, node_count))
        for (a, b), loads in network.loads.items():
            for cls, load in enumerate(loads):
                self.loads[cls, self.index[a], self.index[b]] = self.loads[
                    cls, self.index[b], self.index[a]
                ] = load
        self.linked = np.zeros((node_count, node_count))
        for a, b in self.groups:
            self.linked[self.index[a], self.index[b]] = self.linked[self.index[b], self.index[a]] = 1.0
        self.tandem_counts = (
            self.linked @ self.linked if network.alternates else np.zeros((node_count, node_count))
        )
        np.fill_diagonal(self.tandem_counts, 0.0)

    def to_matrices(self, values: Array) -> Array:
        """Turn values by class and group into symmetric matrices by class, 0 where there is no group."""
        matrices = np.zeros_like(self.loads)
        one, other = self.group_ends.T
        matrices[:, one, other] = matrices[:, other, one] = values
        return matrices

    def overflow_loads(self, direct: Array, passing: Array) -> Array:
        """Overflow offered to each group, by class, from all pairs for which the group is a leg to a tandem.

        `direct` is the blocking of direct calls, `passing` the probability that a group accepts an
        overflow call.
        """
        blocked = np.where(self.linked[None] > 0, self.to_matrices(direct), 1.0)
        share = self.loads * blocked / np.maximum(self.tandem_counts, 1.0) * (self.tandem_counts > 0)
        # A call of (i, j) over tandem k is load on (i, k) if (k, j) accepts it, and on (k, j) if (i, k) does.
        first_leg_loads = share @ passing
        leg_loads = (first_leg_loads + first_leg_loads.transpose(0, 2, 1)) * self.linked[None]
        one, other = self.group_ends.T
        return np.asarray(leg_loads[:, one, other])

    def losses(self, direct: Array, passing: Array) -> Array:
        """Share of each pair's calls that find no route, by class."""
        blocked = np.where(self.linked[None] > 0, self.to_matrices(direct), 1.0)
        through = (passing @ passing) / np.maximum(self.tandem_counts, 1.0) * (self.tandem_counts > 0)
        return np.asarray(blocked * (1.0 - through))


def fixed_point(network: Network, start: FixedPoint | None = None) -> FixedPoint:
    """Iterate with damping until no blocking changes by `CONVERGENCE_TOLERANCE` or more.

    `start`: a solution for the same groups from which to begin.  `converged` is False in the result if
    `MAX_ITERATIONS` were not enough.
    """
    matrices, class_count = _Matrices(network), len(network.widths)
    sizes = np.array([network.circuits[ends] for ends in matrices.groups], dtype=int)
    direct, overflow = np.zeros((class_count, len(sizes))), np.zeros((class_count, len(sizes)))
    if start is not None and all(ends in start.direct for ends in matrices.groups):
        direct = np.array([start.direct[ends] for ends in matrices.groups]).T.reshape(class_count, -1)
        overflow = np.array([start.overflow[ends] for ends in matrices.groups]).T.reshape(class_count, -1)
    one, other = matrices.group_ends.T
    own_load = matrices.loads[:, one, other]
    point = FixedPoint()
    for point.iterations in range(1, MAX_ITERATIONS + 1):
        passing = (1.0 - matrices.to_matrices(overflow)) * matrices.linked[None]
        overflow_load = matrices.overflow_loads(direct, passing)
        new_direct, new_overflow = _group_losses(
            sizes, network.widths, own_load, overflow_load, network.reserve
        )
        direct_step, overflow_step = DAMPING * (new_direct - direct), DAMPING * (new_overflow - overflow)
        direct, overflow = direct + direct_step, overflow + overflow_step
        change = max(
            float(np.abs(direct_step).max(initial=0.0)), float(np.abs(overflow_step).max(initial=0.0))
        )
        if change < CONVERGENCE_TOLERANCE:
            point.converged = True
            break
    lost = matrices.losses(direct, (1.0 - matrices.to_matrices(overflow)) * matrices.linked[None])
    for column, ends in enumerate(matrices.groups):
        point.direct[ends], point.overflow[ends] = direct[:, column].tolist(), overflow[:, column].tolist()
    for ends in network.loads:
        point.lost[ends] = lost[:, matrices.index[ends[0]], matrices.index[ends[1]]].tolist()
    return point


def _group_losses(
    sizes: npt.NDArray[np.int_], widths: Sequence[int], own_load: Array, overflow_load: Array, reserve: int
) -> tuple[Array, Array]:  # fmt: skip
    """Direct and overflow blocking by class and group: `mixed.blocking` for all groups at once."""
    largest, class_count = int(sizes.max(initial=0)), len(widths)
    reserved = np.minimum(reserve, sizes)
    q = np.zeros((largest + 1, len(sizes)))
    q[0] = 1.0
    for busy in range(1, largest + 1):
        total = np.zeros(len(sizes))
        for cls in range(class_count):
            if busy >= widths[cls]:
                rate = own_load[cls] + np.where(busy <= sizes - reserved, overflow_load[cls], 0.0)
                total += rate * widths[cls] * q[busy - widths[cls]]
        q[busy] = np.where(busy <= sizes, total / busy, 0.0)
        to_rescale = q[busy] > 1e200
        if to_rescale.any():
            q[: busy + 1, to_rescale] /= q[busy, to_rescale]
    q /= q.sum(axis=0)
    tail_sums = np.cumsum(q[::-1], axis=0)[::-1]  # P(busy >= x); 0 beyond the size
    columns = np.arange(len(sizes))
    direct, overflow = np.zeros((class_count, len(sizes))), np.zeros((class_count, len(sizes)))
    for cls, width in enumerate(widths):
        direct[cls] = tail_sums[np.maximum(sizes - width + 1, 0), columns]
        overflow[cls] = tail_sums[np.maximum(sizes - width - reserved + 1, 0), columns]
    return direct, overflow


@dataclass(frozen=True)
class Plan:
    """Circuits by group, their total price, and the fixed point with these sizes."""

    circuits: dict[Pair, int]
    cost: float
    point: FixedPoint


def size_groups(
    network: Network, targets: Sequence[float], module: int = 1, costs: Mapping[Pair, float] | None = None,
    max_rounds: int = 2_000, max_removal_trials: int = 1_000_000,
) -> Plan:  # fmt: skip
    """Size all groups together, so that no class of any pair loses more than its target.

    First the groups grow: each pair that misses a target gets a module more, until no pair misses one; a pair
    without a group of its own enlarges the worst leg of its tandem routes.  Then modules are removed as long
    as all targets are met: from half of the groups at once, then from smaller batches, finally from single
    groups, the most expensive first.  The number of fixed points computed for the removal is limited; if the
    limit is reached, some groups keep more circuits than needed, never fewer.  The result is a local optimum;
    the tests compare it with exhaustive search.  Raises ValueError if a pair has no route at all.
    """
    prices = costs or {}

    def solve(sizes: dict[Pair, int], start: FixedPoint | None) -> FixedPoint:
        return fixed_point(replace(network, circuits=sizes), start)

    def pairs_over_target(point: FixedPoint) -> list[Pair]:
        return [
            ends for ends, loads in network.loads.items()
            if any(
                load > 0 and lost > target
                for load, lost, target in zip(loads, point.lost[ends], targets, strict=True)
            )
        ]  # fmt: skip

    circuits = _initial_sizes(network, targets, module)
    point = solve(circuits, None)
    for _ in range(max_rounds):
        missing_target = pairs_over_target(point)
        if not missing_target:
            break
        # All pairs that miss a target grow in the same round: with one module per round, each needing a fixed
        # point, sixty exchanges took minutes.  Surplus modules are removed again below.
        for ends in missing_target:
            to_grow = [ends] if circuits.get(ends, 0) else _worst_leg(network, ends, point)
            if not to_grow:
                raise ValueError(
                    f"pair {ends}: found no group and no tandem with groups to both; allowed: one of them"
                )
            for group in to_grow:
                circuits[group] += module
        point = solve(circuits, point)
    else:
        raise ValueError(f"no sizes found in {max_rounds} rounds")
    removal_order = sorted(
        (ends for ends, count in circuits.items() if count > 0),
        key=lambda group: (-prices.get(group, 1.0), group),
    )
    batch_size = max(len(removal_order) // 2, 1)
    while batch_size and max_removal_trials > 0:
        removed = False
        for batch_start in range(0, len(removal_order), batch_size):
            candidates = [
                ends
                for ends in removal_order[batch_start : batch_start + batch_size]
                if circuits[ends] > module
            ]
            while candidates and max_removal_trials > 0:
                max_removal_trials -= 1
                smaller = circuits | {ends: circuits[ends] - module for ends in candidates}
                trial = solve(smaller, point)
                if pairs_over_target(trial):
                    break
                circuits, point, removed = smaller, trial, True
                candidates = [ends for ends in candidates if circuits[ends] > module]
        if batch_size == 1 and not removed:
            break
        batch_size = max(batch_size // 2, 1)
    return Plan(circuits, sum(count * prices.get(ends, 1.0) for ends, count in circuits.items()), point)


def _initial_sizes(network: Network, targets: Sequence[float], module: int) -> dict[Pair, int]:
    """Size each group on its own for ten times the target, 0.3 at most: alternates carry the overflow."""
    sizes = dict(network.circuits)
    loose_targets = [min(10 * target, 0.3) for target in targets]
    for ends, circuits in network.circuits.items():
        loads = network.loads.get(ends)
        if circuits > 0:
            least = (
                circuits_for(loads, network.widths, loose_targets, 1.0, module) if loads is not None else 0
            )
            sizes[ends] = max(least, module)
    return sizes


def _worst_leg(network: Network, ends: Pair, point: FixedPoint) -> list[Pair]:
    """The leg with the highest overflow blocking of all tandem routes of a pair, or none.

    A call takes one of the routes at random.  Enlarging the best route instead would never end, since the
    other routes would go on losing their share of the calls.
    """
    legs = [leg for tandem in network.tandems(ends) for leg in (pair(ends[0], tandem), pair(tandem, ends[1]))]
    return [max(legs, key=lambda leg: (sum(point.overflow[leg]), leg))] if legs else []
