"""A topic's update as it is encoded on the wire, and a change of one entry.

No I/O, clock or randomness.
"""

from __future__ import annotations

from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec

from gullmount.distribution.versions import Version

JSON_NULL = b"null"


class EntryChange(NamedTuple):
    """A new value for one key of a topic. A `value` of None removes the key."""

    topic: str
    key: str
    value: Any


class TopicUpdate(msgspec.Struct, omit_defaults=True):
    """A topic's update on the wire: a snapshot, or changes to a base version.

    A snapshot replaces the held topic. Changes apply to a held version of the same epoch whose revision is at
    least `base_revision`. With `base_epoch` they apply only to exactly the version
    (`base_epoch`, `base_revision`). A snapshot for a relay also carries the topic's history.

    Attributes:
        topic: The name of the topic.
        version: The version of the topic after the update.
        entries: JSON values by key; `null` for a removed key.
        is_snapshot: Whether `entries` holds all entries of the topic.
        base_revision: The revision that the changes were made from; 0 for a snapshot.
        base_epoch: The epoch of the base version if the changes apply to exactly that version, else 0.
        revisions_by_key: The revision of the last change of each key, in a snapshot with history only.
        history_floor: The revision since which every removed key is among the entries, in a snapshot with
            history only.
    """

    topic: str
    version: Version
    entries: dict[str, msgspec.Raw]
    is_snapshot: bool = msgspec.field(name="whole", default=False)
    base_revision: int = msgspec.field(name="from", default=0)
    base_epoch: int = msgspec.field(name="from_epoch", default=0)
    revisions_by_key: dict[str, int] | None = msgspec.field(name="changed", default=None)
    history_floor: int = msgspec.field(name="floor", default=0)


def raw_entries(values: Mapping[str, bytes | None]) -> dict[str, msgspec.Raw]:
    """Wraps JSON values as the entries of an update; None becomes `null`."""
    return {key: msgspec.Raw(JSON_NULL if value is None else value) for key, value in values.items()}
