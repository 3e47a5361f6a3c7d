"""Streams, transports and datagram sockets over the machine's TCP and UDP."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import Awaitable, Callable
from typing import Any, cast

import anyio
from anyio.abc import SocketAttribute, SocketStream, UDPSocket

from gullmount.net.acceptor import Acceptor, listening_socket
from gullmount.net.handler_errors import HandlerErrors
from gullmount.net.socket_state import (
    has_ended,
    is_readable,
    seconds_since_data,
    unacknowledged_bytes,
)
from gullmount.net.types import (
    DatagramSocket,
    ShortageCallback,
    Stream,
    Transport,
    TransportProtocol,
    parse_address,
)

# Connections that may wait to be accepted. A burst of new clients must not be refused.
LISTEN_BACKLOG = 1024
# Bytes that one read of a transport takes from the kernel at most.
MAX_READ_BYTES = 4096


class UdpDatagramSocket:
    """A UDP socket that several tasks may send on."""

    def __init__(self, udp_socket: UDPSocket) -> None:
        self.send_lock = anyio.Lock()
        self.socket = udp_socket

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram."""
        # The socket allows one sender at a time.
        async with self.send_lock:
            await self.socket.sendto(data, *parse_address(address))

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address of its sender."""
        data, (host, port) = await self.socket.receive()
        return data, f"{host}:{port}"

    async def aclose(self) -> None:
        """Close the socket."""
        await self.socket.aclose()


class TcpTransport(asyncio.BufferedProtocol):
    """A TCP connection on asyncio's callbacks.

    A task with its locks for each connection would cost more than a request. Received data is passed on in
    pieces of at most `MAX_READ_BYTES`. Otherwise event loops read up to 256 kB at once, before the protocol
    can pause reading.
    """

    transport: asyncio.Transport

    def __init__(
        self,
        protocol: TransportProtocol | None,
        make_protocol: Callable[[Transport], TransportProtocol | None] | None = None,
        *,
        handler_errors: HandlerErrors,
        read_buffer: memoryview,
    ) -> None:
        self.protocol = protocol
        self.handler_errors = handler_errors
        self.read_buffer = read_buffer
        self.make_protocol = make_protocol
        self.closed = False
        self.received_eof = False
        self.unsent_bytes_at_close = 0

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Create the protocol for an accepted connection; abort the connection if there is none."""
        # uvloop's transport is not a subclass of asyncio.Transport.
        self.transport = cast(asyncio.Transport, transport)
        if self.make_protocol is not None:
            with self.handler_errors.contained("connection made"):
                self.protocol = self.make_protocol(self)
            if self.protocol is None:
                self.transport.abort()

    def get_buffer(self, _sizehint: int) -> memoryview:
        """Return the buffer for the next read, which is used up before another connection is read."""
        return self.read_buffer

    def buffer_updated(self, nbytes: int) -> None:
        """Pass received data to the protocol; abort the connection if the protocol raises."""
        if self.protocol is not None and not self.closed:
            try:
                self.protocol.data_received(bytes(self.read_buffer[:nbytes]))
            except Exception as error:
                self.handler_errors.record("connection data", error)
                self.transport.abort()

    def eof_received(self) -> bool:
        """Note the end of the peer's data; return False, so that asyncio closes this side as well."""
        self.received_eof = True
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the protocol that the connection has ended.

        A reset does not count as a clean end, since truncated data would then be taken for complete.
        """
        self.unsent_bytes_at_close = self.transport.get_write_buffer_size()
        self.closed = True
        protocol, self.protocol = self.protocol, None
        if protocol is not None:
            with self.handler_errors.contained("connection end"):
                protocol.connection_ended(self.received_eof and exc is None)

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that the kernel has not accepted yet; after the end, those it never accepted."""
        return self.unsent_bytes_at_close if self.closed else self.transport.get_write_buffer_size()

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that were sent and that the peer's kernel has not acknowledged."""
        if self.closed or self.transport.is_closing():
            return 0
        return unacknowledged_bytes(self.transport.get_extra_info("socket").fileno())

    @property
    def is_idle(self) -> bool:
        """Whether the transport is open and neither data nor an end of stream is pending unread."""
        if self.closed or self.received_eof or self.transport.is_closing():
            return False
        return not is_readable(self.transport.get_extra_info("socket").fileno())

    @property
    def peer_has_ended(self) -> bool:
        """Whether the peer has closed or reset the connection, even if that was not read yet."""
        if self.closed or self.received_eof:
            return True
        return has_ended(self.transport.get_extra_info("socket").fileno())

    def seconds_since_data(self) -> float | None:
        """Return the seconds since the connection last received data; None if that is unknown."""
        if self.closed or self.transport.is_closing():
            return None
        return seconds_since_data(self.transport.get_extra_info("socket").fileno())

    def write(self, data: bytes) -> None:
        """Queue data to send, without waiting."""
        if not self.closed:
            self.transport.write(data)

    def pause_reading(self) -> None:
        """Pass no data to the protocol until `resume_reading`; the end may still be reported."""
        if not self.closed and not self.transport.is_closing():
            self.transport.pause_reading()

    def resume_reading(self) -> None:
        """Pass data to the protocol again."""
        if not self.closed and not self.transport.is_closing():
            self.transport.resume_reading()

    def write_eof(self) -> None:
        """Close the sending direction once the queued data is sent."""
        if not self.closed and not self.transport.is_closing():
            # While reading is paused, the end of the connection would not be reported either.
            self.resume_reading()
            self.transport.write_eof()

    def close(self) -> None:
        """Close the connection once the queued data is sent."""
        self.transport.close()

    def abort(self) -> None:
        """Reset the connection immediately."""
        self.transport.abort()


