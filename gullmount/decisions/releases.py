"""Tracks the builds under release: which are candidates, at which stage, and which servers belong to them."""

from __future__ import annotations

from dataclasses import dataclass, field

from gullmount.decisions.metric_totals import MetricTotals
from gullmount.decisions.model import (
    ROLLBACK_PHASES,
    UNFINISHED_PHASES,
    ReleasePhase,
    ReleaseSettings,
    Vote,
)
from gullmount.decisions.statistics import TimesBySlice

# Stands for the builds that run before the first release status arrives.
INITIAL_BUILD = -1


@dataclass(frozen=True, slots=True)
class CastVote:
    """The last vote that an instance cast on a candidate.

    Attributes:
        vote: The vote.
        conclusive: Whether the instance's own evidence was enough, so that the vote went directly to the
            release controller.
    """

    vote: Vote
    conclusive: bool


@dataclass(frozen=True, slots=True)
class ReceivedVote:
    """A vote that a peer sent.

    Attributes:
        vote: The vote.
        stage: The release stage that it applies to.
        received_at: When it arrived, in seconds on the runtime's clock.
    """

    vote: Vote
    stage: int
    received_at: float


NO_VOTE = CastVote(Vote.NONE, conclusive=False)


@dataclass(slots=True)
class CanaryEvidence:
    """The state of canary analysis for one candidate.

    Attributes:
        baseline_times: Times from before the candidate, by route, in latency objectives.
        baseline_load: Mean number of requests between two evaluations, from before the candidate.
        metrics: Totals of the platform's metrics.
        shared_slowdown: By how much all builds have slowed: the logarithm of the slowdown times the traffic
            share, summed over seconds.
    """

    baseline_times: TimesBySlice = field(default_factory=dict)
    baseline_load: float = 0.0
    metrics: MetricTotals = field(default_factory=MetricTotals)
    shared_slowdown: float = 0.0


@dataclass(slots=True)
class VotingState:
    """The state of voting for one candidate.

    Attributes:
        last_vote: The last vote that this instance cast.
        renew_at: When the last vote is cast again, in seconds on the runtime's clock.
        peer_votes: The last vote of each peer, by instance number.
    """

    last_vote: CastVote = NO_VOTE
    renew_at: float = 0.0
    peer_votes: dict[int, ReceivedVote] = field(default_factory=dict)


class Candidate:
    """A build under release.

    It is dropped when another build is added, unless several candidates may be in release at once and its own
    release has not ended.

    Attributes:
        build: The build's number.
        stage: The release stage, from 0.
        phase: The release phase.
        exposure_limit: Share of the requests that may be sent to the build, from 0 to 1.
        released_at: When the build was released, in seconds on the runtime's clock; 0 if this instance has
            not seen its release.
        traffic_share: Share of the keys that belong to the build, from 0 to 1.
        limit_factor: Factor of the exposure limit; below 1 while the build's traffic is reduced.
        hash_end: The end of the hash range from which the traffic share grows: 0 grows upwards, 1 downwards.
            None while neither end is assigned.
        peak_traffic_share: The largest traffic share that the build has had.
        affinity_overflowed: Whether more keys were served by the build than can be remembered one by one.
        failing_routes: Routes that fail at the build and stay on the baseline.
        evidence: The state of canary analysis.
        voting_state: The state of voting.
    """

    def __init__(self, build: int, stage: int, phase: ReleasePhase, exposure_limit: float) -> None:
        self.build = build
        self.stage = stage
        self.phase = phase
        self.exposure_limit = exposure_limit
        self.released_at = 0.0
        self.traffic_share = 0.0
        self.limit_factor = 1.0
        self.hash_end: int | None = None
        self.peak_traffic_share = 0.0
        self.affinity_overflowed = False
        self.failing_routes: set[str] = set()
        self.evidence = CanaryEvidence()
        self.voting_state = VotingState()

    def contains(self, hash_position: float) -> bool:
        """Return whether the position lies in the build's current share of the hash range."""
        return self._covers(self.traffic_share, hash_position)

    def ever_contained(self, hash_position: float) -> bool:
        """Return whether the position lies in the largest share of the hash range that the build has had."""
        return self._covers(self.peak_traffic_share, hash_position)

    def advance(self, stage: int, phase: ReleasePhase, exposure_limit: float, now: float) -> None:
        """Apply a release status, and cut the traffic share to the new exposure limit."""
        if phase is ReleasePhase.RELEASED and self.phase is ReleasePhase.CANDIDATE:
            self.released_at = now
        if phase in ROLLBACK_PHASES:
            self.affinity_overflowed = False
        self.stage = stage
        self.phase = phase
        self.exposure_limit = exposure_limit
        self.traffic_share = min(self.traffic_share, exposure_limit)

    def _covers(self, share: float, hash_position: float) -> bool:
        return hash_position >= 1 - share if self.hash_end else hash_position < share


class Releases:
    """The builds named by release statuses that still matter, sorted from oldest to newest."""

    def __init__(self, settings: ReleaseSettings) -> None:
        self.settings = settings
        first = Candidate(INITIAL_BUILD, 0, ReleasePhase.RELEASED, settings.exposure_limits[0])
        self.candidates = [first]

    @property
    def newest(self) -> Candidate:
        """The newest build that a release status has named."""
        return self.candidates[-1]

    def find(self, build: int) -> Candidate | None:
        """Return the build's release, or None if the build is not known."""
        return next((candidate for candidate in self.candidates if candidate.build == build), None)

    def unfinished_release(self, build: int) -> Candidate | None:
        """Return the unfinished release that servers of the build belong to, or None for a baseline build.

        Servers of a build newer than every named build belong to the newest release.
        """
        newest = self.newest
        candidate = newest if build >= newest.build else self.find(build)
        if candidate is None:
            return None
        if candidate.build == build and candidate.phase is ReleasePhase.RELEASED:
            return None
        return candidate

    def admits(self, build: int, phase: ReleasePhase) -> bool:
        """Return whether a status of a build that is not known yet begins a release.

        The release of an unknown older build ended long ago, unless it is a candidate and several candidates
        may be in release at once.
        """
        if build >= self.newest.build:
            return True
        return phase is ReleasePhase.CANDIDATE and self.settings.concurrent_candidates > 1

    def add(self, build: int, stage: int, exposure_limit: float) -> Candidate:
        """Begin the release of a build.

        Where several candidates may be in release at once, the unfinished releases are kept. All other
        releases are dropped.
        """
        new_candidate = Candidate(build, stage, self.newest.phase, exposure_limit)
        allows_several = self.settings.concurrent_candidates > 1
        kept = [other for other in self.candidates if allows_several and other.phase in UNFINISHED_PHASES]
        self.candidates = sorted([*kept, new_candidate], key=lambda candidate: candidate.build)
        return new_candidate
