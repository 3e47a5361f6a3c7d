"""Tracks, for each subscriber of a relay or the origin, what was sent, what is in force and what is unsent.

The next batch for a subscriber always carries the newest version of each topic that changed. The module
performs no I/O and uses neither a clock nor randomness. Callers pass times in seconds of a single clock.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from gullmount.distribution.encoding import LINE_FRAME_BYTES, encode_heartbeat, encode_update_line
from gullmount.distribution.errors import TooManySubscribersError
from gullmount.distribution.in_force_summary import MAX_REASON_CHARACTERS, InForceSummary
from gullmount.distribution.subscriber_progress import compute_subscriber_progress, summarize_zone
from gullmount.distribution.subscription import (
    CONFIGURATION_QUEUE,
    ENDPOINT_QUEUE,
    Rejection,
    SubscriberProgress,
    Subscription,
)
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.versions import NO_VERSION, Version

MAX_SUBSCRIBERS = 10_000
# A subscriber still counts for this long after its stream ended. Most subscribers reconnect within it.
DISCONNECT_GRACE_SECONDS = 5.0
# A topic is dropped after this long without subscribers.
UNUSED_TOPIC_TIMEOUT_SECONDS = 60.0


@dataclass(frozen=True)
class Batch:
    """An encoded line for one subscriber, and the number of topics in it."""

    line: bytes
    topics: int


class Subscriptions:
    """Manages the subscriptions to the topics of a store.

    The caller changes the store and reports each change with `topics_changed`. Each stream of a subscriber
    has a session number. Calls with the session of an earlier stream change nothing.
    """

    def __init__(
        self,
        store: TopicStore,
        *,
        max_subscribers: int = MAX_SUBSCRIBERS,
        grace_seconds: float = DISCONNECT_GRACE_SECONDS,
    ) -> None:
        """Create an instance without subscribers.

        Args:
            store: Holds the topics.
            max_subscribers: Maximum number of subscribers, including disconnected ones that are still kept.
            grace_seconds: How long a disconnected subscriber is kept.
        """
        self.store = store
        self.max_subscribers = max_subscribers
        self.grace_seconds = grace_seconds
        self.by_subscriber: dict[str, Subscription] = {}
        self.by_topic: dict[str, dict[str, Subscription]] = {}
        # Subscriptions that are disconnected, lack a newest version or have rejections. A summary reads
        # each of these; all others have everything in force.
        self.unsettled: dict[str, Subscription] = {}
        self.count_by_zone: dict[str, int] = {}
        # Time of disconnection by subscriber name, earliest first.
        self.disconnected: dict[str, float] = {}
        # Time of the last unsubscription by topic, earliest first.
        self.unused_topics: dict[str, float] = {}
        self.last_session = 0

    # Subscribing and unsubscribing

    def subscribe(
        self,
        name: str,
        zone: str,
        held: Mapping[str, Version],
        now: float,
        *,
        in_force: Mapping[str, Version] | None = None,
        rejections: Mapping[str, Rejection] | None = None,
        as_of: Version = NO_VERSION,
        with_history: bool = False,
    ) -> int:
        """Begin a stream of a subscriber, discard its earlier state and return the new session.

        The server of an earlier stream of the subscriber must end that stream.

        Args:
            name: Name of the subscriber.
            zone: Zone of the subscriber.
            held: Version held of each topic. It is in force unless `in_force` gives another version.
            now: Current time in seconds.
            in_force: Version in force of each topic where it differs from the one held.
            rejections: Versions that the subscriber cannot use.
            as_of: Version up to which the held versions were complete.
            with_history: Whether updates include history, which relays need.

        Raises:
            TooManySubscribersError: The name is new and the limit is reached.
        """
        if name not in self.by_subscriber and len(self.by_subscriber) >= self.max_subscribers:
            raise TooManySubscribersError(self.max_subscribers)
        self.remove(name, now)
        self.last_session += 1
        subscription = Subscription(name, zone, self.last_session, with_history)
        self.by_subscriber[name] = subscription
        self.count_by_zone[zone] = self.count_by_zone.get(zone, 0) + 1
        self.add_subscription_topics(subscription, held, in_force or {}, as_of)
        self.record_rejections(subscription, rejections or {})
        self.progress_changed(subscription)
        return subscription.session

    def add_topics(self, name: str, session: int, held: Mapping[str, Version]) -> bool:
        """Add topics to a subscription, or request topics again if they are held at NO_VERSION.

        Returns False if the session has no active stream.
        """
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return False
        self.add_subscription_topics(subscription, held, {}, NO_VERSION)
        self.progress_changed(subscription)
        return True

    def remove_topics(self, name: str, session: int, topics: Iterable[str], now: float) -> bool:
        """Unsubscribe from topics. Returns False if the session has no active stream."""
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return False
        for topic in topics:
            if subscription.includes(topic):
                self.remove_subscription_topic(subscription, topic, now)
        self.progress_changed(subscription)
        return True

    def disconnect(self, name: str, session: int, now: float) -> None:
        """Record the end of a stream. Does nothing if the subscriber has begun a later stream."""
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return
        subscription.disconnected_at = now
        # It is unknown whether the subscriber received these versions.
        subscription.first_sent.clear()
        for topics in subscription.unsent:
            topics.clear()
        self.disconnected[name] = now
        self.progress_changed(subscription)

    def expire(self, now: float) -> list[str]:
        """Remove subscribers disconnected for at least the grace period and return their names."""
        expired: list[str] = []
        for name, since in self.disconnected.items():
            if now - since < self.grace_seconds:
                break
            expired.append(name)
        for name in expired:
            self.remove(name, now)
        return expired

    def take_unused_topics(self, now: float) -> list[str]:
        """Return topics without subscribers for UNUSED_TOPIC_TIMEOUT_SECONDS, each of them once."""
        unused: list[str] = []
        for topic, since in self.unused_topics.items():
            if now - since < UNUSED_TOPIC_TIMEOUT_SECONDS:
                break
            unused.append(topic)
        for topic in unused:
            del self.unused_topics[topic]
        return unused

    def active_subscription(self, name: str, session: int) -> Subscription | None:
        """Return the subscription whose active stream has this session, or None."""
        subscription = self.by_subscriber.get(name)
        if subscription is None or subscription.session != session:
            return None
        return None if subscription.disconnected_at is not None else subscription

    def add_subscription_topics(
        self,
        subscription: Subscription,
        held: Mapping[str, Version],
        in_force: Mapping[str, Version],
        as_of: Version,
    ) -> None:
        """Add topics to a subscription with the versions that the subscriber holds and has in force."""
        for topic, version in held.items():
            # A topic that is requested again keeps its version in force.
            known = subscription.in_force.get(topic, NO_VERSION)
            subscription.sent[topic] = version
            subscription.in_force[topic] = max(known, in_force.get(topic, version))
            if as_of > version and subscription.in_force[topic] == version:
                subscription.complete_as_of[topic] = as_of
            if subscription.in_force[topic] == NO_VERSION != version:
                # The subscriber holds this version and is about to apply it.
                subscription.first_sent.setdefault(topic, version)
            self.by_topic.setdefault(topic, {})[subscription.name] = subscription
            self.unused_topics.pop(topic, None)
            self.refresh_topic(subscription, topic)

    def refresh_topic(self, subscription: Subscription, topic: str) -> None:
        """Update whether a topic is unsent and in force after the store or the subscriber changed."""
        log = self.store.logs.get(topic)
        if log is None:
            subscription.unknown_topics.add(topic)
            subscription.not_in_force[topic] = None
            return
        subscription.unknown_topics.discard(topic)
        if subscription.sent[topic] < log.version and subscription.disconnected_at is None:
            subscription.mark_unsent(topic)
        else:
            subscription.mark_sent(topic)
        if subscription.in_force[topic] < log.version or topic in self.store.gaps:
            subscription.not_in_force[topic] = None
        else:
            subscription.not_in_force.pop(topic, None)

    def remove(self, name: str, now: float) -> None:
        """Remove a subscriber. Does nothing if the name is unknown."""
        subscription = self.by_subscriber.pop(name, None)
        if subscription is None:
            return
        for topic in list(subscription.sent):
            self.remove_subscription_topic(subscription, topic, now)
        self.unsettled.pop(name, None)
        self.disconnected.pop(name, None)
        self.count_by_zone[subscription.zone] -= 1
        if not self.count_by_zone[subscription.zone]:
            del self.count_by_zone[subscription.zone]

    def remove_subscription_topic(self, subscription: Subscription, topic: str, now: float) -> None:
        """Remove a topic from a subscription and mark it unused if no subscriber is left."""
        subscription.remove_topic(topic)
        others = self.by_topic[topic]
        del others[subscription.name]
        if not others:
            del self.by_topic[topic]
            self.unused_topics[topic] = now

    # Sending

    def topics_changed(self, *topics: str) -> list[str]:
        """Mark topics with a new version or a gap, and return the subscribers that have updates to send.

        Callers pass all topics of one change or message at once, before they send another line. Each line
        states that everything up to its `as_of` was sent, which holds only once all changes are marked.
        """
        waiting: dict[str, None] = {}
        for topic in topics:
            for subscription in self.by_topic.get(topic, {}).values():
                self.refresh_topic(subscription, topic)
                self.progress_changed(subscription)
                if subscription.has_unsent():
                    waiting[subscription.name] = None
        return list(waiting)

    def next_batch(self, name: str, session: int, max_bytes: int) -> Batch | None:
        """Return the next batch of unsent topics, or None if there is none.

        A batch holds the newest versions of as many topics as fit into `max_bytes`, and at least one. Its
        topics count as sent. After a broken stream, the subscriber begins a new stream with the versions
        that it received.
        """
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return None
        updates: list[bytes] = []
        size = LINE_FRAME_BYTES
        while (topic := subscription.next_topic()) is not None:
            update = self.encoded_update(subscription, topic)
            size += len(update) + 1
            if updates and size > max_bytes:
                break
            updates.append(update)
            self.record_sent(subscription, topic)
        if not updates:
            return None
        line = encode_update_line(
            self.store.newest_seen, self.complete_version(subscription), self.has_more(subscription), updates
        )
        return Batch(line, len(updates))

    def record_sent(self, subscription: Subscription, topic: str) -> None:
        """Record that a batch contains the newest version of a topic."""
        is_configuration = topic in subscription.unsent[CONFIGURATION_QUEUE]
        subscription.next_queue = ENDPOINT_QUEUE if is_configuration else CONFIGURATION_QUEUE
        subscription.mark_sent(topic)
        subscription.sent[topic] = self.store.version(topic)
        if subscription.in_force[topic] == NO_VERSION:
            subscription.first_sent.setdefault(topic, subscription.sent[topic])
            subscription.progress = None

    def encoded_update(self, subscription: Subscription, topic: str) -> bytes:
        """Encode the update of a topic from the version last sent to the newest one."""
        return self.store.encoded_update(topic, subscription.sent[topic], subscription.with_history)

    def heartbeat(self, name: str, session: int, origin_silent_seconds: float = 0.0) -> bytes | None:
        """Encode a line without updates. Returns None if the stream has ended.

        Args:
            name: Name of the subscriber.
            session: Session of the stream.
            origin_silent_seconds: At a relay, seconds since the last message of the origin, if the line is
                to report them.
        """
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return None
        return encode_heartbeat(
            self.store.newest_seen,
            self.complete_version(subscription),
            self.has_more(subscription),
            origin_silent_seconds,
        )

    def complete_version(self, subscription: Subscription) -> Version:
        """Return the version up to which the subscribed topics are complete in the store."""
        complete = self.store.as_of
        for topic, version in self.store.gaps.items():
            if subscription.includes(topic):
                complete = min(complete, version)
        return complete

    def has_more(self, subscription: Subscription) -> bool:
        """Return whether any requested topic is unsent or not yet known to the store."""
        return subscription.has_unsent() or bool(subscription.unknown_topics)

    def next_batch_bytes(self, name: str, session: int) -> int:
        """Return the size in bytes of the smallest possible next batch, or 0 if nothing is unsent."""
        subscription = self.active_subscription(name, session)
        topic = subscription.next_topic() if subscription is not None else None
        if subscription is None or topic is None:
            return 0
        return LINE_FRAME_BYTES + len(self.encoded_update(subscription, topic))

    # Acknowledgements and progress

    def acknowledge(
        self, name: str, in_force: Mapping[str, Version], rejections: Mapping[str, Rejection]
    ) -> bool:
        """Record the versions that a subscriber applied or rejected since its last report.

        An earlier report that arrives late changes nothing. Returns False if the subscriber is unknown.
        """
        subscription = self.by_subscriber.get(name)
        if subscription is None:
            return False
        for topic, version in in_force.items():
            if subscription.includes(topic) and version > subscription.in_force[topic]:
                self.record_in_force(subscription, topic, version)
        self.record_rejections(subscription, rejections)
        self.progress_changed(subscription)
        return True

    def record_in_force(self, subscription: Subscription, topic: str, version: Version) -> None:
        """Record that a newer version of a topic is in force at the subscriber."""
        subscription.in_force[topic] = version
        subscription.complete_as_of.pop(topic, None)
        subscription.first_sent.pop(topic, None)
        rejection = subscription.rejections.get(topic)
        if rejection is not None and rejection.version <= version:
            del subscription.rejections[topic]
        self.refresh_topic(subscription, topic)

    def record_rejections(self, subscription: Subscription, rejections: Mapping[str, Rejection]) -> None:
        """Record rejected versions.

        A version is ignored if it or a newer one is in force, or if a newer one was rejected.
        """
        for topic, rejection in rejections.items():
            version = rejection.version
            if not subscription.includes(topic) or version <= subscription.in_force[topic]:
                continue
            known = subscription.rejections.get(topic)
            if known is None or known.version <= version:
                reason = rejection.reason[:MAX_REASON_CHARACTERS]
                subscription.rejections[topic] = Rejection(*version, reason)

    def progress_changed(self, subscription: Subscription) -> None:
        """Discard the cached progress of a changed subscription and update `unsettled`."""
        subscription.progress = None
        is_settled = (
            not subscription.not_in_force
            and not subscription.rejections
            and subscription.disconnected_at is None
        )
        if is_settled:
            self.unsettled.pop(subscription.name, None)
        else:
            self.unsettled[subscription.name] = subscription

    def progress(self, subscription: Subscription) -> SubscriberProgress:
        """Return the progress of a subscriber, which is cached until the subscription changes."""
        if subscription.progress is None:
            subscription.progress = self.compute_progress(subscription)
        return subscription.progress

    def compute_progress(self, subscription: Subscription) -> SubscriberProgress:
        """Compute the progress of a subscriber from its topics."""
        return compute_subscriber_progress(subscription, self.store)

    def summary(self) -> dict[str, InForceSummary]:
        """Summarize by zone what is in force. Only unsettled subscriptions are read one by one."""
        by_zone: dict[str, list[Subscription]] = {zone: [] for zone in self.count_by_zone}
        for subscription in self.unsettled.values():
            by_zone[subscription.zone].append(subscription)
        as_of = self.store.as_of
        return {
            zone: summarize_zone(self.count_by_zone[zone], unsettled, self.progress, as_of)
            for zone, unsettled in sorted(by_zone.items())
        }
