"""Explores every order of events between two claimants of a lease, its register and a receiver.

The leases are the real ones. Time passes in ticks, of which a term has three; the claimants' clocks run as
fast and as slow as they may. At any tick a message may arrive or be delayed, and a claimant that does nothing
for ticks is one that was paused: also between its last look at the clock and its send. What must hold: the
claimants never both hold the lease at one moment, a token has one holder, and no effect is accepted with a
lower token than one before.
"""

from __future__ import annotations

from collections.abc import Iterator
from copy import copy
from typing import Any, NamedTuple

from gullmount.consensus.registers import RegisterValue
from gullmount.fault_harness.exploration import ExplorationResult, explore_states
from gullmount.fault_harness.planted_defects import PlantedDefect, lease_type
from gullmount.leases.lease import MAX_CLOCK_DRIFT, Lease
from gullmount.leases.messages import lease_state_from

TERM_TICKS, MARGIN_TICKS = 3.0, 0.5
LAST_TICK = 5  # a term, what others wait, and the next holder at work
CLAIMANTS = (0, 1)
CLOCK_SPEEDS = (
    (1.0, 1.0),
    (1 - MAX_CLOCK_DRIFT, 1 + MAX_CLOCK_DRIFT),
    (1 + MAX_CLOCK_DRIFT, 1 - MAX_CLOCK_DRIFT),
)


class ChangeInFlight(NamedTuple):
    """A change of the register that is on its way there."""

    expected_version: int
    value: Any


