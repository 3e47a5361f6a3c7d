"""A runtime that records the calls of a router, and helpers that feed events to the router."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import Any

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
    Vote,
)
from gullmount.decisions.requests import Request, hash_position
from gullmount.decisions.router import Router
from gullmount.decisions.statistics import AttemptSample

ROUTES = {
    "look": Route("look", 1.0, RetrySafety.IDEMPOTENT, DeduplicationScope.ALL, 0.0),
    "book": Route("book", 1.0, RetrySafety.DEDUPLICATED, DeduplicationScope.ZONE, 1.0),
    "post": Route("post", 1.0, RetrySafety.DEDUPLICATED, DeduplicationScope.ALL, 1.0),
    "pay": Route("pay", 1.0, RetrySafety.AT_MOST_ONCE, DeduplicationScope.ALL, 0.0),
}


class RouterHarness:
    """A router with a runtime that records attempts, votes and responses; `advance_clock` runs its timers."""

    def __init__(self, **changes: Any) -> None:
        release: dict[str, Any] = {
            "exposure_limits": (0.2, 0.5, 1.0),
            "counted_by_route": False,
            "idempotent_only_stages": 0,
            "one_way": False,
            "exposure_window": 3.0,
            "exposure_slack": 2.0,
            "advances_by_timer": False,
            "vote_lifetime": 4.0,
            "votes_to_promote": 1,
            "votes_to_roll_back": 1,
            "votes_per_second": 100.0,
            "metrics_period": 2.0,
            "concurrent_candidates": 1,
        }
        instance: dict[str, Any] = {
            "seed": 7,
            "zone": "a",
            "instance_count": 2,
            "instance_number": 0,
            "gossip_enabled": False,
            "connection_idle_timeout": 15.0,
            "cold_capacity": 0.3,
            "warm_up_time": 5.0,
            "overload_multiple": 2.0,
            "max_attempts": 4,
            "may_watch_endpoints": False,
            "max_retry_after": 0.5,
        }
        for name, value in changes.items():
            (release if name in release else instance)[name] = value
        self.clock = 100.0
        self.forwarded: list[tuple[str, str, float]] = []
        self.responses: dict[str, list[str]] = {}
        self.votes: list[tuple[int, int, Vote]] = []
        self.gossiped: list[tuple[int, int, int, Vote]] = []
        self.watch_calls = 0
        self.timers: list[tuple[float, int, Callable[[], None]]] = []
        self.request_count = 0
        self.router = Router(
            self, InstanceSettings(routes=ROUTES, release=ReleaseSettings(**release), **instance)
        )

    def now(self) -> float:
        return self.clock

    def forward(self, request_id: str, server_id: str, timeout: float) -> None:
        self.forwarded.append((request_id, server_id, timeout))

    def reject(self, request_id: str, retry_after: float) -> None:
        self.responses.setdefault(request_id, []).append("rejected")

    def fail(self, request_id: str) -> None:
        self.responses.setdefault(request_id, []).append("failed")

    def call_after(self, delay: float, callback: Callable[[], None]) -> None:
        self.timers.append((self.clock + delay, len(self.timers), callback))

    def vote(self, build: int, stage: int, vote: Vote) -> None:
        self.votes.append((build, stage, vote))

    def gossip_vote(self, peer: int, build: int, stage: int, vote: Vote) -> None:
        self.gossiped.append((peer, build, stage, vote))

    def watch_endpoints(self) -> None:
        self.watch_calls += 1

    def log(self, text: str) -> None:
        pass

    def advance_clock(self, span: float) -> None:
        until = self.clock + span
        while due := [timer for timer in self.timers if timer[0] <= until]:
            timer = min(due, key=lambda entry: entry[:2])
            self.timers.remove(timer)
            self.clock = max(self.clock, timer[0])
            timer[2]()
        self.clock = until

    def list_servers(
        self, builds: dict[str, int], kind: EndpointUpdateKind = EndpointUpdateKind.SNAPSHOT, **changes: Any
    ) -> None:
        """List servers by name; the first letter of the name is the zone."""
        fields = {"state": EndpointState.READY, "capacity_hint": 1.0, "started_at": 0.0, **changes}
        endpoints = [
            Endpoint(server_id=server, zone=server[0], cell=0, build=build, **fields)
            for server, build in builds.items()
        ]
        self.router.update_endpoints(kind, endpoints)

    def set_release(
        self, stage: int = 0, phase: ReleasePhase = ReleasePhase.CANDIDATE, cap: float = 0.2, build: int = 2
    ) -> None:
        self.router.update_release(build, stage, phase, cap)

    def accept(self, route: str = "look", key: str | None = None, request_timeout: float = 3.0) -> Request:
        self.request_count += 1
        return self.router.accept(f"r{self.request_count}", route, self.clock + request_timeout, key)

    def end_attempt(
        self, request: Request, outcome: Outcome = Outcome.COMPLETED, latency: float = 0.1
    ) -> None:
        """End the newest attempt of the request, if any attempt is in flight."""
        if not request.attempts_in_flight:
            return
        number = len(request.attempts) - 1
        request.attempt_ended(number, outcome, latency, outcome is Outcome.COMPLETED)


BASELINE = {f"a{n}": 1 for n in range(8)}


CANDIDATE = {"b0": 2, "b1": 2}


OK = Outcome.COMPLETED


def candidate_harness(**changes: object) -> RouterHarness:
    """Return a harness with a baseline and a candidate whose traffic share has grown for 10 s."""
    harness = RouterHarness(**changes)
    harness.list_servers(BASELINE | CANDIDATE)
    harness.set_release(stage=1, cap=0.5)
    harness.advance_clock(10.0)
    return harness


def released_harness(servers: dict[str, int] = BASELINE, **changes: object) -> RouterHarness:
    """Return a harness with one released build and no candidate."""
    harness = RouterHarness(**changes)
    harness.list_servers(servers)
    harness.set_release(build=1, phase=ReleasePhase.RELEASED)
    return harness


def send_requests(
    harness: RouterHarness,
    count: int,
    failing_prefix: str = "none",
    outcome: Outcome = OK,
    latency: float = 0.1,
) -> None:
    """Accept requests one by one; attempts at servers with the prefix end with `outcome`, others complete."""
    for _ in range(count):
        request = harness.accept("pay")
        failing = bool(request.attempts) and request.attempts[-1].server.id.startswith(failing_prefix)
        harness.end_attempt(request, outcome if failing else OK, latency if failing else 0.1)
        harness.advance_clock(0.1)


def add_samples(
    harness: RouterHarness,
    build: int,
    latency_factor: float,
    count: int,
    span: float = 8.0,
    start: float = 0.0,
) -> None:
    """Add evenly spread samples of a build, with latencies from one skewed distribution."""
    draw = random.Random(build).lognormvariate
    times = sorted(
        (harness.clock + start + span * n / count, latency_factor * draw(-2.0, 0.8)) for n in range(count)
    )
    harness.router.canary.samples[build, "look"].extend(
        AttemptSample(at, time, False, "b0") for at, time in times
    )


def votes_of(harness: RouterHarness) -> set[Vote]:
    """Return the votes cast so far."""
    return {vote for _, _, vote in harness.votes}


def one_way_harness(stage: int = 0) -> RouterHarness:
    """Return a one-way harness whose candidate gets idempotent requests only in its first stage."""
    harness = RouterHarness(one_way=True, idempotent_only_stages=1, counted_by_route=True, exposure_slack=1e9)
    harness.list_servers(BASELINE | CANDIDATE)
    harness.set_release(stage=stage, cap=0.5)
    harness.advance_clock(10.0)
    return harness


def key_of_candidate(harness: RouterHarness) -> str:
    """Return a key that the traffic split assigns to the candidate."""
    return next(
        f"k{n}"
        for n in range(1000)
        if harness.router.releases.candidates[-1].contains(hash_position(f"k{n}"))
    )


def zones_of(harness: RouterHarness, request: Request) -> list[str]:
    """Return the zones of the request's attempts; `a` is the zone of the baseline, `b` of the candidate."""
    return [server[0] for name, server, _ in harness.forwarded if name == request.id]
