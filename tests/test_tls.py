"""Proofs, keys, and TLS between call servers: who is let in, rotation and revocation while calls stand."""

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
from eiderstep.server.node import CallServer
from eiderstep.server.tls import Keys, Tls
from eiderstep.sip.message import request, split_address
from eiderstep.sip.parser import Parser
from eiderstep.standin.callers import Callers, Class, Manners
from eiderstep.standin.exchange import Exchange, Plant
from eiderstep.trust.authority import Authority, check_key_permissions, read_crl
from eiderstep.trust.proof import (
    CertificateInfo,
    KeysError,
    RevocationList,
    certificate_error,
    expiry_warning,
    sip_names,
)
from tests.test_server import Log, on_virtual_loop

SECOND = 1_000_000_000
NOW = 1000.0  # where the virtual clock begins
PLAIN = Class("plain", 1.0, 1.0, 30.0)

# -- proofs --------------------------------------------------------------------------------------------------


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
def test_names_by_rfc_5922(listed: tuple[tuple[str, str], ...], names: tuple[str, ...]) -> None:
    assert sip_names(listed) == names


P = CertificateInfo(("x1.t",), 7, 1000.0, 2000.0)


@pytest.mark.parametrize(
    ("proof", "now", "revoked", "word"),
    [
        (P, 1500, RevocationList(), ""),
        (P, 940, RevocationList(), ""),
        (P, 2060, RevocationList(), ""),
        (P, 939, RevocationList(), "not valid for another"),
        (P, 2061, RevocationList(), "expired"),
        (P, 1500 - 86_400, RevocationList(), "not valid for another 24 hours"),
        (P, 1500 + 86_400, RevocationList(), "expired 24 hours ago"),
        (P, 1500, RevocationList(frozenset([7])), "revoked"),
        (P, 1500, RevocationList(frozenset([8])), ""),
        (CertificateInfo((), 7, 1000, 2000), 1500, RevocationList(), "contains no SIP domain"),
    ],
)
def test_when_a_proof_counts(proof: CertificateInfo, now: float, revoked: RevocationList, word: str) -> None:
    said = certificate_error(proof, now, revoked, 60.0)
    assert said.startswith(word) and bool(said) is bool(word)


def test_an_end_is_told_from_the_last_quarter_on() -> None:
    assert [bool(expiry_warning(P, now)) for now in (1700, 1751, 2001)] == [False, True, True]
    assert expiry_warning(P, 2001) == "has expired"


# -- the authority -------------------------------------------------------------------------------------------


def test_an_authority_issues_renews_revokes(tmp_path: Path) -> None:
    made = Authority.make(tmp_path / "ca", "test", NOW)
    first = made.issue("x1.t", NOW)
    old = first.read_bytes()
    made.issue("x1.t", NOW + 10)
    assert first.read_bytes() != old and len(made.rows()) == 2
    assert [oct((tmp_path / "ca" / n).stat().st_mode)[-3:] for n in ("ca.key", "x1.t.key", "x1.t.pem")] == [
        "600", "600", "644",
    ]  # fmt: skip
    assert read_crl(tmp_path / "ca" / "crl.pem", tmp_path / "ca" / "ca.pem").serials == frozenset()
    gone = made.revoke("x1.t", NOW + 20)
    listed = read_crl(tmp_path / "ca" / "crl.pem", tmp_path / "ca" / "ca.pem")
    assert listed.serials == {int(r.serial, 16) for r in gone} and len(gone) == 2
    assert listed.next_update == NOW + 20 + 86_400
    assert [p.name for p in (tmp_path / "ca").iterdir() if p.name.startswith(".")] == []


