"""What offices report of the trunk groups to them: circuits in use and free.  No I/O, no clock."""

from __future__ import annotations

from eiderstep import interface as io


class GroupStates:
    """The last state of the group to each office, by the office's name."""

    def __init__(self) -> None:
        self._last_report: dict[str, tuple[bytes, int]] = {}  # as received, and the flow that it came on
        self._free: dict[str, int] = {}  # last reported, less set-ups sent since
        self._in_use: dict[str, int] = {}  # last reported on one of the present links

    def is_copy(self, office: str, report: bytes, flow: int) -> bool:
        """Whether a state repeats, on another link, the last one applied.

        An office sends a group's state on each of its links.  A copy, if applied, would cost a decision and
        return circuits that the module has deducted for set-ups sent in between.  The first state on a new
        link is always applied: set-ups lost with the old link seized no circuits.
        """
        last_report, last_flow = self._last_report.get(office, (b"", flow))
        return report == last_report and last_flow != flow

    def record_state(self, office: str, report: bytes, flow: int) -> None:
        """Remember a state that is applied, to recognise its copies."""
        self._last_report[office] = report, flow

    def apply_report(self, office: str, report: io.LoadReport | None) -> None:
        """Record an office's circuits, to be reported to the module again after a set-up was not sent.

        The module deducts the circuits of a set-up when it sends it.  A set-up that never left changes
        nothing at the office, so the office reports nothing, and the circuits would stay deducted until other
        calls come or go.  The recorded count misses circuits that other call servers have seized meanwhile.
        """
        if report is None or report.free is None:
            return
        self._free[office] = report.free
        if report.size is not None:
            self._in_use[office] = report.size - report.free

    def seize(self, office: str, circuits: int) -> None:
        """Deduct the circuits of a set-up that the module sends."""
        if office in self._free:
            self._free[office] -= circuits

    def give_back(self, office: str, circuits: int) -> io.LoadReport | None:
        """Return the circuits of a set-up that was not sent; None if the office has reported none."""
        if office not in self._free:
            return None
        self._free[office] += circuits
        return io.LoadReport(free=self._free[office])

    def free(self, office: str) -> int | None:
        """Free circuits, less those of set-ups sent since the last report; None if not known."""
        return self._free.get(office)

    def in_use(self, office: str) -> int | None:
        """Circuits in use as reported on a present link; None if not known."""
        return self._in_use.get(office)

    def link_up(self, office: str) -> None:
        """A new link is open: its first state is to be applied."""
        self._last_report.pop(office, None)

    def links_lost(self, office: str) -> None:
        """No link is left: what was in use may have ended."""
        self._in_use.pop(office, None)

    def forget(self, office: str) -> None:
        """The office is gone."""
        self._free.pop(office, None)
        self._last_report.pop(office, None)
        self._in_use.pop(office, None)
