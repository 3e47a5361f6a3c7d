"""Limits the attempts that a warming server gets from this instance (slow start).

Inputs are the start time of the server, the settings' cold capacity, warm-up time and overload multiple, and
the rate at which attempts of this instance complete.
"""

from __future__ import annotations

from collections import deque

from gullmount.decisions.model import InstanceSettings
from gullmount.decisions.sliding_window import drop_before

# Window over which the rate of completed attempts is measured.
MAX_RATE_WINDOW_SECONDS = 5.0
# Shortest window, used soon after the start of the instance.
MIN_RATE_WINDOW_SECONDS = 1.0


class SlowStartCredit:
    """Attempts that a warming server may get now, at most one."""

    __slots__ = ("attempts", "updated_at")

    def __init__(self, attempts: float, now: float) -> None:
        self.attempts = attempts
        self.updated_at = now
        """Seconds on the runtime's clock."""


class SlowStart:
    """Slow start of all servers, as one instance applies it."""

    def __init__(self, settings: InstanceSettings, now: float) -> None:
        self.cold_capacity = settings.cold_capacity
        self.warm_up_time = settings.warm_up_time
        self.overload_multiple = settings.overload_multiple
        self.created_at = now
        self.completed_at: deque[float] = deque()
        """Times of completed attempts within the rate window, in seconds on the runtime's clock."""

    def weight(self, started_at: float, now: float) -> float:
        """Return the least share of its capacity, up to 1, that a server started at `started_at` can have."""
        age = now - started_at
        if age >= self.warm_up_time:
            return 1.0
        cold = self.cold_capacity
        return min(1.0, cold + (1 - cold) * max(0.0, age) / self.warm_up_time)

    def record_completion(self, now: float) -> None:
        """Count an attempt that completed at any server."""
        self.completed_at.append(now)
        drop_before(self.completed_at, now - MAX_RATE_WINDOW_SECONDS)

    def allows(self, credit: SlowStartCredit, started_at: float, ready_servers: int, now: float) -> bool:
        """Whether the server may get an attempt: it is warm, or its credit has grown to one attempt.

        Credit grows at this instance's rate of completed attempts per ready server, times the server's weight
        and half the overload multiple. As every instance uses its own rate, the sum over all instances stays
        below the multiple. Completed attempts are counted, not requests, as clients repeat requests in an
        overload.
        """
        weight = self.weight(started_at, now)
        if weight >= 1:
            return True
        window = max(MIN_RATE_WINDOW_SECONDS, min(MAX_RATE_WINDOW_SECONDS, now - self.created_at))
        rate = len(self.completed_at) / window
        rate_per_server = rate / ready_servers
        earned_attempts = (now - credit.updated_at) * rate_per_server * weight * self.overload_multiple / 2
        credit.attempts = min(1.0, credit.attempts + earned_attempts)
        credit.updated_at = now
        return credit.attempts >= 1
