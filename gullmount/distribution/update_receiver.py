"""Takes the lines of a subscription's stream into a topic store, and says which topics to request again.

No I/O, clock or randomness: times, in seconds, are handed in.
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

SNAPSHOT_RETRY_SECONDS = 3.0  # after which a requested snapshot that did not come is requested again
MAX_RETRY_DOUBLINGS = 4  # of that wait: a topic that can't be decoded comes whole each time
MAX_ERRORS_LOGGED = 20  # different errors of one stream; all are counted


@dataclass
class SubscriberCounters:
    """Counts of one subscriber, from its start."""

    bytes_in: int = 0
    bytes_out: int = 0
    messages: int = 0
    """Lines received."""
    snapshots: int = 0
    """Topics replaced by a snapshot."""
    changes: int = 0
    """Topics changed on top of what was held."""
    old: int = 0
    """Updates that were held already, or older."""
    gaps: int = 0
    """Changes that did not go on top of what was held."""
    unasked: int = 0
    """Updates of topics that are not subscribed to."""
    lower_epoch: int = 0
    """Lines of an origin's earlier epoch."""
    not_understood: int = 0
    """Lines or topics that could not be decoded."""
    moves: int = 0
    """Streams begun at another relay than the one before."""


@dataclass(frozen=True)
class AppliedUpdate:
    """One topic's update that was applied.

    `entries` holds values by key, None for a key that was removed; all there are if `is_snapshot`. It is
    empty where values are not decoded.
    """

    topic: str
    version: Version
    is_snapshot: bool
    entries: Mapping[str, Any | None]


@dataclass
class LineResult:
    """What became of a line."""

    updates: list[AppliedUpdate] = field(default_factory=list)
    touched_topics: list[str] = field(default_factory=list)
    """Topics that changed or have a gap."""
    errors: list[str] = field(default_factory=list)
    """Each is to be logged."""
    sender_is_behind: bool = False
    """The sender is behind what is known here, or has lost the origin."""


class SnapshotRequest(NamedTuple):
    """When a topic was requested last, and how often."""

    requested_at: float
    attempts: int


class UpdateReceiver:
    """Takes lines into `store`; `decode_values` for a proxy, while a relay only forwards them."""

    def __init__(self, store: TopicStore, *, decode_values: bool = True) -> None:
        """Start without a stream."""
        self.store = store
        self.decode_values = decode_values
        self.counters = SubscriberCounters()
        self.snapshot_requests: dict[str, SnapshotRequest] = {}
        self.logged_errors: set[str] = set()  # of this stream

    def receive(self, line: bytes, wall: float) -> LineResult:
        """Take in a line; `wall` is the time of the wall clock. Never raises: errors are counted."""
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
        """Apply a line's updates; the topics that could not be decoded are to be requested again."""
        for malformed in message.malformed:
            self.counters.not_understood += 1
            self.record_error(result, malformed.problem)
            if self.store.mark_gap(malformed.topic):
                result.touched_topics.append(malformed.topic)
        for update in message.updates:
            self.apply(update, message, result)

    def record_error(self, result: LineResult, problem: str) -> None:
        """An error is logged once a stream."""
        if problem not in self.logged_errors and len(self.logged_errors) < MAX_ERRORS_LOGGED:
            self.logged_errors.add(problem)
            result.errors.append(problem)

    def apply(self, update: TopicUpdate, message: UpdateLine, result: LineResult) -> None:
        """Apply one topic's update of a message."""
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
                counters.lower_epoch += 1  # not reached: such a line is dropped whole

    def decode_update(self, update: TopicUpdate) -> AppliedUpdate:
        """The update with its values decoded, if they are to be."""
        entries: dict[str, Any | None] = {}
        if self.decode_values:
            for key, raw in update.entries.items():
                if not (update.is_snapshot and bytes(raw) == JSON_NULL):
                    entries[key] = msgspec.json.decode(raw)
        return AppliedUpdate(update.topic, update.version, update.is_snapshot, entries)

    def due_requests(self, now: float) -> dict[str, Version]:
        """Topics to request now on the stream there is, each with the version that is held for it.

        Those with a gap, again after a while, and those never received, once. Where the request fails, a new
        stream is to be begun.
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
        """Whether a topic with a gap is to be requested once more."""
        wait = SNAPSHOT_RETRY_SECONDS * 2 ** min(request.attempts - 1, MAX_RETRY_DOUBLINGS)
        return topic in self.store.gaps and now - request.requested_at >= wait

    def stream_started(self, now: float) -> None:
        """A new stream was begun with what is held: all that is missing was requested by that."""
        missing = (*self.store.gaps, *self.store.never_received())
        self.snapshot_requests = dict.fromkeys(missing, SnapshotRequest(now, 1))
        self.logged_errors.clear()
