"""The Eureka client without I/O: decoders, tables, merging of faulty registries, polling and registration."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from eiderstep.interface import ListKind, OfficeEntry, OfficeState
from eiderstep.registry.decode import InvalidResponse, JsonReader, ResponseLimits, XmlReader, reader_for
from eiderstep.registry.lease import Lease, LeaseState, Registration
from eiderstep.registry.model import Action, Instance, Listing, Status, hash_code
from eiderstep.registry.poll_schedule import MAX_FULL_GAP_POLLS, AddressPool, PollKind, PollSchedule
from eiderstep.registry.source_selection import SourceSelector
from eiderstep.registry.table import ApplyResult, RegistryTable, Snapshot
from eiderstep.registry.view import LEASE_EXPIRY_FACTOR, Policy, View
from eiderstep.standin.eureka import InstanceRecord, apps_hashcode, render_response

SECOND = 1_000_000_000
REGISTRY_NOW_MS = 1_800_000_000_000  # on the registry's clock, which differs from the local one
NOW = 5000 * SECOND


def records(count: int, app: str = "EXCHANGES") -> list[InstanceRecord]:
    return [
        InstanceRecord(
            app, f"x{n}", "127.0.0.1", 5060 + n,
            {"exchange": str(n), "district": str(n % 3), "started": str(REGISTRY_NOW_MS - 60_000)},
            "UP" if n % 4 else "DOWN",
            dirty_timestamp=REGISTRY_NOW_MS - 50_000, updated_at=REGISTRY_NOW_MS,
            registered_at=REGISTRY_NOW_MS, renewed_at=REGISTRY_NOW_MS,
        )
        for n in range(count)
    ]  # fmt: skip


# -- decoders ----------------------------------------------------------------------------------------------


@pytest.mark.parametrize("form", ["json", "xml"])
@given(cuts=st.lists(st.integers(1, 9000), max_size=12), count=st.integers(0, 9))
def test_json_and_xml_give_the_same_listing_for_any_chunking(form: str, cuts: list[int], count: int) -> None:
    told_records = records(count) + records(3, "OTHER")
    body = render_response(told_records, form, 7, apps_hashcode(told_records))
    reader = reader_for(f"application/{form};charset=utf-8", "exchanges")
    edges = [0, *sorted(cut for cut in cuts if cut < len(body)), len(body)]
    for start, end in zip(edges, edges[1:], strict=False):
        reader.feed(body[start:end])
    listing = reader.finish()
    assert listing.version == 7 and listing.hashcode == apps_hashcode(told_records)
    assert {instance.id: instance.status.value for instance in listing.instances.values()} == {
        record.id: record.status for record in told_records[:count]
    }
    assert len(listing.others) == 3
    for n in range(count):
        found = listing.instances[f"x{n}"]
        assert (found.address, found.dirty_ms, found.lease_ms) == (
            f"127.0.0.1:{5060 + n}",
            REGISTRY_NOW_MS - 50_000,
            90_000,
        )
        assert found.metadata["exchange"] == str(n) and found.renewed_ms == REGISTRY_NOW_MS


def test_reads_single_application_and_instance_without_list_brackets() -> None:
    """Eureka's older JSON codec writes a list of one application or one instance without brackets."""
    body = b"""{"applications":{"versions__delta":3,"apps__hashcode":"UP_1_","application":{"name":"A",
      "instance":{"hostName":"h","app":"a","ipAddr":"10.0.0.1","status":"up","port":{"$":"80","@enabled":"true"},
      "metadata":{"exchange":5}}}}}"""
    reader = JsonReader("A")
    reader.feed(body)
    listing = reader.finish()
    found = listing.instances["h"]
    assert (found.address, found.status, found.metadata) == ("10.0.0.1:80", Status.UP, {"exchange": "5"})
    assert hash_code([found.status]) == listing.hashcode and listing.version == 3


