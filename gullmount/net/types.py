"""What the program asks of a network. Whoever starts an umpire hands one in."""

from __future__ import annotations

import socket
import struct
from collections.abc import Awaitable, Callable
from typing import Any, Protocol

import anyio
from anyio.abc import ByteStream, SocketAttribute

Stream = ByteStream

# What a stream raises once its other side is gone, was reset, or was closed here by another task.
BROKEN = (anyio.BrokenResourceError, anyio.ClosedResourceError, anyio.EndOfStream, OSError)


class Datagrams(Protocol):
    """Short messages that may be lost; an address is text such as `127.0.0.1:7100`."""

    async def send(self, data: bytes, address: str) -> None: ...

    async def receive(self) -> tuple[bytes, str]: ...

    async def aclose(self) -> None: ...


class Net(Protocol):
    """Connects and listens by address. All methods may raise OSError, as sockets do."""

    async def connect(self, address: str) -> Stream: ...

    async def serve(
        self, address: str, handler: Callable[[Stream], Awaitable[Any]], started: anyio.Event | None = None
    ) -> None:
        """Accept until cancelled, `handler` in a task of its own for each stream."""

    async def datagrams(self, address: str) -> Datagrams: ...


def split(address: str) -> tuple[str, int]:
    """Host and port of `host:port`; raises ValueError where it is neither."""
    host, _, port = address.rpartition(":")
    if not host or not port.isdecimal():
        raise ValueError(f"not an address of the form host:port: {address!r}")
    return host.strip("[]"), int(port)


async def abort(stream: Stream) -> None:
    """Close at once, as a crashed machine would: the other side sees a reset where the network has one."""
    reset = getattr(stream, "abort", None)
    if reset is not None:
        reset()
        return
    try:
        raw = stream.extra(SocketAttribute.raw_socket)
        raw.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    except (anyio.TypedAttributeLookupError, OSError):
        pass
    await anyio.aclose_forcefully(stream)
