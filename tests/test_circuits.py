"""Circuits of a trunk group: counts stay exact, and no circuit is lost or held by two owners."""

from __future__ import annotations

from dataclasses import dataclass

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from eiderstep.engine.circuits import TrunkGroup, circuits_in_ranges, read_ranges, write_ranges


@dataclass(eq=False)
class Holder:
    seized_here: bool = True
    releasing: bool = False
    circuits: tuple[int, ...] = ()


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["seize", "claim", "release", "block", "unblock", "leave", "resize"]),
        st.integers(0, 10**6),
    ),
    max_size=120,
)


@settings(derandomize=True, max_examples=250, deadline=None)
@given(STEPS, st.integers(0, 12), st.booleans())
def test_whatever_happens_the_counts_are_exact(steps: list[tuple[str, int]], size: int, higher: bool) -> None:
    ledger = TrunkGroup(size, 5 if higher else 1, 3)
    holders: list[Holder] = []
    for what, pick in steps:
        circuits = {pick % max(size, 1), (pick // 7) % max(size, 1)}
        if what == "seize":
            holder = Holder()
            wanted = pick % 3 + 1
            before = ledger.free
            holder.circuits = ledger.seize(wanted, holder)
            assert len(holder.circuits) == (wanted if before >= wanted else 0)
            assert all(ledger.busy[c] is holder and c not in ledger.blocked for c in holder.circuits)
            holders += [holder] if holder.circuits else []
        elif what == "claim" and size:
            holder = Holder(seized_here=False, circuits=tuple(circuits))
            held, losers = ledger.claim(holder.circuits, holder)
            if held:
                holders.append(holder)
                assert all(ledger.busy[c] is holder for c in holder.circuits)
            assert all(isinstance(x, Holder) and (x.releasing or x.seized_here) for x in losers)
        elif what == "release" and holders:
            holder = holders.pop(pick % len(holders))
            ledger.release(holder.circuits, holder)
            assert holder not in ledger.owners() and all(holder not in y for y in ledger.yielded.values())
        elif what == "leave" and holders:
            holders[pick % len(holders)].releasing = True
        elif what == "block" and size:
            ledger.block(circuits)
        elif what == "unblock":
            ledger.unblock(circuits)
        elif what == "resize":
            size = pick % 14
            ledger.resize(size)
            assert all(c < size for c in range(ledger.total) if c not in ledger.blocked)
        usable = [c for c in range(ledger.total) if c not in ledger.busy and c not in ledger.blocked]
        assert ledger.free == len(usable) and ledger.size == ledger.total - len(ledger.blocked)
        assert set(usable) <= ledger._in_heaps, "a free circuit that nobody can find"
        assert len(ledger._controlled) + len(ledger._uncontrolled) <= ledger.total, "the lists do not grow"
    for holder in holders:
        ledger.release(holder.circuits, holder)
    ledger.unblock(list(ledger.blocked))
    assert not ledger.busy and not ledger.yielded and ledger.free == size
    assert len(ledger.seize(size, Holder())) == size if size else True


def test_removed_circuits_keep_their_calls_and_are_not_seized_again() -> None:
    group = TrunkGroup(6, 5, 3)
    holders = [Holder() for _ in range(3)]
    for holder in holders:
        holder.circuits = group.seize(2, holder)
    group.resize(3)
    assert (group.size, group.free) == (3, 0) and len(group.busy) == 6, "no call is cut"
    for holder in holders:
        group.release(holder.circuits, holder)
    assert group.free == 3 and sorted(group.seize(3, Holder())) == [0, 1, 2]
    group.unblock(range(6))
    assert group.size == 3, "unblocking by the far end does not restore removed circuits"
    group.resize(9)
    assert (group.size, group.free) == (9, 6)
    assert sorted(group.seize(6, Holder())) == [3, 4, 5, 6, 7, 8]


def test_owner_gets_a_yielded_circuit_back_when_the_claimant_releases_it() -> None:
    # Guards against a circuit that is free here, after the claimant has released it, while the far end has
    # accepted the set-up of the earlier owner on it.
    group = TrunkGroup(2, 1, 3)  # the far end has the higher number and controls the even circuit
    own_holder, far_holder = Holder(), Holder(seized_here=False)
    assert group.seize(2, own_holder) == (1, 0)
    assert group.claim([0], far_holder) == (True, [own_holder])
    group.release([0], far_holder)
    assert group.free == 0 and group.busy[0] is own_holder
    group.release([1, 0], own_holder)
    assert group.free == 2


def test_claim_takes_a_circuit_whose_release_is_not_answered_yet() -> None:
    group = TrunkGroup(2, 1, 3)
    own_holder, far_holder = Holder(), Holder(seized_here=False)
    group.seize(1, own_holder)
    assert group.claim([1], far_holder) == (False, []), "this end controls circuit 1"
    own_holder.releasing = True
    assert group.claim([1], far_holder)[0]
    group.release([1], own_holder)
    assert group.busy[1] is far_holder and group.free == 1


@pytest.mark.parametrize("text", ["", "x", "3-1", "1,,2", "-1", "70000"])
def test_malformed_ranges_raise_value_error(text: str) -> None:
    with pytest.raises(ValueError):
        read_ranges(text)


@given(st.sets(st.integers(0, 60), min_size=1))
def test_written_ranges_are_read_back(circuits: set[int]) -> None:
    assert circuits_in_ranges(read_ranges(write_ranges(circuits)), 61) == circuits
