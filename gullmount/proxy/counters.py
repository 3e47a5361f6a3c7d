"""Counts how requests and attempts of one proxy instance end, between two reports. No I/O.

The keys are members of enumerations, so memory use is bounded.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum

from gullmount.decisions.model import RejectionReason
from gullmount.proxy.outcomes import AttemptEnd


class RequestEnd(Enum):
    """How a request ended from the client's point of view."""

    SERVED = "served"
    REJECTED = "rejected"
    FAILED = "failed"
    CLIENT_LEFT = "client_left"


@dataclass(slots=True)
class AttemptRecord:
    """One attempt of a request, kept for the log line of a request that is not served.

    Attributes:
        server: Id of the server.
        end: How the attempt ended; None while it is open.
        duration: Seconds from its start to its end.
    """

    server: str
    end: AttemptEnd | None = None
    duration: float = 0.0

    def log_fields(self) -> tuple[str, str, float]:
        """Return the server id, how the attempt ended, and its duration in seconds."""
        return self.server, self.end.name.lower() if self.end else "open", round(self.duration, 3)


@dataclass(slots=True)
class Counters:
    """Counts since the last call of `take_report`.

    Attributes:
        requests: Requests by end.
        rejections: Rejected requests by reason.
        attempts: Attempts by end.
        accept_failures: Tries to accept a connection that failed because descriptors or memory are short.
    """

    requests: Counter[RequestEnd] = field(default_factory=Counter)
    rejections: Counter[RejectionReason] = field(default_factory=Counter)
    attempts: Counter[AttemptEnd] = field(default_factory=Counter)
    accept_failures: int = 0

    def take_report(self) -> dict[str, dict[str, int] | int]:
        """Return the counts by field, most of them by enumeration value, and reset them to zero."""
        report: dict[str, dict[str, int] | int] = {
            "requests": {end.value: count for end, count in self.requests.items()},
            "rejections": {reason.value: count for reason, count in self.rejections.items()},
            "attempts": {end.name.lower(): count for end, count in self.attempts.items()},
            "accept_failures": self.accept_failures,
        }
        for counter in (self.requests, self.rejections, self.attempts):
            counter.clear()
        self.accept_failures = 0
        return report
