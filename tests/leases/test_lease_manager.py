"""Holders of a lease in virtual time: there is one at a time, and the next one takes over soon."""

from __future__ import annotations

from random import Random
from typing import Any

import anyio
import pytest

from gullmount.checker.owners import check_owners, takeovers
from gullmount.leases.errors import LeaseLostError
from gullmount.leases.held_lease import HeldLease
from gullmount.leases.lease import MAX_CLOCK_DRIFT
from gullmount.leases.lease_manager import LeaseManager
from gullmount.scenarios.virtual_time import run_in_virtual_time
from tests.support.registers import InMemoryRegister

TERM_SECONDS, MARGIN_SECONDS = 2.0, 0.3


class Fleet:
    """Instances that all claim one lease.

    `effects` records the time, the instance and the token of each effect that a holder sends.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup, count: int, clock_speeds: dict[int, float]) -> None:
        self.register = InMemoryRegister()
        self.effects: list[tuple[float, int, int]] = []
        self.scopes: list[anyio.CancelScope] = []
        for number in range(count):
            scope = anyio.CancelScope()
            self.scopes.append(scope)
            tasks.start_soon(self.run_instance, number, scope, clock_speeds.get(number, 1.0))

    async def run_instance(self, number: int, scope: anyio.CancelScope, clock_speed: float) -> None:
        leases = LeaseManager(
            self.register.connect(number),
            number,
            f"incarnation-{number}",
            ["judge"],
            term_seconds=TERM_SECONDS,
            margin_seconds=MARGIN_SECONDS,
            random=Random(number),
            clock=lambda: anyio.current_time() * clock_speed,
        )
        with scope:
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(leases.run)
                while True:
                    try:
                        async with leases.hold("judge") as held:
                            await self.send_effects(number, held)
                    except* LeaseLostError:
                        pass

    async def send_effects(self, number: int, held: HeldLease) -> None:
        while True:
            held.check()
            self.effects.append((anyio.current_time(), number, held.token))
            await anyio.sleep(0.02)

    def holder(self) -> int:
        return self.effects[-1][1]

    def effect_events(self) -> list[dict[str, Any]]:
        return [
            {"t": at, "ev": "effect", "job": "judge", "owner": holder, "token": token, "taken": True}
            for at, holder, token in self.effects
        ]


def run_fleet(scene: Any, count: int = 4, clock_speeds: dict[int, float] | None = None) -> Fleet:
    async def run_scene() -> Fleet:
        async with anyio.create_task_group() as tasks:
            fleet = Fleet(tasks, count, clock_speeds or {})
            await anyio.sleep(2)
            await scene(fleet)
            tasks.cancel_scope.cancel()
        return fleet

    fleet: Fleet = run_in_virtual_time(run_scene, 1)
    assert not [
        violation for finding in check_owners(fleet.effect_events()) for violation in finding.breaches
    ]
    return fleet


def test_one_of_a_hundred_instances_gets_the_lease_and_keeps_it_while_it_renews() -> None:
    async def scene(fleet: Fleet) -> None:
        await anyio.sleep(20)

    fleet = run_fleet(scene, count=100)
    assert {token for _, _, token in fleet.effects} == {1}


def test_released_lease_is_claimed_within_a_second() -> None:
    async def scene(fleet: Fleet) -> None:
        fleet.scopes[fleet.holder()].cancel()
        await anyio.sleep(1)

    assert max(takeovers(run_fleet(scene).effect_events(), "judge")) < 1


@pytest.mark.parametrize(
    "clock_speeds",
    [{}, {1: 1 + MAX_CLOCK_DRIFT, 2: 1 + MAX_CLOCK_DRIFT}, {0: 1 - MAX_CLOCK_DRIFT, 1: 1 + MAX_CLOCK_DRIFT}],
)
def test_disconnected_holder_stops_before_another_instance_begins(clock_speeds: dict[int, float]) -> None:
    async def scene(fleet: Fleet) -> None:
        for _ in range(3):
            fleet.register.disconnected = {fleet.holder()}
            await anyio.sleep(5)
        fleet.register.disconnected = {0, 1, 2, 3}
        await anyio.sleep(5)
        last_effect_at = fleet.effects[-1][0]
        assert anyio.current_time() - last_effect_at > 2, "nobody holds it while no replica is reached"
        fleet.register.disconnected = set()
        await anyio.sleep(3)

    fleet = run_fleet(scene, clock_speeds=clock_speeds)
    assert len({token for _, _, token in fleet.effects}) == 5
    *after_disconnects, after_outage = takeovers(fleet.effect_events(), "judge")
    assert all(0 < seconds < TERM_SECONDS for seconds in after_disconnects) and after_outage < 8


def test_renewal_whose_response_is_lost_keeps_the_lease() -> None:
    async def scene(fleet: Fleet) -> None:
        for _ in range(5):
            fleet.register.responses_to_lose = 1
            await anyio.sleep(2)

    assert {token for _, _, token in run_fleet(scene).effects} == {1}
