"""Builds the package; with EIDERSTEP_COMPILE=1 the parser and the engine are compiled by mypyc.

The decision module is not compiled: operators on night duty read its source, which must be the code that
runs.
"""

import os

from setuptools import setup

COMPILED = {
    "sip": ("message", "parser", "fields", "dialog", "transaction"),
    "engine": ("timers", "circuits", "calls", "effects", "invites", "mapping", "legs", "requests", "core"),
}


def extensions() -> list:
    if not os.environ.get("EIDERSTEP_COMPILE"):
        return []
    from mypyc.build import mypycify

    return mypycify(
        [f"eiderstep/{package}/{name}.py" for package, names in COMPILED.items() for name in names]
    )


setup(ext_modules=extensions())
