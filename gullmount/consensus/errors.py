"""Errors of clients, proposers, group changes, messages and the storage."""

from __future__ import annotations

from gullmount.errors import GullmountError, ProcessFatalError
from gullmount.rpc.errors import InvalidMessageError


class ConsensusError(GullmountError):
    """Base of the errors of registers and of the replicas that store them."""


class NoReplicaError(ConsensusError):
    """A client received no usable answer from any replica; nothing was changed."""

    def __init__(self) -> None:
        super().__init__("no replica gave a usable answer; nothing was changed")


class NoMajorityError(ConsensusError):
    """A proposer received answers from too few replicas; nothing was changed."""


class QueueFullError(NoMajorityError):
    """A replica's queue of proposals for one register is full; nothing was changed."""

    def __init__(self) -> None:
        super().__init__("too many wait")


class MajorityTimeoutError(NoMajorityError):
    """A proposer received no answers from a majority in time; nothing was changed."""

    def __init__(self) -> None:
        super().__init__("no majority answered in time")


class OutcomeUnknownError(ConsensusError):
    """A change may have been made or not. The client has to read the register to find out."""

    def __init__(self, cause: str = "no answer in time") -> None:
        super().__init__(cause)


class ProposalTimeoutError(OutcomeUnknownError):
    """A proposer received no answers from a majority in time, but a replica may have accepted the change."""

    def __init__(self) -> None:
        super().__init__("no majority answered in time")


class ChangeOverwrittenError(OutcomeUnknownError):
    """Another change has been chosen since. It is unknown whether this one was chosen before it."""

    def __init__(self) -> None:
        super().__init__("changed since")


class GroupChangeError(ConsensusError):
    """An operator requested a change of the replica group that is not possible; nothing was changed.

    The message of each subclass is sent to the operator, who has to correct the request.
    """


class GroupChangeRejectedError(GroupChangeError):
    """A replica rejected the operator's change of the group.

    Attributes:
        reason: Error message of the replica.
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
    """The operator requested to revert a change of the group, but none is under way."""

    def __init__(self) -> None:
        super().__init__("no change is under way")


class GroupSizeError(GroupChangeError):
    """The group would be too small to tolerate the loss of a replica, or too large."""

    def __init__(self, count: int, min_count: int, max_count: int) -> None:
        super().__init__(f"{count} replicas; {min_count} to {max_count} are a group")


class GroupUnchangedError(GroupChangeError):
    """The requested members are the current ones."""

    def __init__(self) -> None:
        super().__init__("these are the members now")


class TooManyChangesError(GroupChangeError):
    """The change would add or remove more than one replica at a time."""

    def __init__(self) -> None:
        super().__init__("one replica at a time joins, leaves or takes another's place")


class ReplicaNumberReusedError(GroupChangeError):
    """The replica that is to join has a number that a member had before."""

    def __init__(self, number: int, highest: int) -> None:
        super().__init__(f"replica {number} is no new number: {highest} was the highest so far")


class DuplicateAddressError(GroupChangeError):
    """Two members of the group would have the same address."""

    def __init__(self) -> None:
        super().__init__("two replicas have one address")


class JoiningReplicaError(GroupChangeError):
    """The replica that is to join does not answer, or it is not new."""

    def __init__(self, number: int, address: str) -> None:
        super().__init__(f"replica {number} does not answer at {address}, or is not new")


class StaleRevisionError(GroupChangeError):
    """The change was requested for another revision of the group than the current one."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"the group's revision is {revision}")


class ConcurrentChangeError(GroupChangeError):
    """Another change of the group was chosen first."""

    def __init__(self, revision: int) -> None:
        super().__init__(f"another change came first, revision {revision}")


class ChangeRevertedError(GroupChangeError):
    """The change that the operator waited for was reverted, or another one followed."""

    def __init__(self) -> None:
        super().__init__("it was undone, or another change came")


class ForeignMessageError(InvalidMessageError):
    """A message between replicas names another group, or a sender that is not in this one."""

    def __init__(self) -> None:
        super().__init__("not of this group")


class SourceAddressError(InvalidMessageError):
    """A message comes from another host than the replica that it names as its sender."""

    def __init__(self) -> None:
        super().__init__("not from that replica's address")


class UnknownRequestError(InvalidMessageError):
    """A replica sent a request of an unknown kind."""

    def __init__(self, kind: str) -> None:
        super().__init__(f"no request between replicas is named {kind[:40]!r}")


class RegisterLimitError(InvalidMessageError):
    """A client named a new register, but the replica already has the maximum number of registers."""

    def __init__(self, max_registers: int) -> None:
        super().__init__(f"more than {max_registers} registers")


class RegisterNameError(InvalidMessageError):
    """A client named a register with an empty name or one that is too long."""

    def __init__(self, max_characters: int) -> None:
        super().__init__(f"a register's name has 1 to {max_characters} characters")


class ReservedRegisterError(InvalidMessageError):
    """A client tried to write the register of the group, which is changed by a separate request."""

    def __init__(self) -> None:
        super().__init__("the group is changed by a call of its own")


class ValueTooLongError(InvalidMessageError):
    """A client sent a value that is longer than allowed."""

    def __init__(self, max_bytes: int) -> None:
        super().__init__(f"the value is longer than {max_bytes} bytes")


class InvalidGroupError(InvalidMessageError):
    """A message or a register contains an invalid replica group."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"not a replica group: {problem}")


class TooManyMembersError(InvalidGroupError):
    """A message or a register names more members than a group may have."""

    def __init__(self) -> None:
        super().__init__("too many members")


class TooFewMembersError(InvalidGroupError):
    """A message or a register names fewer members than a group must have."""

    def __init__(self) -> None:
        super().__init__("too few members")


class ForeignStorageError(InvalidMessageError):
    """The storage belongs to another replica: the file was moved, or the configuration is wrong."""

    def __init__(self, number: int) -> None:
        super().__init__(f"the storage is that of replica {number}")


class StorageError(ConsensusError):
    """Base of the errors of a replica's storage."""


class StorageCorruptedError(StorageError):
    """The storage differs from what was written, by a fault of the disk or a change from outside."""

    def __init__(self, problem: str) -> None:
        super().__init__(f"the storage is corrupted: {problem}")


class StorageWriteError(StorageError, ProcessFatalError):
    """The storage could not be written. The replica must not send any answer that it has not sent yet."""

    def __init__(self, cause: str) -> None:
        super().__init__(f"the storage cannot be written: {cause}")


class StorageFailedBeforeError(StorageWriteError):
    """An earlier write failed, so the replica may not answer any more."""

    def __init__(self) -> None:
        super().__init__("an earlier write failed")


class DiskFullError(StorageWriteError):
    """The disk is full."""

    def __init__(self) -> None:
        super().__init__("disk full")


class CorruptedRowError(StorageCorruptedError):
    """A row of the storage does not match its checksum.

    Attributes:
        key: Key of the row.
    """

    def __init__(self, key: object) -> None:
        super().__init__(f"row {key!r} does not agree with its checksum")
        self.key = key


class FileCheckError(StorageCorruptedError):
    """SQLite's integrity check of the file failed."""

    def __init__(self) -> None:
        super().__init__("SQLite's check of the file failed")
