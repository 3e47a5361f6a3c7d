"""Decodes the messages of distribution and checks their limits.

A message that does not follow docs/protocols.md raises MalformedMessageError. In a line with many topics,
only the malformed topics are left out. No I/O, clock or randomness.
"""

from __future__ import annotations

from typing import Any, TypeVar

import msgspec

from gullmount.distribution.errors import MalformedMessageError
from gullmount.distribution.in_force_summary import (
    MAX_LISTED_SUBSCRIBERS,
    MAX_REASON_CHARACTERS,
    InForceSummary,
)
from gullmount.distribution.messages import (
    HEARTBEAT_LINE_KIND,
    TOPIC_KINDS,
    UPDATE_LINE_KIND,
    AcknowledgementReport,
    ChangesRequest,
    HeartbeatLine,
    MalformedTopic,
    RelaySummaryReport,
    SubscribeRequest,
    UpdateLine,
)
from gullmount.distribution.subscription import Rejection
from gullmount.distribution.topic_update import TopicUpdate
from gullmount.distribution.versions import NO_VERSION, Version
from gullmount.rpc.messages import MESSAGE_VERSION

# A line holds a topic of the largest size and the fields around it.
MAX_LINE_BYTES = 4 << 20

MAX_REQUEST_BYTES = 4 << 20
MAX_CHANGES_REQUEST_BYTES = 4 * MAX_LINE_BYTES

# The number of topics in one request.
MAX_TOPICS = 20_000

# The number of changes in one request.
MAX_CHANGES = 20_000

# The number of zones in a relay's report.
MAX_ZONES = 200

# The length of the name of a subscriber, a service or a zone.
MAX_NAME_CHARACTERS = 200

MAX_KEY_CHARACTERS = 300

# Some JSON implementations do not represent larger integers exactly.
MAX_REVISION = 2**53

# The time by which an epoch may be ahead of the local wall clock, since clocks differ.
MAX_EPOCH_LEAD_MS = 3_600_000

# The number of revisions that an origin may make in each millisecond since its epoch began.
MAX_REVISIONS_PER_MS = 1

# The number of revisions accepted beyond that rate, since clocks differ.
REVISION_ALLOWANCE = 1_000_000

MAX_PROBLEM_CHARACTERS = 200

Decoded = TypeVar("Decoded")


class LineHeader(msgspec.Struct):
    """A line of a stream whose topics are not decoded yet."""

    v: int
    kind: str
    as_of: Version
    complete: Version | None = None
    more: bool = False
    origin_silent_seconds: float = msgspec.field(name="stale", default=0.0)
    topics: list[msgspec.Raw] = []


class TopicNameOnly(msgspec.Struct):
    """The name of a topic that could not be decoded."""

    topic: str


class ProtocolVersion(msgspec.Struct):
    """The protocol version of a request."""

    v: int


def decode_json(data: bytes | msgspec.Raw, kind: type[Decoded]) -> Decoded:
    """Decodes JSON as the type `kind`. Raises MalformedMessageError."""
    try:
        return msgspec.json.decode(data, type=kind)
    except (msgspec.DecodeError, RecursionError, UnicodeDecodeError) as error:
        problem = str(error)[:MAX_PROBLEM_CHARACTERS]
        raise MalformedMessageError(kind.__name__, problem) from None


def decode_request(body: bytes, kind: type[Decoded], max_bytes: int = MAX_REQUEST_BYTES) -> Decoded:
    """Decodes the body of a request without checking the values of its fields.

    Raises:
        MalformedMessageError: The body is too long, has another protocol version or can't be decoded.
    """
    if len(body) > max_bytes:
        raise MalformedMessageError("overlong")
    version = decode_json(body, ProtocolVersion).v
    if version != MESSAGE_VERSION:
        raise MalformedMessageError("version", str(version))
    return decode_json(body, kind)


def check_version(version: Version, wall: float) -> None:
    """Refuses a version that is too far ahead of the local clock.

    If such a version were accepted, no genuine version would ever be newer.

    Args:
        version: The version.
        wall: The time of the local wall clock, in seconds.

    Raises:
        MalformedMessageError: The epoch or the revision is out of range.
    """
    epoch, revision = version
    now_ms = wall * 1000.0
    if not 0 <= epoch <= now_ms + MAX_EPOCH_LEAD_MS:
        raise MalformedMessageError("epoch", "from far ahead")
    max_revision = REVISION_ALLOWANCE + max(0.0, now_ms - epoch) * MAX_REVISIONS_PER_MS
    if not 0 <= revision < MAX_REVISION or (epoch and revision > max_revision):
        raise MalformedMessageError("revision", "from far ahead")


