"""Strangers: they connect, lie, flood and dawdle, with all that an honest far end knows of its calls.

Each attack is one message, made from a call that stands (its Call-ID, tags and branches are known to the
attacker: the worst case), from where it is sent, and how it must be answered.  Somebody else's rule is the
measure: nothing of what these send may change a call, a circuit or a figure of anybody else.
"""

from __future__ import annotations

import asyncio
import json
import sys
from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

from eiderstep.sip import fields
from eiderstep.sip.dialog import cancel
from eiderstep.sip.message import Message, request, response, split_address
from eiderstep.sip.parser import BadMessage, Parser

NOBODY, CALLER, EXCHANGE = "nobody", "caller", "exchange"  # from where it comes


@dataclass(frozen=True)
class Victim:
    """A call that stands: as its caller knows it, and as the far exchange does."""

    invite: Message  # the caller's
    to: str  # with the tag that the caller got
    set_up: Message  # what the far exchange got
    far_to: str  # with the tag that it gave
    group: str  # that the call stands on
    number: str  # some number that can be called
    cls: str
    context: str
    host: str = ""  # of the exchange at the far end of that group, who may say more


Make = Callable[[Victim, int], Message | bytes]


@dataclass(frozen=True)
class Attack:
    """`answers`: statuses of which one must come, empty where none may; `made` from a victim and a count."""

    sender: str
    answers: tuple[int, ...]
    made: Make


def _plain(method: str, n: int, uri: str = "sip:x@x", call_id: str = "", cseq: int = 1) -> Message:
    return request(
        method, uri, via=f"SIP/2.0/TCP s;branch=z9hG4bKs{n}", sender="<sip:s@s>;tag=s", to="<sip:x@x>",
        call_id=call_id or f"s{n}", cseq=cseq,
    )  # fmt: skip


def _with(message: Message, **headers: str) -> Message:
    for name, value in headers.items():
        message.set(name.replace("_", "-"), value)
    return message


def _trunk(v: Victim, group: str = "", context: str = "") -> str:
    return fields.trunk_contact("s", group or v.group, context or v.context)


def _notify(v: Victim, n: int, circuits: str = "0-65535", **more: str) -> Message:
    made = {"contact": _trunk(v), "event": fields.CIRCUITS, "eiderstep_circuits": circuits}
    return _with(_plain("NOTIFY", n), **{**made, **more})


def _invite(v: Victim, n: int, **headers: str) -> Message:
    return _with(_plain("INVITE", n, f"sip:{v.number}@x"), eiderstep_class=v.cls, **headers)


def _seizure(v: Victim, n: int, circuits: str = "0", **more: str) -> Message:
    return _invite(v, n, **{"contact": _trunk(v), "eiderstep_circuits": circuits, **more})


def _bye(v: Victim, n: int, cseq: int = 99) -> Message:
    made = _plain("BYE", n, call_id=v.invite.call_id, cseq=cseq)
    return _with(made, **{"from": v.invite.get("from"), "to": v.to})


def _far_bye(v: Victim, n: int, cause: int = fields.NETWORK_OUT) -> Message:
    made = _plain("BYE", n, call_id=v.set_up.call_id, cseq=99)
    headers = {"from": v.far_to, "to": v.set_up.get("from"), "reason": fields.reason(cause)}
    return _with(made, **headers)


def _inner(v: Victim, n: int) -> Message:
    return _with(_invite(v, n), **{"call-id": v.invite.call_id, "from": v.invite.get("from"), "to": v.to})


def _ack(v: Victim, n: int) -> Message:
    made = _plain("ACK", n, call_id=v.invite.call_id, cseq=v.invite.cseq)
    return _with(made, **{"from": v.invite.get("from"), "to": v.to})


def _answer(v: Victim, status: int, **headers: str) -> Message:
    made = response(v.set_up, status, "forged")
    return _with(made, contact="<sip:s@s>", **headers)


