"""Regression tests of fuzzing: targets on seed inputs and corpus, faults found, the costliest message."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderstep.lab.fuzz.planted import PLANTED_FAULTS
from eiderstep.lab.fuzz.seeds import seed_inputs
from eiderstep.lab.fuzz.targets import TARGETS
from eiderstep.lab.fuzz.worst import measure_traced
from eiderstep.server.register import ExchangeRow, office_entry
from eiderstep.sip.parser import BadMessage, Limits, Parser

CORPUS = Path(__file__).resolve().parent / "corpus"


@pytest.mark.parametrize("target", TARGETS)
def test_target_accepts_seed_inputs_and_corpus(target: str) -> None:
    corpus_files = sorted((CORPUS / target).glob("*")) if (CORPUS / target).is_dir() else []
    inputs = [*seed_inputs(target), b"", *(path.read_bytes() for path in corpus_files)]
    for data in inputs:
        TARGETS[target](data)


def test_each_planted_fault_belongs_to_a_target() -> None:
    assert {target for target, _ in PLANTED_FAULTS.values()} <= set(TARGETS) and len(PLANTED_FAULTS) >= 5


@pytest.mark.parametrize(("age", "started"), [(1e999, 0), (-1.0, 0), (0.0, 1000), (5e-7, 500), (1e300, 0)])
def test_invalid_age_is_read_as_that_of_a_long_running_exchange(age: float, started: int) -> None:
    """JSON allows 1e999, which is infinite: found by fuzzing, it ended the stream's callback for good."""
    office = office_entry(ExchangeRow("10.0.0.1:1", 1, "up", age), 1000)
    assert office is not None and office.started == started


@pytest.mark.parametrize(("number", "age"), [(-1, None), (65536, None), (1, float("nan"))])
def test_entry_with_invalid_number_or_age_is_ignored(number: int, age: float | None) -> None:
    assert office_entry(ExchangeRow("10.0.0.1:1", number, "up", age), 1000) is None


LINES_WITH_LONG_NUMBER = [
    "CSeq: {} INVITE",
    "CSeq: 1 INVITE\r\nMax-Forwards: {}",
    "CSeq: 1 INVITE\r\nExpires: {}",
]


@pytest.mark.parametrize("line", LINES_WITH_LONG_NUMBER)
def test_number_of_five_thousand_digits_is_answered_400_when_long_lines_are_allowed(line: str) -> None:
    head = "INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP a;branch=z9hG4bK1\r\nFrom: <sip:a@b>;tag=1\r\n"
    head += f"To: <sip:a@b>\r\nCall-ID: 1\r\n{line.format('9' * 5000)}\r\nContent-Length: 0\r\n\r\n"
    (item,) = Parser(Limits(line=65536, head=262144)).feed(head.encode())
    assert isinstance(item, BadMessage) and item.status == 400 and not item.fatal


def test_costliest_message_found_by_search_uses_little_memory() -> None:
    """A NOTIFY with 500 full ranges and a 60,000-byte body took 3 ms and 0.2 MB (bench/results/trust.md)."""
    ranges = ",".join(["0-65535"] * 500)
    data = (
        "NOTIFY sip:x@x SIP/2.0\r\nVia: SIP/2.0/TCP s;branch=z9hG4bKs3\r\nFrom: <sip:s@s>;tag=s\r\n"
        "To: <sip:x@x>\r\nCall-ID: s3\r\nCSeq: 1 NOTIFY\r\nEvent: eiderstep-circuits\r\n"
        "Contact: <sip:trunk;tgrp=0-1;trunk-context=t@s>\r\n"
        f"Eiderstep-Circuits: {ranges}\r\nContent-Length: 60000\r\n\r\n"
    ).encode() + b"x" * 60000
    _, peak_bytes, accepted = measure_traced(data)
    assert accepted and peak_bytes < 1_000_000
