"""Load generator for benchmarks: callers and answering exchanges that parse only the parts they need.

They use far less CPU per call than the server under test, and run in separate processes.
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
ECHOED_HEADERS = (b"Via:", b"From:", b"To:", b"Call-ID:", b"CSeq:")


def split_heads(buffer: bytes) -> tuple[list[bytes], bytes]:
    """Splits off the complete message heads; returns them and the incomplete rest.  No message has a body."""
    *heads, rest = buffer.split(b"\r\n\r\n")
    return heads, rest


def header_value(head: bytes, name: bytes) -> bytes:
    """Returns the value of the first header with this name, which includes the colon."""
    start = head.find(b"\r\n" + name)
    end = head.find(b"\r\n", start + 2)
    return head[start + 2 + len(name) : end if end >= 0 else len(head)].strip()


class Answerer(asyncio.Protocol):
    """An exchange that answers every set-up immediately."""

    def __init__(self) -> None:
        self.buffer = b""
        self.transport: Any = None
        self.tag_count = 0

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def data_received(self, data: bytes) -> None:
        heads, self.buffer = split_heads(self.buffer + data)
        responses: list[bytes] = []
        for head in heads:
            method = head[:4]
            if method == b"ACK ":
                continue
            echoed = [line for line in head.split(b"\r\n") if line.startswith(ECHOED_HEADERS)]
            if method == b"INVI":
                responses.append(b"\r\n".join([b"SIP/2.0 100 Trying", *echoed, b"Content-Length: 0\r\n\r\n"]))
                self.tag_count += 1
                tag = b";tag=a%x" % self.tag_count
                echoed = [line + tag if line.startswith(b"To:") else line for line in echoed]
                echoed.append(b"Contact: <sip:a@127.0.0.1>")
            responses.append(b"\r\n".join([b"SIP/2.0 200 OK", *echoed, b"Content-Length: 0\r\n\r\n"]))
        if responses:
            self.transport.write(b"".join(responses))


class Relay(asyncio.Protocol):
    """The baseline of the benchmark: forwards bytes to `upstream` without reading them."""

    def __init__(self, upstream: tuple[str, int] | None = None) -> None:
        self.upstream = upstream
        self.transport: Any = None
        self.received_early: list[bytes] = []
        self.counterpart: Relay | None = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport
        if self.upstream is not None:
            asyncio.get_running_loop().create_task(self._connect_upstream(self.upstream))

    async def _connect_upstream(self, upstream: tuple[str, int]) -> None:
        outgoing = Relay()
        await asyncio.get_running_loop().create_connection(lambda: outgoing, *upstream)
        self.counterpart, outgoing.counterpart = outgoing, self
        for data in self.received_early:
            outgoing.transport.write(data)

    def data_received(self, data: bytes) -> None:
        if self.counterpart is None:
            self.received_early.append(data)
        else:
            self.counterpart.transport.write(data)


class Caller(asyncio.Protocol):
    """One connection of callers; reports standing, released and refused calls to the load generator."""

    def __init__(self, load: LoadGenerator) -> None:
        self.load = load
        self.buffer = b""
        self.transport: Any = None

    def connection_made(self, transport: Any) -> None:
        self.transport = transport

    def send_invite(self, number: str, call_id: int) -> None:
        """Sends the INVITE of a call; `call_id` is unique among all connections."""
        invite = (
            f"INVITE sip:{number}@x SIP/2.0\r\nVia: SIP/2.0/TCP c;branch=z9hG4bK{call_id}\r\n"
            "Max-Forwards: 70\r\n"
            f"From: <sip:c@c>;tag=t{call_id}\r\nTo: <sip:{number}@x>\r\nCall-ID: {call_id}@c\r\n"
            "CSeq: 1 INVITE\r\n"
            f"Contact: <sip:c@c>\r\nExpires: 9\r\nEiderstep-Class: plain\r\nSession-ID: {call_id:032x}\r\n"
            "Content-Length: 0\r\n\r\n"
        )
        self.load.open_set_ups[call_id] = (time.perf_counter(), number)
        self.transport.write(invite.encode())

    def data_received(self, data: bytes) -> None:
        heads, self.buffer = split_heads(self.buffer + data)
        for head in heads:
            if head[:4] == b"BYE " or head[8:11] == b"100":
                continue
            call_id = int(header_value(head, b"Call-ID:").partition(b"@")[0])
            is_invite = header_value(head, b"CSeq:").endswith(b"INVITE")
            if not is_invite:
                self.load.call_released(self, call_id)
            elif head[8:11] == b"200":
                self._send_request("ACK", 1, call_id, head)
                self.load.call_stands(self, call_id, head)
            else:
                to = header_value(head, b"To:").decode()
                number = self.load.open_set_ups[call_id][1]
                self.transport.write(
                    f"ACK sip:{number}@x SIP/2.0\r\nVia: SIP/2.0/TCP c;branch=z9hG4bK{call_id}\r\n"
                    "Max-Forwards: 70\r\n"
                    f"From: <sip:c@c>;tag=t{call_id}\r\nTo: {to}\r\nCall-ID: {call_id}@c\r\nCSeq: 1 ACK\r\n"
                    "Content-Length: 0\r\n\r\n".encode()
                )
                self.load.call_refused(self, call_id)

    def _send_request(self, method: str, cseq: int, call_id: int, response_head: bytes) -> None:
        to = header_value(response_head, b"To:").decode()
        self.transport.write(
            f"{method} sip:x SIP/2.0\r\nVia: SIP/2.0/TCP c;branch=z9hG4bK{call_id}{method}\r\n"
            "Max-Forwards: 70\r\n"
            f"From: <sip:c@c>;tag=t{call_id}\r\nTo: {to}\r\nCall-ID: {call_id}@c\r\nCSeq: {cseq} {method}\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )

    def hang_up(self, call_id: int, response_head: bytes) -> None:
        """Sends the BYE of a standing call."""
        self._send_request("BYE", 2, call_id, response_head)


class LoadGenerator:
    """Makes calls over several connections: in a closed loop, in an open loop, or to be kept standing."""

    def __init__(self, numbers: list[str]) -> None:
        self.numbers = numbers
        self.open_set_ups: dict[int, tuple[float, str]] = {}
        self.standing_calls: dict[int, tuple[Caller, bytes]] = {}
        self.set_up_times: list[float] = []
        self.completed = self.started = self.turned_away = 0
        self.keep_standing = False
        self.start_another: Callable[[Caller], None] | None = None
        self.callers: list[Caller] = []

    async def connect(
        self, host: str, port: int, connections: int, tls_context: ssl.SSLContext | None = None
    ) -> None:
        """Opens the connections of the callers."""
        loop = asyncio.get_running_loop()
        for _ in range(connections):
            _transport, caller = await loop.create_connection(
                lambda: Caller(self), host, port, ssl=tls_context
            )
            self.callers.append(caller)

    def start_call(self, caller: Caller) -> None:
        """Starts a call to the next number."""
        self.started += 1
        caller.send_invite(self.numbers[self.started % len(self.numbers)], self.started)

    def call_stands(self, caller: Caller, call_id: int, response_head: bytes) -> None:
        """Records the set-up time; keeps the call standing or releases it."""
        self.set_up_times.append(time.perf_counter() - self.open_set_ups.pop(call_id)[0])
        if self.keep_standing:
            self.standing_calls[call_id] = (caller, response_head)
            self.completed += 1
            if self.start_another is not None:
                self.start_another(caller)
        else:
            caller.hang_up(call_id, response_head)

    def call_released(self, caller: Caller, call_id: int) -> None:
        """Counts a call whose BYE was answered."""
        self.completed += 1
        if self.start_another is not None:
            self.start_another(caller)

    def call_refused(self, caller: Caller, call_id: int) -> None:
        """Counts a refused call; in a closed loop the next one starts 10 ms later."""
        self.open_set_ups.pop(call_id, None)
        self.turned_away += 1
        if self.start_another is not None:
            asyncio.get_running_loop().call_later(0.01, self.start_another, caller)

    async def run_closed_loop(self, seconds: float, concurrency: int) -> float:
        """Keeps `concurrency` calls in flight for so many seconds; returns the calls completed per second."""
        self.start_another = self.start_call
        began, completed_before = time.perf_counter(), self.completed
        for i in range(concurrency):
            self.start_call(self.callers[i % len(self.callers)])
        await asyncio.sleep(seconds)
        rate = (self.completed - completed_before) / (time.perf_counter() - began)
        self.start_another = None
        await asyncio.sleep(0.3)
        return rate

    async def run_open_loop(self, seconds: float, rate: float) -> None:
        """Starts `rate` calls per second, each released as soon as it stands."""
        began, started = time.perf_counter(), 0
        while (elapsed := time.perf_counter() - began) < seconds:
            while started < elapsed * rate:
                self.start_call(self.callers[started % len(self.callers)])
                started += 1
            await asyncio.sleep(0.001)
        await asyncio.sleep(0.3)

    async def establish_calls(self, count: int, concurrency: int = 64) -> None:
        """Establishes `count` calls and keeps them standing; `concurrency` calls are in set-up at a time."""
        self.keep_standing = True

        def start_next(caller: Caller) -> None:
            if self.started < count:
                self.start_call(caller)

        self.start_another = start_next
        for i in range(concurrency):
            start_next(self.callers[i % len(self.callers)])
        while self.completed + self.turned_away < count:
            await asyncio.sleep(0.05)
        self.start_another, self.keep_standing = None, False


def _server_tls_context(folder: Path, name: str) -> ssl.SSLContext:
    """Returns a TLS server context that requires a client certificate of the CA, whatever its name."""
    context = ssl.SSLContext(ssl.PROTOCOL_TLS_SERVER)
    context.load_cert_chain(folder / f"{name}.pem", folder / f"{name}.key")
    context.load_verify_locations(folder / "ca.pem")
    context.verify_mode = ssl.CERT_REQUIRED
    return context


async def _run_role(role: str, arguments: list[str]) -> None:
    """Runs answering exchanges ("answerers") or a relay; prints the ports and runs until the parent exits."""
    loop = asyncio.get_running_loop()
    servers = []
    if role == "answerers":
        contexts: list[ssl.SSLContext | None] = [None] * int(arguments[0])
        if len(arguments) > 1:
            contexts = [
                _server_tls_context(Path(arguments[1]), f"x{n + 1}.bench") for n in range(len(contexts))
            ]
        servers = [await loop.create_server(Answerer, "127.0.0.1", 0, ssl=c) for c in contexts]
    else:
        host, _, port = arguments[0].rpartition(":")
        servers = [await loop.create_server(lambda: Relay((host, int(port))), "127.0.0.1", 0)]
    print(" ".join(str(s.sockets[0].getsockname()[1]) for s in servers), flush=True)
    await loop.connect_read_pipe(lambda: _ParentWatch(loop), sys.stdin)
    await asyncio.Event().wait()


class _ParentWatch(asyncio.Protocol):
    """Stops the child when its parent exits, which closes its standard input."""

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self.loop = loop

    def connection_lost(self, exc: Exception | None) -> None:
        self.loop.stop()


if __name__ == "__main__":
    try:
        with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
            runner.run(_run_role(sys.argv[1], sys.argv[2:]))
    except RuntimeError:
        sys.exit(0)
