"""Two builds on trial in the module: the hash's two ends, each cap by itself, and what each ending does."""

from __future__ import annotations

from collections import Counter

import pytest

from gullmount.decisions.model import EndpointState, EndpointUpdateKind, Outcome, ReleasePhase, Vote
from tests.support.decisions import RouterHarness

BOXES = {f"a{n}": 1 for n in range(8)} | {"b0": 2, "b1": 2, "c0": 3, "c1": 3}


def two(caps: tuple[float, float] = (0.2, 0.2), **changes: object) -> RouterHarness:
    harness = RouterHarness(concurrent_candidates=2, **changes)
    harness.list_servers(BOXES)
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.set_release(build=2, cap=caps[0])
    harness.set_release(build=3, cap=caps[1])
    harness.advance_clock(10.0)
    return harness


def go(harness: RouterHarness, keys: int = 400) -> dict[str, int]:
    """The build that each key's req was sent to."""
    went: dict[str, int] = {}
    for number in range(keys):
        req = harness.accept("look", key=f"k{number}")
        if req.attempts:
            went[f"k{number}"] = req.attempts[0].build
        harness.end_attempt(req)
        harness.advance_clock(0.02)
    return went


def kept(before: dict[str, int], after: dict[str, int], build: int) -> float:
    """The part of a build's keys that it has still; at its cap some go to what serves."""
    keys = [key for key, went in before.items() if went == build]
    return sum(after[key] == build for key in keys) / len(keys)


def test_shares_lie_at_the_two_ends_and_do_not_overlap() -> None:
    harness = two()
    older, newer = harness.router.releases.candidates[-2:]
    assert (older.hash_end, newer.hash_end) == (0, 1)
    assert not any(older.contains(n / 1000) and newer.contains(n / 1000) for n in range(1000))
    counts = Counter(go(harness).values())
    assert counts[2] > 20 and counts[3] > 20 and counts[1] > 200


def test_no_key_moves_between_trials_while_they_grow_and_end() -> None:
    harness = two()
    met: dict[str, set[int]] = {}
    moves = (
        (2, 1, ReleasePhase.CANDIDATE, 0.5),
        (3, 1, ReleasePhase.CANDIDATE, 0.5),
        (2, 2, ReleasePhase.CANDIDATE, 1.0),
        (3, 2, ReleasePhase.CANDIDATE, 1.0),
        (2, 2, ReleasePhase.RELEASED, 1.0),
    )
    for build, stage, phase, cap in moves:
        for key, went in go(harness).items():
            met.setdefault(key, set()).add(went)
        harness.set_release(build=build, stage=stage, phase=phase, cap=cap)
        harness.advance_clock(5.0)
    assert not [key for key, builds in met.items() if {2, 3} <= builds]


def test_caps_that_pass_one_together_leave_no_key_to_both() -> None:
    harness = two(caps=(1.0, 1.0))
    harness.list_servers({f"b{n}": 2 for n in range(8)} | {f"c{n}": 3 for n in range(8)})
    harness.advance_clock(10.0)
    older, newer = harness.router.releases.candidates[-2:]
    assert older.traffic_share + newer.traffic_share <= 1.0
    assert older.traffic_share > 0.3 and newer.traffic_share > 0.1


def test_each_cap_binds_by_itself() -> None:
    harness = two(caps=(0.2, 0.5))
    harness.router.traffic_split.update = lambda now: None  # type: ignore[method-assign]
    for trial in harness.router.releases.candidates:
        trial.traffic_share = 0.5 if trial.build > 1 else 0.0
    counts: Counter[int] = Counter()
    for number in range(300):
        req = harness.accept("look", key=f"k{number}")
        counts[req.attempts[0].build] += 1
        harness.end_attempt(req)
        harness.advance_clock(0.03)
    assert 0.12 * 300 < counts[2] < 0.25 * 300
    assert 0.40 * 300 < counts[3] < 0.52 * 300


