"""Difficult scenarios of two concurrent releases, one seed each in virtual time.

They check which build is blamed and which builds are rolled back.
"""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from gullmount.checker import check
from gullmount.checker.attribution_outcome import AttributionOutcome, attribution_outcome
from gullmount.decisions.attribution.attribution import Attribution
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.runner import run_scenario
from gullmount.yamlfile import read_yaml
from tests.support.paths import DAYS as ALL_DAYS
from tests.support.scenarios import breaches

DAYS = ALL_DAYS / "blame"
CASES = (
    "shared-dependency",
    "one-zone",
    "older-bad",
    "newer-slow",
    "both-bad",
    "both-good-burst",
    "bad-with-age",
    "slows-all",
    "many-umpires",
    "late-news",
)


def run_case(case: str, seed: int = 2, **changes: Any) -> tuple[AttributionOutcome, list[str]]:
    scenario = read_yaml(DAYS / f"{case}.yaml", ScenarioConfig).model_copy(update=changes)
    about, lines = run_scenario(scenario, seed, True, "127.98")
    events = [msgspec.json.decode(line) for line in lines.splitlines()]
    return attribution_outcome(about, events), breaches(check(about, events))


@pytest.mark.parametrize("case", CASES)
def test_attribution_is_right_and_only_degraded_builds_are_rolled_back(case: str) -> None:
    outcome, violations = run_case(case)
    assert violations == []
    assert outcome.correctness == "right"
    assert sorted(outcome.sent_back) == outcome.bad


def test_without_bic_margin_and_suspect_time_a_dependency_slowdown_is_blamed_on_a_build(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("gullmount.decisions.attribution.general_slowdown.BLAME_BIC_MARGIN", 0.0)
    monkeypatch.setattr("gullmount.decisions.attribution.general_slowdown.MIN_SUSPECT_SECONDS", 0.0)
    monkeypatch.setattr("gullmount.decisions.attribution.slowdown_models.STEP_PARAMETERS", 50.0)
    outcome, _ = run_case("shared-dependency")
    assert outcome.correctness == "wrong"


def test_without_gossip_a_degraded_build_is_rolled_back_later(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    with_gossip, _ = run_case("older-bad")
    monkeypatch.setattr(Attribution, "receive_samples", lambda self, now, rows: None)
    without_gossip, _ = run_case("older-bad")
    assert with_gossip.sent_back[2] + 3.0 < without_gossip.sent_back.get(2, 99.0)
