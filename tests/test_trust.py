"""Who is believed, and what for: the rules by themselves, and the engine under messages of those who lie."""

from __future__ import annotations

import tracemalloc
from collections.abc import Callable
from random import Random

import pytest

from eiderstep.config.schema import Caller, Peer, Trust
from eiderstep.engine.circuits import read_ranges, within
from eiderstep.sip.dialog import acknowledge
from eiderstep.sip.message import Message, request, response
from eiderstep.sip.parser import Parser
from eiderstep.trust.party import NOBODY, Book, Party, same
from eiderstep.trust.rules import RULES, Act, refusal
from tests.sip_rig import CALLER, Rig, answer, bye, cancel_of, far_bye, one, settings

STRANGER, OTHER_CALLER, ONE, TWO = 90, 3, 21, 22  # flows; exchanges 1 and 2 have dialled in
VIA = "SIP/2.0/TCP s;branch=z9hG4bKforged"

# -- the table -----------------------------------------------------------------------------------------------

MEMBER = Party(caller=Caller(name="m", marks=False, classes=["plain"]))
TRUSTED = Party(caller=Caller(name="t", advice=True))
X1, X1_ELSEWHERE = Party(frozenset([1]), source="a"), Party(frozenset([1]), source="b")
X12 = Party(frozenset([1, 2]))


@pytest.mark.parametrize(
    ("act", "who", "about", "own", "status"),
    [
        (Act.ANYTHING, NOBODY, -1, False, 403),
        (Act.ANYTHING, X1, -1, False, None),
        (Act.ANYTHING, MEMBER, -1, False, None),
        (Act.CALL, X1, -1, False, 403),
        (Act.CALL, MEMBER, -1, False, None),
        (Act.TRANSIT, X1, 1, False, None),
        (Act.TRANSIT, X1, 2, False, 403),
        (Act.TRANSIT, X12, 2, False, None),
        (Act.TRANSIT, MEMBER, 1, True, 403),
        (Act.CIRCUITS, X1, 2, True, 403),
        (Act.CIRCUITS, X1, 1, False, None),
        (Act.CIRCUITS, TRUSTED, 1, False, 403),
        (Act.MARKS, MEMBER, -1, False, 403),
        (Act.MARKS, TRUSTED, -1, False, None),
        (Act.MARKS, X1, -1, False, None),
        (Act.ADVICE, MEMBER, -1, False, 403),
        (Act.ADVICE, X1, -1, False, 403),
        (Act.ADVICE, TRUSTED, -1, False, None),
        (Act.CLASS, MEMBER, -1, False, 403),
        (Act.CLASS, MEMBER, -1, True, None),
        (Act.CLASS, TRUSTED, -1, False, None),
        (Act.CLASS, X1, -1, False, None),
        (Act.WITHIN, X1, -1, False, 481),
        (Act.WITHIN, MEMBER, -1, True, None),
        (Act.LATE, X1, -1, False, 0),
        (Act.LATE, X1, -1, True, None),
        (Act.LATE, MEMBER, -1, True, 0),
    ],
)
def test_what_each_may_say(act: Act, who: Party, about: int, own: bool, status: int | None) -> None:
    rule = refusal(act, who, about, own)
    assert (None if rule is None else rule.status) == status


def test_every_act_has_a_rule_with_its_danger_and_whom_it_hurts() -> None:
    assert set(RULES) == set(Act)
    assert all(len(rule.danger) > 30 and len(rule.hurts) > 30 for rule in RULES.values())


def test_only_one_and_the_same_exchange_is_the_same() -> None:
    assert same(X1, X1_ELSEWHERE)
    assert not same(X1, Party(frozenset([2]))) and not same(X12, X12), "one of several is not surely the same"
    assert not same(MEMBER, MEMBER) and not same(NOBODY, NOBODY), "callers share addresses"


# -- who is who ----------------------------------------------------------------------------------------------


def book(**trust: object) -> Book:
    peers = [
        Peer(number=1, address="10.0.0.1:1", circuits=8, hosts=["10.0.1.1"]),
        Peer(number=2, address="10.0.0.2:1", circuits=8, identity="Two.Example"),
        Peer(number=3, address="10.0.0.2:9", circuits=8),
    ]
    callers = [
        Caller(name="hall", networks=["10.9.0.0/16", "fd00::/8"], identity="Hall.Example"),
        Caller(name="wide", networks=["10.0.0.0/8"]),
    ]
    return Book(settings(peers=peers, trust=Trust(callers=callers, **trust)))  # type: ignore[arg-type]


