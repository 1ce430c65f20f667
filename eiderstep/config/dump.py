"""Settings back into a script, so that what a run used can be kept and run again."""

from __future__ import annotations

import msgspec

from eiderstep.config.schema import ServerSettings


def dump(settings: ServerSettings) -> str:
    """A Starlark script that `load_text` reads as the same settings."""
    fields = msgspec.to_builtins(settings)
    return "".join(f"{name} = {value!r}\n" for name, value in fields.items())
