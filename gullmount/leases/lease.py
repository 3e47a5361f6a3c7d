"""One instance's view of one lease: who holds it, until when, and which value to write next.

The module has no I/O, clock or randomness. Callers pass in times, in seconds of the instance's own clock.

- The holder changes the register at every renewal. An instance that wants the lease waits until it has seen
  no change for a whole term.
- Clocks of different instances are never compared. The holder counts its term from before it requested the
  renewal, the others count it from after they saw the renewal, and a renewal is seen only after its request.
- Clocks may run at different speeds. Other instances therefore wait longer by the most that two clocks may
  differ, and the holder stops earlier by its margin.
- A holder may be paused between its last look at the clock and its send. Receivers of effects therefore
  check the token.
"""

from __future__ import annotations

from typing import Any

from gullmount.consensus.registers import RegisterValue
from gullmount.leases.messages import FREE, LeaseState, LeaseValue, lease_state_from

# Fraction by which a clock may run fast or slow: a hundred times the drift of a quartz clock.
MAX_CLOCK_DRIFT = 0.01
# Instances that do not hold the lease wait for a term times this factor.
EXPIRY_FACTOR = (1 + MAX_CLOCK_DRIFT) / (1 - MAX_CLOCK_DRIFT)
# A renewal is due after this fraction of the term, so that two renewals may fail.
RENEW_AFTER_FRACTION = 1 / 3
# Limits the renewals, in flight or with an unknown outcome, whose request times are kept.
MAX_PENDING_RENEWALS = 8
# A time, in seconds, that no clock reaches.
NEVER = 1e18


class Lease:
    """One lease as one instance sees it.

    Attributes:
        instance_number: Number of this instance.
        incarnation: Identifies this process of the instance.
        term_seconds: How long a claim or renewal lasts.
        margin_seconds: How long before the end of its term this instance stops.
        version: Version of the register as last seen; -1 before it was first seen.
        state: Lease state in that version of the register.
        seen_at: Time at which the state was first seen.
        requested_at: Time at which each renewal was requested, by the renewal's number; 0 is the claim.
        valid_until: Time until which this instance may act as the holder.
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

    # Observing the register.

    def observe(self, now: float, chosen: RegisterValue) -> bool:
        """Update the lease from a register value that was read or received from a watch.

        Returns:
            Whether the value is newer than the last one.
        """
        if chosen.version <= self.version:
            return False
        self.version, self.state, self.seen_at = chosen.version, lease_state_from(chosen.value), now
        if self.is_mine and self.state.renewal in self.requested_at:
            requested_at = self.requested_at[self.state.renewal]
            self.valid_until = requested_at + self.state.term_seconds - self.margin_seconds
        return True

    @property
    def is_mine(self) -> bool:
        """Whether the register, as last seen, names this incarnation of this instance as the holder."""
        return self.state.holder == self.instance_number and self.state.incarnation == self.incarnation

    def is_valid(self, now: float) -> bool:
        """Return whether this instance may act as the holder."""
        return self.is_mine and now < self.valid_until

    @property
    def claimable_from(self) -> float:
        """Time from which this instance may claim the lease if it sees no change until then.

        It is NEVER until the register has been seen once.
        """
        if self.version < 0:
            return NEVER
        if self.state.holder is None:
            return self.seen_at
        return self.seen_at + self.state.term_seconds * EXPIRY_FACTOR

    @property
    def renewal_due(self) -> float:
        """Time at which the holder has to renew the lease."""
        return self.valid_until + self.margin_seconds - self.term_seconds * (1 - RENEW_AFTER_FRACTION)

    # Values to write over the version last seen.

    def claim(self, now: float) -> LeaseValue:
        """Return the value that makes this instance the holder and keeps the pending work."""
        self.requested_at = {0: now}
        return self._value(self.state.token + 1, 0, self.state.pending_work)

    def renew(self, now: float, pending_work: Any) -> LeaseValue:
        """Return the value that starts another term with the given pending work."""
        renewal = max([self.state.renewal, *self.requested_at]) + 1
        self.requested_at[renewal] = now
        for old_renewal in sorted(self.requested_at)[:-MAX_PENDING_RENEWALS]:
            del self.requested_at[old_renewal]
        return self._value(self.state.token, renewal, pending_work)

    def release(self, handed_to: int | None = None) -> LeaseValue:
        """Return the value that releases the lease, for the instance `handed_to` if that is given."""
        state = self.state
        return LeaseValue(
            None, "", state.token, 0, self.term_seconds, state.pending_work, handed_to=handed_to
        )

    def request(self) -> LeaseValue:
        """Return the holder's value with this instance's request for the lease added.

        The value does not renew the lease.
        """
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
