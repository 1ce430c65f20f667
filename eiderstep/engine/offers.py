"""Reading an INVITE: class, destination, patience, circuits.  A fault has the status that SIP gives it."""

from __future__ import annotations

from dataclasses import dataclass

from eiderstep.config.schema import ServerSettings
from eiderstep.sip import fields
from eiderstep.sip.message import Message, uri_parts

METHODS = ("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY")
KNOWN_METHODS = (*METHODS, "REGISTER", "SUBSCRIBE", "INFO", "UPDATE", "PRACK", "MESSAGE", "REFER", "PUBLISH")
MORE_HOPS = 8  # marks that one INVITE may carry
SEPARATORS = str.maketrans("", "", "-.()")


class Unfit(Exception):
    """A request that is answered at once: status, what is wrong, and the headers that go with it."""

    def __init__(self, status: int, text: str, **headers: str) -> None:
        super().__init__(text)
        self.status, self.text = status, text
        self.headers = {name.replace("_", "-"): value for name, value in headers.items()}


@dataclass(frozen=True, slots=True)
class Offer:
    """What an INVITE asks for."""

    number: str
    dest: int
    cls: int
    width: int
    patience: int  # ns
    trunk: int  # number of the exchange whose group it came over, -1 for a caller
    circuits: tuple[int, ...]
    redialled: bool
    was_cut: bool
    hint: int


class Reader:
    """Settings prepared for reading INVITEs."""

    def __init__(self, settings: ServerSettings) -> None:
        self.settings = settings
        self.classes = {c.name: i for i, c in enumerate(settings.classes)}
        self.default = self.classes.get(settings.default_class, -1)
        self.class_header = settings.class_header.lower()
        self.routes = {r.prefix: r.exchange for r in settings.dial_plan}
        self.longest = max(len(r.prefix) for r in settings.dial_plan)
        self.groups = {fields.group_name(settings.number, p.number): p.number for p in settings.peers}

    def destination(self, number: str) -> int | None:
        """The exchange of a number, by the longest prefix."""
        for length in range(min(len(number), self.longest), -1, -1):
            found = self.routes.get(number[:length])
            if found is not None:
                return found
        return None

    def trunk(self, message: Message) -> int:
        """The exchange whose trunk group the Contact names, -1 where it names none.  Raises Unfit."""
        group, context = fields.read_trunk(message)
        if not group:
            return -1
        found = self.groups.get(group)
        if found is None or context != self.settings.context:
            raise Unfit(403, f"trunk group {group!r} of {context!r} is not one of this exchange's")
        return found

    def read(self, message: Message) -> Offer:
        """Raises Unfit with the status that answers it."""
        require(message)
        try:
            user = uri_parts(message.uri)[0]
        except ValueError as problem:
            status = 400 if message.uri.lower().startswith(("sip:", "sips:")) else 416
            raise Unfit(status, str(problem)) from None
        number = user.partition(";")[0].lstrip("+").translate(SEPARATORS)
        dest = self.destination(number) if number.isascii() and number.isdigit() else None
        if dest is None:
            raise Unfit(404, f"number {number[:40]!r} is not in the dial plan")
        named = message.get(self.class_header)
        cls = self.classes.get(named, -1) if named else self.default
        if cls < 0:
            raise Unfit(400, f"class {named[:40]!r}; allowed: {', '.join(self.classes)}")
        chosen = self.settings.classes[cls]
        marks = message.get(fields.MARKS).split(",", MORE_HOPS)
        advice = message.get(fields.ADVICE)
        trunk = self.trunk(message)
        return Offer(
            number=number,
            dest=dest,
            cls=cls,
            width=chosen.width,
            patience=fields.read_patience(message, chosen.give_up),
            trunk=trunk,
            circuits=self._circuits(message, chosen.width) if trunk >= 0 else (),
            redialled=any(m.strip() == "redialled" for m in marks),
            was_cut=any(m.strip() == "cut" for m in marks),
            hint=trunk if trunk >= 0 else int(advice) if advice.isascii() and advice.isdigit() else -1,
        )

    @staticmethod
    def _circuits(message: Message, width: int) -> tuple[int, ...]:
        text = message.get(fields.CIRCUITS)
        try:
            circuits = fields.read_circuits(text)
        except ValueError:
            raise Unfit(400, f"circuits {text[:40]!r} are not numbers between commas") from None
        if len(circuits) != width:
            raise Unfit(400, f"{len(circuits)} circuits; a call of this class takes {width}")
        return circuits


def require(message: Message) -> None:
    """Sections 8.2.2.3 and 16.3: extensions we lack, and hops used up.  Raises Unfit."""
    if wanted := message.get("require"):
        raise Unfit(420, f"extension {wanted[:40]!r} is not served", unsupported=wanted)
    if message.get("max-forwards", "70") == "0":
        raise Unfit(483, "no hop left")
