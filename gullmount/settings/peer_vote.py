"""Encodes and decodes gossiped votes: build, stage and vote number, separated by spaces."""

from __future__ import annotations

import re
from typing import NamedTuple

from gullmount.decisions.model import Vote

VOTE_NUMBERS = {Vote.NONE: 0, Vote.PROMOTE: 1, Vote.HOLD: 2, Vote.ROLLBACK: 3}
VOTES_BY_NUMBER = {number: vote for vote, number in VOTE_NUMBERS.items()}
PEER_VOTE_PATTERN = re.compile(r"(\d{1,5}) (\d{1,3}) ([0-3])", re.ASCII)


class PeerVote(NamedTuple):
    """One instance's vote on a candidate."""

    build: int
    stage: int
    vote: Vote


def encode_peer_vote(peer_vote: PeerVote) -> str:
    """Return the text to send to a peer."""
    return f"{peer_vote.build} {peer_vote.stage} {VOTE_NUMBERS[peer_vote.vote]}"


def decode_peer_vote(text: str) -> PeerVote | None:
    """Decode a text from a peer; return None if it is not a valid vote."""
    match = PEER_VOTE_PATTERN.fullmatch(text)
    if match is None:
        return None
    build, stage, number = map(int, match.groups())
    return PeerVote(build, stage, VOTES_BY_NUMBER[number])
