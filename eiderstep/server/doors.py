"""The connections of a call server: who is let in, dialled, slowed, shown the door.

What is decided about a connection is decided in `trust/`; here it is carried out.
"""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable
from functools import partial
from random import Random
from typing import TYPE_CHECKING, Any

from eiderstep.config.schema import ServerSettings
from eiderstep.engine.core import Engine
from eiderstep.server.wire import DatagramWire, StreamWire, Trace
from eiderstep.sip.message import Message, split_address
from eiderstep.sip.parser import BadMessage, Limits
from eiderstep.trust.limits import Limiter, Verdict
from eiderstep.trust.pace import Thinner
from eiderstep.trust.party import Party, identity
from eiderstep.trust.proof import KeysError, Proof, fault, warning

if TYPE_CHECKING:
    from eiderstep.server.tls import Keys

SECOND = 1_000_000_000
REDIAL_CAP = 8  # times the first pause between two dials

Logger = Callable[[str, str, str, dict[str, Any]], None]


class Doors:
    """Connections of one call server.  `log` gets level, event, call id and fields."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: ServerSettings, log: Logger, trace: Trace | None,
        epoch: Callable[[], int] | None,
    ) -> None:  # fmt: skip
        self.loop, self.settings, self.log, self.trace = loop, settings, log, trace
        self.epoch = epoch or (lambda: int(loop.time() * 1000))
        limits = settings.limits
        self.limits = Limits(limits.line, limits.head, limits.headers, limits.body)
        self.rng = Random(settings.seed ^ 0xD1A1)
        self.wires: dict[int, StreamWire] = {}
        self.knocking: dict[int, StreamWire] = {}  # whose handshake is not over
        self.shaking: deque[tuple[StreamWire, bytes]] = deque()  # handshakes' bytes that wait for their turn
        self.inbound: dict[int, float] = {}  # flows that have said nothing yet, and when they came
        self.limiter = Limiter(limits.source, limits.connections)
        self.thinner = Thinner()
        self.slowed: set[int] = set()  # flows that are not read for a while
        self.proofs: dict[int, Proof] = {}  # by flow
        self.retired: set[int] = set()  # links that another one has replaced
        self.keys: Keys | None = None
        self.secure: Any = None  # the listener for TLS
        self.secure_address = ""
        self.dials: dict[str, asyncio.Task[None]] = {}
        self.pauses: dict[str, float] = {}  # before the next dial of an address (s); none: at once
        self.up_since: dict[str, float] = {}  # links that we dialled
        self.datagrams: DatagramWire | None = None
        self.datagram_flows: dict[tuple[str, int], int] = {}
        self.datagram_peers: dict[int, tuple[str, int]] = {}
        self.flows = 0
        self.clock = 0
        self.server: Any = None
        self.address = ""
        self.engine: Engine | None = None
        self.ended = False
        self.stopped: asyncio.Future[None] = loop.create_future()

    def now(self) -> int:
        """Integer nanoseconds of the loop's clock; it never goes back, not by a rounding either."""
        self.clock = max(int(self.loop.time() * SECOND), self.clock)
        return self.clock

    def _flush(self) -> None:
        raise NotImplementedError

    def _waited(self, now: int) -> int:
        raise NotImplementedError

    async def _listen(self) -> None:
        """Plain and, where there are keys, with TLS.  Raises OSError, and KeysError for keys of no use."""
        host, port = split_address(self.settings.listen)
        self.server = await self.loop.create_server(self._accept, host, port, backlog=1024)
        name = self.server.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        tls = self.settings.trust.tls
        if tls is not None:
            from eiderstep.server.tls import Keys  # needs the extra `keys`

            self.keys = Keys(tls)
            self._own_key()
            host, port = split_address(tls.listen)
            self.secure = await self.loop.create_server(self._accept_secure, host, port, backlog=1024)
            name = self.secure.sockets[0].getsockname()
            self.secure_address = f"{name[0]}:{name[1]}"
            self.loop.call_later(tls.look / SECOND, self._look)

    def _shut(self, abort: bool) -> None:
        self.server.close()
        if self.secure is not None:
            self.secure.close()
        for task in self.dials.values():
            task.cancel()
        for wire in list(self.knocking.values()):
            wire.abort()
        for wire in list(self.wires.values()):
            wire.abort() if abort else wire.close()
        if self.datagrams is not None and self.datagrams.transport is not None:
            self.datagrams.transport.close()

    # -- who comes -----------------------------------------------------------------------------------------

    def _accept(self) -> StreamWire:
        self.flows += 1
        return StreamWire(self, self.flows)

    def _accept_secure(self) -> StreamWire:
        from eiderstep.server.tls import Tls

        assert self.keys is not None
        self.flows += 1
        return StreamWire(self, self.flows, tls=Tls(self.keys.server, True))

    def knocked(self, wire: StreamWire) -> bool:
        """A connection that has to prove itself first.  Whether it may try."""
        if self.engine is None:
            return False
        if not wire.dialled:
            # Until it has proven more it draws on its address's share.
            host, book = wire.host_name, self.engine.book
            named = book.expects(host)
            known = named or book.at(host).known
            why = self.limiter.connect(self.now(), wire.flow, host, named, known, handshake=True)
            if why:
                self._say("warning", why, host, {"peer": wire.peer})
                return False
        self.knocking[wire.flow] = wire
        self.inbound[wire.flow] = self.loop.time()
        return True

    def shake(self, wire: StreamWire, data: bytes) -> None:
        """Bytes of a handshake.

        Danger: sixty peers that come back at once are a fifth of a second of work, in which no call is looked
        at.  So they are taken one by one, and what else has come is read between two of them.  Hurts the
        last of those peers, which stands as late as before, and nobody else.
        """
        self.shaking.append((wire, data))
        if len(self.shaking) == 1:
            self.loop.call_soon(self._shake)

    def _shake(self) -> None:
        wire, data = self.shaking[0]
        try:
            wire.shaken(data)
        finally:
            self.shaking.popleft()
            if self.shaking:
                self.loop.call_soon(self._shake)

    def opened(self, wire: StreamWire) -> None:
        """A connection stands; over TLS, both ends have shown a key of our CA."""
        engine = self.engine
        self.knocking.pop(wire.flow, None)
        if engine is None:
            wire.abort()
            return
        if wire.tls is not None:
            who = self._proven(wire)
            if who is None:
                return
        else:
            who = engine.at_link(wire.dialled) if wire.dialled else engine.book.at(wire.host_name)
        if not wire.dialled:
            source = who.source
            self.limiter.closed(wire.flow)  # the handshake was its address's; from here on it is its own
            why = self.limiter.connect(self.now(), wire.flow, source, bool(who.exchanges), who.known)
            if why:
                self._say("warning", why, source, {"peer": wire.peer})
                wire.refused = True
                wire.abort()
                return
            self.inbound.pop(wire.flow, None)
            self.inbound[wire.flow] = self.loop.time()
        else:
            self.inbound.pop(wire.flow, None)
        self.wires[wire.flow] = wire
        assert wire.transport is not None
        wire.transport.set_write_buffer_limits(high=self.settings.limits.unsent // 4)
        engine.meet(wire.flow, who)

    def _proven(self, wire: StreamWire) -> Party | None:
        """Who the far end is by its key; None where that is of no use, and the connection goes."""
        assert wire.tls is not None and self.engine is not None and self.keys is not None
        tls, book = self.settings.trust.tls, self.engine.book
        assert tls is not None
        proof = wire.tls.proof()
        why = fault(proof, self.epoch() / 1000, self.keys.revoked, tls.slack / SECOND)
        who = book.by_key(proof.names, wire.host_name)
        if not why and wire.dialled:
            number = self.engine.offices.get(wire.dialled, -1)
            if number not in who.exchanges:
                wanted = identity(self.settings, number)
                why = f"proves {', '.join(proof.names)}; allowed at this address: {wanted}"
        elif not why and not who.known:
            why = f"proves {', '.join(proof.names)}, which the settings do not name"
        if why:
            self.unproven(wire, why)
            return None
        self.proofs[wire.flow] = proof
        return who

    def unproven(self, wire: StreamWire, why: str) -> None:
        """A handshake came to nothing, or what was proven does not count."""
        self.knocking.pop(wire.flow, None)
        fields = {"peer": wire.peer, "dialled": bool(wire.dialled), "why": why}
        self._say("warning", "not proven", wire.host_name, fields)
        wire.refused = True
        wire.abort()

    def closed(self, wire: StreamWire) -> None:
        self.knocking.pop(wire.flow, None)
        self.inbound.pop(wire.flow, None)
        self.proofs.pop(wire.flow, None)
        if wire.dialled and wire.tls is not None and self.keys is not None:
            self.keys.remember(wire.dialled, wire.tls)
        self.limiter.closed(wire.flow)
        self.slowed.discard(wire.flow)
        if wire.dialled and wire.flow not in self.retired:
            self._link_closed(wire.dialled)
        self.retired.discard(wire.flow)
        if self.wires.pop(wire.flow, None) is None or self.engine is None:
            return
        self.engine.flow_lost(self.now(), wire.flow)
        self._flush()

    # -- what comes ----------------------------------------------------------------------------------------

    def came(self, flow: int, items: list[Message | BadMessage], reliable: bool) -> None:
        """Messages of one segment: one moment for the engine and one batch for the module."""
        if self.engine is None:
            return
        engine, limiter = self.engine, self.limiter
        if self.inbound.pop(flow, None) is not None:
            limiter.spoke(flow)
        now = self.now()
        engine.waited = self._waited(now)
        slow = False
        for item in items:
            verdict = limiter.message(now, flow)
            if isinstance(item, BadMessage) or not engine.who(flow).known:
                if limiter.fault(now, flow, flow in engine.on_flow) is Verdict.CLOSE:
                    self._cut_off(flow)
                    return
            if verdict is Verdict.TAKE:
                engine.message(now, flow, item, reliable)
                continue
            slow = slow or verdict is Verdict.SLOW
            engine.over_rate(now, flow, item, reliable, limiter.come_back(flow))
        if slow:
            self._slow_down(flow)
        self._flush()

    def _slow_down(self, flow: int) -> None:
        """Read no more from a connection until its source is back at its rate: TCP then holds the sender."""
        wire = self.wires.get(flow)
        if wire is None or wire.transport is None or flow in self.slowed:
            return
        self.slowed.add(flow)
        wire.transport.pause_reading()
        self._say("warning", "source slowed", wire.host_name, {"peer": wire.peer})
        self.loop.call_later(self.limiter.wait(flow) / SECOND, self._read_on, flow)

    def _read_on(self, flow: int) -> None:
        wire = self.wires.get(flow)
        if flow in self.slowed and wire is not None and wire.transport is not None:
            self.slowed.discard(flow)
            if not wire.transport.is_closing():
                wire.transport.resume_reading()

    def _cut_off(self, flow: int) -> None:
        wire = self.wires.get(flow)
        if wire is not None:
            self._say("warning", "source closed for its faults", wire.host_name, {"peer": wire.peer})
            wire.abort()
        self._flush()

    def _say(self, level: str, event: str, source: str, fields: dict[str, Any]) -> None:
        """A log line that others can provoke: at a bounded rate for each source."""
        held = self.thinner.line(self.now(), (event, source))
        if held >= 0:
            self.log(level, event, "", fields | ({"held_back": held} if held else {}))

    def _sweep(self) -> None:
        """Inbound connections that never say a whole message are closed; so half-open ones cost little.

        Danger: the link of an exchange that has no call for us yet says nothing either; closed, it is dialled
        anew for ever, and a set-up that crosses the closing is lost.  So those of exchanges stay.  Hurts
        where an exchange opens links without end: `limits.connections` bounds that.
        """
        now, limits = self.loop.time(), self.settings.limits
        oldest = now - limits.first_message / SECOND
        tls = self.settings.trust.tls
        oldest_knock = now - (tls.handshake / SECOND if tls is not None else 0.0)
        for flow, wire in list(self.knocking.items()):
            if self.inbound.get(flow, 0.0) <= oldest_knock:
                self.unproven(wire, "its handshake did not end")
        for flow, since in list(self.inbound.items()):
            if since > oldest:
                break  # they stand in the order in which they came
            if flow in self.wires:
                del self.inbound[flow]
                if self.engine is not None and self.engine.who(flow).exchanges:
                    continue
                wire = self.wires[flow]
                self._say("info", "idle connection closed", wire.host_name, {"peer": wire.peer})
                wire.close()
        for wire in list(self.wires.values()):
            if 0 < wire.begun < oldest:
                self._say("info", "unfinished message", wire.host_name, {"peer": wire.peer})
                wire.abort()
        if not self.stopped.done() and self.engine is not None:
            first = min(limits.first_message, tls.handshake) if tls is not None else limits.first_message
            self.loop.call_later(first / SECOND / 4, self._sweep)

    # -- keys ----------------------------------------------------------------------------------------------

    def _look(self) -> None:
        """Files that changed are read, proofs are judged again."""
        if self.ended or self.engine is None or self.keys is None:
            return
        if self.keys.changed():
            self.rekey()
        else:
            self._judge()
        self.loop.call_later(self.keys.tls.look / SECOND, self._look)

    def rekey(self) -> None:
        """Read keys and revocations anew; links that we dialled are made anew with them.

        No call is cut: the new link stands beside the old one, and what stands there stays until it ends.
        """
        if self.keys is None or self.engine is None:
            return
        before = self.keys.own.serial
        try:
            self.keys.load()
        except KeysError as problem:
            self._say("error", "keys not read", "", {"why": str(problem)})
        self._judge()
        if self.keys.own.serial != before:
            self.log("info", "keys read", "", {"serial": f"{self.keys.own.serial:x}"})
            self._renew()

    def _own_key(self) -> None:
        assert self.keys is not None
        now = self.epoch() / 1000
        said = warning(self.keys.own, now)
        if said:
            self._say("warning", "own certificate", "", {"certificate": self.keys.tls.cert, "it": said})
        if self.keys.revoked.until and self.keys.revoked.until < now:
            self._say("warning", "revocation list is old", "", {"file": self.keys.tls.crl})

    def _judge(self) -> None:
        """Look at every proof again.

        Danger: who holds a stolen key goes on over the connection it has.  One that is revoked, or has ended,
        is closed at once, and its calls are cut with it: after that nothing that comes over it can be
        believed, not even a release.  Hurts a peer that did not renew in time: warnings come a quarter ahead.
        """
        assert self.keys is not None
        now, slack = self.epoch() / 1000, self.keys.tls.slack / SECOND
        for flow, proof in list(self.proofs.items()):
            why = fault(proof, now, self.keys.revoked, slack)
            wire = self.wires.get(flow)
            if why and wire is not None:
                del self.proofs[flow]
                said = {"peer": wire.peer, "names": proof.names, "why": why}
                self.log("warning", "no longer proven", "", said)
                wire.abort()
        self._own_key()
        self._renew_old(now)
        self._leave_retired()

    def _renew_old(self, now: float) -> None:
        """Links whose far end shows a certificate that ends soon are dialled anew: it may have another."""
        assert self.engine is not None
        for address, flow in self.engine.links.items():
            proof = self.proofs.get(flow)
            since = self.up_since.get(address, 0.0)
            if proof is not None and proof.ends - now < (proof.ends - proof.begins) / 8:
                if self.loop.time() - since > (proof.ends - proof.begins) / 32:
                    self._again(address)

    def _renew(self) -> None:
        assert self.engine is not None
        for address, flow in list(self.engine.links.items()):
            if flow in self.proofs:
                self._again(address)

    def _again(self, address: str) -> None:
        if address not in self.dials and not self.ended:
            self.dials[address] = self.loop.create_task(self._keep(address))

    def _leave_retired(self) -> None:
        """Close replaced links once nothing stands on them and nothing is open."""
        engine = self.engine
        assert engine is not None
        for flow in list(self.retired):
            wire = self.wires.get(flow)
            if wire is not None and not (flow in engine.on_flow or flow in engine.transactions.by_flow):
                wire.close()

    # -- links that we dial --------------------------------------------------------------------------------

    def _to_be_proven(self, address: str) -> bool:
        """Whether the link to an address is over TLS."""
        if self.keys is None or self.engine is None or address == self.settings.lines:
            return False
        number = self.engine.offices.get(address, -1)
        return not any(p.plain for p in self.settings.peers if p.number == number)

    async def _keep(self, address: str) -> None:
        """Dial an address until it answers, with growing pauses; again once the link is lost."""
        while True:
            if address in self.pauses:
                await asyncio.sleep(self.pauses[address] * (1 + self.rng.random() / 4))
            self.flows += 1
            flow = self.flows
            # Danger: a far end that accepts and resets at once is lost before this task runs on; taken for a
            # link, it swallows every set-up sent on it.
            if not await self._dial(address, flow) or flow not in self.wires:
                self._shaky(address)
                continue
            self.up_since[address] = self.loop.time()
            if self.engine is not None:
                old = self.engine.links.get(address)
                if old is not None:
                    self.retired.add(old)
                self.engine.link_up(self.now(), address, flow)
                self._flush()
            if self.dials.get(address) is asyncio.current_task():
                del self.dials[address]
            return

    async def _dial(self, address: str, flow: int) -> bool:
        """One try.  Whether it stands, both ends proven where that is wanted."""
        host, port = split_address(address)
        limit = self.settings.limits.dial / SECOND
        make = partial(StreamWire, self, flow, address)
        if self._to_be_proven(address):
            from eiderstep.server.tls import Tls

            assert self.keys is not None
            session = self.keys.sessions.get(address)
            make = partial(StreamWire, self, flow, address, Tls(self.keys.client, False, session))
        try:
            made = self.loop.create_connection(make, host, port, **self._from(host))
            _, wire = await asyncio.wait_for(made, limit)
            if wire.tls is not None:
                tls = self.settings.trust.tls
                assert tls is not None
                await asyncio.wait_for(asyncio.shield(wire.ready), tls.handshake / SECOND)
        except OSError:  # and so TimeoutError
            if flow in self.knocking:
                self.knocking[flow].abort()
            return False
        return True

    def _from(self, host: str) -> dict[str, Any]:
        """From which address we dial: the one at which we listen, by which plain peers know us."""
        here = split_address(self.settings.listen)[0]
        loopback = here.startswith("127.") or here == "::1"
        if here in ("0.0.0.0", "::") or (loopback and not host.startswith("127.")) or ":" in here + host:
            return {}
        return {"local_addr": (here, 0)}

    def _shaky(self, address: str) -> None:
        """A dial failed, or a link did not last: the pause before the next one grows."""
        first = self.settings.limits.redial / SECOND
        before = self.pauses.get(address)
        self.pauses[address] = first if before is None else min(2 * before, REDIAL_CAP * first)

    def _link_closed(self, address: str) -> None:
        """Danger: a far end that accepts and resets a little later, as a proxy does whose exchange is dead,
        would be dialled without a pause, hundreds of times a second from each server.  So only a link that
        has lasted wipes the pauses out.  Hurts where a sound link breaks twice within a few seconds: the
        second time it is dialled after a pause.
        """
        since = self.up_since.pop(address, None)
        if since is not None:
            if self.loop.time() - since < REDIAL_CAP * self.settings.limits.redial / SECOND:
                self._shaky(address)
            else:
                self.pauses.pop(address, None)

    # -- datagrams -----------------------------------------------------------------------------------------

    def _datagram_flow(self, address: tuple[str, int]) -> int:
        flow = self.datagram_flows.get(address)
        if flow is None:
            if len(self.datagram_flows) >= self.settings.limits.connections:
                self._forget_datagrams()
            self.flows += 1
            flow = self.datagram_flows[address] = self.flows
            self.datagram_peers[flow] = address
            if self.engine is not None:
                self.engine.unreliable.add(flow)
                self.engine.meet(flow, self.engine.book.at(address[0]))
        return flow

    def _forget_datagrams(self) -> None:
        """Danger: each address that a datagram claims to come from would be remembered for ever.

        Half of them go, the oldest on which nothing is open and nothing stands.
        """
        engine = self.engine
        idle = [
            address
            for address, flow in self.datagram_flows.items()
            if engine is None or not (flow in engine.on_flow or flow in engine.transactions.by_flow)
        ]
        for address in idle[: self.settings.limits.connections // 2]:
            flow = self.datagram_flows.pop(address)
            del self.datagram_peers[flow]
            if engine is not None:
                engine.unreliable.discard(flow)
                engine.parties.pop(flow, None)
