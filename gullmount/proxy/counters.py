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
    """Counts since the last call of `take_report`."""

    requests: Counter[RequestEnd] = field(default_factory=Counter)
    rejections: Counter[RejectionReason] = field(default_factory=Counter)
    attempts: Counter[AttemptEnd] = field(default_factory=Counter)

    def take_report(self) -> dict[str, dict[str, int]]:
        """Return the counts by field and enumeration value, and reset them to zero."""
        report = {
            "requests": {end.value: count for end, count in self.requests.items()},
            "rejections": {reason.value: count for reason, count in self.rejections.items()},
            "attempts": {end.name.lower(): count for end, count in self.attempts.items()},
        }
        for counter in (self.requests, self.rejections, self.attempts):
            counter.clear()
        return report
