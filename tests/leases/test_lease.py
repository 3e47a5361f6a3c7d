"""One instance's view of a lease: its term, its token and its holder's incarnation."""

from __future__ import annotations

from gullmount.consensus.registers import RegisterValue
from gullmount.leases.lease import Lease

TERM_SECONDS, MARGIN_SECONDS = 2.0, 0.3


def test_holder_counts_its_term_from_the_request_and_others_from_the_observation() -> None:
    lease, other = Lease(1, "a", TERM_SECONDS, MARGIN_SECONDS), Lease(2, "b", TERM_SECONDS, MARGIN_SECONDS)
    for each_lease in (lease, other):
        each_lease.observe(0.0, RegisterValue(0, None))
    claimed = RegisterValue(1, lease.claim(1.0).as_json())
    # The response to the claim arrives late.
    lease.observe(2.5, claimed)
    assert lease.is_valid(2.6) and not lease.is_valid(1.0 + TERM_SECONDS - MARGIN_SECONDS)
    other.observe(1.1, claimed)
    assert other.claimable_from > 1.1 + TERM_SECONDS and not other.is_valid(1.2)
    other.observe(2.0, RegisterValue(2, lease.renew(1.9, None).as_json()))
    assert other.claimable_from > 2.0 + TERM_SECONDS
    later_claim = RegisterValue(3, other.claim(9.0).as_json())
    assert later_claim.value["token"] == 2
    lease.observe(9.1, later_claim)
    assert not lease.is_mine and not lease.is_valid(2.0)


def test_next_incarnation_of_a_holder_does_not_hold_its_lease() -> None:
    first, second = Lease(1, "a", TERM_SECONDS, MARGIN_SECONDS), Lease(1, "b", TERM_SECONDS, MARGIN_SECONDS)
    first.observe(0.0, RegisterValue(0, None))
    second.observe(5.0, RegisterValue(1, first.claim(0.0).as_json()))
    assert not second.is_mine and second.claimable_from > 5.0 + TERM_SECONDS
