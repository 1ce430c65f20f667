"""The registry's codec, tables and decisions, without a socket: what is believed of lies, and why."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderstep.interface import ListKind, OfficeEntry, OfficeState
from eiderstep.registry.choice import Choice
from eiderstep.registry.decode import Bounds, JsonReader, Unfit, XmlReader, reader
from eiderstep.registry.lease import Entry, Held, Lease
from eiderstep.registry.model import Action, Instance, Listing, Status, hash_code
from eiderstep.registry.pace import FULL_CAP, Addresses, Ask, Pace
from eiderstep.registry.table import Applied, Picture, Table
from eiderstep.registry.view import LEASES, Policy, View
from eiderstep.standin.eureka import Record, hash_of, render

SECOND = 1_000_000_000
DAY_MS = 1_800_000_000_000  # the registry's clock, far from ours
NOW = 5000 * SECOND


def records(count: int, app: str = "EXCHANGES") -> list[Record]:
    return [
        Record(
            app, f"x{n}", "127.0.0.1", 5060 + n,
            {"exchange": str(n), "district": str(n % 3), "started": str(DAY_MS - 60_000)},
            "UP" if n % 4 else "DOWN",
            dirty=DAY_MS - 50_000, updated=DAY_MS, registered=DAY_MS, renewed=DAY_MS,
        )
        for n in range(count)
    ]  # fmt: skip


# -- codec -------------------------------------------------------------------------------------------------


@pytest.mark.parametrize("form", ["json", "xml"])
@given(cuts=st.lists(st.integers(1, 9000), max_size=12), count=st.integers(0, 9))
def test_both_forms_read_the_same_however_they_are_cut(form: str, cuts: list[int], count: int) -> None:
    told = records(count) + records(3, "OTHER")
    body = render(told, form, 7, hash_of(told))
    into = reader(f"application/{form};charset=utf-8", "exchanges")
    edges = [0, *sorted(c for c in cuts if c < len(body)), len(body)]
    for a, b in zip(edges, edges[1:], strict=False):
        into.feed(body[a:b])
    listing = into.finish()
    assert listing.version == 7 and listing.hashcode == hash_of(told)
    assert {i.id: i.status.value for i in listing.instances.values()} == {
        r.id: r.status for r in told[:count]
    }
    assert len(listing.others) == 3
    for n in range(count):
        one = listing.instances[f"x{n}"]
        assert (one.address, one.dirty, one.duration) == (f"127.0.0.1:{5060 + n}", DAY_MS - 50_000, 90_000)
        assert one.metadata["exchange"] == str(n) and one.renewed == DAY_MS


def test_a_list_of_one_that_is_no_list() -> None:
    """Eureka's older JSON codec writes one application, or one instance, without the brackets."""
    body = b"""{"applications":{"versions__delta":3,"apps__hashcode":"UP_1_","application":{"name":"A",
      "instance":{"hostName":"h","app":"a","ipAddr":"10.0.0.1","status":"up","port":{"$":"80","@enabled":"true"},
      "metadata":{"exchange":5}}}}}"""
    into = JsonReader("A")
    into.feed(body)
    listing = into.finish()
    one = listing.instances["h"]
    assert (one.address, one.status, one.metadata) == ("10.0.0.1:80", Status.UP, {"exchange": "5"})
    assert hash_code([one.status]) == listing.hashcode and listing.version == 3


