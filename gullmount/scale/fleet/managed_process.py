"""A process of a fleet's run: started, commanded, heard, sampled, ended. None outlives the run."""

from __future__ import annotations

import json
import os
import signal
import subprocess
import sys
import time
from collections.abc import Awaitable, Callable, Mapping
from pathlib import Path
from typing import Any

import anyio
import msgspec
from anyio.abc import AsyncResource

import gullmount
from gullmount.fault_harness.processes import end_with_parent
from gullmount.scale.fleet.errors import (
    NotListeningError,
    ProcessEndedError,
    ProcessFailedError,
    ReplyTimeoutError,
)
from gullmount.scale.fleet.process_messages import Command, CounterSample, Reply
from gullmount.scale.fleet.run_record import Role, UsageSample

READY_TIMEOUT_SECONDS = 180.0  # for a process to be ready: a machine busy with others takes its time
END_TIMEOUT_SECONDS = 30.0  # for a process to end by itself before it is killed
KILL_TIMEOUT_SECONDS = 10  # for a killed process to be gone
EXIT_POLL_SECONDS = 0.02  # between looks at whether a process has ended
REPLY_POLL_SECONDS = 1.0  # between looks at whether a process that is silent still runs
CONNECT_RETRY_SECONDS = 0.1
READ_BYTES = 65536  # of a pipe at once
CLOCK_TICKS_PER_SECOND = os.sysconf("SC_CLK_TCK")  # of processor time, as /proc counts
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
STAT_USER_TIME, STAT_SYSTEM_TIME = 11, 12  # columns of /proc/PID/stat after the program's name
STATM_RESIDENT = 1  # column of /proc/PID/statm
OPENED_FOR_WRITING = 3  # bits of a descriptor's flags; 0: opened for reading only


