"""Proxy instances under faults: as processes, or as tasks in virtual time, with the same methods."""

from __future__ import annotations

from errno import ENOSPC

import anyio
import msgspec

from gullmount.emulators.links import HostNetwork
from gullmount.fault_harness import paused_tasks
from gullmount.fault_harness.clocks import ProcessClocks
from gullmount.fault_harness.hosts import HarnessHosts
from gullmount.fault_harness.party_names import proxy_name
from gullmount.fault_harness.processes import GRACEFUL_STOP_SECONDS, Process, Resume, resume_nothing
from gullmount.scenarios.deployment import Deployment
from gullmount.scenarios.proxy_process import InMemoryStateStore, RestartableProxy

CLOCKED_PROXY_MODULE = "gullmount.commands.clocked"  # runs a proxy instance by clocks that can be set
SEED_BITS = 60


class ProxyProcess(RestartableProxy):
    """One proxy instance as a process of the program."""

    deployment: HarnessHosts
    _process: Process | None = None

    async def run(self, scope: anyio.CancelScope) -> None:
        """Run the process until it ends or the scope is cancelled."""
        self.incarnation += 1
        deployment = self.deployment
        host = deployment.proxy_host(self.number)
        name = proxy_name(self.number)
        HostNetwork(deployment.links, host, name, self.zone, deployment.tasks)
        folder = deployment.folder / f"umpire-{self.number}"
        folder.mkdir(parents=True, exist_ok=True)
        config = deployment.leasing_config(deployment.proxy_config(self.number, self.zone))
        fields = config.model_dump(mode="json") | {
            "remembered": str(folder / "boxes.json"),
            "connect_from": host,
            "seed": deployment.random.getrandbits(SEED_BITS),
        }
        file = folder / "umpire.yaml"
        file.write_bytes(msgspec.json.encode(fields))
        with scope:
            deployment.record.note("umpire_up", umpire=self.number)
            process = self._process = Process([str(file)], folder / "log.jsonl", CLOCKED_PROXY_MODULE)
            try:
                await process.wait()
                if self.scope is scope and not deployment.has_ended:
                    self.scope = None
                # Its connections ended with it: a client that used one again would count a request as lost.
                await deployment.clients[self.number].close()
            finally:
                deployment.record.note("process_ended", who=name, code=process.kill())
                if self._process is process:
                    self._process = None

    async def kill(self) -> None:
        """Kill the process, if it runs."""
        process = self._process
        if self.scope is None or process is None:
            return
        record = self.deployment.record
        record.note("umpire_killed", umpire=self.number)
        scope, self.scope = self.scope, None
        process.kill()
        scope.cancel()
        await self.deployment.clients[self.number].close()
        record.note("umpire_dead", umpire=self.number)

    @property
    def is_running(self) -> bool:
        """Whether the process runs."""
        return self.scope is not None and self._process is not None

    async def stop(self) -> None:
        """Stop the process gracefully."""
        if self._process is not None:
            await self._process.stop_gracefully(self.deployment.record, proxy_name(self.number))

    def pause(self) -> Resume:
        """Pause the process; return what resumes it."""
        return resume_nothing if self._process is None else self._process.pause()

    def set_disk_full(self, full: bool) -> None:
        """Fail its writes to disk, or let them succeed again."""
        if self._process is not None:
            self._process.set_disk_full(full)

    def set_clock(self, line: str) -> None:
        """Set one of its clocks by a line as `ProcessClocks.obey` takes it."""
        if self._process is not None:
            self._process.write_line(line)


class DiskThatFills(InMemoryStateStore):
    """What a proxy instance stores, on a disk that may be full.

    Attributes:
        full: whether writes fail.
    """

    full = False

    async def save(self, data: bytes) -> None:
        """Store the data; raise OSError while the disk is full."""
        if self.full:
            raise OSError(ENOSPC, "No space left on device")
        await super().save(data)


class VirtualProxy(RestartableProxy):
    """One proxy instance as tasks in virtual time.

    Attributes:
        clocks: that it goes by; new ones with each start.
    """

    deployment: HarnessHosts

    def __init__(self, deployment: Deployment, number: int, zone: str) -> None:
        """Build an instance that does not run yet."""
        super().__init__(deployment, number, zone)
        self.disk = self.state_store = DiskThatFills()
        self.clocks = self._new_clocks()

    def _new_clocks(self) -> ProcessClocks:
        return ProcessClocks(anyio.current_time, self.deployment.record.now)

    def begin(self) -> None:
        """Start the instance, if it does not run."""
        self.clocks = self._new_clocks()
        super().begin()

    async def kill(self) -> None:
        """End the instance at once, also while it is paused."""
        paused_tasks.end_pauses(self.process)
        await super().kill()

    async def stop(self) -> None:
        """Stop the instance gracefully, for as long as a process would be given."""
        with anyio.move_on_after(GRACEFUL_STOP_SECONDS):
            await super().stop()

    def pause(self) -> Resume:
        """Pause its tasks; return what resumes them."""
        process = self.process
        paused_tasks.pause(process)
        return lambda: paused_tasks.resume(process)

    def set_disk_full(self, full: bool) -> None:
        """Fail its writes to disk, or let them succeed again."""
        self.disk.full = full

    def set_clock(self, line: str) -> None:
        """Set one of its clocks by a line as `ProcessClocks.obey` takes it."""
        self.clocks.obey(line)
