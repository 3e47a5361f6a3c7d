"""Stores the topics that an origin, a relay or a subscriber holds, and applies updates and changes to them.

An older version of a topic never replaces a newer one. Changes apply only to a version that they were
made for. No I/O, clock or randomness.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import Enum
from typing import NamedTuple

import msgspec

from gullmount.distribution.errors import TopicTooLargeError
from gullmount.distribution.topic_log import RecentChange, TopicLog
from gullmount.distribution.topic_update import JSON_NULL, EntryChange, TopicUpdate, raw_entries
from gullmount.distribution.versions import NO_VERSION, Version

# The size of a topic's keys and values. It leaves room in a line for the fields around the topic.
MAX_TOPIC_BYTES = 3 << 20

# The size of all encoded updates in the cache.
MAX_ENCODED_BYTES = 4 << 20


class ApplyResult(Enum):
    """The result of applying an update."""

    APPLIED = "applied"
    STALE = "stale"
    """The same or a newer version is held, so nothing changed."""
    GAP = "gap"
    """The base of the changes is not held, so a snapshot must be requested."""
    NOT_SUBSCRIBED = "not_subscribed"
    LOWER_EPOCH = "lower_epoch"
    """The sender's origin is in an earlier epoch than the highest one known here."""


class EncodingKey(NamedTuple):
    """The key of the cache of encoded updates.

    Attributes:
        topic: The name of the topic.
        version: The version of the topic after the update.
        held: The version that the receiver holds.
        with_history: Whether a snapshot includes the history.
    """

    topic: str
    version: Version
    held: Version
    with_history: bool


