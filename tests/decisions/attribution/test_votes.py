"""What assessments make of a candidate: its vote, its limit and its failing routes."""

from __future__ import annotations

from gullmount.decisions.attribution import Assessment, Cause, Finding
from gullmount.decisions.attribution.traffic_reduction import REDUCED_LIMIT_FACTOR
from gullmount.decisions.attribution.votes import apply_assessments
from gullmount.decisions.model import ReleasePhase, Vote
from gullmount.decisions.releases import Candidate, CastVote

NOTHING = Finding(Cause.NOTHING)


def candidate(phase: ReleasePhase = ReleasePhase.CANDIDATE) -> Candidate:
    return Candidate(2, 1, phase, 0.2)


def votes(one: Candidate, *assessments: Assessment) -> list[Vote]:
    return [vote for _, vote, _ in apply_assessments([one], assessments)]


def test_one_assessment_is_enough_for_a_rollback() -> None:
    blamed = Assessment(NOTHING, rollback_reasons={2: "fails"}, failing_routes={2: ["pay"]})
    one = candidate()
    assert votes(one, Assessment(NOTHING, promotable_stages={2: 1}), blamed) == [Vote.ROLLBACK]
    assert one.failing_routes == {"pay"}


def test_promotion_needs_all_assessments_and_the_present_stage() -> None:
    promotable = Assessment(NOTHING, promotable_stages={2: 1})
    assert votes(candidate(), promotable, promotable) == [Vote.PROMOTE]
    assert votes(candidate(), promotable, Assessment(NOTHING)) == []
    assert votes(candidate(), Assessment(NOTHING, promotable_stages={2: 0})) == []


def test_earlier_vote_is_withdrawn_once_nothing_speaks_for_it() -> None:
    one = candidate()
    one.voting_state.last_vote = CastVote(Vote.PROMOTE, conclusive=True)
    assert votes(one, Assessment(NOTHING)) == [Vote.NONE]


def test_limit_is_reduced_only_while_an_assessment_says_so() -> None:
    one = candidate()
    votes(one, Assessment(NOTHING, reduced_build=2))
    assert one.limit_factor == REDUCED_LIMIT_FACTOR
    votes(one, Assessment(NOTHING, reduced_build=3))
    assert one.limit_factor == 1.0


def test_build_that_is_rolled_back_gets_no_vote() -> None:
    one = candidate(ReleasePhase.ROLLING_BACK)
    assert votes(one, Assessment(NOTHING, rollback_reasons={2: "fails"}, failing_routes={2: ["pay"]})) == []
    assert one.failing_routes == set()
