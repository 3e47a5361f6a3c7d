"""Tests groups and their changes without running replicas."""

from __future__ import annotations

from typing import Any

import pytest

from gullmount.consensus.errors import (
    GroupChangeError,
)
from gullmount.consensus.membership import (
    GROUP,
    GroupTransition,
    ReplicaGroup,
    group_from_register,
)
from gullmount.rpc import InvalidMessageError
from tests.support.replicas import (
    FOUR_FOR_ONE,
    MEMBERS,
    WITH_FOUR,
)


def test_joint_group_needs_a_majority_of_each_member_set() -> None:
    joint = group_from_register(1, ReplicaGroup(0, MEMBERS, {}).changed(FOUR_FOR_ONE, "m").register_value())
    assert not joint.has_majority({1, 2}) and not joint.has_majority({2, 4})
    assert joint.has_majority({2, 3}) and joint.has_majority({1, 2, 4})
    assert not joint.meets_every_majority(2, {3, 1}) and joint.meets_every_majority(2, {1, 3, 4})
    assert joint.meets_every_majority(4, {2, 3}) and not joint.meets_every_majority(5, {1, 2, 3, 4})


@pytest.mark.parametrize(
    ("members", "message_part"),
    [
        (MEMBERS, "are the members now"),
        ({**WITH_FOUR, 5: "e:1"}, "one replica at a time"),
        ({1: "10.0.0.1:7299", 4: "d:1", 5: "e:1"}, "one replica at a time"),
        ({**MEMBERS, 3: "c:2"}, "no new number"),
        ({**MEMBERS, 4: MEMBERS[1]}, "one address"),
        ({1: MEMBERS[1], 2: MEMBERS[2]}, "3 to 5"),
    ],
)
def test_invalid_membership_change_is_rejected(members: dict[int, str], message_part: str) -> None:
    with pytest.raises(GroupChangeError, match=message_part):
        ReplicaGroup(0, MEMBERS, {}).changed(members, "")
    with pytest.raises(GroupChangeError, match="under way"):
        ReplicaGroup(1, MEMBERS, WITH_FOUR).changed(members, "")


def test_registers_are_rewritten_only_after_a_majority_of_each_set_adopted_the_group() -> None:
    transition = GroupTransition(ReplicaGroup(3, MEMBERS, FOUR_FOR_ONE))
    transition.receive(2, 3, True, ["a"])
    # The state of replica 4 may be incomplete.
    transition.receive(4, 3, False, ["b"])
    # Replica 1 uses an older group.
    transition.receive(1, 2, True, ["c"])
    assert transition.registers_to_rewrite() is None
    transition.receive(3, 3, True, ["d"])
    assert transition.registers_to_rewrite() == ["a", "d", GROUP]


@pytest.mark.parametrize(
    "value", [None, [], {}, {"now": [[1, "a:1"]]}, {"now": [[0, "a"]] * 3}, {"now": [["1", "a"]], "next": []}]
)
def test_malformed_group_value_is_rejected(value: Any) -> None:
    valid_group = ReplicaGroup(0, MEMBERS, {}).register_value()
    assert group_from_register(1, valid_group).current == MEMBERS
    with pytest.raises(InvalidMessageError):
        group_from_register(1, valid_group | value if isinstance(value, dict) and value else value)
