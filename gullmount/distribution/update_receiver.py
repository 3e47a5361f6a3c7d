"""Applies the lines of a subscription's stream to a topic store and finds the topics to request again.

No I/O, clock or randomness: the caller passes times, in seconds.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field
from typing import Any, NamedTuple

import msgspec

from gullmount.distribution import decoding
from gullmount.distribution.messages import HeartbeatLine, UpdateLine
from gullmount.distribution.relay_selection import MAX_LAG_SECONDS
from gullmount.distribution.topic_store import ApplyResult, TopicStore
from gullmount.distribution.topic_update import JSON_NULL, TopicUpdate
from gullmount.distribution.versions import NO_VERSION, Version
from gullmount.rpc.errors import InvalidMessageError

# The first wait before a requested snapshot that has not arrived is requested again.
SNAPSHOT_RETRY_SECONDS = 3.0

# The wait doubles with each request, but at most this many times. It grows because a topic that can't be
# decoded is sent in full each time.
MAX_RETRY_DOUBLINGS = 4

# The number of different errors of one stream that are logged. All errors are counted.
MAX_ERRORS_LOGGED = 20


@dataclass
class SubscriberCounters:
    """Counters of one subscriber since its start."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages: int = 0
    """Lines received."""
    snapshots: int = 0
    """Snapshots that were applied."""
    changes: int = 0
    """Updates with changes that were applied."""
    old: int = 0
    """Updates to a version that was held already, or to an older one."""
    gaps: int = 0
    """Updates with changes that did not apply to the held version."""
    unasked: int = 0
    """Updates of topics that are not subscribed to."""
    lower_epoch: int = 0
    """Lines whose sender's origin is in an earlier epoch than the highest one known."""
    not_understood: int = 0
    """Lines or topics that could not be decoded."""
    moves: int = 0
    """Streams begun at another relay than the previous stream."""


@dataclass(frozen=True)
class AppliedUpdate:
    """One topic's update that was applied.

    Attributes:
        topic: The name of the topic.
        version: The version of the topic after the update.
        is_snapshot: Whether `entries` holds all entries of the topic.
        entries: Decoded values by key; None for a removed key. Empty if the receiver does not decode values.
    """

    topic: str
    version: Version
    is_snapshot: bool
    entries: Mapping[str, Any | None]


@dataclass
class LineResult:
    """The result of receiving a line."""

    updates: list[AppliedUpdate] = field(default_factory=list)
    touched_topics: list[str] = field(default_factory=list)
    """Topics that changed or lack an update."""
    errors: list[str] = field(default_factory=list)
    """Errors that the caller logs."""
    sender_is_behind: bool = False
    """Whether the sender knows of less than the store, or has lost the origin."""


class SnapshotRequest(NamedTuple):
    """The time of the last request for a topic, and the number of requests."""

    requested_at: float
    attempts: int


