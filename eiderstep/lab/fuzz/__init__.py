"""Fuzzing: what comes from outside, in all the ways that it should not."""
