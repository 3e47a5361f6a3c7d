"""Computes the delay before a watch that failed is reopened. Does no I/O."""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF_SECONDS = 0.5
# Without jitter. A release status must not be delayed for longer than a stage lasts.
MAX_BACKOFF_SECONDS = 4.0


class Backoff:
    """Exponential backoff: the base delay doubles after each failure, up to `MAX_BACKOFF_SECONDS`.

    Jitter adds up to 100% to each delay.
    """

    def __init__(self, random: Random) -> None:
        self.random = random
        self.base_delay_seconds = INITIAL_BACKOFF_SECONDS

    def reset(self) -> None:
        """Restart at the initial delay, after the watch has worked."""
        self.base_delay_seconds = INITIAL_BACKOFF_SECONDS

    def next_delay(self) -> float:
        """Return the next delay in seconds, and double the base delay."""
        delay = self.base_delay_seconds * (1 + self.random.random())
        self.base_delay_seconds = min(MAX_BACKOFF_SECONDS, self.base_delay_seconds * 2)
        return delay
