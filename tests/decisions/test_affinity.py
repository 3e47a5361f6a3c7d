"""Tests which builds the attempts of a key may go to."""

from __future__ import annotations

import pytest

from gullmount.decisions import affinity
from gullmount.decisions.model import EndpointUpdateKind, Outcome, ReleasePhase
from gullmount.decisions.requests import hash_position
from tests.support.decisions import (
    RouterHarness,
    candidate_harness,
    key_of_candidate,
    one_way_harness,
    zones_of,
)


def test_one_way_key_is_retried_at_the_build_that_served_it() -> None:
    harness = candidate_harness(one_way=True)
    harness.router.affinity.last_build_by_key[hash_position("k")] = 2
    request = harness.accept("look", "k")
    harness.end_attempt(request, Outcome.OVERLOADED)
    assert [server[0] for _, server, _ in harness.forwarded] == ["b", "b"]


def test_one_way_key_with_an_attempt_at_the_candidate_goes_to_no_older_build() -> None:
    """The candidate may have written its response before a second attempt reaches the older build."""
    harness = one_way_harness()
    key = key_of_candidate(harness)
    first, second = harness.accept("look", key), harness.accept("pay", key)
    assert zones_of(harness, first) == ["b"] and zones_of(harness, second) == []
    assert harness.responses[second.id] == ["rejected"]
    other = harness.accept("pay", key + "-another")
    assert zones_of(harness, other) == ["a"]


@pytest.mark.parametrize("outcome", [Outcome.TIMEOUT, Outcome.RESET, Outcome.CANCELLED])
def test_one_way_key_stays_with_a_build_whose_response_did_not_arrive(outcome: Outcome) -> None:
    """The response may be unread at a timeout or a disconnect of the client, or lost with the connection."""
    harness = one_way_harness()
    key = key_of_candidate(harness)
    first = harness.accept("look", key)
    harness.end_attempt(first, outcome)
    later = harness.accept("pay", key)
    assert set(zones_of(harness, first)) == {"b"} and zones_of(harness, later) == []


@pytest.mark.parametrize(
    "outcome", [Outcome.OVERLOADED, Outcome.CONNECT_FAILED, Outcome.EXPIRED, Outcome.ERROR]
)
def test_one_way_key_may_go_to_older_build_after_an_attempt_that_did_not_serve_it(outcome: Outcome) -> None:
    harness = one_way_harness()
    key = key_of_candidate(harness)
    first = harness.accept("look", key)
    first.client_left()
    harness.end_attempt(first, outcome)
    assert zones_of(harness, harness.accept("pay", key)) == ["a"]


def test_one_way_key_with_an_attempt_at_an_older_build_stays_there() -> None:
    """The first attempt may be held up on a cut link and arrive after the newer build served a second one."""
    harness = one_way_harness()
    key = key_of_candidate(harness)
    slow_request, second = harness.accept("pay", key), harness.accept("look", key)
    assert zones_of(harness, slow_request) == ["a"] and zones_of(harness, second) == ["a"]
    harness.end_attempt(second)
    harness.end_attempt(slow_request)
    assert zones_of(harness, harness.accept("look", key)) == ["b"]


def test_one_way_key_goes_to_the_baseline_once_its_build_rolls_back_during_an_attempt() -> None:
    harness = one_way_harness()
    key = key_of_candidate(harness)
    first = harness.accept("look", key)
    harness.set_release(stage=0, phase=ReleasePhase.ROLLING_BACK, cap=0.0)
    second = harness.accept("pay", key)
    assert zones_of(harness, first) == ["b"] and zones_of(harness, second) == ["a"]
    harness.end_attempt(first)
    assert zones_of(harness, harness.accept("pay", key)) == ["a"]
    assert not harness.router.affinity.last_build_by_key


def test_one_way_key_stays_with_the_build_its_server_was_relisted_with_during_an_attempt() -> None:
    """The build that counts is the last listed one; here it changes between the send and the response."""
    harness = one_way_harness()
    key = key_of_candidate(harness)
    request = harness.accept("pay", key)
    harness.list_servers({request.attempts[0].server.id: 2}, EndpointUpdateKind.UPDATE)
    harness.end_attempt(request)
    assert zones_of(harness, harness.accept("pay", key)) == []


def test_one_way_key_stays_with_a_build_listed_before_its_release_status() -> None:
    harness = one_way_harness()
    harness.set_release(stage=0, phase=ReleasePhase.ROLLED_BACK, cap=0.0)
    harness.list_servers({"a0": 1, "a1": 1, "c0": 3})
    harness.advance_clock(10.0)
    key = key_of_candidate(harness)
    request = harness.accept("look", key)
    assert zones_of(harness, request) == ["c"]
    harness.end_attempt(request)
    assert zones_of(harness, harness.accept("pay", key)) == []


