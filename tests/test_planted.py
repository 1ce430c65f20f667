"""The audit, which sees only the messages on the sockets, finds faults patched into the running server."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest

from eiderstep import interface as io
from eiderstep.config.schema import ServerSettings
from eiderstep.engine.core import Engine
from eiderstep.engine.invites import CallRequest, InviteReader
from eiderstep.lab import day as lab
from eiderstep.lab import script
from eiderstep.sip.message import Message

DAYS = Path(__file__).resolve().parent.parent / "days"
SECOND = 1_000_000_000


def skip_release_wait(patch: pytest.MonkeyPatch) -> None:
    """Sets the release wait of the decision module to 0, so that it does not wait for the end of a cancelled
    attempt."""
    original = ServerSettings.decision_settings
    patch.setattr(ServerSettings, "decision_settings", lambda self: replace(original(self), release_wait=0))


def discard_register_updates(patch: pytest.MonkeyPatch) -> None:
    """Discards all updates of the register except the remembered list."""
    original = Engine.update_offices

    def keep_remembered(
        self: Engine, now: int, kind: io.ListKind, entries: tuple[io.OfficeEntry, ...]
    ) -> None:
        if kind is io.ListKind.REMEMBERED:
            original(self, now, kind, entries)

    patch.setattr(Engine, "update_offices", keep_remembered)


def extend_give_up_time(patch: pytest.MonkeyPatch) -> None:
    """Adds two seconds to the give-up time that the server reads from each INVITE."""
    original = InviteReader.read

    def read_extended(self: InviteReader, message: Message) -> CallRequest:
        request = original(self, message)
        return replace(request, give_up_time=request.give_up_time + 2 * SECOND)

    patch.setattr(InviteReader, "read", read_extended)


@pytest.mark.parametrize(
    ("plant_fault", "day", "rule"),
    [
        (skip_release_wait, "answers_lost", 5),
        (discard_register_updates, "deploy", 3),
        (extend_give_up_time, "answers_lost", 1),
    ],
)
def test_audit_finds_planted_fault(
    plant_fault: Callable[[pytest.MonkeyPatch], None], day: str, rule: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    plant_fault(monkeypatch)

    def discard_log(*_: Any) -> None:
        """Discards log events."""

    result, _ = lab.play(script.load(DAYS / f"{day}.star"), 1, discard_log)
    broken_rules = {breach.rule for breach in result.audit_report.breaches}
    assert rule in broken_rules and not result.passed, result.audit_report.breaches[:3]
    first = next(breach for breach in result.audit_report.breaches if breach.rule == rule)
    assert first.call and first.node == "server-0" and f"rule {rule} at " in str(first)
