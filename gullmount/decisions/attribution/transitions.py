"""When each candidate last changed its stage or phase, and which conclusions must wait for that.

An effect that is seen right after a change may belong to it: until it had time to show or to go, no other
candidate is promoted or blamed for it.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gullmount.decisions.attribution.views import CandidateView
from gullmount.decisions.model import ROLLBACK_PHASES, ReleasePhase

PROMOTION_SPACING_SECONDS = 2.5  # after one candidate's change before another is promoted
BLAMABLE_AFTER_RELEASE_SECONDS = 8.0  # only when released a build carries all traffic
ROLLBACK_SETTLING_SECONDS = 8.0  # until the queues that a rolled-back build caused have drained


class Transition(NamedTuple):
    """The newest stage and phase of a candidate, and when they were first seen, in seconds."""

    stage: int
    phase: ReleasePhase
    at: float


class Transitions:
    """The newest transition of each candidate."""

    def __init__(self) -> None:
        self.by_build: dict[int, Transition] = {}

    def record(self, now: float, candidates: Sequence[CandidateView]) -> None:
        """Note what has changed, and forget the builds that are no candidates any more."""
        for candidate in candidates:
            last_transition = self.by_build.get(candidate.build, Transition(-1, ReleasePhase.RELEASED, 0.0))
            if (last_transition.stage, last_transition.phase) != (candidate.stage, candidate.phase):
                self.by_build[candidate.build] = Transition(candidate.stage, candidate.phase, now)
        removed_builds = self.by_build.keys() - {candidate.build for candidate in candidates}
        for build in removed_builds:
            del self.by_build[build]

    def may_be_blamed(self, candidate: CandidateView, now: float) -> bool:
        """Whether the build is a candidate, or was released a short time ago."""
        last_transition = self.by_build[candidate.build]
        if last_transition.phase is ReleasePhase.CANDIDATE:
            return True
        newly_released = (
            candidate.released_at > 0 and now - last_transition.at < BLAMABLE_AFTER_RELEASE_SECONDS
        )
        return last_transition.phase is ReleasePhase.RELEASED and newly_released

    def others_are_settled(self, build: int, now: float) -> bool:
        """Whether no other candidate changed so lately that effects couldn't be told apart."""
        change_times = [
            last_transition.at
            for other_build, last_transition in self.by_build.items()
            if other_build != build
        ]
        return all(now - at >= PROMOTION_SPACING_SECONDS for at in change_times)

    def rollbacks_are_settled(self, now: float) -> bool:
        """Whether no rolled-back build can be the cause of a slowdown any more."""
        rollback_times = [
            last_transition.at
            for last_transition in self.by_build.values()
            if last_transition.phase in ROLLBACK_PHASES
        ]
        return all(now - at >= ROLLBACK_SETTLING_SECONDS for at in rollback_times)