GOOD = render(records(3), "json", 1, "x")
GOOD_XML = render(records(3), "xml", 1, "x")
LONG = b'{"applications":{"application":[{"name":"EXCHANGES","instance":[{"instanceId":"'
UNFIT = {
    "half": ("application/json", GOOD[: len(GOOD) // 2], "half"),
    "half xml": ("application/xml", GOOD_XML[: len(GOOD_XML) // 2], "half"),
    "nothing": ("application/json", b"", "half"),
    "html": ("text/html", b"<html>", "Content-Type"),
    "no type": ("", GOOD, "Content-Type"),
    "html as json": ("application/json", b"<html></html>", "not JSON"),
    "html as xml": ("application/xml", b"<html></html>", "nothing that the API answers"),
    "other json": ("application/json", b'{"error":"no"}', "nothing that the API answers"),
    "deep": ("application/json", b'{"applications":' + b"[" * 40, "nested"),
    "deep xml": ("application/xml", b"<applications>" + b"<a>" * 40, "nested"),
    "entities": ("application/xml", b"<!DOCTYPE a [<!ENTITY b 'c'>]><applications/>", "document type"),
    "long value": ("application/json", LONG + b"x" * 9000 + b'"}]}]}}', "value of over"),
    "too many": ("application/json", render(records(21), "json", 1, "x"), "over 20 instances"),
    "too much": ("application/json", render(records(2), "json", 1, "x") + b" " * 300_000, "bytes"),
    "fields": (
        "application/json",
        LONG + b'a","metadata":{"a":1' + b"".join(b',"f%d":1' % n for n in range(300)) + b"}}]}]}}",
        "fields",
    ),
}


@pytest.mark.parametrize("kind, body, said", UNFIT.values(), ids=UNFIT)
def test_what_is_no_answer_is_told_as_such(kind: str, body: bytes, said: str) -> None:
    with pytest.raises(Unfit, match=said):
        into = reader(kind, "exchanges", Bounds(answer=300_000, instances=20))
        into.feed(body)
        into.finish()


@given(st.binary(max_size=300))
def test_any_bytes_are_a_listing_or_unfit(data: bytes) -> None:
    for into in (JsonReader("a"), XmlReader("a")):
        try:
            into.feed(data)
            into.finish()
        except Unfit:
            continue


# -- one registry's table ----------------------------------------------------------------------------------


def inst(
    name: str, status: Status = Status.UP, dirty: int = 100, action: Action = Action.ADDED, **more: Any
) -> Instance:
    number = more.pop("number", int("".join(c for c in name if c.isdigit()) or 0))
    more.setdefault("address", f"127.0.0.1:{6000 + number}")
    born = more.pop("born", DAY_MS - 600_000)
    keys = {"exchange": str(number), "district": "1", "started": str(born)}
    return Instance("X", name, status, action, dirty=dirty, metadata=more.pop("metadata", keys), **more)


def listing(*found: Instance, version: int = 1, hashcode: str | None = None) -> Listing:
    return Listing({i.id: i for i in found}, version=version, hashcode=hashcode, clock=DAY_MS)


def test_deltas_bring_the_table_to_the_registrys_hash() -> None:
    table = Table()
    assert table.delta(listing(inst("a1")))[0] is Applied.MISMATCH, "a delta before any list is of no use"
    assert table.full(listing(inst("a1"), inst("a2"), hashcode="UP_2_"))[0] is Applied.TAKEN
    delta = listing(
        inst("a2", dirty=101, action=Action.DELETED), inst("a3", Status.DOWN),
        version=2, hashcode="DOWN_1_UP_1_",
    )  # fmt: skip
    for _ in range(3):  # the same delta is told for minutes
        applied, picture = table.delta(delta)
        assert applied is Applied.TAKEN and set(picture.instances) == {"a1", "a3"}
    assert table.delta(listing(version=3, hashcode="UP_9_"))[0] is Applied.MISMATCH
    assert table.mismatches == 1


def test_a_delta_from_before_the_list_changes_nothing() -> None:
    table = Table()
    table.full(listing(inst("a1"), version=8, hashcode="UP_1_"))
    applied, picture = table.delta(listing(inst("a1", Status.DOWN), version=5, hashcode="DOWN_1_"))
    assert applied is Applied.STALE and picture.instances["a1"].status is Status.UP
    table.delta(listing(inst("a1", Status.DOWN, dirty=99), version=9, hashcode="UP_1_"))
    assert table.instances["a1"].status is Status.UP, "an earlier word on it, still in the queue"


# -- the view ----------------------------------------------------------------------------------------------


class Told:
    """A view, and the list as the module would hold it."""

    def __init__(self, **policy: Any) -> None:
        self.view = View(Policy(hold=90 * SECOND, **policy), ())
        self.up: dict[str, OfficeState] = {}
        self.kinds: list[ListKind] = []
        self.at = NOW

    def take(self, news: list[tuple[ListKind, tuple[OfficeEntry, ...]]]) -> None:
        for kind, entries in news:
            self.kinds.append(kind)
            if kind is ListKind.COMPLETE:
                self.up = {}
            for entry in entries:
                self.up[entry.office] = entry.state
                if entry.state is OfficeState.GONE:
                    del self.up[entry.office]

    def says(
        self, who: str, *found: Instance, full: bool = True, after: float = 1.0, clock: int | None = None
    ) -> dict[int, str]:
        self.at += int(after * SECOND)
        clock = DAY_MS + (self.at - NOW) // 1_000_000 if clock is None else clock
        self.take(self.view.heard(self.at, who, Picture({i.id: i for i in found}, {}, full, clock)))
        return {int(o.rpartition(":")[2]) - 6000: s.name for o, s in self.up.items()}

    def started(self, number: int) -> int:
        return self.view.told[f"127.0.0.1:{6000 + number}"].started


def fleet(*numbers: int, **more: Any) -> list[Instance]:
    return [inst(f"x{n}", **more) for n in numbers]


UP6 = dict.fromkeys(range(6), "UP")


def test_a_closing_word_counts_at_once_from_whichever_registry() -> None:
    told = Told()
    told.says("one", *fleet(*range(6)))
    assert told.says("two", *fleet(*range(6))) == UP6
    down = [inst("x1", Status.DOWN, dirty=101), inst("x2", Status.OUT_OF_SERVICE, dirty=101)]
    assert told.says("two", *fleet(0, 3, 4, 5), *down) == UP6 | {1: "DRAINING", 2: "DRAINING"}
    assert told.says("one", *fleet(*range(6)))[1] == "DRAINING", "a lagging peer says what it said before"
    assert told.says("two", *fleet(0, 3, 4, 5)) == {0: "UP", 3: "UP", 4: "UP", 5: "UP"}
    assert 1 not in told.says("one", *fleet(*range(6))), "nor does it bring back what has left"
    assert told.says("one", inst("x1", dirty=300, born=DAY_MS), *fleet(0, 3, 4, 5))[1] == "UP", (
        "a new life does"
    )


def test_the_dead_come_back_by_renewals_that_go_on() -> None:
    told = Told()
    told.says("one", *fleet(*range(6), renewed=1000))
    told.says("two", *fleet(*range(6), renewed=1000))
    assert 3 not in told.says("two", *fleet(0, 1, 2, 4, 5, renewed=1000))
    for renewed, back in ((5000, False), (5000, False), (7000, False), (9000, True)):
        assert (3 in told.says("one", *fleet(*range(6), renewed=renewed))) is back, renewed
    assert told.view.counts["alive after all"] == 1


def test_most_of_them_at_once_is_not_believed_until_another_agrees() -> None:
    told = Told()
    told.says("one", *fleet(*range(6)))
    told.says("two", *fleet(*range(6)))
    assert told.says("one", *fleet(0, 1)) == UP6 and told.view.doubt, (
        "four of six: a second opinion is wanted"
    )
    assert told.says("two", *fleet(*range(6))) == UP6, "it says otherwise"
    assert told.says("one", *fleet(*range(6))) == UP6
    told.says("one", *fleet(0, 1))
    assert told.says("two", *fleet(0, 1)) == {0: "UP", 1: "UP"}, "it agrees"


def test_losses_in_batches_are_one_loss() -> None:
    told = Told()
    told.says("one", *fleet(*range(8)))
    assert len(told.says("one", *fleet(*range(2, 8)))) == 6, "two of eight may leave"
    assert len(told.says("one", *fleet(*range(5, 8)))) == 6, "three more at once make five of eight"
    told.at += 91 * SECOND
    assert len(told.says("one", *fleet(*range(5, 8)))) == 3, "held long enough, and nobody said otherwise"


def test_those_who_came_back_under_a_new_id_are_no_losses() -> None:
    """A fleet that restarts one after the other within seconds: each departure is believed at once."""
    told = Told()
    told.says("one", *fleet(*range(6)))
    now = {n: inst(f"x{n}") for n in range(6)}
    for n in range(6):
        left = now.pop(n)
        assert n not in told.says("one", *now.values()), n
        now[n] = inst(f"new{n}", number=n, born=DAY_MS, dirty=500, address=left.address)
        assert told.says("one", *now.values())[n] == "UP"


def test_an_empty_answer_is_never_believed_and_silence_changes_nothing() -> None:
    told = Told()
    assert told.says("one") == {} and not told.kinds, "before any list the settings' exchanges stay"
    told.says("one", *fleet(*range(6)))
    for after in (1, 100, 1000):
        assert told.says("one", after=after) == UP6
    told.take(told.view.lost(told.at, "one", "silent"))
    assert told.kinds[-1] is ListKind.FAILED and len(told.up) == 6
    told.take(told.view.due(told.at + 3600 * SECOND))
    assert told.kinds.count(ListKind.FAILED) == 1 and len(told.up) == 6
    told.says("one", *fleet(*range(6)))
    assert told.kinds[-1:] == [ListKind.COMPLETE], "back, and says so though nothing has changed"
    assert told.says("one", *fleet(*range(5))) == dict.fromkeys(range(5), "UP"), (
        "back with what it lost meanwhile"
    )


def test_what_only_a_registry_silent_for_long_named_is_dropped() -> None:
    told = Told()
    told.says("one", *fleet(*range(6)))
    told.says("two", *fleet(*range(5)))
    told.take(told.view.lost(told.at, "one", "silent"))
    assert told.says("two", *fleet(*range(5)), after=80) == UP6
    assert 5 not in told.says("two", *fleet(*range(5)), after=20)


def test_the_registry_turned_to_after_a_failure_tells_who_left_meanwhile() -> None:
    told = Told()
    told.says("one", *fleet(*range(5)))
    told.says("one", *fleet(*range(6)), after=40)
    told.take(told.view.lost(told.at, "one", "silent"))
    five = dict.fromkeys(range(1, 6), "UP")
    assert told.says("two", *fleet(1, 2, 3, 4)) == five, "exchange 5 may not have reached it yet"
    told.take(told.view.lost(told.at, "two", "silent"))
    assert told.says("three", after=40) == five, "an empty table still says nothing"


def test_a_lease_long_over_is_a_departure_unless_most_are() -> None:
    told = Told()
    alive = fleet(0, 1, 2, 3, renewed=DAY_MS, duration=90_000)
    dead = inst("x4", renewed=DAY_MS - 90_000 * LEASES - 5000, duration=90_000)
    assert told.says("one", *alive, dead) == dict.fromkeys(range(4), "UP")
    assert 4 not in told.says("one", *alive, dead, full=False), "a delta does not bring it back"
    skewed = Told()
    assert len(skewed.says("one", *fleet(0, 1, 2, 3, renewed=1000, duration=90_000))) == 4, (
        "all: it hears none"
    )


def test_a_start_is_never_taken_for_older_than_it_can_be() -> None:
    told = Told()
    told.says("one", inst("x1", born=DAY_MS - 5000))
    assert told.at - told.started(1) == 6 * SECOND, "by the registry's clock"
    told.says("one", inst("x1", born=DAY_MS - 1000, dirty=200), clock=DAY_MS + 9_000_000)
    assert told.at - told.started(1) == SECOND, "no earlier than when its life before was last listed"
    told.says("one", inst("x2", born=DAY_MS + 9_000_000))
    assert told.started(2) == told.at, "a start in the future is now"
    told.says("one", inst("y1", born=DAY_MS, dirty=300, address="127.0.0.1:6001", number=1), after=4)
    assert told.at - told.started(1) == 5 * SECOND, "a new id at the old address is a new start"


def test_the_later_word_counts_whatever_start_it_names() -> None:
    told = Told()
    told.says("one", *fleet(1, 2, dirty=100))
    assert told.says("one", inst("x1", Status.DOWN, dirty=101, born=7), *fleet(2)) == {1: "DRAINING", 2: "UP"}


def test_an_old_number_under_a_new_id() -> None:
    told = Told()
    told.says("one", *fleet(1, 2, 3))
    new = inst("new", number=1, born=DAY_MS, dirty=500, address="127.0.0.1:6001")
    assert told.says("one", *fleet(1, 2, 3), new) == {1: "UP", 2: "UP", 3: "UP"}
    assert told.says("one", inst("x1", Status.DOWN, dirty=501), *fleet(2, 3), new)[1] == "UP", (
        "the old one's word"
    )
    assert told.says("one", *fleet(2, 3), new)[1] == "UP"
    elsewhere = inst("else", number=1, born=DAY_MS, dirty=500, address="127.0.0.1:6009")
    assert set(told.says("one", *fleet(2, 3), new, elsewhere)) == {1, 2, 3, 9}, (
        "two machines are the module's"
    )


@pytest.mark.parametrize(
    "metadata, said",
    [
        ({}, "metadata exchange: found ''"),
        ({"exchange": "-1", "district": "0", "started": "1"}, "found '-1'"),
        ({"exchange": "70000", "district": "0", "started": "1"}, "allowed: 0 to 65535"),
        ({"exchange": "1", "district": "north", "started": "1"}, "metadata district: found 'north'"),
        ({"exchange": "1", "district": "0", "started": "1.5e9"}, "metadata started"),
        ({"exchange": "²", "district": "0", "started": "1"}, "metadata exchange"),
    ],
)  # fmt: skip
def test_malformed_metadata_skips_that_instance_alone(metadata: dict[str, str], said: str) -> None:
    told = Told()
    for _ in range(3):
        assert told.says("one", inst("bad", metadata=metadata), *fleet(1, 2)) == {1: "UP", 2: "UP"}
    skipped = [n for n in told.view.notes if n.event == "instance skipped"]
    assert len(skipped) == 1 and said in skipped[0].fields["why"], "said once"
    assert told.view.counts["instances skipped"] == 3


def test_a_first_list_of_few_does_not_end_the_settings_exchanges() -> None:
    named = [OfficeEntry(f"127.0.0.1:{6000 + n}", n, OfficeState.UP) for n in range(6)]
    view = View(Policy(), named)
    picture = Picture({i.id: i for i in fleet(0)}, {}, True, DAY_MS)
    assert [kind for kind, _ in view.heard(NOW, "one", picture)] == [ListKind.CHANGES]
    whole = Picture({i.id: i for i in fleet(0, 1, 2, 3)}, {}, True, DAY_MS)
    ((kind, entries),) = view.heard(NOW + SECOND, "one", whole)
    assert kind is ListKind.COMPLETE and len(entries) == 4


@given(st.lists(st.tuples(
    st.sampled_from(["one", "two"]), st.sets(st.integers(0, 5)), st.sets(st.integers(0, 5), max_size=2),
    st.booleans(), st.sampled_from([0.5, 3.0, 40.0, 95.0])), max_size=25))  # fmt: skip
def test_whatever_is_said_the_list_stays_sound(
    answers: list[tuple[str, set[int], set[int], bool, float]],
) -> None:
    """News adds up to what the view holds; one that nobody ever lost stays; a closed one is not up."""
    told = Told()
    told.says("one", *fleet(*range(6)))
    told.says("two", *fleet(*range(6)))
    always = set(range(6))
    for who, listed, down, silent, after in answers:
        always &= listed - down
        if silent:
            told.at += int(after * SECOND)
            told.take(told.view.lost(told.at, who, "silent"))
        else:
            told.says(
                who, *[inst(f"x{n}", Status.DOWN if n in down else Status.UP) for n in listed], after=after
            )
            for n in down & listed:
                assert told.up.get(f"127.0.0.1:{6000 + n}") is not OfficeState.UP
        assert told.up == {e.office: e.state for e in told.view.entries()}
        assert all(told.up.get(f"127.0.0.1:{6000 + n}") is OfficeState.UP for n in always)
        assert told.up or not always


# -- pace, choice, lease -----------------------------------------------------------------------------------


def test_followers_never_share_an_address_while_another_is_free() -> None:
    addresses = Addresses(["a", "b", "c"])
    assert (addresses.pick(0), addresses.pick(1)) == ("a", "b")
    addresses.failed(10, "a")
    assert addresses.pick(0) == "c" and addresses.pick(1) == "b"
    addresses.failed(20, "c")
    assert addresses.pick(0) == "a", "the one that failed longest ago"


def test_a_hash_that_never_fits_costs_ever_fewer_whole_lists() -> None:
    pace, now, fulls = Pace(SECOND, 0, Random(1)), 0, []
    assert pace.what(0, "a") is Ask.FULL
    for poll in range(200):
        what = pace.what(now, "a")
        fulls += [poll] if what is Ask.FULL else []
        pace.taken(now, "a", what, fits=False)
        now += SECOND
    assert 5 <= len(fulls) <= 12 and max(b - a for a, b in zip(fulls, fulls[1:], strict=False)) <= FULL_CAP
    pace.taken(now, "a", Ask.FULL, fits=True)
    assert pace.what(now + SECOND, "a") is Ask.DELTA
    assert pace.what(now + SECOND, "b") is Ask.FULL, "the table is another registry's"


def test_a_minute_of_silence_is_asked_about_in_growing_jittered_pauses() -> None:
    paces = [Pace(SECOND, 0, Random(n)) for n in range(60)]
    waits = [[pace.failed(moved=False) / SECOND for _ in range(6)] for pace in paces]
    assert all(0.5 <= w[0] <= 1 and 2 <= w[-1] <= 4 for w in waits)
    back = sorted(pace.taken(0, "a", Ask.DELTA, True) / SECOND for pace in paces)
    assert 0.5 <= back[0] < 0.6 and 1.4 < back[-1] <= 1.5, "the return spreads them again"
    pace = paces[0]
    assert pace.hurry(SECOND) and not pace.hurry(SECOND + 5) and pace.what(SECOND, "a") is Ask.FULL


def test_the_fallback_is_in_force_only_while_the_main_list_is_away() -> None:
    choice = Choice("registry", 5 * SECOND)
    a, b = OfficeEntry("h:1", 1, OfficeState.UP), OfficeEntry("h:2", 2, OfficeState.UP)
    assert choice.heard(0, "register", ListKind.COMPLETE, (b,)) == [] and choice.next_due() == 5 * SECOND
    assert choice.heard(1, "registry", ListKind.COMPLETE, (a,)) == [(ListKind.COMPLETE, (a,))]
    assert choice.next_due() is None
    assert choice.heard(SECOND, "registry", ListKind.FAILED, ()) == [(ListKind.FAILED, ())]
    assert choice.due(2 * SECOND) == [] and choice.due(6 * SECOND) == [(ListKind.COMPLETE, (b,))]
    gone = OfficeEntry("h:2", 2, OfficeState.GONE)
    assert choice.heard(7 * SECOND, "register", ListKind.CHANGES, (gone,)) == [(ListKind.CHANGES, (gone,))]
    assert choice.heard(8 * SECOND, "registry", ListKind.CHANGES, (b,)) == [(ListKind.COMPLETE, (a, b))]
    assert not choice.on_fallback and choice.heard(9 * SECOND, "register", ListKind.CHANGES, (b,)) == []


def test_the_lease_from_registration_to_its_end() -> None:
    lease = Lease(Entry("CALLS", "s 1", "h", 1, "v", 30, 90, {}), Random(1), 1000)
    assert lease.order() is not None and lease.order().method == "POST"  # type: ignore[union-attr]
    lease.failed(0)
    assert 0 < lease.due < 4 * SECOND, "again long before a renewal is due"
    lease.answered(0, 204, 1000)
    order = lease.order()
    assert order is not None and (order.method, order.path) == (
        "PUT", "/apps/CALLS/s%201?status=UP&lastDirtyTimestamp=1000",
    )  # fmt: skip
    lease.answered(0, 200, 2000)
    lease.answered(0, 500, 2000)
    assert lease.state is Held.HELD
    lease.answered(0, 404, 3000)
    assert (lease.state, lease.dirty) == (Held.NEW, 3000), "forgotten: registered anew, under a later time"
    lease.answered(0, 204, 3000)
    lease.leave(0, 2000)
    order = lease.order()
    assert order is not None and b'"DOWN"' in order.body and lease.dirty == 3001, "a wall clock set back"
    lease.answered(0, 204, 0)
    assert lease.order().method == "DELETE"  # type: ignore[union-attr]
    lease.answered(0, 404, 0)
    assert lease.order() is None
