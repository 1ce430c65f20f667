"""Certificates, keys and TLS between call servers: authentication, rotation and revocation during calls."""

from __future__ import annotations

import asyncio
import os
import ssl
from collections.abc import Callable, Coroutine
from pathlib import Path
from random import Random
from typing import Any

import pytest
from typer.testing import CliRunner

from eiderstep.cli import app
from eiderstep.config.schema import (
    CallClass,
    Caller,
    Limits,
    Peer,
    Route,
    ServerSettings,
    SipTls,
    SourceLimits,
    Trust,
)  # fmt: skip
from eiderstep.lab.clock import VirtualLoop
from eiderstep.server.call_server import CallServer
from eiderstep.server.tls import Credentials, TlsConnection
from eiderstep.sip.message import request, split_address
from eiderstep.sip.parser import Parser
from eiderstep.standin.callers import CallerBehaviour, CallerClass, Callers
from eiderstep.standin.exchange import Exchange, ExchangeConfig
from eiderstep.trust.authority import Authority, check_key_permissions, read_crl
from eiderstep.trust.certificates import (
    CertificateInfo,
    KeysError,
    RevocationList,
    certificate_error,
    expiry_warning,
    sip_names,
)
from tests.test_server import Log, on_virtual_loop

SECOND = 1_000_000_000
NOW = 1000.0  # start of the virtual clock
PLAIN = CallerClass("plain", 1.0, 1.0, 30.0)

# -- certificates --------------------------------------------------------------------------------------------


@pytest.mark.parametrize(
    ("listed", "names"),
    [
        ((("URI", "sip:X1.midlands"), ("DNS", "other.example")), ("x1.midlands",)),
        ((("DNS", "X1.midlands"),), ("x1.midlands",)),
        ((("URI", "sip:user@x1.midlands"), ("DNS", "x1.midlands")), ()),
        ((("URI", "sip:x1.midlands:5061"),), ()),
        ((("URI", "sips:x1.midlands"), ("URI", "https://x1.midlands"), ("DNS", "*.midlands")), ()),
        ((("URI", "sip:"), ("DNS", "x1.midlands")), ()),
        ((("DNS", "sip:x1.midlands"),), ("sip:x1.midlands",)),
        ((("email", "x1.midlands"), ("DirName", "x1.midlands")), ()),
        ((), ()),
    ],
)
def test_sip_names_by_rfc_5922(listed: tuple[tuple[str, str], ...], names: tuple[str, ...]) -> None:
    assert sip_names(listed) == names


CERTIFICATE = CertificateInfo(("x1.t",), 7, 1000.0, 2000.0)


@pytest.mark.parametrize(
    ("certificate", "now", "revoked", "reason"),
    [
        (CERTIFICATE, 1500, RevocationList(), ""),
        (CERTIFICATE, 940, RevocationList(), ""),
        (CERTIFICATE, 2060, RevocationList(), ""),
        (CERTIFICATE, 939, RevocationList(), "not valid for another"),
        (CERTIFICATE, 2061, RevocationList(), "expired"),
        (CERTIFICATE, 1500 - 86_400, RevocationList(), "not valid for another 24 hours"),
        (CERTIFICATE, 1500 + 86_400, RevocationList(), "expired 24 hours ago"),
        (CERTIFICATE, 1500, RevocationList(frozenset([7])), "revoked"),
        (CERTIFICATE, 1500, RevocationList(frozenset([8])), ""),
        (CertificateInfo((), 7, 1000, 2000), 1500, RevocationList(), "contains no SIP domain"),
    ],
)
def test_certificate_errors(
    certificate: CertificateInfo, now: float, revoked: RevocationList, reason: str
) -> None:
    error = certificate_error(certificate, now, revoked, 60.0)
    assert error.startswith(reason) and bool(error) is bool(reason)


def test_expiry_warning_starts_in_the_last_quarter() -> None:
    assert [bool(expiry_warning(CERTIFICATE, now)) for now in (1700, 1751, 2001)] == [False, True, True]
    assert expiry_warning(CERTIFICATE, 2001) == "has expired"


