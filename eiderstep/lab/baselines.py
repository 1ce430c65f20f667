"""Baseline decision modules for comparison with the real one: a random route, and the direct route only.

They replace the decision module in the same server.  They make one attempt per call, ignore load and keep no
budget for cold exchanges, so they may break rules; a run in which a rule is broken is not counted.
"""

from __future__ import annotations

from random import Random

from eiderstep import interface as io

RETRY_AFTER_NS = 1_000_000_000  # the Retry-After of refused callers


class SingleAttempt:
    """Makes one attempt per call, over the route from `choose_office`; refuses the call when it fails."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        self.settings, self.rng = settings, Random(seed)
        self.offices: dict[str, io.OfficeEntry] = {}
        self.free_circuits: dict[str, int] = {}
        self.pending: dict[str, str] = {}  # office of each call that is being set up

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        """Takes the events at `now` (ns) and returns the actions, as the real decision module does."""
        actions: list[io.Action] = []
        for event in events:
            if isinstance(event, io.OfficeList):
                self._update_offices(event)
            elif isinstance(event, io.OfficeHeard):
                if event.report.free is not None:
                    self.free_circuits[event.office] = event.report.free
            elif isinstance(event, io.CallOffered):
                actions.append(self._handle_offer(event))
            elif isinstance(event, io.AttemptEnded):
                office = self.pending.pop(event.call, None)
                if office is not None and event.outcome not in (io.Outcome.RELEASED, io.Outcome.CUT):
                    actions.append(io.Refuse(event.call, RETRY_AFTER_NS))
            elif isinstance(event, io.CallStands):
                self.pending.pop(event.call, None)
        return actions

    def _update_offices(self, event: io.OfficeList) -> None:
        if event.kind is io.ListKind.FAILED:
            return
        if event.kind is not io.ListKind.CHANGES:
            self.offices.clear()
        for entry in event.entries:
            self.offices[entry.office] = entry

    def find_office(self, number: int, width: int) -> str | None:
        """Returns an office of the exchange that is up and has `width` free circuits, or None."""
        for office, entry in self.offices.items():
            if entry.number == number and entry.state is io.OfficeState.UP:
                if self.free_circuits.get(office, 0) >= width:
                    return office
        return None

    def _handle_offer(self, call: io.CallOffered) -> io.Action:
        office = self.find_office(call.dest, call.width) if call.transit else self.choose_office(call)
        if office is None:
            return io.Refuse(call.call, RETRY_AFTER_NS)
        self.pending[call.call] = office
        return io.Send(call.call, office, call.expires)

    def choose_office(self, call: io.CallOffered) -> str | None:
        """Returns the office to which a call from a caller is sent, or None to refuse it."""
        raise NotImplementedError


class DirectOnly(SingleAttempt):
    """Uses the direct route only."""

    def choose_office(self, call: io.CallOffered) -> str | None:
        return self.find_office(call.dest, call.width)


class AnyRoute(SingleAttempt):
    """Chooses at random among the destination and all tandems whose groups have enough free circuits."""

    def choose_office(self, call: io.CallOffered) -> str | None:
        exchanges = sorted({e.number for e in self.offices.values()} - {self.settings.own_number})
        offices = [o for o in (self.find_office(n, call.width) for n in exchanges) if o is not None]
        return self.rng.choice(offices) if offices else None


DECISION_MODULES = {"module": None, "direct": DirectOnly, "random": AnyRoute}
