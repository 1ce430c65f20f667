"""The Eureka client and the own registration against the stand-in registry: its faults, outages and TLS.

Most tests run on a virtual event loop, those of TLS and of the commands on real sockets.
"""

from __future__ import annotations

import asyncio
import gzip
import ipaddress
import json
import ssl
import subprocess
import sys
from collections.abc import Callable, Coroutine
from datetime import UTC, datetime, timedelta
from pathlib import Path
from random import Random
from typing import Any

import pytest
import uvloop
from cryptography import x509
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import NameOID

from eiderstep.audit import Capture
from eiderstep.config.load import ConfigError, load_text
from eiderstep.config.schema import Lease, Registry, Tls
from eiderstep.interface import ListKind, OfficeEntry, OfficeState
from eiderstep.lab import day as lab
from eiderstep.lab import registry_cost, script
from eiderstep.lab.clock import VirtualLoop
from eiderstep.lab.registry import APP_NAME, StandinRegistry
from eiderstep.registry import view as view_module
from eiderstep.registry.client import RegistryClient
from eiderstep.registry.http import HttpClient, RequestFailed, RequestTimeouts
from eiderstep.registry.lease import LeaseState
from eiderstep.registry.poll_schedule import PollKind
from eiderstep.registry.registrant import Registrant
from eiderstep.registry.table import Snapshot
from eiderstep.server.call_server import CallServer
from eiderstep.standin.eureka import InstanceRecord, LeaseTable
from eiderstep.standin.eureka_server import HTML, REGISTRY_FAULTS, EurekaServer
from eiderstep.standin.register import Entry

SECOND = 1_000_000_000
ROOT = Path(__file__).resolve().parent.parent


def run_virtual(run: Callable[[VirtualLoop], Coroutine[Any, Any, None]]) -> None:
    """Runs on a new virtual loop; the loop may not report any error."""
    loop = VirtualLoop()
    asyncio.set_event_loop(loop)
    try:
        loop.run_until_complete(run(loop))
        assert not loop.errors
    finally:
        asyncio.set_event_loop(None)
        loop.close()


class RegistryRig:
    """A client of a two-peer registry with six exchanges, and the list that the routing module would hold."""

    def __init__(self, loop: VirtualLoop, **settings: Any) -> None:
        self.loop, self.site, self.settings = loop, StandinRegistry(loop, 0.0), settings
        self.states: dict[int, str] = {}
        self.kinds: list[ListKind] = []
        self.notes: list[dict[str, Any]] = []
        self.capture = Capture()

    async def start(self) -> None:
        await self.site.listen()
        for number in range(1, 7):
            self.site.add_running(Entry(f"127.0.0.1:{7000 + number}", number, zone=number % 3))
        defaults: dict[str, Any] = {"poll": SECOND, "full_every": 0}
        settings = Registry(addresses=self.site.addresses, app=APP_NAME, **defaults | self.settings)
        self.client = RegistryClient(
            self.loop, settings, self.on_update,
            lambda event, fields: self.notes.append({"event": event} | fields),
            Random(3), (), self.capture.tracer("one"),
        )  # fmt: skip
        self.client.start()
        await asyncio.sleep(2)

    def on_update(self, kind: ListKind, entries: tuple[OfficeEntry, ...]) -> None:
        self.kinds.append(kind)
        if kind is ListKind.COMPLETE:
            self.states = {}
        for entry in entries:
            self.states[entry.number] = entry.state.name
            if entry.state is OfficeState.GONE:
                del self.states[entry.number]

    def change(self, number: int, state: str) -> None:
        self.site.update_exchange(
            Entry(f"127.0.0.1:{7000 + number}", number, state, self.loop.time(), number % 3)
        )

    def notes_of(self, event: str) -> list[dict[str, Any]]:
        return [note for note in self.notes if note["event"] == event]

    def stop(self) -> None:
        self.client.stop()
        self.site.close()


SIX_UP = dict.fromkeys(range(1, 7), "UP")


