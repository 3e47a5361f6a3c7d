"""Implements the origin, which holds all topics, numbers their changes and sends them to relays.

A change is first stored, then numbered with a revision, then sent. An origin may start without knowing its
state, because it stores none or its file is empty. It then sends nothing of a topic until it has received
the complete topic, because a partial list must not be taken for a complete one.
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

# Relays advance their as_of with the heartbeat lines.
HEARTBEAT_SECONDS = 1.0
MAX_CHANGES_BODY_BYTES = 16 << 20


class Origin(SubscriberServer):
    """Server that holds all topics and sends their changes to relays.

    `run` loads the state and serves relays. Call `commit` only after the `loaded` event is set.
    """

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
        """Create an origin that is not running yet.

        Args:
            config: Address, relays, zones and limits.
            network: Network to listen on.
            storage: Stores the epoch and the state.
            log: Receives log events.
            clock: Returns monotonic time in seconds.
            wall: Returns the wall clock in seconds, used for epochs and start times.
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
        # If true, a topic that is not held is empty. Otherwise its content is unknown.
        self.all_known = False
        self.loaded = anyio.Event()
        # Keeps changes on disk in the order of their revisions.
        self.commit_lock = anyio.Lock()

    async def run(self, started: anyio.Event | None = None) -> None:
        """Load the state and serve until cancelled. Raises OSError or StateFileDamagedError."""
        await self.load()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.cleanup_loop)
            await self.network.serve(self.config.listen, self.handle_connection, started)

    async def load(self) -> None:
        """Load the stored state and begin a new epoch. Raises OSError or StateFileDamagedError."""
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
        """Number changes with one revision and send them, without storing them. Returns their version.

        Args:
            changes: Changes to commit.
            complete_topics: Topics for which the changes contain all entries.

        Raises:
            IncompleteTopicError: The origin does not know all entries of a topic.
            TopicTooLargeError: A topic would exceed the size limit.
        """
        normalized = self.normalize_changes(changes, complete_topics)
        version, changed = self.store.commit(normalized)
        new_topics = {*complete_topics, *(change.topic for change in normalized)} - self.store.logs.keys()
        for topic in new_topics:
            self.store.open_topic(topic)
        self.topics_changed({*changed, *new_topics})
        return version

    def normalize_changes(
        self, changes: Iterable[EntryChange], complete_topics: Collection[str]
    ) -> list[EntryChange]:
        """Add removals of entries missing from complete topics, and replace ages by start times.

        Raises IncompleteTopicError or TopicTooLargeError.
        """
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
        """Raise TopicTooLargeError if the changes would make a topic too large.

        Runs before anything is stored.
        """
        sizes: dict[str, int] = {}
        for topic, key, value in changes:
            log = self.store.logs.get(topic)
            entry = self.stored_entry(topic, key)
            size = sizes.get(topic, log.size_bytes if log is not None else 0)
            size -= 0 if entry is None else len(key) + len(entry.value)
            sizes[topic] = size + (0 if value is None else len(key) + len(msgspec.json.encode(value)))
        for topic, size in sizes.items():
            if size > MAX_TOPIC_BYTES:
                raise TopicTooLargeError(topic, size, MAX_TOPIC_BYTES)

    def stored_entry(self, topic: str, key: str) -> LogEntry | None:
        """Return the entry held for a key, or None."""
        log = self.store.logs.get(topic)
        return log.entries.get(key) if log is not None else None

    def with_start_time(self, topic: str, key: str, value: Any) -> Any:
        """Replace the age of an endpoint by `since`, its start time in seconds of the wall clock.

        An age would be outdated by the time it arrives. An endpoint with an unchanged `start` keeps its
        earlier `since`.
        """
        if not isinstance(value, dict) or not isinstance(value.get("age"), int | float):
            return value
        endpoint = {name: field for name, field in value.items() if name != "age"}
        endpoint["since"] = round(self.wall() - value["age"], 3)
        entry = self.stored_entry(topic, key)
        if entry is not None and endpoint.get("start") is not None:
            previous = msgspec.json.decode(entry.value)
            if (
                isinstance(previous, dict)
                and previous.get("start") == endpoint["start"]
                and "since" in previous
            ):
                endpoint["since"] = previous["since"]
        return endpoint

    async def store_and_commit(self, changes: list[EntryChange], complete_topics: Collection[str]) -> Version:
        """Store changes, number them with one revision and send them. Returns their version.

        Raises IncompleteTopicError, TopicTooLargeError or OSError, in which case nothing was sent.
        """
        async with self.commit_lock:
            normalized = self.normalize_changes(changes, complete_topics)
            known = {*complete_topics, *(change.topic for change in normalized)}
            await self.storage.append(normalized, known, self.snapshot)
            return self.commit(normalized, complete_topics)

    def snapshot(self) -> dict[str, dict[str, msgspec.Raw]]:
        """Return all values as JSON, by topic and key."""
        return {
            topic: {key: msgspec.Raw(value) for key, value in log.snapshot().items()}
            for topic, log in self.store.logs.items()
        }

    # Requests

    async def handle_other_request(self, request: Request, path: str) -> Response | None:
        """Serve changes, reports of relays and queries of what is in force.

        Returns None for all other requests.
        """
        if path == CHANGES_PATH and request.method == "POST":
            return await self.answer_changes(request)
        if path == IN_FORCE_PATH and request.method == "POST":
            return self.answer_relay_summary(request)
        if path == IN_FORCE_PATH and request.method == "GET":
            zones = self.relay_summaries.summary(self.clock())
            silent = sorted(self.config.relays.keys() - self.relay_summaries.relays.keys())
            return json_response({"as_of": self.store.as_of, "zones": zones, "silent": silent})
        return None

    def answer_relay_summary(self, request: Request) -> Response:
        """Record the report of a relay. Raises MalformedMessageError if it names an unknown zone."""
        report = decoding.parse_relay_summary(request.body, self.wall())
        if report.relay not in self.config.relays:
            self.log(LogEvent.SUMMARY_FROM_UNKNOWN_RELAY, relay=report.relay)
            return text_response(FORBIDDEN, "not named")
        if not report.zones.keys() <= self.zones:
            raise MalformedMessageError("zones", "not known here")
        self.relay_summaries.record(report.relay, report.zones, self.clock())
        return json_response({})

    async def answer_changes(self, request: Request) -> Response:
        """Store and commit changes, and respond with their version."""
        changes_request = decoding.parse_changes(request.body)
        changes = [EntryChange(item.topic, item.key, item.value) for item in changes_request.changes]
        try:
            version = await self.store_and_commit(changes, changes_request.complete_topics)
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
        """Raise MalformedMessageError unless the configuration names the relay with this zone.

        Requests that change the topics of an existing stream are not checked.
        """
        if not message.extends and self.config.relays.get(message.subscriber) != message.zone:
            raise MalformedMessageError("follower", "no relay of this origin, or of another zone")

    def on_topics_requested(self, topics: Collection[str]) -> None:
        """Create requested topics that are not held as empty topics, if all topics are known."""
        if self.all_known:
            missing_topics = [topic for topic in topics if topic not in self.store.logs]
            for topic in missing_topics:
                self.store.open_topic(topic)
            self.topics_changed(missing_topics)

    def on_topics_unused(self, topics: list[str]) -> None:
        """Drop unused topics that never had an entry, so that invented names are not held."""
        for topic in topics:
            log = self.store.logs.get(topic)
            if self.all_known and log is not None and not log.version.revision:
                del self.store.logs[topic]
