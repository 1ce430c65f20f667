"""References of calls that an office may have run, so that none of them runs twice.  No I/O, no clock."""

from __future__ import annotations

from collections import OrderedDict

MAX_REFERENCES = 8192  # the oldest is forgotten first


class EndedReferences:
    """When calls ended that an office has answered, or may have answered.

    Each set-up has a new reference, so one that comes again after its caller has left is a copy of a set-up
    that has run.  Only a call in transit may come again: the call server before this one sends it again once
    it has given up its own attempt and awaited the release.
    """

    def __init__(self, release_wait: int) -> None:
        """`release_wait`: ns from the end of an attempt to the next one of the same call."""
        self.release_wait = release_wait
        self._ended_at: OrderedDict[str, int] = OrderedDict()  # ns, by call reference

    def add(self, now: int, reference: str) -> None:
        """Record the end of an attempt or of a standing call."""
        self._ended_at[reference] = now
        self._ended_at.move_to_end(reference)
        if len(self._ended_at) > MAX_REFERENCES:
            self._ended_at.popitem(last=False)

    def allow(self, now: int, reference: str, transit: bool) -> bool:
        """Whether a set-up with this reference may be taken."""
        ended_at = self._ended_at.get(reference)
        return ended_at is None or (transit and now - ended_at >= self.release_wait)
