"""Experiments: run grids of rehearsals, store, compare and report their results, hunt for the worst draws."""
