"""Tests the topic stores of an origin, a relay and a subscriber, in part against a plain model."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullmount.distribution import (
    decoding,
    topic_log,
)
from gullmount.distribution.errors import TopicTooLargeError
from gullmount.distribution.topic_store import ApplyResult, TopicStore
from gullmount.distribution.versions import NO_VERSION, Version
from tests.support.subscription_scene import (
    CONFIG,
    EPOCH,
    PAY,
    WALL,
    entries_of,
    steps,
    topic_update,
    update_over_wire,
)


@settings(max_examples=150, deadline=None)
@given(
    changes=st.lists(steps, min_size=1, max_size=25),
    relay_receives=st.lists(st.booleans(), min_size=25, max_size=25),
    tombstones=st.integers(0, 4),
    history=st.booleans(),
)
def test_relay_and_subscriber_hold_each_version_as_it_was_at_the_origin(
    changes: list[list[tuple[str, int | None]]], relay_receives: list[bool], tombstones: int, history: bool
) -> None:
    """Compares relay and subscriber with a plain model at each version that they hold.

    The subscriber receives from the origin or from the relay, which itself receives at random. Few tombstones
    are kept.
    """
    original_limit, topic_log.MAX_TOMBSTONES = topic_log.MAX_TOMBSTONES, tombstones
    try:
        origin, relay, subscriber = TopicStore(epoch=EPOCH), TopicStore([PAY]), TopicStore([PAY])
        origin.open_topic(PAY)
        expected: dict[str, int] = {}
        expected_by_version = {Version(EPOCH, 0): {}}
        for number, (step, receives) in enumerate(zip(changes, relay_receives, strict=False)):
            version, _ = origin.commit((PAY, key, value) for key, value in step)
            for key, value in step:
                expected.pop(key, None)
                if value is not None:
                    expected[key] = value
            expected_by_version[version] = dict(expected)
            assert entries_of(origin, PAY) == expected
            if receives:
                assert relay.apply(update_over_wire(origin, relay, history=history), origin.as_of) in (
                    ApplyResult.APPLIED,
                    ApplyResult.STALE,
                )
                relay.note_progress(origin.as_of, origin.as_of)
            sender = origin if number % 3 else relay
            if subscriber.version(PAY) < sender.version(PAY):
                applied = subscriber.apply(update_over_wire(sender, subscriber), sender.as_of)
                assert applied in (ApplyResult.APPLIED, ApplyResult.STALE)
            for checked_store in (relay, subscriber):
                if PAY in checked_store.logs:
                    assert entries_of(checked_store, PAY) == expected_by_version[checked_store.version(PAY)]
        subscriber.apply(update_over_wire(origin, subscriber), origin.as_of)
        assert entries_of(subscriber, PAY) == expected
    finally:
        topic_log.MAX_TOMBSTONES = original_limit


def test_older_version_never_replaces_a_newer_one() -> None:
    store = TopicStore([PAY])
    assert (
        store.apply(topic_update(PAY, Version(EPOCH, 9), {"a": 9}, is_snapshot=True), Version(EPOCH, 9))
        is ApplyResult.APPLIED
    )
    for older in (Version(EPOCH, 9), Version(EPOCH, 8)):
        for as_snapshot in (True, False):
            assert (
                store.apply(topic_update(PAY, older, {"a": 1}, is_snapshot=as_snapshot), Version(EPOCH, 9))
                is ApplyResult.STALE
            )
    assert entries_of(store, PAY) == {"a": 9}


def test_higher_epoch_is_applied_and_lower_epoch_is_refused() -> None:
    store = TopicStore([PAY, CONFIG])
    first = Version(EPOCH, 500)
    assert store.apply(topic_update(PAY, first, {"a": 1}, is_snapshot=True), first) is ApplyResult.APPLIED
    store.note_progress(first, first)
    newer = Version(EPOCH + 1, 2)
    assert store.apply(topic_update(PAY, newer, {"a": 2}, is_snapshot=True), newer) is ApplyResult.APPLIED
    assert store.note_progress(newer, newer)
    lower = Version(EPOCH, 9_000)
    assert store.apply(topic_update(PAY, lower, {"a": 3}, is_snapshot=True), lower) is ApplyResult.LOWER_EPOCH
    assert (
        store.apply(topic_update(CONFIG, lower, {"a": 3}, is_snapshot=True), lower) is ApplyResult.LOWER_EPOCH
    )
    assert not store.note_progress(lower, lower)
    assert entries_of(store, PAY) == {"a": 2} and CONFIG not in store.logs and store.as_of == newer


def test_changes_of_another_epoch_are_a_gap_though_their_revisions_fit() -> None:
    store = TopicStore([PAY])
    store.apply(topic_update(PAY, Version(EPOCH, 5), {"a": 1}, is_snapshot=True), Version(EPOCH, 5))
    newer = Version(EPOCH + 1, 8)
    assert store.apply(topic_update(PAY, newer, {"b": 1}, base_revision=3), newer) is ApplyResult.GAP
    assert entries_of(store, PAY) == {"a": 1} and store.held_versions() == {PAY: NO_VERSION}


def test_changes_on_a_missing_base_are_a_gap_until_the_base_or_a_snapshot_comes() -> None:
    origin, store = TopicStore(epoch=EPOCH), TopicStore([PAY])
    for revision in range(1, 4):
        origin.commit([(PAY, "ab"[revision % 2], revision)])
        if revision == 1:
            store.apply(update_over_wire(origin, store), origin.as_of)
            base = origin.as_of
    later_changes = decoding.parse_topic_update(
        msgspec.Raw(origin.encoded_update(PAY, Version(EPOCH, 2), False)), origin.as_of, WALL
    )
    assert later_changes.base_revision == 2 and store.apply(later_changes, origin.as_of) is ApplyResult.GAP
    assert store.version(PAY) == base and store.held_versions() == {PAY: NO_VERSION}
    # The missing changes arrive late and apply to the held version, which closes the gap.
    missing_changes = topic_update(PAY, Version(EPOCH, 2), {"a": 2}, base_revision=1)
    assert store.apply(missing_changes, origin.as_of) is ApplyResult.APPLIED and not store.gaps
    assert store.apply(later_changes, origin.as_of) is ApplyResult.APPLIED
    assert entries_of(store, PAY) == entries_of(origin, PAY) == {"a": 2, "b": 3}


def test_gap_is_closed_by_a_snapshot_of_the_same_version() -> None:
    store = TopicStore([PAY])
    version = Version(EPOCH, 5)
    store.apply(topic_update(PAY, version, {"a": 1}, is_snapshot=True), version)
    assert store.mark_gap(PAY) and not store.mark_gap(CONFIG)
    assert (
        store.apply(topic_update(PAY, version, {"a": 1}, base_revision=5), version) is ApplyResult.STALE
        and store.gaps
    )
    assert (
        store.apply(topic_update(PAY, version, {"a": 1}, is_snapshot=True), version) is ApplyResult.APPLIED
        and not store.gaps
    )


def test_change_reverted_and_repeated_while_disconnected_arrives_as_one_change() -> None:
    origin, disconnected = TopicStore(epoch=EPOCH), TopicStore([PAY])
    origin.commit([(PAY, "a", "old"), (PAY, "b", 1)])
    disconnected.apply(update_over_wire(origin, disconnected), origin.as_of)
    for value in ("new", "old", "new"):
        origin.commit([(PAY, "a", value)])
    update = update_over_wire(origin, disconnected)
    assert not update.is_snapshot and set(update.entries) == {"a"}
    assert disconnected.apply(update, origin.as_of) is ApplyResult.APPLIED
    assert entries_of(disconnected, PAY) == {"a": "new", "b": 1}


def test_commit_of_unchanged_values_makes_no_revision() -> None:
    origin = TopicStore(epoch=EPOCH)
    version, topics = origin.commit([(PAY, "a", {"x": 1}), (CONFIG, "routes", [])])
    assert version == (EPOCH, 1) and sorted(topics) == [PAY, CONFIG]
    assert origin.commit([(PAY, "a", {"x": 1}), (PAY, "never", None)]) == (version, [])
    assert origin.commit([(PAY, "a", {"x": 2}), (CONFIG, "routes", [])]) == (Version(EPOCH, 2), [PAY])
    assert origin.logs[CONFIG].version == version


def test_commit_that_makes_a_topic_too_large_changes_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gullmount.distribution.topic_store.MAX_TOPIC_BYTES", 100)
    origin = TopicStore(epoch=EPOCH)
    origin.commit([(PAY, "a", "x" * 80)])
    with pytest.raises(TopicTooLargeError, match=PAY):
        origin.commit([(CONFIG, "routes", 1), (PAY, "b", "x" * 80)])
    assert origin.as_of == (EPOCH, 1) and CONFIG not in origin.logs
    origin.commit([(PAY, "a", None), (PAY, "b", "x" * 80)])
    assert origin.logs[PAY].size_bytes == 83


def test_cache_of_encoded_updates_is_bounded(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr("gullmount.distribution.topic_store.MAX_ENCODED_BYTES", 5_000)
    origin = TopicStore(epoch=EPOCH)
    for number in range(200):
        origin.commit([(f"boxes/{number}", "a", "x" * 100)])
        origin.encoded_update(f"boxes/{number}", NO_VERSION, False)
        assert sum(map(len, origin.encoded_updates.values())) == origin.encoded_bytes <= 5_000
    origin.commit([("boxes/0", "a", "x" * 9_000)])
    assert len(origin.encoded_update("boxes/0", NO_VERSION, False)) > 5_000 and origin.encoded_bytes <= 5_000
