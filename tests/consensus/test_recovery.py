"""Tests of the answers that a replica needs before it takes part."""

from __future__ import annotations

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.membership import answers_to_recover
from gullmount.consensus.recovery import Recovery
from tests.support.replicas import (
    THREE,
)


def test_state_of_a_replica_that_lost_its_storage_does_not_count_for_recovery() -> None:
    state, recovery = AcceptorState(1, THREE), Recovery(AcceptorState(1, THREE))
    blank_state = AcceptorState(2, THREE)
    blank_state.bootstrap()
    remembering_state = AcceptorState(3, THREE)
    remembering_state.bootstrap()
    # Replica 2 once requested its fourth incarnation. Its blank state no longer contains that request.
    remembering_state.answer_join(2, 4)
    assert answers_to_recover(3) == 2 and state.incarnation == 0
    assert not recovery.receive(2, blank_state.answer_join(1, recovery.state.requested_incarnation))
    assert not recovery.receive(3, remembering_state.answer_join(1, recovery.state.requested_incarnation))
