"""Voting: how much evidence a vote needs, who casts it, and when it is renewed.

An instance tells the release controller what it thinks of a candidate. Where the controller acts on a
single vote, the luckiest or unluckiest of many instances would decide; there the instances gossip their
votes to a few of them, and these cast a vote once enough peers agree. Evidence that is conclusive by itself
needs no peers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil, e, log
from statistics import NormalDist

from gullmount.decisions.model import ROLLBACK_PHASES, InstanceSettings, ReleasePhase, Vote
from gullmount.decisions.releases import Candidate, CastVote, ReceivedVote, Releases
from gullmount.decisions.runtime import Runtime

FALSE_ALARM_PROBABILITY = 0.01  # chance that a good build is rolled back by chance, over some evaluations
INDEPENDENT_EVALUATIONS = 4.0  # of a candidate: its evidence changes slowly
# Up to so many needed votes each must be sure by itself, as one stray cause may be behind all.
MAX_FEW_VOTES = 3
MIN_SHARED_SLOWDOWN = 0.8  # logarithm of the slowdown times the traffic share, summed over seconds
MIN_LATENCIES = 20  # attempts that a median needs where one vote decides
MIN_LATENCIES_PER_VOTE = 2  # that it needs always
MIN_FAILURES = 3  # that a vote to roll back needs where one vote decides
# This share of the servers, those that fail most or are slowest, is left out of a comparison.
EXCLUDED_SERVER_SHARE = 0.25

PEER_VOTE_CASTERS = 2  # the first instances, which cast what peers agree on: one may be cut off
PEER_SHARE_TO_ROLL_BACK = 0.05  # of all instances: false alarms come singly
PEER_SHARE_TO_PROMOTE = 0.3  # of all instances: as many are heard even while a zone is cut off
PEER_VOTE_LIFETIME_SECONDS = 4.0  # for which a peer's vote counts: longer, and false alarms add up

RENEWAL_SHARE = 0.5  # of a vote's lifetime, so that one lost renewal does not let it lapse
MAX_RENEWAL_SHARE = 0.9  # of it, where the renewals of all instances are too many votes
MAX_RECAST_DELAY_SECONDS = 0.5  # within which a failed vote is cast again, at random


class EvidenceThresholds:
    """How much evidence a vote needs, by the numbers of instances and of the votes that must agree.

    Where many votes are needed, weak evidence adds up; where one decides, peers' votes are pooled.
    """

    def __init__(self, settings: InstanceSettings) -> None:
        release, instances = settings.release, settings.instance_count
        peers_needed = ceil(PEER_SHARE_TO_ROLL_BACK * instances)
        # More votes than instances never come together: each weighs what it sees as if all must agree.
        votes_needed = min(max(1, release.votes_to_roll_back), instances)
        self.pools_peer_votes = settings.gossip_enabled and release.votes_to_promote == 1 and peers_needed > 1
        """Whether peers' votes are pooled."""
        self.votes_to_roll_back = peers_needed if self.pools_peer_votes else votes_needed
        """Votes that roll a candidate back."""
        self.needs_many_votes = self.votes_to_roll_back > MAX_FEW_VOTES
        """Whether each instance sees so little that it takes all routes together."""
        independent_votes = self.votes_to_roll_back if self.needs_many_votes else 1
        allowed_alarms = FALSE_ALARM_PROBABILITY ** (1 / independent_votes) * self.votes_to_roll_back
        alarm_probability = allowed_alarms / (e * instances * INDEPENDENT_EVALUATIONS)
        # By symmetry, as 1 - alarm_probability may be rounded to 1.
        self.standard_errors = -NormalDist().inv_cdf(alarm_probability)
        """By which a candidate must be slower."""
        self.shared_slowdown = MIN_SHARED_SLOWDOWN * max(1.0, log(instances / self.votes_to_roll_back))
        """At which the candidate is held to slow all servers."""
        self.min_latencies = max(MIN_LATENCIES_PER_VOTE, ceil(MIN_LATENCIES / independent_votes))
        self.min_failures = max(1, round(MIN_FAILURES / independent_votes))
        self.renewal_seconds = self._renewal_seconds(settings)
        """By vote: from a vote until it is cast again."""

    def excluded_servers(self, server_count: int) -> int:
        """Return how many of so many servers are left out: one broken server must not roll back a build."""
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
    """What one evaluation of a candidate comes to."""

    vote: Vote
    reason: str
    """For the log."""
    conclusive: bool
    """Whether the evidence is enough without peers."""


class Voting:
    """Casts and pools the votes of one instance."""

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
        """Returns a random number from 0 to 1."""

    def cast(self, candidate: Candidate, evaluation: Evaluation, now: float) -> None:
        """Vote, unless the same vote still stands."""
        voting_state = candidate.voting_state
        vote = CastVote(evaluation.vote, evaluation.conclusive)
        if vote == voting_state.last_vote and now < voting_state.renew_at:
            return
        self.runtime.log(
            f"build {candidate.build} stage {candidate.stage}: votes {vote.vote.value}: {evaluation.reason}"
        )
        voting_state.last_vote = vote
        voting_state.renew_at = now + self.thresholds.renewal_seconds[vote.vote]
        if self.thresholds.pools_peer_votes and not vote.conclusive:
            self._gossip(candidate, vote.vote)
        else:
            self.runtime.vote(candidate.build, candidate.stage, vote.vote)

    def receive(self, peer: int, build: int, stage: int, vote: Vote, arrived_at: float) -> None:
        """Take in a peer's vote, and cast what enough peers agree on.

        Only the first instances do, and anew with each message while enough agree. `arrived_at` is the
        earliest time at which the vote can have arrived, from which it counts for a while.
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
        """Cast the last vote on the build again soon, or on all; not all instances in step."""
        renew_at = self.runtime.now() + self.draw() * MAX_RECAST_DELAY_SECONDS
        for candidate in self.releases.candidates:
            if build in (None, candidate.build):
                candidate.voting_state.renew_at = renew_at

    def _agreed_vote(self, candidate: Candidate, now: float) -> Vote | None:
        """Return what enough peers voted lately; a single vote to roll back bars a promotion."""
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
