"""Limits how many attempts this instance may have in flight at the servers of each build.

- The limit adapts by additive increase and multiplicative decrease (AIMD).
- A late response lowers it while more than `MAX_LATE_SHARE` of the recent responses are late.
- A response in time raises it while the limit is in use.
- It is kept per server, so that it follows the number of servers.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Collection

from gullmount.decisions.model import Outcome
from gullmount.decisions.releases import Releases

# Limit at the start, and the largest limit, in attempts per server.
INITIAL_ATTEMPTS_PER_SERVER = 4.0
# Attempts per server that a response in time adds.
ADDITIVE_INCREASE = 0.03
DECREASE_FACTOR = 0.8
MIN_ATTEMPTS_PER_SERVER = 0.15
# Least limit of all instances together, in attempts per server.
MIN_FLEET_ATTEMPTS_PER_SERVER = 1.2

# Share of late responses above which the limit is lowered.
MAX_LATE_SHARE = 0.08
# Weight of the newest response in the share of late responses.
LATE_SHARE_WEIGHT = 0.05
# A response that took longer than this many latency objectives is late.
LATE_LATENCY_OBJECTIVES = 0.7

# Least time between decreases, about the time after which a decrease shows in the responses.
DECREASE_INTERVAL_SECONDS = 0.25
# Largest number of decreases applied at once, if responses arrive less often than once in an interval.
MAX_COMBINED_DECREASES = 6.0

RECORDED_OUTCOMES = (Outcome.COMPLETED, Outcome.TIMEOUT, Outcome.OVERLOADED)


class ConcurrencyLimit:
    """The concurrency limit of one build."""

    def __init__(self, min_attempts_per_server: float) -> None:
        self.min_attempts_per_server = min_attempts_per_server
        self.attempts_per_server = INITIAL_ATTEMPTS_PER_SERVER
        self.in_flight = 0
        self.late_share = 0.0
        self.decreased_at = 0.0
        """Seconds on the runtime's clock."""
        self.recorded_at = 0.0
        """Seconds on the runtime's clock."""

    def record(self, late: bool, servers: int, now: float) -> None:
        """Adapt the limit to one response, given the number of the build's ready servers."""
        self.late_share += LATE_SHARE_WEIGHT * (late - self.late_share)
        if late:
            if self.late_share > MAX_LATE_SHARE and now - self.decreased_at >= DECREASE_INTERVAL_SECONDS:
                self._decrease(servers, now)
        elif self.in_flight + 1 >= self.attempts_per_server * servers / 2:
            self.attempts_per_server = min(
                INITIAL_ATTEMPTS_PER_SERVER, self.attempts_per_server + ADDITIVE_INCREASE
            )
        self.recorded_at = now

    def _decrease(self, servers: int, now: float) -> None:
        intervals = (now - self.recorded_at) / DECREASE_INTERVAL_SECONDS
        factor = DECREASE_FACTOR ** min(MAX_COMBINED_DECREASES, max(1.0, intervals))
        attempts_in_use_per_server = (self.in_flight + 1) / max(1, servers)
        self.attempts_per_server = max(
            self.min_attempts_per_server, min(self.attempts_per_server, attempts_in_use_per_server) * factor
        )
        self.decreased_at = now


class ConcurrencyLimits:
    """The concurrency limits of all builds."""

    def __init__(self, releases: Releases, instance_count: int) -> None:
        self.releases = releases
        min_attempts_per_server = min(MIN_ATTEMPTS_PER_SERVER, MIN_FLEET_ATTEMPTS_PER_SERVER / instance_count)
        self.by_build: dict[int, ConcurrencyLimit] = defaultdict(
            lambda: ConcurrencyLimit(min_attempts_per_server)
        )

    def has_capacity(self, build: int, servers: int) -> bool:
        """Whether one more attempt may be sent to the build's ready servers.

        A build without an attempt in flight always has capacity. The limit of a candidate is no higher than
        that of any build that serves, as only builds under equal load can be compared.
        """
        limit = self.by_build[build]
        attempts_per_server = limit.attempts_per_server
        if self.releases.unfinished_release(build):
            serving = [
                other_limit.attempts_per_server
                for other_build, other_limit in self.by_build.items()
                if not self.releases.unfinished_release(other_build)
            ]
            attempts_per_server = min([attempts_per_server, *serving])
        return limit.in_flight < max(1.0, attempts_per_server * servers)

    def attempt_started(self, build: int) -> None:
        """Count an attempt that is sent to the build now."""
        self.by_build[build].in_flight += 1

    def attempt_ended(
        self, build: int, outcome: Outcome, latency: float, objective: float, servers: int, now: float
    ) -> None:
        """Remove an attempt from those in flight and adapt the limit to its outcome.

        Args:
            build: The build that the attempt was sent to.
            outcome: How the attempt ended.
            latency: Seconds that the attempt took.
            objective: The latency objective of the route, in seconds.
            servers: Number of the build's ready servers.
            now: The present time, in seconds.
        """
        limit = self.by_build[build]
        limit.in_flight -= 1
        if outcome in RECORDED_OUTCOMES:
            late = outcome is not Outcome.COMPLETED or latency > LATE_LATENCY_OBJECTIVES * objective
            limit.record(late, servers, now)

    def prune_builds(self, active_builds: Collection[int]) -> None:
        """Drop the builds outside `active_builds` without attempts in flight."""
        for build in [build for build in self.by_build if build not in active_builds]:
            if not self.by_build[build].in_flight:
                del self.by_build[build]
