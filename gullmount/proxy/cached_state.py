"""What an instance remembers across restarts: its endpoints and the releases' status, as they are on disk."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import msgspec

from gullmount.decisions.model import EndpointState
from gullmount.proxy.discovery_client import EndpointMessage
from gullmount.proxy.release_controller_client import ReleaseStatus
from gullmount.rpc import MESSAGE_VERSION, check_fields, decode_message

MAX_CACHED_RELEASES = 3  # the newest builds: two candidates and the one released last


class CachedEndpoint(EndpointMessage, kw_only=True):
    """An endpoint with the wall-clock time of its start, in seconds; None where that is unknown."""

    since: float | None = None


class StateFile(msgspec.Struct):
    """What is on disk, in the order of the keys."""

    version: int = msgspec.field(name="v")
    endpoints: list[CachedEndpoint] = msgspec.field(name="boxes")
    releases: list[ReleaseStatus] = msgspec.field(name="news")


class SavedState(msgspec.Struct):
    """What was read from disk; each entry is still to be checked, so that one bad entry costs only itself."""

    endpoints: list[Any]
    releases: list[Any]


def to_cached_endpoint(message: EndpointMessage, since: float | None) -> CachedEndpoint:
    """Return the endpoint with the time of its start."""
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
    """Decode a file. Raises NotUnderstood."""
    fields = check_fields(decode_message(data), {"boxes": list})
    releases = fields.get("news") or []
    if not isinstance(releases, list):
        releases = [releases]  # versions with one candidate at a time saved one status
    return SavedState(fields["boxes"], releases)


class CachedState:
    """The endpoints by server, and the newest releases by build."""

    def __init__(self) -> None:
        self.endpoints: dict[str, CachedEndpoint] = {}
        self.releases: dict[int, ReleaseStatus] = {}

    def update_endpoints(
        self, messages: Sequence[EndpointMessage], is_snapshot: bool, wall_time: float
    ) -> None:
        """Remember endpoints that discovery has just sent."""
        if is_snapshot:
            self.endpoints = {}
        for message in messages:
            if message.state is EndpointState.REMOVED:
                self.endpoints.pop(message.server_id, None)
            else:
                since = None if message.age is None else wall_time - message.age
                self.endpoints[message.server_id] = to_cached_endpoint(message, since)

    def update_release(self, status: ReleaseStatus) -> bool:
        """Remember a release's status; return whether it is new."""
        if status == self.releases.get(status.build):
            return False
        self.releases[status.build] = status
        newest_builds = sorted(self.releases)[-MAX_CACHED_RELEASES:]
        self.releases = {build: self.releases[build] for build in newest_builds}
        return True

    def encode(self) -> bytes:
        """Return the file's text."""
        endpoints, releases = list(self.endpoints.values()), list(self.releases.values())
        return msgspec.json.encode(StateFile(MESSAGE_VERSION, endpoints, releases))
