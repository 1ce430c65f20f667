"""Every decision of the controller.  Its types, events and actions: eiderstep/interface.py.

The ordinary path is the loss system of arXiv 2202.02419, one for each own trunk group and class, with our
companion for routes (docs/design.md); the rest are guards.  Read handle() first, then choose() and send().
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Iterable
from random import Random
from typing import Any

from eiderstep import interface as io

SECOND = 1_000_000_000

WINDOW_HOLDS = 3.0  # holding times; older gaps say little of the present traffic
WINDOW_NOTES = 256  # gaps; bounds the work of one test
THIN_RELEASES = 4  # in the window; with fewer the estimate is off by half or more (1 / root of their number)
EXPLORE_BASE = 20.0  # f(0); a refused class is tried once in so many calls, so a bar once set still holds
EXPLORE_POWER = 0.6  # 1 - epsilon of the paper's f(n) = exp(n^(1 - epsilon))
ALPHA_HALF = 2.0  # holding times in which alpha halves: traffic drifts, so old exploring counts less
CHANCE_Z = 0.674  # of the normal distribution: a way counts as likely from one chance in four on

RESERVE_FLOOR = 0.5  # roots of the group's size kept, one widest class at most, where pairs lack groups
RESERVE_BLOCKS = 3.0  # recent direct blockings at which the reserve has grown by 63%
BLOCK_HALF = 0.3  # holding times in which half the direct blockings are forgotten

WAIT_EASY = 0.2  # share of the shortest aim; a processor's wait up to here sheds nothing
WAIT_FULL = 0.6  # share of the shortest aim; from here on all but trial calls are shed
ALTERNATE_FACTOR = 0.5  # alternates cost work at one more processor: they stop at this share of the waits
EVIDENCE_LIFE = 5 / 6  # shortest aims in which word of a processor's wait loses 63% of its weight: a life
LAG_GAIN, VAR_GAIN, RTO_VARS = 1 / 8, 1 / 4, 4.0  # RFC 6298
OVERDUE = 2  # RFC 6298 times after which an answer is lost if nothing waits at the processor
WITNESSES = 3  # offices whose unanswered set-ups tell of the own processor
PENDING_FREE = 2  # unanswered set-ups to one office that say nothing yet of a queue
ANSWER_HALF = 5  # lives in which half the answers are forgotten, to know an office's usual pace
STALL = 0.1  # shortest aims; a timer later than this tells of a stall of our own
SHED_CAP = 0.97  # share; some calls always go, to learn that the trouble is over

MEND_ODDS = 0.05  # of set-ups sent again after a fault, those that must stand for the next to be sent again

SILENT_SENDS = 2  # sends past their time-out, with no answer between, that open the breaker
OWN_DOWN = 0.5  # lives between trials while the own processor is down
BACKOFF_START, BACKOFF_CAP, BACKOFF_JITTER = 1, 4, 0.25  # lives, the last a share

COLD_CAUTION = 0.8  # share of this controller's part of the budget that is used
COLD_UNKNOWN = 1.0  # set-ups a second, the least that a warm office is held to take where nobody tells a rate

TURNED_BACK = 0.05  # holding times that a tandem rests for a destination it turned a call back from; doubles
TURNED_BACK_CAP = 8.0  # times the first rest

LIST_RETRY = 2 * SECOND
RECHECK = SECOND // 50  # the least time between two estimates of when a way opens
OVER = -2  # where calls without a group to their destination are held
NOTE_GAP = 5 * SECOND  # between two log lines about one thing


ORDER = {io.CallOffered: 1, io.CallGone: 1, io.TimerDue: 2}  # all else is news, and goes first
SAYS_NOTHING = (io.Outcome.NO_ANSWER, io.Outcome.UNREACHABLE, io.Outcome.NOT_SENT, io.Outcome.CANCELLED)
RELEASES = (io.Outcome.NO_ANSWER, io.Outcome.CUT, io.Outcome.CANCELLED)  # rule 5
HOPELESS = (io.Cause.BEYOND_FULL, io.Cause.PROCESSOR_FULL, io.Cause.NUMBER_BUSY)


class Fading:
    """A count that halves in a fixed time."""

    def __init__(self, half: float) -> None:
        self.half, self.value, self.at = max(half, 1.0), 0.0, 0

    def read(self, now: int) -> float:
        self.value *= 0.5 ** ((now - self.at) / self.half)
        self.at = now
        return self.value

    def rate(self, now: int) -> float:
        """How many a second, of late."""
        return self.read(now) * math.log(2) / self.half * SECOND

    def life(self, now: int, least: float) -> float:
        """How long word of the kind just counted holds (ns): until the next one is due, at the least.

        Danger: where a pair sees a call in five seconds, word forgotten in one is mostly no word, and a
        jammed processor never empties.  Hurts where trouble ends between two words.
        """
        return max(least, SECOND / self.rate(now))

    def add(self, now: int, amount: float = 1.0) -> None:
        self.value = self.read(now) + amount


class LossSystem:
    """The calls of one class on one own group, seen at each arrival as the paper sees its servers."""

    def __init__(self, mean_hold: int) -> None:
        self.life = int(WINDOW_HOLDS * mean_hold)
        self.notes: deque[tuple[int, float, int, int]] = deque()
        self.last: int | None = None
        self.releases, self.exposure = 0, 0.0  # sums over the notes; call-seconds
        self.standing = self.base = self.left = self.epoch = 0
        self.alpha = Fading(ALPHA_HALF * mean_hold)

    def arrive(self, now: int) -> None:
        """Note the gap since the last arrival, who survived it and who departed in it."""
        if self.last is not None and now > self.last and self.base + self.left > 0:
            self.note((now, (now - self.last) / SECOND, self.base, self.left))
        self.last, self.base, self.left = now, self.standing, 0
        self.epoch += 1
        while self.notes and (self.notes[0][0] < now - self.life or len(self.notes) > WINDOW_NOTES):
            _, gap, survivors, departures = self.notes.popleft()
            self.releases, self.exposure = self.releases - departures, self.exposure - gap * survivors

    def note(self, note: tuple[int, float, int, int]) -> None:
        self.notes.append(note)
        self.releases, self.exposure = self.releases + note[3], self.exposure + note[1] * note[2]

    def began(self) -> int:
        """A call stands; the epoch returned goes with it."""
        self.standing += 1
        return self.epoch

    def ended(self, epoch: int, released: bool) -> None:
        """A call ended.  A cut one leaves the sums unseen: mass cuts look like short calls, and all pass."""
        self.standing -= 1
        if epoch < self.epoch:
            self.base -= 1
            self.left += released

    def knows(self) -> bool:
        """On one or two releases the estimate swings across the bar, so all pass.  May hurt dear classes."""
        return self.releases >= THIN_RELEASES

    def beats(self, bar: float) -> bool:
        """The likelihood test: is the release rate above the bar (per second)?"""
        told = ((gap, departures) for _, gap, _, departures in self.notes if departures and bar * gap < 700)
        return sum(departures * gap / math.expm1(bar * gap) for gap, departures in told) > self.exposure


class Group:
    """One own trunk group, or one pool of agents."""

    def __init__(self, classes: tuple[io.CallClass, ...]) -> None:
        self.free: int | None = None
        self.size: int | None = None
        self.linked = True
        self.asked, self.sent_on = 2.0, 1.0  # calls sent over it as a tandem, and those that stood
        self.systems = [LossSystem(c.mean_hold) for c in classes]
        self.usual_rate = SECOND * len(classes) / sum(c.mean_hold for c in classes)  # releases a call-second
        self.blocks = Fading(BLOCK_HALF * max(c.mean_hold for c in classes))

    def told(self, report: io.LoadReport) -> None:
        """Only reports say what is free: the group is shared with the far end."""
        self.free = self.free if report.free is None else report.free
        self.size = self.size if report.size is None else report.size
        self.linked = self.size != 0  # a pair told a size of nought is planned over a tandem

    def opening(self, circuits: float) -> float:
        """How soon so many circuits are released (ns), with one chance in four, at the rate seen of late."""
        releases, exposure = sum(s.releases for s in self.systems), sum(s.exposure for s in self.systems)
        rate = releases / exposure if releases >= THIN_RELEASES and exposure > 0 else self.usual_rate
        k = max(circuits, 0.1)  # the k-th release of a steady stream; Wilson and Hilferty's cube root
        gaps = k * max(1 - 1 / (9 * k) - CHANCE_Z / (3 * math.sqrt(k)), 0.0) ** 3
        return gaps / max(((self.size or 0) - (self.free or 0)) * rate, 1e-9) * SECOND

    def reserve(self, now: int, widest: int, sparse: bool = False) -> float:
        """Circuits kept from transit and alternates; they grow as direct calls are blocked.

        Where pairs lack groups (sparse) the floor is lower, for planned transit; that hurts in overload.
        """
        root, grown = math.sqrt(self.size or 0), 1.0 - math.exp(-self.blocks.read(now) / RESERVE_BLOCKS)
        return (min(RESERVE_FLOOR * root, widest) if sparse else widest) + grown * root


class Office:
    """One processor: what the list, its answers and its silence say of it."""

    def __init__(self, entry: io.OfficeEntry, life: float) -> None:
        self.name, self.number, self.life = entry.office, entry.number, life
        self.state, self.started, self.full_until = entry.state, entry.started, 0
        self.srtt = self.var = self.base = self.excess = self.wait = self.reduce = 0.0
        self.rate: float | None = None
        self.excess_at = self.wait_at = self.heard_at = self.asked_at = -(10**18)
        self.words = Fading(ANSWER_HALF * life)
        self.wait_life = self.excess_life = life
        self.since, self.silent, self.opened = 0, 0, False  # own sends since the last report; breaker
        self.retry_at = self.wake = self.turn = 0  # the last two while it is cold
        self.backoff = 0.0
        self.trial: str | None = None
        self.answers = Fading(ANSWER_HALF * life)
        self.mended, self.resent = Fading(ANSWER_HALF * life), Fading(ANSWER_HALF * life)  # after a fault
        self.pending: dict[str, int] = {}  # unanswered set-ups and when they were sent, oldest first
        self.sent: deque[int] = deque()  # times of own sends while it is cold

    def answered(self, now: int) -> None:
        """Any answer closes the breaker."""
        self.silent, self.opened, self.backoff, self.trial = 0, False, 0.0, None
        self.heard_at = now

    def timed(self, now: int, took: int) -> None:
        """Learn a set-up's response time (RFC 6298) and how far it lies above the quickest."""
        if self.srtt == 0.0:
            self.srtt, self.var, self.base = float(took), took / 2, float(took)
        self.var += VAR_GAIN * (abs(took - self.srtt) - self.var)
        self.srtt += LAG_GAIN * (took - self.srtt)
        self.base = min(self.base, took)
        self.excess, self.excess_at = took - self.base, now
        self.excess_life = self.answers.life(now, self.life)

    def silence(self, now: int, rng: Random) -> bool:
        """One more send went unanswered; tells whether that opened the breaker."""
        self.silent += 1
        if self.silent < SILENT_SENDS and not self.opened:
            return False
        fresh = not self.opened
        self.backoff = min(max(2 * self.backoff, BACKOFF_START * self.life), BACKOFF_CAP * self.life)
        self.retry_at = now + int(self.backoff * (1 + BACKOFF_JITTER * rng.random()))
        self.opened, self.trial = True, None
        return fresh

    def report(self, now: int, report: io.LoadReport) -> list[str]:
        """Word of the processor's load, late and noisy; returns the set-ups that it shows to be lost.

        Those are overdue though nothing waits there.  Danger: taken for a wait, one lost answer sheds a
        sparse pair for seconds.  Also covers set-ups lost on the way.  Hurts where reports are seconds old.
        """
        wait: float | None = report.wait
        self.rate = self.rate if report.max_rate is None else report.max_rate
        if wait is None and report.waiting is not None and self.rate:
            wait = report.waiting / self.rate * SECOND
        self.reduce = self.reduce if report.reduce is None else report.reduce
        if wait is not None or report.reduce is not None:
            self.wait, self.wait_at, self.since = wait or 0.0, now, 0
            self.words.add(now)
            self.wait_life = self.words.life(now, self.life)
        calm = (wait, report.reduce) != (None, None) and self.wait + self.reduce == 0 < self.srtt
        return [name for name, at in self.pending.items() if calm and now - at > self.overdue()]

    def mends(self, now: int) -> bool:
        """Whether a set-up that ended in a fault here is worth sending again the same way.

        Danger: an office may fail most set-ups by chance; each refused for it, its callers come back late.
        Others fail every time, for what they are: sent again they only cost work.  What was sent again before
        tells one from the other.  Hurts by some set-ups for nothing each second where all fail.
        """
        return (self.mended.read(now) + 1) / (self.resent.read(now) + 2) >= MEND_ODDS

    def overdue(self) -> int:
        return int(OVERDUE * (self.srtt + RTO_VARS * self.var))

    def delay(self, now: int, crowd: bool = True) -> float:
        """Expected wait at its processor (ns): the fresher of report and own evidence weighs more."""
        told = self.wait + (self.since / self.rate * SECOND if self.rate else 0.0)
        told *= math.exp(-(now - self.wait_at) / self.life)
        # Danger: reports can be seconds old and say so nowhere; a set-up answered just now knows better.
        stale = 1.0 - math.exp(-(now - self.excess_at) / self.life)
        return max(told * stale, self.lag(now, crowd))

    def lag(self, now: int, crowd: bool) -> float:
        """Own evidence of the wait (ns): answers, what is still unanswered, and a crowd before any is due."""
        seen = self.excess * math.exp(-(now - self.excess_at) / self.excess_life)
        age = now - next(iter(self.pending.values()), now) - self.base
        pace = max(self.answers.rate(now), math.log(2) / self.answers.half * SECOND)
        return max(seen, age, (len(self.pending) - PENDING_FREE) / pace * SECOND if crowd else 0.0)


