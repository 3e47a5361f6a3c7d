"""What the program asks of a network; whoever starts an instance hands one in."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream, SocketAttribute

from gullmount.errors import GullmountError
from gullmount.net.arrival import has_ended, seconds_since_data

Stream = ByteStream

MAX_PORT_DIGITS = 5
MAX_PORT = 65535  # beyond it a socket raises something else than OSError

# What a stream raises once its other side has gone, was reset, or was closed here by another task.
STREAM_ERRORS = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class AddressError(GullmountError, ValueError):
    """A text is no address of the form `host:port`."""

    def __init__(self, text: str) -> None:
        super().__init__(f"not an address of the form host:port: {text!r}")


class DatagramSocket(Protocol):
    """Short messages that may be lost; an address is text such as `127.0.0.1:7100`."""

    async def send(self, data: bytes, address: str) -> None:
        """Send one datagram."""

    async def receive(self) -> tuple[bytes, str]:
        """Return the next datagram and the address it came from."""

    async def aclose(self) -> None:
        """Close the socket."""


class TransportProtocol(Protocol):
    """Is called with what comes on a transport. Neither call may raise."""

    def data_received(self, data: bytes) -> None:
        """Bytes have come."""

    def connection_ended(self, clean: bool) -> None:
        """Nothing more comes; called once at most.

        `clean` where the other side said so (FIN), not where the connection broke (RST) or was ended from
        here.
        """


class Transport(Protocol):
    """A byte stream by callbacks, without a task of its own where the network has none."""

    @property
    def unsent_bytes(self) -> int:
        """Bytes written that the network has not accepted yet; after the end, those it never accepted."""

    @property
    def is_idle(self) -> bool:
        """Whether it is open and neither bytes nor an end wait unread. Asks the network."""

    @property
    def peer_has_ended(self) -> bool:
        """Whether the other side has ended or reset it, read here or not. Asks the network."""

    def seconds_since_data(self) -> float | None:
        """Return for how long the newest bytes have been there; None where nobody knows. Asks the network."""

    def write(self, data: bytes) -> None:
        """Write without waiting."""

    def pause_reading(self) -> None:
        """Report no bytes until `resume_reading`; the end may still be reported."""

    def resume_reading(self) -> None:
        """Report bytes again."""

    def write_eof(self) -> None:
        """End our side once what was written has left (FIN); bytes are still reported until `close`."""

    def close(self) -> None:
        """End once what was written has left.

        Bytes that came and were not read make it a reset, which may overtake what was written: see
        `write_eof`.
        """

    def abort(self) -> None:
        """End at once, with a reset."""


class StreamNet(Protocol):
    """Connects and listens by address. All methods may raise OSError, as sockets do."""

    async def connect(self, address: str) -> Stream:
        """Open a stream."""

    async def serve(
        self, address: str, handler: Callable[[Stream], Awaitable[Any]], started: anyio.Event | None = None
    ) -> None:
        """Accept until cancelled, with a task that runs `handler` for each stream."""

    async def datagrams(self, address: str) -> DatagramSocket:
        """Open a socket for datagrams."""


class Net(StreamNet, Protocol):
    """Streams, and transports by callbacks."""

    async def connect_transport(self, address: str, protocol: TransportProtocol) -> Transport:
        """Connect; `protocol` may be called before this returns."""

    async def serve_transports(
        self,
        address: str,
        make_protocol: Callable[[Transport], TransportProtocol | None],
        started: anyio.Event | None = None,
    ) -> None:
        """Accept until cancelled; a connection for which `make_protocol` returns none is ended."""


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of `host:port`. Raises AddressError where it is neither."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal() or len(port) > MAX_PORT_DIGITS or int(port) > MAX_PORT:
        raise AddressError(address)
    return host.strip("[]"), int(port)


def source_host(stream: Stream) -> str:
    """Return the host that the other side connected from; empty where that is not known any more."""
    source = getattr(stream, "source", None)
    if source is not None:
        return str(source)
    try:
        return str(stream.extra(SocketAttribute.remote_address)[0])
    except (anyio.TypedAttributeLookupError, OSError):
        return ""


def stream_seconds_since_data(stream: Stream) -> float | None:
    """Return for how long the stream's newest bytes have been there; None where nobody knows."""
    try:
        return seconds_since_data(stream.extra(SocketAttribute.raw_socket).fileno())
    except anyio.TypedAttributeLookupError:
        return None


def stream_peer_has_ended(stream: Stream) -> bool:
    """Return whether the other side has ended or reset the stream, as far as the network tells."""
    try:
        return has_ended(stream.extra(SocketAttribute.raw_socket).fileno())
    except anyio.TypedAttributeLookupError:
        return False


async def abort(stream: Stream) -> None:
    """Close at once with a reset, where the network has one, as a crashed machine would."""
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
