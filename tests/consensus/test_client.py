"""Tests of register clients while replicas start, die, join and leave."""

from __future__ import annotations

from typing import Any

import anyio

from gullmount.consensus.registers import RegisterValue
from tests.support.replicas import (
    FOUR_FOR_ONE,
    MEMBERS,
    ReplicaCluster,
    group_client,
    run_replica_cluster,
)


def test_watch_resumes_after_a_break_and_tells_the_last_value() -> None:
    async def scene(group: ReplicaCluster) -> list[RegisterValue]:
        client, seen = group.client(), []

        async def watch() -> None:
            async for update in client.watch("job"):
                seen.append(update)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            for version in range(4):
                number = version % 3 + 1
                group.kill(number)
                await anyio.sleep(0.5)
                assert (await group.client().change("job", version, version))[0]
                group.start(number)
                await anyio.sleep(3)
            tasks.cancel_scope.cancel()
        return seen

    seen = run_replica_cluster(scene)
    assert seen[-1] == RegisterValue(4, 3) and [update.version for update in seen] == sorted(
        {update.version for update in seen}
    )


def test_a_client_follows_the_new_group_and_a_replica_that_left_tells_nothing() -> None:
    """A watch at a replica that has left, or is cut off, must end instead of staying silent for ever."""

    async def scene(group: ReplicaCluster) -> None:
        seen: list[Any] = []
        client, writer = group.client(1), group.client(2)
        client.preferred["job"] = MEMBERS[1]

        async def watch() -> None:
            async for update in client.watch("job"):
                seen.append(update.value)

        async with anyio.create_task_group() as tasks:
            tasks.start_soon(watch)
            tasks.start_soon(client.follow_group)
            await writer.change("job", 0, "a")
            group.start(4)
            await group_client(group).change(lambda now: FOUR_FOR_ONE)
            await group_client(group).wait_until_settled()
            await anyio.sleep(3)
            assert client.addresses == list(FOUR_FOR_ONE.values())
            writer.addresses = list(FOUR_FOR_ONE.values())
            await writer.change("job", 1, "b")
            await anyio.sleep(8)
            tasks.cancel_scope.cancel()
        assert seen[-1] == "b"

    run_replica_cluster(scene)
