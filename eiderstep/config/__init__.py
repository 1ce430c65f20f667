"""Settings of a call server: a Starlark script, run without file or network access, as checked structs."""

from eiderstep.config.load import ConfigError, load_day, load_settings, load_text
from eiderstep.config.schema import ServerSettings

__all__ = ["ConfigError", "ServerSettings", "load_day", "load_settings", "load_text"]
