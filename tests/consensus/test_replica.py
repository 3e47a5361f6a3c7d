"""A group of replicas in virtual time: changes, deaths, storages."""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import pytest

from gullmount.checker.histories import check_history
from gullmount.consensus.config import ReplicaConfig
from gullmount.consensus.errors import (
    NoReplicaError,
    OutcomeUnknownError,
    StorageWriteError,
)
from gullmount.consensus.registers import RegisterValue
from gullmount.consensus.replica import Replica
from gullmount.consensus.storage import MemoryStorage
from gullmount.emulators.record import Record
from gullmount.fault_harness.probes import record_operation
from tests.support.replicas import (
    MEMBERS,
    KillingStorage,
    ReplicaCluster,
    run_replica_cluster,
)


def test_a_register_changes_only_over_the_version_expected() -> None:
    async def scene(group: ReplicaCluster) -> None:
        client = group.client()
        assert await client.read("job") == RegisterValue(0, None)
        assert await client.change("job", 0, "a") == (True, RegisterValue(1, "a"))
        assert await client.change("job", 0, "b") == (False, RegisterValue(1, "a"))
        assert await client.change("job", 1, None) == (True, RegisterValue(2, None))
        assert await client.read("other") == RegisterValue(0, None)

    run_replica_cluster(scene)


def test_of_many_changes_at_once_one_is_made() -> None:
    async def scene(group: ReplicaCluster) -> list[tuple[bool, RegisterValue]]:
        out: list[tuple[bool, RegisterValue]] = []

        async def change(number: int) -> None:
            client = group.client(number)
            client.preferred["job"] = number % 3
            out.append(await client.change("job", 0, number))

        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(change, number)
        return out

    for seed in range(3):
        out = run_replica_cluster(scene, seed)
        (winner,) = [told for done, told in out if done]
        assert {told for _, told in out} == {winner} and len(out) == 30


def test_without_a_majority_nothing_is_changed_and_what_was_comes_back() -> None:
    async def scene(group: ReplicaCluster) -> None:
        client = group.client()
        await client.change("job", 0, "a")
        group.kill(1, 2)
        with pytest.raises((NoReplicaError, OutcomeUnknownError)):
            await client.change("job", 1, "b")
        group.start(1, 2)
        await anyio.sleep(3)
        told = await client.read("job")
        assert told.value in ("a", "b")
        group.kill(*MEMBERS)
        await anyio.sleep(1)
        group.start(*MEMBERS)
        await anyio.sleep(3)
        assert await client.read("job") == told

    run_replica_cluster(scene)


@pytest.mark.parametrize("disk", ["blank", "older"])
def test_a_storage_that_lost_its_state_takes_no_part_until_both_others_told_theirs(disk: str) -> None:
    async def scene(group: ReplicaCluster) -> None:
        client = group.client()
        old = dict(group.storages[1].rows)
        await client.change("job", 0, "a")
        group.kill(1, 3)  # replica 2 and, until now, 1 or 3 know of it
        await anyio.sleep(1)
        group.storages[1] = MemoryStorage()
        if disk == "older":
            group.storages[1].rows = old
        group.start(1)
        await anyio.sleep(5)
        assert group.admitted(1) == 1
        with pytest.raises(NoReplicaError):
            await client.read("job")
        group.start(3)
        await anyio.sleep(3)
        group.kill(2)
        assert await client.read("job") == RegisterValue(1, "a")

    run_replica_cluster(scene)


def test_two_blank_storages_are_not_taken_for_new_replicas() -> None:
    async def scene(group: ReplicaCluster) -> None:
        group.kill(1, 2)
        await anyio.sleep(1)
        for number in (1, 2):
            group.storages[number] = MemoryStorage()
        group.start(1, 2)
        await anyio.sleep(20)
        assert group.admitted(1) == group.admitted(2) == 1

    run_replica_cluster(scene)


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("number", [1, 2])
def test_replica_killed_at_each_write_leaves_one_order(number: int, before: bool) -> None:
    """The proposer and an acceptor, at every write of two changes; then its disk as it is, or blank."""

    async def scene(group: ReplicaCluster, at: int, blank: bool) -> list[dict[str, Any]]:
        record, client = Record(), group.client()
        client.preferred["job"] = MEMBERS[1]
        group.kill(number)
        await anyio.sleep(1)
        rows = group.storages[number].rows
        group.storages[number] = KillingStorage(rows, at + 2, before, lambda: group.kill(number))
        group.start(number)
        await anyio.sleep(2)

        async def ask(name: str, expect: int | None) -> None:
            change = {} if expect is None else {"expect": expect, "value": name}
            await record_operation(client, record, "job", name, change)

        for name in ("a", "b"):
            await ask(name, (await client.read("job")).version)
        group.storages[number] = MemoryStorage()
        if not blank:
            group.storages[number].rows = rows
        group.kill(number)
        await anyio.sleep(1)
        group.start(number)
        await anyio.sleep(3)
        other = 3 - number
        group.kill(other)
        await ask("c", None)
        await ask("d", (await client.read("job")).version)
        await ask("e", None)
        return record.events

    for at in range(1, 9):
        for blank in (True, False):
            events = run_replica_cluster(lambda group, at=at, blank=blank: scene(group, at, blank))
            assert check_history(events).breaches == [], (at, blank)
            ends = [event["end"] for event in events if event["ev"] == "op_end"]
            assert ends[-3:] == ["done"] * 3, (at, blank, events)


def test_a_full_disk_ends_the_replica_before_it_answers_anything() -> None:
    class Full(MemoryStorage):
        def write(self, rows: dict[str, Any]) -> None:
            raise StorageWriteError("no space left")

    async def scene(group: ReplicaCluster) -> None:
        rows = dict(group.storages[2].rows)
        group.storages[2] = Full()
        group.storages[2].rows = rows
        replica = Replica(
            ReplicaConfig(number=2, group="g", members=MEMBERS, disk="none"),
            net=group.host_network("10.0.0.2"),
            storage=group.storages[2],
            random=Random(1),
        )
        group.kill(2)
        await anyio.sleep(0.1)
        with pytest.raises(BaseExceptionGroup):
            await replica.run()
        assert replica.acceptor.failed and not replica.acceptor.admitted.is_set()

    run_replica_cluster(scene)
