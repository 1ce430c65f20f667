"""Faults that can be planted in the code to check that fuzzing finds them."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from eiderstep.engine.circuits import Owner, TrunkGroup
from eiderstep.registry import decode
from eiderstep.sip import parser
from eiderstep.sip.message import Message
from eiderstep.trust.rules import RULES, Permission, Rule


def _plant_unchecked_bye() -> None:
    """Accepts requests within a dialog from any sender."""
    original = RULES[Permission.WITHIN]
    RULES[Permission.WITHIN] = Rule(
        original.status, lambda party, exchange, own_connection: True, original.threat, original.cost
    )


def _plant_circuit_leak() -> None:
    """Leaves the circuits of a refused claim busy."""
    original = TrunkGroup.claim

    def claim(self: TrunkGroup, circuits: Iterable[int], owner: Owner) -> tuple[bool, list[Owner]]:
        claimed = list(circuits)
        accepted, losers = original(self, claimed, owner)
        if not accepted:
            self.busy.update(dict.fromkeys(claimed, owner))
        return accepted, losers

    TrunkGroup.claim = claim  # type: ignore[method-assign]


def _plant_unchecked_length() -> None:
    """Reads Content-Length without checking that it is a number within the limits."""

    def length(message: Message, limits: parser.Limits) -> int | None:
        values = message.headers.get("content-length")
        return None if values is None else int(values[0])

    parser._content_length = length


def _plant_unchecked_cseq() -> None:
    """Accepts any CSeq header."""
    original = parser.check_headers

    def check(message: Message) -> None:
        try:
            original(message)
        except parser.BadMessage as error:
            if "CSeq" not in error.text:
                raise

    parser.check_headers = check


def _plant_key_error() -> None:
    """Raises KeyError instead of ValueError for every instance of a JSON list."""

    def instance(self: decode.JsonReader, data: bytes) -> None:
        raise KeyError(data[:10])

    decode.JsonReader._decode_instance = instance  # type: ignore[method-assign]


PLANTED_FAULTS: dict[str, tuple[str, Callable[[], None]]] = {
    "bye-by-anybody": ("engine", _plant_unchecked_bye),
    "circuits-never-back": ("engine", _plant_circuit_leak),
    "no-length-check": ("sip", _plant_unchecked_length),
    "cseq-unchecked": ("sip", _plant_unchecked_cseq),
    "rows-unchecked": ("eureka-json", _plant_key_error),
}