def check_name(name: str, field: str) -> None:
    """Refuses a name that is empty, too long or not printable. Raises MalformedMessageError."""
    if not 0 < len(name) <= MAX_NAME_CHARACTERS or not name.isprintable():
        raise MalformedMessageError(field, "no name")


def check_topic(topic: str) -> None:
    """Refuses a topic that is not a known kind and a service. Raises MalformedMessageError."""
    kind, _, service = topic.partition("/")
    if kind not in TOPIC_KINDS:
        raise MalformedMessageError("topic", "no such kind")
    check_name(service, "topic")


def check_versions(versions: dict[str, Version], wall: float) -> None:
    """Checks versions by topic. Raises MalformedMessageError."""
    if len(versions) > MAX_TOPICS:
        raise MalformedMessageError("topics", "too many")
    for topic, version in versions.items():
        check_topic(topic)
        check_version(version, wall)


def check_rejections(rejections: dict[str, Rejection], wall: float) -> dict[str, Rejection]:
    """Checks rejections by topic and returns them with their reasons truncated.

    Raises MalformedMessageError.
    """
    check_versions({topic: rejection.version for topic, rejection in rejections.items()}, wall)
    return {
        topic: rejection._replace(reason=rejection.reason[:MAX_REASON_CHARACTERS])
        for topic, rejection in rejections.items()
    }


def parse_subscribe_request(body: bytes, wall: float) -> SubscribeRequest:
    """Decodes and checks a subscriber's request. Raises MalformedMessageError."""
    message = decode_request(body, SubscribeRequest)
    check_name(message.subscriber, "follower")
    if message.zone or not message.extends:
        check_name(message.zone, "zone")
    check_versions(message.held, wall)
    check_versions(message.in_force, wall)
    check_version(message.as_of, wall)
    message.rejections = check_rejections(message.rejections, wall)
    if len(message.unsubscribe) > MAX_TOPICS:
        raise MalformedMessageError("topics", "too many")
    return message


def parse_acknowledgement(body: bytes, wall: float) -> AcknowledgementReport:
    """Decodes and checks a subscriber's report. Raises MalformedMessageError."""
    message = decode_request(body, AcknowledgementReport)
    check_name(message.subscriber, "follower")
    check_versions(message.in_force, wall)
    message.rejections = check_rejections(message.rejections, wall)
    return message


def parse_relay_summary(body: bytes, wall: float) -> RelaySummaryReport:
    """Decodes and checks a relay's report. Raises MalformedMessageError."""
    message = decode_request(body, RelaySummaryReport)
    check_name(message.relay, "relay")
    if len(message.zones) > MAX_ZONES:
        raise MalformedMessageError("zones", "too many")
    for zone, summary in message.zones.items():
        check_name(zone, "zone")
        check_summary(summary, wall)
    return message


def check_summary(summary: InForceSummary, wall: float) -> None:
    """Refuses negative counts, overlong lists and versions out of range. Raises MalformedMessageError."""
    counts = (
        summary.subscribers,
        summary.starting,
        summary.behind,
        summary.unusable,
        summary.disconnected,
    )
    lists: tuple[tuple[Any, ...], ...] = (
        summary.behind_names,
        summary.unusable_versions,
        summary.disconnected_names,
    )
    if min(counts) < 0 or max(map(len, lists)) > MAX_LISTED_SUBSCRIBERS:
        raise MalformedMessageError("zones", "no such sum")
    for version in (summary.lowest, summary.lowest_used):
        if version is not None:
            check_version(version, wall)


def parse_changes(body: bytes) -> ChangesRequest:
    """Decodes and checks a request that makes changes at the origin. Raises MalformedMessageError."""
    message = decode_request(body, ChangesRequest, MAX_CHANGES_REQUEST_BYTES)
    if len(message.changes) > MAX_CHANGES:
        raise MalformedMessageError("changes", "too many")
    if len(message.complete_topics) > MAX_TOPICS:
        raise MalformedMessageError("topics", "too many")
    for topic in message.complete_topics:
        check_topic(topic)
    for change in message.changes:
        check_topic(change.topic)
        if not 0 < len(change.key) <= MAX_KEY_CHARACTERS:
            raise MalformedMessageError("key", "no name")
    return message


