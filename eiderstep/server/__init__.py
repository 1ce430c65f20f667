"""The running call server: asyncio protocols, TLS and timers around the engine.  Makes no decisions."""
