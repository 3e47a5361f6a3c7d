"""Costs of the router's calls over servers, routes, services, keys and instances.

The calls are a request, an endpoint update, and an evaluation of the releases.
"""

from __future__ import annotations

import time
from collections.abc import Iterator
from functools import partial

from gullmount.decisions.canary_analysis import EVALUATION_INTERVAL_SECONDS
from gullmount.decisions.model import EndpointUpdateKind
from gullmount.scale.slopes.driven_router import (
    REQUESTS_PER_SECOND,
    SERVERS_PER_SERVICE,
    DrivenRouter,
    make_endpoints,
)
from gullmount.scale.slopes.measurement import SAMPLES, Measurement, allocated_bytes, processor_seconds

SERVERS = (25.0, 200.0, 1000.0, 5000.0, 25_000.0, 140_000.0)
ROUTES = (4.0, 38.0, 304.0, 1520.0, 10_000.0)
EVALUATED_ROUTES = (4.0, 38.0, 304.0, 1520.0, 4000.0)  # beyond them 20 s of evaluations take minutes
SERVICES = (1.0, 8.0, 40.0, 200.0, 1000.0)
KEYS = (1000.0, 10_000.0, 100_000.0, 540_000.0)
INSTANCES = (2.0, 20.0, 200.0, 2000.0, 7300.0)
WARM_UP_REQUESTS = 200  # before a measurement: a service's servers have had several attempts each
MAX_WARM_UP_SERVERS = 400_000  # that all warm-up requests together may look at
EVIDENCE_SECONDS = 20.0  # of outcomes that evaluations compare, which one must find as in service
EVALUATIONS = 8  # of a sample, a quarter of a second of traffic before each
SERVERS_OF_MANY_INSTANCES = 1000
EVALUATED_SERVERS_OF_MANY_INSTANCES = 200


def _request_over_servers(
    servers: float, with_candidate: bool = False, instance_count: int = 0
) -> Iterator[float]:
    driven = DrivenRouter(round(servers), with_candidate=with_candidate, instance_count=instance_count)
    for _ in range(min(WARM_UP_REQUESTS, round(MAX_WARM_UP_SERVERS / servers))):
        driven.send_request()
    yield from processor_seconds(driven.send_request)


def _request_over_instances(instances: float) -> Iterator[float]:
    driven = DrivenRouter(SERVERS_OF_MANY_INSTANCES, instance_count=round(instances))
    driven.send_requests(WARM_UP_REQUESTS)
    yield from processor_seconds(driven.send_request)


def _request_over_keys(keys: float) -> Iterator[float]:
    driven = _driven_with_keys(round(keys))
    yield from processor_seconds(driven.send_request)


def _driven_with_keys(keys: int) -> DrivenRouter:
    """Return a router with a candidate whose share has grown; each key has met a build."""
    driven = DrivenRouter(SERVERS_PER_SERVICE, with_candidate=True, key_count=keys)
    driven.send_requests(round(EVIDENCE_SECONDS * REQUESTS_PER_SECOND))
    for _ in range(keys):
        driven.send_request()
    return driven


def _request_over_services(services: float) -> Iterator[float]:
    """Measure as many routers in one process, each with its own list, asked in turn."""
    rate = max(1.0, REQUESTS_PER_SECOND / services)
    routers = [DrivenRouter(SERVERS_PER_SERVICE, requests_per_second=rate) for _ in range(round(services))]

    def send_one_to_each() -> None:
        for driven in routers:
            driven.send_request()

    for _ in range(max(1, round(WARM_UP_REQUESTS / services))):
        send_one_to_each()
    for seconds in processor_seconds(send_one_to_each):
        yield seconds / len(routers)


def _snapshot_over_servers(servers: float) -> Iterator[float]:
    driven, endpoints = DrivenRouter(round(servers)), make_endpoints(round(servers))
    yield from processor_seconds(
        lambda: driven.router.update_endpoints(EndpointUpdateKind.SNAPSHOT, endpoints)
    )


def _update_over_servers(servers: float) -> Iterator[float]:
    driven, endpoints = DrivenRouter(round(servers)), make_endpoints(1)
    yield from processor_seconds(lambda: driven.router.update_endpoints(EndpointUpdateKind.UPDATE, endpoints))


def _evaluation_cores(driven: DrivenRouter, requests_per_second: float) -> Iterator[float]:
    """Yield seconds of processor time that evaluations take a second, with full evidence.

    Evaluations are counted, not taken for granted: a clock that comes a rounding error early has none.
    """
    driven.send_requests(round(EVIDENCE_SECONDS * requests_per_second))
    for _ in range(SAMPLES):
        seconds, evaluations = 0.0, 0
        while evaluations < EVALUATIONS:
            for _ in range(max(1, round(requests_per_second * EVALUATION_INTERVAL_SECONDS))):
                driven.send_request()
            due = driven.runtime.take_due()
            started = time.process_time()
            for evaluate in due:
                evaluate()
            seconds += time.process_time() - started
            evaluations += len(due)
        yield seconds / evaluations / EVALUATION_INTERVAL_SECONDS


def _evaluation_over_routes(routes: float, with_candidate: bool) -> Iterator[float]:
    driven = DrivenRouter(SERVERS_PER_SERVICE, round(routes), with_candidate=with_candidate)
    yield from _evaluation_cores(driven, REQUESTS_PER_SECOND)


def _evaluation_over_servers(servers: float, with_candidate: bool) -> Iterator[float]:
    driven = DrivenRouter(round(servers), with_candidate=with_candidate)
    yield from _evaluation_cores(driven, REQUESTS_PER_SECOND)


