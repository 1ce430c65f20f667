"""Simulated attackers: forged messages, floods, slow senders and idle connections against a call server.

Each attack is one message, the kind of address that it is sent from, and the statuses that may answer it.  It
is made from a standing call; in the worst case assumed here the attacker knows the call's Call-ID, tags and
branches.  No attack may change a call, a circuit or a counter of another party.

Run as a module, it attacks from a process of its own and reads the standing calls from standard input.
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
from eiderstep.sip.dialog import make_cancel
from eiderstep.sip.message import Message, request, response, split_address
from eiderstep.sip.parser import BadMessage, Parser

UNKNOWN, CALLER, EXCHANGE = "nobody", "caller", "exchange"  # kinds of senders; nobody: an unknown address


@dataclass(frozen=True)
class Victim:
    """A standing call, with what its caller and the far exchange know of it."""

    invite: Message  # sent by the caller
    caller_to: str  # To of the caller's dialog, with the tag that the caller got
    far_invite: Message  # INVITE that the far exchange received
    far_to: str  # To of the far exchange's dialog, with the tag that it gave
    group: str  # trunk group of the call
    number: str  # a number that can be called
    call_class: str  # name of a call class
    context: str  # trunk context
    far_host: str = ""  # address of the exchange at the far end of the group; it does not attack this call


MessageFactory = Callable[[Victim, int], Message | bytes]


@dataclass(frozen=True)
class Attack:
    """One attack."""

    sender: str  # kind of sender
    allowed_statuses: tuple[int, ...]  # statuses that the response may have; empty: there must be no response
    make: MessageFactory  # makes the message from a victim and a serial number


def _request(method: str, serial: int, uri: str = "sip:x@x", call_id: str = "", cseq: int = 1) -> Message:
    return request(
        method, uri, via=f"SIP/2.0/TCP s;branch=z9hG4bKs{serial}", sender="<sip:s@s>;tag=s", to="<sip:x@x>",
        call_id=call_id or f"s{serial}", cseq=cseq,
    )  # fmt: skip


def _with_headers(message: Message, **headers: str) -> Message:
    for name, value in headers.items():
        message.set(name.replace("_", "-"), value)
    return message


def _trunk_contact(victim: Victim, group: str = "", context: str = "") -> str:
    return fields.trunk_contact("s", group or victim.group, context or victim.context)


def _notify(victim: Victim, serial: int, circuits: str = "0-65535", **headers: str) -> Message:
    defaults = {
        "contact": _trunk_contact(victim),
        "event": fields.CIRCUITS_HEADER,
        "eiderstep_circuits": circuits,
    }
    return _with_headers(_request("NOTIFY", serial), **{**defaults, **headers})


def _invite(victim: Victim, serial: int, **headers: str) -> Message:
    return _with_headers(
        _request("INVITE", serial, f"sip:{victim.number}@x"), eiderstep_class=victim.call_class, **headers
    )


def _seizure(victim: Victim, serial: int, circuits: str = "0", **headers: str) -> Message:
    return _invite(
        victim, serial, **{"contact": _trunk_contact(victim), "eiderstep_circuits": circuits, **headers}
    )


def _bye(victim: Victim, serial: int, cseq: int = 99) -> Message:
    message = _request("BYE", serial, call_id=victim.invite.call_id, cseq=cseq)
    return _with_headers(message, **{"from": victim.invite.get("from"), "to": victim.caller_to})


def _far_bye(victim: Victim, serial: int, cause: int = fields.NETWORK_OUT_OF_ORDER) -> Message:
    message = _request("BYE", serial, call_id=victim.far_invite.call_id, cseq=99)
    headers = {"from": victim.far_to, "to": victim.far_invite.get("from"), "reason": fields.reason(cause)}
    return _with_headers(message, **headers)


def _reinvite(victim: Victim, serial: int) -> Message:
    return _with_headers(
        _invite(victim, serial),
        **{"call-id": victim.invite.call_id, "from": victim.invite.get("from"), "to": victim.caller_to},
    )


def _ack(victim: Victim, serial: int) -> Message:
    message = _request("ACK", serial, call_id=victim.invite.call_id, cseq=victim.invite.cseq)
    return _with_headers(message, **{"from": victim.invite.get("from"), "to": victim.caller_to})


def _forged_response(victim: Victim, status: int, **headers: str) -> Message:
    message = response(victim.far_invite, status, "forged")
    return _with_headers(message, contact="<sip:s@s>", **headers)


def _raw_invite(serial: int, cseq: str = "1", header_lines: str = "") -> bytes:
    """Return an INVITE as text, with header lines that the codec would not write."""
    return (
        f"INVITE sip:a@b SIP/2.0\r\nVia: SIP/2.0/TCP s;branch=z9hG4bKr{serial}\r\nFrom: <sip:a@b>;tag=1\r\n"
        f"To: <sip:a@b>\r\nCall-ID: r{serial}\r\nCSeq: {cseq} INVITE\r\n{header_lines}\r\n"
    ).encode()


def _replayed_invite(victim: Victim, serial: int) -> Message:
    """Return a copy of the caller's own INVITE, with another branch."""
    headers = {name: list(values) for name, values in victim.invite.headers.items()}
    message = Message("INVITE", victim.invite.uri, 0, "", headers)
    return _with_headers(
        message, eiderstep_class=victim.call_class, via=f"SIP/2.0/TCP s;branch=z9hG4bKs{serial}"
    )


