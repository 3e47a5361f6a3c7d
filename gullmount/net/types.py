"""The network interfaces that the program uses; the code that starts an instance passes one in."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream, SocketAttribute

from gullmount.errors import GullmountError
from gullmount.net.socket_state import has_ended, seconds_since_data

Stream = ByteStream
# Called with the error when a connection can't be accepted because descriptors or memory are short.
ShortageCallback = Callable[[OSError], None]

MAX_PORT_DIGITS = 5
# For a larger port a socket raises an error other than OSError.
MAX_PORT = 65535

# Errors that a stream raises once the peer has closed or reset it, or another task has closed it here.
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class AddressError(GullmountError, ValueError):
    """The text is not an address of the form `host:port`."""

    def __init__(self, text: str) -> None:
        super().__init__(f"not an address of the form host:port: {text!r}")


class DatagramSocket(Protocol):
    """A socket for datagrams, which may be lost. An address is a text such as `127.0.0.1:7100`."""

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram."""

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address of its sender."""

    async def aclose(self) -> None:
        """Close the socket."""


class TransportProtocol(Protocol):
    """Receives the data and the end of a transport. Its methods must not raise."""

    def data_received(self, data: bytes) -> None:
        """Handle received data."""

    def connection_ended(self, clean: bool) -> None:
        """Handle the end of the connection; called at most once.

        Args:
            clean: True if the peer ended the connection (FIN), False if the connection broke (RST) or was
                closed on this side.
        """


class Transport(Protocol):
    """A callback-based byte stream, which has its own task only if the network needs one."""

    @property
    def unsent_bytes(self) -> int:
        """Written bytes that the network has not accepted yet; after the end, those it never accepted."""

    @property
    def unacknowledged_bytes(self) -> int:
        """Bytes that the network has accepted and the peer has not acknowledged; 0 if unknown.

        Reading this property queries the network.
        """

    @property
    def is_idle(self) -> bool:
        """Whether the transport is open and neither data nor an end of stream is pending unread.

        Reading this property queries the network.
        """

    @property
    def peer_has_ended(self) -> bool:
        """Whether the peer has closed or reset the connection, even if that was not read yet.

        Reading this property queries the network.
        """

    def seconds_since_data(self) -> float | None:
        """Query the network for the seconds since data last arrived; return None if that is unknown."""

    def write(self, data: bytes) -> None:
        """Queue data to send, without waiting."""

    def pause_reading(self) -> None:
        """Pass no data to the protocol until `resume_reading`; the end may still be reported."""

    def resume_reading(self) -> None:
        """Pass data to the protocol again."""

    def write_eof(self) -> None:
        """Close the sending direction (FIN) once the queued data is sent.

        Received data is still passed to the protocol until `close`.
        """

    def close(self) -> None:
        """Close the connection once the queued data is sent.

        If received data is still unread, the close becomes a reset, and the peer may see the reset before it
        has read the sent data. `write_eof` avoids this.
        """

    def abort(self) -> None:
        """Reset the connection immediately."""


class StreamNet(Protocol):
    """A network of streams and datagrams. All methods may raise OSError, as sockets do."""

    async def connect(self, address: str) -> Stream:
        """Open a stream to `address`."""

    async def serve(
        self,
        address: str,
        handler: Callable[[Stream], Awaitable[Any]],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Accept streams until cancelled and run `handler` for each in a task.

        While descriptors or memory are short, connections wait in the backlog and `on_shortage` is called at
        each try, so that the caller can close what it no longer needs.
        """

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open a datagram socket at `address`."""


class Net(StreamNet, Protocol):
    """A network that has callback-based transports as well as streams and datagrams."""

    async def connect_transport(self, address: str, protocol: TransportProtocol) -> Transport:
        """Open a transport; `protocol` may be called before this returns."""

    async def serve_transports(
        self,
        address: str,
        make_protocol: Callable[[Transport], TransportProtocol | None],
        started: anyio.Event | None = None,
        on_shortage: ShortageCallback | None = None,
    ) -> None:
        """Accept transports until cancelled; abort those for which `make_protocol` returns None.

        `on_shortage` is as in `serve`.
        """


def parse_address(address: str) -> tuple[str, int]:
    """Split `host:port` into host and port. Raises AddressError for any other text."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise AddressError(address)
    return host.strip("[]"), int(port)


def source_host(stream: Stream) -> str:
    """Return the host that the peer connected from, or an empty text if it is no longer known."""
    source = getattr(stream, "source", None)
    if source is not None:
        return str(source)
    try:
        return str(stream.extra(SocketAttribute.remote_address)[0])
    except (anyio.TypedAttributeLookupError, OSError):
        return ""


def stream_seconds_since_data(stream: Stream) -> float | None:
    """Return the seconds since the stream last received data; None if that is unknown."""
    try:
        return seconds_since_data(stream.extra(SocketAttribute.raw_socket).fileno())
    except anyio.TypedAttributeLookupError:
        return None


def stream_peer_has_ended(stream: Stream) -> bool:
    """Return whether the peer has closed or reset the stream; False if the network can't tell."""
    try:
        return has_ended(stream.extra(SocketAttribute.raw_socket).fileno())
    except anyio.TypedAttributeLookupError:
        return False


async def abort(stream: Stream) -> None:
    """Close the stream immediately, with a reset if the network supports it, as a crashed machine does."""
    reset = getattr(stream, "abort", None)
    if reset is not None:
        reset()
        return
    try:
        underlying_socket = stream.extra(SocketAttribute.raw_socket)
        underlying_socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (anyio.TypedAttributeLookupError, OSError):
        pass
    await anyio.aclose_forcefully(stream)
