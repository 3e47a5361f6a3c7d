"""Estimates the latency of servers, of zones and of all attempts of this instance (EWMA).

Latencies are in latency objectives of the attempt's route, so that routes can be mixed. Without new outcomes
an estimate decays to a prior, so that a server that was slow is used again.
"""

from __future__ import annotations

from collections import defaultdict

from gullmount.decisions.endpoints import Server
from gullmount.decisions.latency_estimate import LatencyEstimate
from gullmount.decisions.model import FAILURE_OUTCOMES, NO_RESPONSE_OUTCOMES, Outcome

# Expected latency before the first outcome.
INITIAL_LATENCY_OBJECTIVES = 0.15
# Weight of the newest outcome in the estimate over all attempts.
INSTANCE_WEIGHT = 0.05
# Weight of the newest outcome in the estimate of a server or zone.
SERVER_WEIGHT = 0.2
INSTANCE_HALF_LIFE_SECONDS = 10.0
ZONE_HALF_LIFE_SECONDS = 10.0
SERVER_HALF_LIFE_SECONDS = 3.0
# Prior of a server as a share of its zone's estimate. It is below 1 so that unknown servers are used.
UNKNOWN_SERVER_FACTOR = 0.7


class LatencyEstimates:
    """The latency estimates of the instance and of the zones; those of servers are kept at each server."""

    def __init__(self) -> None:
        self.instance = LatencyEstimate()
        self.by_zone: dict[str, LatencyEstimate] = defaultdict(LatencyEstimate)

    def expected(self, now: float) -> float:
        """Return the expected latency of an attempt at any server, in latency objectives."""
        return self.instance.expected(INITIAL_LATENCY_OBJECTIVES, INSTANCE_HALF_LIFE_SECONDS, now)

    def expected_by_zone(self, now: float) -> dict[str, float]:
        """Return the expected latency of each zone with attempts so far, in latency objectives."""
        overall = self.expected(now)
        return {
            zone: estimate.expected(overall, ZONE_HALF_LIFE_SECONDS, now)
            for zone, estimate in self.by_zone.items()
        }

    def expected_in_zone(self, zone: str, now: float) -> float:
        """Return the expected latency of an attempt in the zone, in latency objectives."""
        return self.by_zone[zone].expected(self.expected(now), ZONE_HALF_LIFE_SECONDS, now)

    def record(self, server: Server, outcome: Outcome, latency: float, now: float) -> None:
        """Update the estimates with an attempt that ended after `latency` latency objectives.

        A failure counts as one objective at least, so that a server that fails fast does not seem idle.
        """
        if outcome in FAILURE_OUTCOMES:
            latency = max(1.0, latency)
        if outcome in NO_RESPONSE_OUTCOMES or outcome is Outcome.COMPLETED:
            self.instance.update(
                latency, INSTANCE_WEIGHT, INITIAL_LATENCY_OBJECTIVES, INSTANCE_HALF_LIFE_SECONDS, now
            )
            zone = self.by_zone[server.zone]
            zone.update(latency, SERVER_WEIGHT, self.expected(now), ZONE_HALF_LIFE_SECONDS, now)
        if outcome in (Outcome.COMPLETED, Outcome.TIMEOUT, Outcome.ERROR):
            unknown = UNKNOWN_SERVER_FACTOR * self.expected_in_zone(server.zone, now)
            server.latency.update(latency, SERVER_WEIGHT, unknown, SERVER_HALF_LIFE_SECONDS, now)
