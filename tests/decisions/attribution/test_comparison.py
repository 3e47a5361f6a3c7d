"""Comparison of one build with the baseline on constructed evidence."""

from __future__ import annotations

import pytest

from gullmount.decisions.attribution import Evidence
from gullmount.decisions.attribution.comparison import ServerLatencies, binomial_upper_tail, compare_failures
from gullmount.decisions.attribution.evidence import Sample, SampleKey


def samples(*servers: tuple[str, int, int, int, float]) -> list[Sample]:
    """Return samples over twenty slices.

    Each server has a name, a build, numbers of attempts and failures, and a latency as a multiple of the
    latency objective.
    """
    evidence = Evidence()
    for name, build, attempts, failed, latency in servers:
        for number in range(attempts):
            at = 1000.0 + number % 20
            evidence.record(at, SampleKey(name, build, name[0], "look"), latency, number < failed)
    return list(evidence.since(1020.0, 20.0))


def is_baseline(build: int) -> bool:
    return build == 1


def test_binomial_upper_tail_matches_hand_computed_values() -> None:
    assert binomial_upper_tail(2, 2, 0.1) == pytest.approx(0.01)
    assert binomial_upper_tail(1, 3, 0.5) == pytest.approx(0.875)


def test_failures_are_significant_only_where_the_baseline_has_none() -> None:
    baseline = [(f"a{n}", 1, 40, 0, 0.1) for n in range(10)]
    assert compare_failures(samples(*baseline, ("ax", 2, 20, 4, 0.1)), 2, is_baseline).p_value < 1e-4
    failing_baseline = [(f"a{n}", 1, 40, 8, 0.1) for n in range(10)]
    assert compare_failures(samples(*failing_baseline, ("ax", 2, 20, 4, 0.1)), 2, is_baseline).p_value > 0.3


def test_one_broken_server_of_several_is_ignored() -> None:
    baseline = [(f"a{n}", 1, 40, 0, 0.1) for n in range(10)]
    candidate = [("ax0", 2, 20, 15, 0.1), *((f"ax{n}", 2, 20, 0, 0.1) for n in range(1, 4))]
    assert compare_failures(samples(*baseline, *candidate), 2, is_baseline).p_value == 1.0


def test_slow_build_is_significant_but_a_build_in_a_slow_zone_is_not() -> None:
    baseline = [(f"{zone}{n}", 1, 60, 0, 0.1 if zone == "a" else 0.3) for zone in "ab" for n in range(5)]
    distant_zone = ServerLatencies(
        samples(*baseline, *((f"bx{n}", 2, 60, 0, 0.3) for n in range(3))), is_baseline
    ).compare(2)
    slow_build = ServerLatencies(
        samples(*baseline, *((f"ax{n}", 2, 60, 0, 0.3) for n in range(3))), is_baseline
    ).compare(2)
    assert distant_zone.p_value > 0.2 and distant_zone.ratio < 1.2
    assert slow_build.p_value < 1e-4 and slow_build.ratio > 2.5


def test_busy_servers_in_all_builds_make_no_build_significantly_slow() -> None:
    baseline = [(f"a{n}", 1, 60, 0, 0.1 if n % 4 else 0.25) for n in range(12)]
    assert ServerLatencies(samples(*baseline, ("ax0", 2, 60, 0, 0.25)), is_baseline).compare(2).p_value > 1e-3


def test_build_of_one_server_less_than_twice_as_slow_is_not_significant() -> None:
    baseline = [(f"a{n}", 1, 60, 0, 0.1) for n in range(12)]
    assert (
        ServerLatencies(samples(*baseline, ("ax0", 2, 60, 0, 0.185)), is_baseline).compare(2).p_value > 1e-3
    )
