"""Encodes and decodes the topics in force that a proxy stores for its next process.

The module performs no I/O.
"""

from __future__ import annotations

from typing import Any

import msgspec

from gullmount.distribution.versions import Version
from gullmount.rpc.messages import MESSAGE_VERSION, check_fields, convert, decode_message


class StoredTopic(msgspec.Struct):
    """The stored version and entries of a topic."""

    version: Version
    entries: dict[str, Any]


class StoredTopics(msgspec.Struct):
    """The state file, with the topics that were in force."""

    v: int
    topics: dict[str, StoredTopic]


def encode_topics(topics: dict[str, StoredTopic]) -> bytes:
    """Encode the content of the state file."""
    return msgspec.json.encode(StoredTopics(MESSAGE_VERSION, topics))


def decode_topics(data: bytes) -> dict[str, StoredTopic]:
    """Decode the content of the state file. Raises InvalidMessageError if it is malformed."""
    return convert(check_fields(decode_message(data), {"topics": dict})["topics"], dict[str, StoredTopic])
