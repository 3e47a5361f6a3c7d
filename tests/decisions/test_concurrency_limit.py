"""Tests the limit on attempts in flight at each build."""

from __future__ import annotations

from gullmount.decisions.model import Outcome
from tests.support.decisions import candidate_harness, released_harness


def test_late_responses_lower_the_limit_and_timely_ones_raise_it() -> None:
    harness = released_harness(max_attempts=1)
    requests = [harness.accept("pay") for _ in range(20)]
    for request in requests:
        harness.advance_clock(0.3)
        harness.end_attempt(request, Outcome.TIMEOUT, 1.0)
    lowered_limit = harness.router.concurrency.by_build[1].attempts_per_server
    assert lowered_limit < 0.5
    attempts = [harness.accept("pay") for _ in range(40)]
    assert any(not request.attempts for request in attempts), "requests beyond the limit are rejected"
    for _ in range(30):
        for request in attempts:
            harness.end_attempt(request)
        attempts = [harness.accept("pay") for _ in range(20)]
    assert harness.router.concurrency.by_build[1].attempts_per_server > lowered_limit


def test_keys_of_a_build_at_its_limit_are_rejected_and_not_moved() -> None:
    for build, share in ((1, 0.0), (2, 0.5)):
        harness = candidate_harness()
        harness.router.releases.candidates[-1].traffic_share = share
        (
            harness.router.concurrency.by_build[build].attempts_per_server,
            harness.router.concurrency.by_build[build].in_flight,
        ) = 0.0, 1
        requests = [harness.accept("look", f"k{number}") for number in range(40)]
        assert {
            bool(request.attempts) for request in requests if (request.hash_position < 0.5) is (build == 2)
        } == {False}
        assert all(server.startswith("a") for _, server, _ in harness.forwarded)
