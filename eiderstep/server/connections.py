"""The connections of a call server: admission, dialling, read throttling, TLS authentication and closing.

The policy is in `eiderstep.trust`; this module applies it to sockets.
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
from eiderstep.server.transport import DatagramSocket, StreamConnection, Trace
from eiderstep.sip.message import Message, split_address
from eiderstep.sip.parser import BadMessage, Limits
from eiderstep.trust.certificates import CertificateInfo, KeysError, certificate_error, expiry_warning
from eiderstep.trust.limits import SourceLimiter, Verdict
from eiderstep.trust.pace import LogRateLimiter
from eiderstep.trust.party import Party, exchange_identity

if TYPE_CHECKING:
    from eiderstep.server.tls import Credentials

SECOND = 1_000_000_000
MAX_BACKOFF_FACTOR = 8  # longest pause between two dials, as a multiple of the first one

Logger = Callable[[str, str, str, dict[str, Any]], None]


class ConnectionManager:
    """Connections of one call server.  `log` receives the level, event, call id and fields of each line."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, settings: ServerSettings, log: Logger, trace: Trace | None,
        epoch: Callable[[], int] | None,
    ) -> None:  # fmt: skip
        self.loop, self.settings, self.log, self.trace = loop, settings, log, trace
        self.epoch = epoch or (lambda: int(loop.time() * 1000))
        limits = settings.limits
        self.limits = Limits(limits.line, limits.head, limits.headers, limits.body)
        self.rng = Random(settings.seed ^ 0xD1A1)
        self.connections: dict[int, StreamConnection] = {}
        self.handshaking: dict[int, StreamConnection] = {}  # TLS handshake in progress
        self.handshake_queue: deque[tuple[StreamConnection, bytes]] = deque()
        self.silent_since: dict[int, float] = {}  # flow without a message: since when (s)
        self.limiter = SourceLimiter(limits.source, limits.connections)
        self.log_limiter = LogRateLimiter()
        self.read_paused: set[int] = set()  # flows whose socket is temporarily not read
        self.peer_certificates: dict[int, CertificateInfo] = {}  # by flow; authenticated TLS connections only
        self.replaced_flows: set[int] = set()  # flows of dialled links that a newer link has replaced
        self.credentials: Credentials | None = None
        self.tls_listener: Any = None
        self.tls_address = ""
        self.dial_tasks: dict[str, asyncio.Task[None]] = {}
        self.dial_backoffs: dict[str, float] = {}  # pause before the next dial of an address (s)
        self.link_up_since: dict[str, float] = {}  # dialled links, loop time (s)
        self.datagram_socket: DatagramSocket | None = None
        self.datagram_flows: dict[tuple[str, int], int] = {}
        self.datagram_peers: dict[int, tuple[str, int]] = {}
        self.last_flow = 0
        self.last_now = 0
        self.listener: Any = None
        self.address = ""
        self.engine: Engine | None = None
        self.ended = False
        self.stopped: asyncio.Future[None] = loop.create_future()

    def now(self) -> int:
        """The loop's clock in integer nanoseconds; monotonic, also across the rounding from float seconds."""
        self.last_now = max(int(self.loop.time() * SECOND), self.last_now)
        return self.last_now

    def _flush(self) -> None:
        raise NotImplementedError

    def _read_delay(self, now: int) -> int:
        raise NotImplementedError

    async def _listen(self) -> None:
        """Open the plain listener and, where the settings have keys, the TLS listener.

        Raises OSError where an address cannot be bound, KeysError where the keys cannot be used.
        """
        host, port = split_address(self.settings.listen)
        self.listener = await self.loop.create_server(self._accept, host, port, backlog=1024)
        name = self.listener.sockets[0].getsockname()
        self.address = f"{name[0]}:{name[1]}"
        tls = self.settings.trust.tls
        if tls is not None:
            from eiderstep.server.tls import Credentials  # requires the optional dependencies `keys`

            self.credentials = Credentials(tls)
            self._warn_own_expiry()
            host, port = split_address(tls.listen)
            self.tls_listener = await self.loop.create_server(self._accept_tls, host, port, backlog=1024)
            name = self.tls_listener.sockets[0].getsockname()
            self.tls_address = f"{name[0]}:{name[1]}"
            self.loop.call_later(tls.look / SECOND, self._check_credentials)

    def _close_all(self, abort: bool) -> None:
        self.listener.close()
        if self.tls_listener is not None:
            self.tls_listener.close()
        for task in self.dial_tasks.values():
            task.cancel()
        for connection in list(self.handshaking.values()):
            connection.abort()
        for connection in list(self.connections.values()):
            connection.abort() if abort else connection.close()
        if self.datagram_socket is not None and self.datagram_socket.transport is not None:
            self.datagram_socket.transport.close()

    # -- inbound connections -------------------------------------------------------------------------------

    def _accept(self) -> StreamConnection:
        self.last_flow += 1
        return StreamConnection(self, self.last_flow)

    def _accept_tls(self) -> StreamConnection:
        from eiderstep.server.tls import TlsConnection

        assert self.credentials is not None
        self.last_flow += 1
        return StreamConnection(
            self, self.last_flow, tls=TlsConnection(self.credentials.server_context, True)
        )

    def handshake_started(self, connection: StreamConnection) -> bool:
        """Register a TLS connection before its handshake; returns whether the handshake may begin."""
        if self.engine is None:
            return False
        if not connection.dialled:
            # Until the peer is authenticated, the connection counts against the limits of its IP address.
            host, directory = connection.peer_host, self.engine.party_directory
            named = directory.is_exchange_address(host)
            known = named or directory.by_address(host).known
            why = self.limiter.admit_connection(
                self.now(), connection.flow, host, named, known, handshake=True
            )
            if why:
                self._log_limited("warning", why, host, {"peer": connection.peer})
                return False
        self.handshaking[connection.flow] = connection
        self.silent_since[connection.flow] = self.loop.time()
        return True

    def handshake_received(self, connection: StreamConnection, data: bytes) -> None:
        """Queue the bytes of a handshake; one queue entry is processed in each turn of the event loop.

        Sixty peers that reconnect at once need a fifth of a second of handshake work.  Processed in one turn,
        it would hold up all calls; with one entry a turn, other sockets are read in between.  The last of
        these peers is connected as late as without the queue.
        """
        self.handshake_queue.append((connection, data))
        if len(self.handshake_queue) == 1:
            self.loop.call_soon(self._process_next_handshake)

    def _process_next_handshake(self) -> None:
        connection, data = self.handshake_queue[0]
        try:
            connection.process_handshake(data)
        finally:
            self.handshake_queue.popleft()
            if self.handshake_queue:
                self.loop.call_soon(self._process_next_handshake)

    def connection_ready(self, connection: StreamConnection) -> None:
        """A plain connection is established, or a TLS handshake is complete with certificates of our CA."""
        engine = self.engine
        self.handshaking.pop(connection.flow, None)
        if engine is None:
            connection.abort()
            return
        if connection.tls is not None:
            party = self._authenticate(connection)
            if party is None:
                return
        else:
            party = (
                engine.party_at_link(connection.dialled)
                if connection.dialled
                else engine.party_directory.by_address(connection.peer_host)
            )
        if not connection.dialled:
            source = party.source
            # The handshake counted against the IP address; the connection now counts against `source`.
            self.limiter.connection_closed(connection.flow)
            why = self.limiter.admit_connection(
                self.now(), connection.flow, source, bool(party.exchanges), party.known
            )
            if why:
                self._log_limited("warning", why, source, {"peer": connection.peer})
                connection.rejected = True
                connection.abort()
                return
            self.silent_since.pop(connection.flow, None)
            self.silent_since[connection.flow] = self.loop.time()
        else:
            self.silent_since.pop(connection.flow, None)
        self.connections[connection.flow] = connection
        assert connection.transport is not None
        connection.transport.set_write_buffer_limits(high=self.settings.limits.unsent // 4)
        engine.set_party(connection.flow, party)

    def _authenticate(self, connection: StreamConnection) -> Party | None:
        """The peer that the certificate identifies; None where it is not accepted (closes the connection)."""
        assert connection.tls is not None and self.engine is not None and self.credentials is not None
        tls, directory = self.settings.trust.tls, self.engine.party_directory
        assert tls is not None
        certificate = connection.tls.peer_certificate()
        why = certificate_error(
            certificate, self.epoch() / 1000, self.credentials.revocation_list, tls.slack / SECOND
        )
        party = directory.by_identity(certificate.names, connection.peer_host)
        if not why and connection.dialled:
            number = self.engine.offices.get(connection.dialled, -1)
            if number not in party.exchanges:
                wanted = exchange_identity(self.settings, number)
                why = f"found identity {', '.join(certificate.names)}; allowed at this address: {wanted}"
        elif not why and not party.known:
            why = f"found identity {', '.join(certificate.names)}, which the settings do not name"
        if why:
            self.authentication_failed(connection, why)
            return None
        self.peer_certificates[connection.flow] = certificate
        return party

    def authentication_failed(self, connection: StreamConnection, reason: str) -> None:
        """A TLS handshake failed or timed out, or the peer's certificate is not accepted: abort."""
        self.handshaking.pop(connection.flow, None)
        fields = {"peer": connection.peer, "dialled": bool(connection.dialled), "why": reason}
        self._log_limited("warning", "peer not authenticated", connection.peer_host, fields)
        connection.rejected = True
        connection.abort()

    def connection_closed(self, connection: StreamConnection) -> None:
        """A connection is closed: remove its state, and notify the engine if it had been ready."""
        self.handshaking.pop(connection.flow, None)
        self.silent_since.pop(connection.flow, None)
        self.peer_certificates.pop(connection.flow, None)
        if connection.dialled and connection.tls is not None and self.credentials is not None:
            self.credentials.save_session(connection.dialled, connection.tls)
        self.limiter.connection_closed(connection.flow)
        self.read_paused.discard(connection.flow)
        if connection.dialled and connection.flow not in self.replaced_flows:
            self._link_closed(connection.dialled)
        self.replaced_flows.discard(connection.flow)
        if self.connections.pop(connection.flow, None) is None or self.engine is None:
            return
        self.engine.flow_lost(self.now(), connection.flow)
        self._flush()

    # -- received messages ---------------------------------------------------------------------------------

    def messages_received(self, flow: int, items: list[Message | BadMessage], reliable: bool) -> None:
        """Process the messages of one segment: all with the same time, as one batch for the module."""
        if self.engine is None:
            return
        engine, limiter = self.engine, self.limiter
        if self.silent_since.pop(flow, None) is not None:
            limiter.mark_active(flow)
        now = self.now()
        engine.queueing_delay = self._read_delay(now)
        slow = False
        for item in items:
            verdict = limiter.check_message(now, flow)
            if isinstance(item, BadMessage) or not engine.party_of(flow).known:
                if limiter.record_fault(now, flow, flow in engine.legs_by_flow) is Verdict.CLOSE:
                    self._close_for_faults(flow)
                    return
            if verdict is Verdict.TAKE:
                engine.handle_message(now, flow, item, reliable)
                continue
            slow = slow or verdict is Verdict.SLOW
            engine.handle_over_rate(now, flow, item, reliable, limiter.retry_after(flow))
        if slow:
            self._pause_reading(flow)
        self._flush()

    def _pause_reading(self, flow: int) -> None:
        """Pause reading a connection until its source is within its rate; TCP flow control slows the peer."""
        connection = self.connections.get(flow)
        if connection is None or connection.transport is None or flow in self.read_paused:
            return
        self.read_paused.add(flow)
        connection.transport.pause_reading()
        self._log_limited("warning", "source slowed", connection.peer_host, {"peer": connection.peer})
        self.loop.call_later(self.limiter.read_pause(flow) / SECOND, self._resume_reading, flow)

    def _resume_reading(self, flow: int) -> None:
        connection = self.connections.get(flow)
        if flow in self.read_paused and connection is not None and connection.transport is not None:
            self.read_paused.discard(flow)
            if not connection.transport.is_closing():
                connection.transport.resume_reading()

    def _close_for_faults(self, flow: int) -> None:
        connection = self.connections.get(flow)
        if connection is not None:
            self._log_limited(
                "warning",
                "connection closed for repeated faults",
                connection.peer_host,
                {"peer": connection.peer},
            )
            connection.abort()
        self._flush()

    def _log_limited(self, level: str, event: str, source: str, fields: dict[str, Any]) -> None:
        """Write a log line that a remote end can provoke, at a limited rate for each event and source."""
        suppressed = self.log_limiter.count_line(self.now(), (event, source))
        if suppressed >= 0:
            self.log(level, event, "", fields | ({"held_back": suppressed} if suppressed else {}))

    def _close_idle(self) -> None:
        """Close inbound connections without a complete message in time, which limits the cost of idle ones.

        Links of exchanges stay open.  An exchange without a call for us sends nothing; if its link were
        closed, it would redial without end, and a set-up sent during the closing would be lost.  The number
        of links that an exchange opens is bounded by `limits.connections`.
        """
        now, limits = self.loop.time(), self.settings.limits
        first_message_cutoff = now - limits.first_message / SECOND
        tls = self.settings.trust.tls
        handshake_cutoff = now - (tls.handshake / SECOND if tls is not None else 0.0)
        for flow, connection in list(self.handshaking.items()):
            if self.silent_since.get(flow, 0.0) <= handshake_cutoff:
                self.authentication_failed(connection, "handshake timed out")
        for flow, since in list(self.silent_since.items()):
            if since > first_message_cutoff:
                break  # insertion order: all later ones are younger
            if flow in self.connections:
                del self.silent_since[flow]
                if self.engine is not None and self.engine.party_of(flow).exchanges:
                    continue
                connection = self.connections[flow]
                self._log_limited(
                    "info", "idle connection closed", connection.peer_host, {"peer": connection.peer}
                )
                connection.close()
        for connection in list(self.connections.values()):
            if 0 < connection.partial_since < first_message_cutoff:
                self._log_limited(
                    "info",
                    "connection closed with incomplete message",
                    connection.peer_host,
                    {"peer": connection.peer},
                )
                connection.abort()
        if not self.stopped.done() and self.engine is not None:
            first = min(limits.first_message, tls.handshake) if tls is not None else limits.first_message
            self.loop.call_later(first / SECOND / 4, self._close_idle)

    # -- credentials and certificates ----------------------------------------------------------------------

    def _check_credentials(self) -> None:
        """Reload changed key files and recheck the certificates of open connections; runs periodically."""
        if self.ended or self.engine is None or self.credentials is None:
            return
        if self.credentials.files_changed():
            self.reload_credentials()
        else:
            self._recheck_certificates()
        self.loop.call_later(self.credentials.tls.look / SECOND, self._check_credentials)

    def reload_credentials(self) -> None:
        """Reload keys and revocation list, and dial all TLS links again if our certificate has changed.

        No call is cut: the new link is opened beside the old one, which stays open until its last call ends.
        """
        if self.credentials is None or self.engine is None:
            return
        before = self.credentials.own_certificate.serial
        try:
            self.credentials.load()
        except KeysError as problem:
            self._log_limited("error", "keys could not be read", "", {"why": str(problem)})
        self._recheck_certificates()
        if self.credentials.own_certificate.serial != before:
            self.log("info", "keys read", "", {"serial": f"{self.credentials.own_certificate.serial:x}"})
            self._redial_all()

    def _warn_own_expiry(self) -> None:
        assert self.credentials is not None
        now = self.epoch() / 1000
        warning = expiry_warning(self.credentials.own_certificate, now)
        if warning:
            self._log_limited(
                "warning",
                "own certificate needs renewal",
                "",
                {"certificate": self.credentials.tls.cert, "it": warning},
            )
        if (
            self.credentials.revocation_list.next_update
            and self.credentials.revocation_list.next_update < now
        ):
            self._log_limited(
                "warning", "revocation list is out of date", "", {"file": self.credentials.tls.crl}
            )

    def _recheck_certificates(self) -> None:
        """Check the certificates of all open connections again, and abort those no longer accepted.

        Without this check, the holder of a stolen key could go on using a connection that it has open.  When
        a certificate is revoked or has expired, its connection is closed and the calls on it are cut, since
        no message on it can be trusted any longer, not even a release.  A peer that does not renew in time
        loses its calls; its own log warns from the last quarter of the certificate's life on.
        """
        assert self.credentials is not None
        now, slack = self.epoch() / 1000, self.credentials.tls.slack / SECOND
        for flow, certificate in list(self.peer_certificates.items()):
            why = certificate_error(certificate, now, self.credentials.revocation_list, slack)
            connection = self.connections.get(flow)
            if why and connection is not None:
                del self.peer_certificates[flow]
                fields = {"peer": connection.peer, "names": certificate.names, "why": why}
                self.log("warning", "peer certificate no longer accepted", "", fields)
                connection.abort()
        self._warn_own_expiry()
        self._redial_expiring(now)
        self._close_replaced()

    def _redial_expiring(self, now: float) -> None:
        """Dial links again whose peer certificate expires soon: the peer may have a newer one by now."""
        assert self.engine is not None
        for address, flow in self.engine.links.items():
            certificate = self.peer_certificates.get(flow)
            since = self.link_up_since.get(address, 0.0)
            if (
                certificate is not None
                and certificate.not_after - now < (certificate.not_after - certificate.not_before) / 8
            ):
                if self.loop.time() - since > (certificate.not_after - certificate.not_before) / 32:
                    self._redial(address)

    def _redial_all(self) -> None:
        assert self.engine is not None
        for address, flow in list(self.engine.links.items()):
            if flow in self.peer_certificates:
                self._redial(address)

    def _redial(self, address: str) -> None:
        if address not in self.dial_tasks and not self.ended:
            self.dial_tasks[address] = self.loop.create_task(self._dial_until_connected(address))

    def _close_replaced(self) -> None:
        """Close replaced links that have no calls and no open transactions left."""
        engine = self.engine
        assert engine is not None
        for flow in list(self.replaced_flows):
            connection = self.connections.get(flow)
            if connection is not None and not (
                flow in engine.legs_by_flow or flow in engine.transactions.by_flow
            ):
                connection.close()

    # -- dialled links -------------------------------------------------------------------------------------

    def _uses_tls(self, address: str) -> bool:
        """Whether links to this address use TLS: not to our own lines, nor to peers set to `plain`."""
        if self.credentials is None or self.engine is None or address == self.settings.lines:
            return False
        number = self.engine.offices.get(address, -1)
        return not any(p.plain for p in self.settings.peers if p.number == number)

    async def _dial_until_connected(self, address: str) -> None:
        """Dial an address until a link is established, with exponential backoff."""
        while True:
            if address in self.dial_backoffs:
                await asyncio.sleep(self.dial_backoffs[address] * (1 + self.rng.random() / 4))
            self.last_flow += 1
            flow = self.last_flow
            # A connection that the far end accepts and resets at once is already closed when this task
            # resumes.  Without the check it would be used as a link, and all set-ups on it would be lost.
            if not await self._dial_once(address, flow) or flow not in self.connections:
                self._increase_backoff(address)
                continue
            self.link_up_since[address] = self.loop.time()
            if self.engine is not None:
                old = self.engine.links.get(address)
                if old is not None:
                    self.replaced_flows.add(old)
                self.engine.link_up(self.now(), address, flow)
                self._flush()
            if self.dial_tasks.get(address) is asyncio.current_task():
                del self.dial_tasks[address]
            return

    async def _dial_once(self, address: str, flow: int) -> bool:
        """Dial an address once; returns whether it is connected, with the TLS handshake done where used."""
        host, port = split_address(address)
        limit = self.settings.limits.dial / SECOND
        factory = partial(StreamConnection, self, flow, address)
        if self._uses_tls(address):
            from eiderstep.server.tls import TlsConnection

            assert self.credentials is not None
            session = self.credentials.sessions.get(address)
            factory = partial(
                StreamConnection,
                self,
                flow,
                address,
                TlsConnection(self.credentials.client_context, False, session),
            )
        try:
            dial = self.loop.create_connection(factory, host, port, **self._local_address(host))
            _, connection = await asyncio.wait_for(dial, limit)
            if connection.tls is not None:
                tls = self.settings.trust.tls
                assert tls is not None
                await asyncio.wait_for(asyncio.shield(connection.ready), tls.handshake / SECOND)
        except OSError:  # includes TimeoutError
            if flow in self.handshaking:
                self.handshaking[flow].abort()
            return False
        return True

    def _local_address(self, host: str) -> dict[str, Any]:
        """Arguments of create_connection that set the source address to the one at which we listen.

        On plain links, peers identify us by this address.  Empty where the listen address is unspecified or
        IPv6, or is a loopback address and `host` is not.
        """
        listen_host = split_address(self.settings.listen)[0]
        loopback = listen_host.startswith("127.") or listen_host == "::1"
        if (
            listen_host in ("0.0.0.0", "::")
            or (loopback and not host.startswith("127."))
            or ":" in listen_host + host
        ):
            return {}
        return {"local_addr": (listen_host, 0)}

    def _increase_backoff(self, address: str) -> None:
        """Double the pause before the next dial, after a failed dial or a link that was lost early."""
        first = self.settings.limits.redial / SECOND
        before = self.dial_backoffs.get(address)
        self.dial_backoffs[address] = first if before is None else min(2 * before, MAX_BACKOFF_FACTOR * first)

    def _link_closed(self, address: str) -> None:
        """Reset the backoff of an address after a link that lasted; increase it after one that did not.

        A far end that accepts and resets a little later, such as a proxy whose exchange is down, would
        otherwise be dialled without a pause, hundreds of times a second from each server.  The cost: a sound
        link that breaks twice within a few seconds is dialled only after a pause the second time.
        """
        since = self.link_up_since.pop(address, None)
        if since is not None:
            if self.loop.time() - since < MAX_BACKOFF_FACTOR * self.settings.limits.redial / SECOND:
                self._increase_backoff(address)
            else:
                self.dial_backoffs.pop(address, None)

    # -- datagrams -----------------------------------------------------------------------------------------

    def _datagram_flow(self, address: tuple[str, int]) -> int:
        flow = self.datagram_flows.get(address)
        if flow is None:
            if len(self.datagram_flows) >= self.settings.limits.connections:
                self._evict_datagram_flows()
            self.last_flow += 1
            flow = self.datagram_flows[address] = self.last_flow
            self.datagram_peers[flow] = address
            if self.engine is not None:
                self.engine.unreliable_flows.add(flow)
                self.engine.set_party(flow, self.engine.party_directory.by_address(address[0]))
        return flow

    def _evict_datagram_flows(self) -> None:
        """Remove the older half of the datagram flows that have no calls and no open transactions.

        Source addresses of datagrams can be forged, so without eviction the tables would grow without bound.
        """
        engine = self.engine
        idle = [
            address
            for address, flow in self.datagram_flows.items()
            if engine is None or not (flow in engine.legs_by_flow or flow in engine.transactions.by_flow)
        ]
        for address in idle[: self.settings.limits.connections // 2]:
            flow = self.datagram_flows.pop(address)
            del self.datagram_peers[flow]
            if engine is not None:
                engine.unreliable_flows.discard(flow)
                engine.parties.pop(flow, None)
