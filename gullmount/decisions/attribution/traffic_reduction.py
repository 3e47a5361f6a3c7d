"""Reduces the traffic of a candidate for some seconds, to see whether a slowdown of all servers follows.

While traffic shares are constant, a build that slows all servers cannot be distinguished from a slow
dependency, so the cause might remain unknown. During a reduction, the keys of that part of the traffic return
to the earlier build for some seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

from gullmount.decisions.attribution.findings import Assessment, Cause, Finding
from gullmount.decisions.attribution.views import CandidateView, ServerView, find_unreleased_builds

# Factor on the exposure limit during a reduction: small enough for a visible effect, and large enough to keep
# the servers warm.
REDUCED_LIMIT_FACTOR = 0.3

# A reduction begins after the cause has been unknown for this long.
UNKNOWN_CAUSE_SECONDS = 2.0

# A reduction takes longer than the effect of a traffic share takes to disappear.
REDUCTION_SECONDS = 4.5

# Interval from the start of one reduction to the start of the next.
REDUCTION_INTERVAL_SECONDS = 8.0

# Highest load of the released builds during a reduction, as a multiple of the mean load. An overload caused
# by the reduction itself would mislead the evaluation.
MAX_LOAD_RATIO = 1.5

# Takes the build whose traffic the leader wants to reduce, or 0 after the end of a reduction.
RequestReduction = Callable[[int], None]


class TrafficReduction:
    """The newest reduction, current or ended, and the time since which the cause of a slowdown is unknown.

    Attributes:
        is_allowed: Whether keys may return to an earlier build at all.
        build: The build whose traffic was reduced last; 0 for none.
        started_at: Start of that reduction, in seconds.
        unknown_since: Start of the period in which the cause of a slowdown is unknown, in seconds; None
            outside such a period.
        requested_by_leader: Whether the reduction was granted to this instance as the leader.
        request_reduction: Called by the leader instead of beginning a reduction; `begin` is called once the
            request is granted.
    """

    def __init__(self, is_allowed: bool) -> None:
        self.is_allowed = is_allowed
        self.build = 0
        self.started_at = float("-inf")
        self.unknown_since: float | None = None
        self.requested_by_leader = False
        self.request_reduction: RequestReduction | None = None

    def begin(self, now: float, build: int) -> None:
        """Begin a reduction requested by the leader, now that it is stored where the next leader finds it."""
        self.build, self.started_at, self.requested_by_leader = build, now, True

    def follow(self, now: float, assessment: Assessment) -> int:
        """Adopt the reduction of an evaluator that takes precedence; return its build, or 0 for none."""
        if assessment.reduced_build:
            self.build, self.started_at = assessment.reduced_build, now
        return assessment.reduced_build

    def choose(
        self,
        now: float,
        slowdown: Finding,
        blamed_builds: Collection[int],
        *,
        can_absorb_traffic: bool,
        has_leader: bool,
        is_evaluator: bool,
    ) -> int:
        """Return the build whose traffic to reduce now, or 0 for none.

        Args:
            now: Time on the clock of the instance, in seconds.
            slowdown: The finding on the slowdown; if its cause is unknown, its build is the one to reduce.
            blamed_builds: The builds that are about to be rolled back.
            can_absorb_traffic: Whether the released builds have the capacity for the traffic.
            has_leader: Whether a leader decides for all instances. A leader must request a reduction first.
            is_evaluator: Whether this instance is an evaluator: the leader, if there is one.
        """
        if self.build and now - self.started_at < REDUCTION_SECONDS:
            return 0 if self.build in blamed_builds else self.build
        if self.requested_by_leader and self.request_reduction is not None:
            self.requested_by_leader = False
            self.request_reduction(0)
        if slowdown.cause is not Cause.UNKNOWN or not slowdown.build:
            self.unknown_since = None
            return 0
        if self.unknown_since is None:
            self.unknown_since = now
        if not (self.is_allowed and can_absorb_traffic and self._is_due(now, self.unknown_since)):
            return 0
        if not has_leader:
            self.build, self.started_at = slowdown.build, now
            return slowdown.build
        if is_evaluator and self.request_reduction is not None:
            self.request_reduction(slowdown.build)
        return 0

    def _is_due(self, now: float, unknown_since: float) -> bool:
        return (
            now - unknown_since >= UNKNOWN_CAUSE_SECONDS
            and now - self.started_at >= REDUCTION_INTERVAL_SECONDS
        )


def can_absorb(
    candidate: CandidateView, candidates: Sequence[CandidateView], servers: Iterable[ServerView]
) -> bool:
    """Return whether the released builds have the capacity for the traffic that a reduction moves to them."""
    unreleased_builds = find_unreleased_builds(candidates)
    ready = [server.build for server in servers if server.ready]
    released_fraction = sum(build not in unreleased_builds for build in ready) / max(1, len(ready))
    reduced_share = min(candidate.traffic_share, REDUCED_LIMIT_FACTOR * candidate.exposure_limit)
    other_shares = sum(
        other.traffic_share
        for other in candidates
        if other.build in unreleased_builds and other is not candidate
    )
    return 1 - reduced_share - other_shares <= MAX_LOAD_RATIO * released_fraction
