"""What attribution reads and writes of a server and of a candidate.

Protocols in place of the classes in `gullmount.decisions.endpoints` and `releases`, so that a test can pass
anything that has these few attributes.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import Protocol, TypeVar

from gullmount.decisions.model import ReleasePhase
from gullmount.decisions.releases import Ballot


class ServerView(Protocol):
    """A server in the endpoint list."""

    id: str
    build: int
    zone: str
    ready: bool

    def age(self, now: float) -> float:
        """Return the seconds since the server started."""
        ...


class CandidateView(Protocol):
    """A build under release."""

    build: int
    stage: int
    phase: ReleasePhase
    released_at: float  # seconds; 0 where the build wasn't released during the life of the instance
    traffic_share: float  # of all requests, 0 to 1
    exposure_limit: float  # highest share that its stage allows, 0 to 1
    limit_factor: float  # of the exposure limit; attribution sets it
    failing_routes: set[str]  # attribution adds to it
    ballot: Ballot  # holds the vote cast last


AnyCandidate = TypeVar("AnyCandidate", bound=CandidateView)


def find_unreleased_builds(candidates: Iterable[CandidateView]) -> set[int]:
    """Return the builds that aren't released: still candidates, or rolled back."""
    return {candidate.build for candidate in candidates if candidate.phase is not ReleasePhase.RELEASED}