GOOD = render_response(records(3), "json", 1, "x")
GOOD_XML = render_response(records(3), "xml", 1, "x")
UNTERMINATED_ID = b'{"applications":{"application":[{"name":"EXCHANGES","instance":[{"instanceId":"'
INVALID = {
    "half": ("application/json", GOOD[: len(GOOD) // 2], "truncated response"),
    "half xml": ("application/xml", GOOD_XML[: len(GOOD_XML) // 2], "truncated response"),
    "nothing": ("application/json", b"", "truncated response"),
    "html": ("text/html", b"<html>", "Content-Type"),
    "no type": ("", GOOD, "Content-Type"),
    "html as json": ("application/json", b"<html></html>", "not JSON"),
    "html as xml": ("application/xml", b"<html></html>", "XML with root <html>"),
    "other json": ("application/json", b'{"error":"no"}', "JSON without any root of the API"),
    "deep": ("application/json", b'{"applications":' + b"[" * 40, "nested"),
    "deep xml": ("application/xml", b"<applications>" + b"<a>" * 40, "nested"),
    "entities": ("application/xml", b"<!DOCTYPE a [<!ENTITY b 'c'>]><applications/>", "document type"),
    "long value": ("application/json", UNTERMINATED_ID + b"x" * 9000 + b'"}]}]}}', "value of over"),
    "too many": ("application/json", render_response(records(21), "json", 1, "x"), "over 20 instances"),
    "too much": ("application/json", render_response(records(2), "json", 1, "x") + b" " * 300_000, "bytes"),
    "fields": (
        "application/json",
        UNTERMINATED_ID
        + b'a","metadata":{"a":1'
        + b"".join(b',"f%d":1' % n for n in range(300))
        + b"}}]}]}}",
        "fields",
    ),
}


@pytest.mark.parametrize("content_type, body, message", INVALID.values(), ids=INVALID)
def test_invalid_response_is_refused_with_its_reason(content_type: str, body: bytes, message: str) -> None:
    with pytest.raises(InvalidResponse, match=message):
        reader = reader_for(content_type, "exchanges", ResponseLimits(max_bytes=300_000, max_instances=20))
        reader.feed(body)
        reader.finish()


@given(st.binary(max_size=300))
def test_any_bytes_give_a_listing_or_an_invalid_response(data: bytes) -> None:
    for reader in (JsonReader("a"), XmlReader("a")):
        try:
            reader.feed(data)
            reader.finish()
        except InvalidResponse:
            continue


# -- one registry's table ----------------------------------------------------------------------------------


def make_instance(
    name: str, status: Status = Status.UP, dirty_ms: int = 100, action: Action = Action.ADDED, **fields: Any
) -> Instance:
    number = fields.pop("number", int("".join(c for c in name if c.isdigit()) or 0))
    fields.setdefault("address", f"127.0.0.1:{6000 + number}")
    started_ms = fields.pop("started_ms", REGISTRY_NOW_MS - 600_000)
    default_metadata = {"exchange": str(number), "district": "1", "started": str(started_ms)}
    return Instance(
        "X",
        name,
        status,
        action,
        dirty_ms=dirty_ms,
        metadata=fields.pop("metadata", default_metadata),
        **fields,
    )


def make_listing(*instances: Instance, version: int = 1, hashcode: str | None = None) -> Listing:
    return Listing({i.id: i for i in instances}, version=version, hashcode=hashcode, clock_ms=REGISTRY_NOW_MS)


def test_deltas_update_the_table_and_check_its_hash() -> None:
    table = RegistryTable()
    assert table.apply_delta(make_listing(make_instance("a1")))[0] is ApplyResult.MISMATCH, (
        "a delta before the first full list is not applied"
    )
    assert (
        table.apply_full(make_listing(make_instance("a1"), make_instance("a2"), hashcode="UP_2_"))[0]
        is ApplyResult.TAKEN
    )
    delta = make_listing(
        make_instance("a2", dirty_ms=101, action=Action.DELETED), make_instance("a3", Status.DOWN),
        version=2, hashcode="DOWN_1_UP_1_",
    )  # fmt: skip
    for _ in range(3):  # a registry repeats the same delta for minutes
        applied, snapshot = table.apply_delta(delta)
        assert applied is ApplyResult.TAKEN and set(snapshot.instances) == {"a1", "a3"}
    assert table.apply_delta(make_listing(version=3, hashcode="UP_9_"))[0] is ApplyResult.MISMATCH
    assert table.mismatches == 1


def test_delta_older_than_the_full_list_changes_nothing() -> None:
    table = RegistryTable()
    table.apply_full(make_listing(make_instance("a1"), version=8, hashcode="UP_1_"))
    applied, snapshot = table.apply_delta(
        make_listing(make_instance("a1", Status.DOWN), version=5, hashcode="DOWN_1_")
    )
    assert applied is ApplyResult.STALE and snapshot.instances["a1"].status is Status.UP
    table.apply_delta(
        make_listing(make_instance("a1", Status.DOWN, dirty_ms=99), version=9, hashcode="UP_1_")
    )
    assert table.instances["a1"].status is Status.UP, (
        "an earlier change of the instance, still in the delta's queue, is ignored"
    )


# -- the view ----------------------------------------------------------------------------------------------


class ListRecorder:
    """A view, and the list that the routing module would hold after its updates."""

    def __init__(self, **policy: Any) -> None:
        self.view = View(Policy(hold=90 * SECOND, **policy), ())
        self.states: dict[str, OfficeState] = {}
        self.kinds: list[ListKind] = []
        self.now = NOW

    def apply(self, updates: list[tuple[ListKind, tuple[OfficeEntry, ...]]]) -> None:
        for kind, entries in updates:
            self.kinds.append(kind)
            if kind is ListKind.COMPLETE:
                self.states = {}
            for entry in entries:
                self.states[entry.office] = entry.state
                if entry.state is OfficeState.GONE:
                    del self.states[entry.office]

    def receive(
        self,
        registry: str,
        *instances: Instance,
        full: bool = True,
        after: float = 1.0,
        clock_ms: int | None = None,
    ) -> dict[int, str]:
        self.now += int(after * SECOND)
        clock_ms = REGISTRY_NOW_MS + (self.now - NOW) // 1_000_000 if clock_ms is None else clock_ms
        self.apply(
            self.view.on_snapshot(
                self.now, registry, Snapshot({i.id: i for i in instances}, {}, full, clock_ms)
            )
        )
        return {int(o.rpartition(":")[2]) - 6000: s.name for o, s in self.states.items()}

    def started(self, number: int) -> int:
        return self.view.reported[f"127.0.0.1:{6000 + number}"].started


def make_instances(*numbers: int, **fields: Any) -> list[Instance]:
    return [make_instance(f"x{n}", **fields) for n in numbers]


SIX_UP = dict.fromkeys(range(6), "UP")


def test_closing_status_of_any_registry_takes_effect_at_once() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(6)))
    assert recorder.receive("two", *make_instances(*range(6))) == SIX_UP
    down = [
        make_instance("x1", Status.DOWN, dirty_ms=101),
        make_instance("x2", Status.OUT_OF_SERVICE, dirty_ms=101),
    ]
    assert recorder.receive("two", *make_instances(0, 3, 4, 5), *down) == SIX_UP | {
        1: "DRAINING",
        2: "DRAINING",
    }
    assert recorder.receive("one", *make_instances(*range(6)))[1] == "DRAINING", (
        "a lagging peer's older report does not reopen it"
    )
    assert recorder.receive("two", *make_instances(0, 3, 4, 5)) == {0: "UP", 3: "UP", 4: "UP", 5: "UP"}
    assert 1 not in recorder.receive("one", *make_instances(*range(6))), (
        "a lagging peer does not bring back a departed instance"
    )
    assert (
        recorder.receive(
            "one", make_instance("x1", dirty_ms=300, started_ms=REGISTRY_NOW_MS), *make_instances(0, 3, 4, 5)
        )[1]
        == "UP"
    ), "a new incarnation brings it back"


def test_departed_instance_returns_after_repeated_lease_renewals() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(6), renewed_ms=1000))
    recorder.receive("two", *make_instances(*range(6), renewed_ms=1000))
    assert 3 not in recorder.receive("two", *make_instances(0, 1, 2, 4, 5, renewed_ms=1000))
    for renewed_ms, returns in ((5000, False), (5000, False), (7000, False), (9000, True)):
        assert (3 in recorder.receive("one", *make_instances(*range(6), renewed_ms=renewed_ms))) is returns, (
            renewed_ms
        )
    assert recorder.view.counts["alive after all"] == 1


