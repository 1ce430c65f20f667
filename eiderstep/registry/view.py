"""What is believed of several registries that disagree, forget, go back or fall silent.  No I/O, no clock.

In: pictures of the registries followed, their silence, the time.  Out: news in the module's terms, as late
as the registries and no later; and notes for the log.  The rules, each with its danger and when it harms:

1.  *A closing word counts at once, from whichever registry.*  DOWN, OUT_OF_SERVICE and a departure are heard
    first from one and only later from its peers.  Danger: waiting for a majority sends new work to what has
    left.  Harms where a registry drops the living: they get no new work until rule 3 brings them back.
2.  *The newest life counts.*  Of two words on one instance the one with the later `lastDirtyTimestamp` (the
    instance's own clock) holds, and of two instances at one address the later start.  Danger: a lagging
    peer, or a cache that goes back, brings back what has left.  Harms where an instance's clock is set back
    at its restart: its old life is believed until its lease ends.
3.  *The dead come back by proof only*: a later life (rule 2), or a lease seen renewed `RENEWALS` times after
    the departure by one registry's own figures.  Danger: as in 2, with nothing newer to tell.  Harms a
    living one that was dropped: it is away for as many renewals.
4.  *Most of them at once is news of the registry, not of the exchanges*: absences without a closing word
    that take more than `loss_share` of those believed up within `LOSS_WINDOW` are held back until another
    registry agrees or `hold` is over, and asked about at once.  An answer that names nobody is never
    believed.  Danger: a registry that restarted empty, or lost its own network, takes every exchange away.
    Harms when most leave at once without a word: until then what is sent there fails, and the module's
    breaker is what tells.
5.  *Silence changes nothing.*  What was last told stays.  Danger: a registry outage becomes ours.  Harms
    what leaves meanwhile, as in 4.  What only a registry that is silent for longer than `hold` ever named is
    dropped once one that speaks does not name it.
6.  *A lease long over is a departure*, by the registry's own clock (`LEASES` times its length), unless it is
    so for most (rule 4).  Danger: a registry that stopped evicting lists the gone for ever.  Harms where a
    registry does not tell renewals as they come; then its lease lengths must be longer.
7.  *A start is never taken for older than it can be*: by the registry's clock, and no earlier than the last
    time that the life before it was listed.  Danger: an exchange whose clock is behind counts as warm and is
    pushed over.  Harms little: one is held for cold for a poll longer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any

from eiderstep.interface import ListKind, OfficeEntry, OfficeState
from eiderstep.registry.model import Instance, Status
from eiderstep.registry.table import Picture

MS, SECOND = 1_000_000, 1_000_000_000
RENEWALS = 2  # a replica's renewal of before the departure can arrive once after it
LEASES = 2  # Eureka itself lets a lease run for twice its length before it evicts
SETTLED = 30 * SECOND  # by then every replica names a new instance: one poll of Eureka's own caches
LOSS_WINDOW = 10 * SECOND  # Eureka evicts in batches: losses this close together are one
LIVES = 100_000  # remembered at most, the departed among them
LAST_NUMBER = 65535

News = tuple[ListKind, tuple[OfficeEntry, ...]]


@dataclass(frozen=True)
class Policy:
    """The installation's figures.  `hold` in ns."""

    number_key: str = "exchange"
    district_key: str = "district"
    started_key: str = "started"
    loss_share: float = 0.5
    loss_least: int = 2  # so few may leave at once, whatever their share
    hold: int = 90 * SECOND


@dataclass(frozen=True)
class Said:
    """A line for the log."""

    event: str
    fields: dict[str, Any]


@dataclass(frozen=True, slots=True)
class Processor:
    """An instance in our terms.  `born`: its start by its own clock (ms)."""

    id: str
    office: str
    number: int
    zone: int
    born: int
    instance: Instance

    @property
    def word(self) -> tuple[int, int]:
        """Of two words of one instance the greater is the later."""
        return self.instance.dirty, self.born


