"""Links to offices: a few to each, kept up while an office is wanted, given up when one says nothing."""

from __future__ import annotations

import asyncio
from functools import partial
from typing import TYPE_CHECKING

from eiderstep.isup.message import CAUSE, TEST, Message
from eiderstep.node.config import ConfigError, address
from eiderstep.node.wires import Wire

if TYPE_CHECKING:
    from eiderstep.node.server import Node

SECOND = 1_000_000_000
MS = 1_000_000
EACH = 2  # links to one office: what one spoilt answer ends, and descriptors, are both few
AGAIN = 0.1, 1.0  # seconds between two dials: first, at most
QUIET = 1 * SECOND  # after which a link is tested
SILENT = 5 * SECOND // 2  # after which, tested in vain, it is given up
SUSPECT = 100 * MS  # a set-up out so long, and nothing on its link: that link is tested
VERDICT = 200 * MS  # heard on another link of that office so long after the test: the silent one is dead
DEAD = 13 * SECOND // 2  # after which what stands at an office that cannot be dialled counts as cut
TEST_CALL = f"{1:016x}"


class Peer:
    """One office: its address and what we have of it."""

    def __init__(self, office: str, dial: str, started: int) -> None:
        self.office, self.dial, self.started = office, dial, started
        self.wires: list[Wire] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.wanted = asyncio.Event()  # set: dial now
        self.heard_at = 0
        self.gone = False


class Links:
    """All links of one call server."""

    def __init__(self, node: Node) -> None:
        self.node = node
        self.peers: dict[str, Peer] = {}

    def told(self, office: str, dial: str, started: int, gone: bool) -> None:
        """The list names an office.  One that has moved is another: its links go.  One that has started anew
        has reset them itself, if its machine did not vanish, and then they are silent.

        Danger: a new office may have the address of one that is gone; dialled under the old name, it would be
        sent what it must not be.  So a gone one is never dialled again.
        """
        peer = self.peers.get(office)
        if peer is not None and dial != peer.dial and not gone:
            self._forget(peer)
            peer = None
        if peer is not None and started > peer.started:
            peer.started = started
            self.node.calls.born(self.node.now(), office, started)
        if gone:
            if peer is not None:
                peer.gone = True
                self._part(peer)
            return
        if peer is None:
            peer = self.peers[office] = Peer(office, dial, started)
            peer.heard_at = self.node.now()
            peer.tasks = [self.node.loop.create_task(self._keep(peer)) for _ in range(EACH)]
        peer.gone = False

    def only(self, offices: set[str]) -> None:
        """The whole list: who is not on it is gone."""
        for office in [o for o in self.peers if o not in offices]:
            self.told(office, "", 0, True)

    def want(self, office: str) -> None:
        """A set-up waits for a link."""
        peer = self.peers.get(office)
        if peer is not None:
            peer.wanted.set()

    def up(self, wire: Wire) -> bool:
        """A link stands; whether it is still wanted."""
        peer = self.peers.get(wire.office)
        if peer is None or peer.gone or len(peer.wires) >= EACH:
            return False
        peer.wires.append(wire)
        peer.heard_at = wire.heard_at
        return True

    def lost(self, wire: Wire) -> None:
        peer = self.peers.get(wire.office)
        if peer is None or wire not in peer.wires:
            return
        peer.wires.remove(wire)
        if peer.gone and not peer.wires:
            self._part(peer)

    def watch(self, now: int) -> None:
        """Test what is quiet, give up what is silent, part from who is gone."""
        for peer in list(self.peers.values()):
            for wire in list(peer.wires):
                quiet = now - wire.heard_at
                tested = wire.tested_at > wire.heard_at
                if tested and (quiet >= SILENT or self._outlived(peer, wire)):
                    self.node.log("warning", "link silent", office=peer.office)
                    self.node.calls.link_lost(now, wire.flow, True)
                    wire.abort()
                elif not tested and (quiet >= QUIET or self._suspect(now, wire)):
                    wire.tested_at = now
                    self.node.calls.doubted.add(wire.flow)
                    wire.send(Message(TEST, TEST_CALL, {CAUSE: b"\0"}).encode())
                peer.heard_at = max(peer.heard_at, wire.heard_at)
            if not peer.wires and now - peer.heard_at >= DEAD:
                self.node.calls.office_lost(now, peer.office)
            if peer.gone:
                self._part(peer)

    def _suspect(self, now: int, wire: Wire) -> bool:
        oldest = self.node.calls.oldest(wire.flow)
        return oldest is not None and now - max(oldest, wire.heard_at) >= SUSPECT

    @staticmethod
    def _outlived(peer: Peer, wire: Wire) -> bool:
        """Whether the office has spoken on another link long after this one's test.

        Danger: a link that is open and dead keeps the set-ups on it, and the module takes their age for a
        wait of that office, from which it then sheds the calls of all.  Hurts by a link dialled anew where
        tests are passed late.  What we read late after a stall of our own is no proof: it came on all links.
        """
        return any(other.heard_at - wire.tested_at >= VERDICT for other in peer.wires)

    def close(self) -> None:
        for peer in self.peers.values():
            for task in peer.tasks:
                task.cancel()

    def _part(self, peer: Peer) -> None:
        """A gone office keeps its links until nothing stands there, or they break."""
        calls = self.node.calls
        busy = calls.standing.get(peer.office) or any(calls.on_link.get(w.flow) for w in peer.wires)
        if not busy or not peer.wires:
            self._forget(peer)

    def _forget(self, peer: Peer) -> None:
        self.peers.pop(peer.office, None)
        for task in peer.tasks:
            task.cancel()
        now = self.node.now()
        for wire in list(peer.wires):
            self.node.calls.link_lost(now, wire.flow)
            wire.close()
        self.node.calls.unreachable(now, peer.office)
        self.node.calls.office_lost(now, peer.office)

    async def _keep(self, peer: Peer) -> None:
        """Keep one link up."""
        node, pause = self.node, AGAIN[0]
        try:
            host, port = address(peer.dial, "dial")
        except ConfigError as problem:
            node.log("error", "office without an address", office=peer.office, why=str(problem))
            return
        while not peer.gone:
            try:
                dial = node.loop.create_connection(partial(Wire, node, peer.office), host, port)
                _, wire = await asyncio.wait_for(dial, node.config.dial_time / SECOND)
                pause = AGAIN[0]
                assert wire.over is not None
                await wire.over
                continue  # at once: the end of what stands may come on the next link
            except (TimeoutError, OSError) as problem:
                refused = isinstance(problem, ConnectionRefusedError)
                node.unreached(peer, refused, str(problem) or "no answer")
            peer.wanted.clear()
            try:
                await asyncio.wait_for(peer.wanted.wait(), pause * (1 + 0.25 * node.chance.random()))
            except TimeoutError:
                pause = min(2 * pause, AGAIN[1])
