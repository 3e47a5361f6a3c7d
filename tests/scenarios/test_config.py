"""What a scenario's file may not say, and in which words it is refused."""

from __future__ import annotations

import pytest

from gullmount.scenarios.config import FaultKind, ScenarioConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml
from tests.support.paths import DAYS

FIRST = (DAYS / "first.yaml").read_text()
FAULT = "troubles: [{{kind: crash, at: 1, {}}}]\n"
RELEASES = "releases: [{}]\n"


def without_sections(text: str, *names: str) -> str:
    """Return the text without some keys of its top level, each with all lines that belong to it."""
    kept, inside = [], False
    for line in text.splitlines(keepends=True):
        if line[0] not in " -#\n":
            inside = line.split(":")[0] in names
        if not inside:
            kept.append(line)
    return "".join(kept)


@pytest.mark.parametrize(
    ("section", "words"),
    [
        (FAULT.format("zone: cebu"), "troubles.0.zone: no such zone: cebu"),
        (FAULT.format("route: nowhere"), "troubles.0.route: no such route: nowhere"),
        (RELEASES.format("{at: 1, zone: cebu}"), "releases.0.zone: no such zone: cebu"),
        (RELEASES.format("{at: 2}, {at: 1}"), "releases must be in the order of their times"),
        ("launcher: {caps: [0.5, 1.0]}\n", "launcher: shares and caps must be of one length, one at least"),
        ("launcher: {caps: [], shares: []}\n", "shares and caps must be of one length, one at least"),
        ("troubles: [{kind: quake, at: 1}]\n", "troubles.0.kind: Input should be 'answer_lost', 'burst', "),
    ],
)
def test_wrong_section_is_refused_with_its_key_and_the_reason(section: str, words: str) -> None:
    text = without_sections(FIRST, "releases", "troubles", "launcher")
    assert parse_yaml(text, "scenario.yaml", ScenarioConfig).troubles == []
    with pytest.raises(InvalidFileError) as error:
        parse_yaml(text + section, "scenario.yaml", ScenarioConfig)
    assert words in str(error.value)


def test_each_kind_of_fault_is_in_a_scenario_under_days() -> None:
    texts = [path.read_text() for path in DAYS.rglob("*.yaml")]
    assert [kind for kind in FaultKind if not any(f"kind: {kind.value}" in text for text in texts)] == []
