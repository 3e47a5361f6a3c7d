"""A proxy instance's configuration file with the section `ownership`.

Fields have the names of the keys in the file. Times are in seconds.
"""

from __future__ import annotations

from typing import Literal, Self

from pydantic import Field, PositiveFloat, model_validator

from gullmount.consensus.config import Address, Members, validate_members
from gullmount.errors import GullmountError
from gullmount.proxy import ProxyConfig
from gullmount.yamlfile import YamlModel

# Two renewals may fail between the time at which a renewal is due and the end of the term.
MIN_MARGINS_PER_TERM = 4.0


class LeaseConfigError(GullmountError, ValueError):
    """Base of the errors in the section `ownership`, which the author of the file has to fix."""


class ShortTermError(LeaseConfigError):
    """The term is too short for its margin."""

    def __init__(self, term: float, margin: float) -> None:
        super().__init__(f"term is {term}, less than {MIN_MARGINS_PER_TERM:.0f} margins of {margin}")


class LongResponseTimeoutError(LeaseConfigError):
    """The response timeout is so long that a single late response can lose the term."""

    def __init__(self, answer_within: float) -> None:
        super().__init__(f"answer_within is {answer_within} s, but must be less than half a term")


class AnnouncementConfig(YamlModel):
    """Where and how often the leader announces itself.

    Attributes:
        address: `host:port` of the receiver.
        every: Seconds between announcements.
    """

    address: Address
    every: PositiveFloat = 1.0


class LeaseConfig(YamlModel):
    """The section `ownership` of a proxy instance's file.

    Attributes:
        switched_on: Whether leases are on. If false, the rest of the section has no effect.
        keepers: Addresses of the replicas by number.
        jobs: Names of the leases that the instance claims; `judge` is the leader's.
        term: Seconds for which a lease lasts without a renewal.
        margin: Seconds before the end of the term at which the holder stops.
        answer_within: Timeout of one call to a replica, in seconds.
        announce: Where the leader announces itself, if anywhere.
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
    """Configuration of one proxy instance, with the section for leases."""

    ownership: LeaseConfig | None = None

    @property
    def leases_enabled(self) -> bool:
        """Whether the section `ownership` is present and switched on."""
        return self.ownership is not None and self.ownership.switched_on
