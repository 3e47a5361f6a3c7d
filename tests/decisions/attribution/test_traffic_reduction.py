"""When the traffic of a candidate is reduced, by which instance, and for how long."""

from __future__ import annotations

from gullmount.decisions.attribution import Assessment, Cause, Finding
from gullmount.decisions.attribution.attribution import Attribution
from gullmount.decisions.attribution.traffic_reduction import (
    UNKNOWN_CAUSE_SECONDS,
    TrafficReduction,
    can_absorb,
)
from tests.support.attribution_scene import TrafficSimulation, simulation_with_leader


def build_to_reduce(attribution: Attribution, now: float) -> int:
    """Return the build that is reduced if the cause is unknown and build 3 is the most likely one."""
    return attribution.build_to_reduce(now, Finding(Cause.UNKNOWN, 3), (), can_absorb_traffic=True)


def test_traffic_can_be_absorbed_only_with_enough_released_servers() -> None:
    simulation = TrafficSimulation()
    older, newer = simulation.candidates
    older.traffic_share, newer.traffic_share = 0.5, 0.1
    assert can_absorb(newer, simulation.candidates, simulation.servers)
    few_servers = [server for server in simulation.servers if server.build > 1 or server.id in ("a0", "b1")]
    assert not can_absorb(older, simulation.candidates, few_servers)


def test_one_evaluator_at_a_time_reduces_traffic() -> None:
    simulation = TrafficSimulation(instance_count=3)
    second = simulation.attributions[1]
    unknown = Finding(Cause.UNKNOWN, 3)
    for announced_build in (0, 2, 0):
        simulation.now += 5.0
        second.receive_assessment(simulation.now, 0, Assessment(unknown, reduced_build=announced_build))
        assert build_to_reduce(second, simulation.now) == announced_build
    # The assessment of the first evaluator has expired.
    simulation.now += 10.0
    assert build_to_reduce(second, simulation.now) == 0
    simulation.now += 3.0
    assert build_to_reduce(second, simulation.now) == 3


def test_new_leader_continues_a_reduction_and_starts_no_other() -> None:
    simulation = simulation_with_leader(leader=1)
    requests: list[int] = []
    first, second = simulation.attributions[1:3]
    first.set_reduction_request_callback(requests.append)
    second.set_reduction_request_callback(requests.append)
    assert build_to_reduce(first, simulation.now) == 0
    simulation.now += 3.0
    # The reduction does not begin before the request is stored.
    assert build_to_reduce(first, simulation.now) == 0 and requests == [3]
    first.begin_traffic_reduction(simulation.now, 3)
    assert build_to_reduce(first, simulation.now) == 3
    second.set_leader(simulation.now, 2, 6, reduced_build=3)
    simulation.now += 3.0
    assert build_to_reduce(second, simulation.now) == 3 and requests == [3]
    simulation.now += 3.0
    assert build_to_reduce(second, simulation.now) == 0 and requests == [3, 0]
    simulation.now += 1.5
    assert build_to_reduce(second, simulation.now) == 0 and requests == [3, 0], "no other so soon after"


def test_build_that_is_blamed_during_its_reduction_is_reduced_no_longer() -> None:
    reduction = TrafficReduction(is_allowed=True)
    unknown = Finding(Cause.UNKNOWN, 3)

    def choose(now: float, *blamed_builds: int) -> int:
        return reduction.choose(
            now, unknown, blamed_builds, can_absorb_traffic=True, has_leader=False, is_evaluator=True
        )

    assert choose(10.0) == 0
    assert choose(10.0 + UNKNOWN_CAUSE_SECONDS) == 3
    assert choose(10.0 + UNKNOWN_CAUSE_SECONDS + 1.0, 3) == 0
