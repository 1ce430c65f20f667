"""Routing decisions of one call server.  Its types, events and actions: eiderstep/interface.py.

For each call offered, the controller chooses the direct route, one tandem, holding or refusal.  Admission to
an own trunk group follows the loss system of arXiv 2202.02419, one for each group and class of calls, with a
rule of our own for alternate routes (docs/design.md).  The other parts protect against failures: load
shedding, a circuit breaker for each office, budgets for cold offices, backoff of tandems, detection of lost
answers.

Five rules hold whatever happens:

1. Each call gets one final answer, at the latest when it expires.
2. A call has one attempt at a time and at most `attempt_cap` attempts.
3. No set-up is sent to an office that drains or is gone, nor to any while the list may be out of date.
4. All controllers together stay within the set-up budget of a cold office.
5. After an attempt that got no answer, was cut or was cancelled, the next one waits for `release_wait`.

Read `Controller.handle` first, then `choose_route` and `send_set_up`.  What is known of groups and processors
and the queues of held calls are in `eiderstep/policy`.  Times and lengths of time are in ns unless said
otherwise.  Constants given in time constants refer to `Controller.time_constant`, the one with which evidence
of load decays; those given in aims refer to the shortest aim of all classes.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from eiderstep import interface as io
from eiderstep.policy.cold_budget import ColdBudget
from eiderstep.policy.decaying_count import DecayingCount
from eiderstep.policy.held_calls import CallsAhead, HeldCalls
from eiderstep.policy.processors import ANSWER_HALF_LIFE, PENDING_ALLOWANCE, Office, OwnProcessor
from eiderstep.policy.recent_refusals import CallIdentity, RecentRefusals
from eiderstep.policy.tandem_backoff import TandemBackoffs
from eiderstep.policy.trunk_group import Group

SECOND = 1_000_000_000

# Admission.
EXPLORE_BASE = 20.0  # f(0): one in so many calls of a refused class is tried, so refusal stays the rule
EXPLORE_POWER = 0.6  # 1 - epsilon of the paper's f(n) = exp(n^(1 - epsilon))

# Load shedding.
SHED_START_WAIT = 0.2  # shortest aims; up to this wait of a processor nothing is shed
SHED_FULL_WAIT = 0.6  # shortest aims; from this wait on all calls but a trial share are shed
ALTERNATE_WAIT_FACTOR = 0.5  # of both waits above: an alternate route costs work at one more processor
LOAD_TIME_CONSTANT = 5 / 6  # shortest aims; time in which evidence of a wait loses 63% of its weight
STALL_THRESHOLD = 0.1  # shortest aims; a timer later than this shows that this process stalled
MAX_SHED_SHARE = 0.97  # some calls always pass, so that the end of an overload is noticed
OWN_DOWN_RETRY = 0.5  # time constants between trials while the own processor is down

# Cold offices.
COLD_DEFAULT_RATE = 1.0  # set-ups a second; least rate assumed of a warm office where none reports a rate

LIST_RETRY = 2 * SECOND  # after a failed request for the office list
MIN_LIST_OUTAGE = SECOND // 4  # least time that an outdated list is expected to stay so
MIN_RECHECK_INTERVAL = SECOND // 50  # between two estimates of when a route opens for a held call
RETRY_BATCH = 64  # calls of a queue tried at one report of a group; bounds the work of a report
UNLINKED_QUEUE = -2  # key of the queue of held calls that have no group to their destination
NOTE_INTERVAL = 5 * SECOND  # least time between two notes of the same kind


# Order in which the events of one moment are handled; all others come first (0), since they update state.
EVENT_ORDER = {io.CallOffered: 1, io.CallGone: 1, io.TimerDue: 2}
OUTCOMES_WITHOUT_ANSWER = (
    io.Outcome.NO_ANSWER, io.Outcome.UNREACHABLE, io.Outcome.NOT_SENT, io.Outcome.CANCELLED
)  # fmt: skip
OUTCOMES_AWAITING_RELEASE = (io.Outcome.NO_ANSWER, io.Outcome.CUT, io.Outcome.CANCELLED)  # rule 5
CAUSES_AGAINST_RETRY = (io.Cause.BEYOND_FULL, io.Cause.PROCESSOR_FULL, io.Cause.NUMBER_BUSY)


class Call:
    """One call that awaits its final answer, or that stands."""

    def __init__(
        self, offer: io.CallOffered, now: int, arrival_order: int, hold_rank: tuple[bool, float]
    ) -> None:
        self.hold_rank = hold_rank
        self.name, self.class_no, self.dest, self.width = offer.call, offer.class_no, offer.dest, offer.width
        self.expires, self.transit, self.hint = offer.expires, offer.transit, offer.hint
        self.identity = CallIdentity(offer.called_number, offer.class_no, offer.dest)
        # `first_try_at` begins the aim; for a redial it is the time of the caller's first try.
        self.called_number, self.was_cut, self.first_try_at, self.arrival_order = (
            offer.called_number,
            offer.was_cut,
            now,
            arrival_order,
        )
        # `attempt_active`: an attempt was sent and has not ended; it may stand.
        self.attempts, self.attempt_active, self.sent_at, self.not_before, self.recheck_at = 0, False, 0, 0, 0
        self.queue: int | None = None  # key of the queue in which the call is held
        self.faulted_office: Office | None = None  # where the last attempt ended in a fault
        self.tried: list[int] = []  # office numbers
        self.group: int | None = None  # office number of the group used
        self.epoch: int | None = None  # of the loss system; set once the call stands


class Controller:
    """The decisions of one call server.

    Raises ValueError where the settings name no call class, or figures out of range.
    """

    def __init__(self, settings: io.Settings, seed: int) -> None:
        if not settings.classes:
            raise ValueError("expected at least one call class; found none")
        if any(c.width < 1 or c.worth < 0 or c.mean_hold <= 0 or c.aim <= 0 for c in settings.classes):
            raise ValueError(
                "each class needs a width of at least 1, a worth of at least 0, "
                "an aim above 0 and a mean holding time above 0"
            )
        if not 0 < settings.cold_share <= 1:
            raise ValueError(f"cold share: found {settings.cold_share}; allowed: above 0 and at most 1")
        self.settings, self.classes, self.rng, self.now = settings, settings.classes, Random(seed), 0
        self.widest = max(c.width for c in self.classes)
        self.worth_rates = [c.worth / (c.width * c.mean_hold / SECOND) for c in self.classes]
        self.top_worth_rate = max(self.worth_rates)  # worth per circuit-second, as are `worth_rates`
        self.shortest_aim = min(c.aim for c in self.classes)
        self.time_constant = LOAD_TIME_CONSTANT * self.shortest_aim
        self.offered_by_class = [
            (c, DecayingCount(ANSWER_HALF_LIFE * self.time_constant)) for c in self.classes
        ]
        self.offices: dict[str, Office] = {}
        self.office_names: dict[int, str] = {}  # by number
        self.listed_numbers: set[int] = set()  # of all exchanges that the list has ever named
        self.groups: dict[int, Group] = {}  # by office number
        self.answers = DecayingCount(ANSWER_HALF_LIFE * self.time_constant)
        self.own_processor = OwnProcessor(self.time_constant)
        self.calls: dict[str, Call] = {}
        self.tandem_backoffs = TandemBackoffs()
        self.recent_refusals = RecentRefusals()
        self.held_calls: HeldCalls[Call] = HeldCalls()  # by destination, or under UNLINKED_QUEUE
        self.timers: dict[int, tuple[int, Callable[[], object]]] = {}
        # Length of a stall of this process that has just ended; whether some exchanges lack a group.
        self.last_token, self.offer_count, self.stall, self.partial_mesh = 0, 0, 0, False
        self.ends_at: int | None = None  # end of this process, once it shuts down
        self.list_valid_until: int | None = None  # None: without limit
        self.note_times: dict[str, int] = {}
        self.actions: list[io.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            io.OfficeList: self.on_office_list, io.CallOffered: self.on_call_offered,
            io.CallStands: self.on_call_stands, io.AttemptEnded: self.on_attempt_ended,
            io.OfficeHeard: self.on_office_heard, io.TimerDue: self.on_timer_due,
            io.ShutdownBegun: self.on_shutdown_begun, io.ListConfirmed: self.on_list_confirmed,
            io.CallGone: lambda event: self.finish_call(self.calls.get(event.call), None),
        }  # fmt: skip

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        """Handle the events of one moment and return the actions to take.

        State updates come first, then calls, then timers.  After a stall of this process all answers seem
        late, and timers are due that would act before the answers are read.  A timer that is late shows the
        length of the stall, which is added to the send times of unanswered set-ups, so that it does not count
        as a wait of the offices.
        """
        self.now, self.actions = now, []
        timers = (self.timers.get(e.token, (now,)) for e in events if isinstance(e, io.TimerDue))
        late = max((now - timer[0] for timer in timers), default=0)
        self.stall = late if late > STALL_THRESHOLD * self.shortest_aim else 0
        for office in self.offices.values() if self.stall else ():
            office.pending = {name: at + self.stall for name, at in office.pending.items()}
        if self.stall:
            self.own_processor.unanswered = deque(
                (at + self.stall, number) for at, number in self.own_processor.unanswered
            )
        for event in sorted(events, key=lambda e: EVENT_ORDER.get(type(e), 0)):
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        return self.actions

    def schedule(self, due: int, callback: Callable[[], object]) -> None:
        """Set a timer that runs `callback` at `due` (ns)."""
        self.last_token += 1
        self.timers[self.last_token] = (due, callback)
        self.actions.append(io.SetTimer(due, self.last_token))

    def on_timer_due(self, event: io.TimerDue) -> None:
        self.timers.pop(event.token, (0, lambda: None))[1]()

    def add_note(self, kind: str, text: str) -> None:
        """Write a line for the operators, at most one of a kind within NOTE_INTERVAL."""
        if self.now - self.note_times.get(kind, -NOTE_INTERVAL) >= NOTE_INTERVAL:
            self.note_times[kind] = self.now
            self.actions.append(io.Note(text))

    def on_office_list(self, event: io.OfficeList) -> None:
        """Update the offices; after a failed request for a list on request, ask for it again later."""
        settings = self.settings
        if event.kind is io.ListKind.FAILED:
            if settings.list_on_request:
                self.schedule(self.now + LIST_RETRY, lambda: self.actions.append(io.Subscribe()))
            return
        if event.kind is io.ListKind.REMEMBERED and settings.list_on_request:
            self.actions.append(io.Subscribe())
        listed = {entry.office for entry in event.entries}
        self.listed_numbers |= {entry.number for entry in event.entries}
        for entry in event.entries:
            office = self.offices.get(entry.office)
            if office is None or (entry.started or 0) > office.started:
                budget = ColdBudget(self.settings, entry.started)
                office = self.offices[entry.office] = Office(entry, self.time_constant, budget)
            elif office.state is io.OfficeState.UP and entry.state is not io.OfficeState.UP:
                self.add_note(f"drain {entry.number}", f"office {entry.number} drains or is gone")
            office.state = entry.state
        for office in self.offices.values() if event.kind is not io.ListKind.CHANGES else ():
            office.state = office.state if office.name in listed else io.OfficeState.GONE
        self.offices = {n: o for n, o in self.offices.items() if o.state is not io.OfficeState.GONE}
        self.office_names = {}
        # If two processors have the same number, the older one, which is warm, is used until it drains.
        for office in sorted(self.offices.values(), key=lambda o: -o.started):
            if office.state is io.OfficeState.UP:
                self.office_names[office.number] = office.name
                if office.number != settings.own_number:
                    self.groups.setdefault(office.number, Group(self.classes))

    def on_list_confirmed(self, event: io.ListConfirmed) -> None:
        """Set-ups may rely on the list of offices for longer; try the held calls if they could not."""
        was_outdated = self.list_is_outdated()
        self.list_valid_until = event.valid_until
        if was_outdated and not self.list_is_outdated():
            self.add_note("list current", "the list of offices is up to date again")
            for number in self.groups:
                self.retry_held_calls(number)

    def list_is_outdated(self) -> bool:
        """Whether drains may have gone unheard for so long that nothing may be sent anywhere (rule 3)."""
        return self.list_valid_until is not None and self.now >= self.list_valid_until

    def time_until_list_confirmed(self) -> int:
        """Expected time (ns) until an outdated list is confirmed: as long again as it has been outdated."""
        if self.list_valid_until is None or not self.list_is_outdated():
            return 0
        return max(self.now - self.list_valid_until, MIN_LIST_OUTAGE)

    def on_office_heard(self, event: io.OfficeHeard) -> None:
        office = self.offices.get(event.office)
        if office is not None:
            self.apply_report(office, event.report)
            self.retry_held_calls(office.number)

    def apply_report(self, office: Office, report: io.LoadReport) -> None:
        """Update the office and its group; cancel the set-ups that the report shows to be lost."""
        if office.number in self.groups:
            self.groups[office.number].apply_report(report)
            self.partial_mesh |= not self.groups[office.number].linked
        for name in office.apply_report(self.now, report):
            call, _ = self.calls.get(name), office.pending.pop(name)
            if call and call.dest == office.number and self.settings.may_cancel:  # not beyond a tandem
                self.actions.append(io.Cancel(name, call.attempts - 1))

    def on_call_offered(self, event: io.CallOffered) -> None:
        if event.call in self.calls or not 0 <= event.class_no < len(self.classes):
            self.actions.append(io.Refuse(event.call))
            return
        if not self.settings.pooled and event.dest not in self.listed_numbers:
            # No tandem leads to an exchange that the list has never named.
            names_pause = self.settings.may_pause and not event.transit
            self.actions.append(io.Refuse(event.call, self.settings.max_pause if names_pause else 0))
            return
        # Of held calls, those that were cut go first, then those of most worth per circuit-second.
        hold_rank = (not event.was_cut, -self.worth_rates[event.class_no])
        self.offer_count += 1
        call = self.calls[event.call] = Call(event, self.now, self.offer_count, hold_rank)
        self.offered_by_class[call.class_no][1].add(self.now)
        first_try_at = None if call.transit else self.recent_refusals.first_try(self.now, call.identity)
        if first_try_at is not None:
            call.first_try_at = first_try_at
        elif event.redialled and not event.was_cut:
            # A call that was cut is offered again as a redial too, but its aim starts anew.  If it were taken
            # for late, it would be lost.
            call.first_try_at = self.now - self.classes[call.class_no].aim
        if self.ends_at is not None:
            call.expires = min(call.expires, self.ends_at)
        if self.ends_at is not None and self.now + self.answer_time(call) >= self.ends_at:
            self.refuse_call(call)
        else:
            self.choose_route(call)
        if self.calls.get(call.name) is call:
            self.schedule(call.expires, lambda: self.expire_call(call))

    def on_shutdown_begun(self, event: io.ShutdownBegun) -> None:
        """Answer every call by the end of this process.

        Calls are offered until then, and one that has no answer at that moment is lost.  So each call is
        served as long as its answer is likely to come in time, and refused at once afterwards.
        """
        self.ends_at = event.ends_at
        for call in self.calls.values():
            if call.epoch is None and call.expires > event.ends_at:
                call.expires = event.ends_at
                self.schedule(call.expires, lambda call=call: self.expire_call(call))  # type: ignore[misc]

    def answer_time(self, call: Call) -> float:
        """Time (ns) within which the destination usually answers; the shortest aim if it never has."""
        office = self.offices.get(self.office_names.get(call.dest, ""))
        return office.usual_answer_time() if office is not None and office.srtt else self.shortest_aim

    def expire_call(self, call: Call) -> None:
        """Rule 1: answer when the caller's time is up, even while an attempt is in progress."""
        if call.epoch is None and self.calls.get(call.name) is call:
            self.finish_call(call, io.Abandon(call.name))

    def finish_call(self, call: Call | None, answer: io.Action | None) -> None:
        """Remove the call; send its final answer unless none is owed."""
        if call is not None:
            self.held_calls.remove(call)
            self.actions += [answer] if answer is not None else []
            self.calls.pop(call.name, None)

    def refuse_call(self, call: Call, opens_in: float | None = None) -> None:
        """Refuse the call; the pause is the time until a route is likely to open (ns; estimated if None)."""
        if call.called_number and not call.transit:
            keep = self.classes[call.class_no].give_up
            self.recent_refusals.record(self.now, call.identity, call.first_try_at, keep)
        pause = 0
        if self.settings.may_pause and not call.transit:
            opens_in = self.time_until_open(call) if opens_in is None else opens_in
            pause = int(min(max(opens_in, self.time_constant), self.settings.max_pause))
        self.finish_call(call, io.Refuse(call.name, pause))

    def is_late(self, call: Call) -> bool:
        """Whether the aim, counted from the caller's first try, has passed; then most of the worth is lost.

        Redials are recognised by the called number.  Late calls get neither reserved circuits nor alternate
        routes, which also thins out mass calling of one number.  The cost: several callers of one number
        count as one.
        """
        return not call.transit and self.now - call.first_try_at >= self.classes[call.class_no].aim

    def shed_share(self, office: Office | None, wait_factor: float = 1.0) -> float:
        """Share of set-ups to keep from a processor, by its expected wait and the reduction it asks for."""
        if office is None:
            return 0.0
        by_wait = (
            self.shed_share_for_wait(office.expected_wait(self.now), wait_factor)
            if self.now >= office.full_until
            else 1.0
        )
        asked = (
            office.reduction
            * math.exp(-(self.now - office.reported_at) / (2 * office.report_time_constant))
            / wait_factor
        )
        return min(max(by_wait, asked, 0.0), MAX_SHED_SHARE)

    def own_shed_share(self) -> float:
        """Share of calls to shed for the own processor, which all paths pass."""
        share = (
            self.shed_share_for_wait(self.own_processor.expected_wait(self.now))
            if self.now >= self.own_processor.down_until
            else 1.0
        )
        return min(max(share, 0.0), MAX_SHED_SHARE)

    def shed_share_for_wait(self, wait: float, wait_factor: float = 1.0) -> float:
        """Linear from 0 at SHED_START_WAIT to 1 at SHED_FULL_WAIT; the caller limits it to that range."""
        return (wait / (self.shortest_aim * wait_factor) - SHED_START_WAIT) / (
            SHED_FULL_WAIT - SHED_START_WAIT
        )

    def is_shed(self, call: Call, share: float) -> bool:
        """Decide at random whether to shed the call: this share of all calls is shed, least worth first."""
        if share <= 0.0:
            return False
        worth, counts = (
            self.classes[call.class_no].worth,
            [(c.worth, count.read(self.now)) for c, count in self.offered_by_class],
        )
        below, equal = sum(n for w, n in counts if w < worth), sum(n for w, n in counts if w == worth)
        return self.rng.random() < (share * sum(n for _, n in counts) - below) / max(equal, 1e-9)

    def hold_or_refuse(self, call: Call) -> None:
        """Hold a blocked call while a route is likely to open for it in time, else refuse it."""
        opens_in = self.time_until_open(call)
        if not self.hold_call(call, opens_in):
            self.refuse_call(call, opens_in)

    def hold_call(self, call: Call, opens_in: float) -> bool:
        """Hold a blocked call if a route is likely to open for it in time, and check again as time passes.

        It may wait for circuits, its turn at a cold office, the end of a tandem's backoff, a queue to empty,
        or a trial of a silent office or of the own processor.  Where no route opens in time, a held call only
        keeps its caller from redialling, so it is refused early.  The cost: the estimate assumes a steady
        stream of releases and is wrong where they come in bursts.
        """
        office = self.offices.get(self.office_names.get(call.dest, ""))
        deadline = min(call.first_try_at + self.classes[call.class_no].aim, call.expires)
        deadline -= int(office.usual_answer_time()) if office is not None else 0
        if call.transit or self.now + opens_in >= deadline:
            return False
        if call.queue is None:
            self.held_calls.add(self.queue_key(call), call)
        due = max(deadline - int(opens_in), self.now + MIN_RECHECK_INTERVAL)
        if not self.now < call.recheck_at <= due:
            call.recheck_at = due
            self.schedule(due, lambda: self.retry_held_call(call))
        return True

    def time_until_open(self, call: Call) -> float:
        """Time (ns) until a route is likely to open for a blocked call, after those ahead in its queue."""
        queue = self.queue_key(call)
        ahead = self.held_calls.ahead_of(queue, call)
        numbers = self.groups if queue == UNLINKED_QUEUE else (call.dest,)
        own_wait = self.own_processor.expected_wait(self.now) - SHED_START_WAIT * self.shortest_aim
        minimum = max(
            self.own_processor.down_until - self.now,
            call.not_before - self.now,
            own_wait,
            self.time_until_list_confirmed(),
        )
        if minimum > 0:
            return minimum
        return min((self.time_until_office_opens(call, n, ahead) for n in numbers), default=math.inf)

    def time_until_office_opens(self, call: Call, number: int, ahead: CallsAhead) -> float:
        """The same for the route over one office: until its breaker admits a trial, circuits are released,
        its queue is short enough or it is this controller's turn at a cold office.
        """
        office, group = self.offices.get(self.office_names.get(number, "")), self.groups.get(number)
        if office is None or group is None or group.free is None or not group.linked:
            return math.inf
        if office.breaker_open:
            return (
                math.inf
                if ahead.calls or office.trial_call is not None
                else max(office.retry_at - self.now, 0)
            )
        circuits = call.width + ahead.circuits - group.free
        blocked_for = max(self.tandem_backoffs.ends_at((number, call.dest)), office.full_until) - self.now
        if number != call.dest:
            circuits += math.ceil(group.reserve(self.now, self.widest, self.partial_mesh))
        elif circuits <= 0 and not self.is_admitted(call, number, False):
            circuits = 1  # each further free circuit lowers the price of admission
        wait = max(
            office.expected_wait(self.now, False) - SHED_START_WAIT * self.shortest_aim, blocked_for, 0.0
        )
        if len(office.pending) > PENDING_ALLOWANCE:
            # In one response time as many set-ups are answered as are pending.
            rounds = 1 + ahead.calls // len(office.pending)
            wait = max(wait, rounds * (office.srtt or SHED_START_WAIT * self.shortest_aim))
        if circuits > 0:
            return max(group.time_until_released(circuits), wait)
        if self.cold_budget_allows(office):
            return wait or math.inf
        interval = office.cold_budget.mean_interval(self.warm_rate(office))
        return max(office.cold_retry_at - self.now, 0) + ahead.calls * interval

    def queue_key(self, call: Call) -> int:
        """The destination, or UNLINKED_QUEUE for all calls that have no group to theirs."""
        group = self.groups.get(call.dest)
        return call.dest if group is not None and group.linked else UNLINKED_QUEUE

    def retry_held_calls(self, number: int) -> None:
        """Circuits to this office may be free: try the first calls held for it and of those without a group.

        Those behind them are tried at a later report or when they are due for a recheck.
        """
        if number in self.groups and self.usable_office(number):
            for call in self.held_calls.first((number, UNLINKED_QUEUE), RETRY_BATCH):
                self.retry_held_call(call, number)

    def retry_held_call(self, call: Call, number: int | None = None) -> None:
        """Try a held call again over one office or any; refuse it if no route is likely to open in time.

        Nothing is sent while the own processor or the destination sheds calls: held calls that take part in
        the random choice again and again would undo the shedding.
        """
        if call.queue is None:
            return
        direct = number in (None, call.dest)
        if self.own_shed_share() <= 0 and self.shed_share(self.usable_office(call.dest)) <= 0:
            if direct and self.try_direct(call, first=False):
                return
            if number != call.dest and self.try_alternate(call, None if number is None else [number]):
                return
        if direct:
            self.hold_or_refuse(call)

    def is_admitted(self, call: Call, number: int, explore: bool = True) -> bool:
        """Whether one own group has room for the call and the loss system admits it.

        The price of a circuit-second rises as free circuits run out.  A call is admitted if its class earns
        more than the price, that is, if its release rate is above price * width / worth, and now and then for
        exploration.  Explorations count only while no call of the class stands.
        """
        group, system = self.groups[number], self.groups[number].systems[call.class_no]
        if group.free is None:
            return True
        if group.free < call.width:
            return False
        price = self.top_worth_rate * (self.widest + 1 - group.free) / (self.widest + 1)
        if (
            price <= 0.0
            or self.worth_rates[call.class_no] >= self.top_worth_rate
            or not system.has_enough_releases()
        ):
            return True
        if system.rate_exceeds(price * call.width / max(self.classes[call.class_no].worth, 1e-9)):
            return True
        f = EXPLORE_BASE * math.exp(min(system.alpha.read(self.now), 1e3) ** EXPLORE_POWER)  # the paper's f
        if not explore or self.rng.random() * f >= 1.0:
            return False
        system.alpha.add(self.now, float(system.standing == 0))
        return True

    def usable_office(self, number: int) -> Office | None:
        """The office of that number; None if it is not up, or its breaker is open and no trial is due."""
        office = self.offices.get(self.office_names.get(number, ""))
        if office is None or (
            office.breaker_open and (office.trial_call is not None or self.now < office.retry_at)
        ):
            return None
        return office

    def choose_route(self, call: Call) -> None:
        """Send the call over the direct route or one tandem; otherwise hold or refuse it."""
        if self.calls.get(call.name) is not call or call.attempt_active:
            return  # the call ended while the release of its last attempt was awaited
        if call.tried or not self.is_shed(call, self.own_shed_share()):
            if call.dest not in call.tried and self.try_direct(call):
                return
            if not call.transit and call.attempts < self.settings.attempt_cap and self.try_alternate(call):
                return
        self.hold_or_refuse(call)

    def try_direct(self, call: Call, first: bool = True) -> bool:
        """Try the group to the destination itself, or the pool of first choice.

        `first` is False for retries of held calls, which count neither as arrivals nor as blocked and do not
        explore.
        """
        group = self.groups.get(call.dest)
        if group is None or not group.linked:
            return False
        if first:
            group.systems[call.class_no].record_arrival(self.now)
        office = self.usable_office(call.dest)
        if office is None or self.is_shed(call, self.shed_share(office)):
            return False
        spare = math.inf if group.free is None else group.free - call.width
        if (call.transit or self.is_late(call)) and spare < group.reserve(
            self.now, self.widest, self.partial_mesh
        ):
            return False
        if not self.is_admitted(call, call.dest, first):
            if not call.transit and first:
                group.direct_blocks.add(self.now)
            return False
        return self.send_set_up(call, office)

    def try_alternate(self, call: Call, numbers: Iterable[int] | None = None) -> bool:
        """Try one tandem whose group has room beyond the reserve; the planned route of pairs without a group.

        Many tandems have no group to the destination, and a call that is turned back has cost work at two
        processors.  So the tandem proposed as advice goes first, then those over which a call has stood
        there, then the others, each time at random with the share of calls that stood over the tandem as
        weight.
        """
        pools, planned = (
            self.classes[call.class_no].pools,
            self.queue_key(call) == UNLINKED_QUEUE or self.settings.pooled,
        )
        if self.is_late(call) or (call.tried and call.tried[-1] != call.dest and not planned):
            return False
        if not self.settings.pooled:
            destination = self.usable_office(call.dest)
            if destination is None or self.is_shed(call, self.shed_share(destination, ALTERNATE_WAIT_FACTOR)):
                return False  # a tandem does not help if the destination is overloaded
        best, best_score = None, 0.0
        for number in numbers or self.groups:
            group, pair = self.groups[number], (number, call.dest)
            if not group.free or number == call.dest or number in call.tried:
                continue
            weight = group.tandem_successes / group.tandem_sends
            weight /= 2 if self.tandem_backoffs.has_turned_back(pair) else 1
            proven, advised = self.tandem_backoffs.is_proven(pair), number == call.hint
            score = self.rng.random() * weight + proven + 2 * advised
            in_backoff = self.now < self.tandem_backoffs.ends_at(pair)
            if score <= best_score or in_backoff or (pools is not None and number not in pools):
                continue
            if group.free - call.width < group.reserve(self.now, self.widest, self.partial_mesh):
                continue
            office = self.usable_office(number)
            if office is not None and self.shed_share(office, ALTERNATE_WAIT_FACTOR) <= 0.0:
                best, best_score = office, score
        if best is None:
            return False
        self.groups[best.number].systems[call.class_no].record_arrival(self.now)
        return self.is_admitted(call, best.number) and self.send_set_up(call, best)

    def cold_budget_allows(self, office: Office) -> bool:
        """Rule 4: whether this controller's part of a cold office's budget allows a set-up now.

        If not, the calls held for the office are retried when it does.
        """
        budget = office.cold_budget
        if not budget.is_cold(self.now):
            return True
        rate = self.warm_rate(office)
        if budget.allows(self.now, rate):
            return True
        if self.now >= office.cold_retry_at:
            office.cold_retry_at = budget.next_open(self.now, rate)
            self.schedule(office.cold_retry_at, lambda: self.retry_held_calls(office.number))
        return False

    def warm_rate(self, office: Office) -> float:
        """Set-ups a second that an office is taken to process once it is warm: the mean of the others.

        If no office reports a rate: each receives as many set-ups as it sends, and has to process both.
        """
        max_rates = [o.max_rate for o in self.offices.values() if o.max_rate and o.name != office.name]
        if max_rates:
            return sum(max_rates) / len(max_rates)
        return max(2 * self.answers.rate(self.now), COLD_DEFAULT_RATE)

    def send_set_up(self, call: Call, office: Office) -> bool:
        """Send one set-up if rules 1 to 5 allow it; they are checked for set-ups here and nowhere else."""
        settings = self.settings
        if call.attempt_active or call.attempts >= settings.attempt_cap or call.epoch is not None:
            return False  # rule 2
        if office.number == settings.own_number or (call.transit and office.number != call.dest):
            return False
        if self.list_is_outdated():
            self.add_note("list outdated", "the list of offices is out of date: no calls are sent")
            return False  # rule 3
        up = office.state is io.OfficeState.UP
        if not (call.not_before <= self.now < call.expires and up and self.cold_budget_allows(office)):
            return False  # rules 5, 1, 3 and 4
        self.held_calls.remove(call)
        office.cold_budget.record_send(self.now)
        group = self.groups[office.number]
        group.tandem_sends += office.number != call.dest
        if group.free is not None:
            group.free -= call.width
        call.attempt_active, call.sent_at, call.group = True, self.now, office.number
        call.tried.append(office.number)
        office.pending[call.name] = self.now
        if call.faulted_office is office:
            office.resends.add(self.now)
        self.own_processor.unanswered.append((self.now, office.number))
        leg, call.attempts = call.attempts, call.attempts + 1
        office.sent_since_report += 1
        if office.breaker_open:
            office.trial_call = call.name
        # At least the shortest aim, because queues at processors last longer than delays in networks.
        rto = int(max(office.usual_answer_time(), self.shortest_aim))
        self.schedule(self.now + rto, lambda: self.on_timeout(call, leg, office))
        if settings.may_probe and office.srtt:
            self.schedule(
                self.now + office.lost_answer_timeout(), lambda: self.probe_if_overdue(call, leg, office)
            )
        self.actions.append(io.Send(call.name, office.name, call.expires))
        return True

    def probe_if_overdue(self, call: Call, leg: int, office: Office) -> None:
        """Probe the office if the set-up is still unanswered, at most once in the shortest aim.

        The answer tells whether the processor is busy; it does not confirm that the set-up arrived.
        """
        if (
            call.name in office.pending
            and call.attempts == leg + 1
            and self.now - office.probed_at > self.shortest_aim
        ):
            office.probed_at = self.now
            self.actions.append(io.Probe(office.name))

    def on_timeout(self, call: Call, leg: int, office: Office) -> None:
        """A set-up was not answered in time; if that opens the breaker, give up all set-ups sent no later."""
        if (
            not call.attempt_active
            or call.attempts != leg + 1
            or call.epoch is not None
            or call.name not in self.calls
        ):
            return
        # Only set-ups sent after the last answer count and, while the breaker is open, only the trial.
        # Otherwise one burst of unanswered set-ups would double the backoff several times.
        counts_as_timeout = office.answered_at < call.sent_at and (
            not office.breaker_open or office.trial_call == call.name
        )
        if counts_as_timeout and office.record_timeout(self.now, self.rng):
            self.add_note(
                f"silent {office.number}", f"office {office.number} does not answer: no calls are sent to it"
            )
            for other in [
                self.calls.get(n) for n, sent_at in office.pending.items() if sent_at <= call.sent_at
            ]:
                self.give_up_set_up(other, office)
            for held in self.held_calls.first((office.number,)):
                self.retry_held_call(held)
        if office.breaker_open and call.name in self.calls:
            self.give_up_set_up(call, office)

    def give_up_set_up(self, call: Call | None, office: Office) -> None:
        """Cancel a set-up that is unlikely to be answered and refuse its call now, not when it expires.

        `office` may have been replaced in the list since the set-up was sent.  Answers are recorded with its
        replacement, so a call that it lists as unanswered may stand.
        """
        if call is None:
            return
        office.pending.pop(call.name, None)
        if not call.attempt_active or call.epoch is not None:
            return
        self.actions += [io.Cancel(call.name, call.attempts - 1)] if self.settings.may_cancel else []
        self.refuse_call(call)

    def on_call_stands(self, event: io.CallStands) -> None:
        office = self.offices.get(event.office)
        if office is not None:
            office.record_answer(self.now)
            office.answers.add(self.now)
            self.answers.add(self.now)
            self.own_processor.record_answer(office.pending.pop(event.call, 0))
            if office.srtt and not self.stall:
                self.own_processor.recent_waits.append((self.now, event.elapsed - office.min_rtt))
        call = self.calls.get(event.call)
        if call is None or not call.attempt_active or call.attempts != event.leg + 1:
            return
        if office is not None and office.number == call.dest and not self.stall:
            office.record_response_time(self.now, event.elapsed)
        elif office is not None and office.number != call.dest:
            self.tandem_backoffs.record_success((office.number, call.dest))
            self.groups[office.number].tandem_successes += 1
        self.recent_refusals.forget(call.identity)
        if office is not None and call.faulted_office is office:
            office.resend_successes.add(self.now)
        if call.group is not None:
            call.epoch = self.groups[call.group].systems[call.class_no].record_start()

    def on_attempt_ended(self, event: io.AttemptEnded) -> None:
        """Record the end of an attempt; a call without a final answer is tried again, held or refused."""
        office = self.offices.get(event.office)
        if office is not None:
            sent_at = office.pending.pop(event.call, None)
            self.apply_report(office, event.report or io.LoadReport())
            if event.outcome not in OUTCOMES_WITHOUT_ANSWER:
                office.record_answer(self.now)
                if sent_at is not None and event.cause is not io.Cause.PROCESSOR_FULL:
                    self.own_processor.record_answer(sent_at)
            elif sent_at is not None:
                # A set-up that was given up is no evidence of the own processor's wait any more.  Otherwise
                # calls would still be shed after a restart of all offices.
                self.own_processor.unanswered = deque(
                    x for x in self.own_processor.unanswered if x != (sent_at, office.number)
                )
            if event.outcome is io.Outcome.UNREACHABLE and office.record_timeout(self.now, self.rng):
                self.add_note(f"unreachable {office.number}", f"office {office.number} cannot be reached")
            office.trial_call = None if office.trial_call == event.call else office.trial_call
        call = self.calls.get(event.call)
        if call is None or call.attempts != event.leg + 1:
            return
        if call.epoch is not None and call.group is not None:
            self.groups[call.group].systems[call.class_no].record_end(
                call.epoch, event.outcome is io.Outcome.RELEASED
            )
            call.epoch = None
        call.attempt_active = False
        if event.call_over:
            self.finish_call(call, None)
            return
        full = event.cause is io.Cause.PROCESSOR_FULL
        own_processor_down = full and event.outcome is io.Outcome.NOT_SENT
        if own_processor_down:
            # If this counted against the far office, an outage of the own processor would block every route.
            self.own_processor.down_until = self.now + int(OWN_DOWN_RETRY * self.time_constant)
            self.add_note("own", "own processor is down: calls are held")
        elif office is not None and full:
            office.excess, office.excess_at = max(office.excess, 2.0 * self.shortest_aim), self.now
            office.full_until = self.now + event.retry_after
        fault = event.outcome is io.Outcome.FAULT and event.cause is io.Cause.NONE
        call.faulted_office = office if fault else None
        resend = (
            office is not None
            and self.now + office.srtt < call.expires
            and office.resend_worthwhile(self.now)
        )
        if event.outcome is io.Outcome.CANCELLED or (fault and resend):
            call.tried = []  # a lost answer, or a fault with time left: the same route may be tried again
        if event.outcome in OUTCOMES_AWAITING_RELEASE:
            call.not_before = self.now + self.settings.release_wait
        if event.cause is io.Cause.TANDEM_REFUSED and office is not None:
            mean_hold = self.classes[call.class_no].mean_hold
            self.tandem_backoffs.record_refusal(self.now, (office.number, call.dest), mean_hold)
        at_destination = event.cause in CAUSES_AGAINST_RETRY and (
            office is None or office.number == call.dest
        )
        if max(self.now, call.not_before) >= call.expires:
            self.finish_call(call, io.Abandon(call.name))
        elif own_processor_down and self.hold_call(call, self.time_until_open(call)):
            return
        elif call.transit or at_destination or event.cause is io.Cause.BEYOND_FULL:
            self.refuse_call(call)
        elif call.not_before > self.now:
            self.schedule(call.not_before, lambda: self.choose_route(call))
        else:
            self.choose_route(call)
