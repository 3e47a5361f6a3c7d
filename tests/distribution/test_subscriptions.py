"""Tests what subscribers are sent and how their reports are recorded."""

from __future__ import annotations

import gc
import tracemalloc
from collections import Counter
from random import Random

import pytest

from gullmount.distribution.encoding import LINE_FRAME_BYTES
from gullmount.distribution.errors import TooManySubscribersError
from gullmount.distribution.in_force_summary import InForceSummary
from gullmount.distribution.subscription import Rejection, Subscription
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.versions import NO_VERSION, Version
from tests.support.subscription_scene import CONFIG, EPOCH, PAY, Scene, entries_of, topic_update


def test_subscriber_that_reads_nothing_gets_only_the_newest_versions() -> None:
    scene = Scene(services=2)
    scene.join("u")
    scene.settle("u")
    for revision in range(500):
        scene.change(("boxes/0", "k", revision + 1), ("boxes/0", f"passing-{revision % 7}", revision))
    assert scene.batch("u") == ["boxes/0"] and scene.batch("u") == []
    assert entries_of(scene.receivers["u"].store, "boxes/0") == entries_of(scene.topics, "boxes/0")
    assert scene.receivers["u"].counters.messages == 2


def test_memory_does_not_grow_while_subscribers_read_nothing() -> None:
    scene = Scene(services=20)
    for number in range(30):
        scene.join(f"u-{number}")
        if number % 3:
            scene.settle(f"u-{number}")
    random = Random(35)

    def change_topics(steps: int) -> None:
        for step in range(steps):
            name = scene.names[step % len(scene.names)]
            temporary_key = f"passing-{random.randrange(40)}"
            scene.change((name, "k", step % 10), (name, temporary_key, random.choice([None, 1])))

    # Tracing starts before the first changes because each change replaces earlier allocations.
    tracemalloc.start()
    allocated_bytes = []
    for _ in range(2):
        # The first round fills everything that is bounded, such as keys and tombstones.
        change_topics(15_000)
        gc.collect()
        allocated_bytes.append(tracemalloc.get_traced_memory()[0])
    tracemalloc.stop()
    assert allocated_bytes[1] - allocated_bytes[0] < 20_000, (
        f"{allocated_bytes} bytes after 15,000 and 30,000 changes"
    )
    for subscriber in scene.subscriptions.by_subscriber.values():
        assert sum(map(len, subscriber.unsent)) <= 40 and len(subscriber.not_in_force) <= 40


def test_batch_is_bounded_and_holds_at_least_one_topic() -> None:
    scene = Scene(services=10)
    scene.join("u")
    scene.change(*((name, "k", "x" * 1000) for name in scene.names))
    sizes = []
    while (batch := scene.subscriptions.next_batch("u", scene.sessions["u"], 3_500)) is not None:
        sizes.append(len(batch.line))
    assert max(sizes) <= 3_500 + LINE_FRAME_BYTES and len(sizes) == 7
    scene.change(("boxes/3", "k", "y" * 9_000))
    assert scene.subscriptions.next_batch_bytes("u", scene.sessions["u"]) > 9_000
    assert (
        scene.batch("u", 100) == ["boxes/3"]
        and scene.subscriptions.next_batch_bytes("u", scene.sessions["u"]) == 0
    )


def test_configuration_and_endpoints_alternate_and_configuration_goes_first() -> None:
    scene = Scene(services=4)
    scene.join("u")
    assert scene.batch("u", 1) == ["config/0"]
    scene.settle("u")
    scene.change(("boxes/0", "k", 1), ("boxes/1", "k", 1), ("boxes/2", "k", 1), ("config/3", "k", 1))
    sent_topics = []
    # boxes/0 and config/3 change before every batch but the first.
    for _ in range(8):
        sent_topics += scene.batch("u", 1)
        scene.change(("boxes/0", "k", len(sent_topics) + 10), ("config/3", "k", len(sent_topics) + 10))
    assert sent_topics[0] == "config/3"
    assert {"boxes/1", "boxes/2"} <= set(sent_topics[:6]) and sent_topics.count("config/3") == 4


