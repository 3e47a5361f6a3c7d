"""The section `ownership` of a proxy's file, and which modules are imported without it."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from gullmount.leases.config import LeasingProxyConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml
from tests.support.proxy_edge import make_proxy_config


def make_config_file(section: str) -> str:
    return json.dumps(make_proxy_config().model_dump(mode="json"))[:-1] + f', "ownership": {section}}}'


def test_leases_are_off_unless_the_section_switches_them_on() -> None:
    replicas = '{"1": "a:1", "2": "b:1", "3": "c:1"}'
    for section, expected in (
        ("null", False),
        (f'{{"keepers": {replicas}}}', False),
        (f'{{"keepers": {replicas}, "switched_on": false}}', False),
        (f'{{"keepers": {replicas}, "switched_on": true}}', True),
    ):
        assert (
            parse_yaml(make_config_file(section), "umpire.yaml", LeasingProxyConfig).leases_enabled
            == expected
        )


@pytest.mark.parametrize(
    ("settings", "expected_message"),
    [
        ('"jobs": ["cook"]', "umpire.yaml:2: ownership.jobs.0: .*judge"),
        ('"term": 1.0, "margin": 0.3', "less than 4 margins"),
        ('"answer_within": 1.5', "half a term"),
        ('"announce": {"address": "nowhere"}', "ownership.announce.address: .*host:port"),
    ],
)
def test_error_for_an_invalid_section_says_what_is_wrong(settings: str, expected_message: str) -> None:
    section = '{"keepers": {"1": "a:1", "2": "b:1", "3": "c:1"},\n' + settings + "}"
    with pytest.raises(InvalidFileError, match=expected_message):
        parse_yaml(make_config_file(section), "umpire.yaml", LeasingProxyConfig)


def test_platform_does_not_import_the_lease_packages() -> None:
    code = (
        "import sys, gullmount.platform.__main__; print([name for name in sys.modules"
        " if name.split('.')[:2][-1] in ('consensus', 'leases', 'fault_harness', 'emulators', 'rpc')])"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "[]"


def test_proxy_command_imports_only_the_configuration_modules() -> None:
    code = (
        "import sys, gullmount.commands.proxy; print(sorted(name for name in sys.modules"
        " if name.startswith(('gullmount.consensus.', 'gullmount.leases.', 'sqlite3'))))"
    )
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    assert completed.stdout.strip() == "['gullmount.consensus.config', 'gullmount.leases.config']"
