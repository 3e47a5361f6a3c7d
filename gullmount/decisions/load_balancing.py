"""Chooses the server for an attempt among the allowed servers (load balancing).

- Among the servers of the build that the key belongs to, the one with the shortest expected wait is chosen.
- In a small fleet of instances, each ranks all servers.
- In a large fleet, each draws a few servers at random and ranks these, as its own attempts tell little about
  the load of the servers.
- If none of the drawn servers is eligible, all servers that may take the request are ranked, or a bounded
  sample of them: the cost of a request must not grow with the number of servers.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from math import ceil

from gullmount.decisions.concurrency_limit import ConcurrencyLimits
from gullmount.decisions.connection_failures import ConnectionFailures
from gullmount.decisions.endpoints import EndpointTable, Server
from gullmount.decisions.latency import (
    SERVER_HALF_LIFE_SECONDS,
    UNKNOWN_SERVER_FACTOR,
    LatencyEstimates,
)
from gullmount.decisions.model import InstanceSettings
from gullmount.decisions.releases import Candidate, Releases
from gullmount.decisions.requests import Request
from gullmount.decisions.slow_start import SlowStart

MIN_DRAWN_SERVERS = 3
MAX_DRAWN_SERVERS = 64
# Number of instances up to which each instance ranks all servers.
MAX_INSTANCES_RANKING_ALL = 8.0
# Largest number of servers that are ranked if no drawn server is eligible.
MAX_SAMPLED_SERVERS = 256

# Factor of the expected wait of a server in another zone.
CROSS_ZONE_FACTOR = 1.3
# Largest random addition to a wait, as a share of it; instances with equal estimates then pick differently.
WAIT_JITTER = 0.1
# Servers of a zone are not drawn if its latency exceeds this multiple of the fastest zone's.
SLOW_ZONE_RATIO = 2.0


class AllowedBuilds(dict[int, bool]):
    """Whether a request may go to a build; evaluated once for each build during one pick."""

    def __init__(self, is_allowed: Callable[[int], bool]) -> None:
        super().__init__()
        self.is_allowed = is_allowed

    def __missing__(self, build: int) -> bool:
        self[build] = allowed = self.is_allowed(build)
        return allowed


EligibilityCheck = Callable[[Request, Server, float, AllowedBuilds], bool]
"""Returns whether a request may go to a server now."""


@dataclass(slots=True)
class PickContext:
    """Inputs of one pick: the request, the candidate of its key, and state that is fixed during the pick."""

    request: Request
    candidate: Candidate | None
    now: float
    is_eligible: EligibilityCheck
    builds_with_capacity: set[int]
    unfinished_releases: dict[int, Candidate | None]
    """The unfinished release of each build with ready servers; None for a build that serves."""
    zone_latencies: dict[str, float]
    """Expected latency of each zone, in latency objectives."""
    attempted_server_ids: set[str]
    """Ids of servers that have had an attempt of the request."""
    allowed_builds: AllowedBuilds

    def eligible(self, servers: Iterable[Server]) -> Iterator[Server]:
        """Yield the servers to which the request may go."""
        is_eligible, request, now, allowed_builds = (
            self.is_eligible,
            self.request,
            self.now,
            self.allowed_builds,
        )
        return (server for server in servers if is_eligible(request, server, now, allowed_builds))

    def is_usable(self, server: Server) -> bool:
        """Whether the server is not ejected and has had no attempt of the request."""
        ejected = server.ejection.is_ejected(server.attempts_in_flight, self.now)
        return not ejected and server.id not in self.attempted_server_ids


class LoadBalancer:
    """Picks servers for the attempts of one instance."""

    def __init__(
        self,
        settings: InstanceSettings,
        releases: Releases,
        endpoints: EndpointTable,
        latencies: LatencyEstimates,
        slow_start: SlowStart,
        limits: ConcurrencyLimits,
        connections: ConnectionFailures,
        draw: Callable[[], float],
    ) -> None:
        self.zone = settings.zone
        self.instance_count = settings.instance_count
        self.releases = releases
        self.endpoints = endpoints
        self.latencies = latencies
        self.slow_start = slow_start
        self.limits = limits
        self.connections = connections
        self.draw = draw
        """Returns a random number from 0 to 1."""

    def pick(
        self,
        request: Request,
        candidate: Candidate | None,
        now: float,
        is_eligible: EligibilityCheck,
        allowed_builds: AllowedBuilds,
    ) -> Server | None:
        """Return the server for the request's next attempt, or None if no server is eligible.

        A candidate at its concurrency limit gets no first attempts, and these do not go to another build
        either: only the exposure limit moves the key of a candidate to another build.
        """
        ready = self.endpoints.ready_by_build
        unfinished_releases = {build: self.releases.unfinished_release(build) for build in ready}
        with_capacity = {build for build in ready if self.limits.has_capacity(build, len(ready[build]))}
        if candidate and not request.attempts:
            at_limit = ready.keys() - with_capacity
            if any(unfinished_releases[build] is candidate for build in at_limit):
                return None
        attempted_server_ids = {attempt.server.id for attempt in request.attempts}
        zone_latencies = self.latencies.expected_by_zone(now)
        context = PickContext(
            request,
            candidate,
            now,
            is_eligible,
            with_capacity,
            unfinished_releases,
            zone_latencies,
            attempted_server_ids,
            allowed_builds,
        )
        return self._pick_from_draw(context) or self._pick_from_all(context)

    def _pick_from_draw(self, context: PickContext) -> Server | None:
        """Pick from drawn servers of the candidate or, if none is ready, of the builds that serve."""
        pools = self._ready_pools(context, context.candidate) or self._ready_pools(context, None)
        pools = [pool for pool in pools if pool[0].build in context.builds_with_capacity]
        total = sum(map(len, pools))
        proportional_count = ceil(total * MAX_INSTANCES_RANKING_ALL / self.instance_count)
        count = min(MAX_DRAWN_SERVERS, max(MIN_DRAWN_SERVERS, proportional_count))
        if count >= total:
            return None
        drawn = self._draw_servers(context, pools, total, count)
        usable = [server for server in drawn if context.is_usable(server)]
        return min(context.eligible(usable), key=self._cost(context), default=None)

    def _pick_from_all(self, context: PickContext) -> Server | None:
        """Pick from all servers that may take the request, or from a bounded sample of them.

        Ejected servers and those that have had an attempt of the request come last. Servers of another
        candidate are used only if no build that serves has a server in rotation.
        """
        serving = self._ready_pools(context, None)
        # Only the end of the ejection counts: a server that may get one attempt at a time is in rotation.
        in_rotation = any(server.ejection.ejected_until <= context.now for pool in serving for server in pool)
        if context.candidate or not in_rotation:
            builds = [
                build
                for build in sorted(context.builds_with_capacity)
                if not in_rotation or context.unfinished_releases[build] in (context.candidate, None)
            ]
        else:
            builds = [pool[0].build for pool in serving if pool[0].build in context.builds_with_capacity]
        pools = [self.endpoints.ready_by_build[build] for build in builds]
        return min(context.eligible(self._bounded_sample(pools)), key=self._cost(context), default=None)

    def _ready_pools(self, context: PickContext, release: Candidate | None) -> list[list[Server]]:
        """Return the ready servers of each build of the release; None selects builds that serve."""
        ready = self.endpoints.ready_by_build.items()
        return [pool for build, pool in ready if context.unfinished_releases[build] is release]

    def _cost(self, context: PickContext) -> Callable[[Server], tuple[bool, bool, float]]:
        """Return the sort key by which servers are ranked, the best first."""
        candidate, unfinished_releases, now = context.candidate, context.unfinished_releases, context.now
        zone_latencies = context.zone_latencies

        def cost(server: Server) -> tuple[bool, bool, float]:
            zone_latency = zone_latencies.get(server.zone) or self.latencies.expected_in_zone(
                server.zone, now
            )
            wait = self._expected_wait(server, UNKNOWN_SERVER_FACTOR * zone_latency, now)
            return not context.is_usable(server), unfinished_releases[server.build] is not candidate, wait

        return cost

    def _expected_wait(self, server: Server, unknown_latency: float, now: float) -> float:
        """Return the expected time of one more attempt, in latency objectives of a server of mean size."""
        zone_factor = (1.0 if server.zone == self.zone else CROSS_ZONE_FACTOR) * (
            1 + WAIT_JITTER * self.draw()
        )
        latency = server.latency.expected(unknown_latency, SERVER_HALF_LIFE_SECONDS, now)
        capacity = server.capacity_hint * self.slow_start.weight(server.started_at, now)
        return zone_factor * (server.attempts_in_flight + 1) * latency / capacity

    def _draw_servers(
        self, context: PickContext, pools: list[list[Server]], total: int, count: int
    ) -> list[Server]:
        """Draw `count` servers, preferring fast zones and, while many connects fail, open connections."""
        slow_zones = self._slow_zones(context.zone_latencies)
        prefer_open = self.connections.prefer_open_connections
        if not slow_zones and not prefer_open:
            return [server_at(pools, int(self.draw() * total)) for _ in range(count)]
        sample = list(self._bounded_sample(pools))
        preferred = [server for server in sample if server.zone not in slow_zones] or sample
        if prefer_open:
            connected = [server for server in preferred if server.connected_until > context.now]
            preferred = connected or preferred
        return [preferred[int(self.draw() * len(preferred))] for _ in range(count)]

    def _slow_zones(self, zone_latencies: dict[str, float]) -> set[str]:
        if not zone_latencies:
            return set()
        max_latency = SLOW_ZONE_RATIO * min(zone_latencies.values())
        return {zone for zone, latency in zone_latencies.items() if latency > max_latency}

    def _bounded_sample(self, pools: list[list[Server]]) -> Iterable[Server]:
        """Return all servers of the pools, or `MAX_SAMPLED_SERVERS` drawn with replacement if more."""
        total = sum(map(len, pools))
        if total <= MAX_SAMPLED_SERVERS:
            return [server for pool in pools for server in pool]
        return [server_at(pools, int(self.draw() * total)) for _ in range(MAX_SAMPLED_SERVERS)]


def server_at(pools: list[list[Server]], position: int) -> Server:
    """Return the server at a position in the concatenated pools; raises IndexError beyond their end."""
    for pool in pools:
        if position < len(pool):
            return pool[position]
        position -= len(pool)
    raise IndexError(position)
