"""A network in memory, so that a whole deployment runs in one process and in virtual time.

It lacks what only real sockets show: partial writes, the kernel's buffers, incomplete handshakes.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
from anyio.abc import ByteStream, TaskGroup

from gullmount.errors import GullmountError
from gullmount.net.types import STREAM_ERRORS, Transport, TransportProtocol

MAX_BUFFERED_BYTES = 65536  # in one direction before a sender waits: a common socket buffer
MAX_WAITING_DATAGRAMS = 1024  # unread; later ones are dropped, as a kernel does


class NobodyListensError(GullmountError, ConnectionRefusedError):
    """A stream is opened to an address at which nobody listens."""

    def __init__(self, address: str) -> None:
        super().__init__(f"nobody listens at {address}")


class AddressInUseError(GullmountError, OSError):
    """Somebody listens at the address already."""

    def __init__(self, address: str) -> None:
        super().__init__(f"address in use: {address}")


class HalfConnection:
    """One direction of a stream."""

    def __init__(self) -> None:
        self.chunks: deque[bytes] = deque()
        self.buffered_bytes = 0
        self.sender_closed = False
        self.reset = False  # either side aborted
        self.receiver_closed = False
        self.changed = anyio.Event()

    def wake(self) -> None:
        """Wake whoever waits for a change."""
        self.changed.set()
        self.changed = anyio.Event()


class MemoryStream(ByteStream):
    """One end of a connection."""

    def __init__(self, incoming: HalfConnection, outgoing: HalfConnection, source: str) -> None:
        self.incoming = incoming
        self.outgoing = outgoing
        self.source = source
        self.closed = False

    async def receive(self, max_bytes: int = MAX_BUFFERED_BYTES) -> bytes:
        """Return the next bytes. Raises one of STREAM_ERRORS."""
        await anyio.lowlevel.checkpoint()
        half = self.incoming
        while True:
            if self.closed:
                raise anyio.ClosedResourceError
            if half.reset:
                raise anyio.BrokenResourceError
            if half.chunks:
                data = half.chunks.popleft()
                if len(data) > max_bytes:
                    half.chunks.appendleft(data[max_bytes:])
                    data = data[:max_bytes]
                half.buffered_bytes -= len(data)
                half.wake()
                return data
            if half.sender_closed:
                raise anyio.EndOfStream
            await half.changed.wait()

    async def send(self, item: bytes) -> None:
        """Write, waiting while the buffer is full. Raises one of STREAM_ERRORS."""
        await anyio.lowlevel.checkpoint()
        half = self.outgoing
        while True:
            if self.closed:
                raise anyio.ClosedResourceError
            if half.reset or half.receiver_closed:
                raise anyio.BrokenResourceError
            if half.buffered_bytes < MAX_BUFFERED_BYTES:
                if item:
                    half.chunks.append(bytes(item))
                    half.buffered_bytes += len(item)
                    half.wake()
                return
            await half.changed.wait()

    async def send_eof(self) -> None:
        """End our side."""
        self.outgoing.sender_closed = True
        self.outgoing.wake()
        await anyio.lowlevel.checkpoint()

    async def aclose(self) -> None:
        """Close; what was sent can still be read, unless unread data here makes it a reset, as in TCP."""
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
        """Close at once with a reset."""
        if not self.closed:
            self.closed = True
            self.outgoing.reset = self.incoming.reset = True
            self.outgoing.wake()
            self.incoming.wake()


def connected_pair(source: str = "") -> tuple[MemoryStream, MemoryStream]:
    """Return both ends of a new connection, the connecting side first."""
    to_server, to_client = HalfConnection(), HalfConnection()
    return MemoryStream(to_client, to_server, source), MemoryStream(to_server, to_client, source)


class MemoryTransport:
    """A memory stream by callbacks; `run` it in a task."""

    def __init__(self, stream: MemoryStream) -> None:
        self.stream = stream
        self.protocol: TransportProtocol | None = None
        self.outgoing: deque[bytes] = deque()
        self.closing = False
        self.finishing = False
        self.paused = False
        self.written = anyio.Event()
        self.resumed = anyio.Event()

    async def run(self) -> None:
        """Report what comes, until the stream ends."""
        clean = False
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.write_outgoing)
            try:
                while True:
                    data = await self.stream.receive()
                    while self.paused:
                        self.resumed = anyio.Event()
                        await self.resumed.wait()
                    if self.protocol is not None:
                        self.protocol.data_received(data)
            except STREAM_ERRORS as end:
                clean = isinstance(end, anyio.EndOfStream)
            tasks.cancel_scope.cancel()
        if clean:
            await self.stream.aclose()  # as TcpTransport does
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            protocol.connection_ended(clean)

    async def write_outgoing(self) -> None:
        """Pass on what is written, until the transport closes or breaks."""
        try:
            while True:
                while self.outgoing:
                    await self.stream.send(self.outgoing[0])
                    self.outgoing.popleft()
                if self.closing:
                    await self.stream.aclose()
                    return
                if self.finishing and not self.stream.outgoing.sender_closed:
                    await self.stream.send_eof()
                    continue
                self.written = anyio.Event()
                await self.written.wait()
        except STREAM_ERRORS:
            pass

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the stream has not accepted yet."""
        return sum(map(len, self.outgoing))

    @property
    def is_idle(self) -> bool:
        """Whether it is open and neither bytes nor an end wait unread."""
        half = self.stream.incoming
        return not (self.stream.closed or self.closing or half.chunks or half.sender_closed or half.reset)

    @property
    def peer_has_ended(self) -> bool:
        """Whether the other side has ended or reset it, read here or not."""
        return self.stream.incoming.sender_closed or self.stream.incoming.reset

    def seconds_since_data(self) -> float | None:
        """Return None: nobody knows when the bytes came."""
        return None

    def write(self, data: bytes) -> None:
        """Write without waiting."""
        self.outgoing.append(data)
        self.written.set()

    def pause_reading(self) -> None:
        """Report no bytes until `resume_reading`."""
        self.paused = True

    def resume_reading(self) -> None:
        """Report bytes again."""
        self.paused = False
        self.resumed.set()

    def write_eof(self) -> None:
        """End our side once what was written has left."""
        self.finishing = True
        self.resume_reading()
        self.written.set()

    def close(self) -> None:
        """End once what was written has left."""
        self.closing = True
        self.written.set()

    def abort(self) -> None:
        """End at once with a reset."""
        self.outgoing.clear()
        self.stream.abort()
        self.resume_reading()


