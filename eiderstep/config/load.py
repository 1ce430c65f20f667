"""Evaluate a Starlark script and check what it defines.  Errors name file, line, field, found and allowed."""

from __future__ import annotations

import ast
import re
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, TypeVar

import msgspec
import starlark

from eiderstep.config.bounds import ConfigError, run_bounded
from eiderstep.config.schema import MS, SECOND, ServerSettings, cross_check

__all__ = ["ConfigError", "convert", "evaluate", "load_day", "load_settings", "load_text", "locate", "read"]
T = TypeVar("T")
SIZE_LIMIT = 1 << 20  # bytes of a script

# Functions that a script may call beside Starlark's own.  The builders return plain dicts, so that a script
# can compute with them; what they hold is checked once, at the end.
BUILDERS = (
    "call_class", "peer", "route", "cold", "rules", "register", "registry", "tls", "lease", "timers",
    "sizing", "trust", "caller", "source_limits", "sip_tls",
    "limits", "trouble", "exchange", "fleet", "traffic", "callers", "expect",
)  # fmt: skip


def evaluate(
    text: str, file: str, names: tuple[str, ...], more: Mapping[str, Callable[..., Any]] | None = None
) -> dict[str, Any]:
    """The top-level values of a script that bear one of the names.  `more`: functions of this kind alone.

    There is no `load`, no file and no network within a script; its names that begin with `_` are its own.
    """
    if len(text) > SIZE_LIMIT:
        raise ConfigError(file, 1, "", f"found {len(text)} characters; allowed: up to {SIZE_LIMIT}")
    module = starlark.Module()
    module.add_callable("ms", lambda count: round(count * MS))
    module.add_callable("s", lambda count: round(count * SECOND))
    for name in BUILDERS:
        module.add_callable(name, _builder(name))
    for name, function in (more or {}).items():
        module.add_callable(name, function)
    run_bounded(module, text, file)
    found: dict[str, Any] = {}
    for name, line in _assigned(text).items():
        if name.startswith("_"):
            continue
        if name not in names:
            allowed = f"{', '.join(names)}, or a name with _ first"
            raise ConfigError(file, line, name, f"no such setting; allowed: {allowed}")
        try:
            found[name] = module[name]
        except starlark.StarlarkError:
            raise ConfigError(file, line, name, "found a function; allowed: a value") from None
    return found


def _builder(name: str) -> Callable[..., dict[str, Any]]:
    def build(*args: Any, **fields: Any) -> dict[str, Any]:
        if args:
            raise ValueError(f"{name}() takes named fields only")
        return fields

    return build


def _tree(text: str) -> ast.Module | None:
    """Starlark's grammar is Python's for all that a settings script needs to be located in."""
    try:
        return ast.parse(text)
    except SyntaxError:
        return None


def _assigned(text: str) -> dict[str, int]:
    tree = _tree(text)
    found: dict[str, int] = {}
    if tree is None:  # grammar of Starlark alone: fall back to lines
        for number, line in enumerate(text.splitlines(), 1):
            if match := re.match(r"([A-Za-z_]\w*)\s*=[^=]", line):
                found.setdefault(match[1], number)
        return found
    for node in tree.body:
        targets = node.targets if isinstance(node, ast.Assign) else []
        for target in targets:
            if isinstance(target, ast.Name):
                found[target.id] = node.lineno
    return found


def locate(text: str, path: str) -> int:
    """The line of a field given by a path such as `$.classes[1].aim`; the nearest that can be told."""
    steps = re.findall(r"\.([A-Za-z_]\w*)|\[(\d+)\]", path)
    tree = _tree(text)
    if not steps or tree is None:
        return _assigned(text).get(steps[0][0], 1) if steps else 1
    node: ast.expr | None = None
    line = 1
    for statement in tree.body:
        if isinstance(statement, ast.Assign) and any(
            isinstance(t, ast.Name) and t.id == steps[0][0] for t in statement.targets
        ):
            node, line = statement.value, statement.lineno
    for name, index in steps[1:]:
        if isinstance(node, ast.List | ast.Tuple) and index and int(index) < len(node.elts):
            node = node.elts[int(index)]
        elif isinstance(node, ast.Call) and name:
            node = next((k.value for k in node.keywords if k.arg == name), None)
        elif isinstance(node, ast.Dict) and name:
            keys = [k.value if isinstance(k, ast.Constant) else None for k in node.keys]
            node = node.values[keys.index(name)] if name in keys else None
        else:
            node = None
        if node is None:
            return line
        line = node.lineno
    return line


