"""Tests of group changes: replicas join, leave or replace another, while replicas are killed."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import anyio
import pytest

from gullmount.checker.histories import check_history
from gullmount.consensus.errors import (
    GroupChangeRejectedError,
    NoReplicaError,
    OutcomeUnknownError,
)
from gullmount.consensus.group_client import ReplicaGroupClient
from gullmount.consensus.registers import RegisterValue
from gullmount.consensus.storage import MemoryStorage
from gullmount.emulators.record import Record
from gullmount.fault_harness.probes import record_operation
from gullmount.fault_harness.processes import Process
from tests.support.fault_block import reserve_harness_block
from tests.support.replicas import (
    FOUR_FOR_ONE,
    MEMBERS,
    KillingStorage,
    ReplicaCluster,
    group_client,
    run_replica_cluster,
)


def test_group_replaces_a_replica_and_grows_to_five() -> None:
    async def scene(group: ReplicaCluster) -> None:
        client, operator = group.client(), group_client(group)
        await client.change("job", 0, "a")
        group.start(4, 5)
        await anyio.sleep(0.5)
        await operator.change(lambda now: FOUR_FOR_ONE)
        assert (await operator.wait_until_settled()).current == FOUR_FOR_ONE
        group.kill(1, 3)
        await anyio.sleep(0.5)
        group.start(3)
        await anyio.sleep(2)
        client.addresses = list(FOUR_FOR_ONE.values())
        assert await client.change("job", 1, "b") == (True, RegisterValue(2, "b"))
        await operator.change(lambda now: {**now, 5: "10.0.0.5:7299"})
        await operator.wait_until_settled()
        group.start(6)
        await anyio.sleep(1)
        await operator.change(lambda now: {**now, 6: "10.0.0.6:7299"})
        assert sorted((await operator.wait_until_settled()).current) == [2, 3, 4, 5, 6]
        await anyio.sleep(2)
        # Five replicas tolerate the loss of two.
        group.kill(2, 3)
        client.addresses = [f"10.0.0.{one}:7299" for one in (4, 5, 6)]
        assert await client.change("job", 2, "c") == (True, RegisterValue(3, "c"))

    run_replica_cluster(scene)


def test_invalid_change_is_rejected_with_a_reason_and_one_of_two_concurrent_changes_begins() -> None:
    async def scene(group: ReplicaCluster) -> None:
        first_operator, second_operator = group_client(group), group_client(group)
        with pytest.raises(GroupChangeRejectedError, match="replica 4 does not answer"):
            await first_operator.change(lambda now: FOUR_FOR_ONE)
        group.start(4, 5)
        await anyio.sleep(1)
        outcomes: list[str] = []

        async def ask(group_operator: ReplicaGroupClient, members: dict[int, str]) -> None:
            try:
                await group_operator.change(lambda now: members)
                outcomes.append("begun")
            except GroupChangeRejectedError as error:
                outcomes.append(str(error))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, first_operator, FOUR_FOR_ONE)
            tasks.start_soon(ask, second_operator, {**MEMBERS, 5: "10.0.0.5:7299"})
        assert sorted(outcomes)[-1] == "begun" and outcomes.count("begun") == 1
        now = (await first_operator.wait_until_settled()).current
        assert now in (FOUR_FOR_ONE, {**MEMBERS, 5: "10.0.0.5:7299"})

    run_replica_cluster(scene)


def test_change_without_a_majority_completes_once_the_replicas_are_back() -> None:
    async def scene(group: ReplicaCluster) -> None:
        operator = group_client(group)
        store = group.storages[4] = MemoryStorage()
        group.start(4)
        await anyio.sleep(1)
        # Of the new set, replica 2 remains, and replica 4 until it is killed below.
        group.kill(3)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(operator.change, lambda now: FOUR_FOR_ONE)
            while not store.rows.get("group"):
                await anyio.sleep(0.001)
            group.kill(4)
        with pytest.raises(NoReplicaError):
            await operator.undo()
        with pytest.raises(NoReplicaError):
            await group.client().change("job", 0, "a")
        group.start(3, 4)
        with anyio.fail_after(20):
            assert (await operator.wait_until_settled()).current == FOUR_FOR_ONE

    run_replica_cluster(scene)


def test_change_under_way_is_reverted_by_undo() -> None:
    async def scene(group: ReplicaCluster) -> None:
        class DriverKillingStorage(MemoryStorage):
            """Storage of the joining replica. It kills replica 1 as soon as it has stored the new group.

            Replica 1 drives the change; other replicas take over later.
            """

            async def save(self, rows: dict[str, Any]) -> None:
                await super().save(rows)
                if "group" in rows and not group.scopes[1].cancel_called:
                    group.kill(1)

        operator = group_client(group)
        group.storages[4] = DriverKillingStorage()
        group.start(4)
        await anyio.sleep(1)
        with pytest.raises(GroupChangeRejectedError, match="no change is under way"):
            await operator.undo()
        operator.addresses = [MEMBERS[1], *operator.addresses]
        with anyio.move_on_after(1):
            try:
                await operator.change(lambda now: FOUR_FOR_ONE)
            except OutcomeUnknownError:
                pass
        assert (await operator.show()).next == FOUR_FOR_ONE
        assert (await operator.undo()).current == MEMBERS
        await anyio.sleep(10)
        group.start(1)
        await anyio.sleep(3)
        assert (await operator.show()).current == MEMBERS
        assert await group.client().change("job", 0, "a") == (True, RegisterValue(1, "a"))

    run_replica_cluster(scene)


@pytest.mark.parametrize("before_write", [True, False])
@pytest.mark.parametrize("killed_replica", [1, 2])
def test_group_settles_with_consistent_registers_after_a_kill_at_any_write(
    killed_replica: int, before_write: bool
) -> None:
    """Kills a replica at each write of a change, before or after the write reaches the disk.

    Replica 1 drives the change and leaves by it; replica 2 stays. The killed replica is restarted later with
    its disk as it is, or with a blank one.
    """

    async def scene(
        group: ReplicaCluster, write_number: int, blank: bool
    ) -> tuple[list[dict[str, Any]], int]:
        record, client, operator = Record(), group.client(), group_client(group)
        operator.addresses = [MEMBERS[1], *operator.addresses]

        async def ask(name: str, expect: int | None) -> RegisterValue:
            change = {} if expect is None else {"expect": expect, "value": name}
            return await record_operation(client, record, "job", name, change)

        await ask("a", 0)
        group.start(4)
        await anyio.sleep(0.5)
        rows = group.storages[killed_replica].rows
        store = KillingStorage(rows, write_number + 2, before_write, lambda: group.kill(killed_replica))
        group.kill(killed_replica)
        await anyio.sleep(0.5)
        group.storages[killed_replica] = store
        group.start(killed_replica)
        await anyio.sleep(2)
        with anyio.move_on_after(5):
            try:
                await operator.change(lambda now: FOUR_FOR_ONE)
            except (OutcomeUnknownError, NoReplicaError):
                pass
        await ask("b", (await ask("c", None)).version)
        group.kill(killed_replica)
        await anyio.sleep(0.5)
        group.storages[killed_replica] = MemoryStorage()
        if not blank:
            group.storages[killed_replica].rows = rows
        group.start(killed_replica)
        await anyio.sleep(1)
        # Another replica completes the change without the operator.
        with anyio.fail_after(20):
            now = (await operator.wait_until_settled()).current
        assert now in (MEMBERS, FOUR_FOR_ONE)
        client.addresses = list(now.values())
        await anyio.sleep(3)
        group.kill(2 if now == MEMBERS else 3)
        last = await ask("d", None)
        await ask("e", last.version)
        assert (await ask("f", None)).value == "e"
        return record.events, store.writes_left

    finished = 0
    for write_number in range(1, 14):
        for blank in (True, False):
            events, left = run_replica_cluster(
                lambda group, write_number=write_number, blank=blank: scene(group, write_number, blank)
            )
            assert check_history(events).breaches == [], (write_number, blank)
            finished += left <= 0
    assert finished > 12, "too few replicas were killed during the change"


def test_group_command_replaces_a_replica_of_a_process_group(tmp_path: Path) -> None:
    block = f"{reserve_harness_block()}.5"
    members = {number: f"{block}.{number}:7299" for number in (1, 2, 3)}
    processes: dict[int, Process] = {}

    def begin(number: int, *options: str) -> None:
        config = {"number": number, "group": "g", "members": members, "disk": str(tmp_path / str(number))}
        config |= {"listen": f"{block}.{number}:7299"}
        file = tmp_path / f"{number}.yaml"
        file.write_text(json.dumps(config))
        processes[number] = Process(["keeper", str(file), *options], tmp_path / f"{number}.log")

    def group(*arguments: str) -> subprocess.CompletedProcess[str]:
        command = [sys.executable, "-m", "gullmount", "group", *arguments]
        return subprocess.run(command, capture_output=True, text=True, timeout=60, check=False)

    try:
        for number in members:
            begin(number, "--found")
        begin(4)
        for _ in range(40):
            shown = group("show", str(tmp_path / "1.yaml"), "--json")
            if shown.returncode == 0:
                break
        assert json.loads(shown.stdout)["now"].keys() == {"1", "2", "3"}, shown.stderr
        rejected = group("leave", str(tmp_path / "1.yaml"), "3")
        assert rejected.returncode == 1 and "3 to 5 are a group" in rejected.stderr
        invalid = group("join", str(tmp_path / "1.yaml"), "4", "nowhere")
        assert invalid.returncode == 2 and "nowhere" in invalid.stderr
        address = f"{block}.4:7299"
        completed = group("join", str(tmp_path / "2.yaml"), "4", address, "--in-place-of", "1", "--json")
        assert completed.returncode == 0, completed.stdout + completed.stderr
        assert json.loads(completed.stdout)["now"].keys() == {"2", "3", "4"}
        processes.pop(1).kill()
        processes.pop(2).kill()
        begin(2)
        for _ in range(40):
            shown = group("show", str(tmp_path / "2.yaml"), "--json")
            if shown.returncode == 0:
                break
        assert json.loads(shown.stdout)["revision"] == 2
    finally:
        for process in processes.values():
            process.kill()
