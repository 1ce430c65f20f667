"""Limits of one source: the limiter without sockets, then a call server under floods."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from random import Random
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderstep.config.schema import Caller, Limits, SourceLimits, Trust
from eiderstep.lab.clock import VirtualLoop
from eiderstep.server.call_server import CallServer
from eiderstep.sip.message import request, split_address
from eiderstep.sip.parser import Parser
from eiderstep.standin.callers import CallerBehaviour, Callers
from eiderstep.trust.limits import MAX_SOURCES, UNKNOWN_RATE_DIVISOR, SourceLimiter, Verdict
from eiderstep.trust.pace import MAX_KEYS, LogRateLimiter
from tests.test_server import PLAIN, Log, on_virtual_loop, start_server_and_exchange

SECOND = 1_000_000_000
LOW_LIMITS = SourceLimits(connections=4, silent=2, messages=10, faults=3, reserved=0.5)


def test_limits_connections_and_silent_connections_of_a_source() -> None:
    limiter = SourceLimiter(LOW_LIMITS, 100)
    assert [limiter.admit_connection(0, n, "a", False, True) for n in (1, 2)] == ["", ""]
    assert limiter.admit_connection(0, 3, "a", False, True) == "too many silent connections of one source"
    for n in (1, 2):
        limiter.mark_active(n)
    assert [limiter.admit_connection(0, n, "a", False, True) for n in (3, 4)] == ["", ""]
    for n in (3, 4):
        limiter.mark_active(n)
    assert limiter.admit_connection(0, 5, "a", False, True) == "too many connections of one source"
    assert limiter.admit_connection(0, 6, "b", False, True) == "", "another source has its own limit"
    for _ in range(2):
        limiter.connection_closed(1)
    assert limiter.admit_connection(0, 7, "a", False, True) == ""


def test_exchanges_have_reserved_connections() -> None:
    limiter = SourceLimiter(SourceLimits(reserved=0.5), 10)
    assert [limiter.admit_connection(0, n, f"s{n}", False, False) for n in range(6)] == [""] * 5 + [
        "too many connections"
    ]
    assert [limiter.admit_connection(0, 10 + n, "x", True, True) for n in range(6)] == [""] * 5 + [
        "too many connections"
    ]
    limiter.connection_closed(0)
    assert limiter.admit_connection(0, 20, "x", True, True) == ""


def test_source_above_its_rate_is_refused_then_slowed_down() -> None:
    limiter = SourceLimiter(LOW_LIMITS, 100)
    limiter.admit_connection(0, 1, "a", False, True)
    assert [limiter.check_message(0, 1) for _ in range(10)] == [Verdict.TAKE] * 10
    assert [limiter.check_message(0, 1) for _ in range(10)] == [Verdict.REFUSE] * 10
    assert limiter.check_message(0, 1) is Verdict.SLOW and SECOND <= limiter.read_pause(1) < 2 * SECOND
    assert 2 * SECOND <= limiter.retry_after(1) < 3 * SECOND
    assert limiter.check_message(limiter.retry_after(1), 1) is Verdict.TAKE, (
        "a source that waits for Retry-After is accepted"
    )
    assert limiter.check_message(99, 7) is Verdict.TAKE, "a link that we dialled has no limit"


def test_handshakes_count_against_the_rate_of_their_address() -> None:
    limiter = SourceLimiter(SourceLimits(messages=10), 100)
    limiter.mark_active(77)  # a link that we dialled was not admitted here
    refusals = [limiter.admit_connection(0, n, "a", False, True, handshake=True) for n in range(4)]
    assert refusals == ["", "", "too many handshakes of one source", "too many handshakes of one source"]
    assert limiter.admit_connection(0, 8, "a", False, True) == "", "a plain connection needs no handshake"
    assert limiter.admit_connection(0, 9, "x", True, True, handshake=True) == ""
    assert limiter.admit_connection(2 * SECOND, 10, "a", False, True, handshake=True) == "", (
        "two seconds later another handshake is within the rate"
    )


def test_connections_closed_together_cause_one_pause() -> None:
    limiter = SourceLimiter(LOW_LIMITS, 100)
    for n in (1, 2):
        limiter.admit_connection(0, n, "a", False, True)
    assert [limiter.record_fault(0, 1, False) for _ in range(3)][-1] is Verdict.CLOSE
    assert limiter.record_fault(0, 2, False) is Verdict.CLOSE and limiter.sources["a"].paused_until == SECOND
    assert limiter.sources["a"].pause == 2 * SECOND


def test_exchange_is_never_slowed_down_or_closed() -> None:
    limiter = SourceLimiter(LOW_LIMITS, 100)
    limiter.admit_connection(0, 1, "x", True, True)
    assert {limiter.check_message(0, 1) for _ in range(1000)} == {Verdict.TAKE, Verdict.REFUSE}
    assert {limiter.record_fault(0, 1, False) for _ in range(1000)} == {Verdict.TAKE}


def test_unknown_source_has_a_fraction_of_the_rate() -> None:
    limiter = SourceLimiter(SourceLimits(messages=16 * UNKNOWN_RATE_DIVISOR), 100)
    limiter.admit_connection(0, 1, "s", False, False)
    assert [limiter.check_message(0, 1) for _ in range(17)] == [Verdict.TAKE] * 16 + [Verdict.REFUSE]


def test_faults_close_idle_connections_with_doubling_pauses() -> None:
    limiter = SourceLimiter(LOW_LIMITS, 100)
    now, pauses = 0, []
    for _ in range(8):
        assert limiter.admit_connection(now, 1, "a", False, True) == ""
        while limiter.record_fault(now, 1, False) is not Verdict.CLOSE:
            pass
        limiter.connection_closed(1)
        assert limiter.admit_connection(now, 2, "a", False, True) == "source paused"
        assert limiter.admit_connection(now, 3, "b", False, True) == "", "another source is not paused"
        limiter.connection_closed(3)
        pauses.append(limiter.sources["a"].paused_until - now)
        now = limiter.sources["a"].paused_until
    assert pauses == [n * SECOND for n in (1, 2, 4, 8, 16, 32, 64, 64)]
    now += 301 * SECOND
    limiter.admit_connection(now, 1, "a", False, True)
    assert [limiter.record_fault(now, 1, False) for _ in range(3)] == [
        Verdict.TAKE,
        Verdict.TAKE,
        Verdict.CLOSE,
    ]
    assert limiter.sources["a"].paused_until - now == SECOND, (
        "after 301 s without faults the pause starts at its first value"
    )


def test_connection_with_standing_calls_is_not_closed_for_faults() -> None:
    limiter = SourceLimiter(LOW_LIMITS, 100)
    limiter.admit_connection(0, 1, "a", False, True)
    assert {limiter.record_fault(0, 1, True) for _ in range(100)} == {Verdict.TAKE}
    assert (
        limiter.record_fault(0, 1, False) is Verdict.CLOSE
        and limiter.record_fault(0, 9, False) is Verdict.TAKE
    )


def test_evicts_only_sources_without_connections() -> None:
    limiter = SourceLimiter(SourceLimits(), 100_000)
    limiter.admit_connection(0, 1, "stays", False, True)
    for n in range(3 * MAX_SOURCES):
        limiter.admit_connection(0, 2, f"s{n}", False, False)
        limiter.connection_closed(2)
    assert len(limiter.sources) <= MAX_SOURCES and "stays" in limiter.sources


@settings(max_examples=200)
@given(
    st.lists(
        st.tuples(st.integers(0, 5), st.integers(1, 8), st.sampled_from("abc"), st.booleans()), max_size=60
    )
)
def test_connection_counts_match_the_open_connections(operations: list[tuple[int, int, str, bool]]) -> None:
    limiter, now = SourceLimiter(LOW_LIMITS, 6), 0
    open_flows: dict[int, tuple[str, bool, bool]] = {}
    for operation, flow, name, exchange in operations:
        now += SECOND // 7
        if operation < 2 and flow not in open_flows:
            if limiter.admit_connection(now, flow, name, exchange, True) == "":
                open_flows[flow] = (name, exchange, False)
        elif operation == 2 and flow in open_flows:
            limiter.mark_active(flow)
            open_flows[flow] = (*open_flows[flow][:2], True)
        elif operation == 3:
            limiter.connection_closed(flow)
            open_flows.pop(flow, None)
        elif operation == 4:
            limiter.check_message(now, flow)
        else:
            limiter.record_fault(now, flow, False)
    assert set(limiter.flows) == set(open_flows)
    assert limiter.non_exchange_flows == sum(not exchange for _, exchange, _ in open_flows.values()) <= 3
    for name, source in limiter.sources.items():
        seen = [seen_message for n, _, seen_message in open_flows.values() if n == name]
        assert (source.flows, source.silent_flows) == (len(seen), seen.count(False))


def test_log_lines_are_rate_limited_and_suppressed_ones_counted() -> None:
    limiter = LogRateLimiter(burst=3, period=SECOND)
    assert [limiter.count_line(n, "a") for n in range(6)] == [0, 0, 0, -1, -1, -1]
    assert limiter.count_line(5, "b") == 0
    assert limiter.count_line(SECOND, "a") == 3 and limiter.count_line(SECOND, "a") == 0
    for n in range(5000):
        limiter.count_line(n, n)
    assert len(limiter.windows) <= MAX_KEYS


# -- a call server under floods ------------------------------------------------------------------------------

CALLER_HOST, ATTACKER_HOST, UNKNOWN_HOST = "127.2.0.1", "127.2.0.9", "127.9.9.9"
CALLER_TRUST = Trust(callers=[Caller(name="own", networks=["127.2.0.0/16"])])


class FloodClient(asyncio.Protocol):
    """Sends given bytes and counts the statuses of the responses."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.parser, self.statuses, self.lost = Parser(), dict[int, int](), False

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for item in self.parser.feed(data):
            status = getattr(item, "status", 0)
            self.statuses[status] = self.statuses.get(status, 0) + 1

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True


