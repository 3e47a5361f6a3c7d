"""A replica's YAML file; fields are named as its keys are. Times in seconds."""

from __future__ import annotations

from typing import Annotated, Self

from pydantic import AfterValidator, Field, PositiveFloat, model_validator

from gullmount.errors import GullmountError
from gullmount.net.types import parse_address
from gullmount.yamlfile import YamlModel

GROUP_SIZES = (3, 4, 5)  # three bear the loss of one, five of two; four are on their way


class ReplicaConfigError(GullmountError, ValueError):
    """Base of what is wrong with the members that a file names; its author is at fault."""


class MemberCountError(ReplicaConfigError):
    """The file names too few or too many replicas."""

    def __init__(self, count: int) -> None:
        super().__init__(f"{count} replicas are named; three to five are a group")


class DuplicateAddressError(ReplicaConfigError):
    """The file names an address twice."""

    def __init__(self, addresses: list[str]) -> None:
        super().__init__(f"address named twice: {', '.join(addresses)}")


class MissingListenError(ReplicaConfigError):
    """The file is that of a replica which is to join, but doesn't say where it listens."""

    def __init__(self, number: int) -> None:
        super().__init__(
            f"number is {number}, which is not among the members: one that is to join needs listen"
        )


def valid_address(text: str) -> str:
    """Return `text` if it is of the form `host:port`; raise ValueError otherwise."""
    parse_address(text)
    return text


Address = Annotated[str, AfterValidator(valid_address)]
Number = Annotated[int, Field(ge=1, le=1000)]
Members = dict[Number, Address]


def validate_members(members: dict[int, str]) -> None:
    """Raise ReplicaConfigError where these can't be the members of a group."""
    if len(members) not in GROUP_SIZES:
        raise MemberCountError(len(members))
    addresses = list(members.values())
    duplicates = sorted({address for address in addresses if addresses.count(address) > 1})
    if duplicates:
        raise DuplicateAddressError(duplicates)


class ReplicaConfig(YamlModel):
    """One replica's file.

    Attributes:
        number: which replica of the group it is.
        group: the name of the group, the same for all of its replicas.
        members: addresses by number; they count until the group was changed once. A replica that is to join
            names those that are there.
        disk: folder of the storage.
        listen: where it listens, if not where the others find it.
        call_within: seconds for one call of another replica.
        settle_within: seconds for one proposal, after which its outcome is unknown.
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
