"""Decides which relay a subscriber connects to, and when.

Relays of the subscriber's own zone come first. A relay that failed is avoided for a backoff time, and a relay
that lags is left. A relay selects the origin by the same rules.

The module has no I/O, clock or randomness of its own. Callers pass in a Random and times, in seconds of one
clock, and carry out what the methods return.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

# First connections are spread over this time.
START_SPREAD_SECONDS = 1.0
# The subscribers of a lost relay reconnect spread over this time.
MOVE_SPREAD_SECONDS = 1.0
# The backoff after the first failure; it doubles with each further failure.
INITIAL_BACKOFF_SECONDS = 0.5
MAX_BACKOFF_SECONDS = 15.0
# The fraction of a wait that is random.
BACKOFF_JITTER = 0.5
MAX_RETRY_AFTER_SECONDS = 30.0
# Time within which a stream must begin. A stopped relay still accepts connections but sends nothing.
RESPONSE_TIMEOUT_SECONDS = 3.0
# A silent relay counts as this many failures, so that it is avoided longer than one that refuses connections.
FAILURES_WHEN_SILENT = 4
# A stream without a byte for this long is closed.
SILENCE_TIMEOUT_SECONDS = 6.0
# A slow stream without a whole line for this long is closed.
LINE_TIMEOUT_SECONDS = 60.0
# After a stream that lasted this long, earlier failures no longer count.
STABLE_STREAM_SECONDS = 10.0
# Shortest and longest stay at a relay of another zone before the subscriber's own zone is tried again.
RETURN_HOME_SECONDS = (20.0, 60.0)
# How often that stay doubles while no relay of the own zone can be reached.
MAX_RETURN_HOME_DOUBLINGS = 4
# Stay at a relay that is behind, or has lost the origin, before the subscriber leaves it.
MAX_LAG_SECONDS = 10.0
# How often that stay doubles while other relays are behind too, which means that the origin is lost.
MAX_LAG_DOUBLINGS = 5
# Further failures do not lengthen the backoff.
MAX_FAILURES = 10


@dataclass(frozen=True)
class RelayEndpoint:
    """The address and zone of a relay, or the address of the origin, which has no zone."""

    address: str
    zone: str = ""


@dataclass(frozen=True)
class ConnectionPlan:
    """The relay to connect to, and the earliest time of the connection."""

    relay: RelayEndpoint
    not_before: float


class RelayHealth:
    """Consecutive failures of one relay, and the time before which it is not tried again."""

    __slots__ = ("failures", "not_before")

    def __init__(self) -> None:
        """Create the state of a relay without failures."""
        self.failures = 0
        self.not_before = 0.0


class RelaySelector:
    """Selects a subscriber's relay.

    It lives as long as the subscriber. Its size is bounded by the number of relays.
    """

    def __init__(self, relays: Sequence[RelayEndpoint], zone: str, random: Random) -> None:
        """Select among `relays` for a subscriber of `zone`."""
        self.relays = list(relays)
        self.zone = zone
        self.random = random
        self.health = {relay.address: RelayHealth() for relay in relays}
        self.started = False
        # The relay of the open stream, or of the last one.
        self.current: RelayEndpoint | None = None
        # When the open stream began; None if it has ended.
        self.connected_at: float | None = None
        self.last_byte_at = 0.0
        self.last_line_at = 0.0
        self.behind_since: float | None = None
        # Consecutive moves away from relays that were behind.
        self.moves_while_behind = 0
        self.return_home_at = 0.0
        # Consecutive attempts to return to the own zone.
        self.attempts_to_return_home = 0
        self.moves = 0

    def next_connection(self, now: float) -> ConnectionPlan:
        """Return the next relay: a random one of the own zone or, if none is usable, of the other zones.

        If all relays are in backoff, it is the one whose backoff ends first. Backoff is compared with `now`,
        not with the connection time: a relay that has just failed is not selected even if its backoff would
        be over after the spread.
        """
        spread = MOVE_SPREAD_SECONDS if self.started else START_SPREAD_SECONDS
        earliest = now + self.random.random() * spread
        self.started = True
        for own_zone in (True, False):
            usable = [
                relay
                for relay in self.relays
                if (relay.zone == self.zone) is own_zone and self.health[relay.address].not_before <= now
            ]
            if usable:
                return ConnectionPlan(self.random.choice(usable), earliest)
        first_available = min(self.relays, key=lambda relay: self.health[relay.address].not_before)
        return ConnectionPlan(first_available, max(earliest, self.health[first_available.address].not_before))

    def connected(self, relay: RelayEndpoint, now: float) -> None:
        """Record that the relay's stream has begun."""
        if self.current is not None and self.current != relay:
            self.moves += 1
        self.current = relay
        self.connected_at = self.last_byte_at = self.last_line_at = now
        self.behind_since = None
        if relay.zone == self.zone:
            self.attempts_to_return_home = 0
        wait = self.random.uniform(*RETURN_HOME_SECONDS) * 2**self.attempts_to_return_home
        self.return_home_at = now + wait

    def received(self, now: float, lines: int) -> None:
        """Record that bytes were received that completed this many lines."""
        self.last_byte_at = now
        if lines:
            self.last_line_at = now

    def silence_deadline(self) -> float:
        """Return the time at which the stream is closed if nothing is received until then."""
        return min(self.last_byte_at + SILENCE_TIMEOUT_SECONDS, self.last_line_at + LINE_TIMEOUT_SECONDS)

    def note_lag(self, behind: bool, now: float) -> None:
        """Record whether the relay is behind the subscriber's own state, or has lost the origin."""
        if not behind:
            self.behind_since = None
            self.moves_while_behind = 0
        elif self.behind_since is None:
            self.behind_since = now + self.random.random() * MAX_LAG_SECONDS

    def should_leave(self, now: float) -> bool:
        """Return whether to leave a working stream, as its relay lags or a return to the own zone is due."""
        if self.current is None or len(self.relays) == 1:
            return False
        max_lag_seconds = MAX_LAG_SECONDS * 2**self.moves_while_behind
        if self.behind_since is not None and now - self.behind_since >= max_lag_seconds:
            return True
        return (
            self.current.zone != self.zone
            and now >= self.return_home_at
            and any(relay.zone == self.zone for relay in self.relays)
        )

    def left(self, now: float) -> None:
        """Record that the stream was left after `should_leave`; a relay that is behind is avoided longer."""
        if self.current is not None and self.behind_since is not None:
            self.moves_while_behind = min(self.moves_while_behind + 1, MAX_LAG_DOUBLINGS)
            wait = MAX_BACKOFF_SECONDS * (1.0 + self.random.random())
            self.health[self.current.address].not_before = now + wait
        else:
            self.attempts_to_return_home = min(self.attempts_to_return_home + 1, MAX_RETURN_HOME_DOUBLINGS)

    def failed(self, relay: RelayEndpoint, now: float, hung: bool = False) -> None:
        """Record that the relay could not be reached, broke the stream or, if `hung`, was silent."""
        health = self.health[relay.address]
        if self.current == relay and self.connected_at is not None:
            if now - self.connected_at >= STABLE_STREAM_SECONDS:
                health.failures = 0
            self.connected_at = None
        if hung:
            health.failures = max(health.failures, FAILURES_WHEN_SILENT)
        wait = min(MAX_BACKOFF_SECONDS, INITIAL_BACKOFF_SECONDS * 2**health.failures)
        health.failures = min(health.failures + 1, MAX_FAILURES)
        health.not_before = now + wait * (1.0 - BACKOFF_JITTER * self.random.random())

    def refused(self, relay: RelayEndpoint, now: float, retry_after: float | None) -> None:
        """Record that the relay responded with an error status.

        A response with a retry time is not counted as a failure: the relay has nothing to send yet.

        Args:
            relay: The relay that responded.
            now: The current time in seconds.
            retry_after: The retry time in seconds; None if the response had none.
        """
        if retry_after is None:
            self.failed(relay, now)
            return
        wait = min(MAX_RETRY_AFTER_SECONDS, max(INITIAL_BACKOFF_SECONDS, retry_after))
        self.health[relay.address].not_before = now + wait * (1.0 + BACKOFF_JITTER * self.random.random())
