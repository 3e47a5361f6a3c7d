"""How many bytes a second are sent to one subscriber. No I/O, clock or randomness."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

WINDOW_SECONDS = 1.0


class SentBatch(NamedTuple):
    """When a batch was sent, and its size."""

    at: float
    size_bytes: int


class SendRateLimiter:
    """Allows so many bytes in each second, or one topic that is larger."""

    def __init__(self, bytes_per_second: int) -> None:
        """Allow `bytes_per_second`."""
        self.bytes_per_second = bytes_per_second
        self.sent: deque[SentBatch] = deque()
        self.last_second_bytes = 0

    def available_bytes(self, now: float) -> int:
        """Bytes that may be sent now."""
        while self.sent and self.sent[0].at + WINDOW_SECONDS <= now:
            self.last_second_bytes -= self.sent.popleft().size_bytes
        return self.bytes_per_second - self.last_second_bytes

    def earliest_send(self, size_bytes: int, now: float) -> float:
        """When so many bytes may be sent."""
        available, earliest = self.available_bytes(now), now
        for batch in self.sent:
            if available >= size_bytes:
                break
            available += batch.size_bytes
            earliest = batch.at + WINDOW_SECONDS
        return earliest

    def record_sent(self, size_bytes: int, now: float) -> None:
        """Count a batch that was sent."""
        self.sent.append(SentBatch(now, size_bytes))
        self.last_second_bytes += size_bytes
