"""Fuzzing of the components that process input from outside."""