OVERLONG_HEAD = b"OPTIONS sip:a@b SIP/2.0\r\n" + b"X: y\r\n" * 4000
HTTP_REQUEST = b"GET / HTTP/1.1\r\nContent-Length: 0\r\n\r\n"
HUGE_LENGTH = "Content-Length: 9999999999\r\n"
ZERO_LENGTH = "Content-Length: 0\r\n"
ATTACKS: dict[str, Attack] = {
    "circuits out, by nobody": Attack(UNKNOWN, (403,), _notify),
    "circuits out, by a caller": Attack(CALLER, (403,), _notify),
    "circuits out, by another exchange": Attack(EXCHANGE, (403,), _notify),
    "circuits out, a thousand ranges": Attack(
        EXCHANGE, (403, 400), lambda v, n: _notify(v, n, ",".join(["0-65535"] * 480))
    ),
    "circuits out, another context": Attack(
        EXCHANGE, (403,), lambda v, n: _notify(v, n, contact=_trunk_contact(v, context="elsewhere"))
    ),
    "circuits out, no group": Attack(EXCHANGE, (400,), lambda v, n: _notify(v, n, contact="<sip:s@s>")),
    "circuits out, another event": Attack(EXCHANGE, (489,), lambda v, n: _notify(v, n, event="dialog")),
    "circuits in service again, by nobody": Attack(UNKNOWN, (403,), lambda v, n: _notify(v, n, "0-0")),
    "BYE, by nobody": Attack(UNKNOWN, (403,), _bye),
    "BYE, by another caller": Attack(CALLER, (481,), _bye),
    "BYE, by another exchange": Attack(EXCHANGE, (481,), _bye),
    "BYE as the far end, by nobody": Attack(UNKNOWN, (403,), _far_bye),
    "BYE as the far end, by a caller": Attack(CALLER, (481,), _far_bye),
    "BYE as the far end, by another exchange": Attack(EXCHANGE, (481,), _far_bye),
    "BYE of no call": Attack(CALLER, (481,), lambda v, n: _with_headers(_bye(v, n), to="<sip:x@x>;tag=none")),
    "BYE with a guessed Call-ID": Attack(
        CALLER, (481,), lambda v, n: _with_headers(_bye(v, n), call_id=f"{v.invite.call_id}{n}")
    ),
    "CANCEL, by nobody": Attack(UNKNOWN, (403,), lambda v, n: make_cancel(v.invite)),
    "CANCEL, by another caller": Attack(CALLER, (481,), lambda v, n: make_cancel(v.invite)),
    "CANCEL, by another exchange": Attack(EXCHANGE, (481,), lambda v, n: make_cancel(v.invite)),
    "CANCEL of the set-up, by a caller": Attack(CALLER, (481,), lambda v, n: make_cancel(v.far_invite)),
    "re-INVITE, by nobody": Attack(UNKNOWN, (403,), _reinvite),
    "re-INVITE, by another caller": Attack(CALLER, (481,), _reinvite),
    "ACK, by nobody": Attack(UNKNOWN, (), _ack),
    "ACK, by another caller": Attack(CALLER, (), _ack),
    "ACK, by another exchange": Attack(EXCHANGE, (), _ack),
    "INVITE replayed, by nobody": Attack(UNKNOWN, (403,), _replayed_invite),
    "seizure, by nobody": Attack(UNKNOWN, (403,), _seizure),
    "seizure, by a caller": Attack(CALLER, (403,), _seizure),
    "seizure, by another exchange": Attack(EXCHANGE, (403,), _seizure),
    "seizure without a group": Attack(CALLER, (403,), lambda v, n: _invite(v, n, eiderstep_circuits="0")),
    "seizure of a group that is nobody's": Attack(
        EXCHANGE, (403,), lambda v, n: _seizure(v, n, contact=_trunk_contact(v, "7000-7001"))
    ),
    "call, by nobody": Attack(UNKNOWN, (403,), _invite),
    "call, by an exchange": Attack(EXCHANGE, (403,), _invite),
    "advice, by a caller": Attack(CALLER, (403,), lambda v, n: _invite(v, n, eiderstep_advice="1")),
    "marks, by nobody": Attack(UNKNOWN, (403,), lambda v, n: _invite(v, n, eiderstep_marks="cut")),
    "OPTIONS, by nobody": Attack(UNKNOWN, (403,), lambda v, n: _request("OPTIONS", n)),
    "REGISTER, by nobody": Attack(UNKNOWN, (403,), lambda v, n: _request("REGISTER", n)),
    "REGISTER, by a caller": Attack(CALLER, (405,), lambda v, n: _request("REGISTER", n)),
    "200 to a set-up, by nobody": Attack(UNKNOWN, (), lambda v, n: _forged_response(v, 200)),
    "200 to a set-up, by a caller": Attack(CALLER, (), lambda v, n: _forged_response(v, 200)),
    "200 to a set-up, by another exchange": Attack(EXCHANGE, (), lambda v, n: _forged_response(v, 200)),
    "503 to a set-up, by another exchange": Attack(EXCHANGE, (), lambda v, n: _forged_response(v, 503)),
    "load report, by a caller": Attack(
        CALLER, (), lambda v, n: _forged_response(v, 503, eiderstep_waiting="9999", eiderstep_pause="999999")
    ),
    "another protocol": Attack(UNKNOWN, (), lambda v, n: HTTP_REQUEST),
    "a start line without end": Attack(CALLER, (), lambda v, n: b"INVITE sip:" + b"a" * 5000),
    "a head without end": Attack(CALLER, (), lambda v, n: OVERLONG_HEAD),
    "no length on a stream": Attack(CALLER, (400,), lambda v, n: _raw_invite(n)),
    "a body of gigabytes": Attack(CALLER, (413,), lambda v, n: _raw_invite(n, "1", HUGE_LENGTH)),
    "a CSeq beyond all": Attack(CALLER, (400,), lambda v, n: _raw_invite(n, "9" * 20, ZERO_LENGTH)),
    "two From": Attack(
        CALLER, (400,), lambda v, n: _raw_invite(n, "1", ZERO_LENGTH + "From: <sip:b@b>;tag=2\r\n")
    ),
    "no number in the dial plan": Attack(CALLER, (404,), lambda v, n: _with_headers(
        _request("INVITE", n, "sip:nobody@x"), eiderstep_class=v.call_class)),
}  # fmt: skip


