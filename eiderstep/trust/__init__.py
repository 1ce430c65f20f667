"""Who is at the other end and what each may say; decides without I/O (docs/design/trust.md)."""
