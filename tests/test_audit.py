"""The audit reports an injected breach of each rule with its time and call, and none in a correct capture."""

from __future__ import annotations

from dataclasses import replace

import pytest

from eiderstep.audit import Capture, ColdStart, Facts, Stall, audit_capture
from eiderstep.sip.dialog import make_cancel
from eiderstep.sip.message import Message, request, response

SECOND, MS = 1_000_000_000, 1_000_000
FACTS = Facts(release_wait=500 * MS, drain_grace=500 * MS)
START = 1000 * SECOND


class CaptureBuilder:
    """Builds a capture record by record.  Times are in ms from START."""

    def __init__(self) -> None:
        self.capture = Capture()
        self.invites: dict[str, Message] = {}

    def add(self, at: int, way: str, message: Message, label: str) -> None:
        peer = label.split()[1]
        self.capture.add(START + at * MS, "server-0", label, peer, way, message.encode())

    def invite(self, name: str, branch: str) -> Message:
        message = request(
            "INVITE", "sip:1@x", via=f"SIP/2.0/TCP c;branch=z9hG4bK{branch}",
            sender=f"<sip:c@c>;tag={branch}", to="<sip:1@x>", call_id=branch, cseq=1,
        )  # fmt: skip
        message.set("session-id", name)
        message.set("eiderstep-patience", "3000")
        self.invites[branch] = message
        return message

    def call_received(self, at: int, name: str) -> None:
        self.add(at, "in", self.invite(name, f"in-{name}"), "from c:1 #1")

    def final_response_sent(self, at: int, name: str, status: int) -> None:
        self.add(at, "out", response(self.invites[f"in-{name}"], status, "t"), "from c:1 #1")

    def set_up_sent(self, at: int, name: str, attempt: int = 1, office: str = "a:1") -> None:
        self.add(at, "out", self.invite(name, f"out-{name}-{attempt}"), f"to {office} #9")

    def final_response_received(
        self, at: int, name: str, status: int, attempt: int = 1, office: str = "a:1"
    ) -> None:
        self.add(at, "in", response(self.invites[f"out-{name}-{attempt}"], status, "f"), f"to {office} #9")

    def cancel_sent(self, at: int, name: str, attempt: int = 1) -> None:
        self.add(at, "out", make_cancel(self.invites[f"out-{name}-{attempt}"]), "to a:1 #9")

    def register_event(self, at: int, text: str) -> None:
        body = f"data: {text}\n\n".encode()
        head = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        chunk = f"{len(body):x}\r\n".encode() + body + b"\r\n"
        self.capture.add(START + at * MS, "server-0", "register", "r:1", "in", head + chunk)

    def breaches(self, facts: Facts = FACTS) -> list[tuple[int, int, str]]:
        found = audit_capture(self.capture, facts).breaches
        return [(b.rule, (b.time - START) // MS, b.call) for b in found]


def correct_capture() -> CaptureBuilder:
    builder = CaptureBuilder()
    builder.call_received(0, "k1")
    builder.set_up_sent(1, "k1")
    builder.final_response_received(20, "k1", 503)
    builder.set_up_sent(21, "k1", 2, "b:1")
    builder.final_response_received(40, "k1", 200, 2, "b:1")
    builder.final_response_sent(41, "k1", 200)
    return builder


def test_correct_capture_has_no_breach() -> None:
    verdict = audit_capture(correct_capture().capture, FACTS)
    assert verdict.passed and (verdict.calls, verdict.answered, verdict.set_ups, verdict.stood) == (
        1,
        1,
        2,
        1,
    )


def inject_breach(rule: int) -> tuple[CaptureBuilder, list[tuple[int, int, str]]]:
    builder = correct_capture()
    if rule == 1:
        builder.call_received(100, "late")
        builder.final_response_sent(3101, "late", 504)
        builder.call_received(100, "never")
        builder.call_received(100, "twice")
        builder.final_response_sent(120, "twice", 503)
        builder.final_response_sent(130, "twice", 200)
        builder.call_received(200, "after")
        builder.final_response_sent(210, "after", 503)
        builder.set_up_sent(220, "after")
        return builder, [(1, 130, "twice"), (1, 220, "after"), (1, 3100, "never"), (1, 3101, "late")]
    if rule == 2:
        builder.call_received(100, "two")
        builder.set_up_sent(110, "two")
        builder.set_up_sent(120, "two", 2, "b:1")
        builder.final_response_received(130, "two", 200)
        builder.final_response_sent(131, "two", 200)
        return builder, [(2, 120, "two")]
    if rule == 3:
        builder.register_event(
            100, '{"gen":1,"kind":"changes","entries":[{"office":"a:1","number":1,"state":"draining"}]}'
        )
        builder.call_received(300, "fine")
        builder.set_up_sent(300, "fine")
        builder.final_response_received(310, "fine", 486)
        builder.final_response_sent(310, "fine", 503)
        builder.call_received(601, "gone")
        builder.set_up_sent(601, "gone")
        builder.final_response_received(610, "gone", 486)
        builder.final_response_sent(610, "gone", 503)
        return builder, [(3, 601, "gone")]
    if rule == 5:
        builder.call_received(100, "hasty")
        builder.set_up_sent(110, "hasty")
        builder.cancel_sent(120, "hasty")
        builder.final_response_received(130, "hasty", 487)
        builder.set_up_sent(629, "hasty", 2)
        builder.final_response_received(640, "hasty", 200, 2)
        builder.final_response_sent(641, "hasty", 200)
        return builder, [(5, 629, "hasty")]
    builder.register_event(
        100, '{"gen":1,"kind":"changes","entries":[{"office":"a:1","number":1,"state":"up","age":0.0}]}'
    )
    for i in range(8):
        builder.call_received(200 + i, f"push{i}")
        builder.set_up_sent(200 + i, f"push{i}")
        builder.final_response_received(300 + i, f"push{i}", 486)
        builder.final_response_sent(300 + i, f"push{i}", 503)
    return builder, [(4, 205, "a:1")]


COLD_FACTS = replace(
    FACTS, cold_share=0.5, cold_time=10 * SECOND, cold_multiple=2.0, cold_window=SECOND, cold_slack=0,
    cold_starts=(ColdStart(frozenset({"a:1"}), START, 5.0),),
)  # fmt: skip


@pytest.mark.parametrize("rule", [1, 2, 3, 4, 5])
def test_reports_injected_breach_of_each_rule_with_time_and_call(rule: int) -> None:
    builder, expected = inject_breach(rule)
    builder.capture.records.sort(key=lambda r: r.time)
    assert builder.breaches(COLD_FACTS if rule == 4 else FACTS) == expected


def test_no_breach_for_stalled_or_killed_server_or_closed_caller_connection() -> None:
    builder = CaptureBuilder()
    builder.call_received(0, "stall")
    builder.final_response_sent(3500, "stall", 503)
    assert builder.breaches() == [(1, 3500, "stall")]
    assert builder.breaches(replace(FACTS, stalls=(Stall(START + 2000 * MS, START + 3600 * MS),))) == []
    builder = CaptureBuilder()
    builder.call_received(0, "left")
    builder.capture.add(START + 50 * MS, "server-0", "from c:1 #1", "c:1", "down", b"")
    assert builder.breaches() == [], "a call whose caller closed its connection needs no final response"
    builder = correct_capture()
    builder.capture.add(START + 50 * MS, "server-0", "", "", "killed", b"")
    assert builder.breaches() == []


def test_set_up_after_reset_must_wait_for_release() -> None:
    for gap, expected in ((499, [(5, 609, "r")]), (501, [])):
        builder = CaptureBuilder()
        builder.call_received(0, "r")
        builder.set_up_sent(10, "r")
        builder.capture.add(START + 110 * MS, "server-0", "to a:1 #9", "a:1", "down", b"")
        builder.set_up_sent(110 + gap, "r", 2, "b:1")
        builder.final_response_received(700, "r", 200, 2, "b:1")
        builder.final_response_sent(700, "r", 200)
        assert builder.breaches() == expected
