"""Identification and permissions of peers: the rules by themselves, and the engine under forged messages."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from random import Random

import pytest

from eiderstep.config.schema import Caller, Peer, Trust
from eiderstep.engine.circuits import circuits_in_ranges, read_ranges
from eiderstep.sip.dialog import make_ack
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import Parser
from eiderstep.trust.party import UNKNOWN_PARTY, Party, PartyDirectory, same_exchange
from eiderstep.trust.rules import RULES, Permission, violated_rule
from tests.sip_rig import CALLER, Rig, caller_bye, cancel_of, far_bye, far_response, only_message, settings

# Flows; PEER1 and PEER2 are dialled in by exchanges 1 and 2.
STRANGER, OTHER_CALLER, PEER1, PEER2 = 90, 3, 21, 22
VIA = "SIP/2.0/TCP s;branch=z9hG4bKforged"

# -- the rule table ------------------------------------------------------------------------------------------

MEMBER = Party(caller=Caller(name="m", marks=False, classes=["plain"]))
TRUSTED = Party(caller=Caller(name="t", advice=True))
X1, X1_ELSEWHERE = Party(frozenset([1]), source="a"), Party(frozenset([1]), source="b")
X12 = Party(frozenset([1, 2]))


@pytest.mark.parametrize(
    ("act", "who", "about", "own", "status"),
    [
        (Permission.ANYTHING, UNKNOWN_PARTY, -1, False, 403),
        (Permission.ANYTHING, X1, -1, False, None),
        (Permission.ANYTHING, MEMBER, -1, False, None),
        (Permission.CALL, X1, -1, False, 403),
        (Permission.CALL, MEMBER, -1, False, None),
        (Permission.TRANSIT, X1, 1, False, None),
        (Permission.TRANSIT, X1, 2, False, 403),
        (Permission.TRANSIT, X12, 2, False, None),
        (Permission.TRANSIT, MEMBER, 1, True, 403),
        (Permission.CIRCUITS, X1, 2, True, 403),
        (Permission.CIRCUITS, X1, 1, False, None),
        (Permission.CIRCUITS, TRUSTED, 1, False, 403),
        (Permission.MARKS, MEMBER, -1, False, 403),
        (Permission.MARKS, TRUSTED, -1, False, None),
        (Permission.MARKS, X1, -1, False, None),
        (Permission.ADVICE, MEMBER, -1, False, 403),
        (Permission.ADVICE, X1, -1, False, 403),
        (Permission.ADVICE, TRUSTED, -1, False, None),
        (Permission.CLASS, MEMBER, -1, False, 403),
        (Permission.CLASS, MEMBER, -1, True, None),
        (Permission.CLASS, TRUSTED, -1, False, None),
        (Permission.CLASS, X1, -1, False, None),
        (Permission.WITHIN, X1, -1, False, 481),
        (Permission.WITHIN, MEMBER, -1, True, None),
        (Permission.LATE, X1, -1, False, 0),
        (Permission.LATE, X1, -1, True, None),
        (Permission.LATE, MEMBER, -1, True, 0),
    ],
)
def test_permissions_by_act_and_sender(
    act: Permission, who: Party, about: int, own: bool, status: int | None
) -> None:
    rule = violated_rule(act, who, about, own)
    assert (None if rule is None else rule.status) == status


def test_every_act_has_a_documented_rule() -> None:
    assert set(RULES) == set(Permission)
    assert all(len(rule.threat) > 30 and len(rule.cost) > 30 for rule in RULES.values())


def test_only_a_single_exchange_counts_as_the_same_peer() -> None:
    assert same_exchange(X1, X1_ELSEWHERE)
    assert not same_exchange(X1, Party(frozenset([2]))) and not same_exchange(X12, X12), (
        "one of several exchanges is not certain to be the same"
    )
    assert not same_exchange(MEMBER, MEMBER) and not same_exchange(UNKNOWN_PARTY, UNKNOWN_PARTY), (
        "callers may share an address"
    )


# -- identification of peers ---------------------------------------------------------------------------------


def make_directory(**trust: object) -> PartyDirectory:
    peers = [
        Peer(number=1, address="10.0.0.1:1", circuits=8, hosts=["10.0.1.1"]),
        Peer(number=2, address="10.0.0.2:1", circuits=8, identity="Two.Example"),
        Peer(number=3, address="10.0.0.2:9", circuits=8),
    ]
    callers = [
        Caller(name="hall", networks=["10.9.0.0/16", "fd00::/8"], identity="Hall.Example"),
        Caller(name="wide", networks=["10.0.0.0/8"]),
    ]
    return PartyDirectory(settings(peers=peers, trust=Trust(callers=callers, **trust)))  # type: ignore[arg-type]


def test_plain_link_is_identified_by_configured_address() -> None:
    directory = make_directory()
    assert directory.by_address("10.0.0.1").exchanges == directory.by_address("10.0.1.1").exchanges == {1}
    assert directory.by_address("::ffff:10.0.0.1").exchanges == {1}, (
        "an IPv4 address as a dual-stack socket reports it"
    )
    assert (
        directory.by_address("10.0.0.2").exchanges == {2, 3}
        and directory.by_address("10.0.0.2").exchange == -1
    )
    hall, wide = directory.by_address("10.9.3.4").caller, directory.by_address("10.0.0.1").caller
    assert hall is not None and hall.name == "hall" and wide is not None and wide.name == "wide"
    assert directory.by_address("fd00::1").caller is not None and directory.by_address(
        "192.168.0.1"
    ) == Party(source="192.168.0.1")
    assert not directory.by_address("not an address").known
    assert not make_directory(plain_exchanges=False).by_address("10.0.0.1").exchanges, (
        "addresses do not identify exchanges without `plain_exchanges`"
    )


def test_list_of_exchanges_adds_addresses() -> None:
    directory = make_directory()
    directory.update_listed_hosts({"10.7.7.7:5060": 1})
    assert directory.by_address("10.7.7.7").exchanges == {1} == directory.by_address("10.0.0.1").exchanges, (
        "the address in the settings stays valid"
    )
    directory.update_listed_hosts({})
    assert not directory.by_address("10.7.7.7").exchanges
    fixed = make_directory(moves=False)
    fixed.update_listed_hosts({"10.7.7.7:5060": 1})
    assert not fixed.by_address("10.7.7.7").exchanges


def test_certificate_identity_overrides_address() -> None:
    directory = make_directory()
    assert directory.by_identity(("x1.t",), "192.168.0.1").exchange == 1, (
        "the default identity consists of exchange number and context"
    )
    assert directory.by_identity(("TWO.example",), "10.0.0.1").exchange == 2
    member = directory.by_identity(("hall.example",), "192.168.0.1")
    assert member.caller is not None and member.caller.name == "hall" and not member.exchanges
    assert not directory.by_identity(("x9.t", "x1.other"), "10.0.0.1").known, (
        "with a certificate, the address is not used"
    )


def test_party_has_log_name_and_limit_source() -> None:
    directory = make_directory()
    names = [
        str(p)
        for p in (
            X12,
            directory.by_identity(("hall.example",), "h"),
            UNKNOWN_PARTY,
            directory.by_identity(("x1.t",), "h"),
        )
    ]
    assert names == ["exchange 1 or 2", "caller hall", "nobody", "exchange 1"]
    assert (
        directory.by_identity(("x1.t",), "h").source == "x1.t"
        and directory.by_identity(("hall.example",), "h").source == "hall.example"
    )
    assert directory.by_identity(("x9.t",), "h").source == "h", (
        "an unknown identity counts against the address"
    )
    assert (
        directory.by_address("fe80::1").source == "fe80::1"
        and directory.by_address("::ffff:a00:1").source == "::ffff:a00:1"
    )
    assert directory.is_exchange_address("10.0.1.1") and not directory.is_exchange_address("10.9.9.9")


def test_caller_cache_is_bounded() -> None:
    directory = make_directory()
    for n in range(5000):
        directory.by_address(f"172.16.{n >> 8}.{n & 255}")
    assert len(directory._caller_cache) <= 1024


# -- the engine beside a standing call -----------------------------------------------------------------------

# From the rig, the caller's INVITE, our set-up and the 200 to the caller: the flow and message of the attack.
Attack = Callable[[Rig, Message, Message, Message], tuple[int, Message]]


def notify(group: str, circuits: str, context: str = "t", event: str = "eiderstep-circuits") -> Message:
    message = request(
        "NOTIFY", "sip:x@10.0.0.9", via=f"SIP/2.0/TCP s;branch=z9hG4bKn{len(circuits)}{group}",
        sender="<sip:s@s>;tag=s", to="<sip:x@x>", call_id=f"notify{group}", cseq=1,
    )  # fmt: skip
    message.set("contact", f"<sip:trunk;tgrp={group};trunk-context={context}@s>")
    message.set("event", event)
    message.set("eiderstep-circuits", circuits or None)
    return message


def copy_with_via(message: Message, via: str = VIA) -> Message:
    copy = Message(message.method, message.uri, message.status, message.reason_phrase, dict(message.headers))
    copy.set("via", via)
    return copy


def with_headers(message: Message, **headers: str) -> Message:
    for name, value in headers.items():
        message.set(name.replace("_", "-"), value)
    return message


def options(n: int) -> Message:
    return request("OPTIONS", "sip:x@x", via=f"SIP/2.0/TCP s;branch=z9hG4bKo{n}", sender="<sip:s@s>;tag=s",
                   to="<sip:x@x>", call_id=f"o{n}", cseq=1)  # fmt: skip


# Each attack is made beside a standing call to exchange 1.  The list has the expected final status, or is
# empty where the message must not be answered.
ATTACKS: dict[str, tuple[Attack, list[int]]] = {
    "circuits, by a stranger": (lambda r, m, s, ok: (STRANGER, notify("0-1", "0-7")), [403]),
    "circuits, by a caller": (lambda r, m, s, ok: (CALLER, notify("0-1", "0-7")), [403]),
    "circuits, by another exchange": (lambda r, m, s, ok: (PEER2, notify("0-1", "0-7")), [403]),
    "circuits, over our link to another": (lambda r, m, s, ok: (12, notify("0-1", "0-7")), [403]),
    "circuits, other context": (lambda r, m, s, ok: (PEER1, notify("0-1", "0-7", "u")), [403]),
    "circuits, no ranges": (lambda r, m, s, ok: (PEER1, notify("0-1", "7-0")), [400]),
    "circuits, too many ranges": (lambda r, m, s, ok: (PEER1, notify("0-1", "0," * 1100 + "0")), [400]),
    "circuits, no number": (lambda r, m, s, ok: (PEER1, notify("0-1", "9" * 4000)), [400]),
    "circuits, another event": (lambda r, m, s, ok: (PEER1, notify("0-1", "0-7", event="dialog")), [489]),
    "circuits, no group": (
        lambda r, m, s, ok: (PEER1, with_headers(notify("0-1", "0"), contact="<sip:a@b>")), [400],
    ),
    "BYE, by a stranger": (lambda r, m, s, ok: (STRANGER, caller_bye(m, ok)), [403]),
    "BYE, by another caller": (lambda r, m, s, ok: (OTHER_CALLER, caller_bye(m, ok)), [481]),
    "BYE, by another exchange": (lambda r, m, s, ok: (PEER2, caller_bye(m, ok)), [481]),
    "BYE as the far end, by a caller": (lambda r, m, s, ok: (CALLER, far_bye(s)), [481]),
    "BYE as the far end, by another exchange": (lambda r, m, s, ok: (12, far_bye(s)), [481]),
    "BYE of no call": (
        lambda r, m, s, ok: (OTHER_CALLER, with_headers(caller_bye(m, ok), to="<sip:x@x>;tag=0")), [481],
    ),
    "BYE with a used CSeq": (lambda r, m, s, ok: (CALLER, caller_bye(m, ok, 1)), [500]),
    "CANCEL, by a stranger": (lambda r, m, s, ok: (STRANGER, cancel_of(m)), [403]),
    "CANCEL, by another caller": (lambda r, m, s, ok: (OTHER_CALLER, cancel_of(m)), [481]),
    "CANCEL, by an exchange": (lambda r, m, s, ok: (PEER1, cancel_of(m)), [481]),
    "re-INVITE, by another caller": (
        lambda r, m, s, ok: (
            OTHER_CALLER, copy_with_via(with_headers(r.invite(), call_id=m.call_id, to=ok.get("to"))),
        ),
        [481],
    ),
    "re-INVITE, by its own caller": (
        lambda r, m, s, ok: (
            CALLER, copy_with_via(with_headers(r.invite(), call_id=m.call_id, to=ok.get("to"))),
        ),
        [488],
    ),
    "ACK, by a stranger": (lambda r, m, s, ok: (STRANGER, make_ack(m, ok, VIA)), []),
    "ACK, by another caller": (lambda r, m, s, ok: (OTHER_CALLER, make_ack(m, ok, VIA)), []),
    "seizure, by a stranger": (lambda r, m, s, ok: (STRANGER, r.transit_invite(1, "5")), [403]),
    "seizure, by a caller": (lambda r, m, s, ok: (CALLER, r.transit_invite(1, "5")), [403]),
    "seizure, by another exchange": (lambda r, m, s, ok: (PEER2, r.transit_invite(1, "5")), [403]),
    "seizure without a group": (lambda r, m, s, ok: (CALLER, r.invite(eiderstep_circuits="1")), [403]),
    "seizure, no number": (lambda r, m, s, ok: (PEER1, r.transit_invite(1, "1_0")), [400]),
    "seizure, a digit of another script": (lambda r, m, s, ok: (PEER1, r.transit_invite(1, "\u0661")), [400]),
    "seizure, far out": (lambda r, m, s, ok: (PEER1, r.transit_invite(1, "65535")), [503]),
    "call, by an exchange": (lambda r, m, s, ok: (PEER1, r.invite()), [403]),
    "call, by a stranger": (lambda r, m, s, ok: (STRANGER, r.invite()), [403]),
    "marks, by a caller without them": (lambda r, m, s, ok: (4, r.invite(eiderstep_marks="cut")), [403]),
    "advice, by a caller without it": (lambda r, m, s, ok: (4, r.invite(eiderstep_advice="2")), [403]),
    "advice, by an exchange": (
        lambda r, m, s, ok: (PEER1, with_headers(r.transit_invite(1, "6"), eiderstep_advice="2")), [403],
    ),
    "a class not its own": (lambda r, m, s, ok: (4, r.invite(class_name="wide")), [403]),
    "OPTIONS, by a stranger": (lambda r, m, s, ok: (STRANGER, options(1)), [403]),
    "200 to our set-up, by a stranger": (lambda r, m, s, ok: (STRANGER, far_response(s, 200)), []),
    "200 to our set-up, by a caller": (lambda r, m, s, ok: (CALLER, far_response(s, 200)), []),
    "200 to our set-up, by another exchange": (lambda r, m, s, ok: (12, far_response(s, 486)), []),
    "200 to nothing, by a caller": (lambda r, m, s, ok: (CALLER, response(r.invite(), 200, "x")), []),
    "load report of a stranger": (
        lambda r, m, s, ok: (STRANGER, far_response(s, 503, eiderstep_waiting="9999")), [],
    ),
}  # fmt: skip


def protected_state(rig: Rig) -> object:
    """The state that a forged message must not change."""
    engine = rig.engine
    return (
        {n: (dict(x.busy), set(x.blocked), x.free) for n, x in engine.trunk_groups.items()},
        dict(engine.dialogs), {name: call.state for name, call in engine.calls.items()},
        dict(engine.reported_circuits),
        {flow: dict(legs) for flow, legs in engine.legs_by_flow.items()}, len(engine.transactions.clients),
    )  # fmt: skip


@pytest.mark.parametrize("name", ATTACKS)
def test_forged_message_changes_no_state_of_a_standing_call(name: str) -> None:
    make, statuses = ATTACKS[name]
    rig = Rig()
    rig.engine.set_party(4, MEMBER)
    invite, set_up, ok = rig.establish_call()
    rig.deliver(CALLER, make_ack(invite, ok, "SIP/2.0/TCP c;branch=z9hG4bKack"))
    before = protected_state(rig)
    flow, message = make(rig, invite, set_up, ok)
    sent = rig.deliver(flow, message)
    assert [m.status for f, m in sent if f == flow and m.status >= 200] == statuses
    assert all(f == flow for f, _ in sent), "only the sender gets a response"
    assert protected_state(rig) == before
    sent = rig.deliver(CALLER, caller_bye(invite, ok, 9))
    assert only_message(sent, "BYE").call_id == set_up.call_id, "the caller can still release the call"
    rig.deliver(11, far_response(only_message(sent, "BYE"), 200))
    assert rig.free_circuits() == 8 and not rig.engine.calls and not rig.engine.dialogs


@pytest.mark.parametrize("flow", [STRANGER, OTHER_CALLER, PEER1, 12])
def test_pending_set_up_accepts_responses_only_from_its_peer(flow: int) -> None:
    rig = Rig()
    invite, set_up = rig.offer_call()
    for status in (100, 200, 486, 503):
        assert all(f == flow for f, m in rig.deliver(flow, far_response(set_up, status)))
    assert rig.final_statuses(invite) == [] and len(rig.engine.transactions.clients) == 1
    assert (
        rig.deliver(flow, cancel_of(invite))[0][1].status in (403, 481) and rig.final_statuses(invite) == []
    )
    assert only_message(rig.deliver(11, far_response(set_up, 200)), 200).call_id == invite.call_id


def test_ignores_ack_over_another_connection() -> None:
    rig = Rig()
    invite, set_up, ok = rig.establish_call()
    for flow in (STRANGER, OTHER_CALLER, PEER1):
        rig.deliver(flow, make_ack(invite, ok, VIA))
    sent = rig.advance(40)
    assert [f for f, m in sent if m.method == "BYE"] == [CALLER, 11], (
        "a 200 without an ACK from its caller: the call is released (section 13.3.1.4)"
    )


def test_branch_used_by_another_sender_does_not_absorb_a_request() -> None:
    rig = Rig()
    invite = rig.invite()
    early = copy_with_via(with_headers(rig.invite(), call_id="other"), invite.get("via"))
    assert only_message(rig.deliver(OTHER_CALLER, early), "INVITE") and only_message(
        rig.deliver(CALLER, invite), "INVITE"
    )
    assert len(rig.engine.calls) == 2


def test_exchange_releases_call_over_its_new_connection() -> None:
    rig = Rig()
    sent = rig.deliver(PEER1, rig.transit_invite(1, "1"))
    set_up = only_message(sent, "INVITE")
    ok = only_message(rig.deliver(12, far_response(set_up, 200)), 200)
    invite = next(m for f, m in [(0, c.invite) for c in rig.engine.calls.values()])
    rig.engine.set_party(31, Party(frozenset([1]), source="10.0.0.1"))
    sent = rig.deliver(31, caller_bye(invite, ok))
    assert [m.status for f, m in sent if f == 31] == [200] and only_message(
        sent, "BYE"
    ).call_id == set_up.call_id


def test_exchanges_at_one_address_are_identified_by_first_seizure() -> None:
    rig = Rig()
    rig.engine.set_party(50, Party(frozenset([1, 2]), source="10.0.0.3"))
    assert only_message(rig.deliver(50, rig.transit_invite(1, "1")), "INVITE")
    assert [m.status for _, m in rig.deliver(50, rig.transit_invite(2, "1", "1000"))] == [403]
    assert [m.status for _, m in rig.deliver(50, notify("0-2", "1"))] == [403]


def test_lying_exchange_affects_only_its_own_group() -> None:
    rig = Rig()
    invite, set_up, ok = rig.establish_call("1000")
    other, far, fine = rig.establish_call("2000")
    sent = rig.deliver(PEER1, notify("0-1", "0-7"))
    assert rig.free_circuits(1) == 0 and rig.free_circuits(2) == 7 and not rig.engine.trunk_groups[2].blocked
    cut = {m.call_id for _, m in sent if m.method == "BYE"}
    assert cut == {invite.call_id, set_up.call_id}, "only its own call is cut"
    seized = rig.deliver(PEER1, *(rig.transit_invite(1, str(n)) for n in range(8)))
    assert all(m.status == 503 for _, m in seized if m.status >= 200)
    assert only_message(rig.deliver(CALLER, caller_bye(other, fine)), "BYE").call_id == far.call_id


def test_link_acts_for_the_exchange_now_listed_at_its_address() -> None:
    from eiderstep import interface as io

    rig = Rig()
    moved = (
        io.OfficeEntry("10.0.0.1:1", 2, io.OfficeState.UP, 0),
        io.OfficeEntry("10.0.0.2:1", 1, io.OfficeState.UP, 0),
    )
    rig.engine.update_offices(rig.now, io.ListKind.COMPLETE, moved)
    assert [m.status for _, m in rig.deliver(11, notify("0-1", "1"))] == [403]
    assert [m.status for _, m in rig.deliver(11, notify("0-2", "1"))] == [200]


# -- resource use --------------------------------------------------------------------------------------------


def test_circuit_ranges_are_merged_not_expanded() -> None:
    assert read_ranges("5,0-3,2-9,20,11") == [(0, 9), (11, 11), (20, 20)]
    assert circuits_in_ranges([(0, 65535)], 3) == {0, 1, 2} and circuits_in_ranges([(7, 9)], 3) == set()


def test_many_overlapping_ranges_use_little_memory() -> None:
    """4 KB of overlapping ranges were expanded to 31 million numbers, which took 2.3 s and 1.29 GB."""
    rig = Rig()
    text = ",".join(["0-65535"] * 480)
    data = notify("0-1", text).encode()
    tracemalloc.start()
    (item,) = Parser().feed(data)
    rig.engine.handle_message(rig.now, PEER1, item)
    sent = rig.flush()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert (
        [m.status for _, m in sent] == [200]
        and rig.free_circuits() == 0
        and rig.engine.trunk_groups[1].size == 0
    )
    assert peak < 1_000_000


def test_unknown_senders_leave_no_state() -> None:
    rig = Rig()
    for n in range(200):
        rig.deliver(STRANGER, rig.invite(), options(n), caller_bye(rig.invite(), rig.invite()))
    layer = rig.engine.transactions
    assert (
        not layer.servers
        and not layer._timer_heap
        and not rig.engine.calls
        and rig.engine.counts["strangers"] == 600
    )


# -- identifiers ---------------------------------------------------------------------------------------------


def generated_ids(rig: Rig) -> set[str]:
    """All tags, branches and Call-IDs that an engine generated."""
    invite, set_up, ok = rig.establish_call()
    return {
        set_up.from_tag,
        set_up.call_id.partition("@")[0],
        set_up.branch.removeprefix("z9hG4bK"),
        ok.to_tag,
    }


def test_identifiers_are_random_and_unpredictable() -> None:
    rig = Rig()
    created = {m for _ in range(7) for m in generated_ids(rig)}
    assert len(created) == 28 and all(len(m) == 16 and int(m, 16) >= 0 for m in created)
    assert len({m[:6] for m in created}) > 20, "no common prefix and no counter"
    assert generated_ids(Rig()) == generated_ids(Rig()) != generated_ids(Rig(seed=5)), (
        "in a lab they depend on the seed alone"
    )


def test_identifiers_differ_at_each_start_in_service() -> None:
    from random import SystemRandom

    from eiderstep.engine.core import Engine

    created = [Engine(settings(), "h:1", id_source=SystemRandom())._new_id() for _ in range(3)]
    assert len(set(created)) == 3
    assert (
        Engine(settings(), "h:1", id_source=Random(1))._new_id()
        == Engine(settings(), "h:1", id_source=Random(1))._new_id()
    )
