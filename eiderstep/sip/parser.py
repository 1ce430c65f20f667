"""An incremental parser of SIP messages on a stream (RFC 3261 sections 7 and 18.3), and of datagrams.

It holds at most one message in hand and refuses what is over its limits before it is read whole: a peer that
never ends a line costs a bounded amount of memory.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from eiderstep.sip.message import COMPACT, VERSION, Message, after_angle

TRAILING = re.compile(r"[ \t]\r")
LINES = re.compile(r"^([^:\s]+):[ \t]*([^\r\n]*)", re.MULTILINE)
TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+\Z")
ONCE = ("from", "to", "call-id", "cseq", "max-forwards", "content-length", "expires")
NEEDED = ("via", "from", "to", "call-id", "cseq")
NUMBERS = (("max-forwards", 255), ("expires", 2**32 - 1))
METHODS = frozenset(("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY"))
KNOWN_NAMES = 512  # spellings of header names remembered; more are looked at anew each time
SEQ_LIMIT = 2**31  # section 8.1.1.5


@dataclass(frozen=True, slots=True)
class Limits:
    """The sizes that one message may have, in bytes but for the count of header lines."""

    line: int = 4096
    head: int = 16384
    headers: int = 96
    body: int = 65536


class BadMessage(Exception):
    """What is wrong with a message.  `fatal`: the stream cannot be followed beyond it, so it is closed."""

    def __init__(self, status: int, text: str, fatal: bool = False, message: Message | None = None) -> None:
        super().__init__(text)
        self.status, self.text, self.fatal, self.message = status, text, fatal, message


_names: dict[str, str] = {}


def _key(raw: str) -> str:
    """The long lower-case name of a header."""
    known = _names.get(raw)
    if known is not None:
        return known
    name = raw.rstrip(" \t")
    if not TOKEN.match(name):
        raise BadMessage(400, f"header name {raw[:40]!r} is not a token")
    key = COMPACT.get(name.lower(), name.lower())
    if len(_names) < KNOWN_NAMES:
        _names[raw] = key
    return key


def _start(line: str) -> Message:
    """The start line as a message with no headers yet."""
    if line.startswith("SIP/"):
        version, _, rest = line.partition(" ")
        code, _, phrase = rest.partition(" ")
        if version != VERSION:
            raise BadMessage(505, f"version {version[:20]!r}, not {VERSION}")
        if len(code) != 3 or not code.isascii() or not code.isdigit() or not 100 <= int(code) <= 699:
            raise BadMessage(400, f"status {code[:20]!r} is not 100 to 699")
        return Message("", "", int(code), phrase, {})
    parts = line.split(" ")
    if len(parts) != 3:
        raise BadMessage(400, f"start line {line[:60]!r} is not method, URI and version")
    method, uri, version = parts
    if not version.startswith("SIP/"):
        raise BadMessage(400, f"{version[:20]!r} is no SIP version")
    if method not in METHODS and not TOKEN.match(method):
        raise BadMessage(400, f"method {method[:20]!r} is not a token")
    if version != VERSION:
        raise BadMessage(
            505, f"version {version[:20]!r}, not {VERSION}", message=Message(method, uri, 0, "", {})
        )
    if not uri or uri.startswith("<") or ":" not in uri:
        raise BadMessage(
            400, f"request URI {uri[:60]!r} is not a URI", message=Message(method, uri, 0, "", {})
        )
    return Message(method, uri, 0, "", {})


def _plain(text: str, limits: Limits) -> Message | None:
    """The message of a head with nothing unusual in it, in one pass of C; None where a closer look is due.

    Unusual is: a header twice, folded, unheard of or with white space at its end, a stray CR, LF or NUL.
    """
    line, _, rest = text.partition("\r\n")
    pairs = LINES.findall(rest)
    names = _names
    try:
        headers = {names[name]: [value] for name, value in pairs}
    except KeyError:
        return None
    breaks = rest.count("\r\n")
    if not len(headers) == len(pairs) == breaks + 1 or len(pairs) > limits.headers:
        return None
    if text.count("\n") != breaks + 1 or text.count("\r") != breaks + 1:
        return None
    if "\0" in text or TRAILING.search(rest):
        return None
    try:
        message = _start(line)
    except BadMessage:
        return None
    message.headers = headers
    return message


def parse_head(text: str, limits: Limits) -> tuple[Message, BadMessage | None]:
    """A message without its body, and the first thing wrong with it that leaves its framing whole."""
    plain = _plain(text, limits)
    if plain is not None:
        return plain, None
    lines = text.split("\r\n")
    wrong: BadMessage | None = None
    try:
        message = _start(lines[0])
    except BadMessage as problem:
        wrong, message = problem, problem.message or Message("?", "?", 0, "", {})
    if len(lines) - 1 > limits.headers:
        raise BadMessage(400, f"{len(lines) - 1} header lines, over {limits.headers}", fatal=True)
    headers, last = message.headers, ""
    names = _names
    for line in lines[1:]:
        name, sep, value = line.partition(":")
        key = names.get(name)
        if key is not None and sep and key not in headers:  # nearly every line
            headers[key] = [value.strip(" \t")]
            last = key
            continue
        if line[:1] in (" ", "\t"):
            if not last:
                wrong = wrong or BadMessage(400, "a folded line before any header")
            else:
                headers[last][-1] += " " + line.strip(" \t")
            continue
        if not sep:
            wrong = wrong or BadMessage(400, f"header line {line[:40]!r} has no colon")
            continue
        try:
            last = _key(name)
        except BadMessage as problem:
            wrong, last = wrong or problem, ""
            continue
        value = value.strip(" \t")
        if last in headers:
            headers[last].append(value)
        else:
            headers[last] = [value]
    breaks = len(lines) - 1
    if text.count("\n") != breaks or text.count("\r") != breaks or "\0" in text:
        wrong = wrong or BadMessage(400, "a bare CR, LF or NUL in the head")
    return message, wrong


def whole(text: str, top: int) -> bool:
    """Whether it is a plain whole number up to that.

    Danger: where the settings allow long lines, a number of 5,000 digits is an error of `int` itself, which
    is none of ours and would end the connection's callback.  Hurts who writes more than six leading noughts.
    """
    return len(text) <= 16 and text.isascii() and text.isdigit() and int(text) <= top


def check(message: Message) -> None:
    """What every message needs (sections 8.1.1 and 20).  Raises BadMessage; the framing is whole."""
    headers = message.headers
    for name in NEEDED:
        if name not in headers:
            raise BadMessage(400, f"no {name} header", message=message)
    for name in ONCE:
        if name in headers and len(headers[name]) > 1:
            raise BadMessage(400, f"{name} stands {len(headers[name])} times", message=message)
    number, _, method = headers["cseq"][0].partition(" ")
    if method not in METHODS:
        method = method.strip()
        if not TOKEN.match(method):
            raise BadMessage(400, f"CSeq {headers['cseq'][0][:40]!r} names no method", message=message)
        headers["cseq"] = [f"{number} {method}"]
    if not whole(number, SEQ_LIMIT - 1):
        raise BadMessage(400, f"CSeq {headers['cseq'][0][:40]!r} has no number", message=message)
    if message.method and method != message.method:
        said = f"CSeq names {method[:20]!r}, the request is {message.method!r}"
        raise BadMessage(400, said, message=message)
    via = headers["via"][0]
    if (via[:8] != "SIP/2.0/" and via[:8].upper() != "SIP/2.0/") or " " not in via:
        raise BadMessage(400, f"Via {via[:40]!r} is not SIP/2.0/transport and an address", message=message)
    for name in ("from", "to"):
        value = headers[name][0]
        if value.startswith("<sip:") and value.count("<") == value.count(">") == 1 and '"' not in value:
            continue
        plain = re.sub(r'"(?:[^"\\]|\\.)*"', "", value) if '"' in value else value
        if '"' in plain and '"' not in after_angle(plain):
            raise BadMessage(400, f"{name} has a quote that is not closed", message=message)
        if plain.count("<") != plain.count(">") or plain.count("<") > 1 or ":" not in plain:
            raise BadMessage(400, f"{name} {value[:40]!r} is not an address", message=message)
    if not headers["call-id"][0] or " " in headers["call-id"][0]:
        raise BadMessage(400, "an empty or broken Call-ID", message=message)
    for name, top in NUMBERS:
        if name not in headers:
            continue
        value = headers[name][0]
        if not whole(value, top):
            raise BadMessage(400, f"{name} {value[:20]!r} is not a number up to {top}", message=message)


def _length(message: Message, limits: Limits) -> int | None:
    values = message.headers.get("content-length")
    if values is None:
        return None
    if len(set(values)) > 1 or not values[0].isascii() or not values[0].isdigit():
        raise BadMessage(400, f"Content-Length {', '.join(values)[:40]!r} is not one number", True, message)
    length = int(values[0]) if len(values[0]) < 12 else limits.body + 1
    if length > limits.body:
        raise BadMessage(413, f"a body of {values[0][:12]} bytes, over {limits.body}", True, message)
    return length


class Parser:
    """Bytes of one connection in, messages out.

    After a fatal BadMessage nothing more is read: where the next message begins is not known.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.buffer = b""
        self.dead = False
        self._head: tuple[Message, BadMessage | None, int] | None = None

    def feed(self, data: bytes) -> list[Message | BadMessage]:
        """Take what came; return the whole messages and faults in order."""
        if self.dead:
            return []
        self.buffer = self.buffer + data if self.buffer else data
        found: list[Message | BadMessage] = []
        try:
            while (item := self._next()) is not None:
                found.append(item)
        except BadMessage as problem:
            self.dead, self.buffer = True, b""
            found.append(problem)
        return found

    def _next(self) -> Message | BadMessage | None:
        if self._head is None and not self._read_head():
            return None
        assert self._head is not None
        message, wrong, length = self._head
        if len(self.buffer) < length:
            return None
        message.body, self.buffer, self._head = self.buffer[:length], self.buffer[length:], None
        return finished(message, wrong)

    def _read_head(self) -> bool:
        buffer = self.buffer
        if buffer[:1] in (b"\r", b"\n"):  # keep-alives between messages, section 7.5
            buffer = self.buffer = buffer.lstrip(b"\r\n")
        end = buffer.find(b"\r\n\r\n", 0, self.limits.head + 4)
        if end < 0:
            # The end may have come in part: a head at its limit is as good in pieces as it is whole.
            if len(buffer) > self.limits.head + 3:
                raise BadMessage(513, f"a head of over {self.limits.head} bytes", True)
            if len(buffer) > self.limits.line + 1 and buffer.find(b"\r\n", 0, self.limits.line + 2) < 0:
                raise BadMessage(414, f"a start line of over {self.limits.line} bytes", True)
            return False
        # Danger: taken whole and refused in pieces, a stream means one thing to us and another to who is
        # before us.  So a start line over its limit ends the connection however it comes.
        if end > self.limits.line and buffer.find(b"\r\n", 0, self.limits.line + 2) < 0:
            raise BadMessage(414, f"a start line of over {self.limits.line} bytes", True)
        message, wrong = parse_head(buffer[:end].decode("utf-8", "surrogateescape"), self.limits)
        length = _length(message, self.limits)
        if length is None:
            raise wrong or BadMessage(400, "no Content-Length on a stream", True, message)
        if wrong is not None and message.method == "?":
            raise BadMessage(wrong.status, wrong.text, True)
        if end > self.limits.line and max(map(len, buffer[:end].split(b"\r\n"))) > self.limits.line:
            wrong = wrong or BadMessage(513, f"a line of over {self.limits.line} bytes")
        self.buffer, self._head = buffer[end + 4 :], (message, wrong, length)
        return True


def finished(message: Message, wrong: BadMessage | None) -> Message | BadMessage:
    """A message whose bytes are all here, checked."""
    try:
        if wrong is not None:
            raise BadMessage(wrong.status, wrong.text, False, message)
        check(message)
    except BadMessage as problem:
        return problem
    return message


def parse_datagram(data: bytes, limits: Limits | None = None) -> Message | BadMessage | None:
    """One datagram (section 18.3): no Content-Length means all that is left; None for a keep-alive."""
    limits = limits or Limits()
    data = data.lstrip(b"\r\n")
    if not data:
        return None
    head, sep, body = data.partition(b"\r\n\r\n")
    try:
        if not sep or len(head) > limits.head:
            raise BadMessage(400, "a datagram without a whole head")
        message, wrong = parse_head(head.decode("utf-8", "surrogateescape"), limits)
        length = _length(message, limits)
        if length is not None and length > len(body):
            raise BadMessage(400, f"Content-Length {length}, but {len(body)} bytes came", message=message)
    except BadMessage as problem:
        return problem
    message.body = body if length is None else body[:length]
    return finished(message, wrong)
