"""TLS 1.2 and 1.3 without I/O: encrypted bytes in, plain bytes out, on real and virtual event loops.

Authentication is mutual.  OpenSSL checks the certificate chain and the key.  Names, validity and revocation
are checked by `trust/certificates.py`, for new and resumed sessions, and again while the connection is open.
"""

from __future__ import annotations

import contextlib
import ssl
from pathlib import Path

from eiderstep.config.schema import SipTls
from eiderstep.trust.authority import check_key_permissions, read_certificate, read_crl
from eiderstep.trust.certificates import CertificateInfo, KeysError, RevocationList, sip_names

NO_CHECK_TIME = 0x200000  # X509_V_FLAG_NO_CHECK_TIME, which the ssl module does not export
READ_SIZE = 65536
MAX_HANDSHAKE_BYTES = 65536  # received before the handshake is done; a certificate chain has a few KB


class TlsConnection:
    """One TLS connection.  `failure`: the reason of an error, or empty."""

    __slots__ = (
        "_in", "_object", "_out", "closed", "context", "failure", "handshake_bytes", "handshake_done",
        "server_side",
    )  # fmt: skip

    def __init__(
        self, context: ssl.SSLContext, server_side: bool, session: ssl.SSLSession | None = None
    ) -> None:
        self.context = context
        self._in, self._out = ssl.MemoryBIO(), ssl.MemoryBIO()
        self._object = context.wrap_bio(self._in, self._out, server_side=server_side, session=session)
        self.server_side = server_side
        self.handshake_done = self.closed = False
        self.failure = ""
        self.handshake_bytes = 0

    def start(self) -> bytes:
        """Start the handshake; returns the bytes to send first."""
        self._handshake()
        return self._out.read()

    def feed(self, data: bytes) -> bytes:
        """Process received bytes; returns the decrypted ones.  `pending_output()` may then have bytes."""
        if self.failure:
            return b""
        self._in.write(data)
        if not self.handshake_done:
            self.handshake_bytes += len(data)
            if self.handshake_bytes > MAX_HANDSHAKE_BYTES:
                self.failure = f"handshake exceeds {MAX_HANDSHAKE_BYTES} bytes"
                return b""
            self._handshake()
        if not self.handshake_done:
            return b""
        parts: list[bytes] = []
        try:
            while part := self._object.read(READ_SIZE):
                parts.append(part)
            self.closed = True  # read() returned nothing: close_notify received
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLZeroReturnError:
            self.closed = True
        except ssl.SSLError as problem:
            self.failure = _error_text(problem)
        return parts[0] if len(parts) == 1 else b"".join(parts)

    def pending_output(self) -> bytes:
        """The bytes to send after `feed`."""
        return self._out.read()

    def write(self, data: bytes) -> bytes:
        """Encrypt plain bytes; returns the bytes to send, empty before the handshake is done."""
        if not self.handshake_done or self.failure:
            return b""
        self._object.write(data)
        return self._out.read()

    def close_notify(self) -> bytes:
        """The close_notify alert to send before closing."""
        with contextlib.suppress(ssl.SSLError):
            self._object.unwrap()
        return self._out.read()

    def peer_certificate(self) -> CertificateInfo:
        """The peer's certificate; only valid once the handshake is done."""
        cert = self._object.getpeercert() or {}
        names: tuple[tuple[str, str], ...] = cert.get("subjectAltName", ())  # type: ignore[assignment]
        return CertificateInfo(
            sip_names(names),
            int(str(cert.get("serialNumber", "0")), 16),
            ssl.cert_time_to_seconds(str(cert["notBefore"])),
            ssl.cert_time_to_seconds(str(cert["notAfter"])),
        )

    @property
    def session(self) -> ssl.SSLSession | None:
        """The session to resume later.  With TLS 1.3 it is available only after bytes were read."""
        return self._object.session

    @property
    def resumed(self) -> bool:
        return bool(self._object.session_reused)

    def _handshake(self) -> None:
        try:
            self._object.do_handshake()
            self.handshake_done = True
        except ssl.SSLWantReadError:
            pass
        except ssl.SSLError as problem:
            self.failure = _error_text(problem)


def _error_text(problem: ssl.SSLError) -> str:
    """OpenSSL's description of an error, without its source file and line."""
    reason = getattr(problem, "verify_message", "") or problem.reason or str(problem)
    return str(reason).lower().replace("_", " ")[:120]


class Credentials:
    """Our key and certificate, the CA and its revocation list.  Raises KeysError if a file cannot be used."""

    def __init__(self, tls: SipTls) -> None:
        self.tls = tls
        self.file_stamps: tuple[object, ...] = ()
        self.sessions: dict[str, ssl.SSLSession] = {}  # by dialled address
        self.load()

    def load(self) -> None:
        """Read all files; if one fails, the state stays as it was and KeysError is raised.

        Open connections keep the key with which they were opened.
        """
        tls = self.tls
        file_stamps = self._file_stamps()
        check_key_permissions(Path(tls.key))
        server, client = self._context(ssl.PROTOCOL_TLS_SERVER), self._context(ssl.PROTOCOL_TLS_CLIENT)
        revoked = read_crl(Path(tls.crl), Path(tls.ca)) if tls.crl else RevocationList()
        own = read_certificate(Path(tls.cert))
        self.server_context, self.client_context, self.revocation_list, self.own_certificate = (
            server, client, revoked, own,
        )  # fmt: skip
        self.file_stamps = file_stamps
        self.sessions.clear()  # sessions can be resumed only in the context that created them

    def save_session(self, address: str, tls: TlsConnection) -> None:
        """Save the session of a dialled link for resumption, unless the keys were reloaded since."""
        session = tls.session
        if tls.handshake_done and session is not None and tls.context is self.client_context:
            self.sessions[address] = session

    def files_changed(self) -> bool:
        """Whether a file has changed since `load`."""
        return self._file_stamps() != self.file_stamps

    def _file_stamps(self) -> tuple[object, ...]:
        tls, stamps = self.tls, list[object]()
        for name in (tls.ca, tls.cert, tls.key, tls.crl):
            try:
                row = Path(name).stat() if name else None
                stamps.append((row.st_mtime_ns, row.st_ino, row.st_size) if row else None)
            except OSError:
                stamps.append("missing")
        return tuple(stamps)

    def _context(self, side: int) -> ssl.SSLContext:
        tls, context = self.tls, ssl.SSLContext(side)
        context.check_hostname = False  # the settings, not the dialled host, say which name an exchange has
        context.verify_mode = ssl.CERT_REQUIRED
        context.minimum_version = ssl.TLSVersion.TLSv1_2
        context.verify_flags |= NO_CHECK_TIME
        # Otherwise a client could start any number of new handshakes on a TLS 1.2 connection.
        context.options |= ssl.OP_NO_RENEGOTIATION | ssl.OP_NO_COMPRESSION
        try:
            context.load_verify_locations(tls.ca)
            context.load_cert_chain(tls.cert, tls.key, password=_no_password)
        except (OSError, ssl.SSLError) as problem:
            # The message must not contain the file's text, which may be a key.
            reason = problem.strerror if not isinstance(problem, ssl.SSLError) else problem.reason
            raise KeysError(f"{tls.cert}, {tls.key}, {tls.ca}: cannot be used: {reason}") from None
        return context


def _no_password() -> str:
    """Without a password callback, OpenSSL would prompt at the terminal for an encrypted key and block."""
    return ""
