"""A small CA for exchanges without one: a folder with its key, the certificates issued and revoked.

Certificates are short-lived and contain SIP domains (RFC 5922).  Requires `cryptography` (the optional
dependencies `keys`), as does a call server with TLS, to read its certificate and revocation list.
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

from eiderstep.trust.certificates import CertificateInfo, KeysError, RevocationList, sip_names

SIP_DOMAIN = x509.ObjectIdentifier("1.3.6.1.5.5.7.3.20")  # RFC 5924, id-kp-sipDomain
BACKDATE_S = 60  # notBefore lies this long before the time of issue, as clocks differ


class IssuedCertificate(msgspec.Struct):
    """One issued certificate.  Times are seconds since 1970; `revoked` is 0 while it is not revoked."""

    name: str
    serial: str
    begins: int
    ends: int
    revoked: int = 0


def _subject(common: str) -> x509.Name:
    return x509.Name([x509.NameAttribute(NameOID.COMMON_NAME, common[:64])])


def _utc(seconds: float) -> datetime:
    return datetime.fromtimestamp(int(seconds), UTC)


class Authority:
    """A CA in a folder.  `now` in all methods: seconds since 1970.  All methods raise KeysError."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder

    @staticmethod
    def create(folder: Path, name: str, now: float, days: float = 3650) -> Authority:
        """Create a CA.  Raises KeysError where the folder has one already."""
        if (folder / "ca.key").exists():
            raise KeysError(f"{folder}: found a CA; allowed: a folder without ca.key")
        folder.mkdir(parents=True, exist_ok=True)
        key = ec.generate_private_key(ec.SECP256R1())
        builder = (
            x509.CertificateBuilder().subject_name(_subject(name)).issuer_name(_subject(name))
            .public_key(key.public_key()).serial_number(x509.random_serial_number())
            .not_valid_before(_utc(now - BACKDATE_S)).not_valid_after(_utc(now + days * 86_400))
            .add_extension(x509.BasicConstraints(ca=True, path_length=0), critical=True)
            .add_extension(_key_usage(sign=True), critical=True)
            .add_extension(x509.SubjectKeyIdentifier.from_public_key(key.public_key()), critical=False)
        )  # fmt: skip
        write_private(folder / "ca.key", _key_bytes(key))
        write_public(folder / "ca.pem", _pem(builder.sign(key, hashes.SHA256())))
        authority = Authority(folder)
        authority._save_rows([])
        authority.write_crl(now)
        return authority

    def issue(self, name: str, now: float, hours: float = 24.0, stem: str = "") -> Path:
        """Issue a key and a certificate for a SIP domain: `STEM.key` and `STEM.pem`, whose path is returned.

        For a name that was issued before, this is a renewal with a new key; the old certificate stays valid
        until it expires or is revoked.
        """
        if (
            not name
            or len(name) > 253
            or not all(part.replace("-", "").isalnum() for part in name.split("."))
        ):
            raise KeysError(f"found name {name!r}; allowed: a domain name such as x1.midlands")
        ca, signer = self._load_ca()
        ends = min(now + hours * 3600, ca.not_valid_after_utc.timestamp())
        if hours <= 0 or ends <= now:
            raise KeysError(f"found {hours:g} hours; allowed: above 0, within the CA's own life")
        key = ec.generate_private_key(ec.SECP256R1())
        serial = x509.random_serial_number()
        names = [x509.UniformResourceIdentifier(f"sip:{name.lower()}"), x509.DNSName(name.lower())]
        purposes = [ExtendedKeyUsageOID.SERVER_AUTH, ExtendedKeyUsageOID.CLIENT_AUTH, SIP_DOMAIN]
        begins = int(max(now - BACKDATE_S, ca.not_valid_before_utc.timestamp()))
        builder = (
            x509.CertificateBuilder().subject_name(_subject(name)).issuer_name(ca.subject)
            .public_key(key.public_key()).serial_number(serial)
            .not_valid_before(_utc(begins)).not_valid_after(_utc(ends))
            .add_extension(x509.BasicConstraints(ca=False, path_length=None), critical=True)
            .add_extension(x509.SubjectAlternativeName(names), critical=False)
            .add_extension(_key_usage(sign=False), critical=True)
            .add_extension(x509.ExtendedKeyUsage(purposes), critical=False)
            .add_extension(
                x509.AuthorityKeyIdentifier.from_issuer_public_key(signer.public_key()), critical=False
            )
        )  # fmt: skip
        stem = stem or name.lower()
        # A server that reads between the two writes finds a certificate that does not match the key, goes on
        # with the old pair, and reads again later.
        write_public(self.folder / f"{stem}.pem", _pem(builder.sign(signer, hashes.SHA256())))
        write_private(self.folder / f"{stem}.key", _key_bytes(key))
        self._save_rows(
            [*self.issued_certificates(), IssuedCertificate(name.lower(), f"{serial:x}", begins, int(ends))]
        )
        return self.folder / f"{stem}.pem"

    def revoke(self, what: str, now: float) -> list[IssuedCertificate]:
        """Revoke all valid certificates of a name, or the one with a serial number (hexadecimal)."""
        rows = self.issued_certificates()
        valid = [r for r in rows if what.lower() in (r.name, r.serial) and not r.revoked and r.ends > now]
        if not valid:
            raise KeysError(
                f"found no valid certificate of {what!r}; allowed: a name or serial that was issued"
            )
        for row in valid:
            row.revoked = int(now)
        self._save_rows(rows)
        self.write_crl(now)
        return valid

    def write_crl(self, now: float, hours: float = 24.0) -> Path:
        """Write the revocation list `crl.pem`, which is up to date for `hours`."""
        ca, signer = self._load_ca()
        builder = (
            x509.CertificateRevocationListBuilder().issuer_name(ca.subject)
            .last_update(_utc(now)).next_update(_utc(now + hours * 3600))
        )  # fmt: skip
        for row in self.issued_certificates():
            if row.revoked and row.ends > now - 86_400:
                entry = x509.RevokedCertificateBuilder().serial_number(int(row.serial, 16))
                builder = builder.add_revoked_certificate(entry.revocation_date(_utc(row.revoked)).build())
        write_public(self.folder / "crl.pem", _pem(builder.sign(signer, hashes.SHA256())))
        return self.folder / "crl.pem"

    def issued_certificates(self) -> list[IssuedCertificate]:
        """All issued certificates, oldest first."""
        try:
            return msgspec.json.decode(
                (self.folder / "issued.json").read_bytes(), type=list[IssuedCertificate]
            )
        except (OSError, msgspec.MsgspecError) as problem:
            raise KeysError(f"{self.folder}: found no list of issued certificates ({problem})") from None

    def _save_rows(self, rows: list[IssuedCertificate]) -> None:
        write_public(self.folder / "issued.json", msgspec.json.format(msgspec.json.encode(rows), indent=1))

    def _load_ca(self) -> tuple[x509.Certificate, ec.EllipticCurvePrivateKey]:
        check_key_permissions(self.folder / "ca.key")
        try:
            cert = x509.load_pem_x509_certificate((self.folder / "ca.pem").read_bytes())
            key = serialization.load_pem_private_key((self.folder / "ca.key").read_bytes(), None)
        except (OSError, ValueError) as problem:
            raise KeysError(f"{self.folder}: found no CA ({type(problem).__name__}); see `keys ca`") from None
        if not isinstance(key, ec.EllipticCurvePrivateKey):
            raise KeysError(f"{self.folder}/ca.key: found another type of key; allowed: elliptic curve")
        return cert, key


