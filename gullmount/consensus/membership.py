"""Defines the group of replicas that holds the registers, and its changes, without I/O, clock or randomness.

Groups:

- A group is the value of a register of its own (`GROUP`). The version of that register is the group's
  revision. Revision 0 is the group of the configuration files.
- A change goes through a joint group with two member sets, `current` and `next`. A round in a joint group
  needs a majority of each set, as in Raft's joint consensus (Ongaro and Ousterhout 2014, section 6), applied
  to registers.
- Messages carry the group of their sender. A replica stores a newer group before it answers. It
  replies to a message that carries an older group with its own.

A group of the old members must not be replaced directly by a group of the new ones, because a majority of the
old set and one of the new set may have no replica in common. `next` takes over only after two conditions
hold, in this order:

1. A majority of each set has stored the joint group (`GroupTransition`). From then on no round of the old set
   alone can succeed, because any majority of that set includes a replica that rejects it.
2. Each register that these replicas know has been written again, unchanged, by a round of the joint group.
   Every value chosen by the old set alone is then stored by a majority of the new set.

Completing and reverting a change:

- To complete a change, a replica changes the register of the group from the joint value to `next` alone. To
  revert it, it writes `current` alone. Nothing was ever chosen without a majority of `current`.
- Both writes expect the joint revision, so only one of all attempts to complete or revert succeeds.
- Any replica that finds a joint group can complete the change, because the register holds all that is needed.

Replicas that join:

- A joining replica has promised nothing yet, so its blank state is complete and it takes part at once. If it
  had to recover from the others first, and one of them restarted meanwhile, each would wait for the other.
- A storage that is lost later must not be mistaken for a new one. So each process draws a join mark at its
  start and keeps it in memory only. The replica that begins the change asks for the mark and writes it into
  the group. Only the process that finds its own mark there is new.
- Replica numbers are never reused (`highest_number`).
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Any

import msgspec

from gullmount.consensus import messages
from gullmount.consensus.errors import (
    ChangeInProgressError,
    DuplicateAddressError,
    GroupSizeError,
    GroupUnchangedError,
    NoChangeInProgressError,
    ReplicaNumberReusedError,
    TooFewMembersError,
    TooManyChangesError,
    TooManyMembersError,
)
from gullmount.consensus.messages import GroupMessage, GroupValue
from gullmount.rpc.messages import convert

# Name of the register that holds the group.
GROUP = "group"
# Size of one member set. Five replicas tolerate the loss of two; more only add cost.
MAX_MEMBERS = 5
# Fewer replicas tolerate no loss.
MIN_MEMBERS = 3

# Addresses by replica number.
Members = dict[int, str]


def majority(count: int) -> int:
    """Return the size of a majority of `count` replicas."""
    return count // 2 + 1


def answers_to_recover(count: int) -> int:
    """Return how many others must send their state to a starting replica in a set of `count` replicas.

    That many replicas intersect every majority that included the starting replica.
    """
    return count - majority(count) + 1


@dataclass(frozen=True)
class ReplicaGroup:
    """Holds the replicas of a group.

    Attributes:
        revision: Number that grows by one with each change. 0 is the group of the configuration files.
        current: Current members.
        next: Members after the change in progress. Empty if there is none.
        highest_number: Highest replica number that a member ever had.
        join_mark: Join mark of the process that joins with the change in progress.
    """

    revision: int
    current: Members
    next: Members
    highest_number: int = 0
    join_mark: str = ""

    @property
    def member_sets(self) -> list[Members]:
        """The member sets that must each contribute a majority."""
        return [members for members in (self.current, self.next) if members]

    @property
    def addresses(self) -> Members:
        """The addresses of the members of both sets, by replica number."""
        return self.current | self.next

    @property
    def highest_used(self) -> int:
        """The highest replica number that a past, current or next member has."""
        return max([self.highest_number, *self.addresses])

    def others(self, own_number: int) -> list[int]:
        """Return the members of either set without `me`."""
        return sorted(number for number in self.addresses if number != own_number)

    def has_majority(self, replicas: Collection[int]) -> bool:
        """Return whether the replicas include a majority of each set."""
        return all(
            len(set(members) & set(replicas)) >= majority(len(members)) for members in self.member_sets
        )

    def meets_every_majority(self, own_number: int, others: Collection[int]) -> bool:
        """Return whether the other replicas intersect every majority that ever included `me`.

        Returns False if that replica is no member.
        """
        own_sets = [members for members in self.member_sets if own_number in members]
        return bool(own_sets) and all(
            len((set(members) - {own_number}) & set(others)) >= answers_to_recover(len(members))
            for members in own_sets
        )

    def admits_as_new(self, number: int, mark: str) -> bool:
        """Return whether the change in progress adds this process to the group for the first time."""
        return number in self.next and number not in self.current and mark != "" and mark == self.join_mark

    def register_value(self) -> dict[str, Any]:
        """Return the value to write to the register of the group."""
        value = GroupValue(
            tuple(sorted(self.current.items())),
            tuple(sorted(self.next.items())),
            self.highest_used,
            self.join_mark,
        )
        encoded: dict[str, Any] = msgspec.to_builtins(value)
        return encoded

    def message(self) -> GroupMessage:
        """Return the encoded form of the group for messages."""
        return GroupMessage(
            self.revision,
            tuple(sorted(self.current.items())),
            tuple(sorted(self.next.items())),
            self.highest_used,
            self.join_mark,
        )

    # Successors of this group

    def joining_member(self, members: Members) -> int | None:
        """Return the number of the replica that a change to these members adds, or None if it adds none.

        A change adds, removes or replaces one replica. Raises GroupChangeError if the change is invalid.
        """
        if self.next:
            raise ChangeInProgressError(", ".join(map(str, sorted(self.next))))
        if not MIN_MEMBERS <= len(members) <= MAX_MEMBERS:
            raise GroupSizeError(len(members), MIN_MEMBERS, MAX_MEMBERS)
        joining = {number for number in members if self.current.get(number) != members[number]}
        leaving = set(self.current) - set(members)
        if not joining and not leaving:
            raise GroupUnchangedError
        if len(joining) > 1 or len(leaving) > 1:
            raise TooManyChangesError
        if joining and min(joining) <= self.highest_used:
            raise ReplicaNumberReusedError(min(joining), self.highest_used)
        if len(set(members.values())) < len(members):
            raise DuplicateAddressError
        return min(joining, default=None)

    def changed(self, members: Members, join_mark: str) -> ReplicaGroup:
        """Return the joint group for a change to these members; raise GroupChangeError if it is invalid.

        `join_mark` is the mark of the joining process, or empty if none joins.
        """
        self.joining_member(members)
        return ReplicaGroup(self.revision + 1, self.current, dict(members), self.highest_number, join_mark)

    def completed(self) -> ReplicaGroup:
        """Return the group after the change in progress is completed."""
        return ReplicaGroup(self.revision + 1, self.next, {}, self.highest_used)

    def reverted(self) -> ReplicaGroup:
        """Return the group after the change in progress is reverted; raise GroupChangeError without one."""
        if not self.next:
            raise NoChangeInProgressError
        return ReplicaGroup(self.revision + 1, self.current, {}, self.highest_used)


def members_from(pairs: messages.Members) -> Members:
    """Return the members in a message; raise InvalidGroupError if there are too many."""
    members = dict(pairs)
    if len(members) > MAX_MEMBERS:
        raise TooManyMembersError
    return members


def group_from(message: GroupMessage) -> ReplicaGroup:
    """Return the group in a message; raise InvalidGroupError if it has too few or too many members."""
    group = ReplicaGroup(
        message.revision,
        members_from(message.current),
        members_from(message.next),
        message.highest_number,
        message.join_mark,
    )
    if len(group.current) < MIN_MEMBERS:
        raise TooFewMembersError
    return group


def group_from_register(revision: int, value: Any) -> ReplicaGroup:
    """Return the group that its register holds; raise InvalidMessageError if the value is no valid group."""
    group_value = convert(value, GroupValue)
    return group_from(
        GroupMessage(
            revision, group_value.current, group_value.next, group_value.highest_number, group_value.join_mark
        )
    )


class GroupTransition:
    """Tracks which replicas have adopted a joint group, and which registers they know."""

    def __init__(self, group: ReplicaGroup) -> None:
        self.group = group
        self.adopted_by: set[int] = set()
        self.registers: set[str] = {GROUP}

    def receive(self, replica: int, revision: int, admitted: bool, registers: Collection[str]) -> None:
        """Count a replica's answer to the request to adopt the group.

        A replica that is not admitted does not count, because it may not know what it has accepted.
        """
        if admitted and revision == self.group.revision:
            self.adopted_by.add(replica)
            self.registers |= set(registers)

    def registers_to_rewrite(self) -> list[str] | None:
        """Return the registers to write again, or None while too few replicas have adopted the group."""
        return sorted(self.registers) if self.group.has_majority(self.adopted_by) else None
