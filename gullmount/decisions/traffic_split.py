"""The traffic split: which build a key belongs to, and how a candidate's share of the keys grows.

The hash position of a key decides which build it belongs to. One candidate has the lower end of the hash
range, a second one the upper end, each as wide as its traffic share.

A traffic share rises toward a part of the exposure limit, as far as the candidate's warm servers can carry
the load. It falls only with the limit, so that a key that was served by the candidate stays there.
"""

from __future__ import annotations

from gullmount.decisions.affinity import Affinity
from gullmount.decisions.endpoints import EndpointTable
from gullmount.decisions.model import ReleasePhase
from gullmount.decisions.releases import Candidate, Releases
from gullmount.decisions.requests import Request

# Share of the exposure limit that is used. The rest leaves room for chance and retries.
TARGET_LIMIT_SHARE = 0.8

# Time in which a traffic share rises from 0 to its target.
RAMP_SECONDS = 3.0

# Bound on the load of a candidate's servers, as a multiple of the load of the other servers. A candidate
# whose servers have more load would appear slower than the baseline.
MAX_RELATIVE_LOAD = 1.1

# The ends of the hash range, from which the shares of two candidates grow.
HASH_ENDS = {0, 1}


class TrafficSplit:
    """The traffic shares of all candidates.

    Attributes:
        updated_at: When the shares were last updated, in seconds on the runtime's clock.
        warm_capacity: Share of the capacity of all ready servers that is not missing due to slow start.
    """

    def __init__(self, releases: Releases, endpoints: EndpointTable, affinity: Affinity, now: float) -> None:
        self.releases = releases
        self.endpoints = endpoints
        self.affinity = affinity
        self.updated_at = now
        self.warm_capacity = 1.0

    def candidate_for(self, request: Request) -> Candidate | None:
        """Return the candidate that the request belongs to, or None for the baseline.

        A key that was served by a candidate stays with it, unless the route fails there and the key may go
        back to an older build (`one_way` is off). Any other key belongs to the candidate that its hash
        position is assigned to, with three exceptions that go to the baseline: a route that fails at the
        candidate, a retry of an attempt at a candidate, and a key with an attempt in flight at an older
        build.
        """
        remembered = self._remembered_candidate(request)
        if remembered is not None:
            may_stay = self.releases.settings.one_way or request.route.name not in remembered.failing_routes
            return remembered if may_stay else None
        candidate = self._candidate_by_hash(request.hash_position)
        if candidate is None or request.route.name in candidate.failing_routes:
            return None
        if request.attempts and self.releases.unfinished_release(request.attempts[-1].build):
            return None
        return None if self.affinity.has_attempt_at_older_build(request, candidate.build) else candidate

    def update(self, now: float) -> None:
        """Raise each candidate's traffic share toward its target, and cut it to its limit.

        Called at every evaluation.
        """
        candidates = self.releases.candidates
        missing = self._missing_capacity(now)
        ready_counts = [self._ready_servers(candidate) for candidate in candidates]
        capacities = [
            count - missing_count for count, missing_count in zip(ready_counts, missing, strict=True)
        ]
        total = sum(capacities) + self._ready_servers(None)
        for candidate, capacity in zip(candidates, capacities, strict=True):
            self._raise_share(candidate, capacity / max(1, total), now)
        self.updated_at = now

    def _remembered_candidate(self, request: Request) -> Candidate | None:
        if request.key is None:
            return None
        remembered = self.releases.find(self.affinity.last_build(request))
        if remembered is self.releases.newest or (
            remembered is not None and self.releases.unfinished_release(remembered.build)
        ):
            return remembered
        return None

    def _candidate_by_hash(self, hash_position: float) -> Candidate | None:
        for candidate in self.releases.candidates:
            if self.releases.unfinished_release(candidate.build) and candidate.contains(hash_position):
                return candidate
        newest = self.releases.newest
        return newest if newest.contains(hash_position) else None

    def _ready_servers(self, candidate: Candidate | None) -> int:
        """Count the ready servers that belong to the candidate, or to the baseline for None."""
        ready_by_build = self.endpoints.ready_by_build.items()
        return sum(
            len(servers)
            for build, servers in ready_by_build
            if self.releases.unfinished_release(build) is candidate
        )

    def _missing_capacity(self, now: float) -> list[float]:
        """Return for each candidate how much capacity is missing due to slow start, in servers.

        Updates `warm_capacity`.
        """
        self.endpoints.prune_warming(now)
        weight = self.endpoints.slow_start.weight
        missing: list[float] = [
            sum(
                1 - weight(server.started_at, now)
                for server in self.endpoints.warming
                if self.releases.unfinished_release(server.build) is candidate
            )
            for candidate in self.releases.candidates
        ]
        self.warm_capacity = 1 - sum(missing) / max(1, self.endpoints.ready_count)
        return missing

    def _raise_share(self, candidate: Candidate, even_share: float, now: float) -> None:
        """Raise a candidate's traffic share toward its target, and cut it to its limit.

        Args:
            candidate: The candidate.
            even_share: The traffic share at which its servers have the same load as the others.
            now: The time in seconds on the runtime's clock.
        """
        others = [
            other
            for other in self.releases.candidates
            if other.phase is ReleasePhase.CANDIDATE and other is not candidate
        ]
        if candidate.hash_end is None:
            candidate.hash_end = min(HASH_ENDS - {other.hash_end for other in others}, default=None)
        limit = candidate.limit_factor * self._limit(candidate)
        target = TARGET_LIMIT_SHARE * limit
        if limit >= 1:
            target = max(even_share, target)
        target = min(target, MAX_RELATIVE_LOAD * even_share)
        max_increase = (now - self.updated_at) / RAMP_SECONDS * TARGET_LIMIT_SHARE * limit
        free_share = 0.0
        if candidate.hash_end is not None:
            free_share = 1.0 - sum(other.traffic_share for other in others)
        raised_share = min(target, candidate.traffic_share + max_increase, free_share)
        candidate.traffic_share = min(max(candidate.traffic_share, raised_share), limit)
        candidate.peak_traffic_share = max(candidate.peak_traffic_share, candidate.traffic_share)

    def _limit(self, candidate: Candidate) -> float:
        """Return the exposure limit; that of the first stage while no server of the candidate is ready."""
        has_ready_servers = candidate.build in self.endpoints.ready_by_build
        if has_ready_servers and self.releases.unfinished_release(candidate.build) is candidate:
            return candidate.exposure_limit
        return self.releases.settings.exposure_limits[0]
