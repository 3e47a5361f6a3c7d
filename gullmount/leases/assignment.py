"""Which leases an instance goes for, and when: as many for each that offers, and none back and forth.

No I/O, clock or randomness: times, in seconds of the instance's own clock, and draws are handed in. Nobody
lists who offers. Two things spread the leases all the same. Who has some already claims a free one later, so
that those with fewer come first. And who has at least two fewer than another requests one of that one's, by a
mark in the lease's register (`requested_by`); the holder hands it over if it sees the same difference, and
the register then says to whom (`handed_to`), whom all others let go first for a while. A difference of one
moves nothing, so that leases come to rest.

Whose term ended without its doing, as it was slow or cut off, claims that lease later each time, so that it
does not take it back only to lose it again.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Iterable, Mapping

CLAIM_JITTER_SECONDS = 0.5  # over which claims are drawn when a holder is gone: no herd
RELEASED_CLAIM_JITTER_SECONDS = 0.2  # likewise where it gave up the lease
DELAY_PER_LEASE_SECONDS = 0.6  # for each lease that one has already: more than others' draws differ
HANDOVER_DELAY_SECONDS = 1.5  # for which a lease that was handed over waits for whom it is for
INITIAL_LOSS_BACKOFF_TERMS = 1.0  # for which one does not claim a lease whose term it lost; doubles each time
MAX_LOSS_BACKOFF_TERMS = 16.0
LOSS_RESET_TERMS = 8.0  # of holding a lease, after which earlier losses of it count no more
MAX_CONSECUTIVE_LOSSES = 10
MIN_LEASE_DIFFERENCE = 2  # leases that another has more: from then on one is requested


class LossBackoff:
    """How long one instance leaves one lease alone after it lost its term.

    Attributes:
        losses: one after the other.
        claim_not_before: seconds of the instance's clock.
    """

    def __init__(self, term_seconds: float) -> None:
        self.term_seconds = term_seconds
        self.consecutive_losses = 0
        self.claim_not_before = -1e18

    def record_lease_end(self, now: float, held_seconds: float, lost: bool) -> None:
        """Take note that the lease was held for so long, and whether its term was lost."""
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
    """Return when to claim a lease that may be claimed from `claimable_from` on; `draw` is from 0 to 1."""
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
    """Return the lease to request, if any: of those whose holder has most, none that is requested already."""
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
    """Return whether a holder gives one of its leases to who requests it."""
    lease_counts = _leases_by_holder(holders)
    return (
        requested_by is not None
        and requested_by != instance_number
        and lease_counts[instance_number] >= lease_counts[requested_by] + MIN_LEASE_DIFFERENCE
    )
