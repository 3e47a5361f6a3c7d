"""Canary analysis: compares a candidate with the baseline over the same seconds.

The baseline consists of the builds that belong to no unfinished release.

A candidate is to be rolled back if one of these holds:

* It fails more often than the baseline on a route.
* Its servers are slower.
* The platform's metrics show that it is worse.
* All servers have become slower as its traffic share grew.

It is to be promoted if none of these holds and enough attempts succeeded. Times are latencies divided by the
route's latency objective, so that routes can be compared together.

Where two candidates may be in release at once, `attribution` evaluates them instead, with constants of its
own.
"""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Sequence
from dataclasses import dataclass
from math import inf, log, sqrt
from statistics import fmean, median

from gullmount.decisions import statistics
from gullmount.decisions.endpoints import EndpointTable, Server
from gullmount.decisions.metric_totals import MetricsReport
from gullmount.decisions.model import ROLLBACK_PHASES, InstanceSettings, Outcome, ReleasePhase, Route, Vote
from gullmount.decisions.releases import Candidate, Releases
from gullmount.decisions.slow_start import SlowStart
from gullmount.decisions.statistics import AttemptSample, BuildRoute, SamplesByRoute, TimesBySlice
from gullmount.decisions.voting import MIN_FAILURES, MIN_LATENCIES, Evaluation, EvidenceThresholds

EVALUATION_INTERVAL_SECONDS = 0.25

# Age up to which samples are compared. Long enough for instances with little traffic, short enough to notice
# a fault that sets in late.
COMPARISON_WINDOW_SECONDS = 20.0

# Bounds the samples of one route at one build, and with them the duration of an evaluation.
MAX_SAMPLES_PER_BUILD_ROUTE = 2000

# Only times of the same slice are compared. A slice is at least this long, which is shorter than an overload.
MIN_SLICE_SECONDS = 2.0

# Average number of samples in a slice, which sets its length where all routes are merged.
MEAN_SAMPLES_PER_SLICE = 4.0

# Number of baseline times from which on a slice is compared, and of times from which on a server is.
MIN_BASELINE_TIMES = 3

# By how much the candidate's share of failed attempts may exceed the baseline's.
FAILURE_SHARE_MARGIN = 0.02

# Bound on the candidate's times, as a multiple of the baseline's median.
MAX_LATENCY_RATIO = 1.5

# Bound on the times of all servers, as a multiple of the earlier times. Load alone may explain this much.
MAX_SHARED_LATENCY_RATIO = 1.5

# Weight of a slowdown of all servers after a release, in place of the traffic share.
POST_RELEASE_WEIGHT = 0.4

# Time after a release in which a slowdown of all servers still counts. The build gets all traffic only then.
POST_RELEASE_SECONDS = 5.0

# Time from the newest server's start until a vote to promote.
SETTLE_SECONDS = 3.0

# Further time after which an instance that saw too few attempts votes to promote, where many must agree.
LOW_EVIDENCE_DELAY_SECONDS = 2.0

# Further time after which successful attempts are conclusive without the votes of peers.
CONCLUSIVE_DELAY_SECONDS = 2.0

# Number of successful attempts that is enough to promote if no attempt failed.
MIN_SUCCEEDED_ATTEMPTS = 3

COMPARED_OUTCOMES = (Outcome.COMPLETED, Outcome.ERROR, Outcome.TIMEOUT)

# Takes the place of the latency of a failed attempt, or of one whose slow-start weight is below 1.
NO_LATENCY = -1.0


@dataclass(frozen=True, slots=True)
class FleetConditions:
    """Conditions that slow servers of any build.

    Attributes:
        warm_capacity: Share of the ready servers' capacity that is not missing due to slow start.
        network_fault: Whether so many connects fail that the network may be the cause of a slowdown.
    """

    warm_capacity: float
    network_fault: bool


@dataclass(frozen=True, slots=True)
class Comparison:
    """The samples to compare.

    Attributes:
        candidate: The candidate's samples, by route.
        baseline: The samples of the baseline builds, by route.
        slice_seconds: The length of one slice, in seconds.
    """

    candidate: SamplesByRoute
    baseline: SamplesByRoute
    slice_seconds: float


