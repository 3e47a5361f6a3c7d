"""Voting: how much evidence a vote needs, which instance casts it, and when it is renewed.

Each instance votes at the release controller to promote a candidate or to roll it back. Where the controller
acts on a single vote, the instance with the most extreme samples would decide by chance. The instances then
gossip their votes to a few of them, which cast a vote once enough peers agree. A vote whose evidence is
conclusive by itself goes directly to the release controller.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, e, log
from statistics import NormalDist

from gullmount.decisions.model import ROLLBACK_PHASES, InstanceSettings, ReleasePhase, Vote
from gullmount.decisions.releases import Candidate, CastVote, ReceivedVote, Releases
from gullmount.decisions.runtime import Runtime

# Probability that a good build is rolled back by chance, over `INDEPENDENT_EVALUATIONS`.
FALSE_ALARM_PROBABILITY = 0.01

# Number of evaluations of a candidate that count as independent. It is low, as evidence changes slowly.
INDEPENDENT_EVALUATIONS = 4.0

# If a rollback needs at most this many votes, each vote must have enough evidence by itself: a single
# unrelated cause may be behind all of them.
MAX_FEW_VOTES = 3

# Lowest shared slowdown that counts against a candidate: the logarithm of the slowdown times the traffic
# share, summed over seconds.
MIN_SHARED_SLOWDOWN = 0.8

# Attempts that a median needs where one vote decides.
MIN_LATENCIES = 20

# Attempts that a median needs in any case.
MIN_LATENCIES_PER_VOTE = 2

# Failures that a vote to roll back needs where one vote decides.
MIN_FAILURES = 3

# Share of the servers that a comparison leaves out: those that fail most, or the slowest ones.
EXCLUDED_SERVER_SHARE = 0.25

# The first this many instances cast the votes that peers agree on. More than one, as one may be cut off.
PEER_VOTE_CASTERS = 2

# Share of all instances that must agree to roll back. It is low, as false alarms come singly.
PEER_SHARE_TO_ROLL_BACK = 0.05

# Share of all instances that must agree to promote. As many can be heard even while a zone is cut off.
PEER_SHARE_TO_PROMOTE = 0.3

# How long a peer's vote counts. With a longer lifetime, false alarms would add up.
PEER_VOTE_LIFETIME_SECONDS = 4.0

# Share of its lifetime after which a vote is renewed, so that it does not expire if one renewal is lost.
RENEWAL_SHARE = 0.5

# Renewals of votes to promote are put off up to this share of the lifetime, where all instances together
# would otherwise send more votes than the release controller accepts.
MAX_RENEWAL_SHARE = 0.9

# A failed vote is cast again after a random delay of up to this.
MAX_RECAST_DELAY_SECONDS = 0.5


class EvidenceThresholds:
    """How much evidence a vote needs, from the number of instances and of votes that must agree.

    Where many votes are needed, weak evidence adds up. Where a single vote decides, the votes of peers are
    pooled.

    Attributes:
        pools_peer_votes: Whether instances gossip their votes and cast what enough peers agree on.
        votes_to_roll_back: Number of votes that roll a candidate back.
        needs_many_votes: Whether so many votes must agree that each instance may see little of the evidence.
            It then merges all routes.
        standard_errors: By how many standard errors a candidate must be slower.
        shared_slowdown: The shared slowdown from which on the candidate counts as slowing all servers.
        min_latencies: Attempts that a median needs.
        min_failures: Failures that a vote to roll back needs.
        renewal_seconds: For each vote, the time after which it is cast again.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        release, instances = settings.release, settings.instance_count
        peers_needed = ceil(PEER_SHARE_TO_ROLL_BACK * instances)
        # If more votes are needed than there are instances, each instance weighs its evidence as if all
        # instances must agree.
        votes_needed = min(max(1, release.votes_to_roll_back), instances)
        self.pools_peer_votes = settings.gossip_enabled and release.votes_to_promote == 1 and peers_needed > 1
        self.votes_to_roll_back = peers_needed if self.pools_peer_votes else votes_needed
        self.needs_many_votes = self.votes_to_roll_back > MAX_FEW_VOTES
        independent_votes = self.votes_to_roll_back if self.needs_many_votes else 1
        # If each instance votes falsely with probability p, k of n instances do so with a probability of at
        # most (e * n * p / k) ** k. Few votes count as one, as they may have a common cause.
        allowed_alarms = FALSE_ALARM_PROBABILITY ** (1 / independent_votes) * self.votes_to_roll_back
        alarm_probability = allowed_alarms / (e * instances * INDEPENDENT_EVALUATIONS)
        # By symmetry this is the quantile of 1 - alarm_probability, a number that may be rounded to 1.
        self.standard_errors = -NormalDist().inv_cdf(alarm_probability)
        self.shared_slowdown = MIN_SHARED_SLOWDOWN * max(1.0, log(instances / self.votes_to_roll_back))
        self.min_latencies = max(MIN_LATENCIES_PER_VOTE, ceil(MIN_LATENCIES / independent_votes))
        self.min_failures = max(1, round(MIN_FAILURES / independent_votes))
        self.renewal_seconds = self._renewal_seconds(settings)

    def excluded_servers(self, server_count: int) -> int:
        """Return how many of the servers a comparison leaves out.

        A single broken server must not roll back a build.
        """
        rounded = int if self.needs_many_votes or server_count <= 1 else ceil
        return rounded(server_count * EXCLUDED_SERVER_SHARE)

    def _renewal_seconds(self, settings: InstanceSettings) -> dict[Vote, float]:
        release = settings.release
        lifetime = PEER_VOTE_LIFETIME_SECONDS if self.pools_peer_votes else release.vote_lifetime
        votes_per_round = settings.instance_count * release.concurrent_candidates
        round_seconds = 0.0 if self.pools_peer_votes else votes_per_round / release.votes_per_second
        promote_seconds = max(lifetime * RENEWAL_SHARE, min(lifetime * MAX_RENEWAL_SHARE, round_seconds))
        return {Vote.ROLLBACK: lifetime * RENEWAL_SHARE, Vote.PROMOTE: promote_seconds, Vote.NONE: lifetime}


