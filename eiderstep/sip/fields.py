"""The headers that routing rests on, read and written: causes, overload control, trunk groups, marks.

Reason: RFC 3326 with Q.850 causes.  Overload: RFC 7339 (loss) and RFC 7415 (rate).  Trunk groups: RFC 4904.
The private headers, all named `Eiderstep-...`, are listed in docs/protocol.md.
"""

from __future__ import annotations

from dataclasses import dataclass

from eiderstep.sip.message import Message, in_angle, param

MS = 1_000_000

CLASS, PATIENCE, PAUSE = "eiderstep-class", "eiderstep-patience", "eiderstep-pause"
MARKS, ADVICE, WAITING = "eiderstep-marks", "eiderstep-advice", "eiderstep-waiting"
CIRCUITS = "eiderstep-circuits"
CIRCUITS_OF_ONE = 1024  # that one set-up may seize
OWN = "Eiderstep"  # the protocol token of causes that Q.850 does not have

NORMAL = 16
BUSY = 17
OUT_OF_ORDER = 27
NO_CIRCUIT = 34
NETWORK_OUT = 38
TEMPORARY = 41
CONGESTED = 42
NOT_THIS_CIRCUIT = 44
TURNED_BACK = 2  # of our own protocol token, as is the next
BEYOND_FULL = 18


def reason(cause: int, text: str = "", protocol: str = "Q.850") -> str:
    """A Reason value."""
    return f'{protocol};cause={cause};text="{text}"' if text else f"{protocol};cause={cause}"


def read_reason(message: Message) -> tuple[str, int]:
    """Protocol and cause of the first Reason that has one; ("", 0) where there is none."""
    for value in message.headers.get("reason", ()):
        number = param(value, "cause")
        if number.isascii() and number.isdigit():
            return value.partition(";")[0].strip(), int(number[:6])
    return "", 0


@dataclass(frozen=True, slots=True)
class Load:
    """What a processor says of itself.

    `reduce`: share of set-ups it asks each sender to hold back (RFC 7339, in percent on the wire); `rate`:
    set-ups a second (RFC 7415); `waiting`: set-ups in its queue.
    """

    reduce: float | None = None
    rate: float | None = None
    waiting: float | None = None


def add_load(message: Message, load: Load) -> None:
    """Put a report on a response: in its topmost Via, and the queue in a header of its own."""
    first, *rest = message.headers["via"]
    if load.reduce is not None:
        message.headers["via"] = [f'{first};oc={round(load.reduce * 100)};oc-algo="loss"', *rest]
    elif load.rate is not None:
        message.headers["via"] = [f'{first};oc={load.rate:g};oc-algo="rate"', *rest]
    if load.waiting is not None:
        message.set(WAITING, f"{load.waiting:g}")


def read_load(message: Message) -> Load:
    """The report on a response; figures that are absent or malformed are None."""
    via = message.get("via")
    share = rate = None
    if ";oc=" in via:
        value = figure(param(via, "oc"))
        if param(via, "oc-algo") == "rate":
            rate = value
        elif value is not None and value <= 100:
            share = value / 100
    return Load(share, rate, figure(message.get(WAITING)))


def figure(text: str) -> float | None:
    """A plain decimal of 0 or more, or None."""
    if not text or len(text) > 20 or not text.replace(".", "", 1).isdigit() or not text.isascii():
        return None
    return float(text)


def group_name(one: int, other: int) -> str:
    """The name of the trunk group of two exchanges, the same at both ends."""
    return f"{min(one, other)}-{max(one, other)}"


def trunk_contact(host: str, group: str, context: str) -> str:
    """Contact that names the originating trunk group (RFC 4904 section 5)."""
    return f"<sip:trunk;tgrp={group};trunk-context={context}@{host}>"


def read_trunk(message: Message) -> tuple[str, str]:
    """Trunk group and context of the Contact; ("", "") for a call that came over none."""
    contact = message.get("contact")
    if ";tgrp=" not in contact:
        return "", ""
    user = in_angle(contact).partition(":")[2].partition("@")[0]
    return param(user, "tgrp"), param(user, "trunk-context")


def write_circuits(circuits: tuple[int, ...]) -> str:
    return ",".join(map(str, circuits))


def read_circuits(text: str) -> tuple[int, ...]:
    """Circuit numbers.  Raises ValueError unless they are distinct whole numbers."""
    parts = text.split(",", CIRCUITS_OF_ONE)
    if len(parts) > CIRCUITS_OF_ONE or not all(p.isascii() and p.isdigit() and len(p) <= 5 for p in parts):
        raise ValueError(f"circuits {text[:40]!r} are not numbers")
    numbers = tuple(map(int, parts))
    if len(set(numbers)) != len(numbers):
        raise ValueError(f"circuits {text[:40]!r} are not distinct")
    return numbers


def write_wait(message: Message, wait: int) -> None:
    """How long to stay away (ns): Retry-After in seconds, rounded up, and the exact figure beside it."""
    if wait > 0:
        message.set("retry-after", str(-(-wait // 1_000_000_000)))
        message.set(PAUSE, str(wait // MS))


def read_wait(message: Message) -> int:
    """The wait told (ns), 0 where none is."""
    exact = message.get(PAUSE)
    if exact.isascii() and exact.isdigit():
        return int(exact[:9]) * MS
    seconds = message.get("retry-after").partition(";")[0].partition("(")[0].strip()
    return int(seconds[:6]) * 1000 * MS if seconds.isascii() and seconds.isdigit() else 0


def read_patience(message: Message, default: int) -> int:
    """How long the caller waits (ns): the private header in milliseconds, else Expires, else the default."""
    exact = message.get(PATIENCE)
    if exact.isascii() and exact.isdigit():
        return min(int(exact[:9]) * MS, default)
    seconds = message.get("expires")
    return min(int(seconds[:9]) * 1000 * MS, default) if seconds.isdigit() else default
