"""Authorisation of requests: a table with one rule for each kind of request, its threat and its cost.

The arguments of a rule are the sender, the exchange number that the message is about (or -1), and whether
the message came over the connection to which the call belongs, or from the same exchange for certain.  A
request that is not allowed is answered with the rule's status and counted; it changes no state.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum, auto

from eiderstep.trust.party import Party

FORBIDDEN, NO_SUCH_DIALOG, NO_RESPONSE = 403, 481, 0


class Permission(Enum):
    """Kinds of requests and header fields that need a permission."""

    __hash__ = object.__hash__

    ANYTHING = auto()  # any message at all
    CALL = auto()  # INVITE from a caller
    TRANSIT = auto()  # INVITE over a trunk group, with the seized circuits
    CIRCUITS = auto()  # NOTIFY of circuits out of service, or an INVITE with circuits but no group
    MARKS = auto()  # marking a call as redialled or cut
    ADVICE = auto()  # proposing a tandem for the call
    CLASS = auto()  # requesting a call class
    WITHIN = auto()  # BYE, re-INVITE: requests within a dialog
    LATE = auto()  # a 2xx to a set-up whose state is already removed


@dataclass(frozen=True, slots=True)
class Rule:
    """A rule for one kind of request.

    `allows(sender, about, own)`: see the module.  `status`: the answer to a request that is not allowed;
    NO_RESPONSE where it must not be answered.  `threat`: the threat that the rule averts.  `cost`: the
    legitimate traffic that it refuses.
    """

    status: int
    allows: Callable[[Party, int, bool], bool]
    threat: str
    cost: str


RULES: dict[Permission, Rule] = {
    Permission.ANYTHING: Rule(
        FORBIDDEN,
        lambda sender, about, own: sender.known,
        "an unknown sender takes processing time and memory with each message, and can explore the server",
        "peers that are not in the settings yet: callers from a new network, an exchange with a new address",
    ),
    Permission.CALL: Rule(
        FORBIDDEN,
        lambda sender, about, own: sender.caller is not None,
        "an exchange or an unknown sender originates calls for which no configured caller is responsible",
        "an exchange that passes on its subscribers' calls without a trunk group",
    ),
    Permission.TRANSIT: Rule(
        FORBIDDEN,
        lambda sender, about, own: about in sender.exchanges,
        "circuits of another exchange's group are seized: its calls are blocked, its circuit states differ",
        "an exchange whose address or identity is not in the settings",
    ),
    Permission.CIRCUITS: Rule(
        FORBIDDEN,
        lambda sender, about, own: about in sender.exchanges,
        "one message takes a whole group out of service and cuts its calls",
        "a management system that acts for many exchanges: it needs a key for each of them",
    ),
    Permission.MARKS: Rule(
        FORBIDDEN,
        lambda sender, about, own: (
            bool(sender.exchanges) or (sender.caller is not None and sender.caller.marks)
        ),
        "a call is treated as cut before, or is not counted in the measured load",
        "callers whose equipment marks redials, but whose entry in the settings does not allow it",
    ),
    Permission.ADVICE: Rule(
        FORBIDDEN,
        lambda sender, about, own: sender.caller is not None and sender.caller.advice,
        "calls are routed over a tandem chosen by the sender, which becomes overloaded",
        "a routing centre without an entry in the settings",
    ),
    Permission.CLASS: Rule(
        FORBIDDEN,
        lambda sender, about, own: (
            bool(sender.exchanges) or (sender.caller is not None and (own or not sender.caller.classes))
        ),
        "calls of a class with higher worth than the caller is entitled to take precedence over other calls",
        "a caller that starts to use another class: its entry in the settings must name it",
    ),
    Permission.WITHIN: Rule(
        NO_SUCH_DIALOG,
        lambda sender, about, own: own,
        "a sender that learns or guesses a call's identifiers ends it; a 403 would reveal the call",
        "a caller that reconnects after its connection was lost: its calls were cut with the connection",
    ),
    Permission.LATE: Rule(
        NO_RESPONSE,
        lambda sender, about, own: own and bool(sender.exchanges),
        "each forged 200 causes an ACK and a BYE and keeps a transaction for 64 x T1",
        "an exchange that answers a removed set-up over another connection: its call stands until released",
    ),
}


def violated_rule(permission: Permission, sender: Party, about: int = -1, own: bool = False) -> Rule | None:
    """The rule that forbids this, or None where it is allowed."""
    rule = RULES[permission]
    return None if rule.allows(sender, about, own) else rule
