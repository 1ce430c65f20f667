"""Day scripts: fleet, traffic and troubles, in the same Starlark dialect as the settings.  Times in ns."""

from __future__ import annotations

from pathlib import Path
from random import Random
from typing import Annotated

from msgspec import Meta
from msgspec.structs import replace

from eiderstep.config.load import ConfigError, find_line, load_day, read_script
from eiderstep.config.schema import (
    CallClass,
    Count,
    Duration,
    DurationOrZero,
    Name,
    Number,
    Rules,
    Share,
    StrictStruct,
)
from eiderstep.standin.eureka_server import REGISTRY_FAULTS
from eiderstep.standin.processor import WARM_UP_SHAPES

MS, SECOND = 1_000_000, 1_000_000_000
PositiveNumber = Annotated[float, Meta(gt=0, le=100_000, description="above 0, at most 100000")]
ListSource = Annotated[
    str, Meta(pattern="^(register|registry|both)$", description="register, registry, both")
]
UnitShare = Annotated[float, Meta(ge=0, le=1, description="0 to 1")]

TROUBLE_KINDS = {
    "burst": "the call rate is multiplied by `factor`; it rises and falls over `rise`",
    "flood": "as burst, but only for calls to `exchanges`",
    "hot_number": "`share` of the calls to `exchanges` goes to one number with `factor` lines",
    "shift": "random weights of the destinations, redrawn every `gap`, with spread `factor`",
    "hang": "`exchanges` accept set-ups and send no final response",
    "mute": "as hang, and without a 100 response",
    "slow": "processing at `exchanges` takes `factor` times as long",
    "ageing": "`exchanges` become slower, by `factor` at the end of `lasts`, die, and start cold after `gap`",
    "pause": "the hosts of `exchanges` freeze, then continue",
    "collections": "the hosts of `exchanges` freeze for `factor` milliseconds every `gap`",
    "deploy": "`exchanges` drain, stop, and start cold, `gap` apart",
    "restart": "`exchanges` die at once and start cold after `lasts`",
    "district_cut": "bytes to and from `exchanges` vanish",
    "link_reset": "the connections to `exchanges` break, once",
    "lossy": "`share` of the segments to and from `exchanges` is lost, and sent again",
    "delay": "messages to and from `exchanges` take `factor` milliseconds longer",
    "circuits_lost": "trunk groups to `exchanges` keep `share` of their circuits",
    "mass_cut": "`share` of the standing calls at `exchanges` is cut",
    "answers_lost": "`share` of the final responses of `exchanges` is never sent; probes are answered",
    "answers_torn": "`share` of the final responses of `exchanges` is sent in two parts",
    "report_late": "load reports of `exchanges` are `factor` seconds older than they state",
    "register_lag": "the register reports changes `factor` seconds later",
    "register_silent": "the register sends nothing",
    "registry_lie": "the registry's `peers` (default: all) give wrong answers `lie`, some about `exchanges`",
    "stale": "`exchanges` are gone, but the register lists them as up",
    "stall": "the call servers' own processes stop",
    "server_pause": "the call servers of `exchanges` freeze (all if none are named)",
    "callers_vanish": "`share` of the callers' connections is closed",
    "strangers": "strangers, callers and lying exchanges send the call servers `factor` attacks a second",
    "half_open": "`factor` connections are opened on which nothing is sent",
}
VIRTUAL_ONLY_KINDS = frozenset(
    {"collections", "lossy"}
)  # kinds that need virtual time and cannot use sockets


class Fleet(StrictStruct, frozen=True, kw_only=True):
    """The exchanges.  Exchange 0 belongs to the first call server."""

    count: Annotated[int, Meta(ge=2, le=256, description="2 to 256")] = 6
    districts: Annotated[int, Meta(ge=1, le=64, description="1 to 64")] = 3
    circuits: Count = 30
    unlinked: list[list[Number]] = []
    capacity: PositiveNumber = 60.0
    refuse_past: Duration = 2 * SECOND  # queueing delay above which an exchange refuses set-ups
    names_wait: bool = False  # refusals state a pause
    report: Annotated[str, Meta(pattern="^(rate|loss|none)$", description="rate, loss or none")] = "rate"
    refresh: Duration = 300 * MS  # interval at which an exchange updates its load report
    busy_lines: UnitShare = 0.01  # share of calls to a busy number
    can_fall: bool = True  # a cold exchange collapses if it gets too many set-ups
    warm_up: Annotated[
        str, Meta(pattern=f"^({'|'.join(WARM_UP_SHAPES)})$", description=", ".join(WARM_UP_SHAPES))
    ] = "linear"
    answers_first: bool = False  # answers and releases are processed before queued set-ups
    releases_wait: bool = False  # releases are queued, and free their circuits when they are processed
    drops_cancelled: bool = False  # a set-up that is cancelled while queued costs no processing
    own_work: bool = False  # exchanges of call servers have an emulated processor for all calls
    delay: DurationOrZero = 2 * MS  # one-way delay between districts
    register_lag: DurationOrZero = SECOND
    list_from: ListSource = "register"  # with "both", the registry is the main source
    poll: Duration = SECOND  # poll interval of the registry
    form: Annotated[str, Meta(pattern="^(json|xml)$", description="json or xml")] = "json"
    hold: Duration = 90 * SECOND
    skew: Annotated[float, Meta(ge=-3600, le=3600, description="-3600 to 3600")] = 0.0  # clock lead, s


class Traffic(StrictStruct, frozen=True, kw_only=True):
    """Calls per second: `rate` from the callers of each call server, and the calls from other exchanges."""

    rate: PositiveNumber = 20.0
    shares: list[Share]
    transit: Annotated[float, Meta(ge=0, le=10_000, description="0 to 10000")] = 0.0
    incoming: Annotated[float, Meta(ge=0, le=10_000, description="0 to 10000")] = 0.0


