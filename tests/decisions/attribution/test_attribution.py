"""Which candidate instances promote, hold or roll back on seeded traffic, and by whose assessment."""

from __future__ import annotations

import pytest

from gullmount.decisions.attribution import Assessment, Cause, Finding, Symptom
from gullmount.decisions.attribution.traffic_reduction import REDUCED_LIMIT_FACTOR
from gullmount.decisions.endpoints import Server
from gullmount.decisions.model import ReleasePhase, Vote
from tests.support.attribution_scene import TrafficSimulation, simulation_with_leader


def test_two_healthy_candidates_are_promoted_one_at_a_time_and_none_is_rolled_back() -> None:
    simulation = TrafficSimulation()
    simulation.run(20.0)
    # The older candidate is promoted first.
    assert simulation.votes_cast() == {(2, Vote.PROMOTE)}
    simulation.candidates[0].stage = 1
    simulation.candidates[0].phase = ReleasePhase.RELEASED
    simulation.votes.clear()
    simulation.run(2.25)
    # The effects of the first promotion must be observed before the second.
    assert (3, Vote.PROMOTE) not in simulation.votes_cast()
    simulation.run(10.0)
    assert (3, Vote.PROMOTE) in simulation.votes_cast()
    assert not any(vote is Vote.ROLLBACK for _, _, vote in simulation.votes)


@pytest.mark.parametrize("degraded_build", [2, 3])
@pytest.mark.parametrize("symptom", [Symptom.FAILS, Symptom.SLOW])
def test_only_the_degraded_candidate_is_rolled_back(degraded_build: int, symptom: Symptom) -> None:
    simulation = TrafficSimulation()
    simulation.run(5.0)
    if symptom is Symptom.FAILS:
        simulation.failure_probability = lambda server, now: 0.3 * (server.build == degraded_build)
    else:
        simulation.latency_factor = lambda server, now: 3.0 if server.build == degraded_build else 1.0
    simulation.run(10.0)
    assert (degraded_build, Vote.ROLLBACK) in simulation.votes_cast()
    assert (5 - degraded_build, Vote.ROLLBACK) not in simulation.votes_cast()
    assert simulation.attributions[0].assessment.finding.symptom == symptom


def test_build_that_fails_in_one_zone_is_blamed_with_its_zone() -> None:
    simulation = TrafficSimulation(attempts_per_second=120.0)
    simulation.failure_probability = lambda server, now: 0.5 * (server.build == 3 and server.zone == "b")
    simulation.run(10.0)
    finding = simulation.attributions[0].assessment.finding
    assert (finding.cause, finding.build, finding.zone) == (Cause.BUILD, 3, "b")


def test_slow_dependency_holds_both_candidates_and_withdraws_votes() -> None:
    simulation = TrafficSimulation()
    simulation.run(15.0)
    assert (2, Vote.PROMOTE) in simulation.votes_cast()
    simulation.votes.clear()
    simulation.latency_factor = lambda server, now: 2.5
    simulation.run(12.0)
    assert (2, Vote.NONE) in simulation.votes_cast()
    assert not any(vote is Vote.ROLLBACK for _, _, vote in simulation.votes)
    assert simulation.attributions[0].assessment.finding.cause in (Cause.SHARED, Cause.UNKNOWN)


def test_traffic_is_reduced_to_distinguish_a_build_from_a_dependency() -> None:
    simulation = TrafficSimulation()
    simulation.shares = {2: 0.02, 3: 0.02}
    simulation.run(12.0)
    onset = simulation.now
    simulation.shares = {2: 0.02, 3: 0.3}
    was_reduced = []

    def latency_factor(server: Server, now: float) -> float:
        return 1 + 4 * simulation.shares[3]

    simulation.latency_factor = latency_factor
    for _ in range(160):
        votes = simulation.run(0.25)
        simulation.shares[3] = simulation.candidates[1].traffic_share = (
            0.3 * simulation.candidates[1].limit_factor
        )
        was_reduced.append(simulation.candidates[1].limit_factor == REDUCED_LIMIT_FACTOR)
        if any(vote is Vote.ROLLBACK for _, vote, _ in votes):
            break
    assert any(was_reduced) and not all(was_reduced)
    assert [candidate.build for candidate, vote, _ in votes if vote is Vote.ROLLBACK] == [3]
    assert simulation.now - onset < 40