def _value_at(value: Any, path: str) -> Any:
    for name, index in re.findall(r"\.([A-Za-z_]\w*)|\[(\d+)\]", path):
        try:
            value = value[name] if name else value[int(index)]
        except (KeyError, IndexError, TypeError):
            return None
    return value


def convert(found: dict[str, Any], kind: type[T], text: str, file: str) -> T:
    """Values of a script as a struct.  Raises ConfigError."""
    try:
        return msgspec.convert(found, kind)
    except msgspec.ValidationError as problem:
        said, _, path = str(problem).partition(" - at `")
        path = path.rstrip("`") or "$"
        if "unknown field" in said or "missing required field" in said:
            wanted = _allowed(kind, path)
            said = said.replace("Object contains", "found").replace("Object missing", "missing")
            name = said.rpartition("`")[0].rpartition("`")[2]
            line = locate(text, f"{path}.{name}" if "unknown" in said else path)
            raise ConfigError(
                file, line, f"{path}.{name}"[2:], f"{said}; allowed: {', '.join(wanted)}"
            ) from None
        value = _value_at(found, path)
        shown = repr(value) if len(repr(value)) < 60 else type(value).__name__
        allowed = said.removeprefix("Expected ")
        described = _described(kind, path)
        raise ConfigError(
            file,
            locate(text, path),
            path[2:] or "settings",
            f"found {shown}; allowed: {described or allowed}",
        ) from None


def _field_type(kind: Any, path: str) -> Any:
    """The annotated type at a path, as far as structs and lists of structs go."""
    for name, index in re.findall(r"\.([A-Za-z_]\w*)|\[(\d+|\.\.\.)\]", path):
        info = msgspec.inspect.type_info(kind) if not isinstance(kind, msgspec.inspect.Type) else kind
        while isinstance(info, msgspec.inspect.Metadata):
            info = info.type
        if isinstance(info, msgspec.inspect.UnionType):
            info = next((t for t in info.types if isinstance(t, msgspec.inspect.StructType)), info)
        if index and isinstance(info, msgspec.inspect.ListType):
            kind = info.item_type
        elif name and isinstance(info, msgspec.inspect.StructType):
            kind = next((f.type for f in info.fields if f.name == name), None)
        else:
            return None
        if kind is None:
            return None
    return kind if isinstance(kind, msgspec.inspect.Type) else msgspec.inspect.type_info(kind)


def _allowed(kind: Any, path: str) -> list[str]:
    info = _field_type(kind, path)
    while isinstance(info, msgspec.inspect.Metadata):
        info = info.type
    return [f.name for f in info.fields] if isinstance(info, msgspec.inspect.StructType) else []


def _described(kind: Any, path: str) -> str:
    info = _field_type(kind, path)
    if isinstance(info, msgspec.inspect.Metadata) and info.extra_json_schema:
        return str(info.extra_json_schema.get("description", ""))
    return ""


def load_text(text: str, file: str = "settings.star") -> ServerSettings:
    """Settings from a script's text."""
    found = evaluate(text, file, ServerSettings.__struct_fields__)
    settings = convert(found, ServerSettings, text, file)
    wrong = cross_check(settings)
    if wrong is not None:
        raise ConfigError(file, locate(text, wrong[0]), wrong[0][2:], wrong[1])
    return settings


def load_settings(path: Path) -> ServerSettings:
    """Settings from a file."""
    text = read(path)
    settings = load_text(text, str(path))
    registry = settings.registry.tls if settings.registry is not None else None
    for part, tls in (("registry.tls", registry), ("trust.tls", settings.trust.tls)):
        for name in ("ca", "cert", "key", "crl") if tls is not None else ():
            file = getattr(tls, name, "")
            if file and not Path(file).is_file():
                field, found = f"{part}.{name}", f"found {file!r}, no file; allowed: a PEM file"
                raise ConfigError(str(path), locate(text, f"$.{field}"), field, found)
    return settings


def load_day(path: Path, kind: type[T]) -> T:
    """A day script from a file, as the struct given."""
    text = read(path)
    fields: tuple[str, ...] = kind.__struct_fields__  # type: ignore[attr-defined]
    return convert(evaluate(text, str(path), fields), kind, text, str(path))


def read(path: Path) -> str:
    """A script's text.  Raises ConfigError where it cannot be read."""
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(str(path), 1, "", f"cannot be read: {problem}") from None