@pytest.mark.parametrize(
    "settings",
    [{}, {"form": "xml"}, {"ask": "app"}, {"ask": "vip", "vip": "exchanges"}, {"follow": 1}],
    ids=str,
)
def test_changes_arrive_with_every_kind_of_request(settings: dict[str, Any]) -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop, **settings)
        await rig.start()
        assert rig.states == SIX_UP and rig.kinds[0] is ListKind.COMPLETE
        rig.change(2, "draining")
        rig.change(3, "gone")
        await asyncio.sleep(3)
        assert rig.states == {number: state for number, state in SIX_UP.items() if number != 3} | {
            2: "DRAINING"
        }
        rig.change(2, "gone")
        rig.change(3, "up")
        await asyncio.sleep(3)
        assert rig.states == {number: state for number, state in SIX_UP.items() if number != 2}
        started = rig.client.view.reported["127.0.0.1:7003"].started
        assert 2 <= loop.time() - started / SECOND <= 5, "the start time is computed by the registry's clock"
        if settings.get("ask", "all") == "all":
            polls = rig.client.poll_counts
            assert polls[PollKind.FULL] <= 2 < polls[PollKind.DELTA], (
                "after the first full list it requests deltas"
            )
        rig.stop()

    run_virtual(run)


def test_unchanged_list_is_answered_with_304() -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop, ask="app", follow=1)
        await rig.start()
        rig.site._renew_leases = lambda: None  # type: ignore[method-assign]  # no renewal changes the ETag
        await asyncio.sleep(4)
        before = rig.client.received_bytes[PollKind.FULL], rig.client.poll_counts[PollKind.FULL]
        await asyncio.sleep(10)
        polls = rig.client.poll_counts[PollKind.FULL] - before[1]
        assert polls >= 7 and (rig.client.received_bytes[PollKind.FULL] - before[0]) / polls < 200
        assert rig.states == SIX_UP
        rig.stop()

    run_virtual(run)


# Faults of both peers that last for a minute and leave the list as it was: name to a part of the log note.
TOLERATED_LIES = {
    "half_answer": "lost before the response was complete", "html": "text/html",
    "html_as_json": "not JSON", "drip": "response not complete", "silence": "no data received for",
    "refuse": "connection lost", "storm": "status 503", "wrong_hash": "registry hash mismatch",
    "goes_back": "answered with an older version", "empty": "mass departure not accepted yet",
}  # fmt: skip


@pytest.mark.parametrize("lie", TOLERATED_LIES)
def test_registry_fault_of_a_minute_removes_no_exchange_and_leaves_no_effect(lie: str) -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop, dial=SECOND, silence=SECOND, whole=3 * SECOND)
        await rig.start()
        rig.site.give_wrong_answers(lie, [], [])
        await asyncio.sleep(20)
        rig.change(6, "up")  # a change during the fault
        await asyncio.sleep(40)
        assert rig.states == SIX_UP
        assert any(TOLERATED_LIES[lie] in json.dumps(note) for note in rig.notes), rig.notes
        rig.site.give_wrong_answers("", [], [])
        rig.change(4, "gone")
        await asyncio.sleep(7)
        assert rig.states == {number: state for number, state in SIX_UP.items() if number != 4}
        requests = sum(len(peer.requests) for peer in rig.site.peers)
        assert requests < 2 * 75 * 1.4, "no fault makes the client poll much more often than its interval"
        rig.stop()

    run_virtual(run)


def test_false_reports_on_single_exchanges_hold_only_until_disproved() -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop)
        await rig.start()
        rig.site.give_wrong_answers("drops_living", [2], [0])
        await asyncio.sleep(3)
        assert 2 not in rig.states, "a departure that one registry reports takes effect"
        rig.site.give_wrong_answers("", [], [])
        await asyncio.sleep(30)
        assert rig.states == SIX_UP, "lease renewals bring the exchange back"
        rig.site.give_wrong_answers("unnamed", [3], [])
        rig.change(1, "draining")  # a change, so that the responses differ
        await asyncio.sleep(15)
        rig.site.give_wrong_answers("lists_gone", [], [0])
        rig.change(4, "gone")
        await asyncio.sleep(3)
        assert 4 not in rig.states, "a departure takes effect although only one of two registries reports it"
        rig.stop()

    run_virtual(run)


