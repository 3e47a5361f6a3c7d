"""Applies assessments to the candidates: limit factors, failing routes, and the votes to cast."""

from __future__ import annotations

from collections.abc import Iterable, Sequence
from typing import Generic, NamedTuple

from gullmount.decisions.attribution.findings import Assessment
from gullmount.decisions.attribution.traffic_reduction import REDUCED_LIMIT_FACTOR
from gullmount.decisions.attribution.views import AnyCandidate, CandidateView
from gullmount.decisions.model import ROLLBACK_PHASES, ReleasePhase, Vote


class CandidateVote(NamedTuple, Generic[AnyCandidate]):
    """A vote to cast on a candidate, and its reason for the log."""

    candidate: AnyCandidate
    vote: Vote
    reason: str


def apply_assessments(
    candidates: Iterable[AnyCandidate], assessments: Sequence[Assessment]
) -> list[CandidateVote[AnyCandidate]]:
    """Set the limit factors and failing routes of the candidates, and return the votes to cast.

    One assessment is enough for a rollback; a promotion needs all assessments.
    """
    votes: list[CandidateVote[AnyCandidate]] = []
    for candidate in candidates:
        is_reduced = any(one.reduced_build == candidate.build for one in assessments)
        candidate.limit_factor = REDUCED_LIMIT_FACTOR if is_reduced else 1.0
        if candidate.phase in ROLLBACK_PHASES:
            continue
        for assessment in assessments:
            candidate.failing_routes.update(assessment.failing_routes.get(candidate.build, ()))
        vote = _vote_on(candidate, assessments)
        if vote is not None:
            votes.append(vote)
    return votes


def _vote_on(
    candidate: AnyCandidate, assessments: Sequence[Assessment]
) -> CandidateVote[AnyCandidate] | None:
    for assessment in assessments:
        if candidate.build in assessment.rollback_reasons:
            reason = assessment.rollback_reasons[candidate.build]
            return CandidateVote(candidate, Vote.ROLLBACK, reason)
    if _is_promotable(candidate, assessments):
        return CandidateVote(candidate, Vote.PROMOTE, "no evidence against the build")
    if candidate.voting_state.last_vote.vote is not Vote.NONE:
        return CandidateVote(candidate, Vote.NONE, "held")
    return None


def _is_promotable(candidate: CandidateView, assessments: Iterable[Assessment]) -> bool:
    """Return whether every assessment allows the promotion of the candidate from its current stage."""
    return candidate.phase is ReleasePhase.CANDIDATE and all(
        assessment.promotable_stages.get(candidate.build) == candidate.stage for assessment in assessments
    )
