"""A network that counts the bytes that cross it, and notes when connections were first answered and ended."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
import msgspec
from anyio.abc import ByteStream

from gullmount.net import DatagramSocket, Net, ShortageCallback, Stream, Transport, TransportProtocol

MAX_CONNECTION_TIMES = 64  # newest connections of which times are kept: a client opens a few in a run

ByteCounts = list[int]  # bytes received, bytes sent


class ConnectionTimes(msgspec.Struct, array_like=True):
    """One connection's times in seconds of the monotonic clock; 0 for what has not happened."""

    address: str
    opened_at: float
    first_byte_at: float = 0.0
    ended_at: float = 0.0


class CountingStream(ByteStream):
    """A stream that counts its bytes in its network."""

    def __init__(self, network: CountingNetwork, stream: Stream, times: ConnectionTimes) -> None:
        self.network, self.stream, self.times = network, stream, times
        self.counts = network.by_address.setdefault(times.address, [0, 0])

    async def receive(self, max_bytes: int = 65536) -> bytes:
        """Receive as the stream does, counted."""
        try:
            data = await self.stream.receive(max_bytes)
        except anyio.get_cancelled_exc_class():
            raise
        except BaseException:
            self.times.ended_at = self.times.ended_at or time.monotonic()
            raise
        self.network.bytes_in += len(data)
        self.counts[0] += len(data)
        self.times.first_byte_at = self.times.first_byte_at or time.monotonic()
        return data

    async def send(self, item: bytes) -> None:
        """Send as the stream does, counted."""
        self.network.bytes_out += len(item)
        self.counts[1] += len(item)
        await self.stream.send(item)

    async def send_eof(self) -> None:
        """End the sending side."""
        await self.stream.send_eof()

    async def aclose(self) -> None:
        """Close the stream."""
        self.times.ended_at = self.times.ended_at or time.monotonic()
        await self.stream.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """Those of the stream."""
        return self.stream.extra_attributes


class CountingNetwork:
    """One client's view of a network; lives as long as the client.

    `by_address` sums up bytes by the address connected to, for all clients that share it.
    """

    def __init__(self, network: Net, by_address: dict[str, ByteCounts]) -> None:
        self.network = network
        self.by_address = by_address
        self.bytes_in = 0
        self.bytes_out = 0
        self.connections: list[ConnectionTimes] = []

    async def connect(self, address: str) -> Stream:
        """Connect; the stream is counted. Raises as the network does."""
        stream = await self.network.connect(address)
        times = ConnectionTimes(address, time.monotonic())
        self.connections = [*self.connections[-MAX_CONNECTION_TIMES + 1 :], times]
        return CountingStream(self, stream, times)

    async def serve(
        self,
        address: str,
        handler: Callable[[Stream], Awaitable[Any]],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Serve, not counted."""
        await self.network.serve(address, handler, started, on_shortage)

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open datagrams, not counted."""
        return await self.network.datagrams(address)

    async def connect_transport(self, address: str, protocol: TransportProtocol) -> Transport:
        """Connect a transport, not counted."""
        return await self.network.connect_transport(address, protocol)

    async def serve_transports(
        self,
        address: str,
        make_protocol: Callable[[Transport], TransportProtocol | None],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Serve transports, not counted."""
        await self.network.serve_transports(address, make_protocol, started, on_shortage)
