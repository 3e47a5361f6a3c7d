"""Tests what counts as in force at subscribers, also against a reference model."""

from __future__ import annotations

from collections import Counter

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from gullmount.distribution.in_force_summary import InForceSummary, UnusableVersion, merge_summaries
from gullmount.distribution.subscription import SubscriberProgress, Subscription
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.topic_store import ApplyResult, TopicStore
from gullmount.distribution.versions import NO_VERSION, Version
from tests.support.subscription_scene import CONFIG, EPOCH, PAY, WALL, Scene, topic_update


def test_subscriber_counts_as_behind_until_it_has_acknowledged() -> None:
    scene = Scene(services=2)
    for name, zone in (("u", "a"), ("v", "a"), ("w", "b")):
        scene.join(name, zone)
    assert scene.subscriptions.summary()["a"] == InForceSummary(subscribers=2, starting=2)
    scene.settle("u", "v", "w")
    first = scene.topics.as_of
    assert scene.subscriptions.summary()["a"] == InForceSummary(
        subscribers=2, lowest=first, lowest_used=first
    )
    other = scene.change(("boxes/1", "other", 1))
    scene.settle("u", "v", "w")
    newest = scene.change(("config/0", "k", 1))
    scene.settle("u", "w")
    zones = scene.subscriptions.summary()
    assert zones["b"].lowest == newest and zones["b"].behind == 0
    assert zones["a"].lowest == other, "everything before the change that is missing is in force"
    assert zones["a"].behind_names == (("v", other),)
    assert scene.batch("v") == ["config/0"]
    assert scene.subscriptions.summary()["a"].behind == 1, "a version that was sent is not in force yet"
    scene.report("v")
    assert scene.subscriptions.summary()["a"] == InForceSummary(
        subscribers=2, lowest=newest, lowest_used=newest
    )
    assert not scene.subscriptions.unsettled


@settings(max_examples=100, deadline=None)
@given(st.data())
def test_lowest_version_matches_a_reference_model(data: st.DataObject) -> None:
    """The lowest version of a zone never exceeds that of the model, and equals it once all is reported.

    The model goes through all changes in order, up to the first one that a subscriber does not have in force.
    """
    scene = Scene(services=2)
    all_changes: list[tuple[Version, set[str]]] = [(scene.topics.as_of, set(scene.names))]
    topics_by_subscriber = {"u": scene.names, "v": scene.names[:1], "w": scene.names[1:]}
    for name, topics in topics_by_subscriber.items():
        scene.join(name, topics=topics)
        scene.settle(name)

    def model_lowest_version() -> Version:
        lowest = scene.topics.as_of
        for name, topics in topics_by_subscriber.items():
            reached_version = NO_VERSION
            for version, changed in all_changes:
                reported = scene.subscriptions.by_subscriber[name].in_force
                if any(reported[topic] < version for topic in changed & set(topics)):
                    break
                reached_version = version
            lowest = min(lowest, reached_version)
        return lowest

    for _ in range(data.draw(st.integers(1, 25))):
        action = data.draw(st.sampled_from(["change", "change", "batch", "report", "rejoin"]))
        subscriber_name = data.draw(st.sampled_from(sorted(topics_by_subscriber)))
        if action == "change":
            topics = data.draw(st.sets(st.sampled_from(scene.names), min_size=1, max_size=2))
            all_changes.append((scene.change(*((t, "k", len(all_changes)) for t in sorted(topics))), topics))
        elif action == "batch":
            scene.batch(subscriber_name, 1)
        elif action == "report":
            scene.report(subscriber_name)
        else:
            scene.join(subscriber_name)
        assert (scene.subscriptions.summary()["a"].lowest or NO_VERSION) <= model_lowest_version()
    for subscriber_name in topics_by_subscriber:
        scene.settle(subscriber_name)
    assert scene.subscriptions.summary()["a"].lowest == model_lowest_version() == scene.topics.as_of


def test_subscriber_that_rejects_a_version_is_named_and_does_not_count_as_behind() -> None:
    scene = Scene()
    scene.join("u")
    scene.join("v")
    scene.settle("u", "v")
    previous_version = scene.topics.as_of
    rejected_version = scene.change(("config/0", "k", "bad"))
    scene.settle("v")
    batch = scene.subscriptions.next_batch("u", scene.sessions["u"], 1000)
    assert batch is not None
    scene.receivers["u"].receive(batch.line, WALL)
    scene.acknowledgements["u"].record_rejected("config/0", rejected_version, "no such route: " + "x" * 500)
    scene.report("u")
    zone_summary = scene.subscriptions.summary()["a"]
    assert zone_summary.unusable_versions == (
        UnusableVersion("u", "config/0", rejected_version, ("no such route: " + "x" * 500)[:100]),
    )
    assert (zone_summary.behind, zone_summary.unusable) == (0, 1), (
        "a subscriber that rejected the version does not count as behind"
    )
    assert (zone_summary.lowest, zone_summary.lowest_used) == (rejected_version, previous_version)
    # The rejection is kept when the subscriber begins a new stream.
    scene.join("u", now=1.0)
    assert scene.subscriptions.summary()["a"] == zone_summary
    # After a newer version, the subscriber is behind again until that is in force.
    newest_version = scene.change(("config/0", "k", "good"))
    zone_summary = scene.subscriptions.summary()["a"]
    assert (zone_summary.behind, zone_summary.unusable, zone_summary.lowest) == (
        2,
        0,
        rejected_version,
    ) or zone_summary.lowest == previous_version
    scene.settle("u", "v")
    assert scene.subscriptions.summary()["a"] == InForceSummary(
        subscribers=2, lowest=newest_version, lowest_used=newest_version
    )


