"""Every order of messages, crashes and ticks on the core's own code; each planted defect is found."""

from __future__ import annotations

import pytest

from gullmount.rig import explore, explore_lease
from gullmount.rig.explore_all import PLANTS, explore_all


@pytest.mark.parametrize("restart", explore.RESTARTS)
def test_no_order_of_messages_lets_a_second_value_through(restart: str) -> None:
    explored = explore.explore(restart=restart)
    assert explored.whole and not explored.broken and explored.states > 900


def test_no_order_of_events_gives_a_job_two_owners() -> None:
    explored = explore_lease.explore_lease(speeds=explore_lease.SPEEDS[-1])
    assert explored.whole and not explored.broken and explored.states > 10_000


@pytest.mark.parametrize("plant", [plant for plant in PLANTS if plant != explore.PLANTS[1]])
def test_planted_defects_are_found(plant: str) -> None:
    assert any(explored.broken for explored in explore_all(plant).values())


def test_promise_that_is_not_on_the_disk_is_found() -> None:
    assert "both" in explore.explore(explore.PLANTS[1], "vouched").broken