def test_new_stream_of_a_subscriber_ends_the_earlier_one() -> None:
    scene = Scene()
    scene.join("u")
    first = scene.sessions["u"]
    scene.join("u")
    assert (
        scene.subscriptions.next_batch("u", first, 1000) is None
        and scene.subscriptions.heartbeat("u", first) is None
    )
    scene.subscriptions.disconnect("u", first, 1.0)
    assert scene.subscriptions.by_subscriber["u"].disconnected_at is None and scene.batch("u")


def test_update_sent_on_a_broken_stream_is_sent_again() -> None:
    scene = Scene()
    scene.join("u")
    scene.settle("u")
    scene.change(("boxes/0", "k", 7))
    # This batch is lost with the stream.
    assert scene.subscriptions.next_batch("u", scene.sessions["u"], 1000) is not None
    scene.subscriptions.disconnect("u", scene.sessions["u"], 1.0)
    scene.join("u", now=2.0)
    assert scene.batch("u") == ["boxes/0"] and entries_of(scene.receivers["u"].store, "boxes/0") == {"k": 7}


def test_unknown_topic_is_not_sent_as_empty() -> None:
    relay = TopicStore([PAY, CONFIG])
    subscriptions = Subscriptions(relay)
    session = subscriptions.subscribe("u", "a", {PAY: NO_VERSION, CONFIG: Version(EPOCH, 4)}, 0.0)
    assert subscriptions.next_batch("u", session, 1000) is None
    assert b'"more":true' in (subscriptions.heartbeat("u", session) or b"")
    relay.apply(topic_update(PAY, Version(EPOCH, 3), {}, is_snapshot=True), Version(EPOCH, 3))
    relay.note_progress(Version(EPOCH, 3), Version(EPOCH, 3))
    assert subscriptions.topics_changed(PAY) == ["u"]
    batch = subscriptions.next_batch("u", session, 1000)
    assert batch is not None and batch.topics == 1 and b'"more":true' in batch.line
    # The relay is behind the subscriber, so it sends nothing until it has a newer version.
    relay.apply(topic_update(CONFIG, Version(EPOCH, 3), {"routes": 1}, is_snapshot=True), Version(EPOCH, 3))
    assert subscriptions.topics_changed(CONFIG) == [] and b'"more"' not in (
        subscriptions.heartbeat("u", session) or b""
    )
    relay.apply(topic_update(CONFIG, Version(EPOCH, 5), {"routes": 2}, base_revision=3), Version(EPOCH, 5))
    assert subscriptions.topics_changed(CONFIG) == ["u"]


def test_topics_are_added_and_removed_on_the_same_stream() -> None:
    scene = Scene(services=3)
    scene.join("u", topics=["boxes/0"])
    scene.settle("u")
    receiver, session = scene.receivers["u"], scene.sessions["u"]
    receiver.store.subscribe(["boxes/1"])
    assert scene.subscriptions.add_topics("u", session, {"boxes/1": NO_VERSION})
    assert scene.batch("u") == ["boxes/1"]
    assert scene.subscriptions.remove_topics("u", session, ["boxes/0", "boxes/2"], 0.0)
    scene.change(("boxes/0", "k", 9))
    assert scene.batch("u") == [] and scene.subscriptions.unused_topics.keys() == {"boxes/0"}
    receiver.store.subscribe(["boxes/7"])
    assert receiver.due_requests(0.0) == {"boxes/7": NO_VERSION}
    assert not any(receiver.due_requests(float(now)) for now in range(1, 100)), (
        "a topic is requested once on a stream"
    )
    receiver.stream_started(100.0)
    assert receiver.due_requests(200.0) == {}
    assert not scene.subscriptions.add_topics("u", session + 1, {})
    assert not scene.subscriptions.remove_topics("v", session, [], 0.0)


