"""The path of a call through call servers, from captures, as a ladder diagram or as OpenTelemetry spans.

A call is identified by its Session-ID, which call servers forward, so that captures of several servers can be
joined into one path.  Each server has a span for the incoming call, with a child span for each set-up that it
sends.  A set-up to another captured server is the parent of that server's span.  Times are those of the
captures.
"""

from __future__ import annotations

import json
from collections.abc import Iterable, Sequence
from dataclasses import dataclass, field
from pathlib import Path

from opentelemetry import trace as otel
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import IdGenerator

from eiderstep.audit import Capture, Record
from eiderstep.sip import fields
from eiderstep.sip.message import Message, uri_parts
from eiderstep.sip.parser import BadMessage, Parser, parse_datagram

MS = 1_000_000
LANE_WIDTH = 18  # columns


@dataclass(frozen=True)
class Step:
    """One message of a call: time (ns), server, remote end, and whether the server sent it."""

    time: int
    node: str
    remote: str
    outgoing: bool
    message: Message

    @property
    def summary(self) -> str:
        """The method or status, with the cause and the wait of a 503 if present."""
        m = self.message
        text = m.method if m.method else f"{m.status} {m.cseq_method}"
        protocol, cause = fields.read_reason(m)
        if cause:
            text += f" ({protocol} {cause})"
        wait = fields.read_wait(m) // MS
        return text + (f" wait {wait} ms" if wait and m.status == 503 else "")


@dataclass
class CallPath:
    """One call: its Session-ID, the called number, and all its messages in order."""

    session: str
    number: str = ""
    steps: list[Step] = field(default_factory=list)


def call_paths(capture: Capture) -> dict[str, CallPath]:
    """All calls of a capture by Session-ID, in order of their first message."""
    parsers: dict[tuple[str, str, str], Parser] = {}
    found: dict[str, CallPath] = {}
    dialogs: dict[tuple[str, str], tuple[str, str]] = {}  # node, Call-ID: session, remote end
    for record in capture:
        if record.event not in ("in", "out") or record.label.startswith("regist"):
            continue
        for message in _messages(parsers, record):
            key = (record.node, message.call_id)
            if message.method == "INVITE" and key not in dialogs:
                session = message.get("session-id").partition(";")[0] or message.call_id
                dialogs[key] = (session, remote_end(record, message))
                if session not in found:
                    found[session] = CallPath(session, uri_parts(message.uri)[0].partition(";")[0])
            if key in dialogs:
                session, remote = dialogs[key]
                found[session].steps.append(
                    Step(record.time, record.node, remote, record.event == "out", message)
                )
    return found


def _messages(parsers: dict[tuple[str, str, str], Parser], record: Record) -> list[Message]:
    data = record.data.encode("latin-1")
    if record.label.startswith("udp "):
        item = parse_datagram(data)
        return [item] if isinstance(item, Message) else []
    parser = parsers.setdefault((record.node, record.label, record.event), Parser())
    return [m for m in parser.feed(data) if not isinstance(m, BadMessage)]


def remote_end(record: Record, message: Message) -> str:
    """The remote end of an INVITE: an exchange (by the trunk group), a caller, or the server's own lines."""
    group, _ = fields.read_trunk_group(message)
    own = record.node.removeprefix("server-").partition(".")[0]
    if group:
        one, _, other = group.partition("-")
        return f"exchange {other if one == own else one}"
    return "caller" if record.event == "in" else f"lines {own}"


def find_call(found: dict[str, CallPath], wanted: str) -> CallPath:
    """Find one call by its Session-ID or a prefix of it, by a Call-ID, or by the called number (first call).

    Raises ValueError if there is no such call, or if several share a prefix of at least 4 characters.
    """
    if wanted in found:
        return found[wanted]
    matches = [p for s, p in found.items() if s.startswith(wanted)]
    if len(matches) == 1:
        return matches[0]
    if len(matches) > 1 and len(wanted) >= 4:
        raise ValueError(
            f"found {len(matches)} calls whose Session-ID begins with {wanted!r}; allowed: a longer prefix"
        )
    for path in found.values():
        if path.number == wanted or any(s.message.call_id == wanted for s in path.steps):
            return path
    raise ValueError(
        f"no call {wanted!r} among {len(found)}; allowed: a Session-ID or a prefix of it, a Call-ID, a number"
    )


def lanes(path: CallPath) -> list[str]:
    """The participants of a call, from left to right, in order of appearance."""
    order: list[str] = []
    nodes = {s.node for s in path.steps}
    for step in path.steps:
        ends = (
            [step.node, lane_of(step.remote, nodes)]
            if step.outgoing
            else [lane_of(step.remote, nodes), step.node]
        )
        order += [e for e in ends if e not in order]
    return order


def lane_of(remote: str, nodes: set[str]) -> str:
    """The lane of a remote end: for an exchange with a captured call server, the lane of that server."""
    number = remote.removeprefix("exchange ")
    servers = sorted(n for n in nodes if n.removeprefix("server-").partition(".")[0] == number)
    return servers[-1] if remote.startswith("exchange ") and servers else remote