def test_a_plain_link_is_who_connects_from_the_address_that_the_settings_name() -> None:
    directory = book()
    assert directory.by_address("10.0.0.1").exchanges == directory.by_address("10.0.1.1").exchanges == {1}
    assert directory.by_address("::ffff:10.0.0.1").exchanges == {1}, "as a dual-stack socket shows it"
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
    assert not book(plain_exchanges=False).by_address("10.0.0.1").exchanges, "keys alone"


def test_an_exchange_moves_by_the_news_of_the_list() -> None:
    directory = book()
    directory.heard({"10.7.7.7:5060": 1})
    assert directory.by_address("10.7.7.7").exchanges == {1} == directory.by_address("10.0.0.1").exchanges, (
        "the settings' address stays good"
    )
    directory.heard({})
    assert not directory.by_address("10.7.7.7").exchanges
    fixed = book(moves=False)
    fixed.heard({"10.7.7.7:5060": 1})
    assert not fixed.by_address("10.7.7.7").exchanges


def test_a_key_outranks_the_address() -> None:
    directory = book()
    assert directory.by_identity(("x1.t",), "192.168.0.1").exchange == 1, (
        "the default name: exchange and context"
    )
    assert directory.by_identity(("TWO.example",), "10.0.0.1").exchange == 2
    member = directory.by_identity(("hall.example",), "192.168.0.1")
    assert member.caller is not None and member.caller.name == "hall" and not member.exchanges
    assert not directory.by_identity(("x9.t", "x1.other"), "10.0.0.1").known, (
        "the address of an exchange does not help"
    )


def test_a_party_has_a_name_for_the_log_and_a_source_for_its_limits() -> None:
    directory = book()
    said = [
        str(p)
        for p in (
            X12,
            directory.by_identity(("hall.example",), "h"),
            NOBODY,
            directory.by_identity(("x1.t",), "h"),
        )
    ]
    assert said == ["exchange 1 or 2", "caller hall", "nobody", "exchange 1"]
    assert (
        directory.by_identity(("x1.t",), "h").source == "x1.t"
        and directory.by_identity(("hall.example",), "h").source == "hall.example"
    )
    assert directory.by_identity(("x9.t",), "h").source == "h", (
        "a name that nobody has is no source of its own"
    )
    assert (
        directory.by_address("fe80::1").source == "fe80::1"
        and directory.by_address("::ffff:a00:1").source == "::ffff:a00:1"
    )
    assert directory.is_exchange_address("10.0.1.1") and not directory.is_exchange_address("10.9.9.9")


def test_the_memory_of_addresses_is_bounded() -> None:
    directory = book()
    for n in range(5000):
        directory.by_address(f"172.16.{n >> 8}.{n & 255}")
    assert len(directory._caller_cache) <= 1024


# -- the engine beside a standing call -----------------------------------------------------------------------

Attack = Callable[[Rig, Message, Message, Message], tuple[int, Message]]  # to (flow, message)


def notify(group: str, circuits: str, context: str = "t", event: str = "eiderstep-circuits") -> Message:
    message = request(
        "NOTIFY", "sip:x@10.0.0.9", via=f"SIP/2.0/TCP s;branch=z9hG4bKn{len(circuits)}{group}",
        sender="<sip:s@s>;tag=s", to="<sip:x@x>", call_id=f"notify{group}", cseq=1,
    )  # fmt: skip
    message.set("contact", f"<sip:trunk;tgrp={group};trunk-context={context}@s>")
    message.set("event", event)
    message.set("eiderstep-circuits", circuits or None)
    return message


def forged(message: Message, via: str = VIA) -> Message:
    copy = Message(message.method, message.uri, message.status, message.phrase, dict(message.headers))
    copy.set("via", via)
    return copy


def with_(message: Message, **headers: str) -> Message:
    for name, value in headers.items():
        message.set(name.replace("_", "-"), value)
    return message


def options(n: int) -> Message:
    return request("OPTIONS", "sip:x@x", via=f"SIP/2.0/TCP s;branch=z9hG4bKo{n}", sender="<sip:s@s>;tag=s",
                   to="<sip:x@x>", call_id=f"o{n}", cseq=1)  # fmt: skip


