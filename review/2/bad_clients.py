"""Bad clients: each sends hundreds of requests at once, and the same again as soon as it is turned away.

Arguments: port, clients, requests at once, seconds.  The requests are for an exchange that does not exist.
"""

from __future__ import annotations

import asyncio
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

import standins as s


async def main(port: int, clients: int, at_once: int, seconds: float) -> None:
    sent = answered = 0

    def send(wire: s.Wire) -> None:
        nonlocal sent
        sent += 1
        wire.send(s.set_up(f"{0xBAD0000000000000 + sent:016x}", 3000, "dest:77;width:1;via:-1"))

    def heard(wire: s.Wire, message: s.Message) -> None:
        nonlocal answered
        answered += 1
        send(wire)

    for number in range(clients):
        _, wire = await asyncio.get_running_loop().create_connection(
            lambda: s.Wire(heard), s.HOST, port, local_addr=(f"127.0.0.{2 + number}", 0)
        )
        for _ in range(at_once):
            send(wire)
    began = time.time()
    await asyncio.sleep(seconds)
    print(f"{clients} bad clients: {sent} requests sent, {answered} answered in {time.time() - began:.1f} s")


asyncio.run(main(int(sys.argv[1]), int(sys.argv[2]), int(sys.argv[3]), float(sys.argv[4])))
