"""A lease while this instance holds it, and the instance's view of it at all times."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio

from gullmount.consensus.registers import RegisterValue
from gullmount.leases.assignment import LossBackoff
from gullmount.leases.errors import LeaseLostError
from gullmount.leases.lease import Lease
from gullmount.leases.messages import LeaseState

StateListener = Callable[[LeaseState], None]


class LeaseView:
    """One lease as this instance sees it, whether or not it holds the lease.

    A view exists as long as the instance.

    Attributes:
        name: Name of the leased work and of its register.
        lease: State of the lease and the rules for changing it.
        changed: Event that is set, and replaced by a new one, whenever the register changes.
        change_lock: Lock that is held while this instance changes the register.
        listeners: Callbacks that are called with each new state.
        loss_backoff: Decides when this instance may claim the lease again after a loss.
    """

    def __init__(self, name: str, lease: Lease) -> None:
        self.name = name
        self.lease = lease
        self.changed = anyio.Event()
        self.change_lock = anyio.Lock()
        self.listeners: list[StateListener] = []
        self.loss_backoff = LossBackoff(lease.term_seconds)

    def observe(self, now: float, chosen: RegisterValue) -> None:
        """Update the lease from a register value that was read or received from a watch.

        Calls the listeners and sets `changed` if the value is newer than the last one.
        """
        if not self.lease.observe(now, chosen):
            return
        for listener in self.listeners:
            listener(self.lease.state)
        self.changed.set()
        self.changed = anyio.Event()


class HeldLease:
    """A lease that this instance holds.

    Attributes:
        name: Name of the leased work.
        view: The instance's view of the lease.
        token: Fencing token that is sent with every effect.
        scope: Cancel scope of the leased work, cancelled when the lease ends.
        ended: Whether the lease has ended.
        handed_to: Number of the instance that the lease is handed over to, if any.
        held_since: Time at which the lease was acquired, in seconds of the instance's clock.
    """

    def __init__(
        self,
        view: LeaseView,
        clock: Callable[[], float],
        renew: Callable[[LeaseView, Any], Awaitable[bool]],
        wait_before_retry: Callable[[], Awaitable[None]],
    ) -> None:
        self.name = view.name
        self.view = view
        self.token = view.lease.state.token
        self.scope = anyio.CancelScope()
        self.ended = False
        self.handed_to: int | None = None
        self.held_since = clock()
        self._clock = clock
        self._renew = renew
        self._wait_before_retry = wait_before_retry

    @property
    def pending_work(self) -> Any:
        """The pending work in the register, which an earlier holder may have left half finished."""
        return self.view.lease.state.pending_work

    def check(self) -> None:
        """Raise LeaseLostError if this instance may no longer act as the holder."""
        lease = self.view.lease
        if self.ended or lease.state.token != self.token or not lease.is_valid(self._clock()):
            raise LeaseLostError(self.name)

    async def write(self, pending_work: Any) -> None:
        """Store the pending work in the register before it is started, and renew the lease.

        Retries until the register holds the work.

        Raises:
            LeaseLostError: The lease ended first.
        """
        while True:
            self.check()
            if await self._renew(self.view, pending_work) and self.pending_work == pending_work:
                self.check()
                return
            await self._wait_before_retry()
