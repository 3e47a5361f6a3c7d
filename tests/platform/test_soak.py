"""Runs a short soak of the real process with two seeds, and tests the checks on planted violations."""

from __future__ import annotations

import pytest

from tests.support.soak import Drain, ObservedTraffic, check_drains, check_unsafe_requests, run_seed

# Time during which processes are started and ended.
RUN_SECONDS = 25.0


@pytest.mark.parametrize("seed", [3, 4])
def test_soak_of_the_real_process_finds_no_violation(seed: int) -> None:
    traffic = run_seed(seed, RUN_SECONDS)
    assert not traffic.violations, traffic.violations[:5]
    assert traffic.statuses["200"] > 0, traffic.statuses


def test_check_drains_finds_a_request_to_a_drained_server() -> None:
    traffic = ObservedTraffic(sends=[(10.0, "s-1", "a"), (16.5, "s-1", "b"), (16.6, "s-1", "c")])
    traffic.drains = [Drain("s-1", 10.0, 5)]
    assert check_drains(traffic) == ["drain: s-1 got 1, the first 0.60 s after told"]
    traffic.list_responses = [(11.0, 5)]
    assert check_drains(traffic) == ["drain: s-1 got 2, the first 5.50 s after told"]
    traffic.drains[0].ended_at = 12.0
    assert not check_drains(traffic)


def test_check_unsafe_requests_finds_a_request_that_ran_twice() -> None:
    requests = ("unsafe-1", "unsafe-1", "safe-2", "safe-2")
    traffic = ObservedTraffic(
        sends=[(1.0 + index, f"s-{index}", request) for index, request in enumerate(requests)]
    )
    assert check_unsafe_requests(traffic) == ["run twice: unsafe-1"]
