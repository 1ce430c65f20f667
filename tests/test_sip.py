"""Messages, parser and transactions by RFC 3261, with the kinds of malformed messages of RFC 4475."""

from __future__ import annotations

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderstep.sip import fields
from eiderstep.sip.message import Message, get_param, request, response, uri_parts
from eiderstep.sip.parser import BadMessage, Limits, Parser, parse_datagram
from eiderstep.sip.transaction import (
    BaseTimes,
    NewRequest,
    ResponseReceived,
    TransactionFailed,
    TransactionLayer,
    TransactionState,
)

MS = 1_000_000
GOOD = (
    b"INVITE sip:4712@x SIP/2.0\r\nVia: SIP/2.0/TCP a;branch=z9hG4bK1\r\nMax-Forwards: 70\r\n"
    b'From: "A; \\"B\\"" <sip:a@a>;tag=1\r\nTo: <sip:4712@x>\r\nCall-ID: c1@a\r\nCSeq: 1 INVITE\r\n'
    b"Contact: <sip:a@a>\r\nContent-Type: text/plain\r\nContent-Length: 4\r\n\r\nbody"
)


def changed(old: bytes, new: bytes) -> bytes:
    assert GOOD.count(old) == 1, old
    return GOOD.replace(old, new)


# Description, bytes, status, and whether the error is fatal to the stream.
MALFORMED: list[tuple[str, bytes, int, bool]] = [
    ("no method", changed(b"INVITE sip:4712@x SIP/2.0", b"sip:4712@x SIP/2.0"), 400, True),
    ("spaces in the start line", changed(b"INVITE sip:", b"INVITE  sip:"), 400, True),
    ("a space in the URI", changed(b"sip:4712@x SIP", b"sip:47 12@x SIP"), 400, True),
    ("a trailing space", changed(b"SIP/2.0\r\nVia", b"SIP/2.0 \r\nVia"), 400, True),
    ("URI in angle brackets", changed(b"sip:4712@x SIP", b"<sip:4712@x> SIP"), 400, False),
    ("URI without a scheme", changed(b"sip:4712@x SIP", b"4712 SIP"), 400, False),
    ("another version", changed(b"@x SIP/2.0", b"@x SIP/7.0"), 505, False),
    ("no version", changed(b"@x SIP/2.0", b"@x HTTP/1.1"), 400, True),
    ("method no token", changed(b"INVITE sip", b"INV{}TE sip"), 400, True),
    ("no Via", changed(b"Via: SIP/2.0/TCP a;branch=z9hG4bK1\r\n", b""), 400, False),
    ("no From", changed(b'From: "A; \\"B\\"" <sip:a@a>;tag=1\r\n', b""), 400, False),
    ("no To", changed(b"To: <sip:4712@x>\r\n", b""), 400, False),
    ("no Call-ID", changed(b"Call-ID: c1@a\r\n", b""), 400, False),
    ("no CSeq", changed(b"CSeq: 1 INVITE\r\n", b""), 400, False),
    ("empty Call-ID", changed(b"c1@a", b""), 400, False),
    ("Call-ID with a space", changed(b"c1@a", b"c1 @a"), 400, False),
    ("two From", changed(b"To: <sip:4712@x>", b"To: <sip:4712@x>\r\nFrom: <sip:b@b>;tag=2"), 400, False),
    ("two CSeq", changed(b"CSeq: 1 INVITE", b"CSeq: 1 INVITE\r\nCSeq: 2 INVITE"), 400, False),
    ("two Call-ID, one compact", changed(b"Call-ID: c1@a", b"Call-ID: c1@a\r\ni: c2@a"), 400, False),
    ("CSeq names another method", changed(b"1 INVITE", b"1 BYE"), 400, False),
    ("CSeq without a method", changed(b"1 INVITE", b"1"), 400, False),
    ("CSeq no number", changed(b"1 INVITE", b"one INVITE"), 400, False),
    ("CSeq of 2**31", changed(b"1 INVITE", b"2147483648 INVITE"), 400, False),
    ("CSeq negative", changed(b"1 INVITE", b"-1 INVITE"), 400, False),
    ("CSeq in foreign digits", changed(b"1 INVITE", "١ INVITE".encode()), 400, False),
    ("Max-Forwards no number", changed(b"Forwards: 70", b"Forwards: many"), 400, False),
    ("Max-Forwards of 256", changed(b"Forwards: 70", b"Forwards: 256"), 400, False),
    ("Expires beyond 32 bits", changed(b"Contact:", b"Expires: 9999999999\r\nContact:"), 400, False),
    ("Expires negative", changed(b"Contact:", b"Expires: -1\r\nContact:"), 400, False),
    ("Via of another protocol", changed(b"SIP/2.0/TCP a", b"HTTP/1.1/TCP a"), 400, False),
    ("Via without an address", changed(b"SIP/2.0/TCP a;", b"SIP/2.0/TCP;"), 400, False),
    ("quote not closed", changed(b'"A; \\"B\\""', b'"A; B'), 400, False),
    ("angle not closed", changed(b"To: <sip:4712@x>", b"To: <sip:4712@x"), 400, False),
    ("two angles", changed(b"To: <sip:4712@x>", b"To: <sip:1@x><sip:2@x>"), 400, False),
    ("To without a URI", changed(b"To: <sip:4712@x>", b"To: somebody"), 400, False),
    ("header without a colon", changed(b"Contact: <sip:a@a>", b"Contact <sip_a@a>"), 400, False),
    ("header name with a space", changed(b"Contact:", b"Con tact:"), 400, False),
    ("empty header name", changed(b"Contact:", b":"), 400, False),
    ("a bare LF", changed(b"Contact: <sip:a@a>\r\n", b"Contact: <sip:a@a>\nX: y\r\n"), 400, False),
    ("a bare CR", changed(b"Contact: <sip:a@a>", b"Contact: <sip:\ra@a>"), 400, False),
    ("a NUL", changed(b"Contact: <sip:a@a>", b"Contact: <sip:\0a@a>"), 400, False),
    ("folding before any header", changed(b"Via: SIP", b" folded\r\nVia: SIP"), 400, False),
    ("no Content-Length on a stream", changed(b"Content-Length: 4\r\n", b""), 400, True),
    ("Content-Length no number", changed(b"Length: 4", b"Length: four"), 400, True),
    ("Content-Length negative", changed(b"Length: 4", b"Length: -4"), 400, True),
    ("two lengths that differ", changed(b"Length: 4", b"Length: 4\r\nl: 5"), 400, True),
    ("body over the limit", changed(b"Length: 4", b"Length: 99999999"), 413, True),
    ("length of 200 digits", changed(b"Length: 4", b"Length: " + b"9" * 200), 413, True),
    ("status of two digits", b"SIP/2.0 20 OK\r\nVia: SIP/2.0/TCP a\r\nContent-Length: 0\r\n\r\n", 400, True),
    ("status 700", b"SIP/2.0 700 Odd\r\nVia: SIP/2.0/TCP a\r\nContent-Length: 0\r\n\r\n", 400, True),
    ("too many headers", changed(b"Contact:", b"X: y\r\n" * 97 + b"Contact:"), 400, True),
    ("a line too long", changed(b"Contact: <sip:a@a>", b"X: " + b"y" * 5000), 513, False),
    ("a head too long", b"INVITE sip:x@x SIP/2.0\r\n" + b"X: y\r\n" * 4000, 513, True),
    ("a start line without end", b"INVITE sip:" + b"x" * 5000, 414, True),
]


