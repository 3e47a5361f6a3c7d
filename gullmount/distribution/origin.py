"""The origin: holds all topics, counts their changes, and sends them to relays.

A change is stored, then counted, then sent. An origin that does not know its state, as it remembers none or
its file is empty, sends nothing of a topic until it has received all of it: half a list must not pass for
everything.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterable
from typing import Any

import anyio
import msgspec

from gullmount.distribution import decoding
from gullmount.distribution.config import OriginConfig
from gullmount.distribution.errors import IncompleteTopicError, MalformedMessageError, TopicTooLargeError
from gullmount.distribution.http_interface import (
    CHANGES_PATH,
    CONFLICT,
    FORBIDDEN,
    IN_FORCE_PATH,
    TOO_LARGE,
    UNAVAILABLE,
    json_response,
    text_response,
)
from gullmount.distribution.in_force_summary import RelaySummaries
from gullmount.distribution.log_events import LogEvent
from gullmount.distribution.messages import ENDPOINTS_KIND, SubscribeRequest
from gullmount.distribution.origin_storage import OriginStorage
from gullmount.distribution.subscriber_server import SubscriberServer
from gullmount.distribution.subscription_client import Log, no_log
from gullmount.distribution.subscriptions import Subscriptions
from gullmount.distribution.topic_log import LogEntry
from gullmount.distribution.topic_store import MAX_TOPIC_BYTES, TopicStore
from gullmount.distribution.topic_update import EntryChange
from gullmount.distribution.versions import Version
from gullmount.net import StreamNet
from gullmount.rpc import Request, Response

HEARTBEAT_SECONDS = 1.0  # relays' as_of goes by these lines
MAX_CHANGES_BODY_BYTES = 16 << 20


class Origin(SubscriberServer):
    """Run it in a task; `commit` once it has loaded."""

    def __init__(
        self,
        config: OriginConfig,
        *,
        network: StreamNet,
        storage: OriginStorage,
        log: Log = no_log,
        clock: Callable[[], float] = anyio.current_time,
        wall: Callable[[], float] = time.time,
    ) -> None:
        """The origin of `config`.

        `clock`: seconds, monotonic; `wall`: seconds of the wall clock, for epochs and start times.
        """
        self.config = config
        self.network = network
        self.storage = storage
        self.store = TopicStore()
        super().__init__(
            Subscriptions(self.store),
            zones=config.zones,
            max_connections=config.connections,
            heartbeat_seconds=HEARTBEAT_SECONDS,
            max_body_bytes=MAX_CHANGES_BODY_BYTES,
            log=log,
            clock=clock,
            wall=wall,
        )
        self.relay_summaries = RelaySummaries()
        self.all_known = False  # whether a topic that is not held is empty; else it is not known
        self.loaded = anyio.Event()
        self.commit_lock = anyio.Lock()  # changes are on the disk in the order of their revisions

    async def run(self, started: anyio.Event | None = None) -> None:
        """Load and serve until cancelled. Raises OSError and StateFileDamagedError."""
        await self.load()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cleanup_loop)
            await self.network.serve(self.config.listen, self.handle_connection, started)

    async def load(self) -> None:
        """Begin a new epoch with the stored state."""
        state = await self.storage.load(int(self.wall() * 1000))
        self.all_known = state.all_known
        self.store.as_of = self.store.newest_seen = Version(state.epoch, 0)
        self.store.commit(
            EntryChange(topic, key, value)
            for topic, entries in state.topics.items()
            for key, value in entries.items()
        )
        for topic in state.topics:
            self.store.open_topic(topic)
        self.log(
            LogEvent.ORIGIN_STARTED, epoch=state.epoch, topics=len(state.topics), all_known=state.all_known
        )
        self.loaded.set()

    # Changes

    def commit(self, changes: Iterable[EntryChange], complete_topics: Collection[str] = ()) -> Version:
        """Count and send changes, all in one revision, without storing them.

        `complete_topics`: topics of which these are all the entries. Raises IncompleteTopicError,
        TopicTooLargeError.
        """
        normalized = self.normalized(changes, complete_topics)
        version, changed = self.store.commit(normalized)
        opened = {*complete_topics, *(change.topic for change in normalized)} - self.store.logs.keys()
        for topic in opened:
            self.store.open_topic(topic)
        self.topics_changed({*changed, *opened})
        return version

    def normalized(
        self, changes: Iterable[EntryChange], complete_topics: Collection[str]
    ) -> list[EntryChange]:
        """The changes, with removals of what is not in a complete topic, and ages as start times."""
        values: dict[tuple[str, str], Any] = {}
        for topic in complete_topics:
            log = self.store.logs.get(topic)
            if log is not None:
                values |= dict.fromkeys(((topic, key) for key in log.entries), None)
        for topic, key, value in changes:
            if not self.all_known and topic not in complete_topics and topic not in self.store.logs:
                raise IncompleteTopicError(topic)
            is_endpoint = topic.startswith(f"{ENDPOINTS_KIND}/")
            values[topic, key] = self.with_start_time(topic, key, value) if is_endpoint else value
        normalized = [EntryChange(topic, key, value) for (topic, key), value in values.items()]
        self.check_sizes(normalized)
        return normalized

    def check_sizes(self, changes: list[EntryChange]) -> None:
        """Raise TopicTooLargeError before anything is stored."""
        sizes: dict[str, int] = {}
        for topic, key, value in changes:
            log = self.store.logs.get(topic)
            entry = self.entry(topic, key)
            size = sizes.get(topic, log.size_bytes if log is not None else 0)
            size -= 0 if entry is None else len(key) + len(entry.value)
            sizes[topic] = size + (0 if value is None else len(key) + len(msgspec.json.encode(value)))
        for topic, size in sizes.items():
            if size > MAX_TOPIC_BYTES:
                raise TopicTooLargeError(topic, size, MAX_TOPIC_BYTES)

    def entry(self, topic: str, key: str) -> LogEntry | None:
        """What is held for a key."""
        log = self.store.logs.get(topic)
        return log.entries.get(key) if log is not None else None

    def with_start_time(self, topic: str, key: str, value: Any) -> Any:
        """An endpoint with `since`, its start in seconds of the wall clock, in place of an age.

        An age grows old on its way. The same start keeps its time.
        """
        if not isinstance(value, dict) or not isinstance(value.get("age"), int | float):
            return value
        dated = {name: field for name, field in value.items() if name != "age"}
        dated["since"] = round(self.wall() - value["age"], 3)
        entry = self.entry(topic, key)
        if entry is not None and dated.get("start") is not None:
            before = msgspec.json.decode(entry.value)
            if isinstance(before, dict) and before.get("start") == dated["start"] and "since" in before:
                dated["since"] = before["since"]
        return dated

    async def store_and_commit(self, changes: list[EntryChange], complete_topics: Collection[str]) -> Version:
        """Store, count and send changes.

        Raises IncompleteTopicError, TopicTooLargeError, OSError: nothing was sent then.
        """
        async with self.commit_lock:
            normalized = self.normalized(changes, complete_topics)
            known = {*complete_topics, *(change.topic for change in normalized)}
            await self.storage.append(normalized, known, self.snapshot)
            return self.commit(normalized, complete_topics)

    def snapshot(self) -> dict[str, dict[str, msgspec.Raw]]:
        """All values as JSON by topic and key."""
        return {
            topic: {key: msgspec.Raw(value) for key, value in log.snapshot().items()}
            for topic, log in self.store.logs.items()
        }

    # Requests

    async def handle_other_request(self, asked: Request, path: str) -> Response | None:
        """Changes, relays' reports, and what is in force."""
        if path == CHANGES_PATH and asked.method == "POST":
            return await self.answer_changes(asked)
        if path == IN_FORCE_PATH and asked.method == "POST":
            return self.answer_relay_summary(asked)
        if path == IN_FORCE_PATH and asked.method == "GET":
            zones = self.relay_summaries.summary(self.clock())
            silent = sorted(self.config.relays.keys() - self.relay_summaries.relays.keys())
            return json_response({"as_of": self.store.as_of, "zones": zones, "silent": silent})
        return None

    def answer_relay_summary(self, asked: Request) -> Response:
        """Take in a relay's report."""
        report = decoding.parse_relay_summary(asked.body, self.wall())
        if report.relay not in self.config.relays:
            self.log(LogEvent.SUMMARY_FROM_UNKNOWN_RELAY, relay=report.relay)
            return text_response(FORBIDDEN, "not named")
        if not report.zones.keys() <= self.zones:
            raise MalformedMessageError("zones", "not known here")
        self.relay_summaries.record(report.relay, report.zones, self.clock())
        return json_response({})

    async def answer_changes(self, asked: Request) -> Response:
        """Make changes and answer with their version."""
        request = decoding.parse_changes(asked.body)
        changes = [EntryChange(item.topic, item.key, item.value) for item in request.changes]
        try:
            version = await self.store_and_commit(changes, request.complete_topics)
        except IncompleteTopicError as error:
            return text_response(CONFLICT, str(error))
        except TopicTooLargeError as error:
            return text_response(TOO_LARGE, str(error))
        except OSError as error:
            self.log(LogEvent.CHANGES_NOT_STORED, reason=error.strerror)
            return text_response(UNAVAILABLE, "not kept")
        return json_response({"version": version})

    # Relays

    def check_admission(self, message: SubscribeRequest) -> None:
        """Raise MalformedMessageError for one that the configuration doesn't name, or in another zone."""
        if not message.extends and self.config.relays.get(message.subscriber) != message.zone:
            raise MalformedMessageError("follower", "no relay of this origin, or of another zone")

    def on_topics_requested(self, topics: Collection[str]) -> None:
        """Open topics without entries as empty ones, if all is known."""
        if self.all_known:
            new = [topic for topic in topics if topic not in self.store.logs]
            for topic in new:
                self.store.open_topic(topic)
            self.topics_changed(new)

    def on_topics_unused(self, topics: list[str]) -> None:
        """Drop topics that never had an entry: names that someone made up are not held."""
        for topic in topics:
            log = self.store.logs.get(topic)
            if self.all_known and log is not None and not log.version.revision:
                del self.store.logs[topic]
