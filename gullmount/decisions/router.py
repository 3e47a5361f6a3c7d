"""Applies the rules to each request, and passes updates from discovery, releases and peers to the rules.

Create one `Router(runtime, settings)` for each instance. `accept` returns a `Request`, whose methods report
what happens to it later. Responses leave through the runtime within the same call. Each rule has a module and
state of its own; this module decides only the order in which the rules are applied.
"""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

from gullmount.decisions import admission, retries
from gullmount.decisions.affinity import Affinity
from gullmount.decisions.attribution import attribution_for
from gullmount.decisions.canary_analysis import (
    COMPARED_OUTCOMES,
    EVALUATION_INTERVAL_SECONDS,
    CanaryAnalysis,
    FleetConditions,
)
from gullmount.decisions.concurrency_limit import ConcurrencyLimits
from gullmount.decisions.connection_failures import ConnectionFailures
from gullmount.decisions.endpoints import EndpointTable, Server
from gullmount.decisions.exposure import ExposureLimiter
from gullmount.decisions.latency import LatencyEstimates
from gullmount.decisions.load_balancing import AllowedBuilds, LoadBalancer
from gullmount.decisions.metric_totals import MetricsReport
from gullmount.decisions.model import (
    ROLLBACK_PHASES,
    Endpoint,
    EndpointUpdateKind,
    InstanceSettings,
    Outcome,
    RejectionReason,
    ReleasePhase,
    Vote,
)
from gullmount.decisions.releases import NO_VOTE, Candidate, Releases
from gullmount.decisions.requests import Attempt, Request, hash_position
from gullmount.decisions.runtime import Runtime
from gullmount.decisions.slow_start import SlowStart
from gullmount.decisions.traffic_split import TrafficSplit
from gullmount.decisions.voting import Evaluation, EvidenceThresholds, Voting

# Bounds of the random delay before a refused watch is requested again.
WATCH_RETRY_SECONDS = (1.0, 3.0)
CONNECTED_OUTCOMES = (Outcome.COMPLETED, Outcome.ERROR, Outcome.OVERLOADED)


def never_stale(now: float) -> bool:  # noqa: ARG001 (the signature of what replaces it)
    """Return False: the endpoints never become too old for routing.

    The simulator and the generic proxy use this function; `platform.discovery_watch` replaces it.
    """
    return False


