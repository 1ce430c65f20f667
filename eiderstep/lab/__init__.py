"""The lab: test days with the real call server on a virtual or real clock, and measurements of them."""