async def connect_flood_client(loop: VirtualLoop, server: CallServer, host: str) -> FloodClient:
    where, port = split_address(server.address)
    _, client = await loop.create_connection(FloodClient, where, port, local_addr=(host, 0))
    return client  # type: ignore[no-any-return]


def invite(n: int) -> bytes:
    message = request(
        "INVITE", "sip:40011234@x", via=f"SIP/2.0/TCP a;branch=z9hG4bKflood{n}", sender="<sip:a@a>;tag=a",
        to="<sip:40011234@x>", call_id=f"flood{n}", cseq=1,
    )  # fmt: skip
    message.set("eiderstep-class", "plain")
    return message.encode()


FLOODS: dict[str, tuple[str, Callable[[int], bytes]]] = {
    "malformed": (ATTACKER_HOST, lambda n: b"INVITE sip:a@b SIP/2.0\r\nFrom: x\r\nContent-Length: 0\r\n\r\n"),
    "noise": (UNKNOWN_HOST, lambda n: b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"),
    "calls of a caller": (ATTACKER_HOST, invite),
    "calls of a stranger": (UNKNOWN_HOST, invite),
}


@pytest.mark.parametrize("name", FLOODS)
def test_flood_of_one_source_does_not_affect_other_calls(name: str) -> None:
    loop, log = VirtualLoop(), Log()
    host, make = FLOODS[name]
    limits = Limits(source=SourceLimits(messages=200, faults=20, calls=10))

    async def run() -> None:
        server, exchange = await start_server_and_exchange(loop, log, trust=CALLER_TRUST, limits=limits)
        callers = Callers(
            loop, server.address, Random(1), CallerBehaviour(early_hang_up_share=0.0, max_redials=0)
        )
        callers.local_host = CALLER_HOST
        await callers.connect()
        flooders = [await connect_flood_client(loop, server, host) for _ in range(4)]
        offers = []
        for n in range(100):
            for i, flooder in enumerate(flooders):
                for k in range(12):
                    flooder.transport.write(make(1000 * n + 100 * i + k))
            if n % 10 == 0:
                offers.append(callers.offer_call(PLAIN, "40011234"))
            await asyncio.sleep(0.01)
        await asyncio.sleep(2)
        assert [offer.outcome for offer in offers] == ["stands"] * 10
        engine = server.engine
        assert engine is not None
        state_size = len(engine.transactions.servers) + len(engine.transactions.by_flow)
        assert state_size < 2500 and len(engine.calls) <= 10 + 10, "the state does not grow with the flood"
        if host == UNKNOWN_HOST or "calls" not in name:
            assert all(flooder.lost for flooder in flooders), (
                "flooding connections are closed for their faults"
            )
        else:
            refused = sum(e.statuses.get(503, 0) for e in flooders)
            assert refused > 100 and not any(e.lost for e in flooders), (
                "calls above the rate get 503, and the connections stay open"
            )
        server.kill()
        exchange.kill()

    on_virtual_loop(run(), loop)
    assert len(log.lines) < 60


@pytest.mark.parametrize("tail", [b"", b"INVITE sip:a@b SIP/2.0\r\nFrom: "])
def test_closes_connection_with_unfinished_message(tail: bytes) -> None:
    loop, log = VirtualLoop(), Log()

    async def run() -> None:
        server, exchange = await start_server_and_exchange(
            loop, log, trust=CALLER_TRUST, limits=Limits(first_message=4 * SECOND)
        )
        client = await connect_flood_client(loop, server, ATTACKER_HOST)
        client.transport.write(invite(1) + tail)
        for _ in range(20):
            await asyncio.sleep(0.5)
            if tail:
                client.transport.write(b"x")  # a slow writer: one byte every half second
        assert client.lost is bool(tail)
        server.kill()
        exchange.kill()

    on_virtual_loop(run(), loop)
    assert ("connection closed with incomplete message" in log.events()) is bool(tail)
