"""eiderstep: admission and routing of calls between exchanges that are joined by trunk groups."""

from eiderstep.decide import Controller
from eiderstep.interface import Settings

__all__ = ["Controller", "Settings"]
