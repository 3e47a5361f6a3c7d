"""Holds the state that a relay or the origin keeps for one subscriber.

The state consists of versions by topic and never of queued updates. It therefore doesn't grow while topics
change and the subscriber reads nothing. The module performs no I/O and uses neither a clock nor randomness.
"""

from __future__ import annotations

from typing import NamedTuple

from gullmount.distribution.versions import Version

CONFIGURATION_PREFIX = "config/"
CONFIGURATION_QUEUE, ENDPOINT_QUEUE = 0, 1


class Rejection(NamedTuple):
    """A version of a topic that a subscriber cannot use, with the reason. Also the format on the wire."""

    epoch: int
    revision: int
    reason: str

    @property
    def version(self) -> Version:
        """The rejected version."""
        return Version(self.epoch, self.revision)


class SubscriberProgress(NamedTuple):
    """The contribution of one subscriber to a summary.

    It is computed from the topics whose newest version is not in force at the subscriber.
    """

    lowest: Version | None
    """The version up to which everything is in force or rejected, or None if nothing is missing."""
    lowest_used: Version | None
    """Like `lowest`, but rejected versions count as not in force."""
    is_starting: bool
    """Whether some topic has not been received for the first time yet."""
    is_behind: bool
    """Whether some version that was not rejected is not in force yet."""
    rejects_newest: bool
    """Whether the newest version of some topic was rejected."""


class Subscription:
    """State of one subscriber, kept from its first stream until a grace period after its last."""

    __slots__ = (
        "complete_as_of",
        "disconnected_at",
        "first_sent",
        "in_force",
        "name",
        "next_queue",
        "not_in_force",
        "progress",
        "rejections",
        "sent",
        "session",
        "unknown_topics",
        "unsent",
        "with_history",
        "zone",
    )

    def __init__(self, name: str, zone: str, session: int, with_history: bool) -> None:
        """Create a subscription without topics.

        Args:
            name: Name of the subscriber.
            zone: Zone of the subscriber.
            session: Number of the current stream.
            with_history: Whether updates include history. Set for relays.
        """
        self.name = name
        self.zone = zone
        self.session = session
        self.with_history = with_history
        self.disconnected_at: float | None = None
        # All dicts are keyed by topic.
        self.sent: dict[str, Version] = {}
        self.in_force: dict[str, Version] = {}
        # Version up to which the topic was complete at the subscriber when it subscribed.
        self.complete_as_of: dict[str, Version] = {}
        # For topics with no version known to be in force: the first version sent, or the version held when
        # the topic was subscribed.
        self.first_sent: dict[str, Version] = {}
        # Unsent configuration topics and unsent endpoint topics, in this order.
        self.unsent: tuple[dict[str, None], dict[str, None]] = {}, {}
        self.next_queue = CONFIGURATION_QUEUE
        # Topics whose newest version is not in force at the subscriber.
        self.not_in_force: dict[str, None] = {}
        # Subscribed topics that the store does not hold yet.
        self.unknown_topics: set[str] = set()
        self.rejections: dict[str, Rejection] = {}
        # Cached progress, or None if it must be recomputed.
        self.progress: SubscriberProgress | None = None

    def includes(self, topic: str) -> bool:
        """Return whether the subscription includes the topic."""
        return topic in self.sent

    def has_unsent(self) -> bool:
        """Return whether any topic is unsent."""
        return bool(self.unsent[CONFIGURATION_QUEUE] or self.unsent[ENDPOINT_QUEUE])

    def mark_unsent(self, topic: str) -> None:
        """Mark the newest version of the topic as unsent."""
        is_configuration = topic.startswith(CONFIGURATION_PREFIX)
        self.unsent[CONFIGURATION_QUEUE if is_configuration else ENDPOINT_QUEUE].setdefault(topic)

    def mark_sent(self, topic: str) -> None:
        """Mark the topic as having nothing to send."""
        for topics in self.unsent:
            topics.pop(topic, None)

    def next_topic(self) -> str | None:
        """Return the topic to send next, or None if nothing is unsent.

        Configuration and endpoint topics alternate, so that neither waits for all of the other. For example,
        the endpoint changes of a lost zone must not delay a configuration change.
        """
        for topics in (self.unsent[self.next_queue], self.unsent[1 - self.next_queue]):
            if topics:
                return next(iter(topics))
        return None

    def remove_topic(self, topic: str) -> None:
        """Discard all state of the topic."""
        for versions in (self.sent, self.in_force, self.complete_as_of, self.first_sent):
            versions.pop(topic, None)
        self.not_in_force.pop(topic, None)
        self.rejections.pop(topic, None)
        self.unknown_topics.discard(topic)
        self.mark_sent(topic)
