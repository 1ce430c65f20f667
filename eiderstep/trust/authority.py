"""A small CA for exchanges that have none: a folder with its key, what it issued, and what it revoked.

Certificates are short-lived and name SIP domains (RFC 5922).  Needs `cryptography` (the extra `keys`); a call
server itself needs it only to read revocation lists.
"""

from __future__ import annotations

import os
import tempfile
from datetime import UTC, datetime
from pathlib import Path

import msgspec
from cryptography import x509
from cryptography.exceptions import InvalidSignature
from cryptography.hazmat.primitives import hashes, serialization
from cryptography.hazmat.primitives.asymmetric import ec
from cryptography.x509.oid import ExtendedKeyUsageOID, NameOID

from eiderstep.trust.proof import KeysError, Proof, Revoked, sip_names

SIP_DOMAIN = x509.ObjectIdentifier("1.3.6.1.5.5.7.3.20")  # RFC 5924, id-kp-sipDomain
EARLIER = 60  # seconds that a certificate begins before it is made: clocks differ


class Row(msgspec.Struct):
    """One certificate that was issued.  Times are seconds since 1970; `revoked` 0: it was not."""

    name: str
    serial: str
    begins: int
    ends: int
    revoked: int = 0


def _subject(common: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common[:64])])


def _time(seconds: float) -> datetime:
    return datetime.fromtimestamp(int(seconds), UTC)


