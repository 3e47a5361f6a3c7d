"""Defines the messages of distribution as plain data; docs/protocols.md specifies them.

Where a field has another name on the wire, it is mapped here. `encoding` writes the messages, `decoding`
reads them and checks their limits. No I/O, clock or randomness.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from gullmount.distribution.in_force_summary import InForceSummary
from gullmount.distribution.subscription import Rejection
from gullmount.distribution.topic_update import TopicUpdate
from gullmount.distribution.versions import NO_VERSION, Version
from gullmount.rpc.messages import MESSAGE_VERSION

ENDPOINTS_KIND, CONFIGURATION_KIND = "boxes", "config"
TOPIC_KINDS = (ENDPOINTS_KIND, CONFIGURATION_KIND)
UPDATE_LINE_KIND, HEARTBEAT_LINE_KIND = "told", "alive"


@dataclass(frozen=True)
class MalformedTopic:
    """A topic of a line that was left out because it could not be decoded or is invalid.

    Attributes:
        topic: The name of the topic; empty if it could not be read.
        problem: What is wrong with the topic.
    """

    topic: str
    problem: str


@dataclass(frozen=True)
class UpdateLine:
    """A line of a stream that carries updates.

    Attributes:
        as_of: The newest version that the sender knows of.
        complete: The version up to which the sender's own state is complete.
        more: Whether the sender holds updates that it has not sent yet.
        updates: The valid updates of the line.
        malformed: The topics of the line that were left out.
    """

    as_of: Version
    complete: Version
    more: bool
    updates: list[TopicUpdate]
    malformed: list[MalformedTopic]


@dataclass(frozen=True)
class HeartbeatLine:
    """A line of a stream that carries no updates.

    `as_of`, `complete` and `more` have the meaning that they have in `UpdateLine`.

    Attributes:
        origin_silent_seconds: The time since a relay last heard from the origin.
    """

    as_of: Version
    complete: Version
    more: bool
    origin_silent_seconds: float


class SubscribeRequest(msgspec.Struct, omit_defaults=True, tag_field="v", tag=MESSAGE_VERSION):
    """A request that begins a stream or, with `extends`, changes the topics of the current one.

    Attributes:
        subscriber: The name of the subscriber.
        held: The held version of each topic; NO_VERSION requests a snapshot.
        zone: The zone of the subscriber.
        in_force: The version in force of each topic where it differs from the held one.
        rejections: The versions that the subscriber can't use, by topic.
        as_of: The version up to which the held topics were complete.
        with_history: Whether snapshots are to include the history. A relay requests it to derive changes for
            its own subscribers.
        extends: Whether the request changes the current stream.
        unsubscribe: The topics that are not to be sent any more.
    """

    subscriber: str = msgspec.field(name="follower")
    held: dict[str, Version] = msgspec.field(name="have", default_factory=dict)
    zone: str = ""
    in_force: dict[str, Version] = {}
    rejections: dict[str, Rejection] = msgspec.field(name="unable", default_factory=dict)
    as_of: Version = NO_VERSION
    with_history: bool = msgspec.field(name="history", default=False)
    extends: bool = msgspec.field(name="also", default=False)
    unsubscribe: list[str] = msgspec.field(name="less", default_factory=list)


class AcknowledgementReport(msgspec.Struct, omit_defaults=True, tag_field="v", tag=MESSAGE_VERSION):
    """A subscriber's report of the versions that it applied and of those that it can't use."""

    subscriber: str = msgspec.field(name="follower")
    in_force: dict[str, Version] = {}
    rejections: dict[str, Rejection] = msgspec.field(name="unable", default_factory=dict)


class RelaySummaryReport(msgspec.Struct, omit_defaults=True, tag_field="v", tag=MESSAGE_VERSION):
    """A relay's report of what is in force at its subscribers, by zone."""

    relay: str
    zones: dict[str, InForceSummary]


class ChangeItem(msgspec.Struct):
    """One change of a `ChangesRequest`. A `value` of None removes the key."""

    topic: str
    key: str
    value: Any


class ChangesRequest(msgspec.Struct, tag_field="v", tag=MESSAGE_VERSION):
    """A request to the origin to make changes.

    Attributes:
        changes: The changes to make.
        complete_topics: The topics of which `changes` holds all entries.
    """

    changes: list[ChangeItem]
    complete_topics: list[str] = msgspec.field(name="whole", default_factory=list)
