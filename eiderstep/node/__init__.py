"""The call server on the users' platform: call table, links to offices, callers, change log and process.

`calls` (the call table) and `caller_limits` (limits on callers' connections) perform no I/O; the other
modules do.
"""
