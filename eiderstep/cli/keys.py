"""`eiderstep keys`: a small CA for the TLS links between exchanges and to members' callers."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from eiderstep.trust.certificates import KeysError

app = typer.Typer(no_args_is_help=True, help="Create, renew, revoke and list keys and certificates.")
Folder = Annotated[Path, typer.Argument(help="The CA's folder.")]
Domain = Annotated[str, typer.Argument(help="A SIP domain, such as x1.midlands.")]
Hours = Annotated[float, typer.Option(help="Hours that the certificate is valid.")]


@contextmanager
def _exit_2_on_error() -> Iterator[None]:
    """Turn a missing package, KeysError and OSError into one line on standard error and exit 2."""
    try:
        import cryptography  # noqa: F401
    except ImportError as problem:
        print(
            f"eiderstep: {problem.name} is missing; allowed: installed with the extra `keys`", file=sys.stderr
        )
        raise typer.Exit(2) from None
    try:
        yield
    except (KeysError, OSError) as problem:
        print(f"eiderstep: {problem}", file=sys.stderr)
        raise typer.Exit(2) from None


@app.command()
def ca(
    folder: Folder,
    name: Annotated[str, typer.Option(help="The CA's name.")] = "eiderstep",
    days: Annotated[float, typer.Option(help="Days that the CA certificate is valid.")] = 3650.0,
) -> None:
    """Create a CA: ca.pem to be distributed, ca.key to stay in this folder, and an empty crl.pem."""
    with _exit_2_on_error():
        from eiderstep.trust.authority import Authority

        authority = Authority.create(folder, name, time.time(), days)
        print(f"{authority.folder}: ca.pem, ca.key, crl.pem")


@app.command()
def issue(folder: Folder, domain: Domain, hours: Hours = 24.0) -> None:
    """Issue a key and a certificate: DOMAIN.pem and DOMAIN.key in the CA's folder."""
    with _exit_2_on_error():
        from eiderstep.trust.authority import Authority

        print(Authority(folder).issue(domain, time.time(), hours))


@app.command()
def renew(folder: Folder, domain: Domain, hours: Hours = 24.0) -> None:
    """Issue a new key and certificate for a name; the old one stays valid until it expires or is revoked."""
    with _exit_2_on_error():
        from eiderstep.trust.authority import Authority

        authority = Authority(folder)
        if domain.lower() not in {row.name for row in authority.issued_certificates()}:
            raise KeysError(f"found no certificate of {domain!r}; allowed: a name that was issued")
        print(authority.issue(domain, time.time(), hours))


@app.command()
def revoke(
    folder: Folder, what: Annotated[str, typer.Argument(help="A SIP domain, or one serial number.")]
) -> None:
    """Revoke one certificate, or all of a name, and rewrite crl.pem."""
    with _exit_2_on_error():
        from eiderstep.trust.authority import Authority

        for row in Authority(folder).revoke(what, time.time()):
            print(f"{row.name} {row.serial}: revoked")


@app.command()
def crl(
    folder: Folder, hours: Annotated[float, typer.Option(help="Hours that the list is valid.")] = 24.0
) -> None:
    """Reissue the revocation list before it expires."""
    with _exit_2_on_error():
        from eiderstep.trust.authority import Authority

        print(Authority(folder).write_crl(time.time(), hours))


@app.command()
def show(
    folder: Folder,
    as_json: Annotated[bool, typer.Option("--json", help="Print one JSON object a line.")] = False,
) -> None:
    """List issued certificates: name, serial number, expiry, state.  No key is shown."""
    with _exit_2_on_error():
        from eiderstep.trust.authority import Authority

        now = time.time()
        for row in Authority(folder).issued_certificates():
            state = "revoked" if row.revoked else "ended" if row.ends < now else "good"
            until = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row.ends))
            if as_json:
                print(json.dumps({"name": row.name, "serial": row.serial, "ends": row.ends, "state": state}))
            else:
                print(f"{row.name:30} {row.serial:40} {until} UTC  {state}")
