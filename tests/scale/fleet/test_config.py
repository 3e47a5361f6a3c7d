"""A fleet's file: what is refused, the target's sizes, and other sizes of the same fleet."""

from __future__ import annotations

import pytest

from gullmount.scale.fleet.config import FleetConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml, read_yaml
from tests.support.fleet_records import SMALL, TARGET


@pytest.mark.parametrize(
    ("line", "problem"),
    [
        ("umpires: none", "umpires"),
        ("relays: 3", "fewer relays than zones"),
        ("real: 400", "are more than 300"),
        ("fronts: [80]", "fronts more services than there are"),
        ("racks: 4", "racks"),
        ("ways: [whole, whole]", "named twice"),
        ("hollow_processes: 0", "hollow_processes"),
        ("faults: [{at: 2, do: kill_relay, relay: 9}]", "no relay 9"),
        ("faults: [{at: 700, do: kill_relay}]", "a fault at 700"),
    ],
)
def test_invalid_file_is_refused_with_the_place_and_the_problem(line: str, problem: str) -> None:
    key = line.partition(":")[0]
    text = SMALL.read_text()
    kept = [old for old in text.splitlines() if not old.startswith((f"{key}:", "faults:", "  - {at"))]
    with pytest.raises(InvalidFileError, match=problem) as error:
        parse_yaml("\n".join([*kept, line]), "fleet.yaml", FleetConfig)
    assert str(error.value).startswith("fleet.yaml:")


def test_target_file_has_the_target_within_the_limits_of_the_machine() -> None:
    fleet = read_yaml(TARGET, FleetConfig)
    assert (fleet.proxies, fleet.servers, fleet.services) == (7300, 140_000, 5500)
    assert (fleet.zones, fleet.regions) == (31, 10) and 31 <= fleet.relays <= 37
    assert fleet.processes <= 300 and fleet.max_memory_gib <= 12
    mean = fleet.phases[0]
    assert mean.configuration_rate == pytest.approx(98_000 / 86_400, rel=0.01)
    assert mean.server_rate == pytest.approx(31_500 / 86_400, rel=0.01)
    burst = fleet.phases[1]
    assert burst.configuration_rate == pytest.approx(10 * mean.configuration_rate)
    assert burst.server_rate == pytest.approx(10 * mean.server_rate)


@pytest.mark.parametrize(("proxies", "zones"), [(230, 1), (2300, 10), (7300, 31)])
def test_resized_fleet_has_zones_as_full_and_the_same_rates(proxies: int, zones: int) -> None:
    fleet = read_yaml(TARGET, FleetConfig).resized(proxies)
    assert fleet.zones == zones and fleet.relays > zones  # one of them may be killed
    assert fleet.servers / fleet.proxies == pytest.approx(140_000 / 7300, rel=0.01)
    assert fleet.services / fleet.proxies == pytest.approx(5500 / 7300, rel=0.01)
    assert [phase.configuration_rate for phase in fleet.phases] == [
        phase.configuration_rate for phase in read_yaml(TARGET, FleetConfig).phases
    ]
