"""Incremental parser of SIP messages on a stream (RFC 3261 sections 7 and 18.3), and parser of datagrams.

The stream parser buffers at most one incomplete message.  It rejects a message over the limits before all of
it has arrived, so that a peer that never ends a line uses a bounded amount of memory.
"""

from __future__ import annotations

import re
from dataclasses import dataclass

from eiderstep.sip.message import COMPACT_NAMES, VERSION, Message, header_params

TRAILING_BLANK = re.compile(r"[ \t]\r")
HEADER_LINE = re.compile(r"^([^:\s]+):[ \t]*([^\r\n]*)", re.MULTILINE)
TOKEN = re.compile(r"[A-Za-z0-9\-.!%*_+`'~]+\Z")
SINGLE_HEADERS = ("from", "to", "call-id", "cseq", "max-forwards", "content-length", "expires")
REQUIRED_HEADERS = ("via", "from", "to", "call-id", "cseq")
NUMERIC_HEADERS = (("max-forwards", 255), ("expires", 2**32 - 1))
METHODS = frozenset(("INVITE", "ACK", "CANCEL", "BYE", "OPTIONS", "NOTIFY"))
MAX_KNOWN_NAMES = 512  # cached spellings of header names; others are checked each time
CSEQ_LIMIT = 2**31  # exclusive, section 8.1.1.5


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of one message in bytes; `headers` is the number of header lines."""

    line: int = 4096
    head: int = 16384
    headers: int = 96
    body: int = 65536


class BadMessage(Exception):
    """A malformed message and the status to answer it with.

    `fatal`: the end of the message is unknown, so that the connection has to be closed.
    """

    def __init__(self, status: int, text: str, fatal: bool = False, message: Message | None = None) -> None:
        super().__init__(text)
        self.status, self.text, self.fatal, self.message = status, text, fatal, message


_known_names: dict[str, str] = {}


def _header_key(raw: str) -> str:
    """The long name of a header in lower case.  Raises BadMessage if the name is not a token."""
    known = _known_names.get(raw)
    if known is not None:
        return known
    name = raw.rstrip(" \t")
    if not TOKEN.match(name):
        raise BadMessage(400, f"header name {raw[:40]!r} is not a token")
    key = COMPACT_NAMES.get(name.lower(), name.lower())
    if len(_known_names) < MAX_KNOWN_NAMES:
        _known_names[raw] = key
    return key


def _parse_start_line(line: str) -> Message:
    """A message without headers from its start line.  Raises BadMessage."""
    if line.startswith("SIP/"):
        version, _, rest = line.partition(" ")
        code, _, phrase = rest.partition(" ")
        if version != VERSION:
            raise BadMessage(505, f"version {version[:20]!r} is not {VERSION}")
        if len(code) != 3 or not code.isascii() or not code.isdigit() or not 100 <= int(code) <= 699:
            raise BadMessage(400, f"status {code[:20]!r} is not 100 to 699")
        return Message("", "", int(code), phrase, {})
    parts = line.split(" ")
    if len(parts) != 3:
        raise BadMessage(400, f"start line {line[:60]!r} is not method, URI and version")
    method, uri, version = parts
    if not version.startswith("SIP/"):
        raise BadMessage(400, f"{version[:20]!r} is not a SIP version")
    if method not in METHODS and not TOKEN.match(method):
        raise BadMessage(400, f"method {method[:20]!r} is not a token")
    if version != VERSION:
        raise BadMessage(
            505, f"version {version[:20]!r} is not {VERSION}", message=Message(method, uri, 0, "", {})
        )
    if not uri or uri.startswith("<") or ":" not in uri:
        raise BadMessage(
            400, f"request URI {uri[:60]!r} is not a URI", message=Message(method, uri, 0, "", {})
        )
    return Message(method, uri, 0, "", {})


def _parse_plain_head(text: str, limits: Limits) -> Message | None:
    """Fast path: the message of a plain head, parsed by one regular expression; None for any other head.

    A plain head has no header that is repeated, folded, not known or followed by white space, and no bare CR,
    LF or NUL.
    """
    line, _, rest = text.partition("\r\n")
    pairs = HEADER_LINE.findall(rest)
    names = _known_names
    try:
        headers = {names[name]: [value] for name, value in pairs}
    except KeyError:
        return None
    breaks = rest.count("\r\n")
    if not len(headers) == len(pairs) == breaks + 1 or len(pairs) > limits.headers:
        return None
    if text.count("\n") != breaks + 1 or text.count("\r") != breaks + 1:
        return None
    if "\0" in text or TRAILING_BLANK.search(rest):
        return None
    try:
        message = _parse_start_line(line)
    except BadMessage:
        return None
    message.headers = headers
    return message


def parse_head(text: str, limits: Limits) -> tuple[Message, BadMessage | None]:
    """A message without its body, and its first error that does not affect the framing.

    Raises BadMessage if there are too many header lines.
    """
    plain = _parse_plain_head(text, limits)
    if plain is not None:
        return plain, None
    lines = text.split("\r\n")
    error: BadMessage | None = None
    try:
        message = _parse_start_line(lines[0])
    except BadMessage as problem:
        error, message = problem, problem.message or Message("?", "?", 0, "", {})
    if len(lines) - 1 > limits.headers:
        raise BadMessage(
            400, f"{len(lines) - 1} header lines, over the limit of {limits.headers}", fatal=True
        )
    headers, last = message.headers, ""
    names = _known_names
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        key = names.get(name)
        if key is not None and colon and key not in headers:  # the usual case
            headers[key] = [value.strip(" \t")]
            last = key
            continue
        if line[:1] in (" ", "\t"):
            if not last:
                error = error or BadMessage(400, "a folded line comes before the first header")
            else:
                headers[last][-1] += " " + line.strip(" \t")
            continue
        if not colon:
            error = error or BadMessage(400, f"header line {line[:40]!r} has no colon")
            continue
        try:
            last = _header_key(name)
        except BadMessage as problem:
            error, last = error or problem, ""
            continue
        value = value.strip(" \t")
        if last in headers:
            headers[last].append(value)
        else:
            headers[last] = [value]
    breaks = len(lines) - 1
    if text.count("\n") != breaks or text.count("\r") != breaks or "\0" in text:
        error = error or BadMessage(400, "the head has a bare CR, LF or NUL")
    return message, error


def is_number_up_to(text: str, maximum: int) -> bool:
    """Whether the text is a decimal integer from 0 to the maximum.

    The length is limited because, where the settings allow long lines, `int` raises ValueError for a number
    of 5,000 digits, which no caller catches and which would end the connection's callback.  The cost: a
    number with more than six leading zeros is rejected.
    """
    return len(text) <= 16 and text.isascii() and text.isdigit() and int(text) <= maximum


def check_headers(message: Message) -> None:
    """Check the headers of a message (sections 8.1.1 and 20).  Raises BadMessage, never a fatal one."""
    headers = message.headers
    for name in REQUIRED_HEADERS:
        if name not in headers:
            raise BadMessage(400, f"{name} header is missing", message=message)
    for name in SINGLE_HEADERS:
        if name in headers and len(headers[name]) > 1:
            raise BadMessage(400, f"{name} header occurs {len(headers[name])} times", message=message)
    number, _, method = headers["cseq"][0].partition(" ")
    if method not in METHODS:
        method = method.strip()
        if not TOKEN.match(method):
            raise BadMessage(400, f"CSeq {headers['cseq'][0][:40]!r} has no method", message=message)
        headers["cseq"] = [f"{number} {method}"]
    if not is_number_up_to(number, CSEQ_LIMIT - 1):
        raise BadMessage(400, f"CSeq {headers['cseq'][0][:40]!r} has no number", message=message)
    if message.method and method != message.method:
        error = f"CSeq has method {method[:20]!r}, the request line {message.method!r}"
        raise BadMessage(400, error, message=message)
    via = headers["via"][0]
    if (via[:8] != "SIP/2.0/" and via[:8].upper() != "SIP/2.0/") or " " not in via:
        raise BadMessage(400, f"Via {via[:40]!r} is not SIP/2.0/transport and an address", message=message)
    for name in ("from", "to"):
        value = headers[name][0]
        if value.startswith("<sip:") and value.count("<") == value.count(">") == 1 and '"' not in value:
            continue
        unquoted = re.sub(r'"(?:[^"\\]|\\.)*"', "", value) if '"' in value else value
        if '"' in unquoted and '"' not in header_params(unquoted):
            raise BadMessage(400, f"{name} has an unclosed quote", message=message)
        if unquoted.count("<") != unquoted.count(">") or unquoted.count("<") > 1 or ":" not in unquoted:
            raise BadMessage(400, f"{name} {value[:40]!r} is not an address", message=message)
    if not headers["call-id"][0] or " " in headers["call-id"][0]:
        raise BadMessage(400, "Call-ID is empty or has a space", message=message)
    for name, maximum in NUMERIC_HEADERS:
        if name not in headers:
            continue
        value = headers[name][0]
        if not is_number_up_to(value, maximum):
            raise BadMessage(400, f"{name} {value[:20]!r} is not a number up to {maximum}", message=message)


def _content_length(message: Message, limits: Limits) -> int | None:
    """The body size by Content-Length, None without that header.  Raises a fatal BadMessage."""
    values = message.headers.get("content-length")
    if values is None:
        return None
    if len(set(values)) > 1 or not values[0].isascii() or not values[0].isdigit():
        raise BadMessage(
            400, f"Content-Length {', '.join(values)[:40]!r} is not a single number", True, message
        )
    length = int(values[0]) if len(values[0]) < 12 else limits.body + 1
    if length > limits.body:
        raise BadMessage(
            413, f"body of {values[0][:12]} bytes, over the limit of {limits.body}", True, message
        )
    return length


class Parser:
    """Parses the byte stream of one connection into messages.

    After a fatal BadMessage all input is ignored, as the start of the next message is unknown.
    """

    def __init__(self, limits: Limits | None = None) -> None:
        self.limits = limits or Limits()
        self.buffer = b""
        self.failed = False
        self._parsed_head: tuple[Message, BadMessage | None, int] | None = None

    def feed(self, data: bytes) -> list[Message | BadMessage]:
        """Parse received bytes; returns the complete messages and the malformed ones in order."""
        if self.failed:
            return []
        self.buffer = self.buffer + data if self.buffer else data
        items: list[Message | BadMessage] = []
        try:
            while (item := self._next_item()) is not None:
                items.append(item)
        except BadMessage as problem:
            self.failed, self.buffer = True, b""
            items.append(problem)
        return items

    def _next_item(self) -> Message | BadMessage | None:
        """The next message, None if it is incomplete.  Raises a fatal BadMessage."""
        if self._parsed_head is None and not self._read_head():
            return None
        assert self._parsed_head is not None
        message, error, length = self._parsed_head
        if len(self.buffer) < length:
            return None
        message.body, self.buffer, self._parsed_head = self.buffer[:length], self.buffer[length:], None
        return validated(message, error)

    def _read_head(self) -> bool:
        """Parse the head at the start of the buffer; False if incomplete.  Raises a fatal BadMessage."""
        buffer = self.buffer
        if buffer[:1] in (b"\r", b"\n"):  # CRLF between messages, section 7.5
            buffer = self.buffer = buffer.lstrip(b"\r\n")
        end = buffer.find(b"\r\n\r\n", 0, self.limits.head + 4)
        if end < 0:
            # Up to three bytes of the CRLF CRLF may have arrived already; a head of just the limit is valid.
            if len(buffer) > self.limits.head + 3:
                raise BadMessage(513, f"head over the limit of {self.limits.head} bytes", True)
            if len(buffer) > self.limits.line + 1 and buffer.find(b"\r\n", 0, self.limits.line + 2) < 0:
                raise BadMessage(414, f"start line over the limit of {self.limits.line} bytes", True)
            return False
        # The result must not depend on how the stream is cut into segments; otherwise a proxy in front of
        # this server could see other messages in it.  So a start line over the limit is fatal here as well.
        if end > self.limits.line and buffer.find(b"\r\n", 0, self.limits.line + 2) < 0:
            raise BadMessage(414, f"start line over the limit of {self.limits.line} bytes", True)
        message, error = parse_head(buffer[:end].decode("utf-8", "surrogateescape"), self.limits)
        length = _content_length(message, self.limits)
        if length is None:
            raise error or BadMessage(400, "Content-Length is missing on a stream", True, message)
        if error is not None and message.method == "?":
            raise BadMessage(error.status, error.text, True)
        if end > self.limits.line and max(map(len, buffer[:end].split(b"\r\n"))) > self.limits.line:
            error = error or BadMessage(513, f"line over the limit of {self.limits.line} bytes")
        self.buffer, self._parsed_head = buffer[end + 4 :], (message, error, length)
        return True


def validated(message: Message, error: BadMessage | None) -> Message | BadMessage:
    """A complete message after the check of its headers, or its error as a BadMessage that is not fatal."""
    try:
        if error is not None:
            raise BadMessage(error.status, error.text, False, message)
        check_headers(message)
    except BadMessage as problem:
        return problem
    return message


def parse_datagram(data: bytes, limits: Limits | None = None) -> Message | BadMessage | None:
    """The message of one datagram, None for a keep-alive.

    Without Content-Length the body extends to the end of the datagram (section 18.3).
    """
    limits = limits or Limits()
    data = data.lstrip(b"\r\n")
    if not data:
        return None
    head, separator, body = data.partition(b"\r\n\r\n")
    try:
        if not separator or len(head) > limits.head:
            raise BadMessage(400, "datagram without a complete head, or with one over the limit")
        message, error = parse_head(head.decode("utf-8", "surrogateescape"), limits)
        length = _content_length(message, limits)
        if length is not None and length > len(body):
            raise BadMessage(
                400,
                f"Content-Length is {length}, but the datagram has {len(body)} bytes of body",
                message=message,
            )
    except BadMessage as problem:
        return problem
    message.body = body if length is None else body[:length]
    return validated(message, error)
