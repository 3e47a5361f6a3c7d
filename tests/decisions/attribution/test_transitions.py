"""How long conclusions are delayed after a change of a candidate."""

from __future__ import annotations

from gullmount.decisions.attribution.transitions import (
    BLAMABLE_AFTER_RELEASE_SECONDS,
    PROMOTION_SPACING_SECONDS,
    ROLLBACK_SETTLING_SECONDS,
    Transitions,
)
from gullmount.decisions.model import ReleasePhase
from gullmount.decisions.releases import Candidate


def test_release_leaves_a_build_blamable_for_a_while() -> None:
    transitions, candidate = Transitions(), Candidate(2, 0, ReleasePhase.CANDIDATE, 0.2)
    transitions.record(10.0, [candidate])
    assert transitions.may_be_blamed(candidate, 100.0)
    candidate.phase, candidate.released_at = ReleasePhase.RELEASED, 100.0
    transitions.record(100.0, [candidate])
    assert transitions.may_be_blamed(candidate, 100.0 + BLAMABLE_AFTER_RELEASE_SECONDS - 0.1)
    assert not transitions.may_be_blamed(candidate, 100.0 + BLAMABLE_AFTER_RELEASE_SECONDS)


def test_build_that_was_released_before_the_instance_started_is_never_blamed() -> None:
    transitions, candidate = Transitions(), Candidate(1, 2, ReleasePhase.RELEASED, 1.0)
    transitions.record(10.0, [candidate])
    assert not transitions.may_be_blamed(candidate, 10.0)


def test_change_of_one_candidate_delays_the_other_only() -> None:
    transitions = Transitions()
    older, newer = (Candidate(build, 0, ReleasePhase.CANDIDATE, 0.2) for build in (2, 3))
    transitions.record(10.0, [older, newer])
    older.stage = 1
    transitions.record(20.0, [older, newer])
    assert transitions.others_are_settled(2, 20.0)
    assert not transitions.others_are_settled(3, 20.0)
    assert transitions.others_are_settled(3, 20.0 + PROMOTION_SPACING_SECONDS)


def test_rollback_is_settled_once_its_queues_had_time_to_drain_or_its_build_is_gone() -> None:
    transitions, candidate = Transitions(), Candidate(2, 0, ReleasePhase.ROLLING_BACK, 0.2)
    transitions.record(10.0, [candidate])
    assert not transitions.rollbacks_are_settled(10.0)
    assert transitions.rollbacks_are_settled(10.0 + ROLLBACK_SETTLING_SECONDS)
    transitions.record(11.0, [])
    assert transitions.rollbacks_are_settled(11.0) and not transitions.by_build
