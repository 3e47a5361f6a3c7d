"""Encoding and decoding of a peer's vote."""

from __future__ import annotations

from gullmount.decisions.model import Vote
from gullmount.settings import PeerVote, decode_peer_vote, encode_peer_vote


def test_peer_vote_round_trips_and_unknown_vote_number_is_rejected() -> None:
    peer_vote = PeerVote(42, 1, Vote.ROLLBACK)
    assert encode_peer_vote(peer_vote) == "42 1 3"
    assert decode_peer_vote(encode_peer_vote(peer_vote)) == peer_vote
    assert decode_peer_vote("42 1 9") is None
