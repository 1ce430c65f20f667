"""Authentication, authorisation and limits of remote peers, without I/O (docs/design/trust.md)."""