def test_mass_departure_is_accepted_only_after_another_registry_confirms() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(6)))
    recorder.receive("two", *make_instances(*range(6)))
    assert recorder.receive("one", *make_instances(0, 1)) == SIX_UP and recorder.view.second_opinion_wanted, (
        "four of six missing: the other registry has to be polled"
    )
    assert recorder.receive("two", *make_instances(*range(6))) == SIX_UP, (
        "the other registry still lists all six"
    )
    assert recorder.receive("one", *make_instances(*range(6))) == SIX_UP
    recorder.receive("one", *make_instances(0, 1))
    assert recorder.receive("two", *make_instances(0, 1)) == {0: "UP", 1: "UP"}, (
        "the other registry confirms the departures"
    )


def test_departures_in_batches_count_as_one_mass_departure() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(8)))
    assert len(recorder.receive("one", *make_instances(*range(2, 8)))) == 6, (
        "a departure of two of eight is accepted"
    )
    assert len(recorder.receive("one", *make_instances(*range(5, 8)))) == 6, (
        "three more at once make five of eight, a mass departure"
    )
    recorder.now += 91 * SECOND
    assert len(recorder.receive("one", *make_instances(*range(5, 8)))) == 3, (
        "accepted after the hold time without contradiction"
    )


def test_restart_under_a_new_id_does_not_count_as_a_loss() -> None:
    """In a rolling restart within seconds each departure takes effect at once."""
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(6)))
    current = {n: make_instance(f"x{n}") for n in range(6)}
    for n in range(6):
        previous = current.pop(n)
        assert n not in recorder.receive("one", *current.values()), n
        current[n] = make_instance(
            f"new{n}", number=n, started_ms=REGISTRY_NOW_MS, dirty_ms=500, address=previous.address
        )
        assert recorder.receive("one", *current.values())[n] == "UP"


