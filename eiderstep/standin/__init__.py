"""Test doubles of the systems around a call server.  They use only the published protocols."""
