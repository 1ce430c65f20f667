"""Checks the five call rules against captures and against facts of the test day that no call server knows.

The rules in terms of the messages in a capture (docs/protocol.md describes them in full):

1. Each received INVITE gets exactly one final response before the caller's give-up time, or, if that time
   falls into a stall of the server process, before the end of the stall.  No set-up of the call is sent after
   the final response.  A cancelled call needs a final response as well; a call whose caller's connection was
   closed does not.
2. No set-up of a call is sent while another one is pending.  A set-up is pending until its final response,
   its release, the loss of its connection, or one release wait after its CANCEL.
3. No set-up is sent to an exchange after the drain grace has passed since the register reported to this
   server that the exchange is draining or gone.  Since a registry can give wrong information, its report
   counts only while the exchange really was unavailable on the test day.
4. In any window, the set-ups to a cold exchange, from all servers that were informed of its start, stay
   within its cold-start limit.
5. After a set-up that was cancelled, reset or timed out, the next set-up of that call waits for the release.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

import httptools
import msgspec

from eiderstep.audit.capture import Capture, Record
from eiderstep.audit.eureka import RegistryResponse
from eiderstep.audit.eureka import ResponseStream as EurekaStream
from eiderstep.sip.fields import read_give_up_time
from eiderstep.sip.message import Message
from eiderstep.sip.parser import BadMessage, Parser, parse_datagram

SECOND = 1_000_000_000
NEVER = 2**63


@dataclass(frozen=True)
class ColdStart:
    """One actual start of an exchange.

    `offices`: its addresses as used by the servers.  `started` is in ns.  `capacity` is the number of set-ups
    per second when warm.
    """

    offices: frozenset[str]
    started: int
    capacity: float


@dataclass(frozen=True)
class UnavailablePeriod:
    """A period (ns) during which one exchange actually took no new work.  `offices`: its addresses."""

    offices: frozenset[str]
    since: int
    until: int


@dataclass(frozen=True)
class Stall:
    """A period (ns) during which a server process did not run.  `node` "" stands for all servers."""

    since: int
    until: int
    node: str = ""


@dataclass(frozen=True)
class Facts:
    """The parameters of the rules, and the facts that only the test day knows.  Times in ns."""

    release_wait: int
    drain_grace: int
    default_give_up_time: int = 3600 * SECOND  # give-up time of a call that states none
    cold_share: float = 0.3
    cold_time: int = 0
    cold_multiple: float = 0.0
    cold_window: int = 2 * SECOND
    cold_slack: int = 3  # set-ups allowed above the limit, for random variation
    cold_starts: tuple[ColdStart, ...] = ()
    unavailable: tuple[UnavailablePeriod, ...] = ()  # checked only if a registry supplies the exchange list
    stalls: tuple[Stall, ...] = ()


@dataclass(frozen=True)
class Breach:
    """One breach of a rule: time (ns), call server, and the call or exchange concerned."""

    rule: int
    time: int
    node: str
    call: str
    text: str

    def __str__(self) -> str:
        return f"rule {self.rule} at {self.time / SECOND:.3f} s, {self.node}, call {self.call}: {self.text}"


@dataclass
class AuditReport:
    """The result of an audit.  `finals` counts final responses by status."""

    breaches: list[Breach] = field(default_factory=list)
    calls: int = 0
    answered: int = 0
    set_ups: int = 0
    stood: int = 0
    finals: dict[int, int] = field(default_factory=dict)
    # By server, exchange address and the time (ns) when a registry reported the exchange to the server as
    # unavailable: how many ms later the last set-up was sent there, 0 if none was sent.
    departures: dict[tuple[str, str, int], float] = field(default_factory=dict)

    @property
    def passed(self) -> bool:
        return not self.breaches


@dataclass(eq=False)
class _Call:
    node: str
    session: str
    connection: str
    received_at: int
    deadline: int
    answered_at: int = 0  # time of its final response
    status: int = 0
    response: bytes = b""
    caller_gone: bool = False
    set_ups: list[_SetUp] = field(default_factory=list)


@dataclass(eq=False)
class _SetUp:
    sent_at: int
    connection: str
    call_id: str
    deadline: int
    answered_at: int = 0  # time of its final response
    stands: bool = False
    cancelled_at: int = 0
    ended_at: int = 0
    needs_release_wait: bool = False  # ended by timeout, reset or CANCEL: rule 5 applies to the next set-up


class _Auditor:
    def __init__(self, facts: Facts) -> None:
        self.facts, self.report = facts, AuditReport()
        self.parsers: dict[tuple[str, str, str], Parser] = {}
        self.register_streams: dict[str, _RegisterStream] = {}
        self.calls: dict[tuple[str, str, str], _Call] = {}  # node, connection, branch
        self.calls_by_connection: dict[tuple[str, str], list[_Call]] = {}
        self.calls_by_session: dict[tuple[str, str], list[_Call]] = {}  # node, session
        self.set_ups_by_branch: dict[tuple[str, str], _SetUp] = {}  # node, branch
        self.set_ups_by_call_id: dict[tuple[str, str], _SetUp] = {}  # node, Call-ID
        self.set_ups_by_connection: dict[tuple[str, str], list[_SetUp]] = {}
        # Node, connection, branch of INVITEs within a dialog.
        self.reinvites: set[tuple[str, str, str]] = set()
        self.registry_streams: dict[tuple[str, str], EurekaStream] = {}
        # Node, office: start as last reported by a registry.
        self.reported_starts: dict[tuple[str, str], str] = {}
        self.unavailable: dict[str, list[UnavailablePeriod]] = {}
        for period in facts.unavailable:
            for office in period.offices:
                self.unavailable.setdefault(office, []).append(period)
        # Node, office: when the office was first reported as not up.
        self.unavailable_since: dict[tuple[str, str], int] = {}
        # Node, office: when the latest start was reported to the server.
        self.start_reported_at: dict[tuple[str, str], int] = {}
        self.recent_cold_set_ups: dict[int, deque[int]] = {}  # times within the window, by start
        self.breached_starts: set[int] = set()  # rule 4 is reported once for each start
        self.killed_at: dict[str, int] = {}  # calls with a later deadline need no final response
        self.known_offices: set[tuple[str, str]] = set()

    def add_breach(self, rule: int, time: int, node: str, call: str, text: str) -> None:
        self.report.breaches.append(Breach(rule, time, node, call, text))

    def process_record(self, record: Record) -> None:
        if record.event == "killed":
            self.killed_at[record.node] = record.time
        elif record.label == "register":
            stream = self.register_streams.get(record.node)
            if stream is None:
                stream = self.register_streams[record.node] = _RegisterStream()
            for event in stream.feed(record.data.encode("latin-1")):
                self.process_register_event(record.time, record.node, event)
        elif record.label.startswith("registry "):
            key = (record.node, record.peer)
            eureka = self.registry_streams.get(key) or self.registry_streams.setdefault(key, EurekaStream())
            for response in eureka.feed(record.event, record.data.encode("latin-1")):
                self.process_registry_response(record.time, record.node, response)
        elif record.event == "down":
            self.connection_closed(record)
        elif record.event in ("in", "out"):
            for message in self.parse_messages(record):
                self.process_message(record, message)

    def parse_messages(self, record: Record) -> list[Message]:
        data = record.data.encode("latin-1")
        if record.label.startswith("udp "):
            item = parse_datagram(data)
            return [item] if isinstance(item, Message) else []
        key = (record.node, record.label, record.event)
        parser = self.parsers.get(key)
        if parser is None:
            parser = self.parsers[key] = Parser()
        # A malformed INVITE must get one final response too.  A message that is no response and has no Via
        # header cannot be answered and is skipped.
        found = [item.message if isinstance(item, BadMessage) else item for item in parser.feed(data)]
        return [m for m in found if m is not None and ("via" in m.headers or m.status)]

    def process_message(self, record: Record, message: Message) -> None:
        incoming = record.event == "in"
        if message.method == "INVITE" and message.to_tag and incoming:
            # Not a new call, but it gets a final response too.
            self.reinvites.add((record.node, record.label, message.branch))
        if message.method == "INVITE" and not message.to_tag:
            if incoming:
                self.call_received(record, message)
            else:
                self.set_up_sent(record, message)
        elif message.status >= 200 and message.cseq_method == "INVITE":
            if incoming:
                self.final_response_received(record, message)
            else:
                self.final_response_sent(record, message)
        elif message.method == "CANCEL" and not incoming:
            set_up = self.set_ups_by_branch.get((record.node, message.branch))
            if set_up is not None and not set_up.cancelled_at:
                set_up.cancelled_at = record.time
        elif message.method == "BYE":
            set_up = self.set_ups_by_call_id.get((record.node, message.call_id))
            if set_up is not None and not set_up.ended_at:
                set_up.ended_at = record.time
                set_up.needs_release_wait = not incoming

    # -- rule 1 --------------------------------------------------------------------------------------------

    def call_received(self, record: Record, message: Message) -> None:
        key = (record.node, record.label, message.branch)
        if key in self.calls:
            return  # a retransmission
        session = message.get("session-id").partition(";")[0] or message.call_id
        patience = read_give_up_time(message, self.facts.default_give_up_time)
        call = _Call(record.node, session, record.label, record.time, record.time + patience)
        self.calls[key] = call
        self.calls_by_connection.setdefault((record.node, record.label), []).append(call)
        self.calls_by_session.setdefault((record.node, session), []).append(call)
        self.report.calls += 1

    def final_response_sent(self, record: Record, message: Message) -> None:
        call = self.calls.get((record.node, record.label, message.branch))
        if call is None and (record.node, record.label, message.branch) in self.reinvites:
            return
        if call is None:
            self.add_breach(
                1,
                record.time,
                record.node,
                message.call_id,
                f"final response {message.status} to an unknown call",
            )
            return
        encoded = message.encode()
        if call.answered_at:
            retransmitted = record.label.startswith("udp ") and encoded == call.response
            if not retransmitted:
                first = f"{call.status} at {call.answered_at / SECOND:.3f} s"
                self.add_breach(
                    1,
                    record.time,
                    record.node,
                    call.session,
                    f"second final response {message.status}, after {first}",
                )
            return
        call.answered_at, call.status, call.response = record.time, message.status, encoded
        self.report.answered += 1
        self.report.stood += message.status < 300
        self.report.finals[message.status] = self.report.finals.get(message.status, 0) + 1
        deadline = call.deadline
        for stall in self.facts.stalls:
            if stall.since <= call.deadline <= stall.until and stall.node in ("", call.node):
                deadline = max(deadline, stall.until)
        if record.time > deadline and not call.caller_gone:
            delay_ms = (record.time - call.deadline) / 1e6
            self.add_breach(
                1,
                record.time,
                record.node,
                call.session,
                f"final response {message.status} sent {delay_ms:.1f} ms after the deadline",
            )

    # -- rules 2 to 5 --------------------------------------------------------------------------------------

    def set_up_sent(self, record: Record, message: Message) -> None:
        key = (record.node, message.branch)
        if key in self.set_ups_by_branch:
            return  # a retransmission
        session = message.get("session-id").partition(";")[0] or message.call_id
        now, wait = record.time, self.facts.release_wait
        self.report.set_ups += 1
        call = self.find_call(record.node, session)
        earlier = call.set_ups if call is not None else []
        for previous in earlier:
            ended_at, needs_wait = self.end_of(previous, now)
            if not ended_at:
                text = f"set-up to {record.peer} while that of {previous.sent_at / SECOND:.3f} s is pending"
                self.add_breach(2, now, record.node, session, text)
            elif needs_wait and now < ended_at + wait:
                elapsed_ms = (now - ended_at) / 1e6
                self.add_breach(
                    5,
                    now,
                    record.node,
                    session,
                    f"next set-up sent {elapsed_ms:.1f} ms after the previous one ended",
                )
        if call is None:
            self.add_breach(1, now, record.node, session, f"set-up to {record.peer} without a received call")
        elif call.answered_at:
            self.add_breach(1, now, record.node, session, f"set-up to {record.peer} after the final response")
        set_up = _SetUp(
            now,
            record.label,
            message.call_id,
            now + read_give_up_time(message, self.facts.default_give_up_time),
        )
        earlier.append(set_up)
        self.set_ups_by_branch[key] = self.set_ups_by_call_id[record.node, message.call_id] = set_up
        self.set_ups_by_connection.setdefault((record.node, record.label), []).append(set_up)
        self.check_drain_grace(now, record, session)
        self.check_cold_limit(now, record)

    def find_call(self, node: str, session: str) -> _Call | None:
        """The call that a set-up belongs to.

        One session can reach an exchange twice, over the direct route and then over a tandem.  Then it is the
        latest call that has no final response yet.
        """
        calls = self.calls_by_session.get((node, session), [])
        return next((c for c in reversed(calls) if not c.answered_at), calls[-1] if calls else None)

    def end_of(self, set_up: _SetUp, now: int) -> tuple[int, bool]:
        """When a set-up ended (0 while it is pending), and whether the next one must wait for its release."""
        if set_up.ended_at:
            return set_up.ended_at, set_up.needs_release_wait
        if set_up.stands:
            return 0, False
        if set_up.cancelled_at:
            return set_up.cancelled_at if now >= set_up.cancelled_at + self.facts.release_wait else 0, True
        return (set_up.deadline, True) if now >= set_up.deadline else (0, False)

    def final_response_received(self, record: Record, message: Message) -> None:
        set_up = self.set_ups_by_branch.get((record.node, message.branch))
        if set_up is None or set_up.answered_at:
            return
        set_up.answered_at = record.time
        if message.status < 300:
            set_up.stands = True
        else:
            set_up.ended_at, set_up.needs_release_wait = record.time, bool(set_up.cancelled_at)

    def connection_closed(self, record: Record) -> None:
        for set_up in self.set_ups_by_connection.pop((record.node, record.label), []):
            if not set_up.ended_at:
                set_up.ended_at, set_up.needs_release_wait = record.time, True
        for call in self.calls_by_connection.pop((record.node, record.label), []):
            call.caller_gone = True

    def process_register_event(self, time: int, node: str, event: dict[str, object]) -> None:
        items = event.get("entries")
        entries = [r for r in items if isinstance(r, dict)] if isinstance(items, list) else []
        listed = {str(r.get("office")) for r in entries}
        for entry in entries:
            office, age = str(entry.get("office")), entry.get("age")
            if entry.get("state") == "up":
                self.unavailable_since.pop((node, office), None)
                if isinstance(age, int | float):
                    self.start_reported_at[node, office] = time
            else:
                self.unavailable_since.setdefault((node, office), time)
        if event.get("kind") == "complete":
            seen = {office for known_node, office in self.known_offices if known_node == node}
            for office in seen - listed:
                self.unavailable_since.setdefault((node, office), time)
        self.known_offices.update((node, office) for office in listed)

    def process_registry_response(self, time: int, node: str, response: RegistryResponse) -> None:
        """Process one response of a registry.

        A report that an exchange is not up counts only while the exchange really is unavailable.
        """
        for office, instance in response.instances.items():
            self.known_offices.add((node, office))
            if instance.up and not instance.removed:
                previous_start = self.reported_starts.get((node, office))
                if instance.started != previous_start:
                    self.reported_starts[node, office] = instance.started
                    if previous_start is not None:
                        self.start_reported_at[node, office] = time
                if not any(
                    period.since <= time < period.until for period in self.unavailable.get(office, ())
                ):
                    self.unavailable_since.pop((node, office), None)
        for office, periods in self.unavailable.items():
            if (node, office) not in self.known_offices or (node, office) in self.unavailable_since:
                continue
            listed = response.instances.get(office)
            reported_down = response.is_full if listed is None else listed.removed or not listed.up
            if reported_down and any(period.since <= time < period.until for period in periods):
                self.unavailable_since[node, office] = time
                self.report.departures[node, office, time] = 0.0

    def check_drain_grace(self, now: int, record: Record, session: str) -> None:
        since = self.unavailable_since.get((record.node, record.peer))
        if since is not None and (record.node, record.peer, since) in self.report.departures:
            self.report.departures[record.node, record.peer, since] = (now - since) / 1e6
        if since is not None and now > since + self.facts.drain_grace:
            delay_ms = (now - since) / 1e6
            self.add_breach(
                3,
                now,
                record.node,
                session,
                f"set-up to {record.peer} {delay_ms:.0f} ms after it was reported as unavailable",
            )

    def check_cold_limit(self, now: int, record: Record) -> None:
        facts = self.facts
        for number, start in enumerate(facts.cold_starts):
            age = now - start.started
            if (
                record.peer not in start.offices
                or not 0 <= age < facts.cold_time
                or number in self.breached_starts
            ):
                continue
            if self.start_reported_at.get((record.node, record.peer), 0) < start.started:
                continue  # the server has not been informed of this start yet
            recent = self.recent_cold_set_ups.setdefault(number, deque())
            recent.append(now)
            while recent[0] <= now - facts.cold_window:
                recent.popleft()
            share = facts.cold_share + (1 - facts.cold_share) * age / facts.cold_time
            limit = (
                facts.cold_multiple * start.capacity * share * facts.cold_window / SECOND + facts.cold_slack
            )
            if facts.cold_multiple and len(recent) > limit:
                self.breached_starts.add(number)
                window = f"{facts.cold_window / SECOND:g} s"
                text = f"{len(recent)} set-ups in {window} to a cold exchange, limit {limit:.1f}"
                self.add_breach(4, now, record.node, record.peer, text)

    def finish(self) -> AuditReport:
        """Check that every call whose caller stayed connected has a final response, and return the result."""
        for call in self.calls.values():
            if (
                not call.answered_at
                and not call.caller_gone
                and call.deadline < self.killed_at.get(call.node, NEVER)
            ):
                self.add_breach(
                    1,
                    call.deadline,
                    call.node,
                    call.session,
                    f"received at {call.received_at / SECOND:.3f} s, no final response",
                )
        self.report.breaches.sort(key=lambda b: b.time)
        return self.report


class _RegisterStream:
    """Decodes the events that one server receives from the register."""

    def __init__(self) -> None:
        self.parser = httptools.HttpResponseParser(self)
        self.buffer = b""

    def on_body(self, body: bytes) -> None:
        self.buffer += body

    def feed(self, data: bytes) -> list[dict[str, object]]:
        if data.startswith(b"HTTP/1.1 "):  # a new connection
            self.parser, self.buffer = httptools.HttpResponseParser(self), b""
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError:
            return []
        *blocks, self.buffer = self.buffer.split(b"\n\n")
        events: list[dict[str, object]] = []
        for block in blocks:
            if block.startswith(b"data:"):
                try:
                    events.append(msgspec.json.decode(block[5:], type=dict[str, object]))
                except msgspec.MsgspecError:
                    continue
        return events


def audit_capture(capture: Capture, facts: Facts) -> AuditReport:
    """Audit a complete capture, whose records must be ordered by time."""
    auditor = _Auditor(facts)
    for record in capture:
        auditor.process_record(record)
    return auditor.finish()
