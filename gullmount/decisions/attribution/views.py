"""Defines the protocols by which attribution accesses servers and candidates.

Attribution depends on these protocols instead of the classes in `gullmount.decisions.endpoints` and
`releases`, so that a test can pass any object with these few attributes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from gullmount.decisions.model import ReleasePhase
from gullmount.decisions.releases import VotingState


class ServerView(Protocol):
    """A server in the endpoint list."""

    id: str
    build: int
    zone: str
    ready: bool

    def age(self, now: float) -> float:
        """Return the time since the start of the server, in seconds."""
        ...


class CandidateView(Protocol):
    """A build under release.

    Attributes:
        build: Number of the build.
        stage: Number of the current stage.
        phase: Phase of the release.
        released_at: Time of the release in seconds; 0 if it was not during the lifetime of the instance.
        traffic_share: Share of all requests, from 0 to 1.
        exposure_limit: Highest share that the stage allows, from 0 to 1.
        limit_factor: Factor on the exposure limit; set by attribution.
        failing_routes: Names of the routes that the build fails on; attribution adds to them.
        ballot: Holds the vote cast last.
    """

    build: int
    stage: int
    phase: ReleasePhase
    released_at: float
    traffic_share: float
    exposure_limit: float
    limit_factor: float
    failing_routes: set[str]
    voting_state: VotingState


AnyCandidate = TypeVar("AnyCandidate", bound=CandidateView)


def find_unreleased_builds(candidates: Iterable[CandidateView]) -> set[int]:
    """Return the builds that are not released: those that are still candidates or are rolled back."""
    return {candidate.build for candidate in candidates if candidate.phase is not ReleasePhase.RELEASED}