class MemoryDatagramSocket:
    """A socket for datagrams in memory."""

    def __init__(self, net: MemoryNet, address: str) -> None:
        self.net = net
        self.address = address
        self.waiting: deque[tuple[bytes, str]] = deque()
        self.changed = anyio.Event()

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram; it is lost where nobody receives it."""
        await anyio.lowlevel.checkpoint()
        receiver = self.net.sockets.get(address)
        if receiver is not None and len(receiver.waiting) < MAX_WAITING_DATAGRAMS:
            receiver.waiting.append((data, self.address))
            receiver.changed.set()
            receiver.changed = anyio.Event()

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address it came from."""
        await anyio.lowlevel.checkpoint()
        while not self.waiting:
            await self.changed.wait()
        return self.waiting.popleft()

    async def aclose(self) -> None:
        """Close the socket."""
        if self.net.sockets.get(self.address) is self:
            del self.net.sockets[self.address]
        await anyio.lowlevel.checkpoint()


class MemoryNet:
    """A network of its own, whose addresses are any text.

    `task_group` is the task group in which transports run; whoever uses transports sets it.
    """

    def __init__(self) -> None:
        self.accepting: dict[str, Callable[[MemoryStream], None]] = {}
        self.sockets: dict[str, MemoryDatagramSocket] = {}
        self.task_group: TaskGroup

    async def connect(self, address: str, source: str = "") -> MemoryStream:
        """Open a stream; `source` names where it comes from. Raises OSError."""
        await anyio.lowlevel.checkpoint()
        accept = self.accepting.get(address)
        if accept is None:
            raise NobodyListensError(address)
        client_end, server_end = connected_pair(source)
        accept(server_end)
        return client_end

    async def serve(
        self, address: str, handler: Callable[[Any], Awaitable[Any]], started: anyio.Event | None = None
    ) -> None:
        """Accept until cancelled, with a task that runs `handler` for each stream. Raises OSError."""
        if address in self.accepting:
            raise AddressInUseError(address)

        async def handle(stream: MemoryStream) -> None:
            await handler(stream)

        async with anyio.create_task_group() as tasks:

            def accept(stream: MemoryStream) -> None:
                tasks.start_soon(handle, stream)

            self.accepting[address] = accept
            if started is not None:
                started.set()
            try:
                await anyio.sleep_forever()
            finally:
                del self.accepting[address]

    async def connect_transport(self, address: str, protocol: TransportProtocol) -> Transport:
        """Connect; `protocol` may be called before this returns. Raises OSError."""
        transport = MemoryTransport(await self.connect(address))
        transport.protocol = protocol
        self.task_group.start_soon(transport.run)
        return transport

    async def serve_transports(
        self,
        address: str,
        make_protocol: Callable[[Transport], TransportProtocol | None],
        started: anyio.Event | None = None,
    ) -> None:
        """Accept until cancelled; where `make_protocol` returns none, end the connection. Raises OSError."""

        async def handle(stream: MemoryStream) -> None:
            transport = MemoryTransport(stream)
            transport.protocol = make_protocol(transport)
            if transport.protocol is None:
                transport.abort()
            else:
                self.task_group.start_soon(transport.run)  # it outlives the listener

        await self.serve(address, handle, started)

    async def datagrams(self, address: str) -> MemoryDatagramSocket:
        """Open a socket for datagrams. Raises OSError."""
        if address in self.sockets:
            raise AddressInUseError(address)
        self.sockets[address] = MemoryDatagramSocket(self, address)
        await anyio.lowlevel.checkpoint()
        return self.sockets[address]
