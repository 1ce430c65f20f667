"""Dimensioning of trunk groups: measures them, judges whether they are too small, and advises sizes.

The verdict tells a group that is too small from one that lost calls by chance.  Formulas (`erlang`, `mixed`,
`overflow`, `network`), estimation and verdict (`estimate`) and advice (`recommend`) do no I/O.  The call
server measures with `meter` and keeps the measurements in `store`.  Loads are in erlangs of calls unless said
otherwise; blocking is a share of first tries.  See docs/design/sizing.md.
"""
