"""A proxy instance's file with the section `ownership`; fields are named as its keys. Times in seconds."""

from __future__ import annotations

from typing import Literal, Self

from pydantic import Field, PositiveFloat, model_validator

from gullmount.consensus.config import Address, Members, validate_members
from gullmount.errors import GullmountError
from gullmount.proxy import ProxyConfig
from gullmount.yamlfile import YamlModel

MIN_MARGINS_PER_TERM = 4.0  # between renewal and end two may fail


class LeaseConfigError(GullmountError, ValueError):
    """Base of what is wrong with the section; the file's author is at fault."""


class ShortTermError(LeaseConfigError):
    """The term has too few margins."""

    def __init__(self, term: float, margin: float) -> None:
        super().__init__(f"term is {term}, less than {MIN_MARGINS_PER_TERM:.0f} margins of {margin}")


class LongResponseTimeoutError(LeaseConfigError):
    """An answer may take so long that a term is lost by one that is late."""

    def __init__(self, answer_within: float) -> None:
        super().__init__(f"answer_within is {answer_within}: half a term or more")


class AnnouncementConfig(YamlModel):
    """Where the leader announces itself.

    Attributes:
        address: `host:port` of the receiver.
        every: seconds between announcements.
    """

    address: Address
    every: PositiveFloat = 1.0


class LeaseConfig(YamlModel):
    """The section `ownership`.

    Attributes:
        switched_on: without it nothing of the section is done.
        keepers: addresses of the replicas by number.
        jobs: the leased work that the instance goes for; `judge` is the leader's.
        term: seconds for which a lease lasts without a renewal.
        margin: seconds by which a holder stops earlier.
        answer_within: seconds for one call of a replica.
        announce: where the leader announces itself.
    """

    switched_on: bool = False
    keepers: Members
    jobs: list[Literal["judge"]] = Field(default=["judge"])
    term: PositiveFloat = 3.0
    margin: PositiveFloat = 0.3
    answer_within: PositiveFloat = 1.0
    announce: AnnouncementConfig | None = None

    @model_validator(mode="after")
    def _validate(self) -> Self:
        validate_members(self.keepers)
        if self.term < MIN_MARGINS_PER_TERM * self.margin:
            raise ShortTermError(self.term, self.margin)
        if self.answer_within >= self.term / 2:
            raise LongResponseTimeoutError(self.answer_within)
        return self


class LeasingProxyConfig(ProxyConfig):
    """One proxy instance's file, with what it holds for the fleet."""

    ownership: LeaseConfig | None = None

    @property
    def leases_enabled(self) -> bool:
        """Whether the section is there and switched on."""
        return self.ownership is not None and self.ownership.switched_on