class CallerSettings(StrictStruct, frozen=True, kw_only=True):
    """How callers behave."""

    patience: Duration = 3 * SECOND
    redials: Annotated[int, Meta(ge=0, le=20, description="0 to 20")] = 2
    waits: tuple[Duration, Duration] = (SECOND // 2, 2 * SECOND)  # minimum and maximum wait before a redial
    heeds: UnitShare = 0.7  # share of callers that obey a pause
    leaves: UnitShare = 0.02  # share of tries that the caller cancels before the answer
    connections: Annotated[int, Meta(ge=1, le=256, description="1 to 256")] = 4
    marks: bool = False  # callers mark redials, and calls after a cut, as such


class Trouble(StrictStruct, frozen=True, kw_only=True):
    """One fault, injected at `at` ns of the day; `TROUBLE_KINDS` says how each kind uses the fields."""

    kind: Annotated[str, Meta(pattern=f"^({'|'.join(TROUBLE_KINDS)})$", description=", ".join(TROUBLE_KINDS))]
    at: DurationOrZero
    lasts: DurationOrZero = 0
    exchanges: list[Number] = []
    share: UnitShare = 0.5
    factor: PositiveNumber = 2.0
    gap: Duration = SECOND
    rise: DurationOrZero = 0
    district: Annotated[int, Meta(ge=-1, le=63, description="-1 (any) to 63")] = -1
    part: UnitShare = 0.0  # instead of `exchanges`: this share of the district's exchanges, drawn at random
    lie: Annotated[
        str, Meta(pattern=f"^({'|'.join(REGISTRY_FAULTS)}|)$", description=", ".join(REGISTRY_FAULTS))
    ] = ""
    peers: list[Annotated[int, Meta(ge=0, le=1, description="0 or 1")]] = []


class Day(StrictStruct, frozen=True, kw_only=True):
    """One test day."""

    title: str
    length: Duration
    classes: Annotated[list[CallClass], Meta(min_length=1, description="one class at least")]
    traffic: Traffic
    fleet: Fleet = Fleet()
    callers: CallerSettings = CallerSettings()
    rules: Rules = Rules()
    troubles: list[Trouble] = []
    weights: tuple[UnitShare, UnitShare, UnitShare] = (0.6, 0.2, 0.2)  # whole day, worst window, worst class
    window: Duration = 10 * SECOND
    settle: Duration = 5 * SECOND
    name: Name = "day"


def load(path: Path) -> Day:
    """Load and check a day script.  Raises ConfigError."""
    day, text = load_day(path, Day), read_script(path)
    validate_day(day, str(path), text)
    return day


def validate_day(day: Day, file: str, text: str, allow_exchange_zero: bool = False) -> None:
    """Check what the types do not cover.  Raises ConfigError.

    `allow_exchange_zero`: troubles may name exchange 0, that of the first call server, too.
    """

    def error_at(field: str, problem: str) -> ConfigError:
        return ConfigError(file, find_line(text, f"$.{field}"), field, problem)

    if len(day.traffic.shares) != len(day.classes):
        problem = f"found {len(day.traffic.shares)}; allowed: one for each of {len(day.classes)} classes"
        raise error_at("traffic.shares", problem)
    lowest = 0 if allow_exchange_zero else 1
    for index, trouble in enumerate(day.troubles):
        for number in trouble.exchanges:
            if not lowest <= number < day.fleet.count:
                problem = f"found {number}; allowed: {lowest} to {day.fleet.count - 1}"
                raise error_at(f"troubles[{index}].exchanges", problem)
        if trouble.part and trouble.exchanges:
            raise error_at(f"troubles[{index}].part", "found beside exchanges; allowed: one of the two")
        if trouble.district >= day.fleet.districts:
            problem = f"found {trouble.district}; allowed: -1 to {day.fleet.districts - 1}"
            raise error_at(f"troubles[{index}].district", problem)
        if (trouble.kind == "registry_lie") != bool(trouble.lie):
            problem = (
                f"found {trouble.lie!r} with kind {trouble.kind}; allowed: a lie with registry_lie alone"
            )
            raise error_at(f"troubles[{index}].lie", problem)
        if trouble.lie and day.fleet.list_from == "register":
            raise error_at("fleet.list_from", "found 'register' with a registry_lie; allowed: registry, both")
        if trouble.at > day.length:
            raise error_at(
                f"troubles[{index}].at", f"found {trouble.at} ns; allowed: up to the day's {day.length}"
            )


def draw_trouble_exchanges(day: Day, rng: Random, allow_exchange_zero: bool = False) -> Day:
    """The day with the exchanges of each trouble drawn, where the script gives a share or a district only."""
    troubles: list[Trouble] = []
    for trouble in day.troubles:
        if trouble.part or (trouble.district >= 0 and not trouble.exchanges):
            candidates = [
                number
                for number in range(0 if allow_exchange_zero else 1, day.fleet.count)
                if trouble.district in (-1, number % day.fleet.districts)
            ]
            count = max(round((trouble.part or 1.0) * len(candidates)), 1)
            chosen = sorted(rng.sample(candidates, min(count, len(candidates))))
            troubles.append(replace(trouble, exchanges=chosen, part=0.0))
        else:
            troubles.append(trouble)
    return replace(day, troubles=troubles)


__all__ = [
    "TROUBLE_KINDS",
    "VIRTUAL_ONLY_KINDS",
    "Day",
    "Trouble",
    "validate_day",
    "load",
    "draw_trouble_exchanges",
]
