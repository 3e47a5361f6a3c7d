"""Tests receiving lines into a topic store, some of them malformed."""

from __future__ import annotations

from typing import Any

import pytest

from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.update_receiver import UpdateReceiver
from gullmount.distribution.versions import NO_VERSION, Version
from tests.support.subscription_scene import (
    CONFIG,
    EPOCH,
    MALFORMED_TOPICS,
    PAY,
    WALL,
    entries_of,
    update_line,
)


@pytest.mark.parametrize("malformed", MALFORMED_TOPICS)
def test_malformed_topic_is_dropped_counted_and_requested_without_effect_on_others(
    malformed: dict[str, Any],
) -> None:
    receiver = UpdateReceiver(TopicStore([PAY, CONFIG]))
    receiver.receive(
        update_line(
            [{"topic": PAY, "version": [EPOCH, 1], "whole": True, "entries": {"a": 1}}], Version(EPOCH, 1)
        ),
        WALL,
    )
    valid = {"topic": CONFIG, "version": [EPOCH, 2], "whole": True, "entries": {"routes": [1]}}
    for _ in range(3):
        result = receiver.receive(update_line([malformed, valid], Version(EPOCH, 3)), WALL)
    assert receiver.counters.not_understood == 3 and not result.errors, "an error is logged once per stream"
    assert entries_of(receiver.store, PAY) == {"a": 1} and entries_of(receiver.store, CONFIG) == {
        "routes": [1]
    }
    assert receiver.due_requests(0.0) == {PAY: NO_VERSION} and receiver.due_requests(1.0) == {}
    assert [now for now in range(200) if receiver.due_requests(float(now))] == [3, 9, 21, 45, 93, 141, 189]
    receiver.receive(
        update_line(
            [{"topic": PAY, "version": [EPOCH, 3], "whole": True, "entries": {"b": 2}}], Version(EPOCH, 3)
        ),
        WALL,
    )
    assert entries_of(receiver.store, PAY) == {"b": 2} and receiver.due_requests(500.0) == {}


def test_topic_without_a_valid_name_is_dropped_without_effect_on_others() -> None:
    receiver = UpdateReceiver(TopicStore([CONFIG]))
    valid = {"topic": CONFIG, "version": [EPOCH, 2], "whole": True, "entries": {"routes": [1]}}
    for number, malformed in enumerate(
        [7, None, {}, {"topic": 3}, {"topic": "other/x"}, {"topic": "boxes/"}]
    ):
        valid["version"] = [EPOCH, number + 1]
        result = receiver.receive(update_line([malformed, valid], Version(EPOCH, 9)), WALL)  # type: ignore[list-item]
        assert len(result.updates) == 1 and receiver.counters.not_understood == number + 1


def test_update_of_a_topic_not_subscribed_to_is_dropped_and_counted() -> None:
    receiver = UpdateReceiver(TopicStore([CONFIG]))
    topic = {"topic": PAY, "version": [EPOCH, 1], "whole": True, "entries": {"a": 1}}
    result = receiver.receive(update_line([topic], Version(EPOCH, 1)), WALL)
    assert result.errors and not result.updates and not receiver.store.logs and receiver.counters.unasked == 1


def test_line_of_a_lower_epoch_is_refused_logged_once_and_counted() -> None:
    receiver = UpdateReceiver(TopicStore([PAY]))
    higher_epoch_topic = {"topic": PAY, "version": [EPOCH + 5, 1], "whole": True, "entries": {"a": 1}}
    receiver.receive(update_line([higher_epoch_topic], Version(EPOCH + 5, 1)), WALL)
    lower_epoch_topic = {"topic": PAY, "version": [EPOCH, 900], "whole": True, "entries": {"a": 0}}
    results = [
        receiver.receive(update_line([lower_epoch_topic], Version(EPOCH, 900)), WALL) for _ in range(3)
    ]
    assert [len(line_result.errors) for line_result in results] == [1, 0, 0] and all(
        line_result.sender_is_behind for line_result in results
    )
    assert receiver.counters.lower_epoch == 3 and entries_of(receiver.store, PAY) == {"a": 1}
