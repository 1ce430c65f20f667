"""SIP messages (RFC 3261 section 7), created by the parser or by `request` and `response`.

Header values are kept as text, in order, under the long name in lower case.  They are parsed only on access,
because a call server reads five or six of the about fifteen headers of a message.
"""

from __future__ import annotations

VERSION = "SIP/2.0"
MAGIC_COOKIE = "z9hG4bK"  # section 8.1.1.7: a branch with this prefix is globally unique

COMPACT_NAMES = {
    "v": "via", "f": "from", "t": "to", "i": "call-id", "m": "contact", "l": "content-length",
    "c": "content-type", "e": "content-encoding", "k": "supported", "s": "subject", "o": "event",
    "u": "allow-events",
}  # fmt: skip
CANONICAL_NAMES = {
    "via": "Via", "from": "From", "to": "To", "call-id": "Call-ID", "cseq": "CSeq", "contact": "Contact",
    "max-forwards": "Max-Forwards", "content-length": "Content-Length", "content-type": "Content-Type",
    "expires": "Expires", "reason": "Reason", "retry-after": "Retry-After", "session-id": "Session-ID",
    "allow": "Allow", "event": "Event", "unsupported": "Unsupported", "require": "Require",
}  # fmt: skip
REASON_PHRASES = {
    100: "Trying", 180: "Ringing", 200: "OK", 400: "Bad Request", 404: "Not Found",
    405: "Method Not Allowed", 408: "Request Timeout", 413: "Request Entity Too Large",
    414: "Request-URI Too Long", 416: "Unsupported URI Scheme", 420: "Bad Extension",
    480: "Temporarily Unavailable", 481: "Call/Transaction Does Not Exist", 482: "Loop Detected",
    483: "Too Many Hops", 486: "Busy Here", 487: "Request Terminated", 491: "Request Pending",
    500: "Server Internal Error", 501: "Not Implemented", 503: "Service Unavailable",
    504: "Server Time-out", 505: "Version Not Supported", 513: "Message Too Large",
}  # fmt: skip


_wire_names = {name: f"{spelling}: " for name, spelling in CANONICAL_NAMES.items()}
MAX_WIRE_NAMES = 512  # bounds the memory that a peer can fill with invented names


def wire_name(name: str) -> str:
    """A header's name as written on the wire, followed by a colon and a space."""
    known = _wire_names.get(name)
    if known is None:
        known = "-".join(part.capitalize() for part in name.split("-")) + ": "
        if len(_wire_names) < MAX_WIRE_NAMES:
            _wire_names[name] = known
    return known


class Message:
    """A request (`method` and `uri` set) or a response (`status` above 0)."""

    __slots__ = ("body", "headers", "method", "reason_phrase", "status", "uri")

    def __init__(
        self,
        method: str,
        uri: str,
        status: int,
        phrase: str,
        headers: dict[str, list[str]],
        body: bytes = b"",
    ) -> None:
        self.method, self.uri, self.status, self.reason_phrase = method, uri, status, phrase
        self.headers, self.body = headers, body

    def __repr__(self) -> str:
        return f"<{self.start_line()} {self.get('call-id')}>"

    def start_line(self) -> str:
        return (
            f"{VERSION} {self.status} {self.reason_phrase}"
            if self.status
            else f"{self.method} {self.uri} {VERSION}"
        )

    def get(self, name: str, default: str = "") -> str:
        """The first value of a header, by its long name in lower case."""
        values = self.headers.get(name)
        return values[0] if values else default

    def set(self, name: str, value: str | None) -> None:
        """Replace all values of a header; None removes it."""
        if value is None:
            self.headers.pop(name, None)
        else:
            self.headers[name] = [value]

    @property
    def cseq(self) -> int:
        return int(self.get("cseq", "0").split(None, 1)[0])

    @property
    def cseq_method(self) -> str:
        return self.get("cseq").rpartition(" ")[2]

    @property
    def call_id(self) -> str:
        return self.get("call-id")

    @property
    def branch(self) -> str:
        return get_param(self.get("via"), "branch")

    @property
    def from_tag(self) -> str:
        return get_param(header_params(self.get("from")), "tag")

    @property
    def to_tag(self) -> str:
        return get_param(header_params(self.get("to")), "tag")

    def encode(self) -> bytes:
        """The bytes on the wire.  Content-Length is always written, as streams require it."""
        lines = [self.start_line()]
        for name, values in self.headers.items():
            if name != "content-length":
                prefix = _wire_names.get(name) or wire_name(name)
                if len(values) == 1:
                    lines.append(prefix + values[0])
                else:
                    lines += [prefix + value for value in values]
        lines.append(f"Content-Length: {len(self.body)}\r\n\r\n")
        return "\r\n".join(lines).encode("utf-8", "surrogateescape") + self.body


