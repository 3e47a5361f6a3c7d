"""Replicas under faults: as processes, or as tasks in virtual time, with the same methods."""

from __future__ import annotations

import shutil
from abc import ABC, abstractmethod
from pathlib import Path
from random import Random
from typing import Any

import anyio
import msgspec

from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import StorageWriteError
from gullmount.consensus.replica import Replica
from gullmount.consensus.storage import FILE_NAME, MemoryStorage
from gullmount.emulators.links import CURRENT_PROCESS
from gullmount.fault_harness import paused_tasks
from gullmount.fault_harness.hosts import REPLICA_PORT, HarnessHosts
from gullmount.fault_harness.party_names import replica_name
from gullmount.fault_harness.processes import Process, Resume, resume_nothing
from gullmount.fault_harness.proxy_instances import SEED_BITS

TORN_FILE_MIN_BYTES = 4096  # that stay of a torn file: without them it is no file of its kind at all
WRITE_AHEAD_LOG_SUFFIX = "-wal"


class ReplicaInstance(ABC):
    """One replica; its disk outlives it.

    Attributes:
        deployment: where it runs.
        number: the replica's own.
        name: in the record.
        wanted: whether it is to run, but for a fault.
        incarnation: how often it was started.
    """

    def __init__(self, deployment: HarnessHosts, number: int) -> None:
        """Build a replica that does not run yet.

        Args:
            deployment: where it runs.
            number: the replica's own.
        """
        self.deployment = deployment
        self.number = number
        self.name = replica_name(number)
        self.wanted = False
        self.incarnation = 0
        self._folder = deployment.folder / f"keeper-{number}"
        self._network = deployment.attach(self.name)
        self._scope: anyio.CancelScope | None = None
        self._ended = anyio.Event()  # the last incarnation's tasks: its address is free

    def config(self) -> ReplicaConfig:
        """Return its configuration."""
        deployment = self.deployment
        return ReplicaConfig.model_validate(
            {
                "number": self.number,
                "group": deployment.script.name,
                "members": {number: deployment.replica_address(number) for number in deployment.founders},
                "disk": str(self._folder / "disk"),
                "listen": f"{deployment.host_named(self.name)}:{REPLICA_PORT}",
            }
        )

    def begin(self, bootstrap: bool = False) -> None:
        """Start it, if it does not run.

        Args:
            bootstrap: as one of a new group.
        """
        self.wanted = True
        if self._scope is None and not self.deployment.has_ended:
            self._scope, self._ended = anyio.CancelScope(), anyio.Event()
            self.deployment.tasks.start_soon(self._run, self._scope, bootstrap, self._ended)

    async def _run(self, scope: anyio.CancelScope, bootstrap: bool, ended: anyio.Event) -> None:
        self.incarnation += 1
        self.deployment.record.note("keeper_up", keeper=self.number)
        try:
            with scope:
                await self._run_incarnation(bootstrap)
        finally:
            ended.set()

    async def kill(self) -> None:
        """End it at once, if it runs; return once its address is free."""
        if self._scope is None:
            return
        self.deployment.record.note("keeper_killed", keeper=self.number)
        scope, self._scope = self._scope, None
        self._before_kill()
        scope.cancel()
        await self._network.kill()
        await self._ended.wait()

    @abstractmethod
    async def _run_incarnation(self, bootstrap: bool) -> None:
        """Run until it ends or is cancelled."""

    @abstractmethod
    def _before_kill(self) -> None:
        """Do what has to be done before its tasks are cancelled."""

    @abstractmethod
    async def stop(self) -> None:
        """Stop it gracefully."""

    @abstractmethod
    def pause(self) -> Resume:
        """Pause it; return what resumes it."""

    @abstractmethod
    def set_disk_full(self, full: bool) -> None:
        """Fail its writes to disk, or let them succeed again."""

    @abstractmethod
    def erase_disk(self) -> None:
        """Lose all that it stored."""

    @abstractmethod
    def copy_disk(self, copy_name: int) -> None:
        """Copy what it stored, to be restored later."""

    @abstractmethod
    def restore_disk(self, copy_name: int) -> None:
        """Put a copy in place of what it stored."""

    @abstractmethod
    def tear_disk(self, intact_share: float) -> None:
        """Damage what it stored last."""


