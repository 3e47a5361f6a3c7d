"""One topic's newest state with its recent history, and the updates made from it.

No I/O, clock or randomness. A value is held as the JSON that it came as, so that a relay neither parses nor
builds what it only forwards.
"""

from __future__ import annotations

from collections import deque
from itertools import takewhile
from typing import NamedTuple

from gullmount.distribution.topic_update import TopicUpdate, raw_entries
from gullmount.distribution.versions import NO_VERSION, Version

MAX_TOMBSTONES = 128  # removed keys of a topic that are remembered
MAX_RECENT_CHANGES = 8  # changes of a topic for which is known what was complete before them


class LogEntry(NamedTuple):
    """A key's value as JSON, and the revision of its last change."""

    revision: int
    value: bytes


class RecentChange(NamedTuple):
    """A topic's version before a change, and up to which version everything was complete then."""

    before: Version
    complete: Version


class TopicLog:
    """One topic's newest state: entries, tombstones of removed keys, and what led to its version.

    Since a revision earlier than `history_floor`, tombstones may be missing. `rebase_from` is the version
    that was held before a snapshot replaced it, `rebase_keys` what differed then, at `rebase_revision`.
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
        """An empty topic at `version`."""
        self.version = version
        self.history_floor = version.revision
        self.entries: dict[str, LogEntry] = {}  # in the order of revisions
        self.tombstones: dict[str, int] = {}  # revision of the removal, likewise
        self.size_bytes = 0  # of keys and values
        self.recent_changes: deque[RecentChange] = deque(maxlen=MAX_RECENT_CHANGES)
        self.rebase_from = NO_VERSION
        self.rebase_revision = 0
        self.rebase_keys: tuple[str, ...] = ()

    def put(self, key: str, value: bytes | None, revision: int) -> None:
        """Set or (None) remove a key, at a revision that none of the topic is newer than."""
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
        """What changed after a revision of this epoch, newest state by key; None if no longer known."""
        if revision < self.history_floor:
            return None
        changes: dict[str, bytes | None] = {}
        for key, (_, value) in takewhile(lambda item: item[1][0] > revision, reversed(self.entries.items())):
            changes[key] = value
        for key, _ in takewhile(lambda item: item[1] > revision, reversed(self.tombstones.items())):
            changes[key] = None
        return changes

    def rebase_changes(self) -> dict[str, bytes | None] | None:
        """What differs from the version that a snapshot replaced; None if no longer known.

        An origin with a new epoch sends relays snapshots only; their subscribers, who mostly hold the
        replaced version, need no more than this.
        """
        changes = self.changes_since(self.rebase_revision)
        if changes is not None:
            for key in self.rebase_keys:
                entry = self.entries.get(key)
                changes[key] = None if entry is None else entry[1]
        return changes

    def record_rebase(self, before: TopicLog) -> None:
        """Remember what differs from the log that this one replaces, where that is less than half."""
        old_entries, new_entries = before.snapshot(), self.snapshot()
        keys = [key for key, value in new_entries.items() if old_entries.get(key) != value]
        keys += [key for key in old_entries if key not in new_entries]
        if len(keys) <= len(self.entries) // 2:
            self.rebase_from = before.version
            self.rebase_revision = self.version.revision
            self.rebase_keys = tuple(keys)

    def snapshot(self) -> dict[str, bytes]:
        """All entries as JSON by key."""
        return {key: value for key, (_, value) in self.entries.items()}

    def in_force_up_to(self, version: Version) -> Version:
        """Up to which version all of the topic is in force where this older version of it is.

        That is what was complete before the first change after it, as far as that is known; else `version`.
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
        """The update for one who holds version `held`: changes, or a snapshot where these are not known.

        `with_history`: a snapshot for a relay, with what it needs to make changes from it in its turn.
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
        """All entries, for a subscriber."""
        return TopicUpdate(topic, self.version, raw_entries(self.snapshot()), is_snapshot=True)

    def history_update(self, topic: str) -> TopicUpdate:
        """All entries and tombstones with their revisions, for a relay."""
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
