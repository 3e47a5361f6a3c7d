"""Scripts of the fault harness, changed for a test and played in virtual time."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

from gullmount.checker.owners import check_owners
from gullmount.fault_harness.config import HarnessConfig
from gullmount.fault_harness.run import run
from gullmount.yamlfile import read_yaml
from tests.support.paths import DAYS

SCRIPTS = DAYS / "failures"

Event = dict[str, Any]


def read_script(name: str) -> HarnessConfig:
    return read_yaml(SCRIPTS / f"{name}.yaml", HarnessConfig)


def changed_script(name: str, **changes: Any) -> HarnessConfig:
    """The script with some keys of its file changed."""
    return HarnessConfig.model_validate(read_script(name).model_dump(by_alias=True) | changes)


def delayed_script(name: str, seconds: float) -> HarnessConfig:
    """The script with all faults later, and as much longer."""
    script = read_script(name)
    faults = [fault.model_copy(update={"at": fault.at + seconds}) for fault in script.faults]
    return script.model_copy(update={"faults": faults, "length": script.length + seconds})


def events_of(lines: bytes) -> list[Event]:
    return [json.loads(line) for line in lines.splitlines()]


def play_virtually(script: HarnessConfig, folder: Path) -> list[Event]:
    """The events of the record, by seed 1."""
    _, lines = run(script, 1, True, "", folder)
    return events_of(lines)


def checked_events(metadata: dict[str, Any], lines: bytes) -> list[Event]:
    """The events of a record that keeps the promises of leases."""
    events = events_of(lines)
    broken = [breach for finding in check_owners(events) for breach in finding.breaches]
    assert not broken, f"gullmount rig run, seed {metadata['seed']}: {broken}"
    return events
