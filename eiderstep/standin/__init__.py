"""Scripted stand-ins for what stands around a call server.  They speak only the published protocols."""
