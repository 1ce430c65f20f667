"""Rehearsals: the virtual clock, day scripts, runs, measurements."""
