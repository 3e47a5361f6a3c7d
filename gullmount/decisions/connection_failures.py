"""Tracks the share of new connections that fail, to tell lost servers and cut networks from slow builds."""

from __future__ import annotations

from gullmount.decisions.model import Outcome
from gullmount.decisions.requests import Attempt

# Weight in the moving average of an attempt that needed a new connection.
NEW_CONNECTION_WEIGHT = 0.2
# Factor of that weight for an attempt at a server to which a connection was believed to be open.
REUSED_CONNECTION_FACTOR = 0.1
# Failure share above which servers with an open connection are preferred.
PREFER_OPEN_FAILURE_SHARE = 0.15
# Failure share above which slowness is not attributed to a build.
NETWORK_FAULT_FAILURE_SHARE = 0.05


class ConnectionFailures:
    """Moving average of the share of recent connects that failed, from 0 to 1."""

    def __init__(self) -> None:
        self.failure_share = 0.0

    @property
    def prefer_open_connections(self) -> bool:
        """Whether load balancing should prefer servers with an open connection."""
        return self.failure_share > PREFER_OPEN_FAILURE_SHARE

    @property
    def suggest_network_fault(self) -> bool:
        """Whether slowness may be caused by lost servers or links."""
        return self.failure_share > NETWORK_FAULT_FAILURE_SHARE

    def record(self, attempt: Attempt, outcome: Outcome) -> None:
        """Update the failure share with the outcome of an attempt."""
        weight = NEW_CONNECTION_WEIGHT * (REUSED_CONNECTION_FACTOR if attempt.reused_connection else 1.0)
        self.failure_share += weight * ((outcome is Outcome.CONNECT_FAILED) - self.failure_share)