# Each is given beside a call to exchange 1 that stands, and says who sends what.  Then the statuses that
# answer it: one, or none where the message is of a kind that is never answered.
ATTACKS: dict[str, tuple[Attack, list[int]]] = {
    "circuits, by a stranger": (lambda r, m, s, ok: (STRANGER, notify("0-1", "0-7")), [403]),
    "circuits, by a caller": (lambda r, m, s, ok: (CALLER, notify("0-1", "0-7")), [403]),
    "circuits, by another exchange": (lambda r, m, s, ok: (TWO, notify("0-1", "0-7")), [403]),
    "circuits, over our link to another": (lambda r, m, s, ok: (12, notify("0-1", "0-7")), [403]),
    "circuits, other context": (lambda r, m, s, ok: (ONE, notify("0-1", "0-7", "u")), [403]),
    "circuits, no ranges": (lambda r, m, s, ok: (ONE, notify("0-1", "7-0")), [400]),
    "circuits, too many ranges": (lambda r, m, s, ok: (ONE, notify("0-1", "0," * 1100 + "0")), [400]),
    "circuits, no number": (lambda r, m, s, ok: (ONE, notify("0-1", "9" * 4000)), [400]),
    "circuits, another event": (lambda r, m, s, ok: (ONE, notify("0-1", "0-7", event="dialog")), [489]),
    "circuits, no group": (lambda r, m, s, ok: (ONE, with_(notify("0-1", "0"), contact="<sip:a@b>")), [400]),
    "BYE, by a stranger": (lambda r, m, s, ok: (STRANGER, bye(m, ok)), [403]),
    "BYE, by another caller": (lambda r, m, s, ok: (OTHER_CALLER, bye(m, ok)), [481]),
    "BYE, by another exchange": (lambda r, m, s, ok: (TWO, bye(m, ok)), [481]),
    "BYE as the far end, by a caller": (lambda r, m, s, ok: (CALLER, far_bye(s)), [481]),
    "BYE as the far end, by another exchange": (lambda r, m, s, ok: (12, far_bye(s)), [481]),
    "BYE of no call": (lambda r, m, s, ok: (OTHER_CALLER, with_(bye(m, ok), to="<sip:x@x>;tag=0")), [481]),
    "BYE with a used CSeq": (lambda r, m, s, ok: (CALLER, bye(m, ok, 1)), [500]),
    "CANCEL, by a stranger": (lambda r, m, s, ok: (STRANGER, cancel_of(m)), [403]),
    "CANCEL, by another caller": (lambda r, m, s, ok: (OTHER_CALLER, cancel_of(m)), [481]),
    "CANCEL, by an exchange": (lambda r, m, s, ok: (ONE, cancel_of(m)), [481]),
    "re-INVITE, by another caller": (
        lambda r, m, s, ok: (OTHER_CALLER, forged(with_(r.invite(), call_id=m.call_id, to=ok.get("to")))),
        [481],
    ),
    "re-INVITE, by its own caller": (
        lambda r, m, s, ok: (CALLER, forged(with_(r.invite(), call_id=m.call_id, to=ok.get("to")))), [488],
    ),
    "ACK, by a stranger": (lambda r, m, s, ok: (STRANGER, acknowledge(m, ok, VIA)), []),
    "ACK, by another caller": (lambda r, m, s, ok: (OTHER_CALLER, acknowledge(m, ok, VIA)), []),
    "seizure, by a stranger": (lambda r, m, s, ok: (STRANGER, r.from_peer(1, "5")), [403]),
    "seizure, by a caller": (lambda r, m, s, ok: (CALLER, r.from_peer(1, "5")), [403]),
    "seizure, by another exchange": (lambda r, m, s, ok: (TWO, r.from_peer(1, "5")), [403]),
    "seizure without a group": (lambda r, m, s, ok: (CALLER, r.invite(eiderstep_circuits="1")), [403]),
    "seizure, no number": (lambda r, m, s, ok: (ONE, r.from_peer(1, "1_0")), [400]),
    "seizure, a digit of another script": (lambda r, m, s, ok: (ONE, r.from_peer(1, "\u0661")), [400]),
    "seizure, far out": (lambda r, m, s, ok: (ONE, r.from_peer(1, "65535")), [503]),
    "call, by an exchange": (lambda r, m, s, ok: (ONE, r.invite()), [403]),
    "call, by a stranger": (lambda r, m, s, ok: (STRANGER, r.invite()), [403]),
    "marks, by a caller without them": (lambda r, m, s, ok: (4, r.invite(eiderstep_marks="cut")), [403]),
    "advice, by a caller without it": (lambda r, m, s, ok: (4, r.invite(eiderstep_advice="2")), [403]),
    "advice, by an exchange": (
        lambda r, m, s, ok: (ONE, with_(r.from_peer(1, "6"), eiderstep_advice="2")), [403],
    ),
    "a class not its own": (lambda r, m, s, ok: (4, r.invite(cls="wide")), [403]),
    "OPTIONS, by a stranger": (lambda r, m, s, ok: (STRANGER, options(1)), [403]),
    "200 to our set-up, by a stranger": (lambda r, m, s, ok: (STRANGER, answer(s, 200)), []),
    "200 to our set-up, by a caller": (lambda r, m, s, ok: (CALLER, answer(s, 200)), []),
    "200 to our set-up, by another exchange": (lambda r, m, s, ok: (12, answer(s, 486)), []),
    "200 to nothing, by a caller": (lambda r, m, s, ok: (CALLER, response(r.invite(), 200, "x")), []),
    "load report of a stranger": (
        lambda r, m, s, ok: (STRANGER, answer(s, 503, eiderstep_waiting="9999")), [],
    ),
}  # fmt: skip


