"""Reliable delivery of releases over connections that may be lost.  No I/O, no clock."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

SECOND = 1_000_000_000
MAX_PENDING_TIME = 8 * SECOND  # ns; the platform waits this long for a release that no connection could take
# Ns; a release written this shortly before its connection was lost may be lost too.  A link to an office that
# is cut off stays open for links.LINK_TIMEOUT and one check more.
LOSS_WINDOW = 11 * SECOND // 4


class PendingReleases:
    """Releases that wait for a connection, and releases that were written but are not yet confirmed.

    A destination is an office or a caller's source.  Bytes written to a connection that is then reset are
    lost, and the far end would keep the released call for ever.  So a release is kept until the far end
    confirms it, or for `LOSS_WINDOW`, and is sent again on the next connection.  A duplicate release does no
    harm: the far end drops it.
    """

    def __init__(self) -> None:
        # By destination and call reference: time (ns) and encoded release.
        self.pending: dict[str, dict[str, tuple[int, bytes]]] = {}
        # By flow and call reference: time (ns), destination and encoded release.
        self.unconfirmed: dict[int, dict[str, tuple[int, str, bytes]]] = {}

    def __bool__(self) -> bool:
        return bool(self.pending or self.unconfirmed)

    def add(self, now: int, destination: str, reference: str, data: bytes) -> None:
        """Keep a release until a connection to its destination can take it."""
        self.pending.setdefault(destination, {})[reference] = (now, data)

    def mark_written(self, now: int, flow: int, destination: str, reference: str, data: bytes) -> None:
        """Record that a release was written to a connection."""
        self.unconfirmed.setdefault(flow, {})[reference] = (now, destination, data)

    def confirm(self, flow: int, reference: str) -> None:
        """The far end has confirmed a release."""
        rows = self.unconfirmed.get(flow)
        if rows is not None and rows.pop(reference, None) is not None and not rows:
            del self.unconfirmed[flow]

    def withdraw(self, reference: str, flows: Iterable[int]) -> None:
        """Forget the written release of an earlier attempt, since the same call is set up there again.

        Sent once more after that, the release would end the new attempt.  `flows`: connections to the office.
        """
        for flow in flows:
            self.confirm(flow, reference)

    def connection_lost(self, now: int, flow: int) -> set[str]:
        """Requeue what a lost connection may not have delivered; return the destinations concerned."""
        destinations = set()
        for reference, (written_at, destination, data) in self.unconfirmed.pop(flow, {}).items():
            if now - written_at <= LOSS_WINDOW:
                self.pending.setdefault(destination, {})[reference] = (written_at, data)
                destinations.add(destination)
        return destinations

    def take_pending(self, now: int, destination: str) -> list[tuple[str, bytes]]:
        """Remove and return the call references and releases for a destination that can be reached now."""
        rows = self.pending.pop(destination, {})
        return [
            (reference, data)
            for reference, (queued_at, data) in rows.items()
            if now - queued_at <= MAX_PENDING_TIME
        ]

    def discard_expired(self, now: int) -> None:
        """Drop releases past their time, so that those of unreachable destinations are not kept for ever."""
        _drop_older(self.pending, now - MAX_PENDING_TIME)
        _drop_older(self.unconfirmed, now - LOSS_WINDOW)


def _drop_older(table: dict[Any, dict[str, Any]], oldest: int) -> None:
    """Drop rows, which begin with their time, from before `oldest`, and keys without rows."""
    for key, rows in list(table.items()):
        for reference in [reference for reference, row in rows.items() if row[0] < oldest]:
            del rows[reference]
        if not rows:
            del table[key]
