"""When a candidate's traffic is reduced for some seconds, to see whether a slowdown of all servers follows.

Guards against never knowing: while shares stand still, a build that slows all servers looks as a dependency
does. The cost is that keys of that part of the traffic meet the earlier build for some seconds.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Sequence

from gullmount.decisions.attribution.findings import Assessment, Cause, Finding
from gullmount.decisions.attribution.views import CandidateView, ServerView, find_unreleased_builds

REDUCED_LIMIT_FACTOR = 0.3  # of the exposure limit: enough less to show, and the servers stay warm
UNKNOWN_CAUSE_SECONDS = 2.0  # seconds of an unknown cause after which traffic is reduced
REDUCTION_SECONDS = 4.5  # seconds; longer than the effect of a share takes to go
REDUCTION_INTERVAL_SECONDS = 8.0  # seconds from the start of one reduction to the next
MAX_LOAD_RATIO = 1.5  # of what serves to the mean load: an overload of its own would mislead

RequestReduction = Callable[[int], None]  # the build whose traffic the leader would reduce, 0 when it is over


class TrafficReduction:
    """The reduction under way, and what is known of earlier ones.

    Attributes:
        is_allowed: Whether keys may go back to an earlier build at all.
        build: The build whose traffic was reduced last; 0 for none.
        started_at: When that began, in seconds.
        unknown_since: Since when a slowdown's cause is unknown; None while it isn't.
        requested_by_leader: Whether the reduction was granted to this instance as the leader.
        request: Called by the leader in place of beginning; `begin` follows once it is granted.
    """

    def __init__(self, is_allowed: bool) -> None:
        self.is_allowed = is_allowed
        self.build = 0
        self.started_at = float("-inf")
        self.unknown_since: float | None = None
        self.requested_by_leader = False
        self.request_reduction: RequestReduction | None = None

    def begin(self, now: float, build: int) -> None:
        """Begin a reduction that the leader requested: it is stored where a successor finds it."""
        self.build, self.started_at, self.requested_by_leader = build, now, True

    def follow(self, now: float, assessment: Assessment) -> int:
        """Take over the reduction of an evaluator that goes first; return its build, 0 for none."""
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
        """Return the build whose traffic is to be reduced now, 0 for none.

        Args:
            now: Seconds on the instance's clock.
            slowdown: What explains the slowdown; with an unknown cause its build is the one to try.
            blamed_builds: The builds that are to be rolled back anyway.
            can_absorb_traffic: Whether what serves can take the traffic.
            has_leader: Whether a leader decides for all; it must request a reduction first.
            is_evaluator: Whether this instance is the leader, where there is one.
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
    """Whether what serves can take the traffic that a reduction of the candidate would leave it."""
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
