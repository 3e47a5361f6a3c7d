"""Canary analysis: a candidate against the baseline, over the same seconds.

A candidate is to be rolled back if it fails more than the baseline on a route, if its servers are slower,
if the platform's metrics say so, or if all servers have slowed with its traffic share. It is to be promoted
if nothing of that holds and enough clean attempts were seen. Times are in latency objectives, so that
routes can be mixed.

Where two candidates may be in release `attribution` judges instead, by constants of its own.
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
COMPARISON_WINDOW_SECONDS = 20.0  # of samples; long enough for small instances, short enough for a late onset
MAX_SAMPLES_PER_BUILD_ROUTE = 2000  # of a route at a build, so that an evaluation stays short
MIN_SLICE_SECONDS = 2.0  # whose times are compared, at least: shorter than an overload
MEAN_SAMPLES_PER_SLICE = 4.0  # of a route in a slice, on average
MIN_BASELINE_TIMES = 3  # that make a slice or a server count

FAILURE_SHARE_MARGIN = 0.02  # as a share of the attempts
MAX_LATENCY_RATIO = 1.5  # times the baseline's median

MAX_SHARED_LATENCY_RATIO = 1.5  # times the baseline times, which load alone may bring
POST_RELEASE_WEIGHT = 0.4  # of a slowdown after a release, in place of the traffic share
POST_RELEASE_SECONDS = 5.0  # after a release in which a slowdown counts: only then all traffic is there

SETTLE_SECONDS = 3.0  # from the newest server's start until a vote to promote
# After this much more time, an instance that saw too little promotes where many must agree.
LOW_EVIDENCE_DELAY_SECONDS = 2.0
CONCLUSIVE_DELAY_SECONDS = 2.0  # more, after which clean attempts are enough without peers
MIN_SUCCEEDED_ATTEMPTS = 3  # that allow to promote where nothing failed

COMPARED_OUTCOMES = (Outcome.COMPLETED, Outcome.ERROR, Outcome.TIMEOUT)
NO_LATENCY = -1.0  # in place of the latency of a failure, or of an attempt whose weight is below 1


@dataclass(frozen=True, slots=True)
class FleetConditions:
    """What may slow servers whatever their build."""

    warm_capacity: float
    """Share of the ready servers' capacity that is not missing to slow start."""
    network_fault: bool
    """Whether so many connects fail that slowness may come from the network."""


@dataclass(frozen=True, slots=True)
class Comparison:
    """The samples of a candidate and of the builds that serve, by route."""

    candidate: SamplesByRoute
    baseline: SamplesByRoute
    slice_seconds: float
    """Seconds of one slice."""


class CanaryAnalysis:
    """The samples of one instance and what they say of a candidate."""

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
        """The newest report of the platform's metrics on builds that serve, by route."""
        self.interval_requests = 0
        """Requests since the last evaluation, less those that ended unserved: clients send these again."""
        self.requests_by_interval: deque[int] = deque(
            maxlen=round(COMPARISON_WINDOW_SECONDS / EVALUATION_INTERVAL_SECONDS)
        )
        """Requests between evaluations, the newest last."""

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
        """Take in an attempt that its server answered or kept until the timeout.

        `latency` is in seconds, `weight` the server's slow-start weight as the attempt began. A cold server
        is slow whatever its build: its time says nothing or, where many votes add up, counts by the weight.
        """
        has_no_latency = failed or (weight < 1 and not self.thresholds.needs_many_votes)
        time = NO_LATENCY if has_no_latency else latency * weight / route.latency_objective
        self.samples[BuildRoute(build, route.name)].append(AttemptSample(now, time, failed, server.id))

    def record_metrics(self, build: int, route: str, report: MetricsReport, ended_at: float) -> None:
        """Take in the platform's report on a route at a build, whose period ended at `ended_at` seconds."""
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
        """Close the interval since the last evaluation and drop the samples that are too old to compare."""
        self.requests_by_interval.append(self.interval_requests)
        self.interval_requests = 0
        for key, samples in list(self.samples.items()):
            while samples and samples[0].at < now - COMPARISON_WINDOW_SECONDS:
                samples.popleft()
            if not samples:
                del self.samples[key]

    def record_baseline(self, candidate: Candidate) -> None:
        """Remember what was usual before the candidate; without enough of it, the first times must do."""
        evidence = candidate.evidence
        if sum(map(len, evidence.baseline_times.values())) < self.thresholds.min_latencies:
            evidence.baseline_times = statistics.times_since(self.samples, 0.0)
            evidence.baseline_load = fmean(self.requests_by_interval or [0])

    def evaluate(self, candidate: Candidate, conditions: FleetConditions, now: float) -> Evaluation | None:
        """Compare the candidate with the builds that serve; return the vote to cast, None for none."""
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
                f"failing routes {sorted(failing_now)}, slower {slower}, "
                f"worse metrics {worse_metrics}, all servers slower {all_servers_slower}"
            )
            return Evaluation(Vote.ROLLBACK, reason, self._fail_conclusively(failing_now, comparison))
        if candidate.phase is ReleasePhase.CANDIDATE and not self.settings.release.advances_by_timer:
            return self._promotion(candidate, comparison, now)
        return None

    def _mean_weight(self, candidate: Candidate, at: float) -> float:
        """Return the mean slow-start weight, at that moment, of the candidate's ready servers."""
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
        """Whether the candidate fails more, even without the servers that fail most.

        With fewer than `failures_needed` failures it does not.
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
        """Whether the candidate's servers are slower, each counting alike.

        The quickest servers get most requests: where the candidate has few, its times alone would read as
        slower.
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
        """Return how many times slower the one is, all routes and slices together; 1 in doubt."""
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
        """Add up by how much all servers have slowed since before the candidate, beyond what load explains.

        Cold servers take capacity away, and the load grows: as much slowness is not the candidate's.
        The excess is summed over time, so that one bad slice is not enough.
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
        """Return a vote to promote if the servers have settled, enough was seen and nothing gives a doubt."""
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
        return Evaluation(Vote.PROMOTE, f"clean attempts {succeeded}, failed {failed}", conclusive)

    def _has_enough_attempts(self, succeeded: int, failed: int, youngest_age: float) -> bool:
        """Whether so many attempts allow a vote to promote; `youngest_age` is the newest server's."""
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
