"""Memory that messages of callers take: bounded by the configuration, and given back."""

from eiderstep.isup import message as isup
from eiderstep.node.memory_budget import MESSAGE_OVERHEAD, MemoryBudget
from eiderstep.node.server import Node
from tests.node_rig import CALL_A, CALL_B, CALLER, LINK, CallTableRig, answer, release, set_up
from tests.test_node_connections import connect, run_with_node

MANY_PARAMETERS = dict.fromkeys(range(170), b"y" * 50)
HALF = b"\x3f\xff\x01" + bytes(8000)  # of a message of 16 KiB


def test_budget_is_a_share_of_the_limit_of_the_process() -> None:
    budget = MemoryBudget(64)
    assert budget.take(8 << 20) and not budget.take(1)
    budget.give_back(1)
    assert budget.take(1)


def test_set_up_keeps_only_the_parameters_that_go_to_an_office() -> None:
    # Guards against hundreds of short parameters in each of the set-ups that are held.
    table = CallTableRig()
    message = set_up()
    message = isup.Message(message.kind, message.call, dict(message.parameters) | MANY_PARAMETERS)
    assert table.calls.handle_caller_message(table.now, CALLER, message)
    assert set(table.calls.calls[CALL_A].forwarded) == {isup.CLASS, isup.NUMBER, isup.DESCRIPTION}


def test_set_ups_beyond_the_memory_budget_are_refused_until_others_end() -> None:
    # Guards against a process that is killed for the descriptions of the set-ups that it holds.
    table = CallTableRig()
    table.calls.memory.limit = 2 * MESSAGE_OVERHEAD + 10_000
    long_description = bytes(9_000)
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(description=long_description))
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(CALL_B, description=long_description))
    assert table.flush() == [(CALLER, release(CALL_B, cause=42))]
    assert table.calls.handle_caller_message(table.now, CALLER, release(CALL_A))
    assert table.calls.memory.used == 0
    assert table.calls.handle_caller_message(table.now, CALLER, set_up(CALL_B, description=long_description))
    assert table.calls.memory.used > 9_000


def test_standing_and_refused_calls_take_nothing_from_the_budget() -> None:
    table = CallTableRig()
    table.offer(CALL_A)
    table.offer(CALL_B)
    table.calls.handle_office_message(table.now, LINK, answer(CALL_A))
    table.flush()
    table.calls.caller_disconnected(table.now, CALLER)
    table.flush()
    assert table.calls.memory.used == 0 and CALL_A in table.calls.calls


def test_oldest_incomplete_messages_are_dropped_at_the_limit() -> None:
    # Guards against a process that is killed for messages which hundreds of callers began and did not end.
    def scenario(node: Node) -> None:
        node.memory.limit = 20_000
        now = node.now()
        node.clock = lambda: now
        busy, busy_transport = connect(node)
        busy.data_received(set_up().encode() + HALF)
        opened = []
        for _ in range(4):
            now += 1
            opened.append(connect(node))
            opened[-1][0].data_received(HALF)
        assert [transport.aborted for _, transport in opened] == [True, True, True, False]
        assert not busy_transport.aborted  # it has an open set-up
        assert node.memory.used <= 20_000
        for connection in [busy, *(connection for connection, _ in opened)]:
            connection.connection_lost(None)
        node._flush()
        assert node.memory.used == 0

    run_with_node(scenario)


def test_complete_message_gives_its_memory_back() -> None:
    def scenario(node: Node) -> None:
        connection, _ = connect(node)
        data = isup.Message(isup.ACM, CALL_A, {195: bytes(5000)}).encode()
        connection.data_received(data[:3000])
        assert node.memory.used == 3000
        connection.data_received(data[3000:])
        assert node.memory.used == 0

    run_with_node(scenario)
