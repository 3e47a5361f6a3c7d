"""A process that makes the scheduled changes, each at its time, and writes when it did."""

from __future__ import annotations

import json
import time
from collections.abc import Awaitable, Callable, Sequence
from pathlib import Path
from typing import Any

import anyio
import msgspec

from gullmount.net import TcpNet
from gullmount.rpc import ConnectionPool
from gullmount.scale.fleet.child_process import Commands, run_process, write_line
from gullmount.scale.fleet.config import Delivery
from gullmount.scale.fleet.drawn_elements import (
    CONFIGURATION_KEY,
    ChangeKind,
    DrawnChange,
    service_configuration,
)
from gullmount.scale.fleet.errors import ChangeRejectedError
from gullmount.scale.fleet.process_messages import (
    CHANGES_FILE,
    ChangeWriterFile,
    Command,
    MadeChange,
    Reply,
)

TOPICS_PER_LOAD_CALL = 100  # some 1 MB
BATCH_SECONDS = 0.001  # within which changes go in one call, with one revision: as a lost zone's do
MAX_BATCH_CHANGES = 500
HTTP_OK = 200
NOT_DELIVERED = (0, 0)  # the version of a batch of which nothing is delivered


class ChangeWriter:
    """Makes one run's changes at the origin, or at discovery where that delivers complete lists."""

    def __init__(self, file: ChangeWriterFile) -> None:
        self.file = file
        self.drawn = file.drawn_fleet()
        self.calls = ConnectionPool(TcpNet())
        self.made: list[MadeChange] = []

    async def post(self, changes: list[dict[str, Any]]) -> tuple[int, int]:
        """Make changes and return their version. Raises CallError and ChangeRejectedError."""
        body = msgspec.json.encode({"v": 1, "changes": changes})
        status, data = await self.calls.call(self.file.origin, "POST", "/v1/changes", body)
        if status != HTTP_OK:
            raise ChangeRejectedError(status)
        epoch, revision = msgspec.json.decode(data)["version"]
        return epoch, revision

    async def load(self) -> tuple[int, int]:
        """Write the state before the first change; return the version after it. Raises as `post`."""
        version = NOT_DELIVERED
        entries = self.initial_entries()
        topics = list(entries)
        for start in range(0, len(topics), TOPICS_PER_LOAD_CALL):
            batch = topics[start : start + TOPICS_PER_LOAD_CALL]
            version = await self.post([entry for topic in batch for entry in entries[topic]])
        return version

    def initial_entries(self) -> dict[str, list[dict[str, Any]]]:
        """By topic, its entries before the first change, as the origin takes them."""
        entries: dict[str, list[dict[str, Any]]] = {}
        for server in self.drawn.servers:
            topic = f"{ChangeKind.SERVERS.value}/{server.service}"
            entry = {"topic": topic, "key": server.address, "value": server.topic_entry()}
            entries.setdefault(topic, []).append(entry)
        for service in self.drawn.services:
            configuration = service_configuration(service, 0, self.drawn.config.routes_per_service)
            topic = f"{ChangeKind.CONFIGURATION.value}/{service}"
            entries[topic] = [{"topic": topic, "key": CONFIGURATION_KEY, "value": configuration}]
        return entries

    def message(self, change: DrawnChange) -> dict[str, Any] | None:
        """The change as its receiver takes it; None where this delivery carries none of its kind."""
        if self.file.delivery is Delivery.RELAYS:
            return {"topic": change.topic, "key": change.key, "value": self.drawn.topic_value(change)}
        return None if change.server is None else change.server.discovery_entry()

    async def make_changes(self) -> None:
        """Make all changes, each at its time, until the last phase ends. Raises as `post`."""
        start = time.monotonic()
        changes = self.drawn.changes
        write_line({Reply.BEGAN: start})
        first = 0
        while first < len(changes):
            end = batch_end(changes, first)
            await anyio.sleep(max(0.0, start + changes[first].at - time.monotonic()))
            await self.make_batch(first, end)
            first = end
        await anyio.sleep(max(0.0, start + self.drawn.config.duration - time.monotonic()))

    async def make_batch(self, first: int, end: int) -> None:
        """Make the changes from `first` to before `end` in one call. Raises as `post`."""
        sent_at = time.monotonic()
        changes = self.drawn.changes[first:end]
        messages = [self.message(change) for change in changes]
        delivered = [message for message in messages if message is not None]
        version = await self.post(delivered) if delivered else NOT_DELIVERED
        answered_at = time.monotonic()
        for index, change, message in zip(range(first, end), changes, messages, strict=True):
            self.made.append(
                MadeChange(
                    index=index,
                    topic=change.topic,
                    key=change.key,
                    sent_at=sent_at,
                    answered_at=answered_at,
                    version=None if message is None else version,
                )
            )

    def write(self) -> None:
        """Write the changes made so far. Raises OSError."""
        lines = "".join(json.dumps(msgspec.to_builtins(change)) + "\n" for change in self.made)
        (Path(self.file.folder) / CHANGES_FILE).write_text(lines)


def batch_end(changes: Sequence[DrawnChange], first: int) -> int:
    """Index after the last change that goes in one call with the first."""
    end = first + 1
    while (
        end < len(changes)
        and changes[end].at < changes[first].at + BATCH_SECONDS
        and end - first < MAX_BATCH_CHANGES
    ):
        end += 1
    return end


async def program(file: ChangeWriterFile, commands: Commands) -> None:
    """Load and make changes as commanded."""
    writer = ChangeWriter(file)
    write_line({Reply.READY: True, "changes": len(writer.drawn.changes)})

    async def reply_after(work: Callable[[], Awaitable[Any]], reply: Reply) -> None:
        try:
            write_line({reply: await work() or True})
        except Exception as error:
            write_line({Reply.FAILED: f"{type(error).__name__}: {error}"})

    async def make_and_write() -> None:
        try:
            await writer.make_changes()
        finally:
            writer.write()

    async with anyio.create_task_group() as tasks:
        async for command in commands:
            if command == Command.LOAD:
                tasks.start_soon(reply_after, writer.load, Reply.LOADED)
            elif command == Command.GO:
                tasks.start_soon(reply_after, make_and_write, Reply.DONE)
            elif command == Command.QUIT:
                break
        await writer.calls.aclose()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_process(ChangeWriterFile, program)
