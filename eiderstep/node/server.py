"""One call server on the users' platform: listener, links, change log, and the calls between them."""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.engine import effects as fx
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.isup.parser import Unreadable
from eiderstep.node import config as configuration
from eiderstep.node.bounds import SPEAK, Bounds
from eiderstep.node.calls import Calls
from eiderstep.node.changelog import Book, ChangeLog
from eiderstep.node.config import Config, ConfigError
from eiderstep.node.links import Links, Peer
from eiderstep.node.wires import Wire
from eiderstep.server.watch import StallWatch, settle_collector
from eiderstep.trust.pace import Thinner

SECOND = 1_000_000_000
MS = 1_000_000
BEAT = 0.02  # seconds between two looks at whether we have run
STALLED = 60 * MS  # a gap between them from which we have not
LOOK = 0.05  # seconds between two looks at links
TICK = 0.25  # seconds between two looks at silent connections, and at whether we are done
READY = 0.4  # seconds that the start waits for its links
LINGER = 1.0  # seconds after SIGTERM in which set-ups still come
BACKLOG = 512
READ = 16 * 1024  # bytes of one connection before the next has its turn
TRIES, READ_AGAIN = 8, 0.25  # of a configuration that cannot be read; seconds between two
UNREAD = SECOND // 2  # after which a closed connection is cut, whatever is still unread


def write(line: str) -> None:
    print(line, file=sys.stderr, flush=True)


