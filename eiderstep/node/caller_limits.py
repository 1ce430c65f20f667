"""Limits on callers: open connections, silent connections, message rates.  No I/O, no clock."""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Callable

from eiderstep.trust.pace import LeakyBucket

SECOND = 1_000_000_000
MS = 1_000_000
FIRST_MESSAGE_TIMEOUT = 2_500 * MS  # ns; a new connection has to send a complete message within this time
# Shares of the file descriptors for callers' connections: at most, and at least; the platform says that usual
# callers hold no more than the latter.
CALLER_DESCRIPTOR_SHARE, MIN_CALLER_DESCRIPTOR_SHARE = 0.6, 1 / 3
# Descriptors for the process itself, the polls of the change log, and connections that are being closed.
RESERVED_DESCRIPTORS = 32
SOURCE_RATE = 1000  # messages/s and burst of one source; the busiest legitimate source stays far below it
# Messages that a refused set-up counts for in addition: a caller that goes on at a high rate does not heed
# the pauses that its refusals name.
REFUSAL_COST = 2
# Messages/s and burst of all sources together; beyond it sources above SOURCE_ALLOWANCE are read slowly.
TOTAL_RATE = 3000
SOURCE_ALLOWANCE = 200  # backlog (messages) that a source may have while TOTAL_RATE is exceeded
MAX_READ_PAUSE = SECOND // 4  # ns; short enough that even a flooding source receives its refusals in time
MAX_SOURCES = 4096  # sources whose message rate is tracked


WEIGHT_OPEN_SET_UP = 2  # of a connection that is never closed for others


class CallerConnection:
    """One connection from a caller."""

    __slots__ = ("accepted_at", "has_sent_message", "source")

    def __init__(self, source: str, now: int) -> None:
        self.source, self.accepted_at = source, now
        self.has_sent_message = False


class CallerLimits:
    """Connections from callers, least recently used first, and the message rates of their sources."""

    def __init__(self, sockets: int) -> None:
        self.sockets = sockets
        self.max_connections = 0
        self.reserve_links(0)
        self.connections: OrderedDict[int, CallerConnection] = OrderedDict()
        self.connections_by_source: Counter[str] = Counter()
        self.source_buckets: OrderedDict[str, LeakyBucket] = OrderedDict()
        self.total_bucket = LeakyBucket(TOTAL_RATE)

    def reserve_links(self, links: int) -> None:
        """Leave descriptors for so many links to offices."""
        left = self.sockets - RESERVED_DESCRIPTORS - links
        least = int(self.sockets * MIN_CALLER_DESCRIPTOR_SHARE)
        self.max_connections = max(min(left, int(self.sockets * CALLER_DESCRIPTOR_SHARE)), least)

    def admit(self, now: int, flow: int, source: str, weight: Callable[[int], int]) -> int | None:
        """Register a new connection; return the flow of the connection to close for it, or None.

        `weight` of a flow: 0 if it carries no call, 1 if it has standing calls, 2 if it has an open set-up.

        Without this limit, hundreds of silent or permanently held connections would use up the file
        descriptors, and no new connection to a caller, office or change log could be opened.
        """
        self.connections[flow] = CallerConnection(source, now)
        self.connections_by_source[source] += 1
        if len(self.connections) <= self.max_connections:
            return None
        return self._choose_victim(flow, weight)

    def surplus(self, weight: Callable[[int], int]) -> list[int]:
        """Connections to close because more descriptors have been reserved for links."""
        spare = [flow for flow in self.connections if weight(flow) < WEIGHT_OPEN_SET_UP]
        return sorted(spare, key=self._sort_key(weight))[
            : max(len(self.connections) - self.max_connections, 0)
        ]

    def _choose_victim(self, new_flow: int, weight: Callable[[int], int]) -> int:
        """The connection to close for a new one.

        Connections that have sent nothing are closed first, then those of the lowest weight, of them those of
        the source with most connections, the least recently used first.  One with an open set-up is never
        closed; if all others have one, the new connection itself is returned.
        """
        others = [flow for flow in self.connections if flow != new_flow]
        silent = next((flow for flow in others if not self.connections[flow].has_sent_message), None)
        if silent is not None:
            return silent
        lightest = min(others, key=self._sort_key(weight), default=new_flow)
        return lightest if weight(lightest) < WEIGHT_OPEN_SET_UP else new_flow

    def _sort_key(self, weight: Callable[[int], int]) -> Callable[[int], tuple[int, int]]:
        return lambda flow: (weight(flow), -self.connections_by_source[self.connections[flow].source])

    def message_received(self, flow: int) -> None:
        """Record a complete message on a connection."""
        connection = self.connections.get(flow)
        if connection is not None:
            connection.has_sent_message = True
            self.connections.move_to_end(flow)

    def charge_messages(self, now: int, flow: int, count: int) -> int:
        """Charge `count` received messages to a connection's source; return how long to stop reading (ns).

        A source that writes at full speed keeps the process busy with refusing its messages, and calls of
        other sources wait for seconds.  While its connection is not read, backpressure holds its messages in
        its own kernel's buffer.  A source with over a thousand messages a second is delayed by up to a
        quarter of a second at a time.
        """
        connection = self.connections.get(flow)
        if connection is None:
            return 0
        bucket = self._bucket(connection.source)
        bucket.add(now, count)
        self.total_bucket.add(now, count)
        excess = max(
            bucket.level - SOURCE_RATE,
            min(self.total_bucket.level - TOTAL_RATE, bucket.level - SOURCE_ALLOWANCE),
            0.0,
        )
        return min(int(excess / SOURCE_RATE * SECOND), MAX_READ_PAUSE)

    def charge_refusals(self, now: int, flow: int, count: int) -> None:
        """Charge `count` refusals to a connection's source; its next messages may be delayed for it."""
        connection = self.connections.get(flow)
        if connection is not None:
            self._bucket(connection.source).add(now, REFUSAL_COST * count)

    def _bucket(self, source: str) -> LeakyBucket:
        bucket = self.source_buckets.get(source)
        if bucket is None:
            if len(self.source_buckets) >= MAX_SOURCES:
                self.source_buckets.popitem(last=False)
            bucket = self.source_buckets[source] = LeakyBucket(SOURCE_RATE)
        self.source_buckets.move_to_end(source)
        return bucket

    def remove(self, flow: int) -> None:
        """Remove a closed connection; the rate of its source stays tracked."""
        connection = self.connections.pop(flow, None)
        if connection is None:
            return
        self.connections_by_source[connection.source] -= 1
        if not self.connections_by_source[connection.source]:
            del self.connections_by_source[connection.source]

    def silent_connections(self, now: int) -> list[int]:
        """Connections that have sent no complete message within FIRST_MESSAGE_TIMEOUT."""
        return [
            flow
            for flow, connection in self.connections.items()
            if not connection.has_sent_message and now - connection.accepted_at >= FIRST_MESSAGE_TIMEOUT
        ]
