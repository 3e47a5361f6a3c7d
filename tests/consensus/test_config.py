"""The replica's YAML file."""

from __future__ import annotations

import pytest

from gullmount.consensus.config import ReplicaConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml


@pytest.mark.parametrize(
    ("change", "said"),
    [
        ("number: 4", "not among the members"),
        ("members: {1: 'a:1', 2: 'b:1'}", "three to five"),
        ("members: {1: 'a:1', 2: 'b:1', 3: 'a:1'}", "named twice: a:1"),
        ("members: {1: 'a:1', 2: 'b:1', 3: 'nowhere'}", "host:port"),
    ],
)
def test_bad_files_name_line_and_key(change: str, said: str) -> None:
    lines = {"number": "number: 1", "members": "members: {1: 'a:1', 2: 'b:1', 3: 'c:1'}"}
    lines[change.partition(":")[0]] = change
    text = "\n".join([*lines.values(), "group: g", "disk: d"])
    with pytest.raises(InvalidFileError, match=said):
        parse_yaml(text, "keeper.yaml", ReplicaConfig)
