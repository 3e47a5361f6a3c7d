"""Tests of the replica's YAML file."""

from __future__ import annotations

import pytest

from gullmount.consensus.config import ReplicaConfig
from gullmount.yamlfile import InvalidFileError, parse_yaml


@pytest.mark.parametrize(
    ("change", "message"),
    [
        ("number: 4", "not among the members"),
        ("members: {1: 'a:1', 2: 'b:1'}", "three to five"),
        ("members: {1: 'a:1', 2: 'b:1', 3: 'a:1'}", "named twice: a:1"),
        ("members: {1: 'a:1', 2: 'b:1', 3: 'nowhere'}", "host:port"),
    ],
)
def test_invalid_file_raises_an_error_that_names_the_problem(change: str, message: str) -> None:
    line_by_key = {"number": "number: 1", "members": "members: {1: 'a:1', 2: 'b:1', 3: 'c:1'}"}
    line_by_key[change.partition(":")[0]] = change
    text = "\n".join([*line_by_key.values(), "group: g", "disk: d"])
    with pytest.raises(InvalidFileError, match=message):
        parse_yaml(text, "keeper.yaml", ReplicaConfig)