class CanaryAnalysis:
    """Collects the samples of one instance and evaluates candidates by them.

    Attributes:
        samples: The samples of ended attempts, by build and route.
        baseline_reports: The platform's newest metrics report on a baseline build, by route.
        interval_requests: Requests since the last evaluation. Requests that end without being served are
            subtracted, as clients send them again.
        requests_by_interval: The requests between two evaluations, newest last.
    """

    def __init__(
        self,
        settings: InstanceSettings,
        releases: Releases,
        endpoints: EndpointTable,
        slow_start: SlowStart,
        thresholds: EvidenceThresholds,
    ) -> None:
        self.settings = settings
        self.releases = releases
        self.endpoints = endpoints
        self.slow_start = slow_start
        self.thresholds = thresholds
        self.samples: dict[BuildRoute, deque[AttemptSample]] = defaultdict(
            lambda: deque(maxlen=MAX_SAMPLES_PER_BUILD_ROUTE)
        )
        self.baseline_reports: dict[str, MetricsReport] = {}
        self.interval_requests = 0
        self.requests_by_interval: deque[int] = deque(
            maxlen=round(COMPARISON_WINDOW_SECONDS / EVALUATION_INTERVAL_SECONDS)
        )

    def record_attempt(
        self,
        server: Server,
        build: int,
        route: Route,
        latency: float,
        weight: float,
        failed: bool,
        now: float,
    ) -> None:
        """Record an attempt that got a response or timed out at the server.

        A cold server is slow whatever its build. Its latency is therefore ignored or, where many votes add
        up, multiplied by the weight.

        Args:
            server: The server that the attempt was sent to.
            build: The build of the server when the attempt was sent.
            route: The request's route.
            latency: The latency in seconds.
            weight: The server's slow-start weight when the attempt began, from 0 to 1.
            failed: Whether the attempt failed.
            now: The time in seconds on the runtime's clock.
        """
        has_no_latency = failed or (weight < 1 and not self.thresholds.needs_many_votes)
        time = NO_LATENCY if has_no_latency else latency * weight / route.latency_objective
        self.samples[BuildRoute(build, route.name)].append(AttemptSample(now, time, failed, server.id))

    def record_metrics(self, build: int, route: str, report: MetricsReport, ended_at: float) -> None:
        """Record the platform's metrics report on a route at a build.

        `ended_at` is the end of the report's period, in seconds on the runtime's clock.
        """
        candidate = self.releases.find(build)
        is_baseline = build < self.releases.newest.build and self.releases.unfinished_release(build) is None
        if is_baseline and report.attempts >= MIN_BASELINE_TIMES:
            self.baseline_reports[route] = report
        elif candidate is None or candidate.phase is not ReleasePhase.CANDIDATE:
            return
        elif report.attempts and route in self.baseline_reports:
            mean_weight = self._mean_weight(candidate, ended_at - self.settings.release.metrics_period / 2)
            adjusted_report = MetricsReport(report.attempts, report.lost, report.mean_time * mean_weight)
            candidate.evidence.metrics.add(adjusted_report, self.baseline_reports[route])

    def begin_evaluation(self, now: float) -> None:
        """End the interval since the last evaluation, and drop the samples that are too old to compare."""
        self.requests_by_interval.append(self.interval_requests)
        self.interval_requests = 0
        for key, samples in list(self.samples.items()):
            while samples and samples[0].at < now - COMPARISON_WINDOW_SECONDS:
                samples.popleft()
            if not samples:
                del self.samples[key]

    def record_baseline(self, candidate: Candidate) -> None:
        """Record the times and the load from before the candidate as its baseline.

        Without enough earlier times, the first ones after its start take their place.
        """
        evidence = candidate.evidence
        if sum(map(len, evidence.baseline_times.values())) < self.thresholds.min_latencies:
            evidence.baseline_times = statistics.times_since(self.samples, 0.0)
            evidence.baseline_load = fmean(self.requests_by_interval or [0])

    def evaluate(self, candidate: Candidate, conditions: FleetConditions, now: float) -> Evaluation | None:
        """Compare the candidate with the baseline; return the vote to cast, or None for no vote."""
        is_recent = (
            candidate.phase is ReleasePhase.CANDIDATE or now - candidate.released_at < POST_RELEASE_SECONDS
        )
        has_samples = any(build == candidate.build for build, _ in self.samples)
        if candidate.phase in ROLLBACK_PHASES or not (is_recent or has_samples):
            return None
        comparison = self._comparison(candidate, now)
        failing_now = self._failing_routes(comparison)
        candidate.failing_routes |= failing_now
        self._accumulate_shared_slowdown(candidate, conditions, comparison.slice_seconds, now)
        all_servers_slower = candidate.evidence.shared_slowdown >= self.thresholds.shared_slowdown
        slower = self._servers_are_slower(comparison)
        worse_metrics = candidate.evidence.metrics.is_worse()
        if failing_now or slower or worse_metrics or (all_servers_slower and is_recent):
            reason = (
                f"failing routes: {sorted(failing_now)}, servers slower: {slower}, "
                f"metrics worse: {worse_metrics}, all servers slower: {all_servers_slower}"
            )
            return Evaluation(Vote.ROLLBACK, reason, self._fail_conclusively(failing_now, comparison))
        if candidate.phase is ReleasePhase.CANDIDATE and not self.settings.release.advances_by_timer:
            return self._promotion(candidate, comparison, now)
        return None

    def _mean_weight(self, candidate: Candidate, at: float) -> float:
        """Return the mean slow-start weight of the candidate's ready servers at the given time."""
        weights = [
            self.slow_start.weight(server.started_at, at)
            for build, servers in self.endpoints.ready_by_build.items()
            if self.releases.unfinished_release(build) is candidate
            for server in servers
            if server.age(at) > 0
        ]
        return sum(weights) / len(weights) if weights else self.settings.cold_capacity

    def _comparison(self, candidate: Candidate, now: float) -> Comparison:
        candidate_samples = {
            route: self.samples.get(BuildRoute(candidate.build, route), ()) for route in self.settings.routes
        }
        slice_seconds = self._slice_seconds()
        window_start = (
            min((samples[0].at for samples in candidate_samples.values() if samples), default=now)
            - slice_seconds
        )
        baseline_builds = {
            build
            for build, _ in self.samples
            if build != candidate.build and not self.releases.unfinished_release(build)
        }
        baseline = {
            route: statistics.samples_of_builds(self.samples, baseline_builds, route, window_start)
            for route in candidate_samples
        }
        return Comparison(candidate_samples, baseline, slice_seconds)

    def _slice_seconds(self) -> float:
        if not self.thresholds.needs_many_votes:
            return MIN_SLICE_SECONDS
        rate = (sum(map(len, self.samples.values())) + 1) / COMPARISON_WINDOW_SECONDS
        return max(MIN_SLICE_SECONDS, MEAN_SAMPLES_PER_SLICE / rate)

    def _failing_routes(self, comparison: Comparison) -> set[str]:
        failures_needed = self.thresholds.min_failures
        return {
            route
            for route, samples in comparison.candidate.items()
            if self._fails_more(samples, comparison.baseline[route], failures_needed)
        }

    def _fail_conclusively(self, failing_now: set[str], comparison: Comparison) -> bool:
        return any(
            self._fails_more(comparison.candidate[route], comparison.baseline[route], MIN_FAILURES)
            for route in failing_now
        )

    def _fails_more(
        self, samples: Sequence[AttemptSample], baseline: Sequence[AttemptSample], failures_needed: int
    ) -> bool:
        """Return whether the candidate fails more than the baseline, even without the servers that fail most.

        With fewer than `failures_needed` failures the result is False.
        """
        if sum(sample.failed for sample in samples) < failures_needed:
            return False
        counts = statistics.count_by_server(samples)
        counts = counts[self.thresholds.excluded_servers(len(counts)) :]
        failed = sum(count.failed for count in counts)
        if failed < failures_needed:
            return False
        baseline_share = sum(sample.failed for sample in baseline) / len(baseline) if baseline else 0.0
        return failed / sum(count.total for count in counts) > baseline_share + FAILURE_SHARE_MARGIN

    def _servers_are_slower(self, comparison: Comparison) -> bool:
        """Return whether the candidate's servers are slower than the baseline's.

        Two tests must agree: the one compares all times, the other the servers, each with the same weight.
        The fastest servers get most of the requests. A candidate with few servers would therefore appear
        slower by its times alone.
        """
        excluded_count = self.thresholds.excluded_servers
        candidate_samples = statistics.exclude_slowest_servers(comparison.candidate, excluded_count)
        baseline = statistics.exclude_slowest_servers(comparison.baseline, excluded_count)
        candidate_times = statistics.times_by_slice(candidate_samples, comparison.slice_seconds)
        baseline_times = statistics.times_by_slice(baseline, comparison.slice_seconds)
        if self._latency_ratio(candidate_times, baseline_times) <= MAX_LATENCY_RATIO:
            return False
        log_ratio = statistics.difference_between_servers(
            comparison.candidate, comparison.baseline, MIN_BASELINE_TIMES
        )
        return log_ratio.mean > self.thresholds.standard_errors * log_ratio.standard_error

    def _latency_ratio(self, times: TimesBySlice, baseline: TimesBySlice) -> float:
        """Return how many times the baseline's times are exceeded, over all routes and slices.

        The result is 1 if there are too few times or the difference is not significant.
        """
        if self.thresholds.needs_many_votes:
            times = statistics.merge_routes(times)
            baseline = statistics.merge_routes(baseline)
        if sum(map(len, times.values())) < self.thresholds.min_latencies:
            return 1.0
        test_result = statistics.rank_test(times, baseline, MIN_BASELINE_TIMES)
        if len(test_result.ratios) < self.thresholds.min_latencies:
            return 1.0
        if test_result.surplus <= self.thresholds.standard_errors * sqrt(test_result.variance):
            return 1.0
        return median(test_result.ratios)

    def _accumulate_shared_slowdown(
        self, candidate: Candidate, conditions: FleetConditions, slice_seconds: float, now: float
    ) -> None:
        """Add to the candidate's shared slowdown by how much all servers are slower than before it.

        Missing capacity of cold servers and a grown load explain a part of the slowdown, which is not
        attributed to the candidate. The rest is summed over time, so that one bad slice is not enough.
        """
        evidence = candidate.evidence
        recent_times = statistics.times_since(self.samples, now - 2 * slice_seconds)
        interval_count = round(2 * slice_seconds / EVALUATION_INTERVAL_SECONDS)
        load_growth = fmean(list(self.requests_by_interval)[-interval_count:]) / (
            evidence.baseline_load or inf
        )
        latency_ratio = self._latency_ratio(recent_times, evidence.baseline_times)
        explained_ratio = MAX_SHARED_LATENCY_RATIO * max(1.0, load_growth)
        excess = log(latency_ratio * conditions.warm_capacity / explained_ratio)
        if conditions.network_fault:
            excess = min(0.0, excess)
        is_candidate = candidate.phase is ReleasePhase.CANDIDATE
        weight = candidate.traffic_share if is_candidate else POST_RELEASE_WEIGHT
        increment = excess * weight * EVALUATION_INTERVAL_SECONDS
        evidence.shared_slowdown = max(0.0, evidence.shared_slowdown + increment)

    def _promotion(self, candidate: Candidate, comparison: Comparison, now: float) -> Evaluation | None:
        """Return a vote to promote the candidate, or None.

        Its servers must have run for a while, enough attempts must have succeeded, and nothing may speak
        against the candidate.
        """
        ages = [server.age(now) for server in self.endpoints.ready_by_build.get(candidate.build, ())]
        if not ages or min(ages) < SETTLE_SECONDS or candidate.evidence.shared_slowdown:
            return None
        youngest_age = min(ages)
        failed = sum(sample.failed for samples in comparison.candidate.values() for sample in samples)
        succeeded = sum(map(len, comparison.candidate.values())) - failed
        if not self._has_enough_attempts(succeeded, failed, youngest_age) or self._has_excess_failures(
            comparison
        ):
            return None
        conclusive_age = SETTLE_SECONDS + LOW_EVIDENCE_DELAY_SECONDS + CONCLUSIVE_DELAY_SECONDS
        conclusive = succeeded >= MIN_SUCCEEDED_ATTEMPTS and youngest_age > conclusive_age
        return Evaluation(Vote.PROMOTE, f"attempts succeeded: {succeeded}, failed: {failed}", conclusive)

    def _has_enough_attempts(self, succeeded: int, failed: int, youngest_age: float) -> bool:
        """Return whether there were enough attempts for a vote to promote.

        `youngest_age` is the age of the candidate's newest server, in seconds.
        """
        if succeeded >= MIN_LATENCIES:
            return True
        if failed:
            return False
        many_must_agree = self.thresholds.pools_peer_votes or self.settings.release.votes_to_promote > 1
        may_promote = many_must_agree and youngest_age >= SETTLE_SECONDS + LOW_EVIDENCE_DELAY_SECONDS
        return may_promote or succeeded >= MIN_SUCCEEDED_ATTEMPTS

    def _has_excess_failures(self, comparison: Comparison) -> bool:
        return any(
            self._fails_more(samples, comparison.baseline[route], 1)
            for route, samples in comparison.candidate.items()
        )
