"""Canary analysis: which candidates are to be rolled back or promoted."""

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


def test_slow_candidate_is_rolled_back_and_an_even_one_promoted() -> None:
    for slowness, verdict in ((3.0, Vote.ROLLBACK), (1.1, Vote.PROMOTE)):
        harness = candidate_harness()
        add_samples(harness, 1, 1.0, 200)
        add_samples(harness, 2, slowness, 40)
        harness.advance_clock(8.5)
        assert verdict in votes_of(harness)
        assert (Vote.ROLLBACK in votes_of(harness)) is (verdict is Vote.ROLLBACK)


@pytest.mark.parametrize(("slowness", "back"), [(1.0, False), (3.0, True)])
def test_candidate_at_few_servers_is_not_compared_with_the_quickest_of_many(
    slowness: float, back: bool
) -> None:
    """The quickest baseline servers take most requests, the candidate's few all take their part.

    Each server counts alike beside that, so that a good build does not read as slow.
    """
    harness = candidate_harness(instance_count=3)
    draw = random.Random(5).lognormvariate
    for server in range(10):
        pace = 0.1 * 1.12**server  # from the quickest to 2.8 times that; the quickest get most
        for build, count in ((1, max(4, 60 - 8 * server)), (2, 12 if server in {5, 6, 7} else 0)):
            for number in range(count):
                time = pace * draw(0.0, 0.3) * (slowness if build > 1 else 1.0)
                at = harness.clock + 8.0 * number / count
                harness.router.canary.samples[build, "look"].append(
                    AttemptSample(at, time, False, f"{'ab'[build - 1]}{server}")
                )
    for seen in harness.router.canary.samples.values():
        ordered = sorted(seen)
        seen.clear()
        seen.extend(ordered)
    harness.advance_clock(8.5)
    assert (Vote.ROLLBACK in votes_of(harness)) is back


def test_trend_in_load_is_not_read_as_a_slow_candidate() -> None:
    harness = candidate_harness()
    add_samples(harness, 2, 1.0, 4)
    add_samples(harness, 1, 1.0, 160)
    add_samples(harness, 2, 3.0, 40, start=8.0)
    add_samples(harness, 1, 3.0, 60, start=8.0)
    harness.advance_clock(16.5)
    assert Vote.ROLLBACK not in votes_of(harness)


def test_route_that_fails_rolls_back_and_stays_on_the_baseline() -> None:
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


def test_slow_servers_among_others_do_not_roll_back_the_candidate() -> None:
    harness = candidate_harness()
    add_samples(harness, 1, 1.0, 200)
    add_samples(harness, 2, 1.0, 40)
    slow = [
        AttemptSample(one.at, one.time * 8, False, "b1") for one in harness.router.canary.samples[2, "look"]
    ]
    harness.router.canary.samples[2, "look"].extend(slow)
    harness.advance_clock(8.5)
    assert Vote.ROLLBACK not in votes_of(harness)


def test_platform_metrics_roll_back_a_slow_candidate() -> None:
    for slowness, back in ((3.0, True), (1.2, False)):
        harness = candidate_harness()
        for _ in range(4):
            harness.router.record_metrics(1, "look", 40, 0, 0.1, 1.0)
            harness.router.record_metrics(2, "look", 10, 0, 0.1 * slowness, 1.0)
        harness.advance_clock(0.5)
        assert (Vote.ROLLBACK in votes_of(harness)) is back


def test_candidate_that_slows_all_servers_is_rolled_back_unless_connects_fail() -> None:
    for link_fails, back in ((0.0, True), (0.3, False)):
        harness = released_harness(BASELINE | CANDIDATE)
        add_samples(harness, 1, 1.0, 100)
        harness.advance_clock(8.0)
        harness.set_release(stage=1, cap=0.5)
        harness.advance_clock(4.0)
        harness.router.connections.failure_share = link_fails
        add_samples(harness, 1, 3.0, 100)
        add_samples(harness, 2, 3.0, 20)
        harness.advance_clock(8.5)
        assert (Vote.ROLLBACK in votes_of(harness)) is back


@pytest.mark.parametrize(("grown", "unserved", "back"), [(1, 0, True), (3, 0, False), (3, 2, True)])
def test_slowness_is_attributed_to_a_load_that_has_grown(grown: int, unserved: int, back: bool) -> None:
    """A good build is not rolled back in a burst; clients that send their requests again are no new load."""
    harness = released_harness()
    harness.list_servers(BASELINE | CANDIDATE)

    def load(span: float, requests: int, latency: float) -> None:
        for _ in range(round(span / 0.1)):
            for number in range(requests):
                request = harness.accept("look", f"k{harness.request_count}")
                lost = number < unserved and requests > 1
                if lost:
                    request.client_left()
                harness.end_attempt(request, Outcome.CANCELLED if lost else OK, latency)
            harness.advance_clock(0.1)

    load(10.0, 1, 0.1)
    harness.set_release(stage=1, cap=0.5)
    load(8.0, grown, 0.28)
    assert (Vote.ROLLBACK in votes_of(harness)) is back


def test_samples_of_a_busy_instance_are_bounded_and_still_roll_back() -> None:
    harness = released_harness({"a0": 1, "a1": 1, "a2": 1, "a3": 1, "b0": 2})
    harness.set_release(stage=1, cap=0.5)
    for number in range(8000):
        request = harness.accept("look", f"k{number}")
        ill = bool(request.attempts) and request.attempts[-1].server.id == "b0" and number % 4 == 0
        harness.end_attempt(request, Outcome.ERROR if ill else OK)
        harness.advance_clock(0.002)
    assert max(map(len, harness.router.canary.samples.values())) <= 2000
    assert harness.votes[-1][2] is Vote.ROLLBACK