def read_crl(crl: Path, ca: Path) -> RevocationList:
    """Read a revocation list.  Raises KeysError unless it is signed by a CA in `ca`."""
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
        raise KeysError(f"{crl}: found a revocation list that is not signed by a CA of {ca}")
    until = listed.next_update_utc
    return RevocationList(frozenset(r.serial_number for r in listed), until.timestamp() if until else 0.0)


def read_certificate(path: Path) -> CertificateInfo:
    """Read our own certificate.  Raises KeysError."""
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
    return CertificateInfo(sip_names(tuple(names)), cert.serial_number, begins, ends)


def check_key_permissions(path: Path) -> None:
    """Raises KeysError if a key file is accessible to other users than its owner, who could copy the key.

    Where several accounts share a key on purpose, the call server needs its own copy.
    """
    try:
        mode = path.stat().st_mode
    except OSError as problem:
        raise KeysError(f"{path}: cannot be read: {problem.strerror}") from None
    if mode & 0o077:
        raise KeysError(f"{path}: found mode {mode & 0o777:o}, others can read it; allowed: 600")


def write_private(path: Path, data: bytes) -> None:
    """Write a file atomically; at no time is it readable for other users than the owner."""
    _replace(path, data, 0o600)


def write_public(path: Path, data: bytes) -> None:
    """Write a file atomically, readable for all users."""
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


def _key_usage(sign: bool) -> x509.KeyUsage:
    return x509.KeyUsage(
        digital_signature=not sign, key_cert_sign=sign, crl_sign=sign, content_commitment=False,
        key_encipherment=False, data_encipherment=False, key_agreement=False, encipher_only=False,
        decipher_only=False,
    )  # fmt: skip
