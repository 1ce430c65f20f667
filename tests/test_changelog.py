"""Polling of the change log, against a stand-in on loopback."""

from __future__ import annotations

import asyncio
import time
from typing import Any

from eiderstep.node.changelog import ChangeLogPoller, ChangeReader
from eiderstep.node.list_validity import ListValidity
from eiderstep.standin.platform import HOST, ChangeLog

SECOND = 1_000_000_000
GRACE = SECOND // 2


class Host:
    """What the poller needs of a call server; records when the list was confirmed."""

    def __init__(self) -> None:
        self.loop = asyncio.get_running_loop()
        self.heard_until: list[int] = []

    def now(self) -> int:
        return time.time_ns()

    def log(self, level: str, event: str, **fields: Any) -> None:
        pass

    def confirm_list(self, validity: ListValidity) -> None:
        self.heard_until.append(validity.heard_until)


async def start_polling(change_log: ChangeLog) -> tuple[Host, ChangeLogPoller]:
    await change_log.listen()
    host = Host()
    reader = ChangeReader(lambda kind, entries, addresses: None)
    poller = ChangeLogPoller(host, reader, f"{HOST}:{change_log.port}", GRACE)
    poller.start()
    return host, poller


def test_answers_that_come_too_early_are_not_asked_for_without_pause() -> None:
    async def run() -> None:
        change_log = ChangeLog()
        change_log.fault = "hurried"
        _, poller = await start_polling(change_log)
        await asyncio.sleep(0.5)
        poller.stop()
        change_log.close()
        assert 1 <= len(change_log.polled_since) <= 6

    asyncio.run(run())


def test_break_of_a_connection_that_had_answered_confirms_the_list_up_to_then() -> None:
    # Guards against calls that are lost in an outage which the platform's limit covers.
    async def run() -> None:
        change_log = ChangeLog()
        change_log.append_event(whole=True)
        host, poller = await start_polling(change_log)
        while len(change_log.polled_since) < 2:  # the second one waits on the same connection
            await asyncio.sleep(0.005)
        confirmed, closed_at = len(host.heard_until), time.time_ns()
        change_log.close()
        while len(host.heard_until) == confirmed:
            await asyncio.sleep(0.005)
        poller.stop()
        assert host.heard_until[-1] >= closed_at

    asyncio.run(asyncio.wait_for(run(), 20))


def test_connections_that_are_closed_without_an_answer_confirm_nothing() -> None:
    # Guards against taking a change log that accepts and closes for one that would have told events.
    async def run() -> None:
        change_log = ChangeLog()
        host, poller = await start_polling(change_log)
        accepted = []

        async def close(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            accepted.append(writer)
            writer.close()

        change_log.close()
        server = await asyncio.start_server(close, HOST, 0)
        poller.start(f"{HOST}:{server.sockets[0].getsockname()[1]}")
        before = host.heard_until[-1]
        while len(accepted) < 4:
            await asyncio.sleep(0.005)
        poller.stop()
        server.close()
        assert host.heard_until[-1] == before

    asyncio.run(asyncio.wait_for(run(), 20))
