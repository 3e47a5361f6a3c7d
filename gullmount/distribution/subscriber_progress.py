"""Computes up to which version everything is in force at a subscriber, and summarizes this by zone.

The module performs no I/O and uses neither a clock nor randomness.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import nsmallest

from gullmount.distribution.in_force_summary import (
    MAX_LISTED_SUBSCRIBERS,
    InForceSummary,
    LaggingSubscriber,
    UnusableVersion,
)
from gullmount.distribution.subscription import SubscriberProgress, Subscription
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.versions import NO_VERSION, Version


def rejects_newest(subscription: Subscription, topic: str, store: TopicStore) -> bool:
    """Return whether the subscriber rejected the newest version of the topic."""
    rejection = subscription.rejections.get(topic)
    return rejection is not None and rejection.version >= store.version(topic) > NO_VERSION


def in_force_up_to(subscription: Subscription, topic: str, version: Version, store: TopicStore) -> Version:
    """Return the version up to which all changes of a topic are in force.

    Args:
        subscription: Subscription to the topic.
        topic: Topic to examine. Its newest version is not in force, or the store has a gap in it.
        version: Version of the topic that counts as in force.
        store: Store that holds the topic.
    """
    log = store.logs.get(topic)
    gap = store.gaps.get(topic)
    if log is not None and version < log.version:
        version = log.in_force_up_to(version)
    elif log is not None and gap is not None:
        version = gap
    if subscription.complete_as_of:
        version = max(version, subscription.complete_as_of.get(topic, NO_VERSION))
    return version if gap is None else min(version, gap)


def compute_subscriber_progress(subscription: Subscription, store: TopicStore) -> SubscriberProgress:
    """Compute the progress of a subscriber.

    Topics that the subscriber never received set `is_starting` and don't affect the versions.
    """
    rejected = {topic for topic in subscription.rejections if rejects_newest(subscription, topic, store)}
    lowest: Version | None = None
    lowest_used: Version | None = None
    is_starting = is_behind = False
    for topic in subscription.not_in_force:
        version = subscription.first_sent.get(topic) or subscription.in_force[topic]
        if version == NO_VERSION:
            is_starting = True
            continue
        reached_version = in_force_up_to(subscription, topic, version, store)
        if lowest_used is None or reached_version < lowest_used:
            lowest_used = reached_version
        if topic not in rejected:
            is_behind = True
            if lowest is None or reached_version < lowest:
                lowest = reached_version
    return SubscriberProgress(lowest, lowest_used, is_starting, is_behind, bool(rejected))


def summarize_zone(
    count: int,
    unsettled: Iterable[Subscription],
    progress: Callable[[Subscription], SubscriberProgress],
    as_of: Version,
) -> InForceSummary:
    """Summarize the subscribers of a zone.

    Args:
        count: Number of subscribers in the zone.
        unsettled: Subscriptions to examine. All other subscribers have everything in force.
        progress: Returns the progress of a subscription.
        as_of: Version up to which the store is current.
    """
    lowest, lowest_used = as_of, as_of
    starting = unusable = 0
    behind: list[LaggingSubscriber] = []
    unusable_versions: list[UnusableVersion] = []
    disconnected: list[str] = []
    for subscription in unsettled:
        if subscription.disconnected_at is not None:
            disconnected.append(subscription.name)
        subscriber_progress = progress(subscription)
        reached_version = (
            as_of if subscriber_progress.lowest is None else min(as_of, subscriber_progress.lowest)
        )
        lowest = min(lowest, reached_version)
        if subscriber_progress.lowest_used is not None:
            lowest_used = min(lowest_used, subscriber_progress.lowest_used)
        starting += subscriber_progress.is_starting
        unusable += subscriber_progress.rejects_newest
        if subscriber_progress.is_behind and not subscriber_progress.is_starting:
            behind.append(LaggingSubscriber(subscription.name, reached_version))
        unusable_versions += [
            UnusableVersion(subscription.name, topic, rejection.version, rejection.reason)
            for topic, rejection in subscription.rejections.items()
        ]
    all_starting = count == starting
    return InForceSummary(
        subscribers=count,
        starting=starting,
        behind=len(behind),
        unusable=unusable,
        disconnected=len(disconnected),
        lowest=None if all_starting else lowest,
        lowest_used=None if all_starting else lowest_used,
        behind_names=tuple(
            nsmallest(MAX_LISTED_SUBSCRIBERS, behind, key=lambda lagging: (lagging[1], lagging[0]))
        ),
        unusable_versions=tuple(
            nsmallest(
                MAX_LISTED_SUBSCRIBERS,
                unusable_versions,
                key=lambda unusable_version: (
                    unusable_version.version,
                    unusable_version.subscriber,
                    unusable_version.topic,
                ),
            )
        ),
        disconnected_names=tuple(nsmallest(MAX_LISTED_SUBSCRIBERS, disconnected)),
    )
