"""Assignment of many leases to instances: they spread evenly, and none moves back and forth."""

from __future__ import annotations

from collections import Counter
from collections.abc import AsyncIterator
from random import Random
from typing import Any

import anyio
import pytest

from gullmount.consensus.client import RegisterClient
from gullmount.consensus.registers import RegisterValue
from gullmount.leases.assignment import (
    MAX_LOSS_BACKOFF_TERMS,
    LossBackoff,
    claim_time,
    lease_to_request,
    should_hand_over,
)
from gullmount.leases.errors import LeaseLostError
from gullmount.leases.lease_manager import LeaseManager
from gullmount.scenarios.virtual_time import run_in_virtual_time
from tests.support.registers import InMemoryRegister, RegisterConnection
from tests.support.replicas import MEMBERS, ReplicaCluster, run_replica_cluster

TERM_SECONDS, MARGIN_SECONDS = 2.0, 0.3
LEASE_NAMES = [f"job-{index}" for index in range(12)]


class RegisterConnections:
    """The connections of one instance to several registers."""

    def __init__(self, registers_by_name: dict[str, InMemoryRegister], number: int) -> None:
        self.connections = {
            name: RegisterConnection(shared_register, number)
            for name, shared_register in registers_by_name.items()
        }

    async def read(self, register: str) -> RegisterValue:
        return await self.connections[register].read(register)

    async def change(self, register: str, expected_version: int, value: Any) -> tuple[bool, RegisterValue]:
        return await self.connections[register].change(register, expected_version, value)

    def watch(self, register: str) -> AsyncIterator[RegisterValue]:
        return self.connections[register].watch(register)


