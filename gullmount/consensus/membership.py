"""Which replicas hold the registers, and how that changes. No I/O, clock or randomness.

A group is the value of a register of its own (`GROUP`); the register's version is the group's revision, and
revision 0 is what the configuration files name. A change goes through a joint group that names both sets,
`current` and `next`: while it stands a round needs a majority of each, as in Raft's joint consensus (Ongaro
and Ousterhout 2014, section 6), carried over to registers. Messages carry their sender's group; a replica
stores a newer one before it answers, and answers a message that goes by an older one with its own.

Neither set alone may follow the other directly: a majority of the old and one of the new need not meet. So
`next` takes over only after two things are so, in this order:

1. A majority of each set has stored the joint group (`GroupTransition`). From then on no round of the old set
   alone can end, as any majority of it meets a replica that rejects it.
2. Each register that these replicas know has been written once more, unchanged, by a round of the joint
   group: whatever was chosen by the old set alone stands at a majority of the new.

Then the register of the group is changed from the joint value to `next` alone, over the joint revision: of
all who complete the change, and of those who revert it, one gets through. Whoever finds a joint group can
complete it: what is to be done stands in the register. To revert is to write `current` alone; nothing was
ever chosen without it.

A replica that joins has promised nothing yet, so its blank state is complete and takes part at once: if it
had to recover from the others first, and one of these restarted meanwhile, each would wait for the other. But
a storage that is lost later must not pass for new. So each process draws a join mark when it starts, kept in
memory alone; who begins the change asks for it and writes it into the group; only the process that finds its
own mark there is new. Numbers are never used twice (`highest_number`).
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

GROUP = "group"  # the register that holds it
MAX_MEMBERS = 5  # of one set: five bear the loss of two; more only cost
MIN_MEMBERS = 3  # fewer bear no loss

Members = dict[int, str]  # addresses by replica number


def majority(count: int) -> int:
    """Return how many of `count` replicas are a majority."""
    return count // 2 + 1


def answers_to_recover(count: int) -> int:
    """Return how many others must tell their state to one of `count` replicas that starts.

    So many meet every majority that the replica was in.
    """
    return count - majority(count) + 1


@dataclass(frozen=True)
class ReplicaGroup:
    """Which replicas hold the registers.

    Attributes:
        revision: grows by one with each change; 0 is what the configuration files name.
        current: the members now.
        next: the members after the change that is under way; empty without one.
        highest_number: the highest number that was ever a member's.
        join_mark: of the process that joins by the change under way.
    """

    revision: int
    current: Members
    next: Members
    highest_number: int = 0
    join_mark: str = ""

    @property
    def member_sets(self) -> list[Members]:
        """The sets of which a majority each is needed."""
        return [members for members in (self.current, self.next) if members]

    @property
    def addresses(self) -> Members:
        """The addresses of all members of either set."""
        return self.current | self.next

    @property
    def highest_used(self) -> int:
        """The highest number that was ever a member's, or is to be."""
        return max([self.highest_number, *self.addresses])

    def others(self, own_number: int) -> list[int]:
        """Return the members of either set without `me`."""
        return sorted(number for number in self.addresses if number != own_number)

    def has_majority(self, replicas: Collection[int]) -> bool:
        """Return whether these are a majority of each set."""
        return all(
            len(set(members) & set(replicas)) >= majority(len(members)) for members in self.member_sets
        )

    def meets_every_majority(self, own_number: int, others: Collection[int]) -> bool:
        """Return whether these others meet every majority that ever counted `me`.

        Never if it is no member.
        """
        own_sets = [members for members in self.member_sets if own_number in members]
        return bool(own_sets) and all(
            len((set(members) - {own_number}) & set(others)) >= answers_to_recover(len(members))
            for members in own_sets
        )

    def admits_as_new(self, number: int, mark: str) -> bool:
        """Return whether the change under way brings this process into the group for the first time."""
        return number in self.next and number not in self.current and mark != "" and mark == self.join_mark

    def register_value(self) -> dict[str, Any]:
        """Return what is written into the register of the group."""
        value = GroupValue(
            tuple(sorted(self.current.items())),
            tuple(sorted(self.next.items())),
            self.highest_used,
            self.join_mark,
        )
        encoded: dict[str, Any] = msgspec.to_builtins(value)
        return encoded

    def message(self) -> GroupMessage:
        """Return the group as messages carry it."""
        return GroupMessage(
            self.revision,
            tuple(sorted(self.current.items())),
            tuple(sorted(self.next.items())),
            self.highest_used,
            self.join_mark,
        )

    # Changes: what is to be written over this revision

    def joining_member(self, members: Members) -> int | None:
        """Return who would join by a change to these members; raise GroupChangeError where it can't be made.

        One replica joins, leaves, or takes another's place.
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
        """Return the joint group on the way to these members; raise GroupChangeError.

        `join_mark` is that of the process which joins, empty where none does.
        """
        self.joining_member(members)
        return ReplicaGroup(self.revision + 1, self.current, dict(members), self.highest_number, join_mark)

    def completed(self) -> ReplicaGroup:
        """Return the group once the change under way is over."""
        return ReplicaGroup(self.revision + 1, self.next, {}, self.highest_used)

    def reverted(self) -> ReplicaGroup:
        """Return the group as it was before the change under way; raise GroupChangeError without one."""
        if not self.next:
            raise NoChangeInProgressError
        return ReplicaGroup(self.revision + 1, self.current, {}, self.highest_used)


def members_from(pairs: messages.Members) -> Members:
    """Return the members of a message; raise InvalidGroupError where there are too many."""
    members = dict(pairs)
    if len(members) > MAX_MEMBERS:
        raise TooManyMembersError
    return members


def group_from(message: GroupMessage) -> ReplicaGroup:
    """Return the group of a message; raise InvalidGroupError where it has too few or too many members."""
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
    """Return the group that its register holds; raise InvalidMessageError where it holds none."""
    group_value = convert(value, GroupValue)
    return group_from(
        GroupMessage(
            revision, group_value.current, group_value.next, group_value.highest_number, group_value.join_mark
        )
    )


class GroupTransition:
    """A joint group on its way to `next`: who has adopted it, and which registers they know."""

    def __init__(self, group: ReplicaGroup) -> None:
        self.group = group
        self.adopted_by: set[int] = set()
        self.registers: set[str] = {GROUP}

    def receive(self, replica: int, revision: int, admitted: bool, registers: Collection[str]) -> None:
        """Take a replica's answer to having been told the group.

        One that isn't admitted doesn't count: it may not know what it has accepted.
        """
        if admitted and revision == self.group.revision:
            self.adopted_by.add(replica)
            self.registers |= set(registers)

    def registers_to_rewrite(self) -> list[str] | None:
        """Return the registers to be written once more; None while too few have adopted the group."""
        return sorted(self.registers) if self.group.has_majority(self.adopted_by) else None
