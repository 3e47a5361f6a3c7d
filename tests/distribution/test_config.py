"""Tests of the configuration files of origins, relays and proxies, and of the modules loaded without them."""

from __future__ import annotations

import json
import subprocess
import sys

import pytest

from gullmount.distribution.config import OriginConfig, RelayConfig, SubscribedProxyConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml
from tests.support.proxy_edge import make_proxy_config as proxy_terms

ORIGIN_FILE = """\
listen: 127.0.0.1:7400
zones: [a, b]
relays:
  relay-a: a
  relay-b: b
kept: source.json
"""


RELAY_FILE = """\
name: relay-a
zones: [a, b]
zone: a
listen: 127.0.0.1:7401
source: 127.0.0.1:7400
"""


@pytest.mark.parametrize(
    ("model", "text", "line", "replacement", "message"),
    [
        (OriginConfig, ORIGIN_FILE, "  relay-b: b", "  relay-b: c", "file:3: relays: relay-b: zone 'c'"),
        (OriginConfig, ORIGIN_FILE, "kept: source.json", "", "file:1: kept: Field required"),
        (OriginConfig, ORIGIN_FILE, "kept:", "cept:", "file:6: cept: Extra inputs"),
        (OriginConfig, ORIGIN_FILE, "  relay-a: a\n  relay-b: b", "  {}", "file:3: relays: .*at least 1"),
        (RelayConfig, RELAY_FILE, "source: 127.0.0.1:7400", "", "file:1: source: Field required"),
        (RelayConfig, RELAY_FILE, "source: 127.0.0.1:7400", "source: there", "file:5: source: .*host:port"),
        (RelayConfig, RELAY_FILE, "zone: a", "zone: c", "file:3: zone: not among zones"),
        (RelayConfig, RELAY_FILE, "name: relay-a", "nmae: relay-a", "file:1: nmae: Extra inputs"),
        (RelayConfig, RELAY_FILE, ":7400", ":7401", "source is where this relay listens"),
    ],
)
def test_invalid_origin_or_relay_file_is_rejected_with_line_and_key(
    model: type, text: str, line: str, replacement: str, message: str
) -> None:
    parse_yaml(text, "file", model)
    with pytest.raises(InvalidFileError, match=message):
        parse_yaml(text.replace(line, replacement, 1), "file", model)


def proxy_file(section: str) -> str:
    return json.dumps(proxy_terms().model_dump(mode="json"))[:-1] + f',\n"relays": {section}}}'


RELAYS = '"at": [{"name": "r", "address": "127.0.0.1:1", "zone": "a"}]'


def test_proxy_subscribes_only_where_the_relays_section_is_switched_on() -> None:
    for section, expected in (
        ("null", False),
        (f'{{{RELAYS}, "services": ["pay"]}}', False),
        (f'{{"switched_on": false, {RELAYS}, "services": ["pay"]}}', False),
        (f'{{"switched_on": true, {RELAYS}, "services": ["pay"]}}', True),
    ):
        assert parse_yaml(proxy_file(section), "umpire.yaml", SubscribedProxyConfig).subscribes == expected


@pytest.mark.parametrize(
    ("section", "message"),
    [
        (f'{{"switched_on": true,\n{RELAYS}}}', "umpire.yaml:2: relays.services: Field required"),
        ('{"switched_on": true,\n"services": ["pay"]}', "umpire.yaml:2: relays.at: Field required"),
        (
            f'{{{RELAYS},\n"services": ["pay", "pay"]}}',
            "umpire.yaml:3: relays.services: a service is named twice",
        ),
        (f'{{{RELAYS},\n"services": ["pay"],\n"hurry": 1}}', "umpire.yaml:4: relays.hurry: Extra inputs"),
        (
            f'{{{RELAYS.replace(chr(34) + "a" + chr(34), chr(34) + "z" + chr(34))},\n"services": ["pay"]}}',
            "umpire.yaml:2: relays: at: none is named for this proxy's zone 'a'",
        ),
        (
            f'{{{RELAYS.replace("127.0.0.1:1", "there")},\n"services": ["pay"]}}',
            "relays.at.0.address: .*host:port",
        ),
    ],
)
def test_invalid_relays_section_is_rejected_with_line_and_key(section: str, message: str) -> None:
    with pytest.raises(InvalidFileError, match=message):
        parse_yaml(proxy_file(section), "umpire.yaml", SubscribedProxyConfig)


def test_discovery_settings_are_required_only_without_a_relay_subscription() -> None:
    settings = proxy_terms().model_dump(mode="json")
    del settings["roster"]
    relays_section = {"switched_on": True, **json.loads(f"{{{RELAYS}}}"), "services": ["pay"]}
    parse_yaml(json.dumps({**settings, "relays": relays_section}), "umpire.yaml", SubscribedProxyConfig)
    with pytest.raises(InvalidFileError, match="roster: Field required"):
        parse_yaml(
            json.dumps({**settings, "relays": {**relays_section, "switched_on": False}}),
            "umpire.yaml",
            SubscribedProxyConfig,
        )


def loaded_by(module: str, prefix: str) -> str:
    code = f"import sys, {module}; print(sorted(name for name in sys.modules if name.startswith({prefix!r})))"
    completed = subprocess.run([sys.executable, "-c", code], capture_output=True, text=True, check=True)
    return completed.stdout.strip()


def test_platform_loads_no_module_of_distribution() -> None:
    assert loaded_by("gullmount.platform.__main__", "gullmount.distribution") == "[]"


def test_proxy_without_the_relays_section_loads_only_the_distribution_config() -> None:
    found = loaded_by("gullmount.commands.proxy", "gullmount.distribution")
    assert found == "['gullmount.distribution', 'gullmount.distribution.config']"