def picture(r: Rig) -> object:
    """All that a liar must not change."""
    e = r.engine
    return (
        {n: (dict(x.busy), set(x.blocked), x.free) for n, x in e.ledgers.items()},
        dict(e.dialogs), {name: call.state for name, call in e.calls.items()}, dict(e.told),
        {flow: dict(legs) for flow, legs in e.on_flow.items()}, len(e.transactions.clients),
    )  # fmt: skip


@pytest.mark.parametrize("name", ATTACKS)
def test_no_liar_changes_anything_beside_a_standing_call(name: str) -> None:
    make, statuses = ATTACKS[name]
    r = Rig()
    r.engine.meet(4, MEMBER)
    mine, set_up, ok = r.stand()
    r.give(CALLER, acknowledge(mine, ok, "SIP/2.0/TCP c;branch=z9hG4bKack"))
    before = picture(r)
    flow, message = make(r, mine, set_up, ok)
    fresh = r.give(flow, message)
    assert [m.status for f, m in fresh if f == flow and m.status >= 200] == statuses
    assert all(f == flow for f, _ in fresh), "nobody else hears of it"
    assert picture(r) == before
    fresh = r.give(CALLER, bye(mine, ok, 9))
    assert one(fresh, "BYE").call_id == set_up.call_id, "the call's own end still works"
    r.give(11, answer(one(fresh, "BYE"), 200))
    assert r.free() == 8 and not r.engine.calls and not r.engine.dialogs


@pytest.mark.parametrize("flow", [STRANGER, OTHER_CALLER, ONE, 12])
def test_a_set_up_that_is_out_hears_its_own_far_end_alone(flow: int) -> None:
    r = Rig()
    mine, set_up = r.call()
    for status in (100, 200, 486, 503):
        assert all(f == flow for f, m in r.give(flow, answer(set_up, status)))
    assert r.finals(mine) == [] and len(r.engine.transactions.clients) == 1
    assert r.give(flow, cancel_of(mine))[0][1].status in (403, 481) and r.finals(mine) == []
    assert one(r.give(11, answer(set_up, 200)), 200).call_id == mine.call_id


def test_an_ack_over_another_connection_does_not_count() -> None:
    r = Rig()
    mine, set_up, ok = r.stand()
    for flow in (STRANGER, OTHER_CALLER, ONE):
        r.give(flow, acknowledge(mine, ok, VIA))
    fresh = r.run(40)
    assert [f for f, m in fresh if m.method == "BYE"] == [CALLER, 11], (
        "never acknowledged by its caller: cut, as section 13.3.1.4 has it"
    )


def test_a_branch_used_in_advance_swallows_nobodys_request() -> None:
    r = Rig()
    mine = r.invite()
    early = forged(with_(r.invite(), call_id="other"), mine.get("via"))
    assert one(r.give(OTHER_CALLER, early), "INVITE") and one(r.give(CALLER, mine), "INVITE")
    assert len(r.engine.calls) == 2


def test_an_exchange_that_dialled_anew_ends_its_call_over_the_new_connection() -> None:
    r = Rig()
    fresh = r.give(ONE, r.from_peer(1, "1"))
    set_up = one(fresh, "INVITE")
    ok = one(r.give(12, answer(set_up, 200)), 200)
    mine = next(m for f, m in [(0, c.invite) for c in r.engine.calls.values()])
    r.engine.meet(31, Party(frozenset([1]), source="10.0.0.1"))
    fresh = r.give(31, bye(mine, ok))
    assert [m.status for f, m in fresh if f == 31] == [200] and one(fresh, "BYE").call_id == set_up.call_id


