"""Tests a group of replicas in virtual time through changes, kills and storage faults."""

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


def test_register_changes_only_at_the_expected_version() -> None:
    async def script(group: ReplicaCluster) -> None:
        client = group.client()
        assert await client.read("job") == RegisterValue(0, None)
        assert await client.change("job", 0, "a") == (True, RegisterValue(1, "a"))
        assert await client.change("job", 0, "b") == (False, RegisterValue(1, "a"))
        assert await client.change("job", 1, None) == (True, RegisterValue(2, None))
        assert await client.read("other") == RegisterValue(0, None)

    run_replica_cluster(script)


def test_one_of_many_concurrent_changes_is_made() -> None:
    async def script(group: ReplicaCluster) -> list[tuple[bool, RegisterValue]]:
        results: list[tuple[bool, RegisterValue]] = []

        async def change(number: int) -> None:
            client = group.client(number)
            client.preferred["job"] = number % 3
            results.append(await client.change("job", 0, number))

        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(change, number)
        return results

    for seed in range(3):
        results = run_replica_cluster(script, seed)
        (chosen,) = [register for changed, register in results if changed]
        assert {register for _, register in results} == {chosen} and len(results) == 30


def test_change_without_a_majority_fails_and_the_register_survives_restarts() -> None:
    async def script(group: ReplicaCluster) -> None:
        client = group.client()
        await client.change("job", 0, "a")
        group.kill(1, 2)
        with pytest.raises((NoReplicaError, OutcomeUnknownError)):
            await client.change("job", 1, "b")
        group.start(1, 2)
        await anyio.sleep(3)
        register = await client.read("job")
        assert register.value in ("a", "b")
        group.kill(*MEMBERS)
        await anyio.sleep(1)
        group.start(*MEMBERS)
        await anyio.sleep(3)
        assert await client.read("job") == register

    run_replica_cluster(script)


@pytest.mark.parametrize("disk", ["blank", "older"])
def test_replica_with_lost_state_is_admitted_only_after_both_others_sent_their_state(disk: str) -> None:
    async def script(group: ReplicaCluster) -> None:
        client = group.client()
        older_rows = dict(group.storages[1].rows)
        await client.change("job", 0, "a")
        # Replica 2 knows the change, and so did replica 1 or 3 until now.
        group.kill(1, 3)
        await anyio.sleep(1)
        group.storages[1] = MemoryStorage()
        if disk == "older":
            group.storages[1].rows = older_rows
        group.start(1)
        await anyio.sleep(5)
        assert group.admitted(1) == 1
        with pytest.raises(NoReplicaError):
            await client.read("job")
        group.start(3)
        await anyio.sleep(3)
        group.kill(2)
        assert await client.read("job") == RegisterValue(1, "a")

    run_replica_cluster(script)


def test_two_replicas_with_blank_storage_are_not_admitted_as_new() -> None:
    async def script(group: ReplicaCluster) -> None:
        group.kill(1, 2)
        await anyio.sleep(1)
        for number in (1, 2):
            group.storages[number] = MemoryStorage()
        group.start(1, 2)
        await anyio.sleep(20)
        assert group.admitted(1) == group.admitted(2) == 1

    run_replica_cluster(script)


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("number", [1, 2])
def test_history_has_one_order_when_a_replica_is_killed_at_any_write(number: int, before: bool) -> None:
    """Kills the proposer or an acceptor at each write of two changes, then restarts it.

    The replica restarts with its disk as it was, or with a blank one.
    """

    async def script(group: ReplicaCluster, write_number: int, blank: bool) -> list[dict[str, Any]]:
        record, client = Record(), group.client()
        client.preferred["job"] = MEMBERS[1]
        group.kill(number)
        await anyio.sleep(1)
        rows = group.storages[number].rows
        group.storages[number] = KillingStorage(rows, write_number + 2, before, lambda: group.kill(number))
        group.start(number)
        await anyio.sleep(2)

        async def perform_operation(name: str, expected_version: int | None) -> None:
            change = {} if expected_version is None else {"expect": expected_version, "value": name}
            await record_operation(client, record, "job", name, change)

        for name in ("a", "b"):
            await perform_operation(name, (await client.read("job")).version)
        group.storages[number] = MemoryStorage()
        if not blank:
            group.storages[number].rows = rows
        group.kill(number)
        await anyio.sleep(1)
        group.start(number)
        await anyio.sleep(3)
        other = 3 - number
        group.kill(other)
        await perform_operation("c", None)
        await perform_operation("d", (await client.read("job")).version)
        await perform_operation("e", None)
        return record.events

    for write_number in range(1, 9):
        for blank in (True, False):
            events = run_replica_cluster(
                lambda group, write_number=write_number, blank=blank: script(group, write_number, blank)
            )
            assert check_history(events).breaches == [], (write_number, blank)
            outcomes = [event["end"] for event in events if event["ev"] == "op_end"]
            assert outcomes[-3:] == ["done"] * 3, (write_number, blank, events)


def test_failed_storage_write_ends_the_replica_before_it_answers() -> None:
    class FullStorage(MemoryStorage):
        def write(self, rows: dict[str, Any]) -> None:
            raise StorageWriteError("no space left")

    async def script(group: ReplicaCluster) -> None:
        rows = dict(group.storages[2].rows)
        group.storages[2] = FullStorage()
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

    run_replica_cluster(script)
