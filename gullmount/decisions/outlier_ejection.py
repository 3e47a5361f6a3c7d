"""Takes failing servers out of rotation and decides when they come back (outlier ejection).

- A server is ejected after `CONSECUTIVE_FAILURES_TO_EJECT` failures in a row. Overloaded, expired and
  cancelled attempts neither count as failures nor interrupt the row.
- Each ejection lasts twice as long as the one before, until the server completes a request.
- When the ejection ends, the server gets one attempt at a time until one completes; a single failure ejects
  it again.
- If all servers are ejected, load balancing uses the best of them.
"""

from __future__ import annotations

from collections.abc import Callable

from gullmount.decisions.model import FAILURE_OUTCOMES, Outcome

CONSECUTIVE_FAILURES_TO_EJECT = 2
INITIAL_EJECTION_SECONDS = 1.0
MAX_EJECTION_SECONDS = 8.0
# Bounds of the random factor of each ejection, so that instances do not use the server again in step.
EJECTION_JITTER_FACTORS = (0.75, 1.25)


class EjectionState:
    """The state of outlier ejection for one server."""

    __slots__ = ("consecutive_failures", "ejected_until", "ejection_seconds")

    def __init__(self) -> None:
        self.consecutive_failures = 0
        self.ejected_until = 0.0
        """Seconds on the runtime's clock."""
        self.ejection_seconds = 0.0
        """Length of the last ejection; 0 if a request has completed since."""

    def record(self, outcome: Outcome, now: float, draw: Callable[[], float]) -> None:
        """Update the state with the outcome of an attempt; `draw` returns a random number from 0 to 1."""
        if outcome in FAILURE_OUTCOMES:
            self.consecutive_failures += 1
            if self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT and self.ejected_until <= now:
                self._eject(now, draw)
        elif outcome is Outcome.COMPLETED:
            self.consecutive_failures = 0
            self.ejected_until = 0.0
            self.ejection_seconds = 0.0

    def is_ejected(self, attempts_in_flight: int, now: float) -> bool:
        """Whether the server should get no attempt now, with so many attempts in flight there."""
        if self.ejected_until > now:
            return True
        return self.consecutive_failures >= CONSECUTIVE_FAILURES_TO_EJECT and attempts_in_flight > 0

    def _eject(self, now: float, draw: Callable[[], float]) -> None:
        next_ejection_seconds = max(INITIAL_EJECTION_SECONDS, self.ejection_seconds * 2)
        self.ejection_seconds = min(MAX_EJECTION_SECONDS, next_ejection_seconds)
        min_factor, max_factor = EJECTION_JITTER_FACTORS
        self.ejected_until = now + self.ejection_seconds * (min_factor + (max_factor - min_factor) * draw())
