"""Faults to plant, so that fuzzing can be seen to find something."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eiderstep.engine.circuits import Ledger, Owner
from eiderstep.registry import decode
from eiderstep.sip import parser
from eiderstep.sip.message import Message
from eiderstep.trust.rules import RULES, Act, Rule


def _bye_by_anybody() -> None:
    was = RULES[Act.WITHIN]
    RULES[Act.WITHIN] = Rule(was.status, lambda who, about, own: True, was.danger, was.hurts)


def _circuits_never_back() -> None:
    """A claim that is refused leaves its circuits busy."""
    was = Ledger.claim

    def claim(self: Ledger, circuits: Iterable[int], owner: Owner) -> tuple[bool, list[Owner]]:
        wanted = list(circuits)
        held, losers = was(self, wanted, owner)
        if not held:
            self.busy.update(dict.fromkeys(wanted, owner))
        return held, losers

    Ledger.claim = claim  # type: ignore[method-assign]


def _no_length_check() -> None:
    def length(message: Message, limits: parser.Limits) -> int | None:
        values = message.headers.get("content-length")
        return None if values is None else int(values[0])

    parser._length = length


def _cseq_unchecked() -> None:
    was = parser.check

    def check(message: Message) -> None:
        try:
            was(message)
        except parser.BadMessage as problem:
            if "CSeq" not in problem.text:
                raise

    parser.check = check


def _rows_unchecked() -> None:
    def instance(self: decode.JsonReader, data: bytes) -> None:
        raise KeyError(data[:10])

    decode.JsonReader._instance = instance  # type: ignore[method-assign]


PLANTED: dict[str, tuple[str, Callable[[], None]]] = {
    "bye-by-anybody": ("engine", _bye_by_anybody),
    "circuits-never-back": ("engine", _circuits_never_back),
    "no-length-check": ("sip", _no_length_check),
    "cseq-unchecked": ("sip", _cseq_unchecked),
    "rows-unchecked": ("eureka-json", _rows_unchecked),
}
