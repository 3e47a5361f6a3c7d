"""The machines that servers run on: starts servers, drains them, removes them, brings them back."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import anyio
from anyio.abc import TaskGroup

from gullmount.emulators.links import HostNetwork, NetworkLinks
from gullmount.emulators.servers import EmulatedServer, ServerEnvironment, ServerSettings

HOSTS_IN_BLOCK = 250  # addresses of servers before ports are counted up
FIRST_PORT = 9000


class Machine:
    """A machine for one server, which is made anew when its process starts again.

    Attributes:
        address: of its server.
        zone: where it is.
        cell: where it is within the zone.
        build: which its server runs.
        speed: work that a warm core does in a second.
        server: the process, once one has been started.
        running: whether the process listens.
        draining: whether it is about to be removed.
        removed: whether it is not there any more.
    """

    def __init__(self, address: str, zone: str, cell: int, build: int, speed: float) -> None:
        self.address = address
        self.zone = zone
        self.cell = cell
        self.build = build
        self.speed = speed
        self.server: EmulatedServer | None = None
        self.running = False
        self.draining = False
        self.removed = False


class Placement:
    """Where one machine serves, and its successors beside it while their builds are candidates.

    Attributes:
        zone: where its machines are.
        cell: where they are within the zone.
        speed: work that a warm core of theirs does in a second.
        machines: by build, while they are there.
    """

    def __init__(self, zone: str, cell: int, speed: float) -> None:
        self.zone = zone
        self.cell = cell
        self.speed = speed
        self.machines: dict[int, Machine] = {}


ChangeListener = Callable[[Machine, bool], None]


def _ignore_change(_machine: Machine, _silent: bool) -> None:
    pass  # until somebody listens


class Fleet:
    """All machines; lives as long as the scenario.

    Attributes:
        placements: where machines serve.
        on_change: is called with each machine that discovery has to show otherwise, and whether nobody
            was notified: its process died.
    """

    def __init__(
        self,
        tasks: TaskGroup,
        links: NetworkLinks,
        settings: ServerSettings,
        environment: ServerEnvironment,
        address_block: str,
        seed: int,
        boot_time: tuple[float, float],
        drain_time: float,
    ) -> None:
        """Make a fleet without machines.

        Args:
            tasks: runs the servers.
            links: between all hosts.
            settings: of all servers.
            environment: of all servers.
            address_block: first half of the servers' addresses.
            seed: of the times that machines take to boot.
            boot_time: shortest and longest, in seconds.
            drain_time: seconds from the start of a drain to the removal.
        """
        self.placements: list[Placement] = []
        self.on_change: ChangeListener = _ignore_change
        self._tasks = tasks
        self._links = links
        self._settings = settings
        self._environment = environment
        self._address_block = address_block
        self._random = Random(seed)
        self._boot_time = boot_time
        self._drain_time = drain_time
        self._machine_count = 0  # of all that were ever added

    def machines(self) -> list[Machine]:
        """Return the machines that are there."""
        machines = [machine for placement in self.placements for machine in placement.machines.values()]
        return [machine for machine in machines if not machine.removed]

    def running_servers(self) -> list[EmulatedServer]:
        """Return the servers whose processes run."""
        servers = [machine.server for machine in self.machines() if machine.running]
        return [server for server in servers if server is not None and server.is_up]

    async def start_initial(self, placement: Placement, build: int) -> None:
        """Add a machine whose server is warm and listed when the scenario starts."""
        await self._start(self._add(placement, build), cold=False)

    async def launch(self, placement: Placement, build: int) -> None:
        """Add a machine and start its server after the time that booting takes."""
        machine = self._add(placement, build)
        await anyio.sleep(self._random.uniform(*self._boot_time))
        if not machine.removed:
            await self._start(machine, cold=True)

    def _add(self, placement: Placement, build: int) -> Machine:
        number = self._machine_count
        self._machine_count += 1
        host = f"{self._address_block}.2.{number % HOSTS_IN_BLOCK + 1}"
        address = f"{host}:{FIRST_PORT + number // HOSTS_IN_BLOCK}"
        machine = Machine(address, placement.zone, placement.cell, build, placement.speed)
        placement.machines[build] = machine
        return machine

    async def _start(self, machine: Machine, cold: bool) -> None:
        """Start the machine's server; return once it listens."""
        server = machine.server = self._make_server(machine, cold)
        running = anyio.Event()

        async def run() -> None:
            await server.run(running)
            if machine.server is server:
                machine.running = False
                if not machine.removed and not machine.draining:
                    self.on_change(machine, True)

        self._tasks.start_soon(run)
        await running.wait()
        machine.running = True
        self.on_change(machine, False)

    def _make_server(self, machine: Machine, cold: bool) -> EmulatedServer:
        host = machine.address.rpartition(":")[0]
        return EmulatedServer(
            address=machine.address,
            zone=machine.zone,
            cell=machine.cell,
            build=machine.build,
            speed=machine.speed,
            settings=self._settings,
            environment=self._environment,
            network=HostNetwork(self._links, host, machine.address, machine.zone, self._tasks),
            cold=cold,
        )

    def drain(self, placement: Placement, build: int) -> None:
        """Remove the build's machine once it has drained; at once where its server does not run."""
        machine = placement.machines.get(build)
        if machine is None or machine.draining or machine.removed:
            return
        if not machine.running:
            self.remove(placement, machine)
            return
        machine.draining = True
        self.on_change(machine, False)

        async def remove_later() -> None:
            await anyio.sleep(self._drain_time)
            self.remove(placement, machine)

        self._tasks.start_soon(remove_later)

    def remove(self, placement: Placement, machine: Machine) -> None:
        """End the machine's server and take the machine away."""
        if machine.removed:
            return
        machine.removed = True
        if placement.machines.get(machine.build) is machine:
            del placement.machines[machine.build]
        if machine.server is not None:
            machine.server.kill()
        self.on_change(machine, False)

    def crash(self, machine: Machine, length: float) -> None:
        """Kill the machine's server; it comes back cold after `length` seconds."""
        if machine.server is None or not machine.running:
            return
        machine.server.kill()

        async def start_again() -> None:
            await anyio.sleep(length)
            if not machine.removed and not machine.running:
                await self._start(machine, cold=True)

        self._tasks.start_soon(start_again)
