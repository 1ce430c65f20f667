"""One call server: connections, exchange lists, timers and measurements around the engine."""

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
from eiderstep.engine.timers import ControllerFactory
from eiderstep.server.connections import ConnectionManager, Logger
from eiderstep.server.exchange_lists import ExchangeLists
from eiderstep.server.transport import DatagramSocket, Trace
from eiderstep.server.watch import HEARTBEAT_INTERVAL_S, StallDetector
from eiderstep.sip.message import split_address
from eiderstep.sizing.meter import Meter
from eiderstep.sizing.store import Store

SECOND = 1_000_000_000
THIN_INTERVAL = 3600 * SECOND
RELEASE_TIMEOUT_S = 1.0  # how long a stop waits for the answers to its own releases and deregistration

# Log events that any remote end can provoke: written at a limited rate for each source.
RATE_LIMITED_EVENTS = frozenset(
    {"malformed message", "request not served", "stranger refused", "over its rate"}
)


class CallServer(ConnectionManager):
    """One call server.  `log` receives the level, event, call id and fields of each log line."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        settings: ServerSettings,
        log: Logger,
        trace: Trace | None = None,
        epoch: Callable[[], int] | None = None,
        controller_factory: ControllerFactory | None = None,
        id_source: Random | None = None,
    ) -> None:
        """Create a call server that does not listen yet; see `start`.

        `epoch`: the wall clock in ms, for certificates, registry entries and measurements; by default the
        loop's clock.  `controller_factory`: makes a decision module to use in place of the default one, for
        comparisons in the lab.  `id_source`: the source of tags, branches and Call-IDs; seeded in a lab, the
        system's random bits in service.
        """
        super().__init__(loop, settings, log, trace, epoch)
        self.controller_factory, self.id_source = controller_factory, id_source
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.exchange_lists = ExchangeLists(self)
        self.store: Store | None = None
        self.thinned_at = 0
        self.stall_watch = StallDetector()

    async def start(self) -> None:
        """Open the listeners, dial the peers, start the exchange lists, then serve."""
        await self._listen()
        self.engine = Engine(self.settings, self.address, self.controller_factory, self.id_source)
        self._start_meter()
        if self.settings.udp or self.settings.udp_peers:
            _, self.datagram_socket = await self.loop.create_datagram_endpoint(
                lambda: DatagramSocket(self, self._datagram_flow), local_addr=split_address(self.address)
            )
        self.engine.start(self.now())
        self._flush()
        if self.dial_tasks:
            # Without the wait, calls that arrive before the first links are up find no exchange reachable.
            await asyncio.wait(list(self.dial_tasks.values()), timeout=self.settings.limits.dial / SECOND)
        self.exchange_lists.start()
        self._close_idle()
        self._heartbeat()
        fields = {"address": self.address, "exchange": self.settings.number}
        self.log("info", "serving", "", fields | ({"tls": self.tls_address} if self.tls_address else {}))

    def stop(self) -> None:
        """Begin a graceful stop (SIGTERM); `stopped` is done when all calls are answered and released."""
        assert self.engine is not None
        self.exchange_lists.stop()
        if self.exchange_lists.registrant is not None:
            self.exchange_lists.registrant.begin_leaving()
        self.engine.stop(self.now())
        pending = {"calls": len(self.engine.calls), "circuits": self.engine.busy_circuits()}
        self.log("info", "stopping", "", pending)
        self.loop.call_later(self.settings.limits.drain / SECOND + RELEASE_TIMEOUT_S, self.finish_stop)
        self._flush()

    def resize_groups(self, settings: ServerSettings) -> None:
        """Apply the trunk group sizes of reloaded settings; all other changes need a restart."""
        if self.engine is None:
            return
        before = {peer.number: peer.circuits for peer in self.settings.peers}
        for peer in settings.peers:
            if peer.number in before and peer.circuits != before[peer.number]:
                self.engine.resize_group(self.now(), peer.number, peer.circuits)
        self.settings = msgspec.structs.replace(
            self.settings,
            peers=[p for p in settings.peers if p.number in before],
        )
        self._flush()

    def kill(self) -> None:
        """Stop at once without answering or releasing anything, as a killed process does."""
        self.exchange_lists.stop()
        if self.exchange_lists.registrant is not None:
            self.exchange_lists.registrant.stop()
        if self.store is not None:
            self.store.close()
            self.store = None
        self.engine = None
        if self.timer is not None:
            self.timer.cancel()
        self._close_all(abort=True)

    def finish_stop(self) -> None:
        """End a graceful stop: store measurements, close all connections and remove our registry entry."""
        if self.ended:
            return
        self.ended = True
        self._store_measurements(last=True)
        self._close_all(abort=False)
        registrant = self.exchange_lists.registrant
        if registrant is None or registrant.finished.done():
            self._report_stopped()
            return
        registrant.allow_removal()
        registrant.finished.add_done_callback(lambda _: self._report_stopped())
        # Limits the wait for an unreachable registry.
        self.loop.call_later(RELEASE_TIMEOUT_S, self._report_stopped)

    def _report_stopped(self) -> None:
        if not self.stopped.done():
            if self.exchange_lists.registrant is not None:
                self.exchange_lists.registrant.stop()
            self.stopped.set_result(None)
            self.log("info", "stopped", "", {"counts": self.engine.counts if self.engine else {}})

    def _heartbeat(self) -> None:
        """Check at a fixed interval whether this process was stalled."""
        if self.ended or self.engine is None:
            return
        now = self.now()
        self._read_delay(now)
        self.stall_watch.heartbeat(now)
        self.loop.call_later(HEARTBEAT_INTERVAL_S, self._heartbeat)

    def _read_delay(self, now: int) -> int:
        waited = self.stall_watch.read_delay(now)
        if self.stall_watch.new_stall:
            self.log("warning", "stalled", "", {"ms": self.stall_watch.new_stall // 1_000_000})
        return waited

    # -- effects of the engine -----------------------------------------------------------------------------

    def list_changed(self, updates: list[tuple[io.ListKind, tuple[io.OfficeEntry, ...]]]) -> None:
        """Pass updates of the list of exchanges to the engine."""
        if self.engine is not None and updates:
            for kind, entries in updates:
                self.engine.update_offices(self.now(), kind, entries)
            self._flush()

    def _flush(self) -> None:
        engine = self.engine
        if engine is None:
            return
        for effect in engine.flush(self.now()):
            if isinstance(effect, fx.Log) and effect.event in RATE_LIMITED_EVENTS:
                source = engine.party_of(effect.fields.get("flow", 0)).source
                self._log_limited(effect.level, effect.event, source, effect.fields)
            elif isinstance(effect, fx.Log):
                self.log(effect.level, effect.event, effect.call, effect.fields)
            elif isinstance(effect, fx.Dial) and self.settings.udp_peers:
                flow = self._datagram_flow(split_address(effect.address))
                engine.set_party(flow, engine.party_at_link(effect.address))
                engine.link_up(self.now(), effect.address, flow)
            elif isinstance(effect, fx.Dial):
                if effect.address not in self.dial_tasks and effect.address not in engine.links:
                    self.dial_tasks[effect.address] = self.loop.create_task(
                        self._dial_until_connected(effect.address)
                    )
            elif isinstance(effect, fx.StopDialling):
                task = self.dial_tasks.pop(effect.address, None)
                if task is not None:
                    task.cancel()
            elif isinstance(effect, fx.CloseFlow):
                connection = self.connections.get(effect.flow)
                if connection is not None:
                    self.loop.call_soon(connection.close)
            elif isinstance(effect, fx.SubscribeToRegister):
                self.exchange_lists.request_update()
            elif isinstance(effect, fx.Finished):
                self.loop.call_later(0, self.finish_stop)
        self._write_output(engine)
        self._arm_timer(engine)

    def _write_output(self, engine: Engine) -> None:
        """Write the output of a batch, joined for each connection.

        A peer that does not read makes our send buffer grow.  Above `limits.unsent` bytes its connection is
        aborted, which ends its calls and frees its circuits, also if a healthy peer only pauses for long.
        """
        if not engine.out:
            return
        batches: dict[int, list[bytes]] = {}
        for flow, data in engine.out:
            batches.setdefault(flow, []).append(data)
        engine.out.clear()
        for flow, parts in batches.items():
            connection = self.connections.get(flow)
            if connection is not None:
                connection.send(parts[0] if len(parts) == 1 else b"".join(parts))
                if connection.write_paused and connection.transport is not None:
                    if connection.transport.get_write_buffer_size() > self.settings.limits.unsent:
                        self.log("warning", "peer reads nothing", "", {"peer": connection.peer})
                        self.loop.call_soon(connection.transport.abort)
            elif self.datagram_socket is not None and flow in self.datagram_peers:
                for data in parts:
                    self.datagram_socket.send(self.datagram_peers[flow], data)

    def _arm_timer(self, engine: Engine) -> None:
        due = engine.next_due()
        if due is not None:
            # Rounded up to the tick: exact timers would wake the loop two or three times a call.
            due = -(-due // self.settings.timers.tick) * self.settings.timers.tick
        if due is None or (self.timer is not None and self.timer_at <= due):
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer_at = due
        self.timer = self.loop.call_at(due / SECOND, self._timer_due)

    def _timer_due(self) -> None:
        self.timer = None
        if self.engine is not None:
            self.last_now = max(self.last_now, self.timer_at)  # the loop may run a timer slightly early
            now = self.now()
            self.engine.run_timers(now)
            self._flush()

    # -- measurements --------------------------------------------------------------------------------------

    def _start_meter(self) -> None:
        """Start measuring the trunk groups if the settings ask for it.  An unusable store is only logged."""
        sizing = self.settings.sizing
        if sizing is None:
            return
        try:
            self.store = Store(Path(sizing.store))
            self.store.write_meta(exchange=str(self.settings.number))
        except (OSError, sqlite3.Error) as problem:
            self.log(
                "error",
                "measurement store cannot be opened",
                "",
                {"store": sizing.store, "why": str(problem)},
            )
            return
        if self.store.damaged_path is not None:
            self.log(
                "error", "damaged measurement store set aside", "", {"damaged": str(self.store.damaged_path)}
            )
        assert self.engine is not None
        groups = {peer.number: peer.circuits for peer in self.settings.peers if peer.circuits}
        # Where callers mark their redials, they need not be inferred from repeated numbers.
        window = 0 if self.settings.rules.redials_marked else sizing.redial_window
        self.engine.meter = Meter(groups, len(self.settings.classes), self.now(), window)
        self.engine.meter.restore_holding_times(self.store.read_holding_times())
        for number in groups:
            self.engine.meter.set_link_up(self.now(), number, False)
        self.loop.call_later(sizing.period / SECOND, self._store_measurements)

    def _store_measurements(self, last: bool = False) -> None:
        """Close the open buckets and store them; buckets that cannot be stored are dropped and logged."""
        sizing = self.settings.sizing
        if self.engine is None or self.engine.meter is None or self.store is None or sizing is None:
            return
        epoch = self.epoch() * 1_000_000
        try:
            self.store.add_buckets(self.engine.meter.close_buckets(self.now(), epoch))
            if epoch - self.thinned_at > THIN_INTERVAL:
                self.thinned_at = epoch
                self.store.downsample(epoch)
            if last or self.thinned_at == epoch:
                self.store.write_holding_times(self.engine.meter.encode_holding_times())
        except sqlite3.Error as problem:
            self.log("error", "measurements could not be stored", "", {"why": str(problem)})
        if last:
            self.store.close()
            self.store = None
        else:
            self.loop.call_later(sizing.period / SECOND, self._store_measurements)