def test_registry_restarted_with_an_empty_table_removes_no_exchange() -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop, follow=1)
        await rig.start()
        rig.site.give_wrong_answers("restart", [], [])
        for _ in range(40):
            await asyncio.sleep(0.25)
            assert rig.states == SIX_UP
        assert not rig.client.view.registries[rig.site.addresses[0]].unconfirmed, (
            "no departure is pending once all have registered again"
        )
        rig.stop()

    run_virtual(run)


def test_crashed_exchange_is_removed_when_its_lease_expires() -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop)
        await rig.start()
        rig.site.exchange_died(5)
        await asyncio.sleep(4)
        assert rig.states == SIX_UP, "the exchange stays listed while its lease lasts"
        await asyncio.sleep(8)
        assert 5 not in rig.states
        rig.stop()

    run_virtual(run)


def test_client_fails_over_from_a_registry_that_is_down() -> None:
    async def run(loop: VirtualLoop) -> None:
        rig = RegistryRig(loop, follow=1)
        await rig.start()
        await asyncio.sleep(30)
        rig.site.peers[0].close()
        rig.site.peers[0].set_fault("refuse")
        rig.change(1, "gone")  # registered at the other peer, as its number is odd
        await asyncio.sleep(3)
        assert 1 not in rig.states and len(rig.site.peers[1].requests) > 0
        rig.stop()

    run_virtual(run)


def test_polls_of_sixty_call_servers_are_spread_evenly() -> None:
    rate = registry_cost.simulate_outage(seed=4, outage_seconds=30, other_instances=0)
    assert rate["late"] == 0, "every call server has the new list"
    assert rate["calm peak"] <= 2.5 * rate["calm mean"]
    assert rate["return peak"] <= 2.5 * rate["calm mean"] and rate["return mean"] <= 1.2 * rate["calm mean"]
    assert rate["silent mean"] <= rate["calm mean"] and rate["return whole lists"] == 0


# -- the own registration ----------------------------------------------------------------------------------


def test_own_registration_from_start_to_orderly_stop() -> None:
    async def run(loop: VirtualLoop) -> None:
        site = StandinRegistry(loop, 0.0)
        await site.listen()
        lease = Lease(app="CALLS", id="s0", renew=2, duration=6, metadata={"district": "1"})
        settings = Registry(addresses=site.addresses, app=APP_NAME, lease=lease)
        notes: list[dict[str, Any]] = []
        registrant = Registrant(
            loop, settings, "127.0.0.1:5060", 9, lambda event, fields: notes.append(fields), Random(1),
            lambda: int(loop.time() * 1000),
        )  # fmt: skip
        registrant.start()
        await asyncio.sleep(5)
        before = site.tables[0].leases["CALLS", "s0"]
        assert (
            before.metadata["exchange"] == "9" and before.metadata["district"] == "1" and before.port == 5060
        )
        assert site.tables[1].leases["CALLS", "s0"].status == "UP", (
            "the entry is replicated to the other peer"
        )
        site.tables[0].restart()
        await asyncio.sleep(3)
        after = site.tables[0].leases["CALLS", "s0"]
        assert after.dirty_timestamp > before.dirty_timestamp, (
            "it registers again after the registry lost the entry"
        )
        site.peers[0].set_fault("storm")
        await asyncio.sleep(5)
        assert registrant.lease.state is LeaseState.HELD and site.peers[1].requests, (
            "after 503 the next address is used"
        )
        assert await registrant.send(registrant.lease.override_request("OUT_OF_SERVICE")) == 200
        assert site.tables[1].leases["CALLS", "s0"].effective_status == "OUT_OF_SERVICE"
        assert await registrant.send(registrant.lease.override_request("")) == 200
        registrant.begin_leaving()
        await asyncio.sleep(1)
        assert site.tables[1].leases["CALLS", "s0"].status == "DOWN", (
            "DOWN is registered before the entry is cancelled"
        )
        registrant.allow_removal()
        await registrant.finished
        assert ("CALLS", "s0") not in site.tables[1].leases
        site.close()

    run_virtual(run)