# -- the authority -------------------------------------------------------------------------------------------


def test_authority_issues_renews_and_revokes(tmp_path: Path) -> None:
    authority = Authority.create(tmp_path / "ca", "test", NOW)
    first = authority.issue("x1.t", NOW)
    old = first.read_bytes()
    authority.issue("x1.t", NOW + 10)
    assert first.read_bytes() != old and len(authority.issued_certificates()) == 2
    assert [oct((tmp_path / "ca" / n).stat().st_mode)[-3:] for n in ("ca.key", "x1.t.key", "x1.t.pem")] == [
        "600", "600", "644",
    ]  # fmt: skip
    assert read_crl(tmp_path / "ca" / "crl.pem", tmp_path / "ca" / "ca.pem").serials == frozenset()
    revoked_rows = authority.revoke("x1.t", NOW + 20)
    listed = read_crl(tmp_path / "ca" / "crl.pem", tmp_path / "ca" / "ca.pem")
    assert listed.serials == {int(r.serial, 16) for r in revoked_rows} and len(revoked_rows) == 2
    assert listed.next_update == NOW + 20 + 86_400
    assert [p.name for p in (tmp_path / "ca").iterdir() if p.name.startswith(".")] == []


def test_authority_refuses_invalid_requests(tmp_path: Path) -> None:
    authority = Authority.create(tmp_path / "ca", "test", NOW, days=1)
    other = Authority.create(tmp_path / "other", "other", NOW)
    for wrong in (
        lambda: Authority.create(tmp_path / "ca", "again", NOW),
        lambda: authority.issue("", NOW),
        lambda: authority.issue("x1.t/../../etc", NOW),
        lambda: authority.issue("x1.t", NOW, hours=0),
        lambda: authority.issue("x1.t", NOW + 2 * 86_400),
        lambda: authority.revoke("nobody", NOW),
        lambda: read_crl(other.folder / "crl.pem", authority.folder / "ca.pem"),
        lambda: read_crl(authority.folder / "ca.pem", authority.folder / "ca.pem"),
        lambda: Authority(tmp_path / "none").issued_certificates(),
        lambda: check_key_permissions(tmp_path / "none"),
    ):
        with pytest.raises(KeysError) as caught:
            wrong()
        assert "found" in str(caught.value) or "cannot be read" in str(caught.value)
    assert authority.issue("x2.t", NOW, hours=999).exists(), "a certificate does not outlive the CA"
    assert authority.issued_certificates()[-1].ends == NOW + 86_400
    os.chmod(authority.folder / "ca.key", 0o640)
    with pytest.raises(KeysError, match="others can read it"):
        authority.issue("x3.t", NOW)


def test_keys_commands_create_issue_renew_revoke_and_show(tmp_path: Path) -> None:
    run, ca = CliRunner(), str(tmp_path / "ca")
    for words, code, message in (
        (["ca", ca], 0, "ca.pem"),
        (["ca", ca], 2, ""),
        (["issue", ca, "x1.midlands"], 0, "x1.midlands.pem"),
        (["renew", ca, "x1.midlands"], 0, "x1.midlands.pem"),
        (["renew", ca, "x2.midlands"], 2, ""),
        (["show", ca], 0, "good"),
        (["revoke", ca, "x1.midlands"], 0, "revoked"),
        (["revoke", ca, "x1.midlands"], 2, ""),
        (["crl", ca], 0, "crl.pem"),
        (["show", ca, "--json"], 0, '"state": "revoked"'),
    ):
        result = run.invoke(app, ["keys", *words])
        assert result.exit_code == code and message in result.stdout, (words, result.output)
        for line in (tmp_path / "ca" / "ca.key").read_text().splitlines()[1:-1]:
            assert line not in result.output


# -- TLS without I/O -----------------------------------------------------------------------------------------


def tls_settings(folder: Path, stem: str, ca: Path | None = None, **more: Any) -> SipTls:
    where = ca or folder
    return SipTls(
        listen="127.0.0.1:0", ca=str(where / "ca.pem"), cert=str(folder / f"{stem}.pem"),
        key=str(folder / f"{stem}.key"), **more,
    )  # fmt: skip