class UpdateReceiver:
    """Applies received lines to a topic store.

    Attributes:
        store: The topic store.
        decode_values: Whether values are decoded. A proxy needs them; a relay only forwards them.
        counters: The counters of the subscriber.
        snapshot_requests: The requests for topics that have not arrived yet, by topic.
        logged_errors: The errors of the current stream that were handed out for the log.
    """

    def __init__(self, store: TopicStore, *, decode_values: bool = True) -> None:
        """Starts without a stream."""
        self.store = store
        self.decode_values = decode_values
        self.counters = SubscriberCounters()
        self.snapshot_requests: dict[str, SnapshotRequest] = {}
        self.logged_errors: set[str] = set()

    def receive(self, line: bytes, wall: float) -> LineResult:
        """Applies a line. Errors are counted and never raised.

        Args:
            line: The line.
            wall: The time of the wall clock, in seconds.
        """
        result, counters = LineResult(), self.counters
        counters.messages += 1
        try:
            message = decoding.parse_line(line, wall)
        except InvalidMessageError as error:
            counters.not_understood += 1
            self.record_error(result, str(error))
            return result
        result.sender_is_behind = message.as_of < self.store.newest_seen
        if not self.store.note_progress(message.as_of, None):
            counters.lower_epoch += 1
            self.record_error(result, "epoch lower than one known")
            return result
        if isinstance(message, HeartbeatLine):
            origin_is_lost = message.origin_silent_seconds >= MAX_LAG_SECONDS
            result.sender_is_behind = result.sender_is_behind or origin_is_lost
        else:
            self.apply_updates(message, result)
        self.store.note_progress(message.as_of, None if message.more else message.complete)
        return result

    def apply_updates(self, message: UpdateLine, result: LineResult) -> None:
        """Applies a line's updates, and marks topics that could not be decoded to be requested again."""
        for malformed in message.malformed:
            self.counters.not_understood += 1
            self.record_error(result, malformed.problem)
            if self.store.mark_gap(malformed.topic):
                result.touched_topics.append(malformed.topic)
        for update in message.updates:
            self.apply(update, message, result)

    def record_error(self, result: LineResult, problem: str) -> None:
        """Adds an error to the result, once per stream."""
        if problem not in self.logged_errors and len(self.logged_errors) < MAX_ERRORS_LOGGED:
            self.logged_errors.add(problem)
            result.errors.append(problem)

    def apply(self, update: TopicUpdate, message: UpdateLine, result: LineResult) -> None:
        """Applies one topic's update of a message."""
        counters = self.counters
        match self.store.apply(update, message.as_of, message.complete):
            case ApplyResult.APPLIED:
                counters.snapshots += update.is_snapshot
                counters.changes += not update.is_snapshot
                self.snapshot_requests.pop(update.topic, None)
                result.updates.append(self.decode_update(update))
                result.touched_topics.append(update.topic)
            case ApplyResult.STALE:
                counters.old += 1
            case ApplyResult.GAP:
                counters.gaps += 1
                result.touched_topics.append(update.topic)
            case ApplyResult.NOT_SUBSCRIBED:
                counters.unasked += 1
                self.record_error(result, "topic that is not subscribed to")
            case ApplyResult.LOWER_EPOCH:
                # Not reached, since `receive` drops such a line as a whole.
                counters.lower_epoch += 1

    def decode_update(self, update: TopicUpdate) -> AppliedUpdate:
        """Returns the update, with its values decoded if `decode_values` is set."""
        entries: dict[str, Any | None] = {}
        if self.decode_values:
            for key, raw in update.entries.items():
                if not (update.is_snapshot and bytes(raw) == JSON_NULL):
                    entries[key] = msgspec.json.decode(raw)
        return AppliedUpdate(update.topic, update.version, update.is_snapshot, entries)

    def due_requests(self, now: float) -> dict[str, Version]:
        """Returns the topics to request now on the current stream, each with NO_VERSION.

        A topic with a gap is requested again after a wait, a topic that was never received only once. If the
        request fails, the caller begins a new stream.
        """
        wanted = {*self.store.gaps, *self.store.never_received()}
        previous_requests, self.snapshot_requests = self.snapshot_requests, {}
        due = {}
        for topic in sorted(wanted):
            request = previous_requests.get(topic, SnapshotRequest(now, 0))
            if request.attempts == 0 or self.is_overdue(topic, request, now):
                due[topic] = NO_VERSION
                request = SnapshotRequest(now, request.attempts + 1)
            self.snapshot_requests[topic] = request
        return due

    def is_overdue(self, topic: str, request: SnapshotRequest, now: float) -> bool:
        """Returns whether a topic with a gap is to be requested again."""
        wait = SNAPSHOT_RETRY_SECONDS * 2 ** min(request.attempts - 1, MAX_RETRY_DOUBLINGS)
        return topic in self.store.gaps and now - request.requested_at >= wait

    def stream_started(self, now: float) -> None:
        """Records that a new stream was begun, with a request that names all missing topics."""
        missing = (*self.store.gaps, *self.store.never_received())
        self.snapshot_requests = dict.fromkeys(missing, SnapshotRequest(now, 1))
        self.logged_errors.clear()
