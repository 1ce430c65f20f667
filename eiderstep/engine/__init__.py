"""The call engine: what happened on the wire becomes the module's events, its actions become messages."""