def ladder(path: CallPath) -> str:
    """The call as a ladder diagram, with times relative to its first message.

    A message between two captured servers is drawn once, at the time of sending.  A message that arrives from
    a captured server but is not in that server's capture is drawn too, so that gaps in a capture are visible.
    """
    names, nodes = lanes(path), {step.node for step in path.steps}
    sent_keys = {_message_key(step) for step in path.steps if step.outgoing}
    first = path.steps[0].time
    rows = [f"call {path.session} to {path.number}", " " * 12 + "".join(n.center(LANE_WIDTH) for n in names)]
    for step in path.steps:
        remote = lane_of(step.remote, nodes)
        if not step.outgoing and remote in nodes and _message_key(step) in sent_keys:
            continue
        ends = (step.node, remote) if step.outgoing else (remote, step.node)
        row = arrow(names.index(ends[0]), names.index(ends[1]), len(names), step.summary)
        rows.append(f"{(step.time - first) / MS:9.1f} ms{row}")
    return "\n".join(rows)


def _message_key(step: Step) -> tuple[str, str, str, str]:
    m = step.message
    return m.call_id, m.method or str(m.status), m.get("cseq"), m.branch


def arrow(source: int, target: int, count: int, text: str) -> str:
    """The row of a ladder diagram with an arrow between two lanes."""
    cells = [" "] * (LANE_WIDTH * count)
    for i in range(count):
        cells[LANE_WIDTH * i + LANE_WIDTH // 2] = "|"
    left, right = sorted((LANE_WIDTH * source + LANE_WIDTH // 2, LANE_WIDTH * target + LANE_WIDTH // 2))
    if left == right:
        return "".join(cells).rstrip() + f"  {text} (to itself)"
    for i in range(left + 1, right):
        cells[i] = "-"
    cells[right - 1 if target > source else left + 1] = ">" if target > source else "<"
    room = right - left - 5
    shown = text if len(text) <= room else text[: room - 1] + "~"
    at = left + 3 + (room - len(shown)) // 2
    cells[at : at + len(shown)] = shown
    return "".join(cells).rstrip() + ("" if shown == text else f"  {text}")


# -- spans -------------------------------------------------------------------------------------------------


class _SequentialIds(IdGenerator):
    """Deterministic ids: the trace id comes from the Session-ID, spans are numbered."""

    def __init__(self) -> None:
        self.trace, self.spans = 1, 0

    def generate_trace_id(self) -> int:
        return self.trace

    def generate_span_id(self) -> int:
        self.spans += 1
        return self.spans


class _JsonLinesExporter(SpanExporter):
    """Writes spans to a file, one JSON object per line."""

    def __init__(self, path: Path) -> None:
        self.sink = path.open("w", encoding="utf-8")

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        for span in spans:
            self.sink.write(json.dumps(json.loads(span.to_json()), sort_keys=True) + "\n")
        return SpanExportResult.SUCCESS

    def shutdown(self) -> None:
        self.sink.close()


def write_spans(found: Iterable[CallPath], out: Path) -> int:
    """Write the spans of all calls to a file, one per line.  Returns the number of spans."""
    ids = _SequentialIds()
    provider = TracerProvider(id_generator=ids, resource=Resource({"service.name": "eiderstep"}))
    provider.add_span_processor(SimpleSpanProcessor(_JsonLinesExporter(out)))
    tracer = provider.get_tracer("eiderstep")
    for path in found:
        ids.trace = _trace_id(path.session)
        _add_spans(tracer, path)
    provider.shutdown()
    return ids.spans


def _trace_id(session: str) -> int:
    try:
        return int(session[:32], 16) or 1
    except ValueError:
        return int.from_bytes(session.encode()[:16], "big") or 1


def _add_spans(tracer: otel.Tracer, path: CallPath) -> None:
    """Add the spans of one call, as described in the module's docstring."""
    nodes = {s.node for s in path.steps}
    dialogs: dict[tuple[str, str], list[Step]] = {}
    for step in path.steps:
        dialogs.setdefault((step.node, step.message.call_id), []).append(step)
    incoming = [steps for steps in dialogs.values() if not steps[0].outgoing]
    set_ups = [steps for steps in dialogs.values() if steps[0].outgoing]
    call_spans: dict[str, otel.Span] = {}  # by node: the span of the call there
    set_up_spans: dict[str, otel.Span] = {}  # by node: the span of the set-up that leads there
    for steps in sorted(incoming + set_ups, key=lambda steps: steps[0].time):
        first, node = steps[0], steps[0].node
        parent = set_up_spans.get(node) if not first.outgoing else call_spans.get(node)
        context = otel.set_span_in_context(parent) if parent is not None else None
        name = f"set-up to {first.remote}" if first.outgoing else f"call at {node}"
        span = tracer.start_span(name, context=context, start_time=first.time)
        span.set_attributes({"call.session": path.session, "call.number": path.number, "server": node})
        span.set_attributes({"far": first.remote, "sip.call_id": first.message.call_id})
        final = next((s.message.status for s in steps if s.message.status >= 200), 0)
        if final:
            span.set_attribute("sip.status", final)
            if final >= 300:
                span.set_status(otel.Status(otel.StatusCode.ERROR, f"{final}"))
        for step in steps:
            span.add_event(f"{'sent' if step.outgoing else 'received'} {step.summary}", timestamp=step.time)
        if first.outgoing:
            set_up_spans[lane_of(first.remote, nodes)] = span
        else:
            call_spans[node] = span
        span.end(steps[-1].time)
