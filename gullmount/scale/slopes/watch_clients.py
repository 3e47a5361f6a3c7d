"""Many watches on one discovery service in a process of its own. Loopback only."""

from __future__ import annotations

import asyncio
import multiprocessing
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from typing import cast

from gullmount.scale.slopes.discovery_services import ServiceCommand, ServiceKind, ServiceUsage, service_main
from gullmount.scale.slopes.loopback import HOST, free_port

MAX_CONNECTING = 64  # at once: a burst beyond the backlog would be refused
NOTIFIED_TIMEOUT_SECONDS = 60.0  # until all watches have been notified
CONNECT_INTERVAL_SECONDS = 0.05  # between looks whether the service accepts connections
END_OF_HEAD = b"\r\n\r\n"


class Watch(asyncio.Protocol):
    """One watch on a bare socket: counts bytes and messages, and calls again where the service is polled.

    Attributes:
        revision: of the list that was received last.
    """

    transport: asyncio.Transport

    def __init__(self, crowd: WatchCrowd) -> None:
        self.crowd = crowd
        self.revision = 0
        self.received = b""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Send the first call."""
        self.transport = cast(asyncio.Transport, transport)
        self._call()

    def _call(self) -> None:
        if self.crowd.kind is ServiceKind.STREAMING:
            target = "/v1/roster?after=0&umpire=1"
        else:
            target = f"/v1/servers?after={self.revision}&wait_ms=3000"
        self.transport.write(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())

    def data_received(self, data: bytes) -> None:
        """Count what came."""
        self.crowd.received_bytes += len(data)
        if self.crowd.kind is ServiceKind.STREAMING:
            self.crowd.notified(data.count(b'"kind":"full"') + data.count(b'"kind":"changes"'))
        else:
            self._page_received(data)

    def _page_received(self, data: bytes) -> None:
        self.received += data
        head, complete_head, body = self.received.partition(END_OF_HEAD)
        if not complete_head or len(body) < _content_length(head):
            return
        self.received = b""
        revision = int(body.partition(b'"revision":')[2].partition(b",")[0])
        if revision > self.revision:
            self.crowd.notified(1)
        self.revision = revision
        self._call()


def _content_length(head: bytes) -> int:
    return int(head.lower().split(b"content-length: ")[1].split(b"\r\n")[0])


class WatchCrowd:
    """All watches on one service, and the service's process.

    Attributes:
        received_bytes: by all watches, since the beginning.
        notified_count: messages with a change, to all watches, since the beginning.
    """

    def __init__(self, kind: ServiceKind, servers: int) -> None:
        self.kind = kind
        self.servers = servers
        self.watches: list[Watch] = []
        self.received_bytes = 0
        self.notified_count = 0
        self.expected_count = 0
        self.all_notified = asyncio.Event()
        self.port = free_port()

    def notified(self, count: int) -> None:
        """Take note of messages that a watch received."""
        self.notified_count += count
        if self.notified_count >= self.expected_count:
            self.all_notified.set()

    def expect(self, count: int) -> None:
        """Count so many messages from now on until `wait_until_notified` returns."""
        self.expected_count = self.notified_count + count
        self.all_notified.clear()

    async def wait_until_notified(self) -> None:
        """Wait for the expected messages.

        Raises:
            TimeoutError: if they do not come.
        """
        async with asyncio.timeout(NOTIFIED_TIMEOUT_SECONDS):
            await self.all_notified.wait()

    def command(self, command: ServiceCommand) -> ServiceUsage:
        """Tell the service's process something, and return what it has used."""
        self.pipe.send(command)
        usage: ServiceUsage = self.pipe.recv()
        return usage

    @asynccontextmanager
    async def serving(self) -> AsyncIterator[WatchCrowd]:
        """Run the service's process; at the end all watches are closed."""
        context = multiprocessing.get_context("spawn")
        self.pipe, service_end = context.Pipe()
        arguments = self.kind, self.servers, f"{HOST}:{self.port}", service_end
        process = context.Process(target=service_main, args=arguments, daemon=True)
        process.start()
        service_end.close()
        try:
            await self._wait_until_accepting()
            yield self
        finally:
            for watch in self.watches:
                watch.transport.abort()
            process.kill()
            await asyncio.to_thread(process.join)

    async def _wait_until_accepting(self) -> None:
        async with asyncio.timeout(NOTIFIED_TIMEOUT_SECONDS):
            while True:
                try:
                    _, writer = await asyncio.open_connection(HOST, self.port)
                except OSError:
                    await asyncio.sleep(CONNECT_INTERVAL_SECONDS)
                else:
                    writer.close()
                    return

    async def open_watches(self, count: int) -> None:
        """Open so many watches, and wait until each has received the complete list."""
        loop, connecting = asyncio.get_running_loop(), asyncio.Semaphore(MAX_CONNECTING)

        async def open_watch() -> None:
            async with connecting:
                _, watch = await loop.create_connection(lambda: Watch(self), HOST, self.port)
                self.watches.append(watch)

        self.expect(count)
        await asyncio.gather(*(open_watch() for _ in range(count)))
        await self.wait_until_notified()
