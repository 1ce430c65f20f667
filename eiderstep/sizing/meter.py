"""Measures the trunk groups of a call server in buckets of time; no I/O, no import of numpy or scipy.

Memory holds only the open bucket of each group and a bounded list of recently refused numbers.  Times are
integer ns of the caller's clock; the wall clock is given when the buckets are closed.
"""

from __future__ import annotations

import contextlib
from collections import OrderedDict
from collections.abc import Iterable, Mapping

from hdrh.histogram import HdrHistogram

from eiderstep.sizing.bucket import Bucket, Counts

MAX_REFUSED_NUMBERS = 10_000  # kept to recognise redials
MAX_HOLD_MS = 86_400_000  # longer holding times are recorded as this
MS, SECOND = 1_000_000, 1_000_000_000  # ns


class _ClassCounts:
    """Counts of one class in the open bucket."""

    __slots__ = (
        "blocked_first", "blocked_redials", "first", "for_others", "held", "hold", "hold_squared",
        "standing_calls", "overflowed", "redials", "refused", "standing",
    )  # fmt: skip

    def __init__(self, standing_calls: int = 0) -> None:
        self.standing_calls = standing_calls
        self.first = self.redials = self.blocked_first = self.blocked_redials = self.refused = 0
        self.overflowed = self.for_others = self.held = self.hold = self.standing = 0
        self.hold_squared = 0.0

    def as_counts(self) -> Counts:
        return Counts(**{name: getattr(self, name) for name in self.__slots__ if name != "standing_calls"})


class _GroupState:
    """The open bucket of one group and the group's present state."""

    def __init__(self, circuits: int, classes: int, now: int) -> None:
        self.circuits = self.in_service = circuits
        self.busy = 0
        self.linked = True
        self.advanced_to = now
        self.hold_histograms = [HdrHistogram(1, MAX_HOLD_MS, 2) for _ in range(classes)]
        self.classes = [_ClassCounts() for _ in range(classes)]
        self.reset_bucket()

    def reset_bucket(self) -> None:
        """Begin an empty bucket; standing calls are carried over."""
        self.busy_time = self.service_time = self.out_time = self.full_time = 0
        self.classes = [_ClassCounts(previous.standing_calls) for previous in self.classes]

    def advance(self, now: int) -> None:
        """Add the time since the last change to the integrals of the bucket."""
        span = now - self.advanced_to
        if span <= 0:
            return
        self.advanced_to = now
        self.busy_time += span * self.busy
        self.service_time += span * self.in_service
        for class_counts in self.classes:
            class_counts.standing += span * class_counts.standing_calls
        if not self.linked:
            self.out_time += span
        elif self.busy >= self.in_service:
            self.full_time += span


