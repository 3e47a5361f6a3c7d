"""Short digests by which contents are compared that are too large to keep. No I/O."""

from __future__ import annotations

import hashlib
import json
from collections.abc import Iterable, Sequence
from typing import Any

from gullmount.scale.fleet.drawn_elements import DrawnChange, ServerRow

DIGEST_BYTES = 8


def digest(value: Any) -> str:
    """Digest of a value as JSON, with its keys in any order."""
    text = json.dumps(value, sort_keys=True, separators=(",", ":"))
    return hashlib.blake2b(text.encode(), digest_size=DIGEST_BYTES).hexdigest()


def digest_servers(rows: Iterable[ServerRow]) -> str:
    """Digest of a list of servers, in any order."""
    return digest(sorted(map(list, rows)))


def digest_changes(changes: Sequence[DrawnChange]) -> str:
    """Digest of a schedule of changes, in its order."""
    return digest(
        [
            [
                change.at,
                change.kind,
                change.service,
                change.key,
                change.configuration_number,
                change.server and change.server.state,
            ]
            for change in changes
        ]
    )