@pytest.mark.parametrize(("description", "data", "status", "fatal"), MALFORMED, ids=[m[0] for m in MALFORMED])
def test_malformed_message_gives_its_status_and_is_fatal_only_without_framing(
    description: str, data: bytes, status: int, fatal: bool
) -> None:
    parser = Parser()
    items = parser.feed(data) + parser.feed(GOOD)
    first = items[0]
    assert isinstance(first, BadMessage) and (first.status, first.fatal) == (status, fatal), (
        description,
        first,
    )
    assert first.text
    # The next message is read unless the error is fatal; after a fatal error nothing is read.
    good = [item for item in items if isinstance(item, Message)]
    assert len(good) == (0 if fatal else 1)
    assert bool(parser.feed(GOOD)) is not fatal


def test_malformed_kinds_are_distinct_and_at_least_40() -> None:
    assert len({m[0] for m in MALFORMED}) == len(MALFORMED) >= 40


@settings(derandomize=True, max_examples=150, deadline=None)
@given(st.lists(st.integers(1, len(GOOD) * 3 - 1), max_size=40))
def test_any_fragmentation_gives_the_same_messages(cuts: list[int]) -> None:
    stream = GOOD + b"\r\n\r\n" + GOOD + GOOD
    parser, found, at = Parser(), [], 0
    for cut in [*sorted(set(cuts)), len(stream)]:
        found += parser.feed(stream[at:cut])
        at = cut
    whole = Parser().feed(GOOD)[0]
    assert isinstance(whole, Message)
    assert [m.encode() for m in found if isinstance(m, Message)] == [whole.encode()] * 3


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.binary(max_size=300), st.integers(0, len(GOOD)), st.integers(0, 40))
def test_no_bytes_break_the_parser_or_make_it_hold_more_than_its_limits(
    junk: bytes, at: int, drop: int
) -> None:
    limits = Limits(line=512, head=2048, headers=20, body=1024)
    parser = Parser(limits)
    for piece in (GOOD[:at] + junk + GOOD[at + drop :], junk * 20, GOOD):
        for item in parser.feed(piece):
            assert isinstance(item, Message | BadMessage)
        assert len(parser.buffer) <= limits.head + limits.body + len(piece)
    assert parse_datagram(junk) is None or isinstance(parse_datagram(junk), Message | BadMessage)


