"""Merges what several registries say, which may disagree, lose entries, go back in time or stop answering.

Input: snapshots of the followed registries, failures to reach them, and the time.  Output: list updates for
the routing module and notes for the log.  No I/O, no clock.  The rules, with the failure that each prevents
and its cost:

1.  *A closing status or a departure takes effect at once, whichever registry reports it.*  DOWN,
    OUT_OF_SERVICE and departures reach one registry first and its peers only later; waiting for a majority
    would send new calls to exchanges that have left.  Cost: a registry that drops live instances takes them
    out of service until rule 3 brings them back.
2.  *The latest incarnation counts.*  Of two reports on one instance, the one with the later
    `lastDirtyTimestamp` (the instance's own clock) holds; of two instances at one address, the one that
    started later.  Otherwise a lagging peer, or a cache that goes back in time, would bring back instances
    that have left.  Cost: if an instance's clock is set back at its restart, its old incarnation counts until
    its lease expires.
3.  *A departed instance returns only on evidence*: a later incarnation (rule 2), or a lease that one
    registry's own figures show renewed `RENEWALS_TO_RETURN` times after the departure.  This prevents the
    failure of rule 2 where no newer report exists.  Cost: a live instance that was dropped stays out for as
    many renewals.
4.  *A mass departure is attributed to the registry, not to the exchanges.*  Absences without a closing status
    that take more than `loss_share` of the instances that are up within `LOSS_WINDOW` are held back until
    another registry agrees or `hold` has passed, and the registries are polled at once.  An empty response is
    never accepted.  Otherwise a registry that restarted empty, or lost its own network, would remove every
    exchange.  Cost: if most exchanges do leave at once without a closing status, calls sent to them fail
    until then, and only the routing module's circuit breaker detects it.
5.  *A registry that does not answer changes nothing.*  The last list stays, so that a registry outage does
    not become an outage of this call server.  Cost: exchanges that leave meanwhile stay listed, as in
    rule 4.  An instance listed only by a registry that has not answered for longer than `hold` is dropped
    once another registry answers and does not list it.
6.  *A lease that expired long ago is a departure*, by the registry's own clock (`LEASE_EXPIRY_FACTOR` times
    the lease's duration), unless that holds for most instances (rule 4).  Otherwise a registry that stopped
    evicting would list departed instances for ever.  Cost: a registry that does not report renewals promptly
    needs longer lease durations.
7.  *The age of an instance is bounded*: by the registry's clock, and by the last time that its previous
    incarnation was listed.  Otherwise an exchange whose clock is behind would count as warm and be
    overloaded.  Cost: small; an exchange may count as cold for one poll longer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from eiderstep.interface import ListKind, OfficeEntry, OfficeState
from eiderstep.registry.model import Instance, Status
from eiderstep.registry.table import Snapshot

MS, SECOND = 1_000_000, 1_000_000_000
RENEWALS_TO_RETURN = 2  # one renewal from before the departure can still arrive after it from a replica
LEASE_EXPIRY_FACTOR = 2  # Eureka itself evicts a lease only after twice its duration
REPLICATION_DELAY = 30 * SECOND  # every replica lists a new instance by then: one poll of Eureka's caches
LOSS_WINDOW = 10 * SECOND  # Eureka evicts in batches: losses this close together count as one
MAX_INCARNATIONS = 100_000  # held in memory, including the departed
MAX_NUMBER = 65535

ListUpdate = tuple[ListKind, tuple[OfficeEntry, ...]]


@dataclass(frozen=True)
class Policy:
    """Parameters from the settings.  `hold` in ns."""

    number_key: str = "exchange"
    district_key: str = "district"
    started_key: str = "started"
    loss_share: float = 0.5
    loss_least: int = 2  # up to this many may leave at once, whatever their share
    hold: int = 90 * SECOND


@dataclass(frozen=True)
class LogNote:
    """An entry for the log."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Processor:
    """An exchange's processor, as parsed from an instance.  `started_ms`: its start by its own clock."""

    id: str
    office: str
    number: int
    zone: int
    started_ms: int
    instance: Instance

    @property
    def revision(self) -> tuple[int, int]:
        """Orders the reports on one instance: the greater is the later."""
        return self.instance.dirty_ms, self.started_ms