def encode_message(message: Message | bytes) -> bytes:
    return message if isinstance(message, bytes) else message.encode()


class Connection(asyncio.Protocol):
    """One connection of an attacker; counts the responses by status."""

    def __init__(self) -> None:
        self.transport: Any = None
        self.parser, self.statuses = Parser(), dict[int, int]()
        self.lost: asyncio.Event = asyncio.Event()
        self.activity: asyncio.Event = (
            asyncio.Event()
        )  # set by received data and by the loss of the connection

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        for item in self.parser.feed(data):
            # A response copies headers of its request; if those are malformed, it does not parse either.
            message = item.message if isinstance(item, BadMessage) else item
            status = message.status if message is not None else 0
            self.statuses[status] = self.statuses.get(status, 0) + 1
        self.activity.set()

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost.set()
        self.activity.set()


class Attacker:
    """Sends attacks from several addresses.

    `hosts`: source addresses by kind of sender; `victims`: returns the calls that stand at the moment;
    `rate`: attacks a second; `sent`: number of attacks by name.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, server: str, hosts: dict[str, list[str]],
        victims: Callable[[], list[Victim]], rng: Random, rate: float,
    ) -> None:  # fmt: skip
        self.loop, self.server, self.hosts, self.victims = loop, server, hosts, victims
        self.rng, self.rate = rng, rate
        self.connections: dict[str, Connection] = {}
        self.idle_transports: list[Any] = []
        self.sent: dict[str, int] = {}
        self.status_counts: dict[int, int] = {}
        self.stopped = False

    async def connect(self, host: str) -> Connection | None:
        """Connect from an address; None if the connection is refused."""
        try:
            _, connection = await self.loop.create_connection(
                Connection, *split_address(self.server), local_addr=(host, 0)
            )
        except OSError:
            return None
        return connection

    async def run(self, seconds: float) -> None:
        """Send random attacks for that long, with slow writers and idle connections beside them."""
        ends, serial = self.loop.time() + seconds, 0
        names = sorted(ATTACKS)
        for host in self.hosts[UNKNOWN] + self.hosts[CALLER]:
            for _ in range(20):
                connection = await self.connect(host)
                if connection is not None:
                    connection.transport.write(b"INVITE sip:")
                    self.idle_transports.append(connection.transport)
        next_at = self.loop.time()
        while self.loop.time() < ends and not self.stopped:
            next_at += 0.02
            await asyncio.sleep(max(next_at - self.loop.time(), 0.0))
            victims = self.victims()
            for _ in range(round(self.rate * 0.02) if victims else 0):
                name = names[self.rng.randrange(len(names))]
                serial += 1
                await self._send(name, victims[self.rng.randrange(len(victims))], serial)
            for transport in self.idle_transports:
                if not transport.is_closing() and self.rng.random() < 0.02:
                    transport.write(b"x")
        self.close()

    async def _send(self, name: str, victim: Victim, serial: int) -> None:
        attack = ATTACKS[name]
        hosts = [host for host in self.hosts[attack.sender] if host != victim.far_host]
        if not hosts:
            return
        host = hosts[self.rng.randrange(len(hosts))]
        connection = self.connections.get(host)
        if connection is None or connection.lost.is_set() or connection.transport.is_closing():
            if connection is not None:
                self._add_statuses(connection)
            connection = await self.connect(host)
            if connection is None:
                return
            self.connections[host] = connection
        self.sent[name] = self.sent.get(name, 0) + 1
        connection.transport.write(encode_message(attack.make(victim, serial)))

    def _add_statuses(self, connection: Connection) -> None:
        for status, count in connection.statuses.items():
            self.status_counts[status] = self.status_counts.get(status, 0) + count
        connection.statuses = {}

    def close(self) -> None:
        """Stop, and reset all connections."""
        self.stopped = True
        for connection in self.connections.values():
            self._add_statuses(connection)
            connection.transport.abort()
        for transport in self.idle_transports:
            transport.abort()


def victims_to_json(victims: list[Victim]) -> str:
    """Return victims as a line of JSON, for attackers in a process of their own."""
    rows = [
        [victim.invite.encode().decode("latin-1"), victim.caller_to,
         victim.far_invite.encode().decode("latin-1"),
         victim.far_to, victim.group, victim.number, victim.call_class, victim.context, victim.far_host]
        for victim in victims
    ]  # fmt: skip
    return json.dumps(rows) + "\n"


def victims_from_json(line: str) -> list[Victim]:
    """Return the victims in such a line; a victim with a message that does not parse is left out."""
    victims: list[Victim] = []
    for invite, to, set_up, *rest in json.loads(line):
        pair = [item for text in (invite, set_up) for item in Parser().feed(text.encode("latin-1"))]
        if len(pair) == 2 and all(isinstance(item, Message) for item in pair):
            victims.append(Victim(pair[0], to, pair[1], *rest))  # type: ignore[arg-type]
    return victims


async def _run_as_process(server: str, hosts: str, rate: float, seconds: float, seed: int) -> None:
    loop, victims = asyncio.get_running_loop(), list[Victim]()

    class Input(asyncio.Protocol):
        rest = b""

        def data_received(self, data: bytes) -> None:
            *lines, self.rest = (self.rest + data).split(b"\n")
            if lines:
                victims[:] = victims_from_json(lines[-1].decode())

        def connection_lost(self, exc: Exception | None) -> None:
            attacker.stopped = True

    attacker = Attacker(loop, server, json.loads(hosts), lambda: victims, Random(seed), rate)
    await loop.connect_read_pipe(Input, sys.stdin)
    await attacker.run(seconds)
    print(json.dumps({"sent": attacker.sent, "statuses": attacker.status_counts}), flush=True)


if __name__ == "__main__":
    asyncio.run(
        _run_as_process(sys.argv[1], sys.argv[2], float(sys.argv[3]), float(sys.argv[4]), int(sys.argv[5]))
    )
