"""Stores the epoch of an origin on disk and, if configured, its state.

There are two files. The state file holds a snapshot taken at the beginning of an epoch or later, and is only
replaced as a whole. The change log next to it (suffix `.log`) holds the changes since the snapshot, one line
for each write. A change is on disk before it is sent to anyone.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Protocol

import anyio.to_thread
import msgspec

from gullmount.distribution.errors import ChangeLogUnusableError, StateFileDamagedError
from gullmount.distribution.topic_update import EntryChange
from gullmount.proxy import FileStateStore
from gullmount.rpc import MESSAGE_VERSION, InvalidMessageError, check_fields, convert, decode_message

# A change log up to this size is not replaced by a new snapshot.
MIN_COMPACTION_LOG_BYTES = 4 << 20

# Values by topic and key, either decoded or as JSON in msgspec.Raw.
State = Mapping[str, Mapping[str, Any]]


@dataclass(frozen=True)
class OriginState:
    """The state with which an origin starts."""

    epoch: int
    """Epoch, higher than that of any earlier process."""
    topics: dict[str, dict[str, Any]]
    """Values by topic and key. A topic without keys is empty."""
    all_known: bool
    """Whether an absent topic is empty. Otherwise its content is unknown."""


class StoredChanges(msgspec.Struct):
    """A line of the change log. The topics in `known` are known from this line on."""

    v: int
    epoch: int
    changes: list[EntryChange]
    known: list[str] = msgspec.field(name="whole")


class StoredState(msgspec.Struct):
    """The content of the state file."""

    v: int
    epoch: int
    all_known: bool
    topics: State


class OriginStorage(Protocol):
    """Storage for the epoch and state of an origin. Disk errors are raised as OSError."""

    async def load(self, wall_ms: int) -> OriginState:
        """Begin an epoch and return the stored state. Raises StateFileDamagedError.

        Args:
            wall_ms: Wall clock in milliseconds. The epoch is at least this high.
        """

    async def append(
        self, changes: list[EntryChange], known: Collection[str], state: Callable[[], State], /
    ) -> None:
        """Store changes. They are on disk once it returns.

        Args:
            changes: Changes to store.
            known: Topics that are known from now on.
            state: Returns the complete state before the changes.
        """


class MemoryOriginStorage:
    """Keeps the state in memory, for restarts of an origin within one process."""

    def __init__(self, remembered: bool = False, initialize: bool = True) -> None:
        """Create an empty storage.

        Args:
            remembered: Whether to store the state as well as the epoch.
            initialize: Whether the first origin may assume that no topic has entries yet. Only takes effect
                with `remembered`.
        """
        self.remembered = remembered
        self.all_known = remembered and initialize
        self.epoch = 0
        self.topics: dict[str, dict[str, Any]] = {}

    async def load(self, wall_ms: int) -> OriginState:
        """Begin an epoch and return the stored state."""
        self.epoch = max(self.epoch + 1, wall_ms)
        topics = {topic: dict(entries) for topic, entries in self.topics.items()}
        return OriginState(self.epoch, topics, self.all_known)

    async def append(
        self,
        changes: list[EntryChange],
        known: Collection[str],
        _state: Callable[[], State],
    ) -> None:
        """Store changes if the state is remembered."""
        if self.remembered:
            replay(self.topics, changes, known)


def replay(topics: dict[str, dict[str, Any]], changes: list[EntryChange], known: Collection[str]) -> None:
    """Apply changes to values by topic and key. Known topics are added if they are absent."""
    for topic in known:
        topics.setdefault(topic, {})
    for topic, key, value in changes:
        entries = topics.setdefault(topic, {})
        entries.pop(key, None)
        if value is not None:
            entries[key] = value


class FileOriginStorage:
    """Stores the state in the file `path` and the changes in a change log next to it."""

    def __init__(self, path: Path, remembered: bool, initialize: bool = False) -> None:
        """Create a storage without touching its files.

        Args:
            path: Path of the state file.
            remembered: Whether to store the state as well as the epoch.
            initialize: Whether a missing state file means an empty state, for the very first start.
                Otherwise the file may have been lost, and all topics are unknown.
        """
        self.path = path
        self.change_log = path.with_name(path.name + ".log")
        self.remembered = remembered
        self.initialize = initialize
        self.epoch = 0
        self.all_known = False
        # Size of the last snapshot.
        self.snapshot_bytes = 0
        # After a failed write that was not undone, the log may end in a partial line. Nothing is appended.
        self.write_failed = False

    async def load(self, wall_ms: int) -> OriginState:
        """Begin an epoch, store it and return the stored state.

        Raises OSError or StateFileDamagedError.
        """
        previous = self.read()
        self.epoch = max(previous.epoch + 1, wall_ms)
        self.all_known = previous.all_known
        self.path.parent.mkdir(parents=True, exist_ok=True)
        await self.write_snapshot(self.encode_snapshot(previous.topics))
        return OriginState(self.epoch, previous.topics, self.all_known)

    def read(self) -> OriginState:
        """Read the stored state. Raises OSError or StateFileDamagedError."""
        data = FileStateStore(self.path).load()
        if data is None:
            return OriginState(0, {}, self.remembered and self.initialize)
        try:
            state = self.decode_state(data)
        except InvalidMessageError as error:
            raise StateFileDamagedError(self.path, str(error)) from None
        if not self.remembered:
            return OriginState(state.epoch, {}, False)
        return state

    def decode_state(self, data: bytes) -> OriginState:
        """Decode the state file and apply the change log. Raises OSError or InvalidMessageError."""
        stored = check_fields(decode_message(data), {"epoch": int, "topics": dict, "all_known": bool})
        topics = convert(stored["topics"], dict[str, dict[str, Any]])
        if self.remembered and self.change_log.exists():
            # A partial last line is dropped: its changes were never confirmed.
            *lines, _ = self.change_log.read_bytes().split(b"\n")
            for line in lines:
                fields = check_fields(decode_message(line), {"epoch": int, "changes": list, "whole": list})
                if fields["epoch"] == stored["epoch"]:
                    changes = convert(fields["changes"], list[EntryChange])
                    replay(topics, changes, convert(fields["whole"], list[str]))
        return OriginState(stored["epoch"], topics, stored["all_known"])

    def encode_snapshot(self, state: State) -> bytes:
        """Encode the state file. It contains no topics unless the state is remembered."""
        topics = state if self.remembered else {}
        all_known = self.remembered and self.all_known
        return msgspec.json.encode(StoredState(MESSAGE_VERSION, self.epoch, all_known, topics))

    async def write_snapshot(self, data: bytes) -> None:
        """Replace the state file, then empty the change log. Raises OSError.

        A crash between the two steps leaves lines in the log that the state already contains or that belong
        to an earlier epoch.
        """
        await FileStateStore(self.path).save(data)
        self.snapshot_bytes = len(data)
        if self.remembered:
            await anyio.to_thread.run_sync(self.truncate_log)

    def truncate_log(self) -> None:
        """Empty the change log. Raises OSError."""
        with self.change_log.open("wb") as file:
            os.fsync(file.fileno())

    async def append(
        self, changes: list[EntryChange], known: Collection[str], state: Callable[[], State]
    ) -> None:
        """Append changes to the change log, and write a snapshot if the log is large. Raises OSError."""
        if not self.remembered:
            return
        line = msgspec.json.encode(StoredChanges(MESSAGE_VERSION, self.epoch, changes, sorted(known))) + b"\n"
        with anyio.CancelScope(shield=True):
            size = await anyio.to_thread.run_sync(self.append_line, line)
            if size > max(MIN_COMPACTION_LOG_BYTES, 2 * self.snapshot_bytes):
                await self.write_snapshot(self.encode_snapshot(state()))

    def append_line(self, line: bytes) -> int:
        """Append a line to the change log and return the size of the log in bytes.

        Raises OSError if the write fails, and first removes what was written. Raises
        ChangeLogUnusableError if an earlier write failed and could not be undone.
        """
        if self.write_failed:
            raise ChangeLogUnusableError(self.change_log)
        with self.change_log.open("ab") as file:
            previous_size = file.tell()
            try:
                file.write(line)
                file.flush()
                os.fsync(file.fileno())
            except OSError:
                self.write_failed = True
                os.truncate(self.change_log, previous_size)
                self.write_failed = False
                raise
        return previous_size + len(line)