class Claimants:
    """Instances that all claim every lease.

    `acquisitions` records the time, the instance and the lease whenever an instance begins to hold one.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, names: list[str]) -> None:
        self.tasks = tasks
        self.registers = {name: InMemoryRegister() for name in names}
        self.scopes: dict[int, anyio.CancelScope] = {}
        self.acquisitions: list[tuple[float, int, str]] = []

    def start(self, number: int) -> None:
        self.scopes[number] = anyio.CancelScope()
        self.tasks.start_soon(self.run_claimant, number, self.scopes[number])

    async def run_claimant(self, number: int, scope: anyio.CancelScope) -> None:
        connections = RegisterConnections(self.registers, number)
        incarnation = f"{number} from {anyio.current_time()}"
        leases = LeaseManager(
            connections,
            number,
            incarnation,
            list(self.registers),
            term_seconds=TERM_SECONDS,
            margin_seconds=MARGIN_SECONDS,
            random=Random(number),
            clock=anyio.current_time,
        )

        async def hold_repeatedly(name: str) -> None:
            while True:
                try:
                    async with leases.hold(name):
                        self.acquisitions.append((anyio.current_time(), number, name))
                        await anyio.sleep_forever()
                except* LeaseLostError:
                    pass

        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leases.run)
                for name in self.registers:
                    tasks.start_soon(hold_repeatedly, name)

    def leases_per_holder(self) -> list[int]:
        lease_counts = Counter(
            shared_register.current.value["owner"] for shared_register in self.registers.values()
        )
        return sorted(lease_counts.values())


def run_claimants(scene: Any, names: list[str] = LEASE_NAMES) -> None:
    async def run_scene() -> None:
        async with anyio.create_task_group() as tasks:
            await scene(Claimants(tasks, names))
            tasks.cancel_scope.cancel()

    run_in_virtual_time(run_scene, 1)


def test_leases_spread_evenly_and_then_stay_where_they_are() -> None:
    async def scene(claimants: Claimants) -> None:
        for number in range(4):
            claimants.start(number)
        await anyio.sleep(60)
        assert (
            max(claimants.leases_per_holder()) - min(claimants.leases_per_holder()) < 2
            and sum(claimants.leases_per_holder()) == 12
        )
        settled_count = len(claimants.acquisitions)
        await anyio.sleep(200)
        assert len(claimants.acquisitions) == settled_count, "a lease moved though all was even"
        claimants.scopes[0].cancel()
        await anyio.sleep(60)
        assert claimants.leases_per_holder() == [4, 4, 4]
        claimants.start(0)
        await anyio.sleep(90)
        assert (
            max(claimants.leases_per_holder()) - min(claimants.leases_per_holder()) < 2
            and len(claimants.leases_per_holder()) == 4
        )
        assert len(claimants.acquisitions) - settled_count <= 3 + 12, "more moved than had to"

    run_claimants(scene)


def test_instance_that_keeps_losing_a_lease_rarely_claims_it() -> None:
    async def scene(claimants: Claimants) -> None:
        for number in range(3):
            claimants.start(number)
        register = claimants.registers["job"]
        for _ in range(60):
            await anyio.sleep(2)
            # The instance stays disconnected for longer than its term.
            register.disconnected.add(0)
            await anyio.sleep(3)
            register.disconnected.discard(0)
        claim_count = [number for _, number, _ in claimants.acquisitions].count(0)
        assert claim_count <= 4, claimants.acquisitions
        late_acquisitions = [at for at, _, _ in claimants.acquisitions if at > 100]
        assert len(late_acquisitions) <= 2

    run_claimants(scene, ["job"])


def test_one_of_a_hundred_claimants_holds_the_lease_and_another_takes_over_when_it_stops() -> None:
    """Guards against a thundering herd of claims at the replicas while a hundred instances wait."""
    holds: list[tuple[float, int, int]] = []

    async def scene(group: ReplicaCluster) -> None:
        scopes = [anyio.CancelScope() for _ in range(100)]

        async def run_claimant(number: int) -> None:
            client = RegisterClient(
                group.host_network(f"10.1.0.{number}"), list(MEMBERS.values()), Random(number), 1.0
            )
            lease_arguments = {
                "term_seconds": TERM_SECONDS,
                "margin_seconds": MARGIN_SECONDS,
                "random": Random(number),
                "clock": anyio.current_time,
            }
            leases = LeaseManager(client, number, f"life-{number}", ["judge"], **lease_arguments)  # type: ignore[arg-type]
            with scopes[number]:
                async with anyio.create_task_group() as tasks:
                    tasks.start_soon(leases.run)
                    while True:
                        try:
                            async with leases.hold("judge") as held:
                                holds.append((anyio.current_time(), number, held.token))
                                await anyio.sleep_forever()
                        except* LeaseLostError:
                            pass

        async with anyio.create_task_group() as tasks:
            for number in range(100):
                tasks.start_soon(run_claimant, number)
            await anyio.sleep(5)
            for _ in range(3):
                stopped_at, previous_holder = anyio.current_time(), holds[-1][1]
                scopes[previous_holder].cancel()
                await anyio.sleep(8)
                assert holds[-1][1] != previous_holder and holds[-1][0] - stopped_at < 4
            tasks.cancel_scope.cancel()

    run_replica_cluster(scene)
    assert [token for _, _, token in holds] == [1, 2, 3, 4]


def test_backoff_doubles_with_each_loss_up_to_a_limit_and_resets_after_a_long_hold() -> None:
    loss_backoff = LossBackoff(2.0)
    waits = []
    for _ in range(8):
        loss_backoff.record_lease_end(100.0, 1.0, True)
        waits.append(loss_backoff.claim_not_before - 100.0)
    assert waits[:3] == [2.0, 4.0, 8.0] and waits[-1] == 2.0 * MAX_LOSS_BACKOFF_TERMS
    loss_backoff.record_lease_end(100.0, 100.0, True)
    assert loss_backoff.claim_not_before == 102.0
    loss_backoff.record_lease_end(200.0, 5.0, False)
    assert loss_backoff.claim_not_before == 102.0


@pytest.mark.parametrize(
    ("holders", "requested", "expected_request"),
    [
        ({"a": 1, "b": 1, "c": 2}, (), "a"),
        ({"a": 1, "b": 1, "c": 2}, ("a",), "b"),
        ({"a": 1, "b": 1}, ("a", "b"), None),
        ({"a": 1, "b": 2, "c": None}, (), None),
        ({"a": None}, (), None),
    ],
)
def test_instance_with_two_fewer_leases_requests_one_that_is_not_requested_yet(
    holders: dict[str, Any], requested: Any, expected_request: str | None
) -> None:
    assert lease_to_request(3, holders, requested, 0.0) == expected_request
    assert should_hand_over(1, holders, 3) is (list(holders.values()).count(1) >= 2)


def test_lease_holders_claim_later_and_the_handover_target_claims_first() -> None:
    assert claim_time(5.0, True, 3, 3, 4, 0.9) == 5.0
    times = [
        claim_time(5.0, True, handed_to, 3, leases_held, 1.0)
        for handed_to, leases_held in ((None, 0), (None, 1), (4, 0))
    ]
    assert times == sorted(times) and times[0] - 5.0 < times[1] - times[0] < times[2] - times[0]
