"""The client side of an HTTP/1.1 connection, based on h11, for one call after another."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from dataclasses import dataclass

import anyio
import h11

from gullmount.net import STREAM_ERRORS, Stream, StreamNet
from gullmount.rpc.errors import ConnectError, ConnectionClosedError, ConnectionLostError, HttpProtocolError

# Digits of a number of milliseconds, which allow almost three hours. A longer value is taken for a mistake.
MAX_RETRY_AFTER_DIGITS = 7


@dataclass(frozen=True)
class ResponseHead:
    """The head of a response.

    Attributes:
        status: The HTTP status.
        retry_after_seconds: The value of the `retry-after-ms` header in seconds; None if absent or invalid.
    """

    status: int
    retry_after_seconds: float | None


class ClientConnection:
    """A connection to `address`, which stays open for further calls if `keep_alive` is true."""

    def __init__(self, stream: Stream, address: str, keep_alive: bool) -> None:
        self.stream = stream
        self.address = address
        self.keep_alive = keep_alive
        self.http = h11.Connection(h11.CLIENT)

    async def request(
        self, method: str, target: str, body: bytes
    ) -> AsyncGenerator[ResponseHead | bytes, None]:
        """Send a request; yield the response head, then the body in parts as they arrive.

        Raises CallError for any failure of the connection or the protocol.
        """
        try:
            await self.stream.send(self._encode(method, target, body))
            while True:
                event = self.http.next_event()
                if event is h11.NEED_DATA:
                    await self._receive()
                elif isinstance(event, h11.Response):
                    yield ResponseHead(event.status_code, retry_after_seconds(event))
                elif isinstance(event, h11.Data):
                    yield bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    return
                elif not isinstance(event, h11.InformationalResponse):
                    raise ConnectionClosedError
        except STREAM_ERRORS as error:
            raise ConnectionLostError(error) from None
        except (h11.RemoteProtocolError, RuntimeError) as error:
            raise HttpProtocolError(error) from None

    def _encode(self, method: str, target: str, body: bytes) -> bytes:
        headers = [("host", self.address), ("content-length", str(len(body)))]
        if not self.keep_alive:
            headers.append(("connection", "close"))
        data = self.http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        if body:
            data += self.http.send(h11.Data(data=body)) or b""
        return data + (self.http.send(h11.EndOfMessage()) or b"")

    async def _receive(self) -> None:
        try:
            self.http.receive_data(await self.stream.receive())
        except anyio.EndOfStream:
            self.http.receive_data(b"")

    def start_next_call(self) -> bool:
        """Prepare the connection for another call; return False if it can't take one."""
        if self.http.our_state is not h11.DONE or self.http.their_state is not h11.DONE:
            return False
        self.http.start_next_cycle()
        return True

    async def aclose(self) -> None:
        """Close the connection immediately."""
        await anyio.aclose_forcefully(self.stream)


def retry_after_seconds(response: h11.Response) -> float | None:
    """Return the value of the `retry-after-ms` header in seconds; None if it is absent or invalid."""
    for name, value in response.headers:
        if name == b"retry-after-ms" and len(value) <= MAX_RETRY_AFTER_DIGITS and value.isdigit():
            return int(value) / 1000
    return None


async def connect(net: StreamNet, address: str, *, keep_alive: bool) -> ClientConnection:
    """Open a connection to `address`. Raises ConnectError if that fails."""
    try:
        return ClientConnection(await net.connect(address), address, keep_alive)
    except OSError as error:
        raise ConnectError(error) from None
