"""Limits what requests and responses in progress may hold in memory, in sum over all connections. No I/O.

Each connection and each message has limits of its own. Hundreds of them at their limits would still exceed
the memory of a small instance. So whoever holds more than a little reports how much, and when the sum exceeds
the budget, the largest holders have to give their memory back: first client connections with an unfinished
request or with responses that their client does not read, then servers' responses that are being read.
Requests that were accepted count, and keep their memory until they have ended.
"""

from __future__ import annotations

from typing import Protocol

# What a holder may hold without being counted. Usual requests are smaller.
UNCOUNTED_BYTES = 2048
# Share of the budget that is used after memory was given back, so that it is not asked for at once again.
RECLAIM_TARGET_SHARE = 0.9
# For a runtime that was given no budget.
DEFAULT_BUDGET_BYTES = 64 << 20


class MemoryHolder(Protocol):
    """Something that holds memory for a stranger and can give it back.

    Attributes:
        reclaimed_first: whether it gives its memory back before holders without this mark.
    """

    reclaimed_first: bool

    @property
    def held_bytes(self) -> int:
        """Bytes of memory that it holds now."""

    def reclaim_memory(self) -> None:
        """Give the memory back by ending the request or the attempt that it is held for."""


class MemoryBudget:
    """The sum of what strangers make one instance hold.

    Attributes:
        limit_bytes: the budget.
        reserved_bytes: memory of requests that were accepted, which can't be given back early.
        held: counted bytes of each holder.
        used_bytes: sum of `held` and `reserved_bytes`.
        reclaim_count: number of times that a holder had to give its memory back.
    """

    def __init__(self, limit_bytes: int = DEFAULT_BUDGET_BYTES) -> None:
        self.limit_bytes = limit_bytes
        self.reserved_bytes = 0
        self.held: dict[MemoryHolder, int] = {}
        self.used_bytes = 0
        self.reclaim_count = 0
        self._reclaiming = False

    def update(self, holder: MemoryHolder) -> None:
        """Count what the holder holds now; if the sum exceeds the budget, the largest holders give way."""
        held_bytes = holder.held_bytes
        if held_bytes <= UNCOUNTED_BYTES and holder not in self.held:
            return
        self._count(holder, held_bytes)
        if self.used_bytes > self.limit_bytes and not self._reclaiming:
            self._reclaim()

    def remove(self, holder: MemoryHolder) -> None:
        """Stop counting a holder that has ended."""
        self.used_bytes -= self.held.pop(holder, 0)

    def reserve(self, byte_count: int) -> None:
        """Count the memory of a request that was accepted."""
        self.reserved_bytes += byte_count
        self.used_bytes += byte_count
        if self.used_bytes > self.limit_bytes and not self._reclaiming:
            self._reclaim()

    def release(self, byte_count: int) -> None:
        """Stop counting the memory of a request that has ended."""
        self.reserved_bytes -= byte_count
        self.used_bytes -= byte_count

    def has_room(self, byte_count: int) -> bool:
        """Return whether a request of this size may be accepted; small ones always are."""
        return byte_count <= UNCOUNTED_BYTES or self.reserved_bytes + byte_count <= self.limit_bytes

    def _count(self, holder: MemoryHolder, held_bytes: int) -> None:
        self.used_bytes -= self.held.pop(holder, 0)
        if held_bytes > UNCOUNTED_BYTES:
            self.held[holder] = held_bytes
            self.used_bytes += held_bytes

    def _reclaim(self) -> None:
        """Let the largest holders give their memory back until the sum is within the budget again."""
        self._reclaiming = True
        try:
            for holder in list(self.held):
                self._count(holder, holder.held_bytes)
            target = RECLAIM_TARGET_SHARE * self.limit_bytes
            if self.used_bytes <= self.limit_bytes:
                return
            for holder in sorted(self.held, key=self._reclaim_order):
                if self.used_bytes <= target:
                    break
                self.remove(holder)
                self.reclaim_count += 1
                holder.reclaim_memory()
        finally:
            self._reclaiming = False

    def _reclaim_order(self, holder: MemoryHolder) -> tuple[bool, int]:
        return not holder.reclaimed_first, -self.held[holder]
