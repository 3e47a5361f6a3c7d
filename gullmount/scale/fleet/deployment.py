"""One run of a fleet: processes started, clients begun, changes made, all ended.

Each delivery is a `Deployment` of its own.
"""

from __future__ import annotations

import json
import time
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from enum import IntEnum
from pathlib import Path
from typing import Any, ClassVar

import anyio
import msgspec
from anyio.abc import TaskGroup

from gullmount.net import TcpNet
from gullmount.scale.fleet.config import Delivery, FleetConfig
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.scale.fleet.errors import FleetRunError
from gullmount.scale.fleet.managed_process import READY_TIMEOUT_SECONDS, ManagedProcess
from gullmount.scale.fleet.process_group import GIB, ProcessGroup
from gullmount.scale.fleet.process_messages import (
    EXPECTED_FILE,
    ChangeWriterFile,
    Command,
    HollowProcessFile,
    ProcessFile,
    ReleaseStatusFile,
    Reply,
)
from gullmount.scale.fleet.record_files import (
    read_acknowledgements,
    read_changes,
    read_hollow_reports,
    read_real_reports,
)
from gullmount.scale.fleet.run_record import Role, RunRecord
from gullmount.scale.fleet.sockets import connections_in_block

PACKAGE = "gullmount.scale.fleet"
OVERRUN_SECONDS = 600.0  # beyond the file's times, to start, load, report and end processes
IDLE_SECONDS = 3.0  # in which processes are sampled before clients begin: what they hold by themselves
SOCKETS_TIMEOUT_SECONDS = 20.0  # for the machine to be done with sockets of processes that ended
POLL_SECONDS = 0.25  # between looks at whether something has come true
LOAD_TIMEOUT_SECONDS = 300.0  # for the origin to take the state before the first change
REPORT_TIMEOUT_SECONDS = 180.0  # for a process to write what it saw
MAX_REPORTED_SOCKETS = 20
CONTROL_PORT = 7102

Progress = Callable[[str], None]


class HostGroup(IntEnum):
    """The third part of addresses of the run's block."""

    SERVICES = 1
    REAL_PROXIES = 3
    HOLLOW_CLIENTS = 4
    RELAYS = 5