def test_call_server_registers_at_start_and_deregisters_at_stop() -> None:
    async def run(loop: VirtualLoop) -> None:
        site = StandinRegistry(loop, 0.0)
        await site.listen()
        site.add_running(Entry("127.0.0.1:7001", 1))
        text = SETTINGS.replace("{one}", site.addresses[0]).replace("{two}", site.addresses[1])
        events: list[str] = []
        server = CallServer(loop, load_text(text), lambda level, event, call, fields: events.append(event))
        await server.start()
        await asyncio.sleep(1)
        entry = site.tables[0].leases["C", "s0"]
        assert (entry.status, f"{entry.host}:{entry.port}") == ("UP", server.address)
        assert (
            server.exchange_lists.registry is not None
            and server.exchange_lists.registry.view.complete_reported
        )
        statuses: list[str] = []
        original_register = site.tables[0].register

        def register(record: InstanceRecord, replicated: bool = False) -> None:
            statuses.append(record.status)
            original_register(record, replicated)

        site.tables[0].register = register  # type: ignore[method-assign]
        server.stop()
        await server.stopped
        assert statuses == ["DOWN"]
        assert ("C", "s0") not in site.tables[0].leases and events[-1] == "stopped"
        site.close()

    run_virtual(run)


def test_stop_does_not_wait_for_an_unreachable_registry() -> None:
    async def run(loop: VirtualLoop) -> None:
        site = StandinRegistry(loop, 0.0)
        await site.listen()
        text = SETTINGS.replace("{one}", site.addresses[0]).replace("{two}", site.addresses[1])
        server = CallServer(loop, load_text(text), lambda *_: None)
        await server.start()
        await asyncio.sleep(1)
        site.give_wrong_answers("silence", [], [])
        stop_started = loop.time()
        server.stop()
        await server.stopped
        assert loop.time() - stop_started <= 1.1, (
            "the stop waits at most its time limit for the deregistration"
        )
        site.close()

    run_virtual(run)


# -- HTTP --------------------------------------------------------------------------------------------------


class FixedResponder(asyncio.Protocol):
    """Sends a fixed response to any request."""

    def __init__(self, response: bytes, close_after: bool = True) -> None:
        self.response, self.close_after = response, close_after

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        self.transport.write(self.response)
        if self.close_after:
            self.transport.close()


class LimitedSink:
    """A sink that accepts up to a megabyte."""

    def __init__(self) -> None:
        self.received = 0

    def feed(self, data: bytes) -> None:
        self.received += len(data)
        if self.received > 1 << 20:
            raise ValueError("over a megabyte")


async def read_body(link: HttpClient) -> int:
    """Request a document; return the size of its body."""
    sink = LimitedSink()
    response = await link.request("GET", "/", {}, open_sink=lambda status, headers: sink)
    assert response.status == 200
    return sink.received


def gzip_response(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Encoding: gzip\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body)


GZIP_BOMB = gzip.compress(b"\0" * (64 << 20))
INVALID_RESPONSES = {
    "no http": (b"\x16\x03\x01 hello\r\n\r\n", "invalid response"),
    "bomb": (gzip_response(GZIP_BOMB), "over a megabyte"),
    "cut gzip": (gzip_response(GZIP_BOMB[:200]), "truncated gzip body"),
    "no gzip": (gzip_response(b"plain text"), "invalid response"),
    "brotli": (b"HTTP/1.1 200 OK\r\nContent-Encoding: br\r\nContent-Length: 1\r\n\r\nx", "allowed: gzip"),
    "headers": (
        b"HTTP/1.1 200 OK\r\n" + b"".join(b"A%d: b\r\n" % n for n in range(99)) + b"\r\n",
        "over 64 headers",
    ),
    "short": (b"HTTP/1.1 200 OK\r\nContent-Length: 50\r\n\r\nhalf", "lost before the response was complete"),
    "nothing": (b"", "connection lost"),
}


