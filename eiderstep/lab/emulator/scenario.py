"""Scenarios: days whose figures are drawn from ranges, with expectations for their results.

A scenario is a day script that may call `draw(name, low, high)`, `pick(name, [...])` and `lots(name, count,
among)`.  Each draw depends only on the seed and its own name, so that adding or removing one changes no
other.  A hunt sets draws by name and leaves out troubles by their number.
"""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field
from pathlib import Path
from random import Random
from typing import Annotated, Any

from msgspec import Meta
from msgspec.structs import replace

from eiderstep.config.load import ConfigError, evaluate_script, find_line, read_script, to_struct
from eiderstep.config.schema import Name, StrictStruct
from eiderstep.lab import script
from eiderstep.lab.script import MS, SECOND, Day

MEASURES = {
    "service": "objective of the day: weighted mean of whole, worst_window and worst_class, 0 to 1",
    "whole": "worth served divided by worth offered",
    "worst_window": "whole of the worst window",
    "worst_class": "whole of the worst class",
    "of_bound": "service divided by its upper bound",
    "set_up_p99_ms": "99th percentile of the set-up time, in ms",
    "tries_per_call": "mean number of tries of a caller for a call",
    "recovery_s": "seconds after the last trouble until service is lastingly restored",
}
ScenarioGroup = Annotated[
    str,
    Meta(pattern="^(traffic|processors|restarts|links|lists|servers|joined|incidents)$",
         description="traffic, processors, restarts, links, lists, servers, joined, incidents"),
]  # fmt: skip


class Expect(StrictStruct, frozen=True, kw_only=True):
    """Expected bounds of one measure.

    Every scenario is also expected to keep the five rules, answer all callers and free all circuits.
    """

    what: Annotated[str, Meta(pattern=f"^({'|'.join(MEASURES)})$", description=", ".join(MEASURES))]
    least: float | None = None
    most: float | None = None


class Scenario(Day, frozen=True, kw_only=True):
    """A day with its group and its expectations.  `servers`: exchanges with a call server, 0 for all."""

    group: ScenarioGroup
    expect: list[Expect] = []
    servers: Annotated[int, Meta(ge=0, le=256, description="0 (all) to 256")] = 1

    @property
    def includes_exchange_0(self) -> bool:
        """Whether troubles may affect exchange 0 too, which they may not if it has the only call server."""
        return self.servers != 1


def usual_classes() -> list[dict[str, Any]]:
    """The call classes of most scenarios: short calls, calls three circuits wide, calls of double worth."""
    common = {"give_up": 9 * SECOND, "late_share": 0.25}
    return [
        {"name": "single-record", "aim": 1200 * MS, "mean_hold": 6 * SECOND, "worth": 1.0, **common},
        {"name": "multi-leg-call", "aim": 2 * SECOND, "mean_hold": 6 * SECOND, "worth": 3.0, "width": 3,
         **common},
        {"name": "account-summary", "aim": 2 * SECOND, "mean_hold": 5 * SECOND, "worth": 2.0, **common},
    ]  # fmt: skip


def usual_rules() -> dict[str, Any]:
    """The rules of most scenarios."""
    cold = {"multiple": 4.0, "window": 2 * SECOND, "share": 0.31, "time": 14 * SECOND}
    return {"attempts": 6, "longest_pause": 2 * SECOND, "probes": True, "cold": cold}


@dataclass(frozen=True)
class Range:
    """What a draw chooses from: the numbers `low` to `high`, only integers if `integer`, or `choices`.

    The choices of `lots` are ("lots", count, among).
    """

    low: float = 0.0
    high: float = 0.0
    choices: tuple[Any, ...] = ()
    integer: bool = False


