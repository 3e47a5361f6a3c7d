"""Stream wrappers that count bytes, and the kernel's limits on a subscriber's stream."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import SocketAttribute

from gullmount.distribution.update_receiver import SubscriberCounters
from gullmount.net import (
    RECEIVE_BYTES,
    DatagramSocket,
    ShortageCallback,
    Stream,
    StreamNet,
    WrappedStream,
)

# Size of the kernel's send buffer for a subscriber. It is small, as data that waits there becomes outdated.
SEND_BUFFER_BYTES = 65536
# Time that sent bytes may stay unacknowledged. Without it, a lost connection is detected after 15 minutes.
UNACKNOWLEDGED_TIMEOUT_MS = 15_000


def limit_kernel_buffers(stream: Stream) -> None:
    """Limit the kernel's send buffer of this stream, and the time that sent bytes may stay unacknowledged.

    Something is sent every second or two, so that the loss of the peer is detected.
    """
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        # Only Linux has this option.
        if hasattr(socket, "TCP_USER_TIMEOUT"):
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    except (anyio.TypedAttributeLookupError, OSError):
        # The stream is in memory, or closed already.
        pass


class CountedStream(WrappedStream):
    """A stream that counts the bytes it sends and receives."""

    def __init__(self, inner: Stream, counters: SubscriberCounters) -> None:
        """Wrap `inner` and count in `counters`."""
        super().__init__(inner)
        self.counters = counters

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """Receive from the inner stream and count the bytes."""
        data = await self.inner.receive(max_bytes)
        self.counters.bytes_in += len(data)
        return data

    async def send(self, item: bytes) -> None:
        """Count the bytes and send them on the inner stream."""
        self.counters.bytes_out += len(item)
        await self.inner.send(item)


class CountedNetwork:
    """A network that counts the bytes of outgoing connections. It lives as long as its subscriber."""

    def __init__(self, network: StreamNet, counters: SubscriberCounters) -> None:
        """Wrap `network` and count the bytes of its outgoing connections in `counters`."""
        self.network = network
        self.counters = counters

    async def connect(self, address: str) -> Stream:
        """Connect to `address` and count the bytes of the connection."""
        return CountedStream(await self.network.connect(address), self.counters)

    async def serve(
        self,
        address: str,
        handler: Callable[[Stream], Awaitable[Any]],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Serve on the wrapped network, without counting."""
        await self.network.serve(address, handler, started, on_shortage)

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open a datagram socket of the wrapped network, without counting."""
        return await self.network.datagrams(address)
