"""Client of the change log: fetches numbered changes of the list of offices by long polls."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from typing import Any, Protocol

from eiderstep import interface as io
from eiderstep.node import mapping
from eiderstep.node.list_validity import ListValidity
from eiderstep.registry.http import HttpClient, RequestFailed, RequestTimeouts

SECOND = 1_000_000_000
# Seconds that the change log may hold a poll.  A drain that it fails to report counts as reported 2 s later.
POLL_TIMEOUT = 1.0
ANSWER_MARGIN = 0.5  # further seconds after which a poll without an answer is late, and the next one begins
LATE_POLL_TIMEOUT = 7.0  # seconds from its start after which a late poll is given up
RETRY_DELAYS = 0.1, 0.25  # seconds before the poll after a failed one: initial and maximum
MAX_POLLS = 6  # at a time
# Ns without word from the change log after which polls ask for an answer at once: it shows that it is back.
ASK_AT_ONCE_AGE = 2 * SECOND
MAX_ANSWER_SIZE = 1 << 20  # bytes
UpdateCallback = Callable[[io.ListKind, tuple[io.OfficeEntry, ...], dict[str, str]], None]


class ChangeLogHost(Protocol):
    """What the poller needs of the call server that it belongs to."""

    loop: asyncio.AbstractEventLoop

    def now(self) -> int: ...
    def log(self, level: str, event: str, **fields: Any) -> None: ...
    def confirm_list(self, validity: ListValidity) -> None: ...


class ChangeReader:
    """Applies each event of the change log once, in the order of sequence numbers.  Performs no I/O."""

    def __init__(self, on_update: UpdateCallback) -> None:
        self.on_update = on_update
        self.last_sequence = 0

    def apply_answer(self, answer: Any, initial: bool = False) -> bool:
        """Apply an answer of the change log, or `known` of the configuration (`initial`).

        The whole answer is parsed before any of it is applied.  Returns whether it holds events.  Raises
        mapping.InvalidOfficeList.
        """
        results = answer.get("results") if isinstance(answer, dict) else None
        if not isinstance(results, list):
            raise mapping.InvalidOfficeList("answer without a list of results")
        events = []
        for row in results:
            result = row if isinstance(row, dict) else {}
            sequence, fleet = result.get("seq"), result.get("fleet")
            hosts = fleet.get("hosts") if isinstance(fleet, dict) else None
            if not isinstance(sequence, int) or not isinstance(fleet, dict) or not isinstance(hosts, list):
                raise mapping.InvalidOfficeList("a result without seq, fleet or hosts")
            if sequence > self.last_sequence:
                entries = [mapping.parse_office_entry(host) for host in hosts]
                events.append((sequence, bool(fleet.get("whole")), entries))
        for sequence, complete, entries in sorted(events, key=lambda item: item[0]):
            kind = io.ListKind.COMPLETE if complete else io.ListKind.CHANGES
            if complete and initial:
                kind = io.ListKind.REMEMBERED
            self.last_sequence = sequence
            self.on_update(
                kind,
                tuple(entry for entry, _ in entries),
                {entry.office: address for entry, address in entries},
            )
        return bool(results)


class _BodyBuffer:
    """Collects an answer's body.  Raises ValueError if it exceeds MAX_ANSWER_SIZE."""

    def __init__(self) -> None:
        self.data = b""

    def open_body(self, status: int, headers: dict[str, str]) -> _BodyBuffer:
        return self

    def feed(self, data: bytes) -> None:
        self.data += data
        if len(self.data) > MAX_ANSWER_SIZE:
            raise ValueError(f"answer exceeds {MAX_ANSWER_SIZE} bytes")


