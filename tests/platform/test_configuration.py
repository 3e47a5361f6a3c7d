"""Tests of the configuration file: accepted content, and errors for invalid content."""

from __future__ import annotations

import json
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest

from gullmount.decisions.model import RetrySafety
from gullmount.platform.configuration import InvalidConfigurationError, read_configuration
from tests.support.platform_world import (
    configuration,
)


@pytest.mark.parametrize(
    ("break_file", "expected_text"),
    [
        (lambda file: file.pop("listen"), "listen"),
        (lambda file: file.update(listen="nowhere"), "listen"),
        (lambda file: file.update(seed="xyz"), "seed"),
        (lambda file: file["settings"].pop("Rules"), "settings: Rules: missing"),
        (lambda file: file["settings"].update(Siblings=0), "settings: Siblings: out of range"),
        (lambda file: file["settings"].update(Me=10**400), "settings: Me: out of range"),
        (lambda file: file["settings"].update(Zone=None), "settings: Zone: missing"),
        (lambda file: file["settings"]["Ceilings"].update(Peers=1), "Ceilings.Peers: not true or false"),
        (lambda file: file["settings"]["Rules"].update(ColdFrom=True), "Rules.ColdFrom: not a number"),
        (lambda file: file["settings"]["Specifics"].update(GateMode="oracle"), "GateMode: no such value"),
        (lambda file: file["settings"]["Specifics"].update(BackVotes=1.5), "BackVotes: not a whole number"),
        (lambda file: file["settings"]["Specifics"].update(ExposureCaps=[0.1, 2]), "ExposureCaps[1]: out of"),
        (lambda file: file["settings"]["Grades"][1].update(ObjectiveUs="1"), "Grades[1].ObjectiveUs: not a"),
        (lambda file: file.update(platform={}), "platform"),
    ],
)
def test_error_for_an_invalid_configuration_names_its_file_and_key(
    tmp_path: Path, break_file: Callable[[dict[str, Any]], Any], expected_text: str
) -> None:
    file = json.loads(json.dumps(configuration()))
    break_file(file)
    path = tmp_path / "config.json"
    path.write_text(json.dumps(file))
    with pytest.raises(InvalidConfigurationError) as error:
        read_configuration({"PROXY_CONFIG": str(path)})
    assert str(path) in str(error.value) and expected_text in str(error.value)
    with pytest.raises(InvalidConfigurationError):
        read_configuration({})


def test_unknown_settings_are_ignored_and_unused_ones_may_be_absent(tmp_path: Path) -> None:
    """A deduplication group and its window may be absent if no route is deduplicated by them."""
    file = json.loads(json.dumps(configuration()))
    rules = file["settings"]["Rules"]
    file["settings"] |= {"Novelty": [None], "Rules": {**rules, "More": {}, "WarmAfterUs": 0}}
    del file["settings"]["Grades"][0]["Group"], file["settings"]["Grades"][0]["WindowUs"]
    path = tmp_path / "config.json"
    path.write_text(json.dumps(file))
    configuration_read = read_configuration({"PROXY_CONFIG": str(path)})
    assert (
        configuration_read.instance.warm_up_time > 0
        and configuration_read.instance.routes["load-item"].retry_safety is RetrySafety.IDEMPOTENT
    )
