"""Tracks what a subscriber reports: the versions in force and the versions that it can't use.

No I/O, clock or randomness.
"""

from __future__ import annotations

from collections.abc import Iterable

from gullmount.distribution.in_force_summary import MAX_REASON_CHARACTERS
from gullmount.distribution.messages import AcknowledgementReport, SubscribeRequest
from gullmount.distribution.subscription import Rejection
from gullmount.distribution.topic_store import TopicStore
from gullmount.distribution.versions import NO_VERSION, Version

MAX_REPORT_TOPICS = 500


class Acknowledgements:
    """The versions in force and the rejected versions, by topic.

    Attributes:
        subscriber: The name of the subscriber.
        zone: The zone of the subscriber.
        in_force: The version in force of each topic.
        rejections: The rejected version of each topic that has one.
        unconfirmed: The topics whose state the relay has not confirmed yet, oldest first.
    """

    def __init__(self, subscriber: str, zone: str) -> None:
        """Starts with nothing in force."""
        self.subscriber = subscriber
        self.zone = zone
        self.in_force: dict[str, Version] = {}
        self.rejections: dict[str, Rejection] = {}
        self.unconfirmed: dict[str, None] = {}

    def record_applied(self, topic: str, version: Version) -> None:
        """Records that a version is in force."""
        self.in_force[topic] = version
        self.rejections.pop(topic, None)
        self.unconfirmed[topic] = None

    def record_rejected(self, topic: str, version: Version, reason: str) -> None:
        """Records that a version can't be used; the version in force stays as it is."""
        self.rejections[topic] = Rejection(*version, reason[:MAX_REASON_CHARACTERS])
        self.unconfirmed[topic] = None

    def next_report(self) -> AcknowledgementReport | None:
        """Returns a report of unconfirmed topics, or None if there are none."""
        topics = list(self.unconfirmed)[:MAX_REPORT_TOPICS]
        if not topics:
            return None
        in_force = {topic: self.in_force[topic] for topic in topics if topic in self.in_force}
        return AcknowledgementReport(self.subscriber, in_force, self.rejections_of(topics))

    def confirm(self, report: AcknowledgementReport) -> None:
        """Records that the relay accepted a report.

        Topics that have changed since the report was made stay unconfirmed.
        """
        for topic in {**report.in_force, **report.rejections}:
            current = self.in_force.get(topic), self.rejections.get(topic)
            if current == (report.in_force.get(topic), report.rejections.get(topic)):
                self.unconfirmed.pop(topic, None)

    def subscribe_request(self, store: TopicStore, with_history: bool = False) -> SubscribeRequest:
        """Returns the request that begins a stream, with all versions held and in force."""
        held = store.held_versions()
        in_force = {topic: self.in_force.get(topic, NO_VERSION) for topic in held}
        return SubscribeRequest(
            subscriber=self.subscriber,
            held=held,
            zone=self.zone,
            in_force={topic: version for topic, version in in_force.items() if version != held[topic]},
            rejections=self.rejections_of(held),
            as_of=store.as_of,
            with_history=with_history,
        )

    def rejections_of(self, topics: Iterable[str]) -> dict[str, Rejection]:
        """Returns the rejections of these topics."""
        return {topic: self.rejections[topic] for topic in topics if topic in self.rejections}
