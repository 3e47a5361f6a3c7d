"""The builds in release: which is a candidate, at which stage, and which servers belong to it."""

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

INITIAL_BUILD = -1  # stands for whatever runs before the first release status


@dataclass(frozen=True, slots=True)
class CastVote:
    """What an instance voted last on a candidate."""

    vote: Vote
    conclusive: bool
    """Whether its evidence was enough by itself, so that it went to the release controller directly."""


@dataclass(frozen=True, slots=True)
class ReceivedVote:
    """A vote that a peer sent."""

    vote: Vote
    stage: int
    received_at: float
    """Seconds on the runtime's clock."""


NO_VOTE = CastVote(Vote.NONE, conclusive=False)


@dataclass(slots=True)
class CanaryEvidence:
    """What canary analysis keeps of one candidate."""

    baseline_times: TimesBySlice = field(default_factory=dict)
    """Times from before the candidate, by route, in latency objectives."""
    baseline_load: float = 0.0
    """Requests between two evaluations before the candidate."""
    metrics: MetricTotals = field(default_factory=MetricTotals)
    shared_slowdown: float = 0.0
    """By how much all builds slowed: logarithm times traffic share, summed over seconds."""


@dataclass(slots=True)
class VotingState:
    """What voting keeps of one candidate."""

    last_vote: CastVote = NO_VOTE
    renew_at: float = 0.0
    """Seconds on the runtime's clock from which the last vote is cast again."""
    peer_votes: dict[int, ReceivedVote] = field(default_factory=dict)
    """By instance number."""


class Candidate:
    """A build in release; lives until a newer one is named and it has ended."""

    def __init__(self, build: int, stage: int, phase: ReleasePhase, exposure_limit: float) -> None:
        self.build = build
        self.stage = stage
        self.phase = phase
        self.exposure_limit = exposure_limit
        self.released_at = 0.0
        """Seconds on the runtime's clock; 0 if it has not been released under this instance's eyes."""
        self.traffic_share = 0.0
        """Share of the keys that belong to it, from 0 to 1."""
        self.limit_factor = 1.0
        """Factor of the exposure limit, below 1 while its traffic is reduced."""
        self.hash_end: int | None = None
        """The end of the hash range that its share grows from: 0 from below, 1 from above."""
        self.peak_traffic_share = 0.0
        """The largest traffic share that it has had."""
        self.affinity_overflowed = False
        """Whether more keys met it than are remembered one by one."""
        self.failing_routes: set[str] = set()
        """Routes that stay on the baseline."""
        self.evidence = CanaryEvidence()
        self.voting_state = VotingState()

    def contains(self, hash_position: float) -> bool:
        """Whether the position lies in its present share of the hash range."""
        return self._covers(self.traffic_share, hash_position)

    def ever_contained(self, hash_position: float) -> bool:
        """Whether the position lies in the widest share that it has had."""
        return self._covers(self.peak_traffic_share, hash_position)

    def advance(self, stage: int, phase: ReleasePhase, exposure_limit: float, now: float) -> None:
        """Take over a release status; its share never stays above the limit."""
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
    """The builds that release statuses have named and that still matter, the newest last."""

    def __init__(self, settings: ReleaseSettings) -> None:
        self.settings = settings
        first = Candidate(INITIAL_BUILD, 0, ReleasePhase.RELEASED, settings.exposure_limits[0])
        self.candidates = [first]

    @property
    def newest(self) -> Candidate:
        """The newest build that was named."""
        return self.candidates[-1]

    def find(self, build: int) -> Candidate | None:
        """Return the build's release, None where it is not known."""
        return next((candidate for candidate in self.candidates if candidate.build == build), None)

    def unfinished_release(self, build: int) -> Candidate | None:
        """Return the unfinished release that servers of the build belong to, None where the build serves.

        Servers of a build that is newer than all named ones belong to the newest release.
        """
        newest = self.newest
        candidate = newest if build >= newest.build else self.find(build)
        if candidate is None:
            return None
        if candidate.build == build and candidate.phase is ReleasePhase.RELEASED:
            return None
        return candidate

    def admits(self, build: int, phase: ReleasePhase) -> bool:
        """Whether the status of a build that is not known is news: an older one ended long ago."""
        if build >= self.newest.build:
            return True
        return phase is ReleasePhase.CANDIDATE and self.settings.concurrent_candidates > 1

    def add(self, build: int, stage: int, exposure_limit: float) -> Candidate:
        """Begin a release; of the others those that have not ended stay, where several may run."""
        new_candidate = Candidate(build, stage, self.newest.phase, exposure_limit)
        allows_several = self.settings.concurrent_candidates > 1
        kept = [other for other in self.candidates if allows_several and other.phase in UNFINISHED_PHASES]
        self.candidates = sorted([*kept, new_candidate], key=lambda candidate: candidate.build)
        return new_candidate