def test_what_an_authority_refuses(tmp_path: Path) -> None:
    made = Authority.make(tmp_path / "ca", "test", NOW, days=1)
    other = Authority.make(tmp_path / "other", "other", NOW)
    for wrong in (
        lambda: Authority.make(tmp_path / "ca", "again", NOW),
        lambda: made.issue("", NOW),
        lambda: made.issue("x1.t/../../etc", NOW),
        lambda: made.issue("x1.t", NOW, hours=0),
        lambda: made.issue("x1.t", NOW + 2 * 86_400),
        lambda: made.revoke("nobody", NOW),
        lambda: read_crl(other.folder / "crl.pem", made.folder / "ca.pem"),
        lambda: read_crl(made.folder / "ca.pem", made.folder / "ca.pem"),
        lambda: Authority(tmp_path / "none").rows(),
        lambda: check_key_permissions(tmp_path / "none"),
    ):
        with pytest.raises(KeysError) as caught:
            wrong()
        assert "found" in str(caught.value) or "cannot be read" in str(caught.value)
    assert made.issue("x2.t", NOW, hours=999).exists(), "cut to the CA's own life"
    assert made.rows()[-1].ends == NOW + 86_400
    os.chmod(made.folder / "ca.key", 0o640)
    with pytest.raises(KeysError, match="others can read it"):
        made.issue("x3.t", NOW)


