"""The group changes: one joins, leaves or takes another's place, while replicas die."""

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


def test_a_replica_takes_anothers_place_and_the_group_grows_to_five() -> None:
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
        group.kill(2, 3)  # what five bear
        client.addresses = [f"10.0.0.{one}:7299" for one in (4, 5, 6)]
        assert await client.change("job", 2, "c") == (True, RegisterValue(3, "c"))

    run_replica_cluster(scene)


def test_a_change_that_cannot_be_made_says_why_and_two_at_once_are_one() -> None:
    async def scene(group: ReplicaCluster) -> None:
        one, other = group_client(group), group_client(group)
        with pytest.raises(GroupChangeRejectedError, match="replica 4 does not answer"):
            await one.change(lambda now: FOUR_FOR_ONE)
        group.start(4, 5)
        await anyio.sleep(1)
        ends: list[str] = []

        async def ask(who: ReplicaGroupClient, members: dict[int, str]) -> None:
            try:
                await who.change(lambda now: members)
                ends.append("begun")
            except GroupChangeRejectedError as why:
                ends.append(str(why))

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(ask, one, FOUR_FOR_ONE)
            tasks.start_soon(ask, other, {**MEMBERS, 5: "10.0.0.5:7299"})
        assert sorted(ends)[-1] == "begun" and ends.count("begun") == 1
        now = (await one.wait_until_settled()).current
        assert now in (FOUR_FOR_ONE, {**MEMBERS, 5: "10.0.0.5:7299"})

    run_replica_cluster(scene)


def test_a_change_without_a_majority_waits_and_is_completed_once_they_are_back() -> None:
    async def scene(group: ReplicaCluster) -> None:
        operator = group_client(group)
        store = group.storages[4] = MemoryStorage()
        group.start(4)
        await anyio.sleep(1)
        group.kill(3)  # of the new set one is left beside the one that dies now
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


def test_a_change_under_way_is_reverted() -> None:
    async def scene(group: ReplicaCluster) -> None:
        class Deadly(MemoryStorage):
            """Of who joins: who drives the change dies as soon as it is told; others take over later."""

            async def save(self, rows: dict[str, Any]) -> None:
                await super().save(rows)
                if "group" in rows and not group.scopes[1].cancel_called:
                    group.kill(1)

        operator = group_client(group)
        group.storages[4] = Deadly()
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


@pytest.mark.parametrize("before", [True, False])
@pytest.mark.parametrize("dies", [1, 2])
def test_a_replica_killed_at_each_write_of_a_change_leaves_it_complete(dies: int, before: bool) -> None:
    """Who drives the change, which leaves by it, and one that stays; then its disk as it is, or blank."""

    async def scene(group: ReplicaCluster, at: int, blank: bool) -> tuple[list[dict[str, Any]], int]:
        record, client, operator = Record(), group.client(), group_client(group)
        operator.addresses = [MEMBERS[1], *operator.addresses]

        async def ask(name: str, expect: int | None) -> RegisterValue:
            change = {} if expect is None else {"expect": expect, "value": name}
            return await record_operation(client, record, "job", name, change)

        await ask("a", 0)
        group.start(4)
        await anyio.sleep(0.5)
        rows = group.storages[dies].rows
        store = KillingStorage(rows, at + 2, before, lambda: group.kill(dies))
        group.kill(dies)
        await anyio.sleep(0.5)
        group.storages[dies] = store
        group.start(dies)
        await anyio.sleep(2)
        with anyio.move_on_after(5):
            try:
                await operator.change(lambda now: FOUR_FOR_ONE)
            except (OutcomeUnknownError, NoReplicaError):
                pass
        await ask("b", (await ask("c", None)).version)
        group.kill(dies)
        await anyio.sleep(0.5)
        group.storages[dies] = MemoryStorage()
        if not blank:
            group.storages[dies].rows = rows
        group.start(dies)
        await anyio.sleep(1)
        with anyio.fail_after(20):  # another finishes it, without the operator
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
    for at in range(1, 14):
        for blank in (True, False):
            events, left = run_replica_cluster(lambda group, at=at, blank=blank: scene(group, at, blank))
            assert check_history(events).breaches == [], (at, blank)
            finished += left <= 0
    assert finished > 12, "hardly any death came in the middle"


def test_the_command_replaces_a_replica_on_processes(tmp_path: Path) -> None:
    block = f"{reserve_harness_block()}.5"
    members = {number: f"{block}.{number}:7299" for number in (1, 2, 3)}
    processes: dict[int, Process] = {}

    def begin(number: int, *found: str) -> None:
        told = {"number": number, "group": "g", "members": members, "disk": str(tmp_path / str(number))}
        told |= {"listen": f"{block}.{number}:7299"}
        file = tmp_path / f"{number}.yaml"
        file.write_text(json.dumps(told))
        processes[number] = Process(["keeper", str(file), *found], tmp_path / f"{number}.log")

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
        refused = group("leave", str(tmp_path / "1.yaml"), "3")
        assert refused.returncode == 1 and "3 to 5 are a group" in refused.stderr
        bad = group("join", str(tmp_path / "1.yaml"), "4", "nowhere")
        assert bad.returncode == 2 and "nowhere" in bad.stderr
        place = f"{block}.4:7299"
        done = group("join", str(tmp_path / "2.yaml"), "4", place, "--in-place-of", "1", "--json")
        assert done.returncode == 0, done.stdout + done.stderr
        assert json.loads(done.stdout)["now"].keys() == {"2", "3", "4"}
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
