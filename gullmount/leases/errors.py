"""Errors of the leases package."""

from __future__ import annotations

from gullmount.errors import GullmountError


class LeaseError(GullmountError):
    """Base of the errors that leases raise."""


class LeaseLostError(LeaseError):
    """This instance does not hold the lease, or no longer holds it, and must stop the leased work.

    Attributes:
        work: Name of the leased work.
    """

    def __init__(self, work: str) -> None:
        super().__init__(f"the lease {work} is not held by this instance")
        self.work = work