def parse_line(line: bytes, wall: float) -> UpdateLine | HeartbeatLine:
    """Decodes and checks a line of a stream. Raises MalformedMessageError."""
    if len(line) > MAX_LINE_BYTES:
        raise MalformedMessageError("overlong")
    header = decode_json(line, LineHeader)
    if header.v != MESSAGE_VERSION:
        raise MalformedMessageError("version", str(header.v))
    check_version(header.as_of, wall)
    complete = header.as_of if header.complete is None else header.complete
    if not NO_VERSION <= complete <= header.as_of:
        raise MalformedMessageError("complete", "beyond as_of")
    if header.kind == HEARTBEAT_LINE_KIND:
        # The negated comparison refuses NaN as well.
        if not header.origin_silent_seconds >= 0.0:
            raise MalformedMessageError("stale", "no time")
        return HeartbeatLine(header.as_of, complete, header.more, header.origin_silent_seconds)
    if header.kind != UPDATE_LINE_KIND:
        raise MalformedMessageError("kind", "no such")
    return parse_updates(header, complete, wall)


def parse_updates(header: LineHeader, complete: Version, wall: float) -> UpdateLine:
    """Decodes the updates of a line. Malformed ones are left out and named in the result."""
    updates: list[TopicUpdate] = []
    malformed: list[MalformedTopic] = []
    for raw in header.topics:
        try:
            updates.append(parse_topic_update(raw, header.as_of, wall))
        except MalformedMessageError as error:
            malformed.append(MalformedTopic(topic_name_of(raw), str(error)))
    return UpdateLine(header.as_of, complete, header.more, updates, malformed)


def topic_name_of(raw: msgspec.Raw) -> str:
    """Returns the name of a topic that could not be decoded, or an empty string if it has none."""
    try:
        return decode_json(raw, TopicNameOnly).topic
    except MalformedMessageError:
        return ""


def parse_topic_update(raw: msgspec.Raw, as_of: Version, wall: float) -> TopicUpdate:
    """Decodes and checks one topic's update.

    Args:
        raw: The update as JSON.
        as_of: The newest version that the sender knows of. The update's version must not be newer.
        wall: The time of the local wall clock, in seconds.

    Raises:
        MalformedMessageError: The update can't be decoded or is invalid.
    """
    update = decode_json(raw, TopicUpdate)
    check_topic(update.topic)
    check_version(update.version, wall)
    if update.version > as_of:
        raise MalformedMessageError("version", "beyond the sender's own")
    check_base(update)
    if not all(0 < len(key) <= MAX_KEY_CHARACTERS for key in update.entries):
        raise MalformedMessageError("entries", "key")
    if update.revisions_by_key is not None:
        check_history(update, update.revisions_by_key)
    return update


def check_base(update: TopicUpdate) -> None:
    """Refuses a base that the changes can't have been made from. Raises MalformedMessageError."""
    if update.base_epoch:
        base = Version(update.base_epoch, update.base_revision)
        is_earlier = NO_VERSION < base < update.version and base.revision >= 0
        if update.is_snapshot or not is_earlier:
            raise MalformedMessageError("from_epoch", "no such version")
        return
    is_known = 0 <= update.base_revision <= update.version.revision
    if not is_known or (update.is_snapshot and update.base_revision):
        raise MalformedMessageError("from", "no such revision")


def check_history(update: TopicUpdate, revisions_by_key: dict[str, int]) -> None:
    """Refuses a history that does not match the update's entries. Raises MalformedMessageError."""
    revisions = revisions_by_key.values()
    if not update.is_snapshot or revisions_by_key.keys() != update.entries.keys():
        raise MalformedMessageError("changed", "other keys")
    if not 0 <= update.history_floor <= update.version.revision:
        raise MalformedMessageError("floor", "no such revision")
    if revisions and not 0 <= min(revisions) <= max(revisions) <= update.version.revision:
        raise MalformedMessageError("changed", "no such revision")