class OwnProcessor:
    """The own processor: it reports nothing, and every set-up of ours passes it."""

    def __init__(self, life: float) -> None:
        self.down_until, self.life = 0, life
        self.unheard: deque[tuple[int, int]] = deque()  # sends later than any answered one: when, whereto
        self.waits: deque[tuple[int, float]] = deque([(0, 0.0)], WITNESSES)  # of the last answers

    def heard(self, sent: int) -> None:
        """A set-up sent then was answered: it got through, so did all before it."""
        while self.unheard and self.unheard[0][0] <= sent:
            self.unheard.popleft()

    def wait(self, now: int) -> float:
        """What all paths wait (ns): the least of the last answers, or the age of sends that none overtook.

        Danger: an office that was sent to just now says nothing yet, and among many there is one.  Also
        covers incoming jams, a cut of all links, a hung processor.  Hurts where all its few offices are ill.
        """
        others = dict(reversed([(number, sent) for sent, number in self.unheard]))  # the oldest of each
        ages = sorted((now - sent for sent in others.values()), reverse=True)
        seen = min(wait for _, wait in self.waits) * math.exp(-(now - self.waits[-1][0]) / self.life)
        return max(seen, ages[WITNESSES - 1] if len(ages) >= WITNESSES else 0.0)


class Call:
    """One call that this controller owes an answer, or that stands."""

    def __init__(self, offer: io.CallOffered, now: int, order: int) -> None:
        self.name, self.cls, self.dest, self.width = offer.call, offer.class_no, offer.dest, offer.width
        self.expires, self.transit, self.hint = offer.expires, offer.transit, offer.hint
        self.number, self.was_cut, self.born, self.order = offer.number, offer.was_cut, now, order
        self.legs, self.out, self.sent_at, self.not_before, self.recheck = 0, False, 0, 0, 0
        self.held: int | None = None  # the queue it waits in
        self.faulted: Office | None = None  # where the last attempt ended in a fault
        self.tried: list[int] = []
        self.group: int | None = None
        self.epoch: int | None = None  # set once it stands