def test_traffic_is_not_reduced_in_a_one_way_release() -> None:
    simulation = TrafficSimulation(one_way=True)
    simulation.shares = {2: 0.02, 3: 0.02}
    simulation.run(12.0)
    simulation.shares = {2: 0.02, 3: 0.3}
    simulation.latency_factor = lambda server, now: 2.2
    for _ in range(60):
        simulation.run(0.25)
        assert simulation.candidates[1].limit_factor == 1.0


def test_queues_left_by_a_rolled_back_build_are_not_blamed_on_the_other_candidate() -> None:
    simulation = TrafficSimulation()
    simulation.shares = {2: 0.02, 3: 0.02}
    simulation.run(15.0)
    slowdown = 1.0

    def latency_factor(server: Server, now: float) -> float:
        return slowdown

    simulation.latency_factor = latency_factor
    for share in (0.06, 0.12, 0.2, 0.35):
        simulation.shares = {2: share, 3: share}
        slowdown = 1 + 4 * share
        simulation.run(4.0)
    simulation.votes.clear()
    simulation.candidates[0].phase = ReleasePhase.ROLLING_BACK
    # The queues that the older candidate caused have not drained yet.
    simulation.shares = {2: 0.0, 3: 0.35}
    simulation.run(7.0)
    assert (3, Vote.ROLLBACK) not in simulation.votes_cast()


def test_all_instances_vote_by_the_assessment_and_token_of_the_leader() -> None:
    simulation = simulation_with_leader()
    simulation.failure_probability = lambda server, now: 0.3 * (server.build == 3)
    simulation.run(12.0, watched_instance=0)
    assert (3, Vote.ROLLBACK) in simulation.votes_cast()
    assert [set(attribution.evaluators.received) for attribution in simulation.attributions] == [
        {2},
        {2},
        set(),
        {2},
    ]
    assert [attribution.vote_token for attribution in simulation.attributions] == [5] * 4
    for attribution in simulation.attributions:
        attribution.set_leader(simulation.now, None, 6)
    simulation.run(1.0)
    assert [attribution.vote_token for attribution in simulation.attributions] == [0] * 4


def test_assessment_of_an_earlier_leader_is_dropped() -> None:
    simulation = simulation_with_leader()
    attribution, blaming_assessment = (
        simulation.attributions[0],
        Assessment(Finding(Cause.BUILD, 3), rollback_reasons={3: "why"}),
    )
    for leader, token in ((2, 0), (2, 4), (1, 5), (2, 6)):
        blaming_assessment.token = token
        attribution.receive_assessment(simulation.now, leader, blaming_assessment)
    assert attribution.evaluators.received == {}
    blaming_assessment.token = 5
    attribution.receive_assessment(simulation.now, 2, blaming_assessment)
    assert 2 in attribution.evaluators.received
    attribution.set_leader(simulation.now, 3, 6)
    # An outdated response of the replicas arrives late.
    attribution.set_leader(simulation.now, 2, 5)
    assert attribution.evaluators.received == {} and tuple(attribution.evaluators.numbers) == (3,)


def test_instances_with_few_attempts_vote_by_the_evidence_of_all() -> None:
    simulation = TrafficSimulation(instance_count=20)
    simulation.failure_probability = lambda server, now: 0.3 * (server.build == 3)
    simulation.run(12.0, watched_instance=17)
    assert (3, Vote.ROLLBACK) in simulation.votes_cast() and (2, Vote.ROLLBACK) not in simulation.votes_cast()
    isolated = TrafficSimulation(instance_count=20)
    isolated.isolated_instances = set(range(20))
    isolated.failure_probability = simulation.failure_probability
    isolated.run(12.0, watched_instance=17)
    # Three attempts per second are not enough evidence.
    assert (3, Vote.ROLLBACK) not in isolated.votes_cast()


def test_instance_without_an_evaluator_votes_by_its_own_evidence() -> None:
    simulation = TrafficSimulation(instance_count=4, attempts_per_second=240.0)
    simulation.isolated_instances = {0, 1}
    simulation.failure_probability = lambda server, now: 0.4 * (server.build == 3)
    simulation.run(12.0, watched_instance=3)
    assert (3, Vote.ROLLBACK) in simulation.votes_cast()


def test_one_reachable_evaluator_is_enough_for_a_rollback() -> None:
    simulation = TrafficSimulation(instance_count=6)
    simulation.isolated_instances = {0}
    simulation.failure_probability = lambda server, now: 0.3 * (server.build == 2)
    simulation.run(12.0, watched_instance=5)
    assert (2, Vote.ROLLBACK) in simulation.votes_cast() and (3, Vote.ROLLBACK) not in simulation.votes_cast()
