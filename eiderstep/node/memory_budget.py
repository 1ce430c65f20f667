"""Limit of the memory that messages of callers may take.  No I/O, no clock.  Sizes in bytes."""

from __future__ import annotations

MEGABYTE = 1 << 20
DEFAULT_MEMORY_MB = 192  # limit of a process whose configuration names none
MESSAGE_SHARE = 1 / 8  # of the process's limit; the program itself, its calls and its buffers need the rest
MESSAGE_OVERHEAD = 500  # of the objects that hold one message


class MemoryBudget:
    """Memory taken by messages that have not been handled yet or wait for the end of their set-up.

    Hundreds of callers may each begin a message of 16 KiB, or offer set-ups with long descriptions that are
    held.  Without a limit they would push the process over its own, and the platform would kill it.
    """

    def __init__(self, memory_mb: int) -> None:
        """`memory_mb`: memory limit of the process (MB)."""
        self.limit = int(memory_mb * MEGABYTE * MESSAGE_SHARE)
        self.used = 0

    def take(self, size: int) -> bool:
        """Take memory if there is enough left; returns whether there was."""
        if self.used + size > self.limit:
            return False
        self.used += size
        return True

    def give_back(self, size: int) -> None:
        """Give memory back."""
        self.used -= size
