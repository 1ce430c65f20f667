"""One call server: listeners, links to peers, the register, and the engine between them."""

from __future__ import annotations

import asyncio
import sqlite3
from collections.abc import Callable
from pathlib import Path
from random import Random

import msgspec

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.engine import effects as fx
from eiderstep.engine.core import Engine
from eiderstep.engine.timers import Mind
from eiderstep.server.doors import Doors, Logger
from eiderstep.server.lists import Lists
from eiderstep.server.watch import BEAT, StallWatch
from eiderstep.server.wire import DatagramWire, Trace
from eiderstep.sip.message import split_address
from eiderstep.sizing.meter import Meter
from eiderstep.sizing.store import Store

SECOND = 1_000_000_000
THIN_EVERY = 3600 * SECOND
LAST_WORDS = 1.0  # seconds that a stop waits for the answers to its own releases

# Log lines that whoever connects can provoke: written at a bounded rate for each source.
PROVOKED = frozenset({"malformed message", "request not served", "stranger refused", "over its rate"})


class CallServer(Doors):
    """The process's one call server.  `log` gets level, event, call id and fields."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: ServerSettings,
        log: Logger,
        trace: Trace | None = None,
        epoch: Callable[[], int] | None = None,
        mind: Mind | None = None,
        ids: Random | None = None,
    ) -> None:
        """`epoch`: the wall clock in ms, for what others are told of us; by default the loop's.

        `mind`: what decides in place of the module, for a lab that compares.  `ids`: where tags, branches
        and Call-IDs come from; the seed's in a lab, the system's random bits in service.
        """
        super().__init__(loop, settings, log, trace, epoch)
        self.mind, self.ids = mind, ids
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.lists = Lists(self)
        self.store: Store | None = None
        self.thinned = 0
        self.watch = StallWatch()

    async def start(self) -> None:
        """Bind, dial the peers once, follow the register, then serve."""
        await self._listen()
        self.engine = Engine(self.settings, self.address, self.mind, self.ids)
        self._measure()
        if self.settings.udp or self.settings.udp_peers:
            _, self.datagrams = await self.loop.create_datagram_endpoint(
                lambda: DatagramWire(self, self._datagram_flow), local_addr=split_address(self.address)
            )
        self.engine.begin(self.now())
        self._flush()
        if self.dials:
            # Calls that come before the first dial is over would find every exchange out of reach.
            await asyncio.wait(list(self.dials.values()), timeout=self.settings.limits.dial / SECOND)
        self.lists.follow()
        self._sweep()
        self._beat()
        said = {"address": self.address, "exchange": self.settings.number}
        self.log("info", "serving", "", said | ({"tls": self.secure_address} if self.secure_address else {}))

    def stop(self) -> None:
        """An orderly stop (SIGTERM); `stopped` is done when all is answered and released."""
        assert self.engine is not None
        self.lists.unfollow()
        if self.lists.registrant is not None:
            self.lists.registrant.leave()
        self.engine.stop(self.now())
        held = {"calls": len(self.engine.calls), "circuits": self.engine.busy_circuits()}
        self.log("info", "stopping", "", held)
        self.loop.call_later(self.settings.limits.drain / SECOND + LAST_WORDS, self.end)
        self._flush()

    def resize(self, settings: ServerSettings) -> None:
        """Sizes of trunk groups from settings that were read anew; all else stays as it was at the start."""
        if self.engine is None:
            return
        before = {peer.number: peer.circuits for peer in self.settings.peers}
        for peer in settings.peers:
            if peer.number in before and peer.circuits != before[peer.number]:
                self.engine.resize(self.now(), peer.number, peer.circuits)
        self.settings = msgspec.structs.replace(
            self.settings,
            peers=[p for p in settings.peers if p.number in before],
        )
        self._flush()

    def kill(self) -> None:
        """Gone at once, as a killed process is: nothing is answered."""
        self.lists.unfollow()
        if self.lists.registrant is not None:
            self.lists.registrant.stop()
        if self.store is not None:
            self.store.close()
            self.store = None
        self.engine = None
        if self.timer is not None:
            self.timer.cancel()
        self._shut(abort=True)

    def end(self) -> None:
        """The stop is over: all is shut, and our entry in the registry goes."""
        if self.ended:
            return
        self.ended = True
        self._roll_up(last=True)
        self._shut(abort=False)
        registrant = self.lists.registrant
        if registrant is None or registrant.over.done():
            self._said_last()
            return
        registrant.cancel()
        registrant.over.add_done_callback(lambda _: self._said_last())
        self.loop.call_later(LAST_WORDS, self._said_last)  # a registry that is away holds nobody up

    def _said_last(self) -> None:
        if not self.stopped.done():
            if self.lists.registrant is not None:
                self.lists.registrant.stop()
            self.stopped.set_result(None)
            self.log("info", "stopped", "", {"counts": self.engine.counts if self.engine else {}})

    def _beat(self) -> None:
        """See whether this process has run all the time."""
        if self.ended or self.engine is None:
            return
        now = self.now()
        self._waited(now)
        self.watch.beat(now)
        self.loop.call_later(BEAT, self._beat)

    def _waited(self, now: int) -> int:
        waited = self.watch.waited(now)
        if self.watch.fresh:
            self.log("warning", "stalled", "", {"ms": self.watch.fresh // 1_000_000})
        return waited

    # -- the engine's wishes -------------------------------------------------------------------------------

    def news(self, told: list[tuple[io.ListKind, tuple[io.OfficeEntry, ...]]]) -> None:
        """The list of exchanges changes."""
        if self.engine is not None and told:
            for kind, entries in told:
                self.engine.news(self.now(), kind, entries)
            self._flush()

    def _flush(self) -> None:
        engine = self.engine
        if engine is None:
            return
        for effect in engine.flush(self.now()):
            if isinstance(effect, fx.Log) and effect.event in PROVOKED:
                source = engine.who(effect.fields.get("flow", 0)).source
                self._say(effect.level, effect.event, source, effect.fields)
            elif isinstance(effect, fx.Log):
                self.log(effect.level, effect.event, effect.call, effect.fields)
            elif isinstance(effect, fx.Dial) and self.settings.udp_peers:
                flow = self._datagram_flow(split_address(effect.address))
                engine.meet(flow, engine.at_link(effect.address))
                engine.link_up(self.now(), effect.address, flow)
            elif isinstance(effect, fx.Dial):
                if effect.address not in self.dials and effect.address not in engine.links:
                    self.dials[effect.address] = self.loop.create_task(self._keep(effect.address))
            elif isinstance(effect, fx.HangUp):
                task = self.dials.pop(effect.address, None)
                if task is not None:
                    task.cancel()
            elif isinstance(effect, fx.CloseFlow):
                wire = self.wires.get(effect.flow)
                if wire is not None:
                    self.loop.call_soon(wire.close)
            elif isinstance(effect, fx.AskRegister):
                self.lists.ask()
            elif isinstance(effect, fx.Finished):
                self.loop.call_later(0, self.end)
        self._write(engine)
        self._arm(engine)

    def _write(self, engine: Engine) -> None:
        """All bytes of a batch, joined for each connection.

        Danger: a peer that reads nothing makes us hold all we have for it; over the limit it is cut off,
        which ends its calls and frees its circuits.  Hurts where a healthy peer pauses for long.
        """
        if not engine.out:
            return
        batches: dict[int, list[bytes]] = {}
        for flow, data in engine.out:
            batches.setdefault(flow, []).append(data)
        engine.out.clear()
        for flow, parts in batches.items():
            wire = self.wires.get(flow)
            if wire is not None:
                wire.send(parts[0] if len(parts) == 1 else b"".join(parts))
                if wire.paused and wire.transport is not None:
                    if wire.transport.get_write_buffer_size() > self.settings.limits.unsent:
                        self.log("warning", "peer reads nothing", "", {"peer": wire.peer})
                        self.loop.call_soon(wire.transport.abort)
            elif self.datagrams is not None and flow in self.datagram_peers:
                for data in parts:
                    self.datagrams.send(self.datagram_peers[flow], data)

    def _arm(self, engine: Engine) -> None:
        due = engine.next_due()
        if due is not None:  # each timer by itself would wake the loop two or three times a call
            due = -(-due // self.settings.timers.tick) * self.settings.timers.tick
        if due is None or (self.timer is not None and self.timer_at <= due):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.loop.call_at(due / SECOND, self._due)

    def _due(self) -> None:
        self.timer = None
        if self.engine is not None:
            self.clock = max(self.clock, self.timer_at)  # loops round: a timer may come a shade early
            now = self.now()
            self.engine.due(now)
            self._flush()

    # -- measurement ---------------------------------------------------------------------------------------

    def _measure(self) -> None:
        """Measure the groups, if the settings want it.  A store that cannot be had stops no call server."""
        sizing = self.settings.sizing
        if sizing is None:
            return
        try:
            self.store = Store(Path(sizing.store))
            self.store.describe(exchange=str(self.settings.number))
        except (OSError, sqlite3.Error) as problem:
            self.log("error", "no measurements", "", {"store": sizing.store, "why": str(problem)})
            return
        if self.store.put_aside is not None:
            self.log("error", "measurements put aside", "", {"damaged": str(self.store.put_aside)})
        assert self.engine is not None
        groups = {peer.number: peer.circuits for peer in self.settings.peers if peer.circuits}
        # Where callers mark their redials nothing has to be guessed from the numbers called.
        window = 0 if self.settings.rules.redials_marked else sizing.redial_window
        self.engine.meter = Meter(groups, len(self.settings.classes), self.now(), window)
        self.engine.meter.resume(self.store.holds())
        for number in groups:
            self.engine.meter.link(self.now(), number, False)
        self.loop.call_later(sizing.period / SECOND, self._roll_up)

    def _roll_up(self, last: bool = False) -> None:
        """Close the open buckets and store them; what cannot be stored is lost, and said."""
        sizing = self.settings.sizing
        if self.engine is None or self.engine.meter is None or self.store is None or sizing is None:
            return
        epoch = self.epoch() * 1_000_000
        try:
            self.store.add(self.engine.meter.roll(self.now(), epoch))
            if epoch - self.thinned > THIN_EVERY:
                self.thinned = epoch
                self.store.thin(epoch)
            if last or self.thinned == epoch:
                self.store.keep_holds(self.engine.meter.encoded())
        except sqlite3.Error as problem:
            self.log("error", "measurements lost", "", {"why": str(problem)})
        if last:
            self.store.close()
            self.store = None
        else:
            self.loop.call_later(sizing.period / SECOND, self._roll_up)
