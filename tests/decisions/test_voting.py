"""Voting: how much evidence a vote needs, its renewal, and the votes of peers."""

from __future__ import annotations

from gullmount.decisions.model import Vote
from gullmount.decisions.statistics import AttemptSample
from tests.support.decisions import (
    BASELINE,
    CANDIDATE,
    RouterHarness,
    add_samples,
    candidate_harness,
    votes_of,
)


def test_vote_is_renewed_and_a_failed_one_is_cast_again() -> None:
    harness = candidate_harness(vote_lifetime=4.0)
    add_samples(harness, 2, 1.0, 30, span=0.1)
    harness.advance_clock(0.5)
    cast_count = len(harness.votes)
    harness.router.vote_failed()
    harness.advance_clock(0.5)
    assert len(harness.votes) == cast_count + 1
    harness.advance_clock(7.0)
    assert len(harness.votes) >= cast_count + 4


def test_instance_without_evidence_promotes_where_many_must_agree() -> None:
    for promote_votes, promotes in ((200, True), (1, False)):
        harness = RouterHarness(instance_count=400, votes_to_promote=promote_votes, votes_to_roll_back=20)
        harness.list_servers(BASELINE | CANDIDATE)
        harness.set_release()
        harness.advance_clock(10.0)
        assert (Vote.PROMOTE in votes_of(harness)) is promotes


def test_one_failure_counts_where_many_votes_add_up() -> None:
    for rollback_votes, expected_votes in ((20, {Vote.ROLLBACK}), (1, set())):
        harness = candidate_harness(instance_count=400, votes_to_roll_back=rollback_votes)
        harness.router.canary.samples[2, "pay"].append(AttemptSample(harness.clock, -1.0, True, "b0"))
        harness.advance_clock(0.5)
        assert votes_of(harness) == expected_votes


def test_first_instances_cast_votes_of_their_peers_and_others_gossip_to_them() -> None:
    harness = candidate_harness(instance_count=100, gossip_enabled=True)
    for peer in range(50, 55):
        assert not harness.votes
        harness.router.receive_vote(peer, 2, 1, Vote.ROLLBACK)
    assert harness.votes == [(2, 1, Vote.ROLLBACK)]
    harness = candidate_harness(instance_count=100, gossip_enabled=True, instance_number=9)
    add_samples(harness, 2, 1.0, 30, span=0.1)
    harness.advance_clock(0.5)
    assert {message[0] for message in harness.gossiped} == {0, 1}


def test_peer_votes_far_apart_in_time_do_not_add_up() -> None:
    harness = candidate_harness(instance_count=100, gossip_enabled=True)
    for peer in range(50, 60):
        harness.router.receive_vote(peer, 2, 1, Vote.ROLLBACK)
        harness.advance_clock(1.5)
    assert Vote.ROLLBACK not in votes_of(harness)


def test_router_can_be_built_with_more_votes_to_roll_back_than_instances() -> None:
    """Such settings are accepted as valid, so that building the router must not fail."""
    assert not RouterHarness(instance_count=1, votes_to_roll_back=15).votes
