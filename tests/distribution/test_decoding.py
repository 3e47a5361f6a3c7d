"""Tests that decoding refuses malformed messages, and only with InvalidMessageError."""

from __future__ import annotations

import json

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullmount.distribution import (
    decoding,
    encoding,
    messages,
)
from gullmount.distribution.in_force_summary import InForceSummary
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.update_receiver import UpdateReceiver
from gullmount.distribution.versions import Version
from gullmount.rpc import InvalidMessageError
from tests.support.subscription_scene import CONFIG, EPOCH, MALFORMED_TOPICS, PAY, WALL, update_line


def test_malformed_line_is_refused_and_the_error_names_the_field() -> None:
    valid_line = update_line(
        [{"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {}}], Version(EPOCH, 3)
    )
    assert isinstance(decoding.parse_line(valid_line, WALL), messages.UpdateLine)
    for line, problem in (
        (valid_line[: len(valid_line) // 2], "truncated|JSON"),
        (valid_line.replace(b'"v": 1', b'"v": 2'), "version: 2"),
        (valid_line.replace(b'"v": 1', b'"v": true'), "int"),
        (valid_line.replace(b'"kind": "told"', b'"kind": "x"'), "kind"),
        (b" " * (decoding.MAX_LINE_BYTES + 1), "overlong"),
        (b"[" * 100_000, "LineHeader"),
        (b"\xff\xfe", "LineHeader"),
        (update_line([], Version(EPOCH, 2**53)), "revision: from far ahead"),
        (update_line([], Version(EPOCH, 200_000_000)), "revision: from far ahead"),
        (update_line([], Version(EPOCH, -1)), "revision"),
        (update_line([], Version(-1, 1)), "epoch"),
        (
            update_line([], Version(int(WALL * 1000) + decoding.MAX_EPOCH_LEAD_MS + 1, 1)),
            "epoch: from far ahead",
        ),
        (update_line([], Version(10**30, 1)), "epoch|int"),
        (b'{"v":1,"kind":"alive","as_of":[1,1],"stale":-1}', "stale"),
    ):
        with pytest.raises(InvalidMessageError, match=problem):
            decoding.parse_line(line, WALL)
    highest_epoch = Version(int(WALL * 1000) + decoding.MAX_EPOCH_LEAD_MS, 1)
    assert decoding.parse_line(update_line([], highest_epoch), WALL).as_of == highest_epoch


ACKNOWLEDGEMENT_BODY = b'{"v":1,"follower":"u","in_force":{"boxes/pay":[1,2]}}'


@settings(max_examples=300, deadline=None)
@given(st.data())
def test_randomly_corrupted_message_raises_only_invalid_message_error(data: st.DataObject) -> None:
    parsers_and_bodies = [
        (lambda line: decoding.parse_line(line, WALL), update_line(MALFORMED_TOPICS[:2], Version(EPOCH, 3))),
        (
            lambda line: decoding.parse_subscribe_request(line, WALL),
            b'{"v":1,"follower":"u","zone":"a","have":{"boxes/pay":[1,2]},"unable":{"boxes/pay":[1,2,"x"]}}',
        ),
        (lambda line: decoding.parse_acknowledgement(line, WALL), ACKNOWLEDGEMENT_BODY),
        (
            lambda line: decoding.parse_relay_summary(line, WALL),
            encoding.encode(messages.RelaySummaryReport("r", {"a": InForceSummary(1)})),
        ),
        (
            decoding.parse_changes,
            b'{"v":1,"changes":[{"topic":"config/pay","key":"routes","value":{"a":[1]}}]}',
        ),
    ]
    parse_message, line = data.draw(st.sampled_from(parsers_and_bodies))
    parse_message(line)
    corrupted = bytearray(line)
    for _ in range(data.draw(st.integers(1, 4))):
        at = data.draw(st.integers(0, len(corrupted) - 1))
        corrupted[at : at + data.draw(st.integers(0, 3))] = data.draw(st.binary(max_size=3))
        if not corrupted:
            break
    receiver = UpdateReceiver(TopicStore([PAY, CONFIG]))
    receiver.receive(bytes(corrupted), WALL)
    try:
        parse_message(bytes(corrupted))
    except InvalidMessageError:
        pass


def test_malformed_request_is_refused() -> None:
    too_many = {f"boxes/{number}": [0, 0] for number in range(20_001)}
    for parse, body in (
        (decoding.parse_subscribe_request, {"follower": "", "zone": "a"}),
        (decoding.parse_subscribe_request, {"follower": "u", "zone": ""}),
        (decoding.parse_subscribe_request, {"follower": "u\n", "zone": "a"}),
        (decoding.parse_subscribe_request, {"follower": "u", "zone": "a", "have": {"nothing": [0, 0]}}),
        (decoding.parse_subscribe_request, {"follower": "u", "zone": "a", "have": {PAY: [EPOCH, 2**53]}}),
        (decoding.parse_subscribe_request, {"follower": "u", "zone": "a", "have": too_many}),
        (decoding.parse_subscribe_request, {"follower": "u", "zone": "a", "as_of": [int(WALL * 1e3) * 2, 1]}),
        (decoding.parse_acknowledgement, {"follower": "u", "in_force": {PAY: [1]}}),
        (decoding.parse_acknowledgement, {"follower": "u", "unable": {PAY: [EPOCH, -1, "x"]}}),
        (decoding.parse_relay_summary, {"relay": "r", "zones": {"a": {"followers": -1}}}),
        (decoding.parse_relay_summary, {"relay": "r", "zones": {"a": {"gone_names": ["x"] * 21}}}),
        (decoding.parse_relay_summary, {"relay": "r", "zones": {"a": {"lowest": [EPOCH, 2**53]}}}),
    ):
        with pytest.raises(InvalidMessageError):
            parse(json.dumps({"v": 1, **body}).encode(), WALL)
        with pytest.raises(InvalidMessageError, match="version: 2"):
            parse(json.dumps({"v": 2, **body}).encode(), WALL)
    with pytest.raises(InvalidMessageError):
        decoding.parse_changes(
            json.dumps({"v": 1, "changes": [{"topic": PAY, "key": "", "value": 1}]}).encode()
        )
    with pytest.raises(InvalidMessageError, match="overlong"):
        decoding.parse_subscribe_request(b" " * (decoding.MAX_REQUEST_BYTES + 1), WALL)
