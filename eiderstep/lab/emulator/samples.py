"""Samples of what the emulated world could carry during a day: processor capacities, circuits and cut links.

The linear programme in bound.py computes the upper bound of the service from them.
"""

from __future__ import annotations

from dataclasses import dataclass

from eiderstep.lab.emulator.emulated_world import EmulatedWorld

SAMPLE_INTERVAL = 0.5  # seconds between two samples


@dataclass(frozen=True)
class Sample:
    """State of the world at one moment.

    `at`: seconds since the beginning of the day; `capacity`: set-ups per second, by exchange;
    `circuit_shares`: share of the circuits in service, for pairs of exchanges where it is below 1;
    `cut_off`: exchanges that no bytes reach.
    """

    at: float
    capacity: tuple[float, ...]
    circuit_shares: dict[tuple[int, int], float]
    cut_off: frozenset[int]


def take_sample(world: EmulatedWorld) -> Sample:
    """Sample the true state, which no call server knows.  Draws no random numbers."""
    now, capacities = world.loop.time(), []
    for number in range(world.day.fleet.count):
        exchange, control = world.exchanges[number], world.control_hosts.get(number)
        processor = exchange.processor
        if control is not None and control.processor is not None:
            processor = control.processor
        frozen = any(
            host is not None and host.frozen_until > now for host in (world.hosts.get(number), control)
        )
        dead = world.conditions.is_active(number, "down") or exchange.killed
        hung = exchange.processor.hung
        capacities.append(0.0 if dead or hung or frozen else processor.capacity())
    cut_off = frozenset(n for n in world.exchanges if world.conditions.combined_value(n, "cut"))
    circuit_shares = {pair: share for pair, share in world.circuit_shares.items() if share < 1}
    return Sample(now - world.started_at, tuple(capacities), circuit_shares, cut_off)
