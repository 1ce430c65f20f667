"""One own trunk group, or one pool of agents: its circuits, loss systems and reserve.  No I/O, no clock."""

from __future__ import annotations

import math

from eiderstep import interface as io
from eiderstep.policy.decaying_count import DecayingCount
from eiderstep.policy.loss_system import MIN_RELEASES, LossSystem

SECOND = 1_000_000_000
QUARTILE_Z = 0.674  # of the normal distribution: a route counts as likely from a probability of 25% on
RESERVE_FLOOR = 0.5  # square roots of the group size; least reserve in a partial mesh, else a widest call
RESERVE_GROWTH_BLOCKS = 3.0  # recent direct blockings at which the reserve has grown by 63%
BLOCK_HALF_LIFE = 0.3  # mean holding times


class Group:
    """One own trunk group, or one pool of agents."""

    def __init__(self, classes: tuple[io.CallClass, ...]) -> None:
        self.free: int | None = None
        self.size: int | None = None
        self.linked = True  # whether the group has any circuits
        # Calls sent over the far end as a tandem and those of them that stood; the ratio begins at one half.
        self.tandem_sends, self.tandem_successes = 2.0, 1.0
        self.systems = [LossSystem(c.mean_hold) for c in classes]
        # Releases per call-second.
        self.default_release_rate = SECOND * len(classes) / sum(c.mean_hold for c in classes)
        self.direct_blocks = DecayingCount(BLOCK_HALF_LIFE * max(c.mean_hold for c in classes))

    def apply_report(self, report: io.LoadReport) -> None:
        """Take over what a report says of the group.

        Circuits become free by reports only, since the far end seizes circuits of the same group.
        """
        self.free = self.free if report.free is None else report.free
        self.size = self.size if report.size is None else report.size
        self.linked = self.size != 0  # calls between a pair without circuits are planned over a tandem

    def time_until_released(self, circuits: float) -> float:
        """Time (ns) in which so many circuits are released with a probability of 25% at the recent rate."""
        releases, exposure = sum(s.releases for s in self.systems), sum(s.exposure for s in self.systems)
        rate = releases / exposure if releases >= MIN_RELEASES and exposure > 0 else self.default_release_rate
        # Time to the k-th event of a Poisson process, by Wilson and Hilferty's gamma quantile.
        k = max(circuits, 0.1)
        gaps = k * max(1 - 1 / (9 * k) - QUARTILE_Z / (3 * math.sqrt(k)), 0.0) ** 3
        return gaps / max(((self.size or 0) - (self.free or 0)) * rate, 1e-9) * SECOND

    def reserve(self, now: int, widest: int, partial_mesh: bool = False) -> float:
        """Circuits kept from transit and alternate calls; they grow as direct calls are blocked.

        In a partial mesh, where some pairs have no group, the floor is lower so that planned transit passes.
        The cost is more blocking of direct calls in overload.
        """
        size_root, growth = (
            math.sqrt(self.size or 0),
            1.0 - math.exp(-self.direct_blocks.read(now) / RESERVE_GROWTH_BLOCKS),
        )
        return (min(RESERVE_FLOOR * size_root, widest) if partial_mesh else widest) + growth * size_root
