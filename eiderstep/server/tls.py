"""TLS 1.2 and 1.3 without I/O: bytes of a connection in, plain bytes out, on any loop, real or virtual.

Both ends prove themselves.  The chain and the key are checked by OpenSSL; names, times and revocation by
`trust/proof.py`, on a resumed session as on a new one, and again while the connection stands.
"""

from __future__ import annotations

import contextlib
import ssl
from pathlib import Path

from eiderstep.config.schema import SipTls
from eiderstep.trust.authority import check_private, read_certificate, read_list
from eiderstep.trust.proof import KeysError, Proof, Revoked, sip_names

NO_CHECK_TIME = 0x200000  # X509_V_FLAG_NO_CHECK_TIME, which the ssl module does not name
PIECE = 65536
HANDSHAKE = 65536  # bytes of a handshake that never gets done: a chain of certificates is a few KB


class Tls:
    """One connection.  `done`: both ends are proven; `failed`: why it came to nothing."""

    __slots__ = ("_in", "_object", "_out", "closed", "context", "done", "failed", "server_side", "taken")

    def __init__(
        self, context: ssl.SSLContext, server_side: bool, session: ssl.SSLSession | None = None
    ) -> None:
        self.context = context
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._object = context.wrap_bio(self._in, self._out, server_side=server_side, session=session)
        self.server_side = server_side
        self.done = self.closed = False
        self.failed = ""
        self.taken = 0

    def start(self) -> bytes:
        """What is to be sent at the beginning."""
        self._handshake()
        return self._out.read()

    def feed(self, data: bytes) -> bytes:
        """Bytes that came; returns the plain ones.  `wanted()` may have something to send after it."""
        if self.failed:
            return b""
        self._in.write(data)
        if not self.done:
            self.taken += len(data)
            if self.taken > HANDSHAKE:
                self.failed = f"a handshake of over {HANDSHAKE} bytes"
                return b""
            self._handshake()
        if not self.done:
            return b""
        parts: list[bytes] = []
        try:
            while part := self._object.read(PIECE):
                parts.append(part)
            self.closed = True  # an orderly end: close_notify
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLZeroReturnError:
            self.closed = True
        except ssl.SSLError as problem:
            self.failed = _words(problem)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def wanted(self) -> bytes:
        """What is to be sent after `feed`."""
        return self._out.read()

    def write(self, data: bytes) -> bytes:
        """Plain bytes into those that go out."""
        if not self.done or self.failed:
            return b""
        self._object.write(data)
        return self._out.read()

    def end(self) -> bytes:
        """The word that nothing more comes (close_notify)."""
        with contextlib.suppress(ssl.SSLError):
            self._object.unwrap()
        return self._out.read()

    def proof(self) -> Proof:
        """What the far end has proven."""
        cert = self._object.getpeercert() or {}
        names: tuple[tuple[str, str], ...] = cert.get("subjectAltName", ())  # type: ignore[assignment]
        return Proof(
            sip_names(names),
            int(str(cert.get("serialNumber", "0")), 16),
            ssl.cert_time_to_seconds(str(cert["notBefore"])),
            ssl.cert_time_to_seconds(str(cert["notAfter"])),
        )

    @property
    def session(self) -> ssl.SSLSession | None:
        """To resume with.  With TLS 1.3 it is there once something was read."""
        return self._object.session

    @property
    def resumed(self) -> bool:
        return bool(self._object.session_reused)

    def _handshake(self) -> None:
        try:
            self._object.do_handshake()
            self.done = True
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as problem:
            self.failed = _words(problem)


def _words(problem: ssl.SSLError) -> str:
    """The cause in OpenSSL's words, without its file and line."""
    said = getattr(problem, "verify_message", "") or problem.reason or str(problem)
    return str(said).lower().replace("_", " ")[:120]


class Keys:
    """Our own key, the CA, its revocation list; read anew by `load`.  Raises KeysError."""

    def __init__(self, tls: SipTls) -> None:
        self.tls = tls
        self.stamps: tuple[object, ...] = ()
        self.sessions: dict[str, ssl.SSLSession] = {}  # by the address dialled
        self.load()

    def load(self) -> None:
        """All of it, or nothing changes.  Connections that stand keep the key with which they were made."""
        tls = self.tls
        stamps = self._stamps()
        check_private(Path(tls.key))
        server, client = self._context(ssl.PROTOCOL_TLS_SERVER), self._context(ssl.PROTOCOL_TLS_CLIENT)
        revoked = read_list(Path(tls.crl), Path(tls.ca)) if tls.crl else Revoked()
        own = read_certificate(Path(tls.cert))
        self.server, self.client, self.revoked, self.own = server, client, revoked, own
        self.stamps = stamps
        self.sessions.clear()  # a session belongs to its context

    def remember(self, address: str, tls: Tls) -> None:
        """Keep the session of a link that was dialled, to resume it by; not one of keys that are no more."""
        session = tls.session
        if tls.done and session is not None and tls.context is self.client:
            self.sessions[address] = session

    def changed(self) -> bool:
        """Whether a file is another than the one read."""
        return self._stamps() != self.stamps

    def _stamps(self) -> tuple[object, ...]:
        tls, found = self.tls, list[object]()
        for name in (tls.ca, tls.cert, tls.key, tls.crl):
            try:
                row = Path(name).stat() if name else None
                found.append((row.st_mtime_ns, row.st_ino, row.st_size) if row else None)
            except OSError:
                found.append("missing")
        return tuple(found)

    def _context(self, side: int) -> ssl.SSLContext:
        tls, made = self.tls, ssl.SSLContext(side)
        made.check_hostname = False  # names are bound to exchanges by the settings, not by what was dialled
        made.verify_mode = ssl.CERT_REQUIRED
        made.minimum_version = ssl.TLSVersion.TLSv1_2
        made.verify_flags |= NO_CHECK_TIME
        # Danger: a client may ask for a new handshake on each TLS 1.2 connection as often as it likes.
        made.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
        try:
            made.load_verify_locations(tls.ca)
            made.load_cert_chain(tls.cert, tls.key, password=_no_password)
        except (OSError, ssl.SSLError) as problem:  # never the file's text: it may be a key's
            said = problem.strerror if not isinstance(problem, ssl.SSLError) else problem.reason
            raise KeysError(f"{tls.cert}, {tls.key}, {tls.ca}: cannot be used: {said}") from None
        return made


def _no_password() -> str:
    """Danger: asked for a password, OpenSSL would wait at the terminal and stop the server."""
    return ""
