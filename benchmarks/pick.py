"""Time what one request costs the decisions at 200 to 14,000 servers.

    python -m benchmarks.pick

Prints microseconds a request, by fleet size and servers, on the usual path and on the worst: there all
servers are cold, so that slow start rejects each one that was not left alone for long and none drawn will do.
"""

from __future__ import annotations

import time

from gullmount.decisions.model import Endpoint, EndpointState, EndpointUpdateKind, Outcome
from gullmount.decisions.router import Router
from gullmount.scale.slopes.driven_router import BASELINE, ROUTES_PER_SERVICE, router_settings
from gullmount.scale.slopes.idle_runtime import IdleRuntime

SERVERS = (200, 800, 3_200, 14_000)
INSTANCES = (1, 30, 210)
REQUESTS = 400
WARM_AGE_SECONDS, COLD_AGE_SECONDS = 3600.0, 0.1  # since the servers' start
ZONES, CELLS_PER_ZONE = 3, 4
TIMEOUT_SECONDS = 5.0
LATENCY_SECONDS = 0.05


def make_endpoints(count: int, started_at: float) -> list[Endpoint]:
    """Return so many endpoints that started together."""
    return [
        Endpoint(
            f"s-{number}",
            f"z{number % ZONES}",
            number % CELLS_PER_ZONE,
            BASELINE,
            EndpointState.READY,
            1.0,
            started_at,
        )
        for number in range(count)
    ]


def cost(servers: int, instances: int, age_seconds: float) -> float:
    """Return microseconds a request, its attempt's end included."""
    runtime = IdleRuntime()
    router = Router(runtime, router_settings(ROUTES_PER_SERVICE, instances))
    endpoints = make_endpoints(servers, runtime.now() - age_seconds)
    router.update_endpoints(EndpointUpdateKind.SNAPSHOT, endpoints)
    route = next(iter(router.settings.routes))
    started = time.perf_counter()
    for number in range(REQUESTS):
        request = router.accept(f"r{number}", route, runtime.now() + TIMEOUT_SECONDS, None)
        if request.attempts_in_flight:
            request.attempt_ended(0, Outcome.COMPLETED, LATENCY_SECONDS, True)
    return (time.perf_counter() - started) / REQUESTS * 1e6


def main() -> None:
    """Print the costs on both paths."""
    print(f"{'path':8}{'instances':>10}" + "".join(f"{count:>10}" for count in SERVERS))
    for path, age_seconds in (("usual", WARM_AGE_SECONDS), ("worst", COLD_AGE_SECONDS)):
        for instances in INSTANCES:
            row = "".join(f"{cost(servers, instances, age_seconds):10.0f}" for servers in SERVERS)
            print(f"{path:8}{instances:>10}{row}")


if __name__ == "__main__":
    main()
