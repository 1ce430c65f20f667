"""Day scripts: fleet, traffic and troubles, in the same Starlark as the settings.  Lengths of time in ns."""

from __future__ import annotations

from pathlib import Path
from typing import Annotated

from msgspec import Meta

from eiderstep.config.load import ConfigError, load_day, locate, read
from eiderstep.config.schema import (
    CallClass,
    Count,
    Length,
    MaybeLength,
    Name,
    Number,
    Rules,
    Share,
    Strict,
)
from eiderstep.standin.eureka_wire import LIES

MS, SECOND = 1_000_000, 1_000_000_000
Positive = Annotated[float, Meta(gt=0, le=100_000, description="above 0, at most 100000")]
Source = Annotated[str, Meta(pattern="^(register|registry|both)$", description="register, registry, both")]
Part = Annotated[float, Meta(ge=0, le=1, description="0 to 1")]

KINDS = {
    "burst": "calls come `factor` times as often",
    "flood": "as burst, for calls to `exchanges` alone",
    "hang": "`exchanges` take set-ups and answer none",
    "mute": "as hang, and not even a 100 comes",
    "slow": "`exchanges` need `factor` times as long",
    "deploy": "`exchanges` drain, stop, and start cold, `gap` apart",
    "restart": "`exchanges` die at once and start cold after `lasts`",
    "district_cut": "bytes to and from `exchanges` vanish",
    "link_reset": "the connections to `exchanges` break, once",
    "circuits_lost": "groups toward `exchanges` keep `share` of their circuits",
    "mass_cut": "`share` of the calls that stand at `exchanges` is cut",
    "answers_lost": "`share` of the final answers of `exchanges` is never sent",
    "register_lag": "the register runs `factor` seconds late",
    "register_silent": "the register says nothing",
    "registry_lie": "the registry's `peers` (all if none are named) tell the `lie`, some of `exchanges`",
    "stale": "the register names `exchanges` as up that are gone",
    "stall": "the call server's own processor stops",
    "callers_vanish": "`share` of the callers' connections break",
    "half_open": "`factor` connections are opened that say nothing",
    "delay": "the way to `exchanges` takes `factor` milliseconds more",
}


class Fleet(Strict, frozen=True, kw_only=True):
    """The exchanges.  Exchange 0 is the first call server's own."""

    count: Annotated[int, Meta(ge=2, le=256, description="2 to 256")] = 6
    districts: Annotated[int, Meta(ge=1, le=64, description="1 to 64")] = 3
    circuits: Count = 30
    unlinked: list[list[Number]] = []
    capacity: Positive = 60.0
    refuse_past: Length = 2 * SECOND
    names_wait: bool = False
    report: Annotated[str, Meta(pattern="^(rate|loss|none)$", description="rate, loss or none")] = "rate"
    refresh: Length = 300 * MS
    busy_lines: Part = 0.01
    can_fall: bool = True
    delay: MaybeLength = 2 * MS  # one way between districts
    register_lag: MaybeLength = SECOND
    list_from: Source = "register"  # both: the registry is the main one
    poll: Length = SECOND  # of the registry
    form: Annotated[str, Meta(pattern="^(json|xml)$", description="json or xml")] = "json"
    hold: Length = 90 * SECOND
    skew: Annotated[float, Meta(ge=-3600, le=3600, description="-3600 to 3600")] = 0.0  # clocks ahead, s


class Traffic(Strict, frozen=True, kw_only=True):
    """Calls that come to each call server from its callers, and what other exchanges send it."""

    rate: Positive = 20.0
    shares: list[Share]
    transit: Annotated[float, Meta(ge=0, le=10_000, description="0 to 10000")] = 0.0
    incoming: Annotated[float, Meta(ge=0, le=10_000, description="0 to 10000")] = 0.0


class CallersPart(Strict, frozen=True, kw_only=True):
    """How callers behave."""

    patience: Length = 3 * SECOND
    redials: Annotated[int, Meta(ge=0, le=20, description="0 to 20")] = 2
    waits: tuple[Length, Length] = (SECOND // 2, 2 * SECOND)  # least and most
    heeds: Part = 0.7
    leaves: Part = 0.02
    connections: Annotated[int, Meta(ge=1, le=256, description="1 to 256")] = 4
    marks: bool = False


class Trouble(Strict, frozen=True, kw_only=True):
    """One trouble."""

    kind: Annotated[str, Meta(pattern=f"^({'|'.join(KINDS)})$", description=", ".join(KINDS))]
    at: MaybeLength
    lasts: MaybeLength = 0
    exchanges: list[Number] = []
    share: Part = 0.5
    factor: Positive = 2.0
    gap: MaybeLength = SECOND
    lie: Annotated[str, Meta(pattern=f"^({'|'.join(LIES)}|)$", description=", ".join(LIES))] = ""
    peers: list[Annotated[int, Meta(ge=0, le=1, description="0 or 1")]] = []


class Day(Strict, frozen=True, kw_only=True):
    """One day."""

    title: str
    length: Length
    classes: Annotated[list[CallClass], Meta(min_length=1, description="one class at least")]
    traffic: Traffic
    fleet: Fleet = Fleet()
    callers: CallersPart = CallersPart()
    rules: Rules = Rules()
    troubles: list[Trouble] = []
    weights: tuple[Part, Part, Part] = (0.6, 0.2, 0.2)  # the whole, the worst window, the worst class
    window: Length = 10 * SECOND
    settle: Length = 5 * SECOND
    name: Name = "day"


def load(path: Path) -> Day:
    """A day script.  Raises ConfigError."""
    day = load_day(path, Day)
    text = read(path)

    def wrong(field: str, said: str) -> ConfigError:
        return ConfigError(str(path), locate(text, f"$.{field}"), field, said)

    if len(day.traffic.shares) != len(day.classes):
        found = f"found {len(day.traffic.shares)}; allowed: one for each of {len(day.classes)} classes"
        raise wrong("traffic.shares", found)
    for i, trouble in enumerate(day.troubles):
        for number in trouble.exchanges:
            if not 0 < number < day.fleet.count:
                raise wrong(
                    f"troubles[{i}].exchanges", f"found {number}; allowed: 1 to {day.fleet.count - 1}"
                )
        if (trouble.kind == "registry_lie") != bool(trouble.lie):
            said = f"found {trouble.lie!r} with kind {trouble.kind}; allowed: a lie with registry_lie alone"
            raise wrong(f"troubles[{i}].lie", said)
        if trouble.lie and day.fleet.list_from == "register":
            raise wrong("fleet.list_from", "found 'register' with a registry_lie; allowed: registry, both")
        if trouble.at > day.length:
            raise wrong(f"troubles[{i}].at", f"found {trouble.at} ns; allowed: up to the day's {day.length}")
    return day


__all__ = ["KINDS", "Day", "Trouble", "load"]
