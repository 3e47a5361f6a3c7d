"""The section `ownership`, and what is loaded without it."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from gullmount.leases.config import LeasingProxyConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml
from tests.support.proxy_edge import make_proxy_config as umpire_terms


def owned_file(section: str) -> str:
    return json.dumps(umpire_terms().model_dump(mode="json"))[:-1] + f', "ownership": {section}}}'


def test_section_alone_switches_nothing_on() -> None:
    members = '{"1": "a:1", "2": "b:1", "3": "c:1"}'
    for section, owns in (
        ("null", False),
        (f'{{"keepers": {members}}}', False),
        (f'{{"keepers": {members}, "switched_on": false}}', False),
        (f'{{"keepers": {members}, "switched_on": true}}', True),
    ):
        assert parse_yaml(owned_file(section), "umpire.yaml", LeasingProxyConfig).leases_enabled == owns


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ('"jobs": ["cook"]', "umpire.yaml:2: ownership.jobs.0: .*judge"),
        ('"term": 1.0, "margin": 0.3', "less than 4 margins"),
        ('"answer_within": 1.5', "half a term"),
        ('"announce": {"address": "nowhere"}', "ownership.announce.address: .*host:port"),
    ],
)
def test_bad_sections_name_line_and_key(change: str, said: str) -> None:
    section = '{"keepers": {"1": "a:1", "2": "b:1", "3": "c:1"},\n' + change + "}"
    with pytest.raises(InvalidFileError, match=said):
        parse_yaml(owned_file(section), "umpire.yaml", LeasingProxyConfig)


def test_the_platform_loads_nothing_of_leases() -> None:
    code = (
        "import sys, gullmount.platform.__main__; print([name for name in sys.modules"
        " if name.split('.')[:2][-1] in ('consensus', 'leases', 'fault_harness', 'emulators', 'rpc')])"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_a_proxy_without_the_section_loads_no_more_than_what_checks_its_file() -> None:
    code = (
        "import sys, gullmount.commands.proxy; print(sorted(name for name in sys.modules"
        " if name.startswith(('gullmount.consensus.', 'gullmount.leases.', 'sqlite3'))))"
    )
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "['gullmount.consensus.config', 'gullmount.leases.config']"
