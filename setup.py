"""Builds the package; with EIDERSTEP_COMPILE=1 the parser and the engine are compiled by mypyc.

The decisions stay plain Python: they are read at night, and what is read is what runs.
"""

import os

from setuptools import setup

COMPILED = {
    "sip": ("message", "parser", "fields", "dialog", "transaction"),
    "engine": ("timers", "circuits", "calls", "effects", "offers", "mapping", "legs", "requests", "core"),
}


def extensions() -> list:
    if not os.environ.get("EIDERSTEP_COMPILE"):
        return []
    from mypyc.build import mypycify

    return mypycify([f"eiderstep/{room}/{name}.py" for room, names in COMPILED.items() for name in names])


setup(ext_modules=extensions())
