"""Tests rounds and proposals step by step."""

from __future__ import annotations

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.ballot_round import BallotRound, Phase, Proposal, RegisterChange
from gullmount.consensus.messages import Ballot, MarkedValue
from tests.support.replicas import (
    MEMBERS,
    THREE,
)


def test_answer_of_a_superseded_incarnation_is_not_counted() -> None:
    """A replica that loses its storage after a promise forgets the promise, so it must not be counted."""
    states = {number: AcceptorState(number, THREE) for number in MEMBERS}
    change = RegisterChange("job", 0, MarkedValue("mark", "a"))
    ballot_round = BallotRound(change, Ballot(1, 1, 0), THREE, states[1].known_incarnations)
    answers = {number: state.prepare("job", ballot_round.ballot) for number, state in states.items()}
    states[3].answer_join(2, 1)
    later_answer = states[3].prepare("job", Ballot(2, 1, 0))
    assert not ballot_round.receive(1, Phase.PREPARE, answers[1])
    # The answer belongs to another phase, but it reports the new incarnation of replica 2.
    assert not ballot_round.receive(3, Phase.ACCEPT, later_answer)
    assert not ballot_round.receive(2, Phase.PREPARE, answers[2])
    assert ballot_round.receive(3, Phase.PREPARE, answers[3])


def test_proposal_cancelled_in_the_accept_phase_may_be_accepted() -> None:
    """A timeout in the second phase must not be reported as "nothing was changed"."""
    states = {number: AcceptorState(number, THREE) for number in MEMBERS}
    proposal = Proposal("job", 0, "a", "mark")
    ballot_round = proposal.start_round(Ballot(1, 1, 0), THREE, states[1].known_incarnations)
    assert not proposal.may_be_accepted
    for number in (1, 2):
        ballot_round.receive(number, Phase.PREPARE, states[number].prepare("job", ballot_round.ballot))
    assert ballot_round.phase is Phase.ACCEPT and proposal.may_be_accepted
    proposal.start_round(Ballot(2, 1, 0), THREE, states[1].known_incarnations)
    assert proposal.may_be_accepted
