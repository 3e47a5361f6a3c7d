"""Detects event loop stalls and handles the data that arrived during them.

A stall is a time in which the process did not run: it was stopped, swapped out or moved to another machine.
Data that arrives meanwhile waits in the kernel, and the time at which it is read does not tell when it
arrived. `EventLoopStalls` detects a stall by an overdue heartbeat. After a stall it does two things:

- It defers decisions for some iterations of the loop until the waiting data has been read, such as clients
  that disconnected, servers that drain and lower exposure limits.
- It dates the data by the earliest time at which it can have arrived. This lasts longer than the deferral,
  because the loop accepts waiting connections one at a time.
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
# Time without a heartbeat that counts as a stall. A client's disconnect must be seen within 0.1 s.
STALL_THRESHOLD_SECONDS = 0.08
# Longer stalls are logged.
LOGGED_STALL_THRESHOLD_SECONDS = 0.25
# Enough to accept a connection, read from it and wake the task that waits for the bytes.
RESUME_LOOP_ITERATIONS = 12
# For this long after a stall, the loop may still accept connections that were opened during it.
RECENT_STALL_SECONDS = 2.0
# Extra time to read data that arrived during a stall in which the deadline passed.
LATE_RECEIVE_TIMEOUT_SECONDS = 0.02
# Precision of the kernel's record of when data arrived.
KERNEL_TIMESTAMP_RESOLUTION_SECONDS = 0.01

Received = TypeVar("Received")
LogFunction = Callable[..., None]
# Returns the seconds since the newest bytes of a connection arrived, or None if that is unknown.
SecondsSinceData = Callable[[], float | None]


def unknown_data_age() -> float | None:
    """Return None: the time of arrival is unknown."""
    return None


class EventLoopStalls:
    """Detects the stalls of one process; `run` must run as a task.

    Attributes:
        resuming: Whether the loop is still reading the data of a stall, so that decisions are deferred.
        stalled_since: When the loop last polled its sockets before the latest stall, in seconds of `clock`.
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
        """Record a heartbeat at each interval, until cancelled."""
        self.heartbeat_at = self.previous_heartbeat_at = self.clock()
        while True:
            await anyio.sleep(HEARTBEAT_SECONDS)
            now = self.check_for_stall()
            self.previous_heartbeat_at, self.heartbeat_at = self.heartbeat_at, now

    def check_for_stall(self) -> float:
        """Return the current time, and start resuming if the heartbeat is overdue."""
        now = self.clock()
        if now - self.heartbeat_at > STALL_THRESHOLD_SECONDS:
            self._start_resuming(now)
        return now

    @property
    def stalled_recently(self) -> bool:
        """Whether data that is read now may have arrived during a stall."""
        return self.check_for_stall() < self.stalled_recently_until

    def accept_delayed(self) -> None:
        """Record that connections wait to be accepted: what is read from them may have arrived earlier.

        No decision is deferred: the loop reads all other sockets in time.
        """
        self.stalled_recently_until = max(self.stalled_recently_until, self.clock() + RECENT_STALL_SECONDS)

    def arrival_time(self, seconds_since_data: SecondsSinceData = unknown_data_age) -> float:
        """Return the earliest time at which data that is read now can have arrived.

        Without a recent stall that is the current time, and `seconds_since_data` is not called.
        """
        now = self.check_for_stall()
        if now >= self.stalled_recently_until:
            return now
        age = seconds_since_data()
        if age is not None:
            return now - age - KERNEL_TIMESTAMP_RESOLUTION_SECONDS
        return self.stalled_since if self.resuming else now

    def call_when_resumed(self, callback: Callable[[], None]) -> None:
        """Call `callback` at once, or after a stall once the loop has read the data that arrived during it.

        Deferred callbacks are called in the order in which they were passed.
        """
        self.check_for_stall()
        if self.resuming:
            self._deferred_callbacks.append(callback)
        else:
            callback()

    async def wait_until_resumed(self) -> None:
        """Return at once, or after a stall once the loop has read the data that arrived during it."""
        self.check_for_stall()
        while self.resuming:
            await self._resumed.wait()

    async def receive_within(self, seconds: float, receive: Callable[[], Awaitable[Received]]) -> Received:
        """Await `receive` for `seconds`, and accept data that arrived during a stall as in time.

        After a stall the event loop handles expired deadlines before it polls the sockets, so `receive` is
        awaited a second time. The data is returned without waiting until the loop has resumed, because it
        must be processed before the deferred decisions.

        Raises:
            TimeoutError: Nothing was received in time.
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
            # The loop may not have polled its sockets just before the last heartbeat, so use the one before.
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
        """Run the deferred callbacks in order; a further stall defers the remaining ones again."""
        while self._deferred_callbacks:
            self.check_for_stall()
            if self.resuming:
                return
            with self.handler_errors.contained("event after a stall"):
                self._deferred_callbacks.popleft()()
