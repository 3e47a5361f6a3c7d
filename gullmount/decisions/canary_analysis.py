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
from gullmount.decisions.statistics import AttemptSample, BuildRoute, SamplesByRoute, Times
from gullmount.decisions.voting import MIN_FAILURES, MIN_LATENCIES, Evaluation, EvidenceThresholds

EVALUATION_INTERVAL_SECONDS = 0.25
COMPARED_SECONDS = 20.0  # of samples; long enough for small instances, short enough for a late onset
MAX_SAMPLES = 2000  # of a route at a build, so that an evaluation stays short
SLICE_SECONDS = 2.0  # whose times are compared, at least: shorter than an overload
SLICE_SAMPLES = 4.0  # of a route in a slice, on average
MIN_BASELINE_TIMES = 3  # that make a slice or a server count

FAILURE_SHARE_MARGIN = 0.02  # as a share of the attempts
SLOWER_RATIO = 1.5  # times the baseline's median

SHARED_SLOWER_RATIO = 1.5  # times the baseline times, which load alone may bring
RELEASED_WEIGHT = 0.4  # of a slowdown after a release, in place of the traffic share
RELEASED_SECONDS = 5.0  # after a release in which a slowdown counts: only then all traffic is there

SETTLE_SECONDS = 3.0  # from the newest server's start until a vote to promote
CONSENT_SECONDS = 2.0  # more, after which an instance that saw too little promotes where many must agree
CONCLUSIVE_SECONDS = 2.0  # more, after which clean attempts are enough without peers
MIN_CLEAN_ATTEMPTS = 3  # that allow to promote where nothing failed

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
    span: float
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
        self.samples: dict[BuildRoute, deque[AttemptSample]] = defaultdict(lambda: deque(maxlen=MAX_SAMPLES))
        self.baseline_reports: dict[str, MetricsReport] = {}
        """The newest report of the platform's metrics on builds that serve, by route."""
        self.interval_requests = 0
        """Requests since the last evaluation, less those that ended unserved: clients send these again."""
        self.loads: deque[int] = deque(maxlen=round(COMPARED_SECONDS / EVALUATION_INTERVAL_SECONDS))
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
        has_no_latency = failed or (weight < 1 and not self.thresholds.evidence_is_spread)
        time = NO_LATENCY if has_no_latency else latency * weight / route.latency_objective
        self.samples[BuildRoute(build, route.name)].append(AttemptSample(now, time, failed, server.id))

    def record_metrics(self, build: int, route: str, report: MetricsReport, ended_at: float) -> None:
        """Take in the platform's report on a route at a build, whose period ended at `ended_at` seconds."""
        candidate = self.releases.find(build)
        serves = build < self.releases.newest.build and self.releases.unfinished_release(build) is None
        if serves and report.attempts >= MIN_BASELINE_TIMES:
            self.baseline_reports[route] = report
        elif candidate is None or candidate.phase is not ReleasePhase.CANDIDATE:
            return
        elif report.attempts and route in self.baseline_reports:
            warm = self._mean_weight(candidate, ended_at - self.settings.release.metrics_period / 2)
            warmed = MetricsReport(report.attempts, report.lost, report.mean_time * warm)
            candidate.evidence.metrics.add(warmed, self.baseline_reports[route])

    def begin_evaluation(self, now: float) -> None:
        """Close the interval since the last evaluation and drop the samples that are too old to compare."""
        self.loads.append(self.interval_requests)
        self.interval_requests = 0
        for key, samples in list(self.samples.items()):
            while samples and samples[0].at < now - COMPARED_SECONDS:
                samples.popleft()
            if not samples:
                del self.samples[key]

    def record_baseline(self, candidate: Candidate) -> None:
        """Remember what was usual before the candidate; without enough of it, the first times must do."""
        evidence = candidate.evidence
        if sum(map(len, evidence.baseline_times.values())) < self.thresholds.min_latencies:
            evidence.baseline_times = statistics.times_since(self.samples, 0.0)
            evidence.baseline_load = fmean(self.loads or [0])

    def evaluate(self, candidate: Candidate, conditions: FleetConditions, now: float) -> Evaluation | None:
        """Compare the candidate with the builds that serve; return the vote to cast, None for none."""
        young = candidate.phase is ReleasePhase.CANDIDATE or now - candidate.released_at < RELEASED_SECONDS
        seen = any(build == candidate.build for build, _ in self.samples)
        if candidate.phase in ROLLBACK_PHASES or not (young or seen):
            return None
        comparison = self._comparison(candidate, now)
        failing = self._failing_routes(comparison)
        candidate.failing_routes |= failing
        self._note_shared_slowdown(candidate, conditions, comparison.span, now)
        all_slower = candidate.evidence.shared_slowdown >= self.thresholds.shared_slowdown
        slower = self._servers_are_slower(comparison)
        worse_metrics = candidate.evidence.metrics.is_worse()
        if failing or slower or worse_metrics or (all_slower and young):
            reason = (
                f"failing routes {sorted(failing)}, slower {slower}, "
                f"worse metrics {worse_metrics}, all servers slower {all_slower}"
            )
            return Evaluation(Vote.ROLLBACK, reason, self._fail_conclusively(failing, comparison))
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
        own = {
            route: self.samples.get(BuildRoute(candidate.build, route), ()) for route in self.settings.routes
        }
        span = self._slice_seconds()
        since = min((samples[0].at for samples in own.values() if samples), default=now) - span
        serving = {
            build
            for build, _ in self.samples
            if build != candidate.build and not self.releases.unfinished_release(build)
        }
        baseline = {route: statistics.samples_of_builds(self.samples, serving, route, since) for route in own}
        return Comparison(own, baseline, span)

    def _slice_seconds(self) -> float:
        if not self.thresholds.evidence_is_spread:
            return SLICE_SECONDS
        rate = (sum(map(len, self.samples.values())) + 1) / COMPARED_SECONDS
        return max(SLICE_SECONDS, SLICE_SAMPLES / rate)

    def _failing_routes(self, comparison: Comparison) -> set[str]:
        least = self.thresholds.min_failures
        return {
            route
            for route, samples in comparison.candidate.items()
            if self._fails_more(samples, comparison.baseline[route], least)
        }

    def _fail_conclusively(self, failing: set[str], comparison: Comparison) -> bool:
        return any(
            self._fails_more(comparison.candidate[route], comparison.baseline[route], MIN_FAILURES)
            for route in failing
        )

    def _fails_more(
        self, samples: Sequence[AttemptSample], baseline: Sequence[AttemptSample], least: int
    ) -> bool:
        """Whether the candidate fails more, even without the servers that fail most.

        With fewer than `least` failures it does not.
        """
        if sum(sample.failed for sample in samples) < least:
            return False
        counts = statistics.count_by_server(samples)
        counts = counts[self.thresholds.spared_servers(len(counts)) :]
        failed = sum(count.failed for count in counts)
        if failed < least:
            return False
        baseline_share = sum(sample.failed for sample in baseline) / len(baseline) if baseline else 0.0
        return failed / sum(count.total for count in counts) > baseline_share + FAILURE_SHARE_MARGIN

    def _servers_are_slower(self, comparison: Comparison) -> bool:
        """Whether the candidate's servers are slower, each counting alike.

        The quickest servers get most requests: where the candidate has few, its times alone would read as
        slower.
        """
        spared = self.thresholds.spared_servers
        own = statistics.without_slowest(comparison.candidate, spared)
        baseline = statistics.without_slowest(comparison.baseline, spared)
        own_times = statistics.slice_times(own, comparison.span)
        baseline_times = statistics.slice_times(baseline, comparison.span)
        if self._slowness(own_times, baseline_times) <= SLOWER_RATIO:
            return False
        difference = statistics.difference_between_servers(
            comparison.candidate, comparison.baseline, MIN_BASELINE_TIMES
        )
        return difference.mean > self.thresholds.standard_errors * difference.standard_error

    def _slowness(self, times: Times, baseline: Times) -> float:
        """Return how many times slower the one is, all routes and slices together; 1 in doubt."""
        if self.thresholds.evidence_is_spread:
            times = statistics.merge_routes(times)
            baseline = statistics.merge_routes(baseline)
        if sum(map(len, times.values())) < self.thresholds.min_latencies:
            return 1.0
        test = statistics.rank_test(times, baseline, MIN_BASELINE_TIMES)
        if len(test.ratios) < self.thresholds.min_latencies:
            return 1.0
        if test.surplus <= self.thresholds.standard_errors * sqrt(test.variance):
            return 1.0
        return median(test.ratios)

    def _note_shared_slowdown(
        self, candidate: Candidate, conditions: FleetConditions, span: float, now: float
    ) -> None:
        """Add up by how much all servers have slowed since before the candidate, beyond what load explains.

        Cold servers take capacity away, and the load grows: as much slowness is not the candidate's.
        The excess is summed over time, so that one bad slice is not enough.
        """
        evidence = candidate.evidence
        recent = statistics.times_since(self.samples, now - 2 * span)
        intervals = round(2 * span / EVALUATION_INTERVAL_SECONDS)
        load_growth = fmean(list(self.loads)[-intervals:]) / (evidence.baseline_load or inf)
        slowness = self._slowness(recent, evidence.baseline_times)
        explained = SHARED_SLOWER_RATIO * max(1.0, load_growth)
        excess = log(slowness * conditions.warm_capacity / explained)
        if conditions.network_fault:
            excess = min(0.0, excess)
        is_candidate = candidate.phase is ReleasePhase.CANDIDATE
        weight = candidate.traffic_share if is_candidate else RELEASED_WEIGHT
        added = excess * weight * EVALUATION_INTERVAL_SECONDS
        evidence.shared_slowdown = max(0.0, evidence.shared_slowdown + added)

    def _promotion(self, candidate: Candidate, comparison: Comparison, now: float) -> Evaluation | None:
        """Return a vote to promote if the servers have settled, enough was seen and nothing gives a doubt."""
        ages = [server.age(now) for server in self.endpoints.ready_by_build.get(candidate.build, ())]
        if not ages or min(ages) < SETTLE_SECONDS or candidate.evidence.shared_slowdown:
            return None
        youngest = min(ages)
        failed = sum(sample.failed for samples in comparison.candidate.values() for sample in samples)
        clean = sum(map(len, comparison.candidate.values())) - failed
        if not self._saw_enough(clean, failed, youngest) or self._gives_doubt(comparison):
            return None
        conclusive_age = SETTLE_SECONDS + CONSENT_SECONDS + CONCLUSIVE_SECONDS
        conclusive = clean >= MIN_CLEAN_ATTEMPTS and youngest > conclusive_age
        return Evaluation(Vote.PROMOTE, f"clean attempts {clean}, failed {failed}", conclusive)

    def _saw_enough(self, clean: int, failed: int, youngest: float) -> bool:
        """Whether so many attempts allow a vote to promote; `youngest` is the newest server's age in s."""
        if clean >= MIN_LATENCIES:
            return True
        if failed:
            return False
        many_must_agree = self.thresholds.pools_peer_votes or self.settings.release.votes_to_promote > 1
        consents = many_must_agree and youngest >= SETTLE_SECONDS + CONSENT_SECONDS
        return consents or clean >= MIN_CLEAN_ATTEMPTS

    def _gives_doubt(self, comparison: Comparison) -> bool:
        return any(
            self._fails_more(samples, comparison.baseline[route], 1)
            for route, samples in comparison.candidate.items()
        )