class Controller:
    """The decisions of one call server."""

    def __init__(self, settings: io.Settings, seed: int) -> None:
        if not settings.classes:
            raise ValueError("settings name no classes of calls")
        if any(c.width < 1 or c.worth < 0 or c.mean_hold <= 0 or c.aim <= 0 for c in settings.classes):
            raise ValueError("each class needs a width, a worth, an aim and a mean holding time")
        if not 0 < settings.cold_share <= 1:
            raise ValueError("the cold share must be above 0 and at most 1")
        self.settings, self.classes, self.rng, self.now = settings, settings.classes, Random(seed), 0
        self.widest = max(c.width for c in self.classes)
        self.values = [c.worth / (c.width * c.mean_hold / SECOND) for c in self.classes]
        self.top_value = max(self.values)  # worth for each circuit-second, as are the values
        self.aim = min(c.aim for c in self.classes)
        self.life = EVIDENCE_LIFE * self.aim
        self.seen = [(c, Fading(ANSWER_HALF * self.life)) for c in self.classes]
        self.offices: dict[str, Office] = {}
        self.by_number: dict[int, str] = {}
        self.groups: dict[int, Group] = {}
        self.answers = Fading(ANSWER_HALF * self.life)
        self.own = OwnProcessor(self.life)
        self.calls: dict[str, Call] = {}
        self.rests: dict[tuple[int, int], tuple[int, float]] = {}  # tandem, destination: until, length
        self.carried: set[tuple[int, int]] = set()  # tandem, destination: a call stood that way
        self.refusals: dict[tuple[str, int, int], int] = {}  # number, class, destination: first try
        self.waiting: dict[int, list[Call]] = {}  # held calls by destination
        self.timers: dict[int, tuple[int, Callable[[], object]]] = {}
        self.token, self.stall, self.sparse = 0, 0, False  # own stall just over; whether pairs lack groups
        self.noted: dict[str, int] = {}
        self.out: list[io.Action] = []
        self.handlers: dict[type, Callable[[Any], None]] = {
            io.OfficeList: self.listed, io.CallOffered: self.offered, io.CallStands: self.stands,
            io.AttemptEnded: self.ended, io.OfficeHeard: self.heard, io.TimerDue: self.due,
            io.CallGone: lambda event: self.finish(self.calls.get(event.call), None),
        }  # fmt: skip

    def handle(self, now: int, events: list[io.Event]) -> list[io.Action]:
        """Take the events of one moment; return what to do.

        Danger: after a stall of our own all answers seem late, and timers run before them.  A late timer
        tells of it: the stall is no wait of the offices.  Always, news goes first and timers last.
        """
        self.now, self.out = now, []
        timers = (self.timers.get(e.token, (now,)) for e in events if isinstance(e, io.TimerDue))
        late = max((now - timer[0] for timer in timers), default=0)
        self.stall = late if late > STALL * self.aim else 0
        for office in self.offices.values() if self.stall else ():
            office.pending = {name: at + self.stall for name, at in office.pending.items()}
        if self.stall:
            self.own.unheard = deque((at + self.stall, number) for at, number in self.own.unheard)
        for event in sorted(events, key=lambda e: ORDER.get(type(e), 0)):
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        return self.out

    def after(self, due: int, what: Callable[[], object]) -> None:
        self.token += 1
        self.timers[self.token] = (due, what)
        self.out.append(io.SetTimer(due, self.token))

    def due(self, event: io.TimerDue) -> None:
        self.timers.pop(event.token, (0, lambda: None))[1]()

    def note(self, kind: str, text: str) -> None:
        """A line for the people on call, at most one of a kind in NOTE_GAP."""
        if self.now - self.noted.get(kind, -NOTE_GAP) >= NOTE_GAP:
            self.noted[kind] = self.now
            self.out.append(io.Note(text))

    def listed(self, event: io.OfficeList) -> None:
        s = self.settings
        if event.kind is io.ListKind.FAILED:
            if s.list_on_request:
                self.after(self.now + LIST_RETRY, lambda: self.out.append(io.Subscribe()))
            return
        if event.kind is io.ListKind.REMEMBERED and s.list_on_request:
            self.out.append(io.Subscribe())
        named = {entry.office for entry in event.entries}
        for entry in event.entries:
            office = self.offices.get(entry.office)
            if office is None or (entry.started or 0) > office.started:
                office = self.offices[entry.office] = Office(entry, self.life)
            elif office.state is io.OfficeState.UP and entry.state is not io.OfficeState.UP:
                self.note(f"drain {entry.number}", f"office {entry.number} drains or is gone")
            office.state = entry.state
        for office in self.offices.values() if event.kind is not io.ListKind.CHANGES else ():
            office.state = office.state if office.name in named else io.OfficeState.GONE
        self.offices = {n: o for n, o in self.offices.items() if o.state is not io.OfficeState.GONE}
        self.by_number = {}
        # Of two machines with one number the older, warm one serves until it drains.
        for office in sorted(self.offices.values(), key=lambda o: -o.started):
            if office.state is io.OfficeState.UP:
                self.by_number[office.number] = office.name
                if office.number != s.own_number:
                    self.groups.setdefault(office.number, Group(self.classes))

    def heard(self, event: io.OfficeHeard) -> None:
        office = self.offices.get(event.office)
        if office is not None:
            self.learn(office, event.report)
            self.serve(office.number)

    def learn(self, office: Office, report: io.LoadReport) -> None:
        if office.number in self.groups:
            self.groups[office.number].told(report)
            self.sparse |= not self.groups[office.number].linked
        for name in office.report(self.now, report):
            call, _ = self.calls.get(name), office.pending.pop(name)
            if call and call.dest == office.number and self.settings.may_cancel:  # not beyond a tandem
                self.out.append(io.Cancel(name, call.legs - 1))

    def offered(self, event: io.CallOffered) -> None:
        if event.call in self.calls or not 0 <= event.class_no < len(self.classes):
            self.out.append(io.Refuse(event.call))
            return
        call = self.calls[event.call] = Call(event, self.now, self.token)
        self.seen[call.cls][1].add(self.now)
        key = (call.number, call.cls, call.dest)
        if not call.transit and key in self.refusals:
            call.born = self.refusals[key]
        elif event.redialled and not event.was_cut:
            # Danger: a cut call is a repeat too, but its aim runs anew: taken for late, it is lost.
            call.born = self.now - self.classes[call.cls].aim
        self.after(call.expires, lambda: self.expire(call))
        self.choose(call)

    def expire(self, call: Call) -> None:
        """Rule 1: an answer when the caller's time is up, whatever is still out."""
        if call.epoch is None and call.name in self.calls:
            self.finish(call, io.Abandon(call.name))

    def finish(self, call: Call | None, answer: io.Action | None) -> None:
        if call is not None:
            self.unhold(call)
            self.out += [answer] if answer is not None else []
            self.calls.pop(call.name, None)

    def refuse(self, call: Call) -> None:
        """Turn the call away, and tell when coming back may help: when a way is likely to open."""
        if call.number and not call.transit:
            key, born, keep = (call.number, call.cls, call.dest), call.born, self.classes[call.cls].give_up
            self.refusals[key] = born
            self.after(self.now + keep, lambda: self.refusals.get(key) == born and self.refusals.pop(key))
        tells = self.settings.may_pause and not call.transit
        pause = min(max(self.opens(call), self.life), self.settings.max_pause) if tells else 0
        self.finish(call, io.Refuse(call.name, int(pause)))

    def late(self, call: Call) -> bool:
        """Whether the caller's aim has passed, told by the number called: then most of the worth is gone.

        It also thins out storms on one number.  Hurts where many call one number.
        """
        return not call.transit and self.now - call.born >= self.classes[call.cls].aim

    def shed(self, office: Office | None, factor: float = 1.0) -> float:
        """Share of set-ups to hold back from a processor, by its wait and by what it asks."""
        if office is None:
            return 0.0
        by_wait = self.pressed(office.delay(self.now), factor) if self.now >= office.full_until else 1.0
        asked = office.reduce * math.exp(-(self.now - office.wait_at) / (2 * office.wait_life)) / factor
        return min(max(by_wait, asked, 0.0), SHED_CAP)

    def own_shed(self) -> float:
        """The own processor is on every path: what all paths wait is its wait."""
        share = self.pressed(self.own.wait(self.now)) if self.now >= self.own.down_until else 1.0
        return min(max(share, 0.0), SHED_CAP)

    def pressed(self, wait: float, factor: float = 1.0) -> float:
        return (wait / (self.aim * factor) - WAIT_EASY) / (WAIT_FULL - WAIT_EASY)

    def held_back(self, call: Call, share: float) -> bool:
        """Thin the offered calls by a share, least worth first."""
        if share <= 0.0:
            return False
        worth, seen = self.classes[call.cls].worth, [(c.worth, s.read(self.now)) for c, s in self.seen]
        below, level = sum(n for w, n in seen if w < worth), sum(n for w, n in seen if w == worth)
        return self.rng.random() < (share * sum(n for _, n in seen) - below) / max(level, 1e-9)

    def hold(self, call: Call) -> bool:
        """Keep a blocked call while a way is likely to open for it in time; asked again as that changes.

        It waits for circuits, a turn at a cold office, the rest of a tandem, a queue that empties, or a trial
        of a silent or the own processor.  Danger: where none comes in time, waiting only keeps the caller
        from redialling.  Hurts where releases come in bursts: the estimate takes them for steady.
        """
        office = self.offices.get(self.by_number.get(call.dest, ""))
        until = min(call.born + self.classes[call.cls].aim, call.expires)
        until -= int(office.srtt + RTO_VARS * office.var) if office is not None else 0
        opens = self.opens(call)
        if call.transit or self.now + opens >= until:
            return False
        if call.held is None:
            call.held = self.queue(call)
            self.waiting.setdefault(call.held, []).append(call)
        due = max(until - int(opens), self.now + RECHECK)
        if not self.now < call.recheck <= due:
            call.recheck = due
            self.after(due, lambda: self.again(call))
        return True

    def opens(self, call: Call) -> float:
        """When a way is likely to open for a blocked call, those ahead of it served (ns from now)."""
        queue, own = self.queue(call), self.own.wait(self.now) - WAIT_EASY * self.aim
        ahead = [c for c in self.waiting.get(queue, ()) if c is not call and self.rank(c) < self.rank(call)]
        numbers = self.groups if queue == OVER else (call.dest,)
        least = max(self.own.down_until - self.now, call.not_before - self.now, own)
        return least if least > 0 else min((self.opening(call, n, ahead) for n in numbers), default=math.inf)

    def opening(self, call: Call, number: int, ahead: list[Call]) -> float:
        """The same for one way: a trial, circuits, a queue emptied in its own length, a cold turn."""
        office, group = self.offices.get(self.by_number.get(number, "")), self.groups.get(number)
        if office is None or group is None or group.free is None or not group.linked:
            return math.inf
        if office.opened:
            return math.inf if ahead or office.trial is not None else max(office.retry_at - self.now, 0)
        circuits = call.width + sum(c.width for c in ahead) - group.free
        until = max(self.rests.get((number, call.dest), (0, 0.0))[0], office.full_until) - self.now
        if number != call.dest:
            circuits += math.ceil(group.reserve(self.now, self.widest, self.sparse))
        elif circuits <= 0 and not self.admitted(call, number, False):
            circuits = 1  # each one more lowers the bar
        pressed = max(office.delay(self.now, False) - WAIT_EASY * self.aim, until, 0.0)
        if len(office.pending) > PENDING_FREE:  # as many as are out are answered in one response time
            rounds = 1 + len(ahead) // len(office.pending)
            pressed = max(pressed, rounds * (office.srtt or WAIT_EASY * self.aim))
        if circuits > 0:
            return max(group.opening(circuits), pressed)
        if self.cold_room(office):
            return pressed or math.inf
        return max(office.wake - self.now, 0) + len(ahead) * office.turn

    def rank(self, call: Call) -> tuple[bool, float, int, int]:
        """Of held calls those that were cut go first, then those of most worth for each circuit-second."""
        return (not call.was_cut, -self.values[call.cls], call.born, call.order)

    def unhold(self, call: Call) -> None:
        if call.held is not None:
            self.waiting[call.held].remove(call)
            call.held = None

    def queue(self, call: Call) -> int:
        """Where the call is held: by its destination, or with all those that have no group to it."""
        group = self.groups.get(call.dest)
        return call.dest if group is not None and group.linked else OVER

    def serve(self, number: int) -> None:
        """Circuits toward an office may be free: held calls go, also those without a group of their own."""
        held = self.waiting.get(number, []) + self.waiting.get(OVER, [])
        if held and number in self.groups and self.usable(number):
            for call in sorted(held, key=self.rank):
                self.again(call, number)

    def again(self, call: Call, number: int | None = None) -> None:
        """Try a held call again, over one office or any; it is refused once no way is likely to open in time.

        Only while nothing on the way is pressed: held calls drawing lots again would undo the shedding.
        """
        if call.held is None:
            return
        own = number in (None, call.dest)
        if self.own_shed() <= 0 and self.shed(self.usable(call.dest)) <= 0:
            if own and self.direct(call, first=False):
                return
            if number != call.dest and self.alternate(call, None if number is None else [number]):
                return
        if own and not self.hold(call):
            self.refuse(call)

    def admitted(self, call: Call, number: int, explore: bool = True) -> bool:
        """The design's test on one own group, with room for the call."""
        group, system = self.groups[number], self.groups[number].systems[call.cls]
        if group.free is None:
            return True
        if group.free < call.width:
            return False
        price = self.top_value * (self.widest + 1 - group.free) / (self.widest + 1)
        if price <= 0.0 or self.values[call.cls] >= self.top_value or not system.knows():
            return True
        if system.beats(price * call.width / max(self.classes[call.cls].worth, 1e-9)):
            return True
        f = EXPLORE_BASE * math.exp(min(system.alpha.read(self.now), 1e3) ** EXPLORE_POWER)
        if not explore or self.rng.random() * f >= 1.0:
            return False
        system.alpha.add(self.now, float(system.standing == 0))
        return True

    def usable(self, number: int) -> Office | None:
        """The office of that number, if it may be sent to now."""
        office = self.offices.get(self.by_number.get(number, ""))
        if office is None or (office.opened and (office.trial is not None or self.now < office.retry_at)):
            return None
        return office

    def choose(self, call: Call) -> None:
        """Where the call goes now: direct, over one random tandem, or nowhere."""
        if self.calls.get(call.name) is not call or call.out:
            return  # it ended while its release was awaited
        if call.tried or not self.held_back(call, self.own_shed()):
            if call.dest not in call.tried and self.direct(call):
                return
            if not call.transit and call.legs < self.settings.attempt_cap and self.alternate(call):
                return
        if not self.hold(call):
            self.refuse(call)

    def direct(self, call: Call, first: bool = True) -> bool:
        """Try the group to the destination itself (or the pool of first choice)."""
        group = self.groups.get(call.dest)
        if group is None or not group.linked:
            return False
        if first:
            group.systems[call.cls].arrive(self.now)
        office = self.usable(call.dest)
        if office is None or self.held_back(call, self.shed(office)):
            return False
        spare = math.inf if group.free is None else group.free - call.width
        if (call.transit or self.late(call)) and spare < group.reserve(self.now, self.widest, self.sparse):
            return False
        if not self.admitted(call, call.dest, first):
            if not call.transit and first:
                group.blocks.add(self.now)
            return False
        return self.send(call, office)

    def alternate(self, call: Call, numbers: Iterable[int] | None = None) -> bool:
        """One random tandem whose own leg shows room beyond the reserve; the planned route of unlinked pairs.

        Danger: many have no group to the destination; a call turned back is work at two processors.  Advice
        goes first, then those that carried a call there, then by lot, weighted by how often each sent on.
        """
        pools, planned = self.classes[call.cls].pools, self.queue(call) == OVER or self.settings.pooled
        if self.late(call) or (call.tried and call.tried[-1] != call.dest and not planned):
            return False
        if not self.settings.pooled:
            far = self.usable(call.dest)
            if far is None or self.held_back(call, self.shed(far, ALTERNATE_FACTOR)):
                return False  # another tandem does not cure a destination in trouble
        best, most = None, 0.0
        for number in numbers or self.groups:
            group, pair = self.groups[number], (number, call.dest)
            if not group.free or number == call.dest or number in call.tried:
                continue
            until, rest = self.rests.get(pair, (0, 0.0))
            odds = group.sent_on / group.asked / (2 if rest else 1)
            lot = self.rng.random() * odds + (pair in self.carried) + 2 * (number == call.hint)
            if lot <= most or self.now < until or (pools is not None and number not in pools):
                continue
            if group.free - call.width < group.reserve(self.now, self.widest, self.sparse):
                continue
            office = self.usable(number)
            if office is not None and self.shed(office, ALTERNATE_FACTOR) <= 0.0:
                best, most = office, lot
        if best is None:
            return False
        self.groups[best.number].systems[call.cls].arrive(self.now)
        return self.admitted(call, best.number) and self.send(call, best)

    def cold_room(self, office: Office) -> bool:
        """Rule 4: this controller's part of what all may send a cold office in a window.

        Where that is under one set-up they take turns, spread by their numbers, which lapse in half a window.
        """
        s, age = self.settings, self.now - office.started
        if not office.started or age >= s.cold_time or not s.cold_window:
            return True
        while office.sent and office.sent[0] <= self.now - s.cold_window:
            office.sent.popleft()
        rates = [o.rate for o in self.offices.values() if o.rate and o.name != office.name]
        # Where nobody tells a rate: an office takes as many set-ups as it sends out, and works on both.
        rate = sum(rates) / len(rates) if rates else max(2 * self.answers.rate(self.now), COLD_UNKNOWN)
        part = COLD_CAUTION * s.cold_multiple * s.cold_share * rate * s.cold_window / SECOND / s.controllers
        period = s.cold_window / max(part, 1e-9)
        turn = (age - s.ordinal / s.controllers * period) % period
        if part < 1.0 and turn <= min(age, s.cold_window / 2) and part > 0 and not office.sent:
            return True
        if part >= 1.0 and len(office.sent) < part:
            return True
        if self.now >= office.wake:
            until = office.sent[0] + s.cold_window if part >= 1.0 else self.now + int(period - turn)
            office.wake, office.turn = until + 1, int(period)
            self.after(office.wake, lambda: self.serve(office.number))
        return False

    def send(self, call: Call, office: Office) -> bool:
        """Emit one set-up; the five rules are checked here and nowhere else."""
        s = self.settings
        if call.out or call.legs >= s.attempt_cap or call.epoch is not None:
            return False  # rule 2
        if office.number == s.own_number or (call.transit and office.number != call.dest):
            return False
        up = office.state is io.OfficeState.UP
        if not (call.not_before <= self.now < call.expires and up and self.cold_room(office)):
            return False  # rules 5, 1, 3 and 4
        self.unhold(call)
        if office.started and self.now - office.started < s.cold_time:
            office.sent.append(self.now)
        group = self.groups[office.number]
        group.asked += office.number != call.dest
        if group.free is not None:
            group.free -= call.width
        call.out, call.sent_at, call.group = True, self.now, office.number
        call.tried.append(office.number)
        office.pending[call.name] = self.now
        if call.faulted is office:
            office.resent.add(self.now)
        self.own.unheard.append((self.now, office.number))
        leg, call.legs = call.legs, call.legs + 1
        office.since += 1
        if office.opened:
            office.trial = call.name
        rto = int(max(office.srtt + RTO_VARS * office.var, self.aim))  # processors queue longer than networks
        self.after(self.now + rto, lambda: self.unanswered(call, leg, office))
        if s.may_probe and office.srtt:
            self.after(self.now + office.overdue(), lambda: self.ask(call, leg, office))
        self.out.append(io.Send(call.name, office.name, call.expires))
        return True

    def ask(self, call: Call, leg: int, office: Office) -> None:
        """A set-up is overdue: a probe tells whether its processor is busy.  It vouches for no set-up."""
        if call.name in office.pending and call.legs == leg + 1 and self.now - office.asked_at > self.aim:
            office.asked_at = self.now
            self.out.append(io.Probe(office.name))

    def unanswered(self, call: Call, leg: int, office: Office) -> None:
        """A send is past its time-out: the office may be silent.  Then all such sends are given up."""
        if not call.out or call.legs != leg + 1 or call.epoch is not None or call.name not in self.calls:
            return
        # One burst of unanswered set-ups must not double the pause over and over.
        counts = office.heard_at < call.sent_at and (not office.opened or office.trial == call.name)
        if counts and office.silence(self.now, self.rng):
            self.note(f"silent {office.number}", f"office {office.number} is silent: no calls to it")
            for other in [self.calls.get(n) for n, sent in office.pending.items() if sent <= call.sent_at]:
                self.write_off(other, office)
            for held in list(self.waiting.get(office.number, ())):
                self.again(held)
        if office.opened and call.name in self.calls:
            self.write_off(call, office)

    def write_off(self, call: Call | None, office: Office) -> None:
        """A set-up no longer believed in: its caller is told now, not when the time is up."""
        if call is not None:
            office.pending.pop(call.name, None)
            self.out += [io.Cancel(call.name, call.legs - 1)] if self.settings.may_cancel else []
            self.refuse(call)

    def stands(self, event: io.CallStands) -> None:
        office = self.offices.get(event.office)
        if office is not None:
            office.answered(self.now)
            office.answers.add(self.now)
            self.answers.add(self.now)
            self.own.heard(office.pending.pop(event.call, 0))
            if office.srtt and not self.stall:
                self.own.waits.append((self.now, event.took - office.base))
        call = self.calls.get(event.call)
        if call is None or not call.out or call.legs != event.leg + 1:
            return
        if office is not None and office.number == call.dest and not self.stall:
            office.timed(self.now, event.took)
        elif office is not None and office.number != call.dest:
            self.rests.pop((office.number, call.dest), None)
            self.groups[office.number].sent_on += 1
            self.carried.add((office.number, call.dest))
        self.refusals.pop((call.number, call.cls, call.dest), None)
        if office is not None and call.faulted is office:
            office.mended.add(self.now)
        if call.group is not None:
            call.epoch = self.groups[call.group].systems[call.cls].began()

    def ended(self, event: io.AttemptEnded) -> None:
        office = self.offices.get(event.office)
        if office is not None:
            sent = office.pending.pop(event.call, None)
            self.learn(office, event.report or io.LoadReport())
            if event.outcome not in SAYS_NOTHING:
                office.answered(self.now)
                if sent is not None and event.cause is not io.Cause.PROCESSOR_FULL:
                    self.own.heard(sent)
            elif sent is not None:  # no longer fresh: kept, it would shed on after a restart of all
                self.own.unheard = deque(x for x in self.own.unheard if x != (sent, office.number))
            if event.outcome is io.Outcome.UNREACHABLE and office.silence(self.now, self.rng):
                self.note(f"unreachable {office.number}", f"office {office.number} cannot be reached")
            office.trial = None if office.trial == event.call else office.trial
        call = self.calls.get(event.call)
        if call is None or call.legs != event.leg + 1:
            return
        if call.epoch is not None and call.group is not None:
            self.groups[call.group].systems[call.cls].ended(call.epoch, event.outcome is io.Outcome.RELEASED)
            call.epoch = None
        call.out = False
        if event.settled:
            self.finish(call, None)
            return
        full = event.cause is io.Cause.PROCESSOR_FULL
        own_down = full and event.outcome is io.Outcome.NOT_SENT
        if own_down:
            # Danger: blamed on the far office, a stop of the own processor would empty every route.
            self.own.down_until = self.now + int(OWN_DOWN * self.life)
            self.note("own", "own processor is down: calls are held")
        elif office is not None and full:
            office.excess, office.excess_at = max(office.excess, 2.0 * self.aim), self.now
            office.full_until = self.now + event.named_wait
        fault = event.outcome is io.Outcome.FAULT and event.cause is io.Cause.NONE
        call.faulted = office if fault else None
        timely = office is not None and self.now + office.srtt < call.expires and office.mends(self.now)
        if event.outcome is io.Outcome.CANCELLED or (fault and timely):
            call.tried = []  # lost, or failed by chance with time left: the same way again
        if event.outcome in RELEASES:
            call.not_before = self.now + self.settings.release_wait
        if event.cause is io.Cause.TANDEM_REFUSED and office is not None:
            # Danger: most blind alternates are turned back.  Hurts where its groups free up quickly.
            pair, first = (office.number, call.dest), TURNED_BACK * self.classes[call.cls].mean_hold
            rest = max(2 * self.rests.get(pair, (0, 0.0))[1], first)
            rest = min(rest, TURNED_BACK_CAP * first) if pair in self.carried else rest
            self.rests[pair] = (self.now + int(rest), rest)
        hopeless = event.cause in HOPELESS and (office is None or office.number == call.dest)
        if max(self.now, call.not_before) >= call.expires:
            self.finish(call, io.Abandon(call.name))
        elif own_down and self.hold(call):
            return
        elif call.transit or hopeless or event.cause is io.Cause.BEYOND_FULL:
            self.refuse(call)
        elif call.not_before > self.now:
            self.after(call.not_before, lambda: self.choose(call))
        else:
            self.choose(call)
