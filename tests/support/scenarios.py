"""Plays the scenarios under `days/`, and says which rules they broke."""

from __future__ import annotations

import msgspec

from gullmount.checker.rules import Finding, check
from gullmount.checker.summary import Summary, summarize
from gullmount.proxy.instance import ProxyInstance
from gullmount.scenarios.config import ScenarioConfig
from gullmount.scenarios.runner import run_scenario
from gullmount.yamlfile import read_yaml
from tests.support.fault_block import reserve_loopback_block
from tests.support.paths import DAYS

VIRTUAL_BLOCK = "127.99"  # in memory only, where no other process is met


def played(
    name: str, seed: int, virtual: bool = True, proxy_class: type[ProxyInstance] = ProxyInstance
) -> tuple[list[Finding], Summary, bytes]:
    """Return the checker's findings, the summary and the record's lines of a play; `name` is the file's."""
    block = VIRTUAL_BLOCK if virtual else reserve_loopback_block()
    scenario = read_yaml(DAYS / f"{name}.yaml", ScenarioConfig)
    about, lines = run_scenario(scenario, seed, virtual, block, proxy_class)
    events = [msgspec.json.decode(line) for line in lines.splitlines()]
    return check(about, events), summarize(about, events), lines


def breaches(findings: list[Finding]) -> list[str]:
    """Return a line for each breach of a rule."""
    return [
        f"{one.t} {one.umpire}: {one.what} {one.reqs}" for finding in findings for one in finding.breaches
    ]
