"""What a script's troubles do to the world.

Each adds its conditions and takes its own away again, so that any of them can fall together (conditions.py).
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from functools import partial
from math import log2
from random import Random
from typing import TYPE_CHECKING

from eiderstep.lab.process import StrangerProcess
from eiderstep.lab.registry import EurekaSite
from eiderstep.lab.script import SECOND, Trouble
from eiderstep.lab.world import host_of
from eiderstep.standin.register import Register as RegisterStandin
from eiderstep.standin.stranger import CALLER, EXCHANGE, NOBODY, Stranger

if TYPE_CHECKING:
    from eiderstep.lab.day import Player

SOURCES = 64  # addresses of strangers at each call server
Deed = Callable[["Player", Trouble], None]


def condition(what: str, value: Callable[[Trouble], float]) -> Deed:
    """A trouble that is one condition of each of its exchanges while it lasts."""

    def begin(player: Player, trouble: Trouble) -> None:
        for number in trouble.exchanges:
            player.world.trouble(number, what, value(trouble), trouble.lasts / SECOND)

    return begin


def both(*deeds: Deed) -> Deed:
    """Several at once."""

    def begin(player: Player, trouble: Trouble) -> None:
        for deed in deeds:
            deed(player, trouble)

    return begin


def _burst(player: Player, trouble: Trouble) -> None:
    began = player.loop.time()
    player.bursts.append((began, began + trouble.lasts / SECOND, trouble.rise / SECOND, trouble.factor))


def _hot_number(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.world.trouble(number, "lines", trouble.factor, trouble.lasts / SECOND)
        player.world.trouble(number, "hot", trouble.share, trouble.lasts / SECOND)


def _shift(player: Player, trouble: Trouble) -> None:
    mine: dict[int, float] = {}

    async def run() -> None:
        ends = player.loop.time() + trouble.lasts / SECOND
        player.shifts.append(mine)
        while player.loop.time() < ends and not player.over:
            # Lognormal, with that standard deviation of the logarithm.
            mine.update((n, player.rng.lognormvariate(0.0, trouble.factor)) for n in player.world.exchanges)
            await asyncio.sleep(trouble.gap / SECOND)
        player.shifts = [shift for shift in player.shifts if shift is not mine]

    player.loop.create_task(run())


def _hang(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.world.trouble(number, "hung", 1.0, trouble.lasts / SECOND)
        control = player.world.control.get(number)
        if control is not None and control.processor is not None:
            control.hang(trouble.lasts / SECOND)


def _ageing(player: Player, trouble: Trouble) -> None:
    """Slower and slower, then dead; a new process is young."""
    world = player.world
    doublings = log2(max(trouble.factor, 1.01))

    async def run(number: int) -> None:
        one = world.begin(number, "doubles", trouble.lasts / SECOND / doublings)
        await asyncio.sleep(trouble.lasts / SECOND)
        world.end(one)
        await _gone_for(player, number, trouble.gap / SECOND)

    for number in trouble.exchanges:
        player.loop.create_task(run(number))


async def _gone_for(player: Player, number: int, seconds: float, told: bool = True) -> None:
    """Dead at once; back, cold, after a while."""
    world = player.world
    down = world.fall(number)
    if told:
        world.tell(number, "gone")
    await asyncio.sleep(seconds)
    if await world.rise(down):
        world.tell(number, "up", world.exchanges[number].started)


def _deploy(player: Player, trouble: Trouble) -> None:
    async def run() -> None:
        for number in trouble.exchanges:
            if not player.world.conditions.any(number, "down"):
                player.world.tell(number, "draining")
            await asyncio.sleep(trouble.lasts / SECOND)
            await _gone_for(player, number, trouble.gap / SECOND)

    player.loop.create_task(run())


def _restart(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.loop.create_task(_gone_for(player, number, trouble.lasts / SECOND))


def _stale(player: Player, trouble: Trouble) -> None:
    """Exchanges die and come back, and the register says no word of their death."""
    for number in trouble.exchanges:
        player.loop.create_task(_gone_for(player, number, trouble.lasts / SECOND, told=False))


def _pause(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.world.freeze(number, trouble.lasts / SECOND)


def _collections(player: Player, trouble: Trouble) -> None:
    async def run(number: int) -> None:
        ends = player.loop.time() + trouble.lasts / SECOND
        while player.loop.time() < ends:
            player.world.freeze(number, trouble.factor / 1000)
            await asyncio.sleep(player.rng.uniform(0.5, 1.5) * trouble.gap / SECOND)

    for number in trouble.exchanges:
        player.loop.create_task(run(number))


def _link_reset(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        for proxy in player.world.toward(number):
            proxy.reset()


def _mass_cut(player: Player, trouble: Trouble) -> None:
    world = player.world
    for number in trouble.exchanges or [n for n in world.exchanges if n not in world.servers]:
        world.exchanges[number].cut(trouble.share)


def _register_lag(player: Player, trouble: Trouble) -> None:
    """Lists that are late by different troubles are late by the sum."""
    for one in [one for site in player.world.sites.values() for one in site.lists]:
        more = trouble.factor - one.lag
        one.lag += more
        player.after(trouble, partial(_less_lag, one, more))


def _less_lag(one: RegisterStandin | EurekaSite, more: float) -> None:
    one.lag -= more


def _register_silent(player: Player, trouble: Trouble) -> None:
    """All lists, or with `peers` named the registry's alone."""
    for one in [one for site in player.world.sites.values() for one in site.lists]:
        if isinstance(one, EurekaSite) or not trouble.peers:
            one.fall_silent(trouble.lasts / SECOND)


