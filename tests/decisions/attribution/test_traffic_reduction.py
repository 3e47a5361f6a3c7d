"""When a candidate's traffic is reduced, by whom, and for how long."""

from __future__ import annotations

from gullmount.decisions.attribution import Assessment, Cause, Finding
from gullmount.decisions.attribution.attribution import Attribution
from gullmount.decisions.attribution.traffic_reduction import UNKNOWN_TIME, TrafficReduction, can_absorb
from tests.support.attribution_scene import Scene, scene_with_leader


def build_to_reduce(attribution: Attribution, now: float) -> int:
    """What the instance would reduce while the cause is unknown and build 3 the most likely one."""
    return attribution.build_to_reduce(now, Finding(Cause.UNKNOWN, 3), (), absorbable=True)


def test_traffic_is_absorbable_only_where_enough_servers_serve() -> None:
    scene = Scene()
    older, newer = scene.candidates
    older.traffic_share, newer.traffic_share = 0.5, 0.1
    assert can_absorb(newer, scene.candidates, scene.servers)
    few = [server for server in scene.servers if server.build > 1 or server.id in ("a0", "b1")]
    assert not can_absorb(older, scene.candidates, few)


def test_one_evaluator_at_a_time_reduces_traffic() -> None:
    scene = Scene(instances=3)
    second = scene.attributions[1]
    unknown = Finding(Cause.UNKNOWN, 3)
    for reduced in (0, 2, 0):
        scene.now += 5.0
        second.receive_assessment(scene.now, 0, Assessment(unknown, reduced_build=reduced))
        assert build_to_reduce(second, scene.now) == reduced
    scene.now += 10.0  # the first evaluator isn't heard any more
    assert build_to_reduce(second, scene.now) == 0
    scene.now += 3.0
    assert build_to_reduce(second, scene.now) == 3


def test_next_leader_takes_up_a_reduction_and_begins_no_other() -> None:
    scene = scene_with_leader(leader=1)
    requests: list[int] = []
    first, second = scene.attributions[1:3]
    first.set_reduction_request_callback(requests.append)
    second.set_reduction_request_callback(requests.append)
    assert build_to_reduce(first, scene.now) == 0
    scene.now += 3.0
    assert build_to_reduce(first, scene.now) == 0 and requests == [3]  # not before it is stored
    first.begin_traffic_reduction(scene.now, 3)
    assert build_to_reduce(first, scene.now) == 3
    second.set_leader(scene.now, 2, 6, reduced_build=3)
    scene.now += 3.0
    assert build_to_reduce(second, scene.now) == 3 and requests == [3]
    scene.now += 3.0
    assert build_to_reduce(second, scene.now) == 0 and requests == [3, 0]
    scene.now += 1.5
    assert build_to_reduce(second, scene.now) == 0 and requests == [3, 0], "no other so soon after"


def test_build_that_is_blamed_during_its_reduction_is_reduced_no_longer() -> None:
    reduction = TrafficReduction(is_allowed=True)
    unknown = Finding(Cause.UNKNOWN, 3)

    def choose(now: float, *blamed: int) -> int:
        return reduction.choose(now, unknown, blamed, absorbable=True, has_leader=False, is_evaluator=True)

    assert choose(10.0) == 0
    assert choose(10.0 + UNKNOWN_TIME) == 3
    assert choose(10.0 + UNKNOWN_TIME + 1.0, 3) == 0
