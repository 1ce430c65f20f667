"""Settings scripts: values, round trip through `dump`, error messages, and limits on runaway scripts."""

from __future__ import annotations

from pathlib import Path

import pytest

from eiderstep.config import ConfigError, load_text
from eiderstep.config.dump import dump
from eiderstep.lab import script

VALID = """number = 0
listen = "127.0.0.1:0"
context = "midlands"
classes = [
    call_class(name = "a", aim = s(1.2), give_up = s(9), mean_hold = s(10)),
    call_class(name = "b", aim = ms(1200), give_up = s(9), mean_hold = s(10), worth = 3.0, width = 3),
]
_first = 5061
peers = [peer(number = n, address = "127.0.0.1:%d" % (_first + n), circuits = 30) for n in [1, 2]]
dial_plan = [
    route(prefix = "1", exchange = 1),
]
rules = rules(cold = cold(share = 0.3, time = s(14)))
"""


def test_valid_settings_load_and_survive_a_dump() -> None:
    settings = load_text(VALID)
    module = settings.decision_settings()
    assert module.classes[1].width == 3 and module.classes[0].aim == 1_200_000_000
    assert module.cold_time == 14_000_000_000 and settings.peers[1].address == "127.0.0.1:5063"
    assert load_text(dump(settings)) == settings


INVALID = [
    ("width = 3", "width = 300", 6, "classes[1].width", "found 300; allowed: 1 to 64"),
    ("width = 3", "widht = 3", 6, "classes[1].widht", "allowed: name, aim"),
    ("number = 0", "number = -1", 1, "number", "found -1; allowed: 0 to 65535"),
    ("number = 0\n", "", 1, "number", "missing"),
    ("number = 0", "number = 1", 9, "peers[0].number", "this exchange"),
    ('"127.0.0.1:0"', '"nowhere"', 2, "listen", "found 'nowhere'; allowed: host:port"),
    ("exchange = 1", "exchange = 7", 11, "dial_plan[0].exchange", "found 7; allowed: one of [0, 1, 2]"),
    ('route(prefix = "1"', 'route(prefix = "1x"', 11, "dial_plan[0].prefix", "up to 32 digits"),
    ("share = 0.3", "share = 2.0", 13, "rules.cold.share", "found 2.0; allowed: above 0, at most 1"),
    (
        "mean_hold = s(10), worth",
        "mean_hold = 10, worth",
        6,
        "classes[1].mean_hold",
        "found 10; allowed: ms(1)",
    ),
    ('name = "b"', 'name = "a"', 6, "classes[1].name", "again"),
    ("worth = 3.0", 'worth = "much"', 6, "classes[1].worth", "found 'much'"),
    ("[1, 2]", "[1, 1]", 9, "peers[1].number", "again"),
    ("_first", "first", 8, "first", "no such setting"),
    ("_first = 5061", "_first = 1 // 0", 8, "", "division by zero"),
    ("_first = 5061", "_first = = 1", 8, "", "Parse error"),
    ("_first = 5061", 'load("x.star", "y")\n_first = 5061', 8, "", "imports"),
    ("_first = 5061", '_first = open("x")', 8, "", "open"),
    ("context =", "udp = 1\ncontext =", 3, "udp", "found 1"),
    ("context =", 'default_class = "z"\ncontext =', 3, "default_class", "found 'z'; allowed: one of a, b"),
    ("context =", "ordinal = 4\ncontext =", 3, "ordinal", "below controllers"),
]


@pytest.mark.parametrize(("old", "new", "line", "field", "text"), INVALID)
def test_errors_name_file_line_field_found_and_allowed(
    old: str, new: str, line: int, field: str, text: str
) -> None:
    assert old in VALID
    with pytest.raises(ConfigError) as caught:
        load_text(VALID.replace(old, new), "site.star")
    problem = caught.value
    assert (problem.file, problem.line, problem.field) == ("site.star", line, field), str(problem)
    assert text in problem.text and str(problem).startswith(f"site.star:{line}: ")


def test_errors_in_day_scripts_are_reported(tmp_path: Path) -> None:
    day = (Path(__file__).parent.parent / "days" / "hang.star").read_text()
    for old, new, text in (
        ("exchanges = [2]", "exchanges = [9]", "found 9; allowed: 1 to 5"),
        ('kind = "hang"', 'kind = "hung"', "allowed: burst, flood"),
        ("shares = [0.71, 0.09, 0.20]", "shares = [1.0]", "found 1; allowed: one for each of 3"),
        ("at = s(8)", "at = s(99)", "allowed: up to the day's"),
    ):
        assert old in day
        path = tmp_path / "day.star"
        path.write_text(day.replace(old, new))
        with pytest.raises(ConfigError, match="day.star:") as caught:
            script.load(path)
        assert text in caught.value.text


RUNAWAY = {
    "a list of a billion numbers": "name = [i for i in range(1000000000)]",
    "a list doubled": "def f():\n  x = [1]\n  for i in range(60):\n    x = x + x\n  return x\nname = f()",
    "a string doubled at each line": "_a = 'x' * 1000\n" + "_a = _a + _a\n" * 40 + "name = _a",
    "a string of gigabytes": "name = 'x' * 2000000000",
    "a loop of a billion rounds": "def f():\n  for i in range(1 << 30):\n    n = i\n  return n\nname = f()",
    "endless recursion": "def f(n):\n  return f(n + 1)\nname = f(0)",
}  # fmt: skip


@pytest.mark.parametrize("name", RUNAWAY)
def test_runaway_script_gives_a_one_line_error(name: str) -> None:
    """Without limits the first script takes gigabytes and kills the process with a traceback of its own."""
    with pytest.raises(ConfigError) as caught:
        load_text(RUNAWAY[name], "s.star")
    error = str(caught.value)
    assert error.startswith("s.star:") and "\n" not in error and ("allowed" in error or "overflow" in error)
    assert load_text(VALID).number == 0, "after a runaway script the process can still load valid settings"
