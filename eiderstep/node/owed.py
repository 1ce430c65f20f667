"""Releases that have to arrive, though a connection may go at any moment.  No I/O, no clock."""

from __future__ import annotations

from typing import Any

SECOND = 1_000_000_000
OWED_FOR = 8 * SECOND  # the platform waits so long for a release that no connection could take
IN_DOUBT = 2 * SECOND  # a connection that is lost so soon after a release was written may have lost it


class Owed:
    """What is owed to whom (an office, or a caller's source), and what was written but may not have arrived.

    Danger: bytes written to a connection that is reset reach nobody, and a call whose end was in them stands
    on at the other side for ever.  So they are kept until the other side says that it has heard, or for
    `IN_DOUBT`, and go out again on the next connection.  Hurts nobody: a second release of a call is dropped.
    """

    def __init__(self) -> None:
        self.owed: dict[str, dict[str, tuple[int, bytes]]] = {}
        self.written: dict[int, dict[str, tuple[int, str, bytes]]] = {}  # by flow and call

    def __bool__(self) -> bool:
        return bool(self.owed or self.written)

    def owe(self, now: int, whom: str, name: str, data: bytes) -> None:
        """No connection could take it."""
        self.owed.setdefault(whom, {})[name] = (now, data)

    def sent(self, now: int, flow: int, whom: str, name: str, data: bytes) -> None:
        """It was written on a connection."""
        self.written.setdefault(flow, {})[name] = (now, whom, data)

    def heard(self, flow: int, name: str) -> None:
        """The far end says that it has it."""
        rows = self.written.get(flow)
        if rows is not None and rows.pop(name, None) is not None and not rows:
            del self.written[flow]

    def lost(self, now: int, flow: int) -> set[str]:
        """A connection is lost; to whom something is owed now because of it."""
        whom_all = set()
        for name, (at, whom, data) in self.written.pop(flow, {}).items():
            if now - at <= IN_DOUBT:
                self.owed.setdefault(whom, {})[name] = (at, data)
                whom_all.add(whom)
        return whom_all

    def take(self, now: int, whom: str) -> list[tuple[str, bytes]]:
        """What is owed to somebody, who can be reached now: calls and messages."""
        rows = self.owed.pop(whom, {})
        return [(name, data) for name, (at, data) in rows.items() if now - at <= OWED_FOR]

    def forget(self, now: int) -> None:
        """Danger: what nobody ever comes for would be kept for ever."""
        _drop(self.owed, now - OWED_FOR)
        _drop(self.written, now - IN_DOUBT)


def _drop(table: dict[Any, dict[str, Any]], oldest: int) -> None:
    """Rows begin with their time: those before `oldest` go, and who has none left."""
    for key, rows in list(table.items()):
        for name in [name for name, row in rows.items() if row[0] < oldest]:
            del rows[name]
        if not rows:
            del table[key]
