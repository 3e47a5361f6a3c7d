"""An exponentially weighted moving average (EWMA) that decays to a prior between updates."""

from __future__ import annotations

from math import inf


class LatencyEstimate:
    """The average latency of attempts, in latency objectives."""

    __slots__ = ("average", "updated_at")

    def __init__(self) -> None:
        self.average = 0.0
        self.updated_at = -inf
        """Seconds on the runtime's clock."""

    def expected(self, prior: float, half_life: float, now: float) -> float:
        """Return the estimate; its distance from `prior` halves every `half_life` seconds after an update."""
        fade: float = 0.5 ** ((now - self.updated_at) / half_life)
        return prior + (self.average - prior) * fade

    def update(self, latency: float, weight: float, prior: float, half_life: float, now: float) -> None:
        """Add one latency to the average with a weight from 0 to 1."""
        self.average = self.expected(prior, half_life, now)
        self.average += weight * (latency - self.average)
        self.updated_at = now
