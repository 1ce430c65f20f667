"""Checks the five call rules against captured traffic.  Shares only the SIP codec with the engine."""

from eiderstep.audit.capture import Capture, Record
from eiderstep.audit.rules import (
    AuditReport,
    Breach,
    ColdStart,
    Facts,
    Stall,
    UnavailablePeriod,
    audit_capture,
)

__all__ = [
    "Breach",
    "Capture",
    "ColdStart",
    "Facts",
    "Record",
    "Stall",
    "UnavailablePeriod",
    "AuditReport",
    "audit_capture",
]
