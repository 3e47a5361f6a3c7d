"""The subscribers of a relay or the origin: what each was sent, has in force and is still to be sent.

No I/O, clock or randomness: times, in seconds of one clock, are handed in. What a subscriber is sent next is
always the newest version of each topic that changed.
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
DISCONNECT_GRACE_SECONDS = 5.0  # for which a subscriber counts after its stream ended: most reconnect within
UNUSED_TOPIC_TIMEOUT_SECONDS = 60.0  # without subscribers, after which a topic is dropped


@dataclass(frozen=True)
class Batch:
    """One line for one subscriber, and how many topics are in it."""

    line: bytes
    topics: int


class Subscriptions:
    """The subscribers of the topics in `store`, which others change; `topics_changed` hears of each change.

    A session is the number of one stream of a subscriber: calls for an earlier stream change nothing.
    """

    def __init__(
        self,
        store: TopicStore,
        *,
        max_subscribers: int = MAX_SUBSCRIBERS,
        grace_seconds: float = DISCONNECT_GRACE_SECONDS,
    ) -> None:
        """Start without subscribers."""
        self.store = store
        self.max_subscribers = max_subscribers
        self.grace_seconds = grace_seconds
        self.by_subscriber: dict[str, Subscription] = {}
        self.by_topic: dict[str, dict[str, Subscription]] = {}
        self.unsettled: dict[str, Subscription] = {}  # a summary must look at these one by one
        self.count_by_zone: dict[str, int] = {}
        self.disconnected: dict[str, float] = {}  # since when by name, the longest first
        self.unused_topics: dict[str, float] = {}  # since when, the longest first
        self.last_session = 0

    # Who subscribes to what

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
        """Begin a subscriber's stream; returns its session. What was known of the subscriber is dropped.

        `held`: the versions that it holds, which are in force except where `in_force` says what is;
        `as_of`: the version up to which these were everything. Whoever serves an earlier stream of the
        subscriber is to end it. Raises TooManySubscribersError.
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
        """Subscribe to more topics, or request some again (NO_VERSION). False: there is no such stream."""
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return False
        self.add_subscription_topics(subscription, held, {}, NO_VERSION)
        self.progress_changed(subscription)
        return True

    def remove_topics(self, name: str, session: int, topics: Iterable[str], now: float) -> bool:
        """Unsubscribe from topics. False: there is no such stream."""
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return False
        for topic in topics:
            if subscription.includes(topic):
                self.remove_subscription_topic(subscription, topic, now)
        self.progress_changed(subscription)
        return True

    def disconnect(self, name: str, session: int, now: float) -> None:
        """Note that a stream ended; it is not the subscriber's current one if it has begun another."""
        subscription = self.active_subscription(name, session)
        if subscription is None:
            return
        subscription.disconnected_at = now
        subscription.first_sent.clear()  # whether it received that is not known
        for topics in subscription.unsent:
            topics.clear()
        self.disconnected[name] = now
        self.progress_changed(subscription)

    def expire(self, now: float) -> list[str]:
        """Remove subscribers that were disconnected for longer than the grace period; their names."""
        expired: list[str] = []
        for name, since in self.disconnected.items():
            if now - since < self.grace_seconds:
                break
            expired.append(name)
        for name in expired:
            self.remove(name, now)
        return expired

    def take_unused_topics(self, now: float) -> list[str]:
        """Topics that nobody has subscribed to for a while; each is returned once."""
        unused: list[str] = []
        for topic, since in self.unused_topics.items():
            if now - since < UNUSED_TOPIC_TIMEOUT_SECONDS:
                break
            unused.append(topic)
        for topic in unused:
            del self.unused_topics[topic]
        return unused

    def active_subscription(self, name: str, session: int) -> Subscription | None:
        """The subscription whose stream has this session, if that has not ended."""
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
        """Add topics to a subscription, with the versions that the subscriber holds and has in force."""
        for topic, version in held.items():
            known = subscription.in_force.get(topic, NO_VERSION)  # in force still if requested again
            subscription.sent[topic] = version
            subscription.in_force[topic] = max(known, in_force.get(topic, version))
            if as_of > version and subscription.in_force[topic] == version:
                subscription.complete_as_of[topic] = as_of
            if subscription.in_force[topic] == NO_VERSION != version:
                subscription.first_sent.setdefault(topic, version)  # it is about to apply it
            self.by_topic.setdefault(topic, {})[subscription.name] = subscription
            self.unused_topics.pop(topic, None)
            self.refresh_topic(subscription, topic)

    def refresh_topic(self, subscription: Subscription, topic: str) -> None:
        """Find out what is to be sent and what is not in force, after either side changed."""
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
        """Remove a subscriber, if there is one of the name."""
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
        """Remove one topic from a subscription."""
        subscription.remove_topic(topic)
        others = self.by_topic[topic]
        del others[subscription.name]
        if not others:
            del self.by_topic[topic]
            self.unused_topics[topic] = now

    # What is sent

    def topics_changed(self, *topics: str) -> list[str]:
        """Topics have new versions, or gaps: the names of subscribers for which there is something to send.

        All topics of one change or message at once, before anything more is sent: a line says that up to its
        `as_of` all was sent, which holds only once all that changed is marked.
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
        """The newest of each topic to be sent, as many as fit and one at least; None if there is none.

        They count as sent: a stream that breaks then is begun again with what was received.
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
        """The topic's newest version is in a batch."""
        is_configuration = topic in subscription.unsent[CONFIGURATION_QUEUE]
        subscription.next_queue = ENDPOINT_QUEUE if is_configuration else CONFIGURATION_QUEUE
        subscription.mark_sent(topic)
        subscription.sent[topic] = self.store.version(topic)
        if subscription.in_force[topic] == NO_VERSION:
            subscription.first_sent.setdefault(topic, subscription.sent[topic])
            subscription.progress = None

    def encoded_update(self, subscription: Subscription, topic: str) -> bytes:
        """The update that brings the subscriber from what it was sent to the newest version."""
        return self.store.encoded_update(topic, subscription.sent[topic], subscription.with_history)

    def heartbeat(self, name: str, session: int, origin_silent_seconds: float = 0.0) -> bytes | None:
        """A line without updates; None if the stream has ended.

        `origin_silent_seconds`: at a relay, since when the origin was not heard, where that is to be said.
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
        """Up to which version the subscriber's topics are complete here."""
        complete = self.store.as_of
        for topic, version in self.store.gaps.items():
            if subscription.includes(topic):
                complete = min(complete, version)
        return complete

    def has_more(self, subscription: Subscription) -> bool:
        """Whether not all that the subscriber asked for was sent yet."""
        return subscription.has_unsent() or bool(subscription.unknown_topics)

    def next_batch_bytes(self, name: str, session: int) -> int:
        """Size of the smallest next batch in bytes; 0 if nothing is to be sent."""
        subscription = self.active_subscription(name, session)
        topic = subscription.next_topic() if subscription is not None else None
        if subscription is None or topic is None:
            return 0
        return LINE_FRAME_BYTES + len(self.encoded_update(subscription, topic))

    # What is in force

    def acknowledge(
        self, name: str, in_force: Mapping[str, Version], rejections: Mapping[str, Rejection]
    ) -> bool:
        """Note what a subscriber has applied since its last report, and what it can't use.

        An earlier report that comes late changes nothing. False for a subscriber that is not known.
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
        """A newer version of the topic is in force at the subscriber."""
        subscription.in_force[topic] = version
        subscription.complete_as_of.pop(topic, None)
        subscription.first_sent.pop(topic, None)
        rejection = subscription.rejections.get(topic)
        if rejection is not None and rejection.version <= version:
            del subscription.rejections[topic]
        self.refresh_topic(subscription, topic)

    def record_rejections(self, subscription: Subscription, rejections: Mapping[str, Rejection]) -> None:
        """Note versions that the subscriber can't use, unless a newer one is in force or rejected."""
        for topic, rejection in rejections.items():
            version = rejection.version
            if not subscription.includes(topic) or version <= subscription.in_force[topic]:
                continue
            known = subscription.rejections.get(topic)
            if known is None or known.version <= version:
                reason = rejection.reason[:MAX_REASON_CHARACTERS]
                subscription.rejections[topic] = Rejection(*version, reason)

    def progress_changed(self, subscription: Subscription) -> None:
        """Something of the subscription changed: its progress is to be computed again."""
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
        """The subscriber's progress, computed again only after something of it changed."""
        if subscription.progress is None:
            subscription.progress = self.compute_progress(subscription)
        return subscription.progress

    def compute_progress(self, subscription: Subscription) -> SubscriberProgress:
        """The subscriber's progress from its topics."""
        return compute_subscriber_progress(subscription, self.store)

    def summary(self) -> dict[str, InForceSummary]:
        """What is in force by zone, from the unsettled subscriptions only."""
        by_zone: dict[str, list[Subscription]] = {zone: [] for zone in self.count_by_zone}
        for subscription in self.unsettled.values():
            by_zone[subscription.zone].append(subscription)
        as_of = self.store.as_of
        return {
            zone: summarize_zone(self.count_by_zone[zone], unsettled, self.progress, as_of)
            for zone, unsettled in sorted(by_zone.items())
        }
