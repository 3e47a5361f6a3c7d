"""Which relay a subscriber connects to and when: own zone first, backoff, and leaving one that lags.

No I/O, clock or randomness of its own: times, in seconds of one clock, and a Random are handed in; methods
say what to do. A relay selects the origin by the same rules.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

START_SPREAD_SECONDS = 1.0  # over which first connections are spread
MOVE_SPREAD_SECONDS = 1.0  # over which the subscribers of a lost relay connect again
INITIAL_BACKOFF_SECONDS = 0.5  # doubles with each failure
MAX_BACKOFF_SECONDS = 15.0
BACKOFF_JITTER = 0.5  # part of a wait that is random
MAX_RETRY_AFTER_SECONDS = 30.0
RESPONSE_TIMEOUT_SECONDS = 3.0  # for a stream to begin: a stopped relay accepts connections and is silent
FAILURES_WHEN_SILENT = 4  # that a silent relay counts as, to be left alone longer than one that refuses
SILENCE_TIMEOUT_SECONDS = 6.0  # without a byte, after which a stream is given up
LINE_TIMEOUT_SECONDS = 60.0  # without a whole line, after which a slow stream is given up
STABLE_STREAM_SECONDS = 10.0  # that a stream lasts after which earlier failures no longer count
RETURN_HOME_SECONDS = (20.0, 60.0)  # at another zone's relay until one's own zone is tried again
MAX_RETURN_HOME_DOUBLINGS = 4  # of that wait while no relay of one's own zone can be reached
MAX_LAG_SECONDS = 10.0  # at a relay that is behind, or has lost the origin, until one leaves it
MAX_LAG_DOUBLINGS = 5  # of that wait while other relays are behind too: the origin is gone
MAX_FAILURES = 10  # beyond, more failures make no longer wait


@dataclass(frozen=True)
class RelayEndpoint:
    """Where to subscribe; the origin is of no zone."""

    address: str
    zone: str = ""


@dataclass(frozen=True)
class ConnectionPlan:
    """Which relay to connect to, and the time before which not to."""

    relay: RelayEndpoint
    not_before: float


class RelayHealth:
    """Failures of one relay in a row, and the time before which it is not tried again."""

    __slots__ = ("failures", "not_before")

    def __init__(self) -> None:
        """No failures."""
        self.failures = 0
        self.not_before = 0.0


class RelaySelector:
    """Selects a subscriber's relay. Lives as long as the subscriber; bounded by the relays listed."""

    def __init__(self, relays: Sequence[RelayEndpoint], zone: str, random: Random) -> None:
        """Select among `relays` for a subscriber of `zone`."""
        self.relays = list(relays)
        self.zone = zone
        self.random = random
        self.health = {relay.address: RelayHealth() for relay in relays}
        self.started = False
        self.current: RelayEndpoint | None = None  # of the stream there is, or of the last one
        self.connected_at: float | None = None  # None: the stream has ended
        self.last_byte_at = 0.0
        self.last_line_at = 0.0
        self.behind_since: float | None = None
        self.moves_while_behind = 0  # in a row
        self.return_home_at = 0.0
        self.attempts_to_return_home = 0  # in a row
        self.moves = 0

    def next_connection(self, now: float) -> ConnectionPlan:
        """The next relay: a random one of the own zone, then of the others.

        Where all are to be left alone for a while, the first that may be tried again. It goes by what is
        known now: a relay that has just failed is not tried at once though the spread would let it.
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
        """Note that the relay's stream has begun."""
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
        """Note that bytes came, and with them so many whole lines."""
        self.last_byte_at = now
        if lines:
            self.last_line_at = now

    def silence_deadline(self) -> float:
        """When to give the stream up if nothing comes until then."""
        return min(self.last_byte_at + SILENCE_TIMEOUT_SECONDS, self.last_line_at + LINE_TIMEOUT_SECONDS)

    def note_lag(self, behind: bool, now: float) -> None:
        """Note whether the relay is behind what is known here, or has lost the origin."""
        if not behind:
            self.behind_since = None
            self.moves_while_behind = 0
        elif self.behind_since is None:
            self.behind_since = now + self.random.random() * MAX_LAG_SECONDS

    def should_leave(self, now: float) -> bool:
        """Whether to leave a working stream: its relay stays behind, or the own zone is to be tried again."""
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
        """Note that the stream was left as `should_leave` said; a relay that is behind is avoided longer."""
        if self.current is not None and self.behind_since is not None:
            self.moves_while_behind = min(self.moves_while_behind + 1, MAX_LAG_DOUBLINGS)
            wait = MAX_BACKOFF_SECONDS * (1.0 + self.random.random())
            self.health[self.current.address].not_before = now + wait
        else:
            self.attempts_to_return_home = min(self.attempts_to_return_home + 1, MAX_RETURN_HOME_DOUBLINGS)

    def failed(self, relay: RelayEndpoint, now: float, hung: bool = False) -> None:
        """Note that the relay could not be reached, broke the stream, or (hung) was silent."""
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
        """Note that the relay answered with an error status; `retry_after` in seconds, if it said so.

        With that it has nothing to send yet, and is no worse for it.
        """
        if retry_after is None:
            self.failed(relay, now)
            return
        wait = min(MAX_RETRY_AFTER_SECONDS, max(INITIAL_BACKOFF_SECONDS, retry_after))
        self.health[relay.address].not_before = now + wait * (1.0 + BACKOFF_JITTER * self.random.random())
