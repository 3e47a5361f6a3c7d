"""Event-loop stalls: the times in which the process did not run, and what arrived meanwhile.

A process that was stopped, swapped out or moved to another machine goes on where it was. What came for it
waits in the kernel, and a clock that is read then says nothing of when that was. `EventLoopStalls` detects a
stall by a heartbeat that is overdue. After one it

- holds decisions back for some turns of the loop, until all that waited has been read: clients that left,
  servers that drain, lower exposure limits;
- dates what was read by its arrival, the earliest that it can have been. That goes on for a while, as the
  loop accepts the connections that waited one at a time.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from math import inf
from typing import TypeVar

import anyio
from anyio.abc import TaskGroup

from gullmount.net import HandlerErrors
from gullmount.proxy.log_events import LogEvent

HEARTBEAT_SECONDS = 0.04
STALL_THRESHOLD_SECONDS = 0.08  # without a heartbeat; a client's end must be seen within 0.1 s
LOGGED_STALL_THRESHOLD_SECONDS = 0.25
RESUME_LOOP_ITERATIONS = (
    12  # of the loop: to accept a connection, read it, and wake the task that waits for the bytes
)
RECENT_STALL_SECONDS = 2.0  # after a stall, in which connections may still be accepted that came during it
LATE_RECEIVE_TIMEOUT_SECONDS = 0.02  # for what came during a stall in which its deadline passed
KERNEL_TIMESTAMP_RESOLUTION_SECONDS = 0.01  # to which the kernel knows when data came

Received = TypeVar("Received")
LogFunction = Callable[..., None]
SecondsSinceData = Callable[[], float | None]
"""Returns for how long the newest bytes of a connection have been there; None where nobody knows."""


def unknown_data_age() -> float | None:
    """Say that the network does not tell when data came."""
    return None


class EventLoopStalls:
    """The stalls of one process; `run` is its task.

    Attributes:
        resuming: whether the loop still reads what came during a stall, and decisions wait.
        stalled_since: when the loop last looked at its sockets before the latest stall, in seconds of
            `clock`.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        task_group: TaskGroup,
        log: LogFunction,
        handler_errors: HandlerErrors,
    ) -> None:
        self.clock = clock
        self.task_group = task_group
        self.log = log
        self.handler_errors = handler_errors
        self.resuming = False
        self.stalled_recently_until = -inf
        self.heartbeat_at = self.previous_heartbeat_at = self.stalled_since = clock()
        self._resumed = anyio.Event()
        self._deferred_callbacks: deque[Callable[[], None]] = deque()

    async def run(self) -> None:
        """Beat until cancelled."""
        self.heartbeat_at = self.previous_heartbeat_at = self.clock()
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS)
            now = self.check_for_stall()
            self.previous_heartbeat_at, self.heartbeat_at = self.heartbeat_at, now

    def check_for_stall(self) -> float:
        """Return the time; begin to resume where the process has not run for a while."""
        now = self.clock()
        if now - self.heartbeat_at > STALL_THRESHOLD_SECONDS:
            self._start_resuming(now)
        return now

    @property
    def stalled_recently(self) -> bool:
        """Whether what is being read may have arrived during a stall."""
        return self.check_for_stall() < self.stalled_recently_until

    def arrival_time(self, seconds_since_data: SecondsSinceData = unknown_data_age) -> float:
        """Return the earliest time at which what is being read can have arrived.

        Without a recent stall that is the present. `seconds_since_data` is asked only after one.
        """
        now = self.check_for_stall()
        if now >= self.stalled_recently_until:
            return now
        age = seconds_since_data()
        if age is not None:
            return now - age - KERNEL_TIMESTAMP_RESOLUTION_SECONDS
        return self.stalled_since if self.resuming else now

    def call_when_resumed(self, callback: Callable[[], None]) -> None:
        """Call at once, or in the order of these calls once the loop has read what came during a stall."""
        self.check_for_stall()
        if self.resuming:
            self._deferred_callbacks.append(callback)
        else:
            callback()

    async def wait_until_resumed(self) -> None:
        """Return at once, or once the loop has read what came during a stall."""
        self.check_for_stall()
        while self.resuming:
            await self._resumed.wait()

    async def receive_within(self, seconds: float, receive: Callable[[], Awaitable[Received]]) -> Received:
        """Await `receive` for so long; after a stall what came during it is in time. Raises TimeoutError.

        A deadline that passes during a stall is noticed before the sockets are looked at. What is read then
        counts before the decisions that are held back, so that nothing is waited for here.
        """
        try:
            with anyio.fail_after(seconds):
                return await receive()
        except TimeoutError:
            if not self.stalled_recently:
                raise
        with anyio.fail_after(LATE_RECEIVE_TIMEOUT_SECONDS):
            return await receive()

    def _start_resuming(self, now: float) -> None:
        stalled_seconds = now - self.heartbeat_at
        if stalled_seconds > LOGGED_STALL_THRESHOLD_SECONDS:
            self.log(LogEvent.EVENT_LOOP_STALLED, seconds=round(stalled_seconds, 3))
        if not self.resuming:
            self.resuming = True
            # Not the last heartbeat: the loop may not have looked at its sockets just before it.
            self.stalled_since = self.previous_heartbeat_at
            self.task_group.start_soon(self._resume)
        self.heartbeat_at = now
        self.stalled_recently_until = now + RECENT_STALL_SECONDS

    async def _resume(self) -> None:
        for _ in range(RESUME_LOOP_ITERATIONS):
            await anyio.sleep(0)
        self.resuming = False
        self._resumed.set()
        self._resumed = anyio.Event()
        self._run_deferred_callbacks()

    def _run_deferred_callbacks(self) -> None:
        """Call in order; a stall meanwhile holds the rest back again."""
        while self._deferred_callbacks:
            self.check_for_stall()
            if self.resuming:
                return
            with self.handler_errors.contained("event after a stall"):
                self._deferred_callbacks.popleft()()
