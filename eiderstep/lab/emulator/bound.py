"""Upper bound of a day's service: a linear programme over fluid calls that knows all troubles in advance.

Time is divided into steps of `STEP_SECONDS`.  In each step, calls of one class from one exchange to another
are carried over the direct route or over a tandem, in time or late.  The constraints are: the calls offered;
the circuits of each trunk group for direct calls, with exponential holding times; the sum of the circuits out
of the origin and into the destination for all calls, where the single groups that tandem calls use are left
open, so that the bound can only be too high; the work of each destination's processor, with a queue; and no
calls to an exchange that is down, hung, frozen or cut off.  Calls that other exchanges originate are left
out, which also can only raise the bound.  The objective is that of the day, with its worst window and worst
class.  The programme is solved with HiGHS.  It follows the fluid limits of loss networks: F. Kelly, "Loss
networks", Annals of Applied Probability 1 (1991).

The fluid model has no randomness, so a day with favourable draws can exceed the bound by a small amount.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

import numpy as np
from scipy.optimize import linprog
from scipy.sparse import coo_matrix

from eiderstep.lab.emulator.hosts import ANSWER_WORK, BYE_WORK, INVITE_IN_WORK, INVITE_OUT_WORK
from eiderstep.lab.emulator.samples import Sample

STEP_SECONDS = 2.0
MAX_VARIABLES = 400_000  # larger programmes take too long to solve
# Work units of a call at an exchange that is controlled by a call server.
CALL_WORK = INVITE_IN_WORK + INVITE_OUT_WORK + ANSWER_WORK + BYE_WORK


@dataclass(frozen=True)
class OfferedCall:
    """One call that a caller wants.  `at`: seconds since the beginning of the day."""

    at: float
    origin: int
    cls: int
    dest: int


@dataclass(frozen=True)
class ClassParameters:
    """Parameters of a call class.  `hold`: mean holding time in seconds."""

    worth: float
    width: int
    hold: float
    late_share: float


@dataclass(frozen=True)
class DayParameters:
    """Parameters of a day, times in seconds.

    `weights`: of the whole day, the worst window and the worst class; `window`: length of a window.
    `own_work`: exchanges that are controlled by call servers; all their calls pass their processors.
    """

    length: float
    classes: Sequence[ClassParameters]
    circuits: dict[tuple[int, int], int]  # by pair of exchanges, the lower number first
    refuse_past: float
    weights: tuple[float, float, float]
    window: float
    own_work: frozenset[int] = frozenset()


class _Constraints:
    """Rows of a sparse constraint matrix with their right-hand sides."""

    def __init__(self) -> None:
        self.rows: list[int] = []
        self.columns: list[int] = []
        self.values: list[float] = []
        self.right_hand_sides: list[float] = []

    def add(self, terms: Sequence[tuple[int, float]], right_hand_side: float) -> None:
        row = len(self.right_hand_sides)
        for column, value in terms:
            self.rows.append(row)
            self.columns.append(column)
            self.values.append(value)
        self.right_hand_sides.append(right_hand_side)

    def matrix(self, column_count: int) -> coo_matrix:
        return coo_matrix(
            (self.values, (self.rows, self.columns)), shape=(len(self.right_hand_sides), column_count)
        )


class _LinearProgramme:
    """Variables, constraints and objective of a day's linear programme."""

    def __init__(
        self, day: DayParameters, offered_calls: Sequence[OfferedCall], samples: Sequence[Sample]
    ) -> None:
        self.day, self.samples = day, samples
        # Two more steps, in which calls offered at the end of the day can still be carried.
        self.step_count = max(math.ceil(day.length / STEP_SECONDS), 1) + 2
        self.offered: dict[tuple[int, int, int], list[float]] = {}
        for call in offered_calls:
            key = (call.origin, call.dest, call.cls)
            by_step = self.offered.setdefault(key, [0.0] * self.step_count)
            by_step[min(int(max(call.at, 0.0) / STEP_SECONDS), self.step_count - 1)] += 1
        self.variable_count = 0
        self.inequalities, self.equalities = _Constraints(), _Constraints()
        # Variables of the calls carried: by (origin, destination, class), then [route][timing][step].
        # Routes: direct, tandem.  Timings: in time, in time but one step after the offer, late.
        self.carried: dict[tuple[int, int, int], list[list[list[int]]]] = {}
        self.samples_by_step = [self._samples_in_step(step) for step in range(self.step_count)]

    def new_variables(self, count: int = 1) -> list[int]:
        first, self.variable_count = self.variable_count, self.variable_count + count
        return list(range(first, self.variable_count))

    def _samples_in_step(self, step: int) -> list[Sample]:
        inside = [s for s in self.samples if step * STEP_SECONDS <= s.at < (step + 1) * STEP_SECONDS]
        return inside or list(self.samples[-1:])

    def mean_capacity(self, number: int, step: int) -> float:
        """Mean set-ups per second of an exchange in a step; 0 while it is cut off."""
        samples = self.samples_by_step[step]
        return sum(0.0 if number in s.cut_off else s.capacity[number] for s in samples) / max(len(samples), 1)

    def available_circuits(self, pair: tuple[int, int], step: int) -> float:
        shares = [
            s.circuit_shares.get(pair, s.circuit_shares.get(pair[::-1], 1.0))
            for s in self.samples_by_step[step]
        ]
        return self.day.circuits.get(pair, 0) * max(shares, default=1.0)

    def add_calls(self) -> None:
        """Add the variables of the calls, and the constraints that no more calls are carried than offered."""
        for key, offered in self.offered.items():
            routes = [[self.new_variables(self.step_count) for _ in range(3)] for _ in range(2)]
            self.carried[key] = routes
            for step in range(self.step_count):
                in_time = [(route[0][step], 1.0) for route in routes]
                if step + 1 < self.step_count:
                    in_time += [(route[1][step + 1], 1.0) for route in routes]
                self.inequalities.add(in_time, offered[step])
            for route in routes:
                self.equalities.add([(route[1][0], 1.0)], 0.0)
            carried_so_far: list[tuple[int, float]] = []
            offered_so_far = 0.0
            for step in range(self.step_count):
                carried_so_far = carried_so_far + [
                    (series[step], 1.0) for route in routes for series in route
                ]
                offered_so_far += offered[step]
                # Only every fifth step: a row for each step would make the matrix dense.
                if step % 5 == 4 or step == self.step_count - 1:
                    self.inequalities.add(carried_so_far, offered_so_far)

    def add_circuit_limits(self) -> None:
        """Add the limits of circuits: of each group for direct calls, out of and into exchanges for all."""
        users: dict[tuple[str, object], dict[int, list[list[int]]]] = {}
        for (origin, dest, cls), routes in self.carried.items():
            pair = (min(origin, dest), max(origin, dest))
            for resource, used_routes in (
                (("group", pair), routes[:1]), (("out", origin), routes), (("into", dest), routes),
            ):  # fmt: skip
                users.setdefault(resource, {}).setdefault(cls, []).extend(
                    series for route in used_routes for series in route
                )
        for (kind, element), by_class in users.items():
            held: dict[int, list[int]] = {}  # variables of the circuits in use, by class and step
            for cls, all_series in by_class.items():
                hold, width = self.day.classes[cls].hold, self.day.classes[cls].width
                remaining = math.exp(-STEP_SECONDS / hold)
                # Of the calls set up evenly over a step, the share that still stands at its end.
                mean = (1 - remaining) * hold / STEP_SECONDS
                held[cls] = self.new_variables(self.step_count)
                for step in range(self.step_count):
                    terms = [(held[cls][step], 1.0)] + [
                        (series[step], -width * mean) for series in all_series
                    ]
                    if step:
                        terms.append((held[cls][step - 1], -remaining))
                    self.equalities.add(terms, 0.0)
            for step in range(self.step_count):
                if kind == "group":
                    circuits = self.available_circuits(element, step)  # type: ignore[arg-type]
                else:
                    circuits = sum(
                        self.available_circuits(pair, step) for pair in self.day.circuits if element in pair
                    )
                self.inequalities.add([(held[cls][step], 1.0) for cls in held], circuits)

    def add_processor_limits(self) -> None:
        """Add the limits of processor work, with a queue up to the length at which set-ups are refused."""
        work: dict[int, list[list[tuple[int, float]]]] = {}
        invite_work: dict[int, list[float]] = {}

        def work_of(number: int) -> list[list[tuple[int, float]]]:
            return work.setdefault(number, [[] for _ in range(self.step_count)])

        for (origin, dest, _), routes in self.carried.items():
            own = dest in self.day.own_work
            for step in range(self.step_count):
                work_of(dest)[step] += [
                    (series[step], CALL_WORK if own else 1.0) for route in routes for series in route
                ]
                if origin in self.day.own_work:
                    work_of(origin)[step] += [
                        (series[step], CALL_WORK - INVITE_IN_WORK) for route in routes for series in route
                    ]
        for (origin, _, _), offered in self.offered.items():
            if origin in self.day.own_work:
                by_step = invite_work.setdefault(origin, [0.0] * self.step_count)
                for step in range(self.step_count):
                    by_step[step] += INVITE_IN_WORK * offered[step]
        for number, terms in work.items():
            done, queue = self.new_variables(self.step_count), self.new_variables(self.step_count)
            for step in range(self.step_count):
                capacity = self.mean_capacity(number, step)
                fixed = min(invite_work.get(number, [0.0] * self.step_count)[step], capacity * STEP_SECONDS)
                balance = [(queue[step], 1.0), (done[step], 1.0)] + [
                    (variable, -units) for variable, units in terms[step]
                ]
                if step:
                    balance.append((queue[step - 1], -1.0))
                self.equalities.add(balance, 0.0)
                self.inequalities.add([(done[step], 1.0)], capacity * STEP_SECONDS - fixed)
                self.inequalities.add([(queue[step], 1.0)], capacity * self.day.refuse_past)

    def build_objective(self) -> np.ndarray:
        """The costs to minimize; adds a variable each for the service of the worst window and worst class."""
        day = self.day
        total_worth = sum(day.classes[c].worth * sum(o) for (_, _, c), o in self.offered.items()) or 1.0
        worst = self.new_variables(2)
        earned: list[tuple[int, float]] = []
        # By window and by class: the terms of the worth earned, and the worth offered.
        windows: dict[int, tuple[list[tuple[int, float]], float]] = {}
        classes: dict[int, tuple[list[tuple[int, float]], float]] = {}
        for (_, _, cls), routes in self.carried.items():
            parameters = day.classes[cls]
            for route in routes:
                for timing, share in enumerate((1.0, 1.0, parameters.late_share)):
                    for step in range(self.step_count):
                        term = (route[timing][step], parameters.worth * share)
                        earned.append(term)
                        offered_step = step - 1 if timing == 1 else step
                        terms, offered_worth = windows.get(
                            int(offered_step * STEP_SECONDS / day.window), ([], 0.0)
                        )
                        terms.append(term)
                        windows[int(offered_step * STEP_SECONDS / day.window)] = (terms, offered_worth)
                        terms, offered_worth = classes.get(cls, ([], 0.0))
                        terms.append(term)
                        classes[cls] = (terms, offered_worth)
        for (_, _, cls), offered in self.offered.items():
            for step in range(self.step_count):
                worth = day.classes[cls].worth * offered[step]
                for table, key in ((windows, int(step * STEP_SECONDS / day.window)), (classes, cls)):
                    terms, offered_worth = table[key]
                    table[key] = (terms, offered_worth + worth)
        for variable, table in zip(worst, (windows, classes), strict=True):
            for terms, offered_worth in table.values():
                if offered_worth:
                    self.inequalities.add(
                        [(variable, 1.0)] + [(column, -value / offered_worth) for column, value in terms], 0.0
                    )
            self.inequalities.add([(variable, 1.0)], 1.0)
        cost = np.zeros(self.variable_count)
        for column, value in earned:
            cost[column] -= day.weights[0] * value / total_worth
        cost[worst[0]], cost[worst[1]] = -day.weights[1], -day.weights[2]
        return cost


def upper_bound(
    day: DayParameters, offered_calls: Sequence[OfferedCall], samples: Sequence[Sample]
) -> float | None:
    """The highest service that capacity allows, 0 to 1; None where the programme is too large to be solved.

    Raises RuntimeError if the solver finds no solution.
    """
    if not offered_calls or not samples:
        return 1.0
    flows = len({(call.origin, call.dest, call.cls) for call in offered_calls})
    if flows * 6 * day.length / STEP_SECONDS > MAX_VARIABLES:
        return None
    programme = _LinearProgramme(day, offered_calls, samples)
    programme.add_calls()
    programme.add_circuit_limits()
    programme.add_processor_limits()
    cost = programme.build_objective()
    solution = linprog(
        cost,
        A_ub=programme.inequalities.matrix(programme.variable_count).tocsr(),
        b_ub=programme.inequalities.right_hand_sides,
        A_eq=programme.equalities.matrix(programme.variable_count).tocsr(),
        b_eq=programme.equalities.right_hand_sides,
        method="highs-ipm",
    )  # fmt: skip
    if not solution.success:
        raise RuntimeError(f"linear programme not solved: {solution.message}")
    return float(min(-solution.fun, 1.0))
