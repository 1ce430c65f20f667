"""Mapping between SIP and the decision module: responses to outcomes and causes, and actions to responses.

The tables are those of docs/protocol.md.  No decision is made here.
"""

from __future__ import annotations

from eiderstep import interface as io
from eiderstep.engine.circuits import TrunkGroup
from eiderstep.sip import fields
from eiderstep.sip.message import Message, response

Q850 = "Q.850"
OUTCOME_BY_CAUSE: dict[tuple[str, int], tuple[io.Outcome, io.Cause]] = {
    (Q850, fields.NO_CIRCUIT_AVAILABLE): (io.Outcome.TURNED_AWAY, io.Cause.NO_CIRCUIT),
    (Q850, fields.REQUESTED_CIRCUIT_NOT_AVAILABLE): (io.Outcome.TURNED_AWAY, io.Cause.NO_CIRCUIT),
    (Q850, fields.EQUIPMENT_CONGESTION): (io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
    (Q850, fields.USER_BUSY): (io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    (Q850, fields.DESTINATION_OUT_OF_ORDER): (io.Outcome.FAULT, io.Cause.NONE),
    (fields.PRIVATE_PROTOCOL, fields.TANDEM_REFUSED): (io.Outcome.TURNED_AWAY, io.Cause.TANDEM_REFUSED),
    (fields.PRIVATE_PROTOCOL, fields.BEYOND_FULL): (io.Outcome.TURNED_AWAY, io.Cause.BEYOND_FULL),
}
OUTCOME_BY_STATUS: dict[int, tuple[io.Outcome, io.Cause]] = {
    486: (io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    600: (io.Outcome.FAULT, io.Cause.NUMBER_BUSY),
    487: (io.Outcome.CANCELLED, io.Cause.NONE),
    503: (io.Outcome.TURNED_AWAY, io.Cause.PROCESSOR_FULL),
}
CUT_CAUSES = (fields.DESTINATION_OUT_OF_ORDER, fields.NETWORK_OUT_OF_ORDER, fields.TEMPORARY_FAILURE)


def read_outcome(message: Message) -> tuple[io.Outcome, io.Cause, int]:
    """Outcome, cause and requested wait (ns) of a final response other than 2xx.

    The Reason header takes precedence, since the status alone does not distinguish a full trunk group from a
    full processor.
    """
    matched = OUTCOME_BY_CAUSE.get(fields.read_reason(message)) or OUTCOME_BY_STATUS.get(message.status)
    outcome, cause = matched or (io.Outcome.FAULT, io.Cause.NONE)
    return outcome, cause, fields.read_wait(message) if cause is io.Cause.PROCESSOR_FULL else 0


def was_cut(message: Message) -> bool:
    """Whether the cause of a BYE shows that the call was cut rather than released."""
    return fields.read_reason(message)[1] in CUT_CAUSES


def refusal_response(
    invite: Message, tag: str, pause: int, transit: bool, next_processor_full: bool
) -> Message:
    """Response to a refused call: 503, for a call in transit with a private cause that tells why.

    `pause`: the Retry-After of a call that is not in transit (ns).
    """
    answer = response(invite, 503, tag)
    if transit:
        cause = fields.BEYOND_FULL if next_processor_full else fields.TANDEM_REFUSED
        answer.set("reason", fields.reason(cause, "turned back", fields.PRIVATE_PROTOCOL))
    else:
        fields.write_wait(answer, pause)
    return answer


def failure_response(invite: Message, tag: str, attempted: bool, transit: bool) -> Message:
    """Response to an abandoned call: 504 if an attempt was made, else 480."""
    answer = response(invite, 504 if attempted else 480, tag)
    if transit:
        answer.set(
            "reason", fields.reason(fields.TANDEM_REFUSED, "no answer beyond", fields.PRIVATE_PROTOCOL)
        )
    return answer


def load_report(group: TrunkGroup | None, message: Message | None) -> io.LoadReport:
    """Load report of an office: circuits from this end's own count, processor load from the response."""
    load = fields.read_overload_report(message) if message is not None else fields.OverloadReport()
    return io.LoadReport(
        free=None if group is None else group.free,
        size=None if group is None else group.size,
        waiting=load.queued_set_ups,
        max_rate=load.max_rate,
        reduction=load.reduction,
    )
