"""Errors of measurements that measure nothing; they cross processes, so their arguments are kept as given."""

from __future__ import annotations

from gullmount.errors import GullmountError


class ProxyStartError(GullmountError):
    """The measured proxy's process ended, or did not accept connections in time."""

    def __str__(self) -> str:
        return "the umpire did not start"


class FailedTrafficError(GullmountError):
    """Too many requests failed for their connections to mean anything."""

    def __init__(self, answered: int, sent: int) -> None:
        super().__init__(answered, sent)
        self.answered = answered
        self.sent = sent

    def __str__(self) -> str:
        return f"only {self.answered} of {self.sent} reqs were answered: nothing is measured"