def test_empty_list_and_registry_failure_change_nothing() -> None:
    recorder = ListRecorder()
    assert recorder.receive("one") == {} and not recorder.kinds, (
        "the configured exchanges stay until the first list"
    )
    recorder.receive("one", *make_instances(*range(6)))
    for after in (1, 100, 1000):
        assert recorder.receive("one", after=after) == SIX_UP
    recorder.apply(recorder.view.on_failure(recorder.now, "one", "silent"))
    assert recorder.kinds[-1] is ListKind.FAILED and len(recorder.states) == 6
    recorder.apply(recorder.view.on_timer(recorder.now + 3600 * SECOND))
    assert recorder.kinds.count(ListKind.FAILED) == 1 and len(recorder.states) == 6
    recorder.receive("one", *make_instances(*range(6)))
    assert recorder.kinds[-1:] == [ListKind.COMPLETE], (
        "recovery is reported by a complete list although nothing has changed"
    )
    assert recorder.receive("one", *make_instances(*range(5))) == dict.fromkeys(range(5), "UP"), (
        "a departure after the recovery takes effect"
    )


def test_instance_listed_only_by_a_long_silent_registry_is_dropped() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(6)))
    recorder.receive("two", *make_instances(*range(5)))
    recorder.apply(recorder.view.on_failure(recorder.now, "one", "silent"))
    assert recorder.receive("two", *make_instances(*range(5)), after=80) == SIX_UP
    assert 5 not in recorder.receive("two", *make_instances(*range(5)), after=20)


def test_first_list_after_failover_removes_departed_instances() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(5)))
    recorder.receive("one", *make_instances(*range(6)), after=40)
    recorder.apply(recorder.view.on_failure(recorder.now, "one", "silent"))
    five = dict.fromkeys(range(1, 6), "UP")
    assert recorder.receive("two", *make_instances(1, 2, 3, 4)) == five, (
        "exchange 5 is young and may not have been replicated yet"
    )
    recorder.apply(recorder.view.on_failure(recorder.now, "two", "silent"))
    assert recorder.receive("three", after=40) == five, "an empty table after a failover changes nothing"


