"""Whole days through the real call server: no rule broken, every call one answer, nothing left busy."""

from pathlib import Path
from typing import Any

from eiderstep.lab import day as lab
from eiderstep.lab import script

DAYS = Path(__file__).resolve().parent.parent / "days"


def quiet(level: str, event: str, call: str, fields: dict[str, Any]) -> None:
    """A log that nobody reads."""


def test_a_calm_day_in_virtual_time_is_the_same_to_the_byte() -> None:
    day = script.load(DAYS / "calm.star")
    (one, first), (two, second) = lab.play(day, 1, quiet), lab.play(day, 1, quiet)
    assert one.good, one.as_json()
    assert one.service["service"] > 0.9 and one.asks > 300
    assert first.records == second.records and one.as_json() == two.as_json()
