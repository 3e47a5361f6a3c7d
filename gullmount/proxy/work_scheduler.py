"""Shares the event loop's time among client connections that have received bytes to process.

What clients send must not keep the event loop from reading and answering other connections, however much it
is and whatever it costs to process. So a connection processes what it received in short steps, and:

- a step runs at once while little time was spent on steps lately, as is usual;
- otherwise it waits in a queue, from which each turn of the event loop runs steps for a limited time;
- clients that send further requests before they have their response (pipelining) wait in a second queue,
  which gets a small share of the time.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Protocol

import anyio

from gullmount.net import HandlerErrors, ends_process

# Time in which steps may run at once for `MAX_TURN_SECONDS`.
WINDOW_SECONDS = 0.01
# Time for steps in one turn of the event loop, and in one window.
MAX_TURN_SECONDS = 0.005
# Steps in one turn, as a virtual clock does not advance during them.
MAX_TURN_STEPS = 256
# Time for steps of pipelining clients in one turn, and the pause after it.
MAX_PIPELINED_TURN_SECONDS = 0.001
MAX_PIPELINED_TURN_STEPS = 16
PIPELINED_PAUSE_SECONDS = 0.003


class Worker(Protocol):
    """A connection that processes received bytes in steps.

    Attributes:
        pipelining: whether the bytes follow a request that was completed before.
    """

    pipelining: bool

    def process_received(self) -> bool:
        """Do one step; return whether there is more to do now."""

    def abort(self) -> None:
        """End the connection at once, because a step raised an unexpected error."""


class WorkScheduler:
    """Runs the steps of all connections of one instance; `run` is a task.

    Attributes:
        clock: returns the current time in seconds.
        waiting: connections that wait for their next step, in order.
        waiting_pipelined: the same for those that pipeline.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        handler_errors: HandlerErrors,
        wait_until_resumed: Callable[[], Awaitable[None]],
    ) -> None:
        """Create a scheduler without work; `wait_until_resumed` is awaited before each turn."""
        self.clock = clock
        self.handler_errors = handler_errors
        self.wait_until_resumed = wait_until_resumed
        self.waiting: dict[Worker, None] = {}
        self.waiting_pipelined: dict[Worker, None] = {}
        self._work_added = anyio.Event()
        self._running_step = False
        self._window_started_at = 0.0
        self._window_seconds = 0.0
        self._window_steps = 0

    def submit(self, worker: Worker) -> None:
        """Let the connection process what it received: at once, or when it is its turn."""
        if worker in self.waiting or worker in self.waiting_pipelined:
            return
        if self._running_step or worker.pipelining or self.waiting:
            self._enqueue(worker)
            return
        now = self.clock()
        if now - self._window_started_at > WINDOW_SECONDS:
            self._window_started_at, self._window_seconds, self._window_steps = now, 0.0, 0
        more = True
        while more and self._window_seconds < MAX_TURN_SECONDS and self._window_steps < MAX_TURN_STEPS:
            more = self._run_step(worker) and not worker.pipelining
            started_at, now = now, self.clock()
            self._window_seconds += now - started_at
            self._window_steps += 1
        if more or worker.pipelining:
            self._enqueue(worker)

    def remove(self, worker: Worker) -> None:
        """Forget a connection that has ended."""
        self.waiting.pop(worker, None)
        self.waiting_pipelined.pop(worker, None)

    async def run(self) -> None:
        """Run the steps of waiting connections until cancelled."""
        while True:
            await self._work_added.wait()
            self._work_added = anyio.Event()
            while self.waiting or self.waiting_pipelined:
                # The event loop reads sockets and runs due timers here.
                await anyio.sleep(0 if self.waiting else PIPELINED_PAUSE_SECONDS)
                await self.wait_until_resumed()
                self._run_turn(self.waiting, MAX_TURN_SECONDS, MAX_TURN_STEPS)
                self._run_turn(self.waiting_pipelined, MAX_PIPELINED_TURN_SECONDS, MAX_PIPELINED_TURN_STEPS)

    def _run_turn(self, queue: dict[Worker, None], max_seconds: float, max_steps: int) -> None:
        """Run one step of each waiting connection in order, and again, until the time is used up."""
        end = self.clock() + max_seconds
        steps = 0
        while queue and steps < max_steps and self.clock() < end:
            worker = next(iter(queue))
            del queue[worker]
            steps += 1
            if self._run_step(worker):
                self._enqueue(worker)

    def _run_step(self, worker: Worker) -> bool:
        """Run one step; an unexpected error ends its connection only."""
        self._running_step = True
        try:
            return worker.process_received()
        except Exception as error:
            if ends_process(error):
                raise
            self.handler_errors.record("received data", error)
            worker.abort()
            return False
        finally:
            self._running_step = False

    def _enqueue(self, worker: Worker) -> None:
        queue = self.waiting_pipelined if worker.pipelining else self.waiting
        queue[worker] = None
        self._work_added.set()
