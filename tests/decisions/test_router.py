"""Tests that the memory of the router is bounded."""

from __future__ import annotations

import pytest

from gullmount.decisions.model import ReleasePhase
from tests.support.decisions import RouterHarness, released_harness


def test_memory_is_bounded_without_a_candidate() -> None:
    harness = released_harness()
    for number in range(2000):
        harness.end_attempt(harness.accept("look", f"k{number}"))
        harness.advance_clock(0.05)
    router, window = harness.router, harness.router.exposure.windows[""]
    sizes = [
        len(window.request_times),
        len(window.attempt_times_by_build[1]),
        len(router.slow_start.completed_at),
        len(router.affinity.last_build_by_key),
    ]
    assert max(sizes) <= 200
    assert sum(map(len, router.canary.samples.values())) <= 500


@pytest.mark.parametrize("one_way", [False, True])
def test_memory_is_bounded_over_many_releases(one_way: bool) -> None:
    """Guards against state per build or per served key that grows with each release.

    An instance may run through hundreds of releases.
    """
    harness = RouterHarness(one_way=one_way, exposure_slack=1e9)
    for build in range(2, 30):
        harness.list_servers({"a0": build - 1, "b0": build})
        harness.set_release(build=build)
        for number in range(20):
            harness.end_attempt(harness.accept("look", f"k{build}-{number}"))
            harness.advance_clock(0.2)
        harness.set_release(build=build, stage=2, phase=ReleasePhase.RELEASED, cap=1.0)
        harness.advance_clock(6.0)
    router = harness.router
    assert (
        len(router.concurrency.by_build) <= 3 and len(router.exposure.windows[""].attempt_times_by_build) <= 3
    )
    # With one-way keys, the build of each key is kept.
    assert len(router.affinity.last_build_by_key) == (28 * 20 if one_way else 20)
