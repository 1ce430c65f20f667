"""The call server on the users' platform: its calls, links, callers, change log and process.

`calls` is the call table and `bounds` what callers may cost, both without I/O; the rest moves bytes.
"""
