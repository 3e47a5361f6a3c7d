"""One router by itself over an idle runtime: built, given endpoints, and driven by its public calls."""

from __future__ import annotations

from collections import deque
from collections.abc import Mapping, Sequence

from gullmount.decisions.model import (
    DeduplicationScope,
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    InstanceSettings,
    Outcome,
    ReleasePhase,
    ReleaseSettings,
    RetrySafety,
    Route,
)
from gullmount.decisions.requests import Request
from gullmount.decisions.router import Router
from gullmount.scale.slopes.idle_runtime import IdleRuntime

REQUESTS_PER_SECOND = 384.0  # of one proxy at the peak: the target's
LATENCY_SECONDS = 0.05  # of a server's response: 20 requests are in flight at that rate
LATENCY_OBJECTIVE_SECONDS = 0.3  # of every route
TIMEOUT_SECONDS = 3.0  # that clients wait
DEDUPLICATION_WINDOW_SECONDS = 5.0
ROUTES_PER_SERVICE = 38
SERVERS_PER_SERVICE = 25
BASELINE, CANDIDATE = 41, 42  # builds
CANDIDATE_EVERY = 5  # of how many servers one runs the candidate, if there is one
CANDIDATE_SHARE = 0.2  # of the traffic
ZONES = 31
CELLS_PER_ZONE = 4
TARGET_PROXIES, TARGET_SERVERS = 7300, 140_000
RETRY_SAFETIES = (RetrySafety.IDEMPOTENT, RetrySafety.AT_MOST_ONCE, RetrySafety.DEDUPLICATED)
ROUTE_STRIDE = 7919  # a prime: routes come in no order that a router could learn from


def proxies_for(servers: int) -> int:
    """Return how many proxies front the services of so many servers, by the target; at least 1."""
    return max(1, round(servers * TARGET_PROXIES / TARGET_SERVERS))


def make_routes(count: int) -> Mapping[str, Route]:
    """Return so many routes by name, of all kinds of retry safety."""
    routes = [
        Route(
            f"route-{number:06d}",
            LATENCY_OBJECTIVE_SECONDS,
            RETRY_SAFETIES[number % len(RETRY_SAFETIES)],
            DeduplicationScope.ALL,
            DEDUPLICATION_WINDOW_SECONDS,
        )
        for number in range(count)
    ]
    return {route.name: route for route in routes}


def make_endpoints(count: int, with_candidate: bool = False) -> Sequence[Endpoint]:
    """Return so many endpoints, spread over the zones; a fifth runs the candidate if there is one."""
    return [
        Endpoint(
            server_id=f"box-{number:06d}",
            zone=f"zone-{number % ZONES:02d}",
            cell=number % CELLS_PER_ZONE,
            build=CANDIDATE if with_candidate and number % CANDIDATE_EVERY == 0 else BASELINE,
            state=EndpointState.READY,
            capacity_hint=1.0,
            started_at=0.0,
        )
        for number in range(count)
    ]


def router_settings(route_count: int, instance_count: int) -> InstanceSettings:
    """Return the settings of one of so many instances, with so many routes."""
    release = ReleaseSettings(
        exposure_limits=(0.2, 0.5, 1.0),
        counted_by_route=False,
        idempotent_only_stages=0,
        one_way=True,
        exposure_window=3.0,
        exposure_slack=2.0,
        advances_by_timer=False,
        vote_lifetime=10.0,
        votes_to_promote=1,
        votes_to_roll_back=1,
        votes_per_second=50.0,
        metrics_period=0.0,
    )
    return InstanceSettings(
        seed=7,
        routes=make_routes(route_count),
        release=release,
        zone="zone-00",
        instance_number=5,
        instance_count=instance_count,
        gossip_enabled=True,
        connection_idle_timeout=15.0,
        cold_capacity=0.3,
        warm_up_time=2.0,
        overload_multiple=2.0,
        max_attempts=4,
        may_watch_endpoints=False,
        max_retry_after=0.5,
    )


class DrivenRouter:
    """A router with its servers, and requests through it at a fixed rate of its runtime's clock.

    Args:
        servers: that are listed.
        route_count: that requests are spread over.
        instance_count: of which the router is configured to be one; by default as many as the target has
            for so many servers.
        with_candidate: whether a fifth of the servers runs a candidate release.
        key_count: of affinity keys that requests have in turn; 0 for requests without one.
        requests_per_second: of the runtime's clock.
    """

    def __init__(
        self,
        servers: int,
        route_count: int = ROUTES_PER_SERVICE,
        instance_count: int = 0,
        with_candidate: bool = False,
        key_count: int = 0,
        requests_per_second: float = REQUESTS_PER_SECOND,
    ) -> None:
        self.runtime = IdleRuntime()
        settings = router_settings(route_count, instance_count or proxies_for(servers))
        self.router = Router(self.runtime, settings)
        self.router.update_endpoints(EndpointUpdateKind.SNAPSHOT, make_endpoints(servers, with_candidate))
        self.router.update_release(BASELINE, 0, ReleasePhase.RELEASED, 1.0)
        if with_candidate:
            self.router.update_release(CANDIDATE, 0, ReleasePhase.CANDIDATE, CANDIDATE_SHARE)
        self.route_names = list(settings.routes)
        self.key_count = key_count
        self.interval_seconds = 1 / requests_per_second
        self.max_in_flight = max(1, round(LATENCY_SECONDS * requests_per_second))
        self.in_flight: deque[Request] = deque()
        self.count = 0

    def send_request(self) -> None:
        """Send a request, and complete the one that was sent a response's latency before."""
        self.runtime.clock += self.interval_seconds
        self.count += 1
        key = f"key-{self.count % self.key_count:07d}" if self.key_count else None
        route = self.route_names[self.count * ROUTE_STRIDE % len(self.route_names)]
        deadline = self.runtime.clock + TIMEOUT_SECONDS
        self.in_flight.append(self.router.accept(f"req-{self.count:09d}", route, deadline, key))
        if len(self.in_flight) > self.max_in_flight:
            request = self.in_flight.popleft()
            for number in list(request.attempts_in_flight):
                request.attempt_ended(number, Outcome.COMPLETED, LATENCY_SECONDS, True)

    def send_requests(self, count: int) -> None:
        """Send requests, with the router's own timers at their times."""
        for _ in range(count):
            self.send_request()
            for callback in self.runtime.take_due():
                callback()