@pytest.mark.parametrize("response, message", INVALID_RESPONSES.values(), ids=INVALID_RESPONSES)
def test_invalid_http_response_fails_with_its_reason(response: bytes, message: str) -> None:
    async def run(loop: VirtualLoop) -> None:
        server = await loop.create_server(lambda: FixedResponder(response))
        host, port = server.sockets[0].getsockname()
        link = HttpClient(loop, f"{host}:{port}", RequestTimeouts(1, 1, 5))
        sink = LimitedSink()
        with pytest.raises(RequestFailed, match=message):
            await link.request("GET", "/", {}, open_sink=lambda status, headers: sink)
        assert sink.received <= (1 << 20) + (1 << 16), "the body is not decompressed beyond the sink's limit"

    run_virtual(run)


def test_reconnects_after_the_far_end_closed_a_kept_connection() -> None:
    async def run(loop: VirtualLoop) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        server = await loop.create_server(lambda: FixedResponder(response, close_after=True))
        host, port = server.sockets[0].getsockname()
        link = HttpClient(loop, f"{host}:{port}", RequestTimeouts(1, 1, 5))
        for _ in range(3):
            assert (await link.request("GET", "/", {})).status == 200
        server.close()
        with pytest.raises(RequestFailed, match="could not connect"):
            await link.request("GET", "/", {})

    run_virtual(run)


def test_connection_is_kept_after_a_body_that_was_read_in_chunks() -> None:
    # Guards against a new connection for each poll, and so against taking none for a sign of life.
    async def run(loop: VirtualLoop) -> None:
        response = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
        server = await loop.create_server(lambda: FixedResponder(response, close_after=False))
        host, port = server.sockets[0].getsockname()
        link = HttpClient(loop, f"{host}:{port}", RequestTimeouts(1, 1, 5))
        for _ in range(3):
            assert await read_body(link) == 2
        assert link.connections_made == 1

    run_virtual(run)


def test_body_without_a_length_ends_with_the_connection() -> None:
    # Guards against a change log that is never understood, as it ends its answers by closing.
    async def run(loop: VirtualLoop) -> None:
        server = await loop.create_server(lambda: FixedResponder(b"HTTP/1.1 200 OK\r\n\r\n" + b"x" * 70_000))
        host, port = server.sockets[0].getsockname()
        link = HttpClient(loop, f"{host}:{port}", RequestTimeouts(1, 1, 5))
        for _ in range(2):
            assert await read_body(link) == 70_000
        assert link.connections_made == 2

    run_virtual(run)


# -- real sockets ------------------------------------------------------------------------------------------


def write_keys(folder: Path) -> None:
    """Writes a CA, a server certificate for 127.0.0.1, a client certificate, and a CA that signed neither."""

    def name(common: str) -> x509.Name:
        return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common)])

    def write(stem: str, cert: x509.Certificate, key: ec.EllipticCurvePrivateKey) -> None:
        (folder / f"{stem}.pem").write_bytes(cert.public_bytes(serialization.Encoding.PEM))
        plain = serialization.NoEncryption()
        form = serialization.PrivateFormat.PKCS8
        (folder / f"{stem}.key").write_bytes(key.private_bytes(serialization.Encoding.PEM, form, plain))

    now = datetime.now(UTC)

    def make(
        common: str, issuer: x509.Name, signer: ec.EllipticCurvePrivateKey | None, ca: bool
    ) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
        key = ec.generate_private_key(ec.SECP256R1())
        builder = (
            x509.CertificateBuilder().subject_name(name(common)).issuer_name(issuer)
            .public_key(key.public_key()).serial_number(x509.random_serial_number())
            .not_valid_before(now - timedelta(hours=1)).not_valid_after(now + timedelta(hours=1))
            .add_extension(x509.BasicConstraints(ca=ca, path_length=None), critical=True)
        )  # fmt: skip
        if not ca:
            address = x509.IPAddress(ipaddress.ip_address("127.0.0.1"))
            builder = builder.add_extension(x509.SubjectAlternativeName([address]), critical=False)
        return builder.sign(signer or key, hashes.SHA256()), key

    ca, ca_key = make("test ca", name("test ca"), None, True)
    write("ca", ca, ca_key)
    write("other", *make("another ca", name("another ca"), None, True))
    for stem in ("server", "client"):
        write(stem, *make(stem, name("test ca"), ca_key, False))


