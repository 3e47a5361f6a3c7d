"""Configuration of a replica, read from its YAML file.

The fields have the names of the file's keys. Times are in seconds.
"""

from __future__ import annotations

from typing import Annotated, Self

from pydantic import AfterValidator, Field, PositiveFloat, model_validator

from gullmount.errors import GullmountError
from gullmount.net.types import parse_address
from gullmount.yamlfile import YamlModel

# Allowed numbers of replicas. Three tolerate the loss of one, five the loss of two. Four occur while a group
# grows or shrinks.
GROUP_SIZES = (3, 4, 5)


class ReplicaConfigError(GullmountError, ValueError):
    """Base of the errors in the members that a configuration file names. The file has to be corrected."""


class MemberCountError(ReplicaConfigError):
    """The file names too few or too many replicas for a group."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} replicas are named, but a group has three to five")


class DuplicateAddressError(ReplicaConfigError):
    """The file gives two replicas the same address."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(f"address named twice: {', '.join(addresses)}")


class MissingListenError(ReplicaConfigError):
    """The replica is not among the members, as before it joins, and the file has no `listen` address."""

    def __init__(self, number: int) -> None:
        super().__init__(f"number {number} is not among the members: a replica that is to join needs listen")


def valid_address(text: str) -> str:
    """Return `text` unchanged if it has the form `host:port`.

    Raises:
        ValueError: It has another form.
    """
    parse_address(text)
    return text


Address = Annotated[str, AfterValidator(valid_address)]
Number = Annotated[int, Field(ge=1, le=1000)]
Members = dict[Number, Address]


def validate_members(members: dict[int, str]) -> None:
    """Check that the members can form a group.

    Raises:
        ReplicaConfigError: Their count is not allowed, or two have the same address.
    """
    if len(members) not in GROUP_SIZES:
        raise MemberCountError(len(members))
    addresses = list(members.values())
    duplicates = sorted({address for address in addresses if addresses.count(address) > 1})
    if duplicates:
        raise DuplicateAddressError(duplicates)


class ReplicaConfig(YamlModel):
    """Configuration of one replica.

    Attributes:
        number: Number of the replica in its group.
        group: Name of the group, the same for all of its replicas.
        members: Addresses of the members by number. They apply until the group is changed for the first
            time. The file of a replica that is to join names the members that are already there.
        disk: Folder of the storage.
        listen: Address at which the replica listens, if it differs from its address among the members.
        call_within: Timeout of one call to another replica, in seconds.
        settle_within: Timeout of one proposal, in seconds. After it the outcome is unknown.
    """

    number: Number
    group: Annotated[str, Field(min_length=1, max_length=100)]
    members: Members
    disk: str
    listen: Address | None = None
    call_within: PositiveFloat = 0.5
    settle_within: PositiveFloat = 2.0

    @model_validator(mode="after")
    def _validate(self) -> Self:
        validate_members(self.members)
        if self.number not in self.members and self.listen is None:
            raise MissingListenError(self.number)
        return self

    @property
    def listens_at(self) -> str:
        """The address at which the replica listens."""
        return self.listen or self.members[self.number]