def load_keys(folder: Path, stem: str, ca: Path | None = None) -> Credentials:
    return Credentials(tls_settings(folder, stem, ca))


def run_handshake(client: TlsConnection, server: TlsConnection) -> None:
    """Pass bytes between both ends until neither has any to send."""
    data = client.start()
    for _ in range(10):
        server.feed(data)
        back = server.pending_output()
        client.feed(back)
        data = client.pending_output()
        if not back and not data:
            return


def test_tls_authenticates_both_ends_and_resumes(tmp_path: Path) -> None:
    authority = Authority.create(tmp_path, "test", NOW)
    authority.issue("x0.t", NOW), authority.issue("x1.t", NOW)
    keys0, keys1 = load_keys(tmp_path, "x0.t"), load_keys(tmp_path, "x1.t")
    client, server = TlsConnection(keys0.client_context, False), TlsConnection(keys1.server_context, True)
    run_handshake(client, server)
    assert client.handshake_done and server.handshake_done and not client.failure + server.failure
    assert client.peer_certificate().names == ("x1.t",) and server.peer_certificate().names == ("x0.t",)
    assert server.feed(client.write(b"a" * 200_000)) == b"a" * 200_000
    assert client.feed(server.write(b"b")) == b"b"
    keys0.save_session("there", client)
    again, far = (
        TlsConnection(keys0.client_context, False, keys0.sessions["there"]),
        TlsConnection(keys1.server_context, True),
    )
    run_handshake(again, far)
    assert again.resumed and far.resumed, "the second handshake resumes the session"
    assert far.peer_certificate() == server.peer_certificate(), (
        "a resumed session has the same peer certificate"
    )
    far.feed(again.close_notify())
    assert far.closed
    keys0.load()
    keys0.save_session("there", again)
    assert not keys0.sessions, "a session is not saved after its keys were replaced"


def test_tls_refuses_invalid_handshakes(tmp_path: Path) -> None:
    authority, other = (
        Authority.create(tmp_path / "a", "test", NOW),
        Authority.create(tmp_path / "b", "test", NOW),
    )
    authority.issue("x0.t", NOW), other.issue("x1.t", NOW)
    server = load_keys(authority.folder, "x0.t").server_context
    wrong_ca = TlsConnection(load_keys(other.folder, "x1.t", authority.folder).client_context, False)
    far = TlsConnection(server, True)
    run_handshake(wrong_ca, far)
    assert far.failure and not far.handshake_done, "a CA with the same name but another key is rejected"
    bare = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    bare.check_hostname, bare.verify_mode = False, ssl.CERT_NONE
    far = TlsConnection(server, True)
    run_handshake(TlsConnection(bare, False), far)
    assert "did not return a certificate" in far.failure and not far.handshake_done
    old = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    old.check_hostname, old.verify_mode = False, ssl.CERT_NONE
    old.minimum_version, old.maximum_version = ssl.TLSVersion.TLSv1, ssl.TLSVersion.TLSv1_1
    old.set_ciphers("ALL:@SECLEVEL=0")
    far = TlsConnection(server, True)
    run_handshake(TlsConnection(old, False), far)
    assert far.failure and not far.handshake_done, "versions below TLS 1.2 are rejected"
    far = TlsConnection(server, True)
    far.feed(b"INVITE sip:a@b SIP/2.0\r\n\r\n")
    assert far.failure and not far.handshake_done, "plain SIP on the TLS port is rejected"
    far = TlsConnection(server, True)
    for _ in range(20):
        far.feed(b"\x16\x03\x01\x3f\xff" + b"\x01\x00\xff\xff" + b"\0" * 16379)
    assert far.failure and not far.feed(b"x")