def _raw(n: int, cseq: str = "1", more: str = "") -> bytes:
    """An INVITE as text, with what `more` has and the codec would not write."""
    return (
        f"INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP s;branch=z9hG4bKr{n}\r\nFrom: <sip:a@b>;tag=1\r\n"
        f"To: <sip:a@b>\r\nCall-ID: r{n}\r\nCSeq: {cseq} INVITE\r\n{more}\r\n"
    ).encode()


def _merged(v: Victim, n: int) -> Message:
    """The caller's own INVITE, replayed."""
    headers = {k: list(x) for k, x in v.invite.headers.items()}
    made = Message("INVITE", v.invite.uri, 0, "", headers)
    return _with(made, eiderstep_class=v.cls, via=f"SIP/2.0/TCP s;branch=z9hG4bKs{n}")


TOO_LONG = b"OPTIONS sip:a@b SIP/2.0\r\n" + b"X: y\r\n" * 4000
OTHER = b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
HUGE = "Content-Length: 9999999999\r\n"
EMPTY = "Content-Length: 0\r\n"
ATTACKS: dict[str, Attack] = {
    "circuits out, by nobody": Attack(NOBODY, (403,), _notify),
    "circuits out, by a caller": Attack(CALLER, (403,), _notify),
    "circuits out, by another exchange": Attack(EXCHANGE, (403,), _notify),
    "circuits out, a thousand ranges": Attack(
        EXCHANGE, (403, 400), lambda v, n: _notify(v, n, ",".join(["0-65535"] * 480))
    ),
    "circuits out, another context": Attack(
        EXCHANGE, (403,), lambda v, n: _notify(v, n, contact=_trunk(v, context="elsewhere"))
    ),
    "circuits out, no group": Attack(EXCHANGE, (400,), lambda v, n: _notify(v, n, contact="<sip:s@s>")),
    "circuits out, another event": Attack(EXCHANGE, (489,), lambda v, n: _notify(v, n, event="dialog")),
    "circuits in service again, by nobody": Attack(NOBODY, (403,), lambda v, n: _notify(v, n, "0-0")),
    "BYE, by nobody": Attack(NOBODY, (403,), _bye),
    "BYE, by another caller": Attack(CALLER, (481,), _bye),
    "BYE, by another exchange": Attack(EXCHANGE, (481,), _bye),
    "BYE as the far end, by nobody": Attack(NOBODY, (403,), _far_bye),
    "BYE as the far end, by a caller": Attack(CALLER, (481,), _far_bye),
    "BYE as the far end, by another exchange": Attack(EXCHANGE, (481,), _far_bye),
    "BYE of no call": Attack(CALLER, (481,), lambda v, n: _with(_bye(v, n), to="<sip:x@x>;tag=none")),
    "BYE with a guessed Call-ID": Attack(
        CALLER, (481,), lambda v, n: _with(_bye(v, n), call_id=f"{v.invite.call_id}{n}")
    ),
    "CANCEL, by nobody": Attack(NOBODY, (403,), lambda v, n: cancel(v.invite)),
    "CANCEL, by another caller": Attack(CALLER, (481,), lambda v, n: cancel(v.invite)),
    "CANCEL, by another exchange": Attack(EXCHANGE, (481,), lambda v, n: cancel(v.invite)),
    "CANCEL of the set-up, by a caller": Attack(CALLER, (481,), lambda v, n: cancel(v.set_up)),
    "re-INVITE, by nobody": Attack(NOBODY, (403,), _inner),
    "re-INVITE, by another caller": Attack(CALLER, (481,), _inner),
    "ACK, by nobody": Attack(NOBODY, (), _ack),
    "ACK, by another caller": Attack(CALLER, (), _ack),
    "ACK, by another exchange": Attack(EXCHANGE, (), _ack),
    "INVITE replayed, by nobody": Attack(NOBODY, (403,), _merged),
    "seizure, by nobody": Attack(NOBODY, (403,), _seizure),
    "seizure, by a caller": Attack(CALLER, (403,), _seizure),
    "seizure, by another exchange": Attack(EXCHANGE, (403,), _seizure),
    "seizure without a group": Attack(CALLER, (403,), lambda v, n: _invite(v, n, eiderstep_circuits="0")),
    "seizure of a group that is nobody's": Attack(
        EXCHANGE, (403,), lambda v, n: _seizure(v, n, contact=_trunk(v, "7000-7001"))
    ),
    "call, by nobody": Attack(NOBODY, (403,), _invite),
    "call, by an exchange": Attack(EXCHANGE, (403,), _invite),
    "advice, by a caller": Attack(CALLER, (403,), lambda v, n: _invite(v, n, eiderstep_advice="1")),
    "marks, by nobody": Attack(NOBODY, (403,), lambda v, n: _invite(v, n, eiderstep_marks="cut")),
    "OPTIONS, by nobody": Attack(NOBODY, (403,), lambda v, n: _plain("OPTIONS", n)),
    "REGISTER, by nobody": Attack(NOBODY, (403,), lambda v, n: _plain("REGISTER", n)),
    "REGISTER, by a caller": Attack(CALLER, (405,), lambda v, n: _plain("REGISTER", n)),
    "200 to a set-up, by nobody": Attack(NOBODY, (), lambda v, n: _answer(v, 200)),
    "200 to a set-up, by a caller": Attack(CALLER, (), lambda v, n: _answer(v, 200)),
    "200 to a set-up, by another exchange": Attack(EXCHANGE, (), lambda v, n: _answer(v, 200)),
    "503 to a set-up, by another exchange": Attack(EXCHANGE, (), lambda v, n: _answer(v, 503)),
    "load report, by a caller": Attack(
        CALLER, (), lambda v, n: _answer(v, 503, eiderstep_waiting="9999", eiderstep_pause="999999")
    ),
    "another protocol": Attack(NOBODY, (), lambda v, n: OTHER),
    "a start line without end": Attack(CALLER, (), lambda v, n: b"INVITE sip:" + b"a" * 5000),
    "a head without end": Attack(CALLER, (), lambda v, n: TOO_LONG),
    "no length on a stream": Attack(CALLER, (400,), lambda v, n: _raw(n)),
    "a body of gigabytes": Attack(CALLER, (413,), lambda v, n: _raw(n, "1", HUGE)),
    "a CSeq beyond all": Attack(CALLER, (400,), lambda v, n: _raw(n, "9" * 20, EMPTY)),
    "two From": Attack(CALLER, (400,), lambda v, n: _raw(n, "1", EMPTY + "From: <sip:b@b>;tag=2\r\n")),
    "no number in the dial plan": Attack(CALLER, (404,), lambda v, n: _with(
        _plain("INVITE", n, "sip:nobody@x"), eiderstep_class=v.cls)),
}  # fmt: skip