def parse_processor(found: Instance, policy: Policy) -> Processor | str:
    """The instance as a processor, or a description of what is wrong with it."""
    if not found.address:
        return "no address with a valid host and port"
    values = []
    for key, top in (
        (policy.number_key, MAX_NUMBER), (policy.district_key, MAX_NUMBER), (policy.started_key, 2**53),
    ):  # fmt: skip
        text = found.metadata.get(key, "")
        if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= top):
            return f"metadata {key}: found {text[:40]!r}; allowed: 0 to {top}"
        values.append(int(text))
    return Processor(found.id, found.address, values[0], values[1], values[2], found)


@dataclass(slots=True)
class Incarnation:
    """One run of an instance from start to departure, and which registries have closed it.  Times in ns."""

    latest: Processor
    started: int  # on the local clock, 0 if before the clock's origin
    listed_at: int  # when any registry last listed it
    closed_by: dict[str, Status | None] = field(default_factory=dict)  # by registry; None: it has departed
    first_listed_at: int = 0
    # Since the departure, by registry: the last renewal time (ms) and the number of renewals.
    renewals: dict[str, tuple[int, int]] = field(default_factory=dict)
    lost_at: int = 0  # when it departed without a closing status, 0 otherwise
    was_up: bool = False

    @property
    def departed(self) -> bool:
        return any(status is None for status in self.closed_by.values())

    @property
    def up(self) -> bool:
        return not self.closed_by


@dataclass
class RegistryState:
    """What one registry lists, and whether it answers.  Times in ns, -1 for never."""

    listed: dict[str, Processor] = field(default_factory=dict)
    expired: dict[str, int] = field(default_factory=dict)  # expired leases: id to the last renewal time (ms)
    unconfirmed: dict[str, int] = field(default_factory=dict)  # ids missing in a mass departure, since when
    answered_at: int = -1
    has_full_list: bool = False
    silent_since: int = -1  # when it stopped answering; -1 while it answers
    failure: str = ""

    @property
    def answers(self) -> bool:
        return self.answered_at >= 0 and self.silent_since < 0