class ManagedProcess:
    """One process of Python's `-m`. One that `speaks` takes commands and writes lines."""

    def __init__(
        self,
        role: Role,
        name: str,
        arguments: list[str],
        folder: Path,
        environment: Mapping[str, str] | None = None,
        speaks: bool = True,
    ) -> None:
        self.role, self.name, self.speaks = role, name, speaks
        self.replies: dict[str, Any] = {}
        self.counters: list[CounterSample] = []
        self.usage: list[UsageSample] = []
        self.received = anyio.Event()  # a new one for each read
        self.told_to_end = False
        package = str(Path(gullmount.__file__).parent.parent)
        with (folder / f"{name}.log").open("wb") as log:
            self.process = subprocess.Popen(
                [sys.executable, "-m", *arguments],
                stdin=subprocess.PIPE,
                stdout=subprocess.PIPE if speaks else log,
                stderr=log,
                cwd=folder,
                env={
                    **os.environ,
                    "PYTHONPATH": os.pathsep.join(filter(None, [package, os.environ.get("PYTHONPATH")])),
                    "PYTHONDONTWRITEBYTECODE": "1",
                    "TMPDIR": str(folder),
                    **(environment or {}),
                },
                preexec_fn=end_with_parent,  # noqa: PLW1509 (nothing here starts threads beside it)
            )

    @property
    def pid(self) -> int:
        """Its process id."""
        return self.process.pid

    @property
    def exit_code(self) -> int | None:
        """None while it runs; negative for a signal."""
        return self.process.poll()

    def command(self, command: Command) -> None:
        """Write a command to it; nothing where it has ended."""
        assert self.process.stdin is not None
        try:
            self.process.stdin.write(f"{command.value}\n".encode())
            self.process.stdin.flush()
        except OSError:
            pass  # it ended just now, which is noticed elsewhere

    async def read_lines(self) -> None:
        """Read its lines, until its output ends."""
        assert self.process.stdout is not None
        pipe, rest = self.process.stdout.fileno(), b""
        os.set_blocking(pipe, False)
        while True:
            await anyio.wait_readable(pipe)
            data = os.read(pipe, READ_BYTES)
            if not data:
                break
            *lines, rest = (rest + data).split(b"\n")
            for line in lines:
                fields = json.loads(line)
                if "t" in fields:
                    self.counters.append(msgspec.convert(fields, CounterSample))
                else:
                    self.replies |= fields
            self.received.set()
            self.received = anyio.Event()

    async def wait_for_reply(self, reply: Reply, timeout_seconds: float) -> Any:
        """Wait for a reply and return its value. Raises FleetRunError."""
        with anyio.move_on_after(timeout_seconds):
            while reply not in self.replies:
                if Reply.FAILED in self.replies:
                    raise ProcessFailedError(self.name, self.replies[Reply.FAILED])
                self.check_running()
                with anyio.move_on_after(REPLY_POLL_SECONDS):
                    await self.received.wait()
            return self.replies[reply]
        raise ReplyTimeoutError(self.name, reply.value, timeout_seconds)

    def check_running(self) -> None:
        """Raise ProcessEndedError where it has ended."""
        exit_code = self.exit_code
        if exit_code is not None:
            raise ProcessEndedError(self.name, exit_code, f"{self.name}.log")

    async def wait_until_accepting(
        self, address: str, connect: Callable[[str], Awaitable[AsyncResource]], timeout_seconds: float
    ) -> None:
        """Wait until it accepts connections at the address. Raises FleetRunError."""
        with anyio.move_on_after(timeout_seconds):
            while True:
                self.check_running()
                try:
                    stream = await connect(address)
                except OSError:
                    await anyio.sleep(CONNECT_RETRY_SECONDS)
                    continue
                await anyio.aclose_forcefully(stream)
                return
        raise NotListeningError(self.name, address, timeout_seconds)

    def sample_usage(self, now: float) -> None:
        """Add a sample of processor time and memory; none where it has ended."""
        try:
            stat = Path(f"/proc/{self.pid}/stat").read_text().rpartition(")")[2].split()
            pages = int(Path(f"/proc/{self.pid}/statm").read_text().split()[STATM_RESIDENT])
        except OSError:
            return
        ticks = int(stat[STAT_USER_TIME]) + int(stat[STAT_SYSTEM_TIME])
        self.usage.append(UsageSample(now, ticks / CLOCK_TICKS_PER_SECOND, pages * PAGE_BYTES))

    def files_open_for_writing(self) -> list[str]:
        """Paths of files, except for devices."""
        paths = []
        try:
            for link in Path(f"/proc/{self.pid}/fd").iterdir():
                target = os.readlink(link)
                info = Path(f"/proc/{self.pid}/fdinfo/{link.name}").read_text()
                flags = int(info.split("flags:")[1].split()[0], 8)
                if target.startswith("/") and not target.startswith("/dev/") and flags & OPENED_FOR_WRITING:
                    paths.append(target)
        except OSError:
            pass  # it ended, or closed that file
        return paths

    async def end(self) -> int:
        """Tell it to end, kill it if it does not in time, and return its exit code."""
        self.told_to_end = True
        if self.speaks:
            self.command(Command.QUIT)
        elif self.exit_code is None:
            self.process.send_signal(signal.SIGTERM)
        with anyio.move_on_after(END_TIMEOUT_SECONDS):
            while self.exit_code is None:
                await anyio.sleep(EXIT_POLL_SECONDS)
        return self.kill()

    def kill(self) -> int:
        """Kill it if it still runs, and return its exit code."""
        if self.exit_code is None:
            self.process.kill()
        for pipe in (self.process.stdin, self.process.stdout):
            if pipe is not None and not pipe.closed and not self.speaks:
                pipe.close()
        return self.process.wait(KILL_TIMEOUT_SECONDS)

    def kill_as_planned(self) -> float:
        """Kill it as the fleet's file says; return when, in seconds of the monotonic clock."""
        self.told_to_end = True
        at = time.monotonic()
        self.kill()
        return at