def test_gap_is_closed_by_a_snapshot_on_the_same_stream() -> None:
    scene = Scene()
    scene.join("u")
    scene.settle("u")
    scene.change(("boxes/0", "k", 1))
    # This batch is lost.
    assert scene.subscriptions.next_batch("u", scene.sessions["u"], 1000) is not None
    scene.change(("boxes/0", "l", 1))
    scene.batch("u")
    receiver = scene.receivers["u"]
    assert receiver.counters.gaps == 1 and entries_of(receiver.store, "boxes/0") == {"k": 0}
    assert scene.subscriptions.add_topics("u", scene.sessions["u"], receiver.due_requests(0.0))
    assert scene.batch("u") == ["boxes/0"] and entries_of(receiver.store, "boxes/0") == {"k": 1, "l": 1}


def test_unused_topics_are_returned_once_after_the_timeout() -> None:
    scene = Scene(services=2, grace=5.0)
    scene.join("u", topics=["boxes/0"])
    scene.join("v", topics=["boxes/0", "boxes/1"])
    scene.subscriptions.disconnect("v", scene.sessions["v"], 10.0)
    assert scene.subscriptions.expire(14.9) == [] and scene.subscriptions.expire(15.0) == ["v"]
    assert scene.subscriptions.take_unused_topics(74.0) == [] and scene.subscriptions.take_unused_topics(
        75.0
    ) == ["boxes/1"]
    assert scene.subscriptions.take_unused_topics(80.0) == [] and not scene.subscriptions.unused_topics
    assert set(scene.subscriptions.by_topic) == {"boxes/0"}


def test_subscriber_beyond_the_limit_is_refused() -> None:
    subscriptions = Subscriptions(TopicStore(epoch=EPOCH), max_subscribers=2)
    subscriptions.subscribe("u", "a", {}, 0.0)
    subscriptions.subscribe("v", "a", {}, 0.0)
    with pytest.raises(TooManySubscribersError):
        subscriptions.subscribe("w", "a", {}, 0.0)
    subscriptions.subscribe("v", "a", {}, 0.0)


def test_late_or_repeated_acknowledgement_or_one_of_an_unsubscribed_topic_changes_nothing() -> None:
    scene = Scene()
    scene.join("u", topics=["config/0"])
    scene.settle("u")
    newest = scene.change(("config/0", "k", 1))
    scene.settle("u")
    assert scene.subscriptions.acknowledge("u", {"config/0": Version(EPOCH, 1), "boxes/0": newest}, {})
    assert scene.subscriptions.acknowledge(
        "u", {}, {"config/0": Rejection(EPOCH, 1, "late"), "boxes/0": Rejection(*newest, "x")}
    )
    assert scene.subscriptions.summary()["a"] == InForceSummary(
        subscribers=1, lowest=newest, lowest_used=newest
    )
    assert not scene.subscriptions.acknowledge("nobody", {}, {})


def test_change_or_acknowledgement_refreshes_only_subscribers_of_the_topic(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scene = Scene(services=50)
    for number in range(100):
        scene.join(f"u-{number}", topics=[f"boxes/{number % 50}", f"config/{number % 50}"])
        scene.settle(f"u-{number}")
    refresh_counts: Counter[tuple[str, str]] = Counter()
    original_refresh_topic = Subscriptions.refresh_topic

    def count_refresh(subscriptions: Subscriptions, subscriber: Subscription, topic: str) -> None:
        refresh_counts[subscriber.name, topic] += 1
        original_refresh_topic(subscriptions, subscriber, topic)

    monkeypatch.setattr(Subscriptions, "refresh_topic", count_refresh)
    scene.change(("boxes/7", "k", 1), ("config/8", "k", 1))
    endpoints_topic, config_topic = "boxes/7", "config/8"
    assert refresh_counts.keys() == {
        ("u-7", endpoints_topic),
        ("u-57", endpoints_topic),
        ("u-8", config_topic),
        ("u-58", config_topic),
    }
    assert set(refresh_counts.values()) == {1}
    refresh_counts.clear()
    scene.settle("u-7")
    assert refresh_counts == {("u-7", "boxes/7"): 1}
