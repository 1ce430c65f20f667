"""What fuzzing found stays found: each target on its first inputs and on the corpus; the dearest message."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderstep.lab.fuzz.planted import PLANTED
from eiderstep.lab.fuzz.seeds import seeds
from eiderstep.lab.fuzz.targets import TARGETS
from eiderstep.lab.fuzz.worst import once
from eiderstep.server.register import Row, entry
from eiderstep.sip.parser import BadMessage, Limits, Parser

CORPUS = Path(__file__).resolve().parent / "corpus"


@pytest.mark.parametrize("target", TARGETS)
def test_a_target_holds_on_all_that_is_known(target: str) -> None:
    kept = sorted((CORPUS / target).glob("*")) if (CORPUS / target).is_dir() else []
    inputs = [*seeds(target), b"", *(p.read_bytes() for p in kept)]
    for data in inputs:
        TARGETS[target](data)


def test_every_planted_fault_is_of_a_target() -> None:
    assert {target for target, _ in PLANTED.values()} <= set(TARGETS) and len(PLANTED) >= 5


@pytest.mark.parametrize(("age", "started"), [(1e999, 0), (-1.0, 0), (0.0, 1000), (5e-7, 500), (1e300, 0)])
def test_an_age_that_is_no_length_of_time_is_an_old_exchange(age: float, started: int) -> None:
    """JSON has 1e999; found by fuzzing: it ended the stream's callback for good."""
    made = entry(Row("10.0.0.1:1", 1, "up", age), 1000)
    assert made is not None and made.started == started


@pytest.mark.parametrize(("number", "age"), [(-1, None), (65536, None), (1, float("nan"))])
def test_entries_that_the_module_cannot_be_told(number: int, age: float | None) -> None:
    assert entry(Row("10.0.0.1:1", number, "up", age), 1000) is None


LONG = ["CSeq: {} INVITE", "CSeq: 1 INVITE\r\nMax-Forwards: {}", "CSeq: 1 INVITE\r\nExpires: {}"]


@pytest.mark.parametrize("line", LONG)
def test_a_number_of_five_thousand_digits_is_a_400_where_lines_may_be_long(line: str) -> None:
    head = "INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP a;branch=z9hG4bK1\r\nFrom: <sip:a@b>;tag=1\r\n"
    head += f"To: <sip:a@b>\r\nCall-ID: 1\r\n{line.format('9' * 5000)}\r\nContent-Length: 0\r\n\r\n"
    (item,) = Parser(Limits(line=65536, head=262144)).feed(head.encode())
    assert isinstance(item, BadMessage) and item.status == 400 and not item.fatal


def test_the_dearest_message_that_a_search_found_is_cheap() -> None:
    """A NOTIFY of 500 whole ranges and a body's worth of bytes: 3 ms, 0.2 MB (bench/results/trust.md)."""
    ranges = ",".join(["0-65535"] * 500)
    data = (
        "NOTIFY sip:x@x SIP/2.0\r\nVia: SIP/2.0/TCP s;branch=z9hG4bKs3\r\nFrom: <sip:s@s>;tag=s\r\n"
        "To: <sip:x@x>\r\nCall-ID: s3\r\nCSeq: 1 NOTIFY\r\nEvent: eiderstep-circuits\r\n"
        "Contact: <sip:trunk;tgrp=0-1;trunk-context=t@s>\r\n"
        f"Eiderstep-Circuits: {ranges}\r\nContent-Length: 60000\r\n\r\n"
    ).encode() + b"x" * 60000
    _, peak, taken = once(data)
    assert taken and peak < 1_000_000