def test_message_is_equal_after_encoding_and_parsing() -> None:
    message = Parser().feed(GOOD)[0]
    assert isinstance(message, Message) and message.body == b"body" and message.from_tag == "1"
    again = Parser().feed(message.encode())[0]
    assert isinstance(again, Message) and (again.headers, again.body, again.uri) == (
        message.headers, message.body, message.uri,
    )  # fmt: skip
    folded = Parser().feed(changed(b"Contact: <sip:a@a>", b"m: <sip:a@a>\r\n ;x=1"))[0]
    assert isinstance(folded, Message) and folded.get("contact") == "<sip:a@a> ;x=1"
    no_length = parse_datagram(changed(b"Content-Length: 4\r\n", b""))
    assert isinstance(no_length, Message) and no_length.body == b"body", (
        "without Content-Length the body ends with the datagram"
    )
    short = parse_datagram(changed(b"Length: 4", b"Length: 9"))
    assert isinstance(short, BadMessage) and short.status == 400


@pytest.mark.parametrize(
    ("value", "name", "found"),
    [
        ("SIP/2.0/TCP a;branch=z9;rport", "branch", "z9"),
        ("SIP/2.0/TCP a;branch=z9;rport", "rport", "rport"),
        ('x;oc=20;oc-algo="loss"', "oc", "20"), ('x;oc=20;oc-algo="loss"', "oc-algo", "loss"),
        ("x;tagged=1;tag=2", "tag", "2"), ("x", "tag", ""), ("x;TAG = 3", "tag", "3"),
    ],
)  # fmt: skip
def test_get_param_reads_values_flags_and_unusual_forms(value: str, name: str, found: str) -> None:
    assert get_param(value, name) == found


def test_uri_parts_splits_sip_uris_and_rejects_others() -> None:
    assert uri_parts("sip:12;tgrp=a@h:1;transport=tcp?x=y") == ("12;tgrp=a", "h:1", ";transport=tcp")
    for bad in ("tel:12", "12", "sip:", "sip:1@"):
        with pytest.raises(ValueError):
            uri_parts(bad)


def test_load_reports_and_waits_survive_writing_and_reading() -> None:
    invite = Parser().feed(GOOD)[0]
    assert isinstance(invite, Message)
    for load in (
        fields.OverloadReport(reduction=0.4),
        fields.OverloadReport(max_rate=12.5, queued_set_ups=3.0),
        fields.OverloadReport(),
    ):
        answer = response(invite, 200, "t")
        fields.add_overload_report(answer, load)
        assert fields.read_overload_report(answer) == load and answer.branch == "z9hG4bK1"
    fields.write_wait(answer, 1_250 * MS)
    assert answer.get("retry-after") == "2" and fields.read_wait(answer) == 1_250 * MS
    answer.set(fields.PAUSE_HEADER, None)
    assert fields.read_wait(answer) == 2_000 * MS
    answer.set("retry-after", "soon")
    assert fields.read_wait(answer) == 0


# -- transactions --------------------------------------------------------------------------------------------


def make_request(method: str = "INVITE", branch: str = "z9hG4bKt") -> Message:
    return request(
        method, "sip:1@x", via=f"SIP/2.0/UDP a;branch={branch}", sender="<sip:a@a>;tag=1", to="<sip:1@x>",
        call_id="c", cseq=1,
    )  # fmt: skip