class TcpNet:
    """The network of the machine, over TCP and UDP.

    Attributes:
        local_host: The source address of outgoing connections; None lets the system choose.
        handler_errors: Contains the errors of handlers and protocols; each ends its own connection.
    """

    def __init__(self, local_host: str | None = None, handler_errors: HandlerErrors | None = None) -> None:
        self.local_host = local_host
        self.handler_errors = handler_errors or HandlerErrors()
        self._read_buffer = memoryview(bytearray(MAX_READ_BYTES))

    async def connect(self, address: str) -> Stream:
        """Open a stream to `address`. Raises OSError."""
        host, port = parse_address(address)
        return await anyio.connect_tcp(host, port, local_host=self.local_host)

    async def serve(
        self,
        address: str,
        handler: Callable[[Stream], Awaitable[Any]],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Accept streams until cancelled and run `handler` for each in a task. Raises OSError."""
        host, port = parse_address(address)
        # A host name may have several addresses, each of which gets a socket.
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=LISTEN_BACKLOG, reuse_port=False
        )
        sockets = [part.extra(SocketAttribute.raw_socket) for part in listener.listeners]
        async with listener, anyio.create_task_group() as tasks:

            async def open_stream(connection: socket.socket) -> None:
                stream = await SocketStream.from_socket(connection)
                tasks.start_soon(self._run_handler, handler, stream)

            await self._accept_until_cancelled(sockets, open_stream, started, on_shortage)

    async def _accept_until_cancelled(
        self,
        listeners: list[socket.socket],
        open_connection: Callable[[socket.socket], Awaitable[object]],
        started: anyio.Event | None,
        on_shortage: ShortageCallback | None,
    ) -> None:
        """Accept connections on all listeners; when cancelled, empty their backlogs and close them."""
        acceptors = [
            Acceptor(listener, open_connection, self.handler_errors, on_shortage) for listener in listeners
        ]
        for acceptor in acceptors:
            acceptor.start()
        if started is not None:
            started.set()
        try:
            await anyio.sleep_forever()
        finally:
            with anyio.CancelScope(shield=True):
                for acceptor in acceptors:
                    await acceptor.stop()

    async def _run_handler(self, handler: Callable[[Stream], Awaitable[Any]], stream: Stream) -> None:
        """Run the handler; if it raises, close its stream immediately."""
        with self.handler_errors.contained("stream"):
            try:
                await handler(stream)
            except BaseException:
                with anyio.CancelScope(shield=True):
                    await anyio.aclose_forcefully(stream)
                raise

    async def connect_transport(self, address: str, protocol: TransportProtocol) -> Transport:
        """Open a transport; `protocol` may be called before this returns. Raises OSError."""
        host, port = parse_address(address)
        local = (self.local_host, 0) if self.local_host else None
        loop = asyncio.get_running_loop()
        _, transport = await loop.create_connection(
            lambda: TcpTransport(protocol, handler_errors=self.handler_errors, read_buffer=self._read_buffer),
            host,
            port,
            local_addr=local,
        )
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
        host, port = parse_address(address)

        loop = asyncio.get_running_loop()

        def make_transport() -> TcpTransport:
            return TcpTransport(
                None, make_protocol, handler_errors=self.handler_errors, read_buffer=self._read_buffer
            )

        async def open_transport(connection: socket.socket) -> None:
            await loop.connect_accepted_socket(make_transport, connection)

        listener = listening_socket(host, port, LISTEN_BACKLOG)
        await self._accept_until_cancelled([listener], open_transport, started, on_shortage)

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open a UDP socket. Raises OSError."""
        host, port = parse_address(address)
        return UdpDatagramSocket(await anyio.create_udp_socket(local_host=host, local_port=port))
