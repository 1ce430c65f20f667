"""Links to offices: keeps a few open to each listed office, tests them, closes those that time out."""

from __future__ import annotations

import asyncio
from collections.abc import Iterable
from functools import partial
from random import Random
from typing import Protocol

from eiderstep.isup.message import CAUSE, TEST, Message
from eiderstep.node.address_takeover import ListedOffice, find_takeovers
from eiderstep.node.calls import CallTable
from eiderstep.node.config import Config, ConfigError, parse_address
from eiderstep.node.connections import Connection, ConnectionHost
from eiderstep.node.office_identity import LinkLoss

SECOND = 1_000_000_000
MS = 1_000_000
LINKS_PER_OFFICE = 2  # few, to save descriptors; two, so that one invalid answer does not end all set-ups
RECONNECT_DELAYS = 0.1, 1.0  # seconds between connection attempts: initial and maximum
MIN_LINK_LIFETIME = 1.0  # seconds; a link that is lost sooner counts as a failed attempt
IDLE_TEST_DELAY = 1 * SECOND  # ns without data after which a link is tested
LINK_TIMEOUT = 5 * SECOND // 2  # ns without data after which a tested link is closed
SET_UP_TEST_DELAY = 100 * MS  # ns without data, with a set-up unanswered, after which a link is tested
# Ns after an unanswered test; data on another link of the office after that time proves the tested link dead.
LINK_TEST_TIMEOUT = 200 * MS
OFFICE_TIMEOUT = 13 * SECOND // 2  # ns without data or link after which calls standing at an office are cut
TEST_REFERENCE = f"{1:016x}"  # call reference of link tests


class LinkHost(ConnectionHost, Protocol):
    """What the links need of the call server that they belong to."""

    config: Config
    calls: CallTable
    random: Random

    def connect_failed(self, peer: Peer, was_refused: bool, reason: str) -> None: ...


class Peer:
    """One office: its entry in the list, its links and the tasks that keep them open."""

    def __init__(self, listed: ListedOffice) -> None:
        self.listed = listed
        self.connections: list[Connection] = []
        self.dial_tasks: list[asyncio.Task[None]] = []
        self.dial_requested = asyncio.Event()  # set when a link is needed at once
        self.last_received_at = 0
        # When the last link was lost to silence, 0 if never: whoever accepts a link later need not be the
        # process that held the calls of before.
        self.silent_loss_at = 0
        self.gone = False

    @property
    def office(self) -> str:
        """Name of the office."""
        return self.listed.office


