"""Fleets of days/scale and records of their runs, made by hand."""

from __future__ import annotations

from typing import Any

import numpy as np

from gullmount.scale.fleet.applied_versions import COMPLETE_LIST, AppliedVersions
from gullmount.scale.fleet.config import Delivery, FleetConfig
from gullmount.scale.fleet.drawn_fleet import DrawnFleet
from gullmount.scale.fleet.process_messages import MadeChange
from gullmount.scale.fleet.run_record import RunRecord, UsageSample
from gullmount.yamlfile import read_yaml
from tests.support.paths import ROOT

SMALL = ROOT / "days" / "scale" / "small.yaml"
TARGET = ROOT / "days" / "scale" / "target.yaml"
SEED = 5


def small_fleet(**changes: Any) -> FleetConfig:
    """The small fleet with other values of the file's keys."""
    return FleetConfig.model_validate(read_yaml(SMALL, FleetConfig).as_file() | changes)


def made_change(index: int, topic: str, version: tuple[int, int] | None, sent_at: float = 0.0) -> MadeChange:
    return MadeChange(index=index, topic=topic, key="", sent_at=sent_at, answered_at=sent_at, version=version)


def complete_list_record() -> tuple[RunRecord, DrawnFleet]:
    """What a run of complete lists leaves that keeps all checks."""
    drawn = DrawnFleet(small_fleet(ways=["whole"]), SEED)
    record = RunRecord(Delivery.COMPLETE_LISTS, started_at=100.0, first_phase_at=110.0, all_synced_at=105.0)
    revision = 1
    for index, change in enumerate(drawn.changes):
        revision += change.server is not None
        version = None if change.server is None else (0, revision)
        made = made_change(index, change.topic, version, record.first_phase_at + change.at)
        made.key = change.key
        record.changes.append(made)
    for part in range(2):
        for proxy in drawn.hollow_proxies(part):
            rows = [(0.0, 0.0, 1.0, 104.0)]
            rows += [
                (0.0, 0.0, float(version[1]), change.sent_at + 0.25)
                for change, version in record.delivered_changes()
            ]
            record.applied.append(np.array(rows))
            applied = AppliedVersions(proxy.name, proxy.zone, [COMPLETE_LIST])
            applied.synced_at = 104.0
            report = applied.report({COMPLETE_LIST: drawn.expected_list_digest()})
            report.process = "hollow-0"
            record.clients.append(report)
    record.exit_codes = {"lists": 0, "hollow-0": 0}
    usage = [UsageSample(99.0, 0.0, 1)]
    record.usage = {"lists": {"lists": usage}, "hollow": {"hollow-0": usage}}
    record.counters = {"hollow": {"hollow-0": []}}
    record.clients_per_process = {"hollow-0": 118}
    return record, drawn


def relay_record(versions: list[tuple[int, int]]) -> RunRecord:
    """One client of relays that applied the versions of one topic, a second apart."""
    record = RunRecord(Delivery.RELAYS, started_at=100.0, first_phase_at=110.0)
    applied = AppliedVersions("umpire-0", "a", ["boxes/service-1", "config/service-1"])
    report = applied.report({})
    report.process = "hollow-0"
    record.clients = [report]
    rows = [(1.0, float(epoch), float(revision), 111.0 + at) for at, (epoch, revision) in enumerate(versions)]
    record.applied = [np.array(rows)]
    return record


def summary_record() -> tuple[RunRecord, DrawnFleet]:
    """A run of relays and the origin's summary at its end, which agrees with it."""
    drawn = DrawnFleet(small_fleet(), SEED)
    record = RunRecord(Delivery.RELAYS, loaded_version=(3, 80))
    record.changes = [made_change(number, "", (3, 80 + number)) for number in range(1, 10)]
    zones = {zone: {"followers": 30, "lowest": [3, 89]} for zone in drawn.zones}
    record.in_force_summary = {"as_of": [3, 89], "zones": zones}
    return record, drawn
