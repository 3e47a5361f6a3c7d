"""Tests one topic's log: its tombstones, its history and the updates made from it."""

from __future__ import annotations

import pytest

from gullmount.distribution import (
    topic_log,
)
from gullmount.distribution.topic_log import TopicLog
from gullmount.distribution.topic_store import ApplyResult, TopicStore
from gullmount.distribution.versions import Version
from tests.support.subscription_scene import EPOCH, PAY, entries_of, update_over_wire


def test_new_epoch_sends_only_differences_to_a_subscriber_at_its_relays_version() -> None:
    old_origin, new_origin = TopicStore(epoch=EPOCH), TopicStore(epoch=EPOCH + 7)
    initial_changes = [(PAY, f"box-{number}", number) for number in range(9)]
    old_origin.commit([*initial_changes, (PAY, "gone-meanwhile", 1)])
    relay, at_relay_version, behind = TopicStore([PAY]), TopicStore([PAY]), TopicStore([PAY])
    behind.apply(update_over_wire(old_origin, behind), old_origin.as_of)
    old_origin.commit([(PAY, "box-0", 0.5)])
    for store in (relay, at_relay_version):
        store.apply(update_over_wire(old_origin, store), old_origin.as_of)
    new_origin.commit([*initial_changes, (PAY, "new", 1)])
    relay.apply(update_over_wire(new_origin, relay, history=True), new_origin.as_of)
    new_origin.commit([(PAY, "box-8", None)])
    relay.apply(update_over_wire(new_origin, relay, history=True), new_origin.as_of)
    relay.note_progress(new_origin.as_of, new_origin.as_of)
    update = update_over_wire(relay, at_relay_version)
    assert not update.is_snapshot and set(update.entries) == {"box-0", "new", "gone-meanwhile", "box-8"}
    assert behind.apply(update, new_origin.as_of) is ApplyResult.GAP, (
        "the changes apply to the replaced version only, not to an earlier one"
    )
    assert at_relay_version.apply(update, new_origin.as_of) is ApplyResult.APPLIED
    assert update_over_wire(relay, behind).is_snapshot
    assert entries_of(at_relay_version, PAY) == entries_of(relay, PAY) == entries_of(new_origin, PAY)
    # It can send changes from its current version only, by revisions of the new epoch.
    assert at_relay_version.logs[PAY].history_floor == at_relay_version.version(PAY).revision


@pytest.mark.parametrize("other_keys", [3, topic_log.MAX_TOMBSTONES + 3])
def test_key_removed_while_disconnected_is_removed_even_without_its_tombstone(other_keys: int) -> None:
    origin, subscriber = TopicStore(epoch=EPOCH), TopicStore([PAY])
    origin.commit([(PAY, "a", 1), (PAY, "b", 1)])
    subscriber.apply(update_over_wire(origin, subscriber), origin.as_of)
    origin.commit([(PAY, "a", None)])
    for number in range(other_keys):
        origin.commit([(PAY, f"passing-{number}", 1)])
        origin.commit([(PAY, f"passing-{number}", None)])
    log = origin.logs[PAY]
    assert len(log.tombstones) <= topic_log.MAX_TOMBSTONES
    update = update_over_wire(origin, subscriber)
    assert update.is_snapshot is (other_keys > topic_log.MAX_TOMBSTONES)
    subscriber.apply(update, origin.as_of)
    assert entries_of(subscriber, PAY) == {"b": 1}


def test_relay_with_history_sends_changes_to_a_subscriber_that_moves_to_it() -> None:
    origin, moved_subscriber = TopicStore(epoch=EPOCH), TopicStore([PAY])
    origin.commit([(PAY, f"box-{number}", 1) for number in range(25)])
    moved_subscriber.apply(update_over_wire(origin, moved_subscriber), origin.as_of)
    origin.commit([(PAY, "box-3", 2), (PAY, "box-4", None)])
    relay = TopicStore([PAY])
    relay.apply(update_over_wire(origin, relay, history=True), origin.as_of)
    relay.note_progress(origin.as_of, origin.as_of)
    update = update_over_wire(relay, moved_subscriber)
    assert not update.is_snapshot and set(update.entries) == {"box-3", "box-4"}
    moved_subscriber.apply(update, relay.as_of)
    assert entries_of(moved_subscriber, PAY) == entries_of(origin, PAY)
    without_history = TopicStore([PAY])
    without_history.apply(update_over_wire(origin, without_history), origin.as_of)
    assert without_history.logs[PAY].history_floor == origin.as_of.revision, (
        "without history it cannot know which keys were removed earlier"
    )


def test_older_version_is_in_force_up_to_what_was_complete_before_the_next_change() -> None:
    log = TopicLog(Version(EPOCH, 3))
    log.recent_changes.append((Version(EPOCH, 3), Version(EPOCH, 8)))
    log.recent_changes.append((Version(EPOCH, 9), Version(EPOCH, 20)))
    log.version = Version(EPOCH, 21)
    assert log.in_force_up_to(Version(EPOCH, 2)) == (EPOCH, 2)
    assert log.in_force_up_to(Version(EPOCH, 3)) == (EPOCH, 8)
    assert log.in_force_up_to(Version(EPOCH, 9)) == (EPOCH, 20)
