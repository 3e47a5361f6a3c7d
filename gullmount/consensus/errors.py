"""The errors of the package: of clients, of proposers, of changes of the group, of storage."""

from __future__ import annotations

from gullmount.errors import GullmountError, ProcessFatalError
from gullmount.rpc.errors import InvalidMessageError


class ConsensusError(GullmountError):
    """Base of the errors of registers and of the replicas that hold them."""


class NoReplicaError(ConsensusError):
    """No replica gave a usable answer to a client; nothing was changed."""

    def __init__(self) -> None:
        super().__init__("no replica gave a usable answer; nothing was changed")


class NoMajorityError(ConsensusError):
    """Too few replicas answered a proposer; nothing was changed."""


class QueueFullError(NoMajorityError):
    """More proposals for one register wait for their turn than a replica takes."""

    def __init__(self) -> None:
        super().__init__("too many wait")


class MajorityTimeoutError(NoMajorityError):
    """No majority answered in time."""

    def __init__(self) -> None:
        super().__init__("no majority answered in time")


class OutcomeUnknownError(ConsensusError):
    """A change may have been made or not: read the register to find out."""

    def __init__(self, cause: str = "no answer in time") -> None:
        super().__init__(cause)


class ProposalTimeoutError(OutcomeUnknownError):
    """No majority answered in time, after a replica may have accepted the change."""

    def __init__(self) -> None:
        super().__init__("no majority answered in time")


class ChangeOverwrittenError(OutcomeUnknownError):
    """Another change stands where this one may have been."""

    def __init__(self) -> None:
        super().__init__("changed since")


class GroupChangeError(ConsensusError):
    """A change of the replica group was asked for that can't be made; nothing was changed.

    The text of each subclass goes to the operator, whose request is at fault.
    """


class GroupChangeRejectedError(GroupChangeError):
    """A replica rejected the operator's change of the group.

    Attributes:
        reason: the replica's own words.
    """

    def __init__(self, reason: str) -> None:
        super().__init__(reason)
        self.reason = reason


class UnknownMemberError(GroupChangeError):
    """The operator named a replica that is not in the group."""

    def __init__(self, number: int) -> None:
        super().__init__(f"replica {number} is not in the group")


class ChangeInProgressError(GroupChangeError):
    """Another change of the group is under way."""

    def __init__(self, next_members: str) -> None:
        super().__init__(f"a change to {next_members} is under way")


class NoChangeInProgressError(GroupChangeError):
    """There is no change of the group to be reverted."""

    def __init__(self) -> None:
        super().__init__("no change is under way")


class GroupSizeError(GroupChangeError):
    """The group would be too small to bear a loss, or too large."""

    def __init__(self, count: int, min_count: int, max_count: int) -> None:
        super().__init__(f"{count} replicas; {min_count} to {max_count} are a group")


class GroupUnchangedError(GroupChangeError):
    """The members asked for are the present ones."""

    def __init__(self) -> None:
        super().__init__("these are the members now")


class TooManyChangesError(GroupChangeError):
    """More than one replica would join or leave at a time."""

    def __init__(self) -> None:
        super().__init__("one replica at a time joins, leaves or takes another's place")


class ReplicaNumberReusedError(GroupChangeError):
    """The replica that is to join has a number that was used before."""

    def __init__(self, number: int, highest: int) -> None:
        super().__init__(f"replica {number} is no new number: {highest} was the highest so far")


class DuplicateAddressError(GroupChangeError):
    """Two members of the group would have one address."""

    def __init__(self) -> None:
        super().__init__("two replicas have one address")


class JoiningReplicaError(GroupChangeError):
    """The replica that is to join doesn't answer, or isn't new."""

    def __init__(self, number: int, address: str) -> None:
        super().__init__(f"replica {number} does not answer at {address}, or is not new")


class StaleRevisionError(GroupChangeError):
    """The change was asked for over another revision of the group than the present one."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"the group's revision is {revision}")


class ConcurrentChangeError(GroupChangeError):
    """Another change of the group was written first."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"another change came first, revision {revision}")


class ChangeRevertedError(GroupChangeError):
    """The change that the operator waited for was reverted, or another one followed."""

    def __init__(self) -> None:
        super().__init__("it was undone, or another change came")


class ForeignMessageError(InvalidMessageError):
    """A message between replicas comes from outside the group."""

    def __init__(self) -> None:
        super().__init__("not of this group")


class SourceAddressError(InvalidMessageError):
    """A message names a replica as its sender, but comes from another host."""

    def __init__(self) -> None:
        super().__init__("not from that replica's address")


class UnknownRequestError(InvalidMessageError):
    """A replica sent a request of a kind that there isn't."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"no request between replicas is named {kind[:40]!r}")


class RegisterLimitError(InvalidMessageError):
    """A client named one register more than a replica holds."""

    def __init__(self, max_registers: int) -> None:
        super().__init__(f"more than {max_registers} registers")


class RegisterNameError(InvalidMessageError):
    """A client named a register that can't exist."""

    def __init__(self, max_characters: int) -> None:
        super().__init__(f"a register's name has 1 to {max_characters} characters")


class ReservedRegisterError(InvalidMessageError):
    """A client would write the register of the group, which has a call of its own."""

    def __init__(self) -> None:
        super().__init__("the group is changed by a call of its own")


class ValueTooLongError(InvalidMessageError):
    """A client's value is longer than a register holds."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the value is longer than {max_bytes} bytes")


class InvalidGroupError(InvalidMessageError):
    """A message or a register holds a group that can't be one."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"not a replica group: {problem}")


class TooManyMembersError(InvalidGroupError):
    """A message or a register names more members than a group has."""

    def __init__(self) -> None:
        super().__init__("too many members")


class TooFewMembersError(InvalidGroupError):
    """A message or a register names fewer members than a group has."""

    def __init__(self) -> None:
        super().__init__("too few members")


class ForeignStorageError(InvalidMessageError):
    """The storage is that of another replica: the file was moved, or the configuration is wrong."""

    def __init__(self, number: int) -> None:
        super().__init__(f"the storage is that of replica {number}")


class StorageError(ConsensusError):
    """Base of the errors of a replica's storage."""


class StorageCorruptedError(StorageError):
    """The storage holds something that was not written so; the disk, or who touched the file, is at fault."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"the storage is corrupted: {problem}")


class StorageWriteError(StorageError, ProcessFatalError):
    """The storage could not be written, so what was not answered yet must never be."""

    def __init__(self, cause: str) -> None:
        super().__init__(f"the storage cannot be written: {cause}")


class StorageFailedBeforeError(StorageWriteError):
    """An earlier write failed, so nothing may be answered any more."""

    def __init__(self) -> None:
        super().__init__("an earlier write failed")


class DiskFullError(StorageWriteError):
    """The disk is full."""

    def __init__(self) -> None:
        super().__init__("disk full")


class CorruptedRowError(StorageCorruptedError):
    """A row does not agree with its checksum.

    Attributes:
        key: of the row.
    """

    def __init__(self, key: object) -> None:
        super().__init__(f"row {key!r} does not agree with its checksum")
        self.key = key


class FileCheckError(StorageCorruptedError):
    """SQLite's own check of the file failed."""

    def __init__(self) -> None:
        super().__init__("SQLite's check of the file failed")