def test_expired_lease_is_a_departure_unless_most_have_expired() -> None:
    recorder = ListRecorder()
    renewed = make_instances(0, 1, 2, 3, renewed_ms=REGISTRY_NOW_MS, lease_ms=90_000)
    expired = make_instance(
        "x4", renewed_ms=REGISTRY_NOW_MS - 90_000 * LEASE_EXPIRY_FACTOR - 5000, lease_ms=90_000
    )
    assert recorder.receive("one", *renewed, expired) == dict.fromkeys(range(4), "UP")
    assert 4 not in recorder.receive("one", *renewed, expired, full=False), (
        "a delta does not bring back an instance with an expired lease"
    )
    all_expired = ListRecorder()
    assert (
        len(all_expired.receive("one", *make_instances(0, 1, 2, 3, renewed_ms=1000, lease_ms=90_000))) == 4
    ), "all have expired: the registry receives no renewals"


def test_start_time_is_bounded_by_registry_clock_and_previous_incarnation() -> None:
    recorder = ListRecorder()
    recorder.receive("one", make_instance("x1", started_ms=REGISTRY_NOW_MS - 5000))
    assert recorder.now - recorder.started(1) == 6 * SECOND, "the age is computed by the registry's clock"
    recorder.receive(
        "one",
        make_instance("x1", started_ms=REGISTRY_NOW_MS - 1000, dirty_ms=200),
        clock_ms=REGISTRY_NOW_MS + 9_000_000,
    )
    assert recorder.now - recorder.started(1) == SECOND, (
        "the start is no earlier than the last listing of the previous incarnation"
    )
    recorder.receive("one", make_instance("x2", started_ms=REGISTRY_NOW_MS + 9_000_000))
    assert recorder.started(2) == recorder.now, "a start in the future counts as now"
    recorder.receive(
        "one",
        make_instance("y1", started_ms=REGISTRY_NOW_MS, dirty_ms=300, address="127.0.0.1:6001", number=1),
        after=4,
    )
    assert recorder.now - recorder.started(1) == 5 * SECOND, (
        "a new id at a known address started after the old id was last listed"
    )


def test_report_with_later_dirty_timestamp_wins_despite_earlier_start() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(1, 2, dirty_ms=100))
    assert recorder.receive(
        "one", make_instance("x1", Status.DOWN, dirty_ms=101, started_ms=7), *make_instances(2)
    ) == {1: "DRAINING", 2: "UP"}


def test_new_id_with_a_known_exchange_number_replaces_the_old_one_at_its_address() -> None:
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(1, 2, 3))
    new = make_instance("new", number=1, started_ms=REGISTRY_NOW_MS, dirty_ms=500, address="127.0.0.1:6001")
    assert recorder.receive("one", *make_instances(1, 2, 3), new) == {1: "UP", 2: "UP", 3: "UP"}
    assert (
        recorder.receive("one", make_instance("x1", Status.DOWN, dirty_ms=501), *make_instances(2, 3), new)[1]
        == "UP"
    ), "a status of the old id does not affect the new one"
    assert recorder.receive("one", *make_instances(2, 3), new)[1] == "UP"
    elsewhere = make_instance(
        "else", number=1, started_ms=REGISTRY_NOW_MS, dirty_ms=500, address="127.0.0.1:6009"
    )
    assert set(recorder.receive("one", *make_instances(2, 3), new, elsewhere)) == {1, 2, 3, 9}, (
        "two addresses with the same number are both listed; the routing module decides"
    )