def test_tls_with_configured_ca_and_client_certificate(tmp_path: Path) -> None:
    write_keys(tmp_path)

    async def run() -> None:
        loop = asyncio.get_running_loop()
        table = LeaseTable(loop, lambda: int(loop.time() * 1000))
        server = EurekaServer(loop, table)
        context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
        context.load_cert_chain(tmp_path / "server.pem", tmp_path / "server.key")
        context.load_verify_locations(tmp_path / "ca.pem")
        context.verify_mode = ssl.CERT_REQUIRED
        await server.listen(context)
        metadata = {"exchange": "1", "district": "0", "started": "1"}
        table.register(InstanceRecord(APP_NAME, "x1", "127.0.0.1", 7001, metadata))

        async def follow_with(ca: str, cert: str) -> str:
            certificate = (
                {"cert": str(tmp_path / f"{cert}.pem"), "key": str(tmp_path / f"{cert}.key")} if cert else {}
            )
            tls = Tls(ca=str(tmp_path / f"{ca}.pem"), **certificate)
            settings = Registry(addresses=[server.address], app=APP_NAME, follow=1, tls=tls)
            outcome: asyncio.Future[str] = loop.create_future()

            def set_outcome(text: str) -> None:
                if not outcome.done():
                    outcome.set_result(text)

            client = RegistryClient(
                loop, settings, lambda kind, entries: set_outcome(f"{kind.name} {len(entries)}"),
                lambda event, fields: set_outcome(f"{event}: {fields.get('why')}"), Random(1),
            )  # fmt: skip
            client.start()
            text = await outcome
            client.stop()
            return text

        assert await follow_with("ca", "client") == "COMPLETE 1"
        assert "certificate verify failed" in (await follow_with("other", "client")).lower()
        assert "request failed" in await follow_with("ca", ""), "the registry requires a client certificate"
        server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


SETTINGS = """
number = 0
listen = "127.0.0.1:0"
context = "midlands"
classes = [call_class(name = "a", aim = s(1), give_up = s(9), mean_hold = s(11))]
peers = [peer(number = n, address = "127.0.0.1:%d" % (7000 + n), circuits = 10) for n in (1, 2, 3)]
dial_plan = [route(prefix = "1", exchange = 1)]
registry = registry(addresses = ["{one}", "{two}"], app = "EXCHANGES", lease = lease(app = "C", id = "s0"))
"""


def test_registry_commands_report_listed_and_resulting_states(tmp_path: Path) -> None:
    path = tmp_path / "site.star"

    async def run() -> None:
        loop = asyncio.get_running_loop()
        site = StandinRegistry(loop, 0.0)
        await site.listen()
        for n in (1, 2):
            site.add_running(Entry(f"127.0.0.1:{7000 + n}", n))
        site.peers[1].set_fault("html")
        for table in site.tables:
            table.register(InstanceRecord("C", "s0", "127.0.0.1", 5060))
        text = SETTINGS.replace("{one}", site.addresses[0]).replace("{two}", site.addresses[1])
        path.write_text(text)

        async def run_command(*arguments: str) -> tuple[int | None, str, str]:
            child = await asyncio.create_subprocess_exec(
                sys.executable, "-m", "eiderstep", "registry", *arguments,
                stdout=subprocess.PIPE, stderr=subprocess.PIPE, cwd=ROOT,
            )  # fmt: skip
            out, err = await child.communicate()
            return child.returncode, out.decode(), err.decode()

        code, out, err = await run_command("show", str(path), "--json")
        report = json.loads(out)
        assert code == 0, err
        assert [r["answers"] for r in report["registries"]] == [True, False]
        assert "text/html" in report["registries"][1]["why"]
        rows = {row["exchange"]: row for row in report["exchanges"]}
        assert rows[1]["believed"] == "UP" and rows[1]["says"][site.addresses[0]] == "UP"
        assert rows[3]["believed"] == "GONE" and "in no list" in rows[3]["why"]
        code, out, err = await run_command("show", str(path))
        assert code == 0 and "exchange 2 at 127.0.0.1:7002 UP: listed" in out, out + err
        code, out, err = await run_command("status", str(path), "OUT_OF_SERVICE")
        assert code == 0 and site.tables[0].leases["C", "s0"].effective_status == "OUT_OF_SERVICE", out + err
        code, out, err = await run_command("status", str(path), "AWAY")
        assert code == 2 and "allowed: UP" in err
        for peer in site.peers:
            peer.set_fault("refuse")
        code, out, err = await run_command("show", str(path))
        assert code == 1 and "no answer" in out
        site.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(run())


