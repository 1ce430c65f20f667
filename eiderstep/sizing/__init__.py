"""Is a trunk group too small or was it unlucky, and how many circuits does it need?

Formulas (`erlang`, `mixed`, `overflow`, `network`), estimation and verdict (`estimate`), and advice
(`recommend`), all without I/O.  Measurement inside the call server (`meter`) and its store
(`store`).  Loads are in erlangs of calls unless said otherwise, blocking is a share of first tries.  See
docs/design/sizing.md.
"""
