"""The list of exchanges from a Eureka registry: its API read, what is said weighed, ourselves registered.

Codec (`model`, `decode`), one registry's table (`table`), decisions without I/O (`view`, `pace`, `lease`,
`choice`), and the asyncio side (`http`, `client`, `registrant`).  See docs/design/registry.md.
"""