@pytest.mark.parametrize(
    "metadata, message",
    [
        ({}, "metadata exchange: found ''"),
        ({"exchange": "-1", "district": "0", "started": "1"}, "found '-1'"),
        ({"exchange": "70000", "district": "0", "started": "1"}, "allowed: 0 to 65535"),
        ({"exchange": "1", "district": "north", "started": "1"}, "metadata district: found 'north'"),
        ({"exchange": "1", "district": "0", "started": "1.5e9"}, "metadata started"),
        ({"exchange": "²", "district": "0", "started": "1"}, "metadata exchange"),
    ],
)  # fmt: skip
def test_malformed_metadata_skips_only_that_instance(metadata: dict[str, str], message: str) -> None:
    recorder = ListRecorder()
    for _ in range(3):
        assert recorder.receive("one", make_instance("bad", metadata=metadata), *make_instances(1, 2)) == {
            1: "UP",
            2: "UP",
        }
    skipped = [note for note in recorder.view.notes if note.event == "instance skipped"]
    assert len(skipped) == 1 and message in skipped[0].fields["why"], (
        "the fault is logged once, not at each response"
    )
    assert recorder.view.counts["instances skipped"] == 3


def test_first_list_lacking_most_configured_exchanges_does_not_replace_them() -> None:
    configured = [OfficeEntry(f"127.0.0.1:{6000 + n}", n, OfficeState.UP) for n in range(6)]
    view = View(Policy(), configured)
    snapshot = Snapshot({i.id: i for i in make_instances(0)}, {}, True, REGISTRY_NOW_MS)
    assert [kind for kind, _ in view.on_snapshot(NOW, "one", snapshot)] == [ListKind.CHANGES]
    complete = Snapshot({i.id: i for i in make_instances(0, 1, 2, 3)}, {}, True, REGISTRY_NOW_MS)
    ((kind, entries),) = view.on_snapshot(NOW + SECOND, "one", complete)
    assert kind is ListKind.COMPLETE and len(entries) == 4


@given(st.lists(st.tuples(
    st.sampled_from(["one", "two"]), st.sets(st.integers(0, 5)), st.sets(st.integers(0, 5), max_size=2),
    st.booleans(), st.sampled_from([0.5, 3.0, 40.0, 95.0])), max_size=25))  # fmt: skip
def test_list_invariants_hold_for_any_sequence_of_answers(
    answers: list[tuple[str, set[int], set[int], bool, float]],
) -> None:
    """The updates add up to the view's list, instances that were always listed UP stay UP, and one that is
    reported DOWN is not UP.
    """
    recorder = ListRecorder()
    recorder.receive("one", *make_instances(*range(6)))
    recorder.receive("two", *make_instances(*range(6)))
    always = set(range(6))
    for registry, listed, down, silent, after in answers:
        always &= listed - down
        if silent:
            recorder.now += int(after * SECOND)
            recorder.apply(recorder.view.on_failure(recorder.now, registry, "silent"))
        else:
            recorder.receive(
                registry,
                *[make_instance(f"x{n}", Status.DOWN if n in down else Status.UP) for n in listed],
                after=after,
            )
            for n in down & listed:
                assert recorder.states.get(f"127.0.0.1:{6000 + n}") is not OfficeState.UP
        assert recorder.states == {e.office: e.state for e in recorder.view.entries()}
        assert all(recorder.states.get(f"127.0.0.1:{6000 + n}") is OfficeState.UP for n in always)
        assert recorder.states or not always


# -- poll schedule, list selection, lease ------------------------------------------------------------------


def test_followers_share_no_address_while_another_is_free() -> None:
    addresses = AddressPool(["a", "b", "c"])
    assert (addresses.pick(0), addresses.pick(1)) == ("a", "b")
    addresses.mark_failed(10, "a")
    assert addresses.pick(0) == "c" and addresses.pick(1) == "b"
    addresses.mark_failed(20, "c")
    assert addresses.pick(0) == "a", "the address whose failure is the oldest is chosen"


def test_full_lists_get_rarer_while_the_hash_never_matches() -> None:
    schedule, now, full_polls = PollSchedule(SECOND, 0, Random(1)), 0, []
    assert schedule.next_kind(0, "a") is PollKind.FULL
    for poll in range(200):
        kind = schedule.next_kind(now, "a")
        full_polls += [poll] if kind is PollKind.FULL else []
        schedule.on_response(now, "a", kind, hash_matches=False)
        now += SECOND
    assert (
        5 <= len(full_polls) <= 12
        and max(following - previous for previous, following in zip(full_polls, full_polls[1:], strict=False))
        <= MAX_FULL_GAP_POLLS
    )
    schedule.on_response(now, "a", PollKind.FULL, hash_matches=True)
    assert schedule.next_kind(now + SECOND, "a") is PollKind.DELTA
    assert schedule.next_kind(now + SECOND, "b") is PollKind.FULL, (
        "a full list is needed because the table came from another registry"
    )


