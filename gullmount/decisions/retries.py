"""Decides which requests may be retried, how often, and how long an attempt may take."""

from __future__ import annotations

from gullmount.decisions.endpoints import Server
from gullmount.decisions.model import NOT_EXECUTED_OUTCOMES, DeduplicationScope, Outcome, RetrySafety
from gullmount.decisions.requests import Attempt, Request

# Retries that each accepted request adds to the budget, so that retries do not amplify an overload.
RETRIES_PER_REQUEST = 0.2
# Largest budget of all instances together; the limit of each instance is at least one retry.
MAX_FLEET_RETRY_BUDGET = 40.0
# Latency objectives that an attempt may take while a retry could follow.
ATTEMPT_TIMEOUT_OBJECTIVES = 1.0
# Expected latency in latency objectives from which an attempt gets all the time left.
OVERLOAD_LATENCY_OBJECTIVES = 0.5


class RetryBudget:
    """The retries that this instance may send."""

    def __init__(self, instance_count: int) -> None:
        self.limit = max(1.0, MAX_FLEET_RETRY_BUDGET / instance_count)
        self.available_retries = self.limit

    @property
    def is_exhausted(self) -> bool:
        """Whether no retry may be sent."""
        return self.available_retries < 1

    def record_request(self) -> None:
        """Add the retries that an accepted request allows, up to the limit."""
        self.available_retries = min(self.limit, self.available_retries + RETRIES_PER_REQUEST)

    def record_attempt(self, request: Request) -> None:
        """Take one retry from the budget unless this is the request's first attempt."""
        if request.attempts:
            self.available_retries -= 1


def record_possible_execution(request: Request, attempt: Attempt, outcome: Outcome) -> None:
    """Record the place and time of the first attempt that may have run, which decide on deduplication."""
    if outcome in NOT_EXECUTED_OUTCOMES or request.deduplication_group is not None:
        return
    request.deduplication_group = attempt.deduplication_group
    request.deduplicated_until = attempt.sent_at + request.route.deduplication_window


def retry_is_safe(request: Request, server: Server, now: float) -> bool:
    """Whether the server may get the request, given that an earlier attempt may have run."""
    route, group = request.route, request.deduplication_group
    if group is None or route.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    if route.retry_safety is RetrySafety.AT_MOST_ONCE or now >= request.deduplicated_until:
        return False
    if route.deduplication_scope is DeduplicationScope.ZONE:
        return server.zone == group.zone
    return route.deduplication_scope is DeduplicationScope.ALL or server.cell == group.cell


def client_may_retry(request: Request) -> bool:
    """Whether the client may send the request again: it had no effect, or a second run would have none."""
    route = request.route
    if request.deduplication_group is None or route.retry_safety is RetrySafety.IDEMPOTENT:
        return True
    return (
        route.retry_safety is RetrySafety.DEDUPLICATED and route.deduplication_scope is DeduplicationScope.ALL
    )


def attempt_timeout(request: Request, max_attempts: int, expected_latency: float, now: float) -> float:
    """Return the timeout of the next attempt in seconds.

    While a retry could follow, it is one latency objective or half of the time left, whichever is more, and
    never more than the time left. In an overload it is all the time left, as a server continues to work on an
    attempt that timed out. `expected_latency` is in latency objectives.
    """
    time_left = request.deadline - now
    retry_could_follow = (
        request.route.retry_safety is not RetrySafety.AT_MOST_ONCE
        and len(request.attempts) + 1 < max_attempts
        and expected_latency < OVERLOAD_LATENCY_OBJECTIVES
    )
    if not retry_could_follow:
        return time_left
    return max(time_left / 2, min(time_left, ATTEMPT_TIMEOUT_OBJECTIVES * request.route.latency_objective))
