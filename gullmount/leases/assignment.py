"""Decides which leases an instance claims or requests, and when.

The aim is that all claiming instances hold equally many leases, and that no lease moves back and forth. There
is no list of the claiming instances. Leases spread evenly all the same, by two rules:

- An instance that already holds leases claims a free one later, so that instances with fewer come first.
- An instance that holds at least two leases fewer than another requests one of the other's. It marks the
  lease's register (`requested_by`). The holder hands the lease over if it sees the same difference. The
  register then names the recipient (`handed_to`), and all other instances delay their claims for a while.

A difference of one moves no lease, so that the assignment becomes stable.

An instance that loses its term because it is slow or disconnected waits longer after each loss before it
claims that lease again. Otherwise it would claim the lease only to lose it again.

The module has no I/O, clock or randomness: callers pass in times, in seconds of the instance's own clock, and
random draws.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

# Claims are spread at random over this time after a holder's term has ended, to avoid a thundering herd.
CLAIM_JITTER_SECONDS = 0.5
# Claims are spread at random over this time after a holder has released the lease.
RELEASED_CLAIM_JITTER_SECONDS = 0.2
# Delays a claim for each lease that the instance already holds. It exceeds both jitters, so that an instance
# with fewer leases claims first.
DELAY_PER_LEASE_SECONDS = 0.6
# Other instances delay their claims by this time, so that the recipient of a handover claims first.
HANDOVER_DELAY_SECONDS = 1.5
# An instance does not claim a lease for this time after it lost the term. The time doubles with each loss.
INITIAL_LOSS_BACKOFF_TERMS = 1.0
MAX_LOSS_BACKOFF_TERMS = 16.0
# Earlier losses of a lease no longer count once it has been held for longer than this.
LOSS_RESET_TERMS = 8.0
MAX_CONSECUTIVE_LOSSES = 10
# An instance requests a lease of another that holds at least this many more.
MIN_LEASE_DIFFERENCE = 2


class LossBackoff:
    """Exponential backoff between an instance's loss of a lease and its next claim of it.

    Attributes:
        consecutive_losses: Number of losses without a long hold in between, up to a limit.
        claim_not_before: Earliest time of the next claim, in seconds of the instance's clock.
    """

    def __init__(self, term_seconds: float) -> None:
        self.term_seconds = term_seconds
        self.consecutive_losses = 0
        self.claim_not_before = -1e18

    def record_lease_end(self, now: float, held_seconds: float, lost: bool) -> None:
        """Record how long the lease was held and whether its term was lost."""
        if held_seconds > LOSS_RESET_TERMS * self.term_seconds:
            self.consecutive_losses = 0
        if lost:
            backoff_terms = min(
                MAX_LOSS_BACKOFF_TERMS, INITIAL_LOSS_BACKOFF_TERMS * 2**self.consecutive_losses
            )
            self.claim_not_before = now + self.term_seconds * backoff_terms
            self.consecutive_losses = min(self.consecutive_losses + 1, MAX_CONSECUTIVE_LOSSES)


def claim_time(
    claimable_from: float,
    released: bool,
    handed_to: int | None,
    instance_number: int,
    leases_held: int,
    draw: float,
) -> float:
    """Return the time at which to claim a lease.

    Args:
        claimable_from: Earliest time at which the lease may be claimed, in seconds.
        released: Whether the last holder released the lease.
        handed_to: Number of the instance that the lease was handed over to, if any.
        instance_number: Number of the claiming instance.
        leases_held: Number of leases that the claiming instance holds.
        draw: Random number from 0 to 1.
    """
    if handed_to == instance_number:
        return claimable_from
    jitter_seconds = RELEASED_CLAIM_JITTER_SECONDS if released else CLAIM_JITTER_SECONDS
    delay_seconds = draw * jitter_seconds + DELAY_PER_LEASE_SECONDS * leases_held
    return claimable_from + delay_seconds + (0.0 if handed_to is None else HANDOVER_DELAY_SECONDS)


def _leases_by_holder(holders: Mapping[str, int | None]) -> Counter[int]:
    return Counter(holder for holder in holders.values() if holder is not None)


def lease_to_request(
    instance_number: int, holders: Mapping[str, int | None], requested: Iterable[str], draw: float
) -> str | None:
    """Return the name of the lease to request, or None.

    The lease is one of an instance that holds the most leases and is not requested yet.
    """
    lease_counts = _leases_by_holder(holders)
    if not lease_counts:
        return None
    highest_count = max(lease_counts.values())
    if highest_count < lease_counts[instance_number] + MIN_LEASE_DIFFERENCE:
        return None
    candidates = sorted(
        name
        for name, holder in holders.items()
        if holder is not None and lease_counts[holder] == highest_count
    )
    candidates = [name for name in candidates if name not in set(requested)]
    return candidates[int(draw * len(candidates))] if candidates else None


def should_hand_over(
    instance_number: int, holders: Mapping[str, int | None], requested_by: int | None
) -> bool:
    """Return whether a holder hands one of its leases over to the instance that requests it."""
    lease_counts = _leases_by_holder(holders)
    return (
        requested_by is not None
        and requested_by != instance_number
        and lease_counts[instance_number] >= lease_counts[requested_by] + MIN_LEASE_DIFFERENCE
    )