class Links:
    """All links of one call server to offices."""

    def __init__(self, host: LinkHost) -> None:
        self.host = host
        self.peers: dict[str, Peer] = {}

    # -- list of offices -------------------------------------------------------------------------------------

    def find_replaced(self, present: Iterable[ListedOffice], complete: bool) -> dict[str, ListedOffice]:
        """Offices whose address now belongs to a later one, and that later office.

        `present`: the offices of a change, or of a complete list, that are not gone.  Offices that the list
        has dropped count too while calls stand there.
        """
        named = {listed.office: listed for listed in present}
        known = {name: peer.listed for name, peer in self.peers.items()}
        gone = {name for name, peer in self.peers.items() if peer.gone or complete} - named.keys()
        return find_takeovers((known | named).values(), gone)

    def replace_offices(self, replaced: dict[str, ListedOffice]) -> None:
        """Treat offices whose address another has taken as gone, and hand over what is their successors'."""
        for name, successor in replaced.items():
            peer = self.peers.get(name)
            if peer is not None:
                self._replace(peer, successor)

    def update_office(self, listed: ListedOffice) -> None:
        """Apply an entry of the list of offices that is not gone.

        If the address has changed, the links to the old one are closed.  An office that has restarted has
        reset its links itself, unless its machine disappeared; then they fall silent and the link test closes
        them.
        """
        peer = self.peers.get(listed.office)
        if peer is not None and listed.address != peer.listed.address:
            self._remove(peer)
            peer = None
        if peer is None:
            self._add(listed)
            return
        if listed.started > peer.listed.started:
            self.host.calls.office_restarted(self.host.now(), listed.office, listed.started)
        peer.listed, peer.gone = listed, False
        self._start_dialling(peer)

    def office_gone(self, office: str) -> None:
        """Apply an entry of an office that is gone.

        A new office may take over its address; dialled under the old name, it would receive the old office's
        set-ups.  So an office that is gone is never dialled again.
        """
        peer = self.peers.get(office)
        if peer is None:
            return
        peer.gone = True
        if peer.silent_loss_at:
            self.host.calls.office_restarted(self.host.now(), office, peer.silent_loss_at)
        self._remove_if_idle(peer)

    def remove_unlisted(self, offices: set[str]) -> None:
        """Treat every office that is missing from the complete list as gone."""
        for office in [name for name in self.peers if name not in offices]:
            self.office_gone(office)

    def _add(self, listed: ListedOffice) -> None:
        peer = self.peers[listed.office] = Peer(listed)
        peer.last_received_at = self.host.now()
        self._start_dialling(peer)

    def _replace(self, peer: Peer, successor: ListedOffice) -> None:
        """Another office has the address of this one: links opened since its start lead to it.

        If this office has no link of its own any more, its calls are over, and the links and the calls set
        up on them are its successor's.  If it has one, it may still end its calls itself.
        """
        calls, now = self.host.calls, self.host.now()
        self.host.log("warning", "office replaced", office=peer.office, by=successor.office)
        moved = self.peers.get(successor.office)
        if moved is not None and moved.listed.address != successor.address:
            self._remove(moved)  # what stands at its address of before, not what is handed over to it
        calls.hand_over_calls(peer.office, successor.office, successor.started)
        later = [link for link in peer.connections if link.connected_at >= successor.started]
        if len(later) < len(peer.connections):
            for connection in later:
                self._drop(now, peer, connection)
            self.office_gone(peer.office)
        elif successor.office in self.peers:
            self._remove(peer)
        else:
            calls.office_unreachable(now, peer.office)
            calls.office_failed(now, peer.office)
            self._rename(peer, successor)

    def _rename(self, peer: Peer, successor: ListedOffice) -> None:
        """Keep the links of an office that turned out to be another one."""
        self.host.calls.hand_over_links(peer.office, successor.office)
        self.peers[successor.office] = self.peers.pop(peer.office)
        peer.listed, peer.gone, peer.silent_loss_at = successor, False, 0
        for connection in peer.connections:
            connection.office = successor.office
        self._start_dialling(peer)

    # -- links -----------------------------------------------------------------------------------------------

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
                self._check_link(now, peer, connection)
            if not peer.connections and now - peer.last_received_at >= OFFICE_TIMEOUT:
                self.host.calls.office_failed(now, peer.office)
            if peer.gone:
                self._remove_if_idle(peer)

    def _check_link(self, now: int, peer: Peer, connection: Connection) -> None:
        silence = now - connection.last_received_at
        tested = connection.tested_at > connection.last_received_at
        if tested and (silence >= LINK_TIMEOUT or self._answered_on_other_link(peer, connection)):
            self.host.log("warning", "link silent", office=peer.office)
            if len(peer.connections) == 1:
                peer.silent_loss_at = now
            lives = self._lives_on_older_link(peer, connection)
            loss = LinkLoss.SILENT_BESIDE_LIVE_LINK if lives else LinkLoss.SILENT
            self.host.calls.link_lost(now, connection.flow, loss)
            connection.abort()
        elif not tested and (silence >= IDLE_TEST_DELAY or self._set_up_overdue(now, connection)):
            connection.tested_at = now
            self.host.calls.links_under_test.add(connection.flow)
            connection.send(Message(TEST, TEST_REFERENCE, {CAUSE: b"\0"}).encode())
        peer.last_received_at = max(peer.last_received_at, connection.last_received_at)

    def _set_up_overdue(self, now: int, connection: Connection) -> bool:
        """Whether a set-up is unanswered, and the link without data, for SET_UP_TEST_DELAY."""
        oldest = self.host.calls.oldest_set_up(connection.flow)
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

    @staticmethod
    def _lives_on_older_link(peer: Peer, silent: Connection) -> bool:
        """Whether a link that was open before the silent one was tested has received data since."""
        return any(link.connected_at < silent.tested_at < link.last_received_at for link in peer.connections)

    def close(self) -> None:
        """Stop dialling; open links stay open."""
        for peer in self.peers.values():
            for task in peer.dial_tasks:
                task.cancel()

    def _drop(self, now: int, peer: Peer, connection: Connection) -> None:
        """Close one link and end the set-ups sent on it."""
        if connection in peer.connections:
            peer.connections.remove(connection)
        self.host.calls.link_lost(now, connection.flow, LinkLoss.CLOSED_HERE)
        connection.close()

    def _remove_if_idle(self, peer: Peer) -> None:
        """Remove an office that is gone once it has no calls and no set-ups, or no links."""
        calls = self.host.calls
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
        now = self.host.now()
        for connection in list(peer.connections):
            self._drop(now, peer, connection)
        self.host.calls.office_unreachable(now, peer.office)
        self.host.calls.office_failed(now, peer.office)

    def _start_dialling(self, peer: Peer) -> None:
        """Run LINKS_PER_OFFICE dialling tasks."""
        running = [task for task in peer.dial_tasks if not task.done()]
        missing = LINKS_PER_OFFICE - len(running)
        created = [self.host.loop.create_task(self._maintain_link(peer)) for _ in range(missing)]
        peer.dial_tasks = running + created

    async def _maintain_link(self, peer: Peer) -> None:
        """Keep one link open: dial again whenever it is lost."""
        host, delay = self.host, RECONNECT_DELAYS[0]
        try:
            address, port = parse_address(peer.listed.address, "dial")
        except ConfigError as error:
            host.log("error", "office address invalid", office=peer.office, why=str(error))
            return
        while not peer.gone:
            try:
                connecting = host.loop.create_connection(
                    partial(Connection, host, peer.office), address, port
                )
                _, connection = await asyncio.wait_for(connecting, host.config.dial_timeout / SECOND)
                assert connection.closed is not None
                opened_at = host.loop.time()
                await connection.closed
                if host.loop.time() - opened_at >= MIN_LINK_LIFETIME:
                    delay = RECONNECT_DELAYS[0]
                    continue  # without delay: releases of standing calls may come on the next link
            except (TimeoutError, OSError) as error:
                refused = isinstance(error, ConnectionRefusedError)
                host.connect_failed(peer, refused, str(error) or "no answer")
            peer.dial_requested.clear()
            try:
                await asyncio.wait_for(peer.dial_requested.wait(), delay * (1 + 0.25 * host.random.random()))
            except TimeoutError:
                delay = min(2 * delay, RECONNECT_DELAYS[1])
