"""Connections and links of the call server, driven through their protocol class without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from eiderstep import interface as io
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.node.config import check_config
from eiderstep.node.connections import MAX_UNSENT, TCP_CLOSE, TCP_CLOSE_WAIT, TCP_ESTABLISHED, Connection
from eiderstep.node.links import (
    IDLE_TEST_DELAY,
    LINK_TEST_TIMEOUT,
    LINK_TIMEOUT,
    LINKS_PER_OFFICE,
    SET_UP_TEST_DELAY,
    TEST_REFERENCE,
)
from eiderstep.node.server import Node
from tests.node_rig import CALL_A, CALL_B, release, set_up
from tests.test_node_process import SETTINGS

OFFICE = {"host": "s-one", "dial": "127.0.0.1:9", "block": 1, "health": "ready", "born_ms": 0}


class FakeTransport:
    """Collects the data written; `unsent_size` is the size of the write buffer that it reports."""

    def __init__(self) -> None:
        self.written = b""
        self.unsent_size = 0
        self.closing = self.aborted = False
        self.tcp_state = TCP_ESTABLISHED

    def get_extra_info(self, name: str) -> Any:
        return ("127.0.0.9", 5) if name == "peername" else self

    def getsockopt(self, level: int, option: int, size: int) -> bytes:
        return bytes((self.tcp_state,))

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.unsent_size

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = self.aborted = True


def run_with_node(scenario: Callable[[Node], None]) -> None:
    """Run `scenario` with a node that has its list of offices and dials none of them."""

    async def run() -> None:
        raw_config = {
            "listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "settings": SETTINGS,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"whole": True, "hosts": [OFFICE]}}]},
        }  # fmt: skip
        node = Node(asyncio.get_running_loop(), check_config(raw_config), {}, write_line=lambda line: None)
        node.change_reader.apply_answer(node.config.known, initial=True)
        node.links.close()
        scenario(node)

    asyncio.run(run())


def connect(node: Node, office: str = "") -> tuple[Connection, FakeTransport]:
    connection, transport = Connection(node, office), FakeTransport()
    connection.connection_made(transport)
    return connection, transport


def test_first_messages_of_an_office_are_handled() -> None:
    """They may be read before the dialling task resumes: a group state, or the release of a call.

    If the release were dropped, the call would never end and its caller would not be told.
    """

    def scenario(node: Node) -> None:
        connection, _ = connect(node, "s-one")
        state = Message(isup.GROUP_STATE, isup.NO_CALL, {isup.LOAD_REPORT: b"idle:3;circuits:4"})
        release = Message(isup.REL, "a" * 16, {isup.CAUSE: b"\x10"})
        connection.data_received(state.encode() + release.encode())
        assert node.calls.group_states.free("s-one") == 3
        assert list(node.calls.unknown_call_ends) == ["a" * 16]

    run_with_node(scenario)


def test_surplus_links_and_links_to_unlisted_offices_are_aborted() -> None:
    def scenario(node: Node) -> None:
        links = [connect(node, "s-one")[1] for _ in range(LINKS_PER_OFFICE + 1)]
        assert [link.aborted for link in links] == [False] * LINKS_PER_OFFICE + [True]
        assert connect(node, "s-gone")[1].aborted

    run_with_node(scenario)


def test_silent_link_is_tested_then_closed() -> None:
    def scenario(node: Node) -> None:
        connection, transport = connect(node, "s-one")
        node.links.check_links(connection.last_received_at + 999_000_000)
        assert transport.written == b""
        node.links.check_links(connection.last_received_at + 1_000_000_000)
        assert transport.written[2] == isup.TEST
        node.links.check_links(connection.last_received_at + 2_499_000_000)
        assert not transport.aborted
        node.links.check_links(connection.last_received_at + 2_500_000_000)
        assert transport.aborted and len(transport.written) == 15  # tested only once

    run_with_node(scenario)


def test_connection_of_a_peer_that_does_not_read_is_aborted() -> None:
    def scenario(node: Node) -> None:
        caller, transport = connect(node)
        transport.unsent_size = MAX_UNSENT
        caller.send(b"x")
        assert not transport.aborted
        transport.unsent_size += 1
        caller.send(b"x")
        assert transport.aborted

    run_with_node(scenario)


def test_closing_connection_is_not_read() -> None:
    def scenario(node: Node) -> None:
        caller, transport = connect(node)
        test = Message(isup.TEST, "b" * 16, {isup.CAUSE: b"\0"}).encode()
        caller.data_received(b"\0\0" + test)
        caller.data_received(test)
        assert transport.closing and not node.calls.outgoing

    run_with_node(scenario)


def test_dead_link_beside_a_live_one_is_closed_early() -> None:
    """It is closed before the module takes the age of its set-ups for a wait at the office.

    Until then new set-ups go out on the other link.
    """

    def scenario(node: Node) -> None:
        dead_link, transport = connect(node, "s-one")
        live_link, _ = connect(node, "s-one")
        now = dead_link.last_received_at
        caller, _ = connect(node)
        caller.data_received(set_up(call="a" * 16).encode())
        node.calls.flush(now)
        attempts = node.calls.attempts_by_link[dead_link.flow]
        assert (
            list(attempts) == ["a" * 16]
            and node.calls.oldest_set_up(dead_link.flow) == attempts["a" * 16].sent_at
        )
        sent = attempts["a" * 16].sent_at
        node.links.check_links(sent + SET_UP_TEST_DELAY - 1)
        assert transport.written == b""
        node.links.check_links(sent + SET_UP_TEST_DELAY)
        assert transport.written[2] == isup.TEST and node.calls.links_under_test == {dead_link.flow}
        caller.data_received(set_up(call="b" * 16).encode())
        node.calls.flush(now)
        assert list(node.calls.attempts_by_link[live_link.flow]) == ["b" * 16]
        live_link.last_received_at = dead_link.tested_at + LINK_TEST_TIMEOUT - 1
        node.links.check_links(live_link.last_received_at)
        assert not transport.aborted
        live_link.last_received_at += 1
        node.links.check_links(live_link.last_received_at)
        assert transport.aborted and not node.calls.links_under_test
        [ended] = [event for event in node.calls.events if isinstance(event, io.AttemptEnded)]
        assert (ended.outcome, ended.call_over) == (io.Outcome.NO_ANSWER, False)

    run_with_node(scenario)


def test_answered_link_test_clears_the_link() -> None:
    def scenario(node: Node) -> None:
        connection, transport = connect(node, "s-one")
        node.links.check_links(connection.last_received_at + IDLE_TEST_DELAY)
        assert node.calls.links_under_test == {connection.flow}
        connection.data_received(Message(isup.TEST_RESULT, TEST_REFERENCE, {isup.CAUSE: b"\1"}).encode())
        assert not node.calls.links_under_test
        connection.last_received_at = connection.tested_at + 1
        other_link, _ = connect(node, "s-one")
        other_link.last_received_at = connection.tested_at + LINK_TIMEOUT
        node.links.check_links(connection.last_received_at + 1)
        assert not transport.aborted

    run_with_node(scenario)


def test_unread_set_ups_of_a_caller_that_has_closed_are_not_sent_on() -> None:
    # Guards against attempts for callers that are gone: what they wrote was read and sent on afterwards.
    def scenario(node: Node) -> None:
        connection, transport = connect(node)
        connection.data_received(set_up(CALL_A).encode())
        transport.tcp_state = TCP_CLOSE_WAIT
        connection.data_received(set_up(CALL_B).encode())
        assert not node.calls.calls  # the set-up that was open is given up, too
        assert not node.calls.outgoing and not transport.written
        assert node.calls.counters == {"set-ups of callers that left": 1}

    run_with_node(scenario)


def test_release_that_a_caller_wrote_before_it_closed_ends_its_call() -> None:
    def scenario(node: Node) -> None:
        link, _ = connect(node, "s-one")
        connection, transport = connect(node)
        connection.data_received(set_up(CALL_A, pairs="dest:1;width:1;via:-1;at:s-one").encode())
        transport.tcp_state = TCP_CLOSE_WAIT
        connection.data_received(release(CALL_A).encode())
        assert not node.calls.calls
        assert link.flow in [flow for flow, _ in node.calls.outgoing]

    run_with_node(scenario)


def test_set_ups_of_a_caller_that_closes_while_its_reading_is_paused_are_withdrawn() -> None:
    def scenario(node: Node) -> None:
        connection, transport = connect(node)
        connection.data_received(set_up(CALL_A).encode())
        connection.is_paused = True
        node._check_connections()
        assert CALL_A in node.calls.calls
        transport.tcp_state = TCP_CLOSE_WAIT
        node._check_connections()
        assert not node.calls.calls

    run_with_node(scenario)


def test_set_ups_are_taken_where_the_system_does_not_tell_the_state_of_a_connection() -> None:
    def scenario(node: Node) -> None:
        connection, transport = Connection(node), FakeTransport()
        transport.tcp_state = TCP_CLOSE  # as of a socket that only stands for a connection
        connection.connection_made(transport)
        connection.data_received(set_up(CALL_A).encode())
        assert CALL_A in node.calls.calls

    run_with_node(scenario)