def header_params(value: str) -> str:
    """The part after the `<...>` of a name-addr, thus without parameters of the URI; else the whole value."""
    return value.rpartition(">")[2] if ">" in value else value


def address_uri(value: str) -> str:
    """The URI of a name-addr or addr-spec."""
    start = value.rfind("<")
    if start < 0:
        return value.partition(";")[0].strip()
    return value[start + 1 : value.find(">", start)]


def get_param(value: str, name: str, default: str = "") -> str:
    """The value of a `;name=value` parameter, without quotes.  For a parameter without a value, its name."""
    at = value.find(f";{name}=")  # fast path: the usual form
    if at >= 0 and (rest := value[at + len(name) + 2 :])[:1] not in ('"', " "):
        end = rest.find(";")
        return rest if end < 0 else rest[:end]
    lower = value.lower()
    at, prefix = 0, ";" + name
    while (at := lower.find(prefix, at)) >= 0:
        at += len(prefix)
        rest = value[at:]
        if not rest or rest[0] == ";":
            return name
        if rest[0] in "= ":
            text = rest.lstrip(" =")
            if text.startswith('"'):
                return text[1:].partition('"')[0]
            return text.partition(";")[0].partition(",")[0].strip()
    return default


def request(
    method: str, uri: str, *, via: str, sender: str, to: str, call_id: str, cseq: int, max_forwards: int = 70
) -> Message:
    """A request with the six headers that are mandatory in every request (section 8.1.1)."""
    headers = {
        "via": [via], "max-forwards": [str(max_forwards)], "from": [sender], "to": [to], "call-id": [call_id],
        "cseq": [f"{cseq} {method}"],
    }  # fmt: skip
    return Message(method, uri, 0, "", headers)


def response(request_message: Message, status: int, tag: str = "", phrase: str = "") -> Message:
    """A response to a request (section 8.2.6), with its Via, From, To, Call-ID and CSeq.

    `tag` is added to a To without a tag, except in a 100.
    """
    # The lists of values are shared with the request: replace them, never change them in place.
    headers: dict[str, list[str]] = {
        name: request_message.headers[name]
        for name in ("via", "from", "to", "call-id", "cseq")
        if name in request_message.headers
    }
    if tag and status > 100 and not request_message.to_tag and "to" in headers:
        headers["to"] = [f"{request_message.get('to')};tag={tag}"]
    return Message("", "", status, phrase or REASON_PHRASES.get(status, "Unknown"), headers)


def split_address(text: str, port: int = 5060) -> tuple[str, int]:
    """Host and port of `host:port` or `[v6]:port`; `port` if the text has none.  Raises ValueError."""
    host, sep, number = text.rpartition(":")
    if not sep or text.endswith("]"):
        host, number = text, str(port)
    if not number.isascii() or not number.isdigit() or not 0 <= int(number) <= 65535 or not host:
        raise ValueError(f"{text!r} is not host:port")
    return host.strip("[]"), int(number)


def uri_parts(uri: str) -> tuple[str, str, str]:
    """User, `host:port` and `;params` of a SIP URI; parameters of the user part (RFC 4904) stay in the user.

    Raises ValueError for another scheme, white space or a missing host.
    """
    scheme, sep, rest = uri.partition(":")
    if not sep or scheme.lower() not in ("sip", "sips"):
        raise ValueError(f"{uri!r} is not a SIP URI")
    user, at, host_part = rest.rpartition("@")
    host_part = host_part.partition("?")[0]
    host, semicolon, params = host_part.partition(";")
    if not host or any(c.isspace() for c in uri):
        raise ValueError(f"{uri!r} has white space or no host")
    return user if at else "", host, semicolon + params
