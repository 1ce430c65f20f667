"""The command `eiderstep`; each sub-command is in a module of its own."""

from __future__ import annotations

import sys

import typer

from eiderstep.cli import bench, check, day, experiment, fuzz, keys, registry, rehearse, serve, size, trace
from eiderstep.config.load import ConfigError
from eiderstep.trust.certificates import KeysError

app = typer.Typer(
    no_args_is_help=True, add_completion=False, help="A call router for exchanges and trunk groups."
)
app.command("serve")(serve.serve)
app.command("check")(check.check)
app.command("day")(day.day)
app.command("rehearse")(rehearse.rehearse)
app.command("trace")(trace.trace)
app.command("fuzz")(fuzz.fuzz)
app.command("bench")(bench.bench)
app.add_typer(experiment.app, name="experiment")
app.add_typer(keys.app, name="keys")
app.add_typer(registry.app, name="registry")
app.add_typer(size.app, name="size")


def main() -> None:
    """Run the command; an error in settings, scripts or keys is one line on standard error and exit 2."""
    try:
        app()
    except (ConfigError, KeysError) as problem:
        print(f"eiderstep: {problem}", file=sys.stderr)
        sys.exit(2)
