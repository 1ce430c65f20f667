"""The dearest single message: a search, not a guess.

Messages grow by pieces repeated, joined and swapped, as far as the default limits let them; what costs the
engine most CPU, or most memory, is bred from.  `python -m eiderstep.lab.fuzz.worst SECONDS SEED`.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from random import Random

import msgspec

from eiderstep.config.schema import Limits as Allowed
from eiderstep.config.schema import Peer
from eiderstep.engine.core import Engine
from eiderstep.lab.fuzz.beside import Beside, site
from eiderstep.sip.parser import BadMessage, Limits, Parser
from eiderstep.standin.stranger import ATTACKS, coded
from eiderstep.trust.party import Party

SECOND = 1_000_000_000
PEERS, CIRCUITS = 60, 60
KEPT = 24
FLOW = 500
WORDS = [
    b"\r\n ", b";tag=", b";branch=z9hG4bK", b",", b"<", b'"', b"\\", b"0-65535,", b"9", b";", b"=",
    b"\t", b"%",
    b"Via: SIP/2.0/TCP a;oc=1\r\n", b"Reason: Q.850;cause=1\r\n", b"Eiderstep-Marks: cut,redialled\r\n",
    b"X-a: b\r\n", b"Eiderstep-Circuits: 0,1\r\n", b"Contact: <sip:trunk;tgrp=0-1;trunk-context=t@s>\r\n",
]  # fmt: skip


def fresh() -> tuple[Engine, Limits]:
    """An engine of sixty groups; the message comes from the exchange 1, which may say most."""
    peers = [Peer(number=n, address=f"10.0.0.{n}:1", circuits=CIRCUITS) for n in range(1, PEERS + 1)]
    allowed = Allowed()
    engine = Engine(msgspec.structs.replace(site(), peers=peers), "10.0.0.9:5060")
    engine.begin(0)
    for number in range(1, PEERS + 1):
        engine.link_up(SECOND, f"10.0.0.{number}:1", number)
    engine.meet(FLOW, Party(frozenset([1]), engine.book.own, "x1"))
    engine.flush(SECOND)
    engine.out.clear()
    return engine, Limits(allowed.line, allowed.head, allowed.headers, allowed.body)


def once(data: bytes) -> tuple[float, int, bool]:
    """Seconds of CPU, bytes at the peak, and whether the engine took it as a message."""
    engine, limits = fresh()
    tracemalloc.start()
    began = time.process_time()
    items = Parser(limits).feed(data)
    for item in items[:1]:
        engine.message(2 * SECOND, FLOW, item)
        engine.flush(2 * SECOND)
    took = time.process_time() - began
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return took, peak, bool(items) and not isinstance(items[0], BadMessage)


def cost(data: bytes) -> tuple[float, int, bool]:
    """The same, with the CPU taken without the tracing, the least of three."""
    _, peak, taken = once(data)
    best = 1e9
    for _ in range(3):
        engine, limits = fresh()
        began = time.process_time()
        for item in Parser(limits).feed(data)[:1]:
            engine.message(2 * SECOND, FLOW, item)
            engine.flush(2 * SECOND)
        best = min(best, time.process_time() - began)
    return best, peak, taken


def bred(rng: Random, one: bytes, other: bytes) -> bytes:
    """A change: a piece repeated, a word put in many times, two joined, a byte swapped."""
    data, kind = bytearray(one), rng.randrange(4)
    at = rng.randrange(len(data) + 1)
    if kind == 0:
        piece = bytes(data[at : at + rng.choice((1, 4, 16, 64, 256))])
        data[at:at] = piece * rng.choice((1, 8, 64, 512))
    elif kind == 1:
        data[at:at] = rng.choice(WORDS) * rng.choice((1, 8, 64, 512))
    elif kind == 2:
        cut = rng.randrange(len(other) + 1)
        data[at:at] = other[cut : cut + rng.choice((16, 128, 1024))]
    elif data:
        data[at % len(data)] = rng.randrange(256)
    return bytes(data[:90_000])


def search(seconds: float, seed: int) -> dict[str, tuple[float, int, bytes]]:
    """The dearest message taken, by CPU (s) and by memory (bytes)."""
    rng, victim = Random(seed), Beside().victim
    stock = [coded(a.made(victim, n)) for n, a in enumerate(ATTACKS.values())]
    best = {"cpu": (0.0, 0, b""), "memory": (0.0, 0, b"")}
    pool: list[tuple[float, int, bytes]] = []
    ends, tried = time.monotonic() + seconds, 0
    while time.monotonic() < ends:
        if tried < len(stock):
            data = stock[tried]
        else:
            mother = rng.choice(pool)[2] if pool and rng.random() < 0.8 else rng.choice(stock)
            data = bred(rng, mother, rng.choice(stock))
        tried += 1
        took, peak, taken = cost(data)
        row = (took, peak, data)
        if taken:
            if took > best["cpu"][0]:
                best["cpu"] = row
            if peak > best["memory"][1]:
                best["memory"] = row
        pool.append(row)  # what is refused may be bred into what is taken
        if len(pool) > 2 * KEPT:
            by_cpu, by_size = sorted(pool, key=lambda r: -r[0]), sorted(pool, key=lambda r: -r[1])
            pool = by_cpu[: KEPT // 2] + by_size[: KEPT // 2]
    print(f"{tried} messages tried")
    return best


def main() -> None:
    """Print the dearest."""
    for what, (took, peak, data) in search(float(sys.argv[1]), int(sys.argv[2])).items():
        print(f"{what}: {took * 1000:.2f} ms, {peak} bytes, a message of {len(data)}: {data[:300]!r}")


if __name__ == "__main__":
    main()
