"""The wait before a watch that broke is opened again. No I/O."""

from __future__ import annotations

from random import Random

INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 4.0  # a release status must not be late for longer than a stage lasts


class Backoff:
    """Doubles from failure to failure, each wait with up to as much jitter again."""

    def __init__(self, random: Random) -> None:
        self.random = random
        self.base_delay_seconds = INITIAL_BACKOFF_SECONDS

    def reset(self) -> None:
        """The watch worked: begin anew."""
        self.base_delay_seconds = INITIAL_BACKOFF_SECONDS

    def next_delay(self) -> float:
        """Return the seconds to wait now."""
        delay = self.base_delay_seconds * (1 + self.random.random())
        self.base_delay_seconds = min(MAX_BACKOFF_SECONDS, self.base_delay_seconds * 2)
        return delay