class TopicStore:
    """All topics held here, by name.

    Attributes:
        subscribed: The topics whose updates are accepted. None at an origin, which has all topics and accepts
            no updates.
        logs: The log of each topic.
        as_of: The version up to which all topics are complete, except those in `gaps`.
        newest_seen: The newest version that any accepted message has named.
        gaps: The topics that lack an update, each with the version up to which it was complete.
        encoded_updates: The cache of encoded updates, the oldest first.
        encoded_bytes: The size of all updates in the cache.
    """

    def __init__(self, subscribed: Iterable[str] | None = None, epoch: int = 0) -> None:
        """Starts without topics. Only an origin passes its `epoch`."""
        self.subscribed: set[str] | None = None if subscribed is None else set(subscribed)
        self.logs: dict[str, TopicLog] = {}
        self.as_of = Version(epoch, 0) if epoch else NO_VERSION
        self.newest_seen = self.as_of
        self.gaps: dict[str, Version] = {}
        self.encoded_updates: dict[EncodingKey, bytes] = {}
        self.encoded_bytes = 0

    @property
    def epoch(self) -> int:
        """The highest epoch known. Nothing is accepted from an origin of a lower epoch."""
        return self.newest_seen.epoch

    # Subscribed topics

    def subscribe(self, topics: Iterable[str]) -> None:
        """Accepts updates of these topics as well."""
        assert self.subscribed is not None
        self.subscribed.update(topics)

    def unsubscribe(self, topics: Iterable[str]) -> None:
        """Drops these topics and accepts no more updates of them."""
        for topic in topics:
            if self.subscribed is not None:
                self.subscribed.discard(topic)
            self.logs.pop(topic, None)
            self.gaps.pop(topic, None)

    def version(self, topic: str) -> Version:
        """Returns the held version of a topic, or NO_VERSION."""
        log = self.logs.get(topic)
        return log.version if log is not None else NO_VERSION

    def held_versions(self) -> dict[str, Version]:
        """Returns the held version of each subscribed topic; NO_VERSION if it needs a snapshot."""
        topics = sorted(self.subscribed or ())
        return {topic: NO_VERSION if topic in self.gaps else self.version(topic) for topic in topics}

    def never_received(self) -> set[str]:
        """Returns the subscribed topics that have received no update yet."""
        if self.subscribed is None or len(self.subscribed) == len(self.logs):
            return set()
        return self.subscribed - self.logs.keys()

    # Updates from others

    def apply(self, update: TopicUpdate, as_of: Version, complete: Version | None = None) -> ApplyResult:
        """Applies one topic's update.

        The caller calls `note_progress` once all updates of the message are applied.

        Args:
            update: The update.
            as_of: The newest version that the sender of the message knows of.
            complete: The version up to which the sender's state is complete; None stands for `as_of`.
        """
        topic = update.topic
        if self.subscribed is None or topic not in self.subscribed:
            return ApplyResult.NOT_SUBSCRIBED
        if as_of.epoch < self.epoch:
            return ApplyResult.LOWER_EPOCH
        log = self.logs.get(topic)
        held = NO_VERSION if log is None else log.version
        closes_gap = update.is_snapshot and topic in self.gaps
        if update.version < held or (update.version == held and not closes_gap):
            return ApplyResult.STALE
        if not update.is_snapshot and not self.applies_on_top(update, held):
            self.mark_gap(topic)
            return ApplyResult.GAP
        # The sender of this update may be behind the senders of the other topics, so `as_of` may decrease.
        if log is None or topic in self.gaps:
            self.as_of = min(self.as_of, max(update.version, as_of if complete is None else complete))
        complete_before = self.gaps.pop(topic, self.as_of)
        if log is None or update.is_snapshot:
            self.logs[topic] = self.rebuilt_log(update, log, complete_before)
        elif update.base_epoch:
            entries = raw_entries(log.snapshot()) | update.entries
            merged = TopicUpdate(topic, update.version, entries, is_snapshot=True)
            self.logs[topic] = self.rebuilt_log(merged, log, complete_before)
        else:
            self.apply_changes(update, log, complete_before)
        return ApplyResult.APPLIED

    def apply_changes(self, update: TopicUpdate, log: TopicLog, complete_before: Version) -> None:
        """Applies an update's changes to a log of the same epoch."""
        log.recent_changes.append(RecentChange(log.version, complete_before))
        for key, raw in update.entries.items():
            value = bytes(raw)
            log.put(key, None if value == JSON_NULL else value, update.version.revision)
        log.version = update.version

    def applies_on_top(self, update: TopicUpdate, held: Version) -> bool:
        """Returns whether the update's changes apply to the held version."""
        if held == NO_VERSION:
            return False
        if update.base_epoch:
            return held == (update.base_epoch, update.base_revision)
        return held.epoch == update.version.epoch and held.revision >= update.base_revision

    def mark_gap(self, topic: str) -> bool:
        """Records that an update of the topic was lost, so that it needs a snapshot.

        Returns False if the topic is not subscribed to.
        """
        if self.subscribed is None or topic not in self.subscribed:
            return False
        self.gaps.setdefault(topic, self.as_of)
        return True

    def rebuilt_log(self, update: TopicUpdate, before: TopicLog | None, complete_before: Version) -> TopicLog:
        """Returns a log made from a snapshot.

        Args:
            update: The snapshot.
            before: The log that is replaced, if any.
            complete_before: The version up to which the replaced log was complete.
        """
        log = TopicLog(update.version)
        revisions = update.revisions_by_key
        if revisions is None:
            entries: Iterable[tuple[str, msgspec.Raw]] = update.entries.items()
        else:
            log.history_floor = update.history_floor
            entries = sorted(update.entries.items(), key=lambda item: revisions[item[0]])
        for key, raw in entries:
            value = bytes(raw)
            revision = update.version.revision if revisions is None else revisions[key]
            if value != JSON_NULL or revisions is not None:
                log.put(key, None if value == JSON_NULL else value, revision)
        if before is not None:
            log.recent_changes.extend(before.recent_changes)
            log.recent_changes.append(RecentChange(before.version, complete_before))
            log.record_rebase(before)
        return log

    def note_progress(self, as_of: Version, complete: Version | None) -> bool:
        """Records that a message was applied.

        Args:
            as_of: The newest version that the sender of the message knows of.
            complete: The version up to which the sender has sent everything, or None if it is not known.

        Returns:
            False if the sender's origin is in an earlier epoch than the highest one known here.
        """
        if as_of.epoch < self.epoch:
            return False
        self.newest_seen = max(self.newest_seen, as_of)
        if complete is not None:
            self.as_of = max(self.as_of, complete)
        return True

    # Changes, at an origin

    def open_topic(self, topic: str) -> TopicLog:
        """Returns the topic's log; makes an empty one if there is none.

        The empty log lets subscribers learn that the topic is empty.
        """
        log = self.logs.get(topic)
        if log is None:
            log = self.logs[topic] = TopicLog(Version(self.as_of.epoch, 0))
        return log

    def commit(self, changes: Iterable[EntryChange]) -> tuple[Version, list[str]]:
        """Makes changes, all in one revision. Values that are held already are left out.

        Returns:
            The version as of which all changes hold, and the topics that changed.

        Raises:
            TopicTooLargeError: A topic would exceed MAX_TOPIC_BYTES. Nothing is changed.
        """
        new_values: dict[tuple[str, str], bytes | None] = {}
        for topic, key, value in changes:
            new_values[topic, key] = None if value is None else msgspec.json.encode(value)
        sizes = self.drop_unchanged_values(new_values)
        for topic, size in sizes.items():
            if size > MAX_TOPIC_BYTES:
                raise TopicTooLargeError(topic, size, MAX_TOPIC_BYTES)
        if not new_values:
            return self.as_of, []
        version = Version(self.as_of.epoch, self.as_of.revision + 1)
        for topic in sizes:
            log = self.open_topic(topic)
            log.recent_changes.append(RecentChange(log.version, self.as_of))
            log.version = version
        for (topic, key), raw in new_values.items():
            self.logs[topic].put(key, raw, version.revision)
        self.as_of = self.newest_seen = version
        return version, list(sizes)

    def drop_unchanged_values(self, new_values: dict[tuple[str, str], bytes | None]) -> dict[str, int]:
        """Removes values that are held already, and returns the new size in bytes of each changed topic."""
        sizes: dict[str, int] = {}
        for (topic, key), raw in list(new_values.items()):
            log = self.logs.get(topic)
            entry = log.entries.get(key) if log is not None else None
            if raw == (entry[1] if entry is not None else None):
                del new_values[topic, key]
                continue
            size = sizes.get(topic, log.size_bytes if log is not None else 0)
            size -= 0 if entry is None else len(key) + len(entry[1])
            sizes[topic] = size + (0 if raw is None else len(key) + len(raw))
        return sizes

    # Updates to others

    def encoded_update(self, topic: str, held: Version, with_history: bool) -> bytes:
        """Returns the update for a receiver that holds version `held`, as JSON.

        A relay requests it `with_history`.
        """
        log = self.logs[topic]
        key = EncodingKey(topic, log.version, held, with_history)
        encoded = self.encoded_updates.get(key)
        if encoded is None:
            encoded = msgspec.json.encode(log.update_since(topic, held, with_history))
            self.encoded_updates[key] = encoded
            self.encoded_bytes += len(encoded)
            while self.encoded_bytes > MAX_ENCODED_BYTES:
                oldest = next(iter(self.encoded_updates))
                self.encoded_bytes -= len(self.encoded_updates.pop(oldest))
        return encoded
