"""What the platform tells a call server: the NODE_ variables and the file that they name."""

from __future__ import annotations

import json
from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from eiderstep import interface as io
from eiderstep.reading import read_settings


class ConfigError(Exception):
    """The configuration cannot be used; one line that names what, where and what is allowed."""


@dataclass(frozen=True, slots=True)
class Config:
    """The configuration, checked.  `names`: of the classes; `dial_time`: in ns."""

    name: str
    listen: tuple[str, int]
    changelog: str
    known: dict[str, Any]
    settings: io.Settings
    names: tuple[str, ...]
    seed: int
    sockets: int
    memory_mb: int
    most_calls: int
    dial_time: int


def address(text: Any, what: str) -> tuple[str, int]:
    """A host and a port.  Raises ConfigError."""
    host, colon, port = text.rpartition(":") if isinstance(text, str) else ("", "", "")
    if not (host and colon and port.isascii() and port.isdigit() and 0 <= int(port[:6]) < 65536):
        raise ConfigError(f"{what} is {text!r}; allowed: host:port")
    return host, int(port)


def read(environ: Mapping[str, str]) -> Config:
    """The configuration that the environment names.  Raises ConfigError."""
    path = environ.get("NODE_CONFIG", "")
    if not path:
        raise ConfigError("NODE_CONFIG is not set; allowed: the path of a JSON file")
    try:
        with open(path, encoding="utf-8") as file:
            raw = json.load(file)
    except (OSError, ValueError) as problem:
        raise ConfigError(f"NODE_CONFIG {path}: {problem}; allowed: a JSON object") from None
    if not isinstance(raw, dict):
        raise ConfigError(f"NODE_CONFIG {path}: a {type(raw).__name__}; allowed: a JSON object")
    named = {"name": environ.get("NODE_NAME"), "listen": environ.get("NODE_LISTEN")}
    try:
        return check(raw | {key: value for key, value in named.items() if value})
    except ConfigError as problem:
        raise ConfigError(f"NODE_CONFIG {path}: {problem}") from None


def _object(raw: Mapping[str, Any], key: str) -> dict[str, Any]:
    value = raw.get(key) or {}
    if not isinstance(value, dict):
        raise ConfigError(f"{key} is a {type(value).__name__}; allowed: an object")
    return value


def _whole(raw: Mapping[str, Any], where: str, key: str, usual: int, least: int, most: int) -> int:
    value = raw.get(key, usual)
    if isinstance(value, bool) or not isinstance(value, int | float) or not least <= value <= most:
        raise ConfigError(f"{where}{key} is {value!r}; allowed: {least} to {most}")
    return int(value)


def check(raw: Mapping[str, Any]) -> Config:
    """The object of the file as checked values.  Raises ConfigError."""
    limits, settings = _object(raw, "limits"), _object(raw, "settings")
    caps = _object(settings, "caps")
    classes = settings.get("classes")
    if not isinstance(classes, list) or not classes or not all(isinstance(c, dict) for c in classes):
        raise ConfigError("settings.classes is no list of objects; allowed: one object for each class")
    names = tuple(str(c.get("name", "")) for c in classes)
    if "" in names or len(set(names)) != len(names):
        raise ConfigError("settings.classes: a name is absent or there twice; allowed: one each")
    try:
        module = read_settings(settings)
    except (TypeError, ValueError, AttributeError) as problem:
        raise ConfigError(f"settings: {problem}") from None
    seed = raw.get("seed", "0")
    try:
        number = int(seed, 16) if isinstance(seed, str) else int(seed)
    except (TypeError, ValueError):
        raise ConfigError(f"seed is {seed!r}; allowed: hexadecimal digits") from None
    changelog = raw.get("changelog")
    address(changelog, "changelog")
    return Config(
        name=str(raw.get("name") or "node"),
        listen=address(raw.get("listen"), "listen"),
        changelog=str(changelog),
        known=_object(raw, "known"),
        settings=module,
        names=names,
        seed=number,
        sockets=_whole(limits, "limits.", "sockets", 1024, 64, 2**20),
        memory_mb=_whole(limits, "limits.", "memory_mb", 192, 16, 2**20),
        most_calls=_whole(caps, "settings.caps.", "max_open", 20_000, 1, 10**7),
        dial_time=_whole(caps, "settings.caps.", "dial_timeout", 500_000_000, 10**6, 3600 * 10**9),
    )
