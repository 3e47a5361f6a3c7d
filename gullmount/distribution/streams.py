"""Streams with a bound on how long the other side may take, and with their bytes counted."""

from __future__ import annotations

import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import Any

import anyio
from anyio.abc import SocketAttribute

from gullmount.distribution.update_receiver import SubscriberCounters
from gullmount.net import DatagramSocket, Stream, StreamNet

WRITE_CHUNK_BYTES = 65536  # handed to the network at once; each chunk has its own time
WRITE_TIMEOUT_SECONDS = 10.0  # in which the network takes a chunk
READ_TIMEOUT_SECONDS = 60.0  # without a byte, after which a connection without requests is ended
SEND_BUFFER_BYTES = 65536  # that the kernel keeps for a subscriber: what waits there grows old
UNACKNOWLEDGED_TIMEOUT_MS = 15_000  # that sent bytes may stay unacknowledged: without, a cut lasts 15 minutes
RECEIVE_BYTES = 65536


class WrappedStream(Stream):
    """A stream around another."""

    def __init__(self, inner: Stream) -> None:
        """Wrap `inner`."""
        self.inner = inner
        self.source = getattr(inner, "source", None)  # of a stream in memory

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """As the inner stream's."""
        return await self.inner.receive(max_bytes)

    async def send(self, item: bytes) -> None:
        """As the inner stream's."""
        await self.inner.send(item)

    async def send_eof(self) -> None:
        """As the inner stream's."""
        await self.inner.send_eof()

    async def aclose(self) -> None:
        """As the inner stream's."""
        await self.inner.aclose()

    @property
    def extra_attributes(self) -> Mapping[Any, Callable[[], Any]]:
        """As the inner stream's."""
        return self.inner.extra_attributes


class DeadlineStream(WrappedStream):
    """A stream that breaks where the other side takes nothing, or says nothing, for too long."""

    def __init__(self, inner: Stream, on_stalled: Callable[[], None]) -> None:
        """Wrap `inner`; `on_stalled` is called when a write timed out."""
        super().__init__(inner)
        self.on_stalled = on_stalled

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """The next bytes. Raises anyio.BrokenResourceError after READ_TIMEOUT_SECONDS."""
        try:
            with anyio.fail_after(READ_TIMEOUT_SECONDS):
                return await self.inner.receive(max_bytes)
        except TimeoutError:
            raise anyio.BrokenResourceError from None

    async def send(self, item: bytes) -> None:
        """Send in chunks. Raises anyio.BrokenResourceError if one takes WRITE_TIMEOUT_SECONDS."""
        view = memoryview(item)
        for start in range(0, len(item), WRITE_CHUNK_BYTES):
            try:
                with anyio.fail_after(WRITE_TIMEOUT_SECONDS):
                    await self.inner.send(bytes(view[start : start + WRITE_CHUNK_BYTES]))
            except TimeoutError:
                self.on_stalled()
                raise anyio.BrokenResourceError from None


def limit_kernel_buffers(stream: Stream) -> None:
    """Let the kernel keep few unread bytes of this stream, and none for long that are not acknowledged.

    Something is sent each second or two, so that a peer that was cut off is found out.
    """
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if hasattr(socket, "TCP_USER_TIMEOUT"):  # Linux
            raw.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)
    except (anyio.TypedAttributeLookupError, OSError):
        pass  # in memory, or gone already


class CountedStream(WrappedStream):
    """A stream whose bytes are counted."""

    def __init__(self, inner: Stream, counters: SubscriberCounters) -> None:
        """Wrap `inner` and count in `counters`."""
        super().__init__(inner)
        self.counters = counters

    async def receive(self, max_bytes: int = RECEIVE_BYTES) -> bytes:
        """As the inner stream's, counted."""
        data = await self.inner.receive(max_bytes)
        self.counters.bytes_in += len(data)
        return data

    async def send(self, item: bytes) -> None:
        """As the inner stream's, counted."""
        self.counters.bytes_out += len(item)
        await self.inner.send(item)


class CountedNetwork:
    """A network whose connections' bytes are counted; lives as long as its subscriber."""

    def __init__(self, network: StreamNet, counters: SubscriberCounters) -> None:
        """Count `network`'s connections in `counters`."""
        self.network = network
        self.counters = counters

    async def connect(self, address: str) -> Stream:
        """A counted connection."""
        return CountedStream(await self.network.connect(address), self.counters)

    async def serve(
        self, address: str, handler: Callable[[Stream], Awaitable[Any]], started: anyio.Event | None = None
    ) -> None:
        """As the network's."""
        await self.network.serve(address, handler, started)

    async def datagrams(self, address: str) -> DatagramSocket:
        """As the network's."""
        return await self.network.datagrams(address)
