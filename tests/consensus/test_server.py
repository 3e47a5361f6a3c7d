"""Tests of requests that a replica must reject."""

from __future__ import annotations

import anyio
import pytest

from gullmount.consensus.errors import (
    NoReplicaError,
    OutcomeUnknownError,
)
from gullmount.consensus.log_events import LogEvent
from gullmount.consensus.membership import (
    GROUP,
)
from gullmount.consensus.registers import RegisterValue
from gullmount.rpc import call
from tests.support.replicas import (
    MEMBERS,
    ReplicaCluster,
    group_client,
    run_replica_cluster,
)


@pytest.mark.parametrize(
    "message",
    [
        b"",
        b"[]",
        b"{",
        b'{"v":2}',
        b'{"v":1,"from":2,"group":"g","do":"prepare","register":"job"}',
        b'{"v":1,"from":2,"group":"g","do":"prepare","register":"job","ballot":[1,2]}',
        b'{"v":1,"from":2,"group":"g","do":"prepare","register":"job","ballot":[1,true,0]}',
        b'{"v":1,"from":2,"group":"g","do":"prepare","register":"","ballot":[1,2,0]}',
        b'{"v":1,"from":2,"group":"other","do":"join","life":3}',
        b'{"v":1,"from":7,"group":"g","do":"join","life":3}',
        # Sent from another address than replica 3 has.
        b'{"v":1,"from":3,"group":"g","do":"join","life":3}',
        b'{"v":1,"from":2,"group":"g","do":"forget"}',
        b"[" * 70000,
    ],
)
def test_invalid_messages_are_rejected_and_change_nothing(message: bytes) -> None:
    async def scene(group: ReplicaCluster) -> None:
        before = dict(group.storages[1].rows)
        with anyio.move_on_after(2):
            try:
                status, _ = await call(
                    group.host_network("10.0.0.2"), MEMBERS[1], "POST", "/v1/keeper", message
                )
                assert status == 400
            except Exception:
                assert len(message) > 65536
        assert group.storages[1].rows == before
        assert await group.client().change("job", 0, "a") == (True, RegisterValue(1, "a"))

    run_replica_cluster(scene)


def test_group_register_cannot_be_changed_by_a_register_request() -> None:
    async def scene(group: ReplicaCluster) -> None:
        with pytest.raises((OutcomeUnknownError, NoReplicaError)):
            await group.client().change(GROUP, 0, {"now": [], "next": []})
        assert (await group_client(group).show()).current == MEMBERS
        assert LogEvent.REQUEST_INVALID in [event for _, event, _ in group.logs]

    run_replica_cluster(scene)


def test_replica_keeps_serving_after_a_watch_request_without_a_register() -> None:
    async def scene(group: ReplicaCluster) -> None:
        with anyio.move_on_after(2):
            await call(group.host_network("10.0.0.2"), MEMBERS[1], "GET", "/v1/watch?register=")
        assert await group.client().change("job", 0, "a") == (True, RegisterValue(1, "a"))

    run_replica_cluster(scene)
