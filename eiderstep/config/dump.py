"""Writes settings as a script, so that the settings of a run can be kept and loaded again."""

from __future__ import annotations

import msgspec

from eiderstep.config.schema import ServerSettings


def dump(settings: ServerSettings) -> str:
    """A Starlark script that `load_text` turns back into equal settings."""
    fields = msgspec.to_builtins(settings)
    return "".join(f"{name} = {value!r}\n" for name, value in fields.items())
