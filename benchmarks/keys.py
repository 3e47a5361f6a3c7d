"""Measure the decisions' memory while a million distinct keys meet a build that keys may not leave.

.venv/bin/python benchmarks/keys.py [--keys 1000000]
"""

from __future__ import annotations

import argparse
import tracemalloc
from dataclasses import replace

from gullmount.decisions.canary_analysis import EVALUATION_INTERVAL_SECONDS
from gullmount.decisions.model import (
    DeduplicationScope,
    Endpoint,
    EndpointState,
    EndpointUpdateKind,
    InstanceSettings,
    Outcome,
    ReleasePhase,
    RetrySafety,
    Route,
)
from gullmount.decisions.router import Router
from gullmount.scale.slopes.driven_router import router_settings
from gullmount.scale.slopes.idle_runtime import IdleRuntime

REQUESTS_PER_SECOND = 100  # of the runtime's clock
STEPS = 10  # figures printed
START_SECONDS = 1e6
ROUTE = "look"
SERVERS, SERVERS_WITH_CANDIDATE = 8, 6
BASELINE, CANDIDATE = 1, 2  # builds
TIMEOUT_SECONDS = 3.0
LATENCY_SECONDS = 0.05


class TimedRuntime(IdleRuntime):
    """An idle runtime that calls its timers as its clock goes."""

    def advance(self, seconds: float) -> None:
        """Let time pass, and call the timers that are due in the order they were asked for."""
        self.clock += seconds
        while self.timers and self.timers[0][0] <= self.clock:
            self.timers.pop(0)[1]()


def make_settings() -> InstanceSettings:
    """Return the settings of one instance alone, whose candidate gets all traffic."""
    settings = router_settings(route_count=0, instance_count=1)
    release = replace(settings.release, exposure_limits=(1.0, 1.0), exposure_slack=10.0, vote_lifetime=4.0)
    return replace(
        settings,
        seed=1,
        routes={ROUTE: Route(ROUTE, 1.0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0.0)},
        release=release,
        zone="a",
        instance_number=0,
        gossip_enabled=False,
        warm_up_time=5.0,
    )


def make_endpoints() -> list[Endpoint]:
    """Return the servers, most of which run the candidate."""
    builds = [CANDIDATE if number < SERVERS_WITH_CANDIDATE else BASELINE for number in range(SERVERS)]
    return [
        Endpoint(f"b{number}", "a", 0, build, EndpointState.READY, 1.0, 0.0)
        for number, build in enumerate(builds)
    ]


def main() -> None:
    """Print the memory after each tenth of the keys."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--keys", type=int, default=1_000_000)
    count = parser.parse_args().keys
    runtime = TimedRuntime(START_SECONDS)
    router = Router(runtime, make_settings())
    router.update_endpoints(EndpointUpdateKind.SNAPSHOT, make_endpoints())
    router.update_release(CANDIDATE, 1, ReleasePhase.CANDIDATE, 1.0)
    runtime.advance(EVALUATION_INTERVAL_SECONDS)
    tracemalloc.start()
    for number in range(count):
        request = router.accept(f"r{number}", ROUTE, runtime.clock + TIMEOUT_SECONDS, f"key-{number}")
        if request.attempts_in_flight:
            request.attempt_ended(0, Outcome.COMPLETED, LATENCY_SECONDS, True)
        runtime.advance(1 / REQUESTS_PER_SECOND)
        if (number + 1) % (count // STEPS) == 0:
            megabytes = tracemalloc.get_traced_memory()[0] / 1e6
            remembered = len(router.affinity.last_build_by_key)
            print(f"{number + 1:>9} keys: {megabytes:7.1f} MB, {remembered} kept", flush=True)


if __name__ == "__main__":
    main()
