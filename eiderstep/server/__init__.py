"""The running call server: asyncio protocol classes around the engine.  No decision is made here."""
