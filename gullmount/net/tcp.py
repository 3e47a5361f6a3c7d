"""The network of the machine: TCP and UDP by anyio."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import UDPSocket

from gullmount.net.types import Datagrams, Stream, split

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

    async def datagrams(self, address: str) -> Datagrams:
        host, port = split(address)
        return UdpDatagrams(await anyio.create_udp_socket(local_host=host, local_port=port))
