"""A client's connection to a proxy, on h11; it shares no code with the proxy."""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import h11

from gullmount.net import STREAM_ERRORS, Stream
from gullmount.rpc import read_event

Headers = list[tuple[str, str]]


@dataclass(frozen=True)
class ClientResponse:
    """The head of a response whose body was read to its end; header names are in lower case."""

    status: int
    headers: dict[str, str]


class ClientConnection:
    """Sends one request at a time."""

    def __init__(self, stream: Stream) -> None:
        self._stream = stream
        self._http = h11.Connection(h11.CLIENT)

    async def exchange(self, method: str, target: str, headers: Headers) -> ClientResponse | None:
        """Send a request without a body; return its response, None where the connection ended first."""
        http = self._http
        if method == "POST":
            headers = [*headers, ("content-length", "0")]
        data = http.send(h11.Request(method=method, target=target, headers=headers)) or b""
        data += http.send(h11.EndOfMessage()) or b""
        try:
            await self._stream.send(data)
            return await self._read_response()
        except (*STREAM_ERRORS, h11.RemoteProtocolError):
            return None

    async def _read_response(self) -> ClientResponse | None:
        while isinstance(head := await read_event(self._http, self._stream), h11.InformationalResponse):
            pass
        if not isinstance(head, h11.Response):
            return None
        while isinstance(part := await read_event(self._http, self._stream), h11.Data):
            pass
        if not isinstance(part, h11.EndOfMessage):
            return None
        headers = {name.decode(): value.decode("latin-1") for name, value in head.headers}
        return ClientResponse(head.status_code, headers)

    def unexpected_bytes(self) -> bytes:
        """Return what came with the response behind its end: there should be nothing."""
        return bytes(self._http.trailing_data[0])

    async def receive(self) -> bytes:
        """Return what comes after the response. Raises one of STREAM_ERRORS."""
        return await self._stream.receive()

    def start_next_request(self) -> bool:
        """Whether the connection can carry another request; it is ready for it then."""
        if self._http.our_state is h11.DONE and self._http.their_state is h11.DONE:
            self._http.start_next_cycle()
            return True
        return False

    async def close(self) -> None:
        """Close the connection at once."""
        with anyio.CancelScope(shield=True):
            await anyio.aclose_forcefully(self._stream)
