"""A process of the program, which the rig starts and ends. None outlives the rig, however that ends."""

from __future__ import annotations

import ctypes
import signal
import subprocess
import sys
from pathlib import Path

import anyio

LOOK_EVERY = 0.02  # s between looks at whether it has ended
PR_SET_PDEATHSIG = 1  # prctl(2): the signal that a process gets when its parent has died


def end_with_parent() -> None:
    """In the child, before the program: a rig that is killed cannot tidy up."""
    ctypes.CDLL(None).prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """One process; its standard error goes to the end of `log`."""

    def __init__(self, arguments: list[str], log: Path) -> None:
        self.log = log.open("ab")
        command = [sys.executable, "-m", "gullmount", *arguments]
        self.process = subprocess.Popen(
            command,
            stdin=subprocess.DEVNULL,
            stdout=self.log,
            stderr=self.log,
            preexec_fn=end_with_parent,  # noqa: PLW1509 (nothing here starts threads beside it)
        )

    def send(self, number: signal.Signals) -> None:
        if self.process.poll() is None:
            self.process.send_signal(number)

    async def ended(self) -> int:
        """Its exit code; negative for a signal."""
        while (code := self.process.poll()) is None:
            await anyio.sleep(LOOK_EVERY)
        return code

    def kill(self) -> int:
        """At once, also where it stands still; its exit code as in `ended`."""
        if self.process.poll() is None:
            self.process.kill()
        self.log.close()
        return self.process.wait(10)
