"""A lease while it is held, and what its instance knows of it before and after."""

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
    """One lease as this instance sees it; lives as long as the instance.

    Attributes:
        name: of the leased work, and of the register.
        changed: set and replaced whenever the register is another.
        change_lock: held while this instance changes the register.
        listeners: called with each new state.
        loss_backoff: when this instance may claim it again after a loss.
    """

    def __init__(self, name: str, lease: Lease) -> None:
        self.name = name
        self.lease = lease
        self.changed = anyio.Event()
        self.change_lock = anyio.Lock()
        self.listeners: list[StateListener] = []
        self.loss_backoff = LossBackoff(lease.term_seconds)

    def observe(self, now: float, chosen: RegisterValue) -> None:
        """Take the register as it was read or told."""
        if not self.lease.observe(now, chosen):
            return
        for listener in self.listeners:
            listener(self.lease.state)
        self.changed.set()
        self.changed = anyio.Event()


class HeldLease:
    """A lease that is held.

    Attributes:
        name: of the leased work.
        token: goes with every effect.
        scope: cancelled when the lease is over.
        over: whether it is.
        handed_to: whom the lease is handed over to.
        held_since: seconds of the instance's clock.
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
        """What the register says is to be done; an earlier holder may have left it half finished."""
        return self.view.lease.state.pending_work

    def check(self) -> None:
        """Raise LeaseLostError where this instance may not act any more."""
        lease = self.view.lease
        if self.ended or lease.state.token != self.token or not lease.is_valid(self._clock()):
            raise LeaseLostError(self.name)

    async def write(self, pending_work: Any) -> None:
        """Put what is to be done into the register, before it is begun; counts as a renewal.

        Raises LeaseLostError.
        """
        while True:
            self.check()
            if await self._renew(self.view, pending_work) and self.pending_work == pending_work:
                self.check()
                return
            await self._wait_before_retry()
