"""What each far end may say: one table, a rule for each thing said, its danger and whom it hurts.

A rule is asked with the sender, what the message is about (an exchange's number, or -1), and whether it came
over the connection that the thing belongs to, or surely from the same exchange.  What no rule allows is
answered with the rule's status, counted, and changes nothing.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from eiderstep.trust.party import Party

FORBIDDEN, UNKNOWN, SILENCE = 403, 481, 0


class Act(Enum):
    """What can be said to a call server."""

    __hash__ = object.__hash__

    ANYTHING = auto()  # to be heard at all
    CALL = auto()  # an INVITE of a caller
    TRANSIT = auto()  # an INVITE over a trunk group, with the circuits seized
    CIRCUITS = auto()  # NOTIFY: circuits of a group out of service, or circuits seized without a group
    MARKS = auto()  # redialled, cut
    ADVICE = auto()  # where the call should go
    CLASS = auto()  # a class that not everybody may ask for
    WITHIN = auto()  # BYE, re-INVITE: within a dialog
    LATE = auto()  # a 2xx to a set-up that is forgotten


@dataclass(frozen=True, slots=True)
class Rule:
    """`allows(sender, about, own)`; `status` answers what is not allowed, `SILENCE` where nothing may be."""

    status: int
    allows: Callable[[Party, int, bool], bool]
    danger: str
    hurts: str


RULES: dict[Act, Rule] = {
    Act.ANYTHING: Rule(
        FORBIDDEN,
        lambda who, about, own: who.known,
        "a stranger costs work and memory with each message, and finds out what is here",
        "who is not in the settings yet: callers from a new network, an exchange with a new address",
    ),
    Act.CALL: Rule(
        FORBIDDEN,
        lambda who, about, own: who.caller is not None,
        "an exchange's key, or a stranger, makes calls that no member answers for",
        "an exchange that passes its subscribers' calls on without a trunk group",
    ),
    Act.TRANSIT: Rule(
        FORBIDDEN,
        lambda who, about, own: about in who.exchanges,
        "circuits of somebody else's group are seized: its calls find none, its ledgers differ",
        "an exchange whose address or name the settings do not have",
    ),
    Act.CIRCUITS: Rule(
        FORBIDDEN,
        lambda who, about, own: about in who.exchanges,
        "one message takes a whole group out of service and cuts its calls",
        "a management system that speaks for many exchanges: it needs a key for each",
    ),
    Act.MARKS: Rule(
        FORBIDDEN,
        lambda who, about, own: bool(who.exchanges) or (who.caller is not None and who.caller.marks),
        "a call is treated as one that was cut, or is left out of the measured load",
        "callers whose equipment marks redials while their entry says that it does not",
    ),
    Act.ADVICE: Rule(
        FORBIDDEN,
        lambda who, about, own: who.caller is not None and who.caller.advice,
        "calls are led over a tandem of the sender's choice, which fills it",
        "a routing centre that has no entry",
    ),
    Act.CLASS: Rule(
        FORBIDDEN,
        lambda who, about, own: (
            bool(who.exchanges) or (who.caller is not None and (own or not who.caller.classes))
        ),
        "a dearer class is asked for and served before honest calls of a cheaper one",
        "a member that is to use one more class: its entry must name it",
    ),
    Act.WITHIN: Rule(
        UNKNOWN,
        lambda who, about, own: own,
        "whoever learns or guesses a call's marks ends it; a 403 would tell that the call exists",
        "a caller that lost its connection and comes back over another: its calls were cut with it",
    ),
    Act.LATE: Rule(
        SILENCE,
        lambda who, about, own: own and bool(who.exchanges),
        "each forged 200 makes us write an ACK and a BYE and keep a transaction for 64 x T1",
        "a far end that answers a forgotten set-up over another connection: its call stands until it ends it",
    ),
}


def refusal(act: Act, who: Party, about: int = -1, own: bool = False) -> Rule | None:
    """The rule that forbids this, or None where it is allowed."""
    rule = RULES[act]
    return None if rule.allows(who, about, own) else rule
