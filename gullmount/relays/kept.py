"""What a source keeps on disk: the number of its life and, if its file says so, the state.

Two files: the state as it was at the start of a life or since, replaced whole, and beside it (`.log`) the
changes since then, a line each. A change is on the disk before it is told to anyone.
"""

from __future__ import annotations

import os
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any, Protocol

import anyio.to_thread
import msgspec

from gullmount.calls import VERSION, NotUnderstood, check, decode, typed
from gullmount.umpire import FileMemory

LOG_LEAST = 4 << 20  # bytes of changes below which the state is not written whole again

Change = tuple[str, str, Any]  # topic, key, value (None: gone)
State = Mapping[str, Mapping[str, msgspec.Raw]]  # by topic and key
States = Callable[[], State]


class Damaged(Exception):
    """What is kept cannot be understood: without it an earlier life's number might be counted anew."""


class Kept(Protocol):
    """Raises OSError where the disk does."""

    async def begin(self, wall_ms: int) -> tuple[int, list[Change]]:
        """The number of this life, above that of any earlier one, and what is remembered. Raises Damaged."""

    async def append(self, changes: list[Change], state: States) -> None:
        """Once it returns they are on the disk. `state`: with them, if asked for."""


class MemoryKept:
    """Outlives a source in one process."""

    def __init__(self, remembered: bool = False) -> None:
        self.remembered = remembered
        self.epoch = 0
        self.changes: list[Change] = []

    async def begin(self, wall_ms: int) -> tuple[int, list[Change]]:
        self.epoch = max(self.epoch + 1, wall_ms)
        return self.epoch, list(self.changes)

    async def append(self, changes: list[Change], state: States) -> None:
        if self.remembered:
            self.changes += changes


class FileKept:
    """Files at `path` and beside it."""

    def __init__(self, path: Path, remembered: bool) -> None:
        self.path = path
        self.log = path.with_name(path.name + ".log")
        self.remembered = remembered
        self.epoch = 0
        self.whole_size = 0  # bytes of the state as it was last written whole
        self.failed = False  # a line may stand there in part: nothing is added to it

    async def begin(self, wall_ms: int) -> tuple[int, list[Change]]:
        epoch, changes = self.read()
        self.epoch = max(epoch + 1, wall_ms)
        state: dict[str, dict[str, Any]] = {}
        for topic, key, value in changes:
            entries = state.setdefault(topic, {})
            entries.pop(key, None)
            if value is not None:
                entries[key] = value
        self.path.parent.mkdir(parents=True, exist_ok=True)
        await self.write_whole(self.encoded(state))
        return self.epoch, [
            (topic, key, value) for topic, kept in state.items() for key, value in kept.items()
        ]

    def read(self) -> tuple[int, list[Change]]:
        data = FileMemory(self.path).load()
        if data is None:
            return 0, []
        try:
            told = check(decode(data), {"epoch": int, "topics": dict})
            topics = typed(told["topics"], dict[str, dict[str, Any]])
            changes = [(topic, key, value) for topic, kept in topics.items() for key, value in kept.items()]
            if self.remembered and self.log.exists():
                *lines, _ = self.log.read_bytes().split(b"\n")  # half of a last line was never answered
                for line in lines:
                    said = check(decode(line), {"epoch": int, "changes": list})
                    if said["epoch"] == told["epoch"]:
                        changes += typed(said["changes"], list[Change])
        except NotUnderstood as fault:
            raise Damaged(f"{self.path} is damaged: {fault}") from None
        return told["epoch"], changes if self.remembered else []

    def encoded(self, state: State) -> bytes:
        kept = state if self.remembered else {}
        return msgspec.json.encode({"v": VERSION, "epoch": self.epoch, "topics": kept})

    async def write_whole(self, data: bytes) -> None:
        """A crash on the way leaves lines that are held already, or that are of an earlier life."""
        await FileMemory(self.path).save(data)
        self.whole_size = len(data)
        if self.remembered:
            await anyio.to_thread.run_sync(self.empty_log)

    def empty_log(self) -> None:
        with self.log.open("wb") as file:
            os.fsync(file.fileno())

    async def append(self, changes: list[Change], state: States) -> None:
        if not self.remembered:
            return
        line = msgspec.json.encode({"v": VERSION, "epoch": self.epoch, "changes": changes}) + b"\n"
        with anyio.CancelScope(shield=True):
            size = await anyio.to_thread.run_sync(self.write_line, line)
            if size > max(LOG_LEAST, 2 * self.whole_size):
                await self.write_whole(self.encoded(state()))

    def write_line(self, line: bytes) -> int:
        """Bytes of the log with it."""
        if self.failed:
            raise OSError("the file of changes could not be written before")
        with self.log.open("ab") as file:
            before = file.tell()
            try:
                file.write(line)
                file.flush()
                os.fsync(file.fileno())
            except OSError:
                self.failed = True
                os.truncate(self.log, before)
                self.failed = False
                raise
        return before + len(line)
