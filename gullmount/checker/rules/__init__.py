"""The five rules that a recorded scenario must keep, one in each module; `check` holds a record to all."""

from __future__ import annotations

from gullmount.checker.findings import Finding
from gullmount.checker.rules.cold_starts import check_cold_starts
from gullmount.checker.rules.drains import check_drains
from gullmount.checker.rules.effects import check_effects
from gullmount.checker.rules.exposure import check_exposure
from gullmount.checker.rules.responses import check_responses
from gullmount.checker.scenario_record import Event, ScenarioRecord

RULES = (check_responses, check_effects, check_drains, check_cold_starts, check_exposure)


def check(about: Event, events: list[Event]) -> list[Finding]:
    """Check all five rules, in their order; `about` holds the scenario's terms."""
    record = ScenarioRecord(about, events)
    return [check_rule(record) for check_rule in RULES]
