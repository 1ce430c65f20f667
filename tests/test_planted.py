"""Faults planted in the running server itself: the judge, who sees only its sockets, finds each."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.engine.core import Engine
from eiderstep.engine.offers import Offer, Reader
from eiderstep.lab import day as lab
from eiderstep.lab import script
from eiderstep.sip.message import Message

DAYS = Path(__file__).resolve().parent.parent / "days"
SECOND = 1_000_000_000


def impatient(patch: pytest.MonkeyPatch) -> None:
    """The module is told that no release need be awaited, and the engine reports a cancel at once."""
    module = ServerSettings.module
    patch.setattr(ServerSettings, "module", lambda self: replace(module(self), release_wait=0))


def deaf(patch: pytest.MonkeyPatch) -> None:
    """News of the register is thrown away."""
    news = Engine.news

    def ignore(self: Engine, now: int, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]) -> None:
        if kind is io.ListKind.REMEMBERED:
            news(self, now, kind, entries)

    patch.setattr(Engine, "news", ignore)


def late(patch: pytest.MonkeyPatch) -> None:
    """Callers are held to wait two seconds longer than they do."""
    read = Reader.read

    def longer(self: Reader, message: Message) -> Offer:
        offer = read(self, message)
        return replace(offer, patience=offer.patience + 2 * SECOND)

    patch.setattr(Reader, "read", longer)


@pytest.mark.parametrize(
    ("plant", "day", "rule"), [(impatient, "answers_lost", 5), (deaf, "deploy", 3), (late, "answers_lost", 1)]
)
def test_a_planted_fault_is_found(
    plant: Callable[[pytest.MonkeyPatch], None], day: str, rule: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant(monkeypatch)

    def quiet(*_: Any) -> None:
        """A log that nobody reads."""

    result, _ = lab.play(script.load(DAYS / f"{day}.star"), 1, quiet)
    found = {b.rule for b in result.verdict.breaches}
    assert rule in found and not result.good, result.verdict.breaches[:3]
    first = next(b for b in result.verdict.breaches if b.rule == rule)
    assert first.call and first.node == "server-0" and f"rule {rule} at " in str(first)
