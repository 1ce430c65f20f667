"""Searches for the single message that costs the engine most CPU time or memory, with a genetic algorithm.

Messages are mutated by repeating, inserting and joining pieces and changing bytes, up to the default limits;
the most expensive ones are the parents of the next.  `python -m eiderstep.lab.fuzz.worst SECONDS SEED`.
"""

from __future__ import annotations

import sys
import time
import tracemalloc
from random import Random

import msgspec

from eiderstep.config.schema import Limits as SettingsLimits
from eiderstep.config.schema import Peer
from eiderstep.engine.core import Engine
from eiderstep.lab.fuzz.harness import EngineHarness, harness_settings
from eiderstep.sip.parser import BadMessage, Limits, Parser
from eiderstep.standin.stranger import ATTACKS, encode_message
from eiderstep.trust.party import Party

SECOND = 1_000_000_000
PEERS, CIRCUITS = 60, 60
POOL_SIZE = 24
SENDER_FLOW = 500
INSERTED_TOKENS = [
    b"\r\n ", b";tag=", b";branch=z9hG4bK", b",", b"<", b'"', b"\\", b"0-65535,", b"9", b";", b"=",
    b"\t", b"%",
    b"Via: SIP/2.0/TCP a;oc=1\r\n", b"Reason: Q.850;cause=1\r\n", b"Eiderstep-Marks: cut,redialled\r\n",
    b"X-a: b\r\n", b"Eiderstep-Circuits: 0,1\r\n", b"Contact: <sip:trunk;tgrp=0-1;trunk-context=t@s>\r\n",
]  # fmt: skip


def make_engine() -> tuple[Engine, Limits]:
    """Returns an engine with sixty groups and its parser limits.

    The message will come from exchange 1: exchanges may send more kinds of message than callers.
    """
    peers = [Peer(number=n, address=f"10.0.0.{n}:1", circuits=CIRCUITS) for n in range(1, PEERS + 1)]
    default_limits = SettingsLimits()
    engine = Engine(msgspec.structs.replace(harness_settings(), peers=peers), "10.0.0.9:5060")
    engine.start(0)
    for number in range(1, PEERS + 1):
        engine.link_up(SECOND, f"10.0.0.{number}:1", number)
    engine.set_party(SENDER_FLOW, Party(frozenset([1]), engine.party_directory.own_lines, "x1"))
    engine.flush(SECOND)
    engine.out.clear()
    return engine, Limits(
        default_limits.line, default_limits.head, default_limits.headers, default_limits.body
    )


def measure_traced(data: bytes) -> tuple[float, int, bool]:
    """Returns CPU time (s), peak memory (bytes), and whether the parser accepted the data as a message.

    The CPU time includes that of memory tracing.
    """
    engine, limits = make_engine()
    tracemalloc.start()
    cpu_before = time.process_time()
    items = Parser(limits).feed(data)
    for item in items[:1]:
        engine.handle_message(2 * SECOND, SENDER_FLOW, item)
        engine.flush(2 * SECOND)
    cpu_seconds = time.process_time() - cpu_before
    peak_bytes = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    return cpu_seconds, peak_bytes, bool(items) and not isinstance(items[0], BadMessage)


def measure_cost(data: bytes) -> tuple[float, int, bool]:
    """Returns the same as `measure_traced`, with the least CPU time of three runs without memory tracing."""
    _, peak_bytes, accepted = measure_traced(data)
    least_cpu = 1e9
    for _ in range(3):
        engine, limits = make_engine()
        cpu_before = time.process_time()
        for item in Parser(limits).feed(data)[:1]:
            engine.handle_message(2 * SECOND, SENDER_FLOW, item)
            engine.flush(2 * SECOND)
        least_cpu = min(least_cpu, time.process_time() - cpu_before)
    return least_cpu, peak_bytes, accepted


def mutate(rng: Random, parent: bytes, other: bytes) -> bytes:
    """Repeats a piece of `parent`, inserts a token many times or a piece of `other`, or changes a byte."""
    data, mutation = bytearray(parent), rng.randrange(4)
    position = rng.randrange(len(data) + 1)
    if mutation == 0:
        piece = bytes(data[position : position + rng.choice((1, 4, 16, 64, 256))])
        data[position:position] = piece * rng.choice((1, 8, 64, 512))
    elif mutation == 1:
        data[position:position] = rng.choice(INSERTED_TOKENS) * rng.choice((1, 8, 64, 512))
    elif mutation == 2:
        start = rng.randrange(len(other) + 1)
        data[position:position] = other[start : start + rng.choice((16, 128, 1024))]
    elif data:
        data[position % len(data)] = rng.randrange(256)
    return bytes(data[:90_000])


def search(seconds: float, seed: int) -> dict[str, tuple[float, int, bytes]]:
    """Returns the most expensive accepted messages, by CPU time (s) and by memory (bytes)."""
    rng, victim = Random(seed), EngineHarness().victim
    seed_messages = [
        encode_message(attack.make(victim, number)) for number, attack in enumerate(ATTACKS.values())
    ]
    most_expensive = {"cpu": (0.0, 0, b""), "memory": (0.0, 0, b"")}
    candidates: list[tuple[float, int, bytes]] = []
    deadline, tried = time.monotonic() + seconds, 0
    while time.monotonic() < deadline:
        if tried < len(seed_messages):
            data = seed_messages[tried]
        else:
            parent = (
                rng.choice(candidates)[2] if candidates and rng.random() < 0.8 else rng.choice(seed_messages)
            )
            data = mutate(rng, parent, rng.choice(seed_messages))
        tried += 1
        cpu_seconds, peak_bytes, accepted = measure_cost(data)
        measured = (cpu_seconds, peak_bytes, data)
        if accepted:
            if cpu_seconds > most_expensive["cpu"][0]:
                most_expensive["cpu"] = measured
            if peak_bytes > most_expensive["memory"][1]:
                most_expensive["memory"] = measured
        candidates.append(measured)  # a rejected message may mutate into an accepted one
        if len(candidates) > 2 * POOL_SIZE:
            by_cpu, by_memory = (
                sorted(candidates, key=lambda candidate: -candidate[0]),
                sorted(candidates, key=lambda candidate: -candidate[1]),
            )
            candidates = by_cpu[: POOL_SIZE // 2] + by_memory[: POOL_SIZE // 2]
    print(f"{tried} messages tried")
    return most_expensive


def main() -> None:
    """Runs the search and prints the most expensive messages."""
    for resource, (cpu_seconds, peak_bytes, data) in search(float(sys.argv[1]), int(sys.argv[2])).items():
        print(
            f"{resource}: {cpu_seconds * 1000:.2f} ms, {peak_bytes} bytes, "
            f"a message of {len(data)}: {data[:300]!r}"
        )


if __name__ == "__main__":
    main()
