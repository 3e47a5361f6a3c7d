"""Decides whether a deadline can still be met, and gives the Retry-After and the reason of a rejection."""

from __future__ import annotations

from gullmount.decisions.model import RejectionReason
from gullmount.decisions.requests import Request

# Share of the expected latency that must be left until the deadline; with less, most work is wasted.
MIN_TIME_LEFT_FACTOR = 0.6
# About the time in which an overload of one latency objective passes.
RETRY_AFTER_SECONDS = 0.25


def deadline_can_be_met(request: Request, expected_latency: float, now: float) -> bool:
    """Whether an attempt that starts now can end before the deadline.

    `expected_latency` is in latency objectives. Without this check, impatient clients, overloads and late
    requests would cost work whose response nobody waits for.
    """
    objective = request.route.latency_objective
    return request.deadline - now > MIN_TIME_LEFT_FACTOR * expected_latency * objective


def retry_after(max_retry_after: float) -> float:
    """Return the seconds that a rejected client is asked to wait, at most `max_retry_after`."""
    return min(RETRY_AFTER_SECONDS, max_retry_after)


def rejection_reason(
    request: Request,
    *,
    endpoints_stale: bool,
    deadline_reachable: bool,
    max_attempts: int,
    budget_exhausted: bool,
) -> RejectionReason:
    """Return why no further attempt is made, for logs and counters only.

    `endpoints_stale` says that the endpoint list is out of date, `deadline_reachable` that the deadline could
    still be met.
    """
    if endpoints_stale:
        return RejectionReason.ENDPOINTS_STALE
    if not deadline_reachable:
        return RejectionReason.DEADLINE_TOO_CLOSE
    if len(request.attempts) >= max_attempts:
        return RejectionReason.ATTEMPTS_EXHAUSTED
    if request.attempts and budget_exhausted:
        return RejectionReason.RETRY_BUDGET_EXHAUSTED
    return RejectionReason.NO_ELIGIBLE_SERVER