@dataclass(frozen=True, slots=True)
class Evaluation:
    """The result of one evaluation of a candidate.

    Attributes:
        vote: The vote to cast.
        reason: The reason for the vote, for the log.
        conclusive: Whether the evidence is enough without the votes of peers.
    """

    vote: Vote
    reason: str
    conclusive: bool


class Voting:
    """Casts the votes of one instance, and pools those that it receives from its peers.

    Args:
        runtime: Sends the votes.
        settings: The settings of the instance.
        releases: The builds under release.
        thresholds: How much evidence a vote needs.
        draw: Returns a random number from 0 to 1.
    """

    def __init__(
        self,
        runtime: Runtime,
        settings: InstanceSettings,
        releases: Releases,
        thresholds: EvidenceThresholds,
        draw: Callable[[], float],
    ) -> None:
        self.runtime = runtime
        self.instance_number = settings.instance_number
        self.instance_count = settings.instance_count
        self.releases = releases
        self.thresholds = thresholds
        self.draw = draw

    def cast(self, candidate: Candidate, evaluation: Evaluation, now: float) -> None:
        """Cast the evaluation's vote, unless the same vote was cast and needs no renewal yet."""
        voting_state = candidate.voting_state
        vote = CastVote(evaluation.vote, evaluation.conclusive)
        if vote == voting_state.last_vote and now < voting_state.renew_at:
            return
        self.runtime.log(
            f"build {candidate.build} stage {candidate.stage}: vote {vote.vote.value}: {evaluation.reason}"
        )
        voting_state.last_vote = vote
        voting_state.renew_at = now + self.thresholds.renewal_seconds[vote.vote]
        if self.thresholds.pools_peer_votes and not vote.conclusive:
            self._gossip(candidate, vote.vote)
        else:
            self.runtime.vote(candidate.build, candidate.stage, vote.vote)

    def receive(self, peer: int, build: int, stage: int, vote: Vote, arrived_at: float) -> None:
        """Record a peer's vote and cast the vote that enough peers agree on.

        Only the first `PEER_VOTE_CASTERS` instances do this. While enough peers agree, they cast the vote
        again with every vote that they receive.

        Args:
            peer: The peer's instance number.
            build: The candidate's build.
            stage: The release stage that the vote applies to.
            vote: The vote.
            arrived_at: The earliest time at which the vote can have arrived, in seconds on the runtime's
                clock. It counts for `PEER_VOTE_LIFETIME_SECONDS` from then on.
        """
        now = self.runtime.now()
        candidate = self.releases.find(build)
        if (
            candidate is None
            or candidate.phase in ROLLBACK_PHASES
            or self.instance_number >= PEER_VOTE_CASTERS
        ):
            return
        candidate.voting_state.peer_votes[peer] = ReceivedVote(vote, stage, arrived_at)
        agreed_vote = self._agreed_vote(candidate, now)
        if agreed_vote is not None:
            self.runtime.vote(build, candidate.stage, agreed_vote)

    def retry(self, build: int | None) -> None:
        """Let the last vote on the build be cast again soon.

        The delay is random, so that the instances don't retry in step.

        Args:
            build: The build, or None for all builds.
        """
        renew_at = self.runtime.now() + self.draw() * MAX_RECAST_DELAY_SECONDS
        for candidate in self.releases.candidates:
            if build in (None, candidate.build):
                candidate.voting_state.renew_at = renew_at

    def _agreed_vote(self, candidate: Candidate, now: float) -> Vote | None:
        """Return the recent vote of enough peers, or None if they don't agree.

        A single vote to roll back prevents a promotion.
        """
        received_votes = candidate.voting_state.peer_votes.values()
        valid_votes = [
            peer_vote
            for peer_vote in received_votes
            if now - peer_vote.received_at < PEER_VOTE_LIFETIME_SECONDS
        ]
        rollback_votes = sum(peer_vote.vote is Vote.ROLLBACK for peer_vote in valid_votes)
        promote_votes = sum(
            peer_vote.vote is Vote.PROMOTE and peer_vote.stage == candidate.stage for peer_vote in valid_votes
        )
        if rollback_votes >= self.thresholds.votes_to_roll_back:
            return Vote.ROLLBACK
        if rollback_votes or candidate.phase is not ReleasePhase.CANDIDATE:
            return None
        return Vote.PROMOTE if promote_votes >= PEER_SHARE_TO_PROMOTE * self.instance_count else None

    def _gossip(self, candidate: Candidate, vote: Vote) -> None:
        for caster in range(PEER_VOTE_CASTERS):
            if caster != self.instance_number:
                self.runtime.gossip_vote(caster, candidate.build, candidate.stage, vote)
        now = self.runtime.now()
        self.receive(self.instance_number, candidate.build, candidate.stage, vote, now)
