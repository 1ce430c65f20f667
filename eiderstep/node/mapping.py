"""What the platform's words mean to the module: set-ups, ends and notes, reports, the list of offices."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

from eiderstep import interface as io
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message, figures
from eiderstep.reading import read_report

MS = 1_000_000
LONGEST_NUMBER = 64  # characters of a number called
LONGEST_WAIT = 4  # times the longest give-up time of a class that a caller may say to wait

# The platform's names of a report's figures, and those of the settings.
REPORT_NAMES = {
    "x0": "idle", "x1": "circuits", "queue": "waiting", "qps": "max_rate", "inflight": "active",
    "latency_ms": "avg_ms", "util": "cpu", "eps": "reduce",
}  # fmt: skip
ENDS = {
    isup.NO_CIRCUIT: io.Outcome.TURNED_AWAY,
    isup.BUSY: io.Outcome.FAULT,
    isup.PREEMPTED: io.Outcome.FAULT,
    isup.RECOVERY: io.Outcome.NOT_SENT,
}
NOTES = {
    "atb": io.Cause.NO_CIRCUIT,
    "rtb": io.Cause.TANDEM_REFUSED,
    "racc": io.Cause.BEYOND_FULL,
    "acc": io.Cause.PROCESSOR_FULL,
    "sub": io.Cause.NUMBER_BUSY,
}
STATES = {"ready": io.OfficeState.UP, "draining": io.OfficeState.DRAINING, "gone": io.OfficeState.GONE}


class Unfit(Exception):
    """A set-up that cannot be served as it stands."""


class Reader:
    """Reads set-ups under the settings."""

    def __init__(self, settings: io.Settings, names: Sequence[str]) -> None:
        self.classes = {name: number for number, name in enumerate(names)}
        self.widths = [c.width for c in settings.classes]
        self.longest = LONGEST_WAIT * max(c.give_up for c in settings.classes) // MS

    def offer(self, sent: int, message: Message) -> io.CallOffered | str:
        """The offer to the module, or the office where the call stands already.  Raises Unfit.

        `sent`: when its last byte had come, at the latest (ns).
        """
        text = message.text(isup.FIGURES) or ""
        said = figures(text)
        if message.call == isup.NO_CALL:
            raise Unfit("call reference 0")
        if said is None:
            at = self._at(text)
            if at:
                return at
            raise Unfit("parameter 185 is no list of figures such as dest:2;width:1")
        name, wait = message.text(isup.CLASS), message.number(isup.PATIENCE)
        number = message.text(isup.NUMBER)
        cls = self.classes.get(name or "")
        if cls is None:
            raise Unfit(f"parameter 180: no class {(name or '')[:40]!r}")
        if wait is None or not 0 < wait <= self.longest:
            raise Unfit(f"parameter 181; allowed: 1 to {self.longest} ms")
        if not number or len(number) > LONGEST_NUMBER or " " in number:
            raise Unfit(f"parameter 184; allowed: 1 to {LONGEST_NUMBER} characters without blanks")
        dest, width = said.get("dest", -1.0), said.get("width", 1.0)
        if not dest.is_integer() or not 0 <= dest < 65536:
            raise Unfit("parameter 185: dest; allowed: 0 to 65535")
        if width != self.widths[cls]:
            raise Unfit(f"parameter 185: width; allowed for this class: {self.widths[cls]}")
        return io.CallOffered(
            call=message.call,
            class_no=cls,
            dest=int(dest),
            width=int(width),
            expires=sent + wait * MS,
            number=number,
            hint=int(said.get("via", -1)),
            transit=said.get("transit") == 1,
            was_cut=said.get("again") == 1,
        )

    @staticmethod
    def _at(text: str) -> str:
        for pair in text.split(";"):
            name, _, value = pair.partition(":")
            if name == "at" and 0 < len(value) <= LONGEST_NUMBER:
                return value
        return ""


def report(message: Message) -> io.LoadReport | None:
    """The load report that a message carries, empty where it carries none; None where it cannot be read."""
    if isup.REPORT not in message.parameters:
        return io.LoadReport()
    said = figures(message.text(isup.REPORT) or "?")
    if said is None:
        return None
    return read_report({REPORT_NAMES.get(name, name): value for name, value in said.items()})


def outcome(message: Message) -> tuple[io.Outcome, io.Cause]:
    """How an attempt ended, and why, by an office's release before the answer."""
    ended = ENDS.get(message.cause or 0, io.Outcome.CUT)
    return ended, NOTES.get(message.text(isup.NOTE) or "", io.Cause.NONE)


def readable(description: bytes) -> bool:
    """Whether a description can be passed on: some lines of text."""
    return bool(description) and description.isascii()


class BadList(ValueError):
    """News of the offices that cannot be read."""


def entry(row: Any) -> tuple[io.OfficeEntry, str]:
    """One line of the list of offices, and its address.  Raises BadList."""
    if not isinstance(row, dict):
        raise BadList("a host that is no object")
    name, dial, block, health = row.get("host"), row.get("dial"), row.get("block"), row.get("health")
    born = row.get("born_ms") or 0
    if not isinstance(name, str) or not 0 < len(name) <= LONGEST_NUMBER:
        raise BadList("a host without a name")
    if not isinstance(health, str) or health not in STATES:
        raise BadList(f"health {health!r} of {name}; allowed: {', '.join(STATES)}")
    if not isinstance(block, int) or not isinstance(born, int) or not isinstance(dial, str):
        raise BadList(f"dial, block or born_ms of {name}")
    return io.OfficeEntry(name, block, STATES[health], born * MS), dial
