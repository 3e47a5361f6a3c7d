"""How fast an emulated server works: its speed, its warm-up, and when a cold server is overloaded."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

# Full work by which a cold server may be over its budget before it falls: what chance alone brings.
OVERLOAD_SLACK_SECONDS = 0.5
WARM_STARTED_AT = -1e6  # seconds on the record's clock; a server that was warm before the scenario


@dataclass(frozen=True)
class ServerSettings:
    """What all servers of a scenario have in common; times are in seconds.

    Attributes:
        cores: attempts that run at once.
        unhindered_requests: in flight at once before they slow each other down.
        queue_limit: attempts that wait for a core; more are rejected.
        cold_capacity: part of its capacity that a server has when it starts, from 0 to 1.
        warm_up_time: until it has all of it.
        overload_multiple: times its capacity from which on a cold server collapses.
        overload_window: over which that is taken.
        error_rate: share of attempts that fail at any build.
        cancellation: a `CancellationMode`.
        max_connections: more are closed.
        handshake_time: until a connection stands.
        thrashing_factor: slowdown for as many requests in flight above `unhindered_requests`.
    """

    cores: int
    unhindered_requests: int
    queue_limit: int
    cold_capacity: float
    warm_up_time: float
    overload_multiple: float
    overload_window: float
    error_rate: float
    cancellation: str
    max_connections: int
    handshake_time: float
    thrashing_factor: float


class ServerCapacity:
    """The capacity of one server's process.

    Attributes:
        speed: work that a warm core does in a second.
        started_at: seconds on the record's clock.
    """

    def __init__(self, settings: ServerSettings, speed: float, started_at: float) -> None:
        self.settings = settings
        self.speed = speed
        self.started_at = started_at
        self._received: deque[tuple[float, float]] = deque()  # when and how much work, while cold

    def warm_weight(self, now: float) -> float:
        """Return the part of its capacity that the server has, up to 1."""
        cold = self.settings.cold_capacity
        warmed = min(1.0, (now - self.started_at) / self.settings.warm_up_time)
        return cold + (1 - cold) * warmed

    def core_rate(self, now: float, in_flight: int, stolen_cpu_share: float, slowdown: float) -> float:
        """Return the work that a core does in a second."""
        settings = self.settings
        above = max(0, in_flight - settings.unhindered_requests)
        thrashing = 1 + settings.thrashing_factor * above / settings.unhindered_requests
        return self.speed * self.warm_weight(now) * (1 - stolen_cpu_share) / slowdown / thrashing

    def is_overloaded_by(self, work: float, now: float) -> bool:
        """Add an attempt's work; return whether a cold server has then been sent more than it bears."""
        settings = self.settings
        if self.started_at < 0 or now - self.started_at > settings.warm_up_time:
            return False
        self._received.append((now, work))
        while self._received[0][0] < now - settings.overload_window:
            self._received.popleft()
        capacity = settings.cores * self.speed * self.warm_weight(now)
        budget = settings.overload_multiple * capacity * settings.overload_window
        budget += OVERLOAD_SLACK_SECONDS * settings.cores
        return sum(work for _, work in self._received) > budget