def test_unusable_keys_are_reported_without_their_contents(tmp_path: Path) -> None:
    authority = Authority.create(tmp_path, "test", NOW)
    authority.issue("x0.t", NOW), authority.issue("x1.t", NOW)
    secret = (tmp_path / "x0.t.key").read_text().splitlines()[1]
    keys = load_keys(tmp_path, "x0.t")
    was = keys.server_context
    os.replace(tmp_path / "x1.t.key", tmp_path / "x0.t.key")
    assert keys.files_changed()
    with pytest.raises(KeysError) as caught:
        keys.load()
    assert "x0.t.key" in str(caught.value) and secret not in str(caught.value)
    assert keys.server_context is was, "the valid keys stay in use"
    os.chmod(tmp_path / "x0.t.key", 0o644)
    with pytest.raises(KeysError, match="others can read it"):
        keys.load()


# -- call servers --------------------------------------------------------------------------------------------


class Site:
    """Call servers 0, 1, ... with lines and callers, connected over TLS on one event loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path, hours: float = 24.0) -> None:
        self.loop, self.folder, self.hours = loop, folder, hours
        self.ca = Authority.create(folder, "test", self.epoch() - 100_000)
        self.servers: list[CallServer] = []
        self.lines: list[Exchange] = []
        self.callers: list[Callers] = []
        self.logs: list[Log] = []

    def epoch(self) -> float:
        return self.loop.time()

    def stem(self, number: int) -> str:
        return f"x{number}.t"

    async def start(self, count: int = 2, circuits: int = 20, **trust: Any) -> None:
        ports = []
        for number in range(count):
            self.ca.issue(self.stem(number), self.epoch(), self.hours)
            probe = await self.loop.create_server(asyncio.Protocol, f"127.1.0.{number + 1}", 0)
            ports.append(probe.sockets[0].getsockname()[1])
            probe.close()
        for number in range(count):
            config = ExchangeConfig(
                number=number, group_sizes={}, dial_plan={str(4000 + number): number}, capacity=1e5
            )
            line = Exchange(self.loop, config, Random(number), None)
            await line.listen()
            self.lines.append(line)
            others = [n for n in range(count) if n != number]
            tls = SipTls(
                listen=f"127.1.0.{number + 1}:{ports[number]}", ca=str(self.folder / "ca.pem"),
                cert=str(self.folder / f"{self.stem(number)}.pem"),
                key=str(self.folder / f"{self.stem(number)}.key"), crl=str(self.folder / "crl.pem"),
                look=SECOND // 2, handshake=2 * SECOND,
            )  # fmt: skip
            settings = ServerSettings(
                number=number, listen=f"127.1.0.{number + 1}:0", context="t", lines=line.address,
                classes=[CallClass(name="plain", aim=SECOND, give_up=9 * SECOND, mean_hold=2 * SECOND)],
                peers=[
                    Peer(number=n, address=f"127.1.0.{n + 1}:{ports[n]}", circuits=circuits) for n in others
                ],
                dial_plan=[Route(prefix=str(4000 + n), exchange=n) for n in range(count)],
                trust=Trust(
                    callers=[Caller(name="own", networks=["127.2.0.0/16"])], tls=tls, plain_exchanges=False,
                    **trust,
                ),
                limits=Limits(source=SourceLimits(silent=50), first_message=8 * SECOND),
                seed=number,
            )  # fmt: skip
            log = Log()
            self.logs.append(log)
            self.servers.append(CallServer(self.loop, settings, log, epoch=lambda: int(self.epoch() * 1000)))
        for server in self.servers:
            await server.start()
        await asyncio.sleep(1.5)
        for number, server in enumerate(self.servers):
            callers = Callers(
                self.loop,
                server.address,
                Random(number),
                CallerBehaviour(early_hang_up_share=0.0, max_redials=0),
            )
            callers.local_host = f"127.2.0.{number + 1}"
            await callers.connect()
            self.callers.append(callers)

    def stop(self) -> None:
        for server in self.servers:
            server.kill()
        for line in self.lines:
            line.kill()

    def events(self, number: int) -> list[str]:
        return self.logs[number].events()

    def reasons(self, number: int, event: str = "peer not authenticated") -> str:
        return "; ".join(str(f.get("why")) for e, f in self.logs[number].lines if e == event)

    async def connect_with_key(
        self, number: int, folder: Path, stem: str, ca: Path | None = None, plain: bool = False,
        host: str = "127.3.0.1",
    ) -> TlsClient:  # fmt: skip
        """Connect to a server with the given key, or without TLS."""
        server = self.servers[number]
        context = None if plain else load_keys(folder, stem, ca or self.folder).client_context
        where, port = split_address(server.address if plain else server.tls_address)
        _, client = await self.loop.create_connection(
            lambda: TlsClient(context), where, port, local_addr=(host, 0)
        )
        await asyncio.sleep(0.3)
        return client


class TlsClient(asyncio.Protocol):
    """A client that sends given bytes over TLS, or plain where `context` is None."""

    def __init__(self, context: ssl.SSLContext | None) -> None:
        self.tls = TlsConnection(context, False) if context is not None else None
        self.transport: Any = None
        self.parser, self.statuses, self.lost = Parser(), list[int](), False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.tls is not None:
            transport.write(self.tls.start())

    def data_received(self, data: bytes) -> None:
        if self.tls is not None:
            data = self.tls.feed(data)
            self.transport.write(self.tls.pending_output())
        self.statuses += [getattr(m, "status", 0) for m in self.parser.feed(data)]

    def send(self, data: bytes) -> None:
        self.transport.write(data if self.tls is None else self.tls.write(data))

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


def notify(group: str) -> bytes:
    message = request(
        "NOTIFY", "sip:x@x", via="SIP/2.0/TCP s;branch=z9hG4bKn1", sender="<sip:s@s>;tag=s", to="<sip:x@x>",
        call_id="n1", cseq=1,
    )  # fmt: skip
    message.set("contact", f"<sip:trunk;tgrp={group};trunk-context=t@s>")
    message.set("event", "eiderstep-circuits")
    message.set("eiderstep-circuits", "0-19")
    return message.encode()


def run_site(
    folder: Path, what: Callable[[Site], Coroutine[Any, Any, None]], hours: float = 24.0, **trust: Any
) -> Site:
    loop = VirtualLoop()
    site = Site(loop, folder, hours)

    async def run() -> None:
        try:
            await what(site)
        finally:
            site.stop()
            await asyncio.sleep(0)

    on_virtual_loop(run(), loop)
    return site


async def offer_calls(site: Site, count: int, at: int = 0, to: int = 1) -> list[Any]:
    offers = [site.callers[at].offer_call(PLAIN, f"{4000 + to}1234") for _ in range(count)]
    await asyncio.sleep(1)
    return [a.outcome for a in offers]


def test_calls_stand_over_authenticated_links(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        assert await offer_calls(site, 5) == ["stands"] * 5 == await offer_calls(site, 5, 1, 0)
        server = site.servers[0]
        assert server.engine is not None and all(
            f in server.peer_certificates
            for f in server.engine.links.values()
            if f in [w.flow for w in server.connections.values() if w.tls]
        )
        assert sum(w.tls is not None for w in server.connections.values()) == 2, (
            "one link dialled, one accepted"
        )

    site = run_site(tmp_path, run)
    assert "peer not authenticated" not in site.events(0) + site.events(1)


REJECTED_KEYS: dict[str, tuple[Callable[[Site, Path], tuple[Path, str]], str]] = {
    "of a wrong CA": (
        lambda site, p: (Authority.create(p / "b", "test", NOW).issue("x1.t", NOW).parent, "x1.t"),
        "certificate",
    ),
    "self-signed": (
        lambda site, p: (Authority.create(p / "c", "x1.t", NOW).folder, "ca"), "certificate",
    ),
    "expired": (lambda site, p: (site.ca.issue("x1.t", NOW - 9999, 1, "old").parent, "old"), "expired"),
    "not yet valid": (
        lambda site, p: (site.ca.issue("x1.t", NOW + 9999, 1, "new").parent, "new"), "not valid for another",
    ),
    "of a name that nobody has": (
        lambda site, p: (site.ca.issue("x9.t", NOW).parent, "x9.t"), "settings do not name",
    ),
    "revoked": (lambda site, p: (issue_revoked(site).folder, "gone"), "revoked"),
}  # fmt: skip


def issue_revoked(site: Site) -> Authority:
    site.ca.issue("x1.t", NOW, stem="gone")
    serial = site.ca.issued_certificates()[-1].serial
    site.ca.revoke(serial, NOW)
    site.servers[0].reload_credentials()
    return site.ca


@pytest.mark.parametrize("name", REJECTED_KEYS)
def test_closes_connection_with_unacceptable_certificate(tmp_path: Path, name: str) -> None:
    make, word = REJECTED_KEYS[name]

    async def run(site: Site) -> None:
        await site.start()
        folder, stem = make(site, tmp_path / "more")
        client = await site.connect_with_key(0, folder, stem)
        client.send(notify("0-1"))
        await asyncio.sleep(0.5)
        assert client.lost and client.statuses == []
        assert await offer_calls(site, 3) == ["stands"] * 3
        assert word in site.reasons(0)

    run_site(tmp_path, run)


def test_exchange_acts_only_for_its_own_group_and_only_over_tls(
    tmp_path: Path,
) -> None:
    async def run(site: Site) -> None:
        await site.start(3)
        insider = await site.connect_with_key(0, tmp_path, "x1.t")
        insider.send(notify("0-2"))
        await asyncio.sleep(0.2)
        assert insider.statuses == [403] and not insider.lost
        for host in ("127.1.0.2", "127.2.0.7", "127.3.0.1"):  # its own address, a caller's, an unknown one
            plain = await site.connect_with_key(0, tmp_path, "", plain=True, host=host)
            plain.send(notify("0-1"))
            await asyncio.sleep(0.2)
            assert plain.statuses == [403], "a plain connection does not act for an exchange"
        assert await offer_calls(site, 2) == ["stands"] * 2 == await offer_calls(site, 2, 0, 2)
        insider.send(notify("0-1"))
        await asyncio.sleep(0.5)
        assert insider.statuses[-1] == 200 and site.servers[0].engine is not None
        assert site.servers[0].engine.trunk_groups[1].free == 0, (
            "an exchange can block the circuits of its own group"
        )
        assert await offer_calls(site, 2, 0, 2) == ["stands"] * 2

    run_site(tmp_path, run)


def test_rejects_link_to_unexpected_exchange(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        site.stem = lambda number: f"x{number}.t" if number == 0 else "x7.t"  # type: ignore[method-assign]
        await site.start()
        assert await offer_calls(site, 2) != ["stands"] * 2
        assert "found identity x7.t; allowed at this address: x1.t" in site.reasons(0)
        assert "settings do not name" in site.reasons(1) or site.reasons(1) == ""

    run_site(tmp_path, run)


def test_unfinished_handshake_times_out(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        where, port = split_address(site.servers[0].tls_address)
        idle = [await site.loop.create_connection(lambda: TlsClient(None), where, port) for _ in range(80)]
        for transport, _ in idle[::2]:
            transport.write(b"\x16\x03\x01\x02\x00")
        assert await offer_calls(site, 3) == ["stands"] * 3
        await asyncio.sleep(4)
        assert all(client.lost for _, client in idle) and not site.servers[0].handshaking
        assert "handshake timed out" in site.reasons(0)

    site = run_site(tmp_path, run)
    assert "too many silent connections of one source" in site.events(0)


def test_key_rotation_cuts_no_standing_calls(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start(3, circuits=100)
        offers = []
        for batch in range(6):
            offers += [
                site.callers[a].offer_call(PLAIN, f"{4000 + (a + 1) % 3}1234")
                for a in range(3)
                for _ in range(8)
            ]
            if batch == 2:
                for number in range(3):
                    site.ca.issue(site.stem(number), site.epoch())
            await asyncio.sleep(0.4)
        await asyncio.sleep(1)
        finals = [c.final_counts for c in site.callers]
        assert [a.outcome for a in offers] == ["stands"] * len(offers), (
            finals,
            [log.lines for log in site.logs],
        )
        for number, server in enumerate(site.servers):
            assert site.events(number).count("keys read") == 1 and server.credentials is not None
            assert server.engine is not None
            for address, flow in server.engine.links.items():
                if flow in server.peer_certificates:
                    far = next(p.number for p in server.settings.peers if p.address == address)
                    assert (
                        server.peer_certificates[flow].serial
                        == site.servers[far].credentials.own_certificate.serial  # type: ignore[union-attr]
                    ), "the link uses the renewed certificate"
        await asyncio.sleep(400)
        assert all(not s.replaced_flows and not s.engine.calls for s in site.servers if s.engine), (
            "replaced links are closed"
        )
        assert all(a.outcome == "stands" and not a.was_cut for a in offers)

        assert all("link lost" not in site.events(n) for n in range(3))

    run_site(tmp_path, run)


def test_revocation_cuts_only_the_calls_of_that_peer(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start(3, circuits=300)
        peer1_calls, peer2_calls = [], []
        for _ in range(20):
            peer1_calls += [site.callers[0].offer_call(PLAIN, "40011234") for _ in range(10)]
            peer2_calls += [site.callers[0].offer_call(PLAIN, "40021234")]
            await asyncio.sleep(0.2)
        assert [a.outcome for a in peer1_calls + peer2_calls].count("stands") > 200
        engine = site.servers[0].engine
        assert engine is not None and len(engine.trunk_groups[1].busy) > 150
        site.ca.revoke("x1.t", site.epoch())
        await asyncio.sleep(1.5)
        assert not engine.trunk_groups[1].busy, "all circuits of the revoked peer are released"
        assert not any(a.was_cut for a in peer2_calls) and sum(a.was_cut for a in peer1_calls) > 150
        assert "revoked" in site.reasons(
            0, "peer certificate no longer accepted"
        ) and "revoked" in site.reasons(0)
        assert await offer_calls(site, 3, 0, 2) == ["stands"] * 3

    run_site(tmp_path, run)


def test_link_is_closed_at_expiry_unless_the_certificate_is_renewed(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        assert await offer_calls(site, 2) == ["stands"] * 2
        await asyncio.sleep(45)
        site.ca.issue(site.stem(0), site.epoch(), 1)
        await asyncio.sleep(80)
        assert "expired" in site.reasons(0, "peer certificate no longer accepted") and "expires in" in str(
            site.logs[1].lines
        )
        assert await offer_calls(site, 1) != ["stands"]
        site.ca.issue(site.stem(1), site.epoch(), 1)
        await asyncio.sleep(5)
        assert await offer_calls(site, 2) == ["stands"] * 2

    run_site(tmp_path, run, hours=1 / 60)


def test_wrong_clock_is_reported_in_the_log(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        site.servers[0].epoch = lambda: int((site.epoch() + 2 * 86_400) * 1000)
        await asyncio.sleep(2)
        assert "expired 24 hours ago" in site.reasons(0, "peer certificate no longer accepted")
        site.servers[0].epoch = lambda: int(site.epoch() * 1000)
        await asyncio.sleep(4)
        assert await offer_calls(site, 2) == ["stands"] * 2, "links are up again once the clock is right"

    run_site(tmp_path, run)


def test_key_rotation_during_a_drain_cuts_no_calls(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        offers = [site.callers[0].offer_call(PLAIN, "40011234") for _ in range(12)]
        await asyncio.sleep(1)
        site.servers[0].stop()
        for number in range(2):
            site.ca.issue(site.stem(number), site.epoch())
        await asyncio.sleep(10)
        assert [a.outcome for a in offers] == ["stands"] * 12 and not any(a.was_cut for a in offers)
        assert "keys read" in site.events(0) and "stopped" not in site.events(0)
        assert await offer_calls(site, 1) == ["given up"], "a new call is refused during the drain"
        await asyncio.sleep(25)
        assert "stopped" in site.events(0), "the drain ends as usual"

    run_site(tmp_path, run)
