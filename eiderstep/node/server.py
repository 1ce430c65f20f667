"""One call server on the users' platform: connects listener, links and change log to the call table."""

from __future__ import annotations

import asyncio
import dataclasses
import sys
import time
from collections.abc import Callable, Mapping
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.engine import effects as fx
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.isup.parser import FramingError
from eiderstep.node import config as configuration
from eiderstep.node.address_takeover import ListedOffice
from eiderstep.node.caller_limits import FIRST_MESSAGE_TIMEOUT, WEIGHT_OPEN_SET_UP, CallerLimits
from eiderstep.node.calls import CallTable
from eiderstep.node.changelog import ChangeLogPoller, ChangeReader
from eiderstep.node.config import Config, ConfigError
from eiderstep.node.connections import LINK_READ_SIZE, Connection
from eiderstep.node.links import LINKS_PER_OFFICE, Links, Peer
from eiderstep.node.list_validity import ListValidity
from eiderstep.node.memory_budget import MemoryBudget
from eiderstep.node.office_identity import LinkLoss
from eiderstep.node.shutdown import ShutdownSchedule
from eiderstep.server.watch import StallDetector, tune_garbage_collector
from eiderstep.trust.pace import LogRateLimiter

SECOND = 1_000_000_000
MS = 1_000_000
STALL_CHECK_INTERVAL = 0.02  # seconds between checks for a stall of the process
STALL_THRESHOLD = 60 * MS  # ns; a longer gap between those checks counts as a stall
LINK_CHECK_INTERVAL = 0.05  # seconds
CONNECTION_CHECK_INTERVAL = 0.25  # seconds
LINK_WAIT = 0.4  # seconds that the start waits for links to all offices
BACKLOG = 512  # of the listening socket
# Attempts to read the configuration on SIGHUP, and seconds between them.
CONFIG_TRIES, CONFIG_RETRY_DELAY = 8, 0.25
CLOSE_TIMEOUT = SECOND // 2  # ns after which a closing connection is aborted, unread data or not


def write_line(line: str) -> None:
    """Write a log line to standard error."""
    print(line, file=sys.stderr, flush=True)


