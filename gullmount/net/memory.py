"""An in-memory network, so that a whole deployment can run in one process and in virtual time.

It does not reproduce partial writes, kernel buffers and incomplete handshakes, which only real sockets have.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskGroup

from gullmount.errors import GullmountError
from gullmount.net.types import STREAM_ERRORS, ShortageCallback, Transport, TransportProtocol

# Bytes buffered in one direction before a sender has to wait. It is the size of a common socket buffer.
MAX_BUFFERED_BYTES = 65536
# Unread datagrams of one socket. Further ones are dropped, as a kernel does.
MAX_UNREAD_DATAGRAMS = 1024


class NoListenerError(GullmountError, ConnectionRefusedError):
    """A stream was opened to an address without a listener."""

    def __init__(self, address: str) -> None:
        super().__init__(f"no listener at {address}")


class AddressInUseError(GullmountError, OSError):
    """The address already has a listener or a datagram socket."""

    def __init__(self, address: str) -> None:
        super().__init__(f"address in use: {address}")


class StreamDirection:
    """The state of one direction of a stream.

    Attributes:
        reset: Whether either side has aborted the stream.
    """

    def __init__(self) -> None:
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.sender_closed = False
        self.reset = False
        self.receiver_closed = False
        self.changed = anyio.Event()

    def wake(self) -> None:
        """Wake the tasks that wait for a change."""
        self.changed.set()
        self.changed = anyio.Event()


class MemoryStream(ByteStream):
    """One end of an in-memory connection."""

    def __init__(self, incoming: StreamDirection, outgoing: StreamDirection, source: str) -> None:
        self.incoming = incoming
        self.outgoing = outgoing
        self.source = source
        self.closed = False

    async def receive(self, max_bytes: int = MAX_BUFFERED_BYTES) -> bytes:
        """Return the next bytes, waiting for them if there are none. Raises one of STREAM_ERRORS."""
        await anyio.lowlevel.checkpoint()
        direction = self.incoming
        while True:
            if self.closed:
                raise anyio.ClosedResourceError
            if direction.reset:
                raise anyio.BrokenResourceError
            if direction.chunks:
                data = direction.chunks.popleft()
                if len(data) > max_bytes:
                    direction.chunks.appendleft(data[max_bytes:])
                    data = data[:max_bytes]
                direction.buffered_bytes -= len(data)
                direction.wake()
                return data
            if direction.sender_closed:
                raise anyio.EndOfStream
            await direction.changed.wait()

    async def send(self, item: bytes) -> None:
        """Write `item`, waiting while the buffer is full. Raises one of STREAM_ERRORS."""
        await anyio.lowlevel.checkpoint()
        direction = self.outgoing
        while True:
            if self.closed:
                raise anyio.ClosedResourceError
            if direction.reset or direction.receiver_closed:
                raise anyio.BrokenResourceError
            if direction.buffered_bytes < MAX_BUFFERED_BYTES:
                if item:
                    direction.chunks.append(bytes(item))
                    direction.buffered_bytes += len(item)
                    direction.wake()
                return
            await direction.changed.wait()

    async def send_eof(self) -> None:
        """Close the sending direction."""
        self.outgoing.sender_closed = True
        self.outgoing.wake()
        await anyio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        """Close the stream.

        The peer can still read the data sent before. As in TCP, unread data on this side turns the close
        into a reset.
        """
        if not self.closed:
            self.closed = True
            self.outgoing.sender_closed = True
            if self.incoming.chunks:
                self.outgoing.reset = True
            self.incoming.receiver_closed = True
            self.outgoing.wake()
            self.incoming.wake()
        await anyio.lowlevel.checkpoint()

    def abort(self) -> None:
        """Close the stream immediately with a reset."""
        if not self.closed:
            self.closed = True
            self.outgoing.reset = self.incoming.reset = True
            self.outgoing.wake()
            self.incoming.wake()


def connected_pair(source: str = "") -> tuple[MemoryStream, MemoryStream]:
    """Return both ends of a new connection, the client's end first."""
    to_server, to_client = StreamDirection(), StreamDirection()
    return MemoryStream(to_client, to_server, source), MemoryStream(to_server, to_client, source)