def processor(found: Instance, policy: Policy) -> Processor | str:
    """An instance's processor, or what is wrong with it."""
    if not found.address:
        return "no address that can be dialled"
    values = []
    for key, top in (
        (policy.number_key, LAST_NUMBER), (policy.district_key, LAST_NUMBER), (policy.started_key, 2**53),
    ):  # fmt: skip
        text = found.metadata.get(key, "")
        if not (text.isascii() and text.isdigit() and len(text) < 20 and int(text) <= top):
            return f"metadata {key}: found {text[:40]!r}; allowed: 0 to {top}"
        values.append(int(text))
    return Processor(found.id, found.address, values[0], values[1], values[2], found)


@dataclass(slots=True)
class Life:
    """One life of one instance, and who has closed it: registry to its word and whether it is final."""

    latest: Processor
    started: int  # on our clock, 0 for long ago
    seen: int  # when any registry last listed it (ns)
    closed: dict[str, Status | None] = field(default_factory=dict)  # None: it has left
    since: int = 0  # when it was first listed
    proof: dict[str, tuple[int, int]] = field(default_factory=dict)  # registry: last renewal, times grown
    lost_at: int = 0  # when it left without a closing word, 0 otherwise
    was_up: bool = False

    @property
    def gone(self) -> bool:
        return any(word is None for word in self.closed.values())

    @property
    def up(self) -> bool:
        return not self.closed


@dataclass
class Source:
    """One registry as heard."""

    listed: dict[str, Processor] = field(default_factory=dict)
    old: dict[str, int] = field(default_factory=dict)  # leases long over, and the renewal that they stood at
    doubted: dict[str, int] = field(default_factory=dict)  # ids that it lost with most others, and since when
    spoke: int = -1
    known: bool = False  # a whole list of it has been taken
    silent_since: int = -1  # -1: it speaks
    why: str = ""

    @property
    def speaks(self) -> bool:
        return self.spoke >= 0 and self.silent_since < 0


