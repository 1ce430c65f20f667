"""eiderstep: which calls a signalling controller sets up, and over which route."""

from eiderstep.decide import Controller
from eiderstep.interface import Settings

__all__ = ["Controller", "Settings"]