def _evaluation_over_services(services: float, with_candidate: bool) -> Iterator[float]:
    rate = REQUESTS_PER_SECOND / services
    routers = [
        DrivenRouter(SERVERS_PER_SERVICE, with_candidate=with_candidate, requests_per_second=rate)
        for _ in range(round(services))
    ]
    samples = zip(*(_evaluation_cores(driven, rate) for driven in routers), strict=True)
    yield from map(sum, samples)


def _evaluation_over_instances(instances: float) -> Iterator[float]:
    driven = DrivenRouter(
        EVALUATED_SERVERS_OF_MANY_INSTANCES, instance_count=round(instances), with_candidate=True
    )
    yield from _evaluation_cores(driven, REQUESTS_PER_SECOND)


def _memory_over_servers(servers: float) -> Iterator[float]:
    yield from allocated_bytes(lambda: DrivenRouter(round(servers)), samples=3)


def _memory_over_routes(routes: float) -> Iterator[float]:
    """Measure a router with full evidence at the peak's rate."""

    def build() -> DrivenRouter:
        driven = DrivenRouter(SERVERS_PER_SERVICE, round(routes), with_candidate=True)
        for _ in range(round(EVIDENCE_SECONDS * REQUESTS_PER_SECOND)):
            driven.send_request()
        return driven

    yield from allocated_bytes(build, samples=2)


def _memory_over_services(services: float) -> Iterator[float]:
    yield from allocated_bytes(
        lambda: [DrivenRouter(SERVERS_PER_SERVICE) for _ in range(round(services))], samples=3
    )


def _memory_over_keys(keys: float) -> Iterator[float]:
    """Measure keys that met a build of a candidate release, which are remembered up to a bound."""
    yield from allocated_bytes(lambda: _driven_with_keys(round(keys)), samples=1)


# Words of the stored files: they stay as they are.
LISTED = "boxes listed"
FRONTED = "services fronted"
TOLD_OF = "umpires told of"
PER_REQUEST = "s of processor time a req"
PER_CALL = "s of processor time a call"
PER_SECOND = "s of processor time a second"

MEASUREMENTS = (
    Measurement(
        "take-boxes", "a req's `take` and its end, no trial",
        LISTED, PER_REQUEST, SERVERS, _request_over_servers,
    ),
    Measurement(
        "take-boxes-trial", "a req's `take` and its end, a newer build on trial at a fifth of the boxes",
        LISTED, PER_REQUEST, SERVERS, partial(_request_over_servers, with_candidate=True),
    ),
    Measurement(
        "take-boxes-few", "a req's `take` and its end, told of two umpires: each box is ranked",
        LISTED, PER_REQUEST, SERVERS, partial(_request_over_servers, instance_count=2),
    ),
    Measurement(
        "take-umpires", "a req's `take` and its end at 1,000 boxes, no trial",
        TOLD_OF, PER_REQUEST, INSTANCES, _request_over_instances,
    ),
    Measurement(
        "take-services",
        "a req's `take` and its end, a module for each service of 25 boxes and 38 routes, in turn",
        FRONTED, PER_REQUEST, SERVICES, _request_over_services,
    ),
    Measurement(
        "take-keys", "a req's `take` and its end in a trial, each key having met a build",
        "keys", PER_REQUEST, KEYS, _request_over_keys,
    ),
    Measurement(
        "listed-whole", "`listed` with the whole list again",
        LISTED, PER_CALL, SERVERS, _snapshot_over_servers,
    ),
    Measurement(
        "listed-change", "`listed` with one change", LISTED, PER_CALL, SERVERS, _update_over_servers
    ),
    Measurement(
        "judge-routes", "the judge's looks at 384 reqs a second, no trial",
        "routes", PER_SECOND, EVALUATED_ROUTES, partial(_evaluation_over_routes, with_candidate=False),
    ),
    Measurement(
        "judge-routes-trial", "the judge's looks at 384 reqs a second in a trial",
        "routes", PER_SECOND, EVALUATED_ROUTES, partial(_evaluation_over_routes, with_candidate=True),
    ),
    Measurement(
        "judge-boxes", "the judge's looks at 38 routes and 384 reqs a second, no trial",
        LISTED, PER_SECOND, SERVERS[:-1], partial(_evaluation_over_servers, with_candidate=False),
    ),
    Measurement(
        "judge-boxes-trial", "the judge's looks at 38 routes and 384 reqs a second in a trial",
        LISTED, PER_SECOND, SERVERS[:-1], partial(_evaluation_over_servers, with_candidate=True),
    ),
    Measurement(
        "judge-services", "the looks of a module for each service, 384 reqs a second in all, no trial",
        FRONTED, PER_SECOND, SERVICES, partial(_evaluation_over_services, with_candidate=False),
    ),
    Measurement(
        "judge-services-trial",
        "the looks of a module for each service, 384 reqs a second in all, a trial at each",
        FRONTED, PER_SECOND, SERVICES, partial(_evaluation_over_services, with_candidate=True),
    ),
    Measurement(
        "judge-umpires", "the looks at 200 boxes and 38 routes in a trial",
        TOLD_OF, PER_SECOND, INSTANCES, _evaluation_over_instances,
    ),
    Measurement(
        "memory-boxes", "the module with its list", LISTED, "bytes", SERVERS, _memory_over_servers
    ),
    Measurement(
        "memory-routes", "the module after 20 s of a trial at 384 reqs a second",
        "routes", "bytes", ROUTES, _memory_over_routes,
    ),
    Measurement(
        "memory-services", "a module for each service of 25 boxes and 38 routes",
        FRONTED, "bytes", SERVICES, _memory_over_services,
    ),
    Measurement(
        "memory-keys", "the module in a trial whose keys have met a build",
        "keys", "bytes", KEYS, _memory_over_keys,
    ),
)  # fmt: skip