class ReplicaProcess(ReplicaInstance):
    """One replica as a process of the program."""

    def __init__(self, deployment: HarnessHosts, number: int) -> None:
        """Build a replica that does not run yet."""
        super().__init__(deployment, number)
        self._process: Process | None = None
        self._disk = self._folder / "disk"

    async def _run_incarnation(self, bootstrap: bool) -> None:
        self._folder.mkdir(parents=True, exist_ok=True)
        file = self._folder / "keeper.yaml"
        file.write_bytes(msgspec.json.encode(self.config().model_dump(mode="json")))
        options = ["--found"] if bootstrap else []
        process = self._process = Process(["keeper", str(file), *options], self._folder / "log.jsonl")
        try:
            await process.wait()
        finally:
            self.deployment.record.note("process_ended", who=self.name, code=process.kill())
            self._process = None

    def _before_kill(self) -> None:
        if self._process is not None:
            self._process.kill()

    async def stop(self) -> None:
        """Stop the process gracefully."""
        if self._process is not None:
            await self._process.stop_gracefully(self.deployment.record, self.name)

    def pause(self) -> Resume:
        """Pause the process; return what resumes it."""
        return resume_nothing if self._process is None else self._process.pause()

    def set_disk_full(self, full: bool) -> None:
        """Let none of its files grow, or let them grow again."""
        if self._process is not None:
            self._process.set_disk_full(full)

    def erase_disk(self) -> None:
        """Remove the folder of its files."""
        shutil.rmtree(self._disk, ignore_errors=True)

    def copy_disk(self, copy_name: int) -> None:
        """Copy the folder of its files, to be restored later."""
        shutil.copytree(self._disk, self._copy(copy_name), dirs_exist_ok=True)

    def restore_disk(self, copy_name: int) -> None:
        """Put a copy in place of the folder of its files."""
        self.erase_disk()
        shutil.copytree(self._copy(copy_name), self._disk)

    def _copy(self, copy_name: int) -> Path:
        return self._folder / f"copy-{copy_name}"

    def tear_disk(self, intact_share: float) -> None:
        """Overwrite the last part of its files with zeros: of the write-ahead log, and of the file itself."""
        for suffix, min_bytes in ((WRITE_AHEAD_LOG_SUFFIX, 0), ("", TORN_FILE_MIN_BYTES)):
            file = Path(f"{self._disk / FILE_NAME}{suffix}")
            if file.exists() and file.stat().st_size > min_bytes:
                data = bytearray(file.read_bytes())
                intact = min_bytes + int((len(data) - min_bytes) * min(1.0, intact_share))
                data[intact:] = bytes(len(data) - intact)
                file.write_bytes(data)


class VirtualReplica(ReplicaInstance):
    """One replica as tasks in virtual time."""

    def __init__(self, deployment: HarnessHosts, number: int) -> None:
        """Build a replica that does not run yet."""
        super().__init__(deployment, number)
        self._storage = MemoryStorage()
        self._copies: dict[int, dict[str, Any]] = {}

    @property
    def _process_name(self) -> str:
        """Name the present incarnation, whose tasks alone are paused."""
        return f"{self.name}, life {self.incarnation}"

    async def _run_incarnation(self, bootstrap: bool) -> None:
        CURRENT_PROCESS.set(self._process_name)
        self._network = self.deployment.attach(self.name)
        replica = Replica(
            self.config(),
            net=self._network,
            storage=self._storage,
            random=Random(self.deployment.random.getrandbits(SEED_BITS)),
            log=self._log,
            bootstrap=bootstrap,
        )
        try:
            await replica.run()
        except* StorageWriteError as errors:
            self._log("disk failed", why=str(errors.exceptions[0]))
            await self._network.kill()

    def _log(self, event: str, **fields: Any) -> None:
        self.deployment.record.note("log", keeper=self.number, event=event, **fields)

    def _before_kill(self) -> None:
        paused_tasks.end_pauses(self._process_name)

    async def stop(self) -> None:
        """Do nothing: its tasks have no graceful end of their own."""

    def pause(self) -> Resume:
        """Pause its tasks; return what resumes them."""
        process = self._process_name
        paused_tasks.pause(process)
        return lambda: paused_tasks.resume(process)

    def set_disk_full(self, full: bool) -> None:
        """Fail its writes, or let them succeed again."""
        self._storage.full = full

    def erase_disk(self) -> None:
        """Replace its storage with an empty one."""
        self._storage = MemoryStorage()

    def copy_disk(self, copy_name: int) -> None:
        """Copy the rows of its storage, to be restored later."""
        self._copies[copy_name] = dict(self._storage.rows)

    def restore_disk(self, copy_name: int) -> None:
        """Put the rows of a copy into a new storage."""
        self.erase_disk()
        self._storage.rows = dict(self._copies[copy_name])

    def tear_disk(self, intact_share: float) -> None:
        """Have its storage found damaged, however much of it is intact."""
        del intact_share  # a damaged storage has no parts
        self._storage.torn = True
