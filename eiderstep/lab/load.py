"""Load for measurements: raw callers and raw answerers that read no more of a message than they must.

They are far cheaper for each call than what they measure, and run in processes of their own.
"""

from __future__ import annotations

import asyncio
import ssl
import sys
import time
from collections.abc import Callable
from pathlib import Path
from typing import Any

import uvloop

SECOND = 1_000_000_000
ECHOED = (b"Via:", b"From:", b"To:", b"Call-ID:", b"CSeq:")


def messages(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Whole heads (no body is ever sent here), and the rest."""
    *whole, rest = buffer.split(b"\r\n\r\n")
    return whole, rest


def header(head: bytes, name: bytes) -> bytes:
    """The value of the first header of that name."""
    at = head.find(b"\r\n" + name)
    end = head.find(b"\r\n", at + 2)
    return head[at + 2 + len(name) : end if end >= 0 else len(head)].strip()


class Answerer(asyncio.Protocol):
    """An exchange that answers every set-up at once."""

    def __init__(self) -> None:
        self.rest = b""
        self.transport: Any = None
        self.tags = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        heads, self.rest = messages(self.rest + data)
        out: list[bytes] = []
        for head in heads:
            kind = head[:4]
            if kind == b"ACK ":
                continue
            echoed = [line for line in head.split(b"\r\n") if line.startswith(ECHOED)]
            if kind == b"INVI":
                out.append(b"\r\n".join([b"SIP/2.0 100 Trying", *echoed, b"Content-Length: 0\r\n\r\n"]))
                self.tags += 1
                tag = b";tag=a%x" % self.tags
                echoed = [line + tag if line.startswith(b"To:") else line for line in echoed]
                echoed.append(b"Contact: <sip:a@127.0.0.1>")
            out.append(b"\r\n".join([b"SIP/2.0 200 OK", *echoed, b"Content-Length: 0\r\n\r\n"]))
        if out:
            self.transport.write(b"".join(out))


class Relay(asyncio.Protocol):
    """The floor: passes bytes on and reads none of them."""

    def __init__(self, upstream: tuple[str, int] | None = None) -> None:
        self.upstream = upstream
        self.transport: Any = None
        self.early: list[bytes] = []
        self.other: Relay | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.upstream is not None:
            asyncio.get_running_loop().create_task(self._join(self.upstream))

    async def _join(self, upstream: tuple[str, int]) -> None:
        far = Relay()
        await asyncio.get_running_loop().create_connection(lambda: far, *upstream)
        self.other, far.other = far, self
        for data in self.early:
            far.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.other is None:
            self.early.append(data)
        else:
            self.other.transport.write(data)


class Caller(asyncio.Protocol):
    """One connection of callers.  `stood` is called with the set-up time (s) when a call stands."""

    def __init__(self, load: Load) -> None:
        self.load = load
        self.rest = b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def call(self, number: str, n: int) -> None:
        """Ask for a call; its number among all is `n`."""
        invite = (
            f"INVITE sip:{number}@x SIP/2.0\r\nVia: SIP/2.0/TCP c;branch=z9hG4bK{n}\r\n"
            "Max-Forwards: 70\r\n"
            f"From: <sip:c@c>;tag=t{n}\r\nTo: <sip:{number}@x>\r\nCall-ID: {n}@c\r\nCSeq: 1 INVITE\r\n"
            f"Contact: <sip:c@c>\r\nExpires: 9\r\nEiderstep-Class: plain\r\nSession-ID: {n:032x}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        self.load.asked[n] = (time.perf_counter(), number)
        self.transport.write(invite.encode())

    def data_received(self, data: bytes) -> None:
        heads, self.rest = messages(self.rest + data)
        for head in heads:
            if head[:4] == b"BYE " or head[8:11] == b"100":
                continue
            n = int(header(head, b"Call-ID:").partition(b"@")[0])
            invite = header(head, b"CSeq:").endswith(b"INVITE")
            if not invite:
                self.load.released(self, n)
            elif head[8:11] == b"200":
                self._request("ACK", 1, n, head)
                self.load.stands(self, n, head)
            else:
                to = header(head, b"To:").decode()
                number = self.load.asked[n][1]
                self.transport.write(
                    f"ACK sip:{number}@x SIP/2.0\r\nVia: SIP/2.0/TCP c;branch=z9hG4bK{n}\r\n"
                    "Max-Forwards: 70\r\n"
                    f"From: <sip:c@c>;tag=t{n}\r\nTo: {to}\r\nCall-ID: {n}@c\r\nCSeq: 1 ACK\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                self.load.refused(self, n)

    def _request(self, method: str, cseq: int, n: int, answer: bytes) -> None:
        to = header(answer, b"To:").decode()
        self.transport.write(
            f"{method} sip:x SIP/2.0\r\nVia: SIP/2.0/TCP c;branch=z9hG4bK{n}{method}\r\nMax-Forwards: 70\r\n"
            f"From: <sip:c@c>;tag=t{n}\r\nTo: {to}\r\nCall-ID: {n}@c\r\nCSeq: {cseq} {method}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def hang_up(self, n: int, answer: bytes) -> None:
        self._request("BYE", 2, n, answer)


class Load:
    """Calls over some connections: a closed loop, an open loop at a rate, or calls that stay."""

    def __init__(self, numbers: list[str]) -> None:
        self.numbers = numbers
        self.asked: dict[int, tuple[float, str]] = {}
        self.kept: dict[int, tuple[Caller, bytes]] = {}
        self.took: list[float] = []
        self.done = self.count = self.turned_away = 0
        self.keep = False
        self.again: Callable[[Caller], None] | None = None
        self.callers: list[Caller] = []

    async def connect(
        self, host: str, port: int, connections: int, secure: ssl.SSLContext | None = None
    ) -> None:
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            _transport, caller = await loop.create_connection(lambda: Caller(self), host, port, ssl=secure)
            self.callers.append(caller)

    def next_call(self, caller: Caller) -> None:
        self.count += 1
        caller.call(self.numbers[self.count % len(self.numbers)], self.count)

    def stands(self, caller: Caller, n: int, answer: bytes) -> None:
        self.took.append(time.perf_counter() - self.asked.pop(n)[0])
        if self.keep:
            self.kept[n] = (caller, answer)
            self.done += 1
            if self.again is not None:
                self.again(caller)
        else:
            caller.hang_up(n, answer)

    def released(self, caller: Caller, n: int) -> None:
        self.done += 1
        if self.again is not None:
            self.again(caller)

    def refused(self, caller: Caller, n: int) -> None:
        self.asked.pop(n, None)
        self.turned_away += 1
        if self.again is not None:
            asyncio.get_running_loop().call_later(0.01, self.again, caller)

    async def closed(self, seconds: float, window: int) -> float:
        """Calls a second with so many out at any time, over the whole time."""
        self.again = self.next_call
        began, before = time.perf_counter(), self.done
        for i in range(window):
            self.next_call(self.callers[i % len(self.callers)])
        await asyncio.sleep(seconds)
        rate = (self.done - before) / (time.perf_counter() - began)
        self.again = None
        await asyncio.sleep(0.3)
        return rate

    async def open(self, seconds: float, rate: float) -> None:
        """Calls at a steady rate, each released as soon as it stands."""
        began, n = time.perf_counter(), 0
        while (passed := time.perf_counter() - began) < seconds:
            while n < passed * rate:
                self.next_call(self.callers[n % len(self.callers)])
                n += 1
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.3)

    async def stand(self, count: int, window: int = 64) -> None:
        """So many calls that stand and stay."""
        self.keep = True

        def more(caller: Caller) -> None:
            if self.count < count:
                self.next_call(caller)

        self.again = more
        for i in range(window):
            more(self.callers[i % len(self.callers)])
        while self.done + self.turned_away < count:
            await asyncio.sleep(0.05)
        self.again, self.keep = None, False


def _context(folder: Path, name: str) -> ssl.SSLContext:
    """A server's, that asks for no more than the CA's word."""
    made = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    made.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    made.load_verify_locations(folder / "ca.pem")
    made.verify_mode = ssl.CERT_REQUIRED
    return made


async def _child(what: str, arguments: list[str]) -> None:
    loop = asyncio.get_running_loop()
    servers = []
    if what == "answerers":
        contexts: list[ssl.SSLContext | None] = [None] * int(arguments[0])
        if len(arguments) > 1:
            contexts = [_context(Path(arguments[1]), f"x{n + 1}.bench") for n in range(len(contexts))]
        servers = [await loop.create_server(Answerer, "127.0.0.1", 0, ssl=c) for c in contexts]
    else:
        host, _, port = arguments[0].rpartition(":")
        servers = [await loop.create_server(lambda: Relay((host, int(port))), "127.0.0.1", 0)]
    print(" ".join(str(s.sockets[0].getsockname()[1]) for s in servers), flush=True)
    await loop.connect_read_pipe(lambda: _Watch(loop), sys.stdin)
    await asyncio.Event().wait()


class _Watch(asyncio.Protocol):
    """Ends the child with its parent: its input closes."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def connection_lost(self, exc: Exception | None) -> None:
        self.loop.stop()


if __name__ == "__main__":
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_child(sys.argv[1], sys.argv[2:]))
    except RuntimeError:
        sys.exit(0)
