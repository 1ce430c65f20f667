"""How long set-ups may rely on the list of offices while the change log is not heard.  No I/O, no clock.

Times in ns.  An event counts as told once the change log holds it, heard or not.  The platform excuses what a
change log that is down or silent did not tell, but not for longer than UNTOLD_EXCUSE.  After that any office
may drain, so nothing may be sent to any until the change log is heard again.
"""

from __future__ import annotations

SECOND = 1_000_000_000
MS = 1_000_000
UNTOLD_EXCUSE = 7 * SECOND  # from the begin of the outage
MOVED_EXCUSE = 4 * SECOND  # from the SIGHUP that names another change log
SEND_MARGIN = 50 * MS  # between a decision and the first byte of its set-up


class ListValidity:
    """Until when the list of offices is known to hold all events."""

    def __init__(self, drain_grace: int, now: int) -> None:
        """`drain_grace`: how long set-ups may still be sent after a drain was told.

        The list of the configuration holds the events up to the start of this process (`now`).
        """
        self.drain_grace = drain_grace
        self.heard_until = now

    def answered(self, asked_at: int, wait: int, now: int, had_events: bool) -> None:
        """The change log has answered a poll that allowed it to wait for events.

        An answer without events was made after the wait.  When one with events was made is not known, since
        answers may take long; it was after the poll was sent.
        """
        waited = not had_events and now - asked_at >= wait
        self.heard_until = max(self.heard_until, asked_at + wait if waited else asked_at)

    def broke_off(self, at: int) -> None:
        """A change log that had been answering ended its connection: until then it would have told events."""
        self.heard_until = max(self.heard_until, at)

    def moved(self, now: int) -> None:
        """The configuration names another change log; the old one tells nothing more."""
        self.heard_until = min(self.heard_until, now - UNTOLD_EXCUSE + MOVED_EXCUSE)

    def age(self, now: int) -> int:
        """How long the change log has not been heard."""
        return now - self.heard_until

    @property
    def valid_until(self) -> int:
        """Until when set-ups may be sent."""
        return self.heard_until + UNTOLD_EXCUSE + self.drain_grace - SEND_MARGIN
