"""Canary analysis: which candidates it votes to roll back or to promote."""

from __future__ import annotations

import random

import pytest

from gullmount.decisions.model import Outcome, Vote
from gullmount.decisions.statistics import AttemptSample
from tests.support.decisions import (
    BASELINE,
    CANDIDATE,
    OK,
    add_samples,
    candidate_harness,
    released_harness,
    votes_of,
)


def test_slow_candidate_is_rolled_back_and_an_equally_fast_one_is_promoted() -> None:
    for slowness, expected_vote in ((3.0, Vote.ROLLBACK), (1.1, Vote.PROMOTE)):
        harness = candidate_harness()
        add_samples(harness, 1, 1.0, 200)
        add_samples(harness, 2, slowness, 40)
        harness.advance_clock(8.5)
        assert expected_vote in votes_of(harness)
        assert (Vote.ROLLBACK in votes_of(harness)) is (expected_vote is Vote.ROLLBACK)


@pytest.mark.parametrize(("slowness", "rolled_back"), [(1.0, False), (3.0, True)])
def test_candidate_on_few_servers_is_rolled_back_only_if_its_servers_are_slower(
    slowness: float, rolled_back: bool
) -> None:
    """The servers of both builds are compared with the same weight each.

    The fastest servers of the baseline get most of its requests, while the candidate has only a few servers
    that all get their part. By the times of the attempts alone, a good build would appear slow.
    """
    harness = candidate_harness(instance_count=3)
    draw = random.Random(5).lognormvariate
    for server in range(10):
        # The slowest server takes 2.8 times as long as the fastest. The fastest servers get most requests.
        median_time = 0.1 * 1.12**server
        for build, count in ((1, max(4, 60 - 8 * server)), (2, 12 if server in {5, 6, 7} else 0)):
            for number in range(count):
                time = median_time * draw(0.0, 0.3) * (slowness if build > 1 else 1.0)
                at = harness.clock + 8.0 * number / count
                harness.router.canary.samples[build, "look"].append(
                    AttemptSample(at, time, False, f"{'ab'[build - 1]}{server}")
                )
    for route_samples in harness.router.canary.samples.values():
        ordered = sorted(route_samples)
        route_samples.clear()
        route_samples.extend(ordered)
    harness.advance_clock(8.5)
    assert (Vote.ROLLBACK in votes_of(harness)) is rolled_back


def test_rising_latency_of_both_builds_does_not_roll_back_the_candidate() -> None:
    harness = candidate_harness()
    add_samples(harness, 2, 1.0, 4)
    add_samples(harness, 1, 1.0, 160)
    add_samples(harness, 2, 3.0, 40, start=8.0)
    add_samples(harness, 1, 3.0, 60, start=8.0)
    harness.advance_clock(16.5)
    assert Vote.ROLLBACK not in votes_of(harness)


def test_failing_route_rolls_back_the_candidate_and_goes_to_the_baseline() -> None:
    harness = candidate_harness()
    harness.router.canary.samples[2, "pay"].extend(
        AttemptSample(harness.clock, -1.0, True, f"b{n % 2}") for n in range(6)
    )
    harness.advance_clock(0.5)
    assert Vote.ROLLBACK in votes_of(harness)
    for number in range(40):
        harness.accept("pay", f"k{number}")
    assert all(server.startswith("a") for _, server, _ in harness.forwarded)


def test_one_broken_server_does_not_roll_back_the_candidate() -> None:
    harness = candidate_harness()
    for number in range(40):
        harness.router.canary.samples[2, "pay"].append(
            AttemptSample(harness.clock, 0.1, number % 2 == 0, f"b{number % 2}")
        )
    harness.advance_clock(1.0)
    assert Vote.ROLLBACK not in votes_of(harness)


def test_one_slow_server_does_not_roll_back_the_candidate() -> None:
    harness = candidate_harness()
    add_samples(harness, 1, 1.0, 200)
    add_samples(harness, 2, 1.0, 40)
    slow = [
        AttemptSample(sample.at, sample.time * 8, False, "b1")
        for sample in harness.router.canary.samples[2, "look"]
    ]
    harness.router.canary.samples[2, "look"].extend(slow)
    harness.advance_clock(8.5)
    assert Vote.ROLLBACK not in votes_of(harness)


def test_platform_metrics_roll_back_a_slow_candidate() -> None:
    for slowness, rolled_back in ((3.0, True), (1.2, False)):
        harness = candidate_harness()
        for _ in range(4):
            harness.router.record_metrics(1, "look", 40, 0, 0.1, 1.0)
            harness.router.record_metrics(2, "look", 10, 0, 0.1 * slowness, 1.0)
        harness.advance_clock(0.5)
        assert (Vote.ROLLBACK in votes_of(harness)) is rolled_back


def test_candidate_that_slows_all_servers_is_rolled_back_unless_connects_fail() -> None:
    for connect_failure_share, rolled_back in ((0.0, True), (0.3, False)):
        harness = released_harness(BASELINE | CANDIDATE)
        add_samples(harness, 1, 1.0, 100)
        harness.advance_clock(8.0)
        harness.set_release(stage=1, cap=0.5)
        harness.advance_clock(4.0)
        harness.router.connections.failure_share = connect_failure_share
        add_samples(harness, 1, 3.0, 100)
        add_samples(harness, 2, 3.0, 20)
        harness.advance_clock(8.5)
        assert (Vote.ROLLBACK in votes_of(harness)) is rolled_back


@pytest.mark.parametrize(
    ("requests_per_step", "unserved", "rolled_back"), [(1, 0, True), (3, 0, False), (3, 2, True)]
)
def test_slowdown_rolls_back_the_candidate_unless_the_load_has_grown(
    requests_per_step: int, unserved: int, rolled_back: bool
) -> None:
    """A good build is not rolled back because of a burst of requests.

    Requests that clients send again, as they were not served, don't count as additional load.
    """
    harness = released_harness()
    harness.list_servers(BASELINE | CANDIDATE)

    def send_load(span: float, requests: int, latency: float) -> None:
        for _ in range(round(span / 0.1)):
            for number in range(requests):
                request = harness.accept("look", f"k{harness.request_count}")
                client_leaves = number < unserved and requests > 1
                if client_leaves:
                    request.client_left()
                harness.end_attempt(request, Outcome.CANCELLED if client_leaves else OK, latency)
            harness.advance_clock(0.1)

    send_load(10.0, 1, 0.1)
    harness.set_release(stage=1, cap=0.5)
    send_load(8.0, requests_per_step, 0.28)
    assert (Vote.ROLLBACK in votes_of(harness)) is rolled_back


def test_samples_of_a_busy_instance_are_bounded_and_still_roll_back() -> None:
    harness = released_harness({"a0": 1, "a1": 1, "a2": 1, "a3": 1, "b0": 2})
    harness.set_release(stage=1, cap=0.5)
    for number in range(8000):
        request = harness.accept("look", f"k{number}")
        fails = bool(request.attempts) and request.attempts[-1].server.id == "b0" and number % 4 == 0
        harness.end_attempt(request, Outcome.ERROR if fails else OK)
        harness.advance_clock(0.002)
    assert max(map(len, harness.router.canary.samples.values())) <= 2000
    assert harness.votes[-1][2] is Vote.ROLLBACK
