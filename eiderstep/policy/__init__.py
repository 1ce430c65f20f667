"""Parts of the routing decisions (eiderstep/decide.py).  They use the standard library only."""