def test_exchanges_behind_one_address_are_told_apart_by_what_they_said_first() -> None:
    r = Rig()
    r.engine.meet(50, Party(frozenset([1, 2]), source="10.0.0.3"))
    assert one(r.give(50, r.from_peer(1, "1")), "INVITE")
    assert [m.status for _, m in r.give(50, r.from_peer(2, "1", "1000"))] == [403]
    assert [m.status for _, m in r.give(50, notify("0-2", "1"))] == [403]


def test_the_insider_that_lies_harms_its_own_group_alone() -> None:
    r = Rig()
    mine, set_up, ok = r.stand("1000")
    other, far, fine = r.stand("2000")
    fresh = r.give(ONE, notify("0-1", "0-7"))
    assert r.free(1) == 0 and r.free(2) == 7 and not r.engine.ledgers[2].blocked
    cut = {m.call_id for _, m in fresh if m.method == "BYE"}
    assert cut == {mine.call_id, set_up.call_id}, "its own call, and no other"
    seized = r.give(ONE, *(r.from_peer(1, str(n)) for n in range(8)))
    assert all(m.status == 503 for _, m in seized if m.status >= 200)
    assert one(r.give(CALLER, bye(other, fine)), "BYE").call_id == far.call_id


def test_a_link_that_leads_to_another_exchange_by_now_speaks_for_that_one() -> None:
    from eiderstep import interface as io

    r = Rig()
    moved = (
        io.OfficeEntry("10.0.0.1:1", 2, io.OfficeState.UP, 0),
        io.OfficeEntry("10.0.0.2:1", 1, io.OfficeState.UP, 0),
    )
    r.engine.news(r.now, io.ListKind.COMPLETE, moved)
    assert [m.status for _, m in r.give(11, notify("0-1", "1"))] == [403]
    assert [m.status for _, m in r.give(11, notify("0-2", "1"))] == [200]


# -- sizes ---------------------------------------------------------------------------------------------------


def test_ranges_stay_ranges() -> None:
    assert read_ranges("5,0-3,2-9,20,11") == [(0, 9), (11, 11), (20, 20)]
    assert within([(0, 65535)], 3) == {0, 1, 2} and within([(7, 9)], 3) == set()


def test_one_message_of_many_ranges_is_cheap() -> None:
    """4 KB of overlapping whole ranges were 31 million numbers: 2.3 s and 1.29 GB."""
    r = Rig()
    text = ",".join(["0-65535"] * 480)
    data = notify("0-1", text).encode()
    tracemalloc.start()
    (item,) = Parser().feed(data)
    r.engine.message(r.now, ONE, item)
    fresh = r.flush()
    peak = tracemalloc.get_traced_memory()[1]
    tracemalloc.stop()
    assert [m.status for _, m in fresh] == [200] and r.free() == 0 and r.engine.ledgers[1].size == 0
    assert peak < 1_000_000


def test_strangers_leave_no_state() -> None:
    r = Rig()
    for n in range(200):
        r.give(STRANGER, r.invite(), options(n), bye(r.invite(), r.invite()))
    layer = r.engine.transactions
    assert (
        not layer.servers and not layer._heap and not r.engine.calls and r.engine.counts["strangers"] == 600
    )


# -- identities ----------------------------------------------------------------------------------------------


def marks(r: Rig) -> set[str]:
    """All tags, branches and Call-IDs that an engine made up."""
    mine, set_up, ok = r.stand()
    return {
        set_up.from_tag,
        set_up.call_id.partition("@")[0],
        set_up.branch.removeprefix("z9hG4bK"),
        ok.to_tag,
    }


def test_identities_are_random_bits_that_tell_nothing_of_the_next() -> None:
    r = Rig()
    made = {m for _ in range(7) for m in marks(r)}
    assert len(made) == 28 and all(len(m) == 16 and int(m, 16) >= 0 for m in made)
    assert len({m[:6] for m in made}) > 20, "no common beginning, no count"
    assert marks(Rig()) == marks(Rig()) != marks(Rig(seed=5)), "in a lab they are the seed's"


def test_identities_in_service_are_new_at_each_start() -> None:
    from random import SystemRandom

    from eiderstep.engine.core import Engine

    made = [Engine(settings(), "h:1", ids=SystemRandom())._id() for _ in range(3)]
    assert len(set(made)) == 3
    assert Engine(settings(), "h:1", ids=Random(1))._id() == Engine(settings(), "h:1", ids=Random(1))._id()