class Router:
    """Makes the decisions of one instance."""

    def __init__(self, runtime: Runtime, settings: InstanceSettings) -> None:
        self.runtime = runtime
        self.settings = settings
        self.draw = random.Random(settings.seed).random
        now = runtime.now()
        self.slow_start = SlowStart(settings, now)
        self.endpoints = EndpointTable(self.slow_start, self.draw)
        self.releases = Releases(settings.release)
        self.affinity = Affinity(self.releases, settings.max_tracked_keys)
        self.exposure = ExposureLimiter(settings, now)
        self.traffic_split = TrafficSplit(self.releases, self.endpoints, self.affinity, now)
        self.retry_budget = retries.RetryBudget(settings.instance_count)
        self.latencies = LatencyEstimates()
        self.concurrency = ConcurrencyLimits(self.releases, settings.instance_count)
        self.connections = ConnectionFailures()
        self.load_balancer = LoadBalancer(
            settings,
            self.releases,
            self.endpoints,
            self.latencies,
            self.slow_start,
            self.concurrency,
            self.connections,
            self.draw,
        )
        thresholds = EvidenceThresholds(settings)
        self.canary = CanaryAnalysis(settings, self.releases, self.endpoints, self.slow_start, thresholds)
        self.voting = Voting(runtime, settings, self.releases, thresholds, self.draw)
        self.attribution = attribution_for(settings)
        """Replaces canary analysis if two candidates may be in release; otherwise None."""
        self.endpoints_are_stale: Callable[[float], bool] = never_stale
        """Returns whether the endpoints are too old for routing; set by the code that updates them."""
        self.rejection_reason = RejectionReason.NO_ELIGIBLE_SERVER
        """Reason of the rejection or failure, valid only during the runtime's `reject` or `fail`."""
        if settings.may_watch_endpoints:
            runtime.watch_endpoints()
        runtime.call_after(EVALUATION_INTERVAL_SECONDS * self.draw(), self.evaluate)

    # Updates from discovery, the release controller, peers and the platform

    def update_endpoints(self, kind: EndpointUpdateKind, endpoints: Iterable[Endpoint]) -> None:
        """Apply an endpoint update from discovery, or request a refused watch again after a random delay."""
        if kind is EndpointUpdateKind.REFUSED:
            shortest, longest = WATCH_RETRY_SECONDS
            delay = shortest + (longest - shortest) * self.draw()
            self.runtime.call_after(delay, self.runtime.watch_endpoints)
            return
        self.endpoints.update(kind, endpoints, self.runtime.now())

    def update_release(self, build: int, stage: int, phase: ReleasePhase, exposure_limit: float) -> None:
        """Apply the release status of a build.

        The status of an older build, or of a build that was rolled back, is ignored.
        """
        candidate = self.releases.find(build)
        if candidate is None:
            if not self.releases.admits(build, phase):
                return
            candidate = self.releases.add(build, stage, exposure_limit)
            self._prune_builds()
        elif candidate.phase in ROLLBACK_PHASES and phase not in ROLLBACK_PHASES:
            return
        elif phase is not candidate.phase or stage != candidate.stage:
            candidate.voting_state.last_vote = NO_VOTE
        self.canary.record_baseline(candidate)
        if phase in ROLLBACK_PHASES:
            self.affinity.remove_build(build)
        candidate.advance(stage, phase, exposure_limit, self.runtime.now())

    def record_metrics(
        self, build: int, route: str, attempts: int, lost: int, mean_time: float, age: float
    ) -> None:
        """Record the platform's counts of attempts of one route at one build.

        `mean_time` is the mean latency in seconds. The counted period ended `age` seconds ago.
        """
        report = MetricsReport(attempts, lost, mean_time)
        self.canary.record_metrics(build, route, report, self.runtime.now() - age)

    def receive_vote(
        self, peer: int, build: int, stage: int, vote: Vote, arrived_at: float | None = None
    ) -> None:
        """Record the vote of the instance with number `peer`.

        `arrived_at` is the earliest time at which the vote can have arrived; the present time if it is None.
        """
        now = self.runtime.now()
        self.voting.receive(peer, build, stage, vote, now if arrived_at is None else arrived_at)

    def vote_failed(self, build: int | None = None) -> None:
        """Report that the last vote on the build was not accepted; on any build if `build` is None."""
        self.voting.retry(build)

    # Requests and their attempts

    def accept(
        self, request_id: str, route: str, deadline: float, key: str | None, arrived_at: float | None = None
    ) -> Request:
        """Accept a request, and forward, reject or fail it through the runtime before returning.

        Args:
            request_id: Identifies the request to the runtime.
            route: Name of the request's route.
            deadline: Time in seconds on the runtime's clock after which nobody waits for the response.
            key: Affinity key, or None.
            arrived_at: Earliest time in seconds on the runtime's clock at which the request can have arrived;
                the present time if it is None.

        Raises:
            KeyError: The settings have no such route.
        """
        position = hash_position(key or request_id)
        request = Request(self, request_id, self.settings.routes[route], deadline, key, position)
        self.exposure.record_request(request.route, self.runtime.now() if arrived_at is None else arrived_at)
        self.canary.interval_requests += 1
        self.retry_budget.record_request()
        self._advance(request)
        return request

    def attempt_ended(
        self, request: Request, number: int, outcome: Outcome, latency: float, final: bool
    ) -> None:
        """Record the end of an attempt, `latency` seconds after it was sent, and continue the request.

        `final` says that the client has its response, from this attempt or an earlier one.
        """
        now = self.runtime.now()
        attempt = request.attempts[number]
        request.attempts_in_flight.discard(number)
        attempt.server.attempts_in_flight -= 1
        if outcome in CONNECTED_OUTCOMES:
            attempt.server.connected_until = now + self.settings.connection_idle_timeout
        self._record_health(request, attempt, outcome, latency, now)
        self._record_sample(request, attempt, outcome, latency, now)
        self._record_load(request, attempt, outcome, latency, now)
        request.settled = request.settled or final
        if outcome is Outcome.CANCELLED:
            self.canary.interval_requests -= 1
        self.affinity.attempt_ended(request, attempt, outcome)
        if outcome is Outcome.COMPLETED:
            self.slow_start.record_completion(now)
        retries.record_possible_execution(request, attempt, outcome)
        if not request.settled and not request.attempts_in_flight:
            self._advance(request)

    def pick(self, request: Request, now: float) -> Server | None:
        """Return the server for the request's next attempt, or None if no server may get it."""
        if self.endpoints_are_stale(now):
            # Any server may be draining by now.
            return None
        candidate = self.traffic_split.candidate_for(request)
        return self.load_balancer.pick(
            request, candidate, now, self.allowed, self.allowed_builds(request, now)
        )

    # Checks that every attempt passes

    def allowed(self, request: Request, server: Server, now: float, allowed_builds: AllowedBuilds) -> bool:
        """Whether the server may get an attempt of the request.

        Slow start is checked last, as the check updates the server's credit. `allowed_builds` caches the
        result for each build during one pick.
        """
        return (
            server.ready
            and not request.settled
            and not request.attempts_in_flight
            and len(request.attempts) < self.settings.max_attempts
            and allowed_builds[server.build]
            and retries.retry_is_safe(request, server, now)
            and self.slow_start.allows(server.slow_start, server.started_at, self.endpoints.ready_count, now)
        )

    def allowed_builds(self, request: Request, now: float) -> AllowedBuilds:
        """Return a cache of which builds may get one more attempt of the request now."""
        return AllowedBuilds(lambda build: self._build_allowed(request, build, now, additional_attempts=1))

    def attempt_still_allowed(self, request: Request, number: int) -> bool:
        """Whether an attempt that waited for its connection may still be sent.

        If so, it counts as sent now for the exposure limit.
        """
        now = self.runtime.now()
        attempt = request.attempts[number]
        server = attempt.server
        allowed = (
            not self.endpoints_are_stale(now)
            and server.ready
            and server.build == attempt.build
            and retries.retry_is_safe(request, server, now)
            and self._build_allowed(request, attempt.build, now, additional_attempts=0)
        )
        if allowed:
            self.exposure.update_attempt_time(request.route, attempt.build, attempt.counted_at, now)
            attempt.counted_at = now
        return allowed

    def _build_allowed(self, request: Request, build: int, now: float, additional_attempts: int) -> bool:
        """Whether affinity and the exposure limit allow this many additional attempts at the build."""
        if not self.affinity.allows(request, build):
            return False
        candidate = self.releases.unfinished_release(build)
        if candidate is None:
            return True
        return self.exposure.allows(request.route, build, candidate, now, additional_attempts)

    def _advance(self, request: Request) -> None:
        """Start the request's next attempt, or end the request at once: requests are never queued."""
        now = self.runtime.now()
        expected_latency = self.latencies.expected(now)
        deadline_reachable = admission.deadline_can_be_met(request, expected_latency, now)
        may_retry = not request.attempts or not self.retry_budget.is_exhausted
        server = self.pick(request, now) if deadline_reachable and may_retry else None
        if server is not None:
            request.settled = False
            self._begin_attempt(request, server, expected_latency, now)
            return
        request.settled = True
        self.canary.interval_requests -= 1
        self._reject_or_fail(request, deadline_reachable, now)

    def _begin_attempt(self, request: Request, server: Server, expected_latency: float, now: float) -> None:
        self.retry_budget.record_attempt(request)
        timeout = retries.attempt_timeout(request, self.settings.max_attempts, expected_latency, now)
        self.exposure.record_attempt(request.route, server.build, now)
        server.slow_start.attempts -= 1
        server.attempts_in_flight += 1
        self.concurrency.attempt_started(server.build)
        attempt = Attempt(server, now)
        self.affinity.attempt_started(request, attempt)
        request.attempts_in_flight.add(len(request.attempts))
        request.attempts.append(attempt)
        self.runtime.forward(request.id, server.id, timeout)

    def _reject_or_fail(self, request: Request, deadline_reachable: bool, now: float) -> None:
        self.rejection_reason = admission.rejection_reason(
            request,
            endpoints_stale=self.endpoints_are_stale(now),
            deadline_reachable=deadline_reachable,
            max_attempts=self.settings.max_attempts,
            budget_exhausted=self.retry_budget.is_exhausted,
        )
        if retries.client_may_retry(request):
            self.runtime.reject(request.id, admission.retry_after(self.settings.max_retry_after))
        else:
            self.runtime.fail(request.id)

    # Updates of the rules at the end of an attempt

    def _record_health(
        self, request: Request, attempt: Attempt, outcome: Outcome, latency: float, now: float
    ) -> None:
        self.connections.record(attempt, outcome)
        attempt.server.ejection.record(outcome, now, self.draw)
        relative_latency = latency / request.route.latency_objective
        self.latencies.record(attempt.server, outcome, relative_latency, now)

    def _record_sample(
        self, request: Request, attempt: Attempt, outcome: Outcome, latency: float, now: float
    ) -> None:
        if outcome not in COMPARED_OUTCOMES:
            return
        server, route = attempt.server, request.route
        weight = self.slow_start.weight(server.started_at, attempt.sent_at)
        failed = outcome is Outcome.ERROR
        if self.attribution:
            self.attribution.record_attempt(now, server, route, latency, weight, failed)
        self.canary.record_attempt(server, attempt.build, route, latency, weight, failed, now)

    def _record_load(
        self, request: Request, attempt: Attempt, outcome: Outcome, latency: float, now: float
    ) -> None:
        objective = request.route.latency_objective
        servers = len(self.endpoints.ready_by_build.get(attempt.build, ()))
        self.concurrency.attempt_ended(attempt.build, outcome, latency, objective, servers, now)

    # Evaluation of the candidates

    def evaluate(self) -> None:
        """Update the traffic split, compare candidates with the baseline, vote; schedule the next call."""
        self.runtime.call_after(EVALUATION_INTERVAL_SECONDS, self.evaluate)
        now = self.runtime.now()
        self.traffic_split.update(now)
        self.canary.begin_evaluation(now)
        if self.attribution:
            servers = self.endpoints.servers.values()
            votes = self.attribution.update(now, self.releases.candidates, servers)
            for candidate, vote, reason in votes:
                self.voting.cast(candidate, Evaluation(vote, reason, conclusive=True), now)
            return
        conditions = FleetConditions(self.traffic_split.warm_capacity, self.connections.suggest_network_fault)
        for candidate in self.releases.candidates:
            self._evaluate_one(candidate, conditions, now)

    def _evaluate_one(self, candidate: Candidate, conditions: FleetConditions, now: float) -> None:
        evaluation = self.canary.evaluate(candidate, conditions, now)
        if evaluation is not None:
            self.voting.cast(candidate, evaluation, now)

    def _prune_builds(self) -> None:
        """Drop the state of builds that are neither in release nor listed, so that memory stays bounded."""
        in_release = {candidate.build for candidate in self.releases.candidates}
        active_builds = in_release | self.endpoints.ready_by_build.keys()
        self.exposure.prune_builds(active_builds, self.runtime.now())
        self.concurrency.prune_builds(active_builds)
        self.affinity.prune_builds(in_release)
