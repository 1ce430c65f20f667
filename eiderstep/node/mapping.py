"""Translates the platform's messages for the routing module: set-ups, causes, load reports, office lists."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Any

from eiderstep import interface as io
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message, parse_pairs
from eiderstep.reading import read_report

MS = 1_000_000
MAX_NUMBER_LENGTH = 64  # characters of a called number or an office name
MAX_WAIT_FACTOR = 4  # limit of a caller's wait, as a multiple of the longest give-up time of a class

# Field names of the platform's load reports, and the names that `read_report` expects.
REPORT_FIELD_NAMES = {
    "x0": "idle", "x1": "circuits", "queue": "waiting", "qps": "max_rate", "inflight": "active",
    "latency_ms": "avg_ms", "util": "cpu", "eps": "reduce",
}  # fmt: skip
OUTCOME_BY_CAUSE = {
    isup.NO_CIRCUIT_AVAILABLE: io.Outcome.TURNED_AWAY,
    isup.USER_BUSY: io.Outcome.FAULT,
    isup.PREEMPTED: io.Outcome.FAULT,
    isup.RECOVERY: io.Outcome.NOT_SENT,
}
CAUSE_BY_DIAGNOSTIC = {
    "atb": io.Cause.NO_CIRCUIT,
    "rtb": io.Cause.TANDEM_REFUSED,
    "racc": io.Cause.BEYOND_FULL,
    "acc": io.Cause.PROCESSOR_FULL,
    "sub": io.Cause.NUMBER_BUSY,
}
OFFICE_STATES = {"ready": io.OfficeState.UP, "draining": io.OfficeState.DRAINING, "gone": io.OfficeState.GONE}


class InvalidSetUp(Exception):
    """A set-up with a missing or invalid parameter."""


@dataclass(frozen=True, slots=True)
class StandingReport:
    """A set-up that reports a call which stands already (`at`)."""

    office: str  # where it stands
    width: int  # circuits; 1 if the class is unknown


class SetUpReader:
    """Parses set-ups and checks them against the settings of the call classes."""

    def __init__(self, settings: io.Settings, class_names: Sequence[str]) -> None:
        self.class_numbers = {name: number for number, name in enumerate(class_names)}
        self.class_widths = [cls.width for cls in settings.classes]
        self.max_wait_ms = MAX_WAIT_FACTOR * max(cls.give_up for cls in settings.classes) // MS

    def parse(self, received_at: int, message: Message) -> io.CallOffered | StandingReport:
        """Return the offer to the module, or the report of a call that stands already.

        `received_at`: the earliest time at which the message can have arrived (ns), from which its wait
        counts.  Raises InvalidSetUp.
        """
        text = message.text_parameter(isup.ROUTING_DATA) or ""
        pairs = parse_pairs(text)
        if message.call == isup.NO_CALL:
            raise InvalidSetUp("call reference 0")
        class_name = message.text_parameter(isup.CLASS) or ""
        class_no = self.class_numbers.get(class_name)
        if pairs is None:
            office = self._standing_at(text)
            if office:
                return StandingReport(office, self.class_widths[class_no] if class_no is not None else 1)
            raise InvalidSetUp("parameter 185 is malformed; allowed: name:value pairs such as dest:2;width:1")
        wait_ms = message.decimal_parameter(isup.GIVE_UP_TIME)
        number = message.text_parameter(isup.NUMBER)
        if class_no is None:
            raise InvalidSetUp(f"parameter 180: unknown class {class_name[:40]!r}")
        if wait_ms is None or not 0 < wait_ms <= self.max_wait_ms:
            raise InvalidSetUp(f"parameter 181; allowed: 1 to {self.max_wait_ms} ms")
        if not number or len(number) > MAX_NUMBER_LENGTH or " " in number:
            raise InvalidSetUp(f"parameter 184; allowed: 1 to {MAX_NUMBER_LENGTH} characters without blanks")
        dest, width = pairs.get("dest", -1.0), pairs.get("width", 1.0)
        if not dest.is_integer() or not 0 <= dest < 65536:
            raise InvalidSetUp("parameter 185: dest; allowed: 0 to 65535")
        if width != self.class_widths[class_no]:
            raise InvalidSetUp(f"parameter 185: width; allowed for this class: {self.class_widths[class_no]}")
        return io.CallOffered(
            call=message.call,
            class_no=class_no,
            dest=int(dest),
            width=int(width),
            expires=received_at + wait_ms * MS,
            called_number=number,
            hint=int(pairs.get("via", -1)),
            transit=pairs.get("transit") == 1,
            was_cut=pairs.get("again") == 1,
        )

    @staticmethod
    def _standing_at(text: str) -> str:
        for pair in text.split(";"):
            name, _, value = pair.partition(":")
            if name == "at" and 0 < len(value) <= MAX_NUMBER_LENGTH:
                return value
        return ""


def load_report(message: Message) -> io.LoadReport | None:
    """The load report in a message, an empty one if the message has none, or None if it is malformed."""
    if isup.LOAD_REPORT not in message.parameters:
        return io.LoadReport()
    pairs = parse_pairs(message.text_parameter(isup.LOAD_REPORT) or "?")
    if pairs is None:
        return None
    return read_report({REPORT_FIELD_NAMES.get(name, name): value for name, value in pairs.items()})


def attempt_outcome(message: Message) -> tuple[io.Outcome, io.Cause]:
    """Outcome and cause of an attempt that an office released before answering it."""
    outcome = OUTCOME_BY_CAUSE.get(message.cause or 0, io.Outcome.CUT)
    return outcome, CAUSE_BY_DIAGNOSTIC.get(message.text_parameter(isup.DIAGNOSTIC) or "", io.Cause.NONE)


class InvalidOfficeList(ValueError):
    """A list of offices, or an entry of one, that is malformed."""


def parse_office_entry(row: Any) -> tuple[io.OfficeEntry, str]:
    """Parse one host of the list of offices; return its entry and address.  Raises InvalidOfficeList."""
    if not isinstance(row, dict):
        raise InvalidOfficeList("a host that is not an object")
    name, address, block, health = row.get("host"), row.get("dial"), row.get("block"), row.get("health")
    started_ms = row.get("born_ms") or 0
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NUMBER_LENGTH:
        raise InvalidOfficeList("a host without a name")
    if not isinstance(health, str) or health not in OFFICE_STATES:
        raise InvalidOfficeList(f"health {health!r} of {name}; allowed: {', '.join(OFFICE_STATES)}")
    if not isinstance(block, int) or not isinstance(started_ms, int) or not isinstance(address, str):
        raise InvalidOfficeList(f"dial, block or born_ms of {name} has the wrong type")
    return io.OfficeEntry(name, block, OFFICE_STATES[health], started_ms * MS), address
