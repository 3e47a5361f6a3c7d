"""Caches endpoints and release statuses across restarts, and defines their format on disk."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from gullmount.decisions.model import EndpointState
from gullmount.proxy.discovery_client import EndpointMessage
from gullmount.proxy.release_controller_client import ReleaseStatus
from gullmount.rpc import MESSAGE_VERSION, check_fields, decode_message

# The newest builds are kept: two candidates and the build released last.
MAX_CACHED_RELEASES = 3


class CachedEndpoint(EndpointMessage, kw_only=True):
    """An endpoint on disk; `since` is its start in wall-clock seconds, None if unknown."""

    since: float | None = None


class StateFile(msgspec.Struct):
    """Content of the state file; the fields are written in this order."""

    version: int = msgspec.field(name="v")
    endpoints: list[CachedEndpoint] = msgspec.field(name="boxes")
    releases: list[ReleaseStatus] = msgspec.field(name="news")


class SavedState(msgspec.Struct):
    """State read from disk with its entries not yet validated.

    Each entry is validated by itself, so that an invalid one does not invalidate the others.
    """

    endpoints: list[Any]
    releases: list[Any]


def to_cached_endpoint(message: EndpointMessage, since: float | None) -> CachedEndpoint:
    """Return the endpoint with its start in wall-clock seconds, None if unknown."""
    return CachedEndpoint(
        server_id=message.server_id,
        zone=message.zone,
        cell=message.cell,
        build=message.build,
        state=message.state,
        capacity_hint=message.capacity_hint,
        start=message.start,
        age=message.age,
        since=since,
    )


def decode_state(data: bytes) -> SavedState:
    """Decode a state file without validating its entries.

    Raises:
        InvalidMessageError: The data is not a state file.
    """
    fields = check_fields(decode_message(data), {"boxes": list})
    releases = fields.get("news") or []
    if not isinstance(releases, list):
        # Earlier versions, which allowed one candidate at a time, saved a single status.
        releases = [releases]
    return SavedState(fields["boxes"], releases)


class CachedState:
    """The endpoints by server id and the newest release statuses by build."""

    def __init__(self) -> None:
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.releases: dict[int, ReleaseStatus] = {}

    def update_endpoints(
        self, messages: Sequence[EndpointMessage], is_snapshot: bool, wall_time: float
    ) -> None:
        """Apply endpoints that discovery has just sent.

        Args:
            messages: The endpoints.
            is_snapshot: Whether they replace all cached endpoints.
            wall_time: Current wall-clock time in seconds.
        """
        if is_snapshot:
            self.endpoints = {}
        for message in messages:
            if message.state is EndpointState.REMOVED:
                self.endpoints.pop(message.server_id, None)
            else:
                since = None if message.age is None else wall_time - message.age
                self.endpoints[message.server_id] = to_cached_endpoint(message, since)

    def update_release(self, status: ReleaseStatus) -> bool:
        """Cache a release status; return whether it differs from the cached one."""
        if status == self.releases.get(status.build):
            return False
        self.releases[status.build] = status
        newest_builds = sorted(self.releases)[-MAX_CACHED_RELEASES:]
        self.releases = {build: self.releases[build] for build in newest_builds}
        return True

    def encode(self) -> bytes:
        """Return the content of the state file."""
        endpoints, releases = list(self.endpoints.values()), list(self.releases.values())
        return msgspec.json.encode(StateFile(MESSAGE_VERSION, endpoints, releases))
