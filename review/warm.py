"""Warm offices as a process: `warm.py RATE NUMBER...`.  Prints their list entries; ends with its input."""

from __future__ import annotations

import asyncio
import json
import subprocess
import sys
from pathlib import Path
from typing import Any

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.standin.platform import HOST, Office, OfficeWire

OFFICES_OF_A_PROCESS = 6  # few, so that the links to them fit a usual limit of descriptors


class RatedWire(OfficeWire):
    """A link of an office that reports the rate of its processor."""

    def send_state(self) -> None:
        office = self.office
        assert isinstance(office, RatedOffice)
        report = f"x0:{office.size};x1:{office.size};queue:0;qps:{office.rate}"
        self.send(Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: report.encode()}))


class RatedOffice(Office):
    """An office with room for all calls: the states of its groups do not change."""

    def __init__(self, name: str, number: int, rate: float) -> None:
        super().__init__(name, number, size=60)
        self.rate = rate

    async def listen(self) -> None:
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(lambda: RatedWire(self), HOST, self.port)
        self.port = self.server.sockets[0].getsockname()[1]

    def send_states(self) -> None:
        pass


def start(numbers: list[int], rate: float) -> tuple[list[subprocess.Popen[bytes]], list[dict[str, Any]]]:
    """Start processes with offices of these numbers; return them and the offices' list entries."""
    processes, entries = [], []
    for first in range(0, len(numbers), OFFICES_OF_A_PROCESS):
        some = numbers[first : first + OFFICES_OF_A_PROCESS]
        process = subprocess.Popen(
            [sys.executable, __file__, str(rate), *map(str, some)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        processes.append(process)
    for process in processes:
        assert process.stdout is not None
        entries += json.loads(process.stdout.readline())
    return processes, entries


async def serve(rate: float, numbers: list[int]) -> None:
    offices = [RatedOffice(f"s-{number:08x}", number, rate) for number in numbers]
    for office in offices:
        await office.listen()
    print(json.dumps([office.list_entry() for office in offices]), flush=True)
    await asyncio.to_thread(sys.stdin.read)


if __name__ == "__main__":
    asyncio.run(serve(float(sys.argv[1]), [int(number) for number in sys.argv[2:]]))
