"""Configuration of a call server: the NODE_ environment variables and the JSON file that they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from eiderstep import interface as io
from eiderstep.node.memory_budget import DEFAULT_MEMORY_MB
from eiderstep.reading import read_settings


class ConfigError(Exception):
    """The configuration is unusable.  The message is one line: what was found, where, and what is allowed."""


@dataclass(frozen=True, slots=True)
class Config:
    """The validated configuration.  `known`: the initial list of offices; `dial_timeout`: in ns."""

    name: str
    listen: tuple[str, int]
    changelog: str
    known: dict[str, Any]
    settings: io.Settings
    class_names: tuple[str, ...]
    seed: int
    sockets: int
    memory_mb: int
    max_calls: int
    dial_timeout: int


def parse_address(text: Any, name: str) -> tuple[str, int]:
    """Parse host:port; `name` is the key that messages mention.  Raises ConfigError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and 0 <= int(port[:6]) < 65536):
        raise ConfigError(f"{name} is {text!r}; allowed: host:port")
    return host, int(port)


def read_config(environ: Mapping[str, str]) -> Config:
    """Read the configuration file that NODE_CONFIG names.  Raises ConfigError."""
    path = environ.get("NODE_CONFIG", "")
    if not path:
        raise ConfigError("NODE_CONFIG is not set; allowed: the path of a JSON file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as error:
        raise ConfigError(f"NODE_CONFIG {path}: {error}; allowed: a JSON object") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG {path}: found a {type(raw).__name__}; allowed: a JSON object")
    overrides = {"name": environ.get("NODE_NAME"), "listen": environ.get("NODE_LISTEN")}
    try:
        return check_config(raw | {key: value for key, value in overrides.items() if value})
    except ConfigError as error:
        raise ConfigError(f"NODE_CONFIG {path}: {error}") from None


def _get_object(raw: Mapping[str, Any], key: str) -> dict[str, Any]:
    value = raw.get(key) or {}
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is a {type(value).__name__}; allowed: an object")
    return value


def _get_integer(
    raw: Mapping[str, Any], prefix: str, key: str, default: int, minimum: int, maximum: int
) -> int:
    value = raw.get(key, default)
    if isinstance(value, bool) or not isinstance(value, int | float) or not minimum <= value <= maximum:
        raise ConfigError(f"{prefix}{key} is {value!r}; allowed: {minimum} to {maximum}")
    return int(value)


def check_config(raw: Mapping[str, Any]) -> Config:
    """Validate the JSON object of the configuration file.  Raises ConfigError."""
    limits, settings = _get_object(raw, "limits"), _get_object(raw, "settings")
    caps = _get_object(settings, "caps")
    classes = settings.get("classes")
    if not isinstance(classes, list) or not classes or not all(isinstance(row, dict) for row in classes):
        raise ConfigError("settings.classes is not a list of objects; allowed: one object for each class")
    class_names = tuple(str(row.get("name", "")) for row in classes)
    if "" in class_names or len(set(class_names)) != len(class_names):
        raise ConfigError(
            "settings.classes: a class name is missing or duplicated; allowed: a unique name for each class"
        )
    try:
        module_settings = read_settings(settings)
    except (TypeError, ValueError, AttributeError) as error:
        raise ConfigError(f"settings: {error}") from None
    seed = raw.get("seed", "0")
    try:
        seed_number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed is {seed!r}; allowed: hexadecimal digits") from None
    changelog = raw.get("changelog")
    parse_address(changelog, "changelog")
    return Config(
        name=str(raw.get("name") or "node"),
        listen=parse_address(raw.get("listen"), "listen"),
        changelog=str(changelog),
        known=_get_object(raw, "known"),
        settings=module_settings,
        class_names=class_names,
        seed=seed_number,
        sockets=_get_integer(limits, "limits.", "sockets", 1024, 64, 2**20),
        memory_mb=_get_integer(limits, "limits.", "memory_mb", DEFAULT_MEMORY_MB, 16, 2**20),
        max_calls=_get_integer(caps, "settings.caps.", "max_open", 20_000, 1, 10**7),
        dial_timeout=_get_integer(caps, "settings.caps.", "dial_timeout", 500_000_000, 10**6, 3600 * 10**9),
    )
