"""Links to offices: keeps a few open to each listed office, tests them, closes those that time out."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from eiderstep.isup.message import CAUSE, TEST, Message
from eiderstep.node.config import ConfigError, parse_address
from eiderstep.node.connections import Connection

if TYPE_CHECKING:
    from eiderstep.node.server import Node

SECOND = 1_000_000_000
MS = 1_000_000
LINKS_PER_OFFICE = 2  # few, to save descriptors; two, so that one invalid answer does not end all set-ups
RECONNECT_DELAYS = 0.1, 1.0  # seconds between connection attempts: initial and maximum
IDLE_TEST_DELAY = 1 * SECOND  # ns without data after which a link is tested
LINK_TIMEOUT = 5 * SECOND // 2  # ns without data after which a tested link is closed
SET_UP_TEST_DELAY = 100 * MS  # ns without data, with a set-up unanswered, after which a link is tested
# Ns after an unanswered test; data on another link of the office after that time proves the tested link dead.
LINK_TEST_TIMEOUT = 200 * MS
OFFICE_TIMEOUT = 13 * SECOND // 2  # ns without data or link after which calls standing at an office are cut
TEST_REFERENCE = f"{1:016x}"  # call reference of link tests


class Peer:
    """One office: its address, its links and the tasks that keep them open."""

    def __init__(self, office: str, address: str, started: int) -> None:
        self.office, self.address, self.started = office, address, started
        self.connections: list[Connection] = []
        self.dial_tasks: list[asyncio.Task[None]] = []
        self.dial_requested = asyncio.Event()  # set when a link is needed at once
        self.last_received_at = 0
        self.gone = False


class Links:
    """All links of one call server to offices."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.peers: dict[str, Peer] = {}

    def update_office(self, office: str, address: str, started: int, gone: bool) -> None:
        """Apply an entry of the list of offices.

        If the address has changed, the links to the old one are closed.  An office that has restarted has
        reset its links itself, unless its machine disappeared; then they fall silent and the link test closes
        them.

        A new office may take over the address of one that is gone; dialled under the old name, it would
        receive the old office's set-ups.  So an office that is gone is never dialled again.
        """
        peer = self.peers.get(office)
        if peer is not None and address != peer.address and not gone:
            self._remove(peer)
            peer = None
        if peer is not None and started > peer.started:
            peer.started = started
            self.node.calls.office_restarted(self.node.now(), office, started)
        if gone:
            if peer is not None:
                peer.gone = True
                self._remove_if_idle(peer)
            return
        if peer is None:
            peer = self.peers[office] = Peer(office, address, started)
            peer.last_received_at = self.node.now()
            peer.dial_tasks = [
                self.node.loop.create_task(self._maintain_link(peer)) for _ in range(LINKS_PER_OFFICE)
            ]
        peer.gone = False

    def remove_unlisted(self, offices: set[str]) -> None:
        """Treat every office that is missing from the complete list as gone."""
        for office in [name for name in self.peers if name not in offices]:
            self.update_office(office, "", 0, True)

    def request_link(self, office: str) -> None:
        """Dial an office now, because a set-up waits for a link to it."""
        peer = self.peers.get(office)
        if peer is not None:
            peer.dial_requested.set()

    def link_up(self, connection: Connection) -> bool:
        """Add a new link; return whether it is still needed."""
        peer = self.peers.get(connection.office)
        if peer is None or peer.gone or len(peer.connections) >= LINKS_PER_OFFICE:
            return False
        peer.connections.append(connection)
        peer.last_received_at = connection.last_received_at
        return True

    def link_lost(self, connection: Connection) -> None:
        """Drop a lost link; an office that is gone is removed with its last link."""
        peer = self.peers.get(connection.office)
        if peer is None or connection not in peer.connections:
            return
        peer.connections.remove(connection)
        if peer.gone and not peer.connections:
            self._remove_if_idle(peer)

    def check_links(self, now: int) -> None:
        """Test links without data, close those that time out, and remove offices that are gone and idle."""
        for peer in list(self.peers.values()):
            for connection in list(peer.connections):
                silence = now - connection.last_received_at
                tested = connection.tested_at > connection.last_received_at
                if tested and (silence >= LINK_TIMEOUT or self._answered_on_other_link(peer, connection)):
                    self.node.log("warning", "link silent", office=peer.office)
                    self.node.calls.link_lost(now, connection.flow, True)
                    connection.abort()
                elif not tested and (silence >= IDLE_TEST_DELAY or self._set_up_overdue(now, connection)):
                    connection.tested_at = now
                    self.node.calls.links_under_test.add(connection.flow)
                    connection.send(Message(TEST, TEST_REFERENCE, {CAUSE: b"\0"}).encode())
                peer.last_received_at = max(peer.last_received_at, connection.last_received_at)
            if not peer.connections and now - peer.last_received_at >= OFFICE_TIMEOUT:
                self.node.calls.office_failed(now, peer.office)
            if peer.gone:
                self._remove_if_idle(peer)

    def _set_up_overdue(self, now: int, connection: Connection) -> bool:
        """Whether a set-up is unanswered, and the link without data, for SET_UP_TEST_DELAY."""
        oldest = self.node.calls.oldest_set_up(connection.flow)
        return oldest is not None and now - max(oldest, connection.last_received_at) >= SET_UP_TEST_DELAY

    @staticmethod
    def _answered_on_other_link(peer: Peer, connection: Connection) -> bool:
        """Whether the office has sent data on another link LINK_TEST_TIMEOUT after this one was tested.

        A connection that is open but dead holds on to its set-ups.  The module takes their age for a wait at
        that office and sheds calls of every caller.  The guard costs a reconnect where an office answers
        late.  A stall of this process gives no false result: it delays the data of all links alike.
        """
        return any(
            other.last_received_at - connection.tested_at >= LINK_TEST_TIMEOUT for other in peer.connections
        )

    def close(self) -> None:
        """Stop dialling; open links stay open."""
        for peer in self.peers.values():
            for task in peer.dial_tasks:
                task.cancel()

    def _remove_if_idle(self, peer: Peer) -> None:
        """Remove an office that is gone once it has no calls and no set-ups, or no links."""
        calls = self.node.calls
        in_use = calls.standing_by_office.get(peer.office) or any(
            calls.attempts_by_link.get(connection.flow) for connection in peer.connections
        )
        if not in_use or not peer.connections:
            self._remove(peer)

    def _remove(self, peer: Peer) -> None:
        """Stop dialling an office, close its links and cut the calls that stand there."""
        self.peers.pop(peer.office, None)
        for task in peer.dial_tasks:
            task.cancel()
        now = self.node.now()
        for connection in list(peer.connections):
            self.node.calls.link_lost(now, connection.flow)
            connection.close()
        self.node.calls.office_unreachable(now, peer.office)
        self.node.calls.office_failed(now, peer.office)

    async def _maintain_link(self, peer: Peer) -> None:
        """Keep one link open: dial again whenever it is lost."""
        node, delay = self.node, RECONNECT_DELAYS[0]
        try:
            host, port = parse_address(peer.address, "dial")
        except ConfigError as error:
            node.log("error", "office address invalid", office=peer.office, why=str(error))
            return
        while not peer.gone:
            try:
                connecting = node.loop.create_connection(partial(Connection, node, peer.office), host, port)
                _, connection = await asyncio.wait_for(connecting, node.config.dial_timeout / SECOND)
                delay = RECONNECT_DELAYS[0]
                assert connection.closed is not None
                await connection.closed
                continue  # without delay: releases of standing calls may come on the next link
            except (TimeoutError, OSError) as error:
                refused = isinstance(error, ConnectionRefusedError)
                node.connect_failed(peer, refused, str(error) or "no answer")
            peer.dial_requested.clear()
            try:
                await asyncio.wait_for(peer.dial_requested.wait(), delay * (1 + 0.25 * node.random.random()))
            except TimeoutError:
                delay = min(2 * delay, RECONNECT_DELAYS[1])
