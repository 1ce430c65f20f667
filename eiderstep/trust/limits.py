"""What one source may cost: connections, messages, faults, and when it is let in again.  No I/O, no clock.

A source is who `Party.source` names: an address on a plain link, a proven name over TLS.  Four things bound
it, in the order in which they bite: a connection too many is closed as it comes; what begins something beyond
the rate of messages is answered 503 at once with when to come back; beyond `FLOOD` times that rate its
connections are read more slowly, which costs us nothing; and one that goes on sending what cannot be read is
closed, and its source let in again after a pause that doubles.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum, auto

from eiderstep.config.schema import SourceLimits
from eiderstep.trust.pace import Bucket

SECOND = 1_000_000_000
FLOOD = 2  # times the rate of messages: no honest source sends so much after it was told to come back
PAUSE, LONGEST = SECOND, 64 * SECOND  # after a source was closed for its faults, doubling
FORGIVEN = 300 * SECOND  # a source without a fault for so long begins anew
HANDSHAKE = 5  # messages that one costs about as much as
STRANGERS = 16  # a stranger's rate is so many times lower than a known source's
SOURCES = 16_384  # remembered at most; those without a connection go first


class Verdict(Enum):
    """What is done with a message."""

    TAKE = auto()
    REFUSE = auto()  # answer what begins something with 503, take the rest
    SLOW = auto()  # take it as REFUSE, and read no more from this connection for a while
    CLOSE = auto()


@dataclass(slots=True)
class Flow:
    """One connection: its source, and whether it has ever said a whole message."""

    source: Source
    exempt: bool
    open: bool = False


class Source(Bucket):
    """What is remembered of one source.  What is poured are its messages."""

    __slots__ = ("faults", "faults_at", "flows", "name", "pause", "until", "waiting")

    def __init__(self, name: str, rate: float) -> None:
        super().__init__(rate)
        self.name = name
        self.flows = self.waiting = 0  # connections; those that have said nothing yet
        self.faults, self.faults_at = 0, 0
        self.pause, self.until = PAUSE, 0


class Limiter:
    """All sources of one call server.

    Callers and strangers share `connections` less the reserved part; exchanges have all of it.  Danger:
    without that part, callers or strangers that fill the table keep the exchanges out, whose loss cuts calls.
    Hurts where callers need more than the rest: raise `limits.connections`.
    """

    def __init__(self, limits: SourceLimits, connections: int) -> None:
        self.limits, self.connections = limits, connections
        self.sources: OrderedDict[str, Source] = OrderedDict()
        self.flows: dict[int, Flow] = {}
        self.others = 0  # connections that are no exchange's

    # -- connections ---------------------------------------------------------------------------------------

    def connect(
        self, now: int, flow: int, name: str, exchange: bool, known: bool, handshake: bool = False
    ) -> str:
        """A connection came in.  Why it is closed at once; empty where it may stay.

        `handshake`: it has to prove itself first, which costs us some messages' worth of work.  Danger: that
        work is done for whoever connects, half a millisecond each.  Hurts an address behind which hundreds of
        peers come back at once: those over its rate are let in a second later.
        """
        limits = self.limits
        if len(self.flows) >= self.connections:
            return "too many connections"
        source = self._source(name, known)
        if not exchange:
            if self.others >= self.connections * (1 - limits.reserved):
                return "too many connections"
            if now < source.until:
                return "source paused"
            if handshake and source.pour(now, HANDSHAKE) > 1.0:
                return "too many handshakes of one source"
            if source.flows >= limits.connections:
                return "too many connections of one source"
            if source.waiting >= limits.silent:
                return "too many silent connections of one source"
            self.others += 1
        self.flows[flow] = Flow(source, exchange)
        source.flows += 1
        source.waiting += 1
        return ""

    def spoke(self, flow: int) -> None:
        """A connection has said a whole message."""
        one = self.flows.get(flow)
        if one is not None and not one.open:
            one.open = True
            one.source.waiting -= 1

    def closed(self, flow: int) -> None:
        one = self.flows.pop(flow, None)
        if one is not None:
            one.source.flows -= 1
            one.source.waiting -= not one.open
            self.others -= not one.exempt

    # -- messages ------------------------------------------------------------------------------------------

    def message(self, now: int, flow: int) -> Verdict:
        """A whole message came.  Flows that were never introduced (links that we dialled) are not bounded:
        we know whom we dialled, and what it sends are answers."""
        one = self.flows.get(flow)
        if one is None:
            return Verdict.TAKE
        over = one.source.pour(now)
        if over <= 1.0:  # a second's worth at once is no flood
            return Verdict.TAKE
        # Danger: an exchange that is read slowly answers and releases late, for all its calls.  So it alone
        # is never slowed; beyond its rate it gets 503, which it knows how to deal with.
        return Verdict.SLOW if over > FLOOD and not one.exempt else Verdict.REFUSE

    def wait(self, flow: int) -> int:
        """How long until a flow that is read slowly is read again (ns)."""
        source = self.flows[flow].source
        return int(max(source.level / source.rate - 1.0, 0.0) * SECOND) + SECOND // 100

    def come_back(self, flow: int) -> int:
        """When a source that is over its rate should try again (ns)."""
        source = self.flows[flow].source
        return max(int(source.level / source.rate * SECOND), SECOND // 10)

    def fault(self, now: int, flow: int, busy: bool) -> Verdict:
        """A message that cannot be read, or one from a stranger.  `busy`: calls stand on that connection.

        Danger: a source closed for its faults loses its calls; a peer with one odd header would be cut off.
        So an exchange's connections, and those on which calls stand, are never closed for faults.
        """
        one = self.flows.get(flow)
        if one is None:
            return Verdict.TAKE
        source = one.source
        if now - source.faults_at > FORGIVEN:
            source.faults, source.pause = 0, PAUSE
        source.faults, source.faults_at = source.faults + 1, now
        if source.faults < self.limits.faults or busy or one.exempt:
            return Verdict.TAKE
        if now >= source.until:  # one pause for all its connections that are closed now
            source.until = now + source.pause
            source.pause = min(2 * source.pause, LONGEST)
        return Verdict.CLOSE

    # -- memory --------------------------------------------------------------------------------------------

    def _source(self, name: str, known: bool) -> Source:
        source = self.sources.get(name)
        if source is None:
            if len(self.sources) >= SOURCES:
                self._forget()
            rate = self.limits.messages if known else max(self.limits.messages // STRANGERS, 1)
            source = self.sources[name] = Source(name, float(rate))
        else:
            self.sources.move_to_end(name)
        return source

    def _forget(self) -> None:
        """Danger: each address that ever connected would be remembered for ever.  The older half of those
        without a connection goes; a source paused among them is let in earlier."""
        idle = [name for name, source in self.sources.items() if source.flows == 0]
        for name in idle[: max(len(idle) // 2, 1)]:
            del self.sources[name]
