"""Claims, renews and releases the leases of one instance.

    async with leases.hold("judge") as held:  # Waits until this instance holds the lease.
        while True:
            held.check()                      # Raises LeaseLostError once the term has ended.
            await act(held.token)             # A receiver rejects a lower token than it has seen.

The body is cancelled when the term ends without a renewal, or when the lease is handed over to an instance
that holds fewer (see `assignment.py`). `hold` then raises LeaseLostError.
"""

from __future__ import annotations

from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager
from random import Random
from typing import Any

import anyio

from gullmount.consensus.errors import NoReplicaError, OutcomeUnknownError
from gullmount.consensus.log_events import Log, no_log
from gullmount.consensus.registers import Registers
from gullmount.leases.assignment import claim_time, lease_to_request, should_hand_over
from gullmount.leases.clock import boot_time_seconds
from gullmount.leases.errors import LeaseLostError
from gullmount.leases.held_lease import HeldLease, LeaseView
from gullmount.leases.lease import Lease
from gullmount.leases.log_events import LogEvent
from gullmount.leases.messages import LeaseValue

# Shortest time between checks whether another instance holds more leases. Jitter extends it to up to twice
# that.
MIN_REBALANCE_INTERVAL_TERMS = 3.0
# Shortest time before an unsuccessful change is retried; jitter extends it to up to twice that.
MIN_RETRY_SECONDS = 0.1
# If a release takes longer, the other instances have to wait until the term ends.
RELEASE_TIMEOUT_SECONDS = 1.0
MAX_WAIT_SECONDS = 3600.0