def test_disconnected_subscriber_is_counted_and_named_for_the_grace_period() -> None:
    scene = Scene(grace=5.0)
    scene.join("u")
    scene.join("v")
    scene.settle("u", "v")
    old = scene.topics.as_of
    scene.subscriptions.disconnect("v", scene.sessions["v"], 10.0)
    newest = scene.change(("config/0", "k", 1))
    scene.settle("u")
    zone_summary = scene.subscriptions.summary()["a"]
    assert (
        zone_summary.subscribers,
        zone_summary.disconnected,
        zone_summary.disconnected_names,
        zone_summary.lowest,
    ) == (
        2,
        1,
        ("v",),
        old,
    )
    scene.subscriptions.expire(15.0)
    assert scene.subscriptions.summary() == {
        "a": InForceSummary(subscribers=1, lowest=newest, lowest_used=newest)
    }


def test_gap_lowers_the_version_of_subscribers_of_its_topic_only() -> None:
    relay = TopicStore([PAY, CONFIG])
    subscriptions = Subscriptions(relay)
    at = Version(EPOCH, 4)
    for name in (PAY, CONFIG):
        relay.apply(topic_update(name, Version(EPOCH, 2), {}, is_snapshot=True), at)
    relay.note_progress(at, at)
    subscriptions.subscribe("u", "a", {PAY: Version(EPOCH, 2)}, 0.0)
    subscriptions.subscribe("v", "b", {CONFIG: Version(EPOCH, 2)}, 0.0)
    assert (
        relay.apply(topic_update(PAY, Version(EPOCH, 9), {}, base_revision=7), Version(EPOCH, 9))
        is ApplyResult.GAP
    )
    subscriptions.topics_changed(PAY)
    relay.note_progress(Version(EPOCH, 9), Version(EPOCH, 9))
    zones = subscriptions.summary()
    assert (zones["a"].lowest, zones["a"].behind) == (at, 1) and zones["b"].lowest == (EPOCH, 9)
    relay.apply(topic_update(PAY, Version(EPOCH, 9), {}, is_snapshot=True), Version(EPOCH, 9))
    subscriptions.topics_changed(PAY)
    assert subscriptions.summary()["a"].lowest == at
    subscriptions.acknowledge("u", {PAY: Version(EPOCH, 9)}, {})
    assert subscriptions.summary()["a"].lowest == (EPOCH, 9)


def test_subscriber_that_changes_relays_is_counted_at_its_as_of_version_at_once() -> None:
    """The versions of its topics are old, but were still current at a much later version.

    The new relay must report the later version, not the old ones.
    """
    scene = Scene(services=2)
    scene.join("u", topics=["boxes/0", "config/0"])
    scene.settle("u")
    for number in range(5):
        scene.change(("boxes/1", "k", number + 1))
    scene.receivers["u"].receive(scene.subscriptions.heartbeat("u", scene.sessions["u"]) or b"", WALL)
    request = scene.acknowledgements["u"].subscribe_request(scene.receivers["u"].store)
    assert request.as_of == scene.topics.as_of and not request.in_force
    new_relay = Subscriptions(TopicStore(["boxes/0", "config/0"]))
    new_relay.subscribe("u", "a", request.held, 0.0, in_force=request.in_force, as_of=request.as_of)
    new_relay.store.as_of = request.as_of
    assert new_relay.summary()["a"].lowest == request.as_of


def test_names_beyond_the_limit_are_counted_only() -> None:
    scene = Scene()
    for number in range(50):
        scene.join(f"u-{number:02}")
        scene.settle(f"u-{number:02}")
    scene.change(("config/0", "k", 1))
    zone_summary = scene.subscriptions.summary()["a"]
    assert zone_summary.behind == 50 and [name for name, _ in zone_summary.behind_names] == [
        f"u-{n:02}" for n in range(20)
    ]
    merged_summary = merge_summaries([zone_summary, zone_summary])
    assert merged_summary.behind == 100 and len(merged_summary.behind_names) == 20


def test_summary_computes_progress_of_unsettled_subscribers_only(monkeypatch: pytest.MonkeyPatch) -> None:
    scene = Scene(services=2)
    for number in range(300):
        topics = scene.names[:2] if number else scene.names
        scene.join(f"u-{number}", zone=f"zone-{number % 3}", topics=topics)
        scene.settle(f"u-{number}")
    computation_counts: Counter[str] = Counter()
    original_compute_progress = Subscriptions.compute_progress

    def count_computation(subscriptions: Subscriptions, subscriber: Subscription) -> SubscriberProgress:
        computation_counts[subscriber.name] += 1
        return original_compute_progress(subscriptions, subscriber)

    monkeypatch.setattr(Subscriptions, "compute_progress", count_computation)
    scene.subscriptions.summary()
    assert not computation_counts
    scene.change(("config/1", "k", 1))
    for _ in range(5):
        scene.subscriptions.summary()
    assert computation_counts == {"u-0": 1}, "progress is computed once after each change of a subscription"
    scene.change(("boxes/1", "k", 1))
    scene.settle("u-0")
    assert scene.subscriptions.summary()["zone-0"].lowest == scene.topics.as_of and computation_counts == {
        "u-0": 1
    }
