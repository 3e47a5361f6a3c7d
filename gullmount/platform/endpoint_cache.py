"""Holds the endpoint list in force and applies pages of discovery to it.

A page is applied as a whole or not at all. Connections to servers that changed their process, drain or were
removed are closed, and the router is updated.
"""

from __future__ import annotations

import msgspec

from gullmount.decisions.endpoint_freshness import EndpointFreshness, EndpointListState
from gullmount.decisions.model import Endpoint, EndpointState, EndpointUpdateKind
from gullmount.platform.endpoint_codec import EndpointEntry, EndpointPage, decode_endpoint
from gullmount.platform.log_events import LogEvent
from gullmount.platform.server_start_times import ServerStartTimes
from gullmount.proxy.runtime import BufferedRuntime

# Discovery sends the complete list to a call with this revision.
NO_REVISION = 0


class ServerProcess(msgspec.Struct, frozen=True, gc=False):
    """The process that serves under a server's id; a change of any field means another process."""

    address: str
    build: int
    started_at_ms: float | None


class EndpointCache:
    """The endpoint list of one instance.

    Args:
        runtime: The router, the connections to servers, clock and log of the instance.
        addresses: The address of each server by id, shared with the protocol adapter.
        freshness: The age of the list.
        start_times: Converts servers' start times to the monotonic clock.
    """

    def __init__(
        self,
        runtime: BufferedRuntime,
        addresses: dict[str, str],
        freshness: EndpointFreshness,
        start_times: ServerStartTimes,
    ) -> None:
        self.runtime = runtime
        self.addresses = addresses
        self.freshness = freshness
        self.start_times = start_times
        self.revision = NO_REVISION
        self.processes: dict[str, ServerProcess] = {}  # by server id

    def forget_revision(self) -> None:
        """Make the next call request the complete list."""
        self.revision = NO_REVISION

    def apply(self, page: EndpointPage, kind: EndpointUpdateKind) -> None:
        """Apply a page.

        Raises:
            InvalidPlatformMessageError: The page is invalid; no entry of it is applied.
        """
        endpoints = self.decode_endpoints(page, kind)
        for entry, endpoint in zip(page.entries, endpoints, strict=True):
            self.update_process(entry, endpoint)
        if kind is not EndpointUpdateKind.UPDATE:
            self.remove_unlisted({endpoint.server_id for endpoint in endpoints})
        # A lower revision means that discovery restarted its numbering and does not know the revision held
        # here, so the complete list is requested next.
        revision_restarted = kind is EndpointUpdateKind.UPDATE and page.revision < self.revision
        self.revision = NO_REVISION if revision_restarted else page.revision
        self.runtime.router.update_endpoints(kind, endpoints)

    def decode_endpoints(self, page: EndpointPage, kind: EndpointUpdateKind) -> list[Endpoint]:
        """Convert the entries, and convert them again if the newest start time corrects the clock offset."""
        endpoints = [self.decode_entry(entry, kind) for entry in page.entries]
        newest_start_ms = max((entry.started_at_ms or 0 for entry in page.entries), default=0)
        if not self.start_times.correct_clock_offset(newest_start_ms):
            return endpoints
        offset = round(self.start_times.clock_offset, 3)
        self.runtime.log_event(LogEvent.WALL_CLOCK_CORRECTED, offset_seconds=offset)
        return [self.decode_entry(entry, kind) for entry in page.entries]

    def decode_entry(self, entry: EndpointEntry, kind: EndpointUpdateKind) -> Endpoint:
        """Convert one entry.

        Raises:
            InvalidEndpointFieldError: A field of the entry has an invalid value.
        """
        previous = self.processes.get(entry.server_id)
        is_fresh = self.freshness.state(self.runtime.now()) is EndpointListState.FRESH
        restarted = previous is None or previous.started_at_ms != entry.started_at_ms
        newly_listed = kind is EndpointUpdateKind.UPDATE and is_fresh and restarted
        unlisted_at = self.freshness.synced_at if newly_listed else None
        return decode_endpoint(entry, self.start_times.start_time(entry.started_at_ms, unlisted_at))

    def update_process(self, entry: EndpointEntry, endpoint: Endpoint) -> None:
        """Record a server's process, and close its connections if the process changed or is not ready."""
        server_id = endpoint.server_id
        process = ServerProcess(entry.address, endpoint.build, entry.started_at_ms)
        if self.processes.get(server_id, process) != process or endpoint.state is not EndpointState.READY:
            self.runtime.upstream.remove_server(server_id)
        if endpoint.state is EndpointState.REMOVED:
            self.processes.pop(server_id, None)
            self.addresses.pop(server_id, None)
        else:
            self.processes[server_id] = process
            self.addresses[server_id] = entry.address

    def remove_unlisted(self, listed_servers: set[str]) -> None:
        """Remove all servers that are not on a complete list, and close their connections."""
        for server_id in [server_id for server_id in self.processes if server_id not in listed_servers]:
            self.runtime.upstream.remove_server(server_id)
            del self.processes[server_id], self.addresses[server_id]
