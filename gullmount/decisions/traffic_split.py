"""The traffic split: which build a key belongs to, and how a candidate's share of the keys grows.

A key's hash position decides: below the share of the first candidate, or above that of a second one, the
key belongs to it. The share rises toward a part of the exposure limit as far as the candidate's warm
servers carry it, and falls only with the limit, so that a key that met the candidate stays there.
"""

from __future__ import annotations

from gullmount.decisions.affinity import Affinity
from gullmount.decisions.endpoints import EndpointTable
from gullmount.decisions.model import ReleasePhase
from gullmount.decisions.releases import Candidate, Releases
from gullmount.decisions.requests import Request

LIMIT_USE = 0.8  # of the exposure limit; the rest is room for chance and retries
RAMP_SECONDS = 3.0  # in which a share rises to what it may be
MAX_RELATIVE_LOAD = 1.1  # times the load of the baseline's servers: what is loaded more reads as slower

HASH_ENDS = {0, 1}


class TrafficSplit:
    """The shares of all candidates."""

    def __init__(self, releases: Releases, endpoints: EndpointTable, affinity: Affinity, now: float) -> None:
        self.releases = releases
        self.endpoints = endpoints
        self.affinity = affinity
        self.updated_at = now
        """Seconds on the runtime's clock."""
        self.warm_capacity = 1.0
        """Share of the capacity of all ready servers that is not missing to slow start."""

    def candidate_for(self, request: Request) -> Candidate | None:
        """Return the candidate that the request's key belongs to, None for the baseline.

        A key that met a build stays with it. A retry, a route that fails and a key with attempts in flight
        at an older build go to the baseline.
        """
        met = self._candidate_met(request)
        if met is not None:
            stays = self.releases.settings.one_way or request.route.name not in met.failing_routes
            return met if stays else None
        candidate = self._candidate_at(request.hash_position)
        if candidate is None or request.route.name in candidate.failing_routes:
            return None
        if request.attempts and self.releases.unfinished_release(request.attempts[-1].build):
            return None
        return None if self.affinity.has_attempt_at_older_build(request, candidate.build) else candidate

    def update(self, now: float) -> None:
        """Move each candidate's share toward what it may be; called at every evaluation."""
        candidates = self.releases.candidates
        missing = self._missing_capacity(now)
        ready = [self._ready_servers(candidate) for candidate in candidates]
        capacities = [count - lacks for count, lacks in zip(ready, missing, strict=True)]
        total = sum(capacities) + self._ready_servers(None)
        for candidate, capacity in zip(candidates, capacities, strict=True):
            self._grow(candidate, capacity / max(1, total), now)
        self.updated_at = now

    def _candidate_met(self, request: Request) -> Candidate | None:
        if request.key is None:
            return None
        met = self.releases.find(self.affinity.last_build(request))
        if met is self.releases.newest or (met is not None and self.releases.unfinished_release(met.build)):
            return met
        return None

    def _candidate_at(self, hash_position: float) -> Candidate | None:
        for candidate in self.releases.candidates:
            if self.releases.unfinished_release(candidate.build) and candidate.contains(hash_position):
                return candidate
        newest = self.releases.newest
        return newest if newest.contains(hash_position) else None

    def _ready_servers(self, candidate: Candidate | None) -> int:
        """Count the ready servers that belong to the candidate; to none, so those that serve."""
        ready_by_build = self.endpoints.ready_by_build.items()
        return sum(
            len(servers)
            for build, servers in ready_by_build
            if self.releases.unfinished_release(build) is candidate
        )

    def _missing_capacity(self, now: float) -> list[float]:
        """Return how many servers' capacity is missing to slow start, by candidate."""
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

    def _grow(self, candidate: Candidate, even_share: float, now: float) -> None:
        """Raise a candidate's share; `even_share` loads its servers as much as the others."""
        others = [
            other
            for other in self.releases.candidates
            if other.phase is ReleasePhase.CANDIDATE and other is not candidate
        ]
        if candidate.hash_end is None:
            candidate.hash_end = min(HASH_ENDS - {other.hash_end for other in others}, default=None)
        limit = candidate.limit_factor * self._limit(candidate)
        target = LIMIT_USE * limit
        if limit >= 1:
            target = max(even_share, target)
        target = min(target, MAX_RELATIVE_LOAD * even_share)
        step = (now - self.updated_at) / RAMP_SECONDS * LIMIT_USE * limit
        free = 0.0
        if candidate.hash_end is not None:
            free = 1.0 - sum(other.traffic_share for other in others)
        grown = min(target, candidate.traffic_share + step, free)
        candidate.traffic_share = min(max(candidate.traffic_share, grown), limit)
        candidate.widest_share = max(candidate.widest_share, candidate.traffic_share)

    def _limit(self, candidate: Candidate) -> float:
        """Return the candidate's exposure limit; the first stage's as long as no server of it is ready."""
        listed = candidate.build in self.endpoints.ready_by_build
        if listed and self.releases.unfinished_release(candidate.build) is candidate:
            return candidate.exposure_limit
        return self.releases.settings.exposure_limits[0]
