"""Whether the process at an office's address is still that office.  No I/O, no clock.  Times in ns.

When an office has gone, another one may listen at its address before the list tells of either.  Dialled under
the old name, it would get set-ups that belong to another exchange.
"""

from __future__ import annotations

from enum import Enum, auto

SECOND = 1_000_000_000
MS = 1_000_000
NEWS_DELAY = 2 * SECOND  # by which the change log may tell the start of an office late
SIMULTANEOUS = 100 * MS  # links that are lost within this time may end with their process
REDIAL_TIME = 1_250 * MS  # in which a single lost link is usually open again


class LinkLoss(Enum):
    """How a link to an office ended."""

    BY_OFFICE = auto()  # closed or reset by the far end
    SILENT = auto()  # closed here, as it had been silent for too long and no older link showed any life
    SILENT_BESIDE_LIVE_LINK = auto()  # the same, but another link shows that the office lives
    CLOSED_HERE = auto()  # for another reason


class OfficeIdentities:
    """Offices whose process may have ended: whoever accepts the next link may be another one.

    An office that has lost all links at the same time or one to silence, or that refuses one, is in doubt
    until the list names it again, until the state of its group shows the calls of before, or until a new
    office at that address would have been told of.
    """

    def __init__(self) -> None:
        self._group_sizes: dict[str, int] = {}  # circuits of the group, by office, as last reported
        self._link_lost_at: dict[str, int] = {}  # ns; the last loss, by office
        self._linked_at: dict[str, int | None] = {}  # offices in doubt: first link since; None without link

    def in_doubt(self, office: str) -> bool:
        """Whether another process may listen at the office's address."""
        return office in self._linked_at

    def link_lost(self, now: int, office: str, loss: LinkLoss, links_left: int) -> None:
        """A link to an office was lost.

        Links that are lost one by one do not show that the process has ended: a reset concerns one link, and
        while it is dialled again the other may be lost, too.
        """
        previous_loss = self._link_lost_at.get(office)
        self._link_lost_at[office] = now
        since = REDIAL_TIME if previous_loss is None else now - previous_loss
        reset_together = not links_left and not SIMULTANEOUS < since < REDIAL_TIME
        if loss is LinkLoss.SILENT or (loss is LinkLoss.BY_OFFICE and reset_together):
            linked_at = self._linked_at.get(office)
            self._linked_at[office] = linked_at if links_left else None

    def link_refused(self, office: str) -> None:
        """An office without links refuses one; if it had any before, the process of then has ended."""
        if office in self._link_lost_at:
            self._linked_at[office] = None

    def link_up(self, now: int, office: str) -> None:
        """A link to an office came up."""
        if office in self._linked_at and self._linked_at[office] is None:
            self._linked_at[office] = now

    def group_reported(self, office: str, size: int, in_use: int, standing: int) -> bool:
        """Record a state of an office's group; return whether this shows that the office is the same.

        `in_use`: circuits in use; `standing`: circuits of the calls that stand there.  A process that has
        just started has none of these calls.
        """
        is_same = 0 < standing <= in_use and self._group_sizes.get(office) == size
        if not self.in_doubt(office):
            self._group_sizes[office] = size
        elif is_same:
            return self.confirm(office)
        return False

    def list_heard(self, heard_until: int) -> list[str]:
        """The change log has told all events until a time; return the offices that this confirms."""
        due = heard_until - NEWS_DELAY
        confirmed = [
            o for o, linked_at in self._linked_at.items() if linked_at is not None and linked_at <= due
        ]
        for office in confirmed:
            self.confirm(office)
        return confirmed

    def confirm(self, office: str) -> bool:
        """The office is known to be itself; return whether it was in doubt."""
        if office not in self._linked_at:
            return False
        del self._linked_at[office]
        return True

    def forget(self, office: str) -> None:
        """The office is gone."""
        self._linked_at.pop(office, None)
        self._group_sizes.pop(office, None)
        self._link_lost_at.pop(office, None)