class Meter:
    """Measurements of all groups of one call server."""

    def __init__(
        self, groups: Mapping[int, int], classes: int, now: int, redial_window: int = 60 * SECOND
    ) -> None:
        """`groups` maps each peer's number to the circuits toward it; `classes`: number of call classes.

        A try for a number that was refused at most `redial_window` ns ago is taken for a redial.
        """
        self.redial_window = redial_window
        self.groups = {number: _GroupState(circuits, classes, now) for number, circuits in groups.items()}
        self.refused_at: OrderedDict[tuple[str, int], int] = OrderedDict()
        self.bucket_start = now

    def record_try(self, now: int, group: int, cls: int, number: str, marked_redial: bool) -> bool:
        """Count a call that arrived for a group; return whether it is a redial.

        A redial is marked as such by its caller, or recognised by its number, which was refused recently.
        """
        state = self.groups.get(group)
        redial = marked_redial
        if number and not marked_redial:
            refused_at = self.refused_at.pop((number, cls), None)
            redial = refused_at is not None and now - refused_at <= self.redial_window
        if state is not None:
            class_counts = state.classes[cls]
            if redial:
                class_counts.redials += 1
            else:
                class_counts.first += 1
        return redial

    def record_blocked(self, group: int, cls: int, redial: bool, overflowed: bool) -> None:
        """Count a call that found too few circuits free; `overflowed`: it was sent to an alternate."""
        state = self.groups.get(group)
        if state is not None:
            class_counts = state.classes[cls]
            if redial:
                class_counts.blocked_redials += 1
            else:
                class_counts.blocked_first += 1
            class_counts.overflowed += overflowed

    def record_refused(self, group: int, cls: int) -> None:
        """Count a call that was turned away for a cause other than circuits."""
        state = self.groups.get(group)
        if state is not None:
            state.classes[cls].refused += 1

    def record_failed_call(self, now: int, cls: int, number: str) -> None:
        """Remember the number of a call that was not set up, to recognise a redial of it."""
        if number:
            self.refused_at[number, cls] = now
            while len(self.refused_at) > MAX_REFUSED_NUMBERS:
                self.refused_at.popitem(last=False)

    def record_other_pair_call(self, group: int, cls: int) -> None:
        """Count a call of another exchange pair that uses this group."""
        state = self.groups.get(group)
        if state is not None:
            state.classes[cls].for_others += 1

    def record_call_standing(self, now: int, group: int, cls: int) -> None:
        """Count a call to that exchange that now stands, over whichever route."""
        state = self.groups.get(group)
        if state is not None:
            state.advance(now)
            state.classes[cls].standing_calls += 1

    def record_call_ended(self, now: int, group: int, cls: int, hold: int) -> None:
        """Record the end of a call that was counted as standing, with its holding time (ns)."""
        state = self.groups.get(group)
        if state is not None:
            state.advance(now)
            class_counts = state.classes[cls]
            class_counts.standing_calls = max(class_counts.standing_calls - 1, 0)
            class_counts.held += 1
            class_counts.hold += hold
            class_counts.hold_squared += (hold / SECOND) ** 2
            state.hold_histograms[cls].record_value(min(max(hold // MS, 1), MAX_HOLD_MS))

    def set_circuit_counts(self, now: int, group: int, busy: int, in_service: int) -> None:
        """Set the numbers of circuits busy and in service from `now` on."""
        state = self.groups.get(group)
        if state is not None:
            state.advance(now)
            state.busy, state.in_service = busy, in_service

    def set_group_size(self, now: int, group: int, circuits: int) -> None:
        """Set the number of circuits of the group from `now` on."""
        state = self.groups.get(group)
        if state is not None:
            state.advance(now)
            state.circuits = circuits

    def set_link_up(self, now: int, group: int, up: bool) -> None:
        """Set whether there is a link to the far exchange from `now` on."""
        state = self.groups.get(group)
        if state is not None:
            state.advance(now)
            state.linked = up

    def close_buckets(self, now: int, epoch: int) -> Iterable[tuple[int, Bucket]]:
        """Close and return the open buckets; `epoch`: the wall clock at `now` (ns since 1970)."""
        length = now - self.bucket_start
        if length <= 0:
            return []
        closed_buckets = []
        for number, state in self.groups.items():
            state.advance(now)
            closed_buckets.append((
                number,
                Bucket(
                    epoch - length, length, state.circuits, state.busy_time, state.service_time,
                    state.out_time, state.full_time,
                    tuple(class_counts.as_counts() for class_counts in state.classes),
                ),
            ))  # fmt: skip
            state.reset_bucket()
        self.bucket_start = now
        while self.refused_at:  # drop numbers that are past the redial window
            oldest = next(iter(self.refused_at))
            if now - self.refused_at[oldest] <= self.redial_window:
                break
            del self.refused_at[oldest]
        return closed_buckets

    def holding_times(self, group: int, cls: int) -> HdrHistogram:
        """Histogram of holding times in ms, to two significant digits."""
        return self.groups[group].hold_histograms[cls]

    def encode_holding_times(self) -> dict[tuple[int, int], bytes]:
        """The non-empty holding-time histograms by group and class, encoded as they are stored."""
        return {
            (number, cls): histogram.encode()
            for number, state in self.groups.items()
            for cls, histogram in enumerate(state.hold_histograms)
            if histogram.get_total_count()
        }

    def restore_holding_times(self, encoded: Mapping[tuple[int, int], bytes]) -> None:
        """Add holding times stored before a restart; histograms that cannot be decoded are skipped."""
        for (number, cls), histogram_bytes in encoded.items():
            state = self.groups.get(number)
            if state is not None and cls < len(state.hold_histograms):
                with contextlib.suppress(
                    Exception
                ):  # the decoder raises exceptions of many types on damaged data
                    state.hold_histograms[cls].add(HdrHistogram.decode(histogram_bytes))
