"""The codec: messages survive a round trip wherever the stream is split; malformed input ends the stream."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderstep.isup import message as isup
from eiderstep.isup.message import MAX_LENGTH, Message, parse_pairs
from eiderstep.isup.parser import FramingError, Parser

PARAMETERS = st.dictionaries(st.integers(0, 255), st.binary(max_size=60), max_size=6)
MESSAGES = st.builds(
    Message, st.sampled_from(sorted(isup.TYPES)), st.binary(min_size=8, max_size=8).map(bytes.hex), PARAMETERS
)


def parse(*chunks: bytes) -> list[Message | FramingError]:
    parser = Parser()
    return [item for chunk in chunks for item in parser.feed(chunk)]


@given(st.lists(MESSAGES, max_size=4))
def test_round_trip_of_messages_split_at_every_byte(messages: list[Message]) -> None:
    data = b"".join(message.encode() for message in messages)
    assert parse(data) == messages
    assert parse(*(data[i : i + 1] for i in range(len(data)))) == messages
    for split in range(len(data)):
        assert parse(data[:split], data[split:]) == messages


@given(st.lists(MESSAGES, max_size=3), st.binary(max_size=200))
def test_noise_is_reported_once_and_not_buffered(messages: list[Message], noise: bytes) -> None:
    parser = Parser()
    found = parser.feed(b"".join(message.encode() for message in messages) + noise)
    assert found[: len(messages)] == messages
    errors = [item for item in found if isinstance(item, FramingError)]
    assert len(errors) == parser.failed <= 1
    assert len(parser.remainder) <= MAX_LENGTH + 2
    if parser.failed:
        assert not parser.remainder
        assert parser.feed(Message(isup.TEST, isup.NO_CALL).encode()) == []


@pytest.mark.parametrize(
    "data",
    [
        b"\x00\x00", b"\x00\x08", b"\xff\xff", b"\x40\x01",  # lengths: 0, too short, 65535, maximum + 1
        b"\x00\x09\x02",  # an unknown message type, before the rest has arrived
        b"\x00\x0b\x0c" + bytes(8) + b"\xc2\x00",  # a truncated parameter header
        b"\x00\x0d\x0c" + bytes(8) + b"\xc2\x00\x02\x10",  # a parameter longer than the message
        b"\x00\x0c\x0c" + bytes(8) + b"\xc2\xff\xff",
        b"\x00\x11\x0c" + bytes(8) + b"\xc2\x00\x01\x10\xc2\x00\x01\x11",  # a duplicate parameter
    ],
)  # fmt: skip
def test_malformed_message_is_reported_at_once(data: bytes) -> None:
    [item] = parse(data)
    assert isinstance(item, FramingError)
    assert isinstance(parse(*(data[i : i + 1] for i in range(len(data))))[-1], FramingError)


def test_longest_message_is_accepted_and_one_byte_more_is_not() -> None:
    longest = Message(isup.IAM, "0" * 15 + "1", {195: bytes(MAX_LENGTH - isup.HEADER_LENGTH - 3)})
    assert parse(longest.encode()) == [longest]
    with pytest.raises(ValueError, match="16385 bytes; allowed: 16384"):
        Message(isup.IAM, longest.call, {195: bytes(MAX_LENGTH - isup.HEADER_LENGTH - 2)}).encode()


def test_release_carries_cause_and_pause() -> None:
    call = "00112233445566ff"
    [plain, paused] = parse(isup.encode_release(call, 16) + isup.encode_release(call, 42, 1500))
    assert plain == Message(isup.REL, call, {194: b"\x10"})
    assert paused == Message(isup.REL, call, {194: b"\x2a", 186: b"1500"})
    assert isinstance(paused, Message)
    assert (paused.cause, paused.decimal_parameter(186)) == (42, 1500)


@pytest.mark.parametrize("value", [b"", b"-1", b"+1", b"1_0", b" 1", b"1.5", b"9" * 19, "٣".encode(), b"NaN"])
def test_decimal_parameter_accepts_only_plain_digits(value: bytes) -> None:
    assert Message(isup.IAM, isup.NO_CALL, {181: value}).decimal_parameter(181) is None


@pytest.mark.parametrize(
    "text", ["x0", "x0:", ":1", "x0:1;x0:2", "x0:1e9", "x0:nan", "x0:--1", "x0:1;", "x0:" + "1" * 19, "a:0x1"]
)
def test_malformed_pairs_are_rejected(text: str) -> None:
    assert parse_pairs(text) is None


def test_parse_pairs() -> None:
    assert parse_pairs("x0:12;x1:40.5;via:-1") == {"x0": 12.0, "x1": 40.5, "via": -1.0}
    assert parse_pairs("") == {}