def test_older_released_serves_and_the_newer_keeps_its_keys() -> None:
    harness = two()
    before = go(harness)
    harness.set_release(build=2, stage=2, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.list_servers(
        {f"a{n}": 1 for n in range(8)}, EndpointUpdateKind.UPDATE, state=EndpointState.REMOVED
    )
    after = go(harness)
    assert kept(before, after, 3) > 0.8
    assert Counter(after.values())[2] > 250


@pytest.mark.parametrize(("gone", "stays"), [(2, 3), (3, 2)])
def test_one_sent_back_leaves_the_other_where_it_was(gone: int, stays: int) -> None:
    harness = two()
    before = go(harness)
    harness.set_release(build=gone, phase=ReleasePhase.ROLLING_BACK, cap=0.0)
    after = go(harness)
    assert gone not in after.values()
    assert kept(before, after, stays) > 0.8


def test_newer_released_first_leaves_the_older_its_trial() -> None:
    harness = two()
    harness.set_release(build=3, stage=2, phase=ReleasePhase.RELEASED, cap=1.0)
    counts = Counter(go(harness).values())
    assert 0 < counts[2] <= 0.2 * 400 + 2 and counts[3] and counts[1]


def test_third_has_no_part_until_an_end_is_free() -> None:
    harness = two()
    harness.list_servers({"d0": 4, "d1": 4}, EndpointUpdateKind.UPDATE)
    harness.set_release(build=4, cap=0.2)
    harness.advance_clock(5.0)
    assert 4 not in go(harness).values()
    harness.set_release(build=2, phase=ReleasePhase.ROLLED_BACK, cap=0.0)
    harness.list_servers({"b0": 2, "b1": 2}, EndpointUpdateKind.UPDATE, state=EndpointState.REMOVED)
    harness.advance_clock(5.0)
    assert 4 in go(harness).values()


def test_late_news_of_the_older_bind_it_too() -> None:
    harness = RouterHarness(concurrent_candidates=2)
    harness.list_servers(BOXES)
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.set_release(build=3, cap=0.2)
    harness.set_release(build=2, cap=0.2)  # heard after the newer's
    harness.advance_clock(10.0)
    assert [trial.build for trial in harness.router.releases.candidates] == [2, 3]
    assert Counter(go(harness).values())[2] <= 0.2 * 400 + 2


def test_where_one_may_stand_news_of_an_older_change_nothing() -> None:
    harness = RouterHarness()
    harness.list_servers(BOXES)
    harness.set_release(build=3, cap=0.2)
    harness.set_release(build=2, cap=0.2)
    assert [trial.build for trial in harness.router.releases.candidates] == [3]


def test_key_whose_boxes_are_out_goes_to_what_serves_not_to_the_other_trial() -> None:
    harness = RouterHarness(concurrent_candidates=2)
    harness.list_servers(
        {f"b{n}": 1 for n in range(4)} | {"b8": 2, "b9": 2, "a0": 3, "a1": 3}
    )  # a is nearest
    harness.set_release(build=1, phase=ReleasePhase.RELEASED, cap=1.0)
    harness.set_release(build=2, cap=0.5)
    harness.set_release(build=3, cap=0.5)
    harness.advance_clock(10.0)
    older = harness.router.releases.candidates[-2]
    for box in harness.router.endpoints.servers.values():
        box.ejection.ejected_until = harness.clock + 100.0 if box.build == 2 else 0.0
    for number in range(200):
        req = harness.accept("look", key=f"k{number}")
        if older.contains(req.hash_position):
            assert [made.build for made in req.attempts] == [1]
        harness.end_attempt(req)
        harness.advance_clock(0.02)


def test_a_vote_that_failed_is_cast_again_for_its_build_only() -> None:
    harness = two()
    for trial in harness.router.releases.candidates:
        trial.voting_state.renew_at = 1e9
    harness.router.vote_failed(3)
    again = {trial.build: trial.voting_state.renew_at for trial in harness.router.releases.candidates}
    assert again[2] == 1e9 and again[3] < 1e9


def test_votes_name_the_build_they_are_about() -> None:
    harness = two()
    for number in range(600):
        req = harness.accept("look", key=f"k{number}")
        bad = bool(req.attempts) and req.attempts[-1].build == 3
        if req.attempts_in_flight:
            req.attempt_ended(
                len(req.attempts) - 1, Outcome.ERROR if bad else Outcome.COMPLETED, 0.1, not bad
            )
            harness.end_attempt(req)
        harness.advance_clock(0.02)
    assert (3, 0, Vote.ROLLBACK) in harness.votes
    assert not [vote for vote in harness.votes if vote[0] == 2 and vote[2] is Vote.ROLLBACK]
