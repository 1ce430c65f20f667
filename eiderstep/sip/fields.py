"""Reads and writes the headers that routing uses: causes, overload control, trunk groups and private headers.

Reason: RFC 3326 with Q.850 causes.  Overload: RFC 7339 (loss) and RFC 7415 (rate).  Trunk groups: RFC 4904.
The private headers, all named `Eiderstep-...`, are listed in docs/protocol.md.
"""

from __future__ import annotations

from dataclasses import dataclass

from eiderstep.sip.message import Message, address_uri, get_param

MS = 1_000_000

CLASS_HEADER, PATIENCE_HEADER, PAUSE_HEADER = "eiderstep-class", "eiderstep-patience", "eiderstep-pause"
MARKS_HEADER, ADVICE_HEADER, WAITING_HEADER = "eiderstep-marks", "eiderstep-advice", "eiderstep-waiting"
CIRCUITS_HEADER = "eiderstep-circuits"
MAX_CIRCUITS = 1024  # of one set-up
PRIVATE_PROTOCOL = "Eiderstep"  # protocol token in Reason for causes that Q.850 does not have

NORMAL_CLEARING = 16
USER_BUSY = 17
DESTINATION_OUT_OF_ORDER = 27
NO_CIRCUIT_AVAILABLE = 34
NETWORK_OUT_OF_ORDER = 38
TEMPORARY_FAILURE = 41
EQUIPMENT_CONGESTION = 42
REQUESTED_CIRCUIT_NOT_AVAILABLE = 44
TANDEM_REFUSED = 2  # this and the next are causes of the protocol `PRIVATE_PROTOCOL`
BEYOND_FULL = 18


def reason(cause: int, text: str = "", protocol: str = "Q.850") -> str:
    """The value of a Reason header."""
    return f'{protocol};cause={cause};text="{text}"' if text else f"{protocol};cause={cause}"


def read_reason(message: Message) -> tuple[str, int]:
    """Protocol and cause of the first Reason value with a numeric cause; ("", 0) if there is none."""
    for value in message.headers.get("reason", ()):
        number = get_param(value, "cause")
        if number.isascii() and number.isdigit():
            return value.partition(";")[0].strip(), int(number[:6])
    return "", 0


@dataclass(frozen=True, slots=True)
class OverloadReport:
    """Overload control report of a processor.

    `reduction`: share of set-ups that each sender is asked to hold back (RFC 7339, in percent on the wire);
    `max_rate`: the set-ups per second that it accepts (RFC 7415); `queued_set_ups`: set-ups in its queue.
    """

    reduction: float | None = None
    max_rate: float | None = None
    queued_set_ups: float | None = None


def add_overload_report(message: Message, load: OverloadReport) -> None:
    """Add a report to a response: to the topmost Via, and the queue length in a private header."""
    top, *rest = message.headers["via"]
    if load.reduction is not None:
        message.headers["via"] = [f'{top};oc={round(load.reduction * 100)};oc-algo="loss"', *rest]
    elif load.max_rate is not None:
        message.headers["via"] = [f'{top};oc={load.max_rate:g};oc-algo="rate"', *rest]
    if load.queued_set_ups is not None:
        message.set(WAITING_HEADER, f"{load.queued_set_ups:g}")


def read_overload_report(message: Message) -> OverloadReport:
    """The report on a response; absent or malformed values are None."""
    via = message.get("via")
    share = rate = None
    if ";oc=" in via:
        value = parse_decimal(get_param(via, "oc"))
        if get_param(via, "oc-algo") == "rate":
            rate = value
        elif value is not None and value <= 100:
            share = value / 100
    return OverloadReport(share, rate, parse_decimal(message.get(WAITING_HEADER)))


def parse_decimal(text: str) -> float | None:
    """A decimal number of 0 or more without sign or exponent; None if the text is not one."""
    if not text or len(text) > 20 or not text.replace(".", "", 1).isdigit() or not text.isascii():
        return None
    return float(text)


def group_name(one: int, other: int) -> str:
    """The name of the trunk group between two exchanges; the order of the exchanges does not matter."""
    return f"{min(one, other)}-{max(one, other)}"


def trunk_contact(host: str, group: str, context: str) -> str:
    """Contact that names the originating trunk group (RFC 4904 section 5)."""
    return f"<sip:trunk;tgrp={group};trunk-context={context}@{host}>"


def read_trunk_group(message: Message) -> tuple[str, str]:
    """Trunk group and context of the Contact; ("", "") if the call did not come over a trunk group."""
    contact = message.get("contact")
    if ";tgrp=" not in contact:
        return "", ""
    user = address_uri(contact).partition(":")[2].partition("@")[0]
    return get_param(user, "tgrp"), get_param(user, "trunk-context")


def write_circuits(circuits: tuple[int, ...]) -> str:
    return ",".join(map(str, circuits))


def read_circuits(text: str) -> tuple[int, ...]:
    """Circuit numbers separated by commas.  Raises ValueError unless they are distinct and up to 99999."""
    parts = text.split(",", MAX_CIRCUITS)
    if len(parts) > MAX_CIRCUITS or not all(p.isascii() and p.isdigit() and len(p) <= 5 for p in parts):
        raise ValueError(f"circuits {text[:40]!r} are not up to {MAX_CIRCUITS} numbers")
    numbers = tuple(map(int, parts))
    if len(set(numbers)) != len(numbers):
        raise ValueError(f"circuits {text[:40]!r} name a circuit twice")
    return numbers


def write_wait(message: Message, wait: int) -> None:
    """Add a wait (ns): Retry-After in seconds, rounded up, and a private header in milliseconds."""
    if wait > 0:
        message.set("retry-after", str(-(-wait // 1_000_000_000)))
        message.set(PAUSE_HEADER, str(wait // MS))


def read_wait(message: Message) -> int:
    """The wait asked for (ns), 0 if there is none.  The private header takes precedence over Retry-After."""
    milliseconds = message.get(PAUSE_HEADER)
    if milliseconds.isascii() and milliseconds.isdigit():
        return int(milliseconds[:9]) * MS
    seconds = message.get("retry-after").partition(";")[0].partition("(")[0].strip()
    return int(seconds[:6]) * 1000 * MS if seconds.isascii() and seconds.isdigit() else 0


def read_give_up_time(message: Message, default: int) -> int:
    """How long the caller waits for an answer (ns), at most `default`.

    Taken from the private header (ms), else from Expires (s), else `default`.
    """
    milliseconds = message.get(PATIENCE_HEADER)
    if milliseconds.isascii() and milliseconds.isdigit():
        return min(int(milliseconds[:9]) * MS, default)
    seconds = message.get("expires")
    return min(int(seconds[:9]) * 1000 * MS, default) if seconds.isdigit() else default