def coded(made: Message | bytes) -> bytes:
    return made if isinstance(made, bytes) else made.encode()


class Wire(asyncio.Protocol):
    """One connection of an attacker; counts what comes back."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.parser, self.statuses = Parser(), dict[int, int]()
        self.lost: asyncio.Event = asyncio.Event()
        self.came: asyncio.Event = asyncio.Event()

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for item in self.parser.feed(data):
            # An answer echoes what is wrong with its request, and cannot be read for the same reason.
            message = item.message if isinstance(item, BadMessage) else item
            status = message.status if message is not None else 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
        self.came.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()
        self.came.set()


class Stranger:
    """Attackers at some addresses, at a rate.  `hosts`: by sender; `victims`: calls that stand just now."""

    def __init__(
        self, loop: asyncio.AbstractEventLoop, server: str, hosts: dict[str, list[str]],
        victims: Callable[[], list[Victim]], rng: Random, rate: float,
    ) -> None:  # fmt: skip
        self.loop, self.server, self.hosts, self.victims = loop, server, hosts, victims
        self.rng, self.rate = rng, rate
        self.wires: dict[str, Wire] = {}
        self.idle: list[Any] = []
        self.sent: dict[str, int] = {}
        self.statuses: dict[int, int] = {}
        self.over = False

    async def connect(self, host: str) -> Wire | None:
        """A connection from an address; None where it is closed at once."""
        try:
            _, wire = await self.loop.create_connection(
                Wire, *split_address(self.server), local_addr=(host, 0)
            )
        except OSError:
            return None
        return wire

    async def run(self, seconds: float) -> None:
        """Send attacks drawn by lot until the time is over; slow writers and idle connections beside them."""
        ends, n = self.loop.time() + seconds, 0
        names = sorted(ATTACKS)
        for host in self.hosts[NOBODY] + self.hosts[CALLER]:
            for _ in range(20):
                wire = await self.connect(host)
                if wire is not None:
                    wire.transport.write(b"INVITE sip:")
                    self.idle.append(wire.transport)
        at = self.loop.time()
        while self.loop.time() < ends and not self.over:
            at += 0.02
            await asyncio.sleep(max(at - self.loop.time(), 0.0))
            victims = self.victims()
            for _ in range(round(self.rate * 0.02) if victims else 0):
                name = names[self.rng.randrange(len(names))]
                n += 1
                await self._send(name, victims[self.rng.randrange(len(victims))], n)
            for transport in self.idle:
                if not transport.is_closing() and self.rng.random() < 0.02:
                    transport.write(b"x")
        self.close()

    async def _send(self, name: str, victim: Victim, n: int) -> None:
        attack = ATTACKS[name]
        hosts = [host for host in self.hosts[attack.sender] if host != victim.host]
        if not hosts:
            return
        host = hosts[self.rng.randrange(len(hosts))]
        wire = self.wires.get(host)
        if wire is None or wire.lost.is_set() or wire.transport.is_closing():
            if wire is not None:
                self._count(wire)
            wire = await self.connect(host)
            if wire is None:
                return
            self.wires[host] = wire
        self.sent[name] = self.sent.get(name, 0) + 1
        wire.transport.write(coded(attack.made(victim, n)))

    def _count(self, wire: Wire) -> None:
        for status, count in wire.statuses.items():
            self.statuses[status] = self.statuses.get(status, 0) + count
        wire.statuses = {}

    def close(self) -> None:
        """All connections go."""
        self.over = True
        for wire in self.wires.values():
            self._count(wire)
            wire.transport.abort()
        for transport in self.idle:
            transport.abort()


def told(victims: list[Victim]) -> str:
    """Victims as a line, for attackers in a process of their own."""
    rows = [
        [v.invite.encode().decode("latin-1"), v.to, v.set_up.encode().decode("latin-1"), v.far_to, v.group,
         v.number, v.cls, v.context, v.host]
        for v in victims
    ]  # fmt: skip
    return json.dumps(rows) + "\n"


def heard(line: str) -> list[Victim]:
    """The same, read."""
    found: list[Victim] = []
    for invite, to, set_up, *rest in json.loads(line):
        pair = [item for text in (invite, set_up) for item in Parser().feed(text.encode("latin-1"))]
        if len(pair) == 2 and all(isinstance(item, Message) for item in pair):
            found.append(Victim(pair[0], to, pair[1], *rest))  # type: ignore[arg-type]
    return found


async def _apart(server: str, hosts: str, rate: float, seconds: float, seed: int) -> None:
    loop, victims = asyncio.get_running_loop(), list[Victim]()

    class Input(asyncio.Protocol):
        rest = b""

        def data_received(self, data: bytes) -> None:
            *lines, self.rest = (self.rest + data).split(b"\n")
            if lines:
                victims[:] = heard(lines[-1].decode())

        def connection_lost(self, exc: Exception | None) -> None:
            one.over = True

    one = Stranger(loop, server, json.loads(hosts), lambda: victims, Random(seed), rate)
    await loop.connect_read_pipe(Input, sys.stdin)
    await one.run(seconds)
    print(json.dumps({"sent": one.sent, "statuses": one.statuses}), flush=True)


if __name__ == "__main__":
    asyncio.run(_apart(sys.argv[1], sys.argv[2], float(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5])))