def test_the_command_line_makes_issues_renews_revokes_and_shows(tmp_path: Path) -> None:
    run, ca = CliRunner(), str(tmp_path / "ca")
    for words, code, said in (
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
        assert result.exit_code == code and said in result.stdout, (words, result.output)
        for line in (tmp_path / "ca" / "ca.key").read_text().splitlines()[1:-1]:
            assert line not in result.output


# -- the codec -----------------------------------------------------------------------------------------------


def tls_of(folder: Path, stem: str, ca: Path | None = None, **more: Any) -> SipTls:
    where = ca or folder
    return SipTls(
        listen="127.0.0.1:0", ca=str(where / "ca.pem"), cert=str(folder / f"{stem}.pem"),
        key=str(folder / f"{stem}.key"), **more,
    )  # fmt: skip


def keys_of(folder: Path, stem: str, ca: Path | None = None) -> Keys:
    return Keys(tls_of(folder, stem, ca))


def shake(client: Tls, server: Tls) -> None:
    """Both ends until nothing more is to be sent."""
    data = client.start()
    for _ in range(10):
        server.feed(data)
        back = server.wanted()
        client.feed(back)
        data = client.wanted()
        if not back and not data:
            return


def test_the_codec_proves_both_ends_and_resumes(tmp_path: Path) -> None:
    made = Authority.make(tmp_path, "test", NOW)
    made.issue("x0.t", NOW), made.issue("x1.t", NOW)
    zero, one = keys_of(tmp_path, "x0.t"), keys_of(tmp_path, "x1.t")
    client, server = Tls(zero.client, False), Tls(one.server_context, True)
    shake(client, server)
    assert client.done and server.done and not client.failure + server.failure
    assert client.peer_certificate().names == ("x1.t",) and server.peer_certificate().names == ("x0.t",)
    assert server.feed(client.write(b"a" * 200_000)) == b"a" * 200_000
    assert client.feed(server.write(b"b")) == b"b"
    zero.save_session("there", client)
    again, far = Tls(zero.client, False, zero.sessions["there"]), Tls(one.server_context, True)
    shake(again, far)
    assert again.resumed and far.resumed, "half the work"
    assert far.peer_certificate() == server.peer_certificate(), (
        "a resumed session shows the same certificate, judged anew"
    )
    far.feed(again.close_notify())
    assert far.closed
    zero.load()
    zero.save_session("there", again)
    assert not zero.sessions, "a session of keys that are no more is not kept"


def test_the_codec_refuses(tmp_path: Path) -> None:
    made, other = Authority.make(tmp_path / "a", "test", NOW), Authority.make(tmp_path / "b", "test", NOW)
    made.issue("x0.t", NOW), other.issue("x1.t", NOW)
    server = keys_of(made.folder, "x0.t").server_context
    wrong_ca = Tls(keys_of(other.folder, "x1.t", made.folder).client, False)
    far = Tls(server, True)
    shake(wrong_ca, far)
    assert far.failure and not far.done, "a CA of the same name, but not ours"
    bare = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    bare.check_hostname, bare.verify_mode = False, ssl.CERT_NONE
    far = Tls(server, True)
    shake(Tls(bare, False), far)
    assert "did not return a certificate" in far.failure and not far.done
    old = ssl.SSLContext(ssl.PROTOCOL_TLS_CLIENT)
    old.check_hostname, old.verify_mode = False, ssl.CERT_NONE
    old.minimum_version, old.maximum_version = ssl.TLSVersion.TLSv1, ssl.TLSVersion.TLSv1_1
    old.set_ciphers("ALL:@SECLEVEL=0")
    far = Tls(server, True)
    shake(Tls(old, False), far)
    assert far.failure and not far.done, "nothing below TLS 1.2"
    far = Tls(server, True)
    far.feed(b"INVITE sip:a@b SIP/2.0\r\n\r\n")
    assert far.failure and not far.done, "plain words on the port for TLS"
    far = Tls(server, True)
    for _ in range(20):
        far.feed(b"\x16\x03\x01\x3f\xff" + b"\x01\x00\xff\xff" + b"\0" * 16379)
    assert far.failure and not far.feed(b"x")


def test_keys_of_no_use_are_named_and_never_shown(tmp_path: Path) -> None:
    made = Authority.make(tmp_path, "test", NOW)
    made.issue("x0.t", NOW), made.issue("x1.t", NOW)
    secret = (tmp_path / "x0.t.key").read_text().splitlines()[1]
    keys = keys_of(tmp_path, "x0.t")
    was = keys.server_context
    os.replace(tmp_path / "x1.t.key", tmp_path / "x0.t.key")
    assert keys.files_changed()
    with pytest.raises(KeysError) as caught:
        keys.load()
    assert "x0.t.key" in str(caught.value) and secret not in str(caught.value)
    assert keys.server_context is was, "what was good stays in force"
    os.chmod(tmp_path / "x0.t.key", 0o644)
    with pytest.raises(KeysError, match="others can read it"):
        keys.load()


# -- call servers --------------------------------------------------------------------------------------------


class Site:
    """Call servers 0, 1, ... with lines and callers, joined over TLS on one loop."""

    def __init__(self, loop: asyncio.AbstractEventLoop, folder: Path, hours: float = 24.0) -> None:
        self.loop, self.folder, self.hours = loop, folder, hours
        self.ca = Authority.make(folder, "test", self.epoch() - 100_000)
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
            plant = Plant(number=number, circuits={}, numbers={str(4000 + number): number}, capacity=1e5)
            line = Exchange(self.loop, plant, Random(number), None)
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
            callers = Callers(self.loop, server.address, Random(number), Manners(leaves_early=0.0, redials=0))
            callers.host = f"127.2.0.{number + 1}"
            await callers.connect()
            self.callers.append(callers)

    def stop(self) -> None:
        for server in self.servers:
            server.kill()
        for line in self.lines:
            line.die()

    def events(self, number: int) -> list[str]:
        return self.logs[number].events()

    def why(self, number: int, event: str = "peer not authenticated") -> str:
        return "; ".join(str(f.get("why")) for e, f in self.logs[number].lines if e == event)

    async def knock(
        self, number: int, folder: Path, stem: str, ca: Path | None = None, plain: bool = False,
        host: str = "127.3.0.1",
    ) -> Knocker:  # fmt: skip
        """Connect to a server with that key."""
        server = self.servers[number]
        context = None if plain else keys_of(folder, stem, ca or self.folder).client
        where, port = split_address(server.address if plain else server.tls_address)
        _, one = await self.loop.create_connection(
            lambda: Knocker(context), where, port, local_addr=(host, 0)
        )
        await asyncio.sleep(0.3)
        return one


class Knocker(asyncio.Protocol):
    """A client with a key of its own that says what it is told."""

    def __init__(self, context: ssl.SSLContext | None) -> None:
        self.tls = Tls(context, False) if context is not None else None
        self.transport: Any = None
        self.parser, self.statuses, self.lost = Parser(), list[int](), False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.tls is not None:
            transport.write(self.tls.start())

    def data_received(self, data: bytes) -> None:
        if self.tls is not None:
            data = self.tls.feed(data)
            self.transport.write(self.tls.wanted())
        self.statuses += [getattr(m, "status", 0) for m in self.parser.feed(data)]

    def say(self, data: bytes) -> None:
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


def play(
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


async def calls(site: Site, count: int, at: int = 0, to: int = 1) -> list[Any]:
    asks = [site.callers[at].offer(PLAIN, f"{4000 + to}1234") for _ in range(count)]
    await asyncio.sleep(1)
    return [a.outcome for a in asks]


def test_calls_stand_over_links_on_which_both_ends_are_proven(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        assert await calls(site, 5) == ["stands"] * 5 == await calls(site, 5, 1, 0)
        server = site.servers[0]
        assert server.engine is not None and all(
            f in server.peer_certificates
            for f in server.engine.links.values()
            if f in [w.flow for w in server.connections.values() if w.tls]
        )
        assert sum(w.tls is not None for w in server.connections.values()) == 2, "one dialled, one taken"

    site = play(tmp_path, run)
    assert "peer not authenticated" not in site.events(0) + site.events(1)


KNOCKS: dict[str, tuple[Callable[[Site, Path], tuple[Path, str]], str]] = {
    "of a wrong CA": (
        lambda site, p: (Authority.make(p / "b", "test", NOW).issue("x1.t", NOW).parent, "x1.t"),
        "certificate",
    ),
    "self-signed": (
        lambda site, p: (Authority.make(p / "c", "x1.t", NOW).folder, "ca"), "certificate",
    ),
    "expired": (lambda site, p: (site.ca.issue("x1.t", NOW - 9999, 1, "old").parent, "old"), "expired"),
    "not yet valid": (
        lambda site, p: (site.ca.issue("x1.t", NOW + 9999, 1, "new").parent, "new"), "not valid for another",
    ),
    "of a name that nobody has": (
        lambda site, p: (site.ca.issue("x9.t", NOW).parent, "x9.t"), "settings do not name",
    ),
    "revoked": (lambda site, p: (revoked(site).folder, "gone"), "revoked"),
}  # fmt: skip


def revoked(site: Site) -> Authority:
    site.ca.issue("x1.t", NOW, stem="gone")
    serial = site.ca.rows()[-1].serial
    site.ca.revoke(serial, NOW)
    site.servers[0].reload_credentials()
    return site.ca


@pytest.mark.parametrize("name", KNOCKS)
def test_a_key_that_does_not_count_is_shown_the_door(tmp_path: Path, name: str) -> None:
    make, word = KNOCKS[name]

    async def run(site: Site) -> None:
        await site.start()
        folder, stem = make(site, tmp_path / "more")
        one = await site.knock(0, folder, stem)
        one.say(notify("0-1"))
        await asyncio.sleep(0.5)
        assert one.lost and one.statuses == []
        assert await calls(site, 3) == ["stands"] * 3
        assert word in site.why(0)

    play(tmp_path, run)


def test_a_proven_exchange_speaks_for_its_own_group_alone_and_nobody_for_it_over_plain(
    tmp_path: Path,
) -> None:
    async def run(site: Site) -> None:
        await site.start(3)
        insider = await site.knock(0, tmp_path, "x1.t")
        insider.say(notify("0-2"))
        await asyncio.sleep(0.2)
        assert insider.statuses == [403] and not insider.lost
        for host in ("127.1.0.2", "127.2.0.7", "127.3.0.1"):  # its own address, a caller's, nobody's
            plain = await site.knock(0, tmp_path, "", plain=True, host=host)
            plain.say(notify("0-1"))
            await asyncio.sleep(0.2)
            assert plain.statuses == [403], "a downgrade to plain"
        assert await calls(site, 2) == ["stands"] * 2 == await calls(site, 2, 0, 2)
        insider.say(notify("0-1"))
        await asyncio.sleep(0.5)
        assert insider.statuses[-1] == 200 and site.servers[0].engine is not None
        assert site.servers[0].engine.ledgers[1].free == 0, "what an insider can do: its own group"
        assert await calls(site, 2, 0, 2) == ["stands"] * 2

    play(tmp_path, run)


def test_a_link_to_another_than_was_meant_is_none(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        site.stem = lambda number: f"x{number}.t" if number == 0 else "x7.t"  # type: ignore[method-assign]
        await site.start()
        assert await calls(site, 2) != ["stands"] * 2
        assert "found identity x7.t; allowed at this address: x1.t" in site.why(0)
        assert "settings do not name" in site.why(1) or site.why(1) == ""

    play(tmp_path, run)


def test_a_handshake_that_never_ends_is_ended(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        where, port = split_address(site.servers[0].tls_address)
        idle = [await site.loop.create_connection(lambda: Knocker(None), where, port) for _ in range(80)]
        for transport, _ in idle[::2]:
            transport.write(b"\x16\x03\x01\x02\x00")
        assert await calls(site, 3) == ["stands"] * 3
        await asyncio.sleep(4)
        assert all(one.lost for _, one in idle) and not site.servers[0].handshaking
        assert "handshake timed out" in site.why(0)

    site = play(tmp_path, run)
    assert "too many silent connections of one source" in site.events(0)


def test_keys_are_rotated_while_calls_stand_and_none_is_cut(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start(3, circuits=100)
        asks = []
        for round in range(6):
            asks += [
                site.callers[a].offer(PLAIN, f"{4000 + (a + 1) % 3}1234") for a in range(3) for _ in range(8)
            ]
            if round == 2:
                for number in range(3):
                    site.ca.issue(site.stem(number), site.epoch())
            await asyncio.sleep(0.4)
        await asyncio.sleep(1)
        finals = [c.finals for c in site.callers]
        assert [a.outcome for a in asks] == ["stands"] * len(asks), (finals, [log.lines for log in site.logs])
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
            "old links are gone"
        )
        assert all(a.outcome == "stands" and not a.cut for a in asks)

        assert all("link lost" not in site.events(n) for n in range(3))

    play(tmp_path, run)


def test_a_peer_that_is_revoked_is_gone_at_once_and_nobody_elses_call(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start(3, circuits=300)
        mine, other = [], []
        for _ in range(20):
            mine += [site.callers[0].offer(PLAIN, "40011234") for _ in range(10)]
            other += [site.callers[0].offer(PLAIN, "40021234")]
            await asyncio.sleep(0.2)
        assert [a.outcome for a in mine + other].count("stands") > 200
        engine = site.servers[0].engine
        assert engine is not None and len(engine.ledgers[1].busy) > 150
        site.ca.revoke("x1.t", site.epoch())
        await asyncio.sleep(1.5)
        assert not engine.ledgers[1].busy, "no circuit stays busy"
        assert not any(a.cut for a in other) and sum(a.cut for a in mine) > 150
        assert "revoked" in site.why(0, "peer certificate no longer accepted") and "revoked" in site.why(0)
        assert await calls(site, 3, 0, 2) == ["stands"] * 3

    play(tmp_path, run)


def test_a_certificate_that_ends_is_renewed_ahead_or_the_link_is_closed(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        assert await calls(site, 2) == ["stands"] * 2
        await asyncio.sleep(45)
        site.ca.issue(site.stem(0), site.epoch(), 1)
        await asyncio.sleep(80)
        assert "expired" in site.why(0, "peer certificate no longer accepted") and "expires in" in str(
            site.logs[1].lines
        )
        assert await calls(site, 1) != ["stands"]
        site.ca.issue(site.stem(1), site.epoch(), 1)
        await asyncio.sleep(5)
        assert await calls(site, 2) == ["stands"] * 2

    play(tmp_path, run, hours=1 / 60)


def test_a_clock_a_day_off_is_told_in_words(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        site.servers[0].epoch = lambda: int((site.epoch() + 2 * 86_400) * 1000)
        await asyncio.sleep(2)
        assert "expired 24 hours ago" in site.why(0, "peer certificate no longer accepted")
        site.servers[0].epoch = lambda: int(site.epoch() * 1000)
        await asyncio.sleep(4)
        assert await calls(site, 2) == ["stands"] * 2, "and is back once the clock is right"

    play(tmp_path, run)


def test_a_key_rotated_in_the_middle_of_a_drain_cuts_nothing(tmp_path: Path) -> None:
    async def run(site: Site) -> None:
        await site.start()
        asks = [site.callers[0].offer(PLAIN, "40011234") for _ in range(12)]
        await asyncio.sleep(1)
        site.servers[0].stop()
        for number in range(2):
            site.ca.issue(site.stem(number), site.epoch())
        await asyncio.sleep(10)
        assert [a.outcome for a in asks] == ["stands"] * 12 and not any(a.cut for a in asks)
        assert "keys read" in site.events(0) and "stopped" not in site.events(0)
        assert await calls(site, 1) == ["given up"], "a call that comes now is told to come back"
        await asyncio.sleep(25)
        assert "stopped" in site.events(0), "the drain is over in its own time"

    play(tmp_path, run)
