"""Defects of distribution that the interleavings must find."""

from __future__ import annotations

from gullmount.distribution import encoding
from gullmount.distribution.in_force_summary import RelaySummaries
from gullmount.distribution.subscription import SubscriberProgress, Subscription
from gullmount.distribution.subscriptions import Batch, Subscriptions
from gullmount.distribution.topic_log import TopicLog
from gullmount.distribution.topic_store import ApplyResult, TopicStore
from gullmount.distribution.topic_update import TopicUpdate
from gullmount.distribution.update_receiver import UpdateReceiver
from gullmount.distribution.versions import NO_VERSION, Version
from tests.support.interleaving_nodes import Implementation


class ComparesRevisionsOnly(TopicStore):
    """Compares revisions without their epoch."""

    def apply(self, told: TopicUpdate, as_of: Version, complete: Version | None = None) -> ApplyResult:
        held = self.logs.get(told.topic)
        if held is not None and told.version.revision <= held.version.revision:
            return ApplyResult.STALE
        return super().apply(told, as_of, complete)


class TakesLowerEpochs(TopicStore):
    @property
    def epoch(self) -> int:
        return 0


class TakesOlder(TopicStore):
    """Applies an older snapshot over a newer one."""

    def apply(self, told: TopicUpdate, as_of: Version, complete: Version | None = None) -> ApplyResult:
        held = self.logs.get(told.topic)
        if held is not None and told.is_snapshot and told.version < held.version:
            self.logs[told.topic] = self.rebuilt_log(told, held, self.as_of)
            return ApplyResult.APPLIED
        return super().apply(told, as_of, complete)


class IgnoresGaps(TopicStore):
    def apply(self, told: TopicUpdate, as_of: Version, complete: Version | None = None) -> ApplyResult:
        held = self.logs.get(told.topic)
        if held is not None and not told.is_snapshot and told.version.epoch == held.version.epoch:
            told.base_revision = min(told.base_revision, held.version.revision)
        return super().apply(told, as_of, complete)


class TakesPartForWhole(TopicStore):
    """Takes a message's `as_of` as complete, though more is to come."""

    def note_progress(self, as_of: Version, complete: Version | None) -> bool:
        return super().note_progress(as_of, as_of)


class DatesChangesBack(TopicStore):
    """Dates changes at their base instead of their version."""

    def apply(self, told: TopicUpdate, as_of: Version, complete: Version | None = None) -> ApplyResult:
        became = super().apply(told, as_of, complete)
        if became is ApplyResult.APPLIED and not told.is_snapshot:
            topic = self.logs[told.topic]
            for key in told.entries:
                if key in topic.entries:
                    topic.entries[key] = told.base_revision, topic.entries[key][1]
        return became


class KnowsWhatItNeverHeard(TopicStore):
    """Takes a snapshot without history for one with all of it."""

    def rebuilt_log(self, told: TopicUpdate, before: TopicLog | None, complete: Version) -> TopicLog:
        topic = super().rebuilt_log(told, before, complete)
        topic.history_floor = 0
        return topic


class TakesBridgesFromAnywhere(TopicStore):
    """Applies a rebase on any version."""

    def applies_on_top(self, told: TopicUpdate, held: Version) -> bool:
        return held != NO_VERSION if told.base_epoch else super().applies_on_top(told, held)


class ForgetsTombstones(TopicLog):
    __slots__ = ()

    def put(self, key: str, value: bytes | None, revision: int) -> None:
        super().put(key, value, revision)
        self.tombstones.clear()


class LeavesTheFloor(TopicLog):
    """Drops tombstones as if nobody needed them."""

    __slots__ = ()

    def put(self, key: str, value: bytes | None, revision: int) -> None:
        floor = self.history_floor
        super().put(key, value, revision)
        self.history_floor = floor


class KeepsQueues(Subscriptions):
    """Queues every update by subscriber."""

    def topics_changed(self, *topics: str) -> list[str]:
        waiting = super().topics_changed(*topics)
        for name in waiting:
            subscriber = self.by_subscriber[name]
            for topic in topics:
                if subscriber.includes(topic) and topic in self.store.logs:
                    part = self.store.encoded_update(topic, subscriber.sent[topic], subscriber.with_history)
                    self.queues().setdefault(name, []).append((topic, part))
        return waiting

    def queues(self) -> dict[str, list[tuple[str, bytes]]]:
        found: dict[str, list[tuple[str, bytes]]] = self.__dict__.setdefault("kept", {})
        return found

    def next_batch(self, name: str, session: int, most_bytes: int) -> Batch | None:
        subscriber = self.active_subscription(name, session)
        queue = self.queues().get(name)
        if subscriber is None or not queue:
            return super().next_batch(name, session, most_bytes)
        topic, part = queue.pop(0)
        subscriber.mark_sent(topic)
        complete, more = self.complete_version(subscriber), self.has_more(subscriber)
        return Batch(encoding.encode_update_line(self.store.newest_seen, complete, more, [part]), 1)


class TakesToldForInForce(Subscriptions):
    def next_batch(self, name: str, session: int, most_bytes: int) -> Batch | None:
        batch = super().next_batch(name, session, most_bytes)
        if batch is not None:
            self.acknowledge(name, dict(self.by_subscriber[name].sent), {})
        return batch


class CountsTheGoneForEver(Subscriptions):
    def expire(self, now: float) -> list[str]:
        return []


class EndsTheNewStream(Subscriptions):
    """Takes an earlier stream's end for the current stream's."""

    def disconnect(self, name: str, session: int, now: float) -> None:
        subscriber = self.by_subscriber.get(name)
        super().disconnect(name, session if subscriber is None else subscriber.session, now)


class SkipsWhatIsPending(Subscriptions):
    """Counts everything as in force."""

    def compute_progress(self, subscriber: Subscription) -> SubscriberProgress:
        return SubscriberProgress(None, None, False, False, False)


class NeverAsksAgain(UpdateReceiver):
    def due_requests(self, now: float) -> dict[str, Version]:
        return {name: NO_VERSION for name in super().due_requests(now) if name not in self.store.gaps}


class SumsForEver(RelaySummaries):
    def expire(self, now: float) -> list[str]:
        return []


PLANTED = [
    (Implementation(topics=ComparesRevisionsOnly), "has not the newest|counts"),
    (Implementation(topics=TakesLowerEpochs), "was None|news of"),
    (Implementation(topics=TakesOlder), "went back"),
    (Implementation(topics=IgnoresGaps), "was {"),
    (Implementation(topics=TakesPartForWhole), "counts"),
    (Implementation(topics=DatesChangesBack), "was {"),
    (Implementation(topics=KnowsWhatItNeverHeard), "was {"),
    (Implementation(topics=TakesBridgesFromAnywhere), "was {"),
    (Implementation(topic=ForgetsTombstones), "was {"),
    (Implementation(topic=LeavesTheFloor), "was {"),
    (Implementation(subscriptions=KeepsQueues), "as it was"),
    (Implementation(subscriptions=TakesToldForInForce), "counts"),
    (Implementation(subscriptions=CountsTheGoneForEver), "counted are"),
    (Implementation(subscriptions=EndsTheNewStream), "for ended"),
    (Implementation(subscriptions=SkipsWhatIsPending), "counts"),
    (Implementation(receiver=NeverAsksAgain), "has not the newest"),
    (Implementation(relay_summaries=SumsForEver), "counted are"),
]
