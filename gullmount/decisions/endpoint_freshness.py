"""Tracks how old the endpoint list may be and schedules the calls to discovery that renew it.

Age of the list:

- A change counts as notified once discovery has written it, and at the latest 6 s after discovery had it,
  whether or not it arrived here.
- So a list that was complete at some moment may be used for routing for 6 s from that moment, and longer only
  if discovery provably could not be reached.
- `EndpointFreshness` keeps the end of that time; each result of a call moves it or leaves it as it is.

Schedule of the calls, which are what overloads discovery:

- Discovery serves calls one after the other, refuses a call that waited for 2 s, and spends time on refused
  calls too. A call that continues a watch takes no place in that queue.
- So every call is a watch, and a call that succeeded is continued at once.
- The first call of a watch asks for a wait that is longer than a call may stay in the queue.
- Calls that all instances would make at the same time are spread.
- The backoff after each failed call of one kind doubles, with jitter, up to a limit that grows with what such
  a call costs discovery and with the number of instances that make it.
- Where lists are pushed, what discovery has counts as notified at its return, so a failed call must not put
  off the next one: a small fleet calls again within the grace of a drain. A larger one calls as often as
  discovery can serve it, if the call did not wait in discovery's queue.

All times are in seconds on one monotonic clock.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from math import inf
from random import Random

# A change counts as notified after this time, whatever became of the call that would have delivered it.
NOTIFIED_AFTER_SECONDS = 6.0
# After discovery changes its address, everything that it has counts as notified after this time.
NOTIFIED_AFTER_ADDRESS_CHANGE_SECONDS = 4.0

# Wait that the first call of a watch asks for, longer than a call may stay in discovery's queue.
FIRST_CALL_WAIT_SECONDS = 2.3
# Bounds of the random wait of later calls; it differs so that few instances call again at the same time.
CONTINUED_CALL_WAIT_SECONDS = (1.5, 3.0)
# A later call that brought no byte is abandoned this long after its wait.
CONTINUED_CALL_SILENCE_SLACK_SECONDS = 0.4
# The first call of a watch that brought no byte is abandoned this long after its wait.
FIRST_CALL_SILENCE_SLACK_SECONDS = 0.8
# Least time between the starts of two calls. A call within 0.2 s of the last response continues its watch.
MIN_CALL_INTERVAL_SECONDS = 0.1
# A response that has begun is abandoned after this time without a byte.
RESPONSE_STALL_TIMEOUT_SECONDS = 1.0
# Longest time from the first byte of a response to its last.
MAX_RESPONSE_SECONDS = 15.0

# Time over which instances that start together spread their first calls.
START_SPREAD_SECONDS = 3.2
# Time over which instances whose watches ended together spread their next calls.
RESTART_SPREAD_SECONDS = 0.8
# Time over which instances spread their calls to a new address; each of these asks for the complete list.
ADDRESS_CHANGE_SPREAD_SECONDS = 1.5

# Mean backoff after a refused call in a large fleet; doubles with each failed call.
REFUSED_BACKOFF_SECONDS = 6.0
# Mean backoff after a refused call in a fleet of one instance.
SINGLE_INSTANCE_REFUSED_BACKOFF_SECONDS = 1.5
# Limit of the mean backoff after calls that waited in discovery's queue, in a large fleet.
MAX_QUEUED_BACKOFF_SECONDS = 24.0
# Mean backoff after a broken or silent call.
BROKEN_BACKOFF_SECONDS = 0.5
# Limit of the mean backoff after silent calls in a fleet of one instance.
SINGLE_INSTANCE_MAX_SILENT_BACKOFF_SECONDS = 0.75
# A call that broke after this time may have waited in discovery's queue.
QUEUED_CALL_SECONDS = 1.5
# Mean backoff after a call without a connection.
UNREACHABLE_BACKOFF_SECONDS = 0.5
# Limit of that backoff for each instance of the fleet, and its least value. Where lists are pushed, what
# discovery has counts as notified at its return, so the next call has to come within the grace of a drain. A
# fleet of tens must not call at once, as discovery serves about a dozen calls a second.
MAX_UNREACHABLE_BACKOFF_PER_INSTANCE_SECONDS = 0.03
MIN_MAX_UNREACHABLE_BACKOFF_SECONDS = 0.1
# Fleets of up to this size can't crowd discovery.
MAX_SMALL_FLEET_INSTANCES = 5
# Calls a second that discovery serves.
SERVED_CALLS_PER_SECOND = 12.0
# Limit of the mean backoff after calls that cost discovery no time: without a connection, or broken at once.
MAX_UNQUEUED_BACKOFF_SECONDS = 3.0
MAX_BACKOFF_DOUBLINGS = 10
# Bounds of the random factor of each backoff.
BACKOFF_JITTER_FACTORS = (0.5, 1.5)


class EndpointListState(Enum):
    """How far the current endpoint list may be relied on."""

    FRESH = "fresh"
    """The last call succeeded, or its watch is still in progress."""
    SUSPECT = "suspect"
    """A call failed since the list was last known to be complete; it may still be used for routing."""
    STALE = "stale"
    """A change that did not arrive may count as notified; the list may not be used for routing."""


class CallFailure(Enum):
    """Why a call brought no usable response."""

    REFUSED = "refused"
    """Discovery responded with a status other than 200."""
    BROKEN = "broken"
    """The connection closed early, or the response could not be decoded."""
    SILENT = "silent"
    """No byte arrived in time."""
    UNREACHABLE = "unreachable"
    """No connection was established, so discovery cannot have notified anything."""


@dataclass(frozen=True, slots=True)
class PlannedCall:
    """The next call to discovery."""

    not_before: float
    """Earliest start of the call, in seconds."""
    wait: float
    """Seconds for which discovery is asked to wait for a change."""
    silence_timeout: float
    """Seconds without a byte after which the call is abandoned."""
    continues_watch: bool
    """Whether the call continues the watch of a call that just succeeded."""


class EndpointFreshness:
    """The age of one instance's endpoint list and the schedule of its calls to discovery."""

    def __init__(
        self, instance_count: int, random: Random, now: float, *, lists_are_pushed: bool = False
    ) -> None:
        """Create the state at the start of an instance.

        Args:
            instance_count: Number of instances in the fleet.
            random: Source of jitter.
            now: The present time, in seconds.
            lists_are_pushed: Whether what discovery has counts as notified once it can be reached, also
                without a call.
        """
        self.random = random
        self.instance_count = instance_count
        self.lists_are_pushed = lists_are_pushed
        self.spread_factor = 1.0 - 1.0 / max(1, instance_count)
        """Scales random spreads: 0 for a single instance, which needs none, and near 1 for a large fleet."""
        self.synced_at: float | None = None
        """When the list was last known to be complete; None before the first successful call."""
        self.stale_at = now + NOTIFIED_AFTER_SECONDS
        """From when on the list may not be used for routing."""
        self.consecutive_failures: Counter[CallFailure] = Counter()
        """Failed calls since the last success, by kind; the end of a continued watch does not count."""
        self.suspect = True
        """Whether the last call failed, or none has succeeded yet."""
        self.next_call = self._first_call(now + self._random_spread(START_SPREAD_SECONDS))

    def is_stale(self, now: float) -> bool:
        """Whether the list may not be used for routing."""
        return now >= self.stale_at

    def state(self, now: float) -> EndpointListState:
        """Return how far the current list may be relied on."""
        if self.is_stale(now):
            return EndpointListState.STALE
        return EndpointListState.SUSPECT if self.suspect else EndpointListState.FRESH

    def call_succeeded(self, began_at: float, now: float, response_started_at: float | None = None) -> None:
        """Renew the list's validity and schedule the call that continues the watch.

        Args:
            began_at: When the call was made, in seconds.
            now: The present time, in seconds.
            response_started_at: The earliest time at which discovery can have begun to write the response;
                `now` where it is None. The list is as old as the writing of the response, not its reading.
        """
        self.synced_at = now if response_started_at is None else min(now, response_started_at)
        self.stale_at = self.synced_at + NOTIFIED_AFTER_SECONDS
        self.consecutive_failures.clear()
        self.suspect = False
        wait = self.random.uniform(*CONTINUED_CALL_WAIT_SECONDS)
        not_before = max(now, began_at + MIN_CALL_INTERVAL_SECONDS)
        self.next_call = PlannedCall(
            not_before, wait, wait + CONTINUED_CALL_SILENCE_SLACK_SECONDS, continues_watch=True
        )

    def call_failed(self, failure: CallFailure, began_at: float, now: float) -> None:
        """Schedule the call after one that was made at `began_at` and failed.

        An unreachable discovery extends the list's validity, as it cannot have notified any change. Any other
        failure before the first successful call ends the validity at once.
        """
        self.suspect = True
        if failure is CallFailure.UNREACHABLE:
            self.stale_at = max(self.stale_at, began_at + NOTIFIED_AFTER_SECONDS)
        elif self.synced_at is None:
            # Without a successful call the list may be of any age.
            self.stale_at = min(self.stale_at, now)
        continued_watch = self.next_call.continues_watch
        if continued_watch and failure in (CallFailure.BROKEN, CallFailure.SILENT):
            self.next_call = self._first_call(now + self._random_spread(self._restart_spread()))
            return
        # A call that continues a watch has no place in discovery's queue.
        waited = not continued_watch and now - began_at >= QUEUED_CALL_SECONDS
        if failure is CallFailure.BROKEN and waited:
            # Discovery resets calls that waited too long, as it refuses them.
            failure = CallFailure.REFUSED
        self.consecutive_failures[failure] += 1
        self.next_call = self._first_call(now + self._random_backoff(failure, waited))

    def discovery_address_changed(self, now: float) -> None:
        """Shorten the list's validity and schedule the first call to discovery's new address."""
        self.stale_at = min(self.stale_at, now + NOTIFIED_AFTER_ADDRESS_CHANGE_SECONDS)
        self.consecutive_failures.clear()
        self.suspect = True
        self.next_call = self._first_call(now + self._random_spread(ADDRESS_CHANGE_SPREAD_SECONDS))

    def _first_call(self, not_before: float) -> PlannedCall:
        timeout = FIRST_CALL_WAIT_SECONDS + FIRST_CALL_SILENCE_SLACK_SECONDS
        return PlannedCall(not_before, FIRST_CALL_WAIT_SECONDS, timeout, continues_watch=False)

    def _restart_spread(self) -> float:
        """Return the time over which the fleet spreads its calls after its watches ended together."""
        if self.lists_are_pushed and self._is_small_fleet:
            return min(RESTART_SPREAD_SECONDS, self._small_fleet_backoff())
        return RESTART_SPREAD_SECONDS

    @property
    def _is_small_fleet(self) -> bool:
        return self.instance_count <= MAX_SMALL_FLEET_INSTANCES

    def _small_fleet_backoff(self) -> float:
        """Return the mean backoff after a call that costs discovery next to nothing."""
        fleet_limit = MAX_UNREACHABLE_BACKOFF_PER_INSTANCE_SECONDS * self.instance_count
        return max(MIN_MAX_UNREACHABLE_BACKOFF_SECONDS, fleet_limit)

    def _random_backoff(self, failure: CallFailure, waited: bool) -> float:
        """Return the backoff after the failures so far of this kind; `waited` is of the last call."""
        initial_backoff, max_backoff = self._backoff_range(failure)
        if self.lists_are_pushed and failure is not CallFailure.UNREACHABLE:
            pushed_backoff = self._pushed_backoff(waited)
            if pushed_backoff < initial_backoff:
                initial_backoff = max_backoff = pushed_backoff
        doublings = min(self.consecutive_failures[failure] - 1, MAX_BACKOFF_DOUBLINGS)
        mean_backoff = min(max_backoff, initial_backoff * 2.0**doublings)
        return mean_backoff * self.random.uniform(*BACKOFF_JITTER_FACTORS)

    def _backoff_range(self, failure: CallFailure) -> tuple[float, float]:
        """Return the mean backoff after the first failure of this kind, and its limit."""
        if failure is CallFailure.UNREACHABLE:
            max_backoff = min(self._small_fleet_backoff(), MAX_UNQUEUED_BACKOFF_SECONDS)
            return UNREACHABLE_BACKOFF_SECONDS, max_backoff
        if failure is CallFailure.BROKEN:
            return BROKEN_BACKOFF_SECONDS, MAX_UNQUEUED_BACKOFF_SECONDS
        if failure is CallFailure.SILENT:
            max_backoff = self._by_fleet_size(
                SINGLE_INSTANCE_MAX_SILENT_BACKOFF_SECONDS, MAX_QUEUED_BACKOFF_SECONDS
            )
            return BROKEN_BACKOFF_SECONDS, max_backoff
        initial_backoff = self._by_fleet_size(
            SINGLE_INSTANCE_REFUSED_BACKOFF_SECONDS, REFUSED_BACKOFF_SECONDS
        )
        max_backoff = self._by_fleet_size(SINGLE_INSTANCE_REFUSED_BACKOFF_SECONDS, MAX_QUEUED_BACKOFF_SECONDS)
        return initial_backoff, max_backoff

    def _pushed_backoff(self, waited: bool) -> float:
        """Return the mean backoff with which discovery can serve the fleet; infinite if calls wait there."""
        if self._is_small_fleet:
            return self._small_fleet_backoff()
        return inf if waited else self.instance_count / SERVED_CALLS_PER_SECOND

    def _by_fleet_size(self, single_instance: float, large_fleet: float) -> float:
        """Return a value between those of one instance, which crowds nobody out, and of a large fleet."""
        return single_instance + (large_fleet - single_instance) * self.spread_factor

    def _random_spread(self, max_seconds: float) -> float:
        return max_seconds * self.spread_factor * self.random.random()


def response_deadline(call: PlannedCall, began_at: float, last_byte_at: float, first_byte_at: float) -> float:
    """Return the time at which a call is abandoned unless more of its response arrives before.

    A response that makes progress is awaited for `MAX_RESPONSE_SECONDS`. `last_byte_at` is -inf before the
    first byte.
    """
    if last_byte_at == -inf:
        return began_at + call.silence_timeout
    return min(last_byte_at + RESPONSE_STALL_TIMEOUT_SECONDS, first_byte_at + MAX_RESPONSE_SECONDS)