class Node:
    """The process's one call server."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, environ: Mapping[str, str],
        clock: Callable[[], int] = time.time_ns, write: Callable[[str], None] = write,
    ) -> None:  # fmt: skip
        """Raises ConfigError where the module cannot use the settings."""
        self.loop, self.config, self.environ, self.clock, self.write = loop, config, environ, clock, write
        self.latest = 0
        self.flows = 0
        self.chance = Random(config.seed ^ 0x5EED)
        try:
            self.calls = Calls(
                config.settings, config.names, config.dial_time, config.seed, most=config.most_calls
            )
        except ValueError as problem:
            raise ConfigError(f"settings: {problem}") from None
        self.wires: dict[int, Wire] = {}
        self.bounds = Bounds(config.sockets)
        self.buffer = memoryview(bytearray(READ))
        self.links = Links(self)
        self.book = Book(self._news)
        self.changes = ChangeLog(loop, self.book, config.changelog, self.log)
        self.stalls = StallWatch(STALLED)
        self.thinner = Thinner()
        self.flushing = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.listener: asyncio.Server | None = None
        self.stopping = 0
        self.stopped: asyncio.Future[None] = loop.create_future()

    # -- time and the log ----------------------------------------------------------------------------------

    def now(self) -> int:
        """The system's Unix clock (ns), which never goes back here."""
        self.latest = max(self.latest, self.clock())
        return self.latest

    def next_flow(self) -> int:
        self.flows += 1
        return self.flows

    def log(self, level: str, event: str, **fields: Any) -> None:
        """One line, a few of a kind at most: much of this can be provoked from outside."""
        held = self.thinner.line(self.now(), event)
        if held >= 0:
            more = f" held_back={held}" if held else ""
            said = "".join(f" {key}={value!r}" for key, value in fields.items())
            self.write(f"{level} {event}{said}{more}"[:400])

    # -- the start, a new configuration, the end -----------------------------------------------------------

    async def start(self) -> None:
        """Take the list, dial, then listen: a call that came before would find every office out of reach."""
        try:
            self.book.take(self.config.known, first=True)
        except ValueError as problem:
            raise ConfigError(f"known: {problem}") from None
        self.changes.follow()
        self._flush()
        end = self.loop.time() + READY
        while self.loop.time() < end and any(not p.wires for p in self.links.peers.values()):
            await asyncio.sleep(0.01)
        settle_collector()
        host, port = self.config.listen
        try:
            self.listener = await self.loop.create_server(lambda: Wire(self), host, port, backlog=BACKLOG)
        except OSError as problem:
            raise ConfigError(f"listen {host}:{port}: {problem.strerror or problem}") from None
        self._beat()
        self._tick()
        self._look()
        said = {"listen": f"{host}:{port}", "offices": len(self.links.peers)}
        self.log("info", "serving", name=self.config.name, **said)

    def reread(self, tries: int = TRIES) -> None:
        """SIGHUP: the change log may have moved.  What cannot be read leaves the old configuration.

        Danger: the file may be half written at that moment, and the signal comes once; the old change log
        then closes, and drains would not be heard of.  So it is read a few times more.
        """
        try:
            fresh = configuration.read(self.environ)
        except ConfigError as problem:
            self.log("error", "configuration not read", why=str(problem))
            if tries > 1 and not self.stopped.done():
                self.loop.call_later(READ_AGAIN, self.reread, tries - 1)
            return
        self.log("info", "configuration read", changelog=fresh.changelog)
        if fresh.changelog != self.config.changelog:
            self.changes.follow(fresh.changelog)
        self.config = fresh

    def stop(self) -> None:
        """SIGTERM: what still comes is served; the end comes once nothing is owed to anybody.

        What stands goes on without us: its callers tell whoever comes after.
        """
        if not self.stopping:
            self.stopping = self.now()
            self.log("info", "stopping", open=sum(len(a) for a in self.calls.asked.values()))

    def end(self) -> None:
        if not self.stopped.done():
            self.changes.stop()
            self.links.close()
            if self.listener is not None:
                self.listener.close()
            for wire in list(self.wires.values()):
                wire.close()
            self.log("info", "stopped", **{k.replace(" ", "_"): v for k, v in self.calls.counts.items()})
            self.stopped.set_result(None)

    # -- connections ---------------------------------------------------------------------------------------

    def caller_came(self, wire: Wire) -> None:
        self.wires[wire.flow] = wire
        self.calls.caller_came(wire.flow, wire.source)
        evicted = self.bounds.came(self.now(), wire.flow, wire.source, self.calls.calls_on)
        if evicted is not None and evicted in self.wires:
            self.log("warning", "connections at their limit", source=self.wires[evicted].source)
            self.wires[evicted].abort()

    def link_up(self, wire: Wire) -> None:
        if not self.links.up(wire):
            wire.abort()
            return
        self.wires[wire.flow] = wire
        self.calls.link_up(self.now(), wire.office, wire.flow)
        self._soon()

    def unreached(self, peer: Peer, refused: bool, why: str) -> None:
        """A dial failed.  A refused one proves that the process there is dead, and what it held is cut."""
        self.log("warning", "office not reached", office=peer.office, why=why)
        if not peer.wires:
            self.calls.unreachable(self.now(), peer.office)
            if refused:
                self.calls.office_lost(self.now(), peer.office)
            self._soon()

    def lost(self, wire: Wire) -> None:
        self.wires.pop(wire.flow, None)
        if wire.office:
            self.calls.link_lost(self.now(), wire.flow)
            self.links.lost(wire)
        else:
            self.bounds.closed(wire.flow)
            self.calls.caller_lost(self.now(), wire.flow)
        self._soon()

    def came(self, wire: Wire, items: list[Message | Unreadable]) -> None:
        """Messages of one connection, in order."""
        now = self.now()
        if wire.office:
            self._from_office(now, wire, items)
        else:
            self._from_caller(now, wire, items)
        self._soon()

    def _from_office(self, now: int, wire: Wire, items: list[Message | Unreadable]) -> None:
        for item in items:
            fit = isinstance(item, Message) and (
                wire.flow not in self.calls.linked or self.calls.office_spoke(now, wire.flow, item)
            )
            if not fit:
                why = item.why if isinstance(item, Unreadable) else isup.NAMES[item.kind]
                self.log("warning", "office not understood", office=wire.office, why=why)
                self.calls.link_lost(now, wire.flow)
                wire.abort()
                return

    def _from_caller(self, now: int, wire: Wire, items: list[Message | Unreadable]) -> None:
        waited = self._waited(now)
        pause = self.bounds.pour(now, wire.flow, len(items))
        if pause:
            self.log("warning", "caller slowed", source=wire.source)
            wire.pause(pause)
        for item in items:
            if isinstance(item, Message):
                self.bounds.spoke(wire.flow)
            if isinstance(item, Unreadable) or not self.calls.caller_spoke(now, wire.flow, item, waited):
                why = item.why if isinstance(item, Unreadable) else isup.NAMES[item.kind]
                self.log("info", "caller not understood", source=wire.source, why=why)
                wire.close()
                return

    # -- the list, time and what the calls wish --------------------------------------------------------------

    def _news(self, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...], dials: dict[str, str]) -> None:
        self.calls.news(kind, entries)
        own = self.config.settings.own_number
        for entry in entries:
            if entry.number != own:
                gone = entry.state is io.OfficeState.GONE
                self.links.told(entry.office, dials[entry.office], entry.started, gone)
        if kind is not io.ListKind.CHANGES:
            self.links.only({entry.office for entry in entries})
        self._soon()

    def _waited(self, now: int) -> int:
        waited = self.stalls.waited(now)
        if self.stalls.fresh:
            self.log("warning", "stalled", ms=self.stalls.fresh // MS)
        return waited

    def _beat(self) -> None:
        if not self.stopped.done():
            now = self.now()
            self._waited(now)
            self.stalls.beat(now)
            self.loop.call_later(BEAT, self._beat)

    def _look(self) -> None:
        if not self.stopped.done():
            self.links.watch(self.now())
            self._soon()
            self.loop.call_later(LOOK, self._look)

    def _tick(self) -> None:
        if self.stopped.done():
            return
        now = self.now()
        self.calls.forget(now)
        late = set(self.bounds.late(now))
        for wire in list(self.wires.values()):
            if wire.closing_at and now - wire.closing_at > UNREAD:
                wire.abort()  # it does not read what we had for it
            elif wire.flow in late or (wire.begun_at and not wire.office and now - wire.begun_at > SPEAK):
                wire.close()
        if self.stopping and now - self.stopping >= LINGER * SECOND:
            if not any(self.calls.asked.values()):
                self.end()
                return
        self.loop.call_later(TICK, self._tick)

    def _soon(self) -> None:
        """Flush once the loop has read what else has come: news goes before what it decides."""
        if not self.flushing:
            self.flushing = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flushing = False
        calls = self.calls
        for effect in calls.flush(self.now()):
            if isinstance(effect, fx.Dial):
                self.links.want(effect.address)
            elif isinstance(effect, fx.Log):
                self.log(effect.level, effect.event, **effect.fields)
        self._write()
        due = calls.next_due()
        if due is not None and (self.timer is None or due < self.timer_at):
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = due
            self.timer = self.loop.call_later(max(due - self.now(), 0) / SECOND, self._due)

    def _write(self) -> None:
        """All bytes of a batch, joined for each connection."""
        if not self.calls.out:
            return
        batches: dict[int, list[bytes]] = {}
        for flow, data in self.calls.out:
            batches.setdefault(flow, []).append(data)
        self.calls.out.clear()
        for flow, parts in batches.items():
            wire = self.wires.get(flow)
            if wire is not None:
                wire.send(parts[0] if len(parts) == 1 else b"".join(parts))

    def _due(self) -> None:
        self.timer = None
        self.calls.due(self.now())
        self._flush()