class Node:
    """The call server of this process."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, config: Config, environ: Mapping[str, str],
        clock: Callable[[], int] = time.time_ns, write_line: Callable[[str], None] = write_line,
    ) -> None:  # fmt: skip
        """Raises ConfigError if the module rejects the settings."""
        self.loop, self.config, self.environ, self.clock, self.write_line = (
            loop,
            config,
            environ,
            clock,
            write_line,
        )
        self.latest_time = 0
        self.last_flow = 0
        self.random = Random(config.seed ^ 0x5EED)
        self.memory = MemoryBudget(config.memory_mb)
        try:
            self.calls = CallTable(
                config.settings,
                config.class_names,
                config.dial_timeout,
                config.seed,
                max_calls=config.max_calls,
                started_at=self.now(),
                memory=self.memory,
            )
        except ValueError as error:
            raise ConfigError(f"settings: {error}") from None
        self.connections: dict[int, Connection] = {}
        self.caller_limits = CallerLimits(config.sockets)
        self.read_buffer = memoryview(bytearray(LINK_READ_SIZE))
        self.links = Links(self)
        self.change_reader = ChangeReader(self._update_offices)
        self.change_log = ChangeLogPoller(
            self, self.change_reader, config.changelog, config.settings.drain_grace
        )
        self.stall_watch = StallDetector(STALL_THRESHOLD)
        self.log_limiter = LogRateLimiter()
        self.flush_scheduled = False
        self.timer: asyncio.TimerHandle | None = None
        self.timer_at = 0
        self.listener: asyncio.Server | None = None
        self.shutdown: ShutdownSchedule | None = None  # once SIGTERM has come
        self.stopped: asyncio.Future[None] = loop.create_future()

    # -- time and the log ----------------------------------------------------------------------------------

    def now(self) -> int:
        """The system's Unix time (ns), made monotonic."""
        self.latest_time = max(self.latest_time, self.clock())
        return self.latest_time

    def next_flow(self) -> int:
        """The number of a new connection."""
        self.last_flow += 1
        return self.last_flow

    def log(self, level: str, event: str, **fields: Any) -> None:
        """Write one log line, rate-limited by event: many events can be caused by peers."""
        suppressed = self.log_limiter.count_line(self.now(), event)
        if suppressed >= 0:
            suffix = f" held_back={suppressed}" if suppressed else ""
            text = "".join(f" {key}={value!r}" for key, value in fields.items())
            self.write_line(f"{level} {event}{text}{suffix}"[:400])

    # -- start, reload, shutdown ---------------------------------------------------------------------------

    async def start(self) -> None:
        """Apply the initial list, dial, then listen: an earlier call would find no office reachable."""
        try:
            self.change_reader.apply_answer(self.config.known, initial=True)
        except ValueError as error:
            raise ConfigError(f"known: {error}") from None
        self.change_log.start()
        self._flush()
        deadline = self.loop.time() + LINK_WAIT
        while self.loop.time() < deadline and any(not peer.connections for peer in self.links.peers.values()):
            await asyncio.sleep(0.01)
        tune_garbage_collector()
        host, port = self.config.listen
        try:
            self.listener = await self.loop.create_server(
                lambda: Connection(self), host, port, backlog=BACKLOG
            )
        except OSError as error:
            raise ConfigError(f"listen {host}:{port}: {error.strerror or error}") from None
        self._check_stall()
        self._check_connections()
        self._check_links()
        fields = {"listen": f"{host}:{port}", "offices": len(self.links.peers)}
        self.log("info", "serving", name=self.config.name, **fields)

    def reload_config(self, tries_left: int = CONFIG_TRIES) -> None:
        """Handle SIGHUP: reload the configuration, which may name another change log.

        An unreadable file leaves the old configuration in force.  The file may be half written at that
        moment, and the signal is sent only once.  The old change log then closes, so without the new address
        drains would go unnoticed.  So the read is retried a few times.
        """
        try:
            new_config = configuration.read_config(self.environ)
        except ConfigError as error:
            self.log("error", "configuration not read", why=str(error))
            if tries_left > 1 and not self.stopped.done():
                self.loop.call_later(CONFIG_RETRY_DELAY, self.reload_config, tries_left - 1)
            return
        self.log("info", "configuration read", changelog=new_config.changelog)
        if new_config.changelog != self.config.changelog:
            self.change_log.start(new_config.changelog)
        self.config = new_config

    def begin_shutdown(self) -> None:
        """Handle SIGTERM: keep serving, and end at a moment without an open set-up, at the latest in time.

        Standing calls continue without this process: their callers report them to its successor.
        """
        if self.shutdown is not None:
            return
        now = self.now()
        self.shutdown = ShutdownSchedule(now, self.config.settings.classes)
        self.log(
            "info",
            "stopping",
            open=self.calls.count_open_set_ups(),
            ends_within_ms=(self.shutdown.ends_at - now) // MS,
        )
        self.calls.begin_shutdown(self.shutdown.ends_at)
        self._schedule_flush()
        self.loop.call_later((self.shutdown.may_end_at - now) / SECOND, self._schedule_flush)

    def _end_if_idle(self) -> None:
        """Complete a shutdown if no set-up is open, also none that lies unread in a socket.

        Timers run before the sockets are read, so the check is repeated after the next read.
        """
        if self._may_end():
            self.loop.call_soon(self.loop.call_soon, self._end_if_still_idle)

    def _end_if_still_idle(self) -> None:
        if self._may_end():
            self.shut_down()

    def _may_end(self) -> bool:
        return (
            self.shutdown is not None
            and self.shutdown.may_end(self.now())
            and not self.stopped.done()
            and not self.calls.count_open_set_ups()
        )

    def shut_down(self) -> None:
        """Close the listener and all connections, and resolve `stopped`."""
        if self.stopped.done():
            return
        self.change_log.stop()
        self.links.close()
        if self.listener is not None:
            self.listener.close()
        for connection in list(self.connections.values()):
            connection.close()
        counts = {name.replace(" ", "_"): count for name, count in self.calls.counters.items()}
        if self.shutdown is not None:
            counts["took_ms"] = (self.now() - self.shutdown.requested_at) // MS
        self.log("info", "stopped", **counts)
        self.stopped.set_result(None)

    # -- connections ---------------------------------------------------------------------------------------

    def caller_connected(self, connection: Connection) -> None:
        """Register a caller's connection, and abort one if there are too many."""
        self.connections[connection.flow] = connection
        self.calls.caller_connected(connection.flow, connection.source)
        evicted = self.caller_limits.admit(
            self.now(), connection.flow, connection.source, self.calls.connection_weight
        )
        if evicted is not None and evicted in self.connections:
            self.log("warning", "connections at their limit", source=self.connections[evicted].source)
            self.connections[evicted].abort()

    def link_up(self, connection: Connection) -> None:
        """Register a new link to an office; abort it if it is no longer needed."""
        if not self.links.link_up(connection):
            connection.abort()
            return
        self.connections[connection.flow] = connection
        self.calls.link_up(self.now(), connection.office, connection.flow)
        self._schedule_flush()

    def connect_failed(self, peer: Peer, was_refused: bool, reason: str) -> None:
        """Handle a failed dial.  A refusal proves that the office's process is dead, so its calls are cut."""
        self.log("warning", "office not reached", office=peer.office, why=reason)
        if not peer.connections:
            self.calls.office_unreachable(self.now(), peer.office)
            if was_refused:
                self.calls.link_refused(self.now(), peer.office)
            self._schedule_flush()

    def connection_lost(self, connection: Connection) -> None:
        """Deregister a lost connection."""
        self.connections.pop(connection.flow, None)
        self._release_partial_message(connection)
        if connection.office:
            self.calls.link_lost(self.now(), connection.flow)
            self.links.link_lost(connection)
        else:
            self.caller_limits.remove(connection.flow)
            self.calls.caller_disconnected(self.now(), connection.flow)
        self._schedule_flush()

    def messages_received(self, connection: Connection, items: list[Message | FramingError]) -> None:
        """Handle messages of one connection, in order."""
        now = self.now()
        if connection.office:
            self._handle_office_messages(now, connection, items)
        else:
            self._handle_caller_messages(now, connection, items)
        self._schedule_flush()

    def hold_partial_message(self, connection: Connection, size: int) -> None:
        """Take memory for an incomplete message of a caller; close the oldest others where there is none.

        A connection with an open set-up is never closed for it.
        """
        self.memory.give_back(connection.partial_size)
        connection.partial_size = 0
        while size and not self.memory.take(size):
            candidates = [c for c in self.connections.values() if c.partial_size or c is connection]
            idle = [c for c in candidates if self.calls.connection_weight(c.flow) < WEIGHT_OPEN_SET_UP]
            if not idle:
                return
            oldest = min(idle, key=lambda candidate: candidate.partial_since)
            self.log("warning", "incomplete messages at their memory limit", source=oldest.source)
            self._release_partial_message(oldest)
            oldest.discard_partial_message()
            oldest.abort()
            if oldest is connection:
                return
        connection.partial_size = size

    def _release_partial_message(self, connection: Connection) -> None:
        self.memory.give_back(connection.partial_size)
        connection.partial_size = 0

    def _handle_office_messages(
        self, now: int, connection: Connection, items: list[Message | FramingError]
    ) -> None:
        for item in items:
            usable = isinstance(item, Message) and (
                connection.flow not in self.calls.office_by_link
                or self.calls.handle_office_message(now, connection.flow, item)
            )
            if not usable:
                why = item.reason if isinstance(item, FramingError) else isup.TYPE_NAMES[item.kind]
                self.log("warning", "invalid message from office", office=connection.office, why=why)
                self.calls.link_lost(now, connection.flow, LinkLoss.CLOSED_HERE)
                connection.abort()
                return

    def _handle_caller_messages(
        self, now: int, connection: Connection, items: list[Message | FramingError]
    ) -> None:
        unread_time = self._unread_time(now)
        delay = self.caller_limits.charge_messages(now, connection.flow, len(items))
        if delay:
            self.log("warning", "caller over message rate; reading paused", source=connection.source)
            connection.pause_reading(delay)
        if connection.peer_has_closed():
            self.calls.caller_left(now, connection.flow)
        for item in items:
            if isinstance(item, Message):
                self.caller_limits.message_received(connection.flow)
            if isinstance(item, FramingError) or not self.calls.handle_caller_message(
                now, connection.flow, item, unread_time
            ):
                why = item.reason if isinstance(item, FramingError) else isup.TYPE_NAMES[item.kind]
                self.log("info", "invalid message from caller", source=connection.source, why=why)
                connection.close()
                return

    # -- list of offices, timers, effects -------------------------------------------------------------------

    def confirm_list(self, validity: ListValidity) -> None:
        """The change log was heard, or its limit has changed."""
        self.calls.confirm_list(self.now(), validity.heard_until, validity.valid_until)
        self._schedule_flush()

    def _update_offices(
        self, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...], addresses: dict[str, str]
    ) -> None:
        """Apply a change of the list of offices to the calls, the decisions and the links."""
        own_number = self.config.settings.own_number
        others = [entry for entry in entries if entry.number != own_number]
        present = [
            ListedOffice(entry, addresses[entry.office])
            for entry in others
            if entry.state is not io.OfficeState.GONE
        ]
        replaced = self.links.find_replaced(present, complete=kind is not io.ListKind.CHANGES)
        self.calls.update_offices(self.now(), kind, self._mark_replaced(entries, replaced))
        self.links.replace_offices(replaced)
        for listed in present:
            if listed.office not in replaced:
                self.links.update_office(listed)
        for entry in others:
            if entry.state is io.OfficeState.GONE:
                self.links.office_gone(entry.office)
        if kind is not io.ListKind.CHANGES:
            self.links.remove_unlisted({entry.office for entry in entries})
        self._reserve_descriptors()
        self._schedule_flush()

    def _reserve_descriptors(self) -> None:
        """Leave enough descriptors for the links to all listed offices."""
        self.caller_limits.reserve_links(LINKS_PER_OFFICE * len(self.links.peers))
        for flow in self.caller_limits.surplus(self.calls.connection_weight):
            self.connections[flow].close()

    def _mark_replaced(
        self, entries: tuple[io.OfficeEntry, ...], replaced: dict[str, ListedOffice]
    ) -> tuple[io.OfficeEntry, ...]:
        """The entries, with those offices as gone whose address another office has taken."""
        known = {name: peer.listed.entry for name, peer in self.links.peers.items()}
        known |= {entry.office: entry for entry in entries}
        gone = tuple(dataclasses.replace(known[name], state=io.OfficeState.GONE) for name in replaced)
        return tuple(entry for entry in entries if entry.office not in replaced) + gone

    def _unread_time(self, now: int) -> int:
        """How long input that is read now may have lain unread because this process stalled (ns)."""
        unread_time = self.stall_watch.read_delay(now)
        if self.stall_watch.new_stall:
            self.log("warning", "stalled", ms=self.stall_watch.new_stall // MS)
        return unread_time

    def _check_stall(self) -> None:
        if not self.stopped.done():
            now = self.now()
            self._unread_time(now)
            self.stall_watch.heartbeat(now)
            self.loop.call_later(STALL_CHECK_INTERVAL, self._check_stall)

    def _check_links(self) -> None:
        if not self.stopped.done():
            self.links.check_links(self.now())
            self._schedule_flush()
            self.loop.call_later(LINK_CHECK_INTERVAL, self._check_links)

    def _check_connections(self) -> None:
        if self.stopped.done():
            return
        now = self.now()
        self.calls.discard_expired(now)
        self.calls.cut_vanished_calls(now)
        self._schedule_flush()
        silent = set(self.caller_limits.silent_connections(now))
        for connection in list(self.connections.values()):
            if connection.is_paused and connection.peer_has_closed():
                self.calls.caller_left(now, connection.flow)
            if connection.closing_at and now - connection.closing_at > CLOSE_TIMEOUT:
                connection.abort()  # the peer has not read the remaining data
            elif connection.flow in silent or (
                connection.partial_since
                and not connection.office
                and now - connection.partial_since > FIRST_MESSAGE_TIMEOUT
            ):
                connection.close()
        self.loop.call_later(CONNECTION_CHECK_INTERVAL, self._check_connections)

    def _schedule_flush(self) -> None:
        """Flush after the loop has read all pending input, so that decisions use the latest events."""
        if not self.flush_scheduled:
            self.flush_scheduled = True
            self.loop.call_soon(self._flush)

    def _flush(self) -> None:
        self.flush_scheduled = False
        calls = self.calls
        for effect in calls.flush(self.now()):
            if isinstance(effect, fx.Dial):
                self.links.request_link(effect.address)
            elif isinstance(effect, fx.Log):
                self.log(effect.level, effect.event, **effect.fields)
        for flow, count in calls.take_refusals().items():
            self.caller_limits.charge_refusals(self.now(), flow, count)
        self._write_outgoing()
        due = calls.next_due()
        if due is not None and (self.timer is None or due < self.timer_at):
            if self.timer is not None:
                self.timer.cancel()
            self.timer_at = due
            self.timer = self.loop.call_later(max(due - self.now(), 0) / SECOND, self._run_timers)
        self._end_if_idle()

    def _write_outgoing(self) -> None:
        """Write the bytes of a batch, joined for each connection."""
        if not self.calls.outgoing:
            return
        batches: dict[int, list[bytes]] = {}
        for flow, data in self.calls.outgoing:
            batches.setdefault(flow, []).append(data)
        self.calls.outgoing.clear()
        for flow, parts in batches.items():
            connection = self.connections.get(flow)
            if connection is not None:
                connection.send(parts[0] if len(parts) == 1 else b"".join(parts))

    def _run_timers(self) -> None:
        self.timer = None
        self.calls.run_timers(self.now())
        self._flush()