class View:
    """The list believed.  `remembered`: the exchanges that the settings name, in force before any list."""

    def __init__(self, policy: Policy, remembered: Iterable[OfficeEntry] = ()) -> None:
        self.policy = policy
        self.remembered = {entry.office: entry for entry in remembered}
        self.sources: dict[str, Source] = {}
        self.lives: dict[str, Life] = {}
        self.at: dict[str, dict[str, int]] = {}  # by address: ids ever listed there, and when last
        self.told: dict[str, OfficeEntry] = {}
        self.whole = False  # a complete list has been told
        self.first_at = -1
        self.failed = False
        self.doubt = False  # a second opinion is wanted; the client asks and takes it back
        self.notes: list[Said] = []
        self.counts: dict[str, int] = {}
        self._complained: dict[str, str] = {}

    # -- inputs --------------------------------------------------------------------------------------------

    def heard(self, now: int, name: str, picture: Picture) -> list[News]:
        """One registry's answer."""
        source = self.sources.setdefault(name, Source())
        source.spoke, source.silent_since, source.why = now, -1, ""
        back, self.failed = self.failed, False
        listed = self._usable(picture)
        before = source.listed
        if picture.full:
            source.old = self._over(listed, picture.clock)
        for one, renewed in list(source.old.items()):
            found = listed.get(one)
            if found is None or found.instance.renewed > renewed:
                del source.old[one]
            else:
                del listed[one]
        source.listed = listed
        for each in listed.values():
            source.doubted.pop(each.id, None)
            self._says(now, name, each, picture)
        left = [each for each in before.values() if each.id not in listed]
        if picture.full and not source.known:
            source.known = True
            left += self._unlisted(now, listed)
        self._leave(now, name, source, left)
        news = self._settle(now)
        if back and self.whole:
            # Danger: who was told of the failure (choice.py) waits for a list, and nothing may have changed.
            return [(ListKind.COMPLETE, self.entries())]
        return news

    def lost(self, now: int, name: str, why: str) -> list[News]:
        """A registry could not be asked, or its answer could not be used."""
        source = self.sources.setdefault(name, Source())
        source.why = why
        if source.silent_since < 0:
            source.silent_since = now
        news = self._settle(now)
        if not self.failed and not any(s.speaks for s in self.sources.values()):
            self.failed = True
            news.append((ListKind.FAILED, ()))
        return news

    def due(self, now: int) -> list[News]:
        """What is over by time alone."""
        return self._settle(now)

    def next_due(self) -> int | None:
        """When `due` is wanted next (ns)."""
        hold = self.policy.hold
        speaking = [s for s in self.sources.values() if s.speaks and s.listed]
        times = [since + hold for s in speaking for since in s.doubted.values()]
        times += [s.silent_since + hold for s in self.sources.values() if s.silent_since >= 0 and s.listed]
        if self.first_at >= 0 and not self.whole:
            times.append(self.first_at + hold)
        return min(times, default=None)

    def entries(self) -> tuple[OfficeEntry, ...]:
        """All that is believed, in the order of the addresses."""
        return tuple(self.told[office] for office in sorted(self.told))

    # -- what one answer says ------------------------------------------------------------------------------

    def _unlisted(self, now: int, listed: dict[str, Processor]) -> list[Processor]:
        """Whom a registry that is heard for the first time does not name, though others long have.

        Danger: after a failover the last registry's word stays for ever on what left meanwhile.  What is
        younger than `SETTLED` may only not have reached this one.  Harms as rule 1 does.
        """
        return [
            life.latest
            for life in self._best().values()
            if life.up and life.latest.id not in listed and now - life.since >= SETTLED
        ]

    def _usable(self, picture: Picture) -> dict[str, Processor]:
        listed: dict[str, Processor] = {}
        for found in picture.instances.values():
            one = processor(found, self.policy)
            if isinstance(one, Processor):
                listed[one.id] = one
                continue
            self._count("instances skipped")
            if self._complained.get(found.id) != one:  # once for each new fault, not at each poll
                if len(self._complained) > LIVES:
                    self._complained.clear()
                self._complained[found.id] = one
                self._note("instance skipped", id=found.id, why=one)
        return listed

    def _over(self, listed: dict[str, Processor], clock: int) -> dict[str, int]:
        """Rule 6, by figures of one answer alone."""
        over = {
            one.id: one.instance.renewed
            for one in listed.values()
            if one.instance.renewed and one.instance.duration
            and clock - one.instance.renewed > LEASES * one.instance.duration
        }  # fmt: skip
        if self._most(len(over), len(listed)):
            self._note("leases over for most: the registry hears no renewals", leases=len(over))
            return {}
        return over

    def _says(self, now: int, name: str, one: Processor, picture: Picture) -> None:
        life = self.lives.get(one.id)
        found = one.instance
        if life is None or one.word > life.latest.word:
            if life is None or one.born != life.latest.born:
                was_up = life is not None and life.was_up
                started = self._started(now, one, picture.clock, life)
                life = self.lives[one.id] = Life(one, started, now, since=now, was_up=was_up)
                self._bound(now)
            life.latest = one
            life.closed.clear()
            life.proof.clear()
            life.lost_at = 0
        elif one.word < life.latest.word:
            self._count("stale words")
            return
        life.seen = now
        self.at.setdefault(one.office, {})[one.id] = now
        if found.status is Status.UNKNOWN:
            return  # the registry does not know: what was believed stays
        if found.status is not Status.UP:
            if life.closed.get(name, found.status) is not None:
                life.closed[name] = found.status
            return
        if life.gone:
            self._proof(name, life, found.renewed)
        else:
            life.closed.pop(name, None)
        life.was_up = life.was_up or life.up

    def _proof(self, name: str, life: Life, renewed: int) -> None:
        """Rule 3.  The first figure after the departure is only where counting begins."""
        last, grown = life.proof.get(name, (renewed, 0))
        if renewed > last:
            last, grown = renewed, grown + 1
        life.proof[name] = (last, grown)
        if grown >= RENEWALS:
            life.closed = {who: word for who, word in life.closed.items() if word is not None}
            life.proof.clear()
            life.lost_at = 0
            self._count("alive after all")
            self._note("alive after all", id=life.latest.id, exchange=life.latest.number, registry=name)

    def _started(self, now: int, one: Processor, clock: int, before: Life | None) -> int:
        """Rule 7, in ns of our clock; 0 for longer ago than our clock goes."""
        age = max(clock - one.born, 0) * MS if clock else 0
        for other, seen in self.at.get(one.office, {}).items():
            if other != one.id:
                age = min(age, now - seen)
        if before is not None:
            age = min(age, now - before.seen)
        return max(now - age, 0)

    def _most(self, lost: int, of: int) -> bool:
        """Whether so many at once are news of the registry rather than of them (rule 4)."""
        return lost > self.policy.loss_least and lost > self.policy.loss_share * of

    # -- departures ----------------------------------------------------------------------------------------

    def _leave(self, now: int, name: str, source: Source, left: list[Processor]) -> None:
        """Those that a registry does not list any more: rules 1 and 4."""
        sudden: list[Processor] = []
        plain: list[Processor] = []
        for one in left:
            life = self.lives.get(one.id)
            if life is None or one.word < life.latest.word:
                continue  # it drops an earlier life
            (sudden if life.up else plain).append(one)
        for one in plain:
            self.lives[one.id].closed[name] = None
        if not sudden:
            return
        # Counted by address: an exchange that has come back under a new id is no loss any more.
        up = sum(entry.state is OfficeState.UP for entry in self.told.values())
        recent = sum(
            bool(life.lost_at) and life.gone and now - life.lost_at <= LOSS_WINDOW
            and life.latest.office not in self.told
            for life in self.lives.values()
        )  # fmt: skip
        if source.listed and not self._most(len(sudden) + recent, up + recent):
            for one in sudden:
                self._gone(now, name, one.id)
            return
        self.doubt = True
        self._count("losses doubted", len(sudden))
        self._note("loss of most not believed yet", registry=name, lost=len(sudden), of=up + recent)
        for one in sudden:
            source.doubted.setdefault(one.id, now)

    def _gone(self, now: int, name: str, one: str) -> None:
        life = self.lives[one]
        if not life.gone:
            life.lost_at = now
        life.closed[name] = None

    def _settle(self, now: int) -> list[News]:
        """Doubts and long silences that are over, then what is new."""
        speaking = {name: s for name, s in self.sources.items() if s.speaks and s.listed}
        for name, source in self.sources.items():
            for one, since in list(source.doubted.items()):
                life = self.lives.get(one)
                others = [(o, s) for o, s in speaking.items() if o != name and s.spoke > since]
                agreed = next((o for o, s in others if one not in s.listed), "")
                over = name in speaking and now - since >= self.policy.hold
                if life is None or not life.up:
                    del source.doubted[one]
                elif agreed or over:
                    del source.doubted[one]
                    self._note("loss believed", exchange=life.latest.number, why=agreed or "held long enough")
                    self._gone(now, name, one)
            if source.silent_since >= 0 and now - source.silent_since >= self.policy.hold and speaking:
                self._forget(now, name, source, speaking)
        return self._tell(now)

    def _forget(self, now: int, name: str, source: Source, speaking: dict[str, Source]) -> None:
        """Rule 5's end: a registry silent for long has no say beside one that speaks."""
        for one in source.listed:
            if not any(one in s.listed or one in s.doubted for s in speaking.values()) and one in self.lives:
                self._gone(now, name, one)
        for one, life in self.lives.items():
            if life.closed.get(name) is not None and any(one in s.listed for s in speaking.values()):
                del life.closed[name]
        source.listed, source.old, source.doubted, source.known = {}, {}, {}, False

    def _bound(self, now: int) -> None:
        """Danger: names that come and go for ever.  The departed go once nobody can bring them back."""
        if len(self.lives) % 256 and len(self.lives) < LIVES:
            return
        listed = {one for source in self.sources.values() for one in source.listed}
        for one, life in list(self.lives.items()):
            if life.gone and one not in listed and now - life.seen > 2 * self.policy.hold:
                self._drop(one)
        while len(self.lives) > LIVES:
            self._drop(next(iter(self.lives)))

    def _drop(self, one: str) -> None:
        office = self.lives.pop(one).latest.office
        there = self.at.get(office, {})
        there.pop(one, None)
        if not there:
            self.at.pop(office, None)

    # -- the list ------------------------------------------------------------------------------------------

    def _best(self) -> dict[str, Life]:
        """By address the life that counts: the one that started last."""
        best: dict[str, Life] = {}
        for life in self.lives.values():
            office = life.latest.office
            rival = best.get(office)
            key = (life.latest.born, life.latest.instance.dirty, life.latest.id)
            if rival is None or key > (rival.latest.born, rival.latest.instance.dirty, rival.latest.id):
                best[office] = life
        return best

    def _wanted(self) -> dict[str, OfficeEntry]:
        wanted: dict[str, OfficeEntry] = {}
        for office, life in self._best().items():
            if life.gone or not (life.up or life.was_up):
                continue
            state = OfficeState.UP if life.up else OfficeState.DRAINING
            wanted[office] = OfficeEntry(office, life.latest.number, state, life.started, life.latest.zone)
        return wanted

    def _tell(self, now: int) -> list[News]:
        wanted, told = self._wanted(), self.told
        if not wanted and not self.whole:
            return []  # nobody has ever been named: the settings' exchanges stay
        if self.first_at < 0:
            self.first_at = now
        if not self.whole:
            missing = sum(office not in wanted for office in self.remembered)
            if not self._most(missing, len(self.remembered)) or now - self.first_at >= self.policy.hold:
                self.whole, self.told = True, wanted
                return [(ListKind.COMPLETE, self.entries())]
            if not told:
                self.doubt = True
                self._note("first list names few: the settings' exchanges stay", missing=missing)
        changed = [wanted[office] for office in sorted(wanted) if told.get(office) != wanted[office]]
        for office in sorted(told.keys() - wanted.keys()):
            entry = told[office]
            changed.append(OfficeEntry(office, entry.number, OfficeState.GONE, entry.started, entry.zone))
        self.told = wanted
        return [(ListKind.CHANGES, tuple(changed))] if changed else []

    def _note(self, event: str, **fields: Any) -> None:
        self.notes.append(Said(event, fields))

    def _count(self, what: str, times: int = 1) -> None:
        self.counts[what] = self.counts.get(what, 0) + times

    # -- for people ----------------------------------------------------------------------------------------

    def explain(self) -> list[dict[str, Any]]:
        """For each instance ever named: what each registry says, what is believed, why."""
        rows = []
        chosen = {(e.office, e.started): e for e in self.told.values()}
        for one, life in sorted(self.lives.items(), key=lambda item: (item[1].latest.number, item[0])):
            latest = life.latest
            says = {}
            for name, source in self.sources.items():
                found = source.listed.get(one)
                if one in source.doubted:
                    says[name] = "lost with most"
                elif one in source.old:
                    says[name] = "lease over"
                else:
                    says[name] = found.instance.status.value if found is not None else "-"
            entry = chosen.get((latest.office, life.started))
            rows.append({
                "exchange": latest.number, "id": one, "address": latest.office, "district": latest.zone,
                "says": says, "believed": entry.state.name if entry is not None else "GONE",
                "why": self._why(one, life, entry),
            })  # fmt: skip
        return rows

    def _why(self, one: str, life: Life, entry: OfficeEntry | None) -> str:
        if life.gone:
            left = ", ".join(name for name, word in life.closed.items() if word is None)
            return f"left {left}; back by renewals or a start"
        if life.closed:
            return ", ".join(f"{word.value} says {name}" for name, word in life.closed.items() if word)
        if entry is None:
            return "a later start at its address"
        if any(one in s.doubted for s in self.sources.values()):
            return "kept: lost together with most"
        if not any(s.speaks for s in self.sources.values()):
            return "kept: every registry is silent"
        return "listed"
