"""Effects of assessments on a candidate: its vote, its limit factor and its failing routes."""

from __future__ import annotations

from gullmount.decisions.attribution import Assessment, Cause, Finding
from gullmount.decisions.attribution.traffic_reduction import REDUCED_LIMIT_FACTOR
from gullmount.decisions.attribution.votes import apply_assessments
from gullmount.decisions.model import ReleasePhase, Vote
from gullmount.decisions.releases import Candidate, CastVote

NOTHING = Finding(Cause.NOTHING)


def make_candidate(phase: ReleasePhase = ReleasePhase.CANDIDATE) -> Candidate:
    return Candidate(2, 1, phase, 0.2)


def votes_on(candidate: Candidate, *assessments: Assessment) -> list[Vote]:
    return [vote for _, vote, _ in apply_assessments([candidate], assessments)]


def test_one_assessment_is_enough_for_a_rollback() -> None:
    rollback_assessment = Assessment(NOTHING, rollback_reasons={2: "fails"}, failing_routes={2: ["pay"]})
    candidate = make_candidate()
    assert votes_on(candidate, Assessment(NOTHING, promotable_stages={2: 1}), rollback_assessment) == [
        Vote.ROLLBACK
    ]
    assert candidate.failing_routes == {"pay"}


def test_promotion_needs_all_assessments_and_the_present_stage() -> None:
    promotion_assessment = Assessment(NOTHING, promotable_stages={2: 1})
    assert votes_on(make_candidate(), promotion_assessment, promotion_assessment) == [Vote.PROMOTE]
    assert votes_on(make_candidate(), promotion_assessment, Assessment(NOTHING)) == []
    assert votes_on(make_candidate(), Assessment(NOTHING, promotable_stages={2: 0})) == []


def test_earlier_vote_is_withdrawn_once_no_assessment_supports_it() -> None:
    candidate = make_candidate()
    candidate.voting_state.last_vote = CastVote(Vote.PROMOTE, conclusive=True)
    assert votes_on(candidate, Assessment(NOTHING)) == [Vote.NONE]


def test_limit_is_reduced_only_while_an_assessment_names_the_build() -> None:
    candidate = make_candidate()
    votes_on(candidate, Assessment(NOTHING, reduced_build=2))
    assert candidate.limit_factor == REDUCED_LIMIT_FACTOR
    votes_on(candidate, Assessment(NOTHING, reduced_build=3))
    assert candidate.limit_factor == 1.0


def test_build_under_rollback_gets_no_vote() -> None:
    candidate = make_candidate(ReleasePhase.ROLLING_BACK)
    assert (
        votes_on(candidate, Assessment(NOTHING, rollback_reasons={2: "fails"}, failing_routes={2: ["pay"]}))
        == []
    )
    assert candidate.failing_routes == set()