INVALID_SETTINGS = {
    'addresses = ["h:1"], app = "a b"': ("registry.app", "letters"),
    'addresses = [], app = "A"': ("registry.addresses", "1 to 16"),
    'addresses = ["h:1", "h:1"], app = "A"': ("registry.addresses", "each once"),
    'addresses = ["h:1"], app = "A", ask = "vip"': ("registry.vip", "allowed: the vip"),
    'addresses = ["h:1"], app = "A", ask = "some"': ("registry.ask", "all, app or vip"),
    'addresses = ["h:1"], app = "A", silence = s(20)': ("registry.silence", "up to whole"),
    'addresses = ["h:1"], app = "A", tls = tls(ca = "c", cert = "d")': ("registry.tls", "both or neither"),
    'addresses = ["h:1"], app = "A", lease = lease(app = "A", id = "b", renew = 9, duration = 9)': (
        "registry.lease.duration", "above renew, 9",
    ),
}  # fmt: skip


@pytest.mark.parametrize("fields", INVALID_SETTINGS)
def test_invalid_registry_settings_are_refused_with_field_and_allowed_values(fields: str) -> None:
    text = SETTINGS.rpartition("registry =")[0] + f"registry = registry({fields})\n"
    with pytest.raises(ConfigError) as problem:
        load_text(text)
    field, expected = INVALID_SETTINGS[fields]
    assert problem.value.field == field and expected in str(problem.value) and problem.value.line == 8


# -- the audit ---------------------------------------------------------------------------------------------


def test_audit_detects_a_server_that_applies_departures_late(monkeypatch: pytest.MonkeyPatch) -> None:
    """A view that ignores departures and closing statuses for 3 s breaks rule 3 of the audit and no other."""
    scenario = script.load(ROOT / "days" / "registry_calm.star")
    gone_since: dict[str, int] = {}
    original_on_snapshot = view_module.View.on_snapshot

    def delayed_on_snapshot(self: Any, now: int, name: str, snapshot: Snapshot) -> Any:
        kept = {
            instance_id: found
            for instance_id, found in snapshot.instances.items()
            if found.status.value == "UP" or now - gone_since.setdefault(instance_id, now) > 3 * SECOND
        }
        kept |= {
            instance_id: found
            for instance_id, found in self.previously_up.items()
            if instance_id not in kept and now - gone_since.get(instance_id, now) < 3 * SECOND
        }
        self.previously_up = {
            instance_id: found for instance_id, found in kept.items() if found.status.value == "UP"
        }
        return original_on_snapshot(self, now, name, Snapshot(kept, {}, snapshot.full, snapshot.clock_ms))

    monkeypatch.setattr(view_module.View, "previously_up", {}, raising=False)
    monkeypatch.setattr(view_module.View, "on_snapshot", delayed_on_snapshot)
    result, _ = lab.play(scenario, 1, lambda *_: None)
    assert {breach.rule for breach in result.audit_report.breaches} == {3}
    assert result.departures["worst_ms"] > 500


def test_every_registry_fault_occurs_in_a_shipped_day() -> None:
    used = {
        trouble.lie for path in (ROOT / "days").glob("*.star") for trouble in script.load(path).troubles
    } - {""}
    assert used | {"silence"} == set(REGISTRY_FAULTS) and HTML
