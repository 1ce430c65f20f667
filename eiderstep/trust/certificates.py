"""Names, validity and revocation of certificates.  No I/O, no clock; TLS checks the certificate chain.

Times are seconds since 1970.  The TLS library does not check validity times.  They are checked here, which
allows for a configured clock difference, for checks on open connections, and for the clock of the lab.
"""

from __future__ import annotations

from dataclasses import dataclass, field

DAY = 86_400


class KeysError(ValueError):
    """A key, certificate or CA folder cannot be used; says what was found and what is allowed."""


@dataclass(frozen=True, slots=True)
class CertificateInfo:
    """The checked fields of a certificate.  `names`: its SIP domains."""

    names: tuple[str, ...]
    serial: int
    not_before: float
    not_after: float


@dataclass(frozen=True, slots=True)
class RevocationList:
    """The revocation list of the CA.  `next_update`: until when it is up to date, 0 where not stated."""

    serials: frozenset[int] = field(default_factory=frozenset)
    next_update: float = 0.0


def sip_names(subject_alt_name: tuple[tuple[str, str], ...]) -> tuple[str, ...]:
    """The SIP domains of a subjectAltName by RFC 5922 section 7.1, in lower case.

    These are the `sip:` URIs without a user part, or the DNS names where there is no `sip:` URI.  The common
    name is not used.
    """
    sip_uris = []
    for kind, value in subject_alt_name:
        scheme, _, rest = value.partition(":")
        if kind == "URI" and scheme.lower() == "sip" and rest and not set(rest) & set("@;?:/"):
            sip_uris.append(rest.lower())
    if any(kind == "URI" and v.lower().startswith("sip:") for kind, v in subject_alt_name):
        return tuple(sip_uris)
    return tuple(v.lower() for kind, v in subject_alt_name if kind == "DNS" and not v.startswith("*"))


def certificate_error(certificate: CertificateInfo, now: float, revoked: RevocationList, slack: float) -> str:
    """Why a certificate is not accepted; empty where it is.

    `slack`: the allowed difference between two clocks (s).  A stolen key works until its certificate expires
    or is on the revocation list.  A host whose clock is a day off accepts expired certificates or rejects
    valid ones.  With a clock far behind the CA's, all recently issued certificates are rejected; the
    difference is in the reason returned.
    """
    if certificate.serial in revoked.serials:
        return "revoked"
    if now < certificate.not_before - slack:
        return f"not valid for another {_duration_text(certificate.not_before - now)}"
    if now > certificate.not_after + slack:
        return f"expired {_duration_text(now - certificate.not_after)} ago"
    if not certificate.names:
        return "contains no SIP domain"
    return ""


def expiry_warning(certificate: CertificateInfo, now: float) -> str:
    """A warning about our own certificate in the last quarter of its life, empty before that."""
    remaining = certificate.not_after - now
    if remaining <= 0:
        return "has expired"
    return (
        f"expires in {_duration_text(remaining)}"
        if remaining < (certificate.not_after - certificate.not_before) / 4
        else ""
    )


def _duration_text(seconds: float) -> str:
    for unit, name in ((DAY, "days"), (3600, "hours"), (60, "minutes")):
        if seconds >= 2 * unit:
            return f"{seconds / unit:.0f} {name}"
    return f"{seconds:.0f} s"
