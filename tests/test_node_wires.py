"""The protocol classes without sockets: what comes in which turn of the loop."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

from eiderstep import interface as io
from eiderstep.isup import message as isup
from eiderstep.isup.message import Message
from eiderstep.node.config import check
from eiderstep.node.links import EACH, QUIET, SILENT, SUSPECT, TEST_CALL, VERDICT
from eiderstep.node.server import Node
from eiderstep.node.wires import UNSENT, Wire
from tests.node_rig import set_up
from tests.test_node_process import SETTINGS

OFFICE = {"host": "s-one", "dial": "127.0.0.1:9", "block": 1, "health": "ready", "born_ms": 0}


class Transport:
    """Keeps what is written; reads nothing until `unread` is set back."""

    def __init__(self) -> None:
        self.written = b""
        self.unread = 0
        self.closing = self.aborted = False

    def get_extra_info(self, name: str) -> Any:
        return ("127.0.0.9", 5)

    def write(self, data: bytes) -> None:
        self.written += data

    def get_write_buffer_size(self) -> int:
        return self.unread

    def is_closing(self) -> bool:
        return self.closing

    def close(self) -> None:
        self.closing = True

    def abort(self) -> None:
        self.closing = self.aborted = True


def with_node(play: Callable[[Node], None]) -> None:
    """A node that has its list and dials nobody."""

    async def run() -> None:
        told = {
            "listen": "127.0.0.1:0", "changelog": "127.0.0.1:9", "settings": SETTINGS,
            "known": {"seq": 1, "results": [{"seq": 1, "fleet": {"whole": True, "hosts": [OFFICE]}}]},
        }  # fmt: skip
        node = Node(asyncio.get_running_loop(), check(told), {}, write=lambda line: None)
        node.book.take(node.config.known, first=True)
        node.links.close()
        play(node)

    asyncio.run(run())


def wire(node: Node, office: str = "") -> tuple[Wire, Transport]:
    made, transport = Wire(node, office), Transport()
    made.connection_made(transport)
    return made, transport


def test_what_an_office_says_first_counts() -> None:
    """It may be read before the task that dialled goes on: a state, or the end of a call.

    Passed over, the call stands on for ever, and its caller is never told.
    """

    def play(node: Node) -> None:
        one, _ = wire(node, "s-one")
        state = Message(isup.STATE, isup.NO_CALL, {isup.REPORT: b"idle:3;circuits:4"})
        end = Message(isup.REL, "a" * 16, {isup.CAUSE: b"\x10"})
        one.data_received(state.encode() + end.encode())
        assert node.calls.free == {"s-one": 3}
        assert list(node.calls.ends) == ["a" * 16]

    with_node(play)


def test_no_more_links_than_wanted_and_none_to_who_is_gone() -> None:
    def play(node: Node) -> None:
        links = [wire(node, "s-one")[1] for _ in range(EACH + 1)]
        assert [link.aborted for link in links] == [False] * EACH + [True]
        assert wire(node, "s-gone")[1].aborted

    with_node(play)


def test_a_silent_link_is_tested_then_given_up() -> None:
    def play(node: Node) -> None:
        one, transport = wire(node, "s-one")
        node.links.watch(one.heard_at + 999_000_000)
        assert transport.written == b""
        node.links.watch(one.heard_at + 1_000_000_000)
        assert transport.written[2] == isup.TEST
        node.links.watch(one.heard_at + 2_499_000_000)
        assert not transport.aborted
        node.links.watch(one.heard_at + 2_500_000_000)
        assert transport.aborted and len(transport.written) == 15  # tested once

    with_node(play)


def test_who_reads_nothing_is_cut_off() -> None:
    def play(node: Node) -> None:
        caller, transport = wire(node)
        transport.unread = UNSENT
        caller.send(b"x")
        assert not transport.aborted
        transport.unread += 1
        caller.send(b"x")
        assert transport.aborted

    with_node(play)


def test_a_closed_connection_is_not_read() -> None:
    def play(node: Node) -> None:
        caller, transport = wire(node)
        test = Message(isup.TEST, "b" * 16, {isup.CAUSE: b"\0"}).encode()
        caller.data_received(b"\0\0" + test)
        caller.data_received(test)
        assert transport.closing and not node.calls.out

    with_node(play)


def test_a_dead_link_beside_a_live_one_is_found_before_its_set_ups_count_as_a_wait() -> None:
    def play(node: Node) -> None:
        dead, transport = wire(node, "s-one")
        live, _ = wire(node, "s-one")
        now = dead.heard_at
        caller, _ = wire(node)
        caller.data_received(set_up(call="a" * 16).encode())
        node.calls.flush(now)
        held = node.calls.on_link[dead.flow]
        assert list(held) == ["a" * 16] and node.calls.oldest(dead.flow) == held["a" * 16].sent_at
        sent = held["a" * 16].sent_at
        node.links.watch(sent + SUSPECT - 1)
        assert transport.written == b""
        node.links.watch(sent + SUSPECT)
        assert transport.written[2] == isup.TEST and node.calls.doubted == {dead.flow}
        caller.data_received(set_up(call="b" * 16).encode())
        node.calls.flush(now)
        assert list(node.calls.on_link[live.flow]) == ["b" * 16]
        live.heard_at = dead.tested_at + VERDICT - 1
        node.links.watch(live.heard_at)
        assert not transport.aborted
        live.heard_at += 1
        node.links.watch(live.heard_at)
        assert transport.aborted and not node.calls.doubted
        [end] = [e for e in node.calls.events if isinstance(e, io.AttemptEnded)]
        assert (end.outcome, end.settled) == (io.Outcome.NO_ANSWER, False)

    with_node(play)


def test_a_test_that_passes_clears_the_link() -> None:
    def play(node: Node) -> None:
        one, transport = wire(node, "s-one")
        node.links.watch(one.heard_at + QUIET)
        assert node.calls.doubted == {one.flow}
        one.data_received(Message(isup.TESTED, TEST_CALL, {isup.CAUSE: b"\1"}).encode())
        assert not node.calls.doubted
        one.heard_at = one.tested_at + 1
        other, _ = wire(node, "s-one")
        other.heard_at = one.tested_at + SILENT
        node.links.watch(one.heard_at + 1)
        assert not transport.aborted

    with_node(play)
