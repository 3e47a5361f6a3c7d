"""Holds one topic's newest state with its recent history, and makes updates from it.

A value is held as the JSON text in which it was received, so that a relay neither parses nor encodes the
values that it only forwards. No I/O, clock or randomness.
"""

from __future__ import annotations

from collections import deque
from itertools import takewhile
from typing import NamedTuple

from gullmount.distribution.topic_update import TopicUpdate, raw_entries
from gullmount.distribution.versions import NO_VERSION, Version

# The number of removed keys that a topic remembers.
MAX_TOMBSTONES = 128

# The number of changes of a topic for which the version that was complete before them is remembered.
MAX_RECENT_CHANGES = 8


class LogEntry(NamedTuple):
    """A key's value as JSON, and the revision of its last change."""

    revision: int
    value: bytes


class RecentChange(NamedTuple):
    """The state before a change of a topic.

    Attributes:
        before: The version of the topic before the change.
        complete: The version up to which the topic was complete before the change.
    """

    before: Version
    complete: Version


class TopicLog:
    """One topic's newest state: its entries, the tombstones of removed keys and its recent changes.

    Attributes:
        version: The version of the topic.
        history_floor: The earliest revision since which all changes are known. Tombstones of earlier removals
            may be missing.
        entries: The entries by key, in the order of their revisions.
        tombstones: The revision of each removal by key, in the order of revisions.
        size_bytes: The size of all keys and values.
        recent_changes: The state before each of the last changes, the oldest first.
        rebase_from: The version that a snapshot replaced, if the difference is known; else NO_VERSION.
        rebase_revision: The revision of that snapshot.
        rebase_keys: The keys that differed between the replaced version and that snapshot.
    """

    __slots__ = (
        "entries",
        "history_floor",
        "rebase_from",
        "rebase_keys",
        "rebase_revision",
        "recent_changes",
        "size_bytes",
        "tombstones",
        "version",
    )

    def __init__(self, version: Version) -> None:
        """Starts an empty topic at `version`."""
        self.version = version
        self.history_floor = version.revision
        self.entries: dict[str, LogEntry] = {}
        self.tombstones: dict[str, int] = {}
        self.size_bytes = 0
        self.recent_changes: deque[RecentChange] = deque(maxlen=MAX_RECENT_CHANGES)
        self.rebase_from = NO_VERSION
        self.rebase_revision = 0
        self.rebase_keys: tuple[str, ...] = ()

    def put(self, key: str, value: bytes | None, revision: int) -> None:
        """Sets a key to a value, or removes it if `value` is None.

        `revision` must not be lower than any revision in the log.
        """
        old = self.entries.pop(key, None)
        if old is not None:
            self.size_bytes -= len(key) + len(old[1])
        self.tombstones.pop(key, None)
        if value is not None:
            self.entries[key] = LogEntry(revision, value)
            self.size_bytes += len(key) + len(value)
            return
        self.tombstones[key] = revision
        if len(self.tombstones) > MAX_TOMBSTONES:
            oldest = next(iter(self.tombstones))
            self.history_floor = max(self.history_floor, self.tombstones.pop(oldest))

    def changes_since(self, revision: int) -> dict[str, bytes | None] | None:
        """Returns the newest value of each key that changed after a revision of this epoch.

        The value of a removed key is None. Returns None if the changes are no longer known.
        """
        if revision < self.history_floor:
            return None
        changes: dict[str, bytes | None] = {}
        for key, (_, value) in takewhile(lambda item: item[1][0] > revision, reversed(self.entries.items())):
            changes[key] = value
        for key, _ in takewhile(lambda item: item[1] > revision, reversed(self.tombstones.items())):
            changes[key] = None
        return changes

    def rebase_changes(self) -> dict[str, bytes | None] | None:
        """Returns the changes since the version that a snapshot replaced, or None if no longer known.

        An origin with a new epoch sends only snapshots to relays. Most subscribers of a relay hold the
        replaced version, so these changes are all that they need.
        """
        changes = self.changes_since(self.rebase_revision)
        if changes is not None:
            for key in self.rebase_keys:
                entry = self.entries.get(key)
                changes[key] = None if entry is None else entry[1]
        return changes

    def record_rebase(self, before: TopicLog) -> None:
        """Records which keys differ from the log that this one replaces.

        Nothing is recorded if there are more of them than half the number of entries.
        """
        old_entries, new_entries = before.snapshot(), self.snapshot()
        keys = [key for key, value in new_entries.items() if old_entries.get(key) != value]
        keys += [key for key in old_entries if key not in new_entries]
        if len(keys) <= len(self.entries) // 2:
            self.rebase_from = before.version
            self.rebase_revision = self.version.revision
            self.rebase_keys = tuple(keys)

    def snapshot(self) -> dict[str, bytes]:
        """Returns all entries as JSON by key."""
        return {key: value for key, (_, value) in self.entries.items()}

    def in_force_up_to(self, version: Version) -> Version:
        """Returns the version up to which the topic is in force at a holder of an older version.

        This is the version up to which the topic was complete just before its first change after `version`,
        or `version` itself if that is not known.
        """
        if not self.recent_changes or self.recent_changes[0][0] > version:
            return version
        in_force = version
        for before, complete in self.recent_changes:
            if before > version:
                break
            in_force = complete
        return max(version, in_force)

    def update_since(self, topic: str, held: Version, with_history: bool) -> TopicUpdate:
        """Returns the update for a receiver that holds version `held`.

        The update holds changes, or a snapshot if the changes since `held` are not known.

        Args:
            topic: The name of the topic.
            held: The version that the receiver holds.
            with_history: Whether a snapshot includes the history, from which a relay derives changes for its
                own subscribers.
        """
        if held.epoch == self.version.epoch:
            changes = self.changes_since(held.revision)
            if changes is not None:
                return TopicUpdate(topic, self.version, raw_entries(changes), base_revision=held.revision)
        if held == self.rebase_from != NO_VERSION:
            changes = self.rebase_changes()
            if changes is not None:
                entries = raw_entries(changes)
                return TopicUpdate(
                    topic, self.version, entries, base_revision=held.revision, base_epoch=held.epoch
                )
        return self.history_update(topic) if with_history else self.snapshot_update(topic)

    def snapshot_update(self, topic: str) -> TopicUpdate:
        """Returns a snapshot of all entries, for a subscriber."""
        return TopicUpdate(topic, self.version, raw_entries(self.snapshot()), is_snapshot=True)

    def history_update(self, topic: str) -> TopicUpdate:
        """Returns a snapshot of all entries and tombstones with their revisions, for a relay."""
        entries: dict[str, bytes | None] = {**self.snapshot(), **dict.fromkeys(self.tombstones)}
        revisions = {key: revision for key, (revision, _) in self.entries.items()} | self.tombstones
        return TopicUpdate(
            topic,
            self.version,
            raw_entries(entries),
            is_snapshot=True,
            revisions_by_key=revisions,
            history_floor=self.history_floor,
        )
