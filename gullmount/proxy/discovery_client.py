"""Watches the endpoint list of discovery; the format stands in docs/protocols.md.

A message that is invalid ends its watch, and the endpoints in hand stay.
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
        start: names the server's process; the same as long as the process lives.
        age: seconds since that start.
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
    """All endpoints, or those that changed since the message before."""

    kind: Literal["full", "changes"]
    index: int
    endpoints: list[EndpointMessage] = msgspec.field(name="boxes")


class ServerStartTimes:
    """When each server started, by this instance's clock.

    The wire has an age; the time it gives is kept while the server names the same start.
    """

    def __init__(self) -> None:
        self.reported_starts: dict[str, tuple[str, float]] = {}

    def started_at(self, message: EndpointMessage, now: float) -> float:
        """Return the server's start in seconds of the clock, 0 where it is unknown."""
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
        """Return the endpoint as the router takes it."""
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
        """Decode one endpoint's JSON object. Raises InvalidMessageError."""
        return self.to_endpoint(convert(entry, EndpointMessage), now)


class DiscoveryClient:
    """Watches discovery; `on_update` is told each change and whether it is a snapshot."""

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
        """Watch until cancelled, opening the watch again when it breaks."""
        backoff = Backoff(self.runtime.random)
        while True:
            if await self.watch():
                backoff.reset()
            await anyio.sleep(backoff.next_delay())

    def request_watch(self) -> None:
        """The router asks for the endpoints: one watch, whose end is reported as refused."""
        if not self.watching:
            self.watching = True
            self.runtime.task_group.start_soon(self.watch_once)

    async def watch_once(self) -> None:
        """Watch until the watch breaks, and tell the router."""
        try:
            await self.watch()
        finally:
            self.watching = False
        self.runtime.router.update_endpoints(EndpointUpdateKind.REFUSED, [])

    async def watch(self) -> bool:
        """Return whether any message was valid before the watch broke."""
        received_any = False
        errors = self.runtime.handler_errors
        try:
            target = f"/v1/roster?after={self.index}&umpire={self.runtime.instance_number}"
            with errors.contained("discovery message", passing=(CallError, InvalidMessageError)):
                async for line in stream_lines(self.net, self.address, target):
                    self.handle_message(line)
                    received_any = True
        except CallError as error:
            self.runtime.log_event(LogEvent.DISCOVERY_WATCH_ENDED, reason=str(error))
            return received_any
        except InvalidMessageError as error:
            self.runtime.log_event(LogEvent.DISCOVERY_MESSAGE_INVALID, reason=str(error))
        self.index = 0  # the next watch begins with a snapshot
        return received_any

    def handle_message(self, line: bytes) -> None:
        """Put one message in force. Raises InvalidMessageError, and then nothing of it is."""
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