def retransmit_times(layer: TransactionLayer, until: int) -> list[int]:
    """The times, in units of T1, at which the layer sends something up to `until` (ns)."""
    times: list[int] = []
    layer.out.clear()
    while (due := layer.next_due()) is not None and due <= until:
        layer.run_due_timers(due)
        times += [due // layer.times.t1] * len(layer.out)
        layer.out.clear()
    return times


T1 = BaseTimes().t1


@pytest.mark.parametrize(
    ("method", "provisional", "expected"),
    [
        ("INVITE", False, [1, 3, 7, 15, 31, 63]),  # timer A
        ("INVITE", True, []),
        ("OPTIONS", False, [1, 3, 7, 15, 23, 31, 39, 47, 55, 63]),  # timer E, up to T2
        ("OPTIONS", True, [1, 9, 17, 25, 33, 41, 49, 57]),  # every T2 in state Proceeding
    ],
)
def test_client_retransmits_by_timers_a_and_e(method: str, provisional: bool, expected: list[int]) -> None:
    layer = TransactionLayer()
    tx = layer.send(0, 1, make_request(method), reliable=False)
    if provisional:
        layer.receive(0, 1, response(tx.request, 100), False)
    assert retransmit_times(layer, 64 * T1) == expected
    timed_out = [e for e in layer.events if isinstance(e, TransactionFailed)]
    # An INVITE in state Proceeding has no timeout of its own; everything else times out after 64 x T1.
    assert len(timed_out) == (0 if method == "INVITE" and provisional else 1)


def test_reliable_transport_has_no_retransmits_but_timers_b_and_f() -> None:
    for method in ("INVITE", "OPTIONS"):
        layer = TransactionLayer()
        layer.send(0, 1, make_request(method))
        assert retransmit_times(layer, 64 * T1 - 1) == [] and not layer.events
        layer.run_due_timers(64 * T1)
        assert (
            [type(e) for e in layer.events] == [TransactionFailed] and not layer.clients and not layer.by_flow
        )


def test_invite_client_sends_ack_for_failure_and_for_its_repeat_during_timer_d() -> None:
    layer = TransactionLayer()
    tx = layer.send(0, 1, make_request(), reliable=False)
    layer.out.clear()
    busy = response(tx.request, 486, "far")
    for _ in range(2):
        layer.receive(10, 1, busy, False)
    acks = [data for _, data in layer.out]
    assert len(acks) == 2 and all(a.startswith(b"ACK sip:1@x") and b"tag=far" in a for a in acks)
    assert sum(isinstance(e, ResponseReceived) for e in layer.events) == 1
    layer.run_due_timers(10 + 64 * T1)
    assert tx.state is TransactionState.TERMINATED and not layer.clients


def test_invite_server_retransmits_final_response_until_ack() -> None:
    for status, state in ((486, TransactionState.COMPLETED), (200, TransactionState.ACCEPTED)):
        layer = TransactionLayer()
        layer.receive(0, 1, make_request(), False)
        tx = layer.events.pop().tx  # type: ignore[union-attr]
        assert layer.respond(0, tx, response(tx.request, status, "t")) and tx.state is state
        assert not layer.respond(0, tx, response(tx.request, 500, "t")), "a second final response was sent"
        layer.out.clear()
        layer.receive(1, 1, make_request(), False)
        assert len(layer.out) == 1 and not layer.events, (
            "a repeated INVITE must be answered with the same response and give no event"
        )
        assert retransmit_times(layer, 16 * T1) == [1, 3, 7, 15], "timer G must double up to T2"
        ack = make_request("ACK", "z9hG4bKt" if status > 299 else "z9hG4bKother")
        ack.headers["cseq"] = ["1 ACK"]
        layer.receive(16 * T1, 1, ack, False)
        assert tx.state is TransactionState.CONFIRMED and retransmit_times(layer, 60 * T1) == []
        layer.run_due_timers(300 * T1)
        assert not layer.servers and not layer._awaiting_ack


def test_missing_ack_is_reported_for_2xx_only() -> None:
    for status, reports in ((200, 1), (486, 0)):
        layer = TransactionLayer()
        layer.receive(0, 1, make_request())
        tx = layer.events.pop().tx  # type: ignore[union-attr]
        layer.respond(0, tx, response(tx.request, status, "t"))
        layer.run_due_timers(64 * T1)
        assert sum(isinstance(e, TransactionFailed) for e in layer.events) == reports and not layer.servers


def test_lost_connection_fails_its_own_transactions_only() -> None:
    layer = TransactionLayer()
    txs = [layer.send(0, flow, make_request(branch=f"z9hG4bK{flow}{i}")) for flow in (1, 2) for i in range(3)]
    layer.connection_lost(5, 1)
    assert [e.tx for e in layer.events if isinstance(e, TransactionFailed)] == txs[:3] and set(
        layer.by_flow
    ) == {2}


def test_requests_without_magic_cookie_are_matched_by_dialog() -> None:
    layer = TransactionLayer()
    first, second = make_request(branch="1"), make_request(branch="1")
    second.headers["call-id"] = ["other"]
    for message in (first, first, second):
        layer.receive(0, 1, message)
    assert sum(isinstance(e, NewRequest) for e in layer.events) == 2
