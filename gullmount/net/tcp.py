"""The network of the machine: TCP and UDP by anyio."""

from __future__ import annotations

import asyncio
import select
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio
from anyio.abc import UDPSocket

from gullmount.net.types import Conduit, Datagrams, Hearer, Stream, split

BACKLOG = 1024  # connections that wait to be accepted: a burst of new clients must not see a refusal


class UdpDatagrams:
    def __init__(self, sock: UDPSocket) -> None:
        self.sending = anyio.Lock()
        self.sock = sock

    async def send(self, data: bytes, address: str) -> None:
        async with self.sending:  # the socket bears one sender at a time
            await self.sock.sendto(data, *split(address))

    async def receive(self) -> tuple[bytes, str]:
        data, (host, port) = await self.sock.receive()
        return data, f"{host}:{port}"

    async def aclose(self) -> None:
        await self.sock.aclose()


class TcpConduit(asyncio.Protocol):
    """One connection by asyncio's own callbacks: a task and its locks for each would cost more than a req."""

    transport: asyncio.Transport

    def __init__(
        self, hearer: Hearer | None, greet: Callable[[Conduit], Hearer | None] | None = None
    ) -> None:
        self.hearer = hearer
        self.greet = greet
        self.over = False
        self.heard_end = False
        self.never_left = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        self.transport = cast(asyncio.Transport, transport)  # by duty: uvloop's is no subclass
        if self.greet is not None:
            self.hearer = self.greet(self)
            if self.hearer is None:
                self.transport.abort()

    def data_received(self, data: bytes) -> None:
        if self.hearer is not None and not self.over:
            self.hearer.heard(data)

    def eof_received(self) -> bool:
        self.heard_end = True
        return False  # half a connection is of no use to either side: it is closed

    def connection_lost(self, exc: Exception | None) -> None:
        """Guards against a reset that reads as an end: half an answer would pass for a whole one."""
        self.never_left = self.transport.get_write_buffer_size()
        self.over = True
        hearer, self.hearer = self.hearer, None
        if hearer is not None:
            hearer.ended(self.heard_end and exc is None)

    @property
    def held(self) -> int:
        return self.never_left if self.over else self.transport.get_write_buffer_size()

    @property
    def quiet(self) -> bool:
        if self.over or self.heard_end or self.transport.is_closing():
            return False
        return not readable(self.transport.get_extra_info("socket").fileno())

    def write(self, data: bytes) -> None:
        if not self.over:
            self.transport.write(data)

    def pause(self) -> None:
        if not self.over and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume(self) -> None:
        if not self.over and not self.transport.is_closing():
            self.transport.resume_reading()

    def finish(self) -> None:
        if not self.over and not self.transport.is_closing():
            self.resume()  # else its end would not be heard either
            self.transport.write_eof()

    def close(self) -> None:
        self.transport.close()

    def abort(self) -> None:
        self.transport.abort()


def readable(descriptor: int) -> bool:
    """Whether bytes, an end or a connection wait there. Unlike `select`, bears descriptors of any number."""
    asked = select.poll()
    asked.register(descriptor, select.POLLIN)
    return bool(asked.poll(0))


async def empty(server: asyncio.Server) -> None:
    """Let in what the machine has accepted. Guards against clients that are reset as the listener closes."""
    for _ in range(BACKLOG):
        if not any(readable(sock.fileno()) for sock in server.sockets):
            return
        await anyio.lowlevel.checkpoint()


class TcpNet:
    """`local_host` is the address that connections come from, where several parties share a machine."""

    def __init__(self, local_host: str | None = None) -> None:
        self.local_host = local_host

    async def connect(self, address: str) -> Stream:
        host, port = split(address)
        return await anyio.connect_tcp(host, port, local_host=self.local_host)

    async def serve(
        self, address: str, handler: Callable[[Stream], Awaitable[Any]], started: anyio.Event | None = None
    ) -> None:
        host, port = split(address)
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=BACKLOG, reuse_port=False
        )
        async with listener:
            if started is not None:
                started.set()
            await listener.serve(handler)

    async def dial(self, address: str, hearer: Hearer) -> Conduit:
        host, port = split(address)
        local = (self.local_host, 0) if self.local_host else None
        loop = asyncio.get_running_loop()
        _, conduit = await loop.create_connection(lambda: TcpConduit(hearer), host, port, local_addr=local)
        return conduit

    async def welcome(
        self,
        address: str,
        greet: Callable[[Conduit], Hearer | None],
        started: anyio.Event | None = None,
    ) -> None:
        host, port = split(address)
        loop = asyncio.get_running_loop()
        server = await loop.create_server(lambda: TcpConduit(None, greet), host, port, backlog=BACKLOG)
        if started is not None:
            started.set()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                await empty(server)
            server.close()

    async def datagrams(self, address: str) -> Datagrams:
        host, port = split(address)
        return UdpDatagrams(await anyio.create_udp_socket(local_host=host, local_port=port))
