"""Eureka client: reads the list of exchanges from a registry, merges what several registries say, and keeps
this call server's own registration.

The codec (`model`, `decode`), the table of one registry (`table`) and the decisions (`view`, `poll_schedule`,
`lease`, `source_selection`) do no I/O; `http`, `client` and `registrant` are the asyncio side.  See
docs/design/registry.md.
"""