class MemoryTransport:
    """A callback-based transport over a memory stream. Its owner runs `run` in a task."""

    def __init__(self, stream: MemoryStream) -> None:
        self.stream = stream
        self.protocol: TransportProtocol | None = None
        self.unsent_chunks: deque[bytes] = deque()
        self.close_requested = False
        self.eof_requested = False
        self.reading_paused = False
        self.write_requested = anyio.Event()
        self.reading_resumed = anyio.Event()

    async def run(self) -> None:
        """Pass received data to the protocol until the stream ends."""
        clean = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.send_unsent_chunks)
            try:
                while True:
                    data = await self.stream.receive()
                    while self.reading_paused:
                        self.reading_resumed = anyio.Event()
                        await self.reading_resumed.wait()
                    if self.protocol is not None:
                        self.protocol.data_received(data)
            except STREAM_ERRORS as end:
                clean = isinstance(end, anyio.EndOfStream)
            tasks.cancel_scope.cancel()
        if clean:
            # TcpTransport, too, closes its own side when the peer ends.
            await self.stream.aclose()
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_ended(clean)

    async def send_unsent_chunks(self) -> None:
        """Send the written data until the transport is closed or the stream breaks."""
        try:
            while True:
                while self.unsent_chunks:
                    await self.stream.send(self.unsent_chunks[0])
                    self.unsent_chunks.popleft()
                if self.close_requested:
                    await self.stream.aclose()
                    return
                if self.eof_requested and not self.stream.outgoing.sender_closed:
                    await self.stream.send_eof()
                    continue
                self.write_requested = anyio.Event()
                await self.write_requested.wait()
        except STREAM_ERRORS:
            pass

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that the stream has not accepted yet."""
        return sum(map(len, self.unsent_chunks))

    @property
    def unacknowledged_bytes(self) -> int:
        """Return 0: what the stream has accepted is at the peer's end."""
        return 0

    @property
    def is_idle(self) -> bool:
        """Whether the transport is open and neither data nor an end of stream is pending unread."""
        direction = self.stream.incoming
        return not (
            self.stream.closed
            or self.close_requested
            or direction.chunks
            or direction.sender_closed
            or direction.reset
        )

    @property
    def peer_has_ended(self) -> bool:
        """Whether the peer has closed or reset the connection, even if that was not read yet."""
        return self.stream.incoming.sender_closed or self.stream.incoming.reset

    def seconds_since_data(self) -> float | None:
        """Return None, as arrival times are unknown here."""
        return None

    def write(self, data: bytes) -> None:
        """Queue data to send, without waiting."""
        self.unsent_chunks.append(data)
        self.write_requested.set()

    def pause_reading(self) -> None:
        """Pass no data to the protocol until `resume_reading`."""
        self.reading_paused = True

    def resume_reading(self) -> None:
        """Pass data to the protocol again."""
        self.reading_paused = False
        self.reading_resumed.set()

    def write_eof(self) -> None:
        """Close the sending direction once the queued data is sent."""
        self.eof_requested = True
        self.resume_reading()
        self.write_requested.set()

    def close(self) -> None:
        """Close the transport once the queued data is sent."""
        self.close_requested = True
        self.write_requested.set()

    def abort(self) -> None:
        """Discard the queued data and reset the connection."""
        self.unsent_chunks.clear()
        self.stream.abort()
        self.resume_reading()


class MemoryDatagramSocket:
    """An in-memory datagram socket."""

    def __init__(self, net: MemoryNet, address: str) -> None:
        self.net = net
        self.address = address
        self.unread_datagrams: deque[tuple[bytes, str]] = deque()
        self.changed = anyio.Event()

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram. It is lost if the address has no socket or the socket's buffer is full."""
        await anyio.lowlevel.checkpoint()
        receiver = self.net.datagram_sockets.get(address)
        if receiver is not None and len(receiver.unread_datagrams) < MAX_UNREAD_DATAGRAMS:
            receiver.unread_datagrams.append((data, self.address))
            receiver.changed.set()
            receiver.changed = anyio.Event()

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address of its sender."""
        await anyio.lowlevel.checkpoint()
        while not self.unread_datagrams:
            await self.changed.wait()
        return self.unread_datagrams.popleft()

    async def aclose(self) -> None:
        """Close the socket."""
        if self.net.datagram_sockets.get(self.address) is self:
            del self.net.datagram_sockets[self.address]
        await anyio.lowlevel.checkpoint()


class MemoryNet:
    """A separate in-memory network, in which any text can be an address.

    Attributes:
        listeners: The functions that accept a new connection, by address.
        datagram_sockets: The open datagram sockets by address.
        task_group: The task group in which transports run. A caller that uses transports has to set it.
    """

    def __init__(self) -> None:
        self.listeners: dict[str, Callable[[MemoryStream], None]] = {}
        self.datagram_sockets: dict[str, MemoryDatagramSocket] = {}
        self.task_group: TaskGroup

    async def connect(self, address: str, source: str = "") -> MemoryStream:
        """Open a stream to `address`; `source` is the host that the peer sees. Raises OSError."""
        await anyio.lowlevel.checkpoint()
        accept = self.listeners.get(address)
        if accept is None:
            raise NoListenerError(address)
        client_end, server_end = connected_pair(source)
        accept(server_end)
        return client_end

    async def serve(
        self,
        address: str,
        handler: Callable[[Any], Awaitable[Any]],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,  # noqa: ARG002 (nothing is ever short here)
    ) -> None:
        """Accept streams until cancelled and run `handler` for each in a task. Raises OSError."""
        if address in self.listeners:
            raise AddressInUseError(address)

        async def handle(stream: MemoryStream) -> None:
            await handler(stream)

        async with anyio.create_task_group() as tasks:

            def accept(stream: MemoryStream) -> None:
                tasks.start_soon(handle, stream)

            self.listeners[address] = accept
            if started is not None:
                started.set()
            try:
                await anyio.sleep_forever()
            finally:
                del self.listeners[address]

    async def connect_transport(self, address: str, protocol: TransportProtocol) -> Transport:
        """Open a transport; `protocol` may be called before this returns. Raises OSError."""
        transport = MemoryTransport(await self.connect(address))
        transport.protocol = protocol
        self.task_group.start_soon(transport.run)
        return transport

    async def serve_transports(
        self,
        address: str,
        make_protocol: Callable[[Transport], TransportProtocol | None],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Accept transports until cancelled. Raises OSError.

        A connection for which `make_protocol` returns None is aborted.
        """

        async def handle(stream: MemoryStream) -> None:
            transport = MemoryTransport(stream)
            transport.protocol = make_protocol(transport)
            if transport.protocol is None:
                transport.abort()
            else:
                # The transport runs in this task group because it outlives the listener.
                self.task_group.start_soon(transport.run)

        await self.serve(address, handle, started, on_shortage)

    async def datagrams(self, address: str) -> MemoryDatagramSocket:
        """Open a datagram socket. Raises OSError."""
        if address in self.datagram_sockets:
            raise AddressInUseError(address)
        self.datagram_sockets[address] = MemoryDatagramSocket(self, address)
        await anyio.lowlevel.checkpoint()
        return self.datagram_sockets[address]
