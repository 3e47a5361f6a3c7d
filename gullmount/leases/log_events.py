"""Log events of the leases package."""

from __future__ import annotations

from enum import StrEnum


class LogEvent(StrEnum):
    """Log events; the values are the names in the log and stay stable."""

    LEASE_ACQUIRED = "lease_acquired"
    LEASE_ENDED = "lease_ended"
    LEADER_ANNOUNCEMENT_FAILED = "leader_announcement_failed"