def _registry_lie(player: Player, trouble: Trouble) -> None:
    for one in [one for site in player.world.sites.values() for one in site.lists]:
        if isinstance(one, EurekaSite):
            one.lie(trouble.lie, trouble.exchanges, trouble.peers)
            player.after(trouble, partial(one.lie, "", [], trouble.peers))


def _stall(player: Player, trouble: Trouble) -> None:
    """The call servers named (all if none are) do not run for a while.

    Over sockets and in one process with everything else, the whole world sleeps.
    """
    world, lasts = player.world, trouble.lasts / SECOND
    chosen = [n for n in world.sites if not trouble.exchanges or n in trouble.exchanges]
    apart = [world.stall(number, lasts) for number in chosen]
    if not all(apart):
        time.sleep(lasts)


def _callers_vanish(player: Player, trouble: Trouble) -> None:
    for site in player.world.sites.values():
        callers = site.callers
        for _ in range(round(trouble.share * len(callers.flows_up))):
            callers.vanish(0)
        player.loop.create_task(callers.connect())


def _half_open(player: Player, trouble: Trouble) -> None:
    async def run() -> None:
        for site in player.world.sites.values():
            host, _, port = site.server.address.rpartition(":")
            for _ in range(int(trouble.factor)):
                wire, _protocol = await player.loop.create_connection(asyncio.Protocol, host, int(port))
                wire.write(b"INVITE sip:")
                player.idle.append(wire)

    player.loop.create_task(run())


def _strangers(player: Player, trouble: Trouble) -> None:
    """At each call server: addresses that nobody knows, callers', and those of the stand-in exchanges."""
    world = player.world
    for number, site in world.sites.items():
        hosts = {
            NOBODY: [f"127.3.{number}.{n + 1}" for n in range(SOURCES)],
            CALLER: [f"127.2.200.{n + 1}" for n in range(SOURCES // 2)],
            EXCHANGE: [host_of(n) for n in world.exchanges if n != number],
        }
        kind = Stranger if world.folder is None else StrangerProcess
        one = kind(
            player.loop, site.server.address, hosts, partial(world.victims, number),
            Random(player.rng.getrandbits(64)), trouble.factor,
        )  # fmt: skip
        world.strangers.append(one)
        player.loop.create_task(one.run(trouble.lasts / SECOND))


TROUBLES: dict[str, Deed] = {
    "burst": _burst,
    "flood": condition("flood", lambda t: t.factor),
    "hot_number": _hot_number,
    "shift": _shift,
    "hang": _hang,
    "mute": both(_hang, condition("mute", lambda t: 1.0)),
    "slow": condition("slow", lambda t: t.factor),
    "ageing": _ageing,
    "pause": _pause,
    "collections": _collections,
    "deploy": _deploy,
    "restart": _restart,
    "district_cut": condition("cut", lambda t: 1.0),
    "link_reset": _link_reset,
    "lossy": condition("loss", lambda t: t.share),
    "delay": condition("delay", lambda t: t.factor / 1000),
    "circuits_lost": condition("circuits", lambda t: t.share),
    "mass_cut": _mass_cut,
    "answers_lost": condition("lose_answers", lambda t: t.share),
    "answers_torn": condition("tear", lambda t: t.share),
    "report_late": condition("report_late", lambda t: t.factor),
    "register_lag": _register_lag,
    "register_silent": _register_silent,
    "registry_lie": _registry_lie,
    "stale": _stale,
    "stall": _stall,
    "server_pause": _stall,
    "callers_vanish": _callers_vanish,
    "strangers": _strangers,
    "half_open": _half_open,
}
