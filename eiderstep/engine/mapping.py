"""Between the module's words and SIP's: outcomes and causes of responses, and responses for actions.

The table is that of docs/protocol.md.  It translates; what follows from an outcome the module decides.
"""

from __future__ import annotations

from eiderstep import interface as io
from eiderstep.engine.circuits import Ledger
from eiderstep.sip import fields
from eiderstep.sip.message import Message, response

Q850 = "Q.850"
FROM_CAUSE: dict[tuple[str, int], tuple[io.Outcome, io.Cause]] = {
    (Q850, fields.NO_CIRCUIT): (io.Outcome.TURNED_AWAY, io.Cause.NO_CIRCUIT),
    (Q850, fields.NOT_THIS_CIRCUIT): (io.Outcome.TURNED_AWAY, io.Cause.NO_CIRCUIT),
    (Q850, fields.CONGESTED): (io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
    (Q850, fields.BUSY): (io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    (Q850, fields.OUT_OF_ORDER): (io.Outcome.FAULT, io.Cause.NONE),
    (fields.OWN, fields.TURNED_BACK): (io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED),
    (fields.OWN, fields.BEYOND_FULL): (io.Outcome.TURNED_AWAY, io.Cause.BEYOND_FULL),
}
FROM_STATUS: dict[int, tuple[io.Outcome, io.Cause]] = {
    486: (io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    600: (io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    487: (io.Outcome.CANCELLED, io.Cause.NONE),
    503: (io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
}
CUT_CAUSES = (fields.OUT_OF_ORDER, fields.NETWORK_OUT, fields.TEMPORARY)


def outcome(message: Message) -> tuple[io.Outcome, io.Cause, int]:
    """Outcome, cause and named wait (ns) of a final response that is no success.

    The Reason header speaks first, since the status alone does not tell a full group from a full processor.
    """
    found = FROM_CAUSE.get(fields.read_reason(message)) or FROM_STATUS.get(message.status)
    kind, cause = found or (io.Outcome.FAULT, io.Cause.NONE)
    return kind, cause, fields.read_wait(message) if cause is io.Cause.PROCESSOR_FULL else 0


def was_cut(message: Message) -> bool:
    """Whether a BYE says that the call was cut rather than released."""
    return fields.read_reason(message)[1] in CUT_CAUSES


def refusal(invite: Message, tag: str, pause: int, transit: bool, beyond_full: bool) -> Message:
    """503: turned away.  A call in transit is turned back, and the tandem says why."""
    answer = response(invite, 503, tag)
    if transit:
        cause = fields.BEYOND_FULL if beyond_full else fields.TURNED_BACK
        answer.set("reason", fields.reason(cause, "turned back", fields.OWN))
    else:
        fields.write_wait(answer, pause)
    return answer


def failure(invite: Message, tag: str, attempted: bool, transit: bool) -> Message:
    """480, or 504 where an attempt was made and nothing came of it in time."""
    answer = response(invite, 504 if attempted else 480, tag)
    if transit:
        answer.set("reason", fields.reason(fields.TURNED_BACK, "no answer beyond", fields.OWN))
    return answer


def report(ledger: Ledger | None, message: Message | None) -> io.LoadReport:
    """Exact figures of the own ledger, and what the far processor said of itself."""
    load = fields.read_load(message) if message is not None else fields.Load()
    return io.LoadReport(
        free=None if ledger is None else ledger.free,
        size=None if ledger is None else ledger.size,
        waiting=load.waiting,
        max_rate=load.rate,
        reduce=load.reduce,
    )
