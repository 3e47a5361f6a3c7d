"""Watches the endpoint list of discovery; docs/protocols.md describes the format.

An invalid message ends the watch. The endpoints received so far stay in use.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any, Literal

import anyio
import msgspec

from gullmount.decisions.model import Endpoint, EndpointState, EndpointUpdateKind
from gullmount.net import Net
from gullmount.proxy.backoff import Backoff
from gullmount.proxy.log_events import LogEvent
from gullmount.proxy.runtime import StreamingRuntime
from gullmount.rpc import CallError, InvalidMessageError, convert, decode_message, stream_lines

HEARTBEAT_KIND = "alive"
UPDATE_KINDS = {"full": EndpointUpdateKind.SNAPSHOT, "changes": EndpointUpdateKind.UPDATE}


class EndpointMessage(msgspec.Struct, kw_only=True):
    """One endpoint on the wire.

    Attributes:
        start: Identifies the server's process; it stays the same as long as the process runs.
        age: Seconds since the process started.
    """

    server_id: str = msgspec.field(name="box")
    zone: str
    cell: int
    build: int
    state: EndpointState
    capacity_hint: float = msgspec.field(name="power")
    start: str | None = None
    age: float | None = None


class DiscoveryMessage(msgspec.Struct):
    """All endpoints (`full`), or those that changed since the previous message (`changes`)."""

    kind: Literal["full", "changes"]
    index: int
    endpoints: list[EndpointMessage] = msgspec.field(name="boxes")


class ServerStartTimes:
    """Converts the ages of servers to start times on this instance's clock.

    A start time is computed once and kept as long as the server reports the same `start`.

    Attributes:
        reported_starts: The `start` and the start time of each server, by server id.
    """

    def __init__(self) -> None:
        self.reported_starts: dict[str, tuple[str, float]] = {}

    def started_at(self, message: EndpointMessage, now: float) -> float:
        """Return the server's start time in seconds of the clock, or 0 if it is unknown."""
        started_at = 0.0
        server_id = message.server_id
        if message.start is not None and message.age is not None:
            if self.reported_starts.get(server_id, ("", 0.0))[0] != message.start:
                self.reported_starts[server_id] = message.start, now - max(0.0, message.age)
            started_at = self.reported_starts[server_id][1]
        if message.state is EndpointState.REMOVED:
            self.reported_starts.pop(server_id, None)
        return started_at

    def to_endpoint(self, message: EndpointMessage, now: float) -> Endpoint:
        """Return the endpoint in the form that the router uses."""
        return Endpoint(
            server_id=message.server_id,
            zone=message.zone,
            cell=message.cell,
            build=message.build,
            state=message.state,
            capacity_hint=max(0.0, message.capacity_hint),
            started_at=self.started_at(message, now),
        )

    def decode_endpoint(self, entry: Any, now: float) -> Endpoint:
        """Return the endpoint that a decoded JSON object describes.

        Raises:
            InvalidMessageError: The object is not an endpoint.
        """
        return self.to_endpoint(convert(entry, EndpointMessage), now)


class DiscoveryClient:
    """Watches discovery and passes endpoint updates to the router.

    Args:
        runtime: The runtime of the router.
        net: The network to connect through.
        address: The address of discovery.
        on_update: Called with the endpoints of each message and whether it is a snapshot.
    """

    def __init__(
        self,
        runtime: StreamingRuntime,
        net: Net,
        address: str,
        on_update: Callable[[Sequence[EndpointMessage], bool], None],
    ) -> None:
        self.runtime = runtime
        self.net = net
        self.address = address
        self.start_times = ServerStartTimes()
        self.index = 0
        self.watching = False
        self.on_update = on_update

    async def watch_forever(self) -> None:
        """Watch until cancelled; a watch that ends is reopened after a backoff."""
        backoff = Backoff(self.runtime.random)
        while True:
            if await self.watch():
                backoff.reset()
            await anyio.sleep(backoff.next_delay())

    def request_watch(self) -> None:
        """Start one watch at the router's request, unless one is open.

        When the watch ends, the router receives an update of the kind `REFUSED`.
        """
        if not self.watching:
            self.watching = True
            self.runtime.task_group.start_soon(self.watch_once)

    async def watch_once(self) -> None:
        """Watch until the watch ends, then report that to the router."""
        try:
            await self.watch()
        finally:
            self.watching = False
        self.runtime.router.update_endpoints(EndpointUpdateKind.REFUSED, [])

    async def watch(self) -> bool:
        """Watch until the watch ends; return whether a valid message was received."""
        received_any = False
        errors = self.runtime.handler_errors
        try:
            target = f"/v1/roster?after={self.index}&umpire={self.runtime.instance_number}"
            with errors.contained("discovery message", expected_errors=(CallError, InvalidMessageError)):
                async for line in stream_lines(self.net, self.address, target):
                    self.handle_message(line)
                    received_any = True
        except CallError as error:
            self.runtime.log_event(LogEvent.DISCOVERY_WATCH_ENDED, reason=str(error))
            return received_any
        except InvalidMessageError as error:
            self.runtime.log_event(LogEvent.DISCOVERY_MESSAGE_INVALID, reason=str(error))
        # Index 0 makes the next watch begin with a snapshot.
        self.index = 0
        return received_any

    def handle_message(self, line: bytes) -> None:
        """Apply one message.

        Raises:
            InvalidMessageError: The message is invalid; no part of it is applied.
        """
        fields = decode_message(line)
        if fields.get("kind") == HEARTBEAT_KIND:
            return
        message = convert(fields, DiscoveryMessage)
        kind = UPDATE_KINDS[message.kind]
        now = self.runtime.now()
        endpoints = [
            self.start_times.to_endpoint(endpoint_message, now) for endpoint_message in message.endpoints
        ]
        self.index = message.index
        self.runtime.router.update_endpoints(kind, endpoints)
        for endpoint in endpoints:
            if endpoint.state is EndpointState.REMOVED:
                self.runtime.upstream.remove_server(endpoint.server_id)
        self.on_update(message.endpoints, kind is EndpointUpdateKind.SNAPSHOT)
