"""A process that emulates what tells proxies of releases: one build, released everywhere, and heartbeats.

In the protocol of the platform's control service, or of the release controller where relays deliver.
"""

from __future__ import annotations

import asyncio
import json
from typing import ClassVar, cast

import anyio

from gullmount.scale.fleet.child_process import Commands, run_process, write_line
from gullmount.scale.fleet.config import Delivery
from gullmount.scale.fleet.drawn_elements import BUILD
from gullmount.scale.fleet.process_messages import Command, ReleaseStatusFile, Reply
from gullmount.scale.fleet.proxy_settings import RELEASE_STATUS

LISTEN_BACKLOG = 1024  # connections


def http_chunk(data: bytes) -> bytes:
    """Encode a chunk of an HTTP body."""
    return b"%x\r\n%s\r\n" % (len(data), data)


class StatusConnection(asyncio.Protocol):
    """A connection of a proxy: the status once it has sent something, then heartbeats."""

    HEARTBEAT: ClassVar[bytes]
    HEARTBEAT_INTERVAL_SECONDS: ClassVar[float]

    def __init__(self, connected: set[asyncio.Transport]) -> None:
        self.connected = connected

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Keep the transport; nothing is sent before the proxy has."""
        self.transport = cast(asyncio.Transport, transport)

    def data_received(self, _data: bytes) -> None:
        """Send the status, whatever was asked."""
        self.transport.write(self.status())
        self.connected.add(self.transport)

    def connection_lost(self, _exc: Exception | None) -> None:
        """Send it no more heartbeats."""
        self.connected.discard(self.transport)

    def status(self) -> bytes:
        """The one build's status, as the protocol has it."""
        raise NotImplementedError


class ControlServiceConnection(StatusConnection):
    """A connection to the platform's control service."""

    HEARTBEAT = b"*\r\n"
    HEARTBEAT_INTERVAL_SECONDS = 1.0

    def status(self) -> bytes:
        """An accepted call and a line of progress."""
        progress = "* progress {build} {stage} {phase} {cap} {age_ms}\r\n".format(**RELEASE_STATUS)
        return b"OK\r\n" + progress.encode()


class ReleaseControllerConnection(StatusConnection):
    """A connection to the release controller: a watch of release status."""

    HEARTBEAT = http_chunk(b'{"v":1,"kind":"alive"}\n')
    HEARTBEAT_INTERVAL_SECONDS = 5.0

    def status(self) -> bytes:
        """The head of a response that doesn't end, and its first line."""
        news = {"build": BUILD, "stage": 2, "phase": "released", "cap": 1.0}
        line = json.dumps({"v": 1, "news": news}).encode() + b"\n"
        return b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + http_chunk(line)


CONNECTIONS: dict[Delivery, type[StatusConnection]] = {
    Delivery.COMPLETE_LISTS: ControlServiceConnection,
    Delivery.RELAYS: ReleaseControllerConnection,
}


async def program(file: ReleaseStatusFile, commands: Commands) -> None:
    """Serve the status until commanded to quit."""
    connected: set[asyncio.Transport] = set()
    connection = CONNECTIONS[file.delivery]
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: connection(connected), file.host, file.port, backlog=LISTEN_BACKLOG
    )
    write_line({Reply.READY: True})

    async def send_heartbeats() -> None:
        while True:
            await anyio.sleep(connection.HEARTBEAT_INTERVAL_SECONDS)
            for transport in list(connected):
                transport.write(connection.HEARTBEAT)

    async with anyio.create_task_group() as tasks:
        tasks.start_soon(send_heartbeats)
        async for command in commands:
            if command == Command.QUIT:
                break
        server.close()
        tasks.cancel_scope.cancel()


if __name__ == "__main__":
    run_process(ReleaseStatusFile, program)
