"""Reads INVITEs: call class, destination, give-up time, circuits.  Faults are raised as `RequestRejected`."""

from __future__ import annotations

from dataclasses import dataclass

from eiderstep.config.schema import ServerSettings
from eiderstep.sip import fields
from eiderstep.sip.message import Message, uri_parts

SUPPORTED_METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY")
KNOWN_METHODS = (
    *SUPPORTED_METHODS,
    "REGISTER",
    "SUBSCRIBE",
    "INFO",
    "UPDATE",
    "PRACK",
    "MESSAGE",
    "REFER",
    "PUBLISH",
)
MAX_MARKS = 8  # commas at which the marks of one INVITE are split; bounds the work for a long header
SEPARATORS = str.maketrans("", "", "-.()")


class RequestRejected(Exception):
    """A request that gets an error response at once: its status, the fault, and headers of the response.

    An underscore in the name of a header argument stands for a hyphen.
    """

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}


@dataclass(frozen=True, slots=True)
class CallRequest:
    """The call that an INVITE asks for."""

    number: str
    dest: int
    class_no: int
    width: int
    give_up_time: int  # ns
    via_exchange: int  # exchange over whose trunk group the call came, -1 for a caller
    circuits: tuple[int, ...]
    redialled: bool
    was_cut: bool
    hint: int


class InviteReader:
    """Reads INVITEs, with tables prepared from the settings."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.class_numbers = {c.name: i for i, c in enumerate(settings.classes)}
        self.default_class = self.class_numbers.get(settings.default_class, -1)
        self.class_header = settings.class_header.lower()
        self.exchange_by_prefix = {r.prefix: r.exchange for r in settings.dial_plan}
        self.longest_prefix = max(len(r.prefix) for r in settings.dial_plan)
        self.exchange_by_group = {
            fields.group_name(settings.number, p.number): p.number for p in settings.peers
        }

    def destination(self, number: str) -> int | None:
        """The exchange that serves a number, by longest prefix match; None if no prefix matches."""
        for length in range(min(len(number), self.longest_prefix), -1, -1):
            exchange = self.exchange_by_prefix.get(number[:length])
            if exchange is not None:
                return exchange
        return None

    def trunk_exchange(self, message: Message) -> int:
        """The exchange whose trunk group the Contact names, -1 if it names none.

        Raises RequestRejected for a trunk group that this exchange does not have.
        """
        group, context = fields.read_trunk_group(message)
        if not group:
            return -1
        exchange = self.exchange_by_group.get(group)
        if exchange is None or context != self.settings.context:
            raise RequestRejected(
                403, f"trunk group {group!r} of {context!r} is not a trunk group of this exchange"
            )
        return exchange

    def read(self, message: Message) -> CallRequest:
        """Read an INVITE.  Raises RequestRejected if it is not acceptable."""
        check_extensions_and_hops(message)
        try:
            user = uri_parts(message.uri)[0]
        except ValueError as problem:
            status = 400 if message.uri.lower().startswith(("sip:", "sips:")) else 416
            raise RequestRejected(status, str(problem)) from None
        number = user.partition(";")[0].lstrip("+").translate(SEPARATORS)
        dest = self.destination(number) if number.isascii() and number.isdigit() else None
        if dest is None:
            raise RequestRejected(404, f"number {number[:40]!r} is not in the dial plan")
        class_name = message.get(self.class_header)
        class_no = self.class_numbers.get(class_name, -1) if class_name else self.default_class
        if class_no < 0:
            raise RequestRejected(400, f"class {class_name[:40]!r}; allowed: {', '.join(self.class_numbers)}")
        call_class = self.settings.classes[class_no]
        marks = message.get(fields.MARKS_HEADER).split(",", MAX_MARKS)
        advice = message.get(fields.ADVICE_HEADER)
        origin = self.trunk_exchange(message)
        return CallRequest(
            number=number,
            dest=dest,
            class_no=class_no,
            width=call_class.width,
            give_up_time=fields.read_give_up_time(message, call_class.give_up),
            via_exchange=origin,
            circuits=self._read_circuits(message, call_class.width) if origin >= 0 else (),
            redialled=any(m.strip() == "redialled" for m in marks),
            was_cut=any(m.strip() == "cut" for m in marks),
            hint=origin if origin >= 0 else int(advice) if advice.isascii() and advice.isdigit() else -1,
        )

    @staticmethod
    def _read_circuits(message: Message, width: int) -> tuple[int, ...]:
        text = message.get(fields.CIRCUITS_HEADER)
        try:
            circuits = fields.read_circuits(text)
        except ValueError:
            raise RequestRejected(
                400, f"circuits {text[:40]!r} are not distinct numbers separated by commas"
            ) from None
        if len(circuits) != width:
            raise RequestRejected(400, f"{len(circuits)} circuits; a call of this class needs {width}")
        return circuits


def check_extensions_and_hops(message: Message) -> None:
    """Check Require and Max-Forwards (RFC 3261, sections 8.2.2.3 and 16.3).  Raises RequestRejected."""
    if wanted := message.get("require"):
        raise RequestRejected(420, f"extension {wanted[:40]!r} is not supported", unsupported=wanted)
    if message.get("max-forwards", "70") == "0":
        raise RequestRejected(483, "Max-Forwards is 0")
