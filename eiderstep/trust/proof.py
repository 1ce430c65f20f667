"""What a certificate proves, and until when.  No I/O, no clock; the chain itself is checked by TLS.

Times are seconds since 1970.  TLS is told not to look at the clock, so that validity is judged here: with a
stated slack, at each look again, and by the clock of the lab where there is one.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DAY = 86_400


class KeysError(ValueError):
    """What is wrong with a folder, a file or a name of keys, and what is allowed."""


@dataclass(frozen=True, slots=True)
class Proof:
    """One certificate of the far end, whose chain and key TLS has checked.  `names`: SIP domains."""

    names: tuple[str, ...]
    serial: int
    begins: float
    ends: float


@dataclass(frozen=True, slots=True)
class Revoked:
    """The CA's list: serial numbers that count no more, and until when the list itself is good."""

    serials: frozenset[int] = field(default_factory=frozenset)
    until: float = 0.0


def sip_names(subject_alt_name: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """RFC 5922 section 7.1: `sip:` URIs without a user; only where there are none, DNS names.  A common name
    proves nothing."""
    uris = []
    for kind, value in subject_alt_name:
        scheme, _, rest = value.partition(":")
        if kind == "URI" and scheme.lower() == "sip" and rest and not set(rest) & set("@;?:/"):
            uris.append(rest.lower())
    if any(kind == "URI" and v.lower().startswith("sip:") for kind, v in subject_alt_name):
        return tuple(uris)
    return tuple(v.lower() for kind, v in subject_alt_name if kind == "DNS" and not v.startswith("*"))


def fault(proof: Proof, now: float, revoked: Revoked, slack: float) -> str:
    """Why a proof does not count; empty where it does.

    `slack` is how far two clocks may differ.  Danger: a key that was stolen works until its certificate
    ends, or until a list names it; a host whose clock is a day off believes what has ended, or nobody.
    Hurts, with a clock far behind the CA's, every peer whose certificate is young: the log says by how much.
    """
    if proof.serial in revoked.serials:
        return "revoked"
    if now < proof.begins - slack:
        return f"not valid for another {_span(proof.begins - now)}"
    if now > proof.ends + slack:
        return f"expired {_span(now - proof.ends)} ago"
    if not proof.names:
        return "names no SIP domain"
    return ""


def warning(proof: Proof, now: float) -> str:
    """What to say of our own certificate ahead of its end: from the last quarter of its life on."""
    left = proof.ends - now
    if left <= 0:
        return "has expired"
    return f"ends in {_span(left)}" if left < (proof.ends - proof.begins) / 4 else ""


def _span(seconds: float) -> str:
    for unit, name in ((DAY, "days"), (3600, "hours"), (60, "minutes")):
        if seconds >= 2 * unit:
            return f"{seconds / unit:.0f} {name}"
    return f"{seconds:.0f} s"
