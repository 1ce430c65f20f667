"""Open connections from callers, and the calls that they carry.  No I/O, no clock.

A flow is the number of a connection, a source the address that it comes from.
"""

from __future__ import annotations

from itertools import chain

from eiderstep.node.caller_limits import WEIGHT_OPEN_SET_UP


class CallerConnections:
    """Connections from callers, oldest first."""

    def __init__(self) -> None:
        self._sources: dict[int, str] = {}  # by flow
        self._closed_by_caller: set[int] = set()  # flows whose caller has closed while data was unread
        self._open_set_ups: dict[int, set[str]] = {}  # call references, by flow
        self._standing: dict[int, set[str]] = {}  # references of standing calls, by flow, open or lost

    def connect(self, flow: int, source: str) -> None:
        """Register a connection."""
        self._sources[flow], self._open_set_ups[flow] = source, set()

    def disconnect(self, flow: int) -> None:
        """Deregister a connection; the calls that stand on it are kept."""
        self._sources.pop(flow, None)
        self._closed_by_caller.discard(flow)
        self._open_set_ups.pop(flow, None)

    def __contains__(self, flow: int) -> bool:
        return flow in self._sources

    def source(self, flow: int) -> str:
        """Where an open connection comes from."""
        return self._sources[flow]

    def mark_closed(self, flow: int) -> None:
        """The caller has closed its end."""
        if flow in self._sources:
            self._closed_by_caller.add(flow)

    def is_closed_by_caller(self, flow: int) -> bool:
        """Whether the caller has closed its end."""
        return flow in self._closed_by_caller

    def add_set_up(self, flow: int, reference: str) -> None:
        """A set-up has come on a connection."""
        self._open_set_ups[flow].add(reference)

    def remove_set_up(self, flow: int, reference: str) -> None:
        """A set-up has its final answer, or needs none any more."""
        self._open_set_ups.get(flow, set()).discard(reference)

    def open_set_ups(self, flow: int) -> list[str]:
        """References of the set-ups on a connection that have no final answer."""
        return list(self._open_set_ups.get(flow, ()))

    def has_open_set_up(self, flow: int, reference: str) -> bool:
        """Whether a set-up on a connection has no final answer."""
        return reference in self._open_set_ups.get(flow, ())

    def count_open_set_ups(self) -> int:
        """Number of set-ups without a final answer."""
        return sum(len(references) for references in self._open_set_ups.values())

    def attach(self, flow: int, reference: str) -> None:
        """A standing call belongs to a connection."""
        self._standing.setdefault(flow, set()).add(reference)

    def detach(self, flow: int, reference: str) -> None:
        """A call no longer belongs to a connection."""
        references = self._standing.get(flow, set())
        references.discard(reference)
        if not references:
            self._standing.pop(flow, None)

    def weight(self, flow: int) -> int:
        """Weight of a connection: WEIGHT_OPEN_SET_UP with an open set-up, 1 with a standing call, else 0."""
        return WEIGHT_OPEN_SET_UP if self._open_set_ups.get(flow) else int(flow in self._standing)

    def find(self, source: str) -> int | None:
        """The newest connection of a source, else the newest one with a standing call, or None."""
        same_source = (flow for flow in reversed(self._sources) if self._sources[flow] == source)
        with_calls = (flow for flow in reversed(self._sources) if flow in self._standing)
        return next(chain(same_source, with_calls), None)
