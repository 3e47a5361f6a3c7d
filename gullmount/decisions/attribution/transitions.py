"""Tracks when each candidate last changed its stage or phase, and delays conclusions that depend on it.

A degradation right after a change may be an effect of that change. No other candidate is promoted, or blamed
for the effect, before it had time to appear or disappear.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from gullmount.decisions.attribution.views import CandidateView
from gullmount.decisions.model import ROLLBACK_PHASES, ReleasePhase

# Minimum time from a change of one candidate to the promotion of another.
PROMOTION_SPACING_SECONDS = 2.5

# A build can be blamed for this long after its release, because it has all of the traffic only from then on.
BLAMABLE_AFTER_RELEASE_SECONDS = 8.0

# Time in which the queues caused by a rolled-back build drain.
ROLLBACK_SETTLING_SECONDS = 8.0


class Transition(NamedTuple):
    """The newest stage and phase of a candidate, and the time of their first observation in seconds."""

    stage: int
    phase: ReleasePhase
    at: float


class Transitions:
    """The newest transition of each candidate."""

    def __init__(self) -> None:
        self.by_build: dict[int, Transition] = {}

    def record(self, now: float, candidates: Sequence[CandidateView]) -> None:
        """Record the changed candidates, and remove the builds that are no longer among the candidates."""
        for candidate in candidates:
            last_transition = self.by_build.get(candidate.build, Transition(-1, ReleasePhase.RELEASED, 0.0))
            if (last_transition.stage, last_transition.phase) != (candidate.stage, candidate.phase):
                self.by_build[candidate.build] = Transition(candidate.stage, candidate.phase, now)
        removed_builds = self.by_build.keys() - {candidate.build for candidate in candidates}
        for build in removed_builds:
            del self.by_build[build]

    def may_be_blamed(self, candidate: CandidateView, now: float) -> bool:
        """Return whether the build is still a candidate, or was released a short time ago."""
        last_transition = self.by_build[candidate.build]
        if last_transition.phase is ReleasePhase.CANDIDATE:
            return True
        newly_released = (
            candidate.released_at > 0 and now - last_transition.at < BLAMABLE_AFTER_RELEASE_SECONDS
        )
        return last_transition.phase is ReleasePhase.RELEASED and newly_released

    def others_are_settled(self, build: int, now: float) -> bool:
        """Return whether no other candidate changed so recently that their effects could be confused."""
        change_times = [
            last_transition.at
            for other_build, last_transition in self.by_build.items()
            if other_build != build
        ]
        return all(now - at >= PROMOTION_SPACING_SECONDS for at in change_times)

    def rollbacks_are_settled(self, now: float) -> bool:
        """Return whether no rolled-back build can still be the cause of a slowdown."""
        rollback_times = [
            last_transition.at
            for last_transition in self.by_build.values()
            if last_transition.phase in ROLLBACK_PHASES
        ]
        return all(now - at >= ROLLBACK_SETTLING_SECONDS for at in rollback_times)
