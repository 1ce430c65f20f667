"""`eiderstep keys`: a small CA for the links between exchanges and members' callers."""

from __future__ import annotations

import json
import sys
import time
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Annotated

import typer

from eiderstep.trust.proof import KeysError

app = typer.Typer(no_args_is_help=True, help="Keys and certificates: made, renewed, revoked, shown.")
Folder = Annotated[Path, typer.Argument(help="The CA's folder.")]
Domain = Annotated[str, typer.Argument(help="A SIP domain, such as x1.midlands.")]
Hours = Annotated[float, typer.Option(help="How long the certificate is good.")]


@contextmanager
def _errors() -> Iterator[None]:
    """One line and exit 2 for what cannot be done."""
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
    days: Annotated[float, typer.Option(help="How long it is good.")] = 3650.0,
) -> None:
    """Make a CA: ca.pem for everybody, ca.key for this folder alone, an empty crl.pem."""
    with _errors():
        from eiderstep.trust.authority import Authority

        made = Authority.make(folder, name, time.time(), days)
        print(f"{made.folder}: ca.pem, ca.key, crl.pem")


@app.command()
def issue(folder: Folder, domain: Domain, hours: Hours = 24.0) -> None:
    """Issue a key and a certificate: DOMAIN.pem and DOMAIN.key in the CA's folder."""
    with _errors():
        from eiderstep.trust.authority import Authority

        print(Authority(folder).issue(domain, time.time(), hours))


@app.command()
def renew(folder: Folder, domain: Domain, hours: Hours = 24.0) -> None:
    """A new key and certificate in place of the old ones, which count until they end or are revoked."""
    with _errors():
        from eiderstep.trust.authority import Authority

        authority = Authority(folder)
        if domain.lower() not in {row.name for row in authority.rows()}:
            raise KeysError(f"found no certificate of {domain!r}; allowed: a name that was issued")
        print(authority.issue(domain, time.time(), hours))


@app.command()
def revoke(
    folder: Folder, what: Annotated[str, typer.Argument(help="A SIP domain, or one serial number.")]
) -> None:
    """Revoke a certificate, or all of a name, and write crl.pem anew."""
    with _errors():
        from eiderstep.trust.authority import Authority

        for row in Authority(folder).revoke(what, time.time()):
            print(f"{row.name} {row.serial}: revoked")


@app.command()
def crl(
    folder: Folder, hours: Annotated[float, typer.Option(help="How long the list is good.")] = 24.0
) -> None:
    """Write the revocation list anew, so that it does not get old."""
    with _errors():
        from eiderstep.trust.authority import Authority

        print(Authority(folder).write_list(time.time(), hours))


@app.command()
def show(
    folder: Folder, as_json: Annotated[bool, typer.Option("--json", help="JSON, a row a line.")] = False
) -> None:
    """What was issued: name, serial number, until when, revoked or not.  No key is shown."""
    with _errors():
        from eiderstep.trust.authority import Authority

        now = time.time()
        for row in Authority(folder).rows():
            state = "revoked" if row.revoked else "ended" if row.ends < now else "good"
            until = time.strftime("%Y-%m-%d %H:%M:%S", time.gmtime(row.ends))
            if as_json:
                print(json.dumps({"name": row.name, "serial": row.serial, "ends": row.ends, "state": state}))
            else:
                print(f"{row.name:30} {row.serial:40} {until} UTC  {state}")
