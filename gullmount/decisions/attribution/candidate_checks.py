"""Checks one build against its baseline, and whether a candidate has enough evidence for a promotion.

A build is blamed, and so rolled back, only if a difference by chance is very unlikely over all evaluations
and tests of a release. Much weaker evidence is enough to hold a candidate at its stage.
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

# Probability that healthy builds are blamed during one release, over all evaluations and tests.
FALSE_ALARM_PROBABILITY = 0.01

# Number of independent evaluations in one release, between which the evidence changes.
INDEPENDENT_EVALUATIONS = 4.0

# Failures and latency are each tested over the long and the short span.
TESTS_PER_SEGMENT = 4

# A build with a lower p-value is held at its stage, even if it is not blamed.
HOLD_SIGNIFICANCE = 0.03

# A build is blamed for failures only if its failure rate exceeds that of the baseline by more than this.
MIN_FAILURE_EXCESS = 0.02

# A build with fewer failures than this is not blamed, because a single failure may come from a broken
# request.
MIN_FAILURES = 2

# A build is blamed for its latency only if the ratio to the latency of the baseline is larger than this.
MIN_LATENCY_RATIO = 1.5

# If the released builds have fewer attempts than this, the other candidates join the baseline.
MIN_BASELINE_ATTEMPTS = 15

# A candidate is promoted no earlier than this after its newest server started.
SETTLING_SECONDS = 3.0

# Number of successful attempts that allows a promotion.
MIN_SUCCESSFUL_ATTEMPTS = 20

# Number of attempts that allows a promotion if none of them failed and the servers have been running for
# EXTRA_SETTLING_SECONDS longer than SETTLING_SECONDS.
MIN_FAILURE_FREE_ATTEMPTS = 5
EXTRA_SETTLING_SECONDS = 2.0

# A build is held while the evidence cannot rule out that it is this much slower than the baseline.
MAX_UNDETECTED_SLOWDOWN_OCTAVES = 1.1

# Distance of a one-sided 95 percent confidence limit from the mean, in standard deviations.
ONE_SIDED_95_PERCENT_Z_SCORE = 1.64


class Baseline(NamedTuple):
    """The builds that one build is compared with.

    Attributes:
        includes: Returns whether a build belongs to the baseline.
        excluded_build: The build left out in addition to the unreleased ones; 0 if it is unreleased itself.
    """

    includes: IsBaseline
    excluded_build: int


def choose_baseline(samples: Iterable[Sample], build: int, unreleased_builds: set[int]) -> Baseline:
    """Choose the released builds as the baseline, or all other builds if those have too few attempts."""
    excluded = unreleased_builds | {build}
    attempts = sum(sums.attempts for _, key, sums in samples if key.build not in excluded)
    if attempts < MIN_BASELINE_ATTEMPTS:
        return Baseline(lambda other: other != build, build)
    if build in unreleased_builds:
        return Baseline(lambda other: other not in unreleased_builds, 0)
    return Baseline(lambda other: other not in excluded, build)


@dataclass(frozen=True)
class CheckResult:
    """Result of checking one build: the findings that blame it, and whether to hold it at its stage."""

    findings: list[Finding]
    should_hold: bool


def check_build(
    samples: Sequence[Sample],
    latencies: ServerLatencies,
    build: int,
    is_baseline: IsBaseline,
    evaluator_count: int,
) -> CheckResult:
    """Compare a build with its baseline, in total and by zone, and its failures by route as well.

    Args:
        samples: The samples, summed over slices.
        latencies: The latencies of all servers relative to the same baseline.
        build: The build to check.
        is_baseline: Returns whether a build belongs to the baseline.
        evaluator_count: Number of instances that evaluate. FALSE_ALARM_PROBABILITY holds for all of them
            together, so each test has a lower significance level the more there are.
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
    """Return the only zone or route that fails, or an empty string if the failures are not limited to one.

    It is also empty if the others have so few attempts that they may have no failure by chance alone.
    """
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
    """Return whether a slowdown is likely enough to hold the build."""
    return comparison.p_value < HOLD_SIGNIFICANCE and comparison.ratio > sqrt(MIN_LATENCY_RATIO)


def rules_out_large_slowdown(comparison: LatencyComparison) -> bool:
    """Return whether a large slowdown of the build is ruled out, or there is no baseline to compare with."""
    if not comparison.baseline_servers:
        return True
    if not comparison.timed:
        return False
    upper_bound = log2(comparison.ratio) + ONE_SIDED_95_PERCENT_Z_SCORE * comparison.deviation
    return upper_bound < MAX_UNDETECTED_SLOWDOWN_OCTAVES


def has_enough_evidence(
    samples: Iterable[Sample], candidate: CandidateView, now: float, servers: Iterable[ServerView]
) -> bool:
    """Return whether the servers of a candidate are old enough, and its attempts enough, for a promotion."""
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