class View:
    """The merged list.  `configured`: the exchanges in the settings, in force until the first list."""

    def __init__(self, policy: Policy, configured: Iterable[OfficeEntry] = ()) -> None:
        self.policy = policy
        self.configured = {entry.office: entry for entry in configured}
        self.registries: dict[str, RegistryState] = {}
        self.incarnations: dict[str, Incarnation] = {}  # by instance id
        self.ids_by_address: dict[str, dict[str, int]] = {}  # every id ever listed there, and when last
        self.reported: dict[str, OfficeEntry] = {}
        self.complete_reported = False  # whether a complete list has been reported
        self.first_list_at = -1
        self.all_failed = False
        self.second_opinion_wanted = False  # the client clears it and polls the registries
        self.notes: list[LogNote] = []
        self.counts: dict[str, int] = {}
        self._logged_faults: dict[str, str] = {}

    # -- inputs --------------------------------------------------------------------------------------------

    def on_snapshot(self, now: int, name: str, snapshot: Snapshot) -> list[ListUpdate]:
        """Takes the state of the registry `name` after a response."""
        registry = self.registries.setdefault(name, RegistryState())
        registry.answered_at, registry.silent_since, registry.failure = now, -1, ""
        recovered, self.all_failed = self.all_failed, False
        listed = self._parse_listed(snapshot)
        before = registry.listed
        if snapshot.full:
            registry.expired = self._expired_leases(listed, snapshot.clock_ms)
        for instance_id, renewed_ms in list(registry.expired.items()):
            found = listed.get(instance_id)
            if found is None or found.instance.renewed_ms > renewed_ms:
                del registry.expired[instance_id]
            else:
                del listed[instance_id]
        registry.listed = listed
        for processor in listed.values():
            registry.unconfirmed.pop(processor.id, None)
            self._update_incarnation(now, name, processor, snapshot)
        missing = [processor for processor in before.values() if processor.id not in listed]
        if snapshot.full and not registry.has_full_list:
            registry.has_full_list = True
            missing += self._absent_from_first_list(now, listed)
        self._handle_missing(now, name, registry, missing)
        updates = self._resolve_pending(now)
        if recovered and self.complete_reported:
            # After a FAILED update, SourceSelector waits for a complete list even if nothing has changed.
            return [(ListKind.COMPLETE, self.entries())]
        return updates

    def on_failure(self, now: int, name: str, reason: str) -> list[ListUpdate]:
        """Records that the registry `name` could not be asked or that its response was unusable."""
        registry = self.registries.setdefault(name, RegistryState())
        registry.failure = reason
        if registry.silent_since < 0:
            registry.silent_since = now
        updates = self._resolve_pending(now)
        if not self.all_failed and not any(r.answers for r in self.registries.values()):
            self.all_failed = True
            updates.append((ListKind.FAILED, ()))
        return updates

    def on_timer(self, now: int) -> list[ListUpdate]:
        """Applies the time limits that have passed."""
        return self._resolve_pending(now)

    def next_timer(self) -> int | None:
        """When `on_timer` has to be called next (ns)."""
        hold = self.policy.hold
        answering = [r for r in self.registries.values() if r.answers and r.listed]
        times = [since + hold for r in answering for since in r.unconfirmed.values()]
        times += [r.silent_since + hold for r in self.registries.values() if r.silent_since >= 0 and r.listed]
        if self.first_list_at >= 0 and not self.complete_reported:
            times.append(self.first_list_at + hold)
        return min(times, default=None)

    def entries(self) -> tuple[OfficeEntry, ...]:
        """The list in force, sorted by address."""
        return tuple(self.reported[office] for office in sorted(self.reported))

    # -- one snapshot --------------------------------------------------------------------------------------

    def _absent_from_first_list(self, now: int, listed: dict[str, Processor]) -> list[Processor]:
        """The instances that the first full list of a registry lacks, although others have long listed them.

        Without this, what the previous registry said before a failover would keep instances for ever that
        left meanwhile.  Instances younger than `REPLICATION_DELAY` are excepted: they may not have reached
        this registry yet.  The cost is that of rule 1.
        """
        return [
            incarnation.latest
            for incarnation in self._latest_by_address().values()
            if incarnation.up
            and incarnation.latest.id not in listed
            and now - incarnation.first_listed_at >= REPLICATION_DELAY
        ]

    def _parse_listed(self, snapshot: Snapshot) -> dict[str, Processor]:
        listed: dict[str, Processor] = {}
        for found in snapshot.instances.values():
            parsed = parse_processor(found, self.policy)
            if isinstance(parsed, Processor):
                listed[parsed.id] = parsed
                continue
            self._count("instances skipped")
            if self._logged_faults.get(found.id) != parsed:  # logged once per fault, not at each poll
                if len(self._logged_faults) > MAX_INCARNATIONS:
                    self._logged_faults.clear()
                self._logged_faults[found.id] = parsed
                self._note("instance skipped", id=found.id, why=parsed)
        return listed

    def _expired_leases(self, listed: dict[str, Processor], clock_ms: int) -> dict[str, int]:
        """Rule 6: id to last renewal time, by the times of one response alone."""
        expired = {
            processor.id: processor.instance.renewed_ms
            for processor in listed.values()
            if processor.instance.renewed_ms and processor.instance.lease_ms
            and clock_ms - processor.instance.renewed_ms > LEASE_EXPIRY_FACTOR * processor.instance.lease_ms
        }  # fmt: skip
        if self._is_mass_departure(len(expired), len(listed)):
            self._note("most leases expired, ignored: registry receives no renewals", leases=len(expired))
            return {}
        return expired

    def _update_incarnation(self, now: int, name: str, processor: Processor, snapshot: Snapshot) -> None:
        incarnation = self.incarnations.get(processor.id)
        found = processor.instance
        if incarnation is None or processor.revision > incarnation.latest.revision:
            if incarnation is None or processor.started_ms != incarnation.latest.started_ms:
                was_up = incarnation is not None and incarnation.was_up
                started = self._start_time(now, processor, snapshot.clock_ms, incarnation)
                incarnation = self.incarnations[processor.id] = Incarnation(
                    processor, started, now, first_listed_at=now, was_up=was_up
                )
                self._limit_incarnations(now)
            incarnation.latest = processor
            incarnation.closed_by.clear()
            incarnation.renewals.clear()
            incarnation.lost_at = 0
        elif processor.revision < incarnation.latest.revision:
            self._count("stale words")
            return
        incarnation.listed_at = now
        self.ids_by_address.setdefault(processor.office, {})[processor.id] = now
        if found.status is Status.UNKNOWN:
            return  # the registry does not know the status: the previous one stays
        if found.status is not Status.UP:
            if incarnation.closed_by.get(name, found.status) is not None:
                incarnation.closed_by[name] = found.status
            return
        if incarnation.departed:
            self._count_renewal(name, incarnation, found.renewed_ms)
        else:
            incarnation.closed_by.pop(name, None)
        incarnation.was_up = incarnation.was_up or incarnation.up

    def _count_renewal(self, name: str, incarnation: Incarnation, renewed_ms: int) -> None:
        """Rule 3.  The first renewal time seen after the departure is only the base of the count."""
        last_ms, renewals = incarnation.renewals.get(name, (renewed_ms, 0))
        if renewed_ms > last_ms:
            last_ms, renewals = renewed_ms, renewals + 1
        incarnation.renewals[name] = (last_ms, renewals)
        if renewals >= RENEWALS_TO_RETURN:
            incarnation.closed_by = {
                closing: status for closing, status in incarnation.closed_by.items() if status is not None
            }
            incarnation.renewals.clear()
            incarnation.lost_at = 0
            self._count("alive after all")
            self._note(
                "departed instance restored by lease renewals",
                id=incarnation.latest.id, exchange=incarnation.latest.number, registry=name,
            )  # fmt: skip

    def _start_time(self, now: int, processor: Processor, clock_ms: int, previous: Incarnation | None) -> int:
        """Rule 7: the start in ns of the local clock, or 0 if it was before that clock's origin."""
        age = max(clock_ms - processor.started_ms, 0) * MS if clock_ms else 0
        for other_id, listed_at in self.ids_by_address.get(processor.office, {}).items():
            if other_id != processor.id:
                age = min(age, now - listed_at)
        if previous is not None:
            age = min(age, now - previous.listed_at)
        return max(now - age, 0)

    def _is_mass_departure(self, lost: int, total: int) -> bool:
        """Whether so many departures at once point to a fault of the registry (rule 4)."""
        return lost > self.policy.loss_least and lost > self.policy.loss_share * total

    # -- departures ----------------------------------------------------------------------------------------

    def _handle_missing(self, now: int, name: str, registry: RegistryState, missing: list[Processor]) -> None:
        """Applies rules 1 and 4 to the instances that a registry no longer lists."""
        without_closing: list[Processor] = []
        after_closing: list[Processor] = []
        for processor in missing:
            incarnation = self.incarnations.get(processor.id)
            if incarnation is None or processor.revision < incarnation.latest.revision:
                continue  # the registry drops an earlier incarnation
            (without_closing if incarnation.up else after_closing).append(processor)
        for processor in after_closing:
            self.incarnations[processor.id].closed_by[name] = None
        if not without_closing:
            return
        # Counted by address: an exchange that has returned under a new id is not lost.
        up = sum(entry.state is OfficeState.UP for entry in self.reported.values())
        recent = sum(
            bool(incarnation.lost_at) and incarnation.departed and now - incarnation.lost_at <= LOSS_WINDOW
            and incarnation.latest.office not in self.reported
            for incarnation in self.incarnations.values()
        )  # fmt: skip
        if registry.listed and not self._is_mass_departure(len(without_closing) + recent, up + recent):
            for processor in without_closing:
                self._mark_departed(now, name, processor.id)
            return
        self.second_opinion_wanted = True
        self._count("losses doubted", len(without_closing))
        self._note(
            "mass departure not accepted yet", registry=name, lost=len(without_closing), of=up + recent
        )
        for processor in without_closing:
            registry.unconfirmed.setdefault(processor.id, now)

    def _mark_departed(self, now: int, name: str, instance_id: str) -> None:
        incarnation = self.incarnations[instance_id]
        if not incarnation.departed:
            incarnation.lost_at = now
        incarnation.closed_by[name] = None

    def _resolve_pending(self, now: int) -> list[ListUpdate]:
        """Settles unconfirmed departures and registries silent for too long, then reports what changed."""
        answering = {name: r for name, r in self.registries.items() if r.answers and r.listed}
        for name, registry in self.registries.items():
            for instance_id, since in list(registry.unconfirmed.items()):
                incarnation = self.incarnations.get(instance_id)
                others = [(o, r) for o, r in answering.items() if o != name and r.answered_at > since]
                confirmed_by = next((o for o, r in others if instance_id not in r.listed), "")
                hold_over = name in answering and now - since >= self.policy.hold
                if incarnation is None or not incarnation.up:
                    del registry.unconfirmed[instance_id]
                elif confirmed_by or hold_over:
                    del registry.unconfirmed[instance_id]
                    self._note(
                        "departure accepted",
                        exchange=incarnation.latest.number, why=confirmed_by or "hold time is over",
                    )  # fmt: skip
                    self._mark_departed(now, name, instance_id)
            if registry.silent_since >= 0 and now - registry.silent_since >= self.policy.hold and answering:
                self._discard_silent(now, name, registry, answering)
        return self._report(now)

    def _discard_silent(
        self, now: int, name: str, registry: RegistryState, answering: dict[str, RegistryState]
    ) -> None:
        """The end of rule 5: discards what a long-silent registry said, as another one answers."""
        for instance_id in registry.listed:
            if (
                not any(instance_id in r.listed or instance_id in r.unconfirmed for r in answering.values())
                and instance_id in self.incarnations
            ):
                self._mark_departed(now, name, instance_id)
        for instance_id, incarnation in self.incarnations.items():
            if incarnation.closed_by.get(name) is not None and any(
                instance_id in r.listed for r in answering.values()
            ):
                del incarnation.closed_by[name]
        registry.listed, registry.expired, registry.unconfirmed, registry.has_full_list = {}, {}, {}, False

    def _limit_incarnations(self, now: int) -> None:
        """Bounds the memory that ever-changing ids can take.

        Departed instances are removed once no registry can bring them back.
        """
        if len(self.incarnations) % 256 and len(self.incarnations) < MAX_INCARNATIONS:
            return
        listed = {instance_id for registry in self.registries.values() for instance_id in registry.listed}
        for instance_id, incarnation in list(self.incarnations.items()):
            if (
                incarnation.departed
                and instance_id not in listed
                and now - incarnation.listed_at > 2 * self.policy.hold
            ):
                self._remove(instance_id)
        while len(self.incarnations) > MAX_INCARNATIONS:
            self._remove(next(iter(self.incarnations)))

    def _remove(self, instance_id: str) -> None:
        office = self.incarnations.pop(instance_id).latest.office
        ids = self.ids_by_address.get(office, {})
        ids.pop(instance_id, None)
        if not ids:
            self.ids_by_address.pop(office, None)

    # -- the list ------------------------------------------------------------------------------------------

    def _latest_by_address(self) -> dict[str, Incarnation]:
        """For each address the incarnation that counts, which is the one that started last."""
        latest: dict[str, Incarnation] = {}
        for incarnation in self.incarnations.values():
            office = incarnation.latest.office
            rival = latest.get(office)
            key = (incarnation.latest.started_ms, incarnation.latest.instance.dirty_ms, incarnation.latest.id)
            if rival is None or key > (
                rival.latest.started_ms, rival.latest.instance.dirty_ms, rival.latest.id
            ):  # fmt: skip
                latest[office] = incarnation
        return latest

    def _current_entries(self) -> dict[str, OfficeEntry]:
        current: dict[str, OfficeEntry] = {}
        for office, incarnation in self._latest_by_address().items():
            if incarnation.departed or not (incarnation.up or incarnation.was_up):
                continue
            state = OfficeState.UP if incarnation.up else OfficeState.DRAINING
            current[office] = OfficeEntry(
                office, incarnation.latest.number, state, incarnation.started, incarnation.latest.zone
            )
        return current

    def _report(self, now: int) -> list[ListUpdate]:
        current, reported = self._current_entries(), self.reported
        if not current and not self.complete_reported:
            return []  # no registry has listed an exchange yet: the configured list stays
        if self.first_list_at < 0:
            self.first_list_at = now
        if not self.complete_reported:
            missing = sum(office not in current for office in self.configured)
            if (
                not self._is_mass_departure(missing, len(self.configured))
                or now - self.first_list_at >= self.policy.hold
            ):
                self.complete_reported, self.reported = True, current
                return [(ListKind.COMPLETE, self.entries())]
            if not reported:
                self.second_opinion_wanted = True
                self._note("first list lacks most configured exchanges: they stay in force", missing=missing)
        changed = [current[office] for office in sorted(current) if reported.get(office) != current[office]]
        for office in sorted(reported.keys() - current.keys()):
            entry = reported[office]
            changed.append(OfficeEntry(office, entry.number, OfficeState.GONE, entry.started, entry.zone))
        self.reported = current
        return [(ListKind.CHANGES, tuple(changed))] if changed else []

    def _note(self, event: str, **fields: Any) -> None:
        self.notes.append(LogNote(event, fields))

    def _count(self, what: str, times: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + times

    # -- for operators -------------------------------------------------------------------------------------

    def explain(self) -> list[dict[str, Any]]:
        """For each known instance: what each registry says, the resulting state, and the reason for it."""
        rows = []
        in_force = {(e.office, e.started): e for e in self.reported.values()}
        for instance_id, incarnation in sorted(
            self.incarnations.items(), key=lambda item: (item[1].latest.number, item[0])
        ):
            latest = incarnation.latest
            says = {}
            for name, registry in self.registries.items():
                found = registry.listed.get(instance_id)
                if instance_id in registry.unconfirmed:
                    says[name] = "lost with most"
                elif instance_id in registry.expired:
                    says[name] = "lease over"
                else:
                    says[name] = found.instance.status.value if found is not None else "-"
            entry = in_force.get((latest.office, incarnation.started))
            rows.append({
                "exchange": latest.number, "id": instance_id, "address": latest.office,
                "district": latest.zone,
                "says": says, "believed": entry.state.name if entry is not None else "GONE",
                "why": self._why(instance_id, incarnation, entry),
            })  # fmt: skip
        return rows

    def _why(self, instance_id: str, incarnation: Incarnation, entry: OfficeEntry | None) -> str:
        if incarnation.departed:
            left = ", ".join(name for name, status in incarnation.closed_by.items() if status is None)
            return f"departed from {left}; returns after lease renewals or a restart"
        if incarnation.closed_by:
            return ", ".join(
                f"{status.value} according to {name}"
                for name, status in incarnation.closed_by.items()
                if status
            )
        if entry is None:
            return "replaced by an instance that started later at its address"
        if any(instance_id in r.unconfirmed for r in self.registries.values()):
            return "kept: missing only in an unconfirmed mass departure"
        if not any(r.answers for r in self.registries.values()):
            return "kept: no registry answers"
        return "listed"
