"""Tests the state of an acceptor."""

from __future__ import annotations

import pytest

from gullmount.consensus.acceptor import AcceptorState
from gullmount.consensus.membership import (
    ReplicaGroup,
    group_from_register,
)
from gullmount.rpc import InvalidMessageError
from tests.support.replicas import (
    FOUR_FOR_ONE,
    MEMBERS,
    THREE,
)


def test_restoring_the_rows_of_another_replica_is_rejected() -> None:
    state = AcceptorState(1, THREE)
    with pytest.raises(InvalidMessageError):
        state.restore({"self": {"number": 2, "life": 1, "asked": 1, "whole": True}})


def test_only_the_process_with_the_join_mark_of_the_group_is_admitted_as_new() -> None:
    """A replica whose disk was lost or restored after it joined must not be treated as new."""
    joint = group_from_register(
        1, ReplicaGroup(0, MEMBERS, {}).changed(FOUR_FOR_ONE, "mark").register_value()
    )
    for mark, is_new in (("mark", True), ("another", False), ("", False)):
        state = AcceptorState(4, ReplicaGroup(0, MEMBERS, {}))
        state.requested_incarnation, state.join_mark = 1, mark
        assert state.adopt_group(joint) and state.complete is is_new and state.incarnation == int(is_new)
    existing_member = AcceptorState(2, ReplicaGroup(0, MEMBERS, {}))
    existing_member.join_mark = "mark"
    assert existing_member.adopt_group(joint) and not existing_member.complete, "it is no new member"
