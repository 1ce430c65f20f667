"""Admission control and rate limits for each source of traffic.  No I/O, no clock.

A source is identified by `Party.source`: an address on a plain link, an authenticated name over TLS.  There
are four limits, in the order in which they take effect:
- Connections above the allowed number are closed at once.
- Requests that begin something and exceed the message rate are answered 503 with Retry-After.
- Above `SLOW_DOWN_FACTOR` times that rate, the connections of the source are read more slowly, so that TCP
  flow control holds the sender back.
- A connection that keeps sending unreadable messages is closed, and its source may connect again only after a
  pause that doubles each time.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from eiderstep.config.schema import SourceLimits
from eiderstep.trust.pace import LeakyBucket

SECOND = 1_000_000_000
# As a multiple of the message rate: a source that heeds Retry-After does not reach it.
SLOW_DOWN_FACTOR = 2
FIRST_PAUSE, MAX_PAUSE = SECOND, 64 * SECOND  # after a closure for faults; doubles each time (ns)
FAULT_MEMORY = 300 * SECOND  # without a fault for this long, faults and pause are reset (ns)
HANDSHAKE_WEIGHT = 5  # a TLS handshake costs about as much as this many messages
UNKNOWN_RATE_DIVISOR = 16  # an unknown source has the message rate of a known one divided by this
MAX_SOURCES = 16_384  # sources kept in memory; those without a connection are evicted first


class Verdict(Enum):
    """How to handle a message."""

    TAKE = auto()
    REFUSE = auto()  # answer initial requests with 503, process all other messages
    SLOW = auto()  # as REFUSE, and pause reading from this connection
    CLOSE = auto()


@dataclass(slots=True)
class Flow:
    """One inbound connection.  `exempt`: of an exchange; `message_seen`: it has sent a complete message."""

    source: Source
    exempt: bool
    message_seen: bool = False


class Source(LeakyBucket):
    """The state of one source; the bucket counts its messages."""

    __slots__ = ("faults", "flows", "last_fault_at", "name", "pause", "paused_until", "silent_flows")

    def __init__(self, name: str, rate: float) -> None:
        super().__init__(rate)
        self.name = name
        self.flows = self.silent_flows = 0  # connections; those without a message
        self.faults, self.last_fault_at = 0, 0
        self.pause, self.paused_until = FIRST_PAUSE, 0


class SourceLimiter:
    """The limits of all sources of one call server.

    Callers and unknown sources share `connections` less the reserved part; exchanges may use all of it.
    Without that part, callers or strangers that fill the table would keep exchanges out, and a lost link of
    an exchange cuts calls.  Where callers need more than the rest, raise `limits.connections`.
    """

    def __init__(self, limits: SourceLimits, connections: int) -> None:
        self.limits, self.connections = limits, connections
        self.sources: OrderedDict[str, Source] = OrderedDict()
        self.flows: dict[int, Flow] = {}
        self.non_exchange_flows = 0

    # -- connections ---------------------------------------------------------------------------------------

    def admit_connection(
        self, now: int, flow: int, name: str, exchange: bool, known: bool, handshake: bool = False
    ) -> str:
        """Admit an inbound connection; returns the reason for a refusal, empty where it is admitted.

        `handshake`: a TLS handshake follows.  It takes half a millisecond of work for any client, known or
        not, so it counts as `HANDSHAKE_WEIGHT` messages.  Where hundreds of peers behind one address
        reconnect at once, those above the rate of that address are admitted a second later.
        """
        limits = self.limits
        if len(self.flows) >= self.connections:
            return "too many connections"
        source = self._get_source(name, known)
        if not exchange:
            if self.non_exchange_flows >= self.connections * (1 - limits.reserved):
                return "too many connections"
            if now < source.paused_until:
                return "source paused"
            if handshake and source.add(now, HANDSHAKE_WEIGHT) > 1.0:
                return "too many handshakes of one source"
            if source.flows >= limits.connections:
                return "too many connections of one source"
            if source.silent_flows >= limits.silent:
                return "too many silent connections of one source"
            self.non_exchange_flows += 1
        self.flows[flow] = Flow(source, exchange)
        source.flows += 1
        source.silent_flows += 1
        return ""

    def mark_active(self, flow: int) -> None:
        """A connection has sent a complete message; it no longer counts as silent."""
        entry = self.flows.get(flow)
        if entry is not None and not entry.message_seen:
            entry.message_seen = True
            entry.source.silent_flows -= 1

    def connection_closed(self, flow: int) -> None:
        entry = self.flows.pop(flow, None)
        if entry is not None:
            entry.source.flows -= 1
            entry.source.silent_flows -= not entry.message_seen
            self.non_exchange_flows -= not entry.exempt

    # -- messages ------------------------------------------------------------------------------------------

    def check_message(self, now: int, flow: int) -> Verdict:
        """Count a complete message against its source.

        Flows that were not admitted here are links that we dialled.  They have no limit, as the peer is known
        and sends answers.
        """
        entry = self.flows.get(flow)
        if entry is None:
            return Verdict.TAKE
        backlog = entry.source.add(now)
        if backlog <= 1.0:  # allows a burst of one second's worth of messages
            return Verdict.TAKE
        # If an exchange were read slowly, answers and releases of all its calls would be late.  Above its
        # rate it only gets 503, which exchanges handle.
        return Verdict.SLOW if backlog > SLOW_DOWN_FACTOR and not entry.exempt else Verdict.REFUSE

    def read_pause(self, flow: int) -> int:
        """How long to pause reading a flow whose verdict was SLOW (ns)."""
        source = self.flows[flow].source
        return int(max(source.level / source.rate - 1.0, 0.0) * SECOND) + SECOND // 100

    def retry_after(self, flow: int) -> int:
        """The Retry-After for a source above its rate (ns)."""
        source = self.flows[flow].source
        return max(int(source.level / source.rate * SECOND), SECOND // 10)

    def record_fault(self, now: int, flow: int, busy: bool) -> Verdict:
        """Count an unreadable message or one from an unknown source.  `busy`: the connection has calls.

        A closed connection loses its calls, and a peer with one odd header would be cut off for it.
        Therefore connections of exchanges, and those that have calls, are never closed for faults.
        """
        entry = self.flows.get(flow)
        if entry is None:
            return Verdict.TAKE
        source = entry.source
        if now - source.last_fault_at > FAULT_MEMORY:
            source.faults, source.pause = 0, FIRST_PAUSE
        source.faults, source.last_fault_at = source.faults + 1, now
        if source.faults < self.limits.faults or busy or entry.exempt:
            return Verdict.TAKE
        if now >= source.paused_until:  # one pause for all connections closed together
            source.paused_until = now + source.pause
            source.pause = min(2 * source.pause, MAX_PAUSE)
        return Verdict.CLOSE

    # -- memory --------------------------------------------------------------------------------------------

    def _get_source(self, name: str, known: bool) -> Source:
        source = self.sources.get(name)
        if source is None:
            if len(self.sources) >= MAX_SOURCES:
                self._evict_idle_sources()
            rate = self.limits.messages if known else max(self.limits.messages // UNKNOWN_RATE_DIVISOR, 1)
            source = self.sources[name] = Source(name, float(rate))
        else:
            self.sources.move_to_end(name)
        return source

    def _evict_idle_sources(self) -> None:
        """Remove the older half of the sources without a connection, as memory would grow without bound.

        A paused source among them may connect again before its pause ends.
        """
        idle = [name for name, source in self.sources.items() if source.flows == 0]
        for name in idle[: max(len(idle) // 2, 1)]:
            del self.sources[name]
