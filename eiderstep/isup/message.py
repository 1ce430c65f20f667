"""Messages of the platform: types as in Q.763, causes as in Q.850, parameters as the platform numbers them.

A message is a type, the call's 64-bit reference as 16 hex digits, and parameters kept as the bytes that came:
class, number and description are passed on unchanged.
"""

from __future__ import annotations

from collections.abc import Mapping

LARGEST = 16 * 1024  # bytes that a length may count
HEAD = 9  # type and call reference
NO_CALL = "0" * 16

# Types.
IAM, ACM, ANM, REL, RLC = 1, 6, 9, 12, 16  # set-up, progress, answer, release, release heard
STATE, TEST, TESTED = 43, 52, 53  # of a group; of a connection, and its result
TYPES = frozenset((IAM, ACM, ANM, REL, RLC, STATE, TEST, TESTED))
NAMES = {
    IAM: "IAM", ACM: "ACM", ANM: "ANM", REL: "REL", RLC: "RLC", STATE: "STATE", TEST: "TEST",
    TESTED: "TESTED",
}  # fmt: skip

# Parameters.
CLASS, PATIENCE, NUMBER, FIGURES, PAUSE, NOTE, REPORT = 180, 181, 184, 185, 186, 187, 189
CAUSE, DESCRIPTION = 194, 195

# Causes.
NORMAL, BUSY, UNSPECIFIED, NO_CIRCUIT, TEMPORARY, CONGESTION, PREEMPTED = 16, 17, 31, 34, 41, 42, 47
INVALID, RECOVERY = 100, 102  # contents of a parameter; recovery on timer expiry


class Message:
    """One message.  Raises nothing: the parser has checked its form, not its sense."""

    __slots__ = ("call", "kind", "parameters")

    def __init__(self, kind: int, call: str, parameters: Mapping[int, bytes] | None = None) -> None:
        self.kind, self.call, self.parameters = kind, call, parameters or {}

    def __repr__(self) -> str:
        return f"{NAMES.get(self.kind, self.kind)} {self.call} {dict(self.parameters)}"

    def __eq__(self, other: object) -> bool:
        return isinstance(other, Message) and (self.kind, self.call, dict(self.parameters)) == (
            other.kind, other.call, dict(other.parameters),
        )  # fmt: skip

    __hash__ = None  # type: ignore[assignment]

    @property
    def cause(self) -> int | None:
        """The cause, or None where it is absent or not one byte."""
        value = self.parameters.get(CAUSE, b"")
        return value[0] if len(value) == 1 else None

    def text(self, code: int) -> str | None:
        """A parameter as printable ASCII, or None where it is absent or is none."""
        value = self.parameters.get(code)
        if value is None or not value.isascii():
            return None
        text = value.decode("ascii")
        return text if text.isprintable() else None

    def number(self, code: int) -> int | None:
        """A parameter of up to 18 decimal digits, or None.

        Danger: int() of Python takes signs, blanks and underscores, and its time grows with the digits
        squared; a figure past 64 bits fits no clock.
        """
        value = self.parameters.get(code, b"")
        return int(value) if value.isdigit() and len(value) <= 18 else None

    def encode(self) -> bytes:
        """The message as it goes out.  Raises ValueError where it would be too long."""
        body = b"".join(
            bytes((code,)) + len(value).to_bytes(2, "big") + value for code, value in self.parameters.items()
        )
        size = HEAD + len(body)
        if size > LARGEST:
            raise ValueError(f"a message of {size} bytes; allowed: {LARGEST}")
        return size.to_bytes(2, "big") + bytes((self.kind,)) + bytes.fromhex(self.call) + body


def release(call: str, cause: int, pause: int = 0) -> bytes:
    """A release or refusal; `pause`: how long the caller should stay away (ms), 0 for no advice."""
    parameters = {CAUSE: bytes((cause,))}
    if pause:
        parameters[PAUSE] = str(pause).encode()
    return Message(REL, call, parameters).encode()


def figures(text: str) -> dict[str, float] | None:
    """Pairs such as `dest:2;width:1` or `x0:12;queue:3`; None where they cannot be read.

    Only plain decimal figures: no sign but a leading minus, no exponent, no more than 18 characters.
    """
    found: dict[str, float] = {}
    for pair in text.split(";") if text else ():
        name, colon, value = pair.partition(":")
        digits = value.removeprefix("-").replace(".", "", 1)
        if not colon or not name or name in found or len(value) > 18:
            return None
        if not (digits.isascii() and digits.isdigit()):
            return None
        found[name] = float(value)
    return found
