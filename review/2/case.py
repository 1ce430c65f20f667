"""Bad clients that send hundreds of requests at once, beside usual callers."""

from __future__ import annotations

import asyncio
import subprocess
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s

CLIENTS, AT_ONCE = 8, 300  # the pages: "hundreds of requests at once"; their clients "send at full speed"
FLOOD = 15.0  # seconds
WAIT = 1.0  # seconds that a usual caller waits for the answer: a third of the class's give-up time
LIMIT = WAIT + 0.5 + 0.05  # lost if answered later; the pages: half a second, and every limit 50 ms longer
OWN_LAG = 0.4  # seconds; if this process lags by more, the case has not run


async def case(record: s.Record, folder: Path, trouble: bool) -> bool:
    change_log = s.ChangeLog(record)
    await change_log.listen()
    offices = [s.Office(record, f"s-0000000{n}", n, 80, 0.05) for n in (1, 2, 3)]
    for office in offices:
        office.hold = 2.0
        await office.listen()
    change_log.tell(*(office.entry() for office in offices), whole=True)
    server = s.CallServer(record, folder, change_log)
    sent: dict[str, float] = {}
    got: dict[str, tuple[float, int]] = {}
    flood: subprocess.Popen[str] | None = None
    lag = 0.0

    def heard(wire: s.Wire, message: s.Message) -> None:
        if message.kind in (s.ANSWER, s.RELEASE) and message.call not in got:
            got[message.call] = time.time(), message.kind

    async def watch_own_lag() -> None:
        nonlocal lag
        while True:
            at = time.time()
            await asyncio.sleep(0.02)
            lag = max(lag, time.time() - at - 0.02)

    watch = asyncio.create_task(watch_own_lag())
    try:
        await server.start()
        caller = await server.connect(heard)
        if trouble:
            flood = subprocess.Popen(
                [sys.executable, str(Path(__file__).with_name("bad_clients.py"))]
                + [str(server.port), str(CLIENTS), str(AT_ONCE), str(FLOOD)],
                stdout=subprocess.PIPE,
                text=True,
                preexec_fn=lambda: s.prepare_child(1024),  # noqa: PLW1509
            )
        began = time.time()
        while time.time() < began + FLOOD:
            name = f"{0xCA11000000000000 + len(sent):016x}"
            if not caller.open:
                caller = await server.connect(heard)
            sent[name] = time.time()
            caller.send(s.set_up(name, int(WAIT * 1000), f"dest:{1 + len(sent) % 3};width:1;via:-1"))
            await asyncio.sleep(0.1)
        await asyncio.sleep(8)
        if flood is not None:
            record(flood.communicate(timeout=20)[0].strip())
        lost = 0
        for name, at in sent.items():
            if name in got:
                took = got[name][0] - at
                text = f"{s.NAMES[got[name][1]]} after {took:.2f} s"
            else:
                took, text = 1e9, "no answer"
            lost += took > LIMIT
            record(
                f"usual caller's set-up {name} sent at {at - began:.2f} s: {text}" + " LOST" * (took > LIMIT)
            )
        stood = sum(kind == s.ANSWER for _, kind in got.values())
        record(f"{len(sent)} set-ups of usual callers, {stood} stood, {lost} not answered within {LIMIT} s")
        record(f"this process lagged by {lag:.3f} s at most")
        if lag > OWN_LAG:
            raise s.Unusable("this process was too slow to judge")
        return not lost
    finally:
        watch.cancel()
        if flood is not None and flood.poll() is None:
            flood.kill()
            flood.wait()
        server.end()


if __name__ == "__main__":
    s.main(Path(__file__).resolve().parent, case)
