"""Actions of the troubles of a script, by kind.

Each trouble adds conditions and removes only its own, so that any troubles can overlap (see conditions.py).
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
from eiderstep.lab.registry import StandinRegistry
from eiderstep.lab.script import SECOND, Trouble
from eiderstep.lab.world import exchange_host
from eiderstep.standin.register import Register as RegisterStandin
from eiderstep.standin.stranger import CALLER, EXCHANGE, UNKNOWN, Attacker

if TYPE_CHECKING:
    from eiderstep.lab.day import Player

SOURCES_PER_SERVER = 64  # addresses from which strangers attack each call server
TroubleAction = Callable[["Player", Trouble], None]


def condition_action(kind: str, value: Callable[[Trouble], float]) -> TroubleAction:
    """The action of a trouble that is one condition of each of its exchanges while it lasts."""

    def begin(player: Player, trouble: Trouble) -> None:
        for number in trouble.exchanges:
            player.world.begin_timed_condition(number, kind, value(trouble), trouble.lasts / SECOND)

    return begin


def combined_action(*actions: TroubleAction) -> TroubleAction:
    """An action that begins all of the given ones."""

    def begin(player: Player, trouble: Trouble) -> None:
        for action in actions:
            action(player, trouble)

    return begin


def _burst(player: Player, trouble: Trouble) -> None:
    began = player.loop.time()
    player.bursts.append((began, began + trouble.lasts / SECOND, trouble.rise / SECOND, trouble.factor))


def _hot_number(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.world.begin_timed_condition(number, "lines", trouble.factor, trouble.lasts / SECOND)
        player.world.begin_timed_condition(number, "hot", trouble.share, trouble.lasts / SECOND)


def _shift(player: Player, trouble: Trouble) -> None:
    factors: dict[int, float] = {}  # of the calls to each exchange

    async def run() -> None:
        ends = player.loop.time() + trouble.lasts / SECOND
        player.shifts.append(factors)
        while player.loop.time() < ends and not player.finished:
            # `trouble.factor` is the standard deviation of the logarithm.
            factors.update(
                (n, player.rng.lognormvariate(0.0, trouble.factor)) for n in player.world.exchanges
            )
            await asyncio.sleep(trouble.gap / SECOND)
        player.shifts = [shift for shift in player.shifts if shift is not factors]

    player.loop.create_task(run())


def _hang(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.world.begin_timed_condition(number, "hung", 1.0, trouble.lasts / SECOND)
        control = player.world.control_hosts.get(number)
        if control is not None and control.processor is not None:
            control.hang(trouble.lasts / SECOND)


def _ageing(player: Player, trouble: Trouble) -> None:
    """Slow the exchanges down exponentially, then kill them; the new processes run at normal speed."""
    world = player.world
    doublings = log2(max(trouble.factor, 1.01))

    async def run(number: int) -> None:
        condition = world.begin_condition(number, "doubles", trouble.lasts / SECOND / doublings)
        await asyncio.sleep(trouble.lasts / SECOND)
        world.end_condition(condition)
        await _take_down(player, number, trouble.gap / SECOND)

    for number in trouble.exchanges:
        player.loop.create_task(run(number))


async def _take_down(player: Player, number: int, seconds: float, announced: bool = True) -> None:
    """Kill an exchange and restart it, cold, after a time.

    `announced`: whether the registers are told that it is gone; they are always told of the restart.
    """
    world = player.world
    outage = world.begin_outage(number)
    if announced:
        world.announce_state(number, "gone")
    await asyncio.sleep(seconds)
    if await world.end_outage(outage):
        world.announce_state(number, "up", world.exchanges[number].started_at)


def _deploy(player: Player, trouble: Trouble) -> None:
    async def run() -> None:
        for number in trouble.exchanges:
            if not player.world.conditions.is_active(number, "down"):
                player.world.announce_state(number, "draining")
            await asyncio.sleep(trouble.lasts / SECOND)
            await _take_down(player, number, trouble.gap / SECOND)

    player.loop.create_task(run())


def _restart(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.loop.create_task(_take_down(player, number, trouble.lasts / SECOND))


def _stale(player: Player, trouble: Trouble) -> None:
    """Kill and restart exchanges while the registers go on listing them as up."""
    for number in trouble.exchanges:
        player.loop.create_task(_take_down(player, number, trouble.lasts / SECOND, announced=False))


def _pause(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        player.world.freeze_exchange(number, trouble.lasts / SECOND)


def _collections(player: Player, trouble: Trouble) -> None:
    async def run(number: int) -> None:
        ends = player.loop.time() + trouble.lasts / SECOND
        while player.loop.time() < ends:
            player.world.freeze_exchange(number, trouble.factor / 1000)
            await asyncio.sleep(player.rng.uniform(0.5, 1.5) * trouble.gap / SECOND)

    for number in trouble.exchanges:
        player.loop.create_task(run(number))


def _link_reset(player: Player, trouble: Trouble) -> None:
    for number in trouble.exchanges:
        for proxy in player.world.proxies_of(number):
            proxy.reset()


def _mass_cut(player: Player, trouble: Trouble) -> None:
    world = player.world
    for number in trouble.exchanges or [n for n in world.exchanges if n not in world.servers]:
        world.exchanges[number].cut_calls(trouble.share)


def _register_lag(player: Player, trouble: Trouble) -> None:
    """Set the lag of all lists to `trouble.factor` seconds; the end removes only what this trouble added."""
    for exchange_list in [x for site in player.world.sites.values() for x in site.lists]:
        added = trouble.factor - exchange_list.lag
        exchange_list.lag += added
        player.call_when_over(trouble, partial(_reduce_lag, exchange_list, added))


def _reduce_lag(exchange_list: RegisterStandin | StandinRegistry, seconds: float) -> None:
    exchange_list.lag -= seconds


def _register_silent(player: Player, trouble: Trouble) -> None:
    """Silence all lists, or only the registries if `trouble.peers` is given."""
    for exchange_list in [x for site in player.world.sites.values() for x in site.lists]:
        if isinstance(exchange_list, StandinRegistry) or not trouble.peers:
            exchange_list.stop_answering(trouble.lasts / SECOND)


def _registry_lie(player: Player, trouble: Trouble) -> None:
    for exchange_list in [x for site in player.world.sites.values() for x in site.lists]:
        if isinstance(exchange_list, StandinRegistry):
            exchange_list.give_wrong_answers(trouble.lie, trouble.exchanges, trouble.peers)
            player.call_when_over(trouble, partial(exchange_list.give_wrong_answers, "", [], trouble.peers))


def _stall(player: Player, trouble: Trouble) -> None:
    """Stop the call servers of `trouble.exchanges`, or all if none are named, for a time.

    Those that run over sockets in the lab's own process cannot be stopped alone: the whole process sleeps.
    """
    world, seconds = player.world, trouble.lasts / SECOND
    chosen = [n for n in world.sites if not trouble.exchanges or n in trouble.exchanges]
    separate = [world.stall_server(number, seconds) for number in chosen]
    if not all(separate):
        time.sleep(seconds)


def _callers_vanish(player: Player, trouble: Trouble) -> None:
    for site in player.world.sites.values():
        callers = site.callers
        for _ in range(round(trouble.share * len(callers.open_flows))):
            callers.break_connection(0)
        player.loop.create_task(callers.connect())


def _half_open(player: Player, trouble: Trouble) -> None:
    async def run() -> None:
        for site in player.world.sites.values():
            host, _, port = site.server.address.rpartition(":")
            for _ in range(int(trouble.factor)):
                transport, _protocol = await player.loop.create_connection(asyncio.Protocol, host, int(port))
                transport.write(b"INVITE sip:")
                player.idle_connections.append(transport)

    player.loop.create_task(run())


def _strangers(player: Player, trouble: Trouble) -> None:
    """Attack each call server from unknown addresses, callers' addresses and those of the other exchanges."""
    world = player.world
    for number, site in world.sites.items():
        hosts = {
            UNKNOWN: [f"127.3.{number}.{n + 1}" for n in range(SOURCES_PER_SERVER)],
            CALLER: [f"127.2.200.{n + 1}" for n in range(SOURCES_PER_SERVER // 2)],
            EXCHANGE: [exchange_host(n) for n in world.exchanges if n != number],
        }
        stranger_class = Attacker if world.folder is None else StrangerProcess
        stranger = stranger_class(
            player.loop, site.server.address, hosts, partial(world.victims, number),
            Random(player.rng.getrandbits(64)), trouble.factor,
        )  # fmt: skip
        world.strangers.append(stranger)
        player.loop.create_task(stranger.run(trouble.lasts / SECOND))


TROUBLES: dict[str, TroubleAction] = {
    "burst": _burst,
    "flood": condition_action("flood", lambda t: t.factor),
    "hot_number": _hot_number,
    "shift": _shift,
    "hang": _hang,
    "mute": combined_action(_hang, condition_action("mute", lambda t: 1.0)),
    "slow": condition_action("slow", lambda t: t.factor),
    "ageing": _ageing,
    "pause": _pause,
    "collections": _collections,
    "deploy": _deploy,
    "restart": _restart,
    "district_cut": condition_action("cut", lambda t: 1.0),
    "link_reset": _link_reset,
    "lossy": condition_action("loss", lambda t: t.share),
    "delay": condition_action("delay", lambda t: t.factor / 1000),
    "circuits_lost": condition_action("circuits", lambda t: t.share),
    "mass_cut": _mass_cut,
    "answers_lost": condition_action("lose_answers", lambda t: t.share),
    "answers_torn": condition_action("tear", lambda t: t.share),
    "report_late": condition_action("report_late", lambda t: t.factor),
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
