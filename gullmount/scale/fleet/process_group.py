"""All processes of a run: started, watched over, and ended together."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping
from pathlib import Path

import anyio

from gullmount.scale.fleet.errors import MemoryLimitError, ProcessEndedError
from gullmount.scale.fleet.managed_process import ManagedProcess
from gullmount.scale.fleet.process_messages import SAMPLE_INTERVAL_SECONDS
from gullmount.scale.fleet.run_record import Role

GIB = 1 << 30


class ProcessGroup:
    """The processes of a run, those that have ended too."""

    def __init__(self, folder: Path) -> None:
        self.folder = folder
        self.processes: list[ManagedProcess] = []
        self.highest_memory = 0  # bytes resident of all at once; pages that several share count often

    def start(
        self,
        role: Role,
        name: str,
        arguments: list[str],
        environment: Mapping[str, str] | None = None,
        speaks: bool = True,
    ) -> ManagedProcess:
        """Start a process. Raises OSError."""
        process = ManagedProcess(role, name, arguments, self.folder, environment, speaks)
        self.processes.append(process)
        return process

    def of(self, *roles: Role) -> list[ManagedProcess]:
        """The processes of some roles, in the order of their start."""
        return [process for process in self.processes if process.role in roles]

    @property
    def alive(self) -> list[ManagedProcess]:
        """Those that run."""
        return [process for process in self.processes if process.exit_code is None]

    async def monitor(self, max_memory_bytes: float) -> None:
        """Sample all each second, until cancelled.

        Raises MemoryLimitError where all hold too much, and ProcessEndedError where one ended that was not
        told to.
        """
        due = time.monotonic()
        while True:
            now = time.monotonic()
            for process in self.alive:
                process.sample_usage(now)
            memory = sum(process.usage[-1].resident_bytes for process in self.alive if process.usage)
            self.highest_memory = max(self.highest_memory, memory)
            if memory > max_memory_bytes:
                raise MemoryLimitError(memory / GIB)
            for process in self.processes:
                exit_code = process.exit_code
                if exit_code is not None and not process.told_to_end:
                    raise ProcessEndedError(process.name, exit_code, "its log")
            due += SAMPLE_INTERVAL_SECONDS
            await anyio.sleep(max(0.0, due - time.monotonic()))

    async def end(self, processes: Iterable[ManagedProcess]) -> dict[str, int]:
        """End processes, all at once; return exit codes by name."""
        exit_codes: dict[str, int] = {}

        async def end_one(process: ManagedProcess) -> None:
            exit_codes[process.name] = await process.end()

        async with anyio.create_task_group() as tasks:
            for process in processes:
                tasks.start_soon(end_one, process)
        return exit_codes

    def kill(self) -> None:
        """Kill all that still run."""
        for process in self.processes:
            process.kill()
