"""Two candidates in release at once: their hash ranges, exposure limits, and the end of each release."""

from __future__ import annotations

from collections import Counter

import pytest

from gullmount.decisions.model import EndpointState, EndpointUpdateKind, Outcome, ReleasePhase, Vote
from tests.support.decisions import RouterHarness

SERVERS = {f"a{n}": 1 for n in range(8)} | {"b0": 2, "b1": 2, "c0": 3, "c1": 3}


def two_candidates(exposure_limits: tuple[float, float] = (0.2, 0.2), **changes: object) -> RouterHarness:
    harness = RouterHarness(concurrent_candidates=2, **changes)
    harness.list_servers(SERVERS)
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.set_release(build=2, cap=exposure_limits[0])
    harness.set_release(build=3, cap=exposure_limits[1])
    harness.advance_clock(10.0)
    return harness


def build_by_key(harness: RouterHarness, keys: int = 400) -> dict[str, int]:
    """Send one request per key, and return the build that each key's request was sent to."""
    served_by: dict[str, int] = {}
    for number in range(keys):
        request = harness.accept("look", key=f"k{number}")
        if request.attempts:
            served_by[f"k{number}"] = request.attempts[0].build
        harness.end_attempt(request)
        harness.advance_clock(0.02)
    return served_by


def share_kept(before: dict[str, int], after: dict[str, int], build: int) -> float:
    """Return the share of the build's earlier keys that it still serves.

    A build that reaches its exposure limit loses some of its keys to the baseline.
    """
    keys = [key for key, served_by in before.items() if served_by == build]
    return sum(after[key] == build for key in keys) / len(keys)


def test_traffic_shares_grow_from_opposite_hash_ends_without_overlap() -> None:
    harness = two_candidates()
    older, newer = harness.router.releases.candidates[-2:]
    assert (older.hash_end, newer.hash_end) == (0, 1)
    assert not any(older.contains(n / 1000) and newer.contains(n / 1000) for n in range(1000))
    counts = Counter(build_by_key(harness).values())
    assert counts[2] > 20 and counts[3] > 20 and counts[1] > 200


def test_no_key_is_served_by_both_candidates_while_shares_grow_and_a_release_ends() -> None:
    harness = two_candidates()
    builds_by_key: dict[str, set[int]] = {}
    statuses = (
        (2, 1, ReleasePhase.CANDIDATE, 0.5),
        (3, 1, ReleasePhase.CANDIDATE, 0.5),
        (2, 2, ReleasePhase.CANDIDATE, 1.0),
        (3, 2, ReleasePhase.CANDIDATE, 1.0),
        (2, 2, ReleasePhase.RELEASED, 1.0),
    )
    for build, stage, phase, exposure_limit in statuses:
        for key, served_by in build_by_key(harness).items():
            builds_by_key.setdefault(key, set()).add(served_by)
        harness.set_release(build=build, stage=stage, phase=phase, cap=exposure_limit)
        harness.advance_clock(5.0)
    assert not [key for key, builds in builds_by_key.items() if {2, 3} <= builds]


def test_exposure_limits_above_one_in_total_give_no_key_to_both_candidates() -> None:
    harness = two_candidates(exposure_limits=(1.0, 1.0))
    harness.list_servers({f"b{n}": 2 for n in range(8)} | {f"c{n}": 3 for n in range(8)})
    harness.advance_clock(10.0)
    older, newer = harness.router.releases.candidates[-2:]
    assert older.traffic_share + newer.traffic_share <= 1.0
    assert older.traffic_share > 0.3 and newer.traffic_share > 0.1


def test_each_exposure_limit_is_kept_by_itself() -> None:
    harness = two_candidates(exposure_limits=(0.2, 0.5))
    harness.router.traffic_split.update = lambda now: None  # type: ignore[method-assign]
    for candidate in harness.router.releases.candidates:
        candidate.traffic_share = 0.5 if candidate.build > 1 else 0.0
    counts: Counter[int] = Counter()
    for number in range(300):
        request = harness.accept("look", key=f"k{number}")
        counts[request.attempts[0].build] += 1
        harness.end_attempt(request)
        harness.advance_clock(0.03)
    assert 0.12 * 300 < counts[2] < 0.25 * 300
    assert 0.40 * 300 < counts[3] < 0.52 * 300