class ChangeLogPoller:
    """Polls the change log at one address until it is started with another.

    A change log that breaks off or stops answering hides drains, and the platform soon counts them as
    reported all the same.  So polls are short, and where an answer is late the next poll begins on another
    connection.  The late one goes on: a change log that answers slowly every time would otherwise never be
    heard.  Answers may overtake each other, since each event is applied once.
    """

    def __init__(self, host: ChangeLogHost, reader: ChangeReader, address: str, drain_grace: int) -> None:
        """`drain_grace`: how long set-ups may still be sent after a drain was told (ns)."""
        self.host, self.loop, self.reader, self.address = host, host.loop, reader, address
        self.task: asyncio.Task[None] | None = None
        self.polls: dict[asyncio.Task[bool], HttpClient] = {}  # in progress; all but the newest are late
        self.validity = ListValidity(drain_grace, host.now())

    def start(self, address: str = "") -> None:
        """Start polling, at `address` if one is given; polls in progress are cancelled."""
        if address and address != self.address:
            self.address = address
            self.validity.moved(self.host.now())
        self.stop()
        self.host.confirm_list(self.validity)
        self.task = self.loop.create_task(self._run())

    def stop(self) -> None:
        """Cancel the polls in progress and close their connections."""
        if self.task is not None:
            self.task.cancel()
        for poll, client in list(self.polls.items()):
            poll.cancel()
            client.close()
        self.polls.clear()

    async def _run(self) -> None:
        """Poll again and again, over one connection as long as its answers are in time."""
        delay, client = RETRY_DELAYS[0], self._make_client()
        while True:
            wait = POLL_TIMEOUT if self.validity.age(self.host.now()) < ASK_AT_ONCE_AGE else 0.0
            asked_at, last_sequence = self.loop.time(), self.reader.last_sequence
            poll = self.loop.create_task(self._poll(client, wait))
            self.polls[poll] = client
            await asyncio.wait({poll}, timeout=wait + ANSWER_MARGIN)
            if not poll.done():
                self.host.log("warning", "change log late", address=self.address)
                poll.add_done_callback(self._end_late_poll)
                client = self._make_client()
                if len(self.polls) >= MAX_POLLS:
                    await asyncio.wait(set(self.polls), return_when=asyncio.FIRST_COMPLETED)
                continue
            del self.polls[poll]
            if poll.result():
                delay = RETRY_DELAYS[0]
                if not self._was_hurried(asked_at, wait, last_sequence):
                    continue
            await asyncio.sleep(delay)
            delay = min(2 * delay, RETRY_DELAYS[1])

    def _was_hurried(self, asked_at: float, wait: float, last_sequence: int) -> bool:
        """Whether an answer without new events came long before the end of its wait."""
        return self.reader.last_sequence == last_sequence and self.loop.time() - asked_at < wait / 2

    def _make_client(self) -> HttpClient:
        timeouts = RequestTimeouts(ANSWER_MARGIN, LATE_POLL_TIMEOUT, LATE_POLL_TIMEOUT)
        return HttpClient(self.loop, self.address, timeouts)

    def _end_late_poll(self, poll: asyncio.Task[bool]) -> None:
        client = self.polls.pop(poll, None)
        if client is not None:
            client.close()

    async def _poll(self, client: HttpClient, wait: float) -> bool:
        """Ask for the events after the last one and apply them; return whether the answer was usable."""
        body, asked_at, last_sequence = _BodyBuffer(), self.host.now(), self.reader.last_sequence
        path = f"/changes?since={last_sequence}&timeout={int(wait * 1000)}"
        try:
            answer = await client.request("GET", path, {}, open_sink=body.open_body)
            if answer.status != 200:
                raise RequestFailed(f"status {answer.status}")
            had_events = self.reader.apply_answer(json.loads(body.data))
            self.validity.answered(asked_at, int(wait * SECOND), self.host.now(), had_events)
            self.host.confirm_list(self.validity)
            return True
        except (RequestFailed, ValueError, RecursionError) as error:
            self.host.log("warning", "change log failed", why=str(error), address=self.address)
        self._note_break(client, asked_at, wait)
        if client.connection is not None:
            client.connection.abort("not understood")  # more of an invalid answer may follow: stop reading it
        return False

    def _note_break(self, client: HttpClient, asked_at: int, wait: float) -> None:
        """Take a connection that was ended while its answer was not yet due as a sign of life until then."""
        if client.broke_off_at is None:
            return
        broke_off_at = self.host.now() - int((self.loop.time() - client.broke_off_at) * SECOND)
        client.broke_off_at = None
        if asked_at <= broke_off_at <= asked_at + int((wait + ANSWER_MARGIN) * SECOND):
            self.validity.broke_off(broke_off_at)
            self.host.confirm_list(self.validity)