@dataclass
class Draws:
    """The draws of one seed, by name.

    `fixed`: values that replace the drawn ones; `drawn`: values that were returned; `ranges`: what they were
    drawn from.
    """

    seed: int
    fixed: Mapping[str, Any] = field(default_factory=dict)
    drawn: dict[str, Any] = field(default_factory=dict)
    ranges: dict[str, Range] = field(default_factory=dict)

    def random_for(self, name: str) -> Random:
        """A generator that depends only on the seed and the name.

        Seeding Random with a string does not depend on PYTHONHASHSEED.
        """
        return Random(f"{self.seed}/{name}")

    def _record(self, name: str, among: Range, value: Any) -> Any:
        if name in self.ranges and self.ranges[name] != among:
            raise ValueError(f"draw {name!r} is made twice with different ranges")
        self.ranges[name] = among
        self.drawn[name] = self.fixed.get(name, value)
        return self.drawn[name]

    def draw(self, name: str, low: float, high: float) -> float:
        """Draw a number from a range: an integer if both ends are integers.

        The logarithm of a fractional number is drawn uniformly where `low` is above 0 and `high` at least 8
        times as large, the number itself otherwise.  Raises ValueError if `low` is above `high`.
        """
        if not low <= high:
            raise ValueError(f"draw {name!r}: found {low} to {high}; allowed: the lower end first")
        rng, integer = self.random_for(name), isinstance(low, int) and isinstance(high, int)
        if integer:
            return self._record(name, Range(low, high, integer=True), rng.randint(int(low), int(high)))  # type: ignore[no-any-return]
        logarithmic = low > 0 and high / low >= 8
        value = low * (high / low) ** rng.random() if logarithmic else rng.uniform(low, high)
        return self._record(name, Range(low, high), round(value, 6))  # type: ignore[no-any-return]

    def pick(self, name: str, values: Sequence[Any]) -> Any:
        """Draw one value of a list.  Raises ValueError if it is empty."""
        if not values:
            raise ValueError(f"pick {name!r}: found an empty list; allowed: one value at least")
        choices = tuple(tuple(v) if isinstance(v, list) else v for v in values)
        return self._record(name, Range(choices=choices), self.random_for(name).choice(list(values)))

    def lots(self, name: str, count: int, among: int) -> list[int]:
        """Draw `count` of the exchanges 1 to `among`, in ascending order."""
        chosen = sorted(self.random_for(name).sample(range(1, among + 1), min(count, among)))
        return self._record(name, Range(choices=("lots", count, among)), chosen)  # type: ignore[no-any-return]

    def script_functions(self) -> dict[str, Callable[..., Any]]:
        """The functions that a scenario script may call, by name."""
        return {
            "draw": self.draw, "pick": self.pick, "lots": self.lots,
            "usual_classes": usual_classes, "usual_rules": usual_rules,
        }  # fmt: skip


def load(
    path: Path, seed: int, fixed: Mapping[str, Any] | None = None, without: Sequence[int] = ()
) -> tuple[Scenario, Draws]:
    """Load a scenario with the draws of a seed.  Raises ConfigError.

    `fixed`: values by name that replace the drawn ones; `without`: troubles to leave out, by their number in
    the script, from 0.
    """
    text, file = read_script(path), str(path)
    draws = Draws(seed, fixed or {})
    fields = evaluate_script(text, file, Scenario.__struct_fields__, draws.script_functions())
    unknown = sorted(set(draws.fixed) - set(draws.drawn))
    if unknown:
        allowed = ", ".join(sorted(draws.drawn)) or "none"
        raise ConfigError(file, 1, unknown[0], f"no such draw; allowed: {allowed}")
    scenario = to_struct(fields, Scenario, text, file)
    script.validate_day(scenario, file, text, scenario.includes_exchange_0)
    for i, expect in enumerate(scenario.expect):
        if expect.least is None and expect.most is None:
            field_name = f"expect[{i}]"
            message = "found no bound; allowed: least, most, or both"
            raise ConfigError(file, find_line(text, f"$.{field_name}"), field_name, message)
    if scenario.servers > scenario.fleet.count:
        message = f"found {scenario.servers}; allowed: up to fleet.count, {scenario.fleet.count}"
        raise ConfigError(file, find_line(text, "$.servers"), "servers", message)
    for number in without:
        if not 0 <= number < len(scenario.troubles):
            message = f"found {number}; allowed: 0 to {len(scenario.troubles) - 1}"
            raise ConfigError(file, find_line(text, "$.troubles"), "without", message)
    # The exchanges of troubles are drawn before any trouble is left out, so that the remaining troubles
    # affect the same exchanges with and without the others.
    settled = script.draw_trouble_exchanges(
        scenario, draws.random_for("the lots of troubles"), scenario.includes_exchange_0
    )
    kept = [t for i, t in enumerate(settled.troubles) if i not in without]
    return replace(settled, troubles=kept), draws  # type: ignore[return-value]


def list_scenarios(folder: Path) -> list[Path]:
    """The paths GROUP/NAME.star of a folder, sorted."""
    return sorted(folder.glob("*/*.star"))


__all__ = ["MEASURES", "Draws", "Expect", "Name", "Range", "Scenario", "list_scenarios", "load"]
