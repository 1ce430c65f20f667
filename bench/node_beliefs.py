"""What a call server on the platform believes, beside what its sockets carry.

python bench/node_beliefs.py run            in place of `python -m eiderstep.node`: serves, and writes every message
                                            and its beliefs on standard error
python bench/node_beliefs.py judge LOG      rebuilds calls out, standing and circuits from the messages alone, and
                                            lists where the beliefs differ
"""  # noqa: E501

from __future__ import annotations

import json
import re
import sys
from collections import Counter
from pathlib import Path
from typing import Any

EVERY = 0.25  # seconds between two snapshots of beliefs


def run() -> int:
    """Serve as `eiderstep.node` does, with eyes open."""
    from eiderstep.isup import message as isup
    from eiderstep.isup.parser import Parser
    from eiderstep.node import __main__ as process
    from eiderstep.node import server, wires

    def say(kind: str, now: int, what: Any) -> None:
        sys.stderr.write(f"{kind} {now} {json.dumps(what)}\n")
        sys.stderr.flush()

    def line(wire: wires.Wire, way: str, item: Any) -> None:
        now, peer = wire.node.clock(), wire.office or f"caller {wire.source}"
        if isinstance(item, isup.Message):
            said = {
                str(code): value.decode("latin-1")[:60]
                for code, value in item.parameters.items()
                if code != 195
            }
            say("M", now, [way, wire.flow, peer, isup.NAMES[item.kind], item.call, said, item.cause])
        else:
            say("M", now, [way, wire.flow, peer, item if isinstance(item, str) else item.why, "", {}, None])

    received, send, made, lost = (
        wires.Wire.data_received, wires.Wire.send, wires.Wire.connection_made, wires.Wire.connection_lost
    )  # fmt: skip
    parsers: dict[int, Parser] = {}

    def data_received(self: wires.Wire, data: bytes) -> None:
        for item in parsers.setdefault(self.flow, Parser()).feed(data):
            line(self, "in", item)
        received(self, data)

    def sent(self: wires.Wire, data: bytes) -> None:
        for item in Parser().feed(data):
            line(self, "out", item)
        send(self, data)

    def connection_made(self: wires.Wire, transport: Any) -> None:
        made(self, transport)
        line(self, "up", "up")

    def connection_lost(self: wires.Wire, exc: Exception | None) -> None:
        line(self, "down", f"down {exc}")
        parsers.pop(self.flow, None)
        lost(self, exc)

    def beat(self: server.Node) -> None:
        calls, mind = self.calls, self.calls.mind
        offices = {
            o.name: [
                mind.groups[o.number].free if o.number in mind.groups else None,
                len(o.pending),
                o.opened,
            ]
            for o in mind.offices.values()
        }  # type: ignore[attr-defined]
        out = sum(len(a) for a in calls.on_link.values())
        open_ = sum(len(a) for a in calls.asked.values())
        standing = {office: len(names) for office, names in calls.standing.items()}
        say("B", self.clock(), {"open": open_, "out": out, "standing": standing, "offices": offices})
        self.loop.call_later(EVERY, beat, self)

    start = server.Node.start

    async def started(self: server.Node) -> None:
        await start(self)
        beat(self)

    wires.Wire.data_received, wires.Wire.send = data_received, sent  # type: ignore[method-assign]
    wires.Wire.connection_made, wires.Wire.connection_lost = connection_made, connection_lost  # type: ignore[method-assign]
    server.Node.start = started  # type: ignore[method-assign]
    return process.main()


def judge(path: Path) -> int:
    """Compare; the figures of each snapshot with what the messages up to then say."""
    open_: dict[str, int] = {}
    out: dict[str, int] = {}
    standing: dict[str, str] = {}
    free: dict[str, int] = {}
    gaps: dict[str, list[float]] = {"open": [], "out": [], "standing": [], "free": []}
    kinds: Counter[str] = Counter()
    for raw in path.read_text(errors="replace").splitlines():
        found = re.match(r"(?:\[[0-9.]+\] )?([MB]) (\d+) (.*)", raw)
        if not found:
            continue
        what = json.loads(found[3])
        if found[1] == "B":
            gaps["open"].append(what["open"] - len(open_))
            gaps["out"].append(what["out"] - len(out))
            gaps["standing"].append(sum(what["standing"].values()) - len(standing))
            gaps["free"] += [
                row[0] - free[name]
                for name, row in what["offices"].items()
                if name in free and row[0] is not None
            ]
            continue
        way, flow, peer, kind, call, said, _ = what
        caller = peer.startswith("caller ")
        kinds[f"{'caller' if caller else 'office'} {way} {kind.split()[0]}"] += 1
        report = re.match(r"(?:x0|idle):(-?\d+)", said.get("189", ""))
        if report and int(report[1]) >= 0:
            free[peer] = int(report[1])
        if way == "down":
            gone = open_ if caller else out
            for name in [n for n, f in gone.items() if f == flow]:
                del gone[name]
        elif caller and way == "in" and kind == "IAM":
            if "at:" in said.get("185", ""):
                standing[call] = said["185"].partition("at:")[2]
            else:
                open_[call] = flow
        elif kind == "REL":
            if caller:
                open_.pop(call, None)
            out.pop(call, None)
            standing.pop(call, None)
        elif kind == "ANM":
            if caller:
                open_.pop(call, None)
                standing[call] = peer
            elif call in out:
                del out[call]
        elif kind == "IAM":
            out[call] = flow
    print(dict(kinds))
    for name, values in gaps.items():
        counted = Counter(values)
        print(f"{name}: {len(values)} looks, alike {counted[0]}, others {sorted(counted.items())[:24]}")
    return 0


if __name__ == "__main__":
    sys.exit(run() if sys.argv[1:2] == ["run"] else judge(Path(sys.argv[2])))
