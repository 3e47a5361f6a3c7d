"""Runs replicas in memory and in virtual time, and lets tests kill them and replace their storage."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from random import Random
from typing import Any

import anyio

from gullmount.consensus.client import RegisterClient
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.group_client import ReplicaGroupClient
from gullmount.consensus.log_events import LogEvent
from gullmount.consensus.membership import ReplicaGroup
from gullmount.consensus.replica import Replica
from gullmount.consensus.storage import MemoryStorage
from gullmount.emulators.links import HostNetwork, NetworkLinks
from gullmount.net import MemoryNet
from gullmount.scenarios.virtual_time import run_in_virtual_time

MEMBERS = {number: f"10.0.0.{number}:7299" for number in (1, 2, 3)}
THREE = ReplicaGroup(0, MEMBERS, {})
WITH_FOUR = {**MEMBERS, 4: "10.0.0.4:7299"}
FOUR_FOR_ONE = {number: address for number, address in WITH_FOUR.items() if number != 1}


class ReplicaCluster:
    """Runs three replicas in memory. Their tasks can be killed, and their storages outlive them."""

    def __init__(self, tasks: anyio.abc.TaskGroup) -> None:
        self.tasks = tasks
        self.links = NetworkLinks(MemoryNet(), 1)
        self.storages: dict[int, MemoryStorage] = {number: MemoryStorage() for number in MEMBERS}
        self.scopes: dict[int, anyio.CancelScope] = {}
        self.logs: list[tuple[int, str, dict[str, Any]]] = []
        self.incarnation = 0

    def host_network(self, host: str) -> HostNetwork:
        return HostNetwork(self.links, host, host, "a", self.tasks)

    def start(self, *numbers: int, bootstrap: bool = False) -> None:
        for number in numbers:
            self.scopes[number] = anyio.CancelScope()
            self.tasks.start_soon(self._run_replica, number, bootstrap, self.scopes[number])

    async def _run_replica(self, number: int, bootstrap: bool, scope: anyio.CancelScope) -> None:
        self.incarnation += 1
        listen_address = f"10.0.0.{number}:7299"
        config = ReplicaConfig(number=number, group="g", members=MEMBERS, disk="none", listen=listen_address)

        def log(event: str, **fields: Any) -> None:
            self.logs.append((number, event, fields))

        with scope:
            random = Random(self.incarnation)
            network = self.host_network(f"10.0.0.{number}")
            storage = self.storages.setdefault(number, MemoryStorage())
            replica = Replica(
                config, net=network, storage=storage, random=random, log=log, bootstrap=bootstrap
            )
            await replica.run()

    def kill(self, *numbers: int) -> None:
        for number in numbers:
            self.scopes[number].cancel()

    def client(self, seed: int = 9) -> RegisterClient:
        return RegisterClient(self.host_network("10.0.9.9"), list(MEMBERS.values()), Random(seed), 3.0)

    def admitted(self, number: int) -> int:
        return sum(
            replica_number == number and event == LogEvent.REPLICA_ADMITTED
            for replica_number, event, _ in self.logs
        )


def run_replica_cluster(script: Callable[[ReplicaCluster], Awaitable[Any]], seed: int = 1) -> Any:
    """Run a script on a new group of three replicas in virtual time; return the result of the script."""

    async def run_script() -> Any:
        async with anyio.create_task_group() as tasks:
            cluster = ReplicaCluster(tasks)
            cluster.start(*MEMBERS, bootstrap=True)
            await anyio.sleep(2)
            result = await script(cluster)
            tasks.cancel_scope.cancel()
        return result

    return run_in_virtual_time(run_script, seed)


def group_client(cluster: ReplicaCluster) -> ReplicaGroupClient:
    """Return an operator's client that knows all four addresses."""
    return ReplicaGroupClient(cluster.host_network("10.0.9.8"), list(WITH_FOUR.values()), 3.0)


class KillingStorage(MemoryStorage):
    """Kills its replica at one write, before or after the rows are stored, but before any answer."""

    def __init__(
        self, rows: dict[str, bytes], fatal_write: int, kill_before_write: bool, kill: Callable[[], None]
    ) -> None:
        super().__init__()
        self.rows = rows
        self.writes_left = fatal_write
        self.kill_before_write = kill_before_write
        self.kill = kill

    async def save(self, rows: dict[str, Any]) -> None:
        self.writes_left -= 1
        if self.writes_left or not self.kill_before_write:
            self.write(rows)
        if not self.writes_left:
            self.kill()
            await anyio.sleep(1)
