"""What an origin stores on disk: the number of its epoch and, if its file says so, the state.

Two files: the state as of the begin of an epoch or later, replaced whole, and beside it (`.log`) the changes
since then, a line each. A change is on the disk before it is sent to anyone.
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

MIN_COMPACTION_LOG_BYTES = 4 << 20  # of changes, below which the state is not written whole again

State = Mapping[str, Mapping[str, Any]]  # values, or their JSON as msgspec.Raw, by topic and key


@dataclass(frozen=True)
class OriginState:
    """What an origin begins with."""

    epoch: int
    """Above that of any earlier process."""
    topics: dict[str, dict[str, Any]]
    """Values by topic and key; a topic without any is empty."""
    all_known: bool
    """Whether a topic that is not there is empty; else it is not known."""


class StoredChanges(msgspec.Struct):
    """A line of the change log; `known` are topics that are known from here on."""

    v: int
    epoch: int
    changes: list[EntryChange]
    known: list[str] = msgspec.field(name="whole")


class StoredState(msgspec.Struct):
    """The state file."""

    v: int
    epoch: int
    all_known: bool
    topics: State


class OriginStorage(Protocol):
    """Where an origin stores its state. Raises OSError where the disk does."""

    async def load(self, wall_ms: int) -> OriginState:
        """Begin an epoch. Raises StateFileDamagedError."""

    async def append(
        self, changes: list[EntryChange], known: Collection[str], state: Callable[[], State], /
    ) -> None:
        """Store changes: once it returns they are on the disk.

        `known`: topics that are known from here on; `state`: gives all of the state before them.
        """


class MemoryOriginStorage:
    """Outlives an origin in one process. `initialize`: the first one knows that there is nothing yet."""

    def __init__(self, remembered: bool = False, initialize: bool = True) -> None:
        """Start empty; the state is stored if `remembered`."""
        self.remembered = remembered
        self.all_known = remembered and initialize
        self.epoch = 0
        self.topics: dict[str, dict[str, Any]] = {}

    async def load(self, wall_ms: int) -> OriginState:
        """Begin an epoch."""
        self.epoch = max(self.epoch + 1, wall_ms)
        topics = {topic: dict(entries) for topic, entries in self.topics.items()}
        return OriginState(self.epoch, topics, self.all_known)

    async def append(
        self,
        changes: list[EntryChange],
        known: Collection[str],
        _state: Callable[[], State],
    ) -> None:
        """Store changes."""
        if self.remembered:
            replay(self.topics, changes, known)


def replay(topics: dict[str, dict[str, Any]], changes: list[EntryChange], known: Collection[str]) -> None:
    """Apply changes to values by topic and key."""
    for topic in known:
        topics.setdefault(topic, {})
    for topic, key, value in changes:
        entries = topics.setdefault(topic, {})
        entries.pop(key, None)
        if value is not None:
            entries[key] = value


class FileOriginStorage:
    """Files at `path` and beside it.

    `initialize`: a missing file begins, for the very first start; without that, it may have been lost, and
    nothing is known.
    """

    def __init__(self, path: Path, remembered: bool, initialize: bool = False) -> None:
        """Store at `path`; the state as well as the epoch if `remembered`."""
        self.path = path
        self.change_log = path.with_name(path.name + ".log")
        self.remembered = remembered
        self.initialize = initialize
        self.epoch = 0
        self.all_known = False
        self.snapshot_bytes = 0  # of the state as it was last written whole
        self.write_failed = False  # half a line may be in the log: nothing is added to it

    async def load(self, wall_ms: int) -> OriginState:
        """Begin an epoch. Raises OSError, StateFileDamagedError."""
        previous = self.read()
        self.epoch = max(previous.epoch + 1, wall_ms)
        self.all_known = previous.all_known
        self.path.parent.mkdir(parents=True, exist_ok=True)
        await self.write_snapshot(self.encode_snapshot(previous.topics))
        return OriginState(self.epoch, previous.topics, self.all_known)

    def read(self) -> OriginState:
        """What is stored. Raises OSError, StateFileDamagedError."""
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
        """The state file with the changes since. Raises OSError, InvalidMessageError."""
        stored = check_fields(decode_message(data), {"epoch": int, "topics": dict, "all_known": bool})
        topics = convert(stored["topics"], dict[str, dict[str, Any]])
        if self.remembered and self.change_log.exists():
            *lines, _ = self.change_log.read_bytes().split(b"\n")  # half a line was never answered
            for line in lines:
                fields = check_fields(decode_message(line), {"epoch": int, "changes": list, "whole": list})
                if fields["epoch"] == stored["epoch"]:
                    changes = convert(fields["changes"], list[EntryChange])
                    replay(topics, changes, convert(fields["whole"], list[str]))
        return OriginState(stored["epoch"], topics, stored["all_known"])

    def encode_snapshot(self, state: State) -> bytes:
        """The state file, with no state if that is not remembered."""
        topics = state if self.remembered else {}
        all_known = self.remembered and self.all_known
        return msgspec.json.encode(StoredState(MESSAGE_VERSION, self.epoch, all_known, topics))

    async def write_snapshot(self, data: bytes) -> None:
        """Replace the state file and empty the log.

        A crash between leaves lines that are in the state already, or of an earlier epoch.
        """
        await FileStateStore(self.path).save(data)
        self.snapshot_bytes = len(data)
        if self.remembered:
            await anyio.to_thread.run_sync(self.truncate_log)

    def truncate_log(self) -> None:
        """Empty the log. Raises OSError."""
        with self.change_log.open("wb") as file:
            os.fsync(file.fileno())

    async def append(
        self, changes: list[EntryChange], known: Collection[str], state: Callable[[], State]
    ) -> None:
        """Store changes, and the state whole when the log has grown. Raises OSError."""
        if not self.remembered:
            return
        line = msgspec.json.encode(StoredChanges(MESSAGE_VERSION, self.epoch, changes, sorted(known))) + b"\n"
        with anyio.CancelScope(shield=True):
            size = await anyio.to_thread.run_sync(self.append_line, line)
            if size > max(MIN_COMPACTION_LOG_BYTES, 2 * self.snapshot_bytes):
                await self.write_snapshot(self.encode_snapshot(state()))

    def append_line(self, line: bytes) -> int:
        """Add a line to the log; the log's size in bytes. Raises OSError, and undoes what was written."""
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
