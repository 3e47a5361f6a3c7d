"""A process of the program, started and ended by the fault harness. None outlives it, however it ends."""

from __future__ import annotations

import ctypes
import resource
import signal
import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

import anyio

from gullmount.emulators.record import Record

# After SIGTERM: a request's route timeout, and the time of what is given up.
GRACEFUL_STOP_SECONDS = 15.0
KILL_SECONDS = 10.0  # until the kernel has ended a killed process
POLL_SECONDS = 0.02  # between looks at whether a process has ended
Resume = Callable[[], None]
"""Lets what was paused go on."""

PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when its parent has died


def resume_nothing() -> None:
    """Do nothing, in place of resuming a process that was not there to be paused."""


def end_with_parent() -> None:
    """Have the kernel kill this process when its parent dies, which can't tidy up if it is killed itself.

    Runs in the child, before the program.
    """
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process of the program.

    Attributes:
        process: as the standard library has it.
    """

    def __init__(self, arguments: list[str], log_file: Path, module: str = "gullmount") -> None:
        """Start the process.

        Args:
            arguments: of its command line.
            log_file: its output and standard error are appended there.
            module: what `python -m` runs.
        """
        self._log = log_file.open("ab")
        self.process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdin=subprocess.PIPE,
            stdout=self._log,
            stderr=self._log,
            preexec_fn=end_with_parent,  # noqa: PLW1509 (nothing here starts threads beside it)
        )

    @property
    def _is_running(self) -> bool:
        return self.process.poll() is None

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal, unless the process has ended."""
        if self._is_running:
            self.process.send_signal(number)

    def pause(self) -> Resume:
        """Pause it, and return what resumes it."""
        self.send_signal(signal.SIGSTOP)
        return lambda: self.send_signal(signal.SIGCONT)

    def write_line(self, line: str) -> None:
        """Write a line to its standard input, unless the process has ended."""
        if self.process.stdin is not None and self._is_running:
            try:
                self.process.stdin.write(f"{line}\n".encode())
                self.process.stdin.flush()
            except OSError:
                pass  # it ended in this moment

    def set_disk_full(self, full: bool) -> None:
        """Let none of its files grow, or let them grow again.

        The kernel's limit on the size of files stands for the disk.
        """
        if self._is_running:
            limit = 0 if full else resource.RLIM_INFINITY
            resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (limit, resource.RLIM_INFINITY))

    async def wait(self) -> int:
        """Return its exit code once it has ended; negative for a signal."""
        while (code := self.process.poll()) is None:
            await anyio.sleep(POLL_SECONDS)
        return code

    async def stop_gracefully(self, record: Record, name: str) -> None:
        """Send SIGTERM, and wait until the process has ended or its time is over."""
        record.note("told_to_stop", who=name)
        self.send_signal(signal.SIGTERM)
        with anyio.move_on_after(GRACEFUL_STOP_SECONDS):
            await self.wait()

    def kill(self) -> int:
        """End it at once, also while it is paused, and return its exit code as `wait` does."""
        if self._is_running:
            self.process.kill()
        self._log.close()
        if self.process.stdin is not None:
            try:
                self.process.stdin.close()
            except OSError:
                pass  # the last line was not read
        return self.process.wait(KILL_SECONDS)