class Deployment(ABC):
    """One run; lives as long as it. Methods raise FleetRunError where it can't go on."""

    delivery: ClassVar[Delivery]
    tasks: TaskGroup
    change_writer: ManagedProcess

    def __init__(self, fleet: FleetConfig, seed: int, block: str, folder: Path, progress: Progress) -> None:
        self.fleet, self.seed, self.block, self.folder = fleet, seed, block, folder
        self.progress = progress
        self.drawn = DrawnFleet(fleet, seed)
        self.processes = ProcessGroup(folder)
        self.network = TcpNet()
        self.real_proxies = [self.drawn.proxies[number] for number in sorted(self.drawn.real_proxies)]
        self.record = RunRecord(self.delivery, real_proxies=[proxy.name for proxy in self.real_proxies])
        self.expected: dict[str, tuple[int, int]] = {}  # by topic, the version after the last change

    # What deliveries differ in

    @abstractmethod
    async def start_services(self) -> None:
        """Start what delivers, and wait until it is ready."""

    @abstractmethod
    def hollow_file(self, part: int) -> HollowProcessFile:
        """The file of one process of hollow clients."""

    @abstractmethod
    def start_real_proxies(self) -> None:
        """Start the proxies that are processes of their own."""

    @property
    @abstractmethod
    def origin(self) -> str:
        """The address that changes are made at."""

    @abstractmethod
    async def load(self) -> None:
        """Bring in the state before the first change."""

    @abstractmethod
    def start_faults(self) -> None:
        """Start tasks that bring the file's faults about, each at its time."""

    @abstractmethod
    async def read_summary(self) -> None:
        """Ask the origin for its own summary, once all clients have all."""

    # Addresses and processes

    def host(self, group: HostGroup, number: int = 0) -> str:
        """An address of the run's block."""
        return f"{self.block}.{group.value}.{number + 1}"

    @property
    def control(self) -> str:
        """Where proxies receive release status."""
        return f"{self.host(HostGroup.SERVICES)}:{CONTROL_PORT}"

    def write_file(self, name: str, content: Any) -> Path:
        """Write JSON to a file of the run's folder. Raises OSError."""
        path = self.folder / name
        path.write_text(json.dumps(content))
        return path

    @property
    def common_fields(self) -> dict[str, Any]:
        """What files of all the package's processes have."""
        return {
            "fleet": self.fleet.as_file(),
            "seed": self.seed,
            "delivery": self.delivery,
            "folder": str(self.folder),
        }

    def start_child(self, role: Role, name: str, module: str, file: ProcessFile) -> ManagedProcess:
        """Start one of the package's own processes, and read what it writes."""
        path = self.write_file(f"{name}.json", msgspec.to_builtins(file))
        process = self.processes.start(role, name, [f"{PACKAGE}.{module}", str(path)])
        self.tasks.start_soon(process.read_lines)
        return process

    async def start_release_status(self) -> None:
        """Start what tells proxies of releases; nothing is measured of it."""
        file = ReleaseStatusFile(**self.common_fields, host=self.host(HostGroup.SERVICES), port=CONTROL_PORT)
        process = self.start_child(Role.RELEASE_STATUS, "control", "release_status_emulator", file)
        await process.wait_for_reply(Reply.READY, READY_TIMEOUT_SECONDS)

    async def wait_for_replies(
        self, processes: Iterable[ManagedProcess], reply: Reply, timeout_seconds: float
    ) -> None:
        """Wait for a reply of each."""
        for process in processes:
            await process.wait_for_reply(reply, timeout_seconds)

    # The run's steps

    async def play(self) -> RunRecord:
        """Run it all and return its record. Its processes have ended when this returns or raises."""
        try:
            limit_seconds = self.fleet.duration + self.fleet.start_timeout + OVERRUN_SECONDS
            with anyio.move_on_after(limit_seconds) as scope:
                async with anyio.create_task_group() as tasks:
                    self.tasks = tasks
                    tasks.start_soon(self.processes.monitor, self.fleet.max_memory_gib * GIB)
                    await self.run_steps()
                    tasks.cancel_scope.cancel()
            if scope.cancelled_caught:
                self.record.broken_off = "the run took longer than it may"
        except* FleetRunError as errors:
            self.record.broken_off = "; ".join(str(error) for error in errors.exceptions)
        finally:
            self.processes.kill()
        await self.collect_samples()
        return self.record

    async def run_steps(self) -> None:
        """Run from the start of processes to their end."""
        self.progress("starting processes")
        await self.start_services()
        hollow = await self.start_hollow_processes()
        await self.load()
        await anyio.sleep(IDLE_SECONDS)
        self.progress(f"cold start of {self.fleet.proxies} proxies")
        self.record.started_at = time.monotonic()
        for process in hollow:
            process.command(Command.GO)
        self.start_real_proxies()
        if await self.wait_until(self.all_synced, self.fleet.start_timeout):
            self.record.all_synced_at = time.monotonic()
            await self.make_changes()
            await self.settle(hollow)
        await self.finish(hollow)

    async def start_hollow_processes(self) -> list[ManagedProcess]:
        """Start hollow processes and change writer, and wait until they are ready; return the hollow ones."""
        change_writer = ChangeWriterFile(**self.common_fields, origin=self.origin)
        self.change_writer = self.start_child(Role.CHANGE_WRITER, "changer", "change_writer", change_writer)
        hollow = [
            self.start_child(Role.HOLLOW, f"hollow-{part}", "hollow_process", self.hollow_file(part))
            for part in range(self.fleet.hollow_processes)
        ]
        await self.wait_for_replies([*hollow, self.change_writer], Reply.READY, READY_TIMEOUT_SECONDS)
        self.record.clients_per_process = {process.name: process.replies[Reply.PROXIES] for process in hollow}
        light = range(self.fleet.full_processes, self.fleet.hollow_processes)
        self.record.light_processes = {f"hollow-{part}" for part in light}
        return hollow

    def all_synced(self) -> bool:
        """Whether all hollow clients have received all that they subscribe to."""
        synced = sum(
            process.counters[-1].synced for process in self.processes.of(Role.HOLLOW) if process.counters
        )
        return synced == self.fleet.hollow_clients

    async def wait_until(self, condition: Callable[[], bool], timeout_seconds: float) -> bool:
        """Wait until it is true; return whether that came in time."""
        with anyio.move_on_after(timeout_seconds):
            while not condition():
                await anyio.sleep(POLL_SECONDS)
            return True
        return False

    async def make_changes(self) -> None:
        """Have all changes made, and faults brought about."""
        self.progress(f"{len(self.drawn.changes)} changes over {self.fleet.duration:.0f} s")
        self.change_writer.command(Command.GO)
        self.record.first_phase_at = await self.change_writer.wait_for_reply(
            Reply.BEGAN, READY_TIMEOUT_SECONDS
        )
        self.start_faults()
        await self.change_writer.wait_for_reply(Reply.DONE, self.fleet.duration + OVERRUN_SECONDS)
        self.record.changes = read_changes(self.folder)
        for change, version in self.record.delivered_changes():
            self.expected[self.record.subscribed_topic(change)] = version

    async def settle(self, hollow: list[ManagedProcess]) -> None:
        """Wait until all clients have reached the last change."""
        self.progress("waiting for the last change to be in force")
        self.write_file(EXPECTED_FILE, self.expected)
        for process in hollow:
            process.command(Command.EXPECT)

        def all_reached() -> bool:
            return all(process.counters and process.counters[-1].behind == 0 for process in hollow)

        await self.wait_until(all_reached, self.fleet.settle_timeout)
        await self.read_summary()

    async def finish(self, hollow: list[ManagedProcess]) -> None:
        """Have reports written, note files outside the run's folder, and end all processes."""
        self.progress("ending processes")
        reporting = [*hollow, *self.processes.of(Role.DISCOVERY)]
        for process in reporting:
            process.command(Command.REPORT)
        await self.wait_for_replies(reporting, Reply.REPORTED, REPORT_TIMEOUT_SECONDS)
        for process in hollow:
            reports, applied = read_hollow_reports(self.folder, process.name)
            self.record.clients += reports
            self.record.applied += applied
        self.record.acknowledgements = read_acknowledgements(self.folder)
        for process in self.processes.alive:
            for path in process.files_open_for_writing():
                if not Path(path).is_relative_to(self.folder):
                    self.record.left_behind.append(f"{process.name} writes to {path}")
        await self.end_processes()

    async def end_processes(self) -> None:
        """End clients first, then what they connect to."""
        for roles in (
            (Role.HOLLOW, Role.REAL, Role.CHANGE_WRITER),
            (Role.RELAY,),
            (Role.ORIGIN, Role.DISCOVERY, Role.RELEASE_STATUS),
        ):
            self.record.exit_codes |= await self.processes.end(self.processes.of(*roles))
        self.record.real_reports, self.record.real_applied = read_real_reports(self.folder)

    async def collect_samples(self) -> None:
        """Collect what was sampled of processes, and what is left once all have ended."""
        record = self.record
        for process in self.processes.processes:
            record.usage.setdefault(process.role, {})[process.name] = process.usage
            if process.counters:
                record.counters.setdefault(process.role, {})[process.name] = process.counters
            if Path(f"/proc/{process.pid}").exists():
                record.left_behind.append(f"process {process.name}")
        record.highest_memory = self.processes.highest_memory
        sockets = connections_in_block(self.block)
        with anyio.move_on_after(SOCKETS_TIMEOUT_SECONDS):
            while sockets:
                await anyio.sleep(POLL_SECONDS)
                sockets = connections_in_block(self.block)
        record.left_behind += [f"socket {socket}" for socket in sockets[:MAX_REPORTED_SOCKETS]]
