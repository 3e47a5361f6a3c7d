"""Pauses processes in virtual time: none of their tasks runs until they are resumed, nor do their timers.

What arrives for them meanwhile waits as it would in a kernel. A task belongs to the process that
`CURRENT_PROCESS`
names in its context. Tasks are held back where trio puts them into its queue, which depends on the internals
of its scheduler, as does playing the same run again.
"""

from __future__ import annotations

from collections import defaultdict, deque
from typing import Any

from gullmount.emulators.links import CURRENT_PROCESS


class PausableQueue(deque[Any]):
    """Trio's queue of tasks that are ready to run, without those of paused processes.

    Attributes:
        pauses: by process, how many pauses hold it now.
    """

    def __init__(self, ready_tasks: Any) -> None:
        """Build the queue of the tasks that are ready now."""
        super().__init__(ready_tasks)
        self.pauses: dict[str, int] = defaultdict(int)
        self._held: dict[str, list[Any]] = defaultdict(list)

    def append(self, task: Any) -> None:
        """Queue a task, or hold it back while its process is paused."""
        process = task.context.get(CURRENT_PROCESS, "")
        if self.pauses[process]:
            self._held[process].append(task)
        else:
            super().append(task)

    def release(self, process: str) -> None:
        """Queue the tasks of a process that were held back."""
        for task in self._held.pop(process, []):
            self.append(task)


def pausable_queue() -> PausableQueue:
    """Return the queue of the present run, which the first call puts in place of trio's own."""
    import trio  # noqa: PLC0415 (virtual time only)

    core: Any = trio._core._run
    runner = core.GLOBAL_RUN_CONTEXT.runner
    if not isinstance(runner.runq, PausableQueue):
        runner.runq = PausableQueue(runner.runq)
    queue: PausableQueue = runner.runq
    return queue


def pause(process: str) -> None:
    """Pause a process; those of its tasks that are ready just now still take one step."""
    pausable_queue().pauses[process] += 1


def resume(process: str) -> None:
    """End one pause of a process; it runs once none holds it."""
    queue = pausable_queue()
    queue.pauses[process] -= 1
    if not queue.pauses[process]:
        queue.release(process)


def end_pauses(process: str) -> None:
    """End all pauses of a process that is killed: its tasks have to run to their end."""
    queue = pausable_queue()
    if queue.pauses[process]:
        queue.pauses[process] = 1
        resume(process)


def end_all_pauses() -> None:
    """End the pauses of all processes, as the run is to end."""
    for process in list(pausable_queue().pauses):
        end_pauses(process)
