"""Tests that messages keep the encoding recorded from version 883dea8."""

from __future__ import annotations

import json

import pytest

from gullmount.consensus import messages
from gullmount.rpc import decode_as
from tests.support.paths import DATA

RECORDED_MESSAGES = [
    json.loads(line) for line in (DATA / "replicas_883dea8" / "messages.jsonl").read_text().splitlines()
]


@pytest.mark.parametrize(("kind", "text"), RECORDED_MESSAGES)
def test_recorded_message_decodes_and_encodes_to_the_same_bytes(kind: str, text: str) -> None:
    message = decode_as(text.encode(), getattr(messages, kind))
    assert messages.encode(message).decode() == text


def test_each_message_type_has_a_recorded_example() -> None:
    kinds = {kind for kind, _ in RECORDED_MESSAGES}
    expected_kinds = {kind.__name__ for kind in (*messages.REQUESTS.values(), *messages.ANSWERS.values())}
    assert (
        expected_kinds <= kinds
        and {"RejectedAnswer", "RegisterAnswer", "RegisterLine", "GroupAnswer"} <= kinds
    )