class LeaseManager:
    """Manages the leases of one instance; `run` has to run in a task.

    Attributes:
        waiting_for: Names of the leases that `hold` is waiting for.
        views: Views of the leases by the name of the leased work.
    """

    def __init__(
        self,
        registers: Registers,
        instance_number: int,
        incarnation: str,
        names: list[str],
        *,
        term_seconds: float,
        margin_seconds: float,
        random: Random,
        clock: Callable[[], float] = boot_time_seconds,
        log: Log = no_log,
    ) -> None:
        """Build the manager.

        Args:
            registers: Registers that store the leases.
            instance_number: Number of this instance.
            incarnation: Identifies this process of the instance.
            names: Names of the leased work.
            term_seconds: How long a lease lasts without a renewal.
            margin_seconds: How long before the end of its term the holder stops.
            random: Source of the jitter.
            clock: Returns the time in seconds.
            log: Called with an event and its fields.
        """
        self.registers = registers
        self.random = random
        self.clock = clock
        self.log = log
        self.instance_number = instance_number
        self.term_seconds = term_seconds
        self.waiting_for: set[str] = set()
        self.views = {
            name: LeaseView(name, Lease(instance_number, incarnation, term_seconds, margin_seconds))
            for name in names
        }

    async def run(self) -> None:
        """Watch all leases and rebalance them, until cancelled."""
        async with anyio.create_task_group() as tasks:
            for view in self.views.values():
                tasks.start_soon(self._watch, view)
            if len(self.views) > 1:
                tasks.start_soon(self._rebalance)

    @property
    def holders(self) -> dict[str, int | None]:
        """Number of the instance that holds each lease, as last seen; None if it is free."""
        return {name: view.lease.state.holder for name, view in self.views.items()}

    @asynccontextmanager
    async def hold(self, name: str) -> AsyncIterator[HeldLease]:
        """Wait until this instance holds the lease, then renew it as long as the body runs.

        Releases the lease when the body ends or the lease is handed over.

        Raises:
            LeaseLostError: The term ended, or the lease was handed over, before the body ended.
        """
        view = self.views[name]
        self.waiting_for.add(name)
        try:
            await self._acquire(view)
        finally:
            self.waiting_for.discard(name)
        held = HeldLease(view, self.clock, self._renew, self._wait_before_retry)
        self.log(LogEvent.LEASE_ACQUIRED, work=name, token=held.token)
        try:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._renew_until_ended, held)
                with held.scope:
                    yield held
                tasks.cancel_scope.cancel()
        finally:
            ended, held.ended = held.ended, True
            await self._finish(held, lost=ended and held.handed_to is None)
        if ended:
            raise LeaseLostError(name)

    async def _finish(self, held: HeldLease, lost: bool) -> None:
        now = self.clock()
        held.view.loss_backoff.record_lease_end(now, now - held.held_since, lost)
        self.log(LogEvent.LEASE_ENDED, work=held.name, token=held.token, lost=lost)
        if not lost:
            await self._release(held)

    async def _watch(self, view: LeaseView) -> None:
        async for chosen in self.registers.watch(view.name):
            view.observe(self.clock(), chosen)

    async def _rebalance(self) -> None:
        """Request leases of instances that hold more, until cancelled.

        Counts only the leases that this instance claims.
        """
        while True:
            interval = self.term_seconds * MIN_REBALANCE_INTERVAL_TERMS
            await anyio.sleep(interval * (1 + self.random.random()))
            requested = [
                name for name, view in self.views.items() if view.lease.state.requested_by is not None
            ]
            name = lease_to_request(self.instance_number, self.holders, requested, self.random.random())
            if name is not None and name in self.waiting_for:
                view = self.views[name]
                await self._change_register(view, view.lease.request)

    async def _wait_before_retry(self) -> None:
        await anyio.sleep(MIN_RETRY_SECONDS * (1 + self.random.random()))

    async def _change_register(self, view: LeaseView, make_value: Callable[[], LeaseValue]) -> bool:
        """Write the value of `make_value` over the version last seen.

        Returns:
            Whether the register is known to hold the value.
        """
        async with view.change_lock:
            expected_version = view.lease.version
            value = make_value().as_json()
            try:
                changed, chosen = await self.registers.change(view.name, expected_version, value)
            except OutcomeUnknownError:
                try:
                    chosen = await self.registers.read(view.name)
                except NoReplicaError:
                    return False
                changed = chosen.value == value
            except NoReplicaError:
                return False
            view.observe(self.clock(), chosen)
            return changed

    async def _renew(self, view: LeaseView, pending_work: Any) -> bool:
        return await self._change_register(view, lambda: view.lease.renew(self.clock(), pending_work))

    # Acquiring a lease.

    async def _acquire(self, view: LeaseView) -> None:
        lease = view.lease
        while True:
            changed = view.changed
            due_at = self._claim_due_at(view)
            if lease.is_mine:
                # An earlier claim succeeded, but its outcome was not received.
                due_at = self.clock()
                if lease.is_valid(due_at):
                    return
            wait_seconds = due_at - self.clock()
            with anyio.move_on_after(max(0.0, min(wait_seconds, MAX_WAIT_SECONDS))):
                await changed.wait()
                continue
            if self.clock() < due_at:
                # The event loop's clock runs faster than the lease clock.
                continue
            claimed = await self._change_register(view, lambda: lease.claim(self.clock()))
            if claimed and lease.is_valid(self.clock()):
                return
            await self._wait_before_retry()

    def _claim_due_at(self, view: LeaseView) -> float:
        lease, state = view.lease, view.lease.state
        leases_held = sum(other.lease.is_mine for other in self.views.values())
        draw = self.random.random()
        due_at = claim_time(
            lease.claimable_from,
            state.holder is None,
            state.handed_to,
            self.instance_number,
            leases_held,
            draw,
        )
        return max(due_at, view.loss_backoff.claim_not_before)

    # Holding a lease.

    async def _renew_until_ended(self, held: HeldLease) -> None:
        """Renew the lease until it ends or has to be handed over, then cancel the body."""
        while True:
            now = self.clock()
            if not self._should_keep(held, now):
                break
            await self._wait_and_renew(held, now)
        held.ended = True
        held.scope.cancel()

    def _should_keep(self, held: HeldLease, now: float) -> bool:
        lease = held.view.lease
        if not lease.is_mine or lease.state.token != held.token or now >= lease.valid_until:
            return False
        if should_hand_over(self.instance_number, self.holders, lease.state.requested_by):
            held.handed_to = lease.state.requested_by
            return False
        return True

    async def _wait_and_renew(self, held: HeldLease, now: float) -> None:
        lease, changed = held.view.lease, held.view.changed
        due_at = min(lease.renewal_due, lease.valid_until)
        if now < due_at:
            with anyio.move_on_after(due_at - now):
                await changed.wait()
            return
        with anyio.move_on_after(lease.valid_until - now):
            if not await self._renew(held.view, lease.state.pending_work):
                await self._wait_before_retry()

    async def _release(self, held: HeldLease) -> None:
        """Release the lease, so that the next holder does not have to wait until the term ends."""
        lease = held.view.lease
        with anyio.move_on_after(RELEASE_TIMEOUT_SECONDS, shield=True):
            while lease.is_mine and lease.state.token == held.token:
                if await self._change_register(held.view, lambda: lease.release(held.handed_to)):
                    return
                await self._wait_before_retry()
