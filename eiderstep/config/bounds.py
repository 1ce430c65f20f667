"""Running a settings script within bounds of work and memory; what is wrong becomes one line.

A script has no file and no network, but it has loops: one line of it can ask for a billion numbers.
"""

from __future__ import annotations

import faulthandler
import os
import re
import resource
import signal

import starlark

STEPS = 20_000  # of about 1000 instructions each: some seconds
DEPTH = 200
MEMORY = 256 << 20  # bytes beyond what the process has
CPU = 5  # seconds, for what runs without instructions: built-ins over long ranges
RISKY = re.compile(r"\bfor\b|\brange\b|[*%+]|\.join\b|\.format\b")
GOOD, TOO_MUCH = 0, 3


class ConfigError(ValueError):
    """A script that cannot be served."""

    def __init__(self, file: str, line: int, field: str, text: str) -> None:
        self.file, self.line, self.field, self.text = file, line, field, text
        super().__init__(f"{file}:{line}: {field}: {text}" if field else f"{file}:{line}: {text}")


class _TooLong(Exception):
    """More steps than a script may take."""


def run_bounded(module: starlark.Module, text: str, file: str) -> None:
    """Evaluate the script into the module.  Raises ConfigError.

    Danger: a script that runs away, by a slip of one nought, takes the memory of the whole host, and its
    interpreter ends such a process with a traceback of its own language.  So one that has loops or products
    is first run in a child that may take `MEMORY` and `CPU`; a child that dies is an error like any other.
    Hurts by some milliseconds at a start or a SIGHUP, and on systems without fork: there steps alone count.
    """
    if RISKY.search(text) and hasattr(os, "fork"):
        _try_in_child(module, text, file)
    try:
        _run(module, text, file)
    except starlark.StarlarkError as problem:
        raise ConfigError(file, _line_of(str(problem), file), "", _first_words(str(problem))) from None
    except _TooLong:
        raise ConfigError(
            file, 1, "", f"found a script that does not end; allowed: {STEPS * 1000} steps"
        ) from None


def _run(module: starlark.Module, text: str, file: str) -> None:
    left = STEPS

    def spent() -> bool:
        nonlocal left
        left -= 1
        if left < 0:
            raise _TooLong
        return False

    options = starlark.EvalOptions(check_cancelled=spent, max_callstack_size=DEPTH)
    starlark.eval_with(options, module, starlark.parse(file, text), starlark.Globals.standard())


def _try_in_child(module: starlark.Module, text: str, file: str) -> None:
    child = os.fork()
    if child == 0:
        _as_child(module, text, file)
    _, status = os.waitpid(child, 0)
    if os.WIFSIGNALED(status) or os.WEXITSTATUS(status) == TOO_MUCH:
        said = f"found a script that takes too much; allowed: {MEMORY >> 20} MB and {CPU} s"
        raise ConfigError(file, 1, "", said)


def _as_child(module: starlark.Module, text: str, file: str) -> None:
    """Only whether it stays within bounds counts here: what else is wrong the parent finds itself."""
    code = GOOD
    try:
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_DFL)
        quiet = os.open(os.devnull, os.O_WRONLY)
        os.dup2(quiet, 1)
        os.dup2(quiet, 2)
        faulthandler.disable()
        resource.setrlimit(resource.RLIMIT_CORE, (0, 0))
        resource.setrlimit(resource.RLIMIT_CPU, (CPU, CPU))
        if os.path.exists("/proc/self/statm"):
            with open("/proc/self/statm") as sizes:
                have = int(sizes.read().split()[0]) * resource.getpagesize()
            resource.setrlimit(resource.RLIMIT_AS, (have + MEMORY, have + MEMORY))
        _run(module, text, file)
    except MemoryError:
        code = TOO_MUCH
    except BaseException as problem:  # a panic of the interpreter is no Exception
        code = TOO_MUCH if "Panic" in type(problem).__name__ else GOOD
    finally:
        os._exit(code)


def _line_of(problem: str, file: str) -> int:
    places = re.findall(re.escape(file) + r":(\d+)", problem)
    return int(places[-1]) if places else 1


def _first_words(problem: str) -> str:
    lines = [x.strip() for x in problem.splitlines() if x.strip().startswith("error: ")]
    return lines[0].removeprefix("error: ") if lines else problem.strip().splitlines()[-1]