class LeaseModelState:
    """Claimants, register, receiver and the messages in flight at one moment; copied before each step.

    Attributes:
        violation: the first promise that was broken, empty if none was.
    """

    def __init__(self, defect: PlantedDefect | None, speeds: tuple[float, float]) -> None:
        """Build the initial state.

        Args:
            defect: planted into the leases or the receiver.
            speeds: of the claimants' clocks.
        """
        self.violation = ""
        self._defect = defect
        self._speeds = speeds
        self._tick = 0
        made = lease_type(defect)
        self._leases = [
            made(claimant, f"life {claimant}", TERM_TICKS, MARGIN_TICKS) for claimant in CLAIMANTS
        ]
        for lease in self._leases:
            lease.observe(0.0, RegisterValue(0, None))
        self._register = RegisterValue(0, None)
        # In flight, by claimant: its change of the register, the answer to it, the token of an effect.
        self._changes: list[ChangeInFlight | None] = [None, None]
        self._answers: list[RegisterValue | None] = [None, None]
        self._effects: list[int | None] = [None, None]
        self._highest_token = 0
        self._holders_by_token: dict[int, int] = {}  # whose effect was accepted

    def _copy(self) -> LeaseModelState:
        state = copy(self)
        state._leases = []
        for lease in self._leases:
            copied = copy(lease)
            copied.requested_at = dict(lease.requested_at)
            state._leases.append(copied)
        state._changes = list(self._changes)
        state._answers = list(self._answers)
        state._effects = list(self._effects)
        state._holders_by_token = dict(self._holders_by_token)
        return state

    def key(self) -> int:
        """Return a hash of what the future depends on; of times only how far off they are."""
        leases = tuple(self._lease_key(claimant, lease) for claimant, lease in enumerate(self._leases))
        changes = tuple(
            (change and (change.expected_version, lease_state_from(change.value))) for change in self._changes
        )
        answers = tuple(
            answer and (answer.version, lease_state_from(answer.value)) for answer in self._answers
        )
        register = self._register.version, lease_state_from(self._register.value)
        holders = tuple(sorted(self._holders_by_token.items()))
        effects = tuple(self._effects)
        return hash((self._tick, leases, register, changes, answers, effects, self._highest_token, holders))

    def _lease_key(self, claimant: int, lease: Lease) -> Any:
        now, mine = self._clock(claimant), lease.is_mine
        wait = round(max(0.0, (lease.valid_until if mine else lease.claimable_from) - now), 6)
        known = [self._register, *(answer for answer in self._answers if answer)]
        values = [chosen.value for chosen in known] + [change.value for change in self._changes if change]
        renewals_to_come = {
            state.renewal
            for state in map(lease_state_from, values)
            if state.holder == lease.instance_number and (not mine or state.renewal > lease.state.renewal)
        }
        requested = tuple(
            (renewal, at) for renewal, at in sorted(lease.requested_at.items()) if renewal in renewals_to_come
        )
        return lease.version, lease.state, wait, requested

    def _clock(self, claimant: int) -> float:
        return self._tick * self._speeds[claimant]

    def next_states(self) -> Iterator[LeaseModelState]:
        """Yield the state after each step that is possible now."""
        after = self._copy()
        if after._advance_time():
            after._check_holders()
            yield after
        for step in (
            LeaseModelState._request_change,
            LeaseModelState._apply_change,
            LeaseModelState._receive_answer,
            LeaseModelState._watch_register,
            LeaseModelState._send_effect,
            LeaseModelState._receive_effect,
        ):
            for claimant in CLAIMANTS:
                after = self._copy()
                if step(after, claimant):
                    after._check_holders()
                    yield after

    # The steps: each returns whether it was possible.

    def _advance_time(self) -> bool:
        self._tick += 1
        return self._tick <= LAST_TICK

    def _request_change(self, claimant: int) -> bool:
        """Claim or renew, one change at a time."""
        lease, now = self._leases[claimant], self._clock(claimant)
        if self._changes[claimant] is not None or self._answers[claimant] is not None:
            return False
        if lease.is_mine and lease.is_valid(now):
            if now < lease.renewal_due:
                return False
            value = lease.renew(now, None)
        elif not lease.is_mine and lease.claimable_from <= now:
            value = lease.claim(now)
        else:
            return False
        self._changes[claimant] = ChangeInFlight(lease.version, value.as_json())
        return True

    def _apply_change(self, claimant: int) -> bool:
        change = self._changes[claimant]
        if change is None:
            return False
        self._changes[claimant] = None
        if change.expected_version == self._register.version:
            self._register = RegisterValue(self._register.version + 1, change.value)
        self._answers[claimant] = self._register
        return True

    def _receive_answer(self, claimant: int) -> bool:
        answer = self._answers[claimant]
        if answer is None:
            return False
        self._answers[claimant] = None
        self._leases[claimant].observe(self._clock(claimant), answer)
        return True

    def _watch_register(self, claimant: int) -> bool:
        """Observe the register, which may come late or never."""
        return self._leases[claimant].observe(self._clock(claimant), self._register)

    def _send_effect(self, claimant: int) -> bool:
        lease = self._leases[claimant]
        if self._effects[claimant] is not None or not lease.is_valid(self._clock(claimant)):
            return False
        self._effects[claimant] = lease.state.token
        return True

    def _receive_effect(self, claimant: int) -> bool:
        token = self._effects[claimant]
        if token is None:
            return False
        self._effects[claimant] = None
        if token >= self._highest_token or self._defect is PlantedDefect.OLD_EFFECT_ACCEPTED:
            if self._holders_by_token.setdefault(token, claimant) != claimant:
                self.violation = f"token {token} has two owners"
            elif token < self._highest_token:
                self.violation = f"an effect of token {token} is taken after {self._highest_token}"
            self._highest_token = max(self._highest_token, token)
        return True

    def _check_holders(self) -> None:
        if all(lease.is_valid(self._clock(claimant)) for claimant, lease in enumerate(self._leases)):
            self.violation = self.violation or f"both hold the job at tick {self._tick}"


def explore_leases(
    defect: PlantedDefect | None = None, speeds: tuple[float, float] = CLOCK_SPEEDS[0]
) -> ExplorationResult:
    """Visit every state that can be reached, or end at the first that breaks a promise."""
    return explore_states(LeaseModelState(defect, speeds))
