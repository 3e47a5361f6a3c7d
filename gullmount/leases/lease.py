"""One instance's view of one lease. No I/O, clock or randomness.

Times are handed in, in seconds of the instance's own clock. The holder changes the register at every renewal;
whoever would hold the lease waits until it has seen no change for the term. Nobody compares clocks: the
holder counts its term from before it requested the renewal, the others from after they saw it, and a renewal
is seen only once it was requested. What is left is how fast clocks run: others wait longer by what two clocks
may differ, the holder stops earlier by its margin. Receivers of effects go by the token, since a holder may
be stopped between its last look at the clock and its send.
"""

from __future__ import annotations

from typing import Any

from gullmount.consensus.registers import RegisterValue
from gullmount.leases.messages import FREE, LeaseState, LeaseValue, lease_state_from

MAX_CLOCK_DRIFT = 0.01  # share by which any clock may run fast or slow: a hundred times what quartz does
EXPIRY_FACTOR = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)  # of a term, for those who wait it out
RENEW_AFTER_FRACTION = 1 / 3  # of the term: two renewals may fail
MAX_PENDING_RENEWALS = 8  # under way or of unknown outcome, whose beginning is remembered
NEVER = 1e18  # seconds


class Lease:
    """One lease as one instance sees it.

    Attributes:
        instance_number: the instance's number.
        incarnation: names this process of the instance.
        term_seconds: for how long a claim or renewal lasts.
        margin_seconds: how much earlier this instance stops than its term ends.
        version: of the register as last seen; -1 before it was seen.
        state: what the register said.
        seen_at: when the state was first seen.
        requested_at: by renewal, when it was requested.
        valid_until: up to when this instance may act as the holder.
    """

    def __init__(
        self, instance_number: int, incarnation: str, term_seconds: float, margin_seconds: float
    ) -> None:
        self.instance_number = instance_number
        self.incarnation = incarnation
        self.term_seconds = term_seconds
        self.margin_seconds = margin_seconds
        self.version = -1
        self.state: LeaseState = FREE
        self.seen_at = 0.0
        self.requested_at: dict[int, float] = {}
        self.valid_until = -NEVER

    # What is seen

    def observe(self, now: float, chosen: RegisterValue) -> bool:
        """Take the register as it was read or told; return whether that was news."""
        if chosen.version <= self.version:
            return False
        self.version, self.state, self.seen_at = chosen.version, lease_state_from(chosen.value), now
        if self.is_mine and self.state.renewal in self.requested_at:
            requested_at = self.requested_at[self.state.renewal]
            self.valid_until = requested_at + self.state.term_seconds - self.margin_seconds
        return True

    @property
    def is_mine(self) -> bool:
        """Whether the register names this incarnation of this instance, as far as it has seen."""
        return self.state.holder == self.instance_number and self.state.incarnation == self.incarnation

    def is_valid(self, now: float) -> bool:
        """Return whether this instance may act as the holder."""
        return self.is_mine and now < self.valid_until

    @property
    def claimable_from(self) -> float:
        """When it may be claimed by whoever sees no change until then; never before it was seen at all."""
        if self.version < 0:
            return NEVER
        if self.state.holder is None:
            return self.seen_at
        return self.seen_at + self.state.term_seconds * EXPIRY_FACTOR

    @property
    def renewal_due(self) -> float:
        """When the holder is to renew it."""
        return self.valid_until + self.margin_seconds - self.term_seconds * (1 - RENEW_AFTER_FRACTION)

    # What is written, over the version seen

    def claim(self, now: float) -> LeaseValue:
        """Return the value that makes this instance the holder, with what an earlier one had under way."""
        self.requested_at = {0: now}
        return self._value(self.state.token + 1, 0, self.state.pending_work)

    def renew(self, now: float, pending_work: Any) -> LeaseValue:
        """Return the value that begins another term."""
        renewal = max([self.state.renewal, *self.requested_at]) + 1
        self.requested_at[renewal] = now
        for old_renewal in sorted(self.requested_at)[:-MAX_PENDING_RENEWALS]:
            del self.requested_at[old_renewal]
        return self._value(self.state.token, renewal, pending_work)

    def release(self, handed_to: int | None = None) -> LeaseValue:
        """Return the value that gives the lease up; `handed_to` says for whom."""
        state = self.state
        return LeaseValue(
            None, "", state.token, 0, self.term_seconds, state.pending_work, handed_to=handed_to
        )

    def request(self) -> LeaseValue:
        """Return the holder's own value, marked with this instance's request for the lease: no renewal."""
        state = self.state
        return LeaseValue(
            state.holder,
            state.incarnation,
            state.token,
            state.renewal,
            state.term_seconds,
            state.pending_work,
            requested_by=self.instance_number,
        )

    def _value(self, token: int, renewal: int, pending_work: Any) -> LeaseValue:
        return LeaseValue(
            self.instance_number, self.incarnation, token, renewal, self.term_seconds, pending_work
        )
