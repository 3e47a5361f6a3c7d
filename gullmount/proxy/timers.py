"""Runs many short timers in one task.

Most timers are cancelled before they are due, and a task for each would cost more.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from heapq import heappop, heappush
from itertools import count

import anyio
import anyio.lowlevel


class Timer:
    """A callback that is called later, unless the timer is cancelled."""

    __slots__ = ("callback",)

    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        """Prevent the callback from being called."""
        self.callback = None


class Timers:
    """The timers of one instance; `run` is the task that calls their callbacks.

    Attributes:
        wakes_at: Time on `clock` at which the task wakes next; 0 while it is not sleeping.
        max_delay: Longest delay in seconds with which the task woke, since the last `take_max_delay`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        wait_until_resumed: Callable[[], Awaitable[None]] = anyio.lowlevel.checkpoint,
    ) -> None:
        """Create an empty set of timers.

        Args:
            clock: Returns the current time in seconds.
            wait_until_resumed: Awaited before due callbacks are called.
        """
        self.clock = clock
        self.wait_until_resumed = wait_until_resumed
        self.pending: list[tuple[float, int, Timer]] = []
        self.sequence = count()
        self.earlier_timer_added = anyio.Event()
        self.wakes_at = 0.0
        self.max_delay = 0.0

    def call_after(self, delay: float, callback: Callable[[], None]) -> Timer:
        """Call `callback` in `delay` seconds, unless the returned timer is cancelled before."""
        timer = Timer(callback)
        due_at = self.clock() + max(0.0, delay)
        heappush(self.pending, (due_at, next(self.sequence), timer))
        if due_at < self.wakes_at:
            self.earlier_timer_added.set()
        return timer

    def take_max_delay(self) -> float:
        """Return the longest delay in seconds that a busy event loop caused since the last call."""
        longest_delay, self.max_delay = self.max_delay, 0.0
        return longest_delay

    async def run(self) -> None:
        """Call the callbacks of due timers, until cancelled."""
        while True:
            await self.wait_until_resumed()
            now = self.clock()
            while self.pending and (self.pending[0][0] <= now or self.pending[0][2].callback is None):
                timer = heappop(self.pending)[2]
                if timer.callback is not None:
                    timer.callback()
            self.wakes_at = self.pending[0][0] if self.pending else float("inf")
            with anyio.move_on_after(self.wakes_at - now) as scope:
                await self.earlier_timer_added.wait()
            if scope.cancelled_caught:
                self.max_delay = max(self.max_delay, self.clock() - self.wakes_at)
            if self.earlier_timer_added.is_set():
                self.earlier_timer_added = anyio.Event()
            self.wakes_at = 0.0
