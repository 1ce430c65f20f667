"""Messages of the platform: types as in Q.763, causes as in Q.850, parameters as the platform numbers them.

A message has a type, the call's 64-bit reference (16 hex digits) and parameters.  Parameter values are kept
as the bytes received, so that class, number and description can be forwarded unchanged.
"""

from __future__ import annotations

from collections.abc import Mapping

MAX_LENGTH = 16 * 1024  # bytes; the largest value allowed in the length field
HEADER_LENGTH = 9  # bytes of message type and call reference
NO_CALL = "0" * 16  # call reference of a message that belongs to no call

# Types.
IAM, ACM, ANM, REL, RLC = 1, 6, 9, 12, 16  # set-up, progress, answer, release, release complete
GROUP_STATE, TEST, TEST_RESULT = 43, 52, 53  # state of a group; test of a connection, result of that test
TYPES = frozenset((IAM, ACM, ANM, REL, RLC, GROUP_STATE, TEST, TEST_RESULT))
TYPE_NAMES = {
    IAM: "IAM", ACM: "ACM", ANM: "ANM", REL: "REL", RLC: "RLC", GROUP_STATE: "STATE", TEST: "TEST",
    TEST_RESULT: "TESTED",
}  # fmt: skip

# Parameters.
CLASS, GIVE_UP_TIME, NUMBER, ROUTING_DATA, PAUSE, DIAGNOSTIC, LOAD_REPORT = 180, 181, 184, 185, 186, 187, 189
CAUSE, DESCRIPTION = 194, 195

# Causes.
(
    NORMAL_CLEARING,
    USER_BUSY,
    UNSPECIFIED,
    NO_CIRCUIT_AVAILABLE,
    TEMPORARY_FAILURE,
    EQUIPMENT_CONGESTION,
    PREEMPTED,
) = 16, 17, 31, 34, 41, 42, 47
INVALID, RECOVERY = 100, 102  # invalid parameter contents; recovery on timer expiry


class Message:
    """One message.  The parser has checked its framing, not the contents of its parameters."""

    __slots__ = ("call", "kind", "parameters")

    def __init__(self, kind: int, call: str, parameters: Mapping[int, bytes] | None = None) -> None:
        self.kind, self.call, self.parameters = kind, call, parameters or {}

    def __repr__(self) -> str:
        return f"{TYPE_NAMES.get(self.kind, self.kind)} {self.call} {dict(self.parameters)}"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Message) and (self.kind, self.call, dict(self.parameters)) == (
            other.kind, other.call, dict(other.parameters),
        )  # fmt: skip

    __hash__ = None  # type: ignore[assignment]

    @property
    def cause(self) -> int | None:
        """The cause, or None if it is absent or not one byte long."""
        value = self.parameters.get(CAUSE, b"")
        return value[0] if len(value) == 1 else None

    def text_parameter(self, code: int) -> str | None:
        """A parameter as printable text in UTF-8, or None if it is absent or contains anything else."""
        try:
            text = self.parameters[code].decode()
        except (KeyError, UnicodeDecodeError):
            return None
        return text if text.isprintable() else None

    def decimal_parameter(self, code: int) -> int | None:
        """The value of a parameter of up to 18 decimal digits, or None if it is anything else.

        Python's int() accepts signs, blanks and underscores, and its run time grows with the square of the
        number of digits; values beyond 64 bits do not fit a clock.
        """
        value = self.parameters.get(code, b"")
        return int(value) if value.isdigit() and len(value) <= 18 else None

    def encode(self) -> bytes:
        """The message in wire format.  Raises ValueError if it is longer than MAX_LENGTH."""
        body = b"".join(
            bytes((code,)) + len(value).to_bytes(2, "big") + value for code, value in self.parameters.items()
        )
        size = HEADER_LENGTH + len(body)
        if size > MAX_LENGTH:
            raise ValueError(f"message length {size} bytes; allowed: {MAX_LENGTH}")
        return size.to_bytes(2, "big") + bytes((self.kind,)) + bytes.fromhex(self.call) + body


def encode_release(call: str, cause: int, pause: int = 0) -> bytes:
    """Encode a release or refusal; `pause`: the time before a retry in ms, 0 for none."""
    parameters = {CAUSE: bytes((cause,))}
    if pause:
        parameters[PAUSE] = str(pause).encode()
    return Message(REL, call, parameters).encode()


def parse_pairs(text: str) -> dict[str, float] | None:
    """Parse name:value pairs such as `dest:2;width:1` or `x0:12;queue:3`; None if the text is malformed.

    Values are plain decimal numbers of at most 18 characters: a leading minus is allowed, an exponent is not.
    """
    pairs: dict[str, float] = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        digits = value.removeprefix("-").replace(".", "", 1)
        if not colon or not name or name in pairs or len(value) > 18:
            return None
        if not (digits.isascii() and digits.isdigit()):
            return None
        pairs[name] = float(value)
    return pairs
