"""Which instances evaluate, and whose assessments are used for how long."""

from __future__ import annotations

import pytest

from gullmount.decisions.attribution import Assessment, Cause, Finding
from gullmount.decisions.attribution.evaluators import ASSESSMENT_LIFETIME_SECONDS, MAX_EVALUATORS, Evaluators


def assessment(token: int = 0) -> Assessment:
    return Assessment(Finding(Cause.NOTHING), token=token)


@pytest.mark.parametrize(
    ("instance_number", "instance_count", "gossip_enabled", "is_evaluator"),
    [(0, 20, True, True), (MAX_EVALUATORS, 20, True, False), (19, 20, False, True), (0, 1, True, True)],
)
def test_first_instances_evaluate_and_without_gossip_all_do(
    instance_number: int, instance_count: int, gossip_enabled: bool, is_evaluator: bool
) -> None:
    assert Evaluators(instance_number, instance_count, gossip_enabled).includes_this_instance is is_evaluator


def test_assessment_counts_for_its_lifetime() -> None:
    evaluators = Evaluators(3, 4, True)
    evaluators.receive(10.0, 0, assessment())
    assert evaluators.assessments_of_all(10.0 + ASSESSMENT_LIFETIME_SECONDS - 0.1) == [assessment()]
    assert evaluators.assessments_of_all(10.0 + ASSESSMENT_LIFETIME_SECONDS) == []


def test_preceding_assessments_are_those_of_instances_with_a_lower_number() -> None:
    evaluators = Evaluators(1, 4, True)
    evaluators.receive(10.0, 0, assessment())
    assert evaluators.preceding_assessments(10.0) == [assessment()]
    evaluators = Evaluators(0, 4, True)
    evaluators.receive(10.0, 1, assessment())
    assert evaluators.preceding_assessments(10.0) == []


def test_leader_replaces_the_first_instances_as_evaluator() -> None:
    evaluators = Evaluators(0, 4, True)
    assert evaluators.set_leader(2, 5) and evaluators.has_leader
    assert not evaluators.includes_this_instance
    evaluators.receive(10.0, 2, assessment(token=5))
    evaluators.receive(10.0, 1, assessment(token=5))
    assert list(evaluators.received) == [2]
    assert not evaluators.set_leader(0, 4)
    assert evaluators.set_leader(None, 6) and not evaluators.received
