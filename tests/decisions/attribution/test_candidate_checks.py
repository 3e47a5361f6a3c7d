"""What a build is blamed for, what holds it, and when a candidate has enough evidence for a promotion."""

from __future__ import annotations

from gullmount.decisions.attribution import Evidence, Symptom
from gullmount.decisions.attribution.candidate_checks import (
    EXTRA_SETTLING_SECONDS,
    MIN_BASELINE_ATTEMPTS,
    MIN_FAILURE_FREE_ATTEMPTS,
    MIN_SUCCESSFUL_ATTEMPTS,
    SETTLING_SECONDS,
    CheckResult,
    check_build,
    choose_baseline,
    has_enough_evidence,
)
from gullmount.decisions.attribution.comparison import ServerLatencies
from gullmount.decisions.attribution.evidence import Sample, SampleKey, sum_over_slices
from gullmount.decisions.model import ReleasePhase
from gullmount.decisions.releases import Candidate
from tests.support.attribution_scene import make_server


def server_samples(
    build: int, servers: int, attempts: int, failed: int = 0, latency: float = 0.1
) -> list[Sample]:
    """Return samples of servers in zones a and b by turns, each with `attempts` over twenty slices."""
    evidence = Evidence()
    for number in range(servers):
        zone = "ab"[number % 2]
        key = SampleKey(f"{zone}{build}-{number}", build, zone, "look")
        for attempt in range(attempts):
            evidence.record(1000.0 + attempt % 20, key, latency, attempt < failed)
    return list(evidence.since(1020.0, 20.0))


def check_build_2(*groups: list[Sample]) -> CheckResult:
    samples = [sample for group in groups for sample in group]
    latencies = ServerLatencies(samples, lambda build: build == 1)
    return check_build(sum_over_slices(samples), latencies, 2, lambda build: build == 1, 1)


def test_healthy_build_is_neither_blamed_nor_held() -> None:
    result = check_build_2(server_samples(1, 10, 40), server_samples(2, 4, 40))
    assert result.findings == [] and not result.should_hold


def test_build_that_fails_is_blamed_for_failures() -> None:
    (finding,) = check_build_2(server_samples(1, 10, 40), server_samples(2, 4, 40, failed=10)).findings
    assert (finding.build, finding.symptom, finding.zone) == (2, Symptom.FAILS, "")
    assert finding.confidence > 0.999


def test_build_that_is_slow_is_blamed_for_latency() -> None:
    (finding,) = check_build_2(server_samples(1, 10, 40), server_samples(2, 4, 40, latency=0.4)).findings
    assert (finding.build, finding.symptom, finding.zone) == (2, Symptom.SLOW, "")


def test_build_with_a_single_failed_attempt_is_held_but_not_blamed() -> None:
    result = check_build_2(server_samples(1, 10, 40), server_samples(2, 1, 1, failed=1))
    assert result.findings == [] and result.should_hold


def test_baseline_is_the_released_builds_if_they_have_enough_attempts() -> None:
    enough = choose_baseline(server_samples(1, 1, MIN_BASELINE_ATTEMPTS), 2, {2, 3})
    assert [enough.includes(build) for build in (1, 2, 3)] == [True, False, False]
    assert enough.excluded_build == 0
    too_few = choose_baseline(server_samples(1, 1, MIN_BASELINE_ATTEMPTS - 1), 2, {2, 3})
    assert [too_few.includes(build) for build in (1, 2, 3)] == [True, False, True]
    assert too_few.excluded_build == 2


def test_candidate_has_enough_evidence_after_enough_attempts_and_settling_time() -> None:
    candidate = Candidate(2, 0, ReleasePhase.CANDIDATE, 0.2)
    servers = [make_server("a0", 2, started_at=1000.0)]
    enough, few = (
        server_samples(2, 1, MIN_SUCCESSFUL_ATTEMPTS),
        server_samples(2, 1, MIN_FAILURE_FREE_ATTEMPTS),
    )
    assert not has_enough_evidence(enough, candidate, 1000.0 + SETTLING_SECONDS - 0.1, servers)
    assert has_enough_evidence(enough, candidate, 1000.0 + SETTLING_SECONDS, servers)
    assert not has_enough_evidence(few, candidate, 1000.0 + SETTLING_SECONDS, servers)
    assert has_enough_evidence(few, candidate, 1000.0 + SETTLING_SECONDS + EXTRA_SETTLING_SECONDS, servers)
    assert not has_enough_evidence(
        server_samples(2, 1, MIN_FAILURE_FREE_ATTEMPTS + 1, failed=1), candidate, 1100.0, servers
    )
    assert not has_enough_evidence(enough, candidate, 1100.0, [])
