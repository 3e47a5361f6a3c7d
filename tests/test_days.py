"""Whole days in virtual time, checked from the traffic; one on sockets."""

from __future__ import annotations

from pathlib import Path

import msgspec
import pytest

from gullmount.checker import Finding, Summary, check, summarize
from gullmount.days.run import run
from gullmount.days.terms import DayTerms
from gullmount.yamlfile import read

DAYS = Path(__file__).parent.parent / "days"


def played(name: str, seed: int, virtual: bool = True) -> tuple[list[Finding], Summary, bytes]:
    about, lines = run(read(DAYS / f"{name}.yaml", DayTerms), seed, virtual, "127.99")
    events = [msgspec.json.decode(line) for line in lines.splitlines()]
    return check(about, events), summarize(about, events), lines


def breaches(findings: list[Finding]) -> list[str]:
    return [f"{one.t} {one.umpire}: {one.what} {one.reqs}" for finding in findings for one in finding.breaches]


@pytest.mark.parametrize("virtual", [True, False])
def test_first_day_keeps_the_rules(virtual: bool) -> None:
    findings, summary, _ = played("first", 1, virtual)
    assert breaches(findings) == []
    assert summary.payoff > 0.95
    assert summary.builds[2].tries > 20
    assert all(sum(finding.checked.values()) > 0 for finding in findings)


def test_same_seed_same_record() -> None:
    first, second, other = (played("first", seed)[2] for seed in (3, 3, 4))
    assert first == second != other
