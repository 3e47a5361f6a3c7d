"""Limits the bytes per second sent to one subscriber.

The module performs no I/O and uses neither a clock nor randomness.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

WINDOW_SECONDS = 1.0


class SentBatch(NamedTuple):
    """The time at which a batch was sent, and its size."""

    at: float
    size_bytes: int


class SendRateLimiter:
    """Limits the bytes sent in any one second. A single larger batch may be sent in an empty window."""

    def __init__(self, bytes_per_second: int) -> None:
        """Create a limiter that allows `bytes_per_second`."""
        self.bytes_per_second = bytes_per_second
        self.sent: deque[SentBatch] = deque()
        self.last_second_bytes = 0

    def available_bytes(self, now: float) -> int:
        """Return how many bytes may be sent at `now`."""
        while self.sent and self.sent[0].at + WINDOW_SECONDS <= now:
            self.last_second_bytes -= self.sent.popleft().size_bytes
        return self.bytes_per_second - self.last_second_bytes

    def earliest_send(self, size_bytes: int, now: float) -> float:
        """Return the earliest time at which a batch of `size_bytes` may be sent."""
        available, earliest = self.available_bytes(now), now
        for batch in self.sent:
            if available >= size_bytes:
                break
            available += batch.size_bytes
            earliest = batch.at + WINDOW_SECONDS
        return earliest

    def record_sent(self, size_bytes: int, now: float) -> None:
        """Record a batch of `size_bytes` that was sent at `now`."""
        self.sent.append(SentBatch(now, size_bytes))
        self.last_second_bytes += size_bytes
