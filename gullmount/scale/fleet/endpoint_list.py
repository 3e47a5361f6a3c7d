"""The emulated discovery's list of servers: complete, or what changed since a revision. No I/O."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable
from typing import Any

import msgspec

from gullmount.scale.fleet.drawn_elements import ServerState

MAX_CACHED_BODIES = 256  # of one revision, by the revision asked after


class EndpointList:
    """The list and its revision, which counts from 1."""

    def __init__(self, entries: Iterable[dict[str, Any]]) -> None:
        self.revision = 1
        self.entries: OrderedDict[str, bytes] = OrderedDict(
            (entry["id"], msgspec.json.encode(entry)) for entry in entries
        )
        self.changed_at: OrderedDict[str, int] = OrderedDict()  # revision by server, newest last
        self.removed: dict[str, bytes] = {}
        self.bodies: dict[int, bytes] = {}

    def change(self, entries: Iterable[dict[str, Any]]) -> int:
        """Take changed entries in one revision, and return it."""
        self.revision += 1
        for entry in entries:
            name, data = entry["id"], msgspec.json.encode(entry)
            if entry["phase"] == ServerState.REMOVED:
                self.entries.pop(name, None)
                self.removed[name] = data
            else:
                self.removed.pop(name, None)
                self.entries[name] = data
            self.changed_at.pop(name, None)
            self.changed_at[name] = self.revision
        self.bodies.clear()
        return self.revision

    def body(self, after: int) -> bytes:
        """The response to whoever holds revision `after`.

        The complete list for a caller that holds none, or one from ahead of this list's; otherwise the
        entries that changed since, oldest first.
        """
        cached = self.bodies.get(after)
        if cached is not None:
            return cached
        complete = not 0 < after <= self.revision
        entries = list(self.entries.values()) if complete else self.changed_since(after)
        head = f'{{"revision":{self.revision},"complete":{str(complete).lower()},"members":['
        body = head.encode() + b",".join(entries) + b"]}"
        if len(self.bodies) >= MAX_CACHED_BODIES:
            self.bodies.clear()
        self.bodies[after] = body
        return body

    def changed_since(self, revision: int) -> list[bytes]:
        """Entries that changed after the revision, oldest change first."""
        names = []
        for name in reversed(self.changed_at):
            if self.changed_at[name] <= revision:
                break
            names.append(name)
        return [self.entries.get(name) or self.removed[name] for name in reversed(names)]
