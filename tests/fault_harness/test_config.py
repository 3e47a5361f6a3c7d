"""Faults in a script's file that are no faults there can be."""

from __future__ import annotations

import pytest

from gullmount.fault_harness.config import HarnessConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml
from tests.support.harness_scripts import SCRIPTS


@pytest.mark.parametrize(
    ("fault", "message"),
    [
        ("{at: 1, do: torn, who: umpire 1}", "torn: only a keeper's disk"),
        ("{at: 1, do: wall, who: keeper 1, size: -60}", "only an umpire's clocks"),
        ("{at: 1, do: stop, who: launcher}", "launcher is no process"),
        ("{at: 1, do: kill, who: boxes}", "boxes is no process"),
        ("{at: 1, do: lose, who: umpires, size: 1.5}", "more than a share of 1"),
        ("{at: 1, do: cut, who: umpires, size: -1}", "less than 0"),
    ],
)
def test_error_of_an_invalid_fault_names_line_and_key(fault: str, message: str) -> None:
    text = (SCRIPTS / "short.yaml").read_text() + f"  - {fault}\n"
    with pytest.raises(InvalidFileError) as raised:
        parse_yaml(text, "short.yaml", HarnessConfig)
    error = str(raised.value)
    assert message in error and "short.yaml:" in error and "faults" in error