def test_older_candidate_serves_once_released_and_the_newer_keeps_its_keys() -> None:
    harness = two_candidates()
    before = build_by_key(harness)
    harness.set_release(build=2, stage=2, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.list_servers(
        {f"a{n}": 1 for n in range(8)}, EndpointUpdateKind.UPDATE, state=EndpointState.REMOVED
    )
    after = build_by_key(harness)
    assert share_kept(before, after, 3) > 0.8
    assert Counter(after.values())[2] > 250


@pytest.mark.parametrize(("rolled_back", "remaining"), [(2, 3), (3, 2)])
def test_rollback_of_one_candidate_leaves_the_other_its_keys(rolled_back: int, remaining: int) -> None:
    harness = two_candidates()
    before = build_by_key(harness)
    harness.set_release(build=rolled_back, phase=ReleasePhase.ROLLING_BACK, cap=0.0)
    after = build_by_key(harness)
    assert rolled_back not in after.values()
    assert share_kept(before, after, remaining) > 0.8


def test_newer_candidate_released_first_leaves_the_older_in_release() -> None:
    harness = two_candidates()
    harness.set_release(build=3, stage=2, phase=ReleasePhase.RELEASED, cap=1.0)
    counts = Counter(build_by_key(harness).values())
    assert 0 < counts[2] <= 0.2 * 400 + 2 and counts[3] and counts[1]


def test_third_candidate_gets_no_traffic_until_a_hash_end_is_free() -> None:
    harness = two_candidates()
    harness.list_servers({"d0": 4, "d1": 4}, EndpointUpdateKind.UPDATE)
    harness.set_release(build=4, cap=0.2)
    harness.advance_clock(5.0)
    assert 4 not in build_by_key(harness).values()
    harness.set_release(build=2, phase=ReleasePhase.ROLLED_BACK, cap=0.0)
    harness.list_servers({"b0": 2, "b1": 2}, EndpointUpdateKind.UPDATE, state=EndpointState.REMOVED)
    harness.advance_clock(5.0)
    assert 4 in build_by_key(harness).values()


def test_older_candidate_whose_status_arrives_late_keeps_its_exposure_limit() -> None:
    harness = RouterHarness(concurrent_candidates=2)
    harness.list_servers(SERVERS)
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.set_release(build=3, cap=0.2)
    # The status of the older build arrives after that of the newer one.
    harness.set_release(build=2, cap=0.2)
    harness.advance_clock(10.0)
    assert [candidate.build for candidate in harness.router.releases.candidates] == [2, 3]
    assert Counter(build_by_key(harness).values())[2] <= 0.2 * 400 + 2


def test_status_of_an_older_build_is_ignored_without_concurrent_candidates() -> None:
    harness = RouterHarness()
    harness.list_servers(SERVERS)
    harness.set_release(build=3, cap=0.2)
    harness.set_release(build=2, cap=0.2)
    assert [candidate.build for candidate in harness.router.releases.candidates] == [3]


def test_key_goes_to_the_baseline_while_all_servers_of_its_candidate_are_ejected() -> None:
    harness = RouterHarness(concurrent_candidates=2)
    # Zone a is the nearest one.
    harness.list_servers({f"b{n}": 1 for n in range(4)} | {"b8": 2, "b9": 2, "a0": 3, "a1": 3})
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.set_release(build=2, cap=0.5)
    harness.set_release(build=3, cap=0.5)
    harness.advance_clock(10.0)
    older = harness.router.releases.candidates[-2]
    for server in harness.router.endpoints.servers.values():
        server.ejection.ejected_until = harness.clock + 100.0 if server.build == 2 else 0.0
    for number in range(200):
        request = harness.accept("look", key=f"k{number}")
        if older.contains(request.hash_position):
            assert [attempt.build for attempt in request.attempts] == [1]
        harness.end_attempt(request)
        harness.advance_clock(0.02)


def test_failed_vote_is_cast_again_for_its_build_only() -> None:
    harness = two_candidates()
    for candidate in harness.router.releases.candidates:
        candidate.voting_state.renew_at = 1e9
    harness.router.vote_failed(3)
    renewal_times = {
        candidate.build: candidate.voting_state.renew_at for candidate in harness.router.releases.candidates
    }
    assert renewal_times[2] == 1e9 and renewal_times[3] < 1e9


def test_only_the_failing_candidate_gets_votes_to_roll_back() -> None:
    harness = two_candidates()
    for number in range(600):
        request = harness.accept("look", key=f"k{number}")
        fails = bool(request.attempts) and request.attempts[-1].build == 3
        if request.attempts_in_flight:
            request.attempt_ended(
                len(request.attempts) - 1, Outcome.ERROR if fails else Outcome.COMPLETED, 0.1, not fails
            )
            harness.end_attempt(request)
        harness.advance_clock(0.02)
    assert (3, 0, Vote.ROLLBACK) in harness.votes
    assert not [vote for vote in harness.votes if vote[0] == 2 and vote[2] is Vote.ROLLBACK]