def test_failed_polls_back_off_with_jitter_and_recovery_spreads_clients() -> None:
    schedules = [PollSchedule(SECOND, 0, Random(n)) for n in range(60)]
    waits = [
        [schedule.on_failure(address_changed=False) / SECOND for _ in range(6)] for schedule in schedules
    ]
    assert all(0.5 <= series[0] <= 1 and 2 <= series[-1] <= 4 for series in waits)
    after_recovery = sorted(
        schedule.on_response(0, "a", PollKind.DELTA, True) / SECOND for schedule in schedules
    )
    assert 0.5 <= after_recovery[0] < 0.6 and 1.4 < after_recovery[-1] <= 1.5, (
        "the polls after a recovery are spread"
    )
    schedule = schedules[0]
    assert (
        schedule.expedite(SECOND)
        and not schedule.expedite(SECOND + 5)
        and schedule.next_kind(SECOND, "a") is PollKind.FULL
    )


def test_fallback_list_is_in_force_only_while_the_primary_fails() -> None:
    choice = SourceSelector("registry", 5 * SECOND)
    a, b = OfficeEntry("h:1", 1, OfficeState.UP), OfficeEntry("h:2", 2, OfficeState.UP)
    assert (
        choice.on_update(0, "register", ListKind.COMPLETE, (b,)) == []
        and choice.next_fallback_at() == 5 * SECOND
    )
    assert choice.on_update(1, "registry", ListKind.COMPLETE, (a,)) == [(ListKind.COMPLETE, (a,))]
    assert choice.next_fallback_at() is None
    assert choice.on_update(SECOND, "registry", ListKind.FAILED, ()) == [(ListKind.FAILED, ())]
    assert choice.check_fallback(2 * SECOND) == [] and choice.check_fallback(6 * SECOND) == [
        (ListKind.COMPLETE, (b,))
    ]
    gone = OfficeEntry("h:2", 2, OfficeState.GONE)
    assert choice.on_update(7 * SECOND, "register", ListKind.CHANGES, (gone,)) == [
        (ListKind.CHANGES, (gone,))
    ]
    assert choice.on_update(8 * SECOND, "registry", ListKind.CHANGES, (b,)) == [(ListKind.COMPLETE, (a, b))]
    assert not choice.on_fallback and choice.on_update(9 * SECOND, "register", ListKind.CHANGES, (b,)) == []


def test_lease_from_registration_to_deregistration() -> None:
    lease = Lease(Registration("CALLS", "s 1", "h", 1, "v", 30, 90, {}), Random(1), 1000)
    assert lease.next_request() is not None and lease.next_request().method == "POST"  # type: ignore[union-attr]
    lease.on_failure(0)
    assert 0 < lease.next_request_at < 4 * SECOND, "the retry comes long before a renewal is due"
    lease.on_response(0, 204, 1000)
    request = lease.next_request()
    assert request is not None and (request.method, request.path) == (
        "PUT", "/apps/CALLS/s%201?status=UP&lastDirtyTimestamp=1000",
    )  # fmt: skip
    lease.on_response(0, 200, 2000)
    lease.on_response(0, 500, 2000)
    assert lease.state is LeaseState.HELD
    lease.on_response(0, 404, 3000)
    assert (lease.state, lease.dirty_ms) == (LeaseState.NEW, 3000), (
        "after a 404 it is registered again with a later lastDirtyTimestamp"
    )
    lease.on_response(0, 204, 3000)
    lease.leave(0, 2000)
    request = lease.next_request()
    assert request is not None and b'"DOWN"' in request.body and lease.dirty_ms == 3001, (
        "lastDirtyTimestamp grows although the wall clock was set back"
    )
    lease.on_response(0, 204, 0)
    assert lease.next_request().method == "DELETE"  # type: ignore[union-attr]
    lease.on_response(0, 404, 0)
    assert lease.next_request() is None