def test_in_flight_builds_of_a_key_are_dropped_when_its_attempts_end() -> None:
    harness = one_way_harness()
    requests = [harness.accept("look", f"k{number % 7}") for number in range(60)]
    assert sum(map(len, harness.router.affinity.in_flight_builds_by_key.values())) == sum(
        len(request.attempts_in_flight) for request in requests
    )
    harness.set_release(stage=0, phase=ReleasePhase.ROLLING_BACK, cap=0.0)
    for request in requests:
        harness.end_attempt(request)
    assert not harness.router.affinity.in_flight_builds_by_key


def test_number_of_tracked_keys_is_bounded_and_keys_stay_at_their_build(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(affinity, "MAX_TRACKED_KEYS", 50)
    harness = candidate_harness(one_way=True, exposure_slack=1e9)
    keys_of_candidate: set[str] = set()
    for number in range(1200):
        request = harness.accept("look", f"k{number}")
        if harness.forwarded[-1][0] == request.id and harness.forwarded[-1][1].startswith("b"):
            keys_of_candidate.add(f"k{number}")
        harness.end_attempt(request)
        harness.advance_clock(0.02)
    assert len(keys_of_candidate) > 150 and len(harness.router.affinity.last_build_by_key) <= 51
    harness.router.traffic_split.update = lambda now: None
    # As after a lowered exposure limit: only the tracked builds keep a key at its build.
    harness.router.releases.candidates[-1].traffic_share = 0.0
    for key in sorted(keys_of_candidate):
        forwarded_before = len(harness.forwarded)
        harness.end_attempt(harness.accept("look", key))
        assert all(server.startswith("b") for _, server, _ in harness.forwarded[forwarded_before:])
        harness.advance_clock(0.02)


def test_one_way_key_stays_with_its_attempt_when_an_older_one_of_a_rolled_back_build_ends() -> None:
    """Guards against the end of one attempt that releases a key pinned by another at the same build.

    A build that is rolled back with an exposure limit above 0 gets two attempts of the key.
    """
    harness = RouterHarness(one_way=True, exposure_slack=1e9)
    harness.list_servers({"a1": 1, "b1": 2})
    harness.set_release(stage=0, cap=0.5)
    candidate = harness.router.releases.newest
    candidate.hash_end, candidate.traffic_share = 0, 1.0
    first = harness.accept("look", "k")
    harness.set_release(stage=0, phase=ReleasePhase.ROLLED_BACK, cap=0.5)
    candidate.traffic_share = 1.0
    second = harness.accept("look", "k")
    assert zones_of(harness, first) == ["b"] and zones_of(harness, second) == ["b"]
    harness.end_attempt(first, Outcome.EXPIRED)
    assert zones_of(harness, harness.accept("pay", "k")) == []


@pytest.mark.parametrize(("idempotent_only_stages", "zones"), [(0, ["b"]), (1, [])])
def test_one_way_key_goes_to_no_older_build_than_that_of_its_attempt_after_a_rollback(
    idempotent_only_stages: int, zones: list[str]
) -> None:
    """Guards against the end of one attempt that removes the pin of another at the same build.

    The key stays at the build of its attempt if the route may go there, and is rejected if not.
    """
    harness = RouterHarness(one_way=True, exposure_slack=1e9, idempotent_only_stages=idempotent_only_stages)
    harness.list_servers({"a1": 1, "b1": 2})
    harness.set_release(stage=0, cap=0.5)
    candidate = harness.router.releases.newest
    candidate.hash_end, candidate.traffic_share = 0, 1.0
    first = harness.accept("look", "k")
    harness.set_release(stage=0, phase=ReleasePhase.ROLLED_BACK, cap=0.5)
    candidate.traffic_share = 1.0
    second = harness.accept("look", "k")
    assert zones_of(harness, first) == ["b"] and zones_of(harness, second) == ["b"]
    harness.end_attempt(first, Outcome.EXPIRED)
    assert zones_of(harness, first) == ["b", "b"], "the retry goes to the build of the attempt in flight"
    assert zones_of(harness, harness.accept("pay", "k")) == zones


def test_late_response_of_a_rolled_back_build_does_not_pin_a_one_way_key() -> None:
    """Guards against a response that pins its key to a build rolled back during the attempt."""
    harness = one_way_harness()
    key = key_of_candidate(harness)
    first = harness.accept("look", key)
    assert zones_of(harness, first) == ["b"]
    harness.set_release(stage=0, phase=ReleasePhase.ROLLED_BACK, cap=0.0)
    harness.set_release(stage=0, cap=0.0, build=3)
    harness.end_attempt(first)
    assert zones_of(harness, harness.accept("pay", key)) == ["a"]
