"""What is held against one build beside the baseline, and whether a candidate was seen well enough.

A build is blamed only where chance is as good as excluded over all evaluations and tests of a release. Far
less is enough to hold it at its stage.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import log2, sqrt
from typing import NamedTuple

from gullmount.decisions.attribution.comparison import (
    FailureComparison,
    IsBaseline,
    LatencyComparison,
    ServerLatencies,
    compare_failures,
)
from gullmount.decisions.attribution.evidence import Sample
from gullmount.decisions.attribution.findings import Cause, Finding, Symptom
from gullmount.decisions.attribution.views import CandidateView, ServerView

FALSE_ALARM_PROBABILITY = 0.01  # that healthy builds are blamed in a release, over all evaluations and tests
INDEPENDENT_EVALUATIONS = 4.0  # of changing evidence, as many as a release has
TESTS_PER_SEGMENT = 4  # failures and latency, over the long and the short span
HOLD_SIGNIFICANCE = 0.03  # by chance; below it a build is held, though not blamed
MIN_FAILURE_EXCESS = 0.02  # of a build's share of failures over the baseline's, for it to be blamed
MIN_FAILURES = 2  # for a build to be blamed: a single one may be a broken request
MIN_LATENCY_RATIO = 1.5  # of a build's latency to the baseline's, for it to be blamed
MIN_BASELINE_ATTEMPTS = 15  # with fewer the other candidate is compared with too
SETTLING_SECONDS = 3.0  # seconds after the newest server's start before a promotion
MIN_SUCCESSFUL_ATTEMPTS = 20  # that allow a promotion
MIN_FAILURE_FREE_ATTEMPTS = 5  # that allow one where none failed, after EXTRA_SETTLING_SECONDS
EXTRA_SETTLING_SECONDS = 2.0  # seconds
MAX_UNDETECTED_SLOWDOWN_OCTAVES = 1.1  # octaves; a build that may be slower than that wasn't seen well enough
ONE_SIDED_95_PERCENT_Z_SCORE = 1.64  # standard deviations


class Baseline(NamedTuple):
    """Which builds one build is compared with.

    Attributes:
        includes: Whether a build belongs to the baseline.
        excluded_build: The build left out beside those that don't serve; 0 where it is one of them.
    """

    includes: IsBaseline
    excluded_build: int


def choose_baseline(samples: Iterable[Sample], build: int, unreleased_builds: set[int]) -> Baseline:
    """Choose what the build is compared with: what serves, or all others where too little serves."""
    excluded = unreleased_builds | {build}
    attempts = sum(sums.attempts for _, key, sums in samples if key.build not in excluded)
    if attempts < MIN_BASELINE_ATTEMPTS:
        return Baseline(lambda other: other != build, build)
    if build in unreleased_builds:
        return Baseline(lambda other: other not in unreleased_builds, 0)
    return Baseline(lambda other: other not in excluded, build)


@dataclass(frozen=True)
class CheckResult:
    """What is held against a build: findings blame it, a doubt holds it at its stage."""

    findings: list[Finding]
    should_hold: bool


def check_build(
    samples: Sequence[Sample],
    latencies: ServerLatencies,
    build: int,
    is_baseline: IsBaseline,
    evaluator_count: int,
) -> CheckResult:
    """Compare a build with its baseline, as a whole and by zone and route.

    Args:
        samples: The samples, added up over their slices.
        latencies: The latencies of all servers against the same baseline.
        build: The build to check.
        is_baseline: Whether a build belongs to the baseline.
        evaluator_count: Number of instances that evaluate; all of them together keep to the probability of
            a false alarm.
    """
    own_keys = [key for _, key, _ in samples if key.build == build]
    zones = sorted({key.zone for key in own_keys})
    routes = sorted({key.route for key in own_keys})
    tests = TESTS_PER_SEGMENT * (1 + len(zones) + len(routes))
    significance = FALSE_ALARM_PROBABILITY / (INDEPENDENT_EVALUATIONS * max(1, evaluator_count) * tests)
    failures = _compare_all_failures(samples, build, is_baseline, zones, routes)
    slowdowns = {zone: latencies.compare(build, zone) for zone in ["", *zones]}
    possible_findings = (
        _failure_finding(build, failures, significance),
        _latency_finding(build, slowdowns, zones, significance),
    )
    findings = [finding for finding in possible_findings if finding is not None]
    return CheckResult(findings, _should_hold(failures, slowdowns))


class _FailureComparisons(NamedTuple):
    whole: FailureComparison
    by_zone: dict[str, FailureComparison]
    by_route: dict[str, FailureComparison]

    @property
    def all(self) -> list[FailureComparison]:
        return [self.whole, *self.by_zone.values(), *self.by_route.values()]


def _compare_all_failures(
    samples: Sequence[Sample],
    build: int,
    is_baseline: IsBaseline,
    zones: Sequence[str],
    routes: Sequence[str],
) -> _FailureComparisons:
    by_zone = {
        zone: compare_failures([sample for sample in samples if sample.key.zone == zone], build, is_baseline)
        for zone in zones
    }
    by_route = {
        route: compare_failures(
            [sample for sample in samples if sample.key.route == route], build, is_baseline
        )
        for route in routes
    }
    return _FailureComparisons(compare_failures(samples, build, is_baseline), by_zone, by_route)


def _failure_finding(build: int, failures: _FailureComparisons, significance: float) -> Finding | None:
    most_significant = min(failures.all, key=lambda result: result.p_value)
    if most_significant.failed < MIN_FAILURES or most_significant.excess <= MIN_FAILURE_EXCESS:
        return None
    if most_significant.p_value >= significance:
        return None
    return Finding(
        Cause.BUILD,
        build,
        Symptom.FAILS,
        zone=only_failing_segment(failures.by_zone),
        route=only_failing_segment(failures.by_route),
        confidence=1 - most_significant.p_value,
        figures=most_significant.summary(),
        attempts=failures.whole.attempts,
    )


def _latency_finding(
    build: int, slowdowns: Mapping[str, LatencyComparison], zones: Sequence[str], significance: float
) -> Finding | None:
    most_significant = min(slowdowns.values(), key=lambda result: result.p_value)
    if most_significant.ratio <= MIN_LATENCY_RATIO or most_significant.p_value >= significance:
        return None
    return Finding(
        Cause.BUILD,
        build,
        Symptom.SLOW,
        zone=_only_slow_zone(zones, slowdowns),
        confidence=1 - most_significant.p_value,
        figures=most_significant.summary(),
        attempts=most_significant.timed,
    )


def only_failing_segment(failures: Mapping[str, FailureComparison]) -> str:
    """Return the one zone or route that fails where the others were seen well enough; empty for none."""
    failing_segments = [segment for segment, comparison in failures.items() if comparison.failed]
    if len(failing_segments) != 1 or len(failures) == 1:
        return ""
    segment = failing_segments[0]
    failure_rate = failures[segment].failed / failures[segment].attempts
    other_attempts = sum(comparison.attempts for other, comparison in failures.items() if other != segment)
    return segment if (1 - failure_rate) ** other_attempts < HOLD_SIGNIFICANCE else ""


def _only_slow_zone(zones: Sequence[str], slowdowns: Mapping[str, LatencyComparison]) -> str:
    slow_zones = [zone for zone in zones if slowdowns[zone].p_value < HOLD_SIGNIFICANCE]
    if len(slow_zones) != 1:
        return ""
    other_comparisons = (slowdowns[zone] for zone in zones if zone != slow_zones[0])
    has_healthy_zone = any(
        result.p_value > HOLD_SIGNIFICANCE and result.timed >= MIN_FAILURE_FREE_ATTEMPTS
        for result in other_comparisons
    )
    return slow_zones[0] if has_healthy_zone else ""


def _should_hold(failures: _FailureComparisons, slowdowns: Mapping[str, LatencyComparison]) -> bool:
    if any(result.failed and result.p_value < HOLD_SIGNIFICANCE for result in failures.all):
        return True
    if any(is_slowdown_likely(result) for result in slowdowns.values()):
        return True
    return not rules_out_large_slowdown(slowdowns[""])


def is_slowdown_likely(comparison: LatencyComparison) -> bool:
    """Whether a slowdown is probable enough to hold the build."""
    return comparison.p_value < HOLD_SIGNIFICANCE and comparison.ratio > sqrt(MIN_LATENCY_RATIO)


def rules_out_large_slowdown(comparison: LatencyComparison) -> bool:
    """Whether enough was seen to exclude that the build is far slower, or nothing is there to compare."""
    if not comparison.baseline_servers:
        return True
    if not comparison.timed:
        return False
    upper_bound = log2(comparison.ratio) + ONE_SIDED_95_PERCENT_Z_SCORE * comparison.deviation
    return upper_bound < MAX_UNDETECTED_SLOWDOWN_OCTAVES


def has_enough_evidence(
    samples: Iterable[Sample], candidate: CandidateView, now: float, servers: Iterable[ServerView]
) -> bool:
    """Whether a candidate's servers are old enough and its attempts enough for a promotion."""
    ages = [server.age(now) for server in servers if server.build == candidate.build and server.ready]
    if not ages or min(ages) < SETTLING_SECONDS:
        return False
    own = [sums for _, key, sums in samples if key.build == candidate.build]
    attempts = sum(sums.attempts for sums in own)
    failed = sum(sums.failed for sums in own)
    if attempts - failed >= MIN_SUCCESSFUL_ATTEMPTS:
        return True
    has_settled_longer = min(ages) >= SETTLING_SECONDS + EXTRA_SETTLING_SECONDS
    return attempts >= MIN_FAILURE_FREE_ATTEMPTS and not failed and has_settled_longer