class Authority:
    """The folder.  `now` in all calls: seconds since 1970."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    @staticmethod
    def make(folder: Path, name: str, now: float, days: float = 3650) -> Authority:
        """A new CA.  Raises KeysError where there is one."""
        if (folder / "ca.key").exists():
            raise KeysError(f"{folder}: found a CA; allowed: a folder without ca.key")
        folder.mkdir(parents=True, exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        builder = (
            x509.CertificateBuilder().subject_name(_subject(name)).issuer_name(_subject(name))
            .public_key(key.public_key()).serial_number(x509.random_serial_number())
            .not_valid_before(_time(now - EARLIER)).not_valid_after(_time(now + days * 86_400))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(_usage(sign=True), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        )  # fmt: skip
        write_private(folder / "ca.key", _key_bytes(key))
        write_public(folder / "ca.pem", _pem(builder.sign(key, hashes.SHA256())))
        made = Authority(folder)
        made._keep([])
        made.write_list(now)
        return made

    def issue(self, name: str, now: float, hours: float = 24.0, stem: str = "") -> Path:
        """A key and a certificate for a SIP domain: `STEM.pem`, `STEM.key`.

        The same name again is a renewal: a new key; the old certificate counts until it ends or is revoked.
        """
        if (
            not name
            or len(name) > 253
            or not all(part.replace("-", "").isalnum() for part in name.split("."))
        ):
            raise KeysError(f"found name {name!r}; allowed: a domain name such as x1.midlands")
        ca, signer = self._ca()
        ends = min(now + hours * 3600, ca.not_valid_after_utc.timestamp())
        if hours <= 0 or ends <= now:
            raise KeysError(f"found {hours:g} hours; allowed: above 0, within the CA's own life")
        key = ec.generate_private_key(ec.SECP256R1())
        serial = x509.random_serial_number()
        names = [x509.UniformResourceIdentifier(f"sip:{name.lower()}"), x509.DNSName(name.lower())]
        purposes = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH, SIP_DOMAIN]
        begins = int(max(now - EARLIER, ca.not_valid_before_utc.timestamp()))
        builder = (
            x509.CertificateBuilder().subject_name(_subject(name)).issuer_name(ca.subject)
            .public_key(key.public_key()).serial_number(serial)
            .not_valid_before(_time(begins)).not_valid_after(_time(ends))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(_usage(sign=False), critical=True)
            .add_extension(x509.ExtendedKeyUsage(purposes), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
            )
        )  # fmt: skip
        stem = stem or name.lower()
        # The certificate first: a server that reads between the two finds a pair that does not fit, keeps
        # what it has, and reads again.
        write_public(self.folder / f"{stem}.pem", _pem(builder.sign(signer, hashes.SHA256())))
        write_private(self.folder / f"{stem}.key", _key_bytes(key))
        self._keep([*self.rows(), Row(name.lower(), f"{serial:x}", begins, int(ends))])
        return self.folder / f"{stem}.pem"

    def revoke(self, what: str, now: float) -> list[Row]:
        """All certificates of a name that still count, or the one of a serial number (hexadecimal)."""
        rows = self.rows()
        found = [r for r in rows if what.lower() in (r.name, r.serial) and not r.revoked and r.ends > now]
        if not found:
            raise KeysError(
                f"found no valid certificate of {what!r}; allowed: a name or serial that was issued"
            )
        for row in found:
            row.revoked = int(now)
        self._keep(rows)
        self.write_list(now)
        return found

    def write_list(self, now: float, hours: float = 24.0) -> Path:
        """The revocation list anew, `crl.pem`: good for so many hours."""
        ca, signer = self._ca()
        builder = (
            x509.CertificateRevocationListBuilder().issuer_name(ca.subject)
            .last_update(_time(now)).next_update(_time(now + hours * 3600))
        )  # fmt: skip
        for row in self.rows():
            if row.revoked and row.ends > now - 86_400:
                gone = x509.RevokedCertificateBuilder().serial_number(int(row.serial, 16))
                builder = builder.add_revoked_certificate(gone.revocation_date(_time(row.revoked)).build())
        write_public(self.folder / "crl.pem", _pem(builder.sign(signer, hashes.SHA256())))
        return self.folder / "crl.pem"

    def rows(self) -> list[Row]:
        """What was issued, oldest first."""
        try:
            return msgspec.json.decode((self.folder / "issued.json").read_bytes(), type=list[Row])
        except (OSError, msgspec.MsgspecError) as problem:
            raise KeysError(f"{self.folder}: found no list of what was issued ({problem})") from None

    def _keep(self, rows: list[Row]) -> None:
        write_public(self.folder / "issued.json", msgspec.json.format(msgspec.json.encode(rows), indent=1))

    def _ca(self) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
        check_private(self.folder / "ca.key")
        try:
            cert = x509.load_pem_x509_certificate((self.folder / "ca.pem").read_bytes())
            key = serialization.load_pem_private_key((self.folder / "ca.key").read_bytes(), None)
        except (OSError, ValueError) as problem:
            raise KeysError(f"{self.folder}: found no CA ({type(problem).__name__}); see `keys ca`") from None
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise KeysError(f"{self.folder}/ca.key: found another kind of key; allowed: elliptic curve")
        return cert, key


def read_list(crl: Path, ca: Path) -> Revoked:
    """A revocation list, signed by that CA.  Raises KeysError."""
    try:
        listed = x509.load_pem_x509_crl(crl.read_bytes())
        issuers = x509.load_pem_x509_certificates(ca.read_bytes())
    except (OSError, ValueError) as problem:
        raise KeysError(f"{crl}: found no revocation list ({problem}); allowed: a CRL in PEM") from None
    for issuer in issuers:
        key = issuer.public_key()
        try:
            if issuer.subject == listed.issuer and listed.is_signature_valid(key):  # type: ignore[arg-type]
                break
        except (InvalidSignature, TypeError, ValueError):
            continue
    else:
        raise KeysError(f"{crl}: found a list that no CA of {ca} has signed")
    until = listed.next_update_utc
    return Revoked(frozenset(r.serial_number for r in listed), until.timestamp() if until else 0.0)


def read_certificate(path: Path) -> Proof:
    """What a certificate of our own proves.  Raises KeysError."""
    try:
        cert = x509.load_pem_x509_certificate(path.read_bytes())
    except (OSError, ValueError) as problem:
        raise KeysError(f"{path}: found no certificate ({type(problem).__name__}); allowed: PEM") from None
    try:
        listed = cert.extensions.get_extension_for_class(x509.SubjectAlternativeName).value
    except x509.ExtensionNotFound:
        listed = x509.SubjectAlternativeName([])
    names = [("URI", n) for n in listed.get_values_for_type(x509.UniformResourceIdentifier)]
    names += [("DNS", n) for n in listed.get_values_for_type(x509.DNSName)]
    begins, ends = cert.not_valid_before_utc.timestamp(), cert.not_valid_after_utc.timestamp()
    return Proof(sip_names(tuple(names)), cert.serial_number, begins, ends)


def check_private(path: Path) -> None:
    """Raises KeysError where others than the owner can read a key file.

    Danger: a key that others can read is theirs.  Hurts where a key is shared by a group on purpose: give the
    call server a copy of its own.
    """
    try:
        mode = path.stat().st_mode
    except OSError as problem:
        raise KeysError(f"{path}: cannot be read: {problem.strerror}") from None
    if mode & 0o077:
        raise KeysError(f"{path}: found mode {mode & 0o777:o}, others can read it; allowed: 600")


def write_private(path: Path, data: bytes) -> None:
    """Whole or not at all, and never for others to read, not even while it is written."""
    _replace(path, data, 0o600)


def write_public(path: Path, data: bytes) -> None:
    _replace(path, data, 0o644)


def _replace(path: Path, data: bytes, mode: int) -> None:
    handle, name = tempfile.mkstemp(dir=path.parent, prefix=f".{path.name}.")
    try:
        with os.fdopen(handle, "wb") as sink:
            os.fchmod(sink.fileno(), mode)
            sink.write(data)
            sink.flush()
            os.fsync(sink.fileno())
        os.replace(name, path)
    except BaseException:
        os.unlink(name)
        raise


def _pem(signed: x509.Certificate | x509.CertificateRevocationList) -> bytes:
    return signed.public_bytes(serialization.Encoding.PEM)


def _key_bytes(key: ec.EllipticCurvePrivateKey) -> bytes:
    form, plain = serialization.PrivateFormat.PKCS8, serialization.NoEncryption()
    return key.private_bytes(serialization.Encoding.PEM, form, plain)


def _usage(sign: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not sign, key_cert_sign=sign, crl_sign=sign, content_commitment=False,
        key_encipherment=False, data_encipherment=False, key_agreement=False, encipher_only=False,
        decipher_only=False,
    )  # fmt: skip
